//! Computes the headroom: capacity that non-urgent work leaves free for urgent work.
//!
//! Load pattern: urgent jobs come in bursts and have about a second of slack. Where a
//! stop takes most of that second, capacity that is preempted from non-urgent work comes
//! too late, and the preempted work is lost. So non-urgent work leaves as much free as
//! urgent work has lately used beyond what it uses now. Limits: non-urgent work may
//! always use the larger part of the fleet, and long-running work is not limited. Where
//! workers differ in speed, only those count on which most urgent work is on time: the
//! headroom is kept free there, and the others are left to non-urgent work.

use super::action::Decision;
use super::ordering::OrderingPolicy;
use super::state::Scheduler;
use super::{
    GroupKey,
    RunPhase,
    Worker, //
};
use crate::core::WorkerKey;

/// While a smaller share of the fleet is in use than this, no headroom is kept: no work
/// may wait for seconds while half of the fleet is idle.
const MIN_UTILIZATION: f64 = 0.6;
/// Time after which non-urgent work may take the fast capacity that is left beside the
/// minimum utilization: no work may wait for 3 s while half of the fleet is idle.
const MAX_WAIT_FOR_SLOW_MS: u64 = 1_000;

/// Accelerators of a fleet, or of a part of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capacity {
    /// Accelerators of all workers.
    pub fleet: u32,
    /// Accelerators that are free.
    pub free: u32,
}

/// Numbers of tasks of a group that may start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskLimit {
    /// On all workers.
    pub tasks: u32,
    /// On workers where urgent work is on time.
    pub urgent_on_time: u32,
    /// How scarce the capacity is on which urgent work is on time, from 0 to 1.
    pub fast_scarcity: f64,
}

impl TaskLimit {
    /// The limit of work that leaves no headroom.
    pub const NONE: Self = Self {
        tasks: u32::MAX,
        urgent_on_time: u32::MAX,
        fast_scarcity: 0.0,
    };
}

/// Accelerators that non-urgent work may still take in a pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct NonUrgentCapacity {
    /// Free accelerators where urgent work is on time, less those left to waiting gangs;
    /// includes the headroom.
    fast_free: u32,
    /// Free accelerators elsewhere, less those left to waiting gangs.
    slow_free: u32,
    headroom: u32,
    /// Accelerators that non-urgent work may take whatever the headroom.
    minimum: u32,
}

impl NonUrgentCapacity {
    /// Returns the capacity of a fleet of which the part `fast` is fast enough for urgent
    /// work, in which `headroom` accelerators are kept free.
    pub fn new(fleet: Capacity, fast: Capacity, headroom: u32) -> Self {
        let used = fleet.fleet.saturating_sub(fleet.free);
        Self {
            fast_free: fast.free,
            slow_free: fleet.free.saturating_sub(fast.free),
            headroom,
            minimum: ((f64::from(fleet.fleet) * MIN_UTILIZATION) as u32).saturating_sub(used),
        }
    }

    /// Returns how many tasks of `accelerators` each may start. Work with a smaller
    /// `slack_fraction` leaves less of the headroom free. Work that has waited long may take
    /// the minimum on any worker, other work only as far as the slow ones do not suffice.
    pub fn tasks(&self, accelerators: u32, slack_fraction: f64, waited_ms: u64) -> TaskLimit {
        let headroom = (f64::from(self.headroom) * slack_fraction) as u32;
        let minimum = match waited_ms >= MAX_WAIT_FOR_SLOW_MS {
            true => self.minimum,
            false => self.minimum.saturating_sub(self.slow_free),
        };
        let fast = self.fast_free.saturating_sub(headroom).max(minimum);
        let all = fast.saturating_add(self.slow_free);
        let tasks = |free: u32| free.checked_div(accelerators).unwrap_or(u32::MAX);
        TaskLimit {
            tasks: tasks(all),
            urgent_on_time: tasks(fast),
            fast_scarcity: self.fast_scarcity(),
        }
    }

