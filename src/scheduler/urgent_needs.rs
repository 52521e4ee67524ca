//! Learns what urgent work needs: how much it uses, and how slow its workers may be.
//!
//! Load pattern: urgent jobs come in bursts. Their use is followed by a moving mean and variance,
//! whose peak is the capacity to keep free. Where workers differ in speed, the urgent groups that
//! started last tell on which workers most urgent work is on time.

use super::LogEstimate;
use std::collections::VecDeque;

/// Time constant of the moving average of urgent use: a few run times of urgent work.
const MEMORY_MS: f64 = 8_000.0;
/// Standard deviations above the mean use that are kept free: peaks are rarely higher.
const PEAK_DEVIATIONS: f64 = 3.0;
/// Maximum share of the fleet's accelerators that is kept free.
const MAX_SHARE: f64 = 0.35;
/// Number of urgent groups whose tolerances are remembered.
const TOLERANCES: usize = 64;
/// Share of the urgent groups that may be late on a worker that counts as on time.
const LATE_SHARE: f64 = 0.25;
/// A change by one worker in this many is reported.
const REPORTED_PART: usize = 20;
/// Shortest time between two reports.
const MIN_REPORT_INTERVAL_MS: u64 = 2_000;

/// How much longer than on a usual worker urgent work may take and still be on time.
#[derive(Clone, Debug, Default)]
pub struct Tolerances {
    /// The factors of the groups that started last, the newest last.
    recent: VecDeque<f64>,
    /// The slowness up to which a worker counts as on time; `None` if none started yet.
    limit: Option<f64>,
}

impl Tolerances {
    /// Adds an urgent group that has started: its objective is `factor` run times long.
    pub fn observe(&mut self, factor: f64) {
        if self.recent.len() == TOLERANCES {
            self.recent.pop_front();
        }
        self.recent.push_back(factor);
        let mut sorted: Vec<f64> = self.recent.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let at = (sorted.len() as f64 * LATE_SHARE) as usize;
        self.limit = sorted.get(at).copied();
    }

    /// Returns the slowness up to which a worker counts as on time; `None` until urgent work
    /// has started.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Whether most urgent work is on time on a worker.
    pub fn are_met_by(&self, slowness: LogEstimate) -> bool {
        self.limit.is_none_or(|limit| slowness.value() <= limit)
    }
}

/// What is known of the needs of urgent work.
#[derive(Clone, Debug, Default)]
pub struct UrgentNeeds {
    /// The accelerators that it uses.
    pub demand: Demand,
    /// The speeds that it needs.
    pub tolerances: Tolerances,
    /// Number of workers too slow for it in the last report, and when it was made.
    reported: (usize, u64),
}

impl UrgentNeeds {
    /// Whether the number of workers that are too slow for urgent work has changed by so much
    /// since the last report that it is reported now.
    pub fn report(&mut self, now_ms: u64, too_slow: usize, workers: usize) -> bool {
        let (before, at_ms) = self.reported;
        let changed = too_slow.abs_diff(before) * REPORTED_PART > workers;
        let due = now_ms >= at_ms + MIN_REPORT_INTERVAL_MS;
        if changed && due {
            self.reported = (too_slow, now_ms);
        }
        changed && due
    }
}

/// Moving mean and variance of the accelerators that urgent work uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    mean: f64,
    variance: f64,
    at_ms: u64,
}

impl Demand {
    /// Adds the use at `now_ms`, which is assumed for the whole time since the last call.
    pub fn observe(&mut self, now_ms: u64, used: f64) {
        let since_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = now_ms;
        let weight = 1.0 - (-since_ms / MEMORY_MS).exp();
        let off = used - self.mean;
        self.mean += weight * off;
        self.variance = (1.0 - weight) * (self.variance + weight * off * off);
    }

    /// Returns the accelerators to keep free beside the `used` ones, in a fleet of `fleet`.
    pub fn headroom(&self, used: f64, fleet: f64) -> f64 {
        let peak = self.mean + PEAK_DEVIATIONS * self.variance.sqrt();
        (peak - used).clamp(0.0, MAX_SHARE * fleet)
    }
}
