//! What a new owner may assume of workers that it cannot reach.
//!
//! An earlier owner gives leases for as long as `authority_ms` after it last
//! confirmed its epoch, each at most `lease_ms` long. Runs that it started on
//! workers that do not answer this owner can therefore go on until
//! `authority_ms + lease_ms` after this owner took the epoch. Until then, or
//! until every worker of the roster has answered, tasks of jobs that the
//! earlier owner knew are not started anew: they could run twice.
//!
//! A roster that does not read may name any worker: then only the longest lease
//! ends the recovery.
//!
//! What runs on a worker that an earlier owner closed is stored, so only those
//! tasks wait for it.
//!
//! An earlier owner whose process has ended gives no more leases. One that is
//! cut off learns of no new jobs, one that was paused confirms its epoch before
//! it gives orders again, and any other hears of its successor within a
//! heartbeat or two; so jobs that were stored later than that, as far as those
//! stored until then have been read, are started at once.

use super::action::Decision;
use super::state::Scheduler;
use super::worker::{
    CLOCK_DRIFT_PERMILLE,
    CloseState, //
    Contact,
};
use super::{
    GraphJob,
    GroupKey,
    TaskState,
    Worker, //
};
use crate::core::WorkerKey;

/// Added for workers to kill what they run.
const MARGIN_MS: u64 = 100;
/// An earlier owner may hear of new jobs for this long: four heartbeats.
pub(super) const DEPOSED_MS: u64 = 1_000;

impl Scheduler {
    /// All that was stored is told; from here on the workers are asked.
    pub(super) fn begin_recovery(&mut self, earlier_owner_over: bool) {
        if self.stored_state_read {
            return;
        }
        self.stored_state_read = true;
        self.earlier_owner_over = earlier_owner_over;
        let lease_ms = self.tuning.lease_ms;
        let authority_ms = match earlier_owner_over {
            true => 0,
            false => self.tuning.authority_ms,
        };
        let wait_ms = authority_ms + lease_ms + lease_ms * CLOCK_DRIFT_PERMILLE / 1_000;
        self.earlier_leases_over_ms = self.began_ms + wait_ms + MARGIN_MS;
        self.recovering_until_ms = Some(self.earlier_leases_over_ms);
        for group in self.groups.values_mut() {
            group.recovering = true;
        }
        for at in 0..self.workers.len() {
            self.poll_if_due(WorkerKey(at as u32));
        }
        self.review_recovery();
    }

    /// Whether an earlier owner may have started tasks of a job that becomes
    /// known now.
    pub(super) fn is_recovering(&self) -> bool {
        match self.recovering_until_ms {
            // The time alone proves nothing: an owner whose view of the jobs is
            // behind is told late of one that the earlier owner may have started.
            Some(_) => !self.earlier_owner_over && self.jobs_read_ms < self.began_ms + DEPOSED_MS,
            None => !self.stored_state_read,
        }
    }

    /// Whether an earlier owner may have started an occurrence of a job that opens
    /// now, where this owner cannot look yet. Also one that came due after the
    /// takeover: an owner that is cut off goes on by the clock, and the task would
    /// run twice.
    pub(super) fn may_run_unseen(&self, job: &GraphJob) -> bool {
        self.is_recovering() || (job.known_earlier && self.recovering_until_ms.is_some())
    }

    /// Ends the recovery once every worker of the roster answered, or the longest
    /// lease of an earlier owner is over.
    pub(super) fn review_recovery(&mut self) {
        let Some(until_ms) = self.recovering_until_ms else {
            return;
        };
        let is_unheard = |worker: &&Worker| {
            worker.on_roster
                && worker.contact == Contact::Unfenced
                && worker.close_state != CloseState::Closed
        };
        // This runs after each look; it stops at the first worker not heard.
        let unheard = || self.workers.iter().any(|worker| is_unheard(&worker));
        if self.now_ms < until_ms && (self.roster_unreadable || unheard()) {
            return;
        }
        let unheard = self.workers.iter().filter(is_unheard);
        let unheard: Vec<_> = unheard.map(Worker::name).collect();
        self.recovering_until_ms = None;
        self.changed = true;
        self.replace_unread_roster();
        self.decided(Decision::RecoveryOver {
            waited_ms: self.now_ms - self.began_ms,
            groups: self
                .groups
                .values()
                .filter(|group| group.recovering)
                .count(),
            unheard,
        });
        let keys: Vec<GroupKey> = self.groups.keys().copied().collect();
        for key in keys {
            self.end_group_recovery(key);
        }
    }

    /// A gang of which only some members were found cannot become whole.
    fn end_group_recovery(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        group.recovering = false;
        let placed = |state: &TaskState| matches!(state, TaskState::Placed { .. });
        let found = group
            .tasks
            .iter()
            .filter(|task| placed(&task.state))
            .count();
        if group.step.gang && found > 0 && found < group.tasks.len() {
            self.end_gang(key);
        }
    }
}
