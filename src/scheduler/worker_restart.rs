//! Workers that restart under the name that they had.
//!
//! Load pattern: a share of the workers crashes at once, and each is back after a second
//! or two, at its address and under its name. The new incarnation has nothing of the one
//! before: it counts its ends and its clock anew, and has seen no fence. Taken for the one
//! before, it would forget ends that nobody has read.
//!
//! - Only an answer tells that a worker restarted. One poll is under way at a time, so the
//!   answer to it is never older than the one before.
//! - The new incarnation takes the worker's place under another key, so answers to calls
//!   that were meant for the one before are known as such.
//! - What had run there is lost, except where an order may reach the new incarnation: a
//!   start without an answer may be carried out seconds later, by whoever has the name
//!   then. Such a run is stopped there, and holds its task until a poll shows it gone.
//! - Work goes there only by its own entry, since it may be of another kind.
//!
//! Limits: a poll that is carried out by the next incarnation, late, may have it forget
//! ends that nobody has read, or hold its runs for longer than this owner reckons; so may
//! a late order of an earlier owner, before this one has polled. No call tells the two
//! incarnations apart.

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

/// A start without an answer is not carried out later than this.
const LATE_START_MS: u64 = 15_000;

/// A start without an answer.
#[derive(Clone, Copy, Debug)]
pub struct LateStart {
    /// The run.
    pub name: RunName,
    /// The resources that it takes.
    pub resources: Resources,
    /// It may be carried out until then.
    pub until_ms: u64,
}

impl Worker {
    /// Notes that a start had no answer.
    pub(super) fn note_late_start(&mut self, name: RunName, resources: Resources, now_ms: u64) {
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

    /// Runs that may be on the next incarnation, which answered a poll that was sent at
    /// `sent_ms` and listed `listed`.
    fn runs_of_next(
        &self,
        listed: &HashSet<RunName>,
        sent_ms: u64,
        now_ms: u64,
    ) -> BTreeMap<RunName, Run> {
        let may_be_there = |name: &RunName, run: &Run| {
            let unanswered = run.phase != RunPhase::Unseen && !run.confirmed;
            let answered_later = run.conclusive_ms.is_some_and(|at_ms| sent_ms < at_ms);
            listed.contains(name)
                || unanswered
                || answered_later
                || self.may_start_late(name, now_ms)
        };
        let runs = self.runs.iter();
        runs.filter(|(name, run)| may_be_there(name, run))
            .map(|(&name, run)| (name, run.clone()))
            .collect()
    }
}

impl Scheduler {
    /// The key under which a poll's answer is taken in: another one if the answer is that
    /// of another incarnation than the one that is known.
    pub(super) fn answering(
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
            false => self.restarted(key, sent_ms, incarnation_start_ms, report),
        }
    }

    /// Puts the incarnation that answered in the place of the one that is over.
    fn restarted(
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
        let moved = before.runs_of_next(&listed, sent_ms, now_ms);
        self.decided(decision);

        let key = self.take_place(old, incarnation_start_ms);
        // A lease from before, on the new clock, may be as long as workers give any.
        self.worker_mut(key).lease_end_ms = report.clock_ms + self.tuning.max_lease_ms;
        let lost_there = |(name, run): (&RunName, &Run)| {
            // Answered after the poll was sent, it may be the next incarnation's.
            let just_answered = run.phase == RunPhase::Running
                && run.conclusive_ms.is_some_and(|at_ms| sent_ms < at_ms);
            let lost = run.may_be_running() && !just_answered && !listed.contains(name);
            lost.then(|| ConfirmedRun {
                name: *name,
                at_start: run.is_unproven(),
                expected_end_ms: self.expected_end_by_progress_ms(old, run),
            })
        };
        let lost: Vec<ConfirmedRun> = moved.iter().filter_map(lost_there).collect();
        self.worker_mut(old).lost.extend(lost);
        for (name, run) in moved {
            self.move_run(old, key, name, run, listed.contains(&name));
        }
        self.fence_late_starts(key);
        let exit_ms = self.latest_exit_ms(old, Some(incarnation_start_ms));
        self.worker_exited(old, LossCause::Restarted, exit_ms);
        key
    }

    /// A worker with the name, the entry, the place on the roster and the late starts of
    /// another, and with nothing else of it.
    fn take_place(&mut self, old: WorkerKey, incarnation_start_ms: u64) -> WorkerKey {
        let info = self.worker(old).info.clone();
        let key = self.add_worker(info);
        let before = self.worker_mut(old);
        let (on_roster, close_state) = (before.on_roster, before.close_state);
        // Both are the new one's: nothing is to be stored of the one before.
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

    /// Takes a run along that the next incarnation has, or may yet start.
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
            worker.note_late_start(name, run.resources, now_ms);
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
        let there = |worker| TaskState::Placed {
            worker,
            run: name.run,
        };
        let task = group.tasks.get(name.task.index as usize);
        if task.is_some_and(|task| task.state == there(old)) {
            group.set_state(name.task.index, there(key));
        }
    }

    /// Starts that were given up may be carried out by the next incarnation, which knows
    /// nothing of the stops that the one before had.
    fn fence_late_starts(&mut self, key: WorkerKey) {
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
