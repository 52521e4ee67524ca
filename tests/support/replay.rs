//! A replay of loads in virtual time: streams of jobs as the users' sheets
//! describe them, on simulated workers, decided by the scheduler under one
//! rule of order or another.

#[path = "replay/emptying.rs"]
mod emptying;

pub use emptying::OrderFigures;
use emptying::{
    Order,
    worst_moment, //
};
use fuchsiaslip::core::{
    JobId,
    WorkerKey, //
};
use fuchsiaslip::scheduler::{
    AccountDeclaration,
    Action,
    CallOutcome,
    ClusterConfiguration,
    EndKind,
    EndedRow,
    HoldReport,
    Input,
    JobRecord,
    JobSpec,
    JobView,
    OrderRule,
    Queue,
    Resources,
    RunName,
    RunningRow,
    Scheduler,
    StartRefusal,
    StepSpec,
    Tuning,
    WorkerInfo, //
};
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::sync::Arc;

const BEGIN_MS: u64 = 1_000_000;
const TICK_MS: u64 = 10;
const WARM_UP_MS: u64 = 1_000;
/// Length of the stream of jobs, as of a day on the sheets.
const STREAM_MS: u64 = 34_000;
/// Time for what was accepted to end.
const AFTER_MS: u64 = 30_000;
const WORKERS: usize = 48;
const RACK: usize = 8;
/// Each has as many workers, two whole racks.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const ACCELERATORS: u32 = 8;
/// Time of a stop on a worker.
const STOP_MS: u64 = 100;
/// Time of a commit.
const COMMIT_MS: u64 = 20;
const LOOK_WAIT_MS: u64 = 1_000;
const CHECKPOINT_MS: u64 = 2_000;
const RESTORE_MS: u64 = 600;
const REMOTE_FACTOR: f64 = 3.0;
const WINDOW_MS: u64 = 2_000;
/// Late work earns up to this many times its objective.
const LATE_FACTOR: u64 = 3;
/// Accounts, the first of them large.
const ACCOUNT_SHARES: [f64; 4] = [0.55, 0.2, 0.15, 0.1];
const GUARANTEED_ACCELERATORS: u32 = 48;

/// A class of work, by the sheets.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    priority: u32,
    worth: f64,
    late_worth: f64,
    per_s: f64,
    width: f64,
    max_width: f64,
    run_ms: f64,
    cpu_millis: u32,
    accelerators: &'static [u32],
    gang: bool,
    tight: f64,
    near_data: f64,
    checkpoints: f64,
    estimate_error: f64,
    stretch: f64,
    target_ms: u64,
    hopeless: f64,
}

/// The classes of the second site's sheet; the first one's differ little.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "urgent",
        priority: 0,
        worth: 4.0,
        late_worth: 0.8,
        per_s: 1.9,
        width: 3.0,
        max_width: 18.0,
        run_ms: 2_500.0,
        cpu_millis: 3_700,
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
        tight: 0.8,
        near_data: 0.0,
        checkpoints: 0.0,
        estimate_error: 0.2,
        stretch: 1.5,
        target_ms: 250,
        hopeless: 0.0,
    },
    Class {
        name: "large",
        priority: 1,
        worth: 3.0,
        late_worth: 0.9,
        per_s: 0.69,
        width: 4.0,
        max_width: 24.0,
        run_ms: 11_000.0,
        cpu_millis: 13_000,
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
        tight: 0.6,
        near_data: 0.0,
        checkpoints: 0.45,
        estimate_error: 0.2,
        stretch: 3.0,
        target_ms: 1_000,
        hopeless: 0.03,
    },
    Class {
        name: "patient",
        priority: 2,
        worth: 1.0,
        late_worth: 0.3,
        per_s: 1.06,
        width: 12.0,
        max_width: 72.0,
        run_ms: 6_100.0,
        cpu_millis: 2_800,
        accelerators: &[1],
        gang: false,
        tight: 0.0,
        near_data: 0.3,
        checkpoints: 0.45,
        estimate_error: 0.5,
        stretch: 3.0,
        target_ms: 3_000,
        hopeless: 0.03,
    },
];

