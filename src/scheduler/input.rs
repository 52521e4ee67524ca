//! The inputs of the scheduler.

use super::{
    ClosedRuns,
    ClusterConfiguration,
    EmptyingOrder,
    JobRecord,
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
    /// Where it is called.
    pub address: String,
    /// The service whose tasks it runs.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its kind and rack.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: Resources,
    /// It is leaving.
    pub draining: bool,
    /// Least time until it leaves, while it drains.
    pub remaining_ms: Option<u64>,
}

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangEnded,
    /// Its gang did not become whole in time.
    GangIncomplete,
}

impl EndKind {
    /// The kind as logs and counters name it.
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
    /// How far it is.
    pub percent: u32,
    /// Tail of its response times in milliseconds if it serves, else
    /// thousandths of a core in use, over the last half second.
    pub usage: Option<f64>,
}

/// An end that a worker lists until it is told that the end is known.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRow {
    /// Number of the end in this incarnation; begins at 1 and rises.
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
    /// What runs there.
    pub running: Vec<RunningRow>,
    /// Ends that are not known to be noted.
    pub ended: Vec<EndedRow>,
}

/// Why a worker did not start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The worker has seen a higher epoch.
    Fenced,
    /// A run as high as this one was stopped or ended there.
    OldRun,
    /// The order's deadline has passed.
    Late,
    /// The worker has too little room.
    NoRoom,
    /// The approval for this worker is missing or over.
    NoTicket,
    /// The order was malformed.
    Malformed,
    /// The worker says that it is unhealthy.
    Unhealthy,
}

impl StartRefusal {
    /// The reason as logs and counters name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old_run",
            Self::Late => "late",
            Self::NoRoom => "no_room",
            Self::NoTicket => "no_ticket",
            Self::Malformed => "malformed",
            Self::Unhealthy => "unhealthy",
        }
    }
}

/// What became of a call to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// It was carried out.
    Done,
    /// It was refused and nothing was done.
    Refused(StartRefusal),
    /// The worker's incarnation is over: nothing of it runs any more.
    OtherIncarnation,
    /// No answer: it may have been carried out, or may be later.
    NoAnswer,
}

/// An input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A version of the configuration.
    Configure(Arc<ClusterConfiguration>),
    /// All orders to empty data centres that are in force were read.
    EmptyingOrdersRead {
        /// The orders.
        orders: Vec<EmptyingOrder>,
        /// They are known as they were at this time, or later.
        checked_ms: u64,
    },
    /// A job that is stored; told again, it changes nothing.
    JobStored {
        /// Its name.
        id: JobId,
        /// What was stored.
        record: Arc<JobRecord>,
        /// What an earlier owner noted of it.
        progress: Option<ProgressRecord>,
    },
    /// The job's cancellation is stored.
    JobCancelled(JobId),
    /// All jobs that were stored before `sent_ms` are told.
    JobsRead {
        /// When the store was asked.
        sent_ms: u64,
    },
    /// A worker is registered, or its entry changed.
    WorkerRegistered(WorkerInfo),
    /// A worker on the stored roster: earlier owners used it, and it may still run
    /// what they started.
    RosterWorker {
        /// The worker's name.
        worker_name: String,
        /// Where it was called.
        address: String,
        /// Runs that may be there, if the store says that it got no more
        /// starts.
        closed_runs: Option<ClosedRuns>,
    },
    /// The worker's entry is gone.
    WorkerUnlisted(String),
    /// All entries that were there at `sent_ms` are told.
    EntriesRead {
        /// When the store was asked.
        sent_ms: u64,
    },
    /// The worker's registration entry exists but cannot be used.
    WorkerEntryUnusable {
        /// The name in the entry's key.
        worker_name: String,
        /// Why, as logs and counters name it.
        reason: &'static str,
    },
    /// A stored value of a job cannot be decoded: its progress is unknown.
    JobUnreadable(JobId),
    /// The values of a job that could not be decoded now can be.
    JobReadable {
        /// Its name.
        id: JobId,
        /// What was stored.
        record: Arc<JobRecord>,
        /// What an earlier owner noted of it.
        progress: Option<ProgressRecord>,
    },
    /// The stored roster cannot be decoded: earlier owners may have used any worker.
    RosterUnreadable,
    /// Beside a roster that does not read, the store says that a worker got no
    /// more starts; where it is called is told by its entry, if it has one.
    ClosedWorker {
        /// The worker's name.
        worker_name: String,
        /// Runs that may be there.
        runs: ClosedRuns,
    },
    /// Everything that was stored before this owner began has been passed in.
    StoredStateRead {
        /// The process of the earlier owner has certainly ended.
        earlier_owner_over: bool,
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
        /// Why: never `Done`.
        outcome: CallOutcome,
    },
    /// The outcome of a start order.
    StartResult {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// The outcome of a stop order.
    StopResult {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// The outcome of a throttle order.
    ThrottleResult {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// A policy outside named the workers that may run a step.
    AdviceResult {
        /// The step: the index of the task means nothing.
        step: super::GroupKey,
        /// The workers asked about.
        asked: Vec<WorkerKey>,
        /// Approved workers with their tickets; `None` when nobody answered.
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
    /// The platform's list of machines, or that it did not come.
    MachineList {
        /// When it was asked for.
        sent_ms: u64,
        /// The machines.
        machines: Option<Vec<MachineInfo>>,
    },
    /// The outcome of an upkeep order.
    UpkeepResult {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
        /// What became of it.
        outcome: UpkeepOutcome,
    },
    /// Everything that was stored of the job is deleted.
    JobDeleted(JobId),
    /// The store confirmed this owner's epoch at this time.
    EpochConfirmed(u64),
    /// Time has passed.
    Tick,
}
