//! Calls to workers that are under way or to be repeated.

use super::CallId;
use crate::backend::{
    TaskState,
    WorkerAnswer,
    WorkerCall,
    WorkerRefusal, //
};
use crate::core::{
    AttemptId,
    MemberEvent, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// A reservation is given up after so many calls without an answer.
const MAX_RESERVE_TRIES: u32 = 3;
const FIRST_RETRY_MS: u64 = 200;
const MAX_RETRY_MS: u64 = 2_000;
/// A stop that the worker has taken is asked about again after its grace.
const STOP_CHECK_MS: u64 = 1_000;

/// A call to one worker.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The worker's name.
    pub worker: String,
    /// The call.
    pub call: WorkerCall,
    tries: u32,
}

/// What the answer to a call means.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Meaning {
    /// News of the member.
    Event(MemberEvent),
    /// Nothing to do now.
    Nothing,
}

/// The calls of one owner.
#[derive(Debug, Default)]
pub struct Outbox {
    under_way: HashMap<CallId, Outgoing>,
    due: BTreeMap<(u64, u64), Outgoing>,
    next_due: u64,
}

impl Outbox {
    /// Notes that `call` is due at `at_ms`.
    pub fn push(&mut self, worker: &str, call: WorkerCall, at_ms: u64) {
        self.schedule(
            Outgoing {
                worker: worker.to_owned(),
                call,
                tries: 0,
            },
            at_ms,
        );
    }

    fn schedule(&mut self, outgoing: Outgoing, at_ms: u64) {
        self.next_due += 1;
        self.due.insert((at_ms, self.next_due), outgoing);
    }

    /// The next call that is due.
    pub fn take_due(&mut self, now_ms: u64) -> Option<Outgoing> {
        let (&at, _) = self.due.first_key_value()?;
        match at.0 <= now_ms {
            true => self.due.remove(&at),
            false => None,
        }
    }

    /// Notes that a call was made.
    pub fn sent(&mut self, id: CallId, mut outgoing: Outgoing) {
        outgoing.tries += 1;
        self.under_way.insert(id, outgoing);
    }

    /// The call of `id`, no longer under way.
    pub fn take(&mut self, id: CallId) -> Option<Outgoing> {
        self.under_way.remove(&id)
    }

    /// What the silence of a worker means: the call is made again, as it has
    /// one effect however often it arrives, but a reservation is given up in
    /// the end, since nothing can begin without its start.
    pub fn silent(&mut self, outgoing: Outgoing, now_ms: u64) -> Meaning {
        let reserving = matches!(outgoing.call, WorkerCall::Reserve { .. });
        if reserving && outgoing.tries >= MAX_RESERVE_TRIES {
            return Meaning::Event(MemberEvent::ReserveRefused);
        }
        let wait_ms = (FIRST_RETRY_MS << outgoing.tries.min(8)).min(MAX_RETRY_MS);
        self.schedule(outgoing, now_ms + wait_ms);
        Meaning::Nothing
    }

    /// What an answer means.
    pub fn answered(&mut self, outgoing: &Outgoing, answer: WorkerAnswer, now_ms: u64) -> Meaning {
        match (&outgoing.call, answer) {
            // A newer owner is at work; this one is about to learn it from the
            // ledger, and decides nothing on this answer.
            (_, WorkerAnswer::Refused(WorkerRefusal::StaleEpoch)) => Meaning::Nothing,
            (WorkerCall::Reserve { .. }, WorkerAnswer::Done) => {
                Meaning::Event(MemberEvent::Reserved)
            }
            (WorkerCall::Reserve { .. }, WorkerAnswer::Refused(_)) => {
                Meaning::Event(MemberEvent::ReserveRefused)
            }
            (WorkerCall::Start { .. }, WorkerAnswer::Done) => Meaning::Event(MemberEvent::Started),
            (WorkerCall::Start { .. }, WorkerAnswer::Refused(WorkerRefusal::CannotStart)) => {
                Meaning::Event(MemberEvent::StartRefused)
            }
            (WorkerCall::Start { .. }, WorkerAnswer::Refused(_)) => {
                Meaning::Event(MemberEvent::ReserveRefused)
            }
            (WorkerCall::Stop { .. }, WorkerAnswer::State(TaskState::Unknown)) => {
                Meaning::Event(MemberEvent::Stopped { progress_ms: 0 })
            }
            (WorkerCall::Stop { grace_ms, .. }, WorkerAnswer::Done) => {
                let again = Outgoing {
                    tries: 0,
                    ..outgoing.clone()
                };
                self.schedule(again, now_ms + grace_ms + STOP_CHECK_MS);
                Meaning::Nothing
            }
            (_, WorkerAnswer::State(state)) => Meaning::Event(event_of(state)),
            _ => Meaning::Nothing,
        }
    }
}

/// The attempt that a call is about.
pub fn attempt_of(call: &WorkerCall) -> Option<AttemptId> {
    match call {
        WorkerCall::Reserve { attempt, .. }
        | WorkerCall::Start { attempt, .. }
        | WorkerCall::Stop { attempt, .. }
        | WorkerCall::Inspect { attempt, .. } => Some(*attempt),
        WorkerCall::Poll { .. } => None,
    }
}

/// What a task's state means for its member.
pub fn event_of(state: TaskState) -> MemberEvent {
    match state {
        TaskState::Unknown => MemberEvent::Unknown,
        TaskState::NotBegun => MemberEvent::NotBegun,
        TaskState::Running => MemberEvent::Started,
        TaskState::Finished(answer) => MemberEvent::Finished(answer),
        TaskState::Failed => MemberEvent::Failed,
        TaskState::Stopped { progress_ms } => MemberEvent::Stopped { progress_ms },
    }
}
