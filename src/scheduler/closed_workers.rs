//! Noting in the store which workers get no more starts, and what may run there.
//!
//! Load pattern: in a large fleet some worker is leaving or out of reach at any
//! moment. Starts are not stored, so a new owner that cannot reach one worker of
//! the roster cannot know which tasks run there, and all stored work would wait
//! for the longest lease, whatever that one worker holds. So an owner that gives
//! a worker no more starts has that stored, with the runs that may be there: a
//! new owner then holds back just their tasks. Limits: only workers that this
//! owner has looked at, so that the list is whole; only while the store answers,
//! so that a worker that returns in an outage is not kept idle by it; and a
//! worker that answers again gets work only after that is stored as well.

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

/// Looks in a row without an answer after which a worker is closed: one lost
/// answer is common, and closing costs a commit.
const CLOSE_AFTER_POLLS: u32 = 2;
/// The same where a suspect was just started: an owner that is followed before it is
/// stored leaves the next one without that crash.
const CLOSE_AFTER_TRIAL_POLLS: u32 = 1;
/// The store answered this lately: twice the time between confirmations.
const STORE_ANSWERS_MS: u64 = 1_200;

impl Scheduler {
    /// Closes a worker that gets no more starts, or opens it again.
    pub(super) fn review_closing(&mut self, key: WorkerKey) {
        let store_answers = self.now_ms < self.confirmed_ms + STORE_ANSWERS_MS;
        let worker = self.worker_mut(key);
        let mut runs = worker.runs.values();
        let looks = match runs.any(|run| run.on_trial && run.is_unproven()) {
            true => CLOSE_AFTER_TRIAL_POLLS,
            false => CLOSE_AFTER_POLLS,
        };
        let silent =
            worker.contact == Contact::Silent && (worker.failed_polls >= looks || !worker.listed);
        let leaving = worker.info.draining && worker.contact == Contact::Answering;
        let next = match worker.close_state {
            CloseState::Open if silent || leaving => CloseState::Closing,
            CloseState::Closed
                if worker.contact == Contact::Answering && worker.listed && !leaving =>
            {
                CloseState::Opening
            }
            _ => return,
        };
        if store_answers {
            worker.close_state = next;
            self.actions.push(Action::StoreClosedWorker { worker: key });
        }
    }

    /// What is to be stored of a worker: the runs that may be there if it is
    /// closed. `None` for a worker that is gone.
    pub fn closed_record(&self, key: WorkerKey) -> Option<(bool, ClosedRuns)> {
        let worker = self.worker(key);
        if worker.contact == Contact::Gone {
            return None;
        }
        let closed = matches!(worker.close_state, CloseState::Closing | CloseState::Closed);
        if !closed {
            return Some((false, ClosedRuns::default()));
        }
        // An end that is not durable is known only here and on the worker.
        let ended = worker.unacknowledged_ends.iter().map(|end| end.row.name);
        let runs = worker.runs.keys().copied().chain(ended).collect();
        let lost = worker.lost.iter().copied();
        let confirmed = worker.confirmed_runs().chain(lost).collect();
        let there = ClosedRuns {
            incarnation_start_ms: worker.incarnation_start_ms,
            runs,
            confirmed,
        };
        Some((true, there))
    }

    /// It is stored whether a worker is closed.
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

    /// An earlier owner closed the worker: these runs may be there, and nothing
    /// else is.
    pub(super) fn take_closed(&mut self, key: WorkerKey, closed: ClosedRuns) {
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
            run.outlived = confirmed.is_none_or(|confirmed| !confirmed.at_start);
            worker.add_run(name, run);
        }
        let mut lost = closed.confirmed;
        lost.retain(|lost| !closed.runs.contains(&lost.name));
        worker.lost = lost;
    }

    /// A run with a higher number was found: an owner started it only after it
    /// knew that those before were over, whatever the store still says.
    pub(super) fn drop_older_claims(&mut self, found: RunName) {
        let key = GroupKey::of(found.task);
        let Some(group) = self.groups.get(&key) else {
            return;
        };
        let members = (0u32..).zip(&group.tasks);
        let older: Vec<_> = members
            .filter(|(index, _)| group.step.gang || *index == found.task.index)
            .filter_map(|(index, task)| match task.state {
                TaskState::Placed { worker, run } if run < found.run => {
                    let task = key.task(index);
                    Some((worker, RunName { task, run }))
                }
                _ => None,
            })
            .collect();
        for (worker, name) in older {
            self.drop_claim(worker, name);
        }
    }

    /// Lets go of a run that was not seen by this owner; any other stays.
    pub(super) fn drop_claim(&mut self, key: WorkerKey, name: RunName) {
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
        let there = group.tasks.get(index as usize);
        if there.is_some_and(|task| task.state == placed) {
            group.set_state(index, TaskState::Waiting);
            if group.gang_run == Some(name.run) && group.waiting as usize == group.tasks.len() {
                group.gang_run = None;
            }
        }
    }
}
