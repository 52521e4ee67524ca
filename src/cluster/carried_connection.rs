//! A connection over which an owner sends calls to workers that this daemon carries.

use super::carrier_frame::{
    AnswerMessage,
    CallMessage, //
};
use super::carrier_session::{
    CarrierSession,
    SessionError, //
};
use super::worker_call::{
    AddressedCall,
    WorkerAnswer, //
};
use crate::scheduler::MIN_RESTART_MS;
use std::cell::RefCell;
use std::collections::HashMap;

/// What is remembered of such a connection.
#[derive(Debug, Default)]
pub struct CarriedConnection {
    session: RefCell<CarrierSession>,
    /// When each worker last answered a poll on this connection, by its number.
    answered_ms: RefCell<HashMap<u32, u64>>,
}

impl CarriedConnection {
    /// Decodes a call. It has to be decoded as soon as it arrives, since later ones refer to it.
    ///
    /// # Errors
    ///
    /// The call cannot be decoded; the connection is of no use any more.
    pub fn decode(&self, message: CallMessage) -> Result<(u32, AddressedCall), SessionError> {
        self.session.borrow_mut().decode(message)
    }

    /// Encodes the answer to a call. Answers have to be sent in the order of their encoding.
    pub fn encode(&self, worker: u32, answer: WorkerAnswer, now_ms: u64) -> AnswerMessage {
        if let WorkerAnswer::Report(_) = &answer {
            self.answered_ms.borrow_mut().insert(worker, now_ms);
        }
        self.session.borrow_mut().encode(worker, answer)
    }

    /// Whether a worker answered a poll so recently that it cannot have restarted since.
    pub fn is_same_incarnation(&self, worker: u32, now_ms: u64) -> bool {
        let answered_ms = self.answered_ms.borrow().get(&worker).copied();
        answered_ms.is_some_and(|at_ms| now_ms < at_ms + MIN_RESTART_MS)
    }
}
