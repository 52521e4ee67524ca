//! Decides what an owner may do by when its epoch was last confirmed.
//!
//! An owner that is cut off from the store and from its successor cannot know that it was
//! replaced. It goes on giving orders for `authority_ms`, so that work survives outages of the
//! store, while the successor polls the workers that it reaches, extends their leases and
//! acknowledges their ends. So **what an owner concludes from the leases that it gave itself
//! counts only once its epoch is confirmed by a request sent after these leases expired**: no
//! other daemon owned until then, and all leases had ended.
//!
//! For the same reason tasks start
//!
//! - again after their worker exited, only once the epoch is confirmed by a request sent after
//!   that became known: the successor may have acknowledged their ends before;
//! - of a job that this owner has learned of, only if its epoch was confirmed less than
//!   `OWNERSHIP_LOSS_NOTICE_MS` before: the successor takes jobs that are stored later than that
//!   after its takeover for jobs that nobody else has started.

use super::action::Action;
use super::recovery::OWNERSHIP_LOSS_NOTICE_MS;
use super::state::Scheduler;
use super::{
    Group,
    GroupKey,
    RunName, //
};

impl Scheduler {
    /// Returns whether orders may be given: the epoch was confirmed recently, and after the
    /// last pause of this process, during which another owner may have taken over.
    pub fn has_authority(&self) -> bool {
        let recent = self.now_ms < self.confirmed_ms + self.tuning.authority_ms;
        recent && self.confirmed_ms >= self.resumed_ms
    }

    /// Whether the epoch was confirmed by a request sent at `at_ms` or later. If it was not and
    /// `at_ms` is over, a confirmation is requested.
    pub(super) fn is_confirmed_since(&mut self, at_ms: u64) -> bool {
        if self.confirmed_ms >= at_ms {
            return true;
        }
        if self.now_ms >= at_ms && self.confirmation_requested_ms < at_ms {
            self.confirmation_requested_ms = self.now_ms;
            self.actions.push(Action::ConfirmEpoch);
        }
        false
    }

    /// Records that runs count as gone because their worker exited.
    pub(super) fn record_lost_groups(&mut self, names: &[RunName]) {
        for name in names {
            if let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) {
                group.lost_ms = self.now_ms;
            }
        }
    }

    /// Returns since when the epoch has to be confirmed before tasks of a group may start.
    fn confirmation_needed_ms(&self, group: &Group) -> u64 {
        let known_ms = self.jobs[&group.key.job].known_ms;
        let new_job_ms = (known_ms + 1).saturating_sub(OWNERSHIP_LOSS_NOTICE_MS);
        new_job_ms.max(group.lost_ms)
    }

    /// Whether the epoch was confirmed late enough that tasks of a group may start.
    pub(super) fn is_confirmed_for(&self, group: &Group) -> bool {
        self.confirmed_ms >= self.confirmation_needed_ms(group)
    }

    /// Requests a confirmation if a waiting group needs one.
    pub(super) fn review_waiting_groups(&mut self) {
        let groups = self.groups.values();
        let ready = groups.filter(|group| group.is_ready(self.now_ms));
        let needed_ms = ready.map(|group| self.confirmation_needed_ms(group)).max();
        if let Some(needed_ms) = needed_ms {
            self.is_confirmed_since(needed_ms);
        }
    }

    /// Handles the confirmation of the epoch by a request sent at `sent_ms`.
    pub(super) fn handle_epoch_confirmed(&mut self, sent_ms: u64) {
        let was_awaited = self.confirmed_ms < self.confirmation_requested_ms;
        self.confirmed_ms = self.confirmed_ms.max(sent_ms);
        if was_awaited && self.confirmed_ms >= self.confirmation_requested_ms {
            self.review_at_ms = self.now_ms;
            self.changed = true;
        }
    }

    /// Returns the time since the last request was sent that confirmed the epoch.
    pub(super) fn confirmed_ago_ms(&self) -> u64 {
        self.now_ms.saturating_sub(self.confirmed_ms)
    }
}
