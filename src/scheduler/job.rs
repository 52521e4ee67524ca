//! Tracks a job from when the scheduler learns of it until it completes, fails or is
//! cancelled. The module `occurrence` covers the runs of its occurrences.
//!
//! A job that completes or fails is shown as ended only once that is durable.

use super::action::{
    Decision,
    JobFailure,
    StopReason, //
};
use super::job_memory::JobBytes;
use super::job_progress::{
    FinalState,
    GroupProgress, //
};
use super::queue_terms::priority_under;
use super::state::Scheduler;
use super::{
    Action,
    GroupKey,
    JobRecord,
    ProgressRecord,
    QueueTerms,
    RunName,
    StepSpec,
    TaskState,
    VersionedTerms, //
};
use crate::core::JobId;
use std::sync::Arc;

/// Work beyond this many times the mean of the queue adds nothing to a job's utility.
const MAX_WORK_RATIO: f64 = 4.0;

/// A job and its state in memory.
#[derive(Clone, Debug)]
pub struct GraphJob {
    /// Its id.
    pub id: JobId,
    /// The job as it was stored when it was accepted.
    pub record: Arc<JobRecord>,
    /// The terms of its queue; `None` while they are unknown to this owner.
    pub terms: Option<VersionedTerms>,
    /// Priority of its queue.
    pub priority: u32,
    /// When the scheduler learned of it.
    pub known_ms: u64,
    /// An earlier owner may know it as well, and may have started tasks of it.
    pub known_earlier: bool,
    /// Its caller cancelled it.
    pub cancelled: bool,
    /// How it ended, unless it was cancelled.
    pub ended: Option<FinalState>,
    /// When it ended or was cancelled.
    pub ended_ms: u64,
    /// Whether a task has begun.
    pub started: bool,
    /// The next occurrence to open.
    pub next_occurrence: u32,
    /// Occurrences that are done.
    pub done_occurrences: Vec<u32>,
    /// Occurrences that are open.
    pub open_occurrences: Vec<u32>,
    /// Number of the last change that has to be stored.
    pub change: u64,
    /// Number of the last change that is durable.
    pub stored: u64,
    /// The memory that it takes.
    pub bytes: JobBytes,
    /// Work of an occurrence in thousandths of a core times milliseconds.
    pub work: f64,
    /// Accelerators that all tasks of its first step need together.
    pub first_step_accelerators: u32,
    /// Steps, shared with the groups.
    pub steps: Vec<Arc<StepSpec>>,
    /// Number of quarantines of workers on which its runs hung, under this owner.
    pub(super) quarantines: u32,
    /// Progress of the groups of occurrences that are neither open nor done.
    pub(super) unopened: Vec<GroupProgress>,
}

/// The status of a job that is reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStatus {
    /// No task has begun.
    Queued,
    /// A task has begun.
    Running,
    /// All tasks are done, durably.
    Completed,
    /// A task failed too often, durably.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl GraphJob {
    /// Returns whether the job has ended or was cancelled, so that none of its tasks may
    /// start any more.
    pub fn is_over(&self) -> bool {
        self.cancelled || self.ended.is_some()
    }

    /// Whether the job has completed or failed and all its changes are durable.
    fn is_end_shown(&self) -> bool {
        self.ended.is_some() && self.stored >= self.change
    }

    /// Returns the status that is reported to callers: completed or failed only once that
    /// is durable.
    pub fn status(&self) -> JobStatus {
        match self.ended {
            _ if self.cancelled => JobStatus::Cancelled,
            Some(FinalState::Completed) if self.is_end_shown() => JobStatus::Completed,
            Some(FinalState::Failed) if self.is_end_shown() => JobStatus::Failed,
            _ if self.started => JobStatus::Running,
            _ => JobStatus::Queued,
        }
    }

    /// Returns the terms of its queue, if they are known.
    pub fn terms(&self) -> Option<&QueueTerms> {
        self.terms.as_ref().map(|known| &*known.terms)
    }

    /// Returns whether it is urgent work, which counts against its account's guarantee.
    pub fn is_urgent(&self) -> bool {
        self.priority == 0
    }
}

