//! The actions and decisions that the scheduler returns.

use super::{
    CountedCrash,
    GroupKey,
    JobRecord,
    RunName,
    SpeedChange,
    UpkeepOutcome, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::sync::Arc;

/// The worker that a call is addressed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Callee {
    /// The worker's key, to be passed back with the outcome.
    pub worker: WorkerKey,
    /// The address at which it takes calls.
    pub address: Arc<str>,
    /// The worker's name; a worker with another name does not carry out the call.
    pub worker_name: Arc<str>,
    /// The worker's data centre; empty if its entry was never read.
    pub data_centre: Arc<str>,
}

/// An action that the caller of the scheduler has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Poll a worker: renew its lease, acknowledge ends and ask what runs there.
    Poll {
        /// The worker to call.
        callee: Callee,
        /// Acknowledges all ends up to this number: what follows from them is durable.
        last_seen: u64,
        /// End of the lease on the worker's clock; `None` leaves the lease unchanged.
        lease_end_ms: Option<u64>,
        /// How long the worker may delay its answer while no run ends.
        wait_ms: u64,
    },
    /// Start a run.
    Start {
        /// The worker to call.
        callee: Callee,
        /// The run.
        name: RunName,
        /// The input of the task.
        payload: Arc<str>,
        /// The order is void after this time on the worker's clock.
        lease_end_ms: u64,
        /// The checkpoint to resume from; `None` to start from the beginning.
        checkpoint: Option<Arc<str>>,
        /// Approval of an external placement policy, if the queue has one.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run, even if its start order has not reached the worker yet.
    Stop {
        /// The worker to call.
        callee: Callee,
        /// The run.
        name: RunName,
    },
    /// Limit a run to a share of its full speed.
    Throttle {
        /// The worker to call.
        callee: Callee,
        /// The run.
        name: RunName,
        /// The share in percent.
        percent: u32,
    },
    /// Ask an external placement policy which workers may run a step.
    Advise {
        /// The step of one occurrence.
        step: GroupKey,
        /// The workers to ask about, with their names.
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
    /// Begin the upkeep of a machine. A repeated order changes nothing.
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
        /// Whether all machines of the wave that did not leave had their upkeep.
        completed: bool,
    },
    /// Store, for operators to read, since when a data centre gets no new tasks, or that
    /// it gets new tasks again.
    StoreEmptiedDataCentre {
        /// The data centre.
        data_centre: Arc<str>,
        /// The store's revision of the order; `None` when the order was withdrawn.
        revision: Option<u64>,
    },
    /// Delete everything that is stored of a job.
    DeleteJob {
        /// The job.
        job: JobId,
    },
    /// Confirm the epoch as soon as possible.
    ConfirmEpoch,
    /// This owner is fenced: a worker has seen a higher epoch.
    OwnershipLost,
    /// A decision, for the log and the metrics.
    Decided(Decision),
}

