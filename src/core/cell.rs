//! Holds the state of one data centre and applies commands to it.

use super::{
    Account,
    AccountKey,
    Arena,
    ClassKey,
    Command,
    Effect,
    Estimator,
    Fleet,
    Job,
    JobId,
    JobKey,
    JobState,
    Pledge,
    Shape,
    Shortfall,
    Submission,
    Worker,
    WorkerSpec,
    backfill::BackfillReservation,
    headroom::Headroom,
    queue::Queue, //
};
use crate::config::{
    ClassDeclaration,
    Configuration,
    Weights, //
};
use std::collections::{
    BTreeSet,
    HashMap, //
};

/// Bounds of the decision core. The daemon runs with the defaults.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of failures after which a job ends as failed.
    pub max_failures: u32,
    /// Number of different healthy workers on which a job fails before it ends as
    /// unable to run.
    pub max_failed_workers: usize,
    /// Time within which all members of a gang have to confirm their start.
    pub start_timeout_ms: u64,
    /// How long an ended job and its idempotency key are kept.
    pub retention_ms: u64,
    /// Number of different jobs that fail in a row on a worker before it is
    /// quarantined.
    pub quarantine_failures: usize,
    /// Length of the first quarantine of a worker.
    pub quarantine_ms: u64,
    /// Number of waiting gangs for which workers are reserved at a time.
    pub max_reservations: usize,
    /// Number of groups of waiting jobs that may fail to be placed before a pass
    /// ends.
    pub groups_per_pass: usize,
    /// Jobs that may be placed in one pass.
    pub placements_per_pass: usize,
    /// Base of the backoff of a job, which doubles with each failure.
    pub backoff_ms: u64,
    /// Longest backoff.
    pub max_backoff_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_failures: 5,
            max_failed_workers: 3,
            start_timeout_ms: 10_000,
            retention_ms: 24 * 3_600_000,
            quarantine_failures: 3,
            quarantine_ms: 60_000,
            max_reservations: 2,
            groups_per_pass: 64,
            placements_per_pass: 512,
            backoff_ms: 200,
            max_backoff_ms: 30_000,
        }
    }
}

/// A class of work and its waiting jobs.
#[derive(Clone, Debug)]
pub(super) struct Class {
    pub declaration: ClassDeclaration,
    pub withdrawn: bool,
    pub waiting_jobs: u32,
    /// Estimated accelerator-milliseconds of its waiting jobs.
    pub waiting_work: u64,
}

/// An action that is scheduled for a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum JobTimer {
    /// Queues the job again at the end of its backoff.
    Retry,
    /// Fails the attempt if its gang has not confirmed its start.
    StartTimeout { attempt: u32 },
    /// Queues the job with a later target when its latest start has passed.
    LatestStart,
    /// Deletes the ended job at the end of its retention.
    DeleteJob,
}

/// The state of one data centre: its workers, accounts and jobs, and the
/// accelerators pledged to each guaranteed shape.
#[derive(Debug, Default)]
pub struct Cell {
    pub(super) data_centre: String,
    pub(super) epoch: u64,
    /// Sequence number of the next job id of this epoch.
    pub(super) next_sequence: u32,
    pub(super) now_ms: u64,
    pub(super) configuration_version: u64,
    pub(super) weights: Weights,
    pub(super) limits: Limits,
    pub(super) classes: Vec<Class>,
    pub(super) accounts: Vec<Account>,
    pub(super) account_index: HashMap<String, AccountKey>,
    pub(super) fleet: Fleet,
    pub(super) pledges: Vec<Pledge>,
    pub(super) reported_shortfalls: Vec<Shortfall>,
    pub(super) jobs: Arena<Job>,
    pub(super) by_id: HashMap<JobId, JobKey>,
    pub(super) by_idempotency_key: HashMap<(AccountKey, String), JobKey>,
    pub(super) queue: Queue,
    /// Waiting gangs with the workers reserved for them.
    pub(super) backfill_reservations: Vec<BackfillReservation>,
    pub(super) estimator: Estimator,
    pub(super) timers: BTreeSet<(u64, JobKey, JobTimer)>,
    /// Cached results of `is_feasible` by account, shape and whether the job may be
    /// preempted.
    pub(super) feasible: HashMap<(AccountKey, Shape, bool), bool>,
    /// Number of accelerators outside every pledge, on workers that accept jobs.
    pub(super) surplus_capacity: u32,
    pub(super) headroom: Headroom,
    pub(super) effects: Vec<Effect>,
    /// Whether a scheduling pass is due.
    pub(super) changed: bool,
    pub(super) paused: bool,
    /// Jobs that may still be placed in the current pass.
    pub(super) placements_left: usize,
}