impl Scheduler {
    /// Adds a stored job. A job that is known already stays as it is.
    pub(super) fn handle_job_stored(
        &mut self,
        id: JobId,
        record: Arc<JobRecord>,
        progress: Option<ProgressRecord>,
    ) {
        // A job that is being deleted may be read again while its record is still stored
        // and its progress is not. Treated as new, it would run again.
        if self.jobs.contains_key(&id) || self.deleting_jobs.contains_key(&id) {
            return;
        }
        let terms = self.terms_of(&record);
        let steps: Vec<Arc<StepSpec>> = record.spec.steps.iter().cloned().map(Arc::new).collect();
        let run_ms = |step: &StepSpec| {
            let predicted = self.run_time_of(&record.queue, step.estimated_ms);
            predicted.value()
        };
        let work = work_of(&steps, run_ms);
        self.record_work(&record.queue, work);
        let progress = progress.unwrap_or_default();
        let first = steps.first();
        let job = GraphJob {
            id,
            priority: priority_under(terms.as_ref()),
            terms,
            known_ms: self.now_ms,
            known_earlier: self.is_recovering() || self.is_unreadable(id),
            cancelled: false,
            ended: progress.ended,
            ended_ms: self.now_ms,
            started: !progress.groups.is_empty() || !progress.done_occurrences.is_empty(),
            next_occurrence: 0,
            done_occurrences: progress.done_occurrences,
            open_occurrences: Vec::new(),
            change: 0,
            stored: 0,
            work,
            first_step_accelerators: first
                .map_or(0, |step| step.count.saturating_mul(step.needs.accelerators)),
            steps,
            quarantines: 0,
            bytes: JobBytes::of(&record),
            record,
            unopened: progress.groups,
        };
        let over = job.is_over();
        let known = job.terms.is_some();
        self.job_memory.add_job(&job);
        self.jobs.insert(id, job);
        if !over {
            if !known {
                self.log_unknown_terms(id);
            }
            self.open_occurrences(id);
        }
        self.handle_early_ends(id);
        self.end_job_if_done(id);
        self.changed = true;
    }

    /// Ends a job as completed once all its occurrences are done.
    pub(super) fn end_job_if_done(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        if job.is_over() || (job.done_occurrences.len() as u32) < job.repetitions() {
            return;
        }
        self.end_job(id, FinalState::Completed, None);
    }

    /// Ends a job as completed or failed: none of its tasks starts any more.
    pub(super) fn end_job(&mut self, id: JobId, state: FinalState, failure: Option<JobFailure>) {
        let now_ms = self.now_ms;
        let job = self.job_mut(id);
        if job.is_over() {
            return;
        }
        job.ended = Some(state);
        job.ended_ms = now_ms;
        self.job_changed(id);
        self.close_job(id, state.name(), failure);
    }

