//! Bounds that a scheduler is given.

use super::OrderingPolicy;

/// Bounds of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// How long an owner that cannot confirm its epoch goes on giving leases
    /// and starts. Longer than the outages of the store that work should
    /// survive unharmed; a new owner waits it out for workers it cannot reach.
    pub authority_ms: u64,
    /// Length of a worker's lease: survives a cut of that length.
    pub lease_ms: u64,
    /// The longest lease that a worker gives, whatever it is told.
    pub max_lease_ms: u64,
    /// A start that arrives later than this does nothing. Short, so that a
    /// start without an answer is settled early.
    pub start_window_ms: u64,
    /// Most that a stop takes on a worker.
    pub stop_ms: u64,
    /// Within so long guaranteed work begins, stops of others included.
    pub reclaim_ms: u64,
    /// How long a worker may hold a poll open.
    pub poll_wait_ms: u64,
    /// How long an ended job is remembered.
    pub retention_ms: u64,
    /// Tasks with data on a rack, or tight gangs, take this many times as long
    /// elsewhere.
    pub remote_factor: f64,
    /// Time that a run loses by going on from a checkpoint.
    pub restore_ms: u64,
    /// Time between two checkpoints.
    pub checkpoint_ms: u64,
    /// What orders waiting work.
    pub order: OrderingPolicy,
    /// An owner that read the operators' orders longer ago than this starts
    /// nothing.
    pub orders_max_age_ms: u64,
    /// An owner that read the workers' entries longer ago than this starts nothing on
    /// workers that start whatever they are told to: their room may have shrunk.
    pub entries_max_age_ms: u64,
    /// How long a machine is down for its upkeep.
    pub upkeep_ms: u64,
    /// A new owner gives no orders for machines for this long: two owners in
    /// touch may not take turns at one machine within it.
    pub holder_gap_ms: u64,
}

/// Time beyond the bound of a stop until its end is listed and room is offered
/// again: two answers of a worker and a pass.
const LISTED_MS: u64 = 150;

impl Tuning {
    /// How long guaranteed work waits for its rack: half of what its promise leaves
    /// beside a stop, so that it may still take room back elsewhere.
    pub(super) fn promised_wait_ms(&self) -> u64 {
        self.reclaim_ms.saturating_sub(self.settle_ms()) / 2
    }

    /// From a stop's order until the room is offered again, at most.
    pub(super) fn settle_ms(&self) -> u64 {
        self.stop_ms + LISTED_MS
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            authority_ms: 6_000,
            lease_ms: 7_000,
            max_lease_ms: 10_000,
            start_window_ms: 1_500,
            stop_ms: 200,
            reclaim_ms: 2_700,
            poll_wait_ms: 1_000,
            retention_ms: 150_000,
            remote_factor: 3.0,
            restore_ms: 600,
            checkpoint_ms: 2_000,
            order: OrderingPolicy::Utility,
            orders_max_age_ms: u64::MAX,
            entries_max_age_ms: u64::MAX,
            upkeep_ms: 2_000,
            holder_gap_ms: 3_500,
        }
    }
}