/// A decision or an observed event, with the facts behind it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A run was placed on a worker.
    Placed {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// Time since the worker last responded.
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
        /// Estimated work that is lost with the run, in core-seconds.
        lost_core_s: f64,
    },
    /// A run ended.
    Ended {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// How it ended: see [`EndKind::name`](super::EndKind::name).
        kind: &'static str,
        /// Number of the end on its worker.
        number: u64,
    },
    /// An end is acknowledged although nothing is stored for it.
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
    /// An occurrence is due and waits until the owner has memory for it, or until earlier
    /// occurrences of its job are done.
    OccurrenceWaits {
        /// The job.
        job: JobId,
        /// The occurrence.
        occurrence: u32,
        /// What it waits for: `job_memory` or `open_occurrences`.
        reason: &'static str,
        /// Open occurrences of the job.
        open: usize,
        /// Memory that the occurrence takes.
        needed_bytes: u64,
        /// Memory that jobs take or have reserved.
        used_bytes: u64,
        /// Memory that jobs may take.
        limit_bytes: u64,
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
        /// Time from when the occurrence was due until it is late.
        objective_ms: u64,
        /// Number of failures of one task at which the job fails.
        max_attempts: u32,
        /// Version of the configuration that this owner knows.
        configuration_version: u64,
    },
    /// The terms of a job's queue are unknown to this owner, so the job waits.
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
        /// How it ended: `completed`, `failed` or `cancelled`.
        state: &'static str,
        /// Why it failed; `None` if it ended otherwise.
        failure: Option<JobFailure>,
    },
    /// The end of a job is durable and shown to its caller from now on.
    JobEndShown {
        /// The job.
        job: JobId,
        /// How it ended.
        state: &'static str,
        /// Time since it ended, in milliseconds.
        wait_ms: u64,
    },
    /// A client account began to have, or no longer has, waiting work beyond its share.
    ShareChanged(super::ShareChange),
    /// A worker listed as many ends of runs as one answer has, so that it may have further ones
    /// that this owner does not know of.
    EndsUnlisted {
        /// The worker's name.
        worker: Arc<str>,
        /// Number of ends that it listed.
        listed: usize,
    },
    /// The recovery of a new owner is over: all workers have answered, or all leases of
    /// earlier owners have expired.
    RecoveryOver {
        /// How long stored work waited for the recovery.
        waited_ms: u64,
        /// Groups that waited.
        groups: usize,
        /// Workers that did not respond during the recovery.
        unresponsive: Vec<Arc<str>>,
        /// Time since the owner sent the last request that confirmed its epoch.
        confirmed_ago_ms: u64,
    },
    /// A worker is quarantined: it gets no work for a while.
    Quarantined {
        /// The worker's name.
        worker: Arc<str>,
        /// For how long.
        for_ms: u64,
        /// Why.
        reason: &'static str,
    },
    /// The outcome of an order for a machine's upkeep is known.
    Upkeep {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
        /// The outcome of the order.
        outcome: UpkeepOutcome,
    },
    /// The registration entry of a known worker is invalid: the worker gets no new work.
    EntryInvalid {
        /// The worker's name.
        worker: Arc<str>,
        /// Why.
        reason: &'static str,
        /// Number of runs that continue there.
        runs: usize,
    },
    /// The registration entry of a worker, which was invalid, is valid again.
    EntryValid {
        /// The worker's name.
        worker: Arc<str>,
        /// Number of runs that continued there.
        runs: usize,
    },
    /// The operators ordered that a data centre gets no new tasks.
    DataCentreEmptied {
        /// The data centre.
        data_centre: Arc<str>,
        /// The store's revision of the order.
        revision: u64,
        /// Number of workers there.
        workers: usize,
        /// Number of runs there, which are left to end by themselves.
        runs: usize,
        /// Time since the last start order there.
        last_start_ago_ms: Option<u64>,
        /// Accelerators outside of all data centres that are being emptied.
        accelerators_left: u32,
        /// Sum of the accelerators that are guaranteed to accounts.
        guaranteed_accelerators: u32,
    },
    /// The operators withdrew the order to empty a data centre.
    EmptyingWithdrawn {
        /// The data centre.
        data_centre: Arc<str>,
        /// The store's revision of the order.
        revision: u64,
        /// How long the order was in force for this owner.
        emptied_ms: u64,
        /// Number of workers there.
        workers: usize,
        /// Number of runs that are still there.
        runs: usize,
    },
    /// The first start order went to a data centre after its order was withdrawn.
    FirstStartAfterEmptying {
        /// The data centre.
        data_centre: Arc<str>,
        /// Time from the withdrawal to the start order.
        after_ms: u64,
    },
    /// The estimate of how far the workers differ in speed has changed.
    SpeedsLearned {
        /// Standard deviation of the logarithms of the workers' run times for equal work.
        deviation: f64,
        /// Number of workers of which something is known.
        known: usize,
        /// How much of the spread is told by kind, rack or data centre, from 0 to 1.
        likeness: f64,
    },
    /// The number of workers on which most urgent work would be late has changed.
    TooSlowForUrgent {
        /// The slowness up to which urgent work is on time; `None` if none has started yet.
        limit: Option<f64>,
        /// Number of workers that take work.
        workers: usize,
        /// Number of those that are slower than the limit.
        too_slow: usize,
        /// Accelerators that are kept free on the others.
        headroom: u32,
    },
    /// The speed of a worker has changed for longer than a moment.
    SpeedChanged {
        /// The worker's name.
        worker: Arc<str>,
        /// The change.
        change: SpeedChange,
    },
    /// The orders to empty data centres are stale: nothing new starts until they are read
    /// again.
    OrdersStale {
        /// Time since they were last known to be current.
        known_ago_ms: u64,
    },
    /// A run was lost with its worker.
    RunLost {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
        /// Time since the start order.
        ordered_ago_ms: u64,
        /// Time from the start order to the last response of the worker.
        responded_after_ms: u64,
        /// Upper bound on the time from the order to the worker's exit or the end of its lease.
        exited_within_ms: u64,
        /// The run's progress when its worker last listed it.
        percent: u32,
        /// Time since the owner sent the last request that confirmed its epoch.
        confirmed_ago_ms: u64,
        /// The evidence that the worker is lost.
        reason: &'static str,
    },
    /// A worker lists a run as running that this owner ordered and had counted as ended.
    EndedRunListed {
        /// The run.
        name: RunName,
        /// The worker's name.
        worker: Arc<str>,
    },
    /// A worker crashed under a run.
    CrashCounted {
        /// The run and its crash.
        crash: CountedCrash,
        /// The worker's name; `None` if an earlier owner counted the crash.
        worker: Option<Arc<str>>,
        /// Crashes of workers under the task so far.
        crashes: u32,
        /// Crashes of workers at a start of the task so far.
        crashes_at_start: u32,
    },
    /// A task was given up because it crashes its workers: its job fails.
    TaskGivenUp {
        /// The last run of the task.
        name: RunName,
        /// Crashes of workers under the task.
        crashes: u32,
        /// Crashes of workers at a start of the task.
        crashes_at_start: u32,
        /// The bound on crashes that the task reached.
        reason: &'static str,
    },
    /// The registration entries of workers are stale: workers of unguarded services get
    /// nothing new until the entries are read again.
    EntriesStale {
        /// Time since they were last known to be current.
        known_ago_ms: u64,
    },
    /// Another incarnation answered under the name of a worker.
    WorkerRestarted {
        /// The worker's name.
        worker: Arc<str>,
        /// When the new incarnation started, since the Unix epoch.
        incarnation_start_ms: u64,
        /// When the earlier incarnation started, since the Unix epoch.
        earlier_incarnation_start_ms: u64,
        /// Number of the last end of the earlier incarnation that was acknowledged.
        last_seen: u64,
        /// Number of runs that were known there.
        runs: usize,
    },
    /// A worker was lost with all its runs.
    WorkerLost {
        /// The worker's name.
        worker: Arc<str>,
        /// Number of runs that were lost.
        runs: usize,
        /// The evidence that the worker is lost.
        reason: &'static str,
    },
}

