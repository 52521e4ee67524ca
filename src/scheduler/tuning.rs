//! Defines the time bounds and policies that a scheduler is configured with.

use super::OrderingPolicy;

/// Time bounds and policies of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// How long an owner that cannot confirm its epoch goes on giving leases and starts.
    /// It is longer than the store outages that work should survive; a new owner waits
    /// this long for workers that it cannot reach.
    pub authority_ms: u64,
    /// Length of a worker's lease. Runs survive a loss of connection of this length.
    pub lease_ms: u64,
    /// The longest lease that a worker accepts, whatever is requested.
    pub max_lease_ms: u64,
    /// A worker ignores a start that arrives later than this. The window is short so that
    /// the outcome of a start without an answer is known early.
    pub start_window_ms: u64,
    /// Maximum time that a stop takes on a worker.
    pub stop_ms: u64,
    /// Time within which guaranteed work begins, including the stops of preempted runs.
    pub reclaim_ms: u64,
    /// How long a worker may hold a poll open.
    pub poll_wait_ms: u64,
    /// How long an ended job is remembered.
    pub retention_ms: u64,
    /// Factor by which tasks run longer outside the rack of their data, and gangs that
    /// request one rack outside a single rack.
    pub remote_factor: f64,
    /// Time that a run loses when it restores a checkpoint.
    pub restore_ms: u64,
    /// Time between two checkpoints.
    pub checkpoint_ms: u64,
    /// The policy that orders waiting work.
    pub order: OrderingPolicy,
    /// An owner that last read the operators' emptying orders longer ago than this starts
    /// nothing.
    pub orders_max_age_ms: u64,
    /// An owner that last read the workers' entries longer ago than this starts nothing on
    /// workers that do not check their own capacity, because the capacity may have shrunk.
    pub entries_max_age_ms: u64,
    /// How long a machine is down for its upkeep.
    pub upkeep_ms: u64,
    /// Time for which a new owner orders no upkeep: within it, two successive owners that
    /// both reach the platform must not give orders for the same machine.
    pub holder_gap_ms: u64,
    /// Memory that jobs may take on the owner, in bytes.
    pub job_memory_bytes: u64,
}

/// Time after a stop until its end is listed and the capacity is offered again: two
/// answers of a worker and a pass.
const LISTING_DELAY_MS: u64 = 150;

impl Tuning {
    /// How long guaranteed work waits for capacity on its rack: half of the time that its
    /// bound leaves beside a stop, so that it can still preempt runs elsewhere in time.
    pub(super) fn guaranteed_wait_ms(&self) -> u64 {
        self.reclaim_ms.saturating_sub(self.settle_ms()) / 2
    }

    /// Maximum time from the order to stop a run until its capacity is offered again.
    pub(super) fn settle_ms(&self) -> u64 {
        self.stop_ms + LISTING_DELAY_MS
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
            job_memory_bytes: u64::MAX,
        }
    }
}
