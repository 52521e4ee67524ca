//! Learns how fast workers are and how long tasks take from the progress of runs.
//!
//! Load pattern: the workers of a service differ in speed and do not report it, and
//! callers' estimates are off. An urgent job whose slack is half its run time is late on a
//! slow worker, and capacity that is expected too soon is reserved in vain. The members of
//! a gang do the same amount of work, so their progress compares their workers within a
//! second or two; the tasks of other steps do so less exactly. Limits: progress is
//! reported in whole percent, so a run is used a single time, after it has advanced by
//! [`MIN_OBSERVED_PERCENT`].

use super::action::Decision;
use super::fleet_speeds::{
    GangMember,
    LIKENESSES,
    compare_members, //
};
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    Group,
    GroupKey,
    Run,
    RunName,
    RunPhase,
    TaskState,
    Worker, //
};
use crate::core::WorkerKey;
use std::collections::{
    BTreeMap,
    hash_map::DefaultHasher, //
};
use std::hash::{
    Hash,
    Hasher, //
};

/// Variance of the logarithms of the run times of the tasks of a step that is no gang.
const TASK_VARIANCE: f64 = 0.09;
/// Variance of the logarithm of a run time projected from progress, which is reported in
/// whole percent.
const PROGRESS_VARIANCE: f64 = 0.001;
/// Progress from which a run time is projected. With less, the rounding to whole percent
/// alone can put the run time off by more than a fifteenth.
const MIN_OBSERVED_PERCENT: u32 = 15;
/// An observation that is more than this many standard deviations from the estimate has
/// another cause, such as a worker that is slow for a while or a wrong estimate.
const OUTLIER_DEVIATIONS: f64 = 3.0;
/// A group's run time counts as known up to this variance: within a seventh.
const KNOWN_VARIANCE: f64 = 0.02;
/// Once a member of a gang has got this far, those that have not reported enough progress
/// are not waited for. Comparing sooner would leave out the slow ones.
const LEADING_PERCENT: u32 = 60;
/// Interval between estimations of how far the workers differ.
const SPREAD_INTERVAL_MS: u64 = 250;
/// Change of the spread, as a factor, that is logged.
const LOGGED_CHANGE: f64 = 1.25;

/// An estimate of the logarithm of a factor or of a time, with its variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogEstimate {
    /// The most likely value of the logarithm.
    pub mean: f64,
    /// The variance of the logarithm.
    pub variance: f64,
}

impl LogEstimate {
    /// Returns the factor or time itself, not its logarithm.
    pub fn value(&self) -> f64 {
        self.mean.exp()
    }

    /// Updates the estimate by an observation of the same logarithm with its variance,
    /// unless the observation is an outlier.
    fn observe(&mut self, observed: f64, variance: f64) {
        let total_variance = self.variance + variance;
        let deviation = observed - self.mean;
        if deviation.abs() > OUTLIER_DEVIATIONS * total_variance.sqrt() {
            return;
        }
        let weight = self.variance / total_variance;
        self.mean += weight * deviation;
        self.variance *= 1.0 - weight;
    }
}

/// A point of a run's progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ProgressPoint {
    percent: u32,
    /// Time of the report on the worker's clock.
    clock_ms: u64,
    /// Time at which the report was received.
    received_ms: u64,
}

/// Progress of a run, as its worker listed it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    first: Option<ProgressPoint>,
    last: Option<ProgressPoint>,
    /// The estimates have been updated by this run; each run is used once.
    learned: bool,
}

impl Progress {
    /// Records the progress that a worker lists. 0 and 100 percent are ignored: there the
    /// members of a gang wait for each other, so the times say nothing about speed.
    pub(super) fn record(&mut self, percent: u32, clock_ms: u64, received_ms: u64) {
        if percent == 0 || percent >= 100 {
            return;
        }
        let point = ProgressPoint {
            percent,
            clock_ms,
            received_ms,
        };
        self.first.get_or_insert(point);
        self.last = Some(point);
    }

    /// Returns the time that a percent takes on its worker, once two reports differ.
    pub(super) fn percent_ms(&self) -> Option<f64> {
        let (first, last) = (self.first?, self.last?);
        let percent = last.percent.saturating_sub(first.percent);
        let elapsed_ms = last.clock_ms.saturating_sub(first.clock_ms);
        (percent > 0).then(|| elapsed_ms as f64 / f64::from(percent))
    }

    /// Returns the projected run time of the whole task on its worker, once enough
    /// progress was reported.
    fn projected_run_ms(&self) -> Option<f64> {
        let (first, last) = (self.first?, self.last?);
        let percent = last.percent.saturating_sub(first.percent);
        let elapsed_ms = last.clock_ms.saturating_sub(first.clock_ms);
        (percent >= MIN_OBSERVED_PERCENT && elapsed_ms > 0)
            .then(|| 100.0 * elapsed_ms as f64 / f64::from(percent))
    }
}

