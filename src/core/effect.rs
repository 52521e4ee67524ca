//! What a decision asks the owner to carry out.

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
    /// The completion time cannot be made.
    CannotMeetClass,
    /// The key was used for a different submission.
    KeyReused,
    /// The owner cannot vouch that its configuration is in force.
    ConfigurationStale,
    /// The owner cannot commit.
    StoreUnavailable,
    /// The daemon is draining.
    Draining,
    /// No owner is known for the data centre.
    NoOwner,
    /// Too many requests are being worked on.
    Overloaded,
}

impl RefusalReason {
    /// All reasons, for tests and docs.
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

    /// The reason as counters and answers name it.
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

    /// The reason of that name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.name() == name)
    }

    /// What a caller can do about it.
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
    /// Why.
    pub reason: RefusalReason,
    /// The job did not run and will not run. Only an owner whose lease stands
    /// and whose ledger does not know the key can say so; everybody else can
    /// only say that this request was not accepted.
    pub not_run: bool,
    /// When it may be worth asking again; 0 for never.
    pub retry_after_ms: u64,
}

/// Why an attempt is repeated; each reason has a counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// A worker did not reserve.
    ReserveRefused,
    /// A worker did not start the task.
    StartRefused,
    /// The task failed.
    TaskFailed,
    /// A worker was lost.
    WorkerLost,
    /// The worker stopped the task by itself, as when its lease ended.
    TaskStopped,
    /// The gang did not become whole in time.
    StartTimeout,
    /// A new owner found the attempt not begun.
    FoundNotBegun,
    /// A new owner found only some members of the gang.
    FoundPartial,
    /// The accelerators were called back.
    Preempted,
    /// It was moved out of the way of a large gang.
    Moved,
}

impl RetryReason {
    /// The reason as counters name it.
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
    /// Its accelerators were called back.
    Preempt,
    /// A large gang needs its place and it can go on elsewhere.
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

/// Something for the owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Make the change durable before any later gated effect is carried out.
    Persist(Change),
    /// Ask a worker to reserve for an attempt.
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
        /// Work that an earlier checkpoint saved.
        progress_ms: u64,
        /// What the task is given.
        payload: Bytes,
    },
    /// Tell a worker to stop an attempt; also ends a reservation.
    Stop {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerKey,
        /// Time for a checkpoint; 0 for none.
        grace_ms: u64,
    },
    /// Ask a worker what it knows of an attempt.
    Inspect {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerKey,
    },
    /// The submission was accepted, or found accepted before; gated.
    Accepted {
        /// The request.
        token: u64,
        /// The job.
        job: JobId,
    },
    /// The submission is refused.
    Refused {
        /// The request.
        token: u64,
        /// Why.
        refusal: Refusal,
    },
    /// So many jobs are being cancelled and will not come back; gated.
    Cancelled {
        /// The request.
        token: u64,
        /// How many of the jobs were the account's and had not ended.
        count: u32,
    },
    /// An attempt is over and the job will be tried again.
    Retried {
        /// The job.
        job: JobId,
        /// Why.
        reason: RetryReason,
    },
    /// A job ended; gated.
    Ended {
        /// The job.
        job: JobId,
        /// How.
        outcome: Outcome,
    },
    /// A worker fails what it starts and gets none until probation.
    Quarantined {
        /// The worker.
        worker: WorkerKey,
    },
    /// The guarantees of some accounts cannot all be had back now.
    Shortfall {
        /// The account's name.
        account: String,
        /// Shapes without a place.
        missing: u16,
    },
}

impl Effect {
    /// Whether the effect has to wait until every earlier change is durable.
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
