//! Decides when the end of a run may be acknowledged to its worker.
//!
//! A worker lists an end until it is acknowledged, and then forgets it; the next owner
//! knows only what is stored and what workers list. So **no end is acknowledged before
//! everything that follows from it is durable**: the change of its job, even if the job
//! has already ended in memory, since no other owner knows of that until it is stored.
//! Otherwise, after a change of owner, a task that is done, or that has exhausted its
//! attempts, would run again.
//!
//! An end waits for the last change that its job had when the end was handled. The end of
//! a job that this owner does not know waits until all jobs that were stored when the end
//! was received have been read: by then either the job is known and the end is handled, or
//! the job is not stored any more and none of its tasks can start. Both come about once the
//! store answers, so no end waits for longer than that. Only the end of a job with a stored
//! value that cannot be decoded waits until it can be.

use super::action::Decision;
use super::job_progress::GroupProgress;
use super::state::Scheduler;
use super::{
    EndKind,
    EndedRow,
    GroupKey,
    RunName, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};

/// An end that a worker reported and that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub struct UnacknowledgedEnd {
    /// The end as the worker lists it.
    pub row: EndedRow,
    /// The condition for acknowledging it.
    pub waits_for: WaitsFor,
}

/// The condition that has to hold before an end is acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitsFor {
    /// None: nothing has to be stored.
    Nothing,
    /// The change of its job with this number is durable.
    Change(u64),
    /// Its job is unknown: all jobs that were stored at this time have been read.
    JobsReadPast(u64),
    /// Its job is unreadable: the job can be decoded, or is cancelled.
    JobReadable,
}

impl Scheduler {
    /// Applies an end to its task and job, and returns the condition for acknowledging it.
    pub(super) fn apply_end(&mut self, key: WorkerKey, row: &EndedRow) -> WaitsFor {
        let id = row.name.task.job;
        if self.is_unreadable(id) && !self.jobs.contains_key(&id) {
            return WaitsFor::JobReadable;
        }
        self.record_end_checkpoint(row);
        self.drop_older_unseen_runs(row.name);
        if !matches!(row.kind, EndKind::Done | EndKind::Failed) {
            return WaitsFor::Nothing;
        }
        if self.deleting_jobs.contains_key(&id) {
            // The end of the job was durable before its deletion began.
            return WaitsFor::Nothing;
        }
        if !self.jobs.contains_key(&id) {
            return WaitsFor::JobsReadPast(self.now_ms);
        }
        let group = GroupKey::of(row.name.task);
        self.open_found_occurrence(group);
        match row.kind {
            _ if self.jobs[&id].is_unopened(group.occurrence) => self.record_unopened_end(row),
            EndKind::Done => self.handle_done(key, row.name),
            _ => self.handle_failed(key, row.name),
        }
        // This holds even if nothing changed: the job may have ended, or the task be done,
        // by an end of another worker that is not stored yet and can be lost.
        let job = &self.jobs[&id];
        match job.cancelled {
            // A cancellation is durable before the scheduler learns of it.
            true => WaitsFor::Nothing,
            false => WaitsFor::Change(job.change),
        }
    }

    /// Records an end of an occurrence that waits for memory with the progress from which it will
    /// open.
    fn record_unopened_end(&mut self, row: &EndedRow) {
        let key = GroupKey::of(row.name.task);
        let job = self.job_mut(key.job);
        let Some(step) = job.steps.get(key.step as usize).cloned() else {
            return;
        };
        let index = row.name.task.index;
        if index >= step.count || (step.long_running && row.kind == EndKind::Done) {
            return;
        }
        let known = job.unopened.iter().position(|group| group.is_of(key));
        let at = known.unwrap_or_else(|| {
            job.unopened.push(GroupProgress {
                occurrence: key.occurrence,
                step: key.step,
                ..GroupProgress::default()
            });
            job.unopened.len() - 1
        });
        let progress = &mut job.unopened[at];
        match (row.kind, step.gang) {
            (EndKind::Done, true) => (0..step.count).for_each(|index| progress.record_done(index)),
            (EndKind::Done, false) => progress.record_done(index),
            // The failures of a gang are counted on its first task.
            (_, true) => progress.record_failure(0, row.name.run),
            (_, false) => progress.record_failure(index, row.name.run),
        }
        self.job_changed(key.job);
    }

