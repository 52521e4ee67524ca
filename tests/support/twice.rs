//! A fleet under drawn ends, commits, losses and changes of owner. Each message
//! that tells a worker that an end is noted is checked against what is stored in
//! that moment, and each start against the ends that were noted before.

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

/// Workers of a fleet: enough for the widest gang, on a worker each.
const WORKERS: u64 = 4;
const STEP_MS: u64 = 10;
/// Longer than ended jobs are remembered.
const LONG_MS: u64 = 151_000;
/// Once all is calm, ends may wait this long: no more than some looks.
const CALM_MS: u64 = 3_000;

/// What is drawn.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job of one of the kinds.
    Submit(u8),
    /// A run ends, done or failed; a gang ends as a whole.
    End { which: u8, failed: bool },
    /// One of the jobs that wait for it is stored; the answer may be lost.
    Commit { which: u8, answered: bool },
    /// A caller cancels a job.
    Cancel(u8),
    /// A worker can't be reached, or can again.
    Silence(u8),
    /// A worker crashes, and another one joins in its place.
    Lose(u8),
    /// Another daemon owns. It may not have been told of the newest job yet.
    ChangeOwner {
        earlier_owner_over: bool,
        behind: bool,
    },
    /// All jobs that are stored are told.
    TellJobs,
    /// Time passes.
    Pass(u16),
    /// So much time passes that ended jobs are forgotten.
    PassLong,
}

/// The fleet with what its callers know.
pub struct Story {
    pub fleet: Fleet,
    jobs: Vec<(JobId, JobRecord)>,
    cancelled: HashSet<JobId>,
    /// Jobs that are stored and of which the owner was not told.
    untold: Vec<JobId>,
    /// Ends whose worker lost its lease before they were noted: they count for
    /// nothing.
    void: HashSet<(String, u64)>,
    noted_done: HashSet<TaskId>,
    checked_ends: usize,
    checked_starts: usize,
    epoch: u64,
    lives: u64,
}

impl Story {
    /// An owner with idle workers.
    pub fn begin() -> Self {
        let mut fleet = Fleet::with_workers(WORKERS as usize);
        fleet.holds_progress = true;
        Self {
            fleet,
            jobs: Vec::new(),
            cancelled: HashSet::new(),
            untold: Vec::new(),
            void: HashSet::new(),
            noted_done: HashSet::new(),
            checked_ends: 0,
            checked_starts: 0,
            epoch: 1,
            lives: WORKERS,
        }
    }

