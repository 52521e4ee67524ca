//! Opens the occurrences of jobs when they are due, releases their steps in the order of
//! the graph, and ends an occurrence when all its steps are done.

use super::action::Decision;
use super::job::GraphJob;
use super::state::Scheduler;
use super::{
    Group,
    GroupKey,
    LogEstimate,
    RunName,
    RunPhase,
    StepSpec,
    Task,
    TaskState, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::sync::Arc;

/// Most open occurrences of one job at a time; later ones wait.
const MAX_OPEN_OCCURRENCES: usize = 64;
/// A time at which nothing is due, 100 million years from now; sums with it stay in range.
const NEVER_MS: u64 = 1 << 62;
/// Longest objective, 300,000 years, which sets no real one.
const MAX_OBJECTIVE_LENGTH_MS: u64 = 1 << 53;
/// Share of the fleet's capacity that one step is assumed to get; a wider step runs in
/// waves.
const WAVE_SHARE: f64 = 0.25;

/// What the groups of an occurrence share when the occurrence opens.
struct Opening {
    job: JobId,
    occurrence: u32,
    due_ms: u64,
    objective_length_ms: u64,
    /// The predicted run time of a task of each step.
    run_times: Vec<LogEstimate>,
    /// Whether its tasks may be running on workers that this owner has not reached yet.
    recovering: bool,
}

/// A run that is, or may be, on a worker.
struct FoundRun {
    worker: WorkerKey,
    name: RunName,
    /// Whether the worker has listed the run; otherwise it is only known from the store.
    seen: bool,
}

impl GraphJob {
    /// Returns the number of its occurrences.
    pub(super) fn repetitions(&self) -> u32 {
        let schedule = self.record.spec.schedule.as_ref();
        schedule.map_or(1, |schedule| schedule.repetitions.max(1))
    }

    /// Returns whether an occurrence is open or done.
    fn has_opened(&self, occurrence: u32) -> bool {
        self.done_occurrences.contains(&occurrence) || self.open_occurrences.contains(&occurrence)
    }

    /// Returns whether an occurrence exists and may still open.
    pub(super) fn is_unopened(&self, occurrence: u32) -> bool {
        occurrence < self.repetitions() && !self.is_over() && !self.has_opened(occurrence)
    }

    /// Returns when an occurrence is due.
    fn due_ms(&self, occurrence: u32, now_ms: u64) -> u64 {
        match &self.record.spec.schedule {
            Some(schedule) => schedule.due_ms(occurrence).min(NEVER_MS),
            None => self.record.received_ms.min(now_ms),
        }
    }

    /// Returns the keys of an occurrence's groups, one for each step.
    fn group_keys(&self, occurrence: u32) -> impl Iterator<Item = GroupKey> + Clone + use<> {
        let job = self.id;
        (0..self.steps.len() as u32).map(move |step| GroupKey {
            job,
            occurrence,
            step,
        })
    }
}

impl Scheduler {
    /// Opens the occurrences of a job that are due and have memory, and schedules the opening of
    /// the next.
    pub(super) fn open_occurrences(&mut self, id: JobId) {
        while self.open_next_occurrence(id) {}
        self.queue_next_occurrence(id);
    }

    /// Opens the next occurrence of a job, if it is due and may open.
    pub(super) fn open_next_occurrence(&mut self, id: JobId) -> bool {
        let Some((occurrence, due_ms)) = self.next_occurrence(id) else {
            return false;
        };
        if due_ms > self.now_ms || !self.may_open_next_occurrence(&self.jobs[&id]) {
            return false;
        }
        self.job_mut(id).next_occurrence += 1;
        self.open_occurrence(id, occurrence, due_ms);
        true
    }

    /// Schedules the opening of the next occurrence of a job.
    pub(super) fn queue_next_occurrence(&mut self, id: JobId) {
        match self.next_occurrence(id) {
            Some((_, due_ms)) if due_ms > self.now_ms => {
                self.due.insert((due_ms, id));
            }
            Some((_, due_ms)) => self.wait_to_open(id, due_ms),
            None => {}
        }
    }

    /// Whether the next occurrence of a job may open beside those that are open.
    pub(super) fn may_open_next_occurrence(&self, job: &GraphJob) -> bool {
        job.open_occurrences.len() < MAX_OPEN_OCCURRENCES
            && self.has_memory_for_next_occurrence(job)
    }

    /// Returns the next occurrence of a job that has not opened, and when it is due.
    fn next_occurrence(&mut self, id: JobId) -> Option<(u32, u64)> {
        let now_ms = self.now_ms;
        let job = self.jobs.get_mut(&id).filter(|job| !job.is_over())?;
        while job.has_opened(job.next_occurrence) {
            job.next_occurrence += 1;
        }
        let occurrence = job.next_occurrence;
        let exists = occurrence < job.repetitions();
        exists.then(|| (occurrence, job.due_ms(occurrence, now_ms)))
    }

    /// Opens the occurrence to which a listed run or end belongs, unless it is open or done
    /// already. An earlier owner had opened it, because its clock was ahead, because other
    /// occurrences were done or because it had more memory. Without this the end would be lost,
    /// and its task would run again once the occurrence opens.
    pub(super) fn open_found_occurrence(&mut self, key: GroupKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let (id, occurrence) = (key.job, key.occurrence);
        if job.is_unopened(occurrence) && self.has_memory_for_found_occurrence(job) {
            let due_ms = job.due_ms(occurrence, self.now_ms);
            self.open_occurrence(id, occurrence, due_ms);
        }
    }

    fn open_occurrence(&mut self, id: JobId, occurrence: u32, due_ms: u64) {
        let job = &self.jobs[&id];
        let opening = self.opening(job, occurrence, due_ms);
        let opened = self.opened_decision(job, &opening);
        let keys = job.group_keys(occurrence);
        let steps = keys.clone().zip(&job.steps).zip(&opening.run_times);
        let groups: Vec<Group> = steps
            .map(|((key, step), run_time)| new_group(job, &opening, key, step, *run_time))
            .collect();
        self.decided(opened);
        for group in groups {
            let key = group.key;
            self.groups.insert(key, group);
            self.assign_found_runs(key);
        }
        let job = self.job_mut(id);
        let open = job.open_occurrences.len();
        job.open_occurrences.push(occurrence);
        job.unopened
            .retain(|progress| progress.occurrence != occurrence);
        self.job_memory.occurrence_opened(&self.jobs[&id], open);
        for key in keys.clone() {
            for crash in self.reported_crashes.remove(&key).into_iter().flatten() {
                self.handle_counted_crash(crash);
            }
        }
        self.release_ready_steps(id, occurrence);
        self.end_occurrence_if_done(id, occurrence);
        // An owner without the terms of the queue may have counted failures without
        // ending the job.
        self.end_job_if_exhausted(id);
        self.changed = true;
    }

    fn opening(&self, job: &GraphJob, occurrence: u32, due_ms: u64) -> Opening {
        let steps = job.steps.iter();
        let run_times: Vec<LogEstimate> = steps
            .map(|step| self.run_time_of(&job.record.queue, step.estimated_ms))
            .collect();
        Opening {
            job: job.id,
            occurrence,
            due_ms,
            objective_length_ms: self.objective_length_ms(job, &run_times),
            run_times,
            recovering: self.may_have_been_started_earlier(job),
        }
    }

    fn opened_decision(&self, job: &GraphJob, opening: &Opening) -> Decision {
        Decision::JobOpened {
            job: opening.job,
            occurrence: opening.occurrence,
            record: job.record.clone(),
            priority: job.priority,
            age_ms: self.now_ms.saturating_sub(opening.due_ms),
            objective_ms: opening.objective_length_ms,
            max_attempts: job.terms().map_or(0, |terms| terms.max_attempts),
            configuration_version: self.configuration.version,
        }
    }

    /// Assigns to the tasks of a new group the runs of an earlier owner that were found
    /// before their job was known. Those that a worker listed are being stopped; a task
    /// waits until its run is over, since it would run twice otherwise.
    fn assign_found_runs(&mut self, key: GroupKey) {
        let mut found = self.found_runs(key);
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        // An owner starts a run only after the earlier runs of the task are over, so of
        // runs that are only known from the store the newest is assigned to the task.
        // Assigned to an older run, the task would start again once that run is known to be
        // over.
        found.sort_by_key(|found| std::cmp::Reverse(found.name.run));
        let newest = found.first().map_or(0, |found| found.name.run);
        for run in &found {
            assign_found_run(group, run, newest);
        }
    }

    /// Returns the runs of a group's tasks that are, or may be, on workers.
    fn found_runs(&self, key: GroupKey) -> Vec<FoundRun> {
        let first = RunName {
            task: key.task(0),
            run: 0,
        };
        let workers = self.workers.iter();
        workers
            .flat_map(|worker| {
                let runs = worker.runs.range(first..);
                let own = runs.take_while(|(name, _)| GroupKey::of(name.task) == key);
                own.map(|(name, run)| FoundRun {
                    worker: worker.key,
                    name: *name,
                    seen: run.phase != RunPhase::Unseen,
                })
            })
            .collect()
    }

    /// Returns the time from when an occurrence is due until it is late: its critical path,
    /// stretched and extended by the terms of its queue. While the terms are unknown it is
    /// the critical path alone.
    fn objective_length_ms(&self, job: &GraphJob, run_times: &[LogEstimate]) -> u64 {
        let critical_path_ms = self.critical_path_ms(&job.steps, run_times);
        let (stretch, extra_ms) = job.terms().map_or((1.0, 0), |terms| {
            (terms.stretch_factor.max(1.0), terms.target_latency_ms)
        });
        let length_ms = ((stretch * critical_path_ms) as u64).saturating_add(extra_ms);
        length_ms.min(MAX_OBJECTIVE_LENGTH_MS)
    }

    /// Recomputes the objective of an occurrence after the run times of its tasks became
    /// better known or the terms of its queue changed: the terms relate to the actual work,
    /// not to the caller's estimate.
    pub(super) fn refresh_objective(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let keys = job.group_keys(occurrence);
        let groups = keys.clone().map(|key| self.groups.get(&key));
        let run_times: Option<Vec<LogEstimate>> =
            groups.map(|group| Some(group?.run_time)).collect();
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

    /// Returns the length of the critical path of the steps, where wide steps run in waves.
    fn critical_path_ms(&self, steps: &[Arc<StepSpec>], run_times: &[LogEstimate]) -> f64 {
        let capacity = self.capacity_for_objectives();
        let mut ends: Vec<f64> = Vec::with_capacity(steps.len());
        for (step, run_time) in steps.iter().zip(run_times) {
            let dependency_ends = step.after.iter().map(|&at| ends.get(at as usize).copied());
            let start = dependency_ends.flatten().fold(0.0, f64::max);
            let parallel_tasks =
                f64::from(capacity.count_fitting(&step.resources()).max(1)) * WAVE_SHARE;
            let waves = (f64::from(step.count) / parallel_tasks.max(1.0))
                .ceil()
                .max(1.0);
            ends.push(start + run_time.value() * waves);
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Releases the steps of an occurrence whose dependencies are all done.
    fn release_ready_steps(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let key_of = |step: u32| GroupKey {
            job: id,
            occurrence,
            step,
        };
        let is_done = |step: u32| self.groups.get(&key_of(step)).is_none_or(Group::is_done);
        let ready: Vec<u32> = (0..job.steps.len() as u32)
            .filter(|&step| {
                let after = &job.steps[step as usize].after;
                !after.is_empty() && after.iter().all(|&dependency| is_done(dependency))
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

    /// Releases the next steps, and ends the occurrence and the job if they are done, after
    /// the last task of a group is done.
    pub(super) fn group_done(&mut self, key: GroupKey) {
        self.release_ready_steps(key.job, key.occurrence);
        self.end_occurrence_if_done(key.job, key.occurrence);
    }

    fn end_occurrence_if_done(&mut self, id: JobId, occurrence: u32) {
        let keys = self.jobs[&id].group_keys(occurrence);
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
        let job = &self.jobs[&id];
        let open = job.open_occurrences.len();
        self.job_memory.occurrence_closed(job, open);
        self.end_job_if_done(id);
    }
}

/// Creates the group of a step in an opening occurrence, with its stored progress.
fn new_group(
    job: &GraphJob,
    opening: &Opening,
    key: GroupKey,
    step: &Arc<StepSpec>,
    run_time: LogEstimate,
) -> Group {
    let released_ms = match step.after.is_empty() {
        true => opening.due_ms,
        false => u64::MAX,
    };
    let mut group = Group {
        key,
        resources: step.resources(),
        tasks: vec![Task::default(); step.count as usize],
        waiting: step.count,
        done: 0,
        released_ms,
        objective_ms: opening.due_ms + opening.objective_length_ms,
        objective_length_ms: opening.objective_length_ms,
        run_time,
        run_time_learned: false,
        gang_run: None,
        gang_ending: false,
        recovering: opening.recovering,
        lost_ms: 0,
        crash_change: 0,
        advice: Default::default(),
        preempted: 0,
        preempt_at_ms: 0,
        claims: Vec::new(),
        step: step.clone(),
    };
    let mut unopened = job.unopened.iter();
    if let Some(progress) = unopened.find(|progress| progress.is_of(key)) {
        progress.restore(&mut group);
    }
    group
}

/// Assigns a found run to its task, unless the run is known to be over. `newest` is the
/// highest number of a run that was found of the group.
fn assign_found_run(group: &mut Group, found: &FoundRun, newest: u64) {
    let index = found.name.task.index;
    let run = found.name.run;
    let Some(task) = group.tasks.get_mut(index as usize) else {
        return;
    };
    let older = run < task.last_run || (group.step.gang && run < newest);
    let over = !found.seen && older;
    task.last_run = task.last_run.max(run);
    if over || task.state != TaskState::Waiting {
        return;
    }
    let worker = found.worker;
    group.set_state(index, TaskState::Placed { worker, run });
    if group.step.gang {
        group.gang_run = Some(run);
        // A run that its worker listed is being stopped; one that was not may go on.
        group.gang_ending |= found.seen;
    }
}
