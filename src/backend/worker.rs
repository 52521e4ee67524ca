//! Calls and answers of workers: reserve, start, stop, inspect, and a long poll that
//! renews the worker's lease and returns the changes of its tasks.

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
    /// Reserves accelerators for an attempt. The reservation expires unless the
    /// attempt is started.
    Reserve {
        /// The caller's epoch; a worker refuses an epoch lower than the highest it
        /// has seen.
        epoch: u64,
        /// The attempt.
        attempt: AttemptId,
        /// The accelerators.
        mask: AcceleratorMask,
        /// Lifetime of the reservation, in milliseconds.
        expires_ms: u64,
    },
    /// Starts a reserved attempt.
    Start {
        /// The caller's epoch.
        epoch: u64,
        /// The attempt.
        attempt: AttemptId,
        /// Work that an earlier checkpoint saved, in milliseconds of run time.
        progress_ms: u64,
        /// Input of the task.
        payload: Bytes,
    },
    /// Stops an attempt or ends its reservation.
    Stop {
        /// The caller's epoch.
        epoch: u64,
        /// The attempt.
        attempt: AttemptId,
        /// Time that the task has for a checkpoint, in milliseconds; 0 for none.
        grace_ms: u64,
    },
    /// Asks for the state of an attempt. From then on the worker refuses every lower
    /// epoch. If the attempt is reserved but not started, its reservation ends.
    Inspect {
        /// The caller's epoch.
        epoch: u64,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Renews the worker's lease and asks for the changes after `cursor`. The worker
    /// answers at once if there are any, else after `wait_ms`.
    Poll {
        /// Number of the last change that the caller knows.
        cursor: u64,
        /// How long the worker waits for a change, in milliseconds.
        wait_ms: u64,
        /// How long the worker's tasks may run without another renewal, in
        /// milliseconds.
        lease_ms: u64,
    },
}

/// Why a worker refuses a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerRefusal {
    /// The worker has seen a higher epoch than the caller's.
    StaleEpoch,
    /// The worker is leaving.
    Leaving,
    /// The accelerators are reserved or in use.
    Busy,
    /// The worker has no reservation for the attempt.
    NotReserved,
    /// The task could not be started and has not begun.
    CannotStart,
}

impl WorkerRefusal {
    /// All reasons.
    pub const ALL: [WorkerRefusal; 5] = [
        Self::StaleEpoch,
        Self::Leaving,
        Self::Busy,
        Self::NotReserved,
        Self::CannotStart,
    ];

    /// Returns the name of the reason in the worker's answer.
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

/// State of a task on its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// The worker has no record of the task.
    Unknown,
    /// The task was reserved, has not started and will not start. Only a worker that
    /// has not restarted since the reservation reports this state.
    NotBegun,
    /// The task is running.
    Running,
    /// The task finished with this answer.
    Finished(AnswerRecord),
    /// The task started and failed.
    Failed,
    /// The task was stopped.
    Stopped {
        /// Work that its checkpoint saved, in milliseconds of run time.
        progress_ms: u64,
    },
}

/// A change of the state of one task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskChange {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its new state.
    pub state: TaskState,
}

/// The answer to a poll.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollAnswer {
    /// Identifies the incarnation of the worker; a restarted worker has another one
    /// and has lost its tasks.
    pub incarnation: u64,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Number of the last change that this answer covers.
    pub cursor: u64,
    /// The changes after the cursor of the poll.
    pub changes: Vec<TaskChange>,
}

/// A worker's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerAnswer {
    /// The call was carried out.
    Done,
    /// The call was not carried out and will not be carried out later.
    Refused(WorkerRefusal),
    /// The state of the attempt.
    State(TaskState),
    /// The answer to a poll.
    Polled(PollAnswer),
}

/// Why a call has no answer; the call may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WorkerFailure {
    /// No connection could be opened, or no valid answer arrived in time.
    #[error("the worker does not answer; calls are retried until its lease has expired")]
    Unresponsive,
}

type CallWorker =
    dyn Fn(String, WorkerCall) -> LocalBoxFuture<'static, Result<WorkerAnswer, WorkerFailure>>;

/// The workers, called through a closure that takes an address and a call.
#[derive(Clone)]
pub struct Workers {
    call: Rc<CallWorker>,
}

impl Workers {
    /// Creates an interface to workers to which `call` sends the calls.
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

    /// Sends one call to the worker at `address` and waits for its answer.
    ///
    /// # Errors
    ///
    /// No valid answer arrived; the call may have taken effect.
    pub async fn call(
        &self,
        address: String,
        call: WorkerCall,
    ) -> Result<WorkerAnswer, WorkerFailure> {
        (self.call)(address, call).await
    }
}
