//! A scheduler that places jobs on the accelerators of many machines and guarantees
//! capacity to client accounts.

pub mod backend;
pub mod cli;
pub mod client;
pub mod cluster;
pub mod config;
pub mod core;
pub mod daemon;
pub mod events;
pub mod intake;
pub mod ledger;
pub mod network_bytes;
pub mod owner;
mod panics;
pub mod platform;
pub mod scheduler;
pub mod standin;
pub mod timer;
mod unsent;
pub mod wire;
