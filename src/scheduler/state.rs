//! The state of one fleet, how inputs change it and how decisions are made.
//!
//! [`Scheduler::handle`] applies one input. [`Scheduler::decide`] then opens due
//! occurrences, reviews workers and runs, makes a scheduling pass if one is needed, and
//! returns the actions.

use super::action::{
    Action,
    Decision, //
};
use super::emptying::Emptying;
use super::fleet_speeds::FleetSpeeds;
use super::freshness::Freshness;
use super::job_memory::JobMemory;
use super::learned::HeldWorkers;
use super::upkeep::Upkeep;
use super::urgent_needs::UrgentNeeds;
use super::worker::Contact;
use super::{
    AccountShares,
    ClosedRuns,
    ClusterConfiguration,
    CountedCrash,
    GraphJob,
    Group,
    GroupKey,
    Input,
    LogEstimate,
    Resources,
    RunTimeModel,
    Tuning,
    VersionedTerms,
    Worker, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap,
    HashSet,
    VecDeque, //
};
use std::sync::Arc;

/// Interval between reviews of all runs and workers.
const REVIEW_MS: u64 = 50;
/// Longest interval between scheduling passes. Waiting work is retried even without
/// an input, since some obstacles, such as a quarantine, end by time alone.
const RETRY_PASS_MS: u64 = 250;
/// How long the id of a job that was deleted from the store is remembered, so that
/// the job is not mistaken for a new one. Messages between daemons that name it are
/// a few seconds old at most.
const DELETED_JOB_RETENTION_MS: u64 = 30_000;

/// A gap between two decisions of at least this length may mean that the thread or its
/// VM was paused. It equals the time after which a successor assumes that this owner
/// has learned of the takeover and gives no more orders.
const PAUSE_MS: u64 = super::recovery::OWNERSHIP_LOSS_NOTICE_MS;
/// A pause is at least this many times the mean gap between decisions.
const PAUSE_FACTOR: f64 = 4.0;
/// Weight of a new gap in the moving average, which thus covers about ten gaps.
const GAP_WEIGHT: f64 = 0.1;

/// Numbers of the objects that a scheduler keeps in memory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sizes {
    /// Jobs, including those that have ended and are still retained.
    pub jobs: usize,
    /// Groups of open occurrences, one for each step.
    pub groups: usize,
    /// Worker slots, including the vacant slots of workers that are gone.
    pub workers: usize,
    /// Jobs whose stored data is being deleted.
    pub deleting_jobs: usize,
    /// Queues with known terms, including removed queues that still have jobs.
    pub queues: usize,
    /// Jobs with a stored value that cannot be decoded.
    pub unreadable_jobs: usize,
    /// Client accounts with waiting work beyond their shares.
    pub accounts_beyond_share: usize,
    /// Jobs of which an occurrence is due and waits for memory or for earlier occurrences.
    pub waiting_occurrences: usize,
}

/// Statistics of the jobs of a queue.
#[derive(Clone, Debug, Default)]
pub(super) struct QueueHistory {
    pub jobs: f64,
    pub mean_work: f64,
    pub run_times: RunTimeModel,
}

