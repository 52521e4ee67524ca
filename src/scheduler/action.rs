//! The actions and decisions that the scheduler returns.

use super::{
    GroupKey,
    JobRecord,
    RunName,
    UpkeepOutcome, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::sync::Arc;

/// The worker that a call is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Callee {
    /// Its key, for the answer.
    pub worker: WorkerKey,
    /// Where it is called.
    pub address: Arc<str>,
    /// Its name: no other worker carries a call out.
    pub worker_name: Arc<str>,
}

/// Something to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a worker: renew its lease and ask what runs there.
    Poll {
        /// Whom to call.
        callee: Callee,
        /// Ends up to here are durable.
        last_seen: u64,
        /// End of the lease on the worker's clock; `None` leaves it.
        lease_end_ms: Option<u64>,
        /// How long the worker may wait for an end.
        wait_ms: u64,
    },
    /// Start a run.
    Start {
        /// Whom to call.
        callee: Callee,
        /// The run.
        name: RunName,
        /// What the task is given.
        payload: Arc<str>,
        /// The order is void after this time on the worker's clock.
        lease_end_ms: u64,
        /// Where to go on from.
        checkpoint: Option<Arc<str>>,
        /// Approval of a policy outside.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run, also one that has not arrived yet.
    Stop {
        /// Whom to call.
        callee: Callee,
        /// The run.
        name: RunName,
    },
    /// Limit a run to a share of its full speed.
    Throttle {
        /// Whom to call.
        callee: Callee,
        /// The run.
        name: RunName,
        /// The share.
        percent: u32,
    },
    /// Ask a policy outside which workers may run a step.
    Advise {
        /// The step.
        step: GroupKey,
        /// The workers, with their names.
        workers: Vec<(WorkerKey, Arc<str>)>,
    },
    /// Store the progress of a job. Several requests may precede the first write; the
    /// last one is the one that counts.
    StoreProgress {
        /// The job.
        job: JobId,
    },
    /// Store the roster of workers before any of the new ones is used.
    StoreRoster,
    /// Store whether a worker is closed to new starts, and which runs it may have.
    StoreClosedWorker {
        /// The worker.
        worker: WorkerKey,
    },
    /// Read the platform's list of machines.
    ListMachines,
    /// Begin the upkeep of a machine; ordered again, it changes nothing.
    BeginUpkeep {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
    },
    /// Store whether an upkeep wave is completed.
    StoreWaveState {
        /// The wave.
        wave: u64,
        /// All its machines that stay had their upkeep.
        completed: bool,
    },
    /// Store since when a data centre gets no new tasks, for people to read; or
    /// that it gets them again.
    StoreEmptiedDataCentre {
        /// The data centre.
        data_centre: Arc<str>,
        /// The store's revision of the order; `None` when it was taken back.
        revision: Option<u64>,
    },
    /// Delete everything that is stored of a job.
    DeleteJob {
        /// The job.
        job: JobId,
    },
    /// This owner is fenced: a worker has seen a higher epoch.
    OwnershipLost,
    /// A decision, for the log and the counters.
    Decided(Decision),
}