/// A load, and what goes wrong with it.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub name: &'static str,
    /// All rates are multiplied by it.
    pub scale: f64,
    /// For the middle third, rates of one class are multiplied by `burst`.
    pub burst_class: usize,
    pub burst: f64,
    /// Share of workers that are slow, fail or hang in the middle third.
    pub slow: f64,
    pub failing: f64,
    pub hanging: f64,
    /// Share of jobs that are cancelled at half of the stream.
    pub cancelled: f64,
    /// How long a data centre is emptied, from the worst moment on; 0 for never.
    pub emptied_ms: u64,
}

const CALM: Load = Load {
    name: "calm",
    scale: 0.5,
    burst_class: 0,
    burst: 1.0,
    slow: 0.0,
    failing: 0.0,
    hanging: 0.0,
    cancelled: 0.0,
    emptied_ms: 0,
};

/// The loads that are replayed.
pub const LOADS: [Load; 8] = [
    CALM,
    Load {
        name: "full",
        scale: 1.0,
        ..CALM
    },
    Load {
        name: "burst_urgent",
        scale: 0.9,
        burst: 2.6,
        ..CALM
    },
    Load {
        name: "burst_large",
        scale: 0.9,
        burst_class: 1,
        burst: 2.0,
        ..CALM
    },
    Load {
        name: "slow_workers",
        scale: 0.9,
        slow: 0.17,
        ..CALM
    },
    Load {
        name: "bad_workers",
        scale: 0.9,
        failing: 0.09,
        hanging: 0.06,
        ..CALM
    },
    Load {
        name: "cancelled",
        scale: 1.2,
        cancelled: 0.3,
        ..CALM
    },
    Load {
        name: "emptied",
        scale: 1.2,
        burst: 2.0,
        emptied_ms: 8_000,
        ..CALM
    },
];

/// What a replay measured.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub jobs: usize,
    /// Share of jobs that ended within their objective, and late.
    pub on_time: f64,
    pub late: f64,
    /// Worth earned against worth owed, in all, in the two worst windows, of
    /// the worst account, of the worst class and of the largest tenth.
    pub worth: f64,
    pub worst_windows: f64,
    pub worst_account: f64,
    pub worst_class: f64,
    pub largest_tenth: f64,
    pub thrown_away_core_s: f64,
    pub reclaim_p99_ms: u64,
    /// Longest time for which an urgent job within its account's guarantee had
    /// not begun.
    pub guaranteed_wait_ms: u64,
    /// Of the operators' order, where the load has one.
    pub order: Option<OrderFigures>,
    /// Tasks that ran twice at a time; has to be 0.
    pub twice: usize,
}

#[derive(Clone, Debug)]
struct SimJob {
    record: Arc<JobRecord>,
    class: usize,
    account: usize,
    arrives_ms: u64,
    objective_ms: u64,
    hopeless: bool,
    work: f64,
    first_begun: BTreeMap<u32, u64>,
    ended_ms: Option<u64>,
    /// Since when it waits within its account's guarantee.
    promised_since_ms: Option<u64>,
}

impl SimJob {
    fn is_gang(&self) -> bool {
        self.record.spec.steps[0].gang
    }

    fn first_step_accelerators(&self) -> u32 {
        let step = &self.record.spec.steps[0];
        step.count * step.needs.accelerators
    }

    fn has_begun(&self) -> bool {
        self.first_begun.len() == self.record.spec.steps[0].count as usize
    }
}

#[derive(Clone, Debug)]
struct SimRun {
    began_ms: u64,
    /// Progress that it was started with.
    saved_ms: u64,
    ends_ms: u64,
    how: EndKind,
    stops_ms: Option<u64>,
    room: Resources,
    checkpoints: bool,
    slowness: f64,
}

#[derive(Clone, Debug, Default)]
struct SimWorker {
    running: BTreeMap<RunName, SimRun>,
    ended: Vec<EndedRow>,
    next_end: u64,
    refused: HashMap<fuchsiaslip::scheduler::TaskId, u64>,
    slowness: f64,
    failing: bool,
    hanging: bool,
}

