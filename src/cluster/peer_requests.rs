//! Answers the requests of other daemons.

use super::cancel;
use super::carried_connection::CarriedConnection;
use super::carrier;
use super::node::Node;
use super::peer_connections::status_code;
use super::peer_frame::PeerBody;
use super::records::{
    ROOT_KEY,
    encode, //
};
use super::storage_outcome::StorageOutcome;
use super::submit::{
    self,
    FORWARD_TIMEOUT_MS, //
};
use super::tombstone_limits::Submitter;
use crate::core::JobId;
use crate::events;
use bytes::Bytes;
use std::rc::Rc;

/// Answers a request of a peer. Returns `None` if the connection is of no use any more.
pub fn answer(
    node: Rc<Node>,
    connection: Rc<CarriedConnection>,
    body: PeerBody,
) -> Option<impl Future<Output = Option<PeerBody>> + 'static> {
    let call = match body {
        PeerBody::WorkerCall(message) => match connection.decode(message) {
            Ok((worker, call)) => Ok(carrier::carry_out(node, connection.clone(), worker, call)),
            Err(error) => {
                events::log(events::FRAME_BROKEN, format_args!("{error}"));
                return None;
            }
        },
        other => Err(answer_request(node, other)),
    };
    Some(async move {
        match call {
            Ok(carried) => Some(carried.await),
            Err(answering) => answering.await,
        }
    })
}

async fn answer_request(node: Rc<Node>, body: PeerBody) -> Option<PeerBody> {
    let until_ms = node.now_ms() + FORWARD_TIMEOUT_MS;
    match body {
        PeerBody::JobStatusOf(job) => {
            let status = node.control.job_status(JobId(job)).await?;
            Some(PeerBody::JobStatus(status_code(status)))
        }
        PeerBody::PendingCountOf(queue) => node
            .control
            .pending(&queue)
            .await
            .map(PeerBody::PendingCount),
        PeerBody::Accepted(job) => {
            if !node.owns() {
                return None;
            }
            submit::notify_owner_of_job(&node, JobId(job.job), job.record.into());
            Some(PeerBody::StorageOutcome(StorageOutcome::Done.code()))
        }
        PeerBody::Cancelled(job) => {
            if !node.owns() {
                return None;
            }
            cancel::notify_owner_of_cancellation(&node, JobId(job));
            Some(PeerBody::StorageOutcome(StorageOutcome::Done.code()))
        }
        PeerBody::Submit(job) => {
            Some(submit::answer_peer(&node, JobId(job.job), job.record.into(), until_ms).await)
        }
        PeerBody::Cancel(message) => {
            let (job, submitter) = (JobId(message.job), Submitter(message.submitter));
            Some(cancel::answer_peer(&node, job, Some(submitter), until_ms).await)
        }
        PeerBody::CancelStored(job) => {
            Some(cancel::answer_peer(&node, JobId(job), None, until_ms).await)
        }
        PeerBody::Learned(message) => {
            node.record_learned_of_owner(&message);
            Some(PeerBody::StorageOutcome(StorageOutcome::Done.code()))
        }
        PeerBody::ConfigurationAbove(version) => {
            let own = node.configuration();
            let newer = own.version > version;
            let bytes = if newer { encode(&*own) } else { Bytes::new() };
            Some(PeerBody::Configuration(bytes.to_vec()))
        }
        PeerBody::WorkerCall(_)
        | PeerBody::WorkerAnswer(_)
        | PeerBody::JobStatus(_)
        | PeerBody::PendingCount(_)
        | PeerBody::StorageOutcome(_)
        | PeerBody::Configuration(_) => {
            log::debug!("a peer sent an answer as a request; the key {ROOT_KEY} names the owner");
            None
        }
    }
}
