//! The tasks of one step of one occurrence.

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

/// Names the tasks of a step in an occurrence of a job.
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
    /// One of its tasks.
    pub fn task(self, index: u32) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }

    /// The group of a task.
    pub fn of(task: TaskId) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

/// Where a task stands.
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
    /// A run ended done.
    Done,
}

/// One task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// Runs that ended failed, the last ones of a task that lasts. Their ends
    /// are listed again after a change of owner, in any order.
    pub failed_runs: Vec<u64>,
    /// Runs whose worker crashed.
    pub crashes: Vec<CrashedRun>,
    /// The highest number given to a run.
    pub last_run: u64,
    /// Where the next run goes on from.
    pub checkpoint: Option<Arc<str>>,
    /// The worker on which it last failed or hung.
    pub avoid: Option<WorkerKey>,
    /// When that was.
    pub avoided_ms: u64,
}

/// Failed runs that are remembered of a task that lasts.
const MAX_FAILED_RUNS: usize = 64;

impl Task {
    /// Counts a failure; whether it was not counted before.
    pub fn count_failure(&mut self, run: u64) -> bool {
        if self.failed_runs.contains(&run) {
            return false;
        }
        if self.failed_runs.len() == MAX_FAILED_RUNS {
            self.failed_runs.remove(0);
        }
        self.failed_runs.push(run);
        true
    }
}

impl Default for Task {
    fn default() -> Self {
        Self {
            state: TaskState::Waiting,
            failed_runs: Vec::new(),
            crashes: Vec::new(),
            last_run: 0,
            checkpoint: None,
            avoid: None,
            avoided_ms: 0,
        }
    }
}

/// A ticket for a step on a worker.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// What the start carries.
    pub ticket: Arc<str>,
    /// Not to be used from then on.
    pub until_ms: u64,
}

/// Workers that a policy outside allows for a step.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// A question is on its way.
    pub asking: bool,
    /// When to ask again at the earliest.
    pub ask_at_ms: u64,
    /// Approved workers.
    pub tickets: BTreeMap<WorkerKey, Ticket>,
    /// Workers that were not approved.
    pub declined: Vec<WorkerKey>,
}

/// The tasks of a step.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name.
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
    /// From when on tasks may start.
    pub released_ms: u64,
    /// When it is to be done to be on time.
    pub objective_ms: u64,
    /// The length of the objective.
    pub objective_length_ms: u64,
    /// The logarithm of a task's run time on a usual worker, in milliseconds.
    pub run_time: LogEstimate,
    /// It was taken in for later estimates of its queue.
    pub run_time_noted: bool,
    /// The run of the gang that is on workers.
    pub gang_run: Option<u64>,
    /// That run is being given up.
    pub gang_ending: bool,
    /// An earlier owner may have started tasks where this one cannot look.
    pub recovering: bool,
    /// The change of its job with the last crash at the start of one of its tasks; 0
    /// for none.
    pub crash_change: u64,
    /// Workers that a policy outside allows.
    pub advice: Advice,
    /// How often its runs were stopped for others.
    pub preempted: u32,
    /// Preemption for it is tried again from then on.
    pub preempt_at_ms: u64,
    /// Room that is being freed for it, in tasks on each worker. Until then
    /// nothing that comes later in the order takes it.
    pub claims: Vec<(WorkerKey, u32)>,
}

impl Group {
    /// Whether a pass has something to place.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        if self.waiting == 0 || now_ms < self.released_ms || self.recovering {
            return false;
        }
        // A gang starts with all members, so all have to be without a run.
        !self.step.gang || self.waiting == self.tasks.len() as u32
    }

    /// Changes a task's state and the counts with it.
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

    /// A task's run time on a usual worker, as far as it is known.
    pub fn run_ms(&self) -> u64 {
        self.run_time.value() as u64
    }

    /// When its job earns what; run times are off by a fifth even when estimates
    /// fit.
    pub fn objective(&self) -> JobObjective {
        const SPREAD: f64 = 0.2;
        JobObjective {
            objective_ms: self.objective_ms,
            objective_length_ms: self.objective_length_ms,
            spread_ms: SPREAD * self.run_time.value(),
        }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Drops what is noted of a worker that is gone.
    pub fn forget_worker(&mut self, worker: WorkerKey) {
        for task in &mut self.tasks {
            task.avoid = task.avoid.filter(|&avoided| avoided != worker);
        }
        self.advice.tickets.remove(&worker);
        self.advice.declined.retain(|&declined| declined != worker);
        self.claims.retain(|&(claimed, _)| claimed != worker);
    }

    /// Tasks on `worker`.
    pub fn on_worker(&self, worker: WorkerKey) -> u32 {
        let there = |task: &&Task| matches!(task.state, TaskState::Placed { worker: own, .. } if own == worker);
        self.tasks.iter().filter(there).count() as u32
    }
}
