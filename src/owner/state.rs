//! The owner's state and the dispatch of events.
//!
//! A daemon is idle, reads the ledger as the holder of the lease, or owns the
//! data centre. Only in the last state does it have a decision core.

use super::{
    Action,
    CallId,
    Event,
    lease::Lease,
    outbox::Outbox,
    requests::FIRST_REFUSAL_PURGE,
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

/// Settings of an owner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The data centre.
    pub data_centre: String,
    /// Name of the daemon, unique to each start of the process.
    pub daemon: String,
    /// First of a range of ids of ledger writes that no other process uses.
    pub first_write_id: u64,
    /// Duration of the owner lease.
    pub lease_ttl_ms: u64,
    /// How much earlier than the store the owner treats its lease as expired.
    pub lease_margin_ms: u64,
    /// Duration of a worker's lease: how long its tasks run without a renewal.
    pub worker_lease_ms: u64,
    /// How much longer the owner waits before it treats those tasks as stopped.
    pub worker_margin_ms: u64,
    /// How long a worker keeps a reservation without a start.
    pub reservation_ms: u64,
    /// Maximum time since the configuration was last confirmed to be current. Beyond
    /// it, the owner refuses submissions and places no jobs.
    pub configuration_bound_ms: u64,
    /// How long a commit may take before new submissions are refused.
    pub commit_bound_ms: u64,
    /// Interval at which the core receives [`Command::Tick`].
    pub core_tick_ms: u64,
    /// Limits of the decision core.
    pub limits: Limits,
}

impl Settings {
    /// Returns the daemon's default settings.
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

/// Whether the daemon owns the data centre.
#[derive(Debug)]
pub(super) enum Phase {
    /// Not the owner. May be a candidate.
    Idle,
    /// Holds the lease, reads the ledger and writes its epoch to the root.
    Opening(Box<Journal>),
    /// The owner.
    Owning(Box<Owning>),
}

/// State that exists only while the daemon is the owner.
#[derive(Debug)]
pub(super) struct Owning {
    pub(super) journal: Journal,
    pub(super) cell: Cell,
    /// Effects, each with the number of the change that has to be durable first.
    pub(super) gated: VecDeque<(u64, Effect)>,
    pub(super) outbox: Outbox,
    /// Tokens of the requests that wait for the end of a job.
    pub(super) waiters: HashMap<JobId, Vec<u64>>,
    /// Last incarnation that a worker monitor reported for each worker.
    pub(super) incarnations: HashMap<String, u64>,
    pub(super) next_core_tick_ms: u64,
    /// Start of the commit in progress.
    pub(super) commit_started_ms: Option<u64>,
    /// Whether the core is paused, so that it places no work.
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
    /// VMs of the data centre by name, including those no longer listed.
    pub(super) vms: BTreeMap<String, VmRecord>,
    /// Workers that report that they are leaving.
    pub(super) self_reported_leaving: HashSet<String>,
    pub(super) last_call_id: u64,
    /// The journal's store call in flight.
    pub(super) journal_call: Option<CallId>,
    /// The lease request in flight.
    pub(super) lease_call: Option<CallId>,
    /// When the failed store call of the journal is repeated.
    pub(super) journal_retry_ms: Option<u64>,
    /// Consecutive failures of store calls.
    pub(super) store_failures: u32,
    pub(super) next_write_id: u64,
    /// Recent refusals, kept so that a late copy of the request is not accepted.
    pub(super) recent_refusals: HashMap<SubmissionKey, RememberedRefusal>,
    /// Number of recent refusals at which expired ones are removed.
    pub(super) purge_refusals_at: usize,
    pub(super) actions: Vec<Action>,
}

impl Owner {
    /// Creates an idle owner that is not a candidate yet.
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
            vms: BTreeMap::new(),
            self_reported_leaving: HashSet::new(),
            last_call_id: 0,
            journal_call: None,
            lease_call: None,
            journal_retry_ms: None,
            store_failures: 0,
            recent_refusals: HashMap::new(),
            purge_refusals_at: FIRST_REFUSAL_PURGE,
            actions: Vec::new(),
        }
    }

    /// Whether this daemon owns the data centre, as far as it knows. Another
    /// daemon may have taken over unnoticed.
    pub fn is_owner(&self) -> bool {
        matches!(self.phase, Phase::Owning(_))
    }

    /// The owner's epoch, while this daemon owns the data centre.
    pub fn epoch(&self) -> Option<u64> {
        match &self.phase {
            Phase::Owning(owning) => Some(owning.journal.epoch()),
            _ => None,
        }
    }

    /// The decision core, while this daemon owns the data centre.
    pub fn cell(&self) -> Option<&Cell> {
        match &self.phase {
            Phase::Owning(owning) => Some(&owning.cell),
            _ => None,
        }
    }

    /// Whether the drain is complete: all decisions are durable and the lease is
    /// released.
    pub fn has_handed_over(&self) -> bool {
        self.draining && matches!(self.phase, Phase::Idle) && self.lease_call.is_none()
    }

    /// Handles one event and returns the actions to execute.
    pub fn handle(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        self.now_ms = self.now_ms.max(now_ms);
        match event {
            Event::Tick => self.tick(),
            Event::Request { token, request } => self.handle_request(token, request),
            Event::Store { call, result } => self.handle_store_answer(call, result),
            Event::Worker { call, result } => self.handle_worker_answer(call, result),
            Event::WorkerUpdate { worker, update } => self.handle_worker_update(&worker, update),
            Event::Configuration(configuration) => self.handle_configuration(configuration),
            Event::ConfigurationConfirmed { requested_ms } => {
                let confirmed = self.configuration_confirmed_ms.unwrap_or(0);
                self.configuration_confirmed_ms = Some(confirmed.max(requested_ms));
            }
            Event::Members(members) => self.handle_vm_list(members),
            Event::Candidacy(is_candidate) => self.is_candidate = is_candidate,
            Event::Drain => self.draining = true,
        }
        self.advance();
        std::mem::take(&mut self.actions)
    }

    /// Repeats a failed store call of the journal and sends the core its tick, each
    /// when it is due.
    pub(super) fn tick(&mut self) {
        if self.journal_retry_ms.is_some_and(|at| at <= self.now_ms) {
            self.journal_retry_ms = None;
            match &mut self.phase {
                Phase::Opening(journal) => journal.retry(),
                Phase::Owning(owning) => owning.journal.retry(),
                Phase::Idle => {}
            }
        }
        self.update_pause();
        let core_tick_ms = self.settings.core_tick_ms;
        if let Phase::Owning(owning) = &mut self.phase
            && owning.next_core_tick_ms <= self.now_ms
        {
            owning.next_core_tick_ms = self.now_ms + core_tick_ms;
            self.apply(Command::Tick);
        }
    }

    /// Requests the lease, store and worker calls that are due, executes the effects
    /// whose changes are durable, and resigns once a drain is complete.
    pub(super) fn advance(&mut self) {
        self.renew_lease();
        self.advance_journal();
        self.execute_durable_effects();
        self.send_due();
        self.resign_if_drained();
    }

    pub(super) fn next_call_id(&mut self) -> CallId {
        self.last_call_id += 1;
        CallId(self.last_call_id)
    }

    /// Requests a store call and returns its id.
    pub(super) fn call_store(&mut self, request: StoreCall) -> CallId {
        let call = self.next_call_id();
        self.actions.push(Action::Store { call, request });
        call
    }
}
