//! Room that patient work leaves free for urgent work to come.
//!
//! Load pattern: urgent jobs come in bursts and have about a second to spare. Where
//! a stop takes most of that second, room that has to be taken back from patient
//! work comes too late, and what was stopped is thrown away. So patient work leaves
//! as much free as urgent work has lately been using beyond what it uses now.
//! Limits: patient work may always use the larger part of the fleet, and work that
//! has to run all the time is not held back.

use super::state::Scheduler;
use super::{
    GroupKey,
    RunPhase, //
};

/// The use of the last seconds counts: a few run times of urgent work.
const MEMORY_MS: f64 = 8_000.0;
/// Deviations above the mean use that are kept free.
const DEVIATIONS: f64 = 1.0;
/// Most of the fleet's accelerators that are kept free.
const MOST_SHARE: f64 = 0.35;

/// Accelerators that urgent work uses or waits for, as seen of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    mean: f64,
    variance: f64,
    at_ms: u64,
}

impl Demand {
    /// Takes in the use at `now_ms`; it is taken to have lasted since the last.
    pub fn note(&mut self, now_ms: u64, used: f64) {
        let since_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = now_ms;
        let weight = 1.0 - (-since_ms / MEMORY_MS).exp();
        let off = used - self.mean;
        self.mean += weight * off;
        self.variance = (1.0 - weight) * (self.variance + weight * off * off);
    }

    /// Accelerators to keep free beside what is used now, of a fleet so large.
    pub fn headroom(&self, used: f64, fleet: f64) -> f64 {
        let peak = self.mean + DEVIATIONS * self.variance.sqrt();
        (peak - used).clamp(0.0, MOST_SHARE * fleet)
    }
}

impl Scheduler {
    /// Accelerators that patient work may still take in this pass.
    pub(super) fn room_for_patient(&mut self) -> u32 {
        let now_ms = self.now_ms;
        let takes = || {
            self.workers
                .iter()
                .filter(|worker| worker.takes_work(now_ms))
        };
        let free: u32 = takes().map(|worker| worker.free().accelerators).sum();
        let fleet: u32 = takes()
            .map(|worker| worker.info.capacity.accelerators)
            .sum();
        let mut used = 0;
        for worker in takes() {
            for run in worker.runs.values() {
                let on = matches!(run.phase, RunPhase::Starting | RunPhase::Running);
                if on && run.priority == 0 && !run.long_running {
                    used += run.room.accelerators;
                }
            }
        }
        let used = f64::from(used);
        self.demand.note(now_ms, used);
        let headroom = self.demand.headroom(used, f64::from(fleet));
        free.saturating_sub(headroom as u32)
    }

    /// Whether a group leaves headroom.
    pub(super) fn is_patient(&self, key: GroupKey) -> bool {
        let lasts = self.groups[&key].step.long_running;
        self.jobs[&key.job].priority > 0 && !lasts
    }
}