/// The jobs, workers and runs of one fleet.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) epoch: u64,
    pub(super) tuning: Tuning,
    pub(super) now_ms: u64,
    pub(super) started_ms: u64,
    /// When the last request was sent that confirmed this owner's epoch; 0 before the first one.
    pub(super) confirmed_ms: u64,
    /// When a confirmation of the epoch was last requested.
    pub(super) confirmation_requested_ms: u64,
    /// When this process last resumed after a pause.
    pub(super) resumed_ms: u64,
    /// When [`Scheduler::decide`] was last called.
    last_decision_ms: u64,
    /// Moving average of the time between two decisions.
    mean_gap_ms: f64,
    pub(super) stored_state_read: bool,
    /// Until this time runs that earlier owners started may still be on workers that this
    /// owner cannot reach.
    pub(super) recovering_until_ms: Option<u64>,
    /// When all leases that earlier owners granted have expired.
    pub(super) earlier_leases_expired_ms: u64,
    /// The process of the earlier owner is known to have ended.
    pub(super) earlier_owner_exited: bool,
    pub(super) configuration: Arc<ClusterConfiguration>,
    /// Terms of queues by name, including removed queues that still have jobs.
    pub(super) terms: HashMap<String, VersionedTerms>,
    pub(super) history: HashMap<String, QueueHistory>,
    pub(super) workers: Vec<Worker>,
    /// What earlier owners learned of workers that have not shown their incarnation yet.
    pub(super) held_workers: HeldWorkers,
    /// Resources that urgent work used recently.
    pub(super) urgent_needs: UrgentNeeds,
    /// What was done recently for each client account.
    pub(super) accounts: AccountShares,
    /// How far the workers differ in speed.
    pub(super) speeds: FleetSpeeds,
    /// Vacant slots in `workers`, with the time at which each worker was gone, oldest
    /// first.
    pub(super) vacant_keys: VecDeque<(u64, WorkerKey)>,
    pub(super) worker_index: HashMap<String, WorkerKey>,
    /// Workers by address, including those that are gone.
    pub(super) address_index: HashMap<String, Vec<WorkerKey>>,
    /// Workers with ends that have not been acknowledged yet.
    pub(super) workers_with_unacknowledged_ends: BTreeSet<WorkerKey>,
    /// All jobs that were stored before this time have been read.
    pub(super) jobs_read_ms: u64,
    /// How recently the registration entries of the workers were read.
    pub(super) entries_freshness: Freshness,
    pub(super) jobs: BTreeMap<JobId, GraphJob>,
    pub(super) job_memory: JobMemory,
    /// Jobs with a stored value that cannot be decoded.
    pub(super) unreadable_jobs: BTreeSet<JobId>,
    /// The stored roster cannot be decoded.
    pub(super) roster_unreadable: bool,
    /// Closed workers that the unreadable roster may name, with the runs that may be
    /// there.
    pub(super) closed_without_roster: HashMap<String, ClosedRuns>,
    /// Urgent jobs within their account's guarantee, as of the last pass.
    pub(super) guaranteed: HashSet<JobId>,
    /// Jobs whose cancellation was read before their record.
    pub(super) cancelled_early: HashSet<JobId>,
    pub(super) groups: BTreeMap<GroupKey, Group>,
    /// Crashes that earlier owners counted, of groups that are not open yet.
    pub(super) reported_crashes: BTreeMap<GroupKey, Vec<CountedCrash>>,
    /// Jobs whose stored data is being deleted. The value is the time at which the
    /// deletion was confirmed; the entry is dropped [`DELETED_JOB_RETENTION_MS`] later.
    pub(super) deleting_jobs: BTreeMap<JobId, Option<u64>>,
    pub(super) upkeep: Upkeep,
    /// Data centres that are being emptied and get no new tasks.
    pub(super) emptying: Emptying,
    /// Polls in flight to workers that have not answered this owner yet.
    pub(super) first_polls: usize,
    /// When the next occurrences of jobs have to be opened.
    pub(super) due: BTreeSet<(u64, JobId)>,
    pub(super) review_at_ms: u64,
    pub(super) pass_at_ms: u64,
    /// Something changed that calls for a scheduling pass.
    pub(super) changed: bool,
    /// Number of scheduling passes so far.
    passes: u64,
    pub(super) roster_write_pending: bool,
    /// The job that is being decided about, if it is a single one.
    deciding: Option<JobId>,
    pub(super) actions: Vec<Action>,
}

