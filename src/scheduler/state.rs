//! The state of one fleet and the way news changes it.

use super::action::{
    Action,
    Decision,
    StopReason, //
};
use super::order::OrderRule;
use super::upkeep::Upkeep;
use super::worker::{
    Closing,
    Contact, //
};
use super::{
    ClusterConfiguration,
    GraphJob,
    Group,
    GroupKey,
    Input,
    Queue,
    Resources,
    RunName,
    TaskState,
    Worker,
    WorkerInfo, //
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

/// Numbers of runs that one epoch may give to a task.
const RUNS_PER_EPOCH: u64 = 1_000;
/// How often runs and workers are looked through for what has become due.
const REVIEW_MS: u64 = 50;
/// Waiting work is tried again at least this often: what hinders it may pass
/// with time alone, as a quarantine does.
const RETRY_PASS_MS: u64 = 250;
/// Looks on their way to workers that have not answered yet. A new owner asks
/// thousands; all at once they hold up its heartbeats for a second.
const MAX_FIRST_LOOKS: usize = 128;
/// The place of a worker that is gone is used again after this long: ten times
/// the bound of a call to a worker.
const VACANT_MS: u64 = 30_000;
/// A job that was removed from the store is not taken for a new one for this
/// long: messages between daemons that name it are seconds old at most.
const REMOVED_MS: u64 = 30_000;

/// A thread that wakes up this late was stopped, or its VM was: a successor
/// starts new work this long after it took over, since by then it is heard.
const PAUSE_MS: u64 = super::blind::DEPOSED_MS;

/// Bounds of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// How long an owner that cannot confirm its epoch goes on giving leases
    /// and starts. Longer than the outages of the store that work should
    /// survive unharmed; a new owner waits it out for workers it cannot reach.
    pub authority_ms: u64,
    /// Length of a worker's lease: survives a cut of that length.
    pub lease_ms: u64,
    /// A start that arrives later than this does nothing. Short, so that a
    /// start without an answer is settled early.
    pub start_window_ms: u64,
    /// Most that a stop takes on a worker.
    pub stop_ms: u64,
    /// Wait of a look at a worker.
    pub look_wait_ms: u64,
    /// How long an ended job is remembered.
    pub retention_ms: u64,
    /// Tasks with data on a rack, or tight gangs, take this many times as long
    /// elsewhere.
    pub remote_factor: f64,
    /// Time that a run loses by going on from a checkpoint.
    pub restore_ms: u64,
    /// Time between two checkpoints.
    pub checkpoint_ms: u64,
    /// What orders waiting work.
    pub order: OrderRule,
    /// How long a machine is down for its upkeep.
    pub upkeep_ms: u64,
    /// A new owner gives no orders for machines for this long: two owners in
    /// touch may not take turns at one machine within it.
    pub holder_gap_ms: u64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            authority_ms: 6_000,
            lease_ms: 7_000,
            start_window_ms: 1_500,
            stop_ms: 200,
            look_wait_ms: 1_000,
            retention_ms: 150_000,
            remote_factor: 3.0,
            restore_ms: 600,
            checkpoint_ms: 2_000,
            order: OrderRule::Worth,
            upkeep_ms: 2_000,
            holder_gap_ms: 3_500,
        }
    }
}

/// How much is kept in memory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sizes {
    /// Jobs, those that ended a while ago included.
    pub jobs: usize,
    /// Open steps of occurrences.
    pub groups: usize,
    /// Places for workers, those of workers that are gone included.
    pub workers: usize,
    /// Jobs that are being forgotten.
    pub leaving_jobs: usize,
    /// Terms of queues, those of removed queues with jobs included.
    pub queues: usize,
}

