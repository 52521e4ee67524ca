//! Small stand-ins for the platform, for tests, benches and the demo.
//!
//! Each is a pure state machine with fault switches; [`Platform`] serves them
//! over TCP.

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
