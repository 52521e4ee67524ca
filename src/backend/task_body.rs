//! News of tasks as they are encoded, between daemons and from workers.

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

/// One task.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskBody {
    /// Its job.
    #[prost(uint64, tag = "1")]
    pub job: u64,
    /// Its attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Where it stands.
    #[prost(enumeration = "TaskCode", tag = "3")]
    pub code: i32,
    /// Work that its checkpoint saved.
    #[prost(uint64, tag = "4")]
    pub progress_ms: u64,
    /// Its answer.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<AnswerRecord>,
}

/// [`TaskState`] as it is encoded.
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
    /// Decodes the change.
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
