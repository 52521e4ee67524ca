//! Feeds a list of jobs to the decision core in virtual time.
//!
//! No cluster is simulated: workers obey every order after a fixed time, and
//! tasks fail only on the bad workers of the mix or if the job always fails.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "some figures are read by the bench only"
)]

use fuchsiaslip::config::{
    Configuration,
    Declaration, //
};
use fuchsiaslip::core::{
    AttemptId,
    Cell,
    Command,
    Effect,
    JobId,
    Limits,
    MemberEvent,
    MemberReport,
    Shape,
    Submission,
    WorkerSpec,
    fragmentation_of, //
};
use fuchsiaslip::ledger::{
    AnswerRecord,
    OutcomeCode, //
};
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};
use std::sync::Arc;
use std::time::Instant;

/// Duration of a call to a worker.
const CALL_MS: u64 = 2;
const TICK_MS: u64 = 1_000;
/// Interval at which fragmentation is sampled.
const SAMPLE_MS: u64 = 60_000;
/// Longest time that a stopped task takes for its checkpoint.
const CHECKPOINT_MS: u64 = 1_000;

/// One job of a mix, including what its caller does not know.
#[derive(Clone, Debug)]
pub struct ListedJob {
    pub at_ms: u64,
    pub account: &'static str,
    pub class: &'static str,
    pub shape: Shape,
    pub declared_run_ms: u64,
    pub actual_run_ms: u64,
    pub idempotent: bool,
    pub cancel_at_ms: Option<u64>,
    /// Whether its tasks fail on every worker.
    pub always_fails: bool,
}

/// A list of jobs and the fleet on which they run.
#[derive(Clone, Debug)]
pub struct Mix {
    pub name: String,
    pub declaration: Declaration,
    pub workers: usize,
    pub rack_size: usize,
    pub accelerators: u16,
    pub end_ms: u64,
    pub jobs: Vec<ListedJob>,
    /// Indexes of the workers on which every task fails.
    pub bad_workers: HashSet<usize>,
    /// Shapes by which fragmentation is measured, with their weights.
    pub demand: Vec<(Shape, f64)>,
}

impl Mix {
    pub fn worker_name(index: usize) -> String {
        format!("w{index:05}")
    }

    pub fn specs(&self) -> Vec<WorkerSpec> {
        let spec = |index: usize| WorkerSpec {
            name: Self::worker_name(index),
            rack: format!("r{:05}", index / self.rack_size),
            accelerators: self.accelerators,
            leaving: false,
        };
        (0..self.workers).map(spec).collect()
    }

    pub fn submission(&self, index: usize) -> Submission {
        let job = &self.jobs[index];
        let mut submission = Submission {
            account: job.account.to_owned(),
            class: job.class.to_owned(),
            idempotency_key: index.to_string(),
            idempotent: job.idempotent,
            declared_run_ms: job.declared_run_ms,
            ..Submission::default()
        };
        submission.set_shape(job.shape);
        submission
    }

    /// Returns whether the job counts in the figures: it is not cancelled and
    /// does not always fail.
    pub fn counts(&self, index: usize) -> bool {
        let job = &self.jobs[index];
        !job.always_fails && job.cancel_at_ms.is_none()
    }
}

/// Measurements of the run of a mix.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Number of jobs that count, see [`Mix::counts`].
    pub counted: usize,
    /// Number of counted jobs that met their deadline.
    pub met: usize,
    pub fragmentation: Vec<f64>,
    pub busy_accelerator_ms: u64,
    pub elapsed_accelerator_ms: u64,
    pub large_gang_waits_ms: Vec<u64>,
    pub reclaim_ms: Vec<u64>,
    pub reclaim_failures: usize,
    pub decision_ns: Vec<u64>,
    pub refused: HashMap<&'static str, usize>,
    pub preempted: usize,
    /// `met` and `counted` of each class.
    pub met_by_class: BTreeMap<&'static str, (usize, usize)>,
}

pub fn percentile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = ((sorted.len() as f64 - 1.0) * share).round() as usize;
    sorted.get(index).copied().unwrap_or(0)
}

impl Figures {
    pub fn met_percent(&self) -> f64 {
        100.0 * self.met as f64 / self.counted.max(1) as f64
    }

