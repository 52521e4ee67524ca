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
use super::progress::FinalState;
use super::state::Scheduler;
use super::{
    GroupKey,
    JobRecord,
    QueueTerms,
    RunName, //
};
use crate::core::JobId;
use std::sync::Arc;

/// Priority of a job whose queue is not known, for its runs that are found: below
/// urgent work, above what is patient.
const UNKNOWN_PRIORITY: u32 = 1;

/// The priority that terms give, if they are known.
pub(super) fn priority_under(terms: Option<&QueueTerms>) -> u32 {
    terms.map_or(UNKNOWN_PRIORITY, |terms| terms.priority)
}

impl Scheduler {
    /// The terms of a job's queue, as far as anybody told this owner.
    pub(super) fn terms_of(&self, record: &JobRecord) -> Option<Arc<QueueTerms>> {
        let accepted = record.accepted_under.as_ref();
        let version = self.configuration.version;
        let newer = accepted.filter(|accepted| accepted.configuration_version > version);
        let configured = || self.terms.get(&record.queue);
        let terms = newer.map(|accepted| &accepted.terms).or_else(configured);
        terms.or(accepted.map(|accepted| &accepted.terms)).cloned()
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
        let changed: Vec<(JobId, Arc<QueueTerms>)> = jobs
            .filter_map(|job| {
                let terms = self.terms_of(&job.record)?;
                (job.terms.as_ref() != Some(&terms)).then_some((job.id, terms))
            })
            .collect();
        for (id, terms) in changed {
            self.set_terms(id, terms);
        }
    }

    fn set_terms(&mut self, id: JobId, terms: Arc<QueueTerms>) {
        let job = self.job_mut(id);
        job.priority = terms.priority;
        job.terms = Some(terms);
        let priority = job.priority;
        for occurrence in job.open_occurrences.clone() {
            self.refresh_objective(id, occurrence);
        }
        for worker in &mut self.workers {
            let runs = worker.runs.iter_mut();
            for (_, run) in runs.filter(|(name, _)| name.task.job == id) {
                run.priority = priority;
            }
        }
        self.end_job_if_failed(id);
    }

    /// Ends a job of which a task failed as often as its queue allows.
    pub(super) fn end_job_if_failed(&mut self, id: JobId) {
        if let Some(failure) = self.failure_of(id) {
            self.end_job(id, FinalState::Failed, Some(failure));
        }
    }

    fn failure_of(&self, id: JobId) -> Option<JobFailure> {
        let max_attempts = self.jobs.get(&id)?.terms.as_ref()?.max_attempts;
        let (key, index) = self.groups_of(id).find_map(|key| {
            let index = self.task_that_failed(key, max_attempts)?;
            Some((key, index))
        })?;
        let failed_runs = &self.groups[&key].tasks[index as usize].failed_runs;
        let name = RunName {
            task: key.task(index),
            run: failed_runs.last().copied().unwrap_or(0),
        };
        Some(JobFailure {
            name,
            failures: failed_runs.len() as u32,
            max_attempts,
            configuration_version: self.configuration.version,
        })
    }

    /// A task of a group that failed so often. Lasting tasks fail as often as
    /// they like.
    fn task_that_failed(&self, key: GroupKey, max_attempts: u32) -> Option<u32> {
        let group = self
            .groups
            .get(&key)
            .filter(|group| !group.step.long_running)?;
        let failed = |failures: usize| failures as u32 >= max_attempts;
        let at = group
            .tasks
            .iter()
            .position(|task| failed(task.failed_runs.len()))?;
        Some(at as u32)
    }
}
