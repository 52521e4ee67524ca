//! Detects tasks that crash the workers on which they start, and gives them up.
//!
//! Some jobs have a task that crashes every worker on which it starts, and each worker is
//! back after some seconds. If such losses were not counted, the task would be started
//! for ever, and the runs lost with it would start beside it again. So a crash is counted
//! for each run that a worker had when its incarnation exited. The count is stored before
//! the task starts again, so that the next owner continues from it.
//!
//! Workers also crash for other reasons, and at most one of the tasks on a worker caused
//! its crash. These rules narrow down the cause:
//!
//! - Only a run that its worker confirmed counts.
//! - A run whose worker still responded some time after the start did not crash it by
//!   starting, unless it is a member of a gang without progress, which may be waiting for
//!   the others. The tasks of all other confirmed runs become suspects.
//! - A run may have ended unseen before the crash, since a poll can hang from before the
//!   end until after the restart: its stop was ordered, or by its progress or the estimates
//!   it was expected to end by the latest time at which the worker may have exited. That is the
//!   start time of the next incarnation, or the present if it is unknown. Such a crash is
//!   uncertain.
//! - A task is the only suspect of a crash if the crash is certain and all suspects belong
//!   to its job.
//! - A suspect starts on the worker with the fewest runs that could be lost with it, but
//!   not beside a suspect of another job, and for a while nothing else starts on that
//!   worker. So the next crashes show which of the tasks that were lost together is the
//!   cause, and clear the others.
//! - Workers that go down and come up repeatedly are empty when they are back and would
//!   attract tasks. A task that was lost once starts elsewhere, if there is capacity.
//! - The members of a gang end together once it has made progress. After one of them is
//!   listed as having ended by itself, later crashes of workers are not counted for the
//!   others.
//! - A worker that was draining, or whose lease only expired, has not crashed. Whether an
//!   unresponsive worker has crashed is known once another incarnation answers at its
//!   address.
//!
//! A task is given up after the second certain crash at its start if it is the only suspect
//! of the last one, after the third crash at its start, or after the fifth crash at any
//! time: after three crashes a task may be started at most twice more. It is also given up
//! if its worker survived none of the five starts since it became a suspect, since the runs
//! of a crashing task may end for other reasons first. A crash is not counted if the answer
//! to the start was lost, or if the owner changed directly after the start. So for a job
//! that an earlier owner knew, the limits of three and five, and that of starts, are lower by
//! one; the first of them counts certain crashes only. If many workers crash for other
//! reasons, some tasks without a fault are given up too. A long-running task outlives many
//! workers, so only the crashes at its starts count.

use super::action::{
    Decision,
    JobFailure, //
};
use super::job_progress::FinalState;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    Group,
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
use std::sync::Arc;

/// A worker that responds this long after a start was not crashed by that start.
const START_SURVIVAL_MS: u64 = 1_000;
/// Time for which nothing else starts on a worker after a suspect was started. A run
/// started in that time would be lost with the suspect and become a suspect as well.
const SUSPECT_RESERVATION_MS: u64 = 1_000;
/// At most one worker in this many is reserved for suspects, so that after a loss of many
/// workers with recently started runs the others still take work.
const WORKERS_PER_SUSPECT_RESERVATION: usize = 4;

/// Time after a crash for which a worker at the same address is assumed to go down and
/// come up repeatedly.
const CRASH_MEMORY_MS: u64 = 20_000;

/// Epoch of the first owner, and of an owner that finds no root in the store.
const FIRST_EPOCH: u64 = 1;

/// Certain crashes at the start of a task after which it is given up, if all suspects of the
/// last crash belonged to its job.
const CRASH_LIMIT_AS_ONLY_SUSPECT: usize = 2;
/// Crashes at the start of a task after which it is given up, even if it was never the
/// only suspect.
const CRASH_LIMIT_AT_START: usize = 3;
/// Crashes at any time after which a task that is not long-running is given up.
const CRASH_LIMIT: usize = 5;
/// Starts of a suspect after which it is given up if its worker survived none of them,
/// whatever ended the runs. The platform allows no more starts of a task that crashes its
/// workers.
const SUSPECT_START_LIMIT: u32 = 5;
/// Most crashes that are remembered of a task. Only a long-running task can have more.
const MAX_REMEMBERED_CRASHES: usize = 16;