    pub fn fragmentation_percent(&self) -> f64 {
        let samples = self.fragmentation.len().max(1) as f64;
        100.0 * self.fragmentation.iter().sum::<f64>() / samples
    }

    pub fn utilisation_percent(&self) -> f64 {
        100.0 * self.busy_accelerator_ms as f64 / self.elapsed_accelerator_ms.max(1) as f64
    }

    pub fn count_met(&mut self, class: &'static str, met: bool) {
        self.counted += 1;
        self.met += usize::from(met);
        let by_class = self.met_by_class.entry(class).or_default();
        by_class.0 += usize::from(met);
        by_class.1 += 1;
    }
}

/// Number of accelerators from which a gang counts as large.
pub const LARGE_ACCELERATORS: u32 = 32;

#[derive(Clone, Debug)]
enum Event {
    Submit(usize),
    Cancel(usize),
    Member(MemberReport),
}

/// Runs one mix through the core.
pub struct Driver<'a> {
    pub mix: &'a Mix,
    pub cell: Cell,
    pub now_ms: u64,
    pub figures: Figures,
    /// Events to come, by time and then by the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    index_by_id: HashMap<JobId, usize>,
    id_by_index: HashMap<usize, JobId>,
    /// Running tasks: when they started and the progress they started with.
    tasks: HashMap<(AttemptId, u32), (u64, u64)>,
    /// Stopped tasks whose scheduled end is ignored.
    stopped: HashSet<(AttemptId, u32)>,
    next_tick_ms: u64,
    next_sample_ms: u64,
    /// Jobs that request a guaranteed shape which their account does not use yet,
    /// with the time of the request.
    reclaim_requests: HashMap<JobId, u64>,
    /// Number of jobs of guaranteed shape that have not ended, by account and
    /// shape.
    guaranteed_jobs: HashMap<(&'static str, Shape), usize>,
    /// Called after every command.
    pub check: Option<fn(&Cell)>,
    /// Whether the durations of decisions are measured.
    pub timed: bool,
}

impl<'a> Driver<'a> {
    pub fn new(mix: &'a Mix) -> Self {
        let mut driver = Self {
            mix,
            cell: Cell::new("dc", 1, Limits::default()),
            now_ms: 0,
            figures: Figures::default(),
            events: BTreeMap::new(),
            sequence: 0,
            index_by_id: HashMap::new(),
            id_by_index: HashMap::new(),
            tasks: HashMap::new(),
            stopped: HashSet::new(),
            next_tick_ms: TICK_MS,
            next_sample_ms: SAMPLE_MS,
            reclaim_requests: HashMap::new(),
            guaranteed_jobs: HashMap::new(),
            check: None,
            timed: false,
        };
        let configuration = Configuration {
            version: 1,
            declaration: mix.declaration.clone(),
            history: Vec::new(),
        };
        driver.apply(Command::Workers(mix.specs()));
        driver.apply(Command::Configure(Arc::new(configuration)));
        for (index, job) in mix.jobs.iter().enumerate() {
            driver.schedule(job.at_ms, Event::Submit(index));
            if let Some(cancel_at_ms) = job.cancel_at_ms {
                driver.schedule(cancel_at_ms, Event::Cancel(index));
            }
        }
        driver.timed = true;
        driver
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .insert((at_ms.max(self.now_ms), self.sequence), event);
    }

    /// Runs until `end_ms`.
    pub fn run_until(&mut self, end_ms: u64) {
        loop {
            let next = self.events.first_key_value().map(|(&(at_ms, _), _)| at_ms);
            let next_ms = next.unwrap_or(u64::MAX).min(self.next_tick_ms);
            if next_ms > end_ms {
                break;
            }
            self.now_ms = next_ms;
            if self.next_tick_ms == next_ms {
                self.next_tick_ms += TICK_MS;
                self.apply(Command::Tick);
                self.sample();
                continue;
            }
            if let Some((_, event)) = self.events.pop_first() {
                self.handle_event(event);
            }
        }
        self.now_ms = end_ms;
    }

