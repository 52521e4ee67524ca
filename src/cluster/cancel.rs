//! Stores cancellations.
//!
//! A cancellation of a stored job requires that the job has not changed. One of a job that is not
//! stored must hold for a write that the store carries out later: it leaves a tombstone, which
//! excludes the job (see [`super::tombstones`]).

use super::node::Node;
use super::peer_frame::{
    CancellationMessage,
    PeerBody, //
};
use super::records::{
    cancelled_key,
    job_key, //
};
use super::storage_outcome::StorageOutcome;
use super::store_types::{
    CommitResult,
    StoreError,
    StoredItem,
    Transaction, //
};
use super::submit::{
    FORWARD_TIMEOUT_MS,
    RETRY_MS,
    notify_owner, //
};
use super::tombstone_limits::Submitter;
use super::tombstones;
use crate::core::JobId;
use crate::scheduler::Input;
use bytes::Bytes;
use std::rc::Rc;

/// Cancels a job for `submitter`: stores the cancellation, from here or through a peer, and
/// notifies the owner.
pub async fn cancel(
    node: &Rc<Node>,
    job: JobId,
    submitter: Submitter,
    until_ms: u64,
) -> StorageOutcome {
    let mut outcome = store_cancellation_if_answered(node, job, Some(submitter), until_ms).await;
    if outcome == StorageOutcome::Refused
        && let Some(peer) = node.peer_with_store(job)
    {
        metrics::counter!("fuchsiaslip_forwarded_total", "call" => "cancel").increment(1);
        // A peer of an older version closes the connection, which leaves the outcome unknown.
        let body = PeerBody::Cancel(CancellationMessage {
            job: job.0,
            submitter: submitter.0,
        });
        let answer = node.peers.request(peer, body, FORWARD_TIMEOUT_MS);
        outcome = StorageOutcome::of_answer(answer.await);
    } else if outcome == StorageOutcome::Done {
        notify_owner_of_cancellation(node, job);
    }
    outcome
}

/// Notifies the owner of a stored cancellation.
pub fn notify_owner_of_cancellation(node: &Rc<Node>, job: JobId) {
    if node.owns() {
        node.control
            .send_input(node.epoch(), Input::JobCancelled(job));
    } else {
        notify_owner(node, PeerBody::Cancelled(job.0));
    }
}

/// Writes a job's cancellation to the store unless that is known not to answer.
async fn store_cancellation_if_answered(
    node: &Rc<Node>,
    job: JobId,
    submitter: Option<Submitter>,
    until_ms: u64,
) -> StorageOutcome {
    match node.confirm_store().await {
        true => store_cancellation(node, job, submitter, until_ms).await,
        false => StorageOutcome::Refused,
    }
}

/// Writes a job's cancellation to the store, or the tombstone of a job that is not stored.
async fn store_cancellation(
    node: &Rc<Node>,
    job: JobId,
    submitter: Option<Submitter>,
    until_ms: u64,
) -> StorageOutcome {
    let mut is_counted = false;
    // Whether a refusal means that no attempt has cancelled the job.
    let mut refusal_is_final = true;
    let mut timeout_ms = node.store_timeout_ms();
    loop {
        let found = node.call_store(node.store.get(&job_key(job))).await;
        let is_read = found.is_ok();
        let outcome = match (found, submitter) {
            (Ok(Some(item)), _) => node.call_store(cancel_stored(node, job, item)).await,
            // A daemon of an older version names no submitter.
            (Ok(None), None) => return StorageOutcome::Unknown,
            (Ok(None), Some(submitter)) => {
                if !is_counted && !tombstones::admit(node, submitter) {
                    return StorageOutcome::LimitReached;
                }
                is_counted = true;
                let store = tombstones::store(node, job, submitter, timeout_ms);
                let is_stored = node.call_store(store).await;
                is_stored.map(|is_stored| is_stored.then_some(StorageOutcome::NoSuchJob))
            }
            (Err(error), _) => Err(error),
        };
        timeout_ms *= 2;
        match outcome {
            Ok(Some(outcome)) => return outcome,
            // The job was stored or changed in between.
            Ok(None) => {}
            Err(StoreError::Refused) if refusal_is_final => return StorageOutcome::Refused,
            Err(StoreError::Refused) => {}
            // A read that was not answered changes nothing.
            Err(StoreError::NoAnswer) => refusal_is_final &= !is_read,
        }
        if node.now_ms() + RETRY_MS >= until_ms {
            return StorageOutcome::Unknown;
        }
        node.timer.sleep(RETRY_MS).await;
    }
}

/// Cancels the stored job `item`. Returns `None` if it was changed or deleted in between.
async fn cancel_stored(
    node: &Node,
    job: JobId,
    item: StoredItem,
) -> Result<Option<StorageOutcome>, StoreError> {
    let transaction = Transaction {
        expected: vec![(item.key, item.revision)],
        puts: vec![(cancelled_key(job), Bytes::from_static(b"{}"))],
        ..Transaction::default()
    };
    let result = node.store.commit(&transaction).await?;
    let is_stored = matches!(result, CommitResult::Done { .. });
    Ok(is_stored.then_some(StorageOutcome::Done))
}

/// Cancels a job for a peer that has lost the store. One of an older version names no submitter.
pub async fn answer_peer(
    node: &Rc<Node>,
    job: JobId,
    submitter: Option<Submitter>,
    until_ms: u64,
) -> PeerBody {
    let outcome = store_cancellation_if_answered(node, job, submitter, until_ms).await;
    if outcome == StorageOutcome::Done {
        notify_owner_of_cancellation(node, job);
    }
    PeerBody::StorageOutcome(outcome.code())
}