/// A replay under way.
struct Replay {
    scheduler: Scheduler,
    now_ms: u64,
    random: StdRng,
    workers: Vec<SimWorker>,
    jobs: BTreeMap<JobId, SimJob>,
    looks: Vec<(WorkerKey, u64, u64)>,
    stores: Vec<(u64, JobId, u64)>,
    thrown_away_core_s: f64,
    twice: usize,
    guaranteed_wait_ms: u64,
    order: Option<Order>,
}

/// Replays a load with the given rule of order.
pub fn replay(load: &Load, order: OrderRule, seed: u64) -> Figures {
    let mut replay = Replay::begin(load, order, seed);
    if load.emptied_ms > 0 {
        replay.order = worst_moment(load, seed).map(Order::at);
    }
    replay.play(load, |_, _| {});
    replay.figures(BEGIN_MS + WARM_UP_MS)
}

impl Replay {
    /// Plays the whole stream; `each` sees the time since it began after each tick.
    fn play(&mut self, load: &Load, mut each: impl FnMut(&Self, u64)) {
        let (from_ms, to_ms) = (STREAM_MS / 3, 2 * STREAM_MS / 3);
        let jobs = self.jobs.iter();
        let mut arrivals: Vec<(u64, JobId)> = jobs.map(|(&id, job)| (job.arrives_ms, id)).collect();
        arrivals.sort();
        let mut next = 0;
        let stream_ms = BEGIN_MS + WARM_UP_MS;
        let mut cancelled = false;
        while self.now_ms < stream_ms + STREAM_MS + AFTER_MS {
            self.now_ms += TICK_MS;
            let since_ms = self.now_ms.saturating_sub(stream_ms);
            self.set_bad_workers(load, (from_ms..to_ms).contains(&since_ms));
            while next < arrivals.len() && arrivals[next].0 <= self.now_ms {
                self.arrive(arrivals[next].1);
                next += 1;
            }
            if !cancelled && since_ms >= STREAM_MS / 2 {
                cancelled = true;
                self.cancel(load.cancelled);
            }
            self.give_order(load, since_ms);
            self.tick();
            each(self, since_ms);
        }
    }

    fn begin(load: &Load, order: OrderRule, seed: u64) -> Self {
        let tuning = Tuning {
            order,
            ..Tuning::default()
        };
        let mut replay = Self {
            scheduler: Scheduler::new(1, tuning, BEGIN_MS),
            now_ms: BEGIN_MS,
            random: StdRng::seed_from_u64(seed),
            workers: vec![SimWorker::default(); WORKERS],
            jobs: BTreeMap::new(),
            looks: Vec::new(),
            stores: Vec::new(),
            thrown_away_core_s: 0.0,
            twice: 0,
            guaranteed_wait_ms: 0,
            order: None,
        };
        replay.tell(Input::Configure(Arc::new(configuration())));
        for at in 0..WORKERS {
            replay.tell(Input::Worker(worker_info(at)));
        }
        replay.tell(Input::Recovered {
            earlier_owner_over: true,
        });
        replay.draw_jobs(load);
        while replay.now_ms < BEGIN_MS + WARM_UP_MS {
            replay.now_ms += TICK_MS;
            replay.tick();
        }
        replay
    }

    fn tell(&mut self, input: Input) {
        self.scheduler.take(input, self.now_ms);
    }

    /// Draws a value with the mean given, long-tailed up to `most`.
    fn draw(&mut self, mean: f64, most: f64) -> f64 {
        let uniform: f64 = self.random.random_range(0.001..1.0);
        (-uniform.ln() * mean).min(most)
    }

