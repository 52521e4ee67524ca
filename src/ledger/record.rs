//! The records of a ledger: jobs and the changes made to them.

use crate::core::{
    Adjacency,
    Shape, //
};
use bytes::Bytes;

/// A job as a caller submits it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Submission {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Class of work, which sets the completion time and other terms.
    #[prost(string, tag = "2")]
    pub class: String,
    /// The caller's idempotency key; at most one job of the account has it.
    #[prost(string, tag = "3")]
    pub idempotency_key: String,
    /// Accelerators on each worker.
    #[prost(uint32, tag = "4")]
    pub accelerators_per_worker: u32,
    /// Workers of the gang.
    #[prost(uint32, tag = "5")]
    pub workers: u32,
    /// How close to each other the workers have to be.
    #[prost(enumeration = "AdjacencyCode", tag = "6")]
    pub adjacency: i32,
    /// Whether the job may be started again after an attempt that may have begun.
    #[prost(bool, tag = "7")]
    pub idempotent: bool,
    /// The caller's estimate of the run time.
    #[prost(uint64, tag = "8")]
    pub declared_run_ms: u64,
    /// Input of the task.
    #[prost(bytes = "bytes", tag = "9")]
    pub payload: Bytes,
}

/// [`Adjacency`] as it is encoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum AdjacencyCode {
    /// [`Adjacency::Anywhere`].
    Anywhere = 0,
    /// [`Adjacency::NeighbouringRacks`].
    NeighbouringRacks = 1,
    /// [`Adjacency::Rack`].
    Rack = 2,
}

impl From<Adjacency> for AdjacencyCode {
    fn from(adjacency: Adjacency) -> Self {
        match adjacency {
            Adjacency::Anywhere => Self::Anywhere,
            Adjacency::NeighbouringRacks => Self::NeighbouringRacks,
            Adjacency::Rack => Self::Rack,
        }
    }
}

impl Submission {
    /// Returns the requested shape. Counts beyond 16 bits saturate, which makes the
    /// shape impossible to place.
    pub fn shape(&self) -> Shape {
        Shape {
            accelerators_per_worker: u16::try_from(self.accelerators_per_worker)
                .unwrap_or(u16::MAX),
            workers: u16::try_from(self.workers).unwrap_or(u16::MAX),
            adjacency: match self.adjacency() {
                AdjacencyCode::Anywhere => Adjacency::Anywhere,
                AdjacencyCode::NeighbouringRacks => Adjacency::NeighbouringRacks,
                AdjacencyCode::Rack => Adjacency::Rack,
            },
        }
    }

    /// Sets the requested shape.
    pub fn set_shape(&mut self, shape: Shape) {
        self.accelerators_per_worker = u32::from(shape.accelerators_per_worker);
        self.workers = u32::from(shape.workers);
        self.set_adjacency(AdjacencyCode::from(shape.adjacency));
    }
}

/// The answer of a job, or the worker that stores it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct AnswerRecord {
    /// Worker that stores the answer.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Attempt that produced the answer.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Length of the answer.
    #[prost(uint64, tag = "3")]
    pub size_bytes: u64,
    /// SHA-256 of the answer.
    #[prost(bytes = "bytes", tag = "4")]
    pub sha256: Bytes,
    /// The answer itself, if it is short.
    #[prost(bytes = "bytes", tag = "5")]
    pub inline: Bytes,
}

/// How a job ended, as it is encoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum OutcomeCode {
    /// The job has not ended.
    None = 0,
    /// The job completed. An idempotent job may have begun more than once.
    Served = 1,
    /// A task failed and must not be repeated, or the job reached the limit of
    /// failures.
    Failed = 2,
    /// The job was cancelled, and no attempt has begun.
    CancelledNotRun = 3,
    /// The job was cancelled, and an attempt may have begun.
    Cancelled = 4,
    /// An attempt may have begun, and its result is unknown.
    MayHaveRun = 5,
    /// The job failed on several healthy workers.
    UnableToRun = 6,
}