    /// Applies the ends that were listed before their job was known or readable.
    pub(super) fn handle_early_ends(&mut self, id: JobId) {
        let waiting: Vec<WorkerKey> = self
            .workers_with_unacknowledged_ends
            .iter()
            .copied()
            .collect();
        for key in waiting {
            for at in 0..self.worker(key).unacknowledged_ends.len() {
                let end = &self.worker(key).unacknowledged_ends[at];
                let own = end.row.name.task.job == id;
                let early = matches!(
                    end.waits_for,
                    WaitsFor::JobsReadPast(_) | WaitsFor::JobReadable
                );
                if own && early {
                    let row = end.row.clone();
                    let waits_for = self.apply_end(key, &row);
                    self.worker_mut(key).unacknowledged_ends[at].waits_for = waits_for;
                }
            }
        }
    }

    /// Acknowledges ends whose condition now holds, after more became durable or known: a
    /// worker of which all ends may be acknowledged is polled at once.
    pub(super) fn acknowledge_ends(&mut self) {
        let waiting: Vec<WorkerKey> = self
            .workers_with_unacknowledged_ends
            .iter()
            .copied()
            .collect();
        for key in waiting {
            if self.advance_last_seen(key) {
                let now_ms = self.now_ms;
                let worker = self.worker_mut(key);
                worker.poll_at_ms = worker.poll_at_ms.min(now_ms);
                self.poll_if_due(key);
            }
        }
    }

    /// Advances `last_seen` of a worker past the ends that may be acknowledged. Returns
    /// whether all of its ends may be.
    pub(super) fn advance_last_seen(&mut self, key: WorkerKey) -> bool {
        while let Some(end) = self.worker(key).unacknowledged_ends.front() {
            if !self.may_acknowledge(end) {
                return false;
            }
            let worker = self.worker_mut(key);
            let Some(end) = worker.unacknowledged_ends.pop_front() else {
                break;
            };
            worker.last_seen = end.row.number;
            if matches!(end.waits_for, WaitsFor::JobsReadPast(_)) {
                self.report_released_end(key, end.row.name, "job_not_stored");
            }
        }
        self.workers_with_unacknowledged_ends.remove(&key);
        true
    }

    /// Returns whether the condition for acknowledging an end holds.
    fn may_acknowledge(&self, end: &UnacknowledgedEnd) -> bool {
        match end.waits_for {
            WaitsFor::Nothing => true,
            // A job is removed from memory only after its last change is durable.
            WaitsFor::Change(change) => {
                let job = self.jobs.get(&end.row.name.task.job);
                job.is_none_or(|job| job.stored >= change)
            }
            WaitsFor::JobsReadPast(received_ms) => {
                self.jobs_read_ms > received_ms && !self.is_unreadable(end.row.name.task.job)
            }
            WaitsFor::JobReadable => !self.is_unreadable(end.row.name.task.job),
        }
    }

    /// Records that all jobs that were stored before `sent_ms` have been read.
    pub(super) fn handle_jobs_read(&mut self, sent_ms: u64) {
        self.jobs_read_ms = self.jobs_read_ms.max(sent_ms);
        self.acknowledge_ends();
    }

    /// Counts the reported ends that have not been acknowledged yet.
    pub fn unacknowledged_end_count(&self) -> usize {
        let waiting = self.workers_with_unacknowledged_ends.iter();
        waiting
            .map(|&key| self.worker(key).unacknowledged_ends.len())
            .sum()
    }

    /// Logs that an end is acknowledged although nothing is stored for it.
    pub(super) fn report_released_end(
        &mut self,
        key: WorkerKey,
        name: RunName,
        reason: &'static str,
    ) {
        let worker = self.worker(key).name();
        self.decided(Decision::EndReleased {
            name,
            worker,
            reason,
        });
    }
}