impl Scheduler {
    /// Returns an empty scheduler for the owner with this epoch.
    pub fn new(epoch: u64, tuning: Tuning, now_ms: u64) -> Self {
        Self {
            epoch,
            tuning,
            now_ms,
            started_ms: now_ms,
            confirmed_ms: 0,
            confirmation_requested_ms: 0,
            resumed_ms: 0,
            last_decision_ms: now_ms,
            mean_gap_ms: 0.0,
            stored_state_read: false,
            recovering_until_ms: None,
            earlier_leases_expired_ms: 0,
            earlier_owner_exited: false,
            configuration: Arc::default(),
            terms: HashMap::new(),
            history: HashMap::new(),
            workers: Vec::new(),
            urgent_needs: UrgentNeeds::default(),
            held_workers: HeldWorkers::default(),
            accounts: AccountShares::default(),
            speeds: FleetSpeeds::default(),
            worker_index: HashMap::new(),
            address_index: HashMap::new(),
            workers_with_unacknowledged_ends: BTreeSet::new(),
            jobs_read_ms: 0,
            entries_freshness: Freshness::of(now_ms),
            jobs: BTreeMap::new(),
            job_memory: JobMemory::default(),
            unreadable_jobs: BTreeSet::new(),
            roster_unreadable: false,
            closed_without_roster: HashMap::new(),
            guaranteed: HashSet::new(),
            cancelled_early: HashSet::new(),
            groups: BTreeMap::new(),
            reported_crashes: BTreeMap::new(),
            deleting_jobs: BTreeMap::new(),
            vacant_keys: VecDeque::new(),
            upkeep: Upkeep::default(),
            emptying: Emptying::default(),
            first_polls: 0,
            due: BTreeSet::new(),
            review_at_ms: 0,
            pass_at_ms: 0,
            changed: false,
            passes: 0,
            roster_write_pending: false,
            deciding: None,
            actions: Vec::new(),
        }
    }

    /// Applies an input; the resulting actions are returned by [`Scheduler::decide`].
    pub fn handle(&mut self, input: Input, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.set_deciding(input.job());
        match input {
            Input::Configure(configuration) => self.configure(configuration),
            Input::EmptyingOrdersRead { orders, checked_ms } => {
                self.handle_emptying_orders(orders, checked_ms)
            }
            Input::JobStored {
                id,
                record,
                progress,
            } => {
                // Records of stored jobs may arrive without progress, and an unreadable job
                // must not be added as a new one.
                if self.is_unreadable(id) {
                    return;
                }
                self.handle_job_stored(id, record, progress);
                if self.cancelled_early.remove(&id) {
                    self.cancel_job(id);
                }
            }
            Input::JobCancelled(id) => self.cancel_job(id),
            Input::JobsRead { sent_ms } => self.handle_jobs_read(sent_ms),
            Input::WorkerRegistered(info) => self.handle_worker_registered(info),
            Input::RosterWorker {
                worker_name,
                address,
                closed_runs,
            } => self.handle_roster_worker(worker_name, address, closed_runs),
            Input::WorkerUnlisted(name) => self.handle_worker_unlisted(&name),
            Input::EntriesRead { sent_ms } => self.handle_entries_read(sent_ms),
            Input::WorkerEntryInvalid {
                worker_name,
                reason,
            } => self.handle_entry_invalid(&worker_name, reason),
            Input::JobUnreadable(id) => self.handle_job_unreadable(id),
            Input::JobReadable {
                id,
                record,
                progress,
            } => {
                self.handle_job_readable(id, record, progress);
                if self.cancelled_early.remove(&id) {
                    self.cancel_job(id);
                }
            }
            Input::RosterUnreadable => self.roster_unreadable = true,
            Input::ClosedWorker { worker_name, runs } => {
                self.closed_without_roster.insert(worker_name, runs);
            }
            Input::StoredStateRead {
                earlier_owner_exited,
            } => self.begin_recovery(earlier_owner_exited),
            Input::RosterStored(workers) => self.handle_roster_stored(&workers),
            Input::PollAnswered {
                worker,
                sent_ms,
                report,
            } => self.handle_poll_report(worker, sent_ms, report),
            Input::PollFailed { worker, outcome } => self.handle_poll_failure(worker, outcome),
            Input::StartResult {
                worker,
                name,
                outcome,
            } => self.handle_start_result(worker, name, outcome),
            Input::StopResult {
                worker,
                name,
                outcome,
            } => self.handle_stop_result(worker, name, outcome),
            Input::ThrottleResult {
                worker,
                name,
                outcome,
            } => self.handle_throttle_result(worker, name, outcome),
            Input::AdviceResult {
                step,
                asked,
                approved,
            } => self.handle_advice(step, &asked, approved),
            Input::ClosedWorkerStored {
                worker_name,
                closed,
            } => self.handle_closed_worker_stored(&worker_name, closed),
            Input::ProgressStored { job, change } => self.handle_progress_stored(job, change),
            Input::UpkeepWave(order) => self.handle_wave(order),
            Input::MachineList { sent_ms, machines } => self.handle_machine_list(sent_ms, machines),
            Input::UpkeepResult {
                wave,
                machine,
                outcome,
            } => self.handle_upkeep_result(wave, &machine, outcome),
            Input::CrashCounted(crash) => self.handle_counted_crash(crash),
            Input::Learned { learned, age_ms } => self.handle_learned(learned, age_ms),
            Input::JobDeleted(job) => {
                self.deleting_jobs.insert(job, Some(self.now_ms));
            }
            Input::EpochConfirmed(sent_ms) => self.handle_epoch_confirmed(sent_ms),
            Input::Tick => {}
        }
        self.set_deciding(None);
    }

