//! Identifiers of tasks and runs.

use crate::core::JobId;
use std::fmt;
use std::str::FromStr;

/// Identifies one task of a job. Written as `JOB.OCCURRENCE.STEP.INDEX`, with the job in
/// hexadecimal and the other parts in decimal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The index of the task within the step.
    pub index: u32,
}

/// Highest valid run number, far above those of any real epoch.
pub const MAX_RUN: u64 = 1 << 52;

/// Identifies one run of a task. A later run of a task has a higher number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunName {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
}

/// The error for a text that is not the name of a task.
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
