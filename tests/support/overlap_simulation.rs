//! Simulates owners of successive epochs that act at the same time on the same workers.
//!
//! Each link between an owner and a worker, the store or another owner fails on its own. What
//! happened is judged by what the workers recorded.

use crate::fleet::{
    BEGIN_MS,
    address_of,
    configuration,
    gang,
    record,
    step,
    worker_info, //
};
use crate::overlap_record::RunRecord;
use fuchsiaslip::core::{
    JobId,
    WorkerKey, //
};
use fuchsiaslip::scheduler::{
    Action,
    CallOutcome,
    Callee,
    ClosedRuns,
    EndKind,
    EndedRow,
    GroupKey,
    Input,
    JobRecord,
    JobStatus,
    PollReport,
    ProgressRecord,
    Resources,
    RunName,
    RunningRow,
    Scheduler,
    StartRefusal,
    StepSpec,
    TaskId,
    Tuning, //
};
use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};
use std::sync::Arc;

/// Most owners in a case.
const OWNERS: usize = 8;
pub const WORKERS: usize = 3;
const STEP_MS: u64 = 10;
const CALL_TIMEOUT_MS: u64 = 500;
const CONFIRM_INTERVAL_MS: u64 = 600;
const CONFIRM_RETRY_MS: u64 = 200;
/// Time after which an owner has heard of a later one that it can reach.
const HEARTBEAT_MS: u64 = 250;
/// Time for which members of a gang wait for the others.
const GANG_TIMEOUT_MS: u64 = 3_000;
const WARM_UP_MS: u64 = 1_000;
/// Time after the repair in which all jobs end: the recovery of a new owner, and all work one
/// after the other.
const COMPLETION_MS: u64 = 240_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    Up,
    Down,
    /// Calls are carried out, and their answers are lost.
    AnswersLost,
}

/// Owners are counted back from the next one: 0 is the next owner, 1 the newest one.
#[derive(Clone, Debug)]
pub enum Event {
    Submit(u8),
    SetLink(usize, usize, Link),
    SetStoreLink(usize, Link),
    TogglePeers(usize, usize),
    /// Cuts the owners and workers whose bits are set off from the others and from the store.
    /// All owners before the newest count as one, and so do all after the next one.
    Split(u8, u8),
    Repair,
    TakeOver,
}

/// What is drawn for a case. The lists of runs and lost calls repeat from their beginning.
#[derive(Clone, Debug)]
pub struct Plan {
    pub has_short_leases: bool,
    /// First reading of each worker's clock, and by how many thousandths it is slow.
    pub clocks: Vec<(u64, u64)>,
    /// Time after which an owner is replaced that does not reach the store.
    pub takeover_ms: u64,
    /// Run time of each run, and whether it fails.
    pub runs: Vec<(u64, bool)>,
    /// How much later each lost call is carried out, if it is.
    pub lost_calls: Vec<Option<u64>>,
    /// Events, each with the time until the next one.
    pub events: Vec<(Event, u64)>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Write {
    Progress(JobId),
    Roster,
    ClosedWorker(WorkerKey),
}

struct Owner {
    scheduler: Scheduler,
    acting: bool,
    confirm_at_ms: u64,
    writes: BTreeSet<Write>,
    /// Number of jobs that it has read.
    known_jobs: usize,
}

struct Running {
    record: usize,
    started_ms: u64,
    /// When it, or its whole gang, began to work.
    work_began_ms: Option<u64>,
    stopped_at_ms: Option<u64>,
    run_ms: u64,
    fails: bool,
}

#[derive(Default)]
struct Worker {
    first_clock_ms: u64,
    slow_permille: u64,
    fence: u64,
    running: BTreeMap<RunName, Running>,
    /// Ends that are not acknowledged, each with the index of the record of its run.
    ended: Vec<(EndedRow, usize)>,
    last_end: u64,
    refused_runs: BTreeMap<TaskId, u64>,
    lease_end_ms: u64,
    has_lease: bool,
}

impl Worker {
    fn clock_ms(&self, now_ms: u64) -> u64 {
        let passed_ms = now_ms + WARM_UP_MS - BEGIN_MS;
        self.first_clock_ms + passed_ms * (1_000 - self.slow_permille) / 1_000
    }

