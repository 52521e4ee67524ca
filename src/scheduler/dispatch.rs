//! Sends starts and stops to workers and handles their results.
//!
//! An order without an answer may have been carried out, or may still be carried out
//! seconds later. A start is therefore sent again under the same run number, which a
//! worker treats as the same start. After several attempts the run is stopped, and a
//! worker refuses a start that arrives after the stop of the same run. Only then does the
//! task start elsewhere.

use super::action::{
    Action,
    Decision,
    StopReason, //
};
use super::crashes::LossCause;
use super::state::Scheduler;
use super::worker::{
    CONCLUSIVE_MS,
    CloseState, //
};
use super::{
    CallOutcome,
    GroupKey,
    Progress,
    RunName,
    RunPhase,
    StartRefusal,
    TaskState, //
};
use crate::core::WorkerKey;
use std::sync::Arc;

/// Run numbers that one epoch may give to a task. A worker refuses a run whose number is
/// not above those it knows, so after an owner that used more, every start of the next
/// owner would be refused. Refused starts use a number too, and a long-running task is
/// started again and again for months.
const RUNS_PER_EPOCH: u64 = 100_000;
/// Wait before a start without an answer is sent again.
const START_RESEND_MS: u64 = 30;
/// Time for which a worker that refused a start gets none. Without the wait, a worker that refuses
/// for a lasting reason gets thousands of starts a second.
const REFUSAL_BACKOFF_MS: u64 = 150;

impl Scheduler {
    /// Starts a run on a worker. The caller has checked that its resources are free.
    pub(super) fn start_run(&mut self, key: WorkerKey, group_key: GroupKey, index: u32, run: u64) {
        let name = RunName {
            task: group_key.task(index),
            run,
        };
        let now_ms = self.now_ms;
        let priority = self.jobs[&group_key.job].priority;
        let group = self
            .groups
            .get_mut(&group_key)
            .expect("the pass starts only open groups");
        group.set_state(index, TaskState::Placed { worker: key, run });
        group.tasks[index as usize].last_run = run;
        let step = group.step.clone();
        let waited_ms = now_ms.saturating_sub(group.released_ms);
        let suspected = group.tasks[index as usize].is_suspect();
        let entry = super::Run {
            group: group_key,
            resources: group.resources,
            resources_unknown: false,
            phase: RunPhase::Starting,
            ordered_ms: now_ms,
            confirmed: false,
            survived_start: false,
            survival_recorded: false,
            gang_ended: false,
            possible_end_ms: None,
            suspected,
            sends: 0,
            in_flight: false,
            resend_ms: now_ms,
            conclusive_ms: None,
            percent: 0,
            advanced_ms: now_ms,
            progress: Progress::default(),
            throttled_ms: 0,
            usage: None,
            throttle_percent: 100,
            throttle_in_flight: false,
            fills: step.fills,
            serves: step.serves(),
            long_running: step.long_running,
            priority,
        };
        let worker = self.worker_mut(key);
        worker.add_run(name, entry);
        let decision = Decision::Placed {
            name,
            worker: worker.name(),
            view_age_ms: now_ms.saturating_sub(worker.last_response_ms),
            priority,
            waited_ms,
        };
        self.decided(decision);
        self.record_start_on(key);
        self.send_start(key, name);
    }

    /// Sends the start of a run, or stops the run if it may no longer start.
    fn send_start(&mut self, key: WorkerKey, name: RunName) {
        /// Number of starts without an answer after which the run is stopped instead.
        const MAX_SENDS: u32 = 3;
        let now_ms = self.now_ms;
        let group_key = GroupKey::of(name.task);
        let sends = self.worker(key).runs.get(&name).map_or(0, |run| run.sends);
        if self.worker(key).emptied {
            // A start without an answer may not have arrived yet. If it were sent again,
            // the run could begin long after the order to empty the data centre.
            self.stop_run(key, name, StopReason::DataCentreEmptied);
            return;
        }
        let capacity_shrunk = self.worker(key).is_overfull() && self.is_unguarded(key);
        if sends > 0 && (capacity_shrunk || self.is_capacity_unknown(key)) {
            // If the start were carried out only now, the worker would exceed its capacity.
            self.stop_run(key, name, StopReason::CapacityShrunk);
            return;
        }
        if sends >= MAX_SENDS {
            self.stop_run(key, name, StopReason::StartUnanswered);
            return;
        }
        if !self.has_authority() || !self.knows_orders() {
            self.stop_run(key, name, StopReason::StartNotAllowed);
            return;
        }
        let Some(group) = self.groups.get(&group_key) else {
            self.stop_run(key, name, StopReason::JobOver);
            return;
        };
        let checkpoint = group.tasks[name.task.index as usize].checkpoint.clone();
        let ticket = group
            .advice
            .tickets
            .get(&key)
            .map(|ticket| ticket.ticket.clone());
        let payload: Arc<str> = self.jobs[&name.task.job]
            .record
            .spec
            .payload
            .as_str()
            .into();
        let window_ms = self.tuning.start_window_ms;
        let worker = self.worker_mut(key);
        let Some(lease_end_ms) = worker.grant(now_ms, window_ms) else {
            return;
        };
        let callee = worker.callee();
        if let Some(run) = worker.runs.get_mut(&name) {
            run.sends += 1;
            run.in_flight = true;
        }
        self.actions.push(Action::Start {
            callee,
            name,
            payload,
            lease_end_ms,
            checkpoint,
            ticket,
        });
    }

