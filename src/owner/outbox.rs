//! Calls to workers that are in flight or scheduled, with their retries.

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

/// A reservation is abandoned after this number of unanswered calls.
const MAX_RESERVE_TRIES: u32 = 3;
const FIRST_RETRY_MS: u64 = 200;
const MAX_RETRY_MS: u64 = 2_000;
/// Time from the end of the grace period of a stop that the worker accepted to
/// the repeated call that checks whether the task has stopped.
const STOP_CHECK_MS: u64 = 1_000;

/// A call to one worker.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The worker's name.
    pub worker: String,
    /// The call.
    pub call: WorkerCall,
    /// Number of times that the call was sent.
    tries: u32,
}

/// What the result of a call means for the decision core.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// An event of the gang member that the call is about.
    Event(MemberEvent),
    /// Nothing for the core.
    Nothing,
}

/// The calls to workers of one owner.
#[derive(Debug, Default)]
pub struct Outbox {
    in_flight: HashMap<CallId, Outgoing>,
    /// Scheduled calls by due time and sequence number.
    due: BTreeMap<(u64, u64), Outgoing>,
    last_sequence: u64,
}

impl Outbox {
    /// Schedules `call` for `at_ms`.
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
        self.last_sequence += 1;
        self.due.insert((at_ms, self.last_sequence), outgoing);
    }

    /// Removes and returns the earliest scheduled call, if it is due.
    pub fn take_due(&mut self, now_ms: u64) -> Option<Outgoing> {
        let (&key, _) = self.due.first_key_value()?;
        match key.0 <= now_ms {
            true => self.due.remove(&key),
            false => None,
        }
    }

    /// Records that a call was sent under `id`.
    pub fn record_sent(&mut self, id: CallId, mut outgoing: Outgoing) {
        outgoing.tries += 1;
        self.in_flight.insert(id, outgoing);
    }

    /// Removes and returns the call in flight with this id.
    pub fn take(&mut self, id: CallId) -> Option<Outgoing> {
        self.in_flight.remove(&id)
    }

    /// Handles a call without an answer. The call is repeated with backoff, which is
    /// safe because all calls are idempotent. A reservation is abandoned after
    /// `MAX_RESERVE_TRIES`, which is safe because its task cannot begin without a
    /// start call.
    pub fn handle_no_answer(&mut self, outgoing: Outgoing, now_ms: u64) -> CallOutcome {
        let is_reservation = matches!(outgoing.call, WorkerCall::Reserve { .. });
        if is_reservation && outgoing.tries >= MAX_RESERVE_TRIES {
            return CallOutcome::Event(MemberEvent::ReserveRefused);
        }
        let wait_ms = (FIRST_RETRY_MS << outgoing.tries.min(8)).min(MAX_RETRY_MS);
        self.schedule(outgoing, now_ms + wait_ms);
        CallOutcome::Nothing
    }

    /// Handles the worker's answer to a call.
    pub fn handle_answer(
        &mut self,
        outgoing: &Outgoing,
        answer: WorkerAnswer,
        now_ms: u64,
    ) -> CallOutcome {
        match (&outgoing.call, answer) {
            // There is a newer owner. This one ignores the answer and will be
            // fenced by the ledger.
            (_, WorkerAnswer::Refused(WorkerRefusal::StaleEpoch)) => CallOutcome::Nothing,
            (WorkerCall::Reserve { .. }, WorkerAnswer::Done) => {
                CallOutcome::Event(MemberEvent::Reserved)
            }
            (WorkerCall::Reserve { .. }, WorkerAnswer::Refused(_)) => {
                CallOutcome::Event(MemberEvent::ReserveRefused)
            }
            (WorkerCall::Start { .. }, WorkerAnswer::Done) => {
                CallOutcome::Event(MemberEvent::Started)
            }
            (WorkerCall::Start { .. }, WorkerAnswer::Refused(WorkerRefusal::CannotStart)) => {
                CallOutcome::Event(MemberEvent::StartRefused)
            }
            (WorkerCall::Start { .. }, WorkerAnswer::Refused(_)) => {
                CallOutcome::Event(MemberEvent::ReserveRefused)
            }
            (WorkerCall::Stop { .. }, WorkerAnswer::State(TaskState::Unknown)) => {
                CallOutcome::Event(MemberEvent::Stopped { progress_ms: 0 })
            }
            (WorkerCall::Stop { grace_ms, .. }, WorkerAnswer::Done) => {
                let check = Outgoing {
                    tries: 0,
                    ..outgoing.clone()
                };
                self.schedule(check, now_ms + grace_ms + STOP_CHECK_MS);
                CallOutcome::Nothing
            }
            (_, WorkerAnswer::State(state)) => CallOutcome::Event(event_of(state)),
            _ => CallOutcome::Nothing,
        }
    }
}

/// Returns the attempt that a call is about.
pub fn attempt_of(call: &WorkerCall) -> Option<AttemptId> {
    match call {
        WorkerCall::Reserve { attempt, .. }
        | WorkerCall::Start { attempt, .. }
        | WorkerCall::Stop { attempt, .. }
        | WorkerCall::Inspect { attempt, .. } => Some(*attempt),
        WorkerCall::Poll { .. } => None,
    }
}

/// Converts the state of a task into the event for its gang member.
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
