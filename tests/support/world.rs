//! Simulates owners, the store, workers and callers in virtual time. A queue
//! delivers calls and answers between them, and each connection can fail.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses a part of this module"
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
/// Time of a call to the store, and of its answer.
const STORE_DELAY_MS: u64 = 2;
/// Time of a call to a worker, and of its answer.
const WORKER_DELAY_MS: u64 = 1;
const TICK_MS: u64 = 50;
/// Interval of the polls of all workers and of the configuration's updates.
const WORKER_POLL_MS: u64 = 200;
const WORKER_LEASE_MS: u64 = 4_000;
const CALLER_RETRY_MS: u64 = 300;
/// Time for which a worker may still start tasks after it begins to leave.
const LEAVING_GRACE_MS: u64 = 3_000;

/// A fault that is injected once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    OwnerDies,
    /// The owner's process is paused and then continues.
    OwnerPaused,
    OwnerDrains,
    /// The owner's calls to workers fail for a while.
    OwnerCutFromWorkers,
    StoreDown,
    StoreSlow,
    /// Writes to the store take effect, but their answers are lost.
    AnswerLost,
    /// Answers of the store are delivered twice.
    AnswerDuplicated,
    /// Answers of the store are delivered late.
    AnswerLate,
    /// A worker restarts and loses its tasks.
    WorkerRestarts,
    /// No call reaches a worker for a while; its tasks go on.
    WorkerUnreachable,
    WorkerFailsStarts,
    /// Calls to workers take effect, but their answers are lost.
    WorkerAnswerLost,
    /// A caller loses the replies to its requests in progress.
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
        Fault::WorkerRestarts,
        Fault::WorkerUnreachable,
        Fault::WorkerFailsStarts,
        Fault::WorkerAnswerLost,
        Fault::CallerGone,
        Fault::WorkerLeaving,
    ];
}

/// A message in flight, with the index of the node that sent or receives it.
enum Delivery {
    StoreCall(usize, CallId, StoreCall),
    WorkerCall(usize, CallId, String, WorkerCall),
    Event(usize, Event),
}

/// A daemon.
struct Node {
    owner: Owner,
    alive: bool,
    paused_until_ms: u64,
    /// Time until which its calls to workers fail.
    cut_off_until_ms: u64,
}

/// A caller that submits one job and waits for its end.
#[derive(Clone, Debug)]
pub struct Caller {
    pub submission: Submission,
    pub submit_at_ms: u64,
    pub cancel_at_ms: Option<u64>,
    pub job: Option<JobId>,
    pub refused: bool,
    pub ended: Option<Ended>,
    pub gone: bool,
    /// Token of the last request, or 0 once it was answered, and the time of the
    /// request or of the answer.
    last_request: Option<(u64, u64)>,
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
            last_request: None,
            cancelled: false,
        }
    }

    pub fn is_settled(&self) -> bool {
        self.refused || self.ended.is_some()
    }
}

/// Returns the index of a caller whose job has reached the step to test, if there is one.
pub type JobStepPredicate = Box<dyn Fn(&World) -> Option<usize>>;

