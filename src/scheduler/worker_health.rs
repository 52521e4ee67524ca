//! Quarantines workers on which runs fail; [`super::stalled_runs`] finds those that hang.
//!
//! A tenth of the workers may fail or stall all their runs for some seconds while they
//! answer normally. A worker on which runs fail at once looks empty and attracts the next
//! tasks, each of which loses one of its few attempts.
//!
//! A worker is quarantined for failures only after two different jobs failed on it in a
//! row, so one faulty job does not quarantine a worker. The first quarantine is short, so
//! that a wrong one costs little; its length doubles while runs continue to fail.

use super::action::Decision;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    Group,
    RunName,
    Task,
    TaskState,
    Worker, //
};
use crate::core::WorkerKey;
use std::collections::HashSet;

/// Number of different jobs that fail in a row on a worker before it is quarantined.
const QUARANTINE_AFTER_FAILED_JOBS: usize = 2;
/// Time after which a failure no longer counts.
const FAILURE_MEMORY_MS: u64 = 6_000;
/// Length of the first quarantine: half of the shortest fault observed over
/// several days.
const FIRST_QUARANTINE_MS: u64 = 2_000;
/// Length of the longest quarantine.
const MAX_QUARANTINE_MS: u64 = 8_000;

/// Time for which a task does not return to the worker where it failed, even if no other
/// worker is free or could hold it. Without it, a worker that failed runs at once used up
/// eight attempts of a task in a quarter of a second. Less than half of the 3 s for which
/// work may wait beside idle workers.
const AVOID_AFTER_FAILURE_MS: u64 = 1_200;
/// Time for which the last attempt of a task goes only to workers without recent failures.
const LAST_ATTEMPT_MS: u64 = 2_400;

/// The workers that the tasks of a group avoid after failures.
pub(super) struct FailureAvoidance {
    avoided: Vec<WorkerKey>,
    last_attempt: bool,
}

impl FailureAvoidance {
    /// Returns what the waiting tasks of a group avoid because of their failures.
    fn of(group: &Group, max_attempts: u32, now_ms: u64) -> Self {
        let waiting = || {
            let tasks = group.tasks.iter();
            tasks.filter(|task| task.state == TaskState::Waiting)
        };
        let avoided = waiting().filter(|task| now_ms < task.avoided_ms + AVOID_AFTER_FAILURE_MS);
        let is_last_attempt = |task: &Task| {
            let failures = task.failures();
            failures > 0
                && failures + 1 >= max_attempts
                && now_ms < task.avoided_ms + LAST_ATTEMPT_MS
        };
        Self {
            avoided: avoided.filter_map(|task| task.avoid).collect(),
            last_attempt: waiting().any(is_last_attempt),
        }
    }

    /// Whether the tasks may be placed on a worker.
    pub(super) fn allows(&self, worker: &Worker, now_ms: u64) -> bool {
        let failed_recently = || {
            let mut failures = worker.failures.iter();
            failures.any(|(at_ms, _)| now_ms < at_ms + FAILURE_MEMORY_MS)
        };
        let avoided = self.avoided.contains(&worker.key);
        let is_doubted = self.last_attempt && failed_recently();
        !avoided && !is_doubted
    }

    fn avoids_nothing(&self) -> bool {
        self.avoided.is_empty() && !self.last_attempt
    }
}

impl Scheduler {
    /// Returns the workers that the waiting tasks of a group avoid for a while; `None` if
    /// there are none. The last attempt avoids workers with failures of other tasks only if
    /// the others could hold the tasks when empty.
    pub(super) fn failure_avoidance(
        &self,
        group: &Group,
        service: &str,
    ) -> Option<FailureAvoidance> {
        let now_ms = self.now_ms;
        let terms = self.jobs[&group.key.job].terms();
        let max_attempts = terms.map_or(u32::MAX, |terms| terms.max_attempts);
        let mut avoidance = FailureAvoidance::of(group, max_attempts, now_ms);
        if avoidance.last_attempt && !self.could_hold_elsewhere(group, service, &avoidance) {
            avoidance.last_attempt = false;
        }
        (!avoidance.avoids_nothing()).then_some(avoidance)
    }

    /// Whether the workers that are not avoided could hold the waiting tasks of a group if
    /// they were empty.
    fn could_hold_elsewhere(
        &self,
        group: &Group,
        service: &str,
        avoidance: &FailureAvoidance,
    ) -> bool {
        let now_ms = self.now_ms;
        let others = self.workers.iter().filter(|worker| {
            worker.contact == Contact::Answering
                && worker.is_usable()
                && !worker.emptied
                && !worker.info.draining
                && worker.info.service == service
                && avoidance.allows(worker, now_ms)
        });
        let capacity_elsewhere =
            others.map(|worker| worker.info.capacity.count_fitting(&group.resources));
        capacity_elsewhere.fold(0u32, u32::saturating_add) >= group.waiting
    }

    /// Records that a run failed on a worker, and quarantines the worker if needed.
    pub(super) fn record_failure(&mut self, key: WorkerKey, name: RunName) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        worker.failures.push((now_ms, name.task.job));
        worker
            .failures
            .retain(|(at_ms, _)| now_ms - at_ms < FAILURE_MEMORY_MS);
        let jobs: HashSet<_> = worker.failures.iter().map(|(_, job)| job).collect();
        if jobs.len() >= QUARANTINE_AFTER_FAILED_JOBS {
            self.quarantine(key, "failures");
        }
    }

    /// Quarantines a worker, unless it is quarantined already.
    pub(super) fn quarantine(&mut self, key: WorkerKey, reason: &'static str) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        if now_ms < worker.quarantined_until_ms {
            return;
        }
        worker.quarantine_ms = match worker.quarantine_ms {
            0 => FIRST_QUARANTINE_MS,
            before => (before * 2).min(MAX_QUARANTINE_MS),
        };
        worker.quarantined_until_ms = now_ms + worker.quarantine_ms;
        worker.failures.clear();
        let decision = Decision::Quarantined {
            worker: worker.name(),
            for_ms: worker.quarantine_ms,
            reason,
        };
        self.decided(decision);
    }

    /// Records that a run was done on a worker, which clears its failures.
    pub(super) fn record_success(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        worker.failures.clear();
        worker.quarantine_ms = 0;
    }
}
