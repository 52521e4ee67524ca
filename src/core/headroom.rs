//! Accelerators left free for urgent work.
//!
//! Urgent work that finds nothing free has to wait for the checkpoint of what
//! it preempts. A few free accelerators spare it that wait; how many follows
//! from how much urgent work there has been of late.

use super::{
    Cell,
    Job,
    View,
    WorkerKey,
    placement::Plan, //
};

/// Weight of the latest look at the urgent work.
const LEARNING_RATE: f64 = 0.02;
/// Free accelerators in standard deviations of the urgent work, when both of
/// the users' measures weigh the same.
const DEVIATIONS: f64 = 3.0;
/// Never more than this share of the surplus.
const MAX_SHARE: f64 = 0.04;

/// What was learned of urgent work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Headroom {
    /// Accelerators that urgent work holds now.
    pub urgent_accelerators: u32,
    mean: f64,
    /// Accelerators that other work leaves free.
    pub accelerators: u32,
}

impl Cell {
    /// Looks at the urgent work once more.
    pub(super) fn learn_headroom(&mut self) {
        let now = f64::from(self.headroom.urgent_accelerators);
        self.headroom.mean += LEARNING_RATE * (now - self.headroom.mean);
        // Arrivals are taken for independent: their variance is their mean.
        let deviation = self.headroom.mean.sqrt();
        let both = self.weights.completion + self.weights.fragmentation;
        let emphasis = 2.0 * self.weights.completion / both.max(f64::EPSILON);
        let wanted = (emphasis * DEVIATIONS * deviation).ceil();
        let most = (MAX_SHARE * f64::from(self.surplus_size)).floor();
        self.headroom.accelerators = wanted.min(most) as u32;
    }

    /// Whether a place for work that has time would use up what is left free
    /// for urgent work. Urgent work also finds what is free in kept workers.
    pub(super) fn uses_headroom(&self, job: &Job, plan: &Plan) -> bool {
        if self.headroom.accelerators == 0 || self.is_pressed(job) {
            return false;
        }
        let surplus_in = |key: WorkerKey| self.fleet.mask(View::Surplus, key).count_ones();
        let taken: u32 = plan
            .members
            .iter()
            .map(|&(key, mask)| (mask & self.fleet.mask(View::Surplus, key)).count_ones())
            .sum();
        let kept = self.kept.iter().flat_map(|kept| &kept.workers);
        let kept_free: u32 = kept.map(|&key| surplus_in(key)).sum();
        let free = self.fleet.index_in(View::Surplus).total() + kept_free;
        taken > 0 && free < taken + self.headroom.accelerators
    }
}
