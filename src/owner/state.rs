//! The owner's state and the way events change it.

use super::{
    Action,
    CallId,
    Ended,
    Event,
    Reply,
    Request,
    WorkerNews,
    lease::Lease,
    lease::LeaseStep,
    outbox,
    outbox::Meaning,
    outbox::Outbox, //
};
use crate::config::Configuration;
use crate::core::{
    Cell,
    Command,
    Effect,
    JobId,
    Limits,
    MemberReport,
    RecoveredJob,
    Refusal,
    RefusalReason,
    WorkerHealth,
    WorkerSpec, //
};
use crate::events;
use crate::ledger::{
    Journal,
    JournalEvent,
    OutcomeCode,
    lease_key, //
};
use crate::platform::{
    StoreAnswer,
    StoreCall,
    StoreFailure,
    VmKind,
    VmRecord,
    WorkerCall, //
};
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet,
    VecDeque, //
};
use std::sync::Arc;

/// When a caller may ask again after a refusal that has nothing to do with its
/// job.
const TRANSIENT_RETRY_AFTER_MS: u64 = 1_000;
const STORE_RETRY_MS: u64 = 250;
const MAX_STORE_RETRY_MS: u64 = 4_000;

/// Times and names of an owner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The data centre.
    pub data_centre: String,
    /// Name of the daemon, unique for each process started.
    pub daemon: String,
    /// First of a range of write names that no other process uses.
    pub first_write_id: u64,
    /// Length of the owner's lease.
    pub lease_ttl_ms: u64,
    /// How much earlier than the store the owner thinks its lease over.
    pub lease_margin_ms: u64,
    /// How long a worker's tasks go on without a renewal.
    pub worker_lease_ms: u64,
    /// How much longer the owner waits before it takes them for stopped.
    pub worker_margin_ms: u64,
    /// How long a reservation stands without a start.
    pub reservation_ms: u64,
    /// How old a confirmation of the configuration may be.
    pub configuration_bound_ms: u64,
    /// How long a commit may take before new submissions are refused.
    pub commit_bound_ms: u64,
    /// How often the core looks at what is due.
    pub core_tick_ms: u64,
    /// Bounds of the decision core.
    pub limits: Limits,
}

impl Settings {
    /// The defaults that the daemon runs with.
    pub fn new(data_centre: &str, daemon: &str, first_write_id: u64) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            daemon: daemon.to_owned(),
            first_write_id,
            lease_ttl_ms: 2_000,
            lease_margin_ms: 200,
            worker_lease_ms: 30_000,
            worker_margin_ms: 2_000,
            reservation_ms: 15_000,
            configuration_bound_ms: 6_000,
            commit_bound_ms: 1_500,
            core_tick_ms: 250,
            limits: Limits::default(),
        }
    }
}

#[derive(Debug)]
enum Phase {
    /// Not the owner.
    Idle,
    /// Holds the lease and reads the ledger.
    Opening(Box<Journal>),
    /// The owner.
    Owning(Box<Owning>),
}

/// What only an owner has.
#[derive(Debug)]
struct Owning {
    journal: Journal,
    cell: Cell,
    /// Effects that wait for the change of this number to be durable.
    gated: VecDeque<(u64, Effect)>,
    outbox: Outbox,
    waiters: HashMap<JobId, Vec<u64>>,
    /// Incarnation of each worker that a keeper has reported.
    incarnations: HashMap<String, u64>,
    next_core_tick_ms: u64,
    /// Since when a commit is under way.
    commit_since_ms: Option<u64>,
    paused: bool,
}

/// The owner of one data centre, or a candidate for it.
#[derive(Debug)]
pub struct Owner {
    settings: Settings,
    now_ms: u64,
    phase: Phase,
    lease: Lease,
    contest: bool,
    draining: bool,
    configuration: Option<Arc<Configuration>>,
    configuration_confirmed_ms: Option<u64>,
    members: BTreeMap<String, VmRecord>,
    says_leaving: HashSet<String>,
    next_call: u64,
    journal_call: Option<CallId>,
    lease_call: Option<CallId>,
    journal_retry_ms: Option<u64>,
    store_failures: u32,
    next_write_id: u64,
    actions: Vec<Action>,
}

