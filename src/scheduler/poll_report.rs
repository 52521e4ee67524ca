//! Handles the answers to polls and their failures.
//!
//! A run that a poll does not show is taken as gone only if the poll was sent late enough
//! to show it and the worker listed all its ends; otherwise the run could be started twice.

use super::action::{
    Decision,
    StopReason, //
};
use super::crashes::LossCause;
use super::state::Scheduler;
use super::worker::{
    CONCLUSIVE_MS,
    Contact, //
};
use super::{
    Action,
    CallOutcome,
    GroupKey,
    PollReport,
    Run,
    RunName,
    RunPhase,
    RunningRow,
    StartRefusal,
    TaskState, //
};
use crate::core::WorkerKey;
use std::collections::HashSet;

/// Wait before the next poll if an end that a poll reported is not durable yet. The poll
/// is sent earlier if the end becomes durable.
const UNDURABLE_POLL_MS: u64 = 300;
/// First wait after a poll without an answer; it doubles with each further failure.
const FAILED_POLL_MS: u64 = 100;
/// Longest wait after polls without an answer. A worker that is reachable again is found
/// within this time.
const MAX_FAILED_POLL_MS: u64 = 400;
/// Most ends that a worker lists in one answer, by the platform's specification.
const MAX_LISTED_ENDS: usize = 500;

impl Scheduler {
    /// Handles a worker's answer to a poll.
    pub(super) fn handle_poll_report(&mut self, key: WorkerKey, sent_ms: u64, report: PollReport) {
        let now_ms = self.now_ms;
        self.poll_ended(key);
        let worker = self.worker_mut(key);
        if worker.contact == Contact::Gone {
            return;
        }
        let key = self.resolve_incarnation(key, sent_ms, &report);
        self.confirm_held(key);
        let worker = self.worker_mut(key);
        let is_reconnected = worker.contact != Contact::Answering;
        if is_reconnected || worker.failed_polls > 0 {
            self.changed = true;
        }
        if is_reconnected {
            self.end_replaced_workers(key);
        }
        let lease_ms = self.tuning.lease_ms;
        let worker = self.worker_mut(key);
        if worker.contact == Contact::Unfenced {
            // Runs found there may hold a lease that an earlier owner gave until now.
            worker.lease_end_ms = worker.lease_end_ms.max(report.clock_ms + lease_ms);
        }
        worker.contact = Contact::Answering;
        worker.lost.clear();
        worker.failed_polls = 0;
        worker.last_response_ms = now_ms;
        worker.clock = Some((report.clock_ms, now_ms));
        worker.clock_suspect = false;
        let listed: HashSet<RunName> = report.ended.iter().map(|row| row.name).collect();
        let lists_all_ends = report.ended.len() < MAX_LISTED_ENDS;
        let mut ended = report.ended;
        ended.sort_by_key(|row| row.number);
        for row in ended {
            if row.number > self.worker(key).last_received_end {
                self.worker_mut(key).last_received_end = row.number;
                self.handle_end(key, row);
            }
        }
        let mut seen = HashSet::with_capacity(report.running.len());
        for row in report.running {
            seen.insert(row.name);
            if !listed.contains(&row.name) {
                self.handle_running(key, row, report.clock_ms);
            }
        }
        // The end of a run may be missing from a full list. If the run were taken as gone,
        // it would be started again although it may be done.
        if lists_all_ends {
            self.remove_absent_runs(key, sent_ms, &seen);
            self.worker_mut(key).earlier_ends_known = true;
        } else if is_reconnected && !self.worker(key).earlier_ends_known {
            let worker = self.worker(key).name();
            self.decided(Decision::EndsUnlisted {
                worker,
                listed: listed.len(),
            });
        }
        self.review_entry_after_answer(key);
        self.review_recovery();
        // An immediate poll would return the same ends until they are durable.
        let all_durable = self.advance_last_seen(key);
        self.worker_mut(key).poll_at_ms = match all_durable {
            true => now_ms,
            false => now_ms + UNDURABLE_POLL_MS,
        };
        self.poll_if_due(key);
    }

    /// Handles the failure of a poll.
    pub(super) fn handle_poll_failure(&mut self, key: WorkerKey, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        let effective_outcome = self.effective_outcome(key, outcome);
        self.poll_ended(key);
        self.try_other_address(key);
        let worker = self.worker_mut(key);
        worker.failed_polls += 1;
        let wait_ms = FAILED_POLL_MS << (worker.failed_polls - 1).min(2);
        worker.poll_at_ms = now_ms + wait_ms.min(MAX_FAILED_POLL_MS);
        match effective_outcome {
            CallOutcome::OtherIncarnation => self.worker_gone(key, LossCause::OtherIncarnation),
            CallOutcome::Refused(StartRefusal::Fenced) => self.actions.push(Action::OwnershipLost),
            _ if worker.contact == Contact::Answering => {
                worker.contact = Contact::Unresponsive;
                self.changed = true;
            }
            _ => {}
        }
    }

