//! Decides when a new owner may start tasks that an earlier owner may have running on
//! unreachable workers.
//!
//! An earlier owner gives leases for as long as `authority_ms` after it last
//! confirmed its epoch, each at most `lease_ms` long. Runs that it started on
//! workers that do not answer this owner can therefore go on until
//! `authority_ms + lease_ms` after this owner took the epoch. Until then, or
//! until every worker of the roster has answered, tasks of jobs that the
//! earlier owner knew are not started again: they could run twice.
//!
//! Meanwhile yet another daemon may have taken over and extended the leases of these workers,
//! so the wait ends only once the epoch is confirmed (see [`super::authority`]).
//!
//! A worker lists only part of its ends in one answer, and the next ones once these are
//! acknowledged. It counts as having answered once it has listed all of them. While it answers it
//! runs under leases of this owner, so its ends are waited for as long as that takes, or until its
//! lease has expired.
//!
//! A roster that cannot be decoded may name any worker. The recovery then ends only with
//! the longest lease.
//!
//! The runs on a worker that an earlier owner closed are stored, so only their tasks wait
//! for such a worker.
//!
//! An earlier owner whose process has ended gives no more leases, and any other starts no job
//! that is stored later than `OWNERSHIP_LOSS_NOTICE_MS` after the takeover (see
//! [`super::authority`]). So such a job starts at once, provided that all jobs stored until then
//! have been read.

use super::action::{
    Decision,
    StopReason, //
};
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

/// Time after the end of a lease in which workers kill their runs.
const KILL_MARGIN_MS: u64 = 100;
/// Time after a takeover in which an earlier owner may still learn of jobs that it starts: four
/// heartbeats.
pub(super) const OWNERSHIP_LOSS_NOTICE_MS: u64 = 1_000;

impl Scheduler {
    /// Begins the recovery once the whole stored state has been read, and polls the workers.
    pub(super) fn begin_recovery(&mut self, earlier_owner_exited: bool) {
        if self.stored_state_read {
            return;
        }
        self.stored_state_read = true;
        self.earlier_owner_exited = earlier_owner_exited;
        self.job_memory.retry_waiting();
        let lease_ms = self.tuning.lease_ms;
        let authority_ms = match earlier_owner_exited {
            true => 0,
            false => self.tuning.authority_ms,
        };
        let wait_ms = authority_ms + lease_ms + lease_ms * CLOCK_DRIFT_PERMILLE / 1_000;
        self.earlier_leases_expired_ms = self.started_ms + wait_ms + KILL_MARGIN_MS;
        self.recovering_until_ms = Some(self.earlier_leases_expired_ms);
        for group in self.groups.values_mut() {
            group.recovering = true;
        }
        for index in 0..self.workers.len() {
            self.poll_if_due(WorkerKey(index as u32));
        }
        self.review_recovery();
    }

    /// Whether an earlier owner may have started tasks of a job that this owner learns of
    /// now.
    pub(super) fn is_recovering(&self) -> bool {
        match self.recovering_until_ms {
            // The time alone is not enough: an owner that reads the jobs late learns late of
            // a job that the earlier owner may have started.
            Some(_) => {
                !self.earlier_owner_exited
                    && self.jobs_read_ms < self.started_ms + OWNERSHIP_LOSS_NOTICE_MS
            }
            None => !self.stored_state_read,
        }
    }

    /// Whether an earlier owner may have started an occurrence of a job that opens now, on a
    /// worker that this owner has not reached yet. This includes an occurrence that came
    /// due after the takeover: an owner that is cut off continues by the clock, and the task
    /// would run twice.
    pub(super) fn may_have_been_started_earlier(&self, job: &GraphJob) -> bool {
        self.is_recovering() || (job.known_earlier && self.recovering_until_ms.is_some())
    }

    /// Ends the recovery once every worker of the roster that is not closed has listed all ends,
    /// or the longest lease that it may have from an earlier owner has expired.
    pub(super) fn review_recovery(&mut self) {
        let Some(until_ms) = self.recovering_until_ms else {
            return;
        };
        let is_relevant =
            |worker: &Worker| worker.on_roster && worker.close_state != CloseState::Closed;
        let has_not_answered =
            |worker: &&Worker| is_relevant(worker) && worker.contact == Contact::Unfenced;
        let has_unlisted_ends = |worker: &&Worker| {
            let has_answered = matches!(worker.contact, Contact::Answering | Contact::Unresponsive);
            is_relevant(worker) && has_answered && !worker.earlier_ends_known
        };
        // This runs after each poll, so each search stops at the first worker that is found.
        let any = |is_found: &dyn Fn(&&Worker) -> bool| {
            self.workers.iter().any(|worker| is_found(&worker))
        };
        if any(&has_unlisted_ends) {
            return;
        }
        let all_answered = !self.roster_unreadable && !any(&has_not_answered);
        if !all_answered && (self.now_ms < until_ms || !self.is_confirmed_since(until_ms)) {
            return;
        }
        let workers = self.workers.iter().filter(has_not_answered);
        let unresponsive: Vec<_> = workers.map(Worker::name).collect();
        self.recovering_until_ms = None;
        self.changed = true;
        self.replace_unreadable_roster();
        self.decided(Decision::RecoveryOver {
            waited_ms: self.now_ms - self.started_ms,
            groups: self
                .groups
                .values()
                .filter(|group| group.recovering)
                .count(),
            unresponsive,
            confirmed_ago_ms: self.confirmed_ago_ms(),
        });
        let keys: Vec<GroupKey> = self.groups.keys().copied().collect();
        for key in keys {
            self.end_group_recovery(key);
        }
    }

    /// Ends the recovery of a group. A gang of which only some members were found cannot
    /// become complete, so it is ended.
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
            self.end_gang(key, StopReason::GangBroken);
        }
    }
}