    fn draw_jobs(&mut self, load: &Load) {
        let stream_ms = BEGIN_MS + WARM_UP_MS;
        let mut id = 0;
        for (class_at, class) in CLASSES.iter().enumerate() {
            let mut at_ms = 0.0;
            loop {
                let middle = (STREAM_MS as f64 / 3.0)..(2.0 * STREAM_MS as f64 / 3.0);
                let burst = class_at == load.burst_class && middle.contains(&at_ms);
                let factor = if burst { load.burst } else { 1.0 };
                let gap_ms = 1_000.0 / (class.per_s * load.scale * factor);
                at_ms += self.draw(gap_ms, 10.0 * gap_ms);
                if at_ms >= STREAM_MS as f64 {
                    break;
                }
                id += 1;
                let job = self.draw_job(class_at, class, stream_ms + at_ms as u64);
                self.jobs.insert(JobId(id), job);
            }
        }
    }

    fn draw_job(&mut self, class_at: usize, class: &Class, arrives_ms: u64) -> SimJob {
        let width = 1 + self.draw(class.width - 1.0, class.max_width - 1.0) as u32;
        let run_ms = (class.run_ms * self.random.random_range(0.6..1.4)) as u64;
        let error = class.estimate_error;
        let estimate = run_ms as f64 * self.random.random_range(1.0 - error..1.0 + error);
        let pick = self.random.random_range(0..class.accelerators.len());
        let accelerators = class.accelerators[pick];
        let rack = self.random.random_range(0..WORKERS / RACK);
        let near_data = self.random.random_range(0.0..1.0) < class.near_data;
        let step = StepSpec {
            count: width,
            needs: Resources {
                cpu_millis: class.cpu_millis.min(accelerators * 4_000),
                memory_mb: 4_000,
                accelerators,
            },
            estimated_ms: estimate as u64,
            gang: class.gang && width > 1,
            same_rack: self.random.random_range(0.0..1.0) < class.tight,
            data_rack: if near_data {
                format!("r{rack}")
            } else {
                String::new()
            },
            checkpoints: self.random.random_range(0.0..1.0) < class.checkpoints,
            ..StepSpec::default()
        };
        let draw: f64 = self.random.random_range(0.0..1.0);
        let mut account = 0;
        let mut sum = ACCOUNT_SHARES[0];
        while draw > sum && account + 1 < ACCOUNT_SHARES.len() {
            account += 1;
            sum += ACCOUNT_SHARES[account];
        }
        let objective_ms = (class.stretch * run_ms as f64) as u64 + class.target_ms;
        let weight = step.needs.weight() as f64 * f64::from(width) * run_ms as f64;
        SimJob {
            record: Arc::new(JobRecord {
                accepted_under: None,
                queue: class.name.to_owned(),
                account: format!("account{account}"),
                received_ms: arrives_ms,
                spec: JobSpec {
                    payload: run_ms.to_string(),
                    steps: vec![step],
                    schedule: None,
                },
            }),
            class: class_at,
            account,
            arrives_ms,
            objective_ms,
            hopeless: self.random.random_range(0.0..1.0) < class.hopeless,
            work: weight,
            first_begun: BTreeMap::new(),
            ended_ms: None,
            promised_since_ms: None,
        }
    }

    fn arrive(&mut self, id: JobId) {
        let record = self.jobs[&id].record.clone();
        self.tell(Input::Job {
            id,
            record,
            progress: None,
        });
    }

