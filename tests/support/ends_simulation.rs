//! Simulates a fleet under random ends of runs, commits, losses of workers and changes of
//! owner.
//!
//! Each acknowledgement of an end is checked against what is stored at that moment, and
//! each start against the ends that were acknowledged before.

use crate::fleet::{
    Fleet,
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    EndKind,
    GroupKey,
    Input,
    JobRecord,
    ProgressRecord,
    RunName,
    Schedule,
    StepSpec,
    TaskId, //
};
use std::collections::{
    BTreeSet,
    HashSet, //
};
use std::sync::Arc;

/// Number of workers: enough to run each member of the widest gang on its own worker.
const WORKERS: u64 = 4;
/// Step of the simulated clock; one step also passes after each event.
const STEP_MS: u64 = 10;
/// Longer than ended jobs are retained.
const BEYOND_RETENTION_MS: u64 = 151_000;
/// Time for all ends to be acknowledged once the faults are repaired: a few polls.
const DRAIN_MS: u64 = 3_000;

/// A random event. A `u8` selects one of the jobs, runs or workers.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job of the selected kind.
    Submit(u8),
    /// A run ends, done or failed; a gang ends as a whole.
    End { which: u8, failed: bool },
    /// Progress of a job that waits to be stored is stored; the answer may be lost.
    Commit { which: u8, answered: bool },
    /// A caller cancels a job.
    Cancel(u8),
    /// A worker becomes unresponsive, or responds again.
    ToggleResponding(u8),
    /// A worker crashes, and another one joins in its place.
    LoseWorker(u8),
    /// Another daemon becomes the owner. If `behind`, it may not have read the newest job.
    ChangeOwner {
        earlier_owner_exited: bool,
        behind: bool,
    },
    /// The owner reads all stored jobs.
    ReportJobs,
    /// The given time in milliseconds passes.
    Wait(u16),
    /// So much time passes that ended jobs are deleted.
    WaitLong,
}

/// The fleet, and the state against which it is checked.
pub struct Simulation {
    pub fleet: Fleet,
    jobs: Vec<(JobId, JobRecord)>,
    cancelled: HashSet<JobId>,
    /// Stored jobs that the owner has not read.
    unreported: Vec<JobId>,
    /// Ends, by worker and number, whose worker's lease expired before they were
    /// acknowledged: they need not count.
    expired: HashSet<(String, u64)>,
    /// Tasks whose completion was acknowledged.
    acknowledged_done: HashSet<TaskId>,
    checked_ends: usize,
    checked_starts: usize,
    epoch: u64,
    workers_created: u64,
}

impl Simulation {
    /// Starts with an owner and idle workers.
    pub fn begin() -> Self {
        let mut fleet = Fleet::with_workers(WORKERS as usize);
        fleet.defers_progress = true;
        Self {
            fleet,
            jobs: Vec::new(),
            cancelled: HashSet::new(),
            unreported: Vec::new(),
            expired: HashSet::new(),
            acknowledged_done: HashSet::new(),
            checked_ends: 0,
            checked_starts: 0,
            epoch: 1,
            workers_created: WORKERS,
        }
    }

