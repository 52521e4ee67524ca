//! Feeds a seeded list of events to the pure core in virtual time.
//!
//! No cluster is simulated: workers do what they are told after a fixed time,
//! unless the list says that a worker is bad.
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

const CALL_MS: u64 = 2;
const TICK_MS: u64 = 1_000;
const SAMPLE_MS: u64 = 60_000;
const CHECKPOINT_MS: u64 = 1_000;

/// One job of the list, with what the caller does not know or say.
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
    /// Fails wherever it runs.
    pub broken: bool,
}

/// A list with the place where it runs.
#[derive(Clone, Debug)]
pub struct Mix {
    pub name: String,
    pub declaration: Declaration,
    pub workers: usize,
    pub rack_size: usize,
    pub accelerators: u16,
    pub end_ms: u64,
    pub jobs: Vec<ListedJob>,
    /// Workers that fail everything they start.
    pub bad_workers: HashSet<usize>,
    /// Shapes whose usability counts, with their weight.
    pub demand: Vec<(Shape, f64)>,
}

impl Mix {
    pub fn worker_name(at: usize) -> String {
        format!("w{at:05}")
    }

    pub fn specs(&self) -> Vec<WorkerSpec> {
        let spec = |at: usize| WorkerSpec {
            name: Self::worker_name(at),
            rack: format!("r{:05}", at / self.rack_size),
            accelerators: self.accelerators,
            leaving: false,
        };
        (0..self.workers).map(spec).collect()
    }

    pub fn submission(&self, at: usize) -> Submission {
        let job = &self.jobs[at];
        let mut submission = Submission {
            account: job.account.to_owned(),
            class: job.class.to_owned(),
            idempotency_key: at.to_string(),
            idempotent: job.idempotent,
            declared_run_ms: job.declared_run_ms,
            ..Submission::default()
        };
        submission.set_shape(job.shape);
        submission
    }

    /// Whether the job counts: the caller kept it and it could run.
    pub fn counts(&self, at: usize) -> bool {
        let job = &self.jobs[at];
        !job.broken && job.cancel_at_ms.is_none()
    }
}

/// What came of a mix.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub counted: usize,
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
    pub met_by_class: BTreeMap<&'static str, (usize, usize)>,
}

pub fn percentile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = ((sorted.len() as f64 - 1.0) * share).round() as usize;
    sorted.get(at).copied().unwrap_or(0)
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

/// A gang counts as large from this many accelerators.
pub const LARGE_ACCELERATORS: u32 = 32;

#[derive(Clone, Debug)]
enum Happening {
    Submit(usize),
    Cancel(usize),
    Member(MemberReport),
}

/// Drives one mix through the core.
pub struct Driver<'a> {
    pub mix: &'a Mix,
    pub cell: Cell,
    pub now_ms: u64,
    pub figures: Figures,
    happenings: BTreeMap<(u64, u64), Happening>,
    order: u64,
    jobs: HashMap<JobId, usize>,
    ids: HashMap<usize, JobId>,
    /// Tasks that run: when they began and with how much progress.
    tasks: HashMap<(AttemptId, u32), (u64, u64)>,
    stopped: HashSet<(AttemptId, u32)>,
    next_tick_ms: u64,
    next_sample_ms: u64,
    /// Jobs that ask for a guaranteed shape that their account does not use.
    reclaims: HashMap<JobId, u64>,
    /// Jobs of guaranteed shape that have not ended, by account and shape.
    own_shapes: HashMap<(&'static str, Shape), usize>,
    /// Called after every decision.
    pub check: Option<fn(&Cell)>,
    pub timed: bool,
}

impl<'a> Driver<'a> {
    pub fn new(mix: &'a Mix) -> Self {
        let mut driver = Self {
            mix,
            cell: Cell::new("dc", 1, Limits::default()),
            now_ms: 0,
            figures: Figures::default(),
            happenings: BTreeMap::new(),
            order: 0,
            jobs: HashMap::new(),
            ids: HashMap::new(),
            tasks: HashMap::new(),
            stopped: HashSet::new(),
            next_tick_ms: TICK_MS,
            next_sample_ms: SAMPLE_MS,
            reclaims: HashMap::new(),
            own_shapes: HashMap::new(),
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
        for (at, job) in mix.jobs.iter().enumerate() {
            driver.at(job.at_ms, Happening::Submit(at));
            if let Some(cancel_at_ms) = job.cancel_at_ms {
                driver.at(cancel_at_ms, Happening::Cancel(at));
            }
        }
        driver.timed = true;
        driver
    }

    fn at(&mut self, at_ms: u64, happening: Happening) {
        self.order += 1;
        self.happenings
            .insert((at_ms.max(self.now_ms), self.order), happening);
    }

    /// Runs until `end_ms`.
    pub fn run_until(&mut self, end_ms: u64) {
        loop {
            let next = self
                .happenings
                .first_key_value()
                .map(|(&(at_ms, _), _)| at_ms);
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
            if let Some((_, happening)) = self.happenings.pop_first() {
                self.happen(happening);
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

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Submit(at) => {
                let submission = self.mix.submission(at);
                let token = at as u64;
                self.apply(Command::Submit { token, submission });
            }
            Happening::Cancel(at) => {
                if let Some(&job) = self.ids.get(&at) {
                    self.apply(Command::Cancel {
                        token: 0,
                        account: self.mix.jobs[at].account.to_owned(),
                        jobs: vec![job],
                    });
                }
            }
            Happening::Member(report) => self.member(report),
        }
    }

    fn member(&mut self, report: MemberReport) {
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
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Accepted { token, job } => self.accepted(token as usize, job),
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
            } => self.report(attempt, worker.0, CALL_MS, MemberEvent::Reserved),
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
            Effect::Ended { job, outcome } => self.ended(job, outcome.code),
            _ => {}
        }
    }

