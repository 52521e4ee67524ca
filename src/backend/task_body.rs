//! Prost encoding of task changes, in answers of workers and in messages between
//! daemons.

use super::{
    TaskChange,
    TaskState, //
};
use crate::core::{
    AttemptId,
    JobId, //
};
use crate::ledger::AnswerRecord;

/// Tasks that changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TasksBody {
    /// The tasks.
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<TaskBody>,
}

/// One changed task.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskBody {
    /// The job of the attempt.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// Number of the attempt within its job.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// The state of the task.
    #[prost(enumeration = "TaskCode", tag = "3")]
    pub code: i32,
    /// Work that the checkpoint saved, in milliseconds of run time; only if stopped.
    #[prost(uint64, tag = "4")]
    pub progress_ms: u64,
    /// The answer of the task; only if finished.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<AnswerRecord>,
}

/// Encoded variant of [`TaskState`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum TaskCode {
    /// [`TaskState::Unknown`].
    Unknown = 0,
    /// [`TaskState::NotBegun`].
    NotBegun = 1,
    /// [`TaskState::Running`].
    Running = 2,
    /// [`TaskState::Finished`].
    Finished = 3,
    /// [`TaskState::Failed`].
    Failed = 4,
    /// [`TaskState::Stopped`].
    Stopped = 5,
}

impl From<&TaskChange> for TaskBody {
    fn from(change: &TaskChange) -> Self {
        let mut body = TaskBody {
            job: change.attempt.job.0,
            attempt: change.attempt.attempt,
            ..TaskBody::default()
        };
        let code = match &change.state {
            TaskState::Unknown => TaskCode::Unknown,
            TaskState::NotBegun => TaskCode::NotBegun,
            TaskState::Running => TaskCode::Running,
            TaskState::Finished(answer) => {
                body.answer = Some(answer.clone());
                TaskCode::Finished
            }
            TaskState::Failed => TaskCode::Failed,
            TaskState::Stopped { progress_ms } => {
                body.progress_ms = *progress_ms;
                TaskCode::Stopped
            }
        };
        body.set_code(code);
        body
    }
}

impl TaskBody {
    /// Decodes the body into the change that it describes.
    pub fn into_change(self) -> TaskChange {
        let attempt = AttemptId {
            job: JobId(self.job),
            attempt: self.attempt,
        };
        let state = match self.code() {
            TaskCode::Unknown => TaskState::Unknown,
            TaskCode::NotBegun => TaskState::NotBegun,
            TaskCode::Running => TaskState::Running,
            TaskCode::Finished => TaskState::Finished(self.answer.unwrap_or_default()),
            TaskCode::Failed => TaskState::Failed,
            TaskCode::Stopped => TaskState::Stopped {
                progress_ms: self.progress_ms,
            },
        };
        TaskChange { attempt, state }
    }
}
