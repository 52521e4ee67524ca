//! Messages between daemons, and their conversion to and from the requests, replies
//! and worker updates of an owner.

use crate::backend::{
    TaskBody,
    TasksBody, //
};
use crate::core::{
    AccountReport,
    JobId,
    JobReport,
    Refusal,
    RefusalReason,
    WorkerReport, //
};
use crate::ledger::{
    AnswerRecord,
    Submission, //
};
use crate::owner::{
    Ended,
    Reply,
    Request,
    WorkerUpdate, //
};
use bytes::Bytes;

/// One message on a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The content; `None` if this version of the program does not know its kind.
    #[prost(oneof = "FrameKind", tags = "1, 2, 3, 4")]
    pub kind: Option<FrameKind>,
}

/// The content of a frame.
#[expect(
    clippy::large_enum_variant,
    reason = "a frame lives only while it is encoded or handled"
)]
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FrameKind {
    /// The first frame of a connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A daemon's periodic heartbeat.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// A request.
    #[prost(message, tag = "3")]
    Request(RequestFrame),
    /// The reply to a request.
    #[prost(message, tag = "4")]
    Reply(ReplyFrame),
}

/// Identifies the daemon that opens a connection.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Hello {
    /// Digest of the token that all daemons share.
    #[prost(bytes = "bytes", tag = "1")]
    pub token: Bytes,
    /// The daemon's name.
    #[prost(string, tag = "2")]
    pub daemon: String,
}

/// A daemon's periodic report of its state to its peers.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The daemon's name.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// The daemon's epoch if it is the owner of its data centre, else 0.
    #[prost(uint64, tag = "2")]
    pub owner_epoch: u64,
    /// Version of the configuration in force at the daemon.
    #[prost(uint64, tag = "3")]
    pub configuration_version: u64,
    /// Age of the latest confirmation that this version is the current one, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub confirmed_age_ms: u64,
    /// Whether the daemon is draining.
    #[prost(bool, tag = "5")]
    pub draining: bool,
}

/// A request with a number that its reply repeats.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestFrame {
    /// Number of the request on its connection.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How many times daemons have forwarded the request.
    #[prost(uint32, tag = "2")]
    pub hops: u32,
    /// The content of the request.
    #[prost(oneof = "RequestBody", tags = "3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<RequestBody>,
}

/// The content of a request.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum RequestBody {
    /// [`Request::Submit`].
    #[prost(message, tag = "3")]
    Submit(SubmitBody),
    /// [`Request::Wait`].
    #[prost(uint64, tag = "4")]
    Wait(u64),
    /// [`Request::Explain`].
    #[prost(uint64, tag = "5")]
    Explain(u64),
    /// [`Request::Cancel`].
    #[prost(message, tag = "6")]
    Cancel(CancelBody),
    /// [`Request::Accounts`].
    #[prost(bool, tag = "7")]
    Accounts(bool),
    /// [`Request::Workers`].
    #[prost(bool, tag = "8")]
    Workers(bool),
    /// An update about a worker, for the owner.
    #[prost(message, tag = "9")]
    WorkerUpdate(WorkerUpdateBody),
    /// Asks for the configuration in force at the peer.
    #[prost(bool, tag = "10")]
    Configuration(bool),
}

/// A job to accept.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct SubmitBody {
    /// The job.
    #[prost(message, required, tag = "1")]
    pub submission: Submission,
    /// When the front end received it from the caller, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub received_ms: u64,
}

/// Jobs to cancel.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct CancelBody {
    /// The client account; jobs of other accounts are left alone.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The jobs.
    #[prost(uint64, repeated, tag = "2")]
    pub jobs: Vec<u64>,
}

/// An update about a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkerUpdateBody {
    /// The worker's name.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The update.
    #[prost(oneof = "NewsKind", tags = "2, 3, 4")]
    pub kind: Option<NewsKind>,
}

/// Kinds of updates about a worker. The attribute of [`WorkerUpdateBody::kind`]
/// refers to this type by name.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum NewsKind {
    /// [`WorkerUpdate::Changes`].
    #[prost(message, tag = "2")]
    Changes(TasksBody),
    /// [`WorkerUpdate::Unresponsive`], with its duration in milliseconds.
    #[prost(uint64, tag = "3")]
    Unresponsive(u64),
    /// [`WorkerUpdate::Responded`].
    #[prost(message, tag = "4")]
    Responded(RespondedBody),
}

