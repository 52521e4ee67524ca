//! Tasks that crash the workers that start them.
//!
//! Load pattern: some jobs have a task that crashes every worker on which it starts,
//! and each worker is back after some seconds. Counted as lost for nothing, such a
//! task is started for ever, and what was lost beside it starts beside it again. So
//! the runs that a worker had when its incarnation exited are counted, and the counts are
//! stored before such a task starts anew: the next owner goes on from them.
//!
//! Workers crash by themselves too, and of the tasks there only one may be to blame:
//!
//! - Only a run that its worker confirmed counts.
//! - A run whose worker still responded some time after the start did not crash it by
//!   starting. Only the others make their tasks suspects.
//! - A run that, by its reported progress, was expected to end before the latest time at
//!   which the worker may have exited is never the only suspect: polls can hang from before
//!   the end of a run until after a restart, so the end may not have been seen. The next
//!   incarnation reports its start time, by which the previous one had exited.
//! - A suspect starts where the least is lost with it, apart from suspects of other
//!   jobs, and for a while nothing else starts there. So the next crashes tell which of
//!   those that were lost together is to blame, and the others are cleared.
//! - Workers that go down and up by turns are empty when they are back. What was lost
//!   once starts elsewhere, if there is room.
//! - Members of a gang end together once it has made progress. After one of them has
//!   listed an end of its own, later crashes of workers are not counted for the others.
//! - A worker that was leaving, or that only lost its lease, has not crashed. Whether
//!   one that is silent has is known when another incarnation answers at its address.
//!
//! Limits: a task is given up after the second crash at its start that it has brought
//! about alone, the third in whatever company, or the fifth at any time: no task may be
//! started three times more after three crashes, and starts whose answers are lost, or
//! whose owner is followed at once, are crashes that nobody counts. So one crash less is
//! enough for a task that an earlier owner knew. Where many workers crash by themselves
//! some sound task is given up with them. Tasks that last see many
//! workers end and are judged by their starts alone.

use super::action::{
    Decision,
    JobFailure, //
};
use super::job_progress::FinalState;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    GroupKey,
    Run,
    RunName,
    Task,
    TaskState,
    Worker, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::collections::HashSet;

/// A worker that responds so long after a start was not crashed by it.
const OUTLIVED_MS: u64 = 1_000;
/// On a worker where a suspect was started, nothing else starts for this long: what
/// did would be lost with it, and be suspected as well.
const TRIAL_MS: u64 = 1_000;
/// At most one worker in so many is kept for suspects: after a loss of many workers
/// at once, each with young runs, the others go on taking work.
const TRIAL_SHARE: usize = 4;

/// A worker whose earlier incarnation crashed this lately may be one that goes down and up by
/// turns.
const CRASH_MEMORY_MS: u64 = 20_000;

/// Epoch of the first owner, and of an owner that finds no root in the store.
const FIRST_EPOCH: u64 = 1;

/// Crashes at its start of a task that was the only suspect there.
const MOST_ALONE: usize = 2;
/// Crashes at its start of a task in whatever company.
const MOST_AT_START: usize = 3;
/// Crashes at any time of a task that does not last.
const MOST_AT_ALL: usize = 5;
/// Crashes that are remembered of a task that lasts.
const MAX_REMEMBERED: usize = 16;

/// A run whose worker crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// Its number.
    pub run: u64,
    /// The worker did not respond after the start.
    pub at_start: bool,
}

/// A run that a worker confirmed and that was, or may be, lost with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedRun {
    /// The run.
    pub name: RunName,
    /// The worker did not respond after the start.
    pub at_start: bool,
    /// When the run was expected to end, estimated from its reported progress; `None` if
    /// there is no estimate. Not stored.
    pub expected_end_ms: Option<u64>,
}

impl ConfirmedRun {
    /// Whether the run may have ended before the crash of a worker that exited no later
    /// than `exit_ms`.
    fn may_have_ended(&self, exit_ms: u64) -> bool {
        self.expected_end_ms.is_some_and(|end_ms| end_ms <= exit_ms)
    }
}

