//! Names of tasks and runs.

use crate::core::JobId;
use std::fmt;
use std::str::FromStr;

/// One task of a job: occurrence, step and index within the step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The task within the step.
    pub index: u32,
}

/// One start of a task. Numbers of a task's runs rise.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunName {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub run: u64,
}

/// A text that names no task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not the name of a task; expected JOB.OCCURRENCE.STEP.INDEX")]
pub struct InvalidTaskId;

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

impl FromStr for TaskId {
    type Err = InvalidTaskId;

    fn from_str(text: &str) -> Result<Self, InvalidTaskId> {
        let mut parts = text.split('.');
        let job = parts
            .next()
            .and_then(|part| u64::from_str_radix(part, 16).ok());
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let (occurrence, step, index) = (number(), number(), number());
        match (job, occurrence, step, index, parts.next()) {
            (Some(job), Some(occurrence), Some(step), Some(index), None) => Ok(Self {
                job: JobId(job),
                occurrence,
                step,
                index,
            }),
            _ => Err(InvalidTaskId),
        }
    }
}
