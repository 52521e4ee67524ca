//! The occurrences of a job: they open when they are due, release their steps
//! one after the other, and end when all of them are done.

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

/// Occurrences of one job that are kept in memory at a time; later ones wait.
const MAX_OPEN_OCCURRENCES: usize = 64;
/// A step wider than this part of the fleet's room runs in waves.
const WAVE_SHARE: f64 = 0.25;

/// What the groups of an occurrence have in common when it opens.
struct Opening {
    job: JobId,
    occurrence: u32,
    due_ms: u64,
    objective_length_ms: u64,
    /// How long a task of each step takes.
    run_times: Vec<LogEstimate>,
    /// Its tasks may run where this owner cannot look yet.
    recovering: bool,
}

/// A run on a worker, found there or noted.
struct FoundRun {
    worker: WorkerKey,
    name: RunName,
    /// It is not only noted: its worker has shown it.
    seen: bool,
}

impl GraphJob {
    /// How many occurrences it has.
    pub(super) fn repetitions(&self) -> u32 {
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

    /// The groups of an occurrence, one for each step.
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
            self.claim_found_runs(key);
        }
        self.job_mut(id).open_occurrences.push(occurrence);
        for key in keys {
            self.release_after(key);
        }
        self.end_occurrence_if_done(id, occurrence);
        // An owner that knew no terms counted failures and judged none.
        self.end_job_if_spent(id);
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
            recovering: self.may_run_unseen(job),
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

    /// Runs of an earlier owner that were found before their job was known are
    /// being stopped; their tasks wait for them, or they would run twice.
    fn claim_found_runs(&mut self, key: GroupKey) {
        let mut found = self.found_runs(key);
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        // An owner gives a run only after those before it are over, so of runs that
        // were only noted the newest holds the task: held by an earlier one, the
        // task would start again once that is known to be over.
        found.sort_by_key(|found| std::cmp::Reverse(found.name.run));
        let newest = found.first().map_or(0, |found| found.name.run);
        for run in &found {
            claim(group, run, newest);
        }
    }

    /// Runs of a group's tasks that are, or may be, on workers.
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

    /// The time that a job has until it is late; the chain of its work alone
    /// while the terms of its queue are not known.
    fn objective_length_ms(&self, job: &GraphJob, run_times: &[LogEstimate]) -> u64 {
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

    /// The longest chain of work, wide steps in waves.
    fn chain_ms(&self, steps: &[Arc<StepSpec>], run_times: &[LogEstimate]) -> f64 {
        let room = self.room_for_terms();
        let mut ends: Vec<f64> = Vec::with_capacity(steps.len());
        for (step, run_time) in steps.iter().zip(run_times) {
            let begins = step.after.iter().map(|&at| ends.get(at as usize).copied());
            let begin = begins.flatten().fold(0.0, f64::max);
            let fits = f64::from(room.times(&step.resources()).max(1)) * WAVE_SHARE;
            let waves = (f64::from(step.count) / fits.max(1.0)).ceil().max(1.0);
            ends.push(begin + run_time.value() * waves);
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Releases the steps that only waited for `done`, or `done` itself if it
    /// waits for nothing that is open.
    fn release_after(&mut self, done: GroupKey) {
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
        self.end_job_if_done(id);
    }
}

/// The tasks of a step in an occurrence that opens, with what was stored of them.
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
        run_time_noted: false,
        gang_run: None,
        gang_ending: false,
        recovering: opening.recovering,
        crash_change: 0,
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
    group
}

/// Holds a run's task for it, unless the run is known to be over; `newest` is the
/// highest number of a run that was found of the group.
fn claim(group: &mut Group, found: &FoundRun, newest: u64) {
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
        // What was seen is being stopped; what was not may go on.
        group.gang_ending |= found.seen;
    }
}
