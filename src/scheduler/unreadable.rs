//! Stored values of ours that do not read.
//!
//! Another version may have written them, or somebody else. A value that does
//! not read is never taken for one that is not there:
//!
//! - A job whose record or progress does not read is unread. Nothing of it
//!   starts, since what is done of it is not known; what runs goes on, and ends
//!   that workers list are kept there, unacknowledged, until the job reads. Taken
//!   for a new job it would run a second time.
//! - While the roster does not read, any worker may run anything of an earlier
//!   owner, so this owner is blind until the longest lease is over. The value
//!   stays as it is until then: an owner that follows sooner has to see it too.

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
    /// A stored value of a job cannot be decoded.
    pub(super) fn handle_job_unreadable(&mut self, id: JobId) {
        let known = self.jobs.contains_key(&id)
            || self.deleting_jobs.contains_key(&id)
            || self.cancelled_early.contains(&id);
        if !known {
            self.unreadable_jobs.insert(id);
        }
    }

    /// Whether a stored value of the job cannot be decoded.
    pub(super) fn is_unreadable(&self, id: JobId) -> bool {
        self.unreadable_jobs.contains(&id)
    }

    /// The values of a job read now.
    pub(super) fn handle_job_readable(
        &mut self,
        id: JobId,
        record: Arc<JobRecord>,
        progress: Option<ProgressRecord>,
    ) {
        let runs = self.take_unread_runs(id);
        // The ends that were heard meanwhile are taken in with the job.
        self.handle_job_stored(id, record, progress);
        self.unreadable_jobs.remove(&id);
        for (key, row) in runs {
            self.adopt(key, &row);
        }
        self.acknowledge_ends();
    }

    /// A job that is cancelled needs no progress: whatever runs of it stops.
    pub(super) fn unread_job_cancelled(&mut self, id: JobId) {
        if !self.unreadable_jobs.remove(&id) {
            return;
        }
        for (key, name) in self.runs_of_job(id) {
            self.stop_run(key, name, StopReason::JobOver);
        }
        self.acknowledge_ends();
    }

    /// Takes what runs of a job off the books, to be taken over like any other
    /// run that is found.
    fn take_unread_runs(&mut self, id: JobId) -> Vec<(WorkerKey, RunningRow)> {
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

    /// Asks to have the roster stored; not over one that does not read.
    pub(super) fn ask_to_store_roster(&mut self) {
        if !self.roster_unreadable {
            self.actions.push(Action::StoreRoster);
        }
    }

    /// The longest lease is over: what the unread roster named matters no more.
    pub(super) fn replace_unread_roster(&mut self) {
        if !std::mem::take(&mut self.roster_unreadable) {
            return;
        }
        self.closed_unlisted.clear();
        self.roster_asked = true;
        self.actions.push(Action::StoreRoster);
    }

    /// Puts a worker on the roster that is not stored yet: whoever follows finds
    /// the unread one, and is blind for as long as any lease of this owner lasts.
    /// One that the store says is closed is opened there before it gets work: the
    /// store would go on saying that nothing new runs there.
    pub(super) fn join_unread_roster(&mut self, key: WorkerKey) {
        let worker_name = self.worker(key).name();
        if let Some(runs) = self.closed_unlisted.remove(&*worker_name) {
            self.take_closed(key, runs);
        }
        let worker = self.worker_mut(key);
        worker.on_roster = worker.contact != Contact::Gone;
        if self.stored_state_read {
            self.poll_if_due(key);
        }
    }
}
