//! Invalid entries and records that other writers put into the store: missing fields,
//! fields of another type, bytes that cannot be decoded, keys with unusual characters.
//! None of them may name a worker to use or affect the valid values beside them.
//!
//! To generate more entries and more scenarios, run
//! `FOREIGN_CASES=100000 cargo test --release --test foreign_entries drawn`.

#[path = "foreign/answers.rs"]
mod answers;
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
