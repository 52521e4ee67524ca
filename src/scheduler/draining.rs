//! Moving work off workers that are leaving.
//!
//! Load pattern: a few workers announce that they leave, and do so some seconds
//! later, with whatever still runs there. A run that cannot end before is lost
//! with its worker, and that shows only when its lease is over; stopped now, it
//! starts elsewhere at once, from its checkpoint if it has one. Limits: only
//! runs that are expected to last clearly longer than the worker stays, and
//! only while another worker has room.

use super::action::StopReason;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    GroupKey,
    RunName,
    RunPhase, //
};
use crate::core::WorkerKey;

/// Workers stay a little longer than they announce; a run that may end within
/// this time is left alone.
const STAYS_LONGER_MS: u64 = 1_500;

impl Scheduler {
    /// Stops what cannot end before its worker leaves.
    pub(super) fn review_leaving(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let worker = self.worker(key);
        if !worker.info.draining || worker.contact != Contact::Answering {
            return;
        }
        let since_ms = worker.draining_since_ms.unwrap_or(now_ms);
        let stays_ms = worker.info.remaining_ms.unwrap_or(0);
        let leaves_ms = since_ms + stays_ms + STAYS_LONGER_MS;
        let stays = |run: &super::Run| {
            let end_ms = self.expected_end_ms(key, run);
            run.phase == RunPhase::Running && end_ms.is_none_or(|end_ms| end_ms > leaves_ms)
        };
        let runs = worker.runs.iter().filter(|(_, run)| stays(run));
        let names: Vec<RunName> = runs.map(|(&name, _)| name).collect();
        for name in names {
            if self.may_move(key, name) {
                self.stop_run(key, name, StopReason::WorkerLeaving);
                let group_key = GroupKey::of(name.task);
                let group = self.groups.get(&group_key);
                if group.is_some_and(|group| group.gang_run == Some(name.run)) {
                    self.end_gang(group_key);
                }
            }
        }
    }

    /// Whether there is room elsewhere, and enough other tasks of a step that
    /// lasts are at work.
    pub(super) fn may_move(&self, key: WorkerKey, name: RunName) -> bool {
        let Some(group) = self.groups.get(&GroupKey::of(name.task)) else {
            return false;
        };
        let elsewhere = self.workers.iter().any(|worker| {
            worker.key != key
                && worker.takes_work(self.now_ms)
                && worker.free().holds(&group.resources)
        });
        let bound = group.step.max_unavailable;
        elsewhere && bound.is_none_or(|bound| self.away(group, None) < bound.max(1))
    }
}
