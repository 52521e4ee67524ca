//! Bounds the memory that jobs take on the owner, by one rule for their admission and for the
//! occurrences that are open.
//!
//! - Each job has memory for one open occurrence reserved from its admission to its end, so no
//!   other job can keep it from going on.
//! - Further occurrences of a job, and large jobs, take at most half of the memory for jobs
//!   together with everything else, which leaves room for new ordinary jobs.
//! - An occurrence that does not fit waits. Of those that wait, the first ones of their jobs open
//!   before others, and then those of the account that has the least of such memory.
//!
//! More may be reserved than there is memory: another version, or a daemon with more memory, may
//! have admitted the jobs. Then the first occurrences wait as well.

use super::action::Decision;
use super::state::Scheduler;
use super::{
    GraphJob,
    Group,
    JobRecord,
    Task, //
};
use crate::core::JobId;
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// Part of the memory for jobs up to which large jobs are admitted, and occurrences beyond the
/// first of their job are opened.
pub const LARGE_JOB_SHARE: u64 = 2;

/// The memory that a job takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobBytes {
    /// Its record and its steps once more, for as long as the owner knows the job.
    pub record: u64,
    /// Each open occurrence: its tasks and groups.
    pub occurrence: u64,
}

impl JobBytes {
    /// Returns an estimate for a job.
    pub fn of(record: &JobRecord) -> Self {
        let steps = &record.spec.steps;
        let tasks: u64 = steps.iter().map(|step| u64::from(step.count)).sum();
        Self {
            record: 2 * record.spec.memory_bytes() as u64,
            occurrence: tasks * size_of::<Task>() as u64
                + (steps.len() * size_of::<Group>()) as u64,
        }
    }

    /// Returns what the job needs to go on: one open occurrence.
    pub fn needed(&self) -> u64 {
        self.record + self.occurrence
    }
}

/// The memory that the jobs of a scheduler take.
#[derive(Debug, Default)]
pub(super) struct JobMemory {
    /// Records of all jobs.
    record_bytes: u64,
    /// One occurrence of each job that has not ended.
    reserved_bytes: u64,
    /// All open occurrences.
    open_bytes: u64,
    /// Open occurrences beyond the first of their jobs, by client account.
    further_bytes: HashMap<String, u64>,
    /// Jobs whose next occurrence is due and not open, with the time since when.
    waiting: BTreeMap<JobId, u64>,
    /// Memory became free since the waiting occurrences were last tried.
    freed: bool,
}

impl JobMemory {
    /// Returns what the jobs take or have reserved, in bytes.
    fn used_bytes(&self) -> u64 {
        let further: u64 = self.further_bytes.values().sum();
        self.record_bytes + self.reserved_bytes + further
    }

    /// Returns what the jobs take, in bytes.
    fn taken_bytes(&self) -> u64 {
        self.record_bytes + self.open_bytes
    }

    fn further_bytes_of(&self, account: &str) -> u64 {
        self.further_bytes.get(account).copied().unwrap_or(0)
    }

    pub(super) fn add_job(&mut self, job: &GraphJob) {
        self.record_bytes += job.bytes.record;
        if !job.is_over() {
            self.reserved_bytes += job.bytes.occurrence;
        }
    }

    /// Releases what is reserved for a job that has just ended, with `open` open occurrences.
    pub(super) fn job_over(&mut self, job: &GraphJob, open: usize) {
        for left in (0..open).rev() {
            self.occurrence_closed(job, left);
        }
        self.reserved_bytes -= job.bytes.occurrence;
        self.waiting.remove(&job.id);
        self.freed = true;
    }

    pub(super) fn remove_job(&mut self, job: &GraphJob) {
        self.record_bytes -= job.bytes.record;
        self.freed = true;
    }

    /// Counts an occurrence that opens beside `open` others of its job.
    pub(super) fn occurrence_opened(&mut self, job: &GraphJob, open: usize) {
        self.open_bytes += job.bytes.occurrence;
        if open > 0 {
            let account = self.further_bytes.entry(job.record.account.clone());
            *account.or_default() += job.bytes.occurrence;
        }
    }