    fn cancel(&mut self, share: f64) {
        let open: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.arrives_ms <= self.now_ms && job.ended_ms.is_none())
            .map(|(&id, _)| id)
            .collect();
        for id in open {
            if self.random.random_range(0.0..1.0) < share {
                self.jobs.remove(&id);
                self.tell(Input::Cancelled(id));
            }
        }
    }

    fn set_bad_workers(&mut self, load: &Load, bad: bool) {
        let part = |share: f64| (share * WORKERS as f64).round() as usize;
        let (slow, failing) = (part(load.slow), part(load.failing));
        let hanging = part(load.hanging);
        for (at, worker) in self.workers.iter_mut().enumerate() {
            // Spread over the racks.
            let place = at * 7 % WORKERS;
            worker.slowness = if bad && place < slow { 6.5 } else { 1.0 };
            worker.failing = bad && (slow..slow + failing).contains(&place);
            let from = slow + failing;
            worker.hanging = bad && (from..from + hanging).contains(&place);
        }
    }

    fn tick(&mut self) {
        self.tell(Input::Confirmed(self.now_ms));
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.stores)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.stores = later;
        for (_, job, change) in due {
            self.tell(Input::Stored { job, change });
        }
        for at in 0..WORKERS {
            self.end_runs(at);
        }
        for _ in 0..4 {
            let answered = self.answer_looks();
            let actions = self.scheduler.decide(self.now_ms);
            let idle = actions.is_empty();
            for action in actions {
                self.carry_out(action);
            }
            if idle && !answered {
                break;
            }
        }
        let scheduler = &self.scheduler;
        for (&id, job) in &mut self.jobs {
            let view = scheduler.job_view(id);
            if job.ended_ms.is_none() && matches!(view, Some(JobView::Completed | JobView::Failed))
            {
                let done = view == Some(JobView::Completed) || job.hopeless;
                job.ended_ms = Some(if done { now_ms } else { u64::MAX });
            }
        }
        self.note_promised();
    }

    fn is_open(&self, job: &SimJob) -> bool {
        job.arrives_ms <= self.now_ms && job.ended_ms.is_none()
    }

    /// Notes how long urgent work waits though its account's urgent work needs no
    /// more than the account's guarantee.
    fn note_promised(&mut self) {
        let mut needs = [0; ACCOUNT_SHARES.len()];
        for job in self.jobs.values().filter(|job| self.is_open(job)) {
            if CLASSES[job.class].priority == 0 {
                needs[job.account] += job.first_step_accelerators();
            }
        }
        let now_ms = self.now_ms;
        let urgent = self.jobs.values_mut();
        for job in urgent.filter(|job| CLASSES[job.class].priority == 0) {
            let open = job.arrives_ms <= now_ms && job.ended_ms.is_none();
            let within = needs[job.account] <= GUARANTEED_ACCELERATORS;
            if !open || !within || job.has_begun() {
                job.promised_since_ms = None;
                continue;
            }
            let waited_ms = now_ms - *job.promised_since_ms.get_or_insert(now_ms);
            self.guaranteed_wait_ms = self.guaranteed_wait_ms.max(waited_ms);
        }
    }

    fn end_runs(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let over: Vec<(RunName, EndKind)> = self.workers[at]
            .running
            .iter()
            .filter_map(|(&name, run)| {
                if run.ends_ms <= now_ms {
                    return Some((name, run.how));
                }
                let stopped = run.stops_ms.is_some_and(|at_ms| at_ms <= now_ms);
                stopped.then_some((name, EndKind::Stopped))
            })
            .collect();
        for (name, kind) in over {
            self.end_run(at, name, kind);
            let gang = self.step_of(name).is_some_and(|step| step.gang);
            if gang {
                let others = match kind {
                    EndKind::Done => EndKind::Done,
                    _ => EndKind::Broken,
                };
                for (at, member) in self.members(name) {
                    self.end_run(at, member, others);
                }
            }
        }
    }

    fn step_of(&self, name: RunName) -> Option<&StepSpec> {
        let job = self.jobs.get(&name.task.job)?;
        job.record.spec.steps.get(name.task.step as usize)
    }

    fn members(&self, name: RunName) -> Vec<(usize, RunName)> {
        let same = |other: &RunName| other.task.job == name.task.job && other.run == name.run;
        let workers = self.workers.iter().enumerate();
        workers
            .flat_map(|(at, worker)| worker.running.keys().map(move |other| (at, *other)))
            .filter(|(_, other)| same(other))
            .collect()
    }

    fn end_run(&mut self, at: usize, name: RunName, kind: EndKind) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[at];
        let Some(run) = worker.running.remove(&name) else {
            return;
        };
        worker.refused.insert(name.task, name.run);
        let worked_ms = now_ms - run.began_ms;
        let kept_ms = match run.checkpoints {
            true => {
                let done_ms = run.saved_ms + (worked_ms as f64 / run.slowness) as u64;
                // A stop makes a checkpoint of its own.
                let exact = kind == EndKind::Stopped;
                if exact {
                    done_ms
                } else {
                    done_ms / CHECKPOINT_MS * CHECKPOINT_MS
                }
            }
            false => 0,
        };
        if kind != EndKind::Done && !run.checkpoints {
            let cores = run.room.weight() as f64 / 1_000.0;
            self.thrown_away_core_s += cores * worked_ms as f64 / 1_000.0;
        }
        let worker = &mut self.workers[at];
        worker.next_end += 1;
        worker.ended.push(EndedRow {
            number: worker.next_end,
            name,
            kind,
            checkpoint: if kept_ms > 0 {
                kept_ms.to_string().into()
            } else {
                "".into()
            },
        });
    }

    fn answer_looks(&mut self) -> bool {
        let now_ms = self.now_ms;
        let looks = std::mem::take(&mut self.looks);
        let mut answered = false;
        for (key, sent_ms, last_seen) in looks {
            let worker = &mut self.workers[key.index()];
            worker.ended.retain(|row| row.number > last_seen);
            if worker.ended.is_empty() && now_ms < sent_ms + LOOK_WAIT_MS {
                self.looks.push((key, sent_ms, last_seen));
                continue;
            }
            let running = worker.running.iter().map(|(&name, run)| {
                let whole_ms = run.ends_ms.saturating_sub(run.began_ms).max(1);
                let percent = (now_ms - run.began_ms) * 100 / whole_ms;
                RunningRow {
                    name,
                    checkpoint: "".into(),
                    percent: percent.min(99) as u32,
                    usage: None,
                }
            });
            let report = HoldReport {
                clock_ms: now_ms,
                running: running.collect(),
                ended: worker.ended.clone(),
            };
            answered = true;
            self.tell(Input::Held {
                worker: key,
                sent_ms,
                report,
            });
        }
        answered
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Hold {
                callee, last_seen, ..
            } => self.looks.push((callee.worker, self.now_ms, last_seen)),
            Action::Start {
                callee,
                name,
                checkpoint,
                ..
            } => {
                let saved_ms = checkpoint.and_then(|text| text.parse().ok()).unwrap_or(0);
                let outcome = self.start(callee.worker.index(), name, saved_ms);
                self.tell(Input::StartOver {
                    worker: callee.worker,
                    name,
                    outcome,
                });
            }
            Action::Stop { callee, name } => {
                let at_ms = self.now_ms + STOP_MS;
                let worker = &mut self.workers[callee.worker.index()];
                worker.refused.insert(name.task, name.run);
                if let Some(run) = worker.running.get_mut(&name) {
                    run.stops_ms = Some(at_ms);
                }
                self.tell(Input::StopOver {
                    worker: callee.worker,
                    name,
                    outcome: CallOutcome::Done,
                });
            }
            Action::Store { job } => {
                if let Some((change, _)) = self.scheduler.progress(job) {
                    self.stores.push((self.now_ms + COMMIT_MS, job, change));
                }
            }
            Action::StoreRoster => {
                let names = self.scheduler.roster().into_iter().map(|(name, _)| name);
                self.tell(Input::RosterStored(names.collect()));
            }
            _ => {}
        }
    }

    fn start(&mut self, at: usize, name: RunName, saved_ms: u64) -> CallOutcome {
        if let Some(order) = &mut self.order {
            order.note_start(at, self.now_ms);
        }
        let Some(step) = self.step_of(name).cloned() else {
            return CallOutcome::Refused(StartRefusal::OldRun);
        };
        let elsewhere = self.workers.iter().any(|worker| {
            let mut names = worker.running.keys();
            names.any(|other| other.task == name.task)
        });
        self.twice += usize::from(elsewhere);
        let job = &self.jobs[&name.task.job];
        let run_ms: u64 = job.record.spec.payload.parse().unwrap_or(0);
        let hopeless = job.hopeless;
        let far = !step.data_rack.is_empty() && step.data_rack != rack_of(at);
        let worker = &self.workers[at];
        let used = worker.running.values();
        let used = used.fold(Resources::default(), |sum, run| sum.plus(&run.room));
        if !capacity().minus(&used).holds(&step.needs) {
            return CallOutcome::Refused(StartRefusal::NoRoom);
        }
        let slowness = worker.slowness * if far { REMOTE_FACTOR } else { 1.0 };
        let left_ms = run_ms.saturating_sub(saved_ms);
        let restore_ms = if saved_ms > 0 { RESTORE_MS } else { 0 };
        let lasts_ms = (left_ms as f64 * slowness) as u64 + restore_ms;
        let (ends_ms, how) = match (worker.hanging, worker.failing || hopeless) {
            (true, _) => (u64::MAX / 2, EndKind::Failed),
            (false, true) => (self.now_ms + 200, EndKind::Failed),
            (false, false) => (self.now_ms + lasts_ms, EndKind::Done),
        };
        let run = SimRun {
            began_ms: self.now_ms,
            saved_ms,
            ends_ms,
            how,
            stops_ms: None,
            room: step.needs,
            checkpoints: step.checkpoints,
            slowness,
        };
        self.workers[at].running.insert(name, run);
        let now_ms = self.now_ms;
        if let Some(job) = self.jobs.get_mut(&name.task.job) {
            job.first_begun.entry(name.task.index).or_insert(now_ms);
        }
        if step.gang {
            self.pace_gang(name, &step);
        }
        CallOutcome::Done
    }

    /// A gang is as slow as its slowest member, and slow on several racks.
    fn pace_gang(&mut self, name: RunName, step: &StepSpec) {
        let members = self.members(name);
        let racks: std::collections::BTreeSet<String> =
            members.iter().map(|(at, _)| rack_of(*at)).collect();
        let spread = step.same_rack && racks.len() > 1;
        let ends_ms = members
            .iter()
            .map(|(at, member)| {
                let run = &self.workers[*at].running[member];
                let lasts_ms = run.ends_ms.saturating_sub(run.began_ms);
                match spread && run.slowness < REMOTE_FACTOR {
                    true => run.began_ms + (lasts_ms as f64 * REMOTE_FACTOR) as u64,
                    false => run.ends_ms,
                }
            })
            .max()
            .unwrap_or(0);
        let whole = members.len() == step.count as usize;
        for (at, member) in members {
            if let Some(run) = self.workers[at].running.get_mut(&member)
                && whole
                && run.how == EndKind::Done
            {
                run.ends_ms = ends_ms;
            }
        }
    }

    fn figures(&self, stream_ms: u64) -> Figures {
        let mean_work: Vec<f64> = (0..CLASSES.len())
            .map(|class| {
                let jobs = self.jobs.values().filter(|job| job.class == class);
                let (sum, count) = jobs.fold((0.0, 0.0), |(sum, count), job| {
                    (sum + job.work, count + 1.0)
                });
                sum / f64::max(count, 1.0)
            })
            .collect();
        let owed_and_earned: Vec<(&SimJob, f64, f64)> = self
            .jobs
            .values()
            .map(|job| {
                let class = &CLASSES[job.class];
                let ratio = 0.3 + 0.7 * (job.work / mean_work[job.class]).min(4.0);
                let took_ms = job
                    .ended_ms
                    .map_or(u64::MAX, |at| at.saturating_sub(job.arrives_ms));
                let earned = if took_ms <= job.objective_ms {
                    class.worth
                } else if took_ms <= LATE_FACTOR * job.objective_ms {
                    class.late_worth
                } else {
                    0.0
                };
                (job, class.worth * ratio, earned * ratio)
            })
            .collect();
        let share = |chosen: &dyn Fn(&SimJob) -> bool| {
            let rows = owed_and_earned.iter().filter(|(job, ..)| chosen(job));
            let (owed, earned) = rows.fold((0.0, 0.0), |(owed, earned), (_, own, got)| {
                (owed + own, earned + got)
            });
            if owed > 0.0 { earned / owed } else { 1.0 }
        };
        let worst = |shares: Vec<f64>| shares.into_iter().fold(1.0, f64::min);
        let mut windows: Vec<f64> = (0..STREAM_MS / WINDOW_MS)
            .map(|at| {
                let from_ms = stream_ms + at * WINDOW_MS;
                share(&|job| (from_ms..from_ms + WINDOW_MS).contains(&job.arrives_ms))
            })
            .collect();
        windows.sort_by(f64::total_cmp);
        let count = self.jobs.len().max(1) as f64;
        let ended = |late: bool| {
            let counted = self.jobs.values().filter(|job| {
                let took_ms = job.ended_ms.map(|at| at.saturating_sub(job.arrives_ms));
                took_ms.is_some_and(|took_ms| {
                    took_ms <= LATE_FACTOR * job.objective_ms
                        && (took_ms > job.objective_ms) == late
                })
            });
            counted.count() as f64 / count
        };
        let mut works: Vec<f64> = self.jobs.values().map(|job| job.work).collect();
        works.sort_by(f64::total_cmp);
        let large = works.get(works.len() * 9 / 10).copied().unwrap_or(0.0);
        Figures {
            jobs: self.jobs.len(),
            on_time: ended(false),
            late: ended(true),
            worth: share(&|_| true),
            worst_windows: windows.iter().take(2).sum::<f64>() / 2.0,
            worst_account: worst(
                (0..ACCOUNT_SHARES.len())
                    .map(|account| share(&|job| job.account == account))
                    .collect(),
            ),
            worst_class: worst(
                (0..CLASSES.len())
                    .map(|class| share(&|job| job.class == class))
                    .collect(),
            ),
            largest_tenth: share(&|job| job.work >= large),
            thrown_away_core_s: self.thrown_away_core_s,
            reclaim_p99_ms: self.reclaim_p99_ms(),
            guaranteed_wait_ms: self.guaranteed_wait_ms,
            order: self.order.as_ref().map(Order::figures),
            twice: self.twice,
        }
    }

    /// From acceptance until all first tasks of an urgent job have begun.
    fn reclaim_p99_ms(&self) -> u64 {
        let urgent = self
            .jobs
            .values()
            .filter(|job| CLASSES[job.class].priority == 0);
        let mut waits: Vec<u64> = urgent
            .map(|job| {
                let last_ms = job.first_begun.values().max().filter(|_| job.has_begun());
                let last_ms = last_ms.copied().unwrap_or(self.now_ms);
                last_ms.saturating_sub(job.arrives_ms)
            })
            .collect();
        waits.sort_unstable();
        waits.get(waits.len() * 99 / 100).copied().unwrap_or(0)
    }
}