/// A run whose worker crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// The number of the run.
    pub run: u64,
    /// The worker did not respond long enough after the start.
    pub at_start: bool,
    /// The run may have ended before the crash.
    pub uncertain: bool,
}

/// A crash under a run, as an owner counted it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CountedCrash {
    /// The run.
    pub name: RunName,
    /// Its crash.
    pub crash: CrashedRun,
    /// Whether all suspects on the worker were of one job, and the crash is certain.
    pub only_suspect: bool,
}

/// A run that a worker confirmed and that was, or may be, lost with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedRun {
    /// The run.
    pub name: RunName,
    /// The worker did not respond long enough after the start.
    pub at_start: bool,
    /// When the run may have ended, since the Unix epoch: when its stop was ordered, or
    /// when it was expected to end; `None` if neither is known.
    pub possible_end_ms: Option<u64>,
}

impl ConfirmedRun {
    /// Whether the run may have ended before the crash of a worker that exited no later
    /// than `exit_ms`.
    fn may_have_ended(&self, exit_ms: u64) -> bool {
        self.possible_end_ms.is_some_and(|end_ms| end_ms <= exit_ms)
    }
}

/// The runs that a closed worker may have.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClosedRuns {
    /// When the worker's incarnation with these runs started; `None` if that is not known.
    pub incarnation_start_ms: Option<u64>,
    /// All runs that it may have.
    pub runs: Vec<RunName>,
    /// Runs that the worker confirmed, and runs that were lost when its lease expired. All
    /// other starts may never have arrived.
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
    /// Its lease expired while it was unresponsive.
    LeaseExpired,
    /// Its lease expired while it was unresponsive, and its entry is gone.
    Left,
    /// Another incarnation answered at its address.
    OtherIncarnation,
    /// Another incarnation, registered under another name, answered at its address.
    Replaced,
    /// Another incarnation answered under its name.
    Restarted,
}

impl LossCause {
    /// Returns the name of the cause in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease_over",
            Self::Left => "left",
            Self::OtherIncarnation => "other_incarnation",
            Self::Replaced => "replaced",
            Self::Restarted => "restarted",
        }
    }

    /// Whether the incarnation has certainly exited.
    pub(super) fn is_exit(self) -> bool {
        matches!(
            self,
            Self::OtherIncarnation | Self::Replaced | Self::Restarted
        )
    }
}

impl Run {
    /// Whether its start may have crashed its worker: the run may be running, and the worker
    /// has not responded long enough after the start.
    pub(super) fn is_start_unproven(&self) -> bool {
        self.may_be_running() && !self.survived_start
    }

    /// Whether it may be running: its worker confirmed it, and its gang has not ended.
    pub(super) fn may_be_running(&self) -> bool {
        self.confirmed && !self.gang_ended
    }
}

impl Worker {
    /// Returns the runs that it confirmed, except those whose gang has ended. Starts without
    /// an answer are left out: the worker may have exited before they arrived.
    pub(super) fn confirmed_runs(&self) -> impl Iterator<Item = ConfirmedRun> + '_ {
        let runs = self.runs.iter().filter(|(_, run)| run.may_be_running());
        runs.map(|(&name, run)| ConfirmedRun {
            name,
            at_start: run.is_start_unproven(),
            possible_end_ms: run.possible_end_ms,
        })
    }
}

impl Task {
    /// Returns the number of crashes at its start.
    pub fn crashes_at_start(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.at_start).count()
    }

    /// Returns the number of crashes at its start that its runs cannot have ended before.
    fn certain_crashes_at_start(&self) -> usize {
        let crashes = self.crashes.iter();
        crashes
            .filter(|crash| crash.at_start && !crash.uncertain)
            .count()
    }

    /// Whether it may be a task that crashes its workers.
    pub fn is_suspect(&self) -> bool {
        self.crashes_at_start() > 0
    }

    /// Counts each crash at its start as a start of a suspect, also those that an earlier
    /// owner saw.
    pub(super) fn count_crashes_as_starts(&mut self) {
        self.suspect_starts = self.suspect_starts.max(self.crashes_at_start() as u32);
    }

    /// Counts a crash, and returns whether it was not counted before.
    fn count_crash(&mut self, crash: CrashedRun) -> bool {
        if self.crashes.iter().any(|known| known.run == crash.run) {
            return false;
        }
        if self.crashes.len() == MAX_REMEMBERED_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Returns why the task is given up, if it is. `only_suspect` is whether all suspects
    /// of the last crash belonged to its job, and `uncounted` is the number of crashes
    /// that this owner may not know of.
    fn give_up_reason(
        &self,
        only_suspect: bool,
        uncounted: usize,
        is_long_running: bool,
    ) -> Option<&'static str> {
        let at_start = self.crashes_at_start();
        let certain = self.certain_crashes_at_start();
        if only_suspect && certain >= CRASH_LIMIT_AS_ONLY_SUSPECT {
            Some("alone")
        } else if at_start.max(certain + uncounted) >= CRASH_LIMIT_AT_START {
            Some("at_start")
        } else if !is_long_running && self.crashes.len() + uncounted >= CRASH_LIMIT {
            Some("at_all")
        } else {
            None
        }
    }
}

