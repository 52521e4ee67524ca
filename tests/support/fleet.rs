//! A small simulated fleet for tests of the scheduler. Its workers execute the scheduler's
//! calls at once by default, and tests advance its clock.

use fuchsiaslip::core::{
    JobId,
    WorkerKey, //
};
use fuchsiaslip::scheduler::{
    AccountDeclaration,
    Action,
    CallOutcome,
    ClosedRuns,
    ClusterConfiguration,
    EndKind,
    EndedRow,
    GroupKey,
    Input,
    JobRecord,
    JobSpec,
    MachineInfo,
    MachineState,
    PollReport,
    ProgressRecord,
    Queue,
    Resources,
    RunName,
    RunningRow,
    Scheduler,
    StartRefusal,
    StepSpec,
    TaskId,
    Tuning,
    UpkeepOutcome,
    WorkerInfo, //
};
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};
use std::sync::Arc;

/// The time at which every test begins.
pub const BEGIN_MS: u64 = 1_000_000;

/// Time before a test begins, in which the workers register and answer their first polls.
const WARM_UP_MS: u64 = 1_000;

/// Most ends that a worker lists in one answer.
pub const MAX_LISTED_ENDS: usize = 500;

/// A simulated worker.
#[derive(Clone, Debug, Default)]
pub struct FakeWorker {
    pub running: BTreeMap<RunName, u32>,
    pub ended: Vec<EndedRow>,
    pub last_end_number: u64,
    pub refused_runs: BTreeMap<TaskId, u64>,
    /// End of its lease, on its own clock.
    pub lease_end_ms: u64,
    /// When its incarnation started; its clock counts from a fixed time before.
    pub incarnation_start_ms: u64,
}

impl FakeWorker {
    fn started_at(now_ms: u64) -> Self {
        Self {
            incarnation_start_ms: now_ms,
            ..Self::default()
        }
    }

    /// Returns the time on its clock.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        const FIRST_MS: u64 = 1_000;
        now_ms - self.incarnation_start_ms + FIRST_MS
    }

    /// Whether its lease has expired.
    pub fn has_expired_lease(&self, now_ms: u64) -> bool {
        self.clock_ms(now_ms) > self.lease_end_ms
    }

    /// Extends the lease; one that is longer than workers accept is shortened.
    fn extend_lease(&mut self, lease_end_ms: u64, now_ms: u64) {
        let longest_ms = self.clock_ms(now_ms) + MAX_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.min(longest_ms));
    }

    /// Adds `count` ends of runs of a job that no owner knows.
    pub fn end_others(&mut self, count: usize, kind: EndKind) {
        for index in 0..count as u32 {
            let task = TaskId {
                job: JobId(u64::MAX),
                occurrence: 0,
                step: 0,
                index,
            };
            let name = RunName { task, run: 1 };
            self.running.insert(name, 0);
            self.end(name, kind);
        }
    }

    /// Ends a run and adds it to the list of ended runs.
    pub fn end(&mut self, name: RunName, kind: EndKind) {
        if self.running.remove(&name).is_some() {
            self.last_end_number += 1;
            self.ended.push(EndedRow {
                number: self.last_end_number,
                name,
                kind,
                checkpoint: "".into(),
            });
            self.refused_runs.insert(name.task, name.run);
        }
    }
}

/// An end that was acknowledged to its worker.
#[derive(Clone, Debug)]
pub struct AcknowledgedEnd {
    pub worker: String,
    pub row: EndedRow,
    /// The progress that was stored of its job at that time.
    pub stored: Option<ProgressRecord>,
}