impl Cell {
    /// Creates an empty cell for `data_centre` that accepts jobs under `epoch`.
    pub fn new(data_centre: &str, epoch: u64, limits: Limits) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            epoch,
            limits,
            ..Self::default()
        }
    }

    /// Applies `command` and returns the effects that the owner has to carry out.
    /// Time does not go back: a `now_ms` before that of an earlier command counts as
    /// the latest one.
    pub fn apply(&mut self, command: Command, now_ms: u64) -> Vec<Effect> {
        self.now_ms = self.now_ms.max(now_ms);
        match command {
            Command::Configure(configuration) => self.configure(&configuration),
            Command::Workers(workers) => self.set_workers(workers),
            Command::Recover(jobs) => self.recover(jobs),
            Command::Submit { token, submission } => self.submit(token, submission),
            Command::Cancel {
                token,
                account,
                jobs,
            } => self.cancel(token, &account, &jobs),
            Command::Member(report) => self.handle_member_report(report),
            Command::WorkerLeaving(name) => self.handle_worker_leaving(&name),
            Command::WorkerLost(name) => self.handle_worker_lost(&name),
            Command::WorkerRestarted(name) => self.handle_worker_restarted(&name),
            Command::WorkerReturned(name) => self.handle_worker_returned(&name),
            Command::Reinspect(name) => self.reinspect(&name),
            Command::Pause(paused) => self.paused = paused,
            Command::Tick => self.tick(),
        }
        if self.changed && !self.paused {
            self.changed = false;
            self.schedule();
        }
        std::mem::take(&mut self.effects)
    }

    fn configure(&mut self, configuration: &Configuration) {
        // A configuration never reverts: a lagging watch may deliver an older
        // version late or again, which is ignored.
        if configuration.version <= self.configuration_version && !self.classes.is_empty() {
            return;
        }
        self.configuration_version = configuration.version;
        self.weights = configuration.declaration.weights;
        for class in &mut self.classes {
            class.withdrawn = true;
        }
        for declaration in &configuration.declaration.classes {
            match self.class_named(&declaration.name) {
                Some(key) => {
                    let class = &mut self.classes[key.index()];
                    class.declaration = declaration.clone();
                    class.withdrawn = false;
                }
                None => self.classes.push(Class {
                    declaration: declaration.clone(),
                    withdrawn: false,
                    waiting_jobs: 0,
                    waiting_work: 0,
                }),
            }
        }
        self.configure_accounts(configuration);
        self.reconcile_pledges(&configuration.declaration);
        self.topology_changed();
    }

    fn configure_accounts(&mut self, configuration: &Configuration) {
        for account in &mut self.accounts {
            account.withdrawn = true;
        }
        for declaration in &configuration.declaration.accounts {
            match self.account_named(&declaration.name) {
                Some(key) => {
                    let account = &mut self.accounts[key.index()];
                    account.declaration = declaration.clone();
                    account.withdrawn = false;
                }
                None => {
                    let key = AccountKey(self.accounts.len() as u16);
                    self.accounts
                        .push(Account::new(declaration.clone(), self.now_ms));
                    self.account_index.insert(declaration.name.clone(), key);
                }
            }
        }
    }

    fn set_workers(&mut self, mut workers: Vec<WorkerSpec>) {
        workers.sort_by(|a, b| (&a.rack, &a.name).cmp(&(&b.rack, &b.name)));
        for spec in &workers {
            self.fleet.add(&spec.name, &spec.rack, spec.accelerators);
        }
        self.fleet.reindex();
        for spec in workers.iter().filter(|spec| spec.leaving) {
            self.handle_worker_leaving(&spec.name);
        }
        self.topology_changed();
        self.place_pledges();
    }

    /// Discards what was derived from the previous workers, pledges and
    /// declarations, and makes every waiting job eligible for the next pass.
    pub(super) fn topology_changed(&mut self) {
        self.feasible.clear();
        let surplus_count = |worker: &Worker| worker.usable_by(false).count_ones();
        self.surplus_capacity = self.fleet.workers().map(|(_, w)| surplus_count(w)).sum();
        self.queue.unblock_all();
        self.changed = true;
    }

    fn tick(&mut self) {
        while let Some(&(due_ms, key, timer)) = self.timers.first() {
            if due_ms > self.now_ms {
                break;
            }
            self.timers.pop_first();
            match timer {
                JobTimer::Retry => self.requeue_if_due(key),
                JobTimer::StartTimeout { attempt } => self.handle_start_timeout(key, attempt),
                JobTimer::LatestStart => self.requeue_late(key),
                JobTimer::DeleteJob => self.delete_job(key),
            }
        }
        self.end_quarantines();
        self.update_headroom();
        self.review_reservations();
        self.place_pledges();
        self.queue.unblock_all();
        self.changed = true;
    }

    fn delete_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.by_id.remove(&job.id);
        let idempotency_key = (job.account, job.submission.idempotency_key);
        self.by_idempotency_key.remove(&idempotency_key);
        self.persist(crate::ledger::ChangeKind::Forgotten(job.id.0));
    }

    pub(super) fn persist(&mut self, change: crate::ledger::ChangeKind) {
        self.effects.push(Effect::Persist(change.into()));
    }

    pub(super) fn account_named(&self, name: &str) -> Option<AccountKey> {
        self.account_index.get(name).copied()
    }

    pub(super) fn class_named(&self, name: &str) -> Option<ClassKey> {
        self.classes
            .iter()
            .position(|class| class.declaration.name == name)
            .map(|index| ClassKey(index as u8))
    }

    pub(super) fn class(&self, key: ClassKey) -> &ClassDeclaration {
        &self.classes[key.index()].declaration
    }

    /// Returns the estimated remaining run time of a job: its declared run time,
    /// corrected by the estimator, minus the saved progress.
    pub(super) fn remaining_ms(&self, job: &Job) -> u64 {
        self.estimator
            .corrected_ms(job.account, job.class, job.submission.declared_run_ms)
            .saturating_sub(job.progress_ms)
    }

    /// Builds a queued job from a submission or from the ledger. Returns `None`
    /// if its account or class is not known.
    pub(super) fn new_job(
        &mut self,
        id: JobId,
        submission: Submission,
        accepted_ms: u64,
    ) -> Option<Job> {
        let account = self.account_named(&submission.account)?;
        let class = self.class_named(&submission.class)?;
        let deadline_ms = accepted_ms + self.class(class).completion_ms;
        let expected_ms = self
            .estimator
            .corrected_ms(account, class, submission.declared_run_ms);
        Some(Job {
            id,
            shape: submission.shape(),
            submission,
            account,
            class,
            accepted_ms,
            deadline_ms,
            latest_start_ms: deadline_ms.saturating_sub(expected_ms),
            state: JobState::Queued,
            state_since_ms: self.now_ms,
            attempt: 0,
            members: Vec::new(),
            pledge: None,
            is_reclaimable: false,
            progress_ms: 0,
            run_started_ms: 0,
            first_running_ms: None,
            preemptions: 0,
            moves: 0,
            failures: 0,
            failed_workers: Vec::new(),
            earlier_may_have_begun: false,
            reserve_after_ms: 0,
            cancelling: false,
            queue_group: None,
            waiting_work: 0,
            answer: None,
            outcome: crate::ledger::OutcomeCode::None,
            ended_ms: 0,
        })
    }

    pub(super) fn insert_job(&mut self, job: Job) -> JobKey {
        let (id, account) = (job.id, job.account);
        let idempotency_key = job.submission.idempotency_key.clone();
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.by_idempotency_key
            .insert((account, idempotency_key), key);
        key
    }

    /// Returns the version of the configuration in force.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// Returns the workers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns all jobs, including ended ones until their retention is over.
    pub fn jobs(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.jobs.iter()
    }

    /// Returns the job with the identity `id`.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id).and_then(|&key| self.jobs.get(key))
    }

    /// Returns the job that an account submitted under an idempotency key.
    pub fn job_of_key(&self, account: &str, key: &str) -> Option<JobId> {
        let idempotency_key = (self.account_named(account)?, key.to_owned());
        let job = self
            .by_idempotency_key
            .get(&idempotency_key)
            .and_then(|&key| self.jobs.get(key));
        job.map(|job| job.id)
    }

    /// Returns the client accounts, including withdrawn ones.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Returns the number of jobs in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }
}
