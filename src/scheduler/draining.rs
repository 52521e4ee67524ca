//! Moves runs off workers that are draining.
//!
//! A worker announces that it is draining and exits some seconds later, with whatever still
//! runs on it. A run that cannot end before then is lost with the worker, which is known
//! only once the lease has expired. If the run is stopped now, its task starts elsewhere at
//! once, from its checkpoint if it has one.
//!
//! Only runs that are expected to last clearly longer than the worker stays are moved, and
//! only while another worker has free capacity.

use super::action::StopReason;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    GroupKey,
    RunName,
    RunPhase, //
};
use crate::core::WorkerKey;

/// Time that workers stay beyond what they announce. A run that may end within it is not
/// stopped.
const DEPARTURE_GRACE_MS: u64 = 1_500;

impl Scheduler {
    /// Stops the runs of a draining worker that cannot end before it exits.
    pub(super) fn review_draining(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let worker = self.worker(key);
        if !worker.info.draining || worker.contact != Contact::Answering {
            return;
        }
        let since_ms = worker.draining_since_ms.unwrap_or(now_ms);
        let stays_ms = worker.info.remaining_ms.unwrap_or(0);
        let leaves_ms = since_ms + stays_ms + DEPARTURE_GRACE_MS;
        let outlasts_worker = |run: &super::Run| {
            let end_ms = self.expected_end_ms(key, run);
            run.phase == RunPhase::Running && end_ms.is_none_or(|end_ms| end_ms > leaves_ms)
        };
        let runs = worker.runs.iter().filter(|(_, run)| outlasts_worker(run));
        let names: Vec<RunName> = runs.map(|(&name, _)| name).collect();
        for name in names {
            if self.may_move(key, name) {
                self.stop_run(key, name, StopReason::WorkerLeaving);
                let group_key = GroupKey::of(name.task);
                let group = self.groups.get(&group_key);
                if group.is_some_and(|group| group.gang_run == Some(name.run)) {
                    self.end_gang(group_key, StopReason::GangBroken);
                }
            }
        }
    }

    /// Whether a run may be stopped in order to move its task: another worker has free
    /// capacity for it, and no more tasks of its step are unavailable than the step
    /// allows.
    pub(super) fn may_move(&self, key: WorkerKey, name: RunName) -> bool {
        let Some(group) = self.groups.get(&GroupKey::of(name.task)) else {
            return false;
        };
        let has_capacity_elsewhere = self.workers.iter().any(|worker| {
            worker.key != key
                && worker.takes_work(self.now_ms)
                && worker.free().contains(&group.resources)
        });
        let bound = group.step.max_unavailable;
        has_capacity_elsewhere && bound.is_none_or(|bound| self.away(group, None) < bound.max(1))
    }
}
