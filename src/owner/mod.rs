//! The owner of a data centre: the only writer of its ledger.
//!
//! [`Owner`] combines the decision core with the ledger and the owner lease. It
//! performs no I/O: it turns events into actions, so that the daemon and the
//! fault-matrix test run the same code.
//!
//! The owner reports that a job was accepted, cancelled or ended, and starts
//! tasks, only after the change is durable in the ledger. An owner that was
//! replaced can no longer write the ledger, since each write of its root is a
//! compare-and-swap.

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