    /// Whether a worker starts every run without checking its own capacity.
    pub(super) fn is_unguarded(&self, key: WorkerKey) -> bool {
        let service = &self.worker(key).info.service;
        self.configuration.unguarded_services.contains(service)
    }

    /// Handles the result of a start.
    pub(super) fn handle_start_result(
        &mut self,
        key: WorkerKey,
        name: RunName,
        outcome: CallOutcome,
    ) {
        let effective_outcome = self.effective_outcome(key, outcome);
        let now_ms = self.now_ms;
        let Some(run) = self.worker_mut(key).runs.get_mut(&name) else {
            return;
        };
        run.in_flight = false;
        run.confirmed |= effective_outcome == CallOutcome::Done;
        match effective_outcome {
            CallOutcome::Done if run.phase == RunPhase::Starting => {
                run.phase = RunPhase::Running;
                run.conclusive_ms = Some(now_ms + CONCLUSIVE_MS);
                run.advanced_ms = now_ms;
                self.record_started(name);
            }
            CallOutcome::Done => {}
            CallOutcome::NoAnswer => {
                run.resend_ms = now_ms + START_RESEND_MS;
                let (phase, resources) = (run.phase, run.resources);
                self.worker_mut(key)
                    .record_late_start(name, resources, now_ms);
                if phase == RunPhase::Starting {
                    self.report_retry(key, name, "no_answer");
                }
            }
            CallOutcome::NotSent => self.handle_unsent_start(key, name),
            CallOutcome::OtherIncarnation => self.worker_gone(key, LossCause::OtherIncarnation),
            CallOutcome::Refused(StartRefusal::Fenced) => self.actions.push(Action::OwnershipLost),
            CallOutcome::Refused(refusal) => self.handle_start_refusal(key, name, refusal),
        }
    }

    /// Handles a start that was not sent: its task may start elsewhere at once, unless an earlier
    /// copy of the start may have been carried out.
    fn handle_unsent_start(&mut self, key: WorkerKey, name: RunName) {
        let now_ms = self.now_ms;
        self.report_retry(key, name, "not_sent");
        let worker = self.worker_mut(key);
        let Some(run) = worker.runs.get_mut(&name) else {
            return;
        };
        if run.phase != RunPhase::Starting {
            return;
        }
        if run.sends > 1 {
            run.resend_ms = now_ms + START_RESEND_MS;
            return;
        }
        worker.full_until_ms = now_ms + REFUSAL_BACKOFF_MS;
        self.handle_run_gone(key, name, StopReason::GangBroken);
    }

