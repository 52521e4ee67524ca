//! The inputs of the scheduler: stored state, answers of workers and the platform, and
//! outcomes of earlier actions.

use super::{
    ClosedRuns,
    ClusterConfiguration,
    EmptyingOrder,
    JobRecord,
    Learned,
    MachineInfo,
    ProgressRecord,
    Resources,
    RunName,
    UpkeepOutcome,
    WaveOrder, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::sync::Arc;

/// A worker as it registers itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerInfo {
    /// Its name; a restarted worker may have another.
    pub worker_name: String,
    /// When the incarnation that wrote this started, since the Unix epoch; `None` where
    /// the platform does not say.
    pub incarnation_start_ms: Option<u64>,
    /// The address at which it takes calls.
    pub address: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Labels, such as its kind and rack.
    pub labels: Vec<String>,
    /// Its total resources.
    pub capacity: Resources,
    /// Whether it is draining, that is, about to leave.
    pub draining: bool,
    /// While it drains, the least time until it leaves.
    pub remaining_ms: Option<u64>,
}

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangEnded,
    /// The other members of its gang did not start in time.
    GangIncomplete,
}

impl EndKind {
    /// Returns the name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::GangEnded => "broken",
            Self::GangIncomplete => "alone",
        }
    }
}

/// A run that is on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRow {
    /// The run.
    pub name: RunName,
    /// Its last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Its progress in percent.
    pub percent: u32,
    /// Over the last half second: the tail of its response times in milliseconds if the
    /// task serves requests, otherwise its CPU use in thousandths of a core.
    pub usage: Option<f64>,
}

/// The end of a run, which the worker lists until the end is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRow {
    /// Number of the end in this incarnation of the worker, starting at 1 and rising.
    pub number: u64,
    /// The run.
    pub name: RunName,
    /// How it ended.
    pub kind: EndKind,
    /// Its last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReport {
    /// The worker's clock when it answered.
    pub clock_ms: u64,
    /// When the incarnation that answered started, since the Unix epoch; `None` where
    /// the platform does not say.
    pub incarnation_start_ms: Option<u64>,
    /// The runs on the worker.
    pub running: Vec<RunningRow>,
    /// Ends that have not been acknowledged yet.
    pub ended: Vec<EndedRow>,
}

/// Why a worker did not start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The worker has seen a higher epoch.
    Fenced,
    /// A run of the task with this number or a higher one was stopped or ended there.
    OldRun,
    /// The order's deadline has passed.
    Late,
    /// The worker has too little free capacity.
    NoCapacity,
    /// The approval for this worker is missing or has expired.
    NoTicket,
    /// The order was malformed.
    Malformed,
    /// The worker reports that it is unhealthy.
    Unhealthy,
}

impl StartRefusal {
    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old_run",
            Self::Late => "late",
            Self::NoCapacity => "no_room",
            Self::NoTicket => "no_ticket",
            Self::Malformed => "malformed",
            Self::Unhealthy => "unhealthy",
        }
    }
}

/// The outcome of a call to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The call was carried out.
    Done,
    /// The call was refused and nothing was done.
    Refused(StartRefusal),
    /// Another incarnation of the worker answered: no run of the earlier one is left.
    OtherIncarnation,
    /// No answer came: the call may have been carried out, or may be later.
    NoAnswer,
    /// Nothing was sent, since no connection to the worker was free.
    NotSent,
}

