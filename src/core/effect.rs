//! The effects of a command, which the owner carries out, and their reasons.

use super::{
    AttemptId,
    JobId,
    WorkerKey,
    worker::AcceleratorMask, //
};
use crate::ledger::{
    AnswerRecord,
    Change,
    OutcomeCode, //
};
use bytes::Bytes;

/// Why a submission is refused; each reason has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// The account is not declared.
    UnknownAccount,
    /// The class is not declared.
    UnknownClass,
    /// No worker, rack or run of racks could ever hold the shape.
    ImpossibleShape,
    /// The shape is larger than the account's quota.
    QuotaTooSmall,
    /// The account has too many waiting jobs.
    AccountQueueFull,
    /// The class has too many waiting jobs.
    ClassQueueFull,
    /// The job is expected to miss the completion time of its class.
    CannotMeetClass,
    /// The idempotency key was used for a different submission.
    KeyReused,
    /// The owner cannot be sure that its configuration is the one in force.
    ConfigurationStale,
    /// The owner cannot commit to the store.
    StoreUnavailable,
    /// The daemon is draining.
    Draining,
    /// No owner is known for the data centre.
    NoOwner,
    /// Too many requests are in progress.
    Overloaded,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [RefusalReason; 13] = [
        Self::UnknownAccount,
        Self::UnknownClass,
        Self::ImpossibleShape,
        Self::QuotaTooSmall,
        Self::AccountQueueFull,
        Self::ClassQueueFull,
        Self::CannotMeetClass,
        Self::KeyReused,
        Self::ConfigurationStale,
        Self::StoreUnavailable,
        Self::Draining,
        Self::NoOwner,
        Self::Overloaded,
    ];

    /// Returns the name of the reason in counters and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownAccount => "unknown_account",
            Self::UnknownClass => "unknown_class",
            Self::ImpossibleShape => "impossible_shape",
            Self::QuotaTooSmall => "quota_too_small",
            Self::AccountQueueFull => "account_queue_full",
            Self::ClassQueueFull => "class_queue_full",
            Self::CannotMeetClass => "cannot_meet_class",
            Self::KeyReused => "key_reused",
            Self::ConfigurationStale => "configuration_stale",
            Self::StoreUnavailable => "store_unavailable",
            Self::Draining => "draining",
            Self::NoOwner => "no_owner",
            Self::Overloaded => "overloaded",
        }
    }

    /// Returns the reason called `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.name() == name)
    }

    /// Returns what a caller can do about the refusal.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::UnknownAccount => "ask an operator to declare the account",
            Self::UnknownClass => "use a declared class",
            Self::ImpossibleShape => "ask for a shape that the data centre can hold",
            Self::QuotaTooSmall => "ask for less, or ask an operator for a larger quota",
            Self::AccountQueueFull | Self::ClassQueueFull | Self::Overloaded => {
                "submit again after retry_after_ms"
            }
            Self::CannotMeetClass => "submit again after retry_after_ms or in a longer class",
            Self::KeyReused => "use a new idempotency key for a different job",
            Self::ConfigurationStale | Self::StoreUnavailable | Self::NoOwner => {
                "submit again with the same key after retry_after_ms"
            }
            Self::Draining => "submit again through another daemon",
        }
    }
}

/// A refusal of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the submission is refused.
    pub reason: RefusalReason,
    /// Whether it is certain that the job did not run and will not run. Only an
    /// owner with a valid lease whose ledger does not contain the idempotency key
    /// can know this; any other daemon knows only that it did not accept the
    /// request.
    pub not_run: bool,
    /// Time after which submitting again may succeed; 0 for never.
    pub retry_after_ms: u64,
}

/// Why an attempt is repeated; each reason has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// A worker refused the reservation.
    ReserveRefused,
    /// A worker refused to start the task.
    StartRefused,
    /// The task failed.
    TaskFailed,
    /// A worker was lost.
    WorkerLost,
    /// The worker stopped the task by itself, for example when its lease expired.
    TaskStopped,
    /// Not all members of the gang confirmed their start in time.
    StartTimeout,
    /// A new owner found that the attempt had not begun.
    FoundNotBegun,
    /// A new owner found only some members of the gang.
    FoundPartial,
    /// The attempt was preempted.
    Preempted,
    /// The attempt was moved to make space for a large gang.
    Moved,
}

impl RetryReason {
    /// Returns the name of the reason in counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReserveRefused => "reserve_refused",
            Self::StartRefused => "start_refused",
            Self::TaskFailed => "task_failed",
            Self::WorkerLost => "worker_lost",
            Self::TaskStopped => "task_stopped",
            Self::StartTimeout => "start_timeout",
            Self::FoundNotBegun => "found_not_begun",
            Self::FoundPartial => "found_partial",
            Self::Preempted => "preempted",
            Self::Moved => "moved",
        }
    }
}

/// Why a gang is being stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopKind {
    /// Other work preempts it.
    Preempt,
    /// A large gang needs its place, and the job can continue elsewhere.
    Move,
    /// The caller cancelled it.
    Cancel,
    /// A member failed or was lost.
    Failure(RetryReason),
}

/// How a job ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// The kind of end.
    pub code: OutcomeCode,
    /// The answer of a served job.
    pub answer: Option<AnswerRecord>,
}

/// An action or a message that the owner carries out. Gated effects wait until
/// every earlier change is durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make the change durable.
    Persist(Change),
    /// Ask a worker to reserve accelerators for an attempt.
    Reserve {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerKey,
        /// The accelerators.
        mask: AcceleratorMask,
    },
    /// Tell a worker to start a reserved attempt; gated.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerKey,
        /// Run time already covered by an earlier checkpoint.
        progress_ms: u64,
        /// Input of the task.
        payload: Bytes,
    },
    /// Tell a worker to stop the task of an attempt or to release its reservation.
    Stop {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerKey,
        /// Time for a checkpoint; 0 for none.
        grace_ms: u64,
    },
    /// Ask a worker for the state of an attempt.
    Inspect {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerKey,
    },
    /// Answer that the submission is accepted, now or by an earlier request; gated.
    Accepted {
        /// Token of the request.
        token: u64,
        /// The job.
        job: JobId,
    },
    /// Answer that the submission is refused.
    Refused {
        /// Token of the request.
        token: u64,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answer that jobs are being cancelled and will not be resumed; gated.
    Cancelled {
        /// Token of the request.
        token: u64,
        /// Number of the requested jobs that belong to the account and had not
        /// ended.
        count: u32,
    },
    /// An attempt ended and the job will be tried again.
    Retried {
        /// The job.
        job: JobId,
        /// Why the attempt is repeated.
        reason: RetryReason,
    },
    /// A job ended; gated.
    Ended {
        /// The job.
        job: JobId,
        /// How the job ended.
        outcome: Outcome,
    },
    /// A worker failed several different jobs in a row and gets none until its
    /// probation.
    Quarantined {
        /// The worker.
        worker: WorkerKey,
    },
    /// Some guaranteed shapes of an account cannot be provided now.
    Shortfall {
        /// The account's name.
        account: String,
        /// Number of those shapes.
        missing: u16,
    },
}

impl Effect {
    /// Returns whether the effect has to wait until every earlier change is
    /// durable.
    pub fn is_gated(&self) -> bool {
        matches!(
            self,
            Self::Start { .. }
                | Self::Accepted { .. }
                | Self::Cancelled { .. }
                | Self::Ended { .. }
        )
    }
}
