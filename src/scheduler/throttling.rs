//! Throttles runs that fill a worker so that they do not harm the tasks that serve there.
//!
//! Load pattern: tasks that serve have a target for the tail of their response times;
//! runs that fill the worker beside them, on the cores that they leave unused, raise the
//! tail by amounts that differ by image and change within seconds. Workers report the
//! tail of the last half second, so the throttle follows it in steps: halved at once when
//! the tail nears the target, raised slowly while the tail is far below it. Limits: the
//! tail may exceed the target for a few seconds at most, so once it does, the throttle is
//! set to 0 percent.

use super::action::Action;
use super::state::Scheduler;
use super::{
    GroupKey,
    RunName,
    RunPhase, //
};
use crate::core::WorkerKey;

/// Wait of a poll of a worker with runs that fill and serve: about the period that the
/// reported tail covers.
pub(super) const SHARED_POLL_WAIT_MS: u64 = 400;
/// From this part of the target on, the throttle is lowered.
const NEAR_TARGET: f64 = 0.85;
/// Below this part of the target, the throttle is raised.
const FAR_FROM_TARGET: f64 = 0.6;
/// Percentage points by which the throttle is raised at a time.
const STEP_UP_PERCENT: u32 = 15;

impl Scheduler {
    /// Adjusts the throttle of all runs that fill workers.
    pub(super) fn review_throttling(&mut self) {
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            let worker = self.worker(key);
            let fills = worker.runs.values().any(|run| run.fills);
            if fills {
                self.throttle_worker(key);
            }
        }
    }

    /// Adjusts the throttle of the runs that fill a worker.
    fn throttle_worker(&mut self, key: WorkerKey) {
        let pressure = self.pressure(key);
        let last_response_ms = self.worker(key).last_response_ms;
        let mut changes: Vec<(RunName, u32)> = Vec::new();
        for (&name, run) in &self.worker(key).runs {
            if !run.fills || run.phase != RunPhase::Running || run.throttle_in_flight {
                continue;
            }
            let current = run.throttle_percent.min(100);
            let wanted = match pressure {
                Some(pressure) if pressure >= 1.0 => 0,
                Some(pressure) if pressure >= NEAR_TARGET => current / 2,
                Some(pressure) if pressure >= FAR_FROM_TARGET => current,
                _ => (current + STEP_UP_PERCENT).min(100),
            };
            // One step for each report of the worker. Above 100 percent stands for a
            // throttle that is not known, because its order may not have arrived: it is
            // sent again.
            let may_change = last_response_ms > run.throttled_ms.max(run.ordered_ms)
                || run.throttle_percent > 100;
            if wanted != run.throttle_percent && may_change {
                changes.push((name, wanted));
            }
        }
        for (name, percent) in changes {
            self.send_throttle(key, name, percent);
        }
    }

    /// The highest ratio of the response tail of a run on the worker to its target;
    /// `None` if no tail is known.
    fn pressure(&self, key: WorkerKey) -> Option<f64> {
        let runs = self.worker(key).runs.iter();
        let serving = runs.filter(|(_, run)| run.serves && run.phase == RunPhase::Running);
        let ratios = serving.filter_map(|(name, run)| {
            let group = self.groups.get(&GroupKey::of(name.task))?;
            Some(run.usage? / group.step.tail_target_ms.max(1) as f64)
        });
        ratios.reduce(f64::max)
    }

    fn send_throttle(&mut self, key: WorkerKey, name: RunName, percent: u32) {
        if !self.has_authority() {
            return;
        }
        let worker = self.worker_mut(key);
        let callee = worker.callee();
        if let Some(run) = worker.runs.get_mut(&name) {
            run.throttle_percent = percent;
            run.throttle_in_flight = true;
            run.throttled_ms = worker.last_response_ms;
            self.actions.push(Action::Throttle {
                callee,
                name,
                percent,
            });
        }
    }
}
