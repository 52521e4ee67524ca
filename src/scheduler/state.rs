//! The state of one fleet and the way news changes it.

use super::action::{
    Action,
    Decision, //
};
use super::emptying::Emptying;
use super::freshness::Freshness;
use super::headroom::Demand;
use super::upkeep::Upkeep;
use super::worker::Contact;
use super::{
    ClosedRuns,
    ClusterConfiguration,
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

/// How often runs and workers are looked through for what has become due.
const REVIEW_MS: u64 = 50;
/// Waiting work is tried again at least this often: what hinders it may pass
/// with time alone, as a quarantine does.
const RETRY_PASS_MS: u64 = 250;
/// A job that was removed from the store is not taken for a new one for this
/// long: messages between daemons that name it are seconds old at most.
const REMOVED_MS: u64 = 30_000;

/// A thread that wakes up this late was stopped, or its VM was: a successor
/// starts new work this long after it took over, since by then it is heard.
const PAUSE_MS: u64 = super::recovery::DEPOSED_MS;
/// A pause is so many times longer than the usual time between decisions.
const PAUSE_FACTOR: f64 = 4.0;
/// Weight of a new gap in the usual one: ten gaps tell what is usual.
const GAP_WEIGHT: f64 = 0.1;

/// How much is kept in memory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sizes {
    /// Jobs, those that ended a while ago included.
    pub jobs: usize,
    /// Open steps of occurrences.
    pub groups: usize,
    /// Places for workers, those of workers that are gone included.
    pub workers: usize,
    /// Jobs whose stored data is being deleted.
    pub deleting_jobs: usize,
    /// Terms of queues, those of removed queues with jobs included.
    pub queues: usize,
    /// Jobs with a stored value that does not read.
    pub unreadable_jobs: usize,
}

/// What was learned of a queue's jobs.
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
    pub(super) began_ms: u64,
    pub(super) confirmed_ms: u64,
    /// When this process last went on after a pause.
    pub(super) resumed_ms: u64,
    /// When it last decided.
    decided_ms: u64,
    /// Time between two decisions, as it mostly is.
    usual_gap_ms: f64,
    pub(super) stored_state_read: bool,
    /// Until then earlier owners' starts may run where this one cannot look.
    pub(super) recovering_until_ms: Option<u64>,
    /// From then on nothing runs that an earlier owner gave a lease to.
    pub(super) earlier_leases_over_ms: u64,
    /// The process of the earlier owner has certainly ended.
    pub(super) earlier_owner_over: bool,
    pub(super) configuration: Arc<ClusterConfiguration>,
    /// Terms of the queues by name, those of removed queues with jobs included.
    pub(super) terms: HashMap<String, VersionedTerms>,
    pub(super) history: HashMap<String, QueueHistory>,
    pub(super) workers: Vec<Worker>,
    /// What urgent work lately used.
    pub(super) demand: Demand,
    /// Places of workers that are gone, with the times, the oldest first.
    pub(super) vacant: VecDeque<(u64, WorkerKey)>,
    pub(super) worker_index: HashMap<String, WorkerKey>,
    /// Workers by address, those that are gone included.
    pub(super) address_index: HashMap<String, Vec<WorkerKey>>,
    /// Workers with ends that are not yet acknowledged.
    pub(super) with_unacknowledged_ends: BTreeSet<WorkerKey>,
    /// All jobs that were stored before then are known.
    pub(super) jobs_read_ms: u64,
    /// What workers said of themselves until then is known.
    pub(super) entries_freshness: Freshness,
    pub(super) jobs: BTreeMap<JobId, GraphJob>,
    /// Jobs with a stored value that does not read.
    pub(super) unreadable_jobs: BTreeSet<JobId>,
    /// The stored roster does not read.
    pub(super) roster_unreadable: bool,
    /// Closed workers that such a roster may name, with what may run there.
    pub(super) closed_unlisted: HashMap<String, ClosedRuns>,
    /// Urgent jobs within their account's guarantee, as of the last pass.
    pub(super) guaranteed: HashSet<JobId>,
    pub(super) cancelled_early: HashSet<JobId>,
    pub(super) groups: BTreeMap<GroupKey, Group>,
    /// Jobs that are being forgotten, until their removal from the store is
    /// known and nothing of them can be under way any more.
    pub(super) deleting_jobs: BTreeMap<JobId, Option<u64>>,
    pub(super) upkeep: Upkeep,
    /// Data centres that get no new tasks.
    pub(super) emptying: Emptying,
    /// Polls in flight to workers that have not answered this owner yet.
    pub(super) first_polls: usize,
    pub(super) due: BTreeSet<(u64, JobId)>,
    pub(super) review_at_ms: u64,
    pub(super) pass_at_ms: u64,
    pub(super) changed: bool,
    pub(super) roster_asked: bool,
    pub(super) actions: Vec<Action>,
}

