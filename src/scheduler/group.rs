//! Keeps the state of a group: the tasks of one step of one occurrence.
//!
//! The counts of waiting and done tasks always agree with the states of the tasks, since
//! both change only in [`Group::set_state`].

use super::{
    CrashedRun,
    JobObjective, //
    LogEstimate,
    Resources,
    StepSpec,
    TaskId,
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Identifies a group: a step in an occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GroupKey {
    /// The job.
    pub job: JobId,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
}

impl GroupKey {
    /// Returns the id of one of its tasks.
    pub fn task(self, index: u32) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }

    /// Returns the key of the group to which a task belongs.
    pub fn of(task: TaskId) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

/// The state of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// It has no run.
    Waiting,
    /// Its run is, or may be, on a worker.
    Placed {
        /// The worker.
        worker: WorkerKey,
        /// The number of the run.
        run: u64,
    },
    /// A run of it completed.
    Done,
}

/// A task and what is known of its earlier runs.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its state.
    pub state: TaskState,
    /// Numbers of the runs that failed; at most the last `MAX_FAILED_RUNS`. Their ends
    /// may be listed again after a change of owner, in any order.
    pub failed_runs: Vec<u64>,
    /// Number of earlier failures, whose runs are not remembered any more.
    pub earlier_failures: u32,
    /// Runs whose worker crashed.
    pub crashes: Vec<CrashedRun>,
    /// Confirmed starts since it became a suspect, including the one that made it one.
    pub suspect_starts: u32,
    /// The run that was last counted among them.
    pub last_counted_start: u64,
    /// The highest number of any of its runs.
    pub last_run: u64,
    /// The checkpoint from which the next run resumes.
    pub checkpoint: Option<Arc<str>>,
    /// The worker on which it last failed or hung.
    pub avoid: Option<WorkerKey>,
    /// When it failed or hung there.
    pub avoided_ms: u64,
    /// How often it was stopped for hanging under this owner.
    pub hanging_stops: u32,
}

/// Number of failed runs that are remembered of a task. A queue may allow more attempts,
/// and a long-running task may fail any number of times.
const MAX_FAILED_RUNS: usize = 64;

impl Task {
    /// Records the failure of a run; returns false if it was recorded before.
    pub fn count_failure(&mut self, run: u64) -> bool {
        let is_forgotten = self.earlier_failures > 0
            && self.failed_runs.iter().all(|&remembered| run < remembered);
        if is_forgotten || self.failed_runs.contains(&run) {
            return false;
        }
        if self.failed_runs.len() == MAX_FAILED_RUNS {
            self.failed_runs.remove(0);
            self.earlier_failures = self.earlier_failures.saturating_add(1);
        }
        self.failed_runs.push(run);
        true
    }

    /// Returns how many of its runs have failed.
    pub fn failures(&self) -> u32 {
        self.earlier_failures
            .saturating_add(self.failed_runs.len() as u32)
    }
}

impl Default for Task {
    fn default() -> Self {
        Self {
            state: TaskState::Waiting,
            failed_runs: Vec::new(),
            earlier_failures: 0,
            crashes: Vec::new(),
            suspect_starts: 0,
            last_counted_start: 0,
            last_run: 0,
            checkpoint: None,
            avoid: None,
            avoided_ms: 0,
            hanging_stops: 0,
        }
    }
}

/// The approval of an external placement policy for a step on a worker.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The ticket that the start order carries.
    pub ticket: Arc<str>,
    /// When the ticket expires.
    pub until_ms: u64,
}

/// The answers of an external placement policy for a step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// Whether a request is in flight.
    pub asking: bool,
    /// The earliest time of the next request.
    pub ask_at_ms: u64,
    /// Tickets of the approved workers.
    pub tickets: BTreeMap<WorkerKey, Ticket>,
    /// Workers that were not approved.
    pub declined: Vec<WorkerKey>,
}