/// A scheduler with its workers and its store.
pub struct Fleet {
    pub scheduler: Scheduler,
    pub now_ms: u64,
    pub workers: HashMap<String, FakeWorker>,
    /// Workers that do not answer.
    pub unresponsive: Vec<String>,
    /// Whether workers carry out the stops that they answer.
    pub stops_take_effect: bool,
    /// Whether writes to the store are carried out, at once.
    pub store_answers: bool,
    /// Whether writes of progress wait in `pending` until a test commits them.
    pub defers_progress: bool,
    pub pending: BTreeMap<JobId, (u64, ProgressRecord)>,
    pub stored: HashMap<JobId, (u64, ProgressRecord)>,
    /// Jobs that were deleted from the store.
    pub deleted_jobs: HashSet<JobId>,
    /// Whether the scheduler is informed that its view of the stored jobs is current.
    pub reports_jobs_read: bool,
    /// Whether the scheduler is informed that its view of the workers' entries is current.
    pub reports_entries_read: bool,
    /// Ends that were acknowledged to workers, in the order of the messages.
    pub acknowledged: Vec<AcknowledgedEnd>,
    /// Closed workers, with the runs that they may have.
    pub closed: HashMap<String, Option<ClosedRuns>>,
    /// All actions of the scheduler, newest last.
    pub actions: Vec<Action>,
    /// Every start with the worker's name and the time.
    pub starts: Vec<(RunName, String, u64)>,
    /// Every stop with the worker's name.
    pub stops: Vec<(RunName, String)>,
    pub highest_acknowledged: HashMap<String, u64>,
    /// The reason for which workers refuse all starts, if they do.
    pub refusal: Option<StartRefusal>,
    /// The tuning of the next owner.
    pub next_tuning: Tuning,
    /// Whether starts are lost before they arrive.
    pub loses_starts: bool,
    /// Workers to which the owner has no free connection for starts.
    pub without_connection: Vec<String>,
    /// The usage of runs that workers report.
    pub usage: HashMap<RunName, f64>,
    /// Every throttle call, with its percentage.
    pub throttles: Vec<(RunName, u32)>,
    /// Rack and data centre of workers outside the default ones.
    pub places: HashMap<String, (String, String)>,
    /// The platform's machines, each with its worker.
    pub machines: BTreeMap<String, FakeMachine>,
    /// Machines whose upkeep began, with the times.
    pub upkeeps: Vec<(String, u64)>,
    /// Whether requests to begin upkeep are answered.
    pub upkeep_answers: bool,
    /// Tasks that crash each worker that starts them.
    pub crashing: HashSet<TaskId>,
    /// How long after its start such a task crashes its worker.
    pub crash_after_ms: u64,
    /// Time after which the next incarnation of a crashed worker joins at its address.
    pub down_ms: u64,
    /// Whether crashed workers come back under the same name.
    pub keeps_names: bool,
    /// If set, starts are not answered, and are carried out after this time.
    pub late_start_ms: Option<u64>,
    /// Starts to carry out late: the time, the worker, the run and the end of the lease.
    late_starts: Vec<(u64, String, RunName, u64)>,
    /// Starts of tasks that were running already, on any worker.
    pub overlaps: Vec<RunName>,
    /// Every run that a crash ended, with the worker's name and the time.
    pub crashed: Vec<(RunName, String, u64)>,
    /// Scheduled changes of workers, with the time and the worker's name.
    scheduled_changes: Vec<(u64, String, WorkerChange)>,
    polls: Vec<PendingPoll>,
}

/// A poll that waits for its answer.
#[derive(Clone, Debug)]
struct PendingPoll {
    worker: WorkerKey,
    name: String,
    /// Start of the incarnation that the poll reached, if any.
    incarnation_start_ms: Option<u64>,
    sent_ms: u64,
    last_seen: u64,
}

/// A change of a worker that no call of the scheduler causes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WorkerChange {
    Crash,
    /// The next incarnation joins.
    Return,
    /// The entry expires.
    Unlist,
}

/// The longest lease that a worker accepts.
const MAX_LEASE_MS: u64 = 10_000;
/// Time after which an entry expires that its worker does not renew.
const ENTRY_EXPIRY_MS: u64 = 4_500;
/// Separates a worker's name from the number of its incarnation.
const INCARNATION_SEPARATOR: char = '~';

/// A machine of the platform.
#[derive(Clone, Debug)]
pub struct FakeMachine {
    pub worker: String,
    /// Time at which the machine is up again.
    pub up_at_ms: u64,
    pub had_upkeep: bool,
}

/// How long the upkeep of a machine takes.
pub const UPKEEP_MS: u64 = 2_000;

pub fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: format!("/{name}/"),
        service: "s".to_owned(),
        priority,
        max_attempts: 2,
        stretch_factor: 2.0,
        target_latency_ms: 1_000,
        public: false,
        advice: None,
    }
}

pub fn configuration(guaranteed: u32) -> ClusterConfiguration {
    ClusterConfiguration {
        version: 1,
        queues: vec![queue("urgent", 0), queue("plain", 1), queue("patient", 2)],
        accounts: vec![AccountDeclaration {
            name: "zadruga".to_owned(),
            keys: vec!["key".to_owned()],
            guaranteed_accelerators: guaranteed,
        }],
        ..ClusterConfiguration::default()
    }
}

/// Returns the entry of a worker that drains and leaves after `remaining_ms`.
pub fn leaving_info(name: &str, remaining_ms: u64) -> WorkerInfo {
    WorkerInfo {
        draining: true,
        remaining_ms: Some(remaining_ms),
        ..worker_info(name, "r1")
    }
}