impl Scheduler {
    /// Returns the latest time at which a worker's incarnation may have exited: the start
    /// of the next one if known, otherwise now. Clocks may differ, so the start time is
    /// clamped to the interval from the last response to now.
    pub(super) fn latest_exit_ms(&self, key: WorkerKey, next_start_ms: Option<u64>) -> u64 {
        let last_response_ms = self.worker(key).last_response_ms.min(self.now_ms);
        next_start_ms.map_or(self.now_ms, |start_ms| {
            start_ms.clamp(last_response_ms, self.now_ms)
        })
    }

    /// Returns the confirmed runs of a worker with the times at which they may have ended.
    pub(super) fn confirmed_runs_with_possible_end(&self, key: WorkerKey) -> Vec<ConfirmedRun> {
        let worker = self.worker(key);
        let mut confirmed: Vec<ConfirmedRun> = worker.confirmed_runs().collect();
        for run in &mut confirmed {
            run.possible_end_ms = self.possible_end_ms(key, &worker.runs[&run.name]);
        }
        confirmed
    }

    /// Returns when a run may have ended: the end expected from its progress or the estimates,
    /// or the end known for another reason if that is earlier.
    pub(super) fn possible_end_ms(&self, key: WorkerKey, run: &Run) -> Option<u64> {
        let expected_ms = (!run.long_running).then(|| self.expected_run_end_ms(key, run));
        run.possible_end_ms.into_iter().chain(expected_ms).min()
    }

    /// Records runs that were lost with a worker. Crashes are counted for them once the
    /// worker's incarnation is known to have exited, no later than `exit_ms`, and only if
    /// the exit was not planned.
    pub(super) fn record_lost_runs(
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
        let was_planned = worker.has_drained || worker.upkeep_next;
        let lost = std::mem::take(&mut worker.lost);
        if !was_planned {
            worker.crashed_ms = Some(now_ms);
            self.count_crashes(key, &lost, exit_ms);
        }
    }

    /// Counts crashes for the runs that were lost with a worker of which it was not known
    /// whether it had crashed, now that another incarnation answers at its address.
    pub(super) fn count_crashes_of_replaced(&mut self, key: WorkerKey, exit_ms: u64) {
        let worker = self.worker(key);
        if worker.contact == Contact::Gone && !worker.lost.is_empty() {
            self.record_lost_runs(key, Vec::new(), LossCause::Replaced, exit_ms);
        }
    }

    /// Counts a crash for each of the runs that were lost with a worker.
    fn count_crashes(&mut self, key: WorkerKey, lost: &[ConfirmedRun], exit_ms: u64) {
        let suspects = lost.iter().filter(|lost| lost.at_start);
        let jobs: HashSet<JobId> = suspects.map(|lost| lost.name.task.job).collect();
        let only_suspect = jobs.len() == 1;
        let worker = self.worker(key).name();
        for lost in lost {
            let crash = CrashedRun {
                run: lost.name.run,
                at_start: lost.at_start,
                uncertain: lost.may_have_ended(exit_ms),
            };
            let counted = CountedCrash {
                name: lost.name,
                crash,
                only_suspect: only_suspect && !crash.uncertain,
            };
            self.count_crash(counted, Some(worker.clone()));
        }
    }

    /// Counts a crash that an earlier owner counted, once its group is open.
    pub(super) fn handle_counted_crash(&mut self, counted: CountedCrash) {
        let key = GroupKey::of(counted.name.task);
        if self.groups.contains_key(&key) {
            self.count_crash(counted, None);
        } else if self.jobs.get(&key.job).is_none_or(|job| !job.is_over()) {
            let reported = self.reported_crashes.entry(key).or_default();
            reported.push(counted);
        }
    }