/// What was learned of a queue's jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct QueueHistory {
    pub jobs: f64,
    pub mean_work: f64,
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
    pub(super) recovered: bool,
    /// Until then earlier owners' starts may run where this one cannot look.
    pub(super) blind_until_ms: Option<u64>,
    /// From then on nothing runs that an earlier owner gave a lease to.
    pub(super) earlier_leases_over_ms: u64,
    /// The process of the earlier owner has certainly ended.
    pub(super) earlier_owner_over: bool,
    pub(super) configuration: Arc<ClusterConfiguration>,
    pub(super) terms: HashMap<String, Queue>,
    pub(super) history: HashMap<String, QueueHistory>,
    pub(super) workers: Vec<Worker>,
    /// Places of workers that are gone, with the times, the oldest first.
    pub(super) vacant: VecDeque<(u64, WorkerKey)>,
    pub(super) worker_index: HashMap<String, WorkerKey>,
    /// Workers by address, those that are gone included.
    address_index: HashMap<String, Vec<WorkerKey>>,
    /// Workers that listed ends which are not durable yet.
    pub(super) with_undurable: BTreeSet<WorkerKey>,
    pub(super) jobs: BTreeMap<JobId, GraphJob>,
    /// Urgent jobs within their account's guarantee, as of the last pass.
    pub(super) guaranteed: HashSet<JobId>,
    pub(super) cancelled_early: HashSet<JobId>,
    pub(super) groups: BTreeMap<GroupKey, Group>,
    /// Jobs that are being forgotten, until their removal from the store is
    /// known and nothing of them can be under way any more.
    pub(super) leaving_jobs: BTreeMap<JobId, Option<u64>>,
    pub(super) upkeep: Upkeep,
    /// Looks on their way to workers that have not answered this owner yet.
    pub(super) first_looks: usize,
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
            recovered: false,
            blind_until_ms: None,
            earlier_leases_over_ms: 0,
            earlier_owner_over: false,
            configuration: Arc::default(),
            terms: HashMap::new(),
            history: HashMap::new(),
            workers: Vec::new(),
            worker_index: HashMap::new(),
            address_index: HashMap::new(),
            with_undurable: BTreeSet::new(),
            jobs: BTreeMap::new(),
            guaranteed: HashSet::new(),
            cancelled_early: HashSet::new(),
            groups: BTreeMap::new(),
            leaving_jobs: BTreeMap::new(),
            vacant: VecDeque::new(),
            upkeep: Upkeep::default(),
            first_looks: 0,
            due: BTreeSet::new(),
            review_at_ms: 0,
            pass_at_ms: 0,
            changed: false,
            roster_asked: false,
            actions: Vec::new(),
        }
    }

    /// Takes in news; what follows is returned by [`Scheduler::decide`].
    pub fn take(&mut self, input: Input, now_ms: u64) {
        self.move_clock(now_ms);
        match input {
            Input::Configure(configuration) => self.configure(configuration),
            Input::Job {
                id,
                record,
                progress,
            } => {
                self.take_job(id, record, progress);
                if self.cancelled_early.remove(&id) {
                    self.cancel_job(id);
                }
            }
            Input::Cancelled(id) => self.cancel_job(id),
            Input::Worker(info) => self.take_worker(info),
            Input::KnownWorker {
                incarnation,
                address,
                closed_with,
            } => self.take_known_worker(incarnation, address, closed_with),
            Input::WorkerUnlisted(name) => self.worker_unlisted(&name),
            Input::Recovered { earlier_owner_over } => self.begin_recovery(earlier_owner_over),
            Input::RosterStored(workers) => self.roster_stored(&workers),
            Input::Held {
                worker,
                sent_ms,
                report,
            } => self.held(worker, sent_ms, report),
            Input::HoldFailed { worker, outcome } => self.hold_failed(worker, outcome),
            Input::StartOver {
                worker,
                name,
                outcome,
            } => self.start_over(worker, name, outcome),
            Input::StopOver {
                worker,
                name,
                outcome,
            } => self.stop_over(worker, name, outcome),
            Input::PaceOver {
                worker,
                name,
                outcome,
            } => self.pace_over(worker, name, outcome),
            Input::Advised {
                step,
                asked,
                approved,
            } => self.advised(step, &asked, approved),
            Input::ClosedStored {
                incarnation,
                closed,
            } => self.closed_stored(&incarnation, closed),
            Input::Stored { job, change } => self.stored(job, change),
            Input::Wave(order) => self.take_wave(order),
            Input::Machines { sent_ms, machines } => self.take_machines(sent_ms, machines),
            Input::UpkeepOver {
                wave,
                machine,
                outcome,
            } => self.upkeep_over(wave, &machine, outcome),
            Input::Forgotten(job) => {
                self.leaving_jobs.insert(job, Some(self.now_ms));
            }
            Input::Confirmed(at_ms) => self.confirmed_ms = self.confirmed_ms.max(at_ms),
            Input::Tick => {}
        }
    }

    /// Decides what follows from the news and the time.
    pub fn decide(&mut self, now_ms: u64) -> Vec<Action> {
        self.move_clock(now_ms);
        if self.recovered {
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

    fn move_clock(&mut self, now_ms: u64) {
        if now_ms >= self.now_ms + PAUSE_MS {
            self.resumed_ms = now_ms;
        }
        self.now_ms = self.now_ms.max(now_ms);
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
            leaving_jobs: self.leaving_jobs.len(),
            queues: self.terms.len(),
        }
    }

    /// The open groups.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// Workers that the stored roster has to name: key, incarnation, address.
    pub fn roster(&self) -> Vec<(WorkerKey, String, String)> {
        let used = self
            .workers
            .iter()
            .filter(|worker| worker.contact != Contact::Gone);
        used.map(|worker| {
            let info = &worker.info;
            (worker.key, info.incarnation.clone(), info.address.clone())
        })
        .collect()
    }

    fn configure(&mut self, configuration: Arc<ClusterConfiguration>) {
        if configuration.version <= self.configuration.version {
            return;
        }
        for queue in &configuration.queues {
            self.terms.insert(queue.name.clone(), queue.clone());
        }
        self.configuration = configuration;
        self.forget_old_queues();
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

    /// The terms of a queue; those of a removed queue stay, for its jobs.
    pub(super) fn queue_terms(&self, name: &str) -> Queue {
        let known = self.terms.get(name).cloned();
        known.unwrap_or_else(|| Queue {
            name: name.to_owned(),
            priority: 1,
            max_attempts: 1,
            stretch_factor: 2.0,
            ..Queue::default()
        })
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

    pub(super) fn fleet_room(&self) -> Resources {
        let live = self.workers.iter().filter(|worker| worker.listed);
        live.fold(Resources::default(), |sum, worker| {
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

    fn take_worker(&mut self, info: WorkerInfo) {
        let known = self.worker_index.get(&info.incarnation).copied();
        let draining = info.draining;
        let key = known.unwrap_or_else(|| self.add_worker(info.clone()));
        if self.worker(key).info.address != info.address {
            self.forget_address(key);
            self.note_address(&info.address, key);
        }
        // A restarted worker has the address of the one before: that one is over.
        let there = self.address_index.get(&info.address);
        let replaced: Vec<WorkerKey> = there
            .into_iter()
            .flatten()
            .copied()
            .filter(|&other| other != key && !self.worker(other).listed)
            .collect();
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        worker.update(info, now_ms);
        if worker.contact == Contact::Gone {
            // It was silent and not listed for a whole lease, and is back.
            worker.contact = Contact::Unfenced;
            self.vacant.retain(|&(_, vacant)| vacant != key);
        }
        let unknown = !self.worker(key).on_roster;
        for old in replaced {
            self.worker_gone(old, "replaced");
        }
        if draining {
            self.changed = true;
        }
        if unknown && !self.roster_asked {
            self.roster_asked = true;
            self.actions.push(Action::StoreRoster);
        }
        self.changed = true;
    }

    fn add_worker(&mut self, info: WorkerInfo) -> WorkerKey {
        let key = self
            .vacate()
            .unwrap_or(WorkerKey(self.workers.len() as u32));
        self.worker_index.insert(info.incarnation.clone(), key);
        self.note_address(&info.address, key);
        let worker = Worker::new(key, info);
        match self.workers.get_mut(key.index()) {
            Some(place) => *place = worker,
            None => self.workers.push(worker),
        }
        key
    }

    fn note_address(&mut self, address: &str, key: WorkerKey) {
        let there = self.address_index.entry(address.to_owned()).or_default();
        there.push(key);
    }

    fn forget_address(&mut self, key: WorkerKey) {
        let address = &self.workers[key.index()].info.address;
        if let Some(there) = self.address_index.get_mut(address) {
            there.retain(|&other| other != key);
            if there.is_empty() {
                let address = address.clone();
                self.address_index.remove(&address);
            }
        }
    }

    /// A place whose worker is gone for so long that no answer of it can be
    /// under way: workers that go down and up by turns would fill the memory.
    fn vacate(&mut self) -> Option<WorkerKey> {
        let &(since_ms, key) = self.vacant.front()?;
        if self.now_ms < since_ms + VACANT_MS {
            return None;
        }
        self.vacant.pop_front();
        let before = self.worker(key).info.incarnation.clone();
        self.worker_index.remove(&before);
        self.forget_address(key);
        for group in self.groups.values_mut() {
            group.forget_worker(key);
        }
        Some(key)
    }

    fn take_known_worker(
        &mut self,
        incarnation: String,
        address: String,
        closed_with: Option<Vec<RunName>>,
    ) {
        let known = self.worker_index.get(&incarnation).copied();
        let key = known.unwrap_or_else(|| {
            self.add_worker(WorkerInfo {
                incarnation,
                address,
                ..WorkerInfo::default()
            })
        });
        self.worker_mut(key).on_roster = true;
        if let Some(runs) = closed_with {
            self.take_closed(key, runs);
        }
    }

    fn worker_unlisted(&mut self, name: &str) {
        if let Some(&key) = self.worker_index.get(name) {
            self.worker_mut(key).listed = false;
            self.changed = true;
        }
    }

    fn roster_stored(&mut self, workers: &[WorkerKey]) {
        for &key in workers {
            let worker = self.worker_mut(key);
            worker.on_roster = worker.contact != Contact::Gone;
            self.look_if_due(key);
        }
        self.roster_asked = self
            .workers
            .iter()
            .any(|worker| !worker.on_roster && worker.contact != Contact::Gone);
        if self.roster_asked {
            self.actions.push(Action::StoreRoster);
        }
        self.changed = true;
    }

    /// Looks through workers and runs for what has become due.
    fn review(&mut self) {
        self.review_blindness();
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            if self.workers[at].contact == Contact::Gone {
                continue;
            }
            self.review_lapse(key);
            self.review_runs(key);
            self.review_leaving(key);
            self.review_closing(key);
            self.look_if_due(key);
        }
        self.review_evidence();
        self.review_sharing();
        self.review_upkeep();
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
            self.leaving_jobs.insert(id, None);
            self.actions.push(Action::Forget { job: id });
        }
        let now_ms = self.now_ms;
        self.leaving_jobs
            .retain(|_, removed_ms| removed_ms.is_none_or(|at_ms| now_ms < at_ms + REMOVED_MS));
    }

    /// After the end of the longest lease nothing runs there any more. A
    /// worker that is not listed either has left: the roster forgets it, or it
    /// would hold up the next owner, who could not reach it.
    fn review_lapse(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let worker = self.worker(key);
        let silent = matches!(worker.contact, Contact::Silent | Contact::Unfenced);
        // Nothing runs where this owner has looked, and where all that it
        // ordered since has ended.
        let empty = worker.contact == Contact::Silent && worker.runs.is_empty();
        let never_used = worker.clock.is_none() && now_ms >= self.earlier_leases_over_ms;
        let lapsed_ms = match empty || never_used {
            true => Some(0),
            false => worker.lapsed_at_ms(),
        };
        if !silent || lapsed_ms.is_none_or(|lapsed_ms| now_ms < lapsed_ms) {
            return;
        }
        let listed = worker.listed;
        if !worker.runs.is_empty() {
            self.lose_runs(key, "lease_over");
        }
        if !listed {
            self.worker_gone(key, "left");
        }
    }

    pub(super) fn look_if_due(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let authority = self.has_authority();
        let (lease_ms, wait_ms) = (self.tuning.lease_ms, self.tuning.look_wait_ms);
        let crowded = self.first_looks >= MAX_FIRST_LOOKS;
        let worker = self.worker_mut(key);
        if worker.look_in_flight || now_ms < worker.look_at_ms || !worker.on_roster {
            return;
        }
        let first = worker.contact == Contact::Unfenced;
        if first && crowded {
            return;
        }
        worker.look_in_flight = true;
        worker.first_look = first;
        // A worker that does not answer is asked for a quick sign of life, and
        // ends that are not durable yet would answer a waiting look at once.
        let quick = worker.contact != Contact::Answering || !worker.undurable.is_empty();
        let shares =
            worker.runs.values().any(|run| run.serves) && worker.runs.values().any(|run| run.fills);
        let wait_ms = match (quick, shares) {
            (true, _) => 0,
            (false, true) => super::sharing::SHARED_LOOK_WAIT_MS,
            (false, false) => wait_ms,
        };
        let lease_end_ms = if authority && worker.contact == Contact::Answering {
            worker.grant(now_ms, lease_ms)
        } else {
            None
        };
        let (callee, last_seen) = (worker.callee(), worker.last_seen);
        self.first_looks += usize::from(first);
        self.actions.push(Action::Hold {
            callee,
            last_seen,
            lease_end_ms,
            wait_ms,
        });
    }

    /// A look came back: others that waited for it go out.
    pub(super) fn look_over(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        worker.look_in_flight = false;
        if !std::mem::take(&mut worker.first_look) {
            return;
        }
        self.first_looks -= 1;
        if self.first_looks == MAX_FIRST_LOOKS / 2 {
            for at in 0..self.workers.len() {
                if self.workers[at].contact == Contact::Unfenced {
                    self.look_if_due(WorkerKey(at as u32));
                }
            }
        }
    }

    /// A run is off its worker without being done: its task waits again.
    pub(super) fn run_gone(&mut self, key: WorkerKey, name: RunName) {
        self.worker_mut(key).remove_run(&name);
        self.changed = true;
        let group_key = GroupKey::of(name.task);
        let Some(group) = self.groups.get_mut(&group_key) else {
            return;
        };
        let index = name.task.index;
        let placed = TaskState::Placed {
            worker: key,
            run: name.run,
        };
        let Some(task) = group.tasks.get_mut(index as usize) else {
            return;
        };
        if task.state == placed {
            group.set_state(index, TaskState::Waiting);
        }
        if group.step.gang && group.gang_run == Some(name.run) {
            self.end_gang(group_key);
        }
    }

    /// Gives up the run of a gang: the others stop, and once all are off their
    /// workers the gang waits again.
    pub(super) fn end_gang(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        if group.is_done() {
            return;
        }
        if group.waiting as usize == group.tasks.len() {
            group.gang_run = None;
            group.gang_ending = false;
            self.changed = true;
            return;
        }
        if !group.gang_ending {
            group.gang_ending = true;
            self.stop_group(key, StopReason::GangBroken);
        }
    }

    /// Whatever ran on a worker is lost.
    fn lose_runs(&mut self, key: WorkerKey, reason: &'static str) {
        let names: Vec<RunName> = self.worker(key).runs.keys().copied().collect();
        if self.worker(key).closing != Closing::Open {
            // The store named these runs.
            self.actions.push(Action::StoreClosed { worker: key });
        }
        let worker = self.worker(key).incarnation();
        self.decided(Decision::WorkerLost {
            worker,
            runs: names.len(),
            reason,
        });
        for name in names {
            self.run_gone(key, name);
        }
    }

    /// The worker's incarnation is over.
    pub(super) fn worker_gone(&mut self, key: WorkerKey, reason: &'static str) {
        if self.worker(key).contact == Contact::Gone {
            return;
        }
        let now_ms = self.now_ms;
        self.vacant.push_back((now_ms, key));
        let worker = self.worker_mut(key);
        worker.contact = Contact::Gone;
        if worker.on_roster {
            worker.on_roster = false;
            self.actions.push(Action::StoreRoster);
        }
        self.lose_runs(key, reason);
    }

    /// The number of the next run of a group's tasks; a gang's members share it.
    pub(super) fn next_run(&self, key: GroupKey, index: Option<u32>) -> u64 {
        let tasks = &self.groups[&key].tasks;
        let highest = match index {
            Some(index) => tasks[index as usize].last_run,
            None => tasks.iter().map(|task| task.last_run).max().unwrap_or(0),
        };
        let base = (self.epoch.saturating_sub(1)) * RUNS_PER_EPOCH;
        highest.max(base) + 1
    }
}