/// Returns the address of a worker, which all its incarnations share.
pub fn address_of(name: &str) -> String {
    let (base, _) = name.split_once(INCARNATION_SEPARATOR).unwrap_or((name, ""));
    format!("{base}:1")
}

pub fn worker_info(name: &str, rack: &str) -> WorkerInfo {
    WorkerInfo {
        worker_name: name.to_owned(),
        address: address_of(name),
        service: "s".to_owned(),
        data_centre: "zg-dubrava".to_owned(),
        labels: vec!["a".to_owned(), rack.to_owned()],
        capacity: Resources {
            cpu_millis: 32_000,
            memory_mb: 131_072,
            accelerators: 8,
        },
        incarnation_start_ms: None,
        draining: false,
        remaining_ms: None,
    }
}

pub fn step(count: u32, accelerators: u32) -> StepSpec {
    StepSpec {
        count,
        needs: Resources {
            cpu_millis: 1_000,
            memory_mb: 1_000,
            accelerators,
        },
        estimated_ms: 2_000,
        ..StepSpec::default()
    }
}

/// A step whose tasks start together or not at all.
pub fn gang(count: u32, accelerators: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

/// Adds ten workers, each on a rack of its own, and submits an urgent gang that needs two
/// whole workers on one rack. Returns the gang's waiting time in milliseconds.
pub fn same_rack_gang_wait_ms(fleet: &mut Fleet) -> u64 {
    for rack in 2..12 {
        fleet.add_worker(&format!("w{rack}"), &format!("r{rack}"));
    }
    fleet.advance(500);
    let same_rack_step = StepSpec {
        same_rack: true,
        ..gang(2, 8)
    };
    let accepted_ms = fleet.now_ms;
    let mut job = record("urgent", vec![same_rack_step]);
    job.received_ms = accepted_ms;

    fleet.submit(1, job);
    fleet.advance(2_700);

    fleet.starts[0].2 - accepted_ms
}

pub fn record(queue: &str, steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        queue: queue.to_owned(),
        account: "zadruga".to_owned(),
        received_ms: BEGIN_MS,
        accepted_under: None,
        spec: JobSpec {
            payload: "p".to_owned(),
            steps,
            schedule: None,
        },
    }
}

impl Fleet {
    /// Creates a fleet of workers `w0`, `w1`, ... on one rack, with an owner of the first
    /// epoch.
    pub fn with_workers(count: usize) -> Self {
        Self::with_tuning(count, Tuning::default())
    }

    /// As [`Fleet::with_workers`], with the given tuning.
    pub fn with_tuning(count: usize, tuning: Tuning) -> Self {
        let start_ms = BEGIN_MS - WARM_UP_MS;
        let mut fleet = Self::without_workers(Scheduler::new(1, tuning, start_ms));
        fleet.now_ms = start_ms;
        fleet.send_input(Input::Configure(Arc::new(configuration(64))));
        for index in 0..count {
            fleet.add_worker(&format!("w{index}"), "r1");
        }
        fleet.send_input(Input::StoredStateRead {
            earlier_owner_exited: true,
        });
        fleet.advance(WARM_UP_MS);
        fleet
    }

    /// Creates a fleet of `count` workers to which a job was just submitted; the tasks
    /// that fit have started.
    pub fn with_job(count: usize, record: JobRecord) -> (Self, JobId, JobRecord) {
        const START_DELAY_MS: u64 = 20;
        let mut fleet = Self::with_workers(count);
        let id = fleet.submit(1, record.clone());
        fleet.advance(START_DELAY_MS);
        (fleet, id, record)
    }

    /// Returns the fleet of `self` under a new owner that has read the stored state.
    pub fn next_owner(
        &self,
        epoch: u64,
        jobs: &[(JobId, JobRecord)],
        earlier_owner_exited: bool,
    ) -> Self {
        let known = configuration(64);
        self.next_owner_with_configuration(epoch, known, jobs, earlier_owner_exited)
    }

