//! What the scheduler is told.

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
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang did not become whole in time.
    Alone,
}

impl EndKind {
    /// The kind as logs and counters name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
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

/// A worker's answer to a look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HoldReport {
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

/// News for the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A version of the configuration.
    Configure(Arc<ClusterConfiguration>),
    /// The operators' orders to empty data centres, all that are in force.
    Emptying {
        /// The orders.
        orders: Vec<EmptyingOrder>,
        /// They are known as they were at this time, or later.
        checked_ms: u64,
    },
    /// A job that is stored; told again, it changes nothing.
    Job {
        /// Its name.
        id: JobId,
        /// What was stored.
        record: Arc<JobRecord>,
        /// What an earlier owner noted of it.
        progress: Option<ProgressRecord>,
    },
    /// The job's cancellation is stored.
    Cancelled(JobId),
    /// All jobs that were stored before `sent_ms` are told.
    JobsRead {
        /// When the store was asked.
        sent_ms: u64,
    },
    /// A worker is registered, or its entry changed.
    Worker(WorkerInfo),
    /// A worker that earlier owners used; it may still run their orders.
    KnownWorker {
        /// The worker's name.
        worker_name: String,
        /// Where it was called.
        address: String,
        /// Runs that may be there, if the store says that it got no more
        /// starts.
        closed_with: Option<ClosedRuns>,
    },
    /// The worker's entry is gone.
    WorkerUnlisted(String),
    /// All entries that were there at `sent_ms` are told.
    EntriesRead {
        /// When the store was asked.
        sent_ms: u64,
    },
    /// The worker's entry is there, and names no worker to use.
    WorkerUnusable {
        /// The name in the entry's key.
        worker_name: String,
        /// Why, as logs and counters name it.
        reason: &'static str,
    },
    /// A stored value of a job does not read: what is done of it is not known.
    JobUnread(JobId),
    /// The values of a job that did not read do so now.
    JobRead {
        /// Its name.
        id: JobId,
        /// What was stored.
        record: Arc<JobRecord>,
        /// What an earlier owner noted of it.
        progress: Option<ProgressRecord>,
    },
    /// The stored roster does not read: earlier owners may have used any worker.
    RosterUnread,
    /// Beside a roster that does not read, the store says that a worker got no
    /// more starts; where it is called is told by its entry, if it has one.
    ClosedWorker {
        /// The worker's name.
        worker_name: String,
        /// Runs that may be there.
        runs: ClosedRuns,
    },
    /// All that was stored before this owner began is told.
    Recovered {
        /// The process of the earlier owner has certainly ended.
        earlier_owner_over: bool,
    },
    /// The roster with these names is durable.
    RosterStored(Vec<String>),
    /// A worker answered a look that was sent at `sent_ms`.
    Held {
        /// The worker.
        worker: WorkerKey,
        /// When the look was sent.
        sent_ms: u64,
        /// The answer.
        report: HoldReport,
    },
    /// A look failed.
    HoldFailed {
        /// The worker.
        worker: WorkerKey,
        /// Why: never `Done`.
        outcome: CallOutcome,
    },
    /// A start was answered, or not.
    StartOver {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// A stop was answered, or not.
    StopOver {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// A change of pace was answered, or not.
    PaceOver {
        /// The worker.
        worker: WorkerKey,
        /// The run.
        name: RunName,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// A policy outside named the workers that may run a step.
    Advised {
        /// The step: the index of the task means nothing.
        step: super::GroupKey,
        /// The workers asked about.
        asked: Vec<WorkerKey>,
        /// Approved workers with their tickets; `None` when nobody answered.
        approved: Option<Vec<(String, Arc<str>)>>,
    },
    /// It is durable whether a worker gets no more starts.
    ClosedStored {
        /// The worker's name.
        worker_name: String,
        /// Whether it is closed.
        closed: bool,
    },
    /// The progress of a job up to this change is durable.
    Stored {
        /// The job.
        job: JobId,
        /// Number of the change.
        change: u64,
    },
    /// Machines are to have their upkeep.
    Wave(WaveOrder),
    /// The platform's list of machines, or that it did not come.
    Machines {
        /// When it was asked for.
        sent_ms: u64,
        /// The machines.
        machines: Option<Vec<MachineInfo>>,
    },
    /// An order for an upkeep was answered, or not.
    UpkeepOver {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
        /// What became of it.
        outcome: UpkeepOutcome,
    },
    /// Nothing is stored of the job any more.
    Forgotten(JobId),
    /// The epoch was last known to be ours at this time.
    Confirmed(u64),
    /// Time has passed.
    Tick,
}