    /// Returns how scarce the fast capacity is, from 0 to 1: the part of what is free there
    /// that is kept for urgent work. 0 if all workers are fast enough.
    fn fast_scarcity(&self) -> f64 {
        if self.slow_free == 0 {
            return 0.0;
        }
        (f64::from(self.headroom) / f64::from(self.fast_free.max(1))).min(1.0)
    }

    /// Subtracts the accelerators of tasks that started, `fast` of them where urgent work is
    /// on time.
    pub fn take(&mut self, accelerators: u32, fast: u32) {
        self.fast_free = self.fast_free.saturating_sub(fast);
        self.slow_free = self
            .slow_free
            .saturating_sub(accelerators.saturating_sub(fast));
        self.minimum = self.minimum.saturating_sub(accelerators);
    }

    /// Subtracts the accelerators of a waiting gang, so that later groups leave them free.
    pub fn reserve(&mut self, accelerators: u32) {
        let slow = accelerators.min(self.slow_free);
        self.slow_free -= slow;
        self.fast_free = self.fast_free.saturating_sub(accelerators - slow);
    }
}

impl Scheduler {
    /// Returns the capacity that non-urgent work may take in this pass.
    pub(super) fn non_urgent_capacity(&mut self) -> NonUrgentCapacity {
        let now_ms = self.now_ms;
        let (mut all, mut fast) = (Capacity::default(), Capacity::default());
        let mut urgent = 0;
        let (mut workers, mut too_slow) = (0, 0);
        for worker in &self.workers {
            if !worker.takes_work(now_ms) {
                continue;
            }
            let is_fast = self.is_urgent_on_time(worker.key);
            let parts = [Some(&mut all), is_fast.then_some(&mut fast)];
            for part in parts.into_iter().flatten() {
                part.free += worker.free().accelerators;
                part.fleet += worker.info.capacity.accelerators;
            }
            urgent += urgent_accelerators(worker);
            workers += 1;
            too_slow += usize::from(!is_fast);
        }
        let urgent = f64::from(urgent);
        let demand = &mut self.urgent_needs.demand;
        demand.observe(now_ms, urgent);
        let headroom = demand.headroom(urgent, f64::from(fast.fleet)) as u32;
        if self.urgent_needs.report(now_ms, too_slow, workers) {
            self.decided(Decision::TooSlowForUrgent {
                limit: self.urgent_needs.tolerances.limit(),
                workers,
                too_slow,
                headroom,
            });
        }
        NonUrgentCapacity::new(all, fast, headroom)
    }

    /// Whether most urgent work is on time on a worker.
    pub(super) fn is_urgent_on_time(&self, key: WorkerKey) -> bool {
        let slowness = self.slowness(key);
        self.urgent_needs.tolerances.are_met_by(slowness)
    }

    /// Learns from an urgent group that starts how slow its workers may be.
    pub(super) fn observe_tolerance(&mut self, key: GroupKey) {
        let (group, job) = (&self.groups[&key], &self.jobs[&key.job]);
        let Some(terms) = job.terms() else {
            return;
        };
        let length_ms = group.objective_length_ms as f64;
        let extra_ms = terms.target_latency_ms as f64;
        let chain_ms = (length_ms - extra_ms) / terms.stretch_factor.max(1.0);
        if job.is_urgent() && !group.step.long_running && chain_ms >= 1.0 {
            let tolerances = &mut self.urgent_needs.tolerances;
            tolerances.observe(length_ms / chain_ms);
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

/// Returns the accelerators that urgent work uses on a worker.
fn urgent_accelerators(worker: &Worker) -> u32 {
    let runs = worker.runs.values();
    let urgent = runs.filter(|run| {
        let active = matches!(run.phase, RunPhase::Starting | RunPhase::Running);
        active && run.priority == 0 && !run.long_running
    });
    urgent.map(|run| run.resources.accelerators).sum()
}