/// Content of [`WorkerUpdate::Responded`].
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct RespondedBody {
    /// The worker's incarnation.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Whether the worker reports that it is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
}

/// The reply to a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplyFrame {
    /// Number of the request on its connection.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The content of the reply.
    #[prost(oneof = "ReplyBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<ReplyBody>,
}

/// The content of a reply.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplyBody {
    /// [`Reply::Accepted`].
    #[prost(uint64, tag = "2")]
    Accepted(u64),
    /// [`Reply::Refused`].
    #[prost(message, tag = "3")]
    Refused(RefusedBody),
    /// [`Reply::Ended`].
    #[prost(message, tag = "4")]
    Ended(EndedBody),
    /// [`Reply::Job`].
    #[prost(message, tag = "5")]
    Job(JobReport),
    /// [`Reply::NotFound`].
    #[prost(bool, tag = "6")]
    NotFound(bool),
    /// [`Reply::Cancelled`].
    #[prost(uint32, tag = "7")]
    Cancelled(u32),
    /// [`Reply::Accounts`].
    #[prost(message, tag = "8")]
    Accounts(AccountsBody),
    /// [`Reply::Workers`].
    #[prost(message, tag = "9")]
    Workers(WorkersBody),
    /// [`Reply::NotOwner`].
    #[prost(bool, tag = "10")]
    NotOwner(bool),
    /// [`Reply::OutcomeUnknown`].
    #[prost(bool, tag = "11")]
    OutcomeUnknown(bool),
    /// The owner has handled the worker update.
    #[prost(bool, tag = "12")]
    UpdateHandled(bool),
    /// The configuration in force at the peer.
    #[prost(message, tag = "13")]
    Configuration(ConfigurationBody),
}

/// A refusal.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RefusedBody {
    /// Name of the [`RefusalReason`].
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Milliseconds to wait before submitting again; 0 if a retry cannot succeed.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
    /// Whether the job did not run and will not run.
    #[prost(bool, tag = "3")]
    pub not_run: bool,
}

/// The outcome of a job that has ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndedBody {
    /// The report of the job.
    #[prost(message, required, tag = "1")]
    pub report: JobReport,
    /// The job's answer.
    #[prost(message, optional, tag = "2")]
    pub answer: Option<AnswerRecord>,
    /// Address of the worker that keeps the answer.
    #[prost(string, optional, tag = "3")]
    pub answer_address: Option<String>,
}

/// Reports on all accounts and on the data centre.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AccountsBody {
    /// One report for each account.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<AccountReport>,
    /// Fragmentation of the data centre, from 0 to 1.
    #[prost(double, tag = "2")]
    pub fragmentation: f64,
    /// Version of the configuration in force.
    #[prost(uint64, tag = "3")]
    pub configuration_version: u64,
}

/// Reports on all workers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkersBody {
    /// One report for each worker.
    #[prost(message, repeated, tag = "1")]
    pub workers: Vec<WorkerReport>,
}

/// A configuration in the encoding of the store.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct ConfigurationBody {
    /// The encoded configuration; empty if the daemon has none.
    #[prost(bytes = "bytes", tag = "1")]
    pub value: Bytes,
}

impl From<FrameKind> for Frame {
    fn from(kind: FrameKind) -> Self {
        Self { kind: Some(kind) }
    }
}

impl From<Request> for RequestBody {
    fn from(request: Request) -> Self {
        match request {
            Request::Submit {
                submission,
                received_ms,
            } => Self::Submit(SubmitBody {
                submission,
                received_ms,
            }),
            Request::Wait(job) => Self::Wait(job.0),
            Request::Explain(job) => Self::Explain(job.0),
            Request::Cancel { account, jobs } => Self::Cancel(CancelBody {
                account,
                jobs: jobs.into_iter().map(|job| job.0).collect(),
            }),
            Request::Accounts => Self::Accounts(true),
            Request::Workers => Self::Workers(true),
        }
    }
}

impl RequestBody {
    /// Returns the request to the owner. Returns `None` for a worker update and for a
    /// request to the daemon itself.
    pub fn into_request(self) -> Option<Request> {
        Some(match self {
            Self::Submit(body) => Request::Submit {
                submission: body.submission,
                received_ms: body.received_ms,
            },
            Self::Wait(job) => Request::Wait(JobId(job)),
            Self::Explain(job) => Request::Explain(JobId(job)),
            Self::Cancel(body) => Request::Cancel {
                account: body.account,
                jobs: body.jobs.into_iter().map(JobId).collect(),
            },
            Self::Accounts(_) => Request::Accounts,
            Self::Workers(_) => Request::Workers,
            Self::WorkerUpdate(_) | Self::Configuration(_) => return None,
        })
    }
}

