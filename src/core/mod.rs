//! Decides where and when jobs run: a pure, single-threaded state machine that
//! performs no I/O and reads no clock.
//!
//! A [`Cell`] is the state of one data centre. [`Cell::apply`] takes a
//! [`Command`] and the current time and returns the [`Effect`]s that the owner
//! has to carry out. The daemon, the differential tests and the fault matrix
//! all run this code.

mod account;
mod admission;
mod arena;
mod backfill;
mod bitset;
mod cell;
mod command;
mod consolidation;
mod effect;
mod estimate;
mod explain;
mod fleet;
mod fragmentation;
mod gang;
mod headroom;
mod health;
mod index;
mod job;
mod keys;
mod placement;
mod pledge;
mod queue;
mod reclaim;
mod recovery;
mod region;
mod schedule;
mod shape;
mod worker;

pub use account::Account;
pub use arena::{
    Arena,
    ArenaKey, //
};
pub use bitset::BitSet;
pub use cell::{
    Cell,
    Limits, //
};
pub use command::{
    Command,
    MemberEvent,
    MemberReport,
    Submission,
    WorkerSpec, //
};
pub use effect::{
    Effect,
    Outcome,
    Refusal,
    RefusalReason,
    RetryReason,
    StopKind, //
};
pub use estimate::Estimator;
pub use explain::{
    AccountReport,
    JobReport,
    WaitReport,
    WorkerReport,
    parse_public_name, //
    public_name,
};
pub use fleet::{
    CapacityView, //
    Fleet,
};
pub use fragmentation::fragmentation_of;
pub use index::Index;
pub use job::{
    AttemptId,
    Job,
    JobState,
    Member,
    MemberState, //
};
pub use keys::{
    AccountKey,
    ClassKey,
    JobId,
    JobKey,
    PledgeKey,
    RackKey,
    WorkerKey, //
};
pub use pledge::{
    Pledge,
    Shortfall,
    nominal_shortfalls, //
};
pub use recovery::RecoveredJob;
pub use shape::{
    Adjacency,
    Shape, //
};
pub use worker::{
    AcceleratorMask,
    MAX_ACCELERATORS_PER_WORKER,
    Worker,
    WorkerHealth, //
};