    fn extend_lease(&mut self, end_ms: u64, now_ms: u64, max_lease_ms: u64) {
        let clock_ms = self.clock_ms(now_ms);
        self.lease_end_ms = self.lease_end_ms.max(end_ms.min(clock_ms + max_lease_ms));
        self.has_lease = clock_ms <= self.lease_end_ms;
    }
}

/// What a call asks a worker to do.
#[derive(Clone, Copy)]
enum Order {
    Poll {
        last_seen: u64,
        lease_end_ms: Option<u64>,
    },
    Start(RunName, u64),
    Stop(RunName),
}

struct PendingPoll {
    owner: usize,
    worker: usize,
    key: WorkerKey,
    sent_ms: u64,
    wait_ms: u64,
    /// It or its answer is lost, even if the link is repaired meanwhile.
    is_lost: bool,
}

pub struct Simulation {
    pub now_ms: u64,
    pub jobs: Vec<(JobId, JobRecord)>,
    pub record: Vec<RunRecord>,
    plan: Plan,
    tuning: Tuning,
    owners: Vec<Owner>,
    workers: Vec<Worker>,
    links: [[Link; WORKERS]; OWNERS],
    store_links: [Link; OWNERS],
    peers: [[bool; OWNERS]; OWNERS],
    polls: Vec<PendingPoll>,
    /// Inputs on their way to owners, with their time.
    replies: Vec<(u64, usize, Input)>,
    /// When the newest owner last reached the store.
    store_seen_ms: u64,
    /// Calls that are carried out late: the time, the epoch, the worker and the order.
    late_calls: Vec<(u64, u64, usize, Order)>,
    lost_calls: usize,
    progress: HashMap<JobId, ProgressRecord>,
    roster: BTreeSet<String>,
    closed: HashMap<String, ClosedRuns>,
}

impl Simulation {
    /// Starts with a first owner that reaches everything.
    pub fn begin(plan: &Plan) -> Self {
        let lease_ms = 6_000;
        let default_tuning = Tuning {
            retention_ms: u64::MAX,
            ..Tuning::default()
        };
        let tuning = match plan.has_short_leases {
            true => Tuning {
                lease_ms,
                max_lease_ms: lease_ms,
                ..default_tuning
            },
            false => default_tuning,
        };
        let workers = plan
            .clocks
            .iter()
            .map(|&(first_clock_ms, slow_permille)| Worker {
                first_clock_ms,
                slow_permille,
                ..Worker::default()
            });
        let mut simulation = Self {
            now_ms: BEGIN_MS - WARM_UP_MS,
            jobs: Vec::new(),
            record: Vec::new(),
            tuning,
            owners: Vec::new(),
            workers: workers.collect(),
            links: [[Link::Up; WORKERS]; OWNERS],
            store_links: [Link::Up; OWNERS],
            peers: [[true; OWNERS]; OWNERS],
            polls: Vec::new(),
            replies: Vec::new(),
            store_seen_ms: 0,
            late_calls: Vec::new(),
            lost_calls: 0,
            progress: HashMap::new(),
            roster: BTreeSet::new(),
            closed: HashMap::new(),
            plan: plan.clone(),
        };
        simulation.take_over();
        simulation.advance(WARM_UP_MS);
        simulation
    }

