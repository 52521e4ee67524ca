//! When a worker may be told that an end is noted.
//!
//! A worker lists an end until it is told so, and then forgets it; the next
//! owner knows only what is stored and what workers list. So **no worker is told
//! that an end is noted before everything that follows from it is stored**: the
//! change of its job, also where the job is over in memory, since it is over only
//! here until that is stored. Otherwise a done task runs again, or one that failed
//! too often, after a change of owner.
//!
//! An end waits for the last change that its job had when it was taken in. One of
//! a job that this owner does not know waits until all jobs that were stored when
//! it was heard have been read: by then the job is known, and the end is taken in,
//! or the job is not stored any more and nothing of it can start. Each of these
//! comes once the store answers, so no end waits for longer than that; but one of a
//! job with a stored value that does not read waits until that reads.

use super::action::Decision;
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

/// An end that a worker reported and that was not yet acknowledged to it.
#[derive(Clone, Debug)]
pub struct UnacknowledgedEnd {
    /// As the worker lists it.
    pub row: EndedRow,
    /// What comes before its worker is told.
    pub waits_for: WaitsFor,
}

/// What comes before a worker is told that an end is noted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitsFor {
    /// Nothing has to be stored.
    Nothing,
    /// The change of its job with this number is durable.
    Change(u64),
    /// All jobs that were stored at this time are read: its own is not known.
    JobsAt(u64),
    /// Its job reads, or is cancelled.
    JobToRead,
}

impl Scheduler {
    /// Notes what follows from an end, and returns what has to be durable
    /// before its worker may forget it.
    pub(super) fn note_end(&mut self, key: WorkerKey, row: &EndedRow) -> WaitsFor {
        let id = row.name.task.job;
        if self.is_unreadable(id) && !self.jobs.contains_key(&id) {
            return WaitsFor::JobToRead;
        }
        self.keep_end_checkpoint(row);
        self.drop_older_claims(row.name);
        if !matches!(row.kind, EndKind::Done | EndKind::Failed) {
            return WaitsFor::Nothing;
        }
        if self.deleting_jobs.contains_key(&id) {
            // It was over, durably, before it was forgotten.
            return WaitsFor::Nothing;
        }
        if !self.jobs.contains_key(&id) {
            return WaitsFor::JobsAt(self.now_ms);
        }
        self.open_for_end(GroupKey::of(row.name.task));
        match row.kind {
            EndKind::Done => self.take_done(key, row.name),
            _ => self.take_failed(key, row.name),
        }
        // Also where nothing changed: the job may be over, or the task done,
        // by an end of another worker that is not stored yet and can be lost.
        let job = &self.jobs[&id];
        match job.cancelled {
            // Cancellations are stored before they are told.
            true => WaitsFor::Nothing,
            false => WaitsFor::Change(job.change),
        }
    }

    /// Takes in the ends that were heard before their job was known, or could be
    /// read.
    pub(super) fn take_early_ends(&mut self, id: JobId) {
        let waiting: Vec<WorkerKey> = self.with_unacknowledged_ends.iter().copied().collect();
        for key in waiting {
            for at in 0..self.worker(key).unacknowledged_ends.len() {
                let end = &self.worker(key).unacknowledged_ends[at];
                let own = end.row.name.task.job == id;
                let early = matches!(end.waits_for, WaitsFor::JobsAt(_) | WaitsFor::JobToRead);
                if own && early {
                    let row = end.row.clone();
                    let waits_for = self.note_end(key, &row);
                    self.worker_mut(key).unacknowledged_ends[at].waits_for = waits_for;
                }
            }
        }
    }

    /// More is durable, or known: tells the workers that listed ends of it.
    pub(super) fn acknowledge_ends(&mut self) {
        let waiting: Vec<WorkerKey> = self.with_unacknowledged_ends.iter().copied().collect();
        for key in waiting {
            if self.advance_last_seen(key) {
                let now_ms = self.now_ms;
                let worker = self.worker_mut(key);
                worker.poll_at_ms = worker.poll_at_ms.min(now_ms);
                self.poll_if_due(key);
            }
        }
    }

    /// Moves `last_seen` of a worker past the ends that it may forget; whether
    /// it may forget all of them.
    pub(super) fn advance_last_seen(&mut self, key: WorkerKey) -> bool {
        while let Some(end) = self.worker(key).unacknowledged_ends.front() {
            if !self.may_be_forgotten(end) {
                return false;
            }
            let worker = self.worker_mut(key);
            let Some(end) = worker.unacknowledged_ends.pop_front() else {
                break;
            };
            worker.last_seen = end.row.number;
            if matches!(end.waits_for, WaitsFor::JobsAt(_)) {
                self.end_released(key, end.row.name, "job_not_stored");
            }
        }
        self.with_unacknowledged_ends.remove(&key);
        true
    }

    fn may_be_forgotten(&self, end: &UnacknowledgedEnd) -> bool {
        match end.waits_for {
            WaitsFor::Nothing => true,
            // A job leaves the memory only after its last change is durable.
            WaitsFor::Change(change) => {
                let job = self.jobs.get(&end.row.name.task.job);
                job.is_none_or(|job| job.stored >= change)
            }
            WaitsFor::JobsAt(heard_ms) => {
                self.jobs_read_ms > heard_ms && !self.is_unreadable(end.row.name.task.job)
            }
            WaitsFor::JobToRead => !self.is_unreadable(end.row.name.task.job),
        }
    }

    /// All jobs that were stored before `sent_ms` are known.
    pub(super) fn handle_jobs_read(&mut self, sent_ms: u64) {
        self.jobs_read_ms = self.jobs_read_ms.max(sent_ms);
        self.acknowledge_ends();
    }

    /// How many reported ends are not yet acknowledged to their workers.
    pub fn unacknowledged_end_count(&self) -> usize {
        let waiting = self.with_unacknowledged_ends.iter();
        waiting
            .map(|&key| self.worker(key).unacknowledged_ends.len())
            .sum()
    }

    /// Logs an end of which nothing is stored.
    pub(super) fn end_released(&mut self, key: WorkerKey, name: RunName, reason: &'static str) {
        let worker = self.worker(key).name();
        self.decided(Decision::EndReleased {
            name,
            worker,
            reason,
        });
    }
}
