//! The owner's state and the way events change it.

use super::{
    Action,
    CallId,
    Event,
    lease::Lease,
    outbox::Outbox,
    requests::FIRST_REVIEW_OF_REFUSALS,
    requests::RememberedRefusal,
    requests::SubmissionKey, //
};
use crate::backend::{
    StoreCall,
    VmRecord, //
};
use crate::config::Configuration;
use crate::core::{
    Cell,
    Command,
    Effect,
    JobId,
    Limits, //
};
use crate::ledger::Journal;
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet,
    VecDeque, //
};
use std::sync::Arc;

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
pub(super) enum Phase {
    /// Not the owner.
    Idle,
    /// Holds the lease and reads the ledger.
    Opening(Box<Journal>),
    /// The owner.
    Owning(Box<Owning>),
}

/// What only an owner has.
#[derive(Debug)]
pub(super) struct Owning {
    pub(super) journal: Journal,
    pub(super) cell: Cell,
    /// Effects that wait for the change of this number to be durable.
    pub(super) gated: VecDeque<(u64, Effect)>,
    pub(super) outbox: Outbox,
    pub(super) waiters: HashMap<JobId, Vec<u64>>,
    /// Incarnation of each worker that a worker monitor has reported.
    pub(super) incarnations: HashMap<String, u64>,
    pub(super) next_core_tick_ms: u64,
    /// Since when a commit is under way.
    pub(super) commit_since_ms: Option<u64>,
    pub(super) paused: bool,
}

/// The owner of one data centre, or a candidate for it.
#[derive(Debug)]
pub struct Owner {
    pub(super) settings: Settings,
    pub(super) now_ms: u64,
    pub(super) phase: Phase,
    pub(super) lease: Lease,
    pub(super) is_candidate: bool,
    pub(super) draining: bool,
    pub(super) configuration: Option<Arc<Configuration>>,
    pub(super) configuration_confirmed_ms: Option<u64>,
    pub(super) members: BTreeMap<String, VmRecord>,
    pub(super) says_leaving: HashSet<String>,
    pub(super) next_call: u64,
    pub(super) journal_call: Option<CallId>,
    pub(super) lease_call: Option<CallId>,
    pub(super) journal_retry_ms: Option<u64>,
    pub(super) store_failures: u32,
    pub(super) next_write_id: u64,
    /// Submissions refused of late, so that a late copy is not accepted.
    pub(super) refused: HashMap<SubmissionKey, RememberedRefusal>,
    /// Their number at which the old ones are dropped.
    pub(super) review_refused_at: usize,
    pub(super) actions: Vec<Action>,
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
            is_candidate: false,
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
            refused: HashMap::new(),
            review_refused_at: FIRST_REVIEW_OF_REFUSALS,
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
            Event::WorkerUpdate { worker, update } => self.handle_worker_update(&worker, update),
            Event::Configuration(configuration) => self.configured(configuration),
            Event::ConfigurationConfirmed { asked_ms } => {
                let confirmed = self.configuration_confirmed_ms.unwrap_or(0);
                self.configuration_confirmed_ms = Some(confirmed.max(asked_ms));
            }
            Event::Members(members) => self.members_listed(members),
            Event::Candidacy(is_candidate) => self.is_candidate = is_candidate,
            Event::Drain => self.draining = true,
        }
        self.advance();
        std::mem::take(&mut self.actions)
    }

    pub(super) fn tick(&mut self) {
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
    pub(super) fn advance(&mut self) {
        self.keep_lease();
        self.commit();
        self.release_gated();
        self.send_due();
        self.resign_if_drained();
    }

    pub(super) fn next_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(super) fn call_store(&mut self, request: StoreCall) -> CallId {
        let call = self.next_call();
        self.actions.push(Action::Store { call, request });
        call
    }
}
