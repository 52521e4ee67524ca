//! What a ledger holds: jobs, and the changes made to them.

use crate::core::{
    Adjacency,
    Shape, //
};
use bytes::Bytes;

/// What a caller submits.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Submission {
    /// Client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Class of work.
    #[prost(string, tag = "2")]
    pub class: String,
    /// The caller's own key; one key, one job.
    #[prost(string, tag = "3")]
    pub idempotency_key: String,
    /// Accelerators on each worker.
    #[prost(uint32, tag = "4")]
    pub accelerators_per_worker: u32,
    /// Workers of the gang.
    #[prost(uint32, tag = "5")]
    pub workers: u32,
    /// How close the workers have to be.
    #[prost(enumeration = "AdjacencyCode", tag = "6")]
    pub adjacency: i32,
    /// Whether the job may be started again after it may have begun.
    #[prost(bool, tag = "7")]
    pub idempotent: bool,
    /// The caller's estimate of the run time.
    #[prost(uint64, tag = "8")]
    pub declared_run_ms: u64,
    /// What the task is given.
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
    /// The shape asked for; counts beyond 16 bits saturate and fit nowhere.
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

    /// Sets the shape asked for.
    pub fn set_shape(&mut self, shape: Shape) {
        self.accelerators_per_worker = u32::from(shape.accelerators_per_worker);
        self.workers = u32::from(shape.workers);
        self.set_adjacency(AdjacencyCode::from(shape.adjacency));
    }
}

/// A job's whole answer, or where it is.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct AnswerRecord {
    /// Worker that keeps the answer.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Attempt that made it.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Its length.
    #[prost(uint64, tag = "3")]
    pub size_bytes: u64,
    /// Its SHA-256.
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
    /// Not ended.
    None = 0,
    /// Ran once, whole.
    Served = 1,
    /// Ran and failed.
    Failed = 2,
    /// Cancelled before it began.
    CancelledNotRun = 3,
    /// Cancelled after it began.
    Cancelled = 4,
    /// An attempt may have begun and its result is not known.
    MayHaveRun = 5,
    /// Failed on several healthy workers.
    UnableToRun = 6,
}

impl OutcomeCode {
    /// The outcome as answers and counters name it.
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

/// One member of a gang's attempt.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// Worker of the member.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Accelerators of the member, one bit each.
    #[prost(uint32, tag = "2")]
    pub mask: u32,
}

/// Everything that lasts of one job.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct JobRecord {
    /// The job's identity.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What was submitted.
    #[prost(message, required, tag = "2")]
    pub submission: Submission,
    /// When it was accepted, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub accepted_ms: u64,
    /// Number of the latest attempt.
    #[prost(uint32, tag = "4")]
    pub attempt: u32,
    /// Members of the latest attempt while it may be alive.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<MemberRecord>,
    /// Work that checkpoints have saved.
    #[prost(uint64, tag = "6")]
    pub progress_ms: u64,
    /// How often it was preempted.
    #[prost(uint32, tag = "7")]
    pub preemptions: u32,
    /// How often it failed.
    #[prost(uint32, tag = "8")]
    pub failures: u32,
    /// How it ended.
    #[prost(enumeration = "OutcomeCode", tag = "9")]
    pub outcome: i32,
    /// When it ended.
    #[prost(uint64, tag = "10")]
    pub ended_ms: u64,
    /// Its answer once served.
    #[prost(message, optional, tag = "11")]
    pub answer: Option<AnswerRecord>,
    /// When the latest attempt was committed to start.
    #[prost(uint64, tag = "12")]
    pub starting_ms: u64,
    /// Whether its account has cancelled it.
    #[prost(bool, tag = "13")]
    pub cancelling: bool,
}

/// One change to the ledger; the variants' order in time is the ledger's.
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
    /// An attempt may start from now on.
    #[prost(message, tag = "2")]
    Starting(StartingChange),
    /// The attempt is over and the job waits again.
    #[prost(message, tag = "3")]
    Requeued(RequeuedChange),
    /// The job ended.
    #[prost(message, tag = "4")]
    Ended(EndedChange),
    /// The job's retention is over.
    #[prost(uint64, tag = "5")]
    Forgotten(u64),
    /// The account has cancelled the job.
    #[prost(uint64, tag = "6")]
    Cancelling(u64),
}

/// An attempt may start from now on.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct StartingChange {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Its members.
    #[prost(message, repeated, tag = "3")]
    pub members: Vec<MemberRecord>,
    /// When.
    #[prost(uint64, tag = "4")]
    pub starting_ms: u64,
}

/// The attempt is over and the job waits again.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RequeuedChange {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Work that checkpoints have saved.
    #[prost(uint64, tag = "2")]
    pub progress_ms: u64,
    /// How often it was preempted.
    #[prost(uint32, tag = "3")]
    pub preemptions: u32,
    /// How often it failed.
    #[prost(uint32, tag = "4")]
    pub failures: u32,
}

/// The job ended.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct EndedChange {
    /// The job.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// How.
    #[prost(enumeration = "OutcomeCode", tag = "2")]
    pub outcome: i32,
    /// When.
    #[prost(uint64, tag = "3")]
    pub ended_ms: u64,
    /// Its answer once served.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<AnswerRecord>,
}

impl From<ChangeKind> for Change {
    fn from(kind: ChangeKind) -> Self {
        Self { kind: Some(kind) }
    }
}
