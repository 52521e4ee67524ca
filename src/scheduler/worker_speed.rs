//! Learning how fast workers are, and how long tasks take, from listed progress.
//!
//! Load pattern: the workers of a service differ by half in speed and do not say
//! so, and callers' estimates are off by as much. An urgent job with half of its
//! run time to spare is late on a slow worker, and room that is expected too soon
//! is kept in vain. The members of a gang do the same amount of work, so their
//! progress compares their workers within a second or two; like tasks of a step
//! do so more roughly. Limits: progress is told in whole hundredths, so a run
//! tells only after [`TELLING_PERCENT`], and once; a worker that is slow for a while
//! is a surprise, which does not count.

use super::state::Scheduler;
use super::{
    Group,
    GroupKey,
    Run,
    RunName,
    RunPhase,
    TaskState, //
};
use crate::core::WorkerKey;

/// Spread of workers' speeds before anything is known, as a variance of
/// logarithms: a third of the workers 1.25 times as fast or slow is 0.04.
const SPEED_VARIANCE: f64 = 0.04;
/// Spread of the run times of like tasks that are no gang.
const TASK_VARIANCE: f64 = 0.09;
/// Spread of what members of a gang tell: progress in whole hundredths.
const MEMBER_VARIANCE: f64 = 0.001;
/// Progress below this tells little: a hundredth is then off by a fifteenth.
const TELLING_PERCENT: u32 = 15;
/// What is this many deviations from what is believed has another cause: a worker
/// that is slow for a while, or a wrong estimate.
const SURPRISE_DEVIATIONS: f64 = 3.0;
/// A group's run time counts as known from this variance on: within a seventh.
const KNOWN_VARIANCE: f64 = 0.02;
/// Members of a gang that differ by this factor do not tell lasting speeds, which
/// differ less: one of them is slow for a while.
const PASSING_FACTOR: f64 = 2.0;
/// An estimate of the logarithm of a factor or of a time, with its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogEstimate {
    /// The most likely value.
    pub mean: f64,
    /// How far off it may be.
    pub variance: f64,
}

impl LogEstimate {
    /// Of a worker's run times against those on a usual one.
    pub fn of_slowness() -> Self {
        Self {
            mean: 0.0,
            variance: SPEED_VARIANCE,
        }
    }

    /// The value itself.
    pub fn value(&self) -> f64 {
        self.mean.exp()
    }

    /// Takes in an observation of the same logarithm, unless it is a surprise.
    fn observe(&mut self, observed: f64, variance: f64) {
        let together = self.variance + variance;
        let surprise = observed - self.mean;
        if surprise.abs() > SURPRISE_DEVIATIONS * together.sqrt() {
            return;
        }
        let weight = self.variance / together;
        self.mean += weight * surprise;
        self.variance *= 1.0 - weight;
    }
}

/// A point of a run's progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Mark {
    percent: u32,
    /// The worker's clock.
    clock_ms: u64,
    /// When it was heard.
    heard_ms: u64,
}

/// Progress of a run, as its worker listed it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    first: Option<Mark>,
    last: Option<Mark>,
    told: bool,
}

impl Progress {
    /// Takes in what a worker lists. At both ends of their work members of a
    /// gang wait for the others, so these points tell nothing.
    pub(super) fn note(&mut self, percent: u32, clock_ms: u64, heard_ms: u64) {
        if percent == 0 || percent >= 100 {
            return;
        }
        let mark = Mark {
            percent,
            clock_ms,
            heard_ms,
        };
        self.first.get_or_insert(mark);
        self.last = Some(mark);
    }

    /// Whether the worker has reported progress other than 0 or 100 percent.
    pub(super) fn is_reported(&self) -> bool {
        self.last.is_some()
    }

    /// Time that the whole task takes there, once enough of it was seen.
    fn whole_ms(&self) -> Option<f64> {
        let (first, last) = (self.first?, self.last?);
        let percent = last.percent.saturating_sub(first.percent);
        let took_ms = last.clock_ms.saturating_sub(first.clock_ms);
        (percent >= TELLING_PERCENT).then(|| 100.0 * took_ms as f64 / f64::from(percent))
    }
}

impl Scheduler {
    /// Learns from a run's progress, which was just noted.
    pub(super) fn learn_from(&mut self, key: WorkerKey, name: RunName) {
        let Some(run) = self.worker(key).runs.get(&name) else {
            return;
        };
        if run.long_running || run.fills || run.phase != RunPhase::Running {
            return;
        }
        let Some(whole_ms) = run.progress.whole_ms() else {
            return;
        };
        if run.progress.told {
            return;
        }
        match self.groups.get(&run.group) {
            Some(group) if group.step.gang && group.tasks.len() > 1 => self.compare(run.group),
            Some(_) => self.learn_from_one(key, name, whole_ms),
            None => {}
        }
    }

    /// A run that ended before its progress told anything: its length tells.
    pub(super) fn learn_from_end(&mut self, key: WorkerKey, name: RunName) {
        let now_ms = self.now_ms;
        let Some(run) = self.worker(key).runs.get(&name) else {
            return;
        };
        let Some(group) = self.groups.get(&run.group) else {
            return;
        };
        let resumed = group.tasks.get(name.task.index as usize);
        let resumed = resumed.is_some_and(|task| task.checkpoint.is_some());
        // A gang is as slow as its slowest member: it tells of no one worker.
        let gang = group.step.gang && group.tasks.len() > 1;
        if run.progress.told || gang || resumed || run.sends != 1 || run.long_running {
            return;
        }
        let whole_ms = now_ms.saturating_sub(run.ordered_ms);
        self.learn_from_one(key, name, whole_ms.max(1) as f64);
    }