    /// Records which job is being decided about, if it is a single one, for the case that the
    /// decision panics.
    pub fn set_deciding(&mut self, job: Option<JobId>) {
        self.deciding = job;
    }

    /// Returns the job that was being decided about when a method panicked.
    pub fn deciding(&self) -> Option<JobId> {
        self.deciding
    }

    /// Makes the decisions that follow from the handled inputs and the current time, and
    /// returns the actions.
    pub fn decide(&mut self, now_ms: u64) -> Vec<Action> {
        self.detect_pause(now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        if self.stored_state_read {
            self.estimate_restored_speeds();
            self.open_due();
            self.open_waiting_occurrences();
            if self.now_ms >= self.review_at_ms {
                self.review_at_ms = self.now_ms + REVIEW_MS;
                self.review();
            }
            if self.changed || self.now_ms >= self.pass_at_ms {
                self.changed = false;
                self.pass_at_ms = self.now_ms + RETRY_PASS_MS;
                self.passes += 1;
                self.pass();
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the actions that were decided on since the last call of [`Scheduler::decide`]
    /// returned, after a panic in one of its methods.
    pub fn into_actions(self) -> Vec<Action> {
        self.actions
    }

    /// Detects that this process was paused since its last decision. The gap is compared
    /// with the mean gap, so that a VM so slow that every decision takes a second does not
    /// count as paused.
    fn detect_pause(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_decision_ms);
        if gap_ms == 0 {
            return;
        }
        self.last_decision_ms = now_ms;
        if gap_ms >= PAUSE_MS && gap_ms as f64 >= PAUSE_FACTOR * self.mean_gap_ms {
            self.resumed_ms = now_ms;
        }
        self.mean_gap_ms += GAP_WEIGHT * (gap_ms as f64 - self.mean_gap_ms);
    }

    /// Returns the time at which to call [`Scheduler::decide`] again if no input arrives.
    pub fn wake_at_ms(&self) -> u64 {
        let due_ms = self.due.first().map_or(u64::MAX, |&(due_ms, _)| due_ms);
        due_ms.min(self.review_at_ms)
    }

    fn open_due(&mut self) {
        while let Some(&(due_ms, id)) = self.due.first() {
            if due_ms > self.now_ms {
                break;
            }
            self.due.pop_first();
            self.set_deciding(Some(id));
            self.open_occurrences(id);
        }
        self.set_deciding(None);
    }

    /// Returns the epoch under which orders are given.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of scheduling passes so far.
    pub fn pass_count(&self) -> u64 {
        self.passes
    }

    /// Returns all jobs in memory.
    pub fn jobs(&self) -> impl Iterator<Item = &GraphJob> {
        self.jobs.values()
    }

    /// Returns all worker slots, including vacant ones.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the numbers of the objects in memory.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            jobs: self.jobs.len(),
            groups: self.groups.len(),
            workers: self.workers.len(),
            deleting_jobs: self.deleting_jobs.len(),
            queues: self.terms.len(),
            unreadable_jobs: self.unreadable_jobs.len(),
            accounts_beyond_share: self.accounts.beyond_count(),
            waiting_occurrences: self.job_memory.waiting_count(),
        }
    }

    /// Returns the groups of all open occurrences.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    fn configure(&mut self, configuration: Arc<ClusterConfiguration>) {
        if configuration.version <= self.configuration.version {
            return;
        }
        for queue in &configuration.queues {
            let terms = queue.terms_in(configuration.version);
            self.terms.insert(queue.name.clone(), terms);
        }
        self.configuration = configuration;
        self.drop_unused_queues();
        self.refresh_terms();
        self.changed = true;
    }