/// An input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A version of the configuration.
    Configure(Arc<ClusterConfiguration>),
    /// All orders to empty data centres that are in force have been read.
    EmptyingOrdersRead {
        /// The orders.
        orders: Vec<EmptyingOrder>,
        /// The orders are those that were in force at this time or later.
        checked_ms: u64,
    },
    /// A job is stored. Has no effect on a job that is known already.
    JobStored {
        /// The job.
        id: JobId,
        /// What was stored when the job was accepted.
        record: Arc<JobRecord>,
        /// The progress that an earlier owner stored.
        progress: Option<ProgressRecord>,
    },
    /// The job's cancellation is stored.
    JobCancelled(JobId),
    /// All jobs that were stored before `sent_ms` have been passed in.
    JobsRead {
        /// When the store was asked.
        sent_ms: u64,
    },
    /// A worker registered, or its entry changed.
    WorkerRegistered(WorkerInfo),
    /// A worker on the stored roster: earlier owners used it, and it may still run
    /// what they started.
    RosterWorker {
        /// The worker's name.
        worker_name: String,
        /// The address at which it was called.
        address: String,
        /// If the worker is stored as closed to new starts: the runs that may be there.
        closed_runs: Option<ClosedRuns>,
    },
    /// The worker's entry is gone.
    WorkerUnlisted(String),
    /// All entries that existed at `sent_ms` have been passed in.
    EntriesRead {
        /// When the store was asked.
        sent_ms: u64,
    },
    /// The worker's registration entry exists but is invalid.
    WorkerEntryInvalid {
        /// The name in the entry's key.
        worker_name: String,
        /// Why, as logs and metrics name it.
        reason: &'static str,
    },
    /// A stored value of a job cannot be decoded: its progress is unknown.
    JobUnreadable(JobId),
    /// The stored values of a job that was unreadable can now be decoded.
    JobReadable {
        /// The job.
        id: JobId,
        /// What was stored when the job was accepted.
        record: Arc<JobRecord>,
        /// The progress that an earlier owner stored.
        progress: Option<ProgressRecord>,
    },
    /// The stored roster cannot be decoded: earlier owners may have used any worker.
    RosterUnreadable,
    /// While the stored roster is unreadable: a worker is stored as closed to new
    /// starts. Its address is known only from its entry, if it has one.
    ClosedWorker {
        /// The worker's name.
        worker_name: String,
        /// Runs that may be there.
        runs: ClosedRuns,
    },
    /// Everything that was stored before this owner began has been passed in.
    StoredStateRead {
        /// The process of the earlier owner is known to have ended.
        earlier_owner_exited: bool,
    },
    /// The roster with these names is durable.
    RosterStored(Vec<String>),
    /// A worker answered a poll that was sent at `sent_ms`.
    PollAnswered {
        /// The worker.
        worker: WorkerKey,
        /// When the poll was sent.
        sent_ms: u64,
        /// The answer.
        report: PollReport,
    },
    /// A poll failed.
    PollFailed {
        /// The worker.
        worker: WorkerKey,
        /// Why the poll failed; never [`CallOutcome::Done`].
        outcome: CallOutcome,
    },
    /// The outcome of a start order.
    StartResult {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// The outcome of the call.
        outcome: CallOutcome,
    },
    /// The outcome of a stop order.
    StopResult {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// The outcome of the call.
        outcome: CallOutcome,
    },
    /// The outcome of a throttle order.
    ThrottleResult {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// The outcome of the call.
        outcome: CallOutcome,
    },
    /// An external placement policy answered which workers may run a step.
    AdviceResult {
        /// The step of one occurrence.
        step: super::GroupKey,
        /// The workers that the policy was asked about.
        asked: Vec<WorkerKey>,
        /// Names and tickets of the approved workers; `None` if no answer came.
        approved: Option<Vec<(String, Arc<str>)>>,
    },
    /// The store has recorded whether a worker is closed to new starts.
    ClosedWorkerStored {
        /// The worker's name.
        worker_name: String,
        /// Whether it is closed.
        closed: bool,
    },
    /// The progress of a job up to this change is durable.
    ProgressStored {
        /// The job.
        job: JobId,
        /// Number of the change.
        change: u64,
    },
    /// An upkeep wave was ordered.
    UpkeepWave(WaveOrder),
    /// The answer to a request for the platform's list of machines.
    MachineList {
        /// When the request was sent.
        sent_ms: u64,
        /// The machines; `None` if no answer came.
        machines: Option<Vec<MachineInfo>>,
    },
    /// The outcome of an upkeep order.
    UpkeepResult {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
        /// The outcome of the order.
        outcome: UpkeepOutcome,
    },
    /// An earlier owner counted this crash, and may not have stored it.
    CrashCounted(super::CountedCrash),
    /// What an earlier owner learned. It replaces only what this owner knows less well.
    Learned {
        /// The values.
        learned: Learned,
        /// How long ago the earlier owner knew them.
        age_ms: u64,
    },
    /// All stored data of the job has been deleted.
    JobDeleted(JobId),
    /// The store confirmed this owner's epoch at this time.
    EpochConfirmed(u64),
    /// Time has passed.
    Tick,
}

impl Input {
    /// Returns the job that the input is about, if it is about a single one.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Self::JobStored { id, .. }
            | Self::JobReadable { id, .. }
            | Self::JobUnreadable(id)
            | Self::JobCancelled(id)
            | Self::JobDeleted(id) => Some(*id),
            Self::ProgressStored { job, .. } => Some(*job),
            Self::StartResult { name, .. }
            | Self::StopResult { name, .. }
            | Self::ThrottleResult { name, .. } => Some(name.task.job),
            Self::AdviceResult { step, .. } => Some(step.job),
            Self::CrashCounted(crash) => Some(crash.name.task.job),
            _ => None,
        }
    }
}
