//! Handles stored values of the scheduler that cannot be decoded.
//!
//! Another version of the program, or another program, may have written them. A value
//! that cannot be decoded is never treated as missing:
//!
//! - A job whose record or progress cannot be decoded is unreadable. None of its tasks
//!   starts, since it is unknown which are done; its runs continue, and ends that workers
//!   list stay unacknowledged, until the job can be decoded. Treated as new, the job would
//!   run a second time.
//! - While the roster cannot be decoded, any worker may have runs of an earlier owner, so
//!   this owner stays in recovery until the longest lease has expired. The value is not
//!   overwritten until then, since an owner that takes over sooner has to see it too.

use super::state::Scheduler;
use super::worker::Contact;
use super::{
    Action,
    JobRecord,
    ProgressRecord,
    RunName,
    RunPhase,
    RunningRow,
    StopReason, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::sync::Arc;

impl Scheduler {
    /// Marks a job as unreadable, unless it is known already.
    pub(super) fn handle_job_unreadable(&mut self, id: JobId) {
        let known = self.jobs.contains_key(&id)
            || self.deleting_jobs.contains_key(&id)
            || self.cancelled_early.contains(&id);
        if !known {
            self.unreadable_jobs.insert(id);
        }
    }

    /// Returns whether a stored value of the job cannot be decoded.
    pub(super) fn is_unreadable(&self, id: JobId) -> bool {
        self.unreadable_jobs.contains(&id)
    }

    /// Adds a job whose stored values can be decoded again, with the runs and ends of it
    /// that workers have listed meanwhile.
    pub(super) fn handle_job_readable(
        &mut self,
        id: JobId,
        record: Arc<JobRecord>,
        progress: Option<ProgressRecord>,
    ) {
        let runs = self.remove_runs_of_unreadable_job(id);
        // This also handles the ends that were listed while the job was unreadable.
        self.handle_job_stored(id, record, progress);
        self.unreadable_jobs.remove(&id);
        for (key, row) in runs {
            self.adopt(key, &row);
        }
        self.acknowledge_ends();
    }

    /// Stops all runs of an unreadable job that was cancelled. Its progress is not needed
    /// any more, so the job is no longer unreadable.
    pub(super) fn handle_unreadable_job_cancelled(&mut self, id: JobId) {
        if !self.unreadable_jobs.remove(&id) {
            return;
        }
        for (key, name) in self.runs_of_job(id) {
            self.stop_run(key, name, StopReason::JobOver);
        }
        self.acknowledge_ends();
    }

    /// Removes the runs of an unreadable job from their workers' state and returns them,
    /// to be adopted like other runs that are found on workers.
    fn remove_runs_of_unreadable_job(&mut self, id: JobId) -> Vec<(WorkerKey, RunningRow)> {
        let mut rows = Vec::new();
        if !self.is_unreadable(id) {
            return rows;
        }
        for (key, name) in self.runs_of_job(id) {
            let worker = self.worker_mut(key);
            let run = worker.runs.get(&name);
            let Some(run) = run.filter(|run| run.phase == RunPhase::Running) else {
                continue;
            };
            rows.push((
                key,
                RunningRow {
                    name,
                    checkpoint: "".into(),
                    percent: run.percent,
                    usage: run.usage,
                },
            ));
            worker.remove_run(&name);
        }
        rows
    }

    fn runs_of_job(&self, id: JobId) -> Vec<(WorkerKey, RunName)> {
        let workers = self.workers.iter();
        let runs = workers.flat_map(|worker| worker.runs.keys().map(|&name| (worker.key, name)));
        runs.filter(|(_, name)| name.task.job == id).collect()
    }

    /// Requests that the roster is stored, unless that would overwrite an unreadable one.
    pub(super) fn ask_to_store_roster(&mut self) {
        if !self.roster_unreadable {
            self.actions.push(Action::StoreRoster);
        }
    }

    /// Replaces an unreadable roster after the longest lease has expired: nothing runs any
    /// more on the workers that it names.
    pub(super) fn replace_unreadable_roster(&mut self) {
        if !std::mem::take(&mut self.roster_unreadable) {
            return;
        }
        self.closed_without_roster.clear();
        self.roster_write_pending = true;
        self.actions.push(Action::StoreRoster);
    }

    /// Adds a worker to the roster in memory while the stored one is unreadable. It need
    /// not be stored first, since the next owner finds the unreadable roster and stays in
    /// recovery for as long as any lease of this owner lasts. A worker that is stored as
    /// closed has to be stored as open before it gets work; otherwise the next owner would
    /// assume that nothing new runs there.
    pub(super) fn join_unreadable_roster(&mut self, key: WorkerKey) {
        let worker_name = self.worker(key).name();
        if let Some(runs) = self.closed_without_roster.remove(&*worker_name) {
            self.restore_closed_worker(key, runs);
        }
        let worker = self.worker_mut(key);
        worker.on_roster = worker.contact != Contact::Gone;
        if self.stored_state_read {
            self.poll_if_due(key);
        }
    }
}