    /// Drops the terms and statistics of queues that are neither configured nor used by a
    /// job, since every version of the configuration may bring new queues.
    fn drop_unused_queues(&mut self) {
        let declared = self.configuration.queues.iter().map(|queue| &queue.name);
        let used = self.jobs.values().map(|job| &job.record.queue);
        let needed: HashSet<&String> = declared.chain(used).collect();
        self.terms.retain(|name, _| needed.contains(name));
        self.history.retain(|name, _| needed.contains(name));
    }

    pub(super) fn job_mut(&mut self, id: JobId) -> &mut GraphJob {
        self.jobs
            .get_mut(&id)
            .expect("jobs are removed only by review, which looks up no job afterwards")
    }

    pub(super) fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.index()]
    }

    pub(super) fn worker_mut(&mut self, key: WorkerKey) -> &mut Worker {
        &mut self.workers[key.index()]
    }

    pub(super) fn decided(&mut self, decision: Decision) {
        self.actions.push(Action::Decided(decision));
    }

    /// Returns the total capacity of the workers for which `is_counted` is true.
    pub(super) fn capacity_of(&self, is_counted: impl Fn(&Worker) -> bool) -> Resources {
        let counted = self.workers.iter().filter(|worker| is_counted(worker));
        counted.fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.info.capacity)
        })
    }

    pub(super) fn record_work(&mut self, queue: &str, work: f64) {
        let history = self.history.entry(queue.to_owned()).or_default();
        history.jobs += 1.0;
        history.mean_work += (work - history.mean_work) / history.jobs;
    }

    pub(super) fn mean_work(&self, queue: &str) -> f64 {
        self.history
            .get(queue)
            .map_or(1.0, |history| history.mean_work)
    }

    /// Predicts the run time of a task from the estimate of its caller and the history of
    /// its queue.
    pub(super) fn run_time_of(&self, queue: &str, estimated_ms: u64) -> LogEstimate {
        let history = self.history.get(queue);
        let run_times = history.map(|history| history.run_times).unwrap_or_default();
        run_times.predict(estimated_ms)
    }

    /// Carries out what has become due: the end of the recovery, expired leases, repeated
    /// orders, moves of runs, polls, throttling, upkeep and deletions of jobs.
    fn review(&mut self) {
        self.review_recovery();
        // An owner without a configuration starts nothing, so a run that it stopped in
        // order to move it would be lost.
        let may_move = self.configuration.version > 0;
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            if self.workers[at].contact == Contact::Gone {
                continue;
            }
            self.review_lease_expiry(key);
            self.review_runs(key);
            if may_move {
                self.review_draining(key);
            }
            self.review_closing(key);
            self.poll_if_due(key);
        }
        if may_move {
            self.review_stalled_runs();
        }
        self.review_throttling();
        if may_move {
            self.review_upkeep();
        }
        self.delete_old_jobs();
    }

    /// Requests the deletion of jobs that ended long ago, and drops ids of deleted jobs
    /// that need not be remembered any more.
    fn delete_old_jobs(&mut self) {
        let before_ms = self.now_ms.saturating_sub(self.tuning.retention_ms);
        let old: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.is_over() && job.ended_ms < before_ms && job.stored >= job.change)
            .map(|job| job.id)
            .collect();
        for id in old {
            if let Some(job) = self.jobs.remove(&id) {
                self.job_memory.remove_job(&job);
            }
            self.deleting_jobs.insert(id, None);
            self.actions.push(Action::DeleteJob { job: id });
        }
        let now_ms = self.now_ms;
        self.deleting_jobs.retain(|_, deleted_ms| {
            deleted_ms.is_none_or(|at_ms| now_ms < at_ms + DELETED_JOB_RETENTION_MS)
        });
    }
}