    /// Updates a run that the worker reports as running, or adopts it if it is unknown.
    fn handle_running(&mut self, key: WorkerKey, row: RunningRow, clock_ms: u64) {
        let now_ms = self.now_ms;
        self.record_checkpoint(&row);
        self.drop_unseen_run(key, row.name);
        let worker = self.worker_mut(key);
        let Some(run) = worker.runs.get_mut(&row.name) else {
            if self.is_own_run(row.name) {
                let worker = self.worker(key).name();
                self.decided(Decision::EndedRunListed {
                    name: row.name,
                    worker,
                });
            }
            self.adopt(key, &row);
            return;
        };
        if run.phase == RunPhase::Starting {
            // The answer to the start was lost or is still on its way.
            run.phase = RunPhase::Running;
            run.conclusive_ms = Some(now_ms + CONCLUSIVE_MS);
            self.record_started(row.name);
        }
        self.record_survived_start(key, row.name);
        let worker = self.worker_mut(key);
        let Some(run) = worker.runs.get_mut(&row.name) else {
            return;
        };
        run.confirmed = true;
        if row.percent != run.percent {
            run.percent = row.percent;
            run.advanced_ms = now_ms;
        }
        run.progress.record(row.percent, clock_ms, now_ms);
        run.usage = row.usage;
        self.learn_from(key, row.name);
    }

    /// Records the checkpoint of a run with its task.
    fn record_checkpoint(&mut self, row: &RunningRow) {
        if row.checkpoint.is_empty() {
            return;
        }
        let Some(group) = self.groups.get_mut(&GroupKey::of(row.name.task)) else {
            return;
        };
        if group.step.gang {
            // All members of a gang share one checkpoint.
            let is_recorded = group.tasks[0].checkpoint.as_deref() == Some(&*row.checkpoint);
            if !is_recorded {
                for task in &mut group.tasks {
                    task.checkpoint = Some(row.checkpoint.clone());
                }
            }
        } else if let Some(task) = group.tasks.get_mut(row.name.task.index as usize) {
            task.checkpoint = Some(row.checkpoint.clone());
        }
    }

    /// Adopts a run that an earlier owner started. A run that no longer belongs to a
    /// waiting task is stopped.
    pub(super) fn adopt(&mut self, key: WorkerKey, row: &RunningRow) {
        let now_ms = self.now_ms;
        self.drop_older_unseen_runs(row.name);
        let group_key = GroupKey::of(row.name.task);
        self.open_found_occurrence(group_key);
        let index = row.name.task.index;
        let (mut is_current, mut run) = (false, Run::found(now_ms, group_key));
        // The resources of the run are not known, so nothing else is started there
        // meanwhile.
        run.resources = self.worker(key).info.capacity;
        run.resources_unknown = true;
        if let Some(group) = self.groups.get_mut(&group_key) {
            run.resources = group.resources;
            run.resources_unknown = false;
            run.fills = group.step.fills;
            run.throttle_percent = if run.fills { u32::MAX } else { 100 };
            run.serves = group.step.serves();
            run.long_running = group.step.long_running;
            let gang_is_current = !group.step.gang
                || (!group.gang_ending && group.gang_run.is_none_or(|run| run == row.name.run));
            let task = group.tasks.get(index as usize);
            let is_waiting = task.is_some_and(|task| task.state == TaskState::Waiting);
            let is_newest = task.is_some_and(|task| task.last_run <= row.name.run);
            is_current = gang_is_current && is_waiting && is_newest;
            // A run that will be stopped holds its task as well. If the task were started
            // again before the run has left the worker, the task would run twice.
            if is_waiting {
                let state = TaskState::Placed {
                    worker: key,
                    run: row.name.run,
                };
                group.set_state(index, state);
                let task = &mut group.tasks[index as usize];
                task.last_run = task.last_run.max(row.name.run);
                if group.step.gang && is_current {
                    group.gang_run = Some(row.name.run);
                }
            }
        }
        if let Some(job) = self.jobs.get(&row.name.task.job) {
            run.priority = job.run_priority();
        }
        self.record_started(row.name);
        run.percent = row.percent;
        run.usage = row.usage;
        self.worker_mut(key).add_run(row.name, run);
        // The runs of a job that cannot be decoded are left alone.
        if !is_current && !self.is_unreadable(row.name.task.job) {
            self.stop_run(key, row.name, StopReason::Stray);
        }
    }

    /// Removes the runs that a conclusive poll does not show: they are no longer on the
    /// worker.
    fn remove_absent_runs(&mut self, key: WorkerKey, sent_ms: u64, seen: &HashSet<RunName>) {
        let absent: Vec<RunName> = self
            .worker(key)
            .runs
            .iter()
            .filter(|(name, run)| {
                let conclusive = run.conclusive_ms.is_some_and(|at_ms| sent_ms >= at_ms);
                conclusive && !seen.contains(name)
            })
            .map(|(&name, _)| name)
            .collect();
        for name in absent {
            self.report_retry(key, name, "absent");
            self.handle_run_gone(key, name, StopReason::GangBroken);
        }
    }

    /// Handles the outcome of a throttle order.
    pub(super) fn handle_throttle_result(
        &mut self,
        key: WorkerKey,
        name: RunName,
        outcome: CallOutcome,
    ) {
        let effective_outcome = self.effective_outcome(key, outcome);
        let Some(run) = self.worker_mut(key).runs.get_mut(&name) else {
            return;
        };
        run.throttle_in_flight = false;
        match effective_outcome {
            CallOutcome::Done => {}
            CallOutcome::OtherIncarnation => self.worker_gone(key, LossCause::OtherIncarnation),
            CallOutcome::Refused(StartRefusal::Fenced) => self.actions.push(Action::OwnershipLost),
            // The limit in force is unknown: the next review sends the throttle order again.
            CallOutcome::Refused(_) | CallOutcome::NoAnswer | CallOutcome::NotSent => {
                run.throttle_percent = u32::MAX;
            }
        }
    }
}
