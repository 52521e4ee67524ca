//! Taking in the ends of runs.

use super::action::{
    Decision,
    StopReason, //
};
use super::progress::FinalState;
use super::state::Scheduler;
use super::unread::UNREAD_CHANGE;
use super::{
    EndKind,
    EndedRow,
    GroupKey,
    RunName,
    RunPhase,
    TaskState, //
};
use crate::core::WorkerKey;
use std::sync::Arc;

impl Scheduler {
    /// Takes in an end that a worker lists. It counts as seen only once what
    /// it changed is durable.
    pub(super) fn take_end(&mut self, key: WorkerKey, row: EndedRow) {
        let worker = self.worker(key).incarnation();
        self.decided(Decision::Ended {
            name: row.name,
            worker,
            kind: row.kind.name(),
        });
        self.keep_end_checkpoint(&row);
        self.drop_older_claims(row.name);
        let change = match row.kind {
            EndKind::Done => self.take_done(key, row.name),
            EndKind::Failed => self.take_failed(key, row.name),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => 0,
        };
        let change = match self.keep_unread_end(key, &row) {
            true => UNREAD_CHANGE,
            false => change,
        };
        self.run_gone(key, row.name);
        let worker = self.worker_mut(key);
        worker.undurable.push_back((row.number, row.name, change));
        self.with_undurable.insert(key);
    }

    pub(super) fn keep_end_checkpoint(&mut self, row: &EndedRow) {
        if row.checkpoint.is_empty() || row.kind == EndKind::Done {
            return;
        }
        let Some(group) = self.groups.get_mut(&GroupKey::of(row.name.task)) else {
            return;
        };
        let checkpoint: Arc<str> = row.checkpoint.clone();
        if group.step.gang {
            for task in &mut group.tasks {
                task.checkpoint = Some(checkpoint.clone());
            }
        } else if let Some(task) = group.tasks.get_mut(row.name.task.index as usize) {
            task.checkpoint = Some(checkpoint);
        }
    }

    /// Returns the number of the change to store, 0 for none.
    pub(super) fn take_done(&mut self, key: WorkerKey, name: RunName) -> u64 {
        let group_key = GroupKey::of(name.task);
        self.note_success(key);
        self.learn_from_end(key, name);
        let Some(group) = self.groups.get_mut(&group_key) else {
            return 0;
        };
        if group.step.long_running {
            return 0;
        }
        let Some(task) = group.tasks.get(name.task.index as usize) else {
            return 0;
        };
        let own = TaskState::Placed {
            worker: key,
            run: name.run,
        };
        // A done end whose lease had lapsed comes after the task was started
        // anew: the new run counts then.
        if task.state != own && task.state != TaskState::Waiting {
            return 0;
        }
        if group.step.gang {
            self.gang_done(group_key, name.run);
        } else {
            group.set_state(name.task.index, TaskState::Done);
        }
        let change = self.job_changed(name.task.job);
        if self.groups[&group_key].is_done() {
            self.group_done(group_key);
        }
        change
    }

    /// One end of a gang stands for all: the other members have ended too, but
    /// their room is free only when their own ends are listed.
    fn gang_done(&mut self, key: GroupKey, run: u64) {
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        let (mut others, mut newer) = (Vec::new(), Vec::new());
        for index in 0..group.tasks.len() as u32 {
            match group.tasks[index as usize].state {
                TaskState::Placed { worker, run: own } if own == run => {
                    others.push((worker, key.task(index)));
                }
                TaskState::Placed { worker, run } => {
                    let task = key.task(index);
                    newer.push((worker, RunName { task, run }));
                }
                _ => {}
            }
            group.set_state(index, TaskState::Done);
        }
        group.gang_run = None;
        for (worker, task) in others {
            if let Some(entry) = self.worker_mut(worker).runs.get_mut(&RunName { task, run }) {
                entry.phase = RunPhase::Ending;
            }
        }
        // Members that were started anew after a lease had lapsed.
        for (worker, name) in newer {
            self.stop_run(worker, name, StopReason::Stray);
        }
    }

    pub(super) fn take_failed(&mut self, key: WorkerKey, name: RunName) -> u64 {
        let now_ms = self.now_ms;
        let group_key = GroupKey::of(name.task);
        let Some(group) = self.groups.get_mut(&group_key) else {
            return 0;
        };
        // A gang fails as one: its first task carries the count.
        let counted = if group.step.gang { 0 } else { name.task.index };
        let long_running = group.step.long_running;
        let Some(task) = group.tasks.get_mut(counted as usize) else {
            return 0;
        };
        if task.state == TaskState::Done || !task.count_failure(name.run) {
            return 0;
        }
        let failures = task.failed_runs.len() as u32;
        if let Some(task) = group.tasks.get_mut(name.task.index as usize) {
            task.avoid = Some(key);
            task.avoided_ms = now_ms;
        }
        self.note_failure(key, name);
        let change = self.job_changed(name.task.job);
        let max_attempts = self.jobs[&name.task.job].max_attempts;
        if !long_running && failures >= max_attempts {
            self.end_job(name.task.job, FinalState::Failed);
        }
        change
    }

    /// More is durable: tells the workers that listed ends of it.
    pub(super) fn acknowledge_ends(&mut self) {
        let waiting: Vec<WorkerKey> = self.with_undurable.iter().copied().collect();
        for key in waiting {
            if self.advance_last_seen(key) {
                let now_ms = self.now_ms;
                let worker = self.worker_mut(key);
                worker.look_at_ms = worker.look_at_ms.min(now_ms);
                self.look_if_due(key);
            }
        }
    }

    /// Moves `last_seen` of a worker past the ends that are durable; whether
    /// all of them are.
    pub(super) fn advance_last_seen(&mut self, key: WorkerKey) -> bool {
        let jobs = &self.jobs;
        let worker = &mut self.workers[key.index()];
        while let Some(&(number, name, change)) = worker.undurable.front() {
            let job = jobs.get(&name.task.job);
            let durable = match change {
                0 => true,
                UNREAD_CHANGE => false,
                _ => job.is_none_or(|job| job.stored >= change),
            };
            if !durable {
                return false;
            }
            worker.undurable.pop_front();
            worker.last_seen = number;
        }
        self.with_undurable.remove(&key);
        true
    }

    /// A run is off its worker without being done: its task waits again.
    pub(super) fn run_gone(&mut self, key: WorkerKey, name: RunName) {
        self.worker_mut(key).remove_run(&name);
        self.changed = true;
        let group_key = GroupKey::of(name.task);
        let Some(group) = self.groups.get_mut(&group_key) else {
            return;
        };
        let index = name.task.index;
        let placed = TaskState::Placed {
            worker: key,
            run: name.run,
        };
        let Some(task) = group.tasks.get_mut(index as usize) else {
            return;
        };
        if task.state == placed {
            group.set_state(index, TaskState::Waiting);
        }
        if group.step.gang && group.gang_run == Some(name.run) {
            self.end_gang(group_key);
        }
    }

    /// Gives up the run of a gang: the others stop, and once all are off their
    /// workers the gang waits again.
    pub(super) fn end_gang(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        if group.is_done() {
            return;
        }
        if group.waiting as usize == group.tasks.len() {
            group.gang_run = None;
            group.gang_ending = false;
            self.changed = true;
            return;
        }
        if !group.gang_ending {
            group.gang_ending = true;
            self.stop_group(key, StopReason::GangBroken);
        }
    }
}
