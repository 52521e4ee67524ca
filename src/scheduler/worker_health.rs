//! Judging workers by what their runs show.
//!
//! Load pattern: a tenth of the workers fail, or stall, all that they are given
//! for some seconds while they look healthy. A worker that fails at once looks
//! empty and draws the next tasks, each of which loses one of its few
//! attempts. Limits: two different jobs have to fail in a row, so that one
//! hopeless job does not close a worker; the first quarantine is short, so
//! that a wrong judgement costs little, and doubles while it proves right.

use super::action::{
    Decision,
    StopReason, //
};
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    Group,
    GroupKey,
    Run,
    RunName,
    RunPhase,
    Task,
    TaskState,
    Worker, //
};
use crate::core::WorkerKey;
use std::collections::HashSet;

/// Different jobs that fail in a row on a worker before it is closed.
const FAILED_JOBS: usize = 2;
/// Failures longer ago than this say nothing.
const FAILURE_MEMORY_MS: u64 = 6_000;
/// First length of a quarantine: half of the shortest fault seen in days.
const FIRST_QUARANTINE_MS: u64 = 2_000;
/// Longest quarantine.
const MAX_QUARANTINE_MS: u64 = 8_000;
/// A run whose progress stands still for this long hangs. Progress is told in
/// hundredths at each look, so a run of 30 s moves every 300 ms, or every
/// 2,400 ms on a worker that is eight times as slow.
const STALL_MS: u64 = 2_600;
/// A run this far waits for its end, or for the end of its gang.
const NEARLY_DONE_PERCENT: u32 = 98;
/// A member of a gang that stands still is behind the others by this much; they
/// go on, or stand at their end.
const BEHIND_PERCENT: u32 = 10;

/// A task does not go back to the worker where it failed for this long, if
/// nothing else is free: one that fails at once took eight attempts of a task in
/// a quarter of a second. Less than half of the 3 s for which work may wait
/// beside idle workers.
const BARRED_MS: u64 = 1_200;
/// For this long the last attempt goes only where nothing failed lately.
const LAST_ATTEMPT_MS: u64 = 2_400;

/// Where the tasks of a group may not go after what happened to them.
pub(super) struct Caution {
    barred: Vec<WorkerKey>,
    last_attempt: bool,
}

impl Caution {
    /// What follows from the failures of the waiting tasks.
    fn of(group: &Group, max_attempts: u32, now_ms: u64) -> Self {
        let waiting = || {
            let tasks = group.tasks.iter();
            tasks.filter(|task| task.state == TaskState::Waiting)
        };
        let barred = waiting().filter(|task| now_ms < task.avoided_ms + BARRED_MS);
        let last = |task: &Task| {
            let failures = task.failed_runs.len() as u32;
            failures > 0
                && failures + 1 >= max_attempts
                && now_ms < task.avoided_ms + LAST_ATTEMPT_MS
        };
        Self {
            barred: barred.filter_map(|task| task.avoid).collect(),
            last_attempt: waiting().any(last),
        }
    }

    /// Whether the tasks may go to a worker.
    pub(super) fn allows(&self, worker: &Worker, now_ms: u64) -> bool {
        let failed_lately = || {
            let mut failures = worker.failures.iter();
            failures.any(|(at_ms, _)| now_ms < at_ms + FAILURE_MEMORY_MS)
        };
        let barred = self.barred.contains(&worker.key);
        let doubted = self.last_attempt && failed_lately();
        !barred && !doubted
    }

    fn is_needless(&self) -> bool {
        self.barred.is_empty() && !self.last_attempt
    }
}

impl Scheduler {
    /// Where the waiting tasks of a group may not go for a while. Waiting helps
    /// only if the other workers could hold them.
    pub(super) fn caution(&self, group: &Group, service: &str) -> Option<Caution> {
        let now_ms = self.now_ms;
        let terms = self.jobs[&group.key.job].terms();
        let max_attempts = terms.map_or(u32::MAX, |terms| terms.max_attempts);
        let caution = Caution::of(group, max_attempts, now_ms);
        if caution.is_needless() {
            return None;
        }
        let others = self.workers.iter().filter(|worker| {
            worker.contact == Contact::Answering
                && worker.is_usable()
                && !worker.emptied
                && !worker.info.draining
                && worker.info.service == service
                && caution.allows(worker, now_ms)
        });
        let room = others.map(|worker| worker.info.capacity.times(&group.resources));
        let room = room.fold(0u32, u32::saturating_add);
        (room >= group.waiting).then_some(caution)
    }

    /// A run failed on a worker.
    pub(super) fn note_failure(&mut self, key: WorkerKey, name: RunName) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        worker.failures.push((now_ms, name.task.job));
        worker
            .failures
            .retain(|(at_ms, _)| now_ms - at_ms < FAILURE_MEMORY_MS);
        let jobs: HashSet<_> = worker.failures.iter().map(|(_, job)| job).collect();
        if jobs.len() >= FAILED_JOBS {
            self.quarantine(key, "failures");
        }
    }

    fn quarantine(&mut self, key: WorkerKey, reason: &'static str) {
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

    /// A run was done: the worker does its work.
    pub(super) fn note_success(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        worker.failures.clear();
        worker.quarantine_ms = 0;
    }

    /// Stops runs that stand still, and closes their workers for a while.
    pub(super) fn review_evidence(&mut self) {
        let now_ms = self.now_ms;
        let mut stalled = Vec::new();
        for worker in &self.workers {
            if worker.failed_polls > 0 {
                continue;
            }
            for (&name, run) in &worker.runs {
                if self.hangs(worker.heard_ms, name, run) {
                    stalled.push((worker.key, name));
                }
            }
        }
        for (key, name) in stalled {
            self.quarantine(key, "stalled");
            if let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) {
                let task = &mut group.tasks[name.task.index as usize];
                task.avoid = Some(key);
                task.avoided_ms = now_ms;
            }
            self.stop_run(key, name, StopReason::Hanging);
        }
    }

    /// Whether a run stands still through its worker's fault. What fills may
    /// get no processor for a while, and a member of a gang waits at its start
    /// and its end for the others: only one that is behind them hangs.
    fn hangs(&self, heard_ms: u64, name: RunName, run: &Run) -> bool {
        let excused = run.phase != RunPhase::Running
            || run.long_running
            || run.fills
            || run.percent >= NEARLY_DONE_PERCENT;
        let still_ms = heard_ms.saturating_sub(run.advanced_ms);
        if excused || still_ms < STALL_MS {
            return false;
        }
        let Some(group) = self.groups.get(&GroupKey::of(name.task)) else {
            return false;
        };
        if !group.step.gang || group.tasks.len() == 1 {
            return true;
        }
        let members = (0u32..).zip(&group.tasks);
        let foremost = members.filter_map(|(index, task)| match task.state {
            TaskState::Placed { worker, run } => {
                let task = group.key.task(index);
                let run = self.worker(worker).runs.get(&RunName { task, run })?;
                Some(run.percent)
            }
            _ => None,
        });
        foremost.max().unwrap_or(0) >= run.percent + BEHIND_PERCENT
    }
}
