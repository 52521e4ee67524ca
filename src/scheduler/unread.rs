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
    EndKind,
    EndedRow,
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

/// The change of a job that does not read: it is never durable.
pub(super) const UNREAD_CHANGE: u64 = u64::MAX;

/// An end of an unread job, kept on the worker that listed it.
#[derive(Clone, Debug)]
pub(super) struct UnreadEnd {
    worker: WorkerKey,
    incarnation: Arc<str>,
    row: EndedRow,
}

impl Scheduler {
    /// A value of a job does not read.
    pub(super) fn job_unread(&mut self, id: JobId) {
        let known = self.jobs.contains_key(&id)
            || self.leaving_jobs.contains_key(&id)
            || self.cancelled_early.contains(&id);
        if !known {
            self.unread_jobs.entry(id).or_default();
        }
    }

    /// Whether a value of the job does not read.
    pub(super) fn is_unread(&self, id: JobId) -> bool {
        self.unread_jobs.contains_key(&id)
    }

    /// The values of a job read now.
    pub(super) fn job_read(
        &mut self,
        id: JobId,
        record: Arc<JobRecord>,
        progress: Option<ProgressRecord>,
    ) {
        let runs = self.take_unread_runs(id);
        self.take_job(id, record, progress);
        let ends = self.unread_jobs.remove(&id).unwrap_or_default();
        for end in ends {
            self.take_kept_end(end);
        }
        for (key, row) in runs {
            self.adopt(key, &row);
        }
        self.acknowledge_ends();
    }

    /// A job that is cancelled needs no progress: whatever runs of it stops.
    pub(super) fn unread_job_cancelled(&mut self, id: JobId) {
        let Some(ends) = self.unread_jobs.remove(&id) else {
            return;
        };
        for end in ends {
            self.settle_kept_end(&end, 0);
        }
        for (key, name) in self.runs_of_job(id) {
            self.stop_run(key, name, StopReason::JobOver);
        }
        self.acknowledge_ends();
    }

    /// Keeps an end of an unread job; whether it is one.
    pub(super) fn keep_unread_end(&mut self, key: WorkerKey, row: &EndedRow) -> bool {
        let incarnation = self.worker(key).incarnation();
        let Some(ends) = self.unread_jobs.get_mut(&row.name.task.job) else {
            return false;
        };
        ends.push(UnreadEnd {
            worker: key,
            incarnation,
            row: row.clone(),
        });
        true
    }

    fn take_kept_end(&mut self, end: UnreadEnd) {
        let (key, name) = (end.worker, end.row.name);
        if *self.worker(key).incarnation() != *end.incarnation {
            return;
        }
        self.keep_end_checkpoint(&end.row);
        let change = match end.row.kind {
            EndKind::Done => self.take_done(key, name),
            EndKind::Failed => self.take_failed(key, name),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => 0,
        };
        self.run_gone(key, name);
        self.settle_kept_end(&end, change);
    }

    /// An end that was kept counts as seen once `change` is durable.
    fn settle_kept_end(&mut self, end: &UnreadEnd, change: u64) {
        let worker = self.worker_mut(end.worker);
        if *worker.incarnation() != *end.incarnation {
            return;
        }
        let rows = worker.undurable.iter_mut();
        for row in rows.filter(|(number, ..)| *number == end.row.number) {
            row.2 = change;
        }
    }

    /// Takes what runs of a job off the books, to be taken over like any other
    /// run that is found.
    fn take_unread_runs(&mut self, id: JobId) -> Vec<(WorkerKey, RunningRow)> {
        let mut rows = Vec::new();
        if !self.is_unread(id) {
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
        if !self.roster_unread {
            self.actions.push(Action::StoreRoster);
        }
    }

    /// The longest lease is over: what the unread roster named matters no more.
    pub(super) fn replace_unread_roster(&mut self) {
        if !std::mem::take(&mut self.roster_unread) {
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
        let incarnation = self.worker(key).incarnation();
        if let Some(runs) = self.closed_unlisted.remove(&*incarnation) {
            self.take_closed(key, runs);
        }
        let worker = self.worker_mut(key);
        worker.on_roster = worker.contact != Contact::Gone;
        if self.recovered {
            self.look_if_due(key);
        }
    }
}
