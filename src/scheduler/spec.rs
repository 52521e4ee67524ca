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

/// Whether a value is left out of a record: a job may have thousands of steps, of which most
/// values are those by default.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// One step: `count` tasks of the same kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub count: u32,
    /// Resources that each task needs.
    #[serde(skip_serializing_if = "is_default")]
    pub needs: Resources,
    /// The caller's rough estimate of a task's run time.
    #[serde(skip_serializing_if = "is_default")]
    pub estimated_ms: u64,
    /// Indexes of the earlier steps that have to be done first.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// Tasks checkpoint their progress.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Tasks form a gang: they run only all at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Tasks are slow when they run on more than one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub required_label: String,
    /// The rack that holds the input data; empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: String,
    /// Most tasks of the step on one worker; 0 for no bound.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub allow_duplicates: bool,
    /// Tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// The image that the tasks run; tasks with the same image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Bound on the tail of response times of a task that serves requests; 0 for none.
    #[serde(skip_serializing_if = "is_default")]
    pub tail_target_ms: u64,
    /// The tasks use only CPU that the others on the worker leave idle, so their cores
    /// are not counted.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// Tasks of a long-running step that the scheduler may make unavailable at a time.
    #[serde(skip_serializing_if = "is_default")]
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

    /// Returns why the step is invalid as the one with index `at`; `None` if it is valid.
    pub fn validation_error(&self, at: usize) -> Option<&'static str> {
        if self.count == 0 {
            return Some("a step needs at least one task");
        }
        let follows_later = self.after.iter().any(|&before| before as usize >= at);
        follows_later.then_some("a step may only follow earlier steps")
    }

    /// Returns the memory that the step takes, in bytes.
    fn memory_bytes(&self) -> usize {
        let texts = [&self.required_label, &self.data_rack, &self.image];
        let text_bytes: usize = texts.iter().map(|text| text.len()).sum();
        size_of::<Self>() + size_of_val(self.after.as_slice()) + text_bytes
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
    /// Returns the memory that the specification takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let steps = self.steps.iter().map(StepSpec::memory_bytes);
        self.payload.len() + steps.sum::<usize>()
    }

    /// Returns why the specification is invalid; `None` if it is valid.
    pub fn validation_error(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("a job needs at least one step");
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count));
        if tasks.fold(0, u64::saturating_add) > MAX_TASKS {
            return Some("a job has at most 100,000 tasks; submit several");
        }
        let mut steps = self.steps.iter().enumerate();
        steps.find_map(|(at, step)| step.validation_error(at))
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
