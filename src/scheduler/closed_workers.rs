//! Stores which workers are closed, that is, get no more starts, and which runs they may
//! have.
//!
//! In a large fleet some worker is draining or unreachable at any moment. Starts are not
//! stored, so a new owner that cannot reach one worker of the roster cannot know which
//! tasks run on it, and all stored work would have to wait for the longest lease. So an
//! owner that stops sending starts to a worker stores that the worker is closed, with the
//! runs that it may have. A new owner then holds back only the tasks of these runs.
//!
//! - Only workers that have listed all ends to this owner are closed, so the list of runs is
//!   complete.
//! - Workers are closed only while the store answers; otherwise a worker that returns
//!   during a store outage would stay idle until the end of the outage.
//! - A closed worker that answers again gets work only after it is stored as open.

use super::action::Action;
use super::state::Scheduler;
use super::worker::{
    CloseState, //
    Contact,
};
use super::{
    ClosedRuns,
    GroupKey,
    Run,
    RunName,
    RunPhase,
    TaskState, //
};
use crate::core::WorkerKey;

/// Failed polls in a row after which a worker is closed. A single lost answer is common,
/// and closing costs a commit.
const CLOSE_AFTER_POLLS: u32 = 2;
/// Failed polls after which a worker is closed if a suspect was just started on it. If
/// the owner changes before the worker is stored as closed, the next owner does not learn
/// of the crash.
const CLOSE_AFTER_POLLS_WITH_SUSPECT: u32 = 1;
/// Time since the last confirmation of the epoch within which the store counts as
/// answering: twice the interval between confirmations.
const STORE_ANSWER_MAX_AGE_MS: u64 = 1_200;

impl Scheduler {
    /// Starts closing an open worker that is unreachable or draining, or reopening a closed
    /// one that answers again.
    pub(super) fn review_closing(&mut self, key: WorkerKey) {
        let store_is_answering = self.now_ms < self.confirmed_ms + STORE_ANSWER_MAX_AGE_MS;
        let worker = self.worker_mut(key);
        let mut runs = worker.runs.values();
        let polls_to_close = match runs.any(|run| run.suspected && run.is_start_unproven()) {
            true => CLOSE_AFTER_POLLS_WITH_SUSPECT,
            false => CLOSE_AFTER_POLLS,
        };
        let unresponsive = worker.contact == Contact::Unresponsive
            && (worker.failed_polls >= polls_to_close || !worker.listed);
        let draining_now = worker.info.draining && worker.contact == Contact::Answering;
        let next = match worker.close_state {
            CloseState::Open if (unresponsive || draining_now) && worker.earlier_ends_known => {
                CloseState::Closing
            }
            CloseState::Closed
                if worker.contact == Contact::Answering && worker.listed && !draining_now =>
            {
                CloseState::Opening
            }
            _ => return,
        };
        if store_is_answering {
            worker.close_state = next;
            self.actions.push(Action::StoreClosedWorker { worker: key });
        }
    }

    /// Returns what to store about a worker: whether it is closed and, if so, the runs that
    /// it may have. `None` for a worker that is gone.
    pub fn closed_record(&self, key: WorkerKey) -> Option<(bool, ClosedRuns)> {
        let worker = self.worker(key);
        if worker.contact == Contact::Gone {
            return None;
        }
        let closed = matches!(worker.close_state, CloseState::Closing | CloseState::Closed);
        if !closed {
            return Some((false, ClosedRuns::default()));
        }
        // An end that is not durable yet is known only to this owner and to the worker.
        let ended = worker.unacknowledged_ends.iter().map(|end| end.row.name);
        let runs = worker.runs.keys().copied().chain(ended).collect();
        let lost = worker.lost.iter().copied();
        let confirmed = self.confirmed_runs_with_possible_end(key);
        let closed_runs = ClosedRuns {
            incarnation_start_ms: worker.incarnation_start_ms,
            runs,
            confirmed: confirmed.into_iter().chain(lost).collect(),
        };
        Some((true, closed_runs))
    }