    /// Counts a crash of one run, and gives its task up if it has reached a limit.
    fn count_crash(&mut self, counted: CountedCrash, worker: Option<Arc<str>>) {
        let CountedCrash {
            name,
            crash,
            only_suspect,
        } = counted;
        let group_key = GroupKey::of(name.task);
        let uncounted = self.uncounted_crashes(name.task.job) as usize;
        let Some(group) = self.groups.get_mut(&group_key) else {
            return;
        };
        let is_long_running = group.step.long_running;
        let Some(task) = group.tasks.get_mut(name.task.index as usize) else {
            return;
        };
        let at_start = crash.at_start;
        if task.state == TaskState::Done || !task.count_crash(crash) {
            return;
        }
        task.last_run = task.last_run.max(name.run);
        task.count_crashes_as_starts();
        let crashes = task.crashes.len() as u32;
        let crashes_at_start = task.crashes_at_start() as u32;
        let give_up_reason =
            task.give_up_reason(only_suspect && at_start, uncounted, is_long_running);
        let failures = task.failures();
        self.decided(Decision::CrashCounted {
            crash: counted,
            worker,
            crashes,
            crashes_at_start,
        });
        let change = self.job_changed(name.task.job);
        if at_start && let Some(group) = self.groups.get_mut(&group_key) {
            group.crash_change = change;
        }
        if let Some(reason) = give_up_reason {
            self.decided(Decision::TaskGivenUp {
                name,
                crashes,
                crashes_at_start,
                reason,
            });
            self.fail_crashing_job(name, failures, crashes);
        }
    }

    fn fail_crashing_job(&mut self, name: RunName, failures: u32, crashes: u32) {
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

    /// Records that a worker reported a run long enough after its start: the task does not
    /// crash workers at its start. A long-running task has all its crashes cleared.
    pub(super) fn record_survived_start(&mut self, key: WorkerKey, name: RunName) {
        let now_ms = self.now_ms;
        let Some(run) = self.worker_mut(key).runs.get_mut(&name) else {
            return;
        };
        if run.survival_recorded || now_ms < run.ordered_ms + START_SURVIVAL_MS {
            return;
        }
        let may_be_waiting = run.percent == 0;
        let known = self.groups.get(&GroupKey::of(name.task));
        let is_member = known.is_some_and(|group| group.step.gang && group.tasks.len() > 1);
        if is_member && may_be_waiting {
            return;
        }
        let Some(run) = self.worker_mut(key).runs.get_mut(&name) else {
            return;
        };
        run.survived_start = true;
        run.survival_recorded = true;
        let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) else {
            return;
        };
        let is_long_running = group.step.long_running;
        let Some(task) = group.tasks.get_mut(name.task.index as usize) else {
            return;
        };
        let was_suspect = task.is_suspect();
        if is_long_running {
            task.crashes.clear();
        }
        for crash in &mut task.crashes {
            crash.at_start = false;
        }
        task.suspect_starts = 0;
        if was_suspect {
            // Otherwise the next owner takes the task for a suspect with all its starts.
            self.job_changed(name.task.job);
        }
    }

    /// Counts a confirmed start of a suspect, unless an earlier owner counted it, and stores the
    /// count at once, since the next owner does not know of a run that crashes its worker while
    /// this owner exits.
    pub(super) fn count_suspect_start(&mut self, name: RunName) {
        if let Some(group) = self.groups.get_mut(&GroupKey::of(name.task))
            && let Some(task) = group.tasks.get_mut(name.task.index as usize)
            && task.is_suspect()
            && name.run > task.last_counted_start
        {
            task.last_counted_start = name.run;
            task.suspect_starts += 1;
            self.job_changed(name.task.job);
        }
    }