impl From<Reply> for ReplyBody {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Accepted(job) => Self::Accepted(job.0),
            Reply::Refused(refusal) => Self::Refused(RefusedBody {
                reason: refusal.reason.name().to_owned(),
                retry_after_ms: refusal.retry_after_ms,
                not_run: refusal.not_run,
            }),
            Reply::Ended(ended) => Self::Ended(EndedBody {
                report: ended.report,
                answer: ended.answer,
                answer_address: ended.answer_address,
            }),
            Reply::Job(report) => Self::Job(*report),
            Reply::NotFound => Self::NotFound(true),
            Reply::Cancelled(count) => Self::Cancelled(count),
            Reply::Accounts {
                accounts,
                fragmentation,
                configuration_version,
            } => Self::Accounts(AccountsBody {
                accounts,
                fragmentation,
                configuration_version,
            }),
            Reply::Workers(workers) => Self::Workers(WorkersBody { workers }),
            Reply::NotOwner => Self::NotOwner(true),
            Reply::OutcomeUnknown => Self::OutcomeUnknown(true),
        }
    }
}

impl ReplyBody {
    /// Returns the owner's reply to a [`Request`]. Returns `None` for the reply to a
    /// worker update and to a request for the configuration. A refusal with a reason
    /// that this version does not know becomes [`Reply::OutcomeUnknown`].
    pub fn into_reply(self) -> Option<Reply> {
        Some(match self {
            Self::Accepted(job) => Reply::Accepted(JobId(job)),
            Self::Refused(body) => match RefusalReason::from_name(&body.reason) {
                Some(reason) => Reply::Refused(Refusal {
                    reason,
                    not_run: body.not_run,
                    retry_after_ms: body.retry_after_ms,
                }),
                None => Reply::OutcomeUnknown,
            },
            Self::Ended(body) => Reply::Ended(Box::new(Ended {
                report: body.report,
                answer: body.answer,
                answer_address: body.answer_address,
            })),
            Self::Job(report) => Reply::Job(Box::new(report)),
            Self::NotFound(_) => Reply::NotFound,
            Self::Cancelled(count) => Reply::Cancelled(count),
            Self::Accounts(body) => Reply::Accounts {
                accounts: body.accounts,
                fragmentation: body.fragmentation,
                configuration_version: body.configuration_version,
            },
            Self::Workers(body) => Reply::Workers(body.workers),
            Self::NotOwner(_) => Reply::NotOwner,
            Self::OutcomeUnknown(_) => Reply::OutcomeUnknown,
            Self::UpdateHandled(_) | Self::Configuration(_) => return None,
        })
    }
}

impl WorkerUpdateBody {
    /// Encodes an update about `worker`.
    pub fn new(worker: &str, update: &WorkerUpdate) -> Self {
        let kind = match update {
            WorkerUpdate::Changes(changes) => NewsKind::Changes(TasksBody {
                tasks: changes.iter().map(TaskBody::from).collect(),
            }),
            WorkerUpdate::Unresponsive { unresponsive_ms } => {
                NewsKind::Unresponsive(*unresponsive_ms)
            }
            WorkerUpdate::Responded {
                incarnation,
                leaving,
            } => NewsKind::Responded(RespondedBody {
                incarnation: *incarnation,
                leaving: *leaving,
            }),
        };
        Self {
            worker: worker.to_owned(),
            kind: Some(kind),
        }
    }

    /// Decodes the worker's name and the update; `None` if the kind of the update is
    /// unknown to this version.
    pub fn into_update(self) -> Option<(String, WorkerUpdate)> {
        let update = match self.kind? {
            NewsKind::Changes(body) => {
                WorkerUpdate::Changes(body.tasks.into_iter().map(TaskBody::into_change).collect())
            }
            NewsKind::Unresponsive(unresponsive_ms) => {
                WorkerUpdate::Unresponsive { unresponsive_ms }
            }
            NewsKind::Responded(body) => WorkerUpdate::Responded {
                incarnation: body.incarnation,
                leaving: body.leaving,
            },
        };
        Some((self.worker, update))
    }
}
