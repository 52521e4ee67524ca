//! A job from the moment at which the scheduler learns of it to its end: done,
//! failed or cancelled. The module `occurrence` has what runs of it between.

use super::action::{
    Decision,
    JobFailure,
    StopReason, //
};
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

/// A job whose work is this many times its queue's mean earns no more.
const MAX_WORK_RATIO: f64 = 4.0;

/// A job.
#[derive(Clone, Debug)]
pub struct GraphJob {
    /// Its name.
    pub id: JobId,
    /// What its caller asked for.
    pub record: Arc<JobRecord>,
    /// The terms of its queue; `None` while nobody could tell this owner.
    pub terms: Option<VersionedTerms>,
    /// Priority of its queue.
    pub priority: u32,
    /// When the scheduler learned of it.
    pub known_ms: u64,
    /// An earlier owner may know it as well.
    pub known_earlier: bool,
    /// Its caller cancelled it.
    pub cancelled: bool,
    /// How it ended by itself.
    pub ended: Option<FinalState>,
    /// When it ended or was cancelled.
    pub ended_ms: u64,
    /// A task has begun.
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
    /// Work of an occurrence in thousandths of a core times milliseconds.
    pub work: f64,
    /// Accelerators of its first step.
    pub first_step_accelerators: u32,
    /// Steps, shared with the groups.
    pub steps: Vec<Arc<StepSpec>>,
    /// What was stored of it, for the occurrences that open.
    pub(super) restored: Option<ProgressRecord>,
}

/// What a caller may be told of a job.
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
    /// Whether nothing of it may start any more.
    pub fn is_over(&self) -> bool {
        self.cancelled || self.ended.is_some()
    }

    /// What its caller may be told: an end only once it is durable.
    pub fn status(&self) -> JobStatus {
        match self.ended {
            _ if self.cancelled => JobStatus::Cancelled,
            Some(FinalState::Completed) if self.stored >= self.change => JobStatus::Completed,
            Some(FinalState::Failed) if self.stored >= self.change => JobStatus::Failed,
            _ if self.started => JobStatus::Running,
            _ => JobStatus::Queued,
        }
    }

    /// The terms of its queue, as far as they are known.
    pub fn terms(&self) -> Option<&QueueTerms> {
        self.terms.as_ref().map(|known| &*known.terms)
    }

    /// Whether it is urgent work that counts against its account's guarantee.
    pub fn is_urgent(&self) -> bool {
        self.priority == 0
    }
}

impl Scheduler {
    /// Takes in a stored job; one that is known stays as it is.
    pub(super) fn handle_job_stored(
        &mut self,
        id: JobId,
        record: Arc<JobRecord>,
        progress: Option<ProgressRecord>,
    ) {
        // A job that is being forgotten is read again as long as it is stored,
        // without what was noted of it; taken for a new one it would run again.
        if self.jobs.contains_key(&id) || self.deleting_jobs.contains_key(&id) {
            return;
        }
        let terms = self.terms_of(&record);
        let steps: Vec<Arc<StepSpec>> = record.spec.steps.iter().cloned().map(Arc::new).collect();
        let run_ms = |step: &StepSpec| {
            let believed = self.run_time_of(&record.queue, step.estimated_ms);
            believed.value()
        };
        let work = work_of(&steps, run_ms);
        self.note_work(&record.queue, work);
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
            done_occurrences: progress.done_occurrences.clone(),
            open_occurrences: Vec::new(),
            change: 0,
            stored: 0,
            work,
            first_step_accelerators: first
                .map_or(0, |step| step.count.saturating_mul(step.needs.accelerators)),
            steps,
            record,
            restored: Some(progress),
        };
        let over = job.is_over();
        let known = job.terms.is_some();
        self.jobs.insert(id, job);
        if !over {
            if !known {
                self.note_unknown_terms(id);
            }
            self.open_occurrences(id);
        }
        self.take_early_ends(id);
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

    /// Ends a job by itself: nothing of it starts any more.
    pub(super) fn end_job(&mut self, id: JobId, state: FinalState, failure: Option<JobFailure>) {
        let now_ms = self.now_ms;
        let job = self.job_mut(id);
        if job.is_over() {
            return;
        }
        job.ended = Some(state);
        job.ended_ms = now_ms;
        self.job_changed(id);
        let name = match state {
            FinalState::Completed => "completed",
            FinalState::Failed => "failed",
        };
        self.close_job(id, name, failure);
    }

    /// Takes in a stored cancellation.
    pub(super) fn cancel_job(&mut self, id: JobId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            self.cancelled_early.insert(id);
            self.unread_job_cancelled(id);
            return;
        };
        if job.is_over() {
            return;
        }
        job.cancelled = true;
        job.ended_ms = now_ms;
        self.close_job(id, "cancelled", None);
    }

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
        self.job_mut(id).open_occurrences.clear();
        self.changed = true;
    }

    /// Stops whatever runs of a group.
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

    /// Marks a job as changed; the change's number is returned.
    pub(super) fn job_changed(&mut self, id: JobId) -> u64 {
        let job = self.job_mut(id);
        job.change += 1;
        let change = job.change;
        self.actions.push(Action::StoreProgress { job: id });
        change
    }

    /// Everything up to `change` of a job is durable.
    pub(super) fn handle_progress_stored(&mut self, id: JobId, change: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.stored = job.stored.max(change);
        // A task that waited for its last crash to be stored may start.
        let waited = {
            let mut keys = self.groups_of(id);
            keys.any(|key| self.groups[&key].crash_change > 0)
        };
        self.changed |= waited;
        self.acknowledge_ends();
    }

    /// What has to be stored of a job, and the number of its last change.
    pub fn progress(&self, id: JobId) -> Option<(u64, ProgressRecord)> {
        let job = self.jobs.get(&id)?;
        let groups = self.groups_of(id);
        let record = ProgressRecord {
            ended: job.ended,
            done_occurrences: job.done_occurrences.clone(),
            groups: groups
                .filter_map(|key| GroupProgress::of(&self.groups[&key]))
                .collect(),
        };
        Some((job.change, record))
    }

    /// The groups of a job that are open.
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

    /// What a caller may be told of a job.
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        self.jobs.get(&id).map(GraphJob::status)
    }

    /// Accepted jobs of a queue of which no task has begun.
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| job.record.queue == queue && !job.started && !job.is_over())
            .count()
    }
}

/// Work of an occurrence in thousandths of a core times milliseconds.
fn work_of(steps: &[Arc<StepSpec>], run_ms: impl Fn(&StepSpec) -> f64) -> f64 {
    let work =
        |step: &Arc<StepSpec>| step.needs.weight() as f64 * f64::from(step.count) * run_ms(step);
    steps.iter().map(work).sum::<f64>().max(1.0)
}

/// A job's worth against the mean of its queue: small jobs have a part of
/// their own, and very large ones earn no more than four means.
pub(super) fn utility_ratio(work: f64, mean_work: f64) -> f64 {
    const FIXED_PART: f64 = 0.3;
    FIXED_PART + (1.0 - FIXED_PART) * (work / mean_work.max(1.0)).min(MAX_WORK_RATIO)
}