fn rack_of(at: usize) -> String {
    format!("r{}", at / RACK)
}

fn data_centre_of(at: usize) -> &'static str {
    DATA_CENTRES[at * DATA_CENTRES.len() / WORKERS]
}

/// Accelerators that no account is guaranteed.
fn surplus_accelerators() -> u32 {
    let guaranteed = GUARANTEED_ACCELERATORS * ACCOUNT_SHARES.len() as u32;
    ACCELERATORS * WORKERS as u32 - guaranteed
}

fn capacity() -> Resources {
    Resources {
        cpu_millis: 32_000,
        memory_mb: 131_072,
        accelerators: ACCELERATORS,
    }
}

fn worker_info(at: usize) -> WorkerInfo {
    WorkerInfo {
        incarnation: format!("w{at}"),
        address: format!("w{at}:1"),
        service: "s".to_owned(),
        data_centre: data_centre_of(at).to_owned(),
        labels: vec!["a".to_owned(), rack_of(at)],
        capacity: capacity(),
        draining: false,
        remaining_ms: None,
    }
}

fn configuration() -> ClusterConfiguration {
    let queues = CLASSES.iter().map(|class| Queue {
        name: class.name.to_owned(),
        service: "s".to_owned(),
        priority: class.priority,
        max_attempts: 3,
        stretch_factor: class.stretch,
        target_latency_ms: class.target_ms,
        ..Queue::default()
    });
    let accounts = (0..ACCOUNT_SHARES.len()).map(|at| AccountDeclaration {
        name: format!("account{at}"),
        keys: Vec::new(),
        guaranteed_accelerators: GUARANTEED_ACCELERATORS,
    });
    ClusterConfiguration {
        version: 1,
        queues: queues.collect(),
        accounts: accounts.collect(),
        ..ClusterConfiguration::default()
    }
}
