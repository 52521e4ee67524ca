//! What workers offer: reserve, start, stop, inspect, and a long poll that
//! renews their lease and brings news of their tasks.

use crate::core::{
    AcceleratorMask,
    AttemptId, //
};
use crate::ledger::AnswerRecord;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use std::rc::Rc;

/// A call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerCall {
    /// Reserves accelerators for an attempt; expires by itself.
    Reserve {
        /// The caller's epoch; a worker refuses a lower one than it has seen.
        epoch: u64,
        /// The attempt.
        attempt: AttemptId,
        /// The accelerators.
        mask: AcceleratorMask,
        /// For how long.
        expires_ms: u64,
    },
    /// Starts a reserved attempt.
    Start {
        /// The caller's epoch.
        epoch: u64,
        /// The attempt.
        attempt: AttemptId,
        /// Work that an earlier checkpoint saved.
        progress_ms: u64,
        /// What the task is given.
        payload: Bytes,
    },
    /// Stops an attempt or ends its reservation.
    Stop {
        /// The caller's epoch.
        epoch: u64,
        /// The attempt.
        attempt: AttemptId,
        /// Time for a checkpoint; 0 for none.
        grace_ms: u64,
    },
    /// Asks for an attempt and fences every lower epoch out; a reservation
    /// that has not begun is ended by it.
    Inspect {
        /// The caller's epoch.
        epoch: u64,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Renews the worker's lease; answers at once if there is news after
    /// `cursor`, else after `wait_ms`.
    Poll {
        /// News up to here is known.
        cursor: u64,
        /// How long to wait for news.
        wait_ms: u64,
        /// For how long the worker's tasks may go on without another renewal.
        lease_ms: u64,
    },
}

/// Why a worker refuses a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerRefusal {
    /// A higher epoch was seen.
    StaleEpoch,
    /// The worker is leaving.
    Leaving,
    /// The accelerators are taken.
    Busy,
    /// There is no reservation of that attempt.
    NotReserved,
    /// The task could not be started and has not begun.
    CannotStart,
}

impl WorkerRefusal {
    /// All refusals.
    pub const ALL: [WorkerRefusal; 5] = [
        Self::StaleEpoch,
        Self::Leaving,
        Self::Busy,
        Self::NotReserved,
        Self::CannotStart,
    ];

    /// The refusal as the worker's answer names it.
    pub fn name(self) -> &'static str {
        match self {
            Self::StaleEpoch => "stale_epoch",
            Self::Leaving => "leaving",
            Self::Busy => "busy",
            Self::NotReserved => "not_reserved",
            Self::CannotStart => "cannot_start",
        }
    }
}

/// Where a task stands on its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// The worker knows nothing of it.
    Unknown,
    /// It was reserved, has not begun, and will not begin any more. Said only
    /// by a worker that has not restarted since the reservation.
    NotBegun,
    /// It runs.
    Running,
    /// It finished.
    Finished(AnswerRecord),
    /// It began and failed.
    Failed,
    /// It was stopped.
    Stopped {
        /// Work that its checkpoint saved.
        progress_ms: u64,
    },
}

/// News of one task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskChange {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it stands now.
    pub state: TaskState,
}

/// What a poll brings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollAnswer {
    /// Changes whenever the worker restarts and has forgotten its tasks.
    pub incarnation: u64,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// News up to here is in this answer.
    pub cursor: u64,
    /// The news.
    pub changes: Vec<TaskChange>,
}

/// A worker's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerAnswer {
    /// Done.
    Done,
    /// Not done, and it will not be done later.
    Refused(WorkerRefusal),
    /// Where the task stands.
    State(TaskState),
    /// The answer to a poll.
    Polled(PollAnswer),
}

/// A call without an answer; it may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WorkerFailure {
    /// No connection or no answer.
    #[error("the worker does not answer; it is retried until its lease has ended")]
    Silent,
}

type CallWorker =
    dyn Fn(String, WorkerCall) -> LocalBoxFuture<'static, Result<WorkerAnswer, WorkerFailure>>;

/// The workers behind a closure that takes an address and a call.
#[derive(Clone)]
pub struct Workers {
    call: Rc<CallWorker>,
}

impl Workers {
    /// Workers that `call` carries calls to.
    pub fn from_fn(
        call: impl Fn(
            String,
            WorkerCall,
        ) -> LocalBoxFuture<'static, Result<WorkerAnswer, WorkerFailure>>
        + 'static,
    ) -> Self {
        Self {
            call: Rc::new(call),
        }
    }

    /// Carries one call to the worker at `address`.
    ///
    /// # Errors
    ///
    /// No answer came; the call may have taken effect.
    pub async fn call(
        &self,
        address: String,
        call: WorkerCall,
    ) -> Result<WorkerAnswer, WorkerFailure> {
        (self.call)(address, call).await
    }
}
