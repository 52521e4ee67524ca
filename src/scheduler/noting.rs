//! When a worker may be told that an end is noted.
//!
//! A worker lists an end until it is told so, and then forgets it.

use super::action::Decision;
use super::state::Scheduler;
use super::{
    EndKind,
    EndedRow, //
};
use crate::core::WorkerKey;

/// An end that was taken in and of which its worker was not told that it is
/// noted.
#[derive(Clone, Debug)]
pub struct HeardEnd {
    /// As the worker lists it.
    pub row: EndedRow,
    /// The change of its job that has to be stored before; 0 for none.
    pub change: u64,
    /// The last change of its job when it was taken in.
    pub job_change: u64,
}

impl Scheduler {
    /// More is durable: tells the workers that listed ends of it.
    pub(super) fn acknowledge_ends(&mut self) {
        let waiting: Vec<WorkerKey> = self.with_unnoted.iter().copied().collect();
        for key in waiting {
            if self.advance_last_seen(key) {
                let now_ms = self.now_ms;
                let worker = self.worker_mut(key);
                worker.look_at_ms = worker.look_at_ms.min(now_ms);
                self.look_if_due(key);
            }
        }
    }

    /// Moves `last_seen` of a worker past the ends that are durable; whether
    /// all of them are.
    pub(super) fn advance_last_seen(&mut self, key: WorkerKey) -> bool {
        while let Some(end) = self.worker(key).unnoted.front() {
            let job = self.jobs.get(&end.row.name.task.job);
            let durable = end.change == 0 || job.is_none_or(|job| job.stored >= end.change);
            if !durable {
                return false;
            }
            let Some(end) = self.worker_mut(key).unnoted.pop_front() else {
                break;
            };
            self.worker_mut(key).last_seen = end.row.number;
            self.report_unstored(key, &end);
        }
        self.with_unnoted.remove(&key);
        true
    }

    /// All jobs that were stored before `sent_ms` are known.
    pub(super) fn jobs_read(&mut self, sent_ms: u64) {
        self.jobs_read_ms = self.jobs_read_ms.max(sent_ms);
    }

    /// Ends that were taken in and of which no worker was told yet.
    pub fn unnoted_ends(&self) -> usize {
        let waiting = self.with_unnoted.iter();
        waiting.map(|&key| self.worker(key).unnoted.len()).sum()
    }

    /// Logs an end that its worker forgets now although nothing stored tells of
    /// it.
    fn report_unstored(&mut self, key: WorkerKey, end: &HeardEnd) {
        if !matches!(end.row.kind, EndKind::Done | EndKind::Failed) {
            return;
        }
        let id = end.row.name.task.job;
        let reason = match self.jobs.get(&id) {
            None if !self.leaving_jobs.contains_key(&id) => "job_unknown",
            Some(job) if !job.cancelled && job.stored < end.job_change => "job_not_stored",
            _ => return,
        };
        let worker = self.worker(key).incarnation();
        self.decided(Decision::EndReleased {
            name: end.row.name,
            worker,
            reason,
        });
    }
}
