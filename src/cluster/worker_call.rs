//! Calls to workers, as the owner orders them and as they are carried out by itself or by
//! another daemon.

use crate::scheduler::{
    CallOutcome,
    Callee,
    PollReport,
    RunName, //
};
use std::sync::Arc;

/// Timeout of an order. A worker answers within a few milliseconds, so an answer that takes
/// longer than this is lost. The order can then be sent again within the time that the
/// members of a gang wait for each other.
const ORDER_TIMEOUT_MS: u64 = 450;
/// Time that a poll may take in addition to its wait.
const POLL_SLACK_MS: u64 = 600;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Renews the lease and returns runs and ends.
    Poll {
        /// Acknowledges all ends up to this number.
        last_seen: u64,
        /// End of the lease on the worker's clock; `None` leaves the lease unchanged.
        lease_end_ms: Option<u64>,
        /// How long the worker may hold the poll open.
        wait_ms: u64,
    },
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(RunName),
    /// Limits a run to `percent` of its full speed.
    Throttle {
        /// The run.
        name: RunName,
        /// The share in percent.
        percent: u32,
    },
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The run.
    pub name: RunName,
    /// The input of the task.
    pub payload: Arc<str>,
    /// The order is void after this time on the worker's clock.
    pub lease_end_ms: u64,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Approval of an external placement policy.
    pub ticket: Option<Arc<str>>,
}

/// A call with the worker that it is for and the epoch under which it is made.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedCall {
    /// The owner's epoch.
    pub epoch: u64,
    /// The address of the worker.
    pub address: Arc<str>,
    /// The worker's name; a worker with another name does not carry out the call.
    pub worker_name: Arc<str>,
    /// The call.
    pub call: WorkerCall,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerAnswer {
    /// The worker answered a poll.
    Report(PollReport),
    /// The outcome of an order, or of a poll without a report.
    Outcome(CallOutcome),
}

impl WorkerCall {
    /// Returns how long the answer of the worker may take.
    pub fn timeout_ms(&self) -> u64 {
        match self {
            Self::Poll { wait_ms, .. } => wait_ms + POLL_SLACK_MS,
            Self::Start(_) | Self::Stop(_) | Self::Throttle { .. } => ORDER_TIMEOUT_MS,
        }
    }
}

impl AddressedCall {
    /// Returns the call for a callee of the scheduler.
    pub fn to_callee(epoch: u64, callee: &Callee, call: WorkerCall) -> Self {
        Self {
            epoch,
            address: callee.address.clone(),
            worker_name: callee.worker_name.clone(),
            call,
        }
    }
}