    fn handle_start_refusal(&mut self, key: WorkerKey, name: RunName, refusal: StartRefusal) {
        let now_ms = self.now_ms;
        self.report_retry(key, name, refusal.name());
        let worker = self.worker_mut(key);
        let Some(run) = worker.runs.get_mut(&name) else {
            return;
        };
        if run.phase != RunPhase::Starting {
            return;
        }
        if run.sends > 1 {
            // An earlier copy of the start may have been carried out, and the run may
            // have ended already. Only a later poll shows that.
            run.phase = RunPhase::Stopping;
            run.resend_ms = now_ms;
            return;
        }
        match refusal {
            StartRefusal::NoCapacity | StartRefusal::OldRun | StartRefusal::Malformed => {
                worker.full_until_ms = now_ms + REFUSAL_BACKOFF_MS;
            }
            // The worker's clock was read from an answer that had waited in this process,
            // for example during a pause.
            StartRefusal::Late => worker.clock_suspect = true,
            StartRefusal::Unhealthy => worker.full_until_ms = now_ms + 4 * REFUSAL_BACKOFF_MS,
            StartRefusal::NoTicket => {
                if let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) {
                    group.advice.tickets.remove(&key);
                }
            }
            StartRefusal::Fenced => {}
        }
        self.handle_run_gone(key, name, StopReason::GangBroken);
    }

    /// Reports that a run did not start: refused, not answered, or absent from a poll.
    pub(super) fn report_retry(&mut self, key: WorkerKey, name: RunName, reason: &'static str) {
        let worker = self.worker(key).name();
        self.decided(Decision::Retried {
            name,
            worker,
            reason,
        });
    }

    /// Records that a run of the job has started.
    pub(super) fn record_started(&mut self, name: RunName) {
        self.count_suspect_start(name);
        if let Some(job) = self.jobs.get_mut(&name.task.job) {
            job.started = true;
        }
    }

    /// Stops a run, unless it is stopping or ending already.
    pub(super) fn stop_run(&mut self, key: WorkerKey, name: RunName, reason: StopReason) {
        let now_ms = self.now_ms;
        let lost_core_s = self.lost_core_s(key, name);
        self.count_unseen_resources(key, name);
        let worker = self.worker_mut(key);
        let Some(run) = worker.runs.get_mut(&name) else {
            return;
        };
        if run.phase == RunPhase::Stopping || run.phase == RunPhase::Ending {
            return;
        }
        let priority = run.priority;
        run.phase = RunPhase::Stopping;
        run.conclusive_ms = None;
        run.resend_ms = now_ms;
        // A gang that has ended has no member left that this stop could end.
        if reason != StopReason::GangMemberLost {
            run.possible_end_ms.get_or_insert(now_ms);
        }
        if worker.close_state != CloseState::Open {
            // The stored record says when each of its runs may have ended.
            self.actions.push(Action::StoreClosedWorker { worker: key });
        }
        let worker = self.worker(key).name();
        self.decided(Decision::Stopped {
            name,
            worker,
            reason,
            priority,
            lost_core_s,
        });
        self.send_stop(key, name);
    }

    fn send_stop(&mut self, key: WorkerKey, name: RunName) {
        let worker = self.worker_mut(key);
        let callee = worker.callee();
        if let Some(run) = worker.runs.get_mut(&name) {
            run.in_flight = true;
            self.actions.push(Action::Stop { callee, name });
        }
    }

    /// Handles the result of a stop.
    pub(super) fn handle_stop_result(
        &mut self,
        key: WorkerKey,
        name: RunName,
        outcome: CallOutcome,
    ) {
        let effective_outcome = self.effective_outcome(key, outcome);
        /// Wait before a stop without an answer is sent again.
        const RESEND_MS: u64 = 200;
        let (now_ms, stop_ms) = (self.now_ms, self.tuning.stop_ms);
        let worker = self.worker_mut(key);
        let Some(run) = worker.runs.get_mut(&name) else {
            return;
        };
        run.in_flight = false;
        match effective_outcome {
            CallOutcome::Done => {
                run.conclusive_ms = Some(now_ms + stop_ms + CONCLUSIVE_MS);
                worker.poll_at_ms = worker.poll_at_ms.min(now_ms + stop_ms);
            }
            CallOutcome::OtherIncarnation => self.worker_gone(key, LossCause::OtherIncarnation),
            CallOutcome::Refused(StartRefusal::Fenced) => self.actions.push(Action::OwnershipLost),
            CallOutcome::Refused(_) | CallOutcome::NoAnswer | CallOutcome::NotSent => {
                run.resend_ms = now_ms + RESEND_MS;
            }
        }
    }

    /// Sends starts and stops again that got no answer. After several attempts to start a
    /// run, it is stopped instead.
    pub(super) fn review_runs(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let due: Vec<(RunName, RunPhase)> = self
            .worker(key)
            .runs
            .iter()
            .filter(|(_, run)| {
                let waits = matches!(run.phase, RunPhase::Starting | RunPhase::Stopping)
                    && run.conclusive_ms.is_none();
                waits && !run.in_flight && now_ms >= run.resend_ms
            })
            .map(|(&name, run)| (name, run.phase))
            .collect();
        for (name, phase) in due {
            match phase {
                RunPhase::Starting => self.send_start(key, name),
                _ => self.send_stop(key, name),
            }
        }
    }

    /// Whether a run was ordered under the epoch of this owner.
    pub(super) fn is_own_run(&self, name: RunName) -> bool {
        let earlier_epochs = name.run.saturating_sub(1) / RUNS_PER_EPOCH;
        earlier_epochs + 1 == self.epoch
    }

    /// Returns the number of the next run of a task, or with no `index` of a whole gang,
    /// whose members share it.
    pub(super) fn next_run(&self, key: GroupKey, index: Option<u32>) -> u64 {
        let tasks = &self.groups[&key].tasks;
        let highest = match index {
            Some(index) => tasks[index as usize].last_run,
            None => tasks.iter().map(|task| task.last_run).max().unwrap_or(0),
        };
        let base = (self.epoch.saturating_sub(1)) * RUNS_PER_EPOCH;
        highest.max(base) + 1
    }
}
