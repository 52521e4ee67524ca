//! Messages between daemons.

use prost::{
    Message,
    Oneof, //
};

/// A message on a connection between daemons.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Joins an answer to its question.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is asked or answered.
    #[prost(oneof = "PeerBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<PeerBody>,
}

/// What a message says.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Asks for the status of a job.
    #[prost(fixed64, tag = "2")]
    JobStatusOf(u64),
    /// The status, as a number of [`super::peer_connections::code_of`].
    #[prost(uint32, tag = "3")]
    JobStatus(u32),
    /// Asks how many jobs of a queue wait.
    #[prost(string, tag = "4")]
    PendingCountOf(String),
    /// How many jobs wait.
    #[prost(uint64, tag = "5")]
    PendingCount(u64),
    /// This job is stored.
    #[prost(message, tag = "6")]
    Accepted(JobBytes),
    /// This job's cancellation is stored.
    #[prost(fixed64, tag = "7")]
    Cancelled(u64),
    /// Store this job, for a daemon that the store refuses.
    #[prost(message, tag = "8")]
    Submit(JobBytes),
    /// Store this job's cancellation.
    #[prost(fixed64, tag = "9")]
    Cancel(u64),
    /// The outcome of storing it, as a number of `submit::StorageOutcome`.
    #[prost(uint32, tag = "10")]
    StorageOutcome(u32),
    /// The newest configuration, if it is above this version.
    #[prost(uint64, tag = "11")]
    ConfigurationAbove(u64),
    /// The configuration; empty for none.
    #[prost(bytes = "vec", tag = "12")]
    Configuration(Vec<u8>),
}

/// A job with its record as it is stored.
#[derive(Clone, PartialEq, Message)]
pub struct JobBytes {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Its record.
    #[prost(bytes = "vec", tag = "2")]
    pub record: Vec<u8>,
}

/// A heartbeat, one datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sender.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// The life of its process.
    #[prost(fixed64, tag = "2")]
    pub boot: u64,
    /// Port of its connections.
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// The epoch under which it owns; 0 for none.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// It reaches the store.
    #[prost(bool, tag = "5")]
    pub has_store: bool,
    /// It is ending.
    #[prost(bool, tag = "6")]
    pub draining: bool,
    /// Version of its configuration.
    #[prost(uint64, tag = "7")]
    pub configuration_version: u64,
    /// Milli-cores of its VM.
    #[prost(uint64, tag = "8")]
    pub cpu_millis: u64,
    /// Time to the next heartbeat.
    #[prost(uint64, tag = "9")]
    pub interval_ms: u64,
}