/// What may be on a worker that gets no more starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClosedRuns {
    /// When the incarnation started that they are on; `None` if that is not known.
    pub incarnation_start_ms: Option<u64>,
    /// The runs.
    pub runs: Vec<RunName>,
    /// Those that the worker confirmed, and those that ended with its lease. The others
    /// may never have arrived.
    pub confirmed: Vec<ConfirmedRun>,
}

impl From<Vec<RunName>> for ClosedRuns {
    fn from(runs: Vec<RunName>) -> Self {
        Self {
            runs,
            ..Self::default()
        }
    }
}

/// Why the runs of a worker's incarnation were lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LossCause {
    /// Its lease ended in silence.
    LeaseOver,
    /// The same, and its entry is gone.
    Left,
    /// Another incarnation answered at its address.
    OtherIncarnation,
    /// Another incarnation, known by its entry, answered at its address.
    Replaced,
    /// Another incarnation answered under its name.
    Restarted,
}

impl LossCause {
    /// The reason as logs and counters name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeaseOver => "lease_over",
            Self::Left => "left",
            Self::OtherIncarnation => "other_incarnation",
            Self::Replaced => "replaced",
            Self::Restarted => "restarted",
        }
    }

    /// Whether the incarnation has certainly exited.
    fn is_exit(self) -> bool {
        matches!(
            self,
            Self::OtherIncarnation | Self::Replaced | Self::Restarted
        )
    }
}

impl Run {
    /// Whether its start may be what its worker did not outlive.
    pub(super) fn is_unproven(&self) -> bool {
        self.may_be_running() && !self.outlived
    }

    /// Whether it may be running: its worker confirmed it, and its gang has not ended.
    pub(super) fn may_be_running(&self) -> bool {
        self.confirmed && !self.gang_ended
    }
}

impl Worker {
    /// The runs there that it confirmed, except those whose gang has ended. A start
    /// without an answer may have met a worker that was gone already.
    pub(super) fn confirmed_runs(&self) -> impl Iterator<Item = ConfirmedRun> + '_ {
        let runs = self.runs.iter().filter(|(_, run)| run.may_be_running());
        runs.map(|(&name, run)| ConfirmedRun {
            name,
            at_start: run.is_unproven(),
            expected_end_ms: None,
        })
    }
}

impl Task {
    /// Crashes at its start.
    pub fn crashes_at_start(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.at_start).count()
    }

    /// Whether it may be one that crashes its workers.
    pub fn is_suspect(&self) -> bool {
        self.crashes_at_start() > 0
    }

    /// Counts a crash; whether it was not counted before.
    fn count_crash(&mut self, crash: CrashedRun) -> bool {
        if self.crashes.iter().any(|known| known.run == crash.run) {
            return false;
        }
        if self.crashes.len() == MAX_REMEMBERED {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Why it is given up, if it is; `alone` says whether it was the only suspect of
    /// the last crash, and `unseen` how many crashes this owner may not know of.
    fn crash_verdict(&self, alone: bool, unseen: usize, lasts: bool) -> Option<&'static str> {
        let at_start = self.crashes_at_start();
        if alone && at_start >= MOST_ALONE {
            Some("alone")
        } else if at_start + unseen >= MOST_AT_START {
            Some("at_start")
        } else if !lasts && self.crashes.len() + unseen >= MOST_AT_ALL {
            Some("at_all")
        } else {
            None
        }
    }
}

impl Scheduler {
    /// The latest time at which a worker's incarnation may have exited: the start of the
    /// next one if known, otherwise now. Clocks may differ, so the start time is clamped to
    /// the interval from the last response to now.
    pub(super) fn latest_exit_ms(&self, key: WorkerKey, next_start_ms: Option<u64>) -> u64 {
        let heard_ms = self.worker(key).heard_ms.min(self.now_ms);
        next_start_ms.map_or(self.now_ms, |start_ms| {
            start_ms.clamp(heard_ms, self.now_ms)
        })
    }

