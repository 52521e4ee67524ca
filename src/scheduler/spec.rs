//! What a caller submits: a graph of steps of like tasks.

use super::VersionedTerms;
use serde::{
    Deserialize,
    Serialize, //
};

/// An amount of what a worker has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u32,
    /// Memory.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// An accelerator is priced as this many cores.
pub const CORES_PER_ACCELERATOR: u32 = 8;

impl Resources {
    /// Whether `other` fits within this amount.
    pub fn holds(&self, other: &Self) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// What is left after `other` is taken; 0 where there is too little.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The sum of both; the largest number where it is too large for one.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// How many times `other` fits.
    pub fn times(&self, other: &Self) -> u32 {
        let ratio = |have: u32, want: u32| have.checked_div(want).unwrap_or(u32::MAX);
        ratio(self.cpu_millis, other.cpu_millis)
            .min(ratio(self.memory_mb, other.memory_mb))
            .min(ratio(self.accelerators, other.accelerators))
    }

    /// Its price in thousandths of a core.
    pub fn weight(&self) -> u64 {
        u64::from(self.cpu_millis)
            + u64::from(self.accelerators) * u64::from(CORES_PER_ACCELERATOR) * 1_000
    }
}

/// One step: `count` like tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub needs: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimated_ms: u64,
    /// Earlier steps that have to be done first.
    pub after: Vec<u32>,
    /// Tasks checkpoint their progress.
    pub checkpoints: bool,
    /// Tasks run only all together.
    pub gang: bool,
    /// Tasks are slow when they run on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    pub required_label: String,
    /// The rack on which the data lies; empty for none.
    pub data_rack: String,
    /// Most tasks of the step on one worker; 0 for no bound.
    pub max_per_worker: u32,
    /// Copies of a task may run in parallel.
    pub allow_duplicates: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; like images behave alike.
    pub image: String,
    /// Bound on the tail of response times of a task that serves; 0 for none.
    pub tail_target_ms: u64,
    /// The tasks take what the others on the worker leave unused: their cores
    /// are not counted.
    pub fills: bool,
    /// Tasks of a long-running step that the scheduler may take away at a time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// The resources that a task takes on its worker.
    pub fn resources(&self) -> Resources {
        Resources {
            cpu_millis: if self.fills { 0 } else { self.needs.cpu_millis },
            ..self.needs
        }
    }

    /// Whether tasks serve users and have a target to keep.
    pub fn serves(&self) -> bool {
        self.long_running && self.tail_target_ms > 0
    }
}

/// When the steps of a job run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// How many times.
    pub repetitions: u32,
    /// When the first is due, since the Unix epoch.
    pub start_at_ms: u64,
    /// Time between two of them.
    pub interval_ms: u64,
}

/// Most tasks of a job, three times what the whole system runs at a time: each
/// takes memory of the owner from when the job opens.
const MAX_TASKS: u64 = 100_000;

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// What every task is given.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When they run; `None` for once and now.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Why the graph cannot be run by anyone, if it cannot.
    pub fn problem(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("a job needs at least one step");
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count));
        if tasks.fold(0, u64::saturating_add) > MAX_TASKS {
            return Some("a job has at most 100,000 tasks; submit several");
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some("a step needs at least one task");
            }
            if step.after.iter().any(|&before| before as usize >= at) {
                return Some("a step may only follow earlier steps");
            }
        }
        None
    }
}

/// A job as it is stored when it is accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Name of the queue that took it.
    pub queue: String,
    /// Its client account.
    pub account: String,
    /// When it was received, since the Unix epoch.
    pub received_ms: u64,
    /// What its queue said when it was accepted; `None` in values that an older
    /// version of the program stored.
    #[serde(default)]
    pub accepted_under: Option<VersionedTerms>,
    /// What to run.
    pub spec: JobSpec,
}