/// The tasks of a step in one occurrence.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its key.
    pub key: GroupKey,
    /// The step.
    pub step: Arc<StepSpec>,
    /// The resources that each task takes.
    pub resources: Resources,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// How many are waiting.
    pub waiting: u32,
    /// How many are done.
    pub done: u32,
    /// When its tasks may start; `u64::MAX` while it waits for other steps.
    pub released_ms: u64,
    /// When the occurrence has to be done to be on time.
    pub objective_ms: u64,
    /// Time from when the occurrence is due until `objective_ms`.
    pub objective_length_ms: u64,
    /// Estimate of the logarithm of a task's run time in milliseconds on a worker of usual
    /// speed.
    pub run_time: LogEstimate,
    /// Whether the run time was added to the model of its queue.
    pub run_time_learned: bool,
    /// The number of the gang's run that is on workers.
    pub gang_run: Option<u64>,
    /// Whether the gang's run is being stopped.
    pub gang_ending: bool,
    /// Whether tasks that an earlier owner started may still run on workers that this
    /// owner has not reached.
    pub recovering: bool,
    /// When runs of it last counted as gone without a listed end, since their worker had exited.
    pub lost_ms: u64,
    /// The change of its job that stores the last crash at the start of one of its tasks;
    /// 0 for none.
    pub crash_change: u64,
    /// The answers of the external placement policy, if its queue has one.
    pub advice: Advice,
    /// How often its runs were preempted.
    pub preempted: u32,
    /// The earliest time of the next preemption for it.
    pub preempt_at_ms: u64,
    /// Capacity that is being freed for it, in tasks on each worker. Groups that come
    /// later in the order may not take that capacity.
    pub claims: Vec<(WorkerKey, u32)>,
}

impl Group {
    /// Returns whether a scheduling pass may place tasks of the group.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        if self.waiting == 0 || now_ms < self.released_ms || self.recovering {
            return false;
        }
        // A gang starts with all members at once, so none may have a run.
        !self.step.gang || self.waiting == self.tasks.len() as u32
    }

    /// Changes the state of a task, and the counts of waiting and done tasks with it.
    pub fn set_state(&mut self, index: u32, state: TaskState) {
        let task = &mut self.tasks[index as usize];
        match task.state {
            TaskState::Waiting => self.waiting -= 1,
            TaskState::Done => self.done -= 1,
            TaskState::Placed { .. } => {}
        }
        task.state = state;
        match state {
            TaskState::Waiting => self.waiting += 1,
            TaskState::Done => self.done += 1,
            TaskState::Placed { .. } => {}
        }
    }

    /// Returns the estimated run time of a task on a worker of usual speed.
    pub fn run_ms(&self) -> u64 {
        self.run_time.value() as u64
    }

    /// Returns the weight of the resources of its runs, in thousandths of a core.
    pub fn used_weight(&self) -> f64 {
        let placed = self.tasks.len() as u32 - self.waiting - self.done;
        f64::from(placed) * self.resources.weight() as f64
    }

    /// Returns the weight of the resources that its waiting tasks need, in thousandths of a
    /// core.
    pub fn waiting_weight(&self) -> f64 {
        f64::from(self.waiting) * self.resources.weight() as f64
    }

    /// Returns the objective of its job, from which the utility is computed. The spread
    /// allows for run times that are off by a fifth even when estimates are good.
    pub fn objective(&self) -> JobObjective {
        const SPREAD: f64 = 0.2;
        JobObjective {
            objective_ms: self.objective_ms,
            objective_length_ms: self.objective_length_ms,
            spread_ms: SPREAD * self.run_time.value(),
        }
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Removes all references to a worker that is gone.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        for task in &mut self.tasks {
            task.avoid = task.avoid.filter(|&avoided| avoided != worker);
        }
        self.advice.tickets.remove(&worker);
        self.advice.declined.retain(|&declined| declined != worker);
        self.claims.retain(|&(claimed, _)| claimed != worker);
    }

    /// Counts the tasks on `worker`.
    pub fn on_worker(&self, worker: WorkerKey) -> u32 {
        let is_there = |task: &&Task| matches!(task.state, TaskState::Placed { worker: own, .. } if own == worker);
        self.tasks.iter().filter(is_there).count() as u32
    }
}