    /// Records that a worker is now stored as closed or open.
    pub(super) fn handle_closed_worker_stored(&mut self, worker_name: &str, closed: bool) {
        let Some(&key) = self.worker_index.get(worker_name) else {
            return;
        };
        let worker = self.worker_mut(key);
        worker.close_state = match (worker.close_state, closed) {
            (CloseState::Closing, true) => CloseState::Closed,
            (CloseState::Opening, false) => CloseState::Open,
            (other, _) => other,
        };
        self.changed = true;
    }

    /// Restores a worker that an earlier owner closed. It may have the given runs and has
    /// no others.
    pub(super) fn restore_closed_worker(&mut self, key: WorkerKey, closed: ClosedRuns) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        worker.close_state = CloseState::Closed;
        worker.incarnation_start_ms = worker.incarnation_start_ms.or(closed.incarnation_start_ms);
        for &name in &closed.runs {
            let mut confirmed = closed.confirmed.iter();
            let confirmed = confirmed.find(|confirmed| confirmed.name == name);
            let mut run = Run::found(now_ms, GroupKey::of(name.task));
            run.phase = RunPhase::Unseen;
            run.confirmed = confirmed.is_some();
            run.survived_start = confirmed.is_none_or(|confirmed| !confirmed.at_start);
            run.possible_end_ms = confirmed.and_then(|confirmed| confirmed.possible_end_ms);
            worker.add_run(name, run);
        }
        let mut lost = closed.confirmed;
        lost.retain(|lost| !closed.runs.contains(&lost.name));
        worker.lost = lost;
    }

    /// Drops the unseen runs of a task, or of its gang, that are older than a run that was
    /// found. An owner starts a run only after all earlier ones have ended, even if the
    /// store still names them.
    pub(super) fn drop_older_unseen_runs(&mut self, found: RunName) {
        let key = GroupKey::of(found.task);
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let members = (0u32..).zip(&group.tasks);
        let older_runs: Vec<_> = members
            .filter(|(index, _)| group.step.gang || *index == found.task.index)
            .filter_map(|(index, task)| match task.state {
                TaskState::Placed { worker, run } if run < found.run => {
                    let task = key.task(index);
                    Some((worker, RunName { task, run }))
                }
                _ => None,
            })
            .collect();
        for (worker, name) in older_runs {
            self.drop_unseen_run(worker, name);
        }
    }

    /// Counts the resources of a run that this owner has not seen on the worker and that is
    /// about to be stopped or to end: it is not adopted if the worker lists it. If its group is
    /// gone, it counts as taking the whole worker.
    pub(super) fn count_unseen_resources(&mut self, key: WorkerKey, name: RunName) {
        let group = self.groups.get(&GroupKey::of(name.task));
        let resources = group.map(|group| group.resources);
        let worker = self.worker_mut(key);
        let run = worker.runs.get(&name);
        let Some(run) = run.filter(|run| run.phase == RunPhase::Unseen) else {
            return;
        };
        let counted = super::Run {
            resources: resources.unwrap_or(worker.info.capacity),
            resources_unknown: resources.is_none(),
            ..run.clone()
        };
        worker.add_run(name, counted);
    }

    /// Removes a run that this owner has not seen on the worker, and makes its task wait
    /// again. Any other run stays.
    pub(super) fn drop_unseen_run(&mut self, key: WorkerKey, name: RunName) {
        let run = self.worker(key).runs.get(&name);
        if run.is_none_or(|run| run.phase != RunPhase::Unseen) {
            return;
        }
        self.worker_mut(key).remove_run(&name);
        let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) else {
            return;
        };
        let placed = TaskState::Placed {
            worker: key,
            run: name.run,
        };
        let index = name.task.index;
        let task = group.tasks.get(index as usize);
        if task.is_some_and(|task| task.state == placed) {
            group.set_state(index, TaskState::Waiting);
            if group.gang_run == Some(name.run) && group.waiting as usize == group.tasks.len() {
                group.gang_run = None;
            }
        }
    }
}