/// The failure that ended a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobFailure {
    /// The run that failed last.
    pub name: RunName,
    /// Number of failures of its task.
    pub failures: u32,
    /// Number of failures at which the terms of the queue fail the job.
    pub max_attempts: u32,
    /// Version of the configuration that has these terms.
    pub terms_version: u64,
    /// Number of crashes of workers under its task.
    pub crashes: u32,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Its job is over.
    JobOver,
    /// Another member of its gang cannot run.
    GangBroken,
    /// Its gang ended because of a member that is not known to have ended by itself.
    GangMemberLost,
    /// Several starts had no answer.
    StartUnanswered,
    /// This owner may not give starts at present.
    StartNotAllowed,
    /// More urgent work needs its resources.
    Preempted,
    /// It makes no progress.
    Hanging,
    /// Its worker is far slower than others.
    Slow,
    /// Its job or task is unknown, or a newer run has replaced it.
    Stray,
    /// Its worker is leaving.
    WorkerLeaving,
    /// Its machine is next to have its upkeep.
    Upkeep,
    /// Its data centre is being emptied, and the run had not begun.
    DataCentreEmptied,
    /// Its worker's capacity has shrunk, and the run had not begun.
    CapacityShrunk,
}

impl StopReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::JobOver => "job_over",
            Self::GangBroken => "gang_broken",
            Self::GangMemberLost => "gang_member_lost",
            Self::StartUnanswered => "start_unanswered",
            Self::StartNotAllowed => "start_not_allowed",
            Self::Preempted => "preempted",
            Self::Hanging => "hanging",
            Self::Slow => "slow",
            Self::Stray => "stray",
            Self::WorkerLeaving => "worker_leaving",
            Self::Upkeep => "upkeep",
            Self::DataCentreEmptied => "data_centre_emptied",
            Self::CapacityShrunk => "room_shrunk",
        }
    }
}
