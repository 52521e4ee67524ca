//! Owners, store and workers in virtual time: the pure parts joined by a queue
//! of deliveries, with a fault switch on every wire.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses some of it"
)]

use fuchsiaslip::backend::{
    StoreCall,
    TaskState,
    VmKind,
    VmRecord,
    WorkerAnswer,
    WorkerCall, //
};
use fuchsiaslip::config::{
    Configuration,
    Declaration, //
};
use fuchsiaslip::core::{
    AttemptId,
    Cell,
    JobId,
    JobState,
    Submission,
    WorkerHealth, //
};
use fuchsiaslip::ledger::OutcomeCode;
use fuchsiaslip::owner::{
    Action,
    CallId,
    Ended,
    Event,
    Owner,
    Reply,
    Request,
    Settings,
    WorkerUpdate, //
};
use fuchsiaslip::standin::{
    StoreStandIn,
    TaskSpec,
    WorkerStandIn, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::sync::Arc;

pub const DATA_CENTRE: &str = "zg-dubrava";
const STORE_MS: u64 = 2;
const WORKER_MS: u64 = 1;
const TICK_MS: u64 = 50;
const KEEPER_MS: u64 = 200;
const WORKER_LEASE_MS: u64 = 4_000;
const CALLER_RETRY_MS: u64 = 300;
const LEAVING_GRACE_MS: u64 = 3_000;

/// Something that goes wrong once, when the step is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    OwnerDies,
    OwnerPaused,
    OwnerDrains,
    OwnerCutFromWorkers,
    StoreDown,
    StoreSlow,
    AnswerLost,
    AnswerDuplicated,
    AnswerLate,
    WorkerDies,
    WorkerSilent,
    WorkerFailsStarts,
    FramesLost,
    CallerGone,
    WorkerLeaving,
}

impl Fault {
    pub const ALL: [Fault; 15] = [
        Fault::OwnerDies,
        Fault::OwnerPaused,
        Fault::OwnerDrains,
        Fault::OwnerCutFromWorkers,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::AnswerLost,
        Fault::AnswerDuplicated,
        Fault::AnswerLate,
        Fault::WorkerDies,
        Fault::WorkerSilent,
        Fault::WorkerFailsStarts,
        Fault::FramesLost,
        Fault::CallerGone,
        Fault::WorkerLeaving,
    ];
}

enum Delivery {
    StoreCall(usize, CallId, StoreCall),
    WorkerCall(usize, CallId, String, WorkerCall),
    Event(usize, Event),
}

struct Node {
    owner: Owner,
    alive: bool,
    frozen_until_ms: u64,
    cut_until_ms: u64,
}

/// One caller with one job.
#[derive(Clone, Debug)]
pub struct Caller {
    pub submission: Submission,
    pub submit_at_ms: u64,
    pub cancel_at_ms: Option<u64>,
    pub job: Option<JobId>,
    pub refused: bool,
    pub ended: Option<Ended>,
    pub gone: bool,
    asked: Option<(u64, u64)>,
    cancelled: bool,
}

impl Caller {
    pub fn new(submission: Submission, submit_at_ms: u64) -> Self {
        Self {
            submission,
            submit_at_ms,
            cancel_at_ms: None,
            job: None,
            refused: false,
            ended: None,
            gone: false,
            asked: None,
            cancelled: false,
        }
    }

    pub fn is_settled(&self) -> bool {
        self.refused || self.ended.is_some()
    }
}

/// Finds the caller whose job has reached a step.
pub type Reached = Box<dyn Fn(&World) -> Option<usize>>;

/// The world of one cell of the matrix.
pub struct World {
    pub now_ms: u64,
    pub store: StoreStandIn,
    pub workers: BTreeMap<String, WorkerStandIn>,
    pub callers: Vec<Caller>,
    pub violations: Vec<String>,
    nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), Delivery>,
    next_delivery: u64,
    next_token: u64,
    tokens: HashMap<u64, usize>,
    cursors: HashMap<String, u64>,
    last_seen_ms: HashMap<String, u64>,
    configuration: Arc<Configuration>,
    store_down_until_ms: u64,
    store_slow_until_ms: u64,
    silent_until_ms: BTreeMap<String, u64>,
    failing_until_ms: BTreeMap<String, u64>,
    left_at_ms: BTreeMap<String, u64>,
    duplicate_answers: u32,
    late_answers: u32,
    lost_frames: u32,
    seen_version: u64,
    trigger: Option<(Reached, Vec<Fault>)>,
}

