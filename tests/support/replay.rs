//! A replay of loads in virtual time: streams of jobs as the users' sheets
//! describe them, on simulated workers, decided by the scheduler under one
//! rule of order or another.

#[path = "replay/emptying.rs"]
mod emptying;
#[path = "replay/figures.rs"]
mod figures;
#[path = "replay/loads.rs"]
mod loads;
#[path = "replay/worker.rs"]
mod worker;

pub use emptying::OrderFigures;
use emptying::{
    Order,
    worst_moment, //
};
pub use figures::Figures;
use fuchsiaslip::core::{
    JobId,
    WorkerKey, //
};
use fuchsiaslip::scheduler::{
    AccountDeclaration,
    Action,
    ClusterConfiguration,
    Input,
    JobRecord,
    JobSpec,
    JobStatus,
    OrderingPolicy,
    Queue,
    Resources,
    Scheduler,
    StepSpec,
    Tuning,
    WorkerInfo, //
};
use loads::{
    ACCOUNT_SHARES,
    Class,
    DATA_CENTRES,
    Site, //
};
pub use loads::{
    LOADS,
    Load,
    SIZES,
    overload, //
};
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};
use worker::SimWorker;

const BEGIN_MS: u64 = 1_000_000;
const TICK_MS: u64 = 10;
const WARM_UP_MS: u64 = 1_000;
/// Length of the stream of jobs, as of a day on the sheets.
const STREAM_MS: u64 = 34_000;
/// Time for what was accepted to end.
const AFTER_MS: u64 = 30_000;
/// Late work earns up to this many times its objective.
const LATE_FACTOR: u64 = 3;
/// How long a client tries to hand a job in.
const CLIENT_TRIES_MS: u64 = 3_000;

#[derive(Clone, Debug)]
struct SimJob {
    record: Arc<JobRecord>,
    class: usize,
    account: usize,
    arrives_ms: u64,
    /// `None` if its client gave up while the store was silent.
    accepted_ms: Option<u64>,
    objective_ms: u64,
    hopeless: bool,
    work: f64,
    first_begun: BTreeMap<u32, u64>,
    ended_ms: Option<u64>,
    /// Since when it waits within its account's guarantee.
    promised_since_ms: Option<u64>,
}

impl SimJob {
    fn is_accepted(&self, now_ms: u64) -> bool {
        self.accepted_ms.is_some_and(|at_ms| at_ms <= now_ms)
    }

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

/// A replay under way.
struct Replay {
    site: &'static Site,
    scheduler: Scheduler,
    now_ms: u64,
    random: StdRng,
    workers: Vec<SimWorker>,
    jobs: BTreeMap<JobId, SimJob>,
    polls: Vec<(WorkerKey, u64, u64)>,
    stores: Vec<(u64, JobId, u64)>,
    thrown_away_core_s: f64,
    twice: usize,
    guaranteed_wait_ms: u64,
    starts_in_silence: usize,
    /// Jobs that were accepted, in the order of their times.
    arrived: usize,
    order: Option<Order>,
    /// How long each decision took, if that is asked for.
    decisions: Option<Vec<Duration>>,
    /// The store answers nothing from the first to the second.
    silent_ms: Range<u64>,
}

/// Replays a load with the given rule of order.
pub fn replay(load: &Load, order: OrderingPolicy, seed: u64) -> Figures {
    let mut replay = Replay::begin(load, order, seed);
    if load.emptied_ms > 0 {
        replay.order = worst_moment(load, seed).map(Order::at);
    }
    replay.play(load, |_, _| {});
    replay.figures(BEGIN_MS + WARM_UP_MS)
}

/// What decisions cost on a fleet.
#[derive(Clone, Debug)]
pub struct DecisionTimes {
    /// How long each took.
    pub took: Vec<Duration>,
    /// Tasks that waited at the end.
    pub waiting: usize,
}

/// Replays the first `until_ms` of a load, and times its decisions from half of that
/// time on.
pub fn decision_times(load: &Load, seed: u64, until_ms: u64) -> DecisionTimes {
    let mut replay = Replay::begin(load, OrderingPolicy::Utility, seed);
    replay.play_to(load, until_ms / 2, |_, _| {});
    replay.decisions = Some(Vec::new());
    replay.play_to(load, until_ms, |_, _| {});
    let groups = replay.scheduler.groups();
    DecisionTimes {
        waiting: groups.map(|group| group.waiting as usize).sum(),
        took: replay.decisions.unwrap_or_default(),
    }
}

impl Replay {
    /// Plays the whole stream; `each` sees the time since it began after each tick.
    fn play(&mut self, load: &Load, each: impl FnMut(&Self, u64)) {
        self.play_to(load, STREAM_MS + AFTER_MS, each);
    }

