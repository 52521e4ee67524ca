//! Simulates the platform for tests, benches and the demo.
//!
//! The stand-ins for the key-value service and for a worker are state machines without
//! I/O or clocks: their callers pass the time. Their faults can be switched on and off.
//! [`Platform`] serves them over HTTP.

mod platform;
mod store;
mod task;
mod worker;

pub use platform::{
    Fleet,
    Platform, //
};
pub use store::{
    StoreFaults,
    StoreStandIn, //
};
pub use task::TaskSpec;
pub use worker::{
    Run,
    WorkerFaults,
    WorkerStandIn, //
};