    /// Carries out the drawn events, repairs everything and asserts that all jobs end.
    pub fn run(&mut self) {
        for (event, wait_ms) in self.plan.events.clone() {
            self.apply(&event);
            self.advance(wait_ms);
        }
        self.apply(&Event::Repair);
        let until_ms = self.now_ms + COMPLETION_MS;
        while !self.all_ended() {
            assert!(
                self.now_ms < until_ms,
                "jobs have not ended: {:?}",
                self.statuses()
            );
            self.advance(1_000);
        }
    }

    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Submit(kind) => self.submit(kind),
            Event::SetLink(back, worker, link) => {
                if let Some(owner) = self.owner_at(back) {
                    self.links[owner][worker] = link;
                }
            }
            Event::SetStoreLink(back, link) => {
                if let Some(owner) = self.owner_at(back) {
                    self.store_links[owner] = link;
                }
            }
            Event::TogglePeers(one, other) => {
                let (Some(one), Some(other)) = (self.owner_at(one), self.owner_at(other)) else {
                    return;
                };
                let is_up = !self.peers[one][other];
                (self.peers[one][other], self.peers[other][one]) = (is_up, is_up);
            }
            Event::Split(owners, workers) => self.split(owners, workers),
            Event::Repair => self.split(0, 0),
            Event::TakeOver => self.take_over(),
        }
    }

    pub fn advance(&mut self, by_ms: u64) {
        let until_ms = self.now_ms + by_ms;
        while self.now_ms < until_ms {
            self.replace_silent_owner();
            self.now_ms += STEP_MS;
            self.advance_workers();
            self.carry_out_late_calls();
            self.answer_polls();
            self.deliver_replies();
            for owner in 0..self.owners.len() {
                self.advance_owner(owner);
            }
        }
    }

    /// Returns the worker on which a run of the job is.
    pub fn worker_of(&self, job: JobId) -> usize {
        let has_run = |worker: &Worker| worker.running.keys().any(|name| name.task.job == job);
        let found = self.workers.iter().position(has_run);
        found.expect("a run of the job")
    }

    /// Returns the owner that is so many before the next one.
    fn owner_at(&self, back: usize) -> Option<usize> {
        let at = self.owners.len().checked_sub(back);
        at.filter(|&at| at < OWNERS)
    }

    fn split(&mut self, owners: u8, workers: u8) {
        let link = |one: bool, other: bool| if one == other { Link::Up } else { Link::Down };
        let is_cut = |set: u8, at: usize| set >> at & 1 == 1;
        let next = self.owners.len();
        let is_owner_cut = |at: usize| is_cut(owners, next.saturating_sub(at).min(2));
        for owner in 0..OWNERS {
            let side = is_owner_cut(owner);
            self.store_links[owner] = link(side, false);
            for worker in 0..WORKERS {
                self.links[owner][worker] = link(side, is_cut(workers, worker));
            }
            for other in 0..OWNERS {
                self.peers[owner][other] = side == is_owner_cut(other);
            }
        }
    }

    fn submit(&mut self, kind: u8) {
        let second = StepSpec {
            after: vec![0],
            ..step(2, 2)
        };
        let steps = match kind % 4 {
            0 => vec![step(1, 2)],
            1 => vec![step(3, 2)],
            2 => vec![gang(2, 5)],
            _ => vec![step(2, 2), second],
        };
        let id = JobId(self.jobs.len() as u64 + 1);
        let mut record = record("plain", steps);
        record.received_ms = self.now_ms;
        self.jobs.push((id, record));
    }

    /// Lets the next owner take over from one that reaches the store no more.
    fn replace_silent_owner(&mut self) {
        let newest = self.owners.len() - 1;
        if self.owners[newest].acting && self.store_links[newest] == Link::Up {
            self.store_seen_ms = self.now_ms;
        } else if self.now_ms >= self.store_seen_ms + self.plan.takeover_ms {
            self.take_over();
        }
    }

    fn take_over(&mut self) {
        let at = self.owners.len();
        if at == OWNERS || self.store_links[at] != Link::Up {
            return;
        }
        let now_ms = self.now_ms;
        let mut scheduler = Scheduler::new(at as u64 + 1, self.tuning, now_ms);
        let mut inputs = vec![Input::Configure(Arc::new(configuration(64)))];
        inputs.extend(self.roster.iter().map(|name| Input::RosterWorker {
            worker_name: name.clone(),
            address: address_of(name),
            closed_runs: self.closed.get(name).cloned(),
        }));
        let infos = (0..WORKERS).map(|worker| worker_info(&worker_name(worker), "r1"));
        inputs.extend(infos.map(Input::WorkerRegistered));
        inputs.extend(self.jobs.iter().map(|(id, record)| Input::JobStored {
            id: *id,
            record: Arc::new(record.clone()),
            progress: self.progress.get(id).cloned(),
        }));
        inputs.push(Input::EpochConfirmed(now_ms));
        inputs.push(Input::StoredStateRead {
            earlier_owner_exited: !self.owners.iter().any(|owner| owner.acting),
        });
        for input in inputs {
            scheduler.handle(input, now_ms);
        }
        self.owners.push(Owner {
            scheduler,
            acting: true,
            confirm_at_ms: now_ms + CONFIRM_INTERVAL_MS,
            writes: BTreeSet::new(),
            known_jobs: self.jobs.len(),
        });
    }

    /// Whether the store names this owner.
    fn is_root(&self, owner: usize) -> bool {
        owner + 1 == self.owners.len()
    }

    fn statuses(&self) -> Vec<Option<JobStatus>> {
        let last = self.owners.last().expect("an owner");
        let ids = self.jobs.iter().map(|(id, _)| *id);
        ids.map(|id| last.scheduler.job_status(id)).collect()
    }

    fn all_ended(&self) -> bool {
        self.statuses()
            .iter()
            .all(|status| matches!(status, Some(JobStatus::Completed | JobStatus::Failed)))
    }

    fn reply(&mut self, owner: usize, input: Input) {
        self.replies.push((self.now_ms + STEP_MS, owner, input));
    }

    fn deliver_replies(&mut self) {
        let now_ms = self.now_ms;
        let replies = std::mem::take(&mut self.replies);
        let (due, later): (Vec<_>, _) = replies.into_iter().partition(|(at, ..)| *at <= now_ms);
        self.replies = later;
        for (_, owner, input) in due {
            let owner = &mut self.owners[owner];
            if owner.acting {
                owner.scheduler.handle(input, now_ms);
            }
        }
    }

    fn advance_owner(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let hears = (at + 1..self.owners.len()).any(|later| self.peers[at][later]);
        if hears && now_ms.is_multiple_of(HEARTBEAT_MS) {
            self.owners[at].acting = false;
        }
        if now_ms >= self.owners[at].confirm_at_ms {
            self.confirm(at);
        }
        self.write(at);
        if !self.owners[at].acting {
            return;
        }
        let owner = &mut self.owners[at];
        if self.store_links[at] == Link::Up {
            for (id, record) in &self.jobs[owner.known_jobs..] {
                let input = Input::JobStored {
                    id: *id,
                    record: Arc::new(record.clone()),
                    progress: None,
                };
                owner.scheduler.handle(input, now_ms);
            }
            owner.known_jobs = self.jobs.len();
            let sent_ms = now_ms;
            owner.scheduler.handle(Input::JobsRead { sent_ms }, now_ms);
        }
        for action in owner.scheduler.decide(now_ms) {
            self.execute(at, action);
        }
    }

    /// Asks the store whether it still names this owner.
    fn confirm(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let is_root = self.is_root(at);
        let owner = &mut self.owners[at];
        if self.store_links[at] != Link::Up {
            owner.confirm_at_ms = now_ms + CONFIRM_RETRY_MS;
            return;
        }
        owner.confirm_at_ms = now_ms + CONFIRM_INTERVAL_MS;
        owner.acting &= is_root;
        if is_root {
            self.reply(at, Input::EpochConfirmed(now_ms));
        }
    }

    /// Commits what this owner has to store.
    fn write(&mut self, at: usize) {
        let link = self.store_links[at];
        if !self.owners[at].acting || self.owners[at].writes.is_empty() || link == Link::Down {
            return;
        }
        if !self.is_root(at) {
            self.owners[at].acting = link != Link::Up;
            return;
        }
        let writes = self.owners[at].writes.clone();
        let inputs: Vec<Input> = writes
            .into_iter()
            .filter_map(|write| self.commit(at, write))
            .collect();
        if link == Link::Up {
            self.owners[at].writes.clear();
            for input in inputs {
                self.reply(at, input);
            }
            self.reply(at, Input::EpochConfirmed(self.now_ms));
        }
    }

    fn commit(&mut self, at: usize, write: Write) -> Option<Input> {
        let scheduler = &self.owners[at].scheduler;
        match write {
            Write::Progress(job) => {
                let (change, progress) = scheduler.progress(job)?;
                self.progress.insert(job, progress);
                Some(Input::ProgressStored { job, change })
            }
            Write::Roster => {
                let names = scheduler.roster().into_iter().map(|(name, _)| name);
                self.roster = names.collect();
                Some(Input::RosterStored(self.roster.iter().cloned().collect()))
            }
            Write::ClosedWorker(key) => {
                let (closed, runs) = scheduler.closed_record(key)?;
                let worker_name = scheduler.workers()[key.index()].info.worker_name.clone();
                match closed {
                    true => drop(self.closed.insert(worker_name.clone(), runs)),
                    false => drop(self.closed.remove(&worker_name)),
                }
                Some(Input::ClosedWorkerStored {
                    worker_name,
                    closed,
                })
            }
        }
    }

    fn execute(&mut self, at: usize, action: Action) {
        if !self.owners[at].acting {
            return;
        }
        match action {
            Action::Poll {
                callee,
                last_seen,
                lease_end_ms,
                wait_ms,
            } => {
                let order = Order::Poll {
                    last_seen,
                    lease_end_ms,
                };
                self.poll(at, &callee, order, wait_ms);
            }
            Action::Start {
                callee,
                name,
                lease_end_ms,
                ..
            } => {
                let worker = callee.worker;
                self.call(at, &callee, Order::Start(name, lease_end_ms), |outcome| {
                    Input::StartResult {
                        worker,
                        name,
                        outcome,
                    }
                });
            }
            Action::Stop { callee, name } => {
                let worker = callee.worker;
                self.call(at, &callee, Order::Stop(name), |outcome| {
                    Input::StopResult {
                        worker,
                        name,
                        outcome,
                    }
                });
            }
            Action::StoreProgress { job } => self.queue(at, Write::Progress(job)),
            Action::StoreRoster => self.queue(at, Write::Roster),
            Action::StoreClosedWorker { worker } => {
                self.queue(at, Write::ClosedWorker(worker));
            }
            Action::ConfirmEpoch => self.confirm(at),
            Action::OwnershipLost => self.owners[at].acting = false,
            _ => {}
        }
    }

    fn queue(&mut self, at: usize, write: Write) {
        self.owners[at].writes.insert(write);
    }

    /// Sends an order; returns its outcome, or `None` if it was lost.
    fn send(&mut self, at: usize, worker: usize, order: Order) -> Option<CallOutcome> {
        let epoch = at as u64 + 1;
        if self.links[at][worker] != Link::Down {
            return Some(self.carry_out(epoch, worker, order));
        }
        let late_ms = self.plan.lost_calls[self.lost_calls % self.plan.lost_calls.len()];
        self.lost_calls += 1;
        if let Some(late_ms) = late_ms {
            let at_ms = self.now_ms + late_ms;
            self.late_calls.push((at_ms, epoch, worker, order));
        }
        None
    }

    fn call(
        &mut self,
        at: usize,
        callee: &Callee,
        order: Order,
        to_input: impl Fn(CallOutcome) -> Input,
    ) {
        let worker = worker_index(callee);
        let outcome = self.send(at, worker, order);
        match outcome.filter(|_| self.links[at][worker] == Link::Up) {
            Some(outcome) => self.reply(at, to_input(outcome)),
            None => {
                let input = to_input(CallOutcome::NoAnswer);
                let until_ms = self.now_ms + CALL_TIMEOUT_MS;
                self.replies.push((until_ms, at, input));
            }
        }
    }

    fn poll(&mut self, at: usize, callee: &Callee, order: Order, wait_ms: u64) {
        let worker = worker_index(callee);
        let outcome = self.send(at, worker, order);
        let is_up = self.links[at][worker] == Link::Up;
        if let Some(outcome @ CallOutcome::Refused(_)) = outcome.filter(|_| is_up) {
            let worker = callee.worker;
            self.reply(at, Input::PollFailed { worker, outcome });
            return;
        }
        self.polls.push(PendingPoll {
            owner: at,
            worker,
            key: callee.worker,
            sent_ms: self.now_ms,
            wait_ms,
            is_lost: !is_up,
        });
    }

    fn answer_polls(&mut self) {
        let now_ms = self.now_ms;
        for mut poll in std::mem::take(&mut self.polls) {
            let waited_ms = now_ms - poll.sent_ms;
            let has_ends = !self.workers[poll.worker].ended.is_empty();
            let is_answered = !poll.is_lost && (has_ends || waited_ms >= poll.wait_ms);
            let worker = poll.key;
            if is_answered && self.links[poll.owner][poll.worker] == Link::Up {
                let report = self.report(poll.worker);
                let input = Input::PollAnswered {
                    worker,
                    sent_ms: poll.sent_ms,
                    report,
                };
                self.reply(poll.owner, input);
                continue;
            }
            poll.is_lost |= is_answered;
            if waited_ms >= CALL_TIMEOUT_MS + poll.wait_ms {
                let outcome = CallOutcome::NoAnswer;
                self.reply(poll.owner, Input::PollFailed { worker, outcome });
            } else {
                self.polls.push(poll);
            }
        }
    }

    fn report(&self, worker: usize) -> PollReport {
        let now_ms = self.now_ms;
        let worker = &self.workers[worker];
        let percent = |run: &Running| {
            let worked_ms = run.work_began_ms.map_or(0, |began_ms| now_ms - began_ms);
            (worked_ms * 100 / run.run_ms).min(99) as u32
        };
        let running = worker.running.iter().map(|(&name, run)| RunningRow {
            name,
            checkpoint: "".into(),
            percent: percent(run),
            usage: None,
        });
        PollReport {
            clock_ms: worker.clock_ms(now_ms),
            incarnation_start_ms: None,
            running: running.collect(),
            ended: worker.ended.iter().map(|(row, _)| row.clone()).collect(),
        }
    }

    fn carry_out_late_calls(&mut self) {
        let now_ms = self.now_ms;
        let calls = std::mem::take(&mut self.late_calls);
        let (due, later): (Vec<_>, _) = calls.into_iter().partition(|(at, ..)| *at <= now_ms);
        self.late_calls = later;
        for (_, epoch, worker, order) in due {
            self.carry_out(epoch, worker, order);
        }
    }

    fn carry_out(&mut self, epoch: u64, at: usize, order: Order) -> CallOutcome {
        let (now_ms, max_lease_ms) = (self.now_ms, self.tuning.max_lease_ms);
        let worker = &mut self.workers[at];
        if epoch < worker.fence {
            return CallOutcome::Refused(StartRefusal::Fenced);
        }
        worker.fence = epoch;
        match order {
            Order::Poll {
                last_seen,
                lease_end_ms,
            } => {
                worker.extend_lease(lease_end_ms.unwrap_or(0), now_ms, max_lease_ms);
                for (_, record) in worker
                    .ended
                    .iter()
                    .filter(|(row, _)| row.number <= last_seen)
                {
                    self.record[*record].acknowledged = true;
                }
                worker.ended.retain(|(row, _)| row.number > last_seen);
                CallOutcome::Done
            }
            Order::Start(name, deadline_ms) => self.start(at, name, deadline_ms),
            Order::Stop(name) => {
                let refused = worker.refused_runs.entry(name.task).or_default();
                *refused = name.run.max(*refused);
                if let Some(run) = worker.running.get_mut(&name) {
                    let stopped_at_ms = now_ms + self.tuning.stop_ms;
                    run.stopped_at_ms.get_or_insert(stopped_at_ms);
                }
                CallOutcome::Done
            }
        }
    }

    fn start(&mut self, at: usize, name: RunName, deadline_ms: u64) -> CallOutcome {
        let (now_ms, max_lease_ms) = (self.now_ms, self.tuning.max_lease_ms);
        let needs_of = |name: &RunName| step_of(&self.jobs, name.task).resources();
        let worker = &mut self.workers[at];
        if worker.clock_ms(now_ms) > deadline_ms {
            return CallOutcome::Refused(StartRefusal::Late);
        }
        worker.extend_lease(deadline_ms, now_ms, max_lease_ms);
        if worker.running.contains_key(&name) {
            return CallOutcome::Done;
        }
        if worker.refused_runs.get(&name.task) >= Some(&name.run) {
            return CallOutcome::Refused(StartRefusal::OldRun);
        }
        let runs = worker.running.keys().chain([&name]);
        let needed = runs.fold(Resources::default(), |sum, name| sum.plus(&needs_of(name)));
        if !worker_info("", "r1").capacity.contains(&needed) {
            return CallOutcome::Refused(StartRefusal::NoCapacity);
        }
        let (run_ms, fails) = self.plan.runs[self.record.len() % self.plan.runs.len()];
        let is_gang = step_of(&self.jobs, name.task).gang;
        let run = Running {
            record: self.record.len(),
            started_ms: now_ms,
            work_began_ms: (!is_gang).then_some(now_ms),
            stopped_at_ms: None,
            run_ms,
            fails,
        };
        worker.running.insert(name, run);
        self.record.push(RunRecord::started(name, at, now_ms));
        CallOutcome::Done
    }

    fn advance_workers(&mut self) {
        let now_ms = self.now_ms;
        for at in 0..WORKERS {
            let worker = &mut self.workers[at];
            if worker.has_lease && worker.clock_ms(now_ms) > worker.lease_end_ms {
                worker.has_lease = false;
                for (_, record) in &worker.ended {
                    self.record[*record].lease_expired_since = true;
                }
                let names: Vec<RunName> = worker.running.keys().copied().collect();
                for name in names {
                    self.end(at, name, EndKind::LeaseExpired);
                }
            }
        }
        self.begin_gangs();
        for at in 0..WORKERS {
            let names: Vec<RunName> = self.workers[at].running.keys().copied().collect();
            for name in names {
                // It may have ended with its gang.
                let run = self.workers[at].running.get(&name);
                if let Some(kind) = run.and_then(|run| due_end(run, now_ms)) {
                    self.end(at, name, kind);
                }
            }
        }
    }

    /// Lets gangs of which all members are present work.
    fn begin_gangs(&mut self) {
        let mut waiting: BTreeMap<(GroupKey, u64), u32> = BTreeMap::new();
        let runs = self.workers.iter().flat_map(|worker| &worker.running);
        for (name, _) in runs.filter(|(_, run)| run.work_began_ms.is_none()) {
            *waiting
                .entry((GroupKey::of(name.task), name.run))
                .or_default() += 1;
        }
        let runs = self
            .workers
            .iter_mut()
            .flat_map(|worker| &mut worker.running);
        for (name, run) in runs {
            let present = waiting.get(&(GroupKey::of(name.task), name.run));
            if present == Some(&step_of(&self.jobs, name.task).count) {
                run.work_began_ms = Some(self.now_ms);
            }
        }
    }

    /// Ends a run, and the other members of its gang.
    fn end(&mut self, at: usize, name: RunName, kind: EndKind) {
        self.end_member(at, name, kind);
        if !step_of(&self.jobs, name.task).gang {
            return;
        }
        let kind = match kind {
            EndKind::Done => EndKind::Done,
            _ => EndKind::GangEnded,
        };
        for at in 0..WORKERS {
            let names: Vec<RunName> = self.workers[at].running.keys().copied().collect();
            let is_member = |other: &RunName| {
                GroupKey::of(other.task) == GroupKey::of(name.task) && other.run == name.run
            };
            for member in names.into_iter().filter(is_member) {
                self.end_member(at, member, kind);
            }
        }
    }

    fn end_member(&mut self, at: usize, name: RunName, kind: EndKind) {
        let worker = &mut self.workers[at];
        let Some(run) = worker.running.remove(&name) else {
            return;
        };
        worker.last_end += 1;
        let row = EndedRow {
            number: worker.last_end,
            name,
            kind,
            checkpoint: "".into(),
        };
        worker.ended.push((row, run.record));
        let refused = worker.refused_runs.entry(name.task).or_default();
        *refused = name.run.max(*refused);
        self.record[run.record].ended = Some((self.now_ms, kind));
    }
}

/// Returns how a run ends now, if it does.
fn due_end(run: &Running, now_ms: u64) -> Option<EndKind> {
    if run.stopped_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
        return Some(EndKind::Stopped);
    }
    match run.work_began_ms {
        Some(began_ms) if now_ms >= began_ms + run.run_ms => Some(match run.fails {
            true => EndKind::Failed,
            false => EndKind::Done,
        }),
        None if now_ms >= run.started_ms + GANG_TIMEOUT_MS => Some(EndKind::GangIncomplete),
        _ => None,
    }
}

fn worker_name(at: usize) -> String {
    format!("w{at}")
}

fn worker_index(callee: &Callee) -> usize {
    let number = callee.worker_name.strip_prefix('w');
    let number = number.and_then(|number| number.parse().ok());
    number.expect("the name is w and a number")
}

/// Returns the step of a task.
pub fn step_of(jobs: &[(JobId, JobRecord)], task: TaskId) -> &StepSpec {
    let job = jobs.iter().find(|(id, _)| *id == task.job);
    &job.expect("a submitted job").1.spec.steps[task.step as usize]
}
