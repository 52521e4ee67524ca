//! A job and its way through its occurrences.

use super::action::{
    Decision,
    JobFailure,
    StopReason, //
};
use super::progress::{
    FinalState,
    GroupProgress, //
};
use super::state::Scheduler;
use super::terms::priority_under;
use super::{
    Action,
    Belief,
    Group,
    GroupKey,
    JobRecord,
    ProgressRecord,
    QueueTerms,
    RunName,
    RunPhase,
    StepSpec,
    Task,
    TaskState,
    VersionedTerms, //
};
use crate::core::JobId;
use std::sync::Arc;

/// Occurrences of one job that are kept in memory at a time; later ones wait.
const MAX_OPEN_OCCURRENCES: usize = 64;
/// A step wider than this part of the fleet's room runs in waves.
const WAVE_SHARE: f64 = 0.25;
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
    restored: Option<ProgressRecord>,
}

/// What a caller may be told of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobView {
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
    fn repetitions(&self) -> u32 {
        let schedule = self.record.spec.schedule.as_ref();
        schedule.map_or(1, |schedule| schedule.repetitions.max(1))
    }

    /// Whether an occurrence is open, or was.
    fn has_opened(&self, occurrence: u32) -> bool {
        self.done_occurrences.contains(&occurrence) || self.open_occurrences.contains(&occurrence)
    }

    /// When an occurrence is due.
    fn due_ms(&self, occurrence: u32, now_ms: u64) -> u64 {
        match &self.record.spec.schedule {
            Some(schedule) => schedule.due_ms(occurrence),
            None => self.record.received_ms.min(now_ms),
        }
    }

    /// Whether nothing of it may start any more.
    pub fn is_over(&self) -> bool {
        self.cancelled || self.ended.is_some()
    }

    /// What its caller may be told: an end only once it is durable.
    pub fn view(&self) -> JobView {
        match self.ended {
            _ if self.cancelled => JobView::Cancelled,
            Some(FinalState::Completed) if self.stored >= self.change => JobView::Completed,
            Some(FinalState::Failed) if self.stored >= self.change => JobView::Failed,
            _ if self.started => JobView::Running,
            _ => JobView::Queued,
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
    pub(super) fn take_job(
        &mut self,
        id: JobId,
        record: Arc<JobRecord>,
        progress: Option<ProgressRecord>,
    ) {
        // A job that is being forgotten is read again as long as it is stored,
        // without what was noted of it; taken for a new one it would run again.
        if self.jobs.contains_key(&id) || self.leaving_jobs.contains_key(&id) {
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

    /// Opens the occurrences that are due and asks to be woken for the next.
    pub(super) fn open_occurrences(&mut self, id: JobId) {
        loop {
            let Some(job) = self.jobs.get(&id) else {
                return;
            };
            if job.is_over() || job.next_occurrence >= job.repetitions() {
                return;
            }
            let occurrence = job.next_occurrence;
            if job.has_opened(occurrence) {
                self.job_mut(id).next_occurrence += 1;
                continue;
            }
            let due_ms = job.due_ms(occurrence, self.now_ms);
            if due_ms > self.now_ms || job.open_occurrences.len() >= MAX_OPEN_OCCURRENCES {
                self.due.insert((due_ms.max(self.now_ms + 1), id));
                return;
            }
            self.job_mut(id).next_occurrence += 1;
            self.open_occurrence(id, occurrence, due_ms);
        }
    }

    /// Opens the occurrence of an end that was listed, unless it was open: an
    /// earlier owner ran it, by a clock that was ahead or since others were done.
    /// Not counted, the end would be lost, and its task would run again when the
    /// occurrence opens.
    pub(super) fn open_for_end(&mut self, key: GroupKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (id, occurrence) = (key.job, key.occurrence);
        let is_one = occurrence < job.repetitions();
        if is_one && !job.is_over() && !job.has_opened(occurrence) {
            let due_ms = job.due_ms(occurrence, self.now_ms);
            self.open_occurrence(id, occurrence, due_ms);
        }
    }

    fn open_occurrence(&mut self, id: JobId, occurrence: u32, due_ms: u64) {
        let job = &self.jobs[&id];
        let run_times: Vec<Belief> = job
            .steps
            .iter()
            .map(|step| self.run_time_of(&job.record.queue, step.estimated_ms))
            .collect();
        let length_ms = self.objective_length_ms(job, &run_times);
        let opened = Decision::JobOpened {
            job: id,
            occurrence,
            record: job.record.clone(),
            priority: job.priority,
            age_ms: self.now_ms.saturating_sub(due_ms),
            objective_ms: length_ms,
            max_attempts: job.terms().map_or(0, |terms| terms.max_attempts),
            configuration_version: self.configuration.version,
        };
        // A job that did not read may run where this owner cannot look yet.
        let late = self.is_unread(id) && self.blind_until_ms.is_some();
        let blind = self.is_blind() || late;
        let mut groups = Vec::new();
        for (at, step) in job.steps.iter().enumerate() {
            let key = GroupKey {
                job: id,
                occurrence,
                step: at as u32,
            };
            let mut group = Group {
                key,
                room: step.room(),
                tasks: vec![Task::default(); step.count as usize],
                waiting: step.count,
                done: 0,
                released_ms: if step.after.is_empty() {
                    due_ms
                } else {
                    u64::MAX
                },
                objective_ms: due_ms + length_ms,
                objective_length_ms: length_ms,
                run_time: run_times[at],
                run_time_noted: false,
                gang_run: None,
                gang_ending: false,
                blind,
                advice: Default::default(),
                preempted: 0,
                preempt_at_ms: 0,
                claims: Vec::new(),
                step: step.clone(),
            };
            let restored = job.restored.as_ref().and_then(|record| record.group(key));
            if let Some(progress) = restored {
                progress.restore(&mut group);
            }
            groups.push(group);
        }
        self.decided(opened);
        for group in groups {
            let key = group.key;
            self.groups.insert(key, group);
            self.claim_found_runs(key);
        }
        self.job_mut(id).open_occurrences.push(occurrence);
        for step in 0..self.jobs[&id].steps.len() as u32 {
            self.release_after(GroupKey {
                job: id,
                occurrence,
                step,
            });
        }
        self.end_occurrence_if_done(id, occurrence);
        self.changed = true;
    }

    /// Runs of an earlier owner that were found before their job was known are
    /// being stopped; their tasks wait for them, or they would run twice.
    fn claim_found_runs(&mut self, key: GroupKey) {
        let first = RunName {
            task: key.task(0),
            run: 0,
        };
        let mut found: Vec<_> = self
            .workers
            .iter()
            .flat_map(|worker| {
                let runs = worker.runs.range(first..);
                let own = runs.take_while(|(name, _)| GroupKey::of(name.task) == key);
                own.map(|(name, run)| (worker.key, *name, run.phase != RunPhase::Unseen))
            })
            .collect();
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        // An owner gives a run only after those before it are over, so of runs that
        // were only noted the newest holds the task: held by an earlier one, the
        // task would start again once that is known to be over.
        found.sort_by_key(|(_, name, _)| std::cmp::Reverse(name.run));
        let newest = found.first().map_or(0, |(_, name, _)| name.run);
        for (worker, name, seen) in found {
            let index = name.task.index;
            let Some(task) = group.tasks.get_mut(index as usize) else {
                continue;
            };
            let older = name.run < task.last_run || (group.step.gang && name.run < newest);
            let over = !seen && older;
            task.last_run = task.last_run.max(name.run);
            if over || task.state != TaskState::Waiting {
                continue;
            }
            let run = name.run;
            group.set_state(index, TaskState::Placed { worker, run });
            if group.step.gang {
                group.gang_run = Some(run);
                // What was seen is being stopped; what was not may go on.
                group.gang_ending |= seen;
            }
        }
    }

    /// The time that a job has until it is late; the chain of its work alone
    /// while the terms of its queue are not known.
    fn objective_length_ms(&self, job: &GraphJob, run_times: &[Belief]) -> u64 {
        let chain_ms = self.chain_ms(&job.steps, run_times);
        let (stretch, extra_ms) = job.terms().map_or((1.0, 0), |terms| {
            (terms.stretch_factor.max(1.0), terms.target_latency_ms)
        });
        (stretch * chain_ms) as u64 + extra_ms
    }

    /// Reckons the objective of an occurrence anew, since more is known of how
    /// long its tasks take: the operators' terms go by the true work.
    pub(super) fn refresh_objective(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let keys = (0..job.steps.len() as u32).map(|step| GroupKey {
            job: id,
            occurrence,
            step,
        });
        let groups = keys.clone().map(|key| self.groups.get(&key));
        let run_times: Option<Vec<Belief>> = groups.map(|group| Some(group?.run_time)).collect();
        let Some(run_times) = run_times else {
            return;
        };
        let length_ms = self.objective_length_ms(job, &run_times);
        for key in keys {
            if let Some(group) = self.groups.get_mut(&key) {
                let due_ms = group.objective_ms - group.objective_length_ms;
                group.objective_ms = due_ms + length_ms;
                group.objective_length_ms = length_ms;
            }
        }
    }

    /// The longest chain of work, wide steps in waves.
    fn chain_ms(&self, steps: &[Arc<StepSpec>], run_times: &[Belief]) -> f64 {
        let room = self.room_for_terms();
        let mut ends: Vec<f64> = Vec::with_capacity(steps.len());
        for (step, run_time) in steps.iter().zip(run_times) {
            let begins = step.after.iter().map(|&at| ends.get(at as usize).copied());
            let begin = begins.flatten().fold(0.0, f64::max);
            let fits = f64::from(room.times(&step.room()).max(1)) * WAVE_SHARE;
            let waves = (f64::from(step.count) / fits.max(1.0)).ceil().max(1.0);
            ends.push(begin + run_time.value() * waves);
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Releases the steps that only waited for `done`, or `done` itself if it
    /// waits for nothing that is open.
    pub(super) fn release_after(&mut self, done: GroupKey) {
        let Some(job) = self.jobs.get(&done.job) else {
            return;
        };
        let key_of = |step: u32| GroupKey { step, ..done };
        let is_done = |step: u32| self.groups.get(&key_of(step)).is_none_or(Group::is_done);
        let ready: Vec<u32> = (0..job.steps.len() as u32)
            .filter(|&step| {
                let after = &job.steps[step as usize].after;
                !after.is_empty() && after.iter().all(|&before| is_done(before))
            })
            .collect();
        for step in ready {
            if let Some(group) = self.groups.get_mut(&key_of(step))
                && group.released_ms == u64::MAX
            {
                group.released_ms = self.now_ms;
                self.changed = true;
            }
        }
    }

    /// Follows up on a group whose last task is done.
    pub(super) fn group_done(&mut self, key: GroupKey) {
        self.release_after(key);
        self.end_occurrence_if_done(key.job, key.occurrence);
    }

    fn end_occurrence_if_done(&mut self, id: JobId, occurrence: u32) {
        let steps = self.jobs.get(&id).map_or(0, |job| job.steps.len() as u32);
        let keys = (0..steps).map(|step| GroupKey {
            job: id,
            occurrence,
            step,
        });
        let all_done = keys
            .clone()
            .all(|key| self.groups.get(&key).is_some_and(Group::is_done));
        if !all_done {
            return;
        }
        for key in keys {
            self.groups.remove(&key);
        }
        let job = self.job_mut(id);
        job.open_occurrences.retain(|&open| open != occurrence);
        if !job.done_occurrences.contains(&occurrence) {
            job.done_occurrences.push(occurrence);
        }
        self.end_job_if_done(id);
    }

    fn end_job_if_done(&mut self, id: JobId) {
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
        self.actions.push(Action::Store { job: id });
        change
    }

    /// Everything up to `change` of a job is durable.
    pub(super) fn stored(&mut self, id: JobId, change: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.stored = job.stored.max(change);
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
    pub fn job_view(&self, id: JobId) -> Option<JobView> {
        self.jobs.get(&id).map(GraphJob::view)
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
pub(super) fn worth_ratio(work: f64, mean_work: f64) -> f64 {
    const FIXED_PART: f64 = 0.3;
    FIXED_PART + (1.0 - FIXED_PART) * (work / mean_work.max(1.0)).min(MAX_WORK_RATIO)
}
