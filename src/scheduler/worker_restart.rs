//! Handles workers that restart under the same name.
//!
//! Many workers may crash at once and return after a second or two, at the same address
//! and under the same name. The new incarnation has none of the earlier one's state: it
//! lists no ends, its clock starts again, and it knows no epoch. If it were taken as the
//! earlier incarnation, it would be told to drop ends that no owner has received.
//!
//! - Only an answer to a poll shows that a worker restarted. One poll is in flight at a
//!   time, so its answer is never older than the previous one.
//! - The new incarnation gets a new key, so answers to calls that were sent to the earlier
//!   incarnation are recognized.
//! - The runs of the earlier incarnation are lost, except where an order may reach the new
//!   one: a start without an answer may be carried out seconds later, by the incarnation
//!   that has the name then. Such a run is stopped on the new incarnation, and its task
//!   waits until a poll shows that the run is gone.
//! - The new incarnation gets work only once it has registered itself, since its capacity
//!   may differ.
//!
//! A poll that reaches the next incarnation late may make it drop ends that no owner has
//! received, or extend its leases beyond what this owner computes. So may a late order of
//! an earlier owner that arrives before this owner's first poll. No call distinguishes the
//! two incarnations, so this cannot be prevented here.

use super::action::Decision;
use super::crashes::LossCause;
use super::state::Scheduler;
use super::worker::CloseState;
use super::{
    ConfirmedRun,
    GroupKey,
    PollReport,
    Resources,
    Run,
    RunName,
    RunPhase,
    TaskState,
    Worker, //
};
use crate::core::WorkerKey;
use std::collections::{
    BTreeMap,
    HashSet, //
};

/// Longest time after which a start without an answer may still be carried out.
const LATE_START_MS: u64 = 15_000;

/// A start without an answer.
#[derive(Clone, Copy, Debug)]
pub struct LateStart {
    /// The run.
    pub name: RunName,
    /// The resources that it takes.
    pub resources: Resources,
    /// Until when it may be carried out.
    pub until_ms: u64,
}

impl Worker {
    /// Records that a start had no answer.
    pub(super) fn record_late_start(&mut self, name: RunName, resources: Resources, now_ms: u64) {
        let until_ms = now_ms + LATE_START_MS;
        self.late_starts
            .retain(|late| now_ms < late.until_ms && late.name != name);
        self.late_starts.push(LateStart {
            name,
            resources,
            until_ms,
        });
    }

    /// Whether a start of the run may still be carried out.
    fn may_start_late(&self, name: &RunName, now_ms: u64) -> bool {
        let mut late = self.late_starts.iter();
        late.any(|late| late.name == *name && now_ms < late.until_ms)
    }

    /// Returns the runs that may be on the next incarnation, which listed `listed` in its
    /// answer to a poll sent at `sent_ms`.
    fn runs_on_next_incarnation(
        &self,
        listed: &HashSet<RunName>,
        sent_ms: u64,
        now_ms: u64,
    ) -> BTreeMap<RunName, Run> {
        let may_be_present = |name: &RunName, run: &Run| {
            let unanswered = run.phase != RunPhase::Unseen && !run.confirmed;
            let answered_later = run.conclusive_ms.is_some_and(|at_ms| sent_ms < at_ms);
            listed.contains(name)
                || unanswered
                || answered_later
                || self.may_start_late(name, now_ms)
        };
        let runs = self.runs.iter();
        runs.filter(|(name, run)| may_be_present(name, run))
            .map(|(&name, run)| (name, run.clone()))
            .collect()
    }
}

impl Scheduler {
    /// Returns the key of the incarnation that answered a poll: a new key if it is not the
    /// known incarnation.
    pub(super) fn resolve_incarnation(
        &mut self,
        key: WorkerKey,
        sent_ms: u64,
        report: &PollReport,
    ) -> WorkerKey {
        let Some(incarnation_start_ms) = report.incarnation_start_ms else {
            return key;
        };
        let known_ms = *self
            .worker_mut(key)
            .incarnation_start_ms
            .get_or_insert(incarnation_start_ms);
        match known_ms == incarnation_start_ms {
            true => key,
            false => self.handle_restart(key, sent_ms, incarnation_start_ms, report),
        }
    }

