//! Job specifications as callers submit them: graphs of steps, each with tasks of the same
//! kind.

use super::VersionedTerms;
use serde::{
    Deserialize,
    Serialize, //
};

/// Amounts of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// The weight of an accelerator in cores.
pub const CORES_PER_ACCELERATOR: u32 = 8;

impl Resources {
    /// Returns whether `other` fits within these resources.
    pub fn contains(&self, other: &Self) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// Subtracts `other`; an amount that would be negative is 0.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Adds `other`; an amount that would overflow is `u32::MAX`.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns how many times `other` fits within these resources.
    pub fn count_fitting(&self, other: &Self) -> u32 {
        let ratio = |have: u32, want: u32| have.checked_div(want).unwrap_or(u32::MAX);
        ratio(self.cpu_millis, other.cpu_millis)
            .min(ratio(self.memory_mb, other.memory_mb))
            .min(ratio(self.accelerators, other.accelerators))
    }

    /// Returns one number for all resources, in thousandths of a core: an accelerator
    /// weighs `CORES_PER_ACCELERATOR` cores, and memory weighs nothing.
    pub fn weight(&self) -> u64 {
        u64::from(self.cpu_millis)
            + u64::from(self.accelerators) * u64::from(CORES_PER_ACCELERATOR) * 1_000
    }
}

/// One step: `count` tasks of the same kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimated_ms: u64,
    /// Indexes of the earlier steps that have to be done first.
    pub after: Vec<u32>,
    /// Tasks checkpoint their progress.
    pub checkpoints: bool,
    /// Tasks form a gang: they run only all at the same time.
    pub gang: bool,
    /// Tasks are slow when they run on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    pub required_label: String,
    /// The rack that holds the input data; empty for none.
    pub data_rack: String,
    /// Most tasks of the step on one worker; 0 for no bound.
    pub max_per_worker: u32,
    /// Copies of a task may run in parallel.
    pub allow_duplicates: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run; tasks with the same image behave alike.
    pub image: String,
    /// Bound on the tail of response times of a task that serves requests; 0 for none.
    pub tail_target_ms: u64,
    /// The tasks use only CPU that the others on the worker leave idle, so their cores
    /// are not counted.
    pub fills: bool,
    /// Tasks of a long-running step that the scheduler may make unavailable at a time.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task takes on its worker.
    pub fn resources(&self) -> Resources {
        Resources {
            cpu_millis: if self.fills { 0 } else { self.needs.cpu_millis },
            ..self.needs
        }
    }

    /// Returns whether the tasks serve requests and have a bound on their response times.
    pub fn serves(&self) -> bool {
        self.long_running && self.tail_target_ms > 0
    }
}

/// When the occurrences of a job are due.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub repetitions: u32,
    /// When the first occurrence is due, since the Unix epoch.
    pub start_at_ms: u64,
    /// Time from one occurrence to the next.
    pub interval_ms: u64,
}

/// Most tasks of a job: three times what the whole system runs at a time. Each task takes
/// memory of the owner from when its occurrence opens.
const MAX_TASKS: u64 = 100_000;

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// The input that every task gets.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the job runs; `None` for once and immediately.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Returns why the specification is invalid; `None` if it is valid.
    pub fn validation_error(&self) -> Option<&'static str> {
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
    /// Name of the queue to which it was submitted.
    pub queue: String,
    /// Its client account.
    pub account: String,
    /// When it was received, since the Unix epoch.
    pub received_ms: u64,
    /// The terms of its queue when it was accepted; `None` in values that an older
    /// version of the program stored.
    #[serde(default)]
    pub accepted_under: Option<VersionedTerms>,
    /// What to run.
    pub spec: JobSpec,
}
