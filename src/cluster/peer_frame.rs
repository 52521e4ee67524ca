//! Messages between daemons.

use super::carrier_frame::{
    AnswerMessage,
    CallMessage, //
};
use super::learned_frame::LearnedMessage;
use prost::{
    Message,
    Oneof, //
};

/// A request or a response on a connection between daemons.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Number of the request, repeated in its response.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The content; absent if a request has no response.
    #[prost(
        oneof = "PeerBody",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 20, 21"
    )]
    pub body: Option<PeerBody>,
}

/// The content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Asks for the status of a job.
    #[prost(fixed64, tag = "2")]
    JobStatusOf(u64),
    /// The status, as a number of [`super::peer_connections::status_code`].
    #[prost(uint32, tag = "3")]
    JobStatus(u32),
    /// Asks how many jobs of a queue wait.
    #[prost(string, tag = "4")]
    PendingCountOf(String),
    /// How many jobs wait.
    #[prost(uint64, tag = "5")]
    PendingCount(u64),
    /// Informs the owner that this job is stored.
    #[prost(message, tag = "6")]
    Accepted(JobBytes),
    /// Informs the owner that this job's cancellation is stored.
    #[prost(fixed64, tag = "7")]
    Cancelled(u64),
    /// Asks a peer to store this job, since the store does not answer the sender.
    #[prost(message, tag = "8")]
    Submit(JobBytes),
    /// Asks a peer to store the cancellation of this job if it is stored, as older versions of
    /// the program do.
    #[prost(fixed64, tag = "9")]
    CancelStored(u64),
    /// The outcome of storing a job or a cancellation, as a number of
    /// [`super::storage_outcome::StorageOutcome`].
    #[prost(uint32, tag = "10")]
    StorageOutcome(u32),
    /// Asks for the configuration if its version is above this one.
    #[prost(uint64, tag = "11")]
    ConfigurationAbove(u64),
    /// The configuration as JSON; empty if there is no newer version.
    #[prost(bytes = "vec", tag = "12")]
    Configuration(Vec<u8>),
    /// Asks a carrier to call a worker.
    #[prost(message, tag = "13")]
    WorkerCall(CallMessage),
    /// What became of the call.
    #[prost(message, tag = "14")]
    WorkerAnswer(AnswerMessage),
    /// Tells a likely successor what the owner has learned.
    #[prost(message, tag = "20")]
    Learned(LearnedMessage),
    /// Asks a peer to store this job's cancellation.
    #[prost(message, tag = "21")]
    Cancel(CancellationMessage),
}

/// A job and its record, encoded as in the store.
#[derive(Clone, PartialEq, Message)]
pub struct JobBytes {
    /// The job's id.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// The encoded record.
    #[prost(bytes = "vec", tag = "2")]
    pub record: Vec<u8>,
}

/// A cancellation of a job.
#[derive(Clone, PartialEq, Message)]
pub struct CancellationMessage {
    /// The job's id.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Whom the cancellation comes from, as in [`super::tombstone_limits::Submitter`].
    #[prost(fixed64, tag = "2")]
    pub submitter: u64,
}

/// A heartbeat, sent as one datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sender's name.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// The incarnation of the sender's process.
    #[prost(fixed64, tag = "2")]
    pub boot: u64,
    /// The port where the sender accepts connections of daemons.
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// The epoch under which the sender owns; 0 if it does not own.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Whether the sender reaches the store.
    #[prost(bool, tag = "5")]
    pub has_store: bool,
    /// Whether the sender is draining.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// The version of the sender's configuration.
    #[prost(uint64, tag = "7")]
    pub configuration_version: u64,
    /// Millicores of the sender's VM.
    #[prost(uint64, tag = "8")]
    pub cpu_millis: u64,
    /// Time to the next heartbeat, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub interval_ms: u64,
    /// Time since the store last answered the sender, in milliseconds; absent if it never
    /// did, or if the sender is of an older version.
    #[prost(uint64, optional, tag = "10")]
    pub store_answered_ago_ms: Option<u64>,
    /// For how long the sender's calls to the store have failed or been overdue, in
    /// milliseconds; absent if they do not.
    #[prost(uint64, optional, tag = "11")]
    pub store_failing_for_ms: Option<u64>,
    /// Jobs of which the sender recently could not tell whether they were stored.
    #[prost(fixed64, repeated, tag = "12")]
    pub unknown_jobs: Vec<u64>,
    /// Crashes at the start of a task that the sender counted as the owner.
    #[prost(message, repeated, tag = "13")]
    pub crashes: Vec<CrashMessage>,
    /// The sender's data centre.
    #[prost(string, tag = "14")]
    pub data_centre: String,
    /// How many workers the sender carries for an owner; 0 if it carries none.
    #[prost(uint64, tag = "15")]
    pub carried_workers: u64,
    /// Whether the sender keeps what owners have learned. One of an older version would close
    /// the connection on which it is told.
    #[prost(bool, tag = "20")]
    pub keeps_learned: bool,
    /// Whether a failure of the sender's own keeps it from owning.
    #[prost(bool, tag = "21")]
    pub failed: bool,
    /// Memory that jobs may take on the sender, in bytes; absent if it does not own.
    #[prost(uint64, optional, tag = "22")]
    pub job_limit_bytes: Option<u64>,
    /// Memory that jobs take on the sender, in bytes.
    #[prost(uint64, tag = "23")]
    pub job_bytes: u64,
}

/// A worker that crashed at the start of a run.
#[derive(Clone, PartialEq, Message)]
pub struct CrashMessage {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// The occurrence.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// The step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// The task's number in its step.
    #[prost(uint32, tag = "4")]
    pub index: u32,
    /// The number of the run.
    #[prost(uint64, tag = "5")]
    pub run: u64,
    /// Whether the run may have ended before the crash.
    #[prost(bool, tag = "6")]
    pub uncertain: bool,
    /// Whether all suspects of the crash were of one job, and the crash is certain.
    #[prost(bool, tag = "7")]
    pub only_suspect: bool,
}