    /// As [`Fleet::next_owner`], with `known` as the configuration of the new owner.
    pub fn next_owner_with_configuration(
        &self,
        epoch: u64,
        known: ClusterConfiguration,
        jobs: &[(JobId, JobRecord)],
        earlier_owner_exited: bool,
    ) -> Self {
        self.next_owner_with(epoch, earlier_owner_exited, |next| {
            next.send_input(Input::Configure(Arc::new(known)));
            let mut names: Vec<&String> = self.workers.keys().collect();
            names.sort();
            for name in names {
                next.send_input(self.roster_input(name));
                next.send_input(Input::WorkerRegistered(next.placed_info(name, "r1")));
            }
            for (name, _) in self.scheduler.roster() {
                if !self.workers.contains_key(&name) {
                    next.send_input(self.roster_input(&name));
                }
            }
            for (id, record) in jobs {
                next.send_input(Input::JobStored {
                    id: *id,
                    record: Arc::new(record.clone()),
                    progress: self.stored.get(id).map(|(_, progress)| progress.clone()),
                });
            }
        })
    }

    /// Returns the input for a worker on the stored roster.
    fn roster_input(&self, name: &str) -> Input {
        Input::RosterWorker {
            worker_name: name.to_owned(),
            address: address_of(name),
            closed_runs: self.closed.get(name).cloned().flatten(),
        }
    }

    /// Returns the fleet of `self` under a new owner that receives the configuration and
    /// then the inputs that `send_inputs` sends.
    pub fn next_owner_with_inputs(
        &self,
        epoch: u64,
        earlier_owner_exited: bool,
        send_inputs: impl FnOnce(&mut Self),
    ) -> Self {
        self.next_owner_with(epoch, earlier_owner_exited, |next| {
            next.send_input(Input::Configure(Arc::new(configuration(64))));
            send_inputs(next);
        })
    }

    fn next_owner_with(
        &self,
        epoch: u64,
        earlier_owner_exited: bool,
        send_inputs: impl FnOnce(&mut Self),
    ) -> Self {
        let scheduler = Scheduler::new(epoch, self.next_tuning, self.now_ms);
        let mut next = Self::without_workers(scheduler);
        next.next_tuning = self.next_tuning;
        next.now_ms = self.now_ms;
        next.workers = self.workers.clone();
        next.unresponsive = self.unresponsive.clone();
        next.places = self.places.clone();
        next.crashing = self.crashing.clone();
        next.crash_after_ms = self.crash_after_ms;
        next.down_ms = self.down_ms;
        next.keeps_names = self.keeps_names;
        next.late_start_ms = self.late_start_ms;
        next.late_starts = self.late_starts.clone();
        next.crashed = self.crashed.clone();
        next.scheduled_changes = self.scheduled_changes.clone();
        next.stored = self.stored.clone();
        next.closed = self.closed.clone();
        next.deleted_jobs = self.deleted_jobs.clone();
        send_inputs(&mut next);
        next.send_input(Input::EpochConfirmed(self.now_ms));
        next.send_input(Input::StoredStateRead {
            earlier_owner_exited,
        });
        next
    }

    fn without_workers(scheduler: Scheduler) -> Self {
        Self {
            scheduler,
            now_ms: BEGIN_MS,
            workers: HashMap::new(),
            unresponsive: Vec::new(),
            stops_take_effect: true,
            store_answers: true,
            defers_progress: false,
            pending: BTreeMap::new(),
            stored: HashMap::new(),
            deleted_jobs: HashSet::new(),
            reports_jobs_read: true,
            reports_entries_read: true,
            acknowledged: Vec::new(),
            closed: HashMap::new(),
            actions: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            highest_acknowledged: HashMap::new(),
            refusal: None,
            next_tuning: Tuning::default(),
            loses_starts: false,
            without_connection: Vec::new(),
            usage: HashMap::new(),
            throttles: Vec::new(),
            places: HashMap::new(),
            machines: BTreeMap::new(),
            upkeeps: Vec::new(),
            upkeep_answers: true,
            crashing: HashSet::new(),
            crash_after_ms: 10,
            down_ms: 3_100,
            keeps_names: false,
            late_start_ms: None,
            late_starts: Vec::new(),
            overlaps: Vec::new(),
            crashed: Vec::new(),
            scheduled_changes: Vec::new(),
            polls: Vec::new(),
        }
    }

    /// Registers a worker.
    pub fn add_worker(&mut self, name: &str, rack: &str) {
        let now_ms = self.now_ms;
        let worker = self.workers.entry(name.to_owned());
        worker.or_insert_with(|| FakeWorker::started_at(now_ms));
        self.send_input(Input::WorkerRegistered(self.placed_info(name, rack)));
    }

    /// Registers a worker in a data centre.
    pub fn add_worker_in(&mut self, name: &str, rack: &str, data_centre: &str) {
        let place = (rack.to_owned(), data_centre.to_owned());
        self.places.insert(name.to_owned(), place);
        self.add_worker(name, rack);
    }