    fn sample(&mut self) {
        let total = self.mix.workers as u64 * u64::from(self.mix.accelerators);
        self.figures.elapsed_accelerator_ms += TICK_MS * total;
        let free: u32 = self.cell.free_by_rack().iter().flatten().sum();
        self.figures.busy_accelerator_ms += TICK_MS * (total - u64::from(free).min(total));
        if self.now_ms >= self.next_sample_ms {
            self.next_sample_ms += SAMPLE_MS;
            let value = fragmentation_of(&self.cell.free_by_rack(), &self.mix.demand);
            self.figures.fragmentation.push(value);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Submit(index) => {
                let submission = self.mix.submission(index);
                let token = index as u64;
                self.apply(Command::Submit { token, submission });
            }
            Event::Cancel(index) => {
                if let Some(&job) = self.id_by_index.get(&index) {
                    self.apply(Command::Cancel {
                        token: 0,
                        account: self.mix.jobs[index].account.to_owned(),
                        jobs: vec![job],
                    });
                }
            }
            Event::Member(report) => self.handle_member_report(report),
        }
    }

    fn handle_member_report(&mut self, report: MemberReport) {
        let worker = self
            .cell
            .fleet()
            .find(&report.worker)
            .map_or(0, |key| key.0);
        let task = (report.attempt, worker);
        let ends = matches!(report.event, MemberEvent::Finished(_) | MemberEvent::Failed);
        if ends && self.stopped.remove(&task) {
            return;
        }
        if ends {
            self.tasks.remove(&task);
        }
        self.apply(Command::Member(report));
    }

    pub fn apply(&mut self, command: Command) {
        let started = Instant::now();
        let effects = self.cell.apply(command, self.now_ms);
        if self.timed {
            self.figures
                .decision_ns
                .push(started.elapsed().as_nanos() as u64);
        }
        if let Some(check) = self.check {
            check(&self.cell);
        }
        for effect in effects {
            self.handle_effect(effect);
        }
    }

