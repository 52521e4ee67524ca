//! Keeping work that fills a worker from harming the tasks that serve there.
//!
//! Load pattern: tasks that serve have a target for the tail of their response
//! times; what fills beside them raises it by amounts that differ by image and
//! change within seconds. The tail is told for the last half second, so the
//! pace follows it in steps: down at once when the tail nears the target, up
//! slowly while there is room. Limits: a target may be passed for
//! some seconds on end at most, so the first answer to a passed target
//! is a pace of 0.

use super::action::Action;
use super::state::Scheduler;
use super::{
    GroupKey,
    RunName,
    RunPhase, //
};
use crate::core::WorkerKey;

/// Wait of a look at a worker that shares: as old as the tail that it tells.
pub(super) const SHARED_POLL_WAIT_MS: u64 = 400;
/// From this part of the target on, what fills works less.
const NEAR_TARGET: f64 = 0.85;
/// Below this part of the target, what fills may work more.
const FAR_FROM_TARGET: f64 = 0.6;
/// Steps of the pace.
const UP_PERCENT: u32 = 15;

impl Scheduler {
    /// Sets the pace of what fills beside tasks that serve.
    pub(super) fn review_sharing(&mut self) {
        for at in 0..self.workers.len() {
            let key = WorkerKey(at as u32);
            let worker = self.worker(key);
            let fills = worker.runs.values().any(|run| run.fills);
            if fills {
                self.throttle_worker(key);
            }
        }
    }

    fn throttle_worker(&mut self, key: WorkerKey) {
        let pressure = self.pressure(key);
        let heard_ms = self.worker(key).heard_ms;
        let mut changes: Vec<(RunName, u32)> = Vec::new();
        for (&name, run) in &self.worker(key).runs {
            if !run.fills || run.phase != RunPhase::Running || run.throttle_in_flight {
                continue;
            }
            let known = run.throttle_percent.min(100);
            let wanted = match pressure {
                Some(pressure) if pressure >= 1.0 => 0,
                Some(pressure) if pressure >= NEAR_TARGET => known / 2,
                Some(pressure) if pressure >= FAR_FROM_TARGET => known,
                _ => (known + UP_PERCENT).min(100),
            };
            // One step for each news of the worker, and a pace that may not
            // have arrived is sent again.
            let news =
                heard_ms > run.throttled_ms.max(run.ordered_ms) || run.throttle_percent > 100;
            if wanted != run.throttle_percent && news {
                changes.push((name, wanted));
            }
        }
        for (name, percent) in changes {
            self.send_throttle(key, name, percent);
        }
    }

    /// The worst tail on the worker against its target.
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
            run.throttled_ms = worker.heard_ms;
            self.actions.push(Action::Throttle {
                callee,
                name,
                percent,
            });
        }
    }
}
