//! Accepts clients' connections and reads their requests, within bounds that follow from the
//! machine's limits. Knows nothing of jobs.
//!
//! Load pattern: clients are not under the operators' control. Many may connect at a time, send
//! most of a request and stop. Each connection takes a place, and what is kept of a request
//! beyond a few kilobytes takes bytes of a budget that all connections share. When places or
//! bytes run out, the connections that make no progress are closed in favour of those that
//! arrive; if all make progress, the request that needs more is refused.

mod admission;
mod body;
mod connection;
mod connection_table;
mod limits;
mod server;

pub use admission::{
    Admission,
    Intake, //
};
pub use body::{
    BodyError,
    is_small,
    read_body, //
};
pub use connection::{
    ConnectionHandle,
    RequestGuard, //
};
pub use connection_table::{
    ConnectionKey,
    ConnectionTable,
    Eviction,
    Exhausted,
    Phase,
    REQUEST_ALLOWANCE_BYTES, //
};
pub use limits::IntakeLimits;
pub use server::{
    HttpAnswerer,
    HttpTimeouts,
    connection_of,
    listen, //
};
