//! Finds runs that hang, stops them, and quarantines their workers.
//!
//! Workers report progress in whole percent. On some workers all runs stand still for seconds
//! while they answer normally, and a run that hangs has to be found soon where it should have
//! advanced by several percent. But work of hours takes minutes for each percent, and what its
//! caller estimates may be wrong by far. So how long a run may show no progress follows from
//! its pace: its own since the last two reports that differ, or that of other tasks of its step.
//! While nobody knows the pace, it follows from the estimate, with room for a large error.
//!
//! A task that was stopped for hanging may take twice as long the next time, since it may be slow
//! itself, and causes no second quarantine. One job causes quarantines of a part of the workers
//! only.

use super::action::StopReason;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    Group,
    GroupKey,
    Run,
    RunName,
    RunPhase,
    Worker, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};

/// Shortest time without progress after which a run counts as hanging.
const MIN_STALL_MS: u64 = 2_600;
/// Factor by which a worker may slow down while a run is on it. A run of 32 s advances every
/// [`MIN_STALL_MS`] then.
const MAX_SLOWDOWN: f64 = 8.0;
/// Factor by which run times may exceed their estimates, and a quarter for the delay of reports.
const MAX_ESTIMATE_ERROR: f64 = 50.0;
/// Most times that the allowed time is doubled.
const MAX_DOUBLINGS: u32 = 10;
/// One worker in this many may be quarantined because runs of one job hang there.
const WORKERS_PER_QUARANTINE: usize = 4;
/// Progress from which a run is not checked for hanging: it may be waiting for its end
/// or for the end of its gang.
const NEARLY_DONE_PERCENT: u32 = 98;
/// How far a member of a gang without progress has to be behind the foremost member to
/// count as hanging. The other members continue or wait at their ends.
const BEHIND_PERCENT: u32 = 10;
const PERCENT: f64 = 100.0;

impl Scheduler {
    /// Stops runs that make no progress, and quarantines their workers.
    pub(super) fn review_stalled_runs(&mut self) {
        let now_ms = self.now_ms;
        for (key, name) in self.hanging_runs() {
            let mut is_first = true;
            if let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) {
                let task = &mut group.tasks[name.task.index as usize];
                task.avoid = Some(key);
                task.avoided_ms = now_ms;
                is_first = task.hanging_stops == 0;
                task.hanging_stops += 1;
            }
            if is_first && self.may_quarantine_for(name.task.job) {
                self.quarantine(key, "stalled");
            }
            self.stop_run(key, name, StopReason::Hanging);
        }
    }

    /// Counts a quarantine for a job that hangs. Returns false if it has caused so many that the
    /// job itself may be slow.
    fn may_quarantine_for(&mut self, id: JobId) -> bool {
        let workers = self.workers.iter();
        let answering = workers.filter(|worker| worker.contact == Contact::Answering);
        let most = (answering.count() / WORKERS_PER_QUARANTINE).max(1) as u32;
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        job.quarantines += 1;
        job.quarantines <= most
    }

    /// Returns the runs that hang, with their workers.
    fn hanging_runs(&self) -> Vec<(WorkerKey, RunName)> {
        let mut hanging = Vec::new();
        for worker in &self.workers {
            if worker.failed_polls > 0 {
                continue;
            }
            for (&name, run) in &worker.runs {
                if self.is_hanging(worker, name, run) {
                    hanging.push((worker.key, name));
                }
            }
        }
        hanging
    }

    /// Whether a run makes no progress because of its worker. A run on spare cores may get
    /// no processor time for a while. A member of a gang waits for the others at its start
    /// and at its end, so it hangs only if it is behind them.
    fn is_hanging(&self, worker: &Worker, name: RunName, run: &Run) -> bool {
        let is_exempt = run.phase != RunPhase::Running
            || run.long_running
            || run.fills
            || run.percent >= NEARLY_DONE_PERCENT;
        let without_progress_ms = worker.last_response_ms.saturating_sub(run.advanced_ms);
        if is_exempt || without_progress_ms < MIN_STALL_MS {
            return false;
        }
        let Some(group) = self.groups.get(&GroupKey::of(name.task)) else {
            return false;
        };
        if group.step.gang && group.tasks.len() > 1 {
            let percents = self.members(group).map(|(_, _, run)| run.percent);
            return percents.max().unwrap_or(0) >= run.percent + BEHIND_PERCENT;
        }
        let stops = group
            .tasks
            .get(name.task.index as usize)
            .map_or(0, |task| task.hanging_stops);
        let allowed_ms = self.allowed_stall_ms(group, worker.key, run);
        without_progress_ms >= allowed_ms << stops.min(MAX_DOUBLINGS)
    }

    /// Returns how long a run may show no progress.
    fn allowed_stall_ms(&self, group: &Group, key: WorkerKey, run: &Run) -> u64 {
        let own = run.progress.percent_ms();
        let of_others = || {
            let members = self.members(group);
            let paces = members.filter_map(|(_, _, other)| other.progress.percent_ms());
            paces.max_by(f64::total_cmp)
        };
        let slowness = self.slowness(key).value();
        let estimated_ms = group.run_ms() as f64 / PERCENT * slowness;
        let allowed_ms = match own.or_else(of_others) {
            Some(percent_ms) => percent_ms * MAX_SLOWDOWN,
            None if group.run_time_learned => estimated_ms * MAX_SLOWDOWN,
            None => estimated_ms * MAX_ESTIMATE_ERROR,
        };
        (allowed_ms as u64).max(MIN_STALL_MS)
    }
}