/// A decision with what it rested on.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A run was given to a worker.
    Placed {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// Age of what is known of the worker.
        view_age_ms: u64,
        /// Priority of its queue.
        priority: u32,
        /// How long its step has waited.
        waited_ms: u64,
    },
    /// A run is stopped.
    Stopped {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// Why.
        reason: StopReason,
        /// Priority of its queue.
        priority: u32,
        /// Core-seconds that are lost with it, as far as known.
        lost_core_s: f64,
    },
    /// A run ended.
    Ended {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// How, as workers say it.
        kind: &'static str,
        /// Number of the end on its worker.
        number: u64,
    },
    /// A worker was told that an end is noted of which nothing is stored.
    EndReleased {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// Why.
        reason: &'static str,
    },
    /// A start was refused or not answered.
    Retried {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// Why.
        reason: &'static str,
    },
    /// An occurrence of a job opened.
    JobOpened {
        /// The job.
        job: JobId,
        /// The occurrence.
        occurrence: u32,
        /// What was submitted.
        record: Arc<JobRecord>,
        /// Priority of its queue.
        priority: u32,
        /// Time since it was due.
        age_ms: u64,
        /// Time that it has from when it was due until it is late.
        objective_ms: u64,
        /// Failures of one task that end it.
        max_attempts: u32,
        /// Version of the configuration that this owner knows.
        configuration_version: u64,
    },
    /// Nobody told this owner of a job's queue: the job waits.
    TermsUnknown {
        /// The job.
        job: JobId,
        /// What was submitted.
        record: Arc<JobRecord>,
        /// Version of the configuration that this owner knows; 0 for none.
        configuration_version: u64,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        state: &'static str,
        /// What made it fail; `None` for another end.
        failure: Option<JobFailure>,
    },
    /// A new owner knows, or need not know any more, what runs where.
    RecoveryOver {
        /// How long stored work waited for it.
        waited_ms: u64,
        /// Steps that waited.
        groups: usize,
        /// Workers that did not answer in all that time.
        unheard: Vec<Arc<str>>,
    },
    /// A worker gets no work for a while.
    Quarantined {
        /// The worker's name.
        worker: Arc<str>,
        /// For how long.
        for_ms: u64,
        /// Why.
        reason: &'static str,
    },
    /// An order for a machine's upkeep was answered, or not.
    Upkeep {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
        /// What became of it.
        outcome: UpkeepOutcome,
    },
    /// The entry of a known worker names no worker to use: it gets no new work.
    EntryUnusable {
        /// The worker's name.
        worker: Arc<str>,
        /// Why.
        reason: &'static str,
        /// Runs that go on there.
        runs: usize,
    },
    /// It does again.
    EntryUsable {
        /// The worker's name.
        worker: Arc<str>,
        /// Runs that went on there.
        runs: usize,
    },
    /// The operators ask that a data centre gets no new tasks.
    DataCentreEmptied {
        /// The data centre.
        data_centre: Arc<str>,
        /// The store's revision of the order.
        revision: u64,
        /// Workers there.
        workers: usize,
        /// Runs there, which end by themselves.
        runs: usize,
        /// How long ago the last start was given there.
        last_start_ago_ms: Option<u64>,
        /// Accelerators outside of all such data centres.
        accelerators_left: u32,
        /// Accelerators that accounts are guaranteed together.
        guaranteed_accelerators: u32,
    },
    /// The operators took such an order back.
    DataCentreBack {
        /// The data centre.
        data_centre: Arc<str>,
        /// The store's revision of the order.
        revision: u64,
        /// How long it was in force for this owner.
        emptied_ms: u64,
        /// Workers there.
        workers: usize,
        /// Runs that are still there.
        runs: usize,
    },
    /// A data centre that was given back got its first start.
    DataCentreUsed {
        /// The data centre.
        data_centre: Arc<str>,
        /// How long after it was given back.
        after_ms: u64,
    },
    /// The operators' orders were not read for too long: nothing new starts.
    OrdersUnread {
        /// When they were last known, as time ago.
        known_ago_ms: u64,
    },
    /// A run was lost with its worker.
    RunLost {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// How long ago it was ordered.
        ordered_ago_ms: u64,
        /// How long after the order the worker last responded.
        heard_after_ms: u64,
        /// Upper bound on the time from the order to the worker's exit or the end of its lease.
        exited_within_ms: u64,
        /// The run's progress when its worker last listed it.
        percent: u32,
        /// How it is known that the worker is lost.
        reason: &'static str,
    },
    /// A worker crashed under a run.
    CrashCounted {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// The worker did not respond after the start.
        at_start: bool,
        /// No other job had such a run there.
        alone: bool,
        /// Crashes under the task.
        crashes: u32,
        /// Those of them at its start.
        crashes_at_start: u32,
    },
    /// A task crashes its workers: its job fails.
    TaskGivenUp {
        /// Its last run.
        name: RunName,
        /// Crashes under it.
        crashes: u32,
        /// Those of them at its start.
        crashes_at_start: u32,
        /// Which of the bounds it reached.
        reason: &'static str,
    },
    /// The workers' entries were not read for too long: those that do not guard their
    /// room get nothing new.
    EntriesUnread {
        /// When they were last known, as time ago.
        known_ago_ms: u64,
    },
    /// Another incarnation answered under the name of a worker.
    WorkerRestarted {
        /// The worker's name.
        worker: Arc<str>,
        /// When the one that answered started.
        incarnation_start_ms: u64,
        /// When the one before started.
        earlier_incarnation_start_ms: u64,
        /// The last end of the one before that this owner acknowledged.
        last_seen: u64,
        /// Runs that were known there.
        runs: usize,
    },
    /// A worker was lost with all that ran there.
    WorkerLost {
        /// The worker's name.
        worker: Arc<str>,
        /// Runs that were lost.
        runs: usize,
        /// How that is known.
        reason: &'static str,
    },
}

/// What a job failed by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobFailure {
    /// The run that failed last.
    pub name: RunName,
    /// Failures of its task.
    pub failures: u32,
    /// Failures that the queue allows.
    pub max_attempts: u32,
    /// Version of the configuration that allows so many.
    pub terms_version: u64,
    /// Workers that crashed under its task.
    pub crashes: u32,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Its job is over.
    JobOver,
    /// Another member of its gang cannot run.
    GangBroken,
    /// Its room is needed by more urgent work.
    Preempted,
    /// It stands still.
    Hanging,
    /// Its worker is far slower than others.
    Slow,
    /// Nobody knows what it belongs to, or a newer run took its place.
    Stray,
    /// Its worker is leaving.
    WorkerLeaving,
    /// Its machine has its upkeep next.
    Upkeep,
    /// Its data centre gets no new tasks, and it had not begun.
    DataCentreEmptied,
    /// Its worker's room has shrunk, and it had not begun.
    RoomShrunk,
}

impl StopReason {
    /// The reason as logs and counters name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::JobOver => "job_over",
            Self::GangBroken => "gang_broken",
            Self::Preempted => "preempted",
            Self::Hanging => "hanging",
            Self::Slow => "slow",
            Self::Stray => "stray",
            Self::WorkerLeaving => "worker_leaving",
            Self::Upkeep => "upkeep",
            Self::DataCentreEmptied => "data_centre_emptied",
            Self::RoomShrunk => "room_shrunk",
        }
    }
}