    /// The confirmed runs of a worker with their expected ends.
    pub(super) fn confirmed_runs_with_expected_end(&self, key: WorkerKey) -> Vec<ConfirmedRun> {
        let worker = self.worker(key);
        let mut confirmed: Vec<ConfirmedRun> = worker.confirmed_runs().collect();
        for run in &mut confirmed {
            run.expected_end_ms = self.expected_end_by_progress_ms(key, &worker.runs[&run.name]);
        }
        confirmed
    }

    /// When a run is expected to end; `None` if it is long-running or has no reported
    /// progress.
    pub(super) fn expected_end_by_progress_ms(&self, key: WorkerKey, run: &Run) -> Option<u64> {
        let has_estimate = run.progress.is_reported() && !run.long_running;
        has_estimate.then(|| self.expected_run_end_ms(key, run))
    }

    /// Runs were lost with a worker: they are counted once its incarnation is known
    /// to have exited, no later than `exit_ms`, and not where that was planned.
    pub(super) fn note_lost(
        &mut self,
        key: WorkerKey,
        lost: Vec<ConfirmedRun>,
        loss: LossCause,
        exit_ms: u64,
    ) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        worker.lost.extend(lost);
        if !loss.is_exit() {
            return;
        }
        let planned = worker.has_drained || worker.upkeep_next;
        let lost = std::mem::take(&mut worker.lost);
        if !planned {
            worker.crashed_ms = Some(now_ms);
            self.count_crashes(key, &lost, exit_ms);
        }
    }

    /// Another incarnation answers at the address of a worker that had only left.
    pub(super) fn note_replaced(&mut self, key: WorkerKey, exit_ms: u64) {
        let worker = self.worker(key);
        if worker.contact == Contact::Gone && !worker.lost.is_empty() {
            self.note_lost(key, Vec::new(), LossCause::Replaced, exit_ms);
        }
    }

    fn count_crashes(&mut self, key: WorkerKey, lost: &[ConfirmedRun], exit_ms: u64) {
        let suspects = lost.iter().filter(|lost| lost.at_start);
        let jobs: HashSet<JobId> = suspects.map(|lost| lost.name.task.job).collect();
        let alone = jobs.len() == 1;
        for lost in lost {
            self.count_crash(key, *lost, alone && !lost.may_have_ended(exit_ms));
        }
    }

    fn count_crash(&mut self, key: WorkerKey, lost: ConfirmedRun, alone: bool) {
        let ConfirmedRun { name, at_start, .. } = lost;
        let group_key = GroupKey::of(name.task);
        let Some(group) = self.groups.get_mut(&group_key) else {
            return;
        };
        let lasts = group.step.long_running;
        let job = self.jobs.get(&name.task.job);
        // A worker that crashed as its owner was followed leaves the next one no trace.
        // `known_earlier` is also set for jobs stored before the first owner started.
        let had_earlier_owner = self.epoch > FIRST_EPOCH;
        let unseen = usize::from(had_earlier_owner && job.is_some_and(|job| job.known_earlier));
        let Some(task) = group.tasks.get_mut(name.task.index as usize) else {
            return;
        };
        let crash = CrashedRun {
            run: name.run,
            at_start,
        };
        if task.state == TaskState::Done || !task.count_crash(crash) {
            return;
        }
        let crashes = task.crashes.len() as u32;
        let crashes_at_start = task.crashes_at_start() as u32;
        let verdict = task.crash_verdict(alone && at_start, unseen, lasts);
        let failures = task.failed_runs.len() as u32;
        let worker = self.worker(key).name();
        self.decided(Decision::CrashCounted {
            name,
            worker,
            at_start,
            alone,
            crashes,
            crashes_at_start,
        });
        let change = self.job_changed(name.task.job);
        if at_start && let Some(group) = self.groups.get_mut(&group_key) {
            group.crash_change = change;
        }
        if let Some(reason) = verdict {
            self.decided(Decision::TaskGivenUp {
                name,
                crashes,
                crashes_at_start,
                reason,
            });
            self.give_up_crashing(name, failures, crashes);
        }
    }

    fn give_up_crashing(&mut self, name: RunName, failures: u32, crashes: u32) {
        let terms = self.jobs[&name.task.job].terms.as_ref();
        let failure = JobFailure {
            name,
            failures,
            max_attempts: terms.map_or(0, |known| known.terms.max_attempts),
            terms_version: terms.map_or(0, |known| known.configuration_version),
            crashes,
        };
        self.end_job(name.task.job, FinalState::Failed, Some(failure));
    }

    /// A worker shows a run long enough after its start: that does not crash workers.
    /// What a task that lasts has been through does not count any more either.
    pub(super) fn note_outlived(&mut self, key: WorkerKey, name: RunName) {
        let now_ms = self.now_ms;
        let Some(run) = self.worker_mut(key).runs.get_mut(&name) else {
            return;
        };
        if run.outlived || now_ms < run.ordered_ms + OUTLIVED_MS {
            return;
        }
        run.outlived = true;
        let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) else {
            return;
        };
        let lasts = group.step.long_running;
        let Some(task) = group.tasks.get_mut(name.task.index as usize) else {
            return;
        };
        if lasts {
            task.crashes.clear();
        }
        for crash in &mut task.crashes {
            crash.at_start = false;
        }
    }

    /// Whether the last crash at the start of one of a group's tasks is stored. A start
    /// before that could be one that the next owner does not know of.
    pub(super) fn is_crash_stored(&self, key: GroupKey) -> bool {
        self.jobs[&key.job].stored >= self.groups[&key].crash_change
    }

    /// Whether a waiting task of the group is a suspect: all start as such then.
    pub(super) fn is_on_trial(&self, key: GroupKey) -> bool {
        let mut tasks = self.groups[&key].tasks.iter();
        tasks.any(|task| task.state == TaskState::Waiting && task.is_suspect())
    }

    /// Whether a suspect of another job was just started on a worker.
    pub(super) fn tries_another(&self, key: WorkerKey, job: JobId) -> bool {
        let mut runs = self.worker(key).runs.iter();
        runs.any(|(name, run)| run.on_trial && !run.outlived && name.task.job != job)
    }

    /// Whether an earlier incarnation at a worker's address crashed lately: some workers go
    /// down and up by turns, and one that is just back is empty.
    pub(super) fn crashed_lately(&self, key: WorkerKey) -> bool {
        let now_ms = self.now_ms;
        let there = self.address_index.get(&self.worker(key).info.address);
        let mut others = there.into_iter().flatten();
        others.any(|&other| {
            let crashed_ms = self.worker(other).crashed_ms;
            crashed_ms.is_some_and(|at_ms| now_ms < at_ms + CRASH_MEMORY_MS)
        })
    }

    /// Keeps a worker on which a suspect starts from other work for a while; whether
    /// it is kept.
    pub(super) fn keep_for_trial(&mut self, key: WorkerKey) -> bool {
        let now_ms = self.now_ms;
        let kept = |until_ms: u64| now_ms < until_ms;
        if kept(self.worker(key).trial_until_ms) {
            return true;
        }
        let workers = self.workers.iter();
        let answering = workers.filter(|worker| worker.contact == Contact::Answering);
        let (count, on_trial) = answering.fold((0usize, 0usize), |(count, on_trial), worker| {
            (
                count + 1,
                on_trial + usize::from(kept(worker.trial_until_ms)),
            )
        });
        if on_trial > 0 && (on_trial + 1) * TRIAL_SHARE > count {
            return false;
        }
        self.worker_mut(key).trial_until_ms = now_ms + TRIAL_MS;
        true
    }
}