impl World {
    pub fn new(declaration: Declaration, workers: usize, rack_size: usize) -> Self {
        let mut world = Self {
            now_ms: 1_000_000,
            store: StoreStandIn::default(),
            workers: BTreeMap::new(),
            callers: Vec::new(),
            violations: Vec::new(),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            next_delivery: 0,
            next_token: 0,
            tokens: HashMap::new(),
            cursors: HashMap::new(),
            last_seen_ms: HashMap::new(),
            configuration: Arc::new(Configuration {
                version: 1,
                declaration,
                history: Vec::new(),
            }),
            store_down_until_ms: 0,
            store_slow_until_ms: 0,
            silent_until_ms: BTreeMap::new(),
            failing_until_ms: BTreeMap::new(),
            left_at_ms: BTreeMap::new(),
            duplicate_answers: 0,
            late_answers: 0,
            lost_frames: 0,
            seen_version: 0,
            trigger: None,
        };
        for at in 0..workers {
            let name = format!("w{at:03}-{}", at / rack_size);
            world
                .workers
                .insert(name.clone(), WorkerStandIn::new(&name));
        }
        world.add_node();
        world.add_node();
        world
    }

    /// A daemon that has just started.
    pub fn add_node(&mut self) {
        let at = self.nodes.len();
        let mut settings = Settings::new(DATA_CENTRE, &format!("d{at}"), (at as u64 + 1) << 40);
        settings.worker_lease_ms = WORKER_LEASE_MS;
        settings.worker_margin_ms = 500;
        settings.limits.start_timeout_ms = 3_000;
        self.nodes.push(Node {
            owner: Owner::open(settings),
            alive: true,
            frozen_until_ms: 0,
            cut_until_ms: 0,
        });
        let members = self.members();
        let configuration = self.configuration.clone();
        self.event(at, Event::Members(members));
        self.event(at, Event::Configuration(configuration));
        self.event(at, Event::Candidacy(true));
    }

    fn members(&self) -> Vec<VmRecord> {
        let record = |name: &String| VmRecord {
            name: name.clone(),
            kind: VmKind::Worker,
            data_centre: DATA_CENTRE.to_owned(),
            address: name.clone(),
            rack: name.split('-').next_back().unwrap_or_default().to_owned(),
            accelerators: 8,
            leaving: false,
        };
        self.workers.keys().map(record).collect()
    }

    /// Puts the next version of the configuration in force.
    pub fn configure(&mut self, change: impl FnOnce(&mut Declaration)) {
        let mut next = self.configuration.as_ref().clone();
        next.version += 1;
        change(&mut next.declaration);
        self.configuration = Arc::new(next);
    }

