//! Headroom: accelerators left free for urgent jobs.
//!
//! An urgent job that finds no free accelerators has to wait for the checkpoints
//! of the jobs that it preempts. A few free accelerators avoid this wait. Their
//! number follows from the recent number of accelerators held by urgent jobs.

use super::{
    CapacityView,
    Cell,
    Job,
    WorkerKey,
    placement::Plan, //
};

/// Weight of the latest sample in the moving average of urgent accelerators.
const LEARNING_RATE: f64 = 0.02;
/// Headroom in standard deviations of the urgent accelerators, when completion and
/// fragmentation have the same weight.
const HEADROOM_DEVIATIONS: f64 = 3.0;
/// Maximum headroom as a share of the accelerators outside every pledge.
const MAX_SHARE: f64 = 0.04;

/// The use of accelerators by urgent jobs and the headroom that follows from it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Headroom {
    /// Accelerators that urgent jobs hold now.
    pub urgent_accelerators: u32,
    /// Moving average of `urgent_accelerators`.
    mean: f64,
    /// Surplus accelerators that other jobs leave free.
    pub accelerators: u32,
}

impl Cell {
    /// Samples the urgent accelerators and updates the headroom.
    pub(super) fn update_headroom(&mut self) {
        let now = f64::from(self.headroom.urgent_accelerators);
        self.headroom.mean += LEARNING_RATE * (now - self.headroom.mean);
        // Arrivals are assumed to be independent, so their variance equals their mean.
        let deviation = self.headroom.mean.sqrt();
        let both = self.weights.completion + self.weights.fragmentation;
        let emphasis = 2.0 * self.weights.completion / both.max(f64::EPSILON);
        let wanted = (emphasis * HEADROOM_DEVIATIONS * deviation).ceil();
        let max_accelerators = (MAX_SHARE * f64::from(self.surplus_capacity)).floor();
        self.headroom.accelerators = wanted.min(max_accelerators) as u32;
    }

    /// Whether a placement for a job that is not time-critical would use up the
    /// headroom. Free accelerators of reserved workers count as free here, since
    /// urgent jobs may use them.
    pub(super) fn uses_headroom(&self, job: &Job, plan: &Plan) -> bool {
        if self.headroom.accelerators == 0 || self.is_time_critical(job) {
            return false;
        }
        let surplus_in = |key: WorkerKey| self.fleet.mask(CapacityView::Surplus, key).count_ones();
        let taken: u32 = plan
            .members
            .iter()
            .map(|&(key, mask)| (mask & self.fleet.mask(CapacityView::Surplus, key)).count_ones())
            .sum();
        let reserved = self
            .backfill_reservations
            .iter()
            .flat_map(|reservation| &reservation.workers);
        let reserved_free: u32 = reserved.map(|&key| surplus_in(key)).sum();
        let free = self.fleet.view_index(CapacityView::Surplus).total() + reserved_free;
        taken > 0 && free < taken + self.headroom.accelerators
    }
}
