//! One job: what was asked, where it stands, and its gang.

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

/// One attempt of one job, the name under which workers know its tasks.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// The job.
    pub job: JobId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// Where a member of a gang stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// Some of its accelerators are still held by a job that is stopping.
    Claiming,
    /// The worker was asked to reserve.
    Reserving,
    /// The worker has reserved.
    Reserved,
    /// The worker was told to start.
    Starting,
    /// The task runs.
    Running,
    /// The task finished; its result is kept until the gang is whole.
    Finished,
    /// The worker was told to stop the task.
    Stopping,
    /// A new owner has asked the worker what it knows.
    Inspecting,
    /// Nothing of the member is left.
    Gone,
}

/// One member of a gang.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its worker.
    pub worker: WorkerKey,
    /// Its accelerators.
    pub mask: AcceleratorMask,
    /// Those of them that it holds already.
    pub held: AcceleratorMask,
    /// Where it stands.
    pub state: MemberState,
    /// Whether a start may have reached the worker.
    pub may_have_begun: bool,
    /// Work that the checkpoint of its stopped task saved.
    pub saved_ms: Option<u64>,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobState {
    /// Waits for accelerators.
    Queued,
    /// Waits for its next attempt after a failure.
    Backoff {
        /// When the next attempt may come.
        until_ms: u64,
    },
    /// Has a place and waits for preempted work to leave it.
    Claiming,
    /// Members are being reserved.
    Reserving,
    /// All members are reserved and told to start.
    Starting,
    /// All members have confirmed.
    Running,
    /// All members are being stopped.
    Stopping(StopKind),
    /// A new owner finds out what became of the attempt.
    Recovering,
    /// Over.
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
    /// When its class says that it has to be answered.
    pub deadline_ms: u64,
    /// Its place in the queue: the latest start that makes the deadline.
    pub latest_start_ms: u64,
    /// Where it stands.
    pub state: JobState,
    /// Since when it stands there.
    pub since_ms: u64,
    /// Number of the latest attempt.
    pub attempt: u32,
    /// Members of the latest attempt.
    pub members: Vec<Member>,
    /// The pledge of its own account in which it runs.
    pub pledge: Option<PledgeKey>,
    /// Whether the running attempt can be taken back.
    pub yields: bool,
    /// Work that checkpoints have saved.
    pub progress_ms: u64,
    /// When the latest attempt started to run.
    pub running_ms: u64,
    /// When the job first ran.
    pub first_running_ms: Option<u64>,
    /// How often it was preempted.
    pub preemptions: u32,
    /// How often it was moved out of the way of a large gang; not durable.
    pub moves: u32,
    /// How often it failed.
    pub failures: u32,
    /// Different workers on which it failed.
    pub failed_workers: Vec<WorkerKey>,
    /// Whether an earlier attempt may have begun.
    pub ran_before: bool,
    /// When a region may be looked for again to keep for it.
    pub keep_after_ms: u64,
    /// Whether its account has cancelled it.
    pub cancelling: bool,
    /// The group in which it waits in the queue.
    pub queued_as: Option<GroupKey>,
    /// Estimated accelerator-milliseconds with which it waits in the queue.
    pub waiting_work: u64,
    /// The answer of the first member.
    pub answer: Option<AnswerRecord>,
    /// How it ended.
    pub outcome: OutcomeCode,
    /// When it ended.
    pub ended_ms: u64,
}

impl Job {
    /// The attempt that is or was last alive.
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId {
            job: self.id,
            attempt: self.attempt,
        }
    }

    /// Whether the job waits in the queue or for its next attempt.
    pub fn waits(&self) -> bool {
        matches!(self.state, JobState::Queued | JobState::Backoff { .. })
    }

    /// Whether all members are in `state`.
    pub fn all_members(&self, state: MemberState) -> bool {
        self.members.iter().all(|member| member.state == state)
    }

    /// The member on `worker`, if it is not gone.
    pub fn member_on(&mut self, worker: WorkerKey) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.worker == worker && member.state != MemberState::Gone)
    }

    /// Whether any task of the latest attempt may have begun.
    pub fn may_have_begun(&self) -> bool {
        self.members.iter().any(|member| member.may_have_begun)
    }

    /// Whether any task of any attempt may have begun: then "not run" is no
    /// longer true of the job.
    pub fn may_ever_have_begun(&self) -> bool {
        self.ran_before || self.may_have_begun()
    }

    /// Work that checkpoints have saved once the attempt is over: what every
    /// member has saved, or no more than before if one of them saved nothing.
    pub fn saved_ms(&self) -> u64 {
        let saved = self.members.iter().map(|m| m.saved_ms.unwrap_or(0)).min();
        self.progress_ms.max(saved.unwrap_or(0))
    }

    /// The job as the ledger keeps it.
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