    fn deliver(&mut self, delay_ms: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.next_delivery), delivery);
    }

    fn event(&mut self, node: usize, event: Event) {
        if !self.nodes[node].alive {
            return;
        }
        let thaw_ms = self.nodes[node].frozen_until_ms;
        if thaw_ms > self.now_ms {
            // A paused process sees what was sent to it when it goes on; ticks
            // are not queued up.
            if !matches!(event, Event::Tick) {
                self.deliver(thaw_ms - self.now_ms, Delivery::Event(node, event));
            }
            return;
        }
        let actions = self.nodes[node].owner.handle(event, self.now_ms);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Store { call, request } => {
                self.deliver(STORE_MS, Delivery::StoreCall(node, call, request));
            }
            Action::Worker {
                call,
                worker,
                request,
                ..
            } => self.deliver(WORKER_MS, Delivery::WorkerCall(node, call, worker, request)),
            Action::Reply { token, reply } => self.replied(token, reply),
        }
    }

    fn replied(&mut self, token: u64, reply: Reply) {
        let Some(at) = self.tokens.remove(&token) else {
            return;
        };
        let now_ms = self.now_ms;
        let caller = &mut self.callers[at];
        caller.asked = Some((0, now_ms));
        match reply {
            Reply::Accepted(job) => {
                if caller.job.is_some_and(|known| known != job) {
                    self.violations.push(format!("key {at} made two jobs"));
                }
                caller.job = Some(job);
                caller.asked = None;
            }
            // A refusal for a passing reason is tried again with the same key.
            Reply::Refused(refusal) => caller.refused = refusal.retry_after_ms == 0,
            Reply::Ended(ended) => {
                self.check_answer(at, &ended);
                self.callers[at].ended = Some(*ended);
            }
            Reply::NotFound => self.violations.push(format!("accepted job {at} was lost")),
            _ => {}
        }
    }

    fn check_answer(&mut self, at: usize, ended: &Ended) {
        let caller = &self.callers[at];
        let Some(job) = caller.job else {
            return;
        };
        if let Some(answer) = &ended.answer {
            let expected = TaskSpec::answer(job, &caller.submission.payload);
            if answer.inline != expected {
                self.violations
                    .push(format!("caller {at} got another answer"));
            }
        }
    }

    fn run_store_call(&mut self, node: usize, call: CallId, request: StoreCall) {
        self.store.faults.down = self.now_ms < self.store_down_until_ms;
        let result = self.store.handle(request, self.now_ms);
        let mut delay_ms = STORE_MS;
        if self.now_ms < self.store_slow_until_ms {
            delay_ms += 900;
        }
        if self.late_answers > 0 {
            self.late_answers -= 1;
            delay_ms += 2_500;
        }
        let event = Event::Store { call, result };
        if self.duplicate_answers > 0 {
            self.duplicate_answers -= 1;
            self.deliver(delay_ms + 40, Delivery::Event(node, event.clone()));
        }
        self.deliver(delay_ms, Delivery::Event(node, event));
    }

    fn run_worker_call(&mut self, node: usize, call: CallId, name: &str, request: WorkerCall) {
        let cut = self.nodes[node].cut_until_ms > self.now_ms;
        let lost = self.lost_frames > 0;
        let result = match self.workers.get_mut(name) {
            Some(worker) if !cut => {
                let answer = worker.handle(request, self.now_ms);
                // Half of the lost frames are answers, whose calls took effect.
                match lost {
                    true => {
                        self.lost_frames -= 1;
                        Err(fuchsiaslip::backend::WorkerFailure::Silent)
                    }
                    false => answer,
                }
            }
            _ => Err(fuchsiaslip::backend::WorkerFailure::Silent),
        };
        let delay_ms = match result {
            Ok(_) => WORKER_MS,
            Err(_) => 500,
        };
        self.deliver(
            delay_ms,
            Delivery::Event(node, Event::Worker { call, result }),
        );
    }

    /// Index of the node that owns the data centre, as far as it is awake.
    pub fn owner(&self) -> Option<usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.alive && node.frozen_until_ms <= self.now_ms)
            .filter_map(|(at, node)| node.owner.epoch().map(|epoch| (epoch, at)))
            .max()
            .map(|(_, at)| at)
    }

    pub fn cell(&self) -> Option<&Cell> {
        self.nodes[self.owner()?].owner.cell()
    }

    /// Where a caller's job stands at the owner.
    pub fn state_of(&self, caller: usize) -> Option<JobState> {
        let job = self.callers[caller].job?;
        Some(self.cell()?.job(job)?.state)
    }

    /// Lets `faults` happen as soon as `reached` finds a caller.
    pub fn when(&mut self, reached: Reached, faults: &[Fault]) {
        self.trigger = Some((reached, faults.to_vec()));
    }

    /// Whether the faults have happened.
    pub fn has_triggered(&self) -> bool {
        self.trigger.is_none()
    }

    fn pull_trigger(&mut self) {
        let Some((reached, faults)) = self.trigger.take() else {
            return;
        };
        match reached(self) {
            Some(caller) => faults.iter().for_each(|&fault| self.inject(fault, caller)),
            None => self.trigger = Some((reached, faults)),
        }
    }

    /// Lets one tick pass.
    pub fn step(&mut self) {
        let until_ms = self.now_ms + TICK_MS;
        while let Some((&(at_ms, order), _)) = self.queue.first_key_value() {
            if at_ms > until_ms {
                break;
            }
            self.now_ms = self.now_ms.max(at_ms);
            match self.queue.remove(&(at_ms, order)) {
                Some(Delivery::StoreCall(node, call, request)) => {
                    self.run_store_call(node, call, request);
                }
                Some(Delivery::WorkerCall(node, call, name, request)) => {
                    self.run_worker_call(node, call, &name, request);
                }
                Some(Delivery::Event(node, event)) => self.event(node, event),
                None => {}
            }
            self.check_witness();
            self.pull_trigger();
        }
        self.now_ms = until_ms;
        if self.now_ms.is_multiple_of(KEEPER_MS) {
            self.keep_workers();
            self.follow_configuration();
        }
        for node in 0..self.nodes.len() {
            self.event(node, Event::Tick);
        }
        self.ask();
        self.pull_trigger();
        self.check_always();
    }

    /// Stands in for the worker monitors: polls every worker and tells the owner.
    fn keep_workers(&mut self) {
        let owner = self.owner();
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            let cursor = self.cursors.get(&name).copied().unwrap_or(0);
            let poll = WorkerCall::Poll {
                cursor,
                wait_ms: 0,
                lease_ms: WORKER_LEASE_MS,
            };
            let now_ms = self.now_ms;
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            worker.faults.unreachable =
                self.silent_until_ms.get(&name).is_some_and(|&t| t > now_ms);
            worker.faults.refuse_starts = self
                .failing_until_ms
                .get(&name)
                .is_some_and(|&t| t > now_ms);
            worker.tick(now_ms);
            let answer = worker.handle(poll, now_ms);
            let Some(owner) = owner else {
                continue;
            };
            let worker = name.clone();
            match answer {
                Ok(WorkerAnswer::Polled(polled)) => {
                    self.last_seen_ms.insert(name.clone(), now_ms);
                    self.cursors.insert(name, polled.cursor);
                    let seen = WorkerUpdate::Seen {
                        incarnation: polled.incarnation,
                        leaving: polled.leaving,
                    };
                    let reported = worker.clone();
                    self.event(
                        owner,
                        Event::WorkerUpdate {
                            worker: reported,
                            update: seen,
                        },
                    );
                    let changes = WorkerUpdate::Changes(polled.changes);
                    self.event(
                        owner,
                        Event::WorkerUpdate {
                            worker,
                            update: changes,
                        },
                    );
                }
                _ => {
                    let seen_ms = self.last_seen_ms.get(&name).copied().unwrap_or(now_ms);
                    let silent = WorkerUpdate::Silent {
                        silent_ms: now_ms - seen_ms,
                    };
                    self.event(
                        owner,
                        Event::WorkerUpdate {
                            worker,
                            update: silent,
                        },
                    );
                }
            }
        }
    }

    fn follow_configuration(&mut self) {
        if self.now_ms < self.store_down_until_ms {
            return;
        }
        for node in 0..self.nodes.len() {
            let configuration = self.configuration.clone();
            let asked_ms = self.now_ms;
            self.event(node, Event::Configuration(configuration));
            self.event(node, Event::ConfigurationConfirmed { asked_ms });
        }
    }

    /// Callers ask for what they have not got yet.
    fn ask(&mut self) {
        let Some(owner) = self.owner() else {
            return;
        };
        for at in 0..self.callers.len() {
            let caller = &self.callers[at];
            let waited = caller.asked.is_none_or(|(token, asked_ms)| {
                let patience_ms = if token == 0 { CALLER_RETRY_MS } else { 5_000 };
                self.now_ms >= asked_ms + patience_ms
            });
            if caller.is_settled() || self.now_ms < caller.submit_at_ms || !waited {
                continue;
            }
            let request = match caller.job {
                Some(job) => Request::Wait(job),
                None => Request::Submit {
                    submission: caller.submission.clone(),
                    asked_ms: self.now_ms,
                },
            };
            self.next_token += 1;
            let token = self.next_token;
            self.tokens.insert(token, at);
            self.callers[at].asked = Some((token, self.now_ms));
            self.event(owner, Event::Request { token, request });
            self.cancel_if_due(owner, at);
        }
        for at in 0..self.callers.len() {
            self.cancel_if_due(owner, at);
        }
    }

    fn cancel_if_due(&mut self, owner: usize, at: usize) {
        let caller = &self.callers[at];
        let due = caller
            .cancel_at_ms
            .is_some_and(|due_ms| due_ms <= self.now_ms);
        let (Some(job), true, false) = (caller.job, due, caller.cancelled) else {
            return;
        };
        self.callers[at].cancelled = true;
        let request = Request::Cancel {
            account: caller_account(&self.callers[at]),
            jobs: vec![job],
        };
        self.next_token += 1;
        let token = self.next_token;
        self.event(owner, Event::Request { token, request });
    }

    /// Makes a fault happen, at the worker of `caller`'s job where it is about
    /// a worker.
    pub fn inject(&mut self, fault: Fault, caller: usize) {
        let now_ms = self.now_ms;
        let owner = self.owner();
        let worker = self.worker_of(caller);
        match fault {
            Fault::OwnerDies => {
                if let Some(owner) = owner {
                    self.nodes[owner].alive = false;
                    self.add_node();
                }
            }
            Fault::OwnerPaused => {
                if let Some(owner) = owner {
                    self.nodes[owner].frozen_until_ms = now_ms + 5_000;
                }
            }
            Fault::OwnerDrains => {
                if let Some(owner) = owner {
                    self.event(owner, Event::Drain);
                    self.add_node();
                }
            }
            Fault::OwnerCutFromWorkers => {
                if let Some(owner) = owner {
                    self.nodes[owner].cut_until_ms = now_ms + 3_000;
                }
            }
            Fault::StoreDown => self.store_down_until_ms = now_ms + 8_000,
            Fault::StoreSlow => self.store_slow_until_ms = now_ms + 6_000,
            Fault::AnswerLost => self.store.faults.lose_answers += 2,
            Fault::AnswerDuplicated => self.duplicate_answers += 4,
            Fault::AnswerLate => self.late_answers += 2,
            Fault::WorkerDies => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.restart(now_ms);
                }
                self.cursors.remove(&worker);
            }
            Fault::WorkerSilent => {
                self.silent_until_ms.insert(worker, now_ms + 9_000);
            }
            Fault::WorkerFailsStarts => {
                self.failing_until_ms.insert(worker, now_ms + 10_000);
            }
            Fault::FramesLost => self.lost_frames += 3,
            Fault::CallerGone => {
                self.tokens.retain(|_, at| *at != caller);
                self.callers[caller].gone = true;
            }
            Fault::WorkerLeaving => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.set_leaving(true);
                }
                self.left_at_ms.insert(worker, now_ms);
            }
        }
    }

    fn worker_of(&self, caller: usize) -> String {
        let placed = self.callers[caller].job.and_then(|job| {
            let cell = self.cell()?;
            let member = cell.job(job)?.members.first()?;
            Some(cell.fleet().worker(member.worker).name.clone())
        });
        placed.unwrap_or_else(|| self.workers.keys().next().cloned().unwrap_or_default())
    }

    /// The witness: in each pledge only free accelerators, the account's own
    /// work, and work that can be taken back.
    fn check_witness(&mut self) {
        let Some(cell) = self.cell() else {
            return;
        };
        if let Some(broken) = witness_violation(cell) {
            self.violations.push(broken);
        }
    }

    fn check_always(&mut self) {
        if let Some(version) = self.cell().map(Cell::configuration_version) {
            if version < self.seen_version {
                self.violations
                    .push("the configuration reverted".to_owned());
            }
            self.seen_version = self.seen_version.max(version);
        }
        for (name, &left_ms) in &self.left_at_ms {
            let started_ms = self.workers[name].last_start_ms.unwrap_or(0);
            if started_ms > left_ms + LEAVING_GRACE_MS {
                self.violations
                    .push(format!("{name} was leaving and got new work"));
            }
        }
    }

    /// What has to hold at the end, when every caller is settled.
    pub fn check_end(&mut self) {
        for (at, caller) in self.callers.iter().enumerate() {
            if !caller.is_settled() {
                self.violations.push(format!(
                    "caller {at} was never answered: {:?}",
                    self.state_of(at)
                ));
            }
        }
        self.check_runs();
    }

    fn check_runs(&mut self) {
        let mut begun: HashMap<JobId, Vec<AttemptId>> = HashMap::new();
        let mut open = Vec::new();
        for worker in self.workers.values() {
            for run in &worker.runs {
                begun.entry(run.attempt.job).or_default().push(run.attempt);
                if run.ended_ms.is_none() {
                    open.push((worker.name.clone(), run.attempt));
                }
            }
            let mut taken: Vec<_> = worker.runs.iter().collect();
            taken.sort_by_key(|run| run.began_ms);
            for (at, run) in taken.iter().enumerate() {
                for later in &taken[at + 1..] {
                    let overlap = run.ended_ms.is_none_or(|end| end > later.began_ms);
                    if overlap && run.mask & later.mask != 0 {
                        self.violations
                            .push(format!("two tasks held one accelerator of {}", worker.name));
                    }
                }
            }
        }
        for attempts in begun.values_mut() {
            attempts.sort_unstable();
            attempts.dedup();
        }
        let mut violations = Vec::new();
        for (at, caller) in self.callers.iter().enumerate() {
            let Some(job) = caller.job else {
                continue;
            };
            let attempts = begun.get(&job).map_or(0, Vec::len);
            if !caller.submission.idempotent && attempts > 1 {
                violations.push(format!("non-idempotent job {at} ran {attempts} times"));
            }
            let outcome = caller
                .ended
                .as_ref()
                .map(|ended| ended.report.outcome.clone());
            let not_run = outcome == Some(OutcomeCode::CancelledNotRun.name().to_owned());
            if not_run && attempts > 0 {
                violations.push(format!("job {at} was said not to have run, but ran"));
            }
            if outcome == Some(OutcomeCode::Served.name().to_owned()) {
                let whole =
                    self.finished_members(job) >= usize::from(caller.submission.workers as u16);
                if !whole {
                    violations.push(format!("job {at} was served without all its members"));
                }
            }
        }
        for (worker, attempt) in open {
            violations.push(format!("{worker} still runs {attempt:?} of a settled job"));
        }
        self.violations.extend(violations);
    }

    fn finished_members(&self, job: JobId) -> usize {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let finished = runs.filter(|run| run.attempt.job == job && run.finished);
        let mut by_attempt: HashMap<u32, usize> = HashMap::new();
        for run in finished {
            *by_attempt.entry(run.attempt.attempt).or_default() += 1;
        }
        by_attempt.into_values().max().unwrap_or(0)
    }

    /// A gang that the owner counts as running has every member running or
    /// finished on its worker, unless the worker has just gone.
    pub fn check_gangs(&mut self) {
        let Some(cell) = self.cell() else {
            return;
        };
        let mut broken = Vec::new();
        for (_, job) in cell
            .jobs()
            .filter(|(_, job)| job.state == JobState::Running)
        {
            let attempt = job.attempt_id();
            for member in &job.members {
                let worker = cell.fleet().worker(member.worker);
                let unsure = worker.health != WorkerHealth::Healthy
                    || self.silent_until_ms.contains_key(&worker.name);
                let state = self.workers[&worker.name].task_state(attempt);
                if matches!(state, TaskState::NotBegun) && !unsure {
                    broken.push(format!(
                        "{attempt:?} counts as running without {}",
                        worker.name
                    ));
                }
            }
        }
        self.violations.extend(broken);
    }
}

fn caller_account(caller: &Caller) -> String {
    caller.submission.account.clone()
}

/// The first pledged accelerator that could not be had back, if any, although
/// no shortfall of its account is reported.
pub fn witness_violation(cell: &Cell) -> Option<String> {
    let shortfalls = cell.shortfalls();
    for (_, pledge) in cell.pledges() {
        let account = &cell.accounts()[pledge.account.index()].declaration.name;
        if shortfalls.iter().any(|short| short.account == *account) {
            continue;
        }
        for &(key, mask) in &pledge.members {
            let worker = cell.fleet().worker(key);
            for bit in (0..16).filter(|bit| mask >> bit & 1 == 1) {
                let Some(holder) = worker.holder(bit) else {
                    continue;
                };
                let job = cell
                    .jobs()
                    .find(|(at, _)| *at == holder)
                    .map(|(_, job)| job);
                let may_stay = job.is_some_and(|job| {
                    job.yields || job.account == pledge.account || job.state == JobState::Recovering
                });
                if !may_stay {
                    return Some(format!("{} of {} cannot be had back", bit, worker.name));
                }
            }
        }
    }
    None
}
