//! A scheduler for multi-accelerator jobs under client account guarantees.

pub mod config;
pub mod core;
pub mod ledger;
pub mod platform;