    /// Releases an occurrence that closes, of whose job `open` others stay open.
    pub(super) fn occurrence_closed(&mut self, job: &GraphJob, open: usize) {
        self.open_bytes -= job.bytes.occurrence;
        if open > 0
            && let Some(bytes) = self.further_bytes.get_mut(&job.record.account)
        {
            *bytes -= job.bytes.occurrence;
            if *bytes == 0 {
                self.further_bytes.remove(&job.record.account);
            }
        }
        self.freed = true;
    }

    /// Requests that the waiting occurrences are tried again.
    pub(super) fn retry_waiting(&mut self) {
        self.freed = true;
    }

    /// Returns the number of jobs of which an occurrence is due and waits.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
}

impl Scheduler {
    /// Returns the memory that the jobs take or have reserved, in bytes.
    pub fn job_bytes(&self) -> u64 {
        self.job_memory.used_bytes()
    }

    /// Whether the next occurrence of a job may open now.
    pub(super) fn has_memory_for_next_occurrence(&self, job: &GraphJob) -> bool {
        if job.open_occurrences.is_empty() {
            return self.has_memory_for_found_occurrence(job);
        }
        let limit_bytes = self.tuning.job_memory_bytes / LARGE_JOB_SHARE;
        let used_bytes = self.job_memory.used_bytes() + job.bytes.occurrence;
        // What other jobs need is known only once all of them have been read.
        self.stored_state_read && used_bytes <= limit_bytes
    }

    /// Whether an occurrence that an earlier owner had opened may open here. One may open in any
    /// case, so that an owner with little memory goes on.
    pub(super) fn has_memory_for_found_occurrence(&self, job: &GraphJob) -> bool {
        let taken_bytes = self.job_memory.taken_bytes() + job.bytes.occurrence;
        taken_bytes <= self.tuning.job_memory_bytes || self.job_memory.open_bytes == 0
    }

    /// Records that the next occurrence of a job, which was due at `due_ms`, waits.
    pub(super) fn wait_to_open(&mut self, id: JobId, due_ms: u64) {
        let is_new = self.job_memory.waiting.insert(id, due_ms) != Some(due_ms);
        if !is_new || !self.stored_state_read {
            return;
        }
        let job = &self.jobs[&id];
        let decision = Decision::OccurrenceWaits {
            job: id,
            occurrence: job.next_occurrence,
            reason: match self.has_memory_for_next_occurrence(job) {
                true => "open_occurrences",
                false => "job_memory",
            },
            open: job.open_occurrences.len(),
            needed_bytes: job.bytes.occurrence,
            used_bytes: self.job_memory.used_bytes(),
            limit_bytes: self.tuning.job_memory_bytes,
        };
        self.decided(decision);
    }

    /// Opens waiting occurrences after memory became free, one of each job at a time.
    pub(super) fn open_waiting_occurrences(&mut self) {
        while std::mem::take(&mut self.job_memory.freed) && !self.job_memory.waiting.is_empty() {
            for id in self.waiting_jobs() {
                if !self.may_open_next_occurrence(&self.jobs[&id]) {
                    continue;
                }
                self.job_memory.waiting.remove(&id);
                self.set_deciding(Some(id));
                if self.open_next_occurrence(id) {
                    self.job_memory.retry_waiting();
                }
                self.queue_next_occurrence(id);
            }
        }
        self.set_deciding(None);
    }

    /// Returns the jobs with a waiting occurrence in the order in which these open.
    fn waiting_jobs(&self) -> Vec<JobId> {
        let mut waiting: Vec<(bool, u64, u64, JobId)> = self
            .job_memory
            .waiting
            .iter()
            .map(|(&id, &due_ms)| {
                let job = &self.jobs[&id];
                let is_further = !job.open_occurrences.is_empty();
                let account_bytes = match is_further {
                    true => self.job_memory.further_bytes_of(&job.record.account),
                    false => 0,
                };
                (is_further, account_bytes, due_ms, id)
            })
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(.., id)| id).collect()
    }
}
