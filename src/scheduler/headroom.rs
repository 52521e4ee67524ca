//! Headroom: capacity that non-urgent work leaves free for urgent work to come.
//!
//! Load pattern: urgent jobs come in bursts and have about a second to spare. Where
//! a stop takes most of that second, room that has to be taken back from patient
//! work comes too late, and what was stopped is thrown away. So patient work leaves
//! as much free as urgent work has lately been using beyond what it uses now.
//! Limits: patient work may always use the larger part of the fleet, and work that
//! has to run all the time is not held back.

use super::ordering::OrderingPolicy;
use super::state::Scheduler;
use super::{
    GroupKey,
    RunPhase,
    Worker, //
};

/// The use of the last seconds counts: a few run times of urgent work.
const MEMORY_MS: f64 = 8_000.0;
/// Deviations above the mean use that are kept free: peaks are rarely higher.
const DEVIATIONS: f64 = 3.0;
/// Most of the fleet's accelerators that are kept free.
const MOST_SHARE: f64 = 0.35;
/// While less of the fleet is in use than this, nothing is held back: nobody may
/// wait for seconds beside a fleet of which half is idle.
const LEAST_USED: f64 = 0.6;

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

/// Accelerators that non-urgent work may still take in a pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct NonUrgentCapacity {
    /// What is free beside the headroom and what waiting gangs need.
    free: u32,
    headroom: u32,
    /// What it may take in any case.
    in_any_case: u32,
}

impl NonUrgentCapacity {
    /// How many tasks of so many accelerators it holds.
    pub fn tasks(&self, accelerators: u32, slack_fraction: f64) -> u32 {
        let headroom = (f64::from(self.headroom) * slack_fraction) as u32;
        let room = self.free.saturating_sub(headroom).max(self.in_any_case);
        room.checked_div(accelerators).unwrap_or(u32::MAX)
    }

    /// Work of so many accelerators started.
    pub fn take(&mut self, accelerators: u32) {
        self.leave(accelerators);
        self.in_any_case = self.in_any_case.saturating_sub(accelerators);
    }

    /// A gang of so many accelerators waits: what comes after it leaves them.
    pub fn leave(&mut self, accelerators: u32) {
        self.free = self.free.saturating_sub(accelerators);
    }
}

impl Scheduler {
    /// The capacity that non-urgent work may take in this pass.
    pub(super) fn non_urgent_capacity(&mut self) -> NonUrgentCapacity {
        let now_ms = self.now_ms;
        let (mut free, mut fleet, mut urgent) = (0, 0, 0);
        for worker in &self.workers {
            if !worker.takes_work(now_ms) {
                continue;
            }
            free += worker.free().accelerators;
            fleet += worker.info.capacity.accelerators;
            urgent += urgent_accelerators(worker);
        }
        let urgent = f64::from(urgent);
        self.demand.note(now_ms, urgent);
        let headroom = self.demand.headroom(urgent, f64::from(fleet)) as u32;
        let used = fleet.saturating_sub(free);
        NonUrgentCapacity {
            free,
            headroom,
            in_any_case: ((f64::from(fleet) * LEAST_USED) as u32).saturating_sub(used),
        }
    }

    /// Whether a group is non-urgent and so leaves headroom.
    pub(super) fn is_non_urgent(&self, key: GroupKey) -> bool {
        let group = &self.groups[&key];
        self.tuning.order == OrderingPolicy::Utility
            && self.jobs[&key.job].priority > 0
            && !group.step.long_running
    }
}

/// Accelerators that urgent work uses on a worker.
fn urgent_accelerators(worker: &Worker) -> u32 {
    let runs = worker.runs.values();
    let urgent = runs.filter(|run| {
        let on = matches!(run.phase, RunPhase::Starting | RunPhase::Running);
        on && run.priority == 0 && !run.long_running
    });
    urgent.map(|run| run.resources.accelerators).sum()
}