impl Scheduler {
    /// Returns the logarithm of the factor by which run times on a worker exceed those on a
    /// usual one.
    pub(super) fn slowness(&self, key: WorkerKey) -> LogEstimate {
        self.worker(key).speed.estimate()
    }

    /// Returns what the runs on a worker show of its slowness; `None` if nothing was
    /// observed. It leaves out what is assumed from other workers, so the next owner can
    /// take it over by [`Scheduler::restore_slowness`].
    pub fn learned_slowness(&self, key: WorkerKey) -> Option<LogEstimate> {
        self.worker(key).speed.observed()
    }

    /// Takes over what an earlier owner observed of a worker, unless this owner has
    /// observed it already. [`Scheduler::estimate_speeds`] has to follow.
    pub fn restore_slowness(&mut self, key: WorkerKey, observed: LogEstimate) {
        let now_ms = self.now_ms;
        self.worker_mut(key).speed.restore(observed, now_ms);
    }

    /// Estimates anew how far the workers differ, and each worker's slowness by it.
    pub fn estimate_speeds(&mut self) {
        self.speeds.estimate_at_ms = self.now_ms + SPREAD_INTERVAL_MS;
        let mut rows: Vec<_> = self
            .workers
            .iter_mut()
            .map(|worker| {
                let groups = likeness_groups(worker);
                (&mut worker.speed, groups)
            })
            .collect();
        self.speeds.estimate(&mut rows);
        let change = self.speeds.spread / self.speeds.logged_spread;
        let more_known = self.speeds.known > 2 * self.speeds.logged_known;
        if more_known || change.max(1.0 / change) >= LOGGED_CHANGE {
            self.speeds.logged_spread = self.speeds.spread;
            self.speeds.logged_known = self.speeds.known;
            let decision = Decision::SpeedsLearned {
                deviation: self.speeds.spread.sqrt(),
                known: self.known_worker_count(),
                likeness: self.speeds.likeness,
            };
            self.decided(decision);
        }
    }

    /// Counts the present workers of which runs have shown something. The spread is estimated
    /// from those that are gone as well.
    fn known_worker_count(&self) -> usize {
        let workers = self.workers.iter();
        let known = workers
            .filter(|worker| worker.contact != Contact::Gone && worker.speed.observed().is_some());
        known.count()
    }