    fn handle_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Accepted { token, job } => self.handle_accepted(token as usize, job),
            Effect::Refused { token, refusal } => {
                *self
                    .figures
                    .refused
                    .entry(refusal.reason.name())
                    .or_default() += 1;
                if self.mix.counts(token as usize) {
                    let class = self.mix.jobs[token as usize].class;
                    self.figures.count_met(class, false);
                }
            }
            Effect::Reserve {
                attempt, worker, ..
            } => self.schedule_report(attempt, worker.0, CALL_MS, MemberEvent::Reserved),
            Effect::Start {
                attempt,
                worker,
                progress_ms,
                ..
            } => self.start(attempt, worker.0, progress_ms),
            Effect::Stop {
                attempt,
                worker,
                grace_ms,
            } => self.stop(attempt, worker.0, grace_ms),
            Effect::Ended { job, outcome } => self.handle_ended(job, outcome.code),
            _ => {}
        }
    }

    fn handle_accepted(&mut self, index: usize, job: JobId) {
        self.index_by_id.insert(job, index);
        self.id_by_index.insert(index, job);
        let listed = &self.mix.jobs[index];
        let class = self.mix.declaration.class(listed.class);
        let account = self.mix.declaration.account(listed.account);
        let guarantees = account.map(|account| account.guarantees.as_slice());
        let guaranteed = guarantees
            .unwrap_or_default()
            .iter()
            .find(|guarantee| guarantee.shape() == listed.shape);
        let Some(guarantee) = guaranteed.filter(|_| class.is_some_and(|class| class.reclaims))
        else {
            return;
        };
        let open_jobs = self
            .guaranteed_jobs
            .entry((listed.account, listed.shape))
            .or_default();
        *open_jobs += 1;
        if *open_jobs <= usize::from(guarantee.count) {
            self.reclaim_requests.insert(job, self.now_ms);
        }
    }

    fn schedule_report(
        &mut self,
        attempt: AttemptId,
        worker: u32,
        delay_ms: u64,
        event: MemberEvent,
    ) {
        let report = MemberReport {
            attempt,
            worker: Mix::worker_name(worker as usize),
            event,
        };
        self.schedule(self.now_ms + delay_ms, Event::Member(report));
    }

    fn start(&mut self, attempt: AttemptId, worker: u32, progress_ms: u64) {
        let Some(&index) = self.index_by_id.get(&attempt.job) else {
            return;
        };
        self.tasks
            .insert((attempt, worker), (self.now_ms + CALL_MS, progress_ms));
        self.schedule_report(attempt, worker, CALL_MS, MemberEvent::Started);
        let listed = &self.mix.jobs[index];
        let fails = self.mix.bad_workers.contains(&(worker as usize)) || listed.always_fails;
        let remaining_ms = listed.actual_run_ms.saturating_sub(progress_ms).max(1);
        match fails {
            true => self.schedule_report(
                attempt,
                worker,
                CALL_MS + remaining_ms.min(2_000),
                MemberEvent::Failed,
            ),
            false => {
                let answer = AnswerRecord::default();
                self.schedule_report(
                    attempt,
                    worker,
                    CALL_MS + remaining_ms,
                    MemberEvent::Finished(answer),
                );
            }
        }
    }

    fn stop(&mut self, attempt: AttemptId, worker: u32, grace_ms: u64) {
        let Some((started_ms, progress_ms)) = self.tasks.remove(&(attempt, worker)) else {
            return self.schedule_report(attempt, worker, CALL_MS, MemberEvent::NotBegun);
        };
        self.stopped.insert((attempt, worker));
        let checkpoint_ms = CHECKPOINT_MS.min(grace_ms);
        let saved_ms = match grace_ms {
            0 => progress_ms,
            _ => progress_ms + self.now_ms.saturating_sub(started_ms),
        };
        let event = MemberEvent::Stopped {
            progress_ms: saved_ms,
        };
        self.schedule_report(attempt, worker, CALL_MS + checkpoint_ms, event);
    }

    fn handle_ended(&mut self, id: JobId, code: OutcomeCode) {
        let Some(&index) = self.index_by_id.get(&id) else {
            return;
        };
        let Some(job) = self.cell.job(id) else {
            return;
        };
        self.figures.preempted += job.preemptions as usize;
        let listed = &self.mix.jobs[index];
        if let Some(open_jobs) = self
            .guaranteed_jobs
            .get_mut(&(listed.account, listed.shape))
        {
            *open_jobs = open_jobs.saturating_sub(1);
        }
        if !self.mix.counts(index) {
            return;
        }
        let met = code == OutcomeCode::Served && job.ended_ms <= job.deadline_ms;
        if let Some(first_ms) = job.first_running_ms
            && job.shape.accelerators() >= LARGE_ACCELERATORS
        {
            let wait_ms = first_ms.saturating_sub(job.accepted_ms);
            self.figures.large_gang_waits_ms.push(wait_ms);
        }
        self.figures.count_met(self.mix.jobs[index].class, met);
    }

    /// Adds the jobs that have not ended to the figures and returns the figures.
    pub fn finish(mut self) -> Figures {
        let open_jobs: Vec<(usize, u64, u64, u32, Option<u64>)> = self
            .cell
            .jobs()
            .filter(|(_, job)| job.outcome == OutcomeCode::None)
            .filter_map(|(_, job)| {
                let index = *self.index_by_id.get(&job.id)?;
                let size = job.shape.accelerators();
                Some((
                    index,
                    job.accepted_ms,
                    job.deadline_ms,
                    size,
                    job.first_running_ms,
                ))
            })
            .collect();
        for (index, accepted_ms, deadline_ms, size, first_ms) in open_jobs {
            if !self.mix.counts(index) {
                continue;
            }
            if size >= LARGE_ACCELERATORS {
                let until_ms = first_ms.unwrap_or(self.now_ms);
                self.figures
                    .large_gang_waits_ms
                    .push(until_ms.saturating_sub(accepted_ms));
            }
            // A job with a deadline in the future has neither met nor missed it.
            if deadline_ms <= self.now_ms {
                self.figures.count_met(self.mix.jobs[index].class, false);
            }
        }
        for (id, requested_ms) in std::mem::take(&mut self.reclaim_requests) {
            let Some(job) = self.cell.job(id) else {
                continue;
            };
            match job.first_running_ms {
                Some(first_ms) => self.figures.reclaim_ms.push(first_ms - requested_ms),
                None if job.outcome == OutcomeCode::None => self.figures.reclaim_failures += 1,
                None => {}
            }
        }
        self.figures
    }
}