impl Scheduler {
    /// An empty scheduler of the owner with this epoch.
    pub fn new(epoch: u64, tuning: Tuning, now_ms: u64) -> Self {
        Self {
            epoch,
            tuning,
            now_ms,
            began_ms: now_ms,
            confirmed_ms: now_ms,
            resumed_ms: 0,
            decided_ms: now_ms,
            usual_gap_ms: 0.0,
            stored_state_read: false,
            recovering_until_ms: None,
            earlier_leases_over_ms: 0,
            earlier_owner_over: false,
            configuration: Arc::default(),
            terms: HashMap::new(),
            history: HashMap::new(),
            workers: Vec::new(),
            demand: Demand::default(),
            worker_index: HashMap::new(),
            address_index: HashMap::new(),
            with_unacknowledged_ends: BTreeSet::new(),
            jobs_read_ms: 0,
            entries_freshness: Freshness::of(now_ms),
            jobs: BTreeMap::new(),
            unreadable_jobs: BTreeSet::new(),
            roster_unreadable: false,
            closed_unlisted: HashMap::new(),
            guaranteed: HashSet::new(),
            cancelled_early: HashSet::new(),
            groups: BTreeMap::new(),
            deleting_jobs: BTreeMap::new(),
            vacant: VecDeque::new(),
            upkeep: Upkeep::default(),
            emptying: Emptying::default(),
            first_polls: 0,
            due: BTreeSet::new(),
            review_at_ms: 0,
            pass_at_ms: 0,
            changed: false,
            roster_asked: false,
            actions: Vec::new(),
        }
    }