    /// Fails the job of a suspect that has reached the limit of its starts, after a run of it
    /// ended.
    pub(super) fn review_suspect_starts(&mut self, name: RunName) {
        let uncounted = self.uncounted_crashes(name.task.job);
        let group = self.groups.get(&GroupKey::of(name.task));
        let task = group.and_then(|group| group.tasks.get(name.task.index as usize));
        let Some(task) = task.filter(|task| task.state == TaskState::Waiting) else {
            return;
        };
        if !task.is_suspect() || task.suspect_starts + uncounted < SUSPECT_START_LIMIT {
            return;
        }
        let crashes = task.crashes.len() as u32;
        let crashes_at_start = task.crashes_at_start() as u32;
        let failures = task.failures();
        self.decided(Decision::TaskGivenUp {
            name,
            crashes,
            crashes_at_start,
            reason: "starts",
        });
        self.fail_crashing_job(name, failures, crashes);
    }

    /// Fails the jobs of waiting groups of which a suspect has reached the limit of its starts
    /// under earlier owners.
    pub(super) fn review_suspects(&mut self) {
        let suspects_of = |group: &Group| {
            let tasks = (0u32..).zip(&group.tasks);
            let suspects = tasks.filter(|(_, task)| task.is_suspect());
            let names = suspects.map(|(index, task)| RunName {
                task: group.key.task(index),
                run: task.last_run,
            });
            names.collect::<Vec<_>>()
        };
        let suspects: Vec<RunName> = self.waiting_groups().flat_map(suspects_of).collect();
        for name in suspects {
            self.set_deciding(Some(name.task.job));
            self.review_suspect_starts(name);
        }
        self.set_deciding(None);
    }

    /// Returns how many crashes of a job's tasks this owner may not know of: a crash during a
    /// change of owner may be known to neither owner. `known_earlier` is also set for jobs
    /// that were stored before the first owner started.
    fn uncounted_crashes(&self, id: JobId) -> u32 {
        let had_earlier_owner = self.epoch > FIRST_EPOCH;
        let job = self.jobs.get(&id);
        u32::from(had_earlier_owner && job.is_some_and(|job| job.known_earlier))
    }

    /// Whether the last crash at the start of any of a group's tasks is stored. If a task
    /// were started earlier, the next owner might not know of that crash.
    pub(super) fn is_crash_stored(&self, key: GroupKey) -> bool {
        self.jobs[&key.job].stored >= self.groups[&key].crash_change
    }

    /// Whether a waiting task of the group is a suspect. All tasks of the group then start as
    /// suspects.
    pub(super) fn has_waiting_suspect(&self, key: GroupKey) -> bool {
        let mut tasks = self.groups[&key].tasks.iter();
        tasks.any(|task| task.state == TaskState::Waiting && task.is_suspect())
    }

    /// Whether a suspect of another job was just started on a worker and has not survived
    /// its start yet.
    pub(super) fn has_starting_suspect_of_other_job(&self, key: WorkerKey, job: JobId) -> bool {
        let mut runs = self.worker(key).runs.iter();
        runs.any(|(name, run)| run.suspected && !run.survived_start && name.task.job != job)
    }

    /// Whether an earlier incarnation at a worker's address crashed recently. Some workers go
    /// down and come up repeatedly, and are empty when they are back.
    pub(super) fn crashed_recently(&self, key: WorkerKey) -> bool {
        let now_ms = self.now_ms;
        let at_address = self.address_index.get(&self.worker(key).info.address);
        let mut others = at_address.into_iter().flatten();
        others.any(|&other| {
            let crashed_ms = self.worker(other).crashed_ms;
            crashed_ms.is_some_and(|at_ms| now_ms < at_ms + CRASH_MEMORY_MS)
        })
    }

    /// Reserves a worker for a suspect for a while, unless too many workers are reserved;
    /// returns whether the worker is reserved.
    pub(super) fn reserve_for_suspect(&mut self, key: WorkerKey) -> bool {
        let now_ms = self.now_ms;
        let is_reserved = |until_ms: u64| now_ms < until_ms;
        if is_reserved(self.worker(key).suspects_only_until_ms) {
            return true;
        }
        let workers = self.workers.iter();
        let answering = workers.filter(|worker| worker.contact == Contact::Answering);
        let (count, reserved) = answering.fold((0usize, 0usize), |(count, reserved), worker| {
            (
                count + 1,
                reserved + usize::from(is_reserved(worker.suspects_only_until_ms)),
            )
        });
        if reserved > 0 && (reserved + 1) * WORKERS_PER_SUSPECT_RESERVATION > count {
            return false;
        }
        self.worker_mut(key).suspects_only_until_ms = now_ms + SUSPECT_RESERVATION_MS;
        true
    }
}