impl Owner {
    /// A candidate that has not asked for the lease yet.
    pub fn open(settings: Settings) -> Self {
        Self {
            lease: Lease::new(settings.lease_ttl_ms, settings.lease_margin_ms),
            next_write_id: settings.first_write_id,
            settings,
            now_ms: 0,
            phase: Phase::Idle,
            contest: false,
            draining: false,
            configuration: None,
            configuration_confirmed_ms: None,
            members: BTreeMap::new(),
            says_leaving: HashSet::new(),
            next_call: 0,
            journal_call: None,
            lease_call: None,
            journal_retry_ms: None,
            store_failures: 0,
            actions: Vec::new(),
        }
    }

    /// Whether this daemon owns the data centre, as far as it knows.
    pub fn is_owner(&self) -> bool {
        matches!(self.phase, Phase::Owning(_))
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> Option<u64> {
        match &self.phase {
            Phase::Owning(owning) => Some(owning.journal.epoch()),
            _ => None,
        }
    }

    /// The cell, while this daemon owns it.
    pub fn cell(&self) -> Option<&Cell> {
        match &self.phase {
            Phase::Owning(owning) => Some(&owning.cell),
            _ => None,
        }
    }

    /// Whether everything decided so far is durable and nothing is held.
    pub fn has_handed_over(&self) -> bool {
        self.draining && matches!(self.phase, Phase::Idle) && self.lease_call.is_none()
    }

    /// Takes in one event and says what to do.
    pub fn handle(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        self.now_ms = self.now_ms.max(now_ms);
        match event {
            Event::Tick => self.tick(),
            Event::Request { token, request } => self.request(token, request),
            Event::Store { call, result } => self.store_answered(call, result),
            Event::Worker { call, result } => self.worker_answered(call, result),
            Event::News { worker, news } => self.worker_news(&worker, news),
            Event::Configuration(configuration) => self.configured(configuration),
            Event::ConfigurationConfirmed { asked_ms } => {
                let confirmed = self.configuration_confirmed_ms.unwrap_or(0);
                self.configuration_confirmed_ms = Some(confirmed.max(asked_ms));
            }
            Event::Members(members) => self.members_listed(members),
            Event::Contest(contest) => self.contest = contest,
            Event::Drain => self.draining = true,
        }
        self.advance();
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self) {
        if self.journal_retry_ms.is_some_and(|at| at <= self.now_ms) {
            self.journal_retry_ms = None;
            match &mut self.phase {
                Phase::Opening(journal) => journal.retry(),
                Phase::Owning(owning) => owning.journal.retry(),
                Phase::Idle => {}
            }
        }
        self.pause_if_stale();
        let core_tick_ms = self.settings.core_tick_ms;
        if let Phase::Owning(owning) = &mut self.phase
            && owning.next_core_tick_ms <= self.now_ms
        {
            owning.next_core_tick_ms = self.now_ms + core_tick_ms;
            self.apply(Command::Tick);
        }
    }

    /// Makes the calls that have become due.
    fn advance(&mut self) {
        self.keep_lease();
        self.commit();
        self.release_gated();
        self.send_due();
        self.resign_if_drained();
    }

    fn next_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    fn call_store(&mut self, request: StoreCall) -> CallId {
        let call = self.next_call();
        self.actions.push(Action::Store { call, request });
        call
    }

    fn keep_lease(&mut self) {
        let wanted = match self.phase {
            Phase::Idle => self.contest && !self.draining,
            _ => true,
        };
        if wanted && self.lease.step(self.now_ms) == LeaseStep::Ask {
            self.lease.asked(self.now_ms);
            let call = self.call_store(StoreCall::AcquireLease {
                key: lease_key(&self.settings.data_centre),
                holder: self.settings.daemon.clone(),
                ttl_ms: self.settings.lease_ttl_ms,
            });
            self.lease_call = Some(call);
        }
    }

    fn commit(&mut self) {
        let journal = match &mut self.phase {
            Phase::Idle => return,
            Phase::Opening(journal) => journal,
            Phase::Owning(owning) => &mut owning.journal,
        };
        if let Some(request) = journal.poll() {
            let call = self.call_store(request);
            self.journal_call = Some(call);
        }
        let now_ms = self.now_ms;
        if let Phase::Owning(owning) = &mut self.phase {
            let committing = owning.journal.pushed() > owning.journal.durable();
            owning.commit_since_ms = match committing {
                true => owning.commit_since_ms.or(Some(now_ms)),
                false => None,
            };
        }
    }

    fn store_answered(&mut self, call: CallId, result: Result<StoreAnswer, StoreFailure>) {
        self.note_store(result.is_ok());
        if self.lease_call == Some(call) {
            self.lease_call = None;
            return self.lease_answered(result);
        }
        // A duplicated or late answer of an earlier call tells nothing about
        // the call under way.
        if self.journal_call != Some(call) {
            metrics::counter!("fuchsiaslip_late_answers_total", "from" => "store").increment(1);
            return;
        }
        self.journal_call = None;
        if result.is_err() {
            let wait_ms = STORE_RETRY_MS << self.store_failures.saturating_sub(1).min(4);
            self.journal_retry_ms = Some(self.now_ms + wait_ms.min(MAX_STORE_RETRY_MS));
        }
        let event = match &mut self.phase {
            Phase::Idle => return,
            Phase::Opening(journal) => journal.answer(result),
            Phase::Owning(owning) => owning.journal.answer(result),
        };
        match event {
            JournalEvent::Pending => {}
            JournalEvent::Opened => self.take_ownership(),
            JournalEvent::Durable(_) => {
                if let Phase::Owning(owning) = &mut self.phase {
                    owning.commit_since_ms = None;
                }
            }
            JournalEvent::Fenced => self.step_down(),
            JournalEvent::Damaged(error) => {
                events::log(events::LEDGER_DAMAGED, format_args!("{error}"));
                self.step_down();
                self.contest = false;
            }
        }
    }

    fn note_store(&mut self, answered: bool) {
        if answered {
            if std::mem::take(&mut self.store_failures) > 0 {
                events::log(events::STORE_BACK, format_args!("{}", self.settings.daemon));
            }
            return;
        }
        if self.store_failures == 0 {
            events::log(
                events::STORE_SILENT,
                format_args!("{}", self.settings.daemon),
            );
        }
        self.store_failures += 1;
        metrics::counter!("fuchsiaslip_retries_total", "reason" => "store_silent").increment(1);
    }

    fn lease_answered(&mut self, result: Result<StoreAnswer, StoreFailure>) {
        match result {
            Ok(StoreAnswer::Granted) => {
                self.lease.granted();
                if matches!(self.phase, Phase::Idle) && self.contest && !self.draining {
                    self.begin_opening();
                }
            }
            Ok(StoreAnswer::Held { .. }) => {
                let wait_ms = self.settings.lease_ttl_ms / 4;
                self.lease.not_granted(self.now_ms, wait_ms);
                if self.is_owner() {
                    self.step_down();
                }
            }
            // While the store is away nobody else can take the lease either;
            // the ledger's compare-and-swap decides when it is back.
            _ => {
                let wait_ms = STORE_RETRY_MS << self.store_failures.saturating_sub(1).min(4);
                self.lease
                    .not_granted(self.now_ms, wait_ms.min(MAX_STORE_RETRY_MS));
            }
        }
    }

    fn begin_opening(&mut self) {
        let first_write_id = self.next_write_id;
        self.next_write_id += 1 << 24;
        self.journal_call = None;
        self.journal_retry_ms = None;
        self.phase = Phase::Opening(Box::new(Journal::open(
            &self.settings.data_centre,
            &self.settings.daemon,
            first_write_id,
        )));
    }

    /// The epoch is in the ledger: rebuild the cell and ask the workers.
    fn take_ownership(&mut self) {
        let Phase::Opening(journal) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        let known = self.configuration.as_ref().map_or(0, |c| c.version);
        if known < journal.configuration_version() {
            // This daemon's configuration is older than the one with which the
            // ledger was written; deciding with it would revert a patch.
            metrics::counter!("fuchsiaslip_retries_total", "reason" => "configuration_behind")
                .increment(1);
            self.give_up_lease();
            return;
        }
        let epoch = journal.epoch();
        let jobs: Vec<RecoveredJob> = journal
            .book()
            .jobs()
            .map(|record| RecoveredJob {
                record: record.clone(),
            })
            .collect();
        let cell = Cell::new(&self.settings.data_centre, epoch, self.settings.limits);
        self.phase = Phase::Owning(Box::new(Owning {
            journal: *journal,
            cell,
            gated: VecDeque::new(),
            outbox: Outbox::default(),
            waiters: HashMap::new(),
            incarnations: HashMap::new(),
            next_core_tick_ms: self.now_ms,
            commit_since_ms: None,
            paused: false,
        }));
        events::log(
            events::OWNER_STARTED,
            format_args!(
                "{} epoch {epoch}, {} jobs",
                self.settings.data_centre,
                jobs.len()
            ),
        );
        self.apply(Command::Workers(self.worker_specs()));
        if let Some(configuration) = self.configuration.clone() {
            self.apply_configuration(configuration);
        }
        self.apply(Command::Recover(jobs));
        self.pause_if_stale();
    }

    /// Drops everything that is not durable; the next owner has the rest.
    fn step_down(&mut self) {
        let Phase::Owning(owning) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        events::log(
            events::OWNER_FENCED,
            format_args!("{}", self.settings.data_centre),
        );
        self.journal_call = None;
        self.journal_retry_ms = None;
        let gated = owning
            .gated
            .into_iter()
            .filter_map(|(_, effect)| match effect {
                Effect::Accepted { token, .. } => Some(token),
                _ => None,
            });
        let waiting = owning.waiters.into_values().flatten();
        for token in gated.chain(waiting) {
            self.actions.push(Action::Reply {
                token,
                reply: Reply::OutcomeUnknown,
            });
        }
    }

    fn give_up_lease(&mut self) {
        self.phase = Phase::Idle;
        let wait_ms = self.settings.lease_ttl_ms;
        self.lease.not_granted(self.now_ms, wait_ms);
        self.lease = Lease::new(self.settings.lease_ttl_ms, self.settings.lease_margin_ms);
        self.lease.not_granted(self.now_ms, wait_ms);
        let call = self.call_store(StoreCall::ReleaseLease {
            key: lease_key(&self.settings.data_centre),
            holder: self.settings.daemon.clone(),
        });
        self.lease_call = Some(call);
    }

    fn resign_if_drained(&mut self) {
        let done = match &self.phase {
            Phase::Owning(owning) => {
                owning.journal.pushed() == owning.journal.durable() && owning.gated.is_empty()
            }
            Phase::Opening(_) => true,
            Phase::Idle => false,
        };
        if !self.draining || !done || self.lease_call.is_some() {
            return;
        }
        if let Phase::Owning(owning) = &mut self.phase {
            let waiting: Vec<u64> = owning
                .waiters
                .drain()
                .flat_map(|(_, tokens)| tokens)
                .collect();
            for token in waiting {
                self.actions.push(Action::Reply {
                    token,
                    reply: Reply::NotOwner,
                });
            }
        }
        events::log(
            events::OWNER_RESIGNED,
            format_args!("{}", self.settings.data_centre),
        );
        self.give_up_lease();
    }

    fn request(&mut self, token: u64, request: Request) {
        if let Request::Submit(_) = request
            && let Some(reason) = self.cannot_accept()
        {
            let reply = match self.is_owner() {
                true => refused(reason, TRANSIENT_RETRY_AFTER_MS),
                false => Reply::NotOwner,
            };
            return self.reply(token, reply);
        }
        let Phase::Owning(owning) = &mut self.phase else {
            return self.reply(token, Reply::NotOwner);
        };
        match request {
            Request::Submit(submission) => self.apply(Command::Submit { token, submission }),
            Request::Wait(job) => self.wait(token, job),
            Request::Explain(job) => {
                let report = owning.cell.explain(job);
                let reply = report.map_or(Reply::NotFound, |report| Reply::Job(Box::new(report)));
                self.reply(token, reply);
            }
            Request::Cancel { account, jobs } => self.apply(Command::Cancel {
                token,
                account,
                jobs,
            }),
            Request::Accounts => {
                let reply = Reply::Accounts {
                    accounts: owning.cell.account_reports(),
                    fragmentation: owning.cell.fragmentation(),
                    configuration_version: owning.cell.configuration_version(),
                };
                self.reply(token, reply);
            }
            Request::Workers => {
                let reply = Reply::Workers(owning.cell.worker_reports());
                self.reply(token, reply);
            }
        }
    }

    /// Why nothing can be accepted now. Each of these is found before the core
    /// has seen the job, so that "not run" is true.
    fn cannot_accept(&self) -> Option<RefusalReason> {
        let Phase::Owning(owning) = &self.phase else {
            return Some(RefusalReason::NoOwner);
        };
        let slow = owning
            .commit_since_ms
            .is_some_and(|since| self.now_ms > since + self.settings.commit_bound_ms);
        if self.draining {
            Some(RefusalReason::Draining)
        } else if slow || !self.lease.is_valid(self.now_ms) {
            Some(RefusalReason::StoreUnavailable)
        } else if self.is_stale() {
            Some(RefusalReason::ConfigurationStale)
        } else {
            None
        }
    }

    fn is_stale(&self) -> bool {
        let bound_ms = self.settings.configuration_bound_ms;
        self.configuration_confirmed_ms
            .is_none_or(|confirmed_ms| self.now_ms > confirmed_ms + bound_ms)
    }

    /// Starts nothing new while a patch may be in force elsewhere that is not
    /// in force here, nor while the lease or the drain forbids it.
    fn pause_if_stale(&mut self) {
        let pause = self.is_stale() || self.draining || !self.lease.is_valid(self.now_ms);
        let stale = self.is_stale();
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        if owning.paused == pause {
            return;
        }
        owning.paused = pause;
        if stale {
            events::log(
                events::CONFIGURATION_STALE,
                format_args!("{}", self.settings.daemon),
            );
        }
        self.apply(Command::Pause(pause));
    }

    fn wait(&mut self, token: u64, job: JobId) {
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        let ended = match owning.cell.job(job) {
            None => return self.reply(token, Reply::NotFound),
            Some(known) => known.outcome != OutcomeCode::None,
        };
        // The end is told only once it is durable: a job whose end is still
        // gated keeps its waiters until then.
        let told_later =
            |effect: &Effect| matches!(effect, Effect::Ended { job: id, .. } if *id == job);
        if ended && !owning.gated.iter().any(|(_, effect)| told_later(effect)) {
            let reply = self.ended_reply(job);
            return self.reply(token, reply);
        }
        owning.waiters.entry(job).or_default().push(token);
    }

    fn ended_reply(&self, job: JobId) -> Reply {
        let Phase::Owning(owning) = &self.phase else {
            return Reply::NotOwner;
        };
        let Some(report) = owning.cell.explain(job) else {
            return Reply::NotFound;
        };
        let answer = owning.cell.job(job).and_then(|job| job.answer.clone());
        let answer_address = answer
            .as_ref()
            .and_then(|answer| self.members.get(&answer.worker))
            .map(|vm| vm.address.clone());
        Reply::Ended(Box::new(Ended {
            report,
            answer,
            answer_address,
        }))
    }

    fn reply(&mut self, token: u64, reply: Reply) {
        if let Reply::Refused(refusal) = &reply {
            count_refusal(refusal);
        }
        self.actions.push(Action::Reply { token, reply });
    }

    fn configured(&mut self, configuration: Arc<Configuration>) {
        let known = self.configuration.as_ref().map_or(0, |c| c.version);
        if self.configuration.is_some() && configuration.version <= known {
            return;
        }
        self.configuration = Some(configuration.clone());
        self.apply_configuration(configuration);
    }

    fn apply_configuration(&mut self, configuration: Arc<Configuration>) {
        if let Phase::Owning(owning) = &mut self.phase {
            owning
                .journal
                .set_configuration_version(configuration.version);
            self.apply(Command::Configure(configuration));
        }
    }

    fn members_listed(&mut self, members: Vec<VmRecord>) {
        let gone: Vec<String> = self
            .members
            .keys()
            .filter(|name| !members.iter().any(|vm| vm.name == **name))
            .cloned()
            .collect();
        for vm in members {
            self.members.insert(vm.name.clone(), vm);
        }
        // A worker that the list no longer names gets no new work; whether its
        // tasks are gone only its own silence tells.
        for name in gone {
            if let Some(vm) = self.members.get_mut(&name) {
                vm.leaving = true;
            }
        }
        self.apply(Command::Workers(self.worker_specs()));
        self.reopen_workers();
    }

    /// A worker is open again when neither the list nor itself says that it is
    /// leaving.
    fn reopen_workers(&mut self) {
        let Phase::Owning(owning) = &self.phase else {
            return;
        };
        let reopened: Vec<String> = owning
            .cell
            .fleet()
            .workers()
            .filter(|(_, worker)| worker.health == WorkerHealth::Leaving)
            .filter(|(_, worker)| !self.says_leaving.contains(&worker.name))
            .filter(|(_, worker)| self.members.get(&worker.name).is_some_and(|vm| !vm.leaving))
            .map(|(_, worker)| worker.name.clone())
            .collect();
        for name in reopened {
            self.apply(Command::WorkerReturned(name));
        }
    }

    fn worker_specs(&self) -> Vec<WorkerSpec> {
        self.members
            .values()
            .filter(|vm| vm.kind == VmKind::Worker)
            .map(|vm| WorkerSpec {
                name: vm.name.clone(),
                rack: vm.rack.clone(),
                accelerators: vm.accelerators,
                leaving: vm.leaving,
            })
            .collect()
    }

    fn worker_news(&mut self, worker: &str, news: WorkerNews) {
        match news {
            WorkerNews::Changes(changes) => {
                for change in changes {
                    let report = MemberReport {
                        attempt: change.attempt,
                        worker: worker.to_owned(),
                        event: outbox::event_of(change.state),
                    };
                    self.apply(Command::Member(report));
                }
            }
            WorkerNews::Silent { silent_ms } => {
                let over_ms = self.settings.worker_lease_ms + self.settings.worker_margin_ms;
                if silent_ms >= over_ms && self.health_of(worker) != Some(WorkerHealth::Lost) {
                    events::log(events::WORKER_LOST, format_args!("{worker}"));
                    self.apply(Command::WorkerLost(worker.to_owned()));
                }
            }
            WorkerNews::Seen {
                incarnation,
                leaving,
            } => self.worker_seen(worker, incarnation, leaving),
        }
    }

    fn worker_seen(&mut self, worker: &str, incarnation: u64, leaving: bool) {
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        let known = owning.incarnations.insert(worker.to_owned(), incarnation);
        match known {
            Some(known) if known != incarnation => {
                self.apply(Command::WorkerRestarted(worker.to_owned()));
            }
            Some(_) => {}
            // A new owner cannot tell whether the worker restarted since it
            // inspected it: tasks that it believes running are asked for again.
            None => self.apply(Command::Reinspect(worker.to_owned())),
        }
        if self.health_of(worker) == Some(WorkerHealth::Lost) {
            events::log(events::WORKER_BACK, format_args!("{worker}"));
            self.apply(Command::WorkerReturned(worker.to_owned()));
        }
        if !leaving {
            self.says_leaving.remove(worker);
            return self.reopen_workers();
        }
        if self.says_leaving.insert(worker.to_owned()) {
            events::log(events::WORKER_LEAVING, format_args!("{worker}"));
        }
        self.apply(Command::WorkerLeaving(worker.to_owned()));
    }

    fn health_of(&self, worker: &str) -> Option<WorkerHealth> {
        let fleet = self.cell()?.fleet();
        fleet.find(worker).map(|key| fleet.worker(key).health)
    }

    fn worker_answered(
        &mut self,
        call: CallId,
        result: Result<crate::platform::WorkerAnswer, crate::platform::WorkerFailure>,
    ) {
        let now_ms = self.now_ms;
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        let Some(outgoing) = owning.outbox.take(call) else {
            metrics::counter!("fuchsiaslip_late_answers_total", "from" => "worker").increment(1);
            return;
        };
        let worker = outgoing.worker.clone();
        let attempt = outbox::attempt_of(&outgoing.call);
        let meaning = match result {
            Ok(answer) => owning.outbox.answered(&outgoing, answer, now_ms),
            Err(_) => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => "worker_silent")
                    .increment(1);
                match still_wanted(&owning.cell, &outgoing) {
                    true => owning.outbox.silent(outgoing, now_ms),
                    false => Meaning::Nothing,
                }
            }
        };
        if let (Meaning::News(event), Some(attempt)) = (meaning, attempt) {
            self.apply(Command::Member(MemberReport {
                attempt,
                worker,
                event,
            }));
        }
    }

    /// Lets the core decide and sorts what it wants done.
    fn apply(&mut self, command: Command) {
        let now_ms = self.now_ms;
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        for effect in owning.cell.apply(command, now_ms) {
            let Phase::Owning(owning) = &mut self.phase else {
                return;
            };
            if let Effect::Persist(change) = effect {
                owning.journal.push(change);
            } else if effect.is_gated() {
                owning.gated.push_back((owning.journal.pushed(), effect));
            } else {
                self.carry_out(effect);
            }
        }
    }

    /// Carries out the effects whose changes have become durable.
    fn release_gated(&mut self) {
        loop {
            let Phase::Owning(owning) = &mut self.phase else {
                return;
            };
            let durable = owning.journal.durable();
            match owning.gated.front() {
                Some((needed, _)) if *needed <= durable => {}
                _ => return,
            }
            if let Some((_, effect)) = owning.gated.pop_front() {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let epoch = self.epoch().unwrap_or(0);
        let expires_ms = self.settings.reservation_ms;
        match effect {
            Effect::Persist(_) => {}
            Effect::Reserve {
                attempt,
                worker,
                mask,
            } => self.send(
                worker,
                WorkerCall::Reserve {
                    epoch,
                    attempt,
                    mask,
                    expires_ms,
                },
            ),
            Effect::Start {
                attempt,
                worker,
                progress_ms,
                payload,
            } => self.send(
                worker,
                WorkerCall::Start {
                    epoch,
                    attempt,
                    progress_ms,
                    payload,
                },
            ),
            Effect::Stop {
                attempt,
                worker,
                grace_ms,
            } => self.send(
                worker,
                WorkerCall::Stop {
                    epoch,
                    attempt,
                    grace_ms,
                },
            ),
            Effect::Inspect { attempt, worker } => {
                self.send(worker, WorkerCall::Inspect { epoch, attempt });
            }
            Effect::Accepted { token, job } => {
                metrics::counter!("fuchsiaslip_accepted_total").increment(1);
                self.reply(token, Reply::Accepted(job));
            }
            Effect::Cancelled { token, count } => self.reply(token, Reply::Cancelled(count)),
            Effect::Refused { token, refusal } => self.reply(token, Reply::Refused(refusal)),
            Effect::Retried { reason, .. } => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => reason.name())
                    .increment(1);
            }
            Effect::Ended { job, outcome } => self.job_ended(job, outcome.code),
            Effect::Quarantined { worker } => {
                let name = self
                    .cell()
                    .map(|cell| cell.fleet().worker(worker).name.clone());
                events::log(
                    events::WORKER_QUARANTINED,
                    format_args!("{}", name.unwrap_or_default()),
                );
            }
            Effect::Shortfall { account, missing } => {
                events::log(
                    events::GUARANTEE_SHORT,
                    format_args!("{account}: {missing} shapes"),
                );
                metrics::counter!("fuchsiaslip_guarantee_shortfalls_total").increment(1);
            }
        }
    }

    fn job_ended(&mut self, job: JobId, code: OutcomeCode) {
        metrics::counter!("fuchsiaslip_ended_total", "outcome" => code.name()).increment(1);
        if code == OutcomeCode::UnableToRun {
            events::log(events::JOB_UNABLE, format_args!("job {job}"));
        }
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        for token in owning.waiters.remove(&job).unwrap_or_default() {
            let reply = self.ended_reply(job);
            self.reply(token, reply);
        }
    }

    fn send(&mut self, worker: crate::core::WorkerKey, call: WorkerCall) {
        let now_ms = self.now_ms;
        if let Phase::Owning(owning) = &mut self.phase {
            let name = owning.cell.fleet().worker(worker).name.clone();
            owning.outbox.push(&name, call, now_ms);
        }
    }

    fn send_due(&mut self) {
        loop {
            let now_ms = self.now_ms;
            let Phase::Owning(owning) = &mut self.phase else {
                return;
            };
            let Some(outgoing) = owning.outbox.take_due(now_ms) else {
                return;
            };
            if !still_wanted(&owning.cell, &outgoing) {
                continue;
            }
            self.next_call += 1;
            let call = CallId(self.next_call);
            let address = self.members.get(&outgoing.worker);
            self.actions.push(Action::Worker {
                call,
                worker: outgoing.worker.clone(),
                address: address.map_or_else(String::new, |vm| vm.address.clone()),
                request: outgoing.call.clone(),
            });
            owning.outbox.sent(call, outgoing);
        }
    }
}

