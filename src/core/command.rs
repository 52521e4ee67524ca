//! What can happen to a cell.

use super::{
    AttemptId,
    JobId,
    RecoveredJob, //
};
use crate::config::Configuration;
use crate::ledger::AnswerRecord;
pub use crate::ledger::Submission;
use std::sync::Arc;

/// A worker as the platform's list names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSpec {
    /// The platform's name.
    pub name: String,
    /// Its rack; racks whose names follow one another are neighbours.
    pub rack: String,
    /// Its accelerators.
    pub accelerators: u16,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What became of one member of a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// The worker holds the reservation.
    Reserved,
    /// The worker did not reserve; the task did not and will not begin there.
    ReserveRefused,
    /// The task runs.
    Started,
    /// The worker did not start; the task did not and will not begin there.
    StartRefused,
    /// The task finished with an answer.
    Finished(AnswerRecord),
    /// The task began and failed.
    Failed,
    /// The task is stopped.
    Stopped {
        /// Work that its checkpoint saved.
        progress_ms: u64,
    },
    /// A new owner learned that the worker knows the attempt and that it had
    /// not begun, and the worker will not begin it any more.
    NotBegun,
    /// A new owner learned that the worker knows nothing of the attempt.
    Unknown,
    /// The worker restarted, and the task was lost with it, begun or not.
    LostInRestart,
}

/// News of one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// Whose member.
    pub attempt: AttemptId,
    /// On which worker.
    pub worker: String,
    /// What became of it.
    pub event: MemberEvent,
}

/// A change to the state of a cell.
#[derive(Clone, Debug)]
pub enum Command {
    /// A version of the configuration; an older one than the one in force is
    /// passed over.
    Configure(Arc<Configuration>),
    /// The platform's list of this data centre's workers.
    Workers(Vec<WorkerSpec>),
    /// What the ledger holds, given once to a new owner.
    Recover(Vec<RecoveredJob>),
    /// A caller's job; `token` comes back with the effect that answers it.
    Submit {
        /// The request to answer.
        token: u64,
        /// What the caller wants.
        submission: Submission,
    },
    /// Cancels those of the jobs that are the account's, all in one pass;
    /// `token` comes back with the effect that answers it.
    Cancel {
        /// The request to answer.
        token: u64,
        /// The account whose jobs they have to be.
        account: String,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// News of a member.
    Member(MemberReport),
    /// The worker itself says that it is leaving.
    WorkerLeaving(String),
    /// The worker's lease has certainly ended: nothing runs there any more.
    WorkerLost(String),
    /// The worker restarted and has forgotten its tasks.
    WorkerRestarted(String),
    /// The worker answers again after it was lost, or is no longer leaving.
    WorkerReturned(String),
    /// Asks a worker again for the tasks that are believed to run there.
    Reinspect(String),
    /// Stops or resumes placing work; running work goes on.
    Pause(bool),
    /// Time has passed.
    Tick,
}