    /// Applies an input; the resulting actions are returned by [`Scheduler::decide`].
    pub fn handle(&mut self, input: Input, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
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
                // Told without what was noted of it.
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
            Input::WorkerEntryUnusable {
                worker_name,
                reason,
            } => self.handle_entry_unusable(&worker_name, reason),
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
                self.closed_unlisted.insert(worker_name, runs);
            }
            Input::StoredStateRead { earlier_owner_over } => {
                self.begin_recovery(earlier_owner_over)
            }
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
            Input::JobDeleted(job) => {
                self.deleting_jobs.insert(job, Some(self.now_ms));
            }
            Input::EpochConfirmed(at_ms) => self.confirmed_ms = self.confirmed_ms.max(at_ms),
            Input::Tick => {}
        }
    }

    /// Decides what follows from the news and the time.
    pub fn decide(&mut self, now_ms: u64) -> Vec<Action> {
        self.note_pause(now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        if self.stored_state_read {
            self.open_due();
            if self.now_ms >= self.review_at_ms {
                self.review_at_ms = self.now_ms + REVIEW_MS;
                self.review();
            }
            if self.changed || self.now_ms >= self.pass_at_ms {
                self.changed = false;
                self.pass_at_ms = self.now_ms + RETRY_PASS_MS;
                self.pass();
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Notices that this process was paused since it decided last. A VM so slow
    /// that every decision takes a second is not.
    fn note_pause(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.decided_ms);
        if gap_ms == 0 {
            return;
        }
        self.decided_ms = now_ms;
        if gap_ms >= PAUSE_MS && gap_ms as f64 >= PAUSE_FACTOR * self.usual_gap_ms {
            self.resumed_ms = now_ms;
        }
        self.usual_gap_ms += GAP_WEIGHT * (gap_ms as f64 - self.usual_gap_ms);
    }

    /// When to decide again without news.
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
            self.open_occurrences(id);
        }
    }

    /// Whether orders may be given: the epoch was confirmed lately, and since
    /// the last pause of this process, in which another may have taken over.
    pub fn has_authority(&self) -> bool {
        let lately = self.now_ms < self.confirmed_ms + self.tuning.authority_ms;
        lately && self.confirmed_ms >= self.resumed_ms
    }

    /// The epoch under which orders are given.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &GraphJob> {
        self.jobs.values()
    }

    /// The workers.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// How much is kept in memory.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            jobs: self.jobs.len(),
            groups: self.groups.len(),
            workers: self.workers.len(),
            deleting_jobs: self.deleting_jobs.len(),
            queues: self.terms.len(),
            unreadable_jobs: self.unreadable_jobs.len(),
        }
    }

    /// The open groups.
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
        self.forget_old_queues();
        self.refresh_terms();
        self.changed = true;
    }

    /// Queues come and go with every version; only those with jobs are kept.
    fn forget_old_queues(&mut self) {
        let declared = self.configuration.queues.iter().map(|queue| &queue.name);
        let used = self.jobs.values().map(|job| &job.record.queue);
        let needed: HashSet<&String> = declared.chain(used).collect();
        self.terms.retain(|name, _| needed.contains(name));
        self.history.retain(|name, _| needed.contains(name));
    }

    pub(super) fn job_mut(&mut self, id: JobId) -> &mut GraphJob {
        self.jobs
            .get_mut(&id)
            .expect("jobs are removed only by review, which asks for none")
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

    /// The room of the workers that count.
    pub(super) fn room_of(&self, counts: impl Fn(&Worker) -> bool) -> Resources {
        let counted = self.workers.iter().filter(|worker| counts(worker));
        counted.fold(Resources::default(), |sum, worker| {
            sum.plus(&worker.info.capacity)
        })
    }

    pub(super) fn note_work(&mut self, queue: &str, work: f64) {
        let history = self.history.entry(queue.to_owned()).or_default();
        history.jobs += 1.0;
        history.mean_work += (work - history.mean_work) / history.jobs;
    }

    pub(super) fn mean_work(&self, queue: &str) -> f64 {
        self.history
            .get(queue)
            .map_or(1.0, |history| history.mean_work)
    }

    /// What is believed of the run time behind a queue's estimate.
    pub(super) fn run_time_of(&self, queue: &str, estimated_ms: u64) -> LogEstimate {
        let history = self.history.get(queue);
        let run_times = history.map(|history| history.run_times).unwrap_or_default();
        run_times.predict(estimated_ms)
    }

    /// Looks through workers and runs for what has become due.
    fn review(&mut self) {
        self.review_recovery();
        // An owner that knows no configuration starts nothing: what it stopped, to
        // have it run better elsewhere, would only be thrown away.
        let may_move = self.configuration.version > 0;
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            if self.workers[at].contact == Contact::Gone {
                continue;
            }
            self.review_lease_expiry(key);
            self.review_runs(key);
            if may_move {
                self.review_leaving(key);
            }
            self.review_closing(key);
            self.poll_if_due(key);
        }
        if may_move {
            self.review_evidence();
        }
        self.review_sharing();
        if may_move {
            self.review_upkeep();
        }
        self.forget_old_jobs();
    }

    fn forget_old_jobs(&mut self) {
        let before_ms = self.now_ms.saturating_sub(self.tuning.retention_ms);
        let old: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.is_over() && job.ended_ms < before_ms && job.stored >= job.change)
            .map(|job| job.id)
            .collect();
        for id in old {
            self.jobs.remove(&id);
            self.deleting_jobs.insert(id, None);
            self.actions.push(Action::DeleteJob { job: id });
        }
        let now_ms = self.now_ms;
        self.deleting_jobs
            .retain(|_, removed_ms| removed_ms.is_none_or(|at_ms| now_ms < at_ms + REMOVED_MS));
    }
}