    /// Returns the entry of a worker, on `rack` unless `places` names another.
    fn placed_info(&self, name: &str, rack: &str) -> WorkerInfo {
        let incarnation_start_ms = self
            .workers
            .get(name)
            .map(|worker| worker.incarnation_start_ms);
        let (rack, data_centre) = match self.places.get(name) {
            Some((rack, data_centre)) => (&**rack, Some(data_centre)),
            None => (rack, None),
        };
        let info = worker_info(name, rack);
        WorkerInfo {
            incarnation_start_ms,
            data_centre: data_centre.cloned().unwrap_or(info.data_centre),
            ..info
        }
    }

    /// Crashes a worker and brings it back at once under its name; its new entry is not
    /// written yet.
    pub fn restart_without_entry(&mut self, name: &str) {
        assert!(self.exit(name), "a known worker");
        let worker = FakeWorker::started_at(self.now_ms);
        self.workers.insert(name.to_owned(), worker);
    }

    /// As [`Fleet::restart_without_entry`], and writes the new entry.
    pub fn restart(&mut self, name: &str) {
        self.restart_without_entry(name);
        self.add_worker(name, "r1");
    }

    /// Puts each worker on a machine of its own, `m-NAME`.
    pub fn give_machines(&mut self) {
        for worker in self.workers.keys() {
            let machine = FakeMachine {
                worker: worker.clone(),
                up_at_ms: 0,
                had_upkeep: false,
            };
            self.machines.insert(format!("m-{worker}"), machine);
        }
    }

    /// Returns the number of machines that are down for their upkeep.
    pub fn down_machines(&self) -> usize {
        let machines = self.machines.values();
        machines
            .filter(|machine| machine.up_at_ms > self.now_ms)
            .count()
    }

    fn begin_upkeep(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.had_upkeep {
            return;
        }
        machine.had_upkeep = true;
        machine.up_at_ms = self.now_ms + UPKEEP_MS;
        let removed_worker = std::mem::take(&mut machine.worker);
        self.workers.remove(&removed_worker);
        self.upkeeps.push((name.to_owned(), self.now_ms));
        self.send_input(Input::WorkerUnlisted(removed_worker));
    }

    /// Adds a new worker for each machine whose upkeep is over.
    fn return_machines(&mut self) {
        let now_ms = self.now_ms;
        let mut returned = Vec::new();
        for (name, machine) in &mut self.machines {
            if machine.worker.is_empty() && now_ms >= machine.up_at_ms {
                machine.worker = format!("{name}-new");
                returned.push(machine.worker.clone());
            }
        }
        for worker in returned {
            self.add_worker(&worker, "r1");
        }
    }

    /// Crashes a worker. Its next incarnation joins at its address after `down_ms`. Gangs
    /// with a member there end on all workers.
    pub fn crash(&mut self, name: &str) {
        if !self.exit(name) {
            return;
        }
        let now_ms = self.now_ms;
        let back_ms = now_ms + self.down_ms;
        self.scheduled_changes
            .push((back_ms, name.to_owned(), WorkerChange::Return));
        let expiry_ms = now_ms + ENTRY_EXPIRY_MS;
        self.scheduled_changes
            .push((expiry_ms, name.to_owned(), WorkerChange::Unlist));
    }

    /// Ends an incarnation of a worker with all its runs; returns whether there was one.
    fn exit(&mut self, name: &str) -> bool {
        let Some(worker) = self.workers.remove(name) else {
            return false;
        };
        for &run in worker.running.keys() {
            self.crashed.push((run, name.to_owned(), self.now_ms));
            self.end_gang_members(run);
        }
        self.scheduled_changes
            .retain(|(_, other, change)| other != name || *change != WorkerChange::Crash);
        self.highest_acknowledged.remove(name);
        true
    }

    /// Ends the other members of the gang of the run `lost`, if it belongs to a gang.
    fn end_gang_members(&mut self, lost: RunName) {
        let key = GroupKey::of(lost.task);
        let mut groups = self.scheduler.groups();
        if !groups.any(|group| group.key == key && group.step.gang) {
            return;
        }
        for worker in self.workers.values_mut() {
            let names: Vec<RunName> = worker.running.keys().copied().collect();
            let members = names
                .into_iter()
                .filter(|name| GroupKey::of(name.task) == key && name.run == lost.run);
            members.for_each(|name| worker.end(name, EndKind::GangEnded));
        }
    }

