//! Carries calls to workers for the owner.
//!
//! A carrier decides nothing: each call is the owner's, with its epoch, its lease and its ends to
//! acknowledge, and the answer goes back as it came. Two calls are not made as they are: one of
//! an owner that this daemon knows to be superseded, and an acknowledgement that may reach
//! another incarnation of the worker, because the call was delayed on its way.

use super::carried_connection::CarriedConnection;
use super::node::Node;
use super::peer_frame::PeerBody;
use super::worker_call::{
    AddressedCall,
    WorkerAnswer,
    WorkerCall, //
};
use crate::scheduler::{
    CallOutcome,
    StartRefusal, //
};
use std::rc::Rc;

/// Makes a call. The caller sends the answer before it awaits anything else, since answers have
/// to be sent in the order in which they are encoded.
pub async fn carry_out(
    node: Rc<Node>,
    connection: Rc<CarriedConnection>,
    worker: u32,
    mut call: AddressedCall,
) -> PeerBody {
    metrics::counter!("fuchsiaslip_carried_calls_total").increment(1);
    let now_ms = node.now_ms();
    if let WorkerCall::Poll { last_seen, .. } = &mut call.call
        && !connection.is_same_incarnation(worker, now_ms)
    {
        *last_seen = 0;
    }
    let known_epoch = node.owner().map_or(0, |owner| owner.epoch);
    let answer = match known_epoch > call.epoch {
        true => WorkerAnswer::Outcome(CallOutcome::Refused(StartRefusal::Fenced)),
        false => node.workers.call(&call).await,
    };
    PeerBody::WorkerAnswer(connection.encode(worker, answer, node.now_ms()))
}