    /// Applies one event and lets its immediate effects take place.
    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Submit(kind) => self.submit(kind),
            Event::End { which, failed } => self.end(which, failed),
            Event::Commit { which, answered } => {
                let pending: Vec<JobId> = self.fleet.pending.keys().copied().collect();
                if let Some(&job) = pick(&pending, which) {
                    self.fleet.commit(job, answered);
                }
            }
            Event::Cancel(which) => self.cancel(which),
            Event::ToggleResponding(which) => {
                if let Some(worker) = pick(&self.worker_names(), which) {
                    self.toggle_responding(worker);
                }
            }
            Event::LoseWorker(which) => {
                if let Some(worker) = pick(&self.worker_names(), which) {
                    self.lose_worker(worker);
                }
            }
            Event::ChangeOwner {
                earlier_owner_exited,
                behind,
            } => self.change_owner(earlier_owner_exited, behind),
            Event::ReportJobs => self.report_jobs(),
            Event::Wait(by_ms) => self.wait(u64::from(by_ms)),
            Event::WaitLong => self.fleet.now_ms += BEYOND_RETENTION_MS,
        }
        self.wait(STEP_MS);
    }

    /// Repairs all faults and asserts that all ends are acknowledged soon.
    pub fn repair_and_drain(&mut self) {
        let workers = &self.fleet.workers;
        self.fleet
            .unresponsive
            .retain(|name| !workers.contains_key(name));
        self.report_jobs();
        for _ in 0..DRAIN_MS / STEP_MS {
            self.wait(STEP_MS);
            self.commit_all();
        }
        for (worker, fake) in &self.fleet.workers {
            assert!(
                fake.ended.is_empty(),
                "{worker} still lists {:?}",
                fake.ended
            );
        }
    }

    fn commit_all(&mut self) {
        let pending: Vec<JobId> = self.fleet.pending.keys().copied().collect();
        for job in pending {
            self.fleet.commit(job, true);
        }
    }

    fn wait(&mut self, by_ms: u64) {
        let until_ms = self.fleet.now_ms + by_ms;
        while self.fleet.now_ms < until_ms {
            self.expire_leases();
            self.fleet.advance(STEP_MS);
            self.check();
        }
    }

    /// Lets workers whose lease has expired kill their runs.
    fn expire_leases(&mut self) {
        let now_ms = self.fleet.now_ms;
        for (worker, fake) in &mut self.fleet.workers {
            if !fake.has_expired_lease(now_ms) {
                continue;
            }
            let listed = fake.ended.iter().map(|row| (worker.clone(), row.number));
            self.expired.extend(listed);
            let running: Vec<RunName> = fake.running.keys().copied().collect();
            for name in running {
                fake.end(name, EndKind::LeaseExpired);
            }
        }
    }

    fn submit(&mut self, kind: u8) {
        let id = self.jobs.len() as u64 + 1;
        let gang = |count| StepSpec {
            gang: true,
            ..step(count, 5)
        };
        let second = StepSpec {
            after: vec![0],
            ..step(2, 2)
        };
        let mut job = record(
            "plain",
            match kind % 5 {
                0 => vec![step(2, 1)],
                1 => vec![gang(2)],
                2 => vec![gang(3)],
                3 => vec![step(2, 1), second],
                _ => vec![step(1, 1)],
            },
        );
        if kind % 5 == 4 {
            job.spec.schedule = Some(Schedule {
                repetitions: 3,
                start_at_ms: self.fleet.now_ms,
                interval_ms: 200,
            });
        }
        self.fleet.submit(id, job.clone());
        self.jobs.push((JobId(id), job));
    }

    fn end(&mut self, which: u8, failed: bool) {
        let running = self.fleet.running();
        let Some((worker, name)) = pick(&running, which) else {
            return;
        };
        let kind = match failed {
            true => EndKind::Failed,
            false => EndKind::Done,
        };
        let Some(width) = self.gang_width(name.task.job) else {
            self.end_run(worker, *name, kind);
            return;
        };
        let key = GroupKey::of(name.task);
        let is_member = |other: &RunName| GroupKey::of(other.task) == key && other.run == name.run;
        let members = running.iter().filter(|(_, other)| is_member(other));
        let members: Vec<_> = members.collect();
        // A gang only works, and can only end, once all its members run.
        if members.len() == width {
            for (worker, member) in members {
                self.end_run(worker, *member, kind);
            }
        }
    }

    fn end_run(&mut self, worker: &str, name: RunName, kind: EndKind) {
        if let Some(fake) = self.fleet.workers.get_mut(worker) {
            fake.end(name, kind);
        }
    }

    /// Returns the number of members of a job's gang; `None` for a job without a gang.
    fn gang_width(&self, job: JobId) -> Option<usize> {
        let record = self.jobs.iter().find(|(id, _)| *id == job)?;
        let step = &record.1.spec.steps[0];
        step.gang.then_some(step.count as usize)
    }

    fn cancel(&mut self, which: u8) {
        let Some(&(job, _)) = pick(&self.jobs, which) else {
            return;
        };
        self.cancelled.insert(job);
        self.fleet.send_input(Input::JobCancelled(job));
    }

    fn worker_names(&self) -> Vec<String> {
        let names: BTreeSet<&String> = self.fleet.workers.keys().collect();
        names.into_iter().cloned().collect()
    }

    fn toggle_responding(&mut self, worker: &str) {
        let unresponsive = &mut self.fleet.unresponsive;
        match unresponsive.iter().position(|name| name == worker) {
            Some(at) => drop(unresponsive.remove(at)),
            None => unresponsive.push(worker.to_owned()),
        }
    }

    fn lose_worker(&mut self, worker: &str) {
        self.fleet.workers.remove(worker);
        self.fleet.unresponsive.push(worker.to_owned());
        self.fleet
            .send_input(Input::WorkerUnlisted(worker.to_owned()));
        let next = format!("w{}", self.workers_created);
        self.workers_created += 1;
        self.fleet.add_worker(&next, "r1");
    }

    fn change_owner(&mut self, earlier_owner_exited: bool, behind: bool) {
        self.check();
        self.epoch += 1;
        self.unreported.clear();
        // An earlier owner that still runs may learn of a job that was stored after the
        // next owner had read the stored jobs. A job with stored progress cannot be one.
        let newest = self.jobs.last().map(|(job, _)| *job);
        let may_be_new =
            |job: &JobId| !earlier_owner_exited && !self.fleet.stored.contains_key(job);
        let newest = newest.filter(|job| behind && may_be_new(job));
        self.unreported.extend(newest);
        let is_reported =
            |job: &JobId| !self.unreported.contains(job) && !self.fleet.deleted_jobs.contains(job);
        let jobs = self.jobs.iter().filter(|(job, _)| is_reported(job));
        let jobs: Vec<_> = jobs.cloned().collect();
        let mut next = self
            .fleet
            .next_owner(self.epoch, &jobs, earlier_owner_exited);
        next.defers_progress = true;
        next.reports_jobs_read = self.unreported.is_empty();
        for &job in &self.cancelled {
            next.send_input(Input::JobCancelled(job));
        }
        self.fleet = next;
        (self.checked_ends, self.checked_starts) = (0, 0);
    }

    fn report_jobs(&mut self) {
        for job in std::mem::take(&mut self.unreported) {
            let known = self.jobs.iter().find(|(id, _)| *id == job);
            if let Some((id, record)) = known.filter(|_| !self.fleet.deleted_jobs.contains(&job)) {
                self.fleet.send_input(Input::JobStored {
                    id: *id,
                    record: Arc::new(record.clone()),
                    progress: None,
                });
            }
        }
        self.fleet.reports_jobs_read = true;
    }

    fn check(&mut self) {
        for at in self.checked_starts..self.fleet.starts.len() {
            let (name, worker, at_ms) = &self.fleet.starts[at];
            assert!(
                !self.acknowledged_done.contains(&name.task),
                "{name:?} is started on {worker} at {at_ms} ms after its end was acknowledged"
            );
        }
        self.checked_starts = self.fleet.starts.len();
        for at in self.checked_ends..self.fleet.acknowledged.len() {
            self.check_end(at);
        }
        self.checked_ends = self.fleet.acknowledged.len();
    }

    fn check_end(&mut self, at: usize) {
        let acknowledged = &self.fleet.acknowledged[at];
        let job = acknowledged.row.name.task.job;
        let expired = self
            .expired
            .contains(&(acknowledged.worker.clone(), acknowledged.row.number));
        if expired {
            return;
        }
        let over = self.cancelled.contains(&job) || self.fleet.deleted_jobs.contains(&job);
        let gang = self.gang_width(job).is_some();
        let stored = acknowledged.stored.as_ref();
        let recorded = match acknowledged.row.kind {
            EndKind::Done => {
                stored.is_some_and(|record| records_done(record, acknowledged.row.name.task))
            }
            EndKind::Failed => {
                stored.is_some_and(|record| records_failed(record, acknowledged.row.name, gang))
            }
            _ => true,
        };
        assert!(
            over || recorded,
            "an end of {} is acknowledged before it is stored: {acknowledged:?}",
            acknowledged.worker
        );
        if acknowledged.row.kind == EndKind::Done {
            self.acknowledged_done.insert(acknowledged.row.name.task);
        }
    }
}

/// Returns the element that `which` selects; `None` if there are no elements.
fn pick<T>(items: &[T], which: u8) -> Option<&T> {
    items.get(usize::from(which) % items.len().max(1))
}

/// Returns whether the stored progress keeps a done task from being started again.
fn records_done(record: &ProgressRecord, task: TaskId) -> bool {
    let group = record.group(GroupKey::of(task));
    let word = group.and_then(|group| group.done.get(task.index as usize / 64));
    record.ended.is_some()
        || record.done_occurrences.contains(&task.occurrence)
        || word.is_some_and(|word| word >> (task.index % 64) & 1 == 1)
}

/// Returns whether the stored progress counts a failed run, or need not count it any more.
fn records_failed(record: &ProgressRecord, name: RunName, gang: bool) -> bool {
    let counted = if gang { 0 } else { name.task.index };
    let group = record.group(GroupKey::of(name.task));
    let rows = group.map(|group| group.failures.as_slice());
    let mut rows = rows.unwrap_or_default().iter();
    records_done(record, name.task)
        || rows.any(|row| row.index == counted && row.runs.contains(&name.run))
}