    /// Adds an observation of a worker's slowness.
    fn observe_slowness(&mut self, key: WorkerKey, observed: LogEstimate) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        let name = worker.name();
        if let Some(change) = worker.speed.observe(observed, now_ms) {
            self.decided(Decision::SpeedChanged {
                worker: name,
                change,
            });
        }
        if now_ms >= self.speeds.estimate_at_ms {
            self.estimate_speeds();
        }
    }

    /// Updates the estimates by a run's progress, which was just recorded.
    pub(super) fn learn_from(&mut self, key: WorkerKey, name: RunName) {
        let Some(run) = self.worker(key).runs.get(&name) else {
            return;
        };
        if run.long_running || run.fills || run.phase != RunPhase::Running {
            return;
        }
        let Some(run_ms) = run.progress.projected_run_ms() else {
            return;
        };
        if run.progress.learned {
            return;
        }
        match self.groups.get(&run.group) {
            Some(group) if group.step.gang && group.tasks.len() > 1 => {
                self.learn_from_gang(run.group)
            }
            Some(_) => self.learn_from_run(key, name, run_ms),
            None => {}
        }
    }

    /// Updates the estimates by the length of a run that ended before enough progress was
    /// reported.
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
        // A gang is as slow as its slowest member, so its length does not show the speed
        // of any one worker.
        let gang = group.step.gang && group.tasks.len() > 1;
        if run.progress.learned || gang || resumed || run.sends != 1 || run.long_running {
            return;
        }
        let run_ms = now_ms.saturating_sub(run.ordered_ms);
        self.learn_from_run(key, name, run_ms.max(1) as f64);
    }

    /// Updates the estimates of a run's group and worker by its run time.
    fn learn_from_run(&mut self, key: WorkerKey, name: RunName, run_ms: f64) {
        let Some(run) = self.worker_mut(key).runs.get_mut(&name) else {
            return;
        };
        run.progress.learned = true;
        let group_key = run.group;
        let observed = run_ms.ln();
        let slowness = self.slowness(key);
        let rack = self.worker(key).rack().clone();
        let Some(group) = self.groups.get_mut(&group_key) else {
            return;
        };
        let data_rack = group.step.data_rack.as_str();
        let far_from_data = !data_rack.is_empty() && data_rack != rack.as_ref();
        let run_time = group.run_time;
        let task_variance = if group.tasks.len() > 1 {
            TASK_VARIANCE
        } else {
            0.0
        };
        let variance = slowness.variance + task_variance + PROGRESS_VARIANCE;
        group.run_time.observe(observed - slowness.mean, variance);
        let variance = run_time.variance + task_variance + PROGRESS_VARIANCE;
        // A run far from its data shows the way to the data, not the worker's speed.
        if !far_from_data {
            let mean = observed - run_time.mean;
            self.observe_slowness(key, LogEstimate { mean, variance });
        }
        self.apply_run_time(group_key);
    }

    /// Updates the estimates of a gang and its workers by comparing the members, once
    /// enough of them have reported enough progress.
    fn learn_from_gang(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let (mut members, mut reported, mut farthest, mut known) = (0, Vec::new(), 0, false);
        for (worker, name, run) in self.members(group) {
            members += 1;
            farthest = farthest.max(run.percent);
            known |= run.progress.learned;
            if let Some(run_ms) = run.progress.projected_run_ms() {
                reported.push((worker, name, run_ms.ln(), run.progress.learned));
            }
        }
        let enough = 2 * reported.len() > members && farthest >= LEADING_PERCENT;
        if !known && reported.len() < members && !enough {
            return;
        }
        if known {
            // The others are known, so the late ones are compared with them.
            reported.retain(|&(.., learned)| !learned);
        }
        // The mean logarithm of the run times on each worker.
        let mut sums: BTreeMap<WorkerKey, (f64, f64)> = BTreeMap::new();
        for &(worker, _, observed, _) in &reported {
            let sum = sums.entry(worker).or_default();
            *sum = (sum.0 + observed, sum.1 + 1.0);
        }
        let rows = sums.iter().map(|(&worker, &(sum, count))| GangMember {
            slowness: self.slowness(worker),
            known: self.learned_slowness(worker).is_some(),
            run_time: LogEstimate {
                mean: sum / count,
                variance: PROGRESS_VARIANCE / count,
            },
        });
        let rows: Vec<GangMember> = rows.collect();
        let (run_time, shown) = compare_members(group.run_time, &rows);
        let workers: Vec<WorkerKey> = sums.into_keys().collect();
        for (worker, observed) in workers.into_iter().zip(shown) {
            self.observe_slowness(worker, observed);
        }
        for (worker, name, ..) in reported {
            if let Some(run) = self.worker_mut(worker).runs.get_mut(&name) {
                run.progress.learned = true;
            }
        }
        if let Some(group) = self.groups.get_mut(&key) {
            group.run_time = run_time;
        }
        self.apply_run_time(key);
    }

    /// Updates what depends on a group's run time after its estimate has changed: its
    /// job's objective and, once the run time is known, the model of its queue.
    fn apply_run_time(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let (known, estimated_ms) = (group.run_time, group.step.estimated_ms);
        if known.variance <= KNOWN_VARIANCE && !group.run_time_learned {
            let queue = self.jobs[&key.job].record.queue.clone();
            let history = self.history.entry(queue).or_default();
            history.run_times.observe(estimated_ms, known.mean);
            if let Some(group) = self.groups.get_mut(&key) {
                group.run_time_learned = true;
            }
        }
        self.refresh_objective(key.job, key.occurrence);
    }

    /// Returns the runs of a group that are on workers.
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

    /// Returns the run time that a run has left, by its own progress or that of similar
    /// tasks.
    pub(super) fn left_ms(&self, key: WorkerKey, run: &Run) -> u64 {
        self.expected_run_end_ms(key, run)
            .saturating_sub(self.now_ms)
    }

    /// Returns when a run is expected to end, by its own progress or that of similar
    /// tasks.
    pub(super) fn expected_run_end_ms(&self, key: WorkerKey, run: &Run) -> u64 {
        let group = self.groups.get(&run.group);
        let usual_ms =
            group.map_or(0.0, |group| group.run_time.value()) * self.slowness(key).value();
        let run_ms = run.progress.projected_run_ms().unwrap_or(usual_ms);
        if run.percent >= 100 {
            return run.advanced_ms;
        }
        let (done, since_ms) = match run.progress.last {
            Some(point) => (f64::from(point.percent) / 100.0, point.received_ms),
            None => (0.0, run.ordered_ms),
        };
        since_ms + (run_ms * (1.0 - done)) as u64
    }
}

/// Returns the groups in which a worker is with workers like it: by kind, which is its
/// labels but the rack, by rack and by data centre.
fn likeness_groups(worker: &Worker) -> [u64; LIKENESSES] {
    let hash = |parts: &[&str]| {
        let mut hasher = DefaultHasher::new();
        parts.hash(&mut hasher);
        hasher.finish()
    };
    let rack: &str = worker.rack();
    let labels = worker.info.labels.iter().map(String::as_str);
    let kind: Vec<&str> = labels.filter(|label| *label != rack).collect();
    let data_centre = worker.info.data_centre.as_str();
    [
        hash(&kind),
        hash(&[data_centre, rack]),
        hash(&[data_centre]),
    ]
}
