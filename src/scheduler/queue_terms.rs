//! What jobs are held to: the terms of their queues.
//!
//! They are stored with each job when it is accepted, since an owner may have read
//! no configuration yet, an older one than the daemon that accepted the job, or a
//! newer one without the queue. A configuration that is not older goes before what
//! was stored. Where neither tells, the job waits: it is not started, and its
//! failures are counted but do not end it. Any default would decide for good, since
//! an end is stored: a job with attempts left was shown as failed by an owner that
//! took an unknown queue for one with a single attempt.

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

/// Priority of a job whose queue is not known: below urgent work, so that it does
/// not count against its account's guarantee.
const UNKNOWN_PRIORITY: u32 = 1;
/// Priority of its runs: they may be urgent, so only guaranteed work takes their room.
const UNKNOWN_RUN_PRIORITY: u32 = 0;

/// The priority that terms give, if they are known.
pub(super) fn priority_under(known: Option<&VersionedTerms>) -> u32 {
    known.map_or(UNKNOWN_PRIORITY, |known| known.terms.priority)
}

impl GraphJob {
    /// The priority of its runs.
    pub(super) fn run_priority(&self) -> u32 {
        match self.terms {
            Some(_) => self.priority,
            None => UNKNOWN_RUN_PRIORITY,
        }
    }

    /// Whether a task that failed so often has spent its attempts; not while
    /// nobody knows how many it has.
    fn is_spent(&self, failures: usize) -> bool {
        let terms = self.terms();
        terms.is_some_and(|terms| failures as u32 >= terms.max_attempts)
    }
}

impl Scheduler {
    /// The terms of a job's queue, as far as anybody told this owner: the newest
    /// version that it has read and that has the queue, or that under which the job
    /// was accepted.
    pub(super) fn terms_of(&self, record: &JobRecord) -> Option<VersionedTerms> {
        let configured = self.terms.get(&record.queue);
        let accepted = record.accepted_under.as_ref();
        let known = accepted.into_iter().chain(configured);
        known
            .max_by_key(|known| known.configuration_version)
            .cloned()
    }

    /// Says that a job waits for the terms of its queue.
    pub(super) fn note_unknown_terms(&mut self, id: JobId) {
        let record = self.jobs[&id].record.clone();
        self.decided(Decision::TermsUnknown {
            job: id,
            record,
            configuration_version: self.configuration.version,
        });
    }

    /// A new version is in force: jobs go by the terms that it brings.
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
        // What runs under terms that were known is not ended in the middle of an
        // attempt by a version that allows fewer: its next failure is judged anew.
        if !were_known {
            self.end_job_if_spent(id);
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

    /// Ends a job if a task has spent its attempts with this run's failure.
    pub(super) fn end_job_if_spent_by(&mut self, name: RunName, failures: usize) {
        let job = &self.jobs[&name.task.job];
        if !job.is_spent(failures) {
            return;
        }
        let Some(known) = &job.terms else {
            return;
        };
        let failure = JobFailure {
            name,
            failures: failures as u32,
            max_attempts: known.terms.max_attempts,
            terms_version: known.configuration_version,
            crashes: 0,
        };
        self.end_job(name.task.job, FinalState::Failed, Some(failure));
    }

    /// Ends a job of which a task failed too often before its terms were known, or
    /// under an owner that did not know them.
    pub(super) fn end_job_if_spent(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        if job.is_over() {
            return;
        }
        let spent = self.groups_of(id).find_map(|key| {
            let group = &self.groups[&key];
            // Lasting tasks fail as often as they like, and what is done is done.
            let tasks = (0u32..).zip(&group.tasks).filter(|(_, task)| {
                !group.step.long_running
                    && task.state != TaskState::Done
                    && job.is_spent(task.failed_runs.len())
            });
            let mut tasks = tasks.map(|(index, task)| (key.task(index), &task.failed_runs));
            tasks.next().map(|(task, runs)| {
                let run = runs.last().copied().unwrap_or(0);
                (RunName { task, run }, runs.len())
            })
        });
        if let Some((name, failures)) = spent {
            self.end_job_if_spent_by(name, failures);
        }
    }
}
