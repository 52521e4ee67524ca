//! The commands that change a cell.

use super::{
    AttemptId,
    JobId,
    RecoveredJob, //
};
use crate::config::Configuration;
use crate::ledger::AnswerRecord;
pub use crate::ledger::Submission;
use std::sync::Arc;

/// A worker in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSpec {
    /// The platform's name of the worker.
    pub name: String,
    /// Its rack; racks that are adjacent in name order are neighbours.
    pub rack: String,
    /// Number of its accelerators.
    pub accelerators: u16,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What happened to one member of a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// The worker holds the reservation.
    Reserved,
    /// The worker refused the reservation; the task did not and will not begin
    /// there.
    ReserveRefused,
    /// The task runs.
    Started,
    /// The worker refused the start; the task did not and will not begin there.
    StartRefused,
    /// The task finished with an answer.
    Finished(AnswerRecord),
    /// The task began and failed.
    Failed,
    /// The task is stopped.
    Stopped {
        /// Run time covered by its checkpoint.
        progress_ms: u64,
    },
    /// The worker knows the attempt, has not begun its task and will not begin
    /// it any more.
    NotBegun,
    /// The worker does not know the attempt.
    Unknown,
    /// The worker restarted and lost the task, which may have begun.
    LostInRestart,
}

/// A report about one member of a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// The attempt of the gang.
    pub attempt: AttemptId,
    /// Name of the member's worker.
    pub worker: String,
    /// What happened to the member.
    pub event: MemberEvent,
}

/// A change to the state of a cell.
#[derive(Clone, Debug)]
pub enum Command {
    /// A version of the configuration. One that is not newer than the version in
    /// force is ignored.
    Configure(Arc<Configuration>),
    /// The platform's list of the workers of this data centre.
    Workers(Vec<WorkerSpec>),
    /// The jobs in the ledger, given once to a new owner.
    Recover(Vec<RecoveredJob>),
    /// A submission. The effect that answers it carries `token`.
    Submit {
        /// Token of the request to answer.
        token: u64,
        /// The job to run.
        submission: Submission,
    },
    /// Cancels in one step those of the jobs that belong to the account. The
    /// effect that answers the request carries `token`.
    Cancel {
        /// Token of the request to answer.
        token: u64,
        /// The account that has to own the jobs.
        account: String,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// A report about a member of a gang.
    Member(MemberReport),
    /// The worker reports that it is leaving.
    WorkerLeaving(String),
    /// The worker's lease has certainly expired: nothing runs there any more.
    WorkerLost(String),
    /// The worker restarted and lost its tasks.
    WorkerRestarted(String),
    /// The worker responds again after it was lost, or is no longer leaving.
    WorkerReturned(String),
    /// Inspects again the attempts that should be running on a worker.
    Reinspect(String),
    /// Pauses or resumes the placement of jobs; running jobs continue.
    Pause(bool),
    /// Runs due timers and periodic work.
    Tick,
}