    /// Applies a stored cancellation, or remembers it until the job is known.
    pub(super) fn cancel_job(&mut self, id: JobId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            self.cancelled_early.insert(id);
            self.handle_unreadable_job_cancelled(id);
            return;
        };
        if job.is_over() {
            return;
        }
        job.cancelled = true;
        job.ended_ms = now_ms;
        self.close_job(id, "cancelled", None);
    }

    /// Stops the runs of a job that has ended and removes its groups.
    fn close_job(&mut self, id: JobId, state: &'static str, failure: Option<JobFailure>) {
        self.decided(Decision::JobEnded {
            job: id,
            state,
            failure,
        });
        let keys: Vec<GroupKey> = self.groups_of(id).collect();
        for key in keys {
            self.stop_group(key, StopReason::JobOver);
            self.groups.remove(&key);
        }
        let job = self.job_mut(id);
        let open = std::mem::take(&mut job.open_occurrences).len();
        self.job_memory.job_over(&self.jobs[&id], open);
        self.changed = true;
    }

    /// Stops all runs of a group.
    pub(super) fn stop_group(&mut self, key: GroupKey, reason: StopReason) {
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let runs: Vec<_> = (0u32..)
            .zip(&group.tasks)
            .filter_map(|(index, task)| match task.state {
                TaskState::Placed { worker, run } => Some((worker, key.task(index), run)),
                _ => None,
            })
            .collect();
        for (worker, task, run) in runs {
            self.stop_run(worker, RunName { task, run }, reason);
        }
    }

    /// Requests that the changed progress of a job is stored, and returns the number of
    /// the change.
    pub(super) fn job_changed(&mut self, id: JobId) -> u64 {
        let job = self.job_mut(id);
        job.change += 1;
        let change = job.change;
        self.actions.push(Action::StoreProgress { job: id });
        change
    }

    /// Records that the progress of a job up to `change` is durable.
    pub(super) fn handle_progress_stored(&mut self, id: JobId, change: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let was_shown = job.is_end_shown();
        job.stored = job.stored.max(change);
        if !was_shown
            && job.is_end_shown()
            && let Some(ended) = job.ended
        {
            let wait_ms = self.now_ms.saturating_sub(job.ended_ms);
            self.decided(Decision::JobEndShown {
                job: id,
                state: ended.name(),
                wait_ms,
            });
        }
        // A task that waited until its last crash was stored may start now.
        let waited = {
            let mut keys = self.groups_of(id);
            keys.any(|key| self.groups[&key].crash_change > 0)
        };
        self.changed |= waited;
        self.acknowledge_ends();
    }

    /// Returns the progress of a job to be stored, with the number of its last change;
    /// `None` for an unknown job.
    pub fn progress(&self, id: JobId) -> Option<(u64, ProgressRecord)> {
        let job = self.jobs.get(&id)?;
        let groups = self.groups_of(id);
        let groups = groups.filter_map(|key| GroupProgress::of(&self.groups[&key]));
        let record = ProgressRecord {
            ended: job.ended,
            done_occurrences: job.done_occurrences.clone(),
            groups: job.unopened.iter().cloned().chain(groups).collect(),
        };
        Some((job.change, record))
    }

    /// Returns the open groups of a job.
    pub(super) fn groups_of(&self, id: JobId) -> impl Iterator<Item = GroupKey> + '_ {
        let from = GroupKey {
            job: id,
            occurrence: 0,
            step: 0,
        };
        self.groups
            .range(from..)
            .map(|(&key, _)| key)
            .take_while(move |key| key.job == id)
    }

    /// Returns the status of a job for its caller; `None` for an unknown job.
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        self.jobs.get(&id).map(GraphJob::status)
    }

    /// Counts the jobs of a queue that have not ended and of which no task has begun.
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| job.record.queue == queue && !job.started && !job.is_over())
            .count()
    }
}

/// Returns the work of an occurrence in thousandths of a core times milliseconds.
fn work_of(steps: &[Arc<StepSpec>], run_ms: impl Fn(&StepSpec) -> f64) -> f64 {
    let work =
        |step: &Arc<StepSpec>| step.needs.weight() as f64 * f64::from(step.count) * run_ms(step);
    steps.iter().map(work).sum::<f64>().max(1.0)
}

/// Returns the utility of a job in proportion to the mean of its queue. A part of it is
/// fixed, for the sake of small jobs; the rest is proportional to the work of the job, up to
/// [`MAX_WORK_RATIO`] times the mean work.
pub(super) fn utility_ratio(work: f64, mean_work: f64) -> f64 {
    const FIXED_PART: f64 = 0.3;
    FIXED_PART + (1.0 - FIXED_PART) * (work / mean_work.max(1.0)).min(MAX_WORK_RATIO)
}