    /// Replaces a worker's incarnation by the one that answered, and returns its key.
    fn handle_restart(
        &mut self,
        old: WorkerKey,
        sent_ms: u64,
        incarnation_start_ms: u64,
        report: &PollReport,
    ) -> WorkerKey {
        let now_ms = self.now_ms;
        let running = report.running.iter().map(|row| row.name);
        let listed: HashSet<RunName> = running
            .chain(report.ended.iter().map(|row| row.name))
            .collect();
        let before = self.worker(old);
        let decision = Decision::WorkerRestarted {
            worker: before.name(),
            incarnation_start_ms,
            earlier_incarnation_start_ms: before.incarnation_start_ms.unwrap_or_default(),
            last_seen: before.last_seen,
            runs: before.runs.len(),
        };
        let moved = before.runs_on_next_incarnation(&listed, sent_ms, now_ms);
        self.decided(decision);
        let moved_names: Vec<RunName> = moved.keys().copied().collect();
        self.record_lost_groups(&moved_names);

        let key = self.add_next_incarnation(old, incarnation_start_ms);
        // A lease that an earlier poll gave may hold on the new clock, for as long as workers
        // accept at most.
        self.worker_mut(key).lease_end_ms = report.clock_ms + self.tuning.max_lease_ms;
        let as_lost_run = |(name, run): (&RunName, &Run)| {
            // A start that was answered after the poll was sent may have reached the next
            // incarnation.
            let just_answered = run.phase == RunPhase::Running
                && run.conclusive_ms.is_some_and(|at_ms| sent_ms < at_ms);
            let lost = run.may_be_running() && !just_answered && !listed.contains(name);
            lost.then(|| ConfirmedRun {
                name: *name,
                at_start: run.is_start_unproven(),
                possible_end_ms: self.possible_end_ms(old, run),
            })
        };
        let lost: Vec<ConfirmedRun> = moved.iter().filter_map(as_lost_run).collect();
        self.worker_mut(old).lost.extend(lost);
        for (name, run) in moved {
            self.move_run(old, key, name, run, listed.contains(&name));
        }
        self.stop_late_starts(key);
        let exit_ms = self.latest_exit_ms(old, Some(incarnation_start_ms));
        self.worker_exited(old, LossCause::Restarted, exit_ms);
        key
    }

    /// Adds the next incarnation of a worker, which takes over the name, the entry, the
    /// place on the roster and the late starts, and nothing else.
    fn add_next_incarnation(&mut self, old: WorkerKey, incarnation_start_ms: u64) -> WorkerKey {
        let info = self.worker(old).info.clone();
        let key = self.add_worker(info);
        let before = self.worker_mut(old);
        let (on_roster, close_state) = (before.on_roster, before.close_state);
        // Both move to the new incarnation: nothing remains to be stored for the old one.
        before.on_roster = false;
        before.close_state = CloseState::Open;
        let (listed, problem) = (before.listed, before.entry_problem);
        let (address_conflict, emptied) = (before.address_conflict.take(), before.emptied);
        let late_starts = std::mem::take(&mut before.late_starts);
        let worker = self.worker_mut(key);
        worker.incarnation_start_ms = Some(incarnation_start_ms);
        worker.on_roster = on_roster;
        worker.close_state = close_state;
        worker.listed = listed;
        worker.entry_problem = problem;
        worker.address_conflict = address_conflict;
        worker.emptied = emptied;
        worker.late_starts = late_starts;
        key
    }

    /// Moves a run that the next incarnation has, or may yet start, to its key.
    fn move_run(
        &mut self,
        old: WorkerKey,
        key: WorkerKey,
        name: RunName,
        mut run: Run,
        listed: bool,
    ) {
        let now_ms = self.now_ms;
        self.worker_mut(old).remove_run(&name);
        run.in_flight = false;
        run.throttle_in_flight = false;
        if !run.confirmed {
            let worker = self.worker_mut(key);
            worker.record_late_start(name, run.resources, now_ms);
        }
        if !listed {
            run.phase = RunPhase::Stopping;
            run.conclusive_ms = None;
            run.resend_ms = now_ms;
        }
        self.worker_mut(key).add_run(name, run);
        let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) else {
            return;
        };
        let placed_on = |worker| TaskState::Placed {
            worker,
            run: name.run,
        };
        let task = group.tasks.get(name.task.index as usize);
        if task.is_some_and(|task| task.state == placed_on(old)) {
            group.set_state(name.task.index, placed_on(key));
        }
    }

    /// Orders stops for starts that were given up and may still be carried out by the next
    /// incarnation, which does not know of stops sent to the earlier one.
    fn stop_late_starts(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        worker.late_starts.retain(|late| now_ms < late.until_ms);
        for LateStart {
            name, resources, ..
        } in worker.late_starts.clone()
        {
            if worker.runs.contains_key(&name) {
                continue;
            }
            let mut run = Run::found(now_ms, GroupKey::of(name.task));
            run.resources = resources;
            run.phase = RunPhase::Stopping;
            run.conclusive_ms = None;
            worker.add_run(name, run);
        }
    }
}