/// Whether a call still serves the attempt that it was made for. A stop is
/// always wanted: an attempt that is over must not go on.
fn still_wanted(cell: &Cell, outgoing: &outbox::Outgoing) -> bool {
    use crate::core::JobState;
    let Some(attempt) = outbox::attempt_of(&outgoing.call) else {
        return false;
    };
    let fleet = cell.fleet();
    let lost = fleet
        .find(&outgoing.worker)
        .is_none_or(|key| fleet.worker(key).health == WorkerHealth::Lost);
    let state = cell
        .job(attempt.job)
        .filter(|job| job.attempt == attempt.attempt)
        .map(|job| job.state);
    match outgoing.call {
        WorkerCall::Reserve { .. } => state == Some(JobState::Reserving),
        WorkerCall::Start { .. } => state == Some(JobState::Starting),
        WorkerCall::Inspect { .. } => {
            matches!(state, Some(JobState::Recovering | JobState::Running))
        }
        WorkerCall::Stop { .. } => !lost,
        WorkerCall::Poll { .. } => false,
    }
}

fn refused(reason: RefusalReason, retry_after_ms: u64) -> Reply {
    Reply::Refused(Refusal {
        reason,
        retry_after_ms,
    })
}

fn count_refusal(refusal: &Refusal) {
    metrics::counter!("fuchsiaslip_refusals_total", "reason" => refusal.reason.name()).increment(1);
}