    fn accepted(&mut self, at: usize, job: JobId) {
        self.jobs.insert(job, at);
        self.ids.insert(at, job);
        let listed = &self.mix.jobs[at];
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
        let open = self
            .own_shapes
            .entry((listed.account, listed.shape))
            .or_default();
        *open += 1;
        if *open <= usize::from(guarantee.count) {
            self.reclaims.insert(job, self.now_ms);
        }
    }

    fn report(&mut self, attempt: AttemptId, worker: u32, delay_ms: u64, event: MemberEvent) {
        let report = MemberReport {
            attempt,
            worker: Mix::worker_name(worker as usize),
            event,
        };
        self.at(self.now_ms + delay_ms, Happening::Member(report));
    }

    fn start(&mut self, attempt: AttemptId, worker: u32, progress_ms: u64) {
        let Some(&at) = self.jobs.get(&attempt.job) else {
            return;
        };
        self.tasks
            .insert((attempt, worker), (self.now_ms + CALL_MS, progress_ms));
        self.report(attempt, worker, CALL_MS, MemberEvent::Started);
        let listed = &self.mix.jobs[at];
        let bad = self.mix.bad_workers.contains(&(worker as usize)) || listed.broken;
        let left_ms = listed.actual_run_ms.saturating_sub(progress_ms).max(1);
        match bad {
            true => self.report(
                attempt,
                worker,
                CALL_MS + left_ms.min(2_000),
                MemberEvent::Failed,
            ),
            false => {
                let answer = AnswerRecord::default();
                self.report(
                    attempt,
                    worker,
                    CALL_MS + left_ms,
                    MemberEvent::Finished(answer),
                );
            }
        }
    }

    fn stop(&mut self, attempt: AttemptId, worker: u32, grace_ms: u64) {
        let Some((began_ms, progress_ms)) = self.tasks.remove(&(attempt, worker)) else {
            return self.report(attempt, worker, CALL_MS, MemberEvent::NotBegun);
        };
        self.stopped.insert((attempt, worker));
        let took_ms = CHECKPOINT_MS.min(grace_ms);
        let saved_ms = match grace_ms {
            0 => progress_ms,
            _ => progress_ms + self.now_ms.saturating_sub(began_ms),
        };
        let event = MemberEvent::Stopped {
            progress_ms: saved_ms,
        };
        self.report(attempt, worker, CALL_MS + took_ms, event);
    }

    fn ended(&mut self, id: JobId, code: OutcomeCode) {
        let Some(&at) = self.jobs.get(&id) else {
            return;
        };
        let Some(job) = self.cell.job(id) else {
            return;
        };
        self.figures.preempted += job.preemptions as usize;
        let listed = &self.mix.jobs[at];
        if let Some(open) = self.own_shapes.get_mut(&(listed.account, listed.shape)) {
            *open = open.saturating_sub(1);
        }
        if !self.mix.counts(at) {
            return;
        }
        let met = code == OutcomeCode::Served && job.ended_ms <= job.deadline_ms;
        if let Some(first_ms) = job.first_running_ms
            && job.shape.accelerators() >= LARGE_ACCELERATORS
        {
            let wait_ms = first_ms.saturating_sub(job.accepted_ms);
            self.figures.large_gang_waits_ms.push(wait_ms);
        }
        self.figures.count_met(self.mix.jobs[at].class, met);
    }

    /// Counts what was still open at the end.
    pub fn finish(mut self) -> Figures {
        let open: Vec<(usize, u64, u64, u32, Option<u64>)> = self
            .cell
            .jobs()
            .filter(|(_, job)| job.outcome == OutcomeCode::None)
            .filter_map(|(_, job)| {
                let at = *self.jobs.get(&job.id)?;
                let size = job.shape.accelerators();
                Some((
                    at,
                    job.accepted_ms,
                    job.deadline_ms,
                    size,
                    job.first_running_ms,
                ))
            })
            .collect();
        for (at, accepted_ms, deadline_ms, size, first_ms) in open {
            if !self.mix.counts(at) {
                continue;
            }
            if size >= LARGE_ACCELERATORS {
                let until_ms = first_ms.unwrap_or(self.now_ms);
                self.figures
                    .large_gang_waits_ms
                    .push(until_ms.saturating_sub(accepted_ms));
            }
            // A job whose time is not up yet neither met nor missed it.
            if deadline_ms <= self.now_ms {
                self.figures.count_met(self.mix.jobs[at].class, false);
            }
        }
        for (id, asked_ms) in std::mem::take(&mut self.reclaims) {
            let Some(job) = self.cell.job(id) else {
                continue;
            };
            match job.first_running_ms {
                Some(first_ms) => self.figures.reclaim_ms.push(first_ms - asked_ms),
                None if job.outcome == OutcomeCode::None => self.figures.reclaim_failures += 1,
                None => {}
            }
        }
        self.figures
    }
}
