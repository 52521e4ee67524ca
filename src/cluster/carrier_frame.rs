//! Messages between the owner and the daemons that carry its calls to workers.

use prost::{
    Message,
    Oneof, //
};

/// A call to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct CallMessage {
    /// The owner's epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The number of the worker on this connection.
    #[prost(uint32, tag = "2")]
    pub worker: u32,
    /// The worker itself, with the first call to it on this connection.
    #[prost(message, optional, tag = "3")]
    pub target: Option<TargetMessage>,
    /// The call.
    #[prost(oneof = "CallBody", tags = "4, 5, 6, 7")]
    pub body: Option<CallBody>,
}

/// Where a worker is called.
#[derive(Clone, PartialEq, Message)]
pub struct TargetMessage {
    /// Its address.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its name.
    #[prost(string, tag = "2")]
    pub worker_name: String,
}

/// The kinds of calls.
#[derive(Clone, PartialEq, Oneof)]
pub enum CallBody {
    /// A poll.
    #[prost(message, tag = "4")]
    Poll(PollMessage),
    /// A start.
    #[prost(message, tag = "5")]
    Start(StartMessage),
    /// A stop.
    #[prost(message, tag = "6")]
    Stop(RunMessage),
    /// A throttle order.
    #[prost(message, tag = "7")]
    Throttle(ThrottleMessage),
}

/// A poll of a worker.
#[derive(Clone, PartialEq, Message)]
pub struct PollMessage {
    /// Acknowledges all ends up to this number.
    #[prost(uint64, tag = "1")]
    pub last_seen: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    #[prost(uint64, optional, tag = "2")]
    pub lease_end_ms: Option<u64>,
    /// How long the worker may hold the poll open, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// A run of a task.
#[derive(Clone, PartialEq, Message)]
pub struct RunMessage {
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
}

/// A start of a run.
#[derive(Clone, PartialEq, Message)]
pub struct StartMessage {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub name: RunMessage,
    /// The input of the task; absent if this connection has carried it for the same job
    /// and both sides still remember it.
    #[prost(string, optional, tag = "2")]
    pub payload: Option<String>,
    /// The order is void after this time on the worker's clock.
    #[prost(uint64, tag = "3")]
    pub lease_end_ms: u64,
    /// The checkpoint to resume from.
    #[prost(string, optional, tag = "4")]
    pub checkpoint: Option<String>,
    /// Approval of an external placement policy.
    #[prost(string, optional, tag = "5")]
    pub ticket: Option<String>,
}

/// A throttle order.
#[derive(Clone, PartialEq, Message)]
pub struct ThrottleMessage {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub name: RunMessage,
    /// The share of its full speed, in percent.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
}

/// What became of a call.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerMessage {
    /// The number of the worker on this connection.
    #[prost(uint32, tag = "1")]
    pub worker: u32,
    /// The outcome, as a number of `carrier_session::outcome_code`; 0 beside a report.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
    /// The worker's answer to a poll.
    #[prost(message, optional, tag = "3")]
    pub report: Option<ReportMessage>,
}

/// A worker's answer to a poll, as what has changed since the one before on this connection.
#[derive(Clone, PartialEq, Message)]
pub struct ReportMessage {
    /// The worker's clock.
    #[prost(uint64, tag = "1")]
    pub clock_ms: u64,
    /// When its incarnation started, since the Unix epoch.
    #[prost(uint64, optional, tag = "2")]
    pub incarnation_start_ms: Option<u64>,
    /// The earlier reports are void: this one is complete.
    #[prost(bool, tag = "3")]
    pub complete: bool,
    /// Positions of the earlier runs that are not listed any more.
    #[prost(uint32, repeated, tag = "4")]
    pub removed: Vec<u32>,
    /// Runs that were not listed before.
    #[prost(message, repeated, tag = "5")]
    pub added: Vec<RowMessage>,
    /// Changes of runs that were listed before.
    #[prost(message, repeated, tag = "6")]
    pub changed: Vec<RowChangeMessage>,
    /// The lowest number of an end that is listed; 0 if none is.
    #[prost(uint64, tag = "7")]
    pub first_end: u64,
    /// Ends that were not listed before.
    #[prost(message, repeated, tag = "8")]
    pub ended: Vec<EndMessage>,
}

/// A run on a worker.
#[derive(Clone, PartialEq, Message)]
pub struct RowMessage {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub name: RunMessage,
    /// Its last checkpoint; empty for none.
    #[prost(string, tag = "2")]
    pub checkpoint: String,
    /// Its progress in percent.
    #[prost(uint32, tag = "3")]
    pub percent: u32,
    /// Its usage.
    #[prost(double, optional, tag = "4")]
    pub usage: Option<f64>,
}

/// A change of a run that was listed before.
#[derive(Clone, PartialEq, Message)]
pub struct RowChangeMessage {
    /// Its position among the runs that are listed now, in the order of their names.
    #[prost(uint32, tag = "1")]
    pub position: u32,
    /// Its last checkpoint, if that changed.
    #[prost(string, optional, tag = "2")]
    pub checkpoint: Option<String>,
    /// Its progress in percent.
    #[prost(uint32, tag = "3")]
    pub percent: u32,
    /// Its usage.
    #[prost(double, optional, tag = "4")]
    pub usage: Option<f64>,
}

/// The end of a run.
#[derive(Clone, PartialEq, Message)]
pub struct EndMessage {
    /// Number of the end.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The run.
    #[prost(message, required, tag = "2")]
    pub name: RunMessage,
    /// How it ended, as a number of `carrier_session::end_code`.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// Its last checkpoint; empty for none.
    #[prost(string, tag = "4")]
    pub checkpoint: String,
}