    /// Plays on until so long after the stream began.
    fn play_to(&mut self, load: &Load, until_ms: u64, mut each: impl FnMut(&Self, u64)) {
        let (from_ms, to_ms) = (STREAM_MS / 3, 2 * STREAM_MS / 3);
        let jobs = self.jobs.iter();
        let mut arrivals: Vec<(u64, JobId)> = jobs
            .filter_map(|(&id, job)| Some((job.accepted_ms?, id)))
            .collect();
        arrivals.sort();
        let stream_ms = BEGIN_MS + WARM_UP_MS;
        let mut cancelled = self.now_ms >= stream_ms + STREAM_MS / 2;
        while self.now_ms < stream_ms + until_ms {
            self.now_ms += TICK_MS;
            let since_ms = self.now_ms.saturating_sub(stream_ms);
            self.set_bad_workers(load, (from_ms..to_ms).contains(&since_ms));
            while let Some(&(_, id)) = arrivals
                .get(self.arrived)
                .filter(|(at_ms, _)| *at_ms <= self.now_ms)
            {
                self.arrive(id);
                self.arrived += 1;
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

    /// When a job is accepted that is first handed in at `arrives_ms`; `None` if its
    /// client gives up before the store answers.
    fn accepted_ms(&self, arrives_ms: u64) -> Option<u64> {
        if !self.silent_ms.contains(&arrives_ms) {
            return Some(arrives_ms);
        }
        let in_time = self.silent_ms.end <= arrives_ms + CLIENT_TRIES_MS;
        in_time.then_some(self.silent_ms.end)
    }

    /// When the store answers what it is sent now.
    fn store_answers_ms(&self) -> u64 {
        match self.silent_ms.contains(&self.now_ms) {
            true => self.silent_ms.end,
            false => self.now_ms,
        }
    }

    fn begin(load: &Load, order: OrderingPolicy, seed: u64) -> Self {
        let site = load.site;
        let tuning = Tuning {
            order,
            stop_ms: site.stop_ms,
            reclaim_ms: site.reclaim_ms,
            checkpoint_ms: site.checkpoint_ms,
            restore_ms: site.restore_ms,
            ..Tuning::default()
        };
        let silent_from_ms = BEGIN_MS + WARM_UP_MS + STREAM_MS / 3;
        let mut replay = Self {
            site,
            scheduler: Scheduler::new(1, tuning, BEGIN_MS),
            now_ms: BEGIN_MS,
            random: StdRng::seed_from_u64(seed),
            workers: vec![SimWorker::default(); site.workers],
            jobs: BTreeMap::new(),
            polls: Vec::new(),
            stores: Vec::new(),
            thrown_away_core_s: 0.0,
            twice: 0,
            guaranteed_wait_ms: 0,
            starts_in_silence: 0,
            arrived: 0,
            order: None,
            decisions: None,
            silent_ms: silent_from_ms..silent_from_ms + load.silent_ms,
        };
        replay.tell(Input::Configure(Arc::new(configuration(site))));
        for at in 0..site.workers {
            replay.tell(Input::WorkerRegistered(worker_info(site, at)));
        }
        replay.tell(Input::StoredStateRead {
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
        self.scheduler.handle(input, self.now_ms);
    }

    /// Draws a value with the mean given, long-tailed up to `most`.
    fn draw(&mut self, mean: f64, most: f64) -> f64 {
        let uniform: f64 = self.random.random_range(0.001..1.0);
        (-uniform.ln() * mean).min(most)
    }

    fn draw_jobs(&mut self, load: &Load) {
        let site = self.site;
        let stream_ms = BEGIN_MS + WARM_UP_MS;
        let mut id = 0;
        for (class_at, class) in site.classes.iter().enumerate() {
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
        let capacity = self.site.capacity;
        let cores = capacity.cpu_millis / capacity.accelerators;
        let pick = self.random.random_range(0..class.accelerators.len());
        let accelerators = class.accelerators[pick];
        let rack = self
            .random
            .random_range(0..self.site.workers / self.site.rack);
        let near_data = self.random.random_range(0.0..1.0) < class.near_data;
        let step = StepSpec {
            count: width,
            needs: Resources {
                cpu_millis: class.cpu_millis.min(accelerators * cores),
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
            accepted_ms: self.accepted_ms(arrives_ms),
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
        self.tell(Input::JobStored {
            id,
            record,
            progress: None,
        });
    }

    fn cancel(&mut self, share: f64) {
        let open: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| self.is_open(job))
            .map(|(&id, _)| id)
            .collect();
        for id in open {
            if self.random.random_range(0.0..1.0) < share {
                self.jobs.remove(&id);
                self.tell(Input::JobCancelled(id));
            }
        }
    }

    fn set_bad_workers(&mut self, load: &Load, bad: bool) {
        let workers = self.site.workers;
        let part = |share: f64| (share * workers as f64).round() as usize;
        let (slow, failing) = (part(load.slow), part(load.failing));
        let hanging = part(load.hanging);
        for (at, worker) in self.workers.iter_mut().enumerate() {
            // Spread over the racks.
            let place = at * 7 % workers;
            let usual = self.site.slowness[at % self.site.slowness.len()];
            worker.slowness = if bad && place < slow { 6.5 } else { usual };
            worker.failing = bad && (slow..slow + failing).contains(&place);
            let from = slow + failing;
            worker.hanging = bad && (from..from + hanging).contains(&place);
        }
    }

    fn tick(&mut self) {
        if !self.silent_ms.contains(&self.now_ms) {
            self.tell(Input::EpochConfirmed(self.now_ms));
        }
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.stores)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.stores = later;
        for (_, job, change) in due {
            self.tell(Input::ProgressStored { job, change });
        }
        for at in 0..self.site.workers {
            self.end_runs(at);
        }
        for _ in 0..4 {
            let answered = self.answer_polls();
            let actions = self.decide();
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
            let view = scheduler.job_status(id);
            if job.ended_ms.is_none()
                && matches!(view, Some(JobStatus::Completed | JobStatus::Failed))
            {
                let done = view == Some(JobStatus::Completed) || job.hopeless;
                job.ended_ms = Some(if done { now_ms } else { u64::MAX });
            }
        }
        self.note_promised();
    }

    fn decide(&mut self) -> Vec<Action> {
        let began = Instant::now();
        let actions = self.scheduler.decide(self.now_ms);
        if let Some(decisions) = &mut self.decisions {
            decisions.push(began.elapsed());
        }
        actions
    }

    fn is_open(&self, job: &SimJob) -> bool {
        job.is_accepted(self.now_ms) && job.ended_ms.is_none()
    }

    /// Notes how long urgent work waits though its account's urgent work needs no
    /// more than the account's guarantee.
    fn note_promised(&mut self) {
        let mut needs = [0; ACCOUNT_SHARES.len()];
        for job in self.jobs.values().filter(|job| self.is_open(job)) {
            if self.site.classes[job.class].priority == 0 {
                needs[job.account] += job.first_step_accelerators();
            }
        }
        let (now_ms, site) = (self.now_ms, self.site);
        let urgent = self.jobs.values_mut();
        for job in urgent.filter(|job| site.classes[job.class].priority == 0) {
            let open = job.is_accepted(now_ms) && job.ended_ms.is_none();
            let within = needs[job.account] <= site.guaranteed_accelerators;
            if !open || !within || job.has_begun() {
                job.promised_since_ms = None;
                continue;
            }
            let waited_ms = now_ms - *job.promised_since_ms.get_or_insert(now_ms);
            self.guaranteed_wait_ms = self.guaranteed_wait_ms.max(waited_ms);
        }
    }
}

fn worker_info(site: &Site, at: usize) -> WorkerInfo {
    WorkerInfo {
        worker_name: format!("w{at}"),
        address: format!("w{at}:1"),
        service: "s".to_owned(),
        data_centre: DATA_CENTRES[site.data_centre(at)].to_owned(),
        labels: vec!["a".to_owned(), site.rack_of(at)],
        capacity: site.capacity,
        incarnation_start_ms: None,
        draining: false,
        remaining_ms: None,
    }
}

fn configuration(site: &Site) -> ClusterConfiguration {
    let queues = site.classes.iter().map(|class| Queue {
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
        guaranteed_accelerators: site.guaranteed_accelerators,
    });
    ClusterConfiguration {
        version: 1,
        queues: queues.collect(),
        accounts: accounts.collect(),
        ..ClusterConfiguration::default()
    }
}
