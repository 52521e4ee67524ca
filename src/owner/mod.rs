//! The owner of a data centre: the only writer of its ledger.
//!
//! [`Owner`] joins the decision core with the ledger and the lease. It does no
//! I/O: events go in, actions come out, so that the daemon and the fault
//! matrix run the same code.

mod effects;
mod lease;
mod message;
mod outbox;
mod requests;
mod state;
mod store_events;
mod workers;

pub use message::{
    Action,
    CallId,
    Ended,
    Event,
    Reply,
    Request,
    WorkerUpdate, //
};
pub use state::{
    Owner,
    Settings, //
};