/// The simulated data centre.
pub struct World {
    pub now_ms: u64,
    pub store: StoreStandIn,
    pub workers: BTreeMap<String, WorkerStandIn>,
    pub callers: Vec<Caller>,
    pub violations: Vec<String>,
    nodes: Vec<Node>,
    /// Messages in flight by time of delivery and sequence number.
    in_flight: BTreeMap<(u64, u64), Delivery>,
    next_delivery: u64,
    next_token: u64,
    /// Caller of each unanswered request.
    tokens: HashMap<u64, usize>,
    /// Poll cursor of each worker.
    cursors: HashMap<String, u64>,
    last_seen_ms: HashMap<String, u64>,
    configuration: Arc<Configuration>,
    store_down_until_ms: u64,
    store_slow_until_ms: u64,
    unreachable_until_ms: BTreeMap<String, u64>,
    failing_until_ms: BTreeMap<String, u64>,
    leaving_since_ms: BTreeMap<String, u64>,
    duplicate_answers: u32,
    late_answers: u32,
    lost_worker_answers: u32,
    /// Highest configuration version that an owner has had in force.
    highest_version: u64,
    /// Faults to inject, and the condition that triggers them.
    trigger: Option<(JobStepPredicate, Vec<Fault>)>,
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
            in_flight: BTreeMap::new(),
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
            unreachable_until_ms: BTreeMap::new(),
            failing_until_ms: BTreeMap::new(),
            leaving_since_ms: BTreeMap::new(),
            duplicate_answers: 0,
            late_answers: 0,
            lost_worker_answers: 0,
            highest_version: 0,
            trigger: None,
        };
        for index in 0..workers {
            let name = format!("w{index:03}-{}", index / rack_size);
            world
                .workers
                .insert(name.clone(), WorkerStandIn::new(&name));
        }
        world.add_node();
        world.add_node();
        world
    }

    /// Adds a daemon that has just started.
    pub fn add_node(&mut self) {
        let index = self.nodes.len();
        let mut settings =
            Settings::new(DATA_CENTRE, &format!("d{index}"), (index as u64 + 1) << 40);
        settings.worker_lease_ms = WORKER_LEASE_MS;
        settings.worker_margin_ms = 500;
        settings.limits.start_timeout_ms = 3_000;
        self.nodes.push(Node {
            owner: Owner::open(settings),
            alive: true,
            paused_until_ms: 0,
            cut_off_until_ms: 0,
        });
        let members = self.members();
        let configuration = self.configuration.clone();
        self.send_event(index, Event::Members(members));
        self.send_event(index, Event::Configuration(configuration));
        self.send_event(index, Event::Candidacy(true));
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

    /// Creates the next version of the configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Declaration)) {
        let mut next = self.configuration.as_ref().clone();
        next.version += 1;
        change(&mut next.declaration);
        self.configuration = Arc::new(next);
    }

    fn deliver(&mut self, delay_ms: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.in_flight
            .insert((self.now_ms + delay_ms, self.next_delivery), delivery);
    }

    /// Lets a node handle an event, after its pause if it is paused, and executes
    /// the resulting actions.
    fn send_event(&mut self, node: usize, event: Event) {
        if !self.nodes[node].alive {
            return;
        }
        let resume_ms = self.nodes[node].paused_until_ms;
        if resume_ms > self.now_ms {
            // A paused process gets its messages when it continues. Ticks do not
            // accumulate.
            if !matches!(event, Event::Tick) {
                self.deliver(resume_ms - self.now_ms, Delivery::Event(node, event));
            }
            return;
        }
        let actions = self.nodes[node].owner.handle(event, self.now_ms);
        for action in actions {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::Store { call, request } => {
                self.deliver(STORE_DELAY_MS, Delivery::StoreCall(node, call, request));
            }
            Action::Worker {
                call,
                worker,
                request,
                ..
            } => self.deliver(
                WORKER_DELAY_MS,
                Delivery::WorkerCall(node, call, worker, request),
            ),
            Action::Reply { token, reply } => self.handle_reply(token, reply),
        }
    }

    fn handle_reply(&mut self, token: u64, reply: Reply) {
        let Some(index) = self.tokens.remove(&token) else {
            return;
        };
        let now_ms = self.now_ms;
        let caller = &mut self.callers[index];
        caller.last_request = Some((0, now_ms));
        match reply {
            Reply::Accepted(job) => {
                if caller.job.is_some_and(|known| known != job) {
                    self.violations
                        .push(format!("two jobs were accepted for key {index}"));
                }
                caller.job = Some(job);
                caller.last_request = None;
            }
            // A submission that is refused for a transient reason is retried with
            // the same key.
            Reply::Refused(refusal) => caller.refused = refusal.retry_after_ms == 0,
            Reply::Ended(ended) => {
                self.check_answer(index, &ended);
                self.callers[index].ended = Some(*ended);
            }
            Reply::NotFound => self
                .violations
                .push(format!("accepted job {index} was lost")),
            _ => {}
        }
    }

    fn check_answer(&mut self, index: usize, ended: &Ended) {
        let caller = &self.callers[index];
        let Some(job) = caller.job else {
            return;
        };
        if let Some(answer) = &ended.answer {
            let expected = TaskSpec::answer(job, &caller.submission.payload);
            if answer.inline != expected {
                self.violations
                    .push(format!("caller {index} got a wrong answer"));
            }
        }
    }

    fn run_store_call(&mut self, node: usize, call: CallId, request: StoreCall) {
        self.store.faults.down = self.now_ms < self.store_down_until_ms;
        let result = self.store.handle(request, self.now_ms);
        let mut delay_ms = STORE_DELAY_MS;
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
        let is_cut_off = self.nodes[node].cut_off_until_ms > self.now_ms;
        let is_lost = self.lost_worker_answers > 0;
        let result = match self.workers.get_mut(name) {
            Some(worker) if !is_cut_off => {
                let answer = worker.handle(request, self.now_ms);
                // The call takes effect, and only its answer is lost.
                match is_lost {
                    true => {
                        self.lost_worker_answers -= 1;
                        Err(fuchsiaslip::backend::WorkerFailure::Unresponsive)
                    }
                    false => answer,
                }
            }
            _ => Err(fuchsiaslip::backend::WorkerFailure::Unresponsive),
        };
        let delay_ms = match result {
            Ok(_) => WORKER_DELAY_MS,
            Err(_) => 500,
        };
        self.deliver(
            delay_ms,
            Delivery::Event(node, Event::Worker { call, result }),
        );
    }

    /// Returns the index of the owner with the highest epoch among the nodes that
    /// are alive and not paused.
    pub fn owner(&self) -> Option<usize> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.alive && node.paused_until_ms <= self.now_ms)
            .filter_map(|(index, node)| node.owner.epoch().map(|epoch| (epoch, index)))
            .max()
            .map(|(_, index)| index)
    }

    pub fn cell(&self) -> Option<&Cell> {
        self.nodes[self.owner()?].owner.cell()
    }

    /// Returns the state of a caller's job at the owner.
    pub fn state_of(&self, caller: usize) -> Option<JobState> {
        let job = self.callers[caller].job?;
        Some(self.cell()?.job(job)?.state)
    }

    /// Injects `faults` as soon as `reached` returns a caller.
    pub fn inject_when(&mut self, reached: JobStepPredicate, faults: &[Fault]) {
        self.trigger = Some((reached, faults.to_vec()));
    }

    /// Whether the faults of [`World::inject_when`] have been injected.
    pub fn has_triggered(&self) -> bool {
        self.trigger.is_none()
    }

    fn inject_if_triggered(&mut self) {
        let Some((reached, faults)) = self.trigger.take() else {
            return;
        };
        match reached(self) {
            Some(caller) => faults.iter().for_each(|&fault| self.inject(fault, caller)),
            None => self.trigger = Some((reached, faults)),
        }
    }

    /// Advances the time by one tick and delivers what has become due.
    pub fn step(&mut self) {
        let until_ms = self.now_ms + TICK_MS;
        while let Some((&(at_ms, sequence), _)) = self.in_flight.first_key_value() {
            if at_ms > until_ms {
                break;
            }
            self.now_ms = self.now_ms.max(at_ms);
            match self.in_flight.remove(&(at_ms, sequence)) {
                Some(Delivery::StoreCall(node, call, request)) => {
                    self.run_store_call(node, call, request);
                }
                Some(Delivery::WorkerCall(node, call, name, request)) => {
                    self.run_worker_call(node, call, &name, request);
                }
                Some(Delivery::Event(node, event)) => self.send_event(node, event),
                None => {}
            }
            self.check_pledges();
            self.inject_if_triggered();
        }
        self.now_ms = until_ms;
        if self.now_ms.is_multiple_of(WORKER_POLL_MS) {
            self.poll_workers();
            self.publish_configuration();
        }
        for node in 0..self.nodes.len() {
            self.send_event(node, Event::Tick);
        }
        self.send_requests();
        self.inject_if_triggered();
        self.check_invariants();
    }

    /// Simulates the worker monitors: polls every worker and reports the results
    /// to the owner.
    fn poll_workers(&mut self) {
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
            worker.faults.unreachable = self
                .unreachable_until_ms
                .get(&name)
                .is_some_and(|&t| t > now_ms);
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
                    let responded = WorkerUpdate::Responded {
                        incarnation: polled.incarnation,
                        leaving: polled.leaving,
                    };
                    let reported = worker.clone();
                    self.send_event(
                        owner,
                        Event::WorkerUpdate {
                            worker: reported,
                            update: responded,
                        },
                    );
                    let changes = WorkerUpdate::Changes(polled.changes);
                    self.send_event(
                        owner,
                        Event::WorkerUpdate {
                            worker,
                            update: changes,
                        },
                    );
                }
                _ => {
                    let seen_ms = self.last_seen_ms.get(&name).copied().unwrap_or(now_ms);
                    let unresponsive = WorkerUpdate::Unresponsive {
                        unresponsive_ms: now_ms - seen_ms,
                    };
                    self.send_event(
                        owner,
                        Event::WorkerUpdate {
                            worker,
                            update: unresponsive,
                        },
                    );
                }
            }
        }
    }

    /// Sends the current configuration and its confirmation to all nodes, unless
    /// the store is down.
    fn publish_configuration(&mut self) {
        if self.now_ms < self.store_down_until_ms {
            return;
        }
        for node in 0..self.nodes.len() {
            let configuration = self.configuration.clone();
            let requested_ms = self.now_ms;
            self.send_event(node, Event::Configuration(configuration));
            self.send_event(node, Event::ConfigurationConfirmed { requested_ms });
        }
    }

    /// Sends the callers' requests that are due: submissions, waits for the ends of
    /// jobs, and cancellations.
    fn send_requests(&mut self) {
        let Some(owner) = self.owner() else {
            return;
        };
        for index in 0..self.callers.len() {
            let caller = &self.callers[index];
            let is_due = caller.last_request.is_none_or(|(token, sent_ms)| {
                let retry_interval_ms = if token == 0 { CALLER_RETRY_MS } else { 5_000 };
                self.now_ms >= sent_ms + retry_interval_ms
            });
            if caller.is_settled() || self.now_ms < caller.submit_at_ms || !is_due {
                continue;
            }
            let request = match caller.job {
                Some(job) => Request::Wait(job),
                None => Request::Submit {
                    submission: caller.submission.clone(),
                    received_ms: self.now_ms,
                },
            };
            self.next_token += 1;
            let token = self.next_token;
            self.tokens.insert(token, index);
            self.callers[index].last_request = Some((token, self.now_ms));
            self.send_event(owner, Event::Request { token, request });
            self.cancel_if_due(owner, index);
        }
        for index in 0..self.callers.len() {
            self.cancel_if_due(owner, index);
        }
    }

    fn cancel_if_due(&mut self, owner: usize, index: usize) {
        let caller = &self.callers[index];
        let due = caller
            .cancel_at_ms
            .is_some_and(|due_ms| due_ms <= self.now_ms);
        let (Some(job), true, false) = (caller.job, due, caller.cancelled) else {
            return;
        };
        self.callers[index].cancelled = true;
        let request = Request::Cancel {
            account: caller_account(&self.callers[index]),
            jobs: vec![job],
        };
        self.next_token += 1;
        let token = self.next_token;
        self.send_event(owner, Event::Request { token, request });
    }

    /// Injects a fault. A fault of a worker affects a worker of the job of
    /// `caller`, or the first worker if that job is not placed.
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
                    self.nodes[owner].paused_until_ms = now_ms + 5_000;
                }
            }
            Fault::OwnerDrains => {
                if let Some(owner) = owner {
                    self.send_event(owner, Event::Drain);
                    self.add_node();
                }
            }
            Fault::OwnerCutFromWorkers => {
                if let Some(owner) = owner {
                    self.nodes[owner].cut_off_until_ms = now_ms + 3_000;
                }
            }
            Fault::StoreDown => self.store_down_until_ms = now_ms + 8_000,
            Fault::StoreSlow => self.store_slow_until_ms = now_ms + 6_000,
            Fault::AnswerLost => self.store.faults.lose_answers += 2,
            Fault::AnswerDuplicated => self.duplicate_answers += 4,
            Fault::AnswerLate => self.late_answers += 2,
            Fault::WorkerRestarts => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.restart(now_ms);
                }
                self.cursors.remove(&worker);
            }
            Fault::WorkerUnreachable => {
                self.unreachable_until_ms.insert(worker, now_ms + 9_000);
            }
            Fault::WorkerFailsStarts => {
                self.failing_until_ms.insert(worker, now_ms + 10_000);
            }
            Fault::WorkerAnswerLost => self.lost_worker_answers += 3,
            Fault::CallerGone => {
                self.tokens.retain(|_, index| *index != caller);
                self.callers[caller].gone = true;
            }
            Fault::WorkerLeaving => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.set_leaving(true);
                }
                self.leaving_since_ms.insert(worker, now_ms);
            }
        }
    }

    /// Returns the first worker of a caller's job, or any worker if the job is not
    /// placed.
    fn worker_of(&self, caller: usize) -> String {
        let worker_of_job = self.callers[caller].job.and_then(|job| {
            let cell = self.cell()?;
            let member = cell.job(job)?.members.first()?;
            Some(cell.fleet().worker(member.worker).name.clone())
        });
        worker_of_job.unwrap_or_else(|| self.workers.keys().next().cloned().unwrap_or_default())
    }

    /// Checks that each guarantee can be reclaimed: the accelerators pledged to it
    /// are free, or used by the account itself, by reclaimable work or by jobs in
    /// recovery.
    fn check_pledges(&mut self) {
        let Some(cell) = self.cell() else {
            return;
        };
        if let Some(violation) = pledge_violation(cell) {
            self.violations.push(violation);
        }
    }

    /// Checks that the configuration version never decreases and that workers
    /// that are leaving get no new work.
    fn check_invariants(&mut self) {
        if let Some(version) = self.cell().map(Cell::configuration_version) {
            if version < self.highest_version {
                self.violations
                    .push("the configuration reverted".to_owned());
            }
            self.highest_version = self.highest_version.max(version);
        }
        for (name, &leaving_ms) in &self.leaving_since_ms {
            let started_ms = self.workers[name].last_start_ms.unwrap_or(0);
            if started_ms > leaving_ms + LEAVING_GRACE_MS {
                self.violations
                    .push(format!("{name} was leaving and got new work"));
            }
        }
    }

    /// Checks the final state: every caller has its result, and the runs on the
    /// workers agree with the reported outcomes.
    pub fn check_end(&mut self) {
        for (index, caller) in self.callers.iter().enumerate() {
            if !caller.is_settled() {
                self.violations.push(format!(
                    "caller {index} was never answered: {:?}",
                    self.state_of(index)
                ));
            }
        }
        self.check_runs();
    }

    /// Checks the runs on the workers against the jobs' limits and outcomes, and
    /// that no accelerator ran two tasks at once.
    fn check_runs(&mut self) {
        let mut attempts_by_job: HashMap<JobId, Vec<AttemptId>> = HashMap::new();
        let mut unfinished = Vec::new();
        for worker in self.workers.values() {
            for run in &worker.runs {
                attempts_by_job
                    .entry(run.attempt.job)
                    .or_default()
                    .push(run.attempt);
                if run.ended_ms.is_none() {
                    unfinished.push((worker.name.clone(), run.attempt));
                }
            }
            let mut runs: Vec<_> = worker.runs.iter().collect();
            runs.sort_by_key(|run| run.started_ms);
            for (index, run) in runs.iter().enumerate() {
                for later in &runs[index + 1..] {
                    let overlap = run.ended_ms.is_none_or(|end| end > later.started_ms);
                    if overlap && run.mask & later.mask != 0 {
                        self.violations
                            .push(format!("two tasks held one accelerator of {}", worker.name));
                    }
                }
            }
        }
        for attempts in attempts_by_job.values_mut() {
            attempts.sort_unstable();
            attempts.dedup();
        }
        let mut violations = Vec::new();
        for (index, caller) in self.callers.iter().enumerate() {
            let Some(job) = caller.job else {
                continue;
            };
            let attempts = attempts_by_job.get(&job).map_or(0, Vec::len);
            if !caller.submission.idempotent && attempts > 1 {
                violations.push(format!("non-idempotent job {index} ran {attempts} times"));
            }
            let outcome = caller
                .ended
                .as_ref()
                .map(|ended| ended.report.outcome.clone());
            let is_reported_not_run =
                outcome == Some(OutcomeCode::CancelledNotRun.name().to_owned());
            if is_reported_not_run && attempts > 0 {
                violations.push(format!("job {index} was reported as not run, but ran"));
            }
            if outcome == Some(OutcomeCode::Served.name().to_owned()) {
                let is_complete =
                    self.finished_members(job) >= usize::from(caller.submission.workers as u16);
                if !is_complete {
                    violations.push(format!("job {index} was served without all its members"));
                }
            }
        }
        for (worker, attempt) in unfinished {
            violations.push(format!("{worker} still runs {attempt:?} of a settled job"));
        }
        self.violations.extend(violations);
    }

    /// Returns the largest number of members that finished in one attempt.
    fn finished_members(&self, job: JobId) -> usize {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let finished = runs.filter(|run| run.attempt.job == job && run.finished);
        let mut by_attempt: HashMap<u32, usize> = HashMap::new();
        for run in finished {
            *by_attempt.entry(run.attempt.attempt).or_default() += 1;
        }
        by_attempt.into_values().max().unwrap_or(0)
    }

    /// Checks that each member of a gang that the owner considers running has
    /// begun on its worker, unless the worker is unhealthy or was unreachable.
    pub fn check_gangs(&mut self) {
        let Some(cell) = self.cell() else {
            return;
        };
        let mut violations = Vec::new();
        for (_, job) in cell
            .jobs()
            .filter(|(_, job)| job.state == JobState::Running)
        {
            let attempt = job.attempt_id();
            for member in &job.members {
                let worker = cell.fleet().worker(member.worker);
                let may_be_lost = worker.health != WorkerHealth::Healthy
                    || self.unreachable_until_ms.contains_key(&worker.name);
                let state = self.workers[&worker.name].task_state(attempt);
                if matches!(state, TaskState::NotBegun) && !may_be_lost {
                    violations.push(format!(
                        "{attempt:?} counts as running without {}",
                        worker.name
                    ));
                }
            }
        }
        self.violations.extend(violations);
    }
}

fn caller_account(caller: &Caller) -> String {
    caller.submission.account.clone()
}

/// Describes the first pledged accelerator that cannot be reclaimed although no
/// shortfall of its account is reported, if there is one.
pub fn pledge_violation(cell: &Cell) -> Option<String> {
    let shortfalls = cell.shortfalls();
    for (_, pledge) in cell.pledges() {
        let account = &cell.accounts()[pledge.account.index()].declaration.name;
        if shortfalls.iter().any(|short| short.account == *account) {
            continue;
        }
        for &(worker_key, mask) in &pledge.members {
            let worker = cell.fleet().worker(worker_key);
            for bit in (0..16).filter(|bit| mask >> bit & 1 == 1) {
                let Some(holder) = worker.holder(bit) else {
                    continue;
                };
                let job = cell
                    .jobs()
                    .find(|(id, _)| *id == holder)
                    .map(|(_, job)| job);
                let is_allowed = job.is_some_and(|job| {
                    job.is_reclaimable
                        || job.account == pledge.account
                        || job.state == JobState::Recovering
                });
                if !is_allowed {
                    return Some(format!(
                        "accelerator {} of {} cannot be reclaimed",
                        bit, worker.name
                    ));
                }
            }
        }
    }
    None
}
