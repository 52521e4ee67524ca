//! A job: its submission, its state and the members of its latest attempt.

use super::{
    AccountKey,
    ClassKey,
    JobId,
    PledgeKey,
    Shape,
    StopKind,
    WorkerKey,
    queue::GroupKey,
    worker::AcceleratorMask, //
};
use crate::ledger::{
    AnswerRecord,
    JobRecord,
    OutcomeCode,
    Submission, //
};

/// Identity of one attempt of a job, under which workers know its tasks.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// The job.
    pub job: JobId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// State of a member of a gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Some of its accelerators are still held by a job that is stopping.
    Claiming,
    /// The worker was asked to reserve.
    Reserving,
    /// The worker has confirmed the reservation.
    Reserved,
    /// The worker was told to start.
    Starting,
    /// The task runs.
    Running,
    /// The task finished; the job ends once all members have finished.
    Finished,
    /// The worker was told to stop the task.
    Stopping,
    /// A new owner has asked the worker for the state of the attempt.
    Inspecting,
    /// The member ended without a result and holds no accelerators.
    Gone,
}

/// One member of a gang.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its worker.
    pub worker: WorkerKey,
    /// Its accelerators on that worker.
    pub mask: AcceleratorMask,
    /// The accelerators of `mask` that it holds now.
    pub held: AcceleratorMask,
    /// Its state.
    pub state: MemberState,
    /// Whether a start may have reached the worker.
    pub may_have_begun: bool,
    /// Run time covered by the checkpoint of its stopped task.
    pub saved_ms: Option<u64>,
}

/// State of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobState {
    /// Waits for accelerators.
    Queued,
    /// Waits for its next attempt after a failure.
    Backoff {
        /// When the job is queued again.
        until_ms: u64,
    },
    /// Has a place and waits until preempted work has left it.
    Claiming,
    /// Members are being reserved.
    Reserving,
    /// All members are reserved and were told to start.
    Starting,
    /// All members have confirmed their start.
    Running,
    /// All members are being stopped.
    Stopping(StopKind),
    /// A new owner is asking the workers for the state of the attempt.
    Recovering,
    /// The job has ended.
    Ended,
}

/// A job of the cell.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identity.
    pub id: JobId,
    /// What the caller submitted.
    pub submission: Submission,
    /// Its account.
    pub account: AccountKey,
    /// Its class.
    pub class: ClassKey,
    /// Its shape.
    pub shape: Shape,
    /// When it was accepted.
    pub accepted_ms: u64,
    /// When it has to be answered to meet its class.
    pub deadline_ms: u64,
    /// Its order in the queue: the latest start that meets the deadline, or a
    /// later target once that has passed.
    pub latest_start_ms: u64,
    /// Its state.
    pub state: JobState,
    /// When it entered its state.
    pub state_since_ms: u64,
    /// Number of the latest attempt.
    pub attempt: u32,
    /// Members of the latest attempt.
    pub members: Vec<Member>,
    /// The pledge of its own account in whose accelerators it runs.
    pub pledge: Option<PledgeKey>,
    /// Whether the latest attempt may be preempted.
    pub is_reclaimable: bool,
    /// Run time covered by checkpoints.
    pub progress_ms: u64,
    /// When the latest attempt started to run.
    pub run_started_ms: u64,
    /// When the job first ran.
    pub first_running_ms: Option<u64>,
    /// How often it was preempted.
    pub preemptions: u32,
    /// How often it was moved to make space for a large gang; not stored.
    pub moves: u32,
    /// Number of attempts that ended because a task failed or a worker refused to
    /// start it. Failures on a worker that is quarantined for them do not count.
    pub failures: u32,
    /// Different workers on which it failed, except those quarantined since.
    pub failed_workers: Vec<WorkerKey>,
    /// Whether an earlier attempt may have begun.
    pub earlier_may_have_begun: bool,
    /// Earliest time of the next search for workers to reserve for it.
    pub reserve_after_ms: u64,
    /// Whether its account has cancelled it.
    pub cancelling: bool,
    /// The group in which it waits in the queue.
    pub queue_group: Option<GroupKey>,
    /// Estimated accelerator-milliseconds with which it waits in the queue.
    pub waiting_work: u64,
    /// The answer of its first member.
    pub answer: Option<AnswerRecord>,
    /// How it ended.
    pub outcome: OutcomeCode,
    /// When it ended.
    pub ended_ms: u64,
}

impl Job {
    /// Returns the identity of the latest attempt.
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId {
            job: self.id,
            attempt: self.attempt,
        }
    }

    /// Returns whether the job waits in the queue or in a backoff.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, JobState::Queued | JobState::Backoff { .. })
    }

    /// Returns whether all members are in `state`.
    pub fn all_members(&self, state: MemberState) -> bool {
        self.members.iter().all(|member| member.state == state)
    }

    /// Returns the member on `worker`, unless it is gone.
    pub fn member_on(&mut self, worker: WorkerKey) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.worker == worker && member.state != MemberState::Gone)
    }

    /// Returns whether any task of the latest attempt may have begun.
    pub fn may_have_begun(&self) -> bool {
        self.members.iter().any(|member| member.may_have_begun)
    }

    /// Returns whether any task of any attempt may have begun. The job can then
    /// no longer be reported as not run.
    pub fn may_ever_have_begun(&self) -> bool {
        self.earlier_may_have_begun || self.may_have_begun()
    }

    /// Returns the progress of the job after its latest attempt: the run time
    /// covered by the checkpoints of all its members, at least that of earlier
    /// attempts.
    pub fn saved_ms(&self) -> u64 {
        let saved = self.members.iter().map(|m| m.saved_ms.unwrap_or(0)).min();
        self.progress_ms.max(saved.unwrap_or(0))
    }

    /// Returns the job as stored in the ledger.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            id: self.id.0,
            submission: self.submission.clone(),
            accepted_ms: self.accepted_ms,
            attempt: self.attempt,
            members: Vec::new(),
            progress_ms: self.progress_ms,
            preemptions: self.preemptions,
            failures: self.failures,
            outcome: self.outcome as i32,
            ended_ms: self.ended_ms,
            answer: self.answer.clone(),
            starting_ms: 0,
            cancelling: self.cancelling,
        }
    }
}