impl OutcomeCode {
    /// Returns the name of the outcome in answers and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Served => "served",
            Self::Failed => "failed",
            Self::CancelledNotRun => "cancelled_not_run",
            Self::Cancelled => "cancelled",
            Self::MayHaveRun => "may_have_run",
            Self::UnableToRun => "unable_to_run",
        }
    }
}

/// One member of a gang in an attempt.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// Worker of the member.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The member's accelerators as a bit mask.
    #[prost(uint32, tag = "2")]
    pub mask: u32,
}

/// The durable state of one job.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct JobRecord {
    /// Id of the job.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The submission.
    #[prost(message, required, tag = "2")]
    pub submission: Submission,
    /// When it was accepted, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub accepted_ms: u64,
    /// Number of the latest attempt.
    #[prost(uint32, tag = "4")]
    pub attempt: u32,
    /// Members of the latest attempt, while it may be running.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<MemberRecord>,
    /// Progress that checkpoints have saved.
    #[prost(uint64, tag = "6")]
    pub progress_ms: u64,
    /// How often the job was preempted.
    #[prost(uint32, tag = "7")]
    pub preemptions: u32,
    /// How often a task of the job failed or its start was refused.
    #[prost(uint32, tag = "8")]
    pub failures: u32,
    /// How the job ended, as an [`OutcomeCode`].
    #[prost(enumeration = "OutcomeCode", tag = "9")]
    pub outcome: i32,
    /// When the job ended.
    #[prost(uint64, tag = "10")]
    pub ended_ms: u64,
    /// The answer, once the job has completed.
    #[prost(message, optional, tag = "11")]
    pub answer: Option<AnswerRecord>,
    /// When the start of the latest attempt was decided.
    #[prost(uint64, tag = "12")]
    pub starting_ms: u64,
    /// Whether the account has cancelled the job.
    #[prost(bool, tag = "13")]
    pub cancelling: bool,
}

/// One change to the ledger. Changes are stored in the order in which they were
/// made.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Change {
    /// What changed.
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<ChangeKind>,
}

/// The kinds of change.
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum ChangeKind {
    /// A job was accepted.
    #[prost(message, tag = "1")]
    Accepted(JobRecord),
    /// An attempt was decided; it may start once this change is durable.
    #[prost(message, tag = "2")]
    Starting(StartingChange),
    /// The attempt ended and the job is queued again.
    #[prost(message, tag = "3")]
    Requeued(RequeuedChange),
    /// The job ended.
    #[prost(message, tag = "4")]
    Ended(EndedChange),
    /// The retention time of the ended job has expired; the job is deleted.
    #[prost(uint64, tag = "5")]
    Forgotten(u64),
    /// The account has cancelled the job.
    #[prost(uint64, tag = "6")]
    Cancelling(u64),
}

/// An attempt was decided; it may start once this change is durable.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct StartingChange {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Members of the attempt.
    #[prost(message, repeated, tag = "3")]
    pub members: Vec<MemberRecord>,
    /// When the start was decided.
    #[prost(uint64, tag = "4")]
    pub starting_ms: u64,
}

/// The attempt ended and the job is queued again.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RequeuedChange {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Progress that checkpoints have saved.
    #[prost(uint64, tag = "2")]
    pub progress_ms: u64,
    /// How often the job was preempted.
    #[prost(uint32, tag = "3")]
    pub preemptions: u32,
    /// How often a task of the job failed or its start was refused.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
}

/// The job ended.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct EndedChange {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// How the job ended, as an [`OutcomeCode`].
    #[prost(enumeration = "OutcomeCode", tag = "2")]
    pub outcome: i32,
    /// When the job ended.
    #[prost(uint64, tag = "3")]
    pub ended_ms: u64,
    /// The answer, once the job has completed.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<AnswerRecord>,
}

impl From<ChangeKind> for Change {
    fn from(kind: ChangeKind) -> Self {
        Self { kind: Some(kind) }
    }
}
