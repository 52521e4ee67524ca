//! Handles the ends of runs: completes or fails their tasks, and ends gangs of which a
//! member ended.

use super::acknowledgement::UnacknowledgedEnd;
use super::action::{
    Decision,
    StopReason, //
};
use super::state::Scheduler;
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
    /// Handles an end that a worker lists, and keeps it until it may be acknowledged.
    pub(super) fn handle_end(&mut self, key: WorkerKey, row: EndedRow) {
        self.set_deciding(Some(row.name.task.job));
        let worker = self.worker(key).name();
        self.decided(Decision::Ended {
            name: row.name,
            worker,
            kind: row.kind.name(),
            number: row.number,
        });
        let waits_for = self.apply_end(key, &row);
        // `GangEnded` and `GangIncomplete` can themselves result from the crash of another
        // member's worker.
        if !matches!(row.kind, EndKind::GangEnded | EndKind::GangIncomplete) {
            self.mark_gang_ended(row.name);
        }
        // Its gang ended before this member did: another one ended or crashed earlier.
        let stop_reason = match row.kind {
            EndKind::GangEnded => StopReason::GangMemberLost,
            _ => StopReason::GangBroken,
        };
        self.handle_run_gone(key, row.name, stop_reason);
        let end = UnacknowledgedEnd { row, waits_for };
        self.worker_mut(key).unacknowledged_ends.push_back(end);
        self.workers_with_unacknowledged_ends.insert(key);
        self.set_deciding(None);
    }

    /// Keeps the checkpoint of a run that ended without completing, for the next run of the
    /// task or of all members of its gang.
    pub(super) fn record_end_checkpoint(&mut self, row: &EndedRow) {
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

    /// Marks a task as done and requests that this is stored.
    pub(super) fn handle_done(&mut self, key: WorkerKey, name: RunName) {
        let group_key = GroupKey::of(name.task);
        self.record_success(key);
        self.learn_from_end(key, name);
        let Some(group) = self.groups.get_mut(&group_key) else {
            return;
        };
        if group.step.long_running {
            return;
        }
        let Some(task) = group.tasks.get(name.task.index as usize) else {
            return;
        };
        let own = TaskState::Placed {
            worker: key,
            run: name.run,
        };
        // If the lease of this run had expired, the task may have a newer run, which then
        // counts instead.
        if task.state == TaskState::Done {
            return;
        }
        if task.state != own && task.state != TaskState::Waiting {
            self.report_released_end(key, name, "newer_run");
            return;
        }
        if group.step.gang {
            self.handle_gang_done(group_key, name.run);
        } else {
            group.set_state(name.task.index, TaskState::Done);
        }
        self.job_changed(name.task.job);
        if self.groups[&group_key].is_done() {
            self.group_done(group_key);
        }
    }

    /// Marks all runs of a gang as ended, including those on workers that do not respond.
    /// Unless a member has reported progress, they only may have ended: until then, the
    /// members may not have been running together.
    fn mark_gang_ended(&mut self, name: RunName) {
        let now_ms = self.now_ms;
        let key = GroupKey::of(name.task);
        let Some(group) = self.groups.get(&key).filter(|group| group.step.gang) else {
            return;
        };
        let members = self
            .members(group)
            .filter(|(_, member, _)| member.run == name.run);
        let members: Vec<_> = members
            .map(|(worker, member, run)| (worker, member, run.percent))
            .collect();
        let has_progress = members.iter().any(|(_, _, percent)| *percent > 0);
        for (worker, member, _) in members {
            if let Some(run) = self.worker_mut(worker).runs.get_mut(&member) {
                run.gang_ended |= has_progress;
                run.possible_end_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Marks all tasks of a gang as done after one member completed. The other members have
    /// completed too, but their resources are free only when their own ends are listed.
    fn handle_gang_done(&mut self, key: GroupKey, run: u64) {
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
            self.count_unseen_resources(worker, RunName { task, run });
            if let Some(entry) = self.worker_mut(worker).runs.get_mut(&RunName { task, run }) {
                entry.phase = RunPhase::Ending;
            }
        }
        // Members that were started again after a lease had expired.
        for (worker, name) in newer {
            self.stop_run(worker, name, StopReason::Stray);
        }
    }

    /// Counts a failure of a task and requests that this is stored.
    pub(super) fn handle_failed(&mut self, key: WorkerKey, name: RunName) {
        let now_ms = self.now_ms;
        let group_key = GroupKey::of(name.task);
        let Some(group) = self.groups.get_mut(&group_key) else {
            return;
        };
        // A gang fails as a whole: the failures are counted on its first task.
        let counted = if group.step.gang { 0 } else { name.task.index };
        let long_running = group.step.long_running;
        let Some(task) = group.tasks.get_mut(counted as usize) else {
            return;
        };
        if task.state == TaskState::Done || !task.count_failure(name.run) {
            return;
        }
        let failures = task.failures();
        if let Some(task) = group.tasks.get_mut(name.task.index as usize) {
            task.avoid = Some(key);
            task.avoided_ms = now_ms;
        }
        self.record_failure(key, name);
        self.job_changed(name.task.job);
        if !long_running {
            self.end_job_if_exhausted_by(name, failures);
        }
    }

    /// Removes a run from its worker's state. Unless the task is done, it waits again; if
    /// the run belonged to the current run of a gang, the gang's run is given up and its
    /// other members are stopped for the given reason.
    pub(super) fn handle_run_gone(
        &mut self,
        key: WorkerKey,
        name: RunName,
        stop_reason: StopReason,
    ) {
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
            self.end_gang(group_key, stop_reason);
        }
        self.review_suspect_starts(name);
    }

    /// Gives up the run of a gang: the remaining members are stopped, and once all are off
    /// their workers the gang waits again.
    pub(super) fn end_gang(&mut self, key: GroupKey, stop_reason: StopReason) {
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
            self.stop_group(key, stop_reason);
        }
    }
}