    fn learn_from_one(&mut self, key: WorkerKey, name: RunName, whole_ms: f64) {
        let Some(run) = self.worker_mut(key).runs.get_mut(&name) else {
            return;
        };
        run.progress.told = true;
        let group_key = run.group;
        let observed = whole_ms.ln();
        let slowness = self.worker(key).slowness;
        let Some(group) = self.groups.get_mut(&group_key) else {
            return;
        };
        let run_time = group.run_time;
        let task_variance = if group.tasks.len() > 1 {
            TASK_VARIANCE
        } else {
            0.0
        };
        let variance = slowness.variance + task_variance + MEMBER_VARIANCE;
        group.run_time.observe(observed - slowness.mean, variance);
        let variance = run_time.variance + task_variance + MEMBER_VARIANCE;
        let worker = self.worker_mut(key);
        worker.slowness.observe(observed - run_time.mean, variance);
        self.run_time_learned(group_key);
    }

    /// Compares the members of a gang once all of them tell something.
    fn compare(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let members: Option<Vec<(WorkerKey, RunName, f64)>> = self
            .members(group)
            .map(|(worker, name, run)| Some((worker, name, run.progress.whole_ms()?.ln())))
            .collect();
        let Some(members) = members else {
            return;
        };
        let weighed = members.iter().map(|&(worker, _, observed)| {
            let slowness = self.worker(worker).slowness;
            let precision = 1.0 / (slowness.variance + MEMBER_VARIANCE);
            (worker, observed, observed - slowness.mean, precision)
        });
        let mut weighed: Vec<(WorkerKey, f64, f64, f64)> = weighed.collect();
        weighed.sort_by(|a, b| a.2.total_cmp(&b.2));
        // The lower one in the middle: those that are slow for a while are few.
        let middle = weighed[(weighed.len() - 1) / 2].2;
        weighed.retain(|row| (row.2 - middle).abs() < PASSING_FACTOR.ln());
        let prior = group.run_time;
        let precision = 1.0 / prior.variance + weighed.iter().map(|row| row.3).sum::<f64>();
        let sum =
            prior.mean / prior.variance + weighed.iter().map(|row| row.2 * row.3).sum::<f64>();
        for &(worker, observed, apart, own) in &weighed {
            // What the others and the estimate say of the run time, without this one.
            let others = precision - own;
            let run_time = (sum - apart * own) / others;
            let worker = self.worker_mut(worker);
            let variance = 1.0 / others + MEMBER_VARIANCE;
            worker.slowness.observe(observed - run_time, variance);
        }
        for (worker, name, _) in members {
            if let Some(run) = self.worker_mut(worker).runs.get_mut(&name) {
                run.progress.told = true;
            }
        }
        if let Some(group) = self.groups.get_mut(&key) {
            group.run_time = LogEstimate {
                mean: sum / precision,
                variance: 1.0 / precision,
            };
        }
        self.run_time_learned(key);
    }

    /// A group's run time became better known: its job's objective follows, and
    /// so does what is believed of its queue's estimates.
    fn run_time_learned(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let (known, estimated_ms) = (group.run_time, group.step.estimated_ms);
        if known.variance <= KNOWN_VARIANCE && !group.run_time_noted {
            let queue = self.jobs[&key.job].record.queue.clone();
            let history = self.history.entry(queue).or_default();
            history.run_times.note(estimated_ms, known.mean);
            if let Some(group) = self.groups.get_mut(&key) {
                group.run_time_noted = true;
            }
        }
        self.refresh_objective(key.job, key.occurrence);
    }

    /// The runs of a group that are on workers.
    pub(super) fn members<'a>(
        &'a self,
        group: &'a Group,
    ) -> impl Iterator<Item = (WorkerKey, RunName, &'a Run)> + 'a {
        (0u32..).zip(&group.tasks).filter_map(|(index, task)| {
            let TaskState::Placed { worker, run } = task.state else {
                return None;
            };
            let name = RunName {
                task: group.key.task(index),
                run,
            };
            let run = self.worker(worker).runs.get(&name)?;
            Some((worker, name, run))
        })
    }

    /// Time that a run still takes, by its own progress or that of its like.
    pub(super) fn left_ms(&self, key: WorkerKey, run: &Run) -> u64 {
        self.expected_run_end_ms(key, run)
            .saturating_sub(self.now_ms)
    }

    /// When a run is expected to end, by its own progress or that of like tasks.
    pub(super) fn expected_run_end_ms(&self, key: WorkerKey, run: &Run) -> u64 {
        let worker = self.worker(key);
        let group = self.groups.get(&run.group);
        let usual_ms = group.map_or(0.0, |group| group.run_time.value()) * worker.slowness.value();
        let whole_ms = run.progress.whole_ms().unwrap_or(usual_ms);
        if run.percent >= 100 {
            return run.advanced_ms;
        }
        let (done, since_ms) = match run.progress.last {
            Some(mark) => (f64::from(mark.percent) / 100.0, mark.heard_ms),
            None => (0.0, run.ordered_ms),
        };
        since_ms + (whole_ms * (1.0 - done)) as u64
    }
}