    /// Lets one event happen, and what follows at once.
    pub fn play(&mut self, event: &Event) {
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
            Event::Silence(which) => {
                if let Some(worker) = pick(&self.worker_names(), which) {
                    self.toggle_silence(worker);
                }
            }
            Event::Lose(which) => {
                if let Some(worker) = pick(&self.worker_names(), which) {
                    self.lose(worker);
                }
            }
            Event::ChangeOwner {
                earlier_owner_over,
                behind,
            } => self.change_owner(earlier_owner_over, behind),
            Event::TellJobs => self.tell_jobs(),
            Event::Pass(by_ms) => self.pass(u64::from(by_ms)),
            Event::PassLong => self.fleet.now_ms += LONG_MS,
        }
        self.pass(STEP_MS);
    }

    /// Mends everything; ends must then be noted soon.
    pub fn calm_down(&mut self) {
        let workers = &self.fleet.workers;
        self.fleet.silent.retain(|name| !workers.contains_key(name));
        self.tell_jobs();
        for _ in 0..CALM_MS / STEP_MS {
            self.pass(STEP_MS);
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

    fn pass(&mut self, by_ms: u64) {
        let until_ms = self.fleet.now_ms + by_ms;
        while self.fleet.now_ms < until_ms {
            self.end_lapsed();
            self.fleet.advance(STEP_MS);
            self.check();
        }
    }

    /// Workers whose lease is over kill what they run.
    fn end_lapsed(&mut self) {
        let now_ms = self.fleet.now_ms;
        for (worker, fake) in &mut self.fleet.workers {
            if !fake.has_lapsed(now_ms) {
                continue;
            }
            let listed = fake.ended.iter().map(|row| (worker.clone(), row.number));
            self.void.extend(listed);
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
        // Members work only together.
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

    /// How many members a job's gang has; `None` for a job without one.
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
        self.fleet.tell(Input::JobCancelled(job));
    }

    fn worker_names(&self) -> Vec<String> {
        let names: BTreeSet<&String> = self.fleet.workers.keys().collect();
        names.into_iter().cloned().collect()
    }

    fn toggle_silence(&mut self, worker: &str) {
        let silent = &mut self.fleet.silent;
        match silent.iter().position(|name| name == worker) {
            Some(at) => drop(silent.remove(at)),
            None => silent.push(worker.to_owned()),
        }
    }

    fn lose(&mut self, worker: &str) {
        self.fleet.workers.remove(worker);
        self.fleet.silent.push(worker.to_owned());
        self.fleet.tell(Input::WorkerUnlisted(worker.to_owned()));
        let next = format!("w{}", self.lives);
        self.lives += 1;
        self.fleet.add_worker(&next, "r1");
    }

    fn change_owner(&mut self, earlier_owner_over: bool, behind: bool) {
        self.check();
        self.epoch += 1;
        self.untold.clear();
        // An earlier owner that goes on may hear of a job that was stored after
        // the next one had read what is stored. A job of which progress is
        // stored is none of these.
        let newest = self.jobs.last().map(|(job, _)| *job);
        let may_be_new = |job: &JobId| !earlier_owner_over && !self.fleet.stored.contains_key(job);
        let newest = newest.filter(|job| behind && may_be_new(job));
        self.untold.extend(newest);
        let told = |job: &JobId| !self.untold.contains(job) && !self.fleet.forgotten.contains(job);
        let jobs = self.jobs.iter().filter(|(job, _)| told(job));
        let jobs: Vec<_> = jobs.cloned().collect();
        let mut next = self.fleet.next_owner(self.epoch, &jobs, earlier_owner_over);
        next.holds_progress = true;
        next.follows_jobs = self.untold.is_empty();
        for &job in &self.cancelled {
            next.tell(Input::JobCancelled(job));
        }
        self.fleet = next;
        (self.checked_ends, self.checked_starts) = (0, 0);
    }

    fn tell_jobs(&mut self) {
        for job in std::mem::take(&mut self.untold) {
            let known = self.jobs.iter().find(|(id, _)| *id == job);
            if let Some((id, record)) = known.filter(|_| !self.fleet.forgotten.contains(&job)) {
                self.fleet.tell(Input::JobStored {
                    id: *id,
                    record: Arc::new(record.clone()),
                    progress: None,
                });
            }
        }
        self.fleet.follows_jobs = true;
    }

    fn check(&mut self) {
        for at in self.checked_starts..self.fleet.starts.len() {
            let (name, worker, at_ms) = &self.fleet.starts[at];
            assert!(
                !self.noted_done.contains(&name.task),
                "{name:?} is started on {worker} at {at_ms} ms after a noted end"
            );
        }
        self.checked_starts = self.fleet.starts.len();
        for at in self.checked_ends..self.fleet.acknowledged.len() {
            self.check_end(at);
        }
        self.checked_ends = self.fleet.acknowledged.len();
    }

    fn check_end(&mut self, at: usize) {
        let told = &self.fleet.acknowledged[at];
        let job = told.row.name.task.job;
        let void = self.void.contains(&(told.worker.clone(), told.row.number));
        if void {
            return;
        }
        let over = self.cancelled.contains(&job) || self.fleet.forgotten.contains(&job);
        let gang = self.gang_width(job).is_some();
        let stored = told.stored.as_ref();
        let tells = match told.row.kind {
            EndKind::Done => stored.is_some_and(|record| tells_done(record, told.row.name.task)),
            EndKind::Failed => {
                stored.is_some_and(|record| tells_failed(record, told.row.name, gang))
            }
            _ => true,
        };
        assert!(
            over || tells,
            "{} is told that an end is noted before it is stored: {told:?}",
            told.worker
        );
        if told.row.kind == EndKind::Done {
            self.noted_done.insert(told.row.name.task);
        }
    }
}

fn pick<T>(of: &[T], which: u8) -> Option<&T> {
    of.get(usize::from(which) % of.len().max(1))
}

/// Whether the stored progress keeps a done task from being started again.
fn tells_done(record: &ProgressRecord, task: TaskId) -> bool {
    let group = record.group(GroupKey::of(task));
    let word = group.and_then(|group| group.done.get(task.index as usize / 64));
    record.ended.is_some()
        || record.done_occurrences.contains(&task.occurrence)
        || word.is_some_and(|word| word >> (task.index % 64) & 1 == 1)
}

/// Whether the stored progress counts a failed run, or needs not any more.
fn tells_failed(record: &ProgressRecord, name: RunName, gang: bool) -> bool {
    let counted = if gang { 0 } else { name.task.index };
    let group = record.group(GroupKey::of(name.task));
    let rows = group.map(|group| group.failures.as_slice());
    let mut rows = rows.unwrap_or_default().iter();
    tells_done(record, name.task)
        || rows.any(|row| row.index == counted && row.runs.contains(&name.run))
}
