//! Finds the terms of the queue that apply to each job, and applies the allowed number
//! of attempts.
//!
//! The terms are stored with each job when it is accepted, since an owner may have read
//! no configuration yet, an older one than the daemon that accepted the job, or a
//! newer one without the queue. A configuration takes precedence over the stored terms
//! unless it is older. While a job's terms are known from neither, the job waits: it is
//! not started, and its failures are counted but do not end it. Default terms would not
//! be safe, since the end of a job is stored and final: with a default of one attempt, a
//! job of an unknown queue would fail although it has attempts left.

use super::action::{
    Decision,
    JobFailure, //
};
use super::job_progress::FinalState;
use super::state::Scheduler;
use super::{
    GraphJob,
    GroupKey,
    JobRecord,
    RunName,
    TaskState,
    VersionedTerms, //
};
use crate::core::JobId;

/// Priority of a job whose terms are unknown: below urgent work, so that the job does
/// not count against its account's guarantee.
const UNKNOWN_PRIORITY: u32 = 1;
/// Priority of the runs of a job whose terms are unknown: they may be urgent, so only
/// guaranteed work may preempt them.
const UNKNOWN_RUN_PRIORITY: u32 = 0;

/// Returns the priority of a job under these terms.
pub(super) fn priority_under(known: Option<&VersionedTerms>) -> u32 {
    known.map_or(UNKNOWN_PRIORITY, |known| known.terms.priority)
}

impl GraphJob {
    /// Returns the priority of its runs.
    pub(super) fn run_priority(&self) -> u32 {
        match self.terms {
            Some(_) => self.priority,
            None => UNKNOWN_RUN_PRIORITY,
        }
    }

    /// Returns whether a task with this number of failures has exhausted its attempts;
    /// false while the terms of the queue are unknown.
    fn has_exhausted_attempts(&self, failures: u32) -> bool {
        let terms = self.terms();
        terms.is_some_and(|terms| failures >= terms.max_attempts)
    }
}

impl Scheduler {
    /// Returns the newest known terms of a job's queue: those of the newest version of the
    /// configuration that this owner has read and that has the queue, or those under which
    /// the job was accepted.
    pub(super) fn terms_of(&self, record: &JobRecord) -> Option<VersionedTerms> {
        let configured = self.terms.get(&record.queue);
        let accepted = record.accepted_under.as_ref();
        let known = accepted.into_iter().chain(configured);
        known
            .max_by_key(|known| known.configuration_version)
            .cloned()
    }

    /// Logs that a job waits for the terms of its queue.
    pub(super) fn log_unknown_terms(&mut self, id: JobId) {
        let record = self.jobs[&id].record.clone();
        self.decided(Decision::TermsUnknown {
            job: id,
            record,
            configuration_version: self.configuration.version,
        });
    }

    /// Applies newer terms to all open jobs after a new version of the configuration was
    /// read.
    pub(super) fn refresh_terms(&mut self) {
        let jobs = self.jobs.values().filter(|job| !job.is_over());
        let newer: Vec<(JobId, VersionedTerms)> = jobs
            .filter_map(|job| {
                let newest = self.terms_of(&job.record)?;
                (job.terms.as_ref() != Some(&newest)).then_some((job.id, newest))
            })
            .collect();
        for (id, known) in newer {
            self.set_terms(id, known);
        }
    }

    fn set_terms(&mut self, id: JobId, known: VersionedTerms) {
        let job = self.job_mut(id);
        let were_known = job.terms.is_some();
        let changed = job.terms() != Some(&*known.terms);
        job.priority = known.terms.priority;
        job.terms = Some(known);
        if !changed {
            return;
        }
        for occurrence in job.open_occurrences.clone() {
            self.refresh_objective(id, occurrence);
        }
        self.refresh_run_priorities(id);
        // If terms were known before, a version that allows fewer attempts does not end the
        // job during an attempt; the new bound applies from the next failure on.
        if !were_known {
            self.end_job_if_exhausted(id);
        }
    }

    fn refresh_run_priorities(&mut self, id: JobId) {
        let priority = self.jobs[&id].run_priority();
        let keys: Vec<GroupKey> = self.groups_of(id).collect();
        for key in keys {
            for (index, task) in (0u32..).zip(&self.groups[&key].tasks) {
                let TaskState::Placed { worker, run } = task.state else {
                    continue;
                };
                let task = key.task(index);
                let runs = &mut self.workers[worker.index()].runs;
                if let Some(run) = runs.get_mut(&RunName { task, run }) {
                    run.priority = priority;
                }
            }
        }
    }

    /// Fails the job if the failure of this run exhausted the attempts of its task.
    pub(super) fn end_job_if_exhausted_by(&mut self, name: RunName, failures: u32) {
        let job = &self.jobs[&name.task.job];
        if !job.has_exhausted_attempts(failures) {
            return;
        }
        let Some(known) = &job.terms else {
            return;
        };
        let failure = JobFailure {
            name,
            failures,
            max_attempts: known.terms.max_attempts,
            terms_version: known.configuration_version,
            crashes: 0,
        };
        self.end_job(name.task.job, FinalState::Failed, Some(failure));
    }

    /// Fails a job if a task had exhausted its attempts before the terms became known, or
    /// under an owner that did not know them.
    pub(super) fn end_job_if_exhausted(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        if job.is_over() {
            return;
        }
        let exhausted = self.groups_of(id).find_map(|key| {
            let group = &self.groups[&key];
            // Long-running tasks may fail any number of times, and failures of a task that
            // is done do not count.
            let tasks = (0u32..).zip(&group.tasks).filter(|(_, task)| {
                !group.step.long_running
                    && task.state != TaskState::Done
                    && job.has_exhausted_attempts(task.failures())
            });
            let mut tasks = tasks.map(|(index, task)| (key.task(index), task));
            tasks.next().map(|(name, task)| {
                let run = task.failed_runs.last().copied().unwrap_or(0);
                (RunName { task: name, run }, task.failures())
            })
        });
        if let Some((name, failures)) = exhausted {
            self.end_job_if_exhausted_by(name, failures);
        }
    }
}
