//! Entries and records in the store that other writers wrote: fields missing or
//! of another type, bytes that do not read, keys with odd characters. None of
//! them names a worker to use, and whatever stands beside them holds.
//!
//! `FOREIGN_CASES=100000 cargo test --release --test foreign_entries drawn`
//! draws more entries and more days of a fleet by hand.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[path = "foreign/decoder.rs"]
mod decoder;
#[path = "foreign/drawn.rs"]
mod drawn;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[path = "foreign/path.rs"]
mod path;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;
#[path = "foreign/scheduler.rs"]
mod scheduler;