    /// Applies the scheduled changes of workers that are due.
    fn apply_due_changes(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.scheduled_changes)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.scheduled_changes = later;
        for (_, name, change) in due {
            match change {
                WorkerChange::Crash => self.crash(&name),
                WorkerChange::Unlist if self.workers.contains_key(&name) => {}
                WorkerChange::Unlist => self.send_input(Input::WorkerUnlisted(name)),
                WorkerChange::Return if self.keeps_names => self.add_worker(&name, "r1"),
                WorkerChange::Return => {
                    let (base, number) = name
                        .split_once(INCARNATION_SEPARATOR)
                        .unwrap_or((&name, "1"));
                    let number = number.parse::<u32>().expect("an incarnation number") + 1;
                    self.add_worker(&format!("{base}{INCARNATION_SEPARATOR}{number}"), "r1");
                }
            }
        }
    }

    /// Carries out the late starts that are due, on the incarnation that now has the
    /// worker's name.
    fn carry_out_late_starts(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late_starts)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.late_starts = later;
        for (_, worker, name, lease_end_ms) in due {
            let current_worker = self.workers.get_mut(&worker);
            let in_time = current_worker.filter(|fake| lease_end_ms >= fake.clock_ms(now_ms));
            if let Some(fake) = in_time {
                fake.extend_lease(lease_end_ms, now_ms);
                self.start(&worker, name);
            }
        }
    }

    /// Whether another incarnation of a worker is at its address.
    fn is_replaced(&self, name: &str) -> bool {
        let address = address_of(name);
        let mut living = self.workers.keys();
        !self.workers.contains_key(name) && living.any(|other| address_of(other) == address)
    }

    /// Passes an input to the scheduler; no action is carried out yet.
    pub fn send_input(&mut self, input: Input) {
        self.scheduler.handle(input, self.now_ms);
    }

    /// Accepts a job.
    pub fn submit(&mut self, id: u64, record: JobRecord) -> JobId {
        let id = JobId(id);
        self.send_input(Input::JobStored {
            id,
            record: Arc::new(record),
            progress: None,
        });
        id
    }

    /// Advances the clock in steps and executes the scheduler's actions at each step.
    pub fn advance(&mut self, by_ms: u64) {
        const STEP_MS: u64 = 10;
        let until_ms = self.now_ms + by_ms;
        while self.now_ms < until_ms {
            self.now_ms = (self.now_ms + STEP_MS).min(until_ms);
            self.send_input(Input::EpochConfirmed(self.now_ms));
            if self.reports_jobs_read {
                let sent_ms = self.now_ms;
                self.send_input(Input::JobsRead { sent_ms });
            }
            if self.reports_entries_read {
                let sent_ms = self.now_ms;
                self.send_input(Input::EntriesRead { sent_ms });
            }
            self.return_machines();
            self.apply_due_changes();
            self.carry_out_late_starts();
            self.settle();
        }
    }

    /// Executes actions until no more follow at the present time.
    pub fn settle(&mut self) {
        for _ in 0..50 {
            let actions = self.scheduler.decide(self.now_ms);
            let idle = actions.is_empty();
            for action in actions {
                self.actions.push(action.clone());
                self.execute(action);
            }
            if idle && !self.answer_polls() {
                return;
            }
        }
    }

    /// Returns all runs with the names of their workers, sorted.
    pub fn running(&self) -> Vec<(String, RunName)> {
        let mut running: Vec<(String, RunName)> = self
            .workers
            .iter()
            .flat_map(|(worker, fake)| fake.running.keys().map(|name| (worker.clone(), *name)))
            .collect();
        running.sort();
        running
    }

    /// Ends a run on a worker.
    pub fn end_run(&mut self, worker: &str, name: RunName, kind: EndKind) {
        let fake = self.workers.get_mut(worker).expect("a known worker");
        fake.end(name, kind);
    }

    /// Ends all runs of a job.
    pub fn end_all(&mut self, job: JobId, kind: EndKind) {
        for fake in self.workers.values_mut() {
            let names: Vec<RunName> = fake.running.keys().copied().collect();
            for name in names.into_iter().filter(|name| name.task.job == job) {
                fake.end(name, kind);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Poll {
                callee,
                last_seen,
                lease_end_ms,
                ..
            } => {
                let name = callee.worker_name.to_string();
                if *callee.address != *address_of(&name) || self.is_replaced(&name) {
                    // Another incarnation is at that address.
                    self.send_input(Input::PollFailed {
                        worker: callee.worker,
                        outcome: CallOutcome::OtherIncarnation,
                    });
                    return;
                }
                self.record_acknowledged(&name, last_seen);
                let seen = self.highest_acknowledged.entry(name.clone()).or_default();
                *seen = last_seen.max(*seen);
                let now_ms = self.now_ms;
                if let Some(fake) = self.workers.get_mut(&name) {
                    fake.extend_lease(lease_end_ms.unwrap_or(0), now_ms);
                }
                self.polls.push(PendingPoll {
                    worker: callee.worker,
                    incarnation_start_ms: self
                        .workers
                        .get(&name)
                        .map(|fake| fake.incarnation_start_ms),
                    name,
                    sent_ms: now_ms,
                    last_seen,
                });
            }
            Action::Start {
                callee,
                name,
                lease_end_ms,
                ..
            } => {
                let worker = callee.worker_name.to_string();
                let now_ms = self.now_ms;
                self.starts.push((name, worker.clone(), now_ms));
                let is_current =
                    *callee.address == *address_of(&worker) && !self.is_replaced(&worker);
                let outcome = match (is_current, self.late_start_ms) {
                    (true, Some(late_ms)) => {
                        let at_ms = now_ms + late_ms;
                        let late = (at_ms, worker.clone(), name, lease_end_ms);
                        self.late_starts.push(late);
                        CallOutcome::NoAnswer
                    }
                    (true, None) => {
                        if let Some(fake) = self.workers.get_mut(&worker) {
                            fake.extend_lease(lease_end_ms, now_ms);
                        }
                        self.start(&worker, name)
                    }
                    (false, _) => CallOutcome::OtherIncarnation,
                };
                self.send_input(Input::StartResult {
                    worker: callee.worker,
                    name,
                    outcome,
                });
            }
            Action::Stop { callee, name } => {
                let worker = callee.worker_name.to_string();
                self.stops.push((name, worker.clone()));
                let is_current =
                    *callee.address == *address_of(&worker) && !self.is_replaced(&worker);
                let gone = !self.workers.contains_key(&worker);
                let unresponsive = self.unresponsive.contains(&worker) || gone || !is_current;
                if let Some(fake) = self
                    .workers
                    .get_mut(&worker)
                    .filter(|_| !unresponsive && self.stops_take_effect)
                {
                    fake.end(name, EndKind::Stopped);
                    fake.refused_runs.insert(name.task, name.run);
                }
                let outcome = match (is_current, unresponsive) {
                    (false, _) => CallOutcome::OtherIncarnation,
                    (true, true) => CallOutcome::NoAnswer,
                    (true, false) => CallOutcome::Done,
                };
                self.send_input(Input::StopResult {
                    worker: callee.worker,
                    name,
                    outcome,
                });
            }
            Action::StoreProgress { job } if self.defers_progress => {
                if let Some(progress) = self.scheduler.progress(job) {
                    self.pending.insert(job, progress);
                }
            }
            Action::StoreProgress { job } if self.store_answers => {
                if let Some((change, progress)) = self.scheduler.progress(job) {
                    self.stored.insert(job, (change, progress));
                    self.send_input(Input::ProgressStored { job, change });
                }
            }
            Action::StoreClosedWorker { worker } if self.store_answers => {
                let row = self.scheduler.closed_record(worker);
                let info = &self.scheduler.workers()[worker.index()].info;
                let worker_name = info.worker_name.clone();
                let closed = row.as_ref().is_some_and(|(closed, _)| *closed);
                let runs = row.and_then(|(closed, runs)| closed.then_some(runs));
                self.closed.insert(worker_name.clone(), runs);
                self.send_input(Input::ClosedWorkerStored {
                    worker_name,
                    closed,
                });
            }
            Action::Throttle {
                callee,
                name,
                percent,
            } => {
                self.throttles.push((name, percent));
                self.send_input(Input::ThrottleResult {
                    worker: callee.worker,
                    name,
                    outcome: CallOutcome::Done,
                });
            }
            Action::ListMachines => {
                let rows = self.machines.iter().map(|(name, machine)| MachineInfo {
                    machine: name.clone(),
                    state: match machine.worker.is_empty() {
                        true => MachineState::Upkeep,
                        false => MachineState::Up,
                    },
                    worker_name: Some(machine.worker.clone()).filter(|name| !name.is_empty()),
                });
                let machines = Some(rows.collect());
                self.send_input(Input::MachineList {
                    sent_ms: self.now_ms,
                    machines,
                });
            }
            Action::BeginUpkeep { wave, machine } => {
                self.begin_upkeep(&machine);
                let outcome = match self.upkeep_answers {
                    true => UpkeepOutcome::Begun,
                    false => UpkeepOutcome::NoAnswer,
                };
                self.send_input(Input::UpkeepResult {
                    wave,
                    machine,
                    outcome,
                });
            }
            Action::DeleteJob { job } if self.store_answers => {
                self.stored.remove(&job);
                self.deleted_jobs.insert(job);
                self.send_input(Input::JobDeleted(job));
            }
            Action::StoreRoster if self.store_answers => {
                let names = self.scheduler.roster().into_iter().map(|(name, _)| name);
                self.send_input(Input::RosterStored(names.collect()));
            }
            _ => {}
        }
    }

    /// Commits the pending write of a job's progress. If `answered` is false, the store's
    /// answer is lost, and the scheduler does not learn of the commit.
    pub fn commit(&mut self, job: JobId, answered: bool) {
        let Some((change, progress)) = self.pending.get(&job).cloned() else {
            return;
        };
        self.stored.insert(job, (change, progress));
        if answered {
            self.pending.remove(&job);
            self.send_input(Input::ProgressStored { job, change });
        }
    }

    /// Records the ends that a poll with `last_seen` acknowledges for the first time.
    fn record_acknowledged(&mut self, worker: &str, last_seen: u64) {
        let before = self.highest_acknowledged.get(worker).copied().unwrap_or(0);
        let Some(fake) = self.workers.get(worker) else {
            return;
        };
        for row in &fake.ended {
            if row.number <= before || row.number > last_seen {
                continue;
            }
            let stored = self.stored.get(&row.name.task.job);
            self.acknowledged.push(AcknowledgedEnd {
                worker: worker.to_owned(),
                row: row.clone(),
                stored: stored.map(|(_, progress)| progress.clone()),
            });
        }
    }

    fn start(&mut self, worker: &str, name: RunName) -> CallOutcome {
        if self.without_connection.iter().any(|name| name == worker) {
            return CallOutcome::NotSent;
        }
        if self.loses_starts || self.unresponsive.iter().any(|name| name == worker) {
            return CallOutcome::NoAnswer;
        }
        if let Some(refusal) = self.refusal {
            return CallOutcome::Refused(refusal);
        }
        let Some(fake) = self.workers.get_mut(worker) else {
            return CallOutcome::NoAnswer;
        };
        let refused = fake.refused_runs.get(&name.task);
        if refused.is_some_and(|&run| name.run <= run) {
            return CallOutcome::Refused(StartRefusal::OldRun);
        }
        fake.running.insert(name, 0);
        let mut running = self.workers.values().flat_map(|fake| fake.running.keys());
        if running.any(|other| other.task == name.task && other.run != name.run) {
            self.overlaps.push(name);
        }
        if self.crashing.contains(&name.task) {
            let at_ms = self.now_ms + self.crash_after_ms;
            self.scheduled_changes
                .push((at_ms, worker.to_owned(), WorkerChange::Crash));
        }
        CallOutcome::Done
    }

    fn answer_polls(&mut self) -> bool {
        let polls = std::mem::take(&mut self.polls);
        let mut answered = false;
        for poll in polls {
            let PendingPoll {
                worker,
                ref name,
                incarnation_start_ms,
                sent_ms,
                last_seen,
            } = poll;
            // A poll ends with the incarnation that it reached.
            let current_start_ms = self.workers.get(name).map(|fake| fake.incarnation_start_ms);
            let unresponsive = self.unresponsive.contains(name)
                || current_start_ms.is_none()
                || current_start_ms != incarnation_start_ms;
            if unresponsive {
                self.send_input(Input::PollFailed {
                    worker,
                    outcome: CallOutcome::NoAnswer,
                });
                answered = true;
                continue;
            }
            let fake = self.workers.get_mut(name).expect("a known worker");
            fake.ended.retain(|row| row.number > last_seen);
            // A poll is answered at once if there is an end to report, and after a wait
            // otherwise.
            const POLL_WAIT_MS: u64 = 100;
            if fake.ended.is_empty() && self.now_ms < sent_ms + POLL_WAIT_MS {
                self.polls.push(poll);
                continue;
            }
            let report = PollReport {
                clock_ms: fake.clock_ms(self.now_ms),
                incarnation_start_ms: Some(fake.incarnation_start_ms),
                running: fake
                    .running
                    .iter()
                    .map(|(&name, &percent)| RunningRow {
                        name,
                        checkpoint: "".into(),
                        percent,
                        usage: self.usage.get(&name).copied(),
                    })
                    .collect(),
                ended: fake.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            };
            answered = true;
            self.send_input(Input::PollAnswered {
                worker,
                sent_ms,
                report,
            });
        }
        answered
    }
}
