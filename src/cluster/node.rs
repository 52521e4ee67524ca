//! State that the tasks of a daemon share on its traffic thread.

use super::carrier_routes::CarrierRoutes;
use super::control::{
    Command,
    Control, //
};
use super::counted_crashes::CountedCrashes;
use super::election::{
    Candidate,
    ElectionView,
    KnownOwner,
    OwnerStatus,
    effective_heartbeat_ms, //
};
use super::emptying::EmptyingOrders;
use super::invalid_values::{
    InvalidReason,
    InvalidValueReporter, //
    StoredKind,
};
use super::job_room::JobRoom;
use super::kept_learned::KeptLearned;
use super::peer_connections::Peers;
use super::peer_frame::CrashMessage;
use super::peer_table::{
    Peer,
    PeerTable, //
};
use super::pending_writes::PendingWrites;
use super::settings::ClusterSettings;
use super::store_calls::StoreCalls;
use super::store_types::StoredItem;
use super::supervision::Failure;
use super::tombstone_limits::TombstoneCounts;
use super::unknown_outcomes::UnknownOutcomes;
use crate::core::JobId;
use crate::events;
use crate::platform::{
    MachineClient,
    StoreClient,
    WorkerClient, //
};
use crate::scheduler::{
    ClusterConfiguration,
    CountedCrash,
    Input, //
};
use crate::timer::Timer;
use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// Shortest wait of a watch of the operators' values. Only its time-out shows a connection that
/// broke without a reset.
const MIN_OPERATOR_WATCH_WAIT_MS: u64 = 900;
/// Longest wait of such a watch. In a fleet of hundreds they are most of the calls to the store.
const MAX_OPERATOR_WATCH_WAIT_MS: u64 = 2_000;
/// Number of such waits within the bound of the operators' values: those of a broken connection
/// and of the next one fit into it.
const WATCHES_PER_BOUND: u64 = 3;
/// Age of the last confirmation from which the configuration counts as stale, in addition to the
/// wait of a watch.
const CONFIGURATION_MAX_DELAY_MS: u64 = 1_600;

/// How long a newer version may be missing from the store before it is fetched from a
/// peer. This is less than half of the time within which a version has to be in
/// force.
const CONFIGURATION_LAG_MS: u64 = 700;

/// State that the tasks of a daemon share.
pub struct Node {
    /// The daemon's settings.
    pub settings: ClusterSettings,
    /// The clock and its timers.
    pub timer: Timer,
    /// The client of the store.
    pub store: StoreClient,
    /// The client of the workers.
    pub workers: WorkerClient,
    /// The client of the platform's machine list, if the platform has one.
    pub machines: Option<MachineClient>,
    /// The handle to the control thread.
    pub control: Control,
    /// Connections to other daemons.
    pub peers: Peers,
    /// Changes that the owner has yet to commit to the store.
    pub pending_writes: PendingWrites,
    /// The incarnation of this process.
    pub boot: u64,
    /// When this process started.
    pub started_ms: u64,
    /// Number of client requests in progress, also of those that did not arrive whole.
    pub requests: Cell<usize>,
    /// The owner's memory for jobs.
    pub job_room: RefCell<JobRoom>,
    /// Number of client requests that arrived whole and are being served.
    pub whole_requests: Cell<usize>,
    configuration: RefCell<Arc<ClusterConfiguration>>,
    configuration_checked_ms: Cell<u64>,
    emptying_orders: RefCell<EmptyingOrders>,
    pub(super) peer_table: RefCell<PeerTable>,
    owner: RefCell<Option<KnownOwner>>,
    owner_claimed_ms: Cell<u64>,
    epoch: Cell<u64>,
    takes_over: Cell<bool>,
    heartbeat_requested: Notify,
    confirmation_requested: Notify,
    root_revision: Cell<u64>,
    /// When the last request was sent that confirmed the epoch of this daemon as the owner.
    epoch_confirmed_ms: Cell<u64>,
    pub(super) unknown_outcomes: RefCell<UnknownOutcomes>,
    pub(super) tombstone_counts: RefCell<TombstoneCounts>,
    pub(super) counted_crashes: RefCell<CountedCrashes>,
    pub(super) kept_learned: RefCell<KeptLearned>,
    /// Daemons that keep what owners have learned, with their incarnations.
    pub(super) learned_receivers: RefCell<BTreeMap<String, u64>>,
    pub(super) carrier_routes: RefCell<CarrierRoutes>,
    pub(super) store_calls: StoreCalls,
    draining: Cell<bool>,
    pub(super) failure: Cell<Option<Failure>>,
    configuration_behind_since_ms: Cell<Option<u64>>,
    fetching_configuration: Cell<bool>,
    invalid_values: RefCell<InvalidValueReporter>,
    unreadable_jobs: RefCell<BTreeSet<JobId>>,
    set_aside_jobs: RefCell<BTreeSet<JobId>>,
}

impl Node {
    /// Creates the shared state of a daemon that is not the owner.
    pub fn open(
        settings: ClusterSettings,
        timer: Timer,
        store: StoreClient,
        workers: WorkerClient,
        machines: Option<MachineClient>,
        control: Control,
        boot: u64,
    ) -> Rc<Self> {
        let started_ms = timer.now_ms();
        Rc::new(Self {
            peers: Peers::open(timer.clone()),
            pending_writes: PendingWrites::default(),
            job_room: RefCell::new(JobRoom::of_machine(settings.memory_bytes)),
            settings,
            store,
            workers,
            machines,
            control,
            boot,
            started_ms,
            requests: Cell::new(0),
            whole_requests: Cell::new(0),
            configuration: RefCell::default(),
            configuration_checked_ms: Cell::new(0),
            emptying_orders: RefCell::default(),
            peer_table: RefCell::default(),
            owner: RefCell::default(),
            owner_claimed_ms: Cell::new(0),
            epoch: Cell::new(0),
            takes_over: Cell::new(false),
            heartbeat_requested: Notify::new(),
            confirmation_requested: Notify::new(),
            root_revision: Cell::new(0),
            epoch_confirmed_ms: Cell::new(0),
            unknown_outcomes: RefCell::default(),
            tombstone_counts: RefCell::default(),
            counted_crashes: RefCell::default(),
            kept_learned: RefCell::default(),
            learned_receivers: RefCell::default(),
            carrier_routes: RefCell::default(),
            store_calls: StoreCalls::open(timer.clone()),
            draining: Cell::new(false),
            failure: Cell::new(None),
            configuration_behind_since_ms: Cell::new(None),
            fetching_configuration: Cell::new(false),
            invalid_values: RefCell::default(),
            unreadable_jobs: RefCell::default(),
            set_aside_jobs: RefCell::default(),
            timer,
        })
    }

    /// Milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.timer.now_ms()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<ClusterConfiguration> {
        self.configuration.borrow().clone()
    }

    /// Puts a newer version into force. A version that is not newer is ignored.
    pub fn configure(&self, configuration: ClusterConfiguration) {
        if configuration.version <= self.configuration.borrow().version {
            return;
        }
        events::log(
            events::CONFIGURATION_IN_FORCE,
            format_args!("version {}", configuration.version),
        );
        let configuration = Arc::new(configuration);
        *self.configuration.borrow_mut() = configuration.clone();
        if self.owns() {
            self.control
                .send_input(self.epoch(), Input::Configure(configuration));
        }
    }

    /// Whether to fetch the newer configuration `version` from a peer: either this
    /// daemon cannot reach the store, or the store has not delivered the version for
    /// [`CONFIGURATION_LAG_MS`]. Returns true for one caller at a time, until
    /// [`Self::configuration_fetch_ended`] is called. Fetching without this wait
    /// would send every version twice over the slow links of small VMs.
    pub fn should_fetch_configuration(&self, version: u64) -> bool {
        let now_ms = self.now_ms();
        if version <= self.configuration.borrow().version {
            self.configuration_behind_since_ms.set(None);
            return false;
        }
        let since_ms = self.configuration_behind_since_ms.get().unwrap_or(now_ms);
        self.configuration_behind_since_ms.set(Some(since_ms));
        let overdue = !self.has_store() || now_ms >= since_ms + CONFIGURATION_LAG_MS;
        overdue && !self.fetching_configuration.replace(true)
    }

    /// Records that a fetch started after [`Self::should_fetch_configuration`] has
    /// ended.
    pub fn configuration_fetch_ended(&self) {
        self.fetching_configuration.set(false);
    }

    /// Records that the configuration was just confirmed to be the newest.
    pub fn record_configuration_check(&self) {
        self.configuration_checked_ms.set(self.now_ms());
    }

    /// How long the store may hold a watch of the operators' values open. An owner starts tasks
    /// only while it has read them recently, and this daemon may become the owner.
    pub fn operator_watch_wait_ms(&self) -> u64 {
        let configuration_ms = self.settings.configuration_bound_ms / WATCHES_PER_BOUND;
        let orders_ms = self.settings.tuning.orders_max_age_ms / WATCHES_PER_BOUND;
        match self.owns() {
            true => MIN_OPERATOR_WATCH_WAIT_MS,
            false => configuration_ms
                .min(orders_ms)
                .clamp(MIN_OPERATOR_WATCH_WAIT_MS, MAX_OPERATOR_WATCH_WAIT_MS),
        }
    }

    /// Whether the configuration may be out of date, or none is known.
    pub fn is_configuration_stale(&self) -> bool {
        let max_age_ms = self.operator_watch_wait_ms() + CONFIGURATION_MAX_DELAY_MS;
        self.now_ms() >= self.configuration_checked_ms.get() + max_age_ms
    }

    /// The operators' orders to empty data centres, as far as known.
    pub fn emptying_orders(&self) -> EmptyingOrders {
        self.emptying_orders.borrow().clone()
    }

    /// Applies a change to the known orders to empty data centres.
    pub fn update_emptying_orders(&self, change: impl FnOnce(&mut EmptyingOrders)) {
        change(&mut self.emptying_orders.borrow_mut());
    }

    /// Whether the load balancer may send new connections to this daemon. One that has lost
    /// the store still answers queries and refuses jobs at once, and its peers do no better
    /// unless it is cut off from them.
    pub fn is_ready(&self) -> bool {
        let is_isolated = || self.peer_table.borrow().is_isolated(self.now_ms());
        let confirmed = !self.is_configuration_stale() || !is_isolated();
        let is_working = self.is_responding() && !self.draining.get();
        self.configuration.borrow().version > 0 && confirmed && is_working
    }

    /// Returns the decoded value, or reports an invalid one, once for each revision,
    /// and returns `None`.
    pub fn valid_value<T>(
        &self,
        kind: StoredKind,
        item: &StoredItem,
        decoded: Result<T, impl Into<InvalidReason>>,
    ) -> Option<T> {
        match decoded {
            Ok(value) => Some(value),
            Err(reason) => {
                self.report_invalid(kind, item, &reason.into());
                None
            }
        }
    }

    /// Reports an invalid stored value, once for each revision.
    pub fn report_invalid(&self, kind: StoredKind, item: &StoredItem, reason: &InvalidReason) {
        let now_ms = self.now_ms();
        self.invalid_values
            .borrow_mut()
            .record(kind, item, reason, now_ms);
    }

    /// Records that a stored value of a job cannot be decoded, so that it is read
    /// again until it can be. The caller informs the scheduler.
    pub fn record_unreadable(&self, job: JobId) {
        self.unreadable_jobs.borrow_mut().insert(job);
    }

    /// Records the jobs that this owner has set aside.
    pub fn set_aside(&self, jobs: BTreeSet<JobId>) {
        *self.set_aside_jobs.borrow_mut() = jobs;
    }

    /// Whether this owner has set a job aside.
    pub fn is_set_aside(&self, job: JobId) -> bool {
        self.set_aside_jobs.borrow().contains(&job)
    }

    /// Up to `limit` jobs with a value that cannot be decoded, in order, from `from`
    /// on.
    pub fn unreadable_jobs(&self, from: JobId, limit: usize) -> Vec<JobId> {
        let jobs = self.unreadable_jobs.borrow();
        jobs.range(from..).take(limit).copied().collect()
    }

    /// Records that the values of a job can be decoded now, or are gone.
    pub fn record_readable(&self, job: JobId) {
        self.unreadable_jobs.borrow_mut().remove(&job);
    }

    /// Records a crash that this daemon's scheduler counted. One at the start of a task is
    /// sent to the other daemons at once.
    pub fn record_counted_crash(&self, crash: CountedCrash) {
        let mut crashes = self.counted_crashes.borrow_mut();
        if crash.crash.at_start && crashes.record_own(crash, self.now_ms()) {
            self.request_heartbeat();
        }
    }

    /// Records crashes that an owner counted. If this daemon owns, the sender was replaced
    /// before it had stored them.
    pub fn record_crashes_of_owner(&self, messages: &[CrashMessage]) {
        for crash in messages.iter().map(CountedCrash::from) {
            let mut crashes = self.counted_crashes.borrow_mut();
            if crashes.record(crash, self.now_ms()) && self.owns() {
                self.control
                    .send_input(self.epoch(), Input::CrashCounted(crash));
            }
        }
    }

    /// The crashes that owners counted recently, as inputs of a new owner.
    pub fn counted_crash_inputs(&self) -> Vec<Input> {
        let crashes = self.counted_crashes.borrow().all();
        crashes.into_iter().map(Input::CrashCounted).collect()
    }

    /// The crashes that the next heartbeat carries.
    pub fn take_unsent_crashes(&self) -> Vec<CrashMessage> {
        let crashes = self.counted_crashes.borrow_mut().take_unsent();
        crashes.into_iter().map(CrashMessage::from).collect()
    }

    /// Marks this daemon as draining.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Whether this daemon is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// The epoch under which this daemon is the owner; 0 if it is not.
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Whether this daemon is the owner.
    pub fn owns(&self) -> bool {
        self.epoch() > 0
    }

    /// The revision of the root record with which this daemon took its epoch.
    pub fn root_revision(&self) -> u64 {
        self.root_revision.get()
    }

    /// Makes this daemon the owner under `epoch`, which a request sent at `confirmed_ms` showed.
    pub fn begin_owning(&self, epoch: u64, root_revision: u64, confirmed_ms: u64) {
        self.epoch.set(epoch);
        self.root_revision.set(root_revision);
        self.epoch_confirmed_ms.set(confirmed_ms);
        self.request_heartbeat();
        self.unreadable_jobs.borrow_mut().clear();
        self.learn_owner(KnownOwner {
            epoch,
            name: self.settings.daemon.clone(),
            address: self.settings.peer_address,
            boot: self.boot,
            learned_ms: self.now_ms(),
        });
    }

    /// Records that a request sent at `sent_ms` showed that this daemon owns under `epoch`.
    pub fn record_confirmation(&self, epoch: u64, sent_ms: u64) {
        let confirmed_ms = self.epoch_confirmed_ms.get().max(sent_ms);
        self.epoch_confirmed_ms.set(confirmed_ms);
        self.control
            .send_input(epoch, Input::EpochConfirmed(sent_ms));
    }

    /// Requests that the epoch is confirmed at once.
    pub fn request_confirmation(&self) {
        self.confirmation_requested.notify_one();
    }

    /// Waits until a confirmation of the epoch is requested.
    pub async fn until_confirmation_requested(&self) {
        self.confirmation_requested.notified().await;
    }

    /// Records whether this daemon has taken an epoch and is reading the stored state. The others
    /// wait for it meanwhile only as long as they receive its heartbeats.
    pub fn set_takes_over(&self, takes_over: bool) {
        self.takes_over.set(takes_over);
        if takes_over {
            self.request_heartbeat();
        }
    }

    /// Whether this daemon sends heartbeats as often as an owner does.
    pub fn sends_as_owner(&self) -> bool {
        self.owns() || self.takes_over.get()
    }

    /// Requests that a heartbeat is sent at once.
    pub fn request_heartbeat(&self) {
        self.heartbeat_requested.notify_one();
    }

    /// Waits until a heartbeat is requested.
    pub async fn until_heartbeat_requested(&self) {
        self.heartbeat_requested.notified().await;
    }

    /// Stops owning because this daemon's epoch is no longer valid. `reason` tells
    /// how this was detected and is a label value of `fuchsiaslip_deposed_total`.
    pub fn stop_owning(&self, reason: &'static str) {
        if self.owns() {
            let known = self.owner();
            let (owner_name, owner_epoch) = known
                .as_ref()
                .map_or(("", 0), |owner| (owner.name.as_str(), owner.epoch));
            events::log(
                events::OWNER_FENCED,
                format_args!(
                    "epoch {}, reason {reason}, latest known owner {owner_name} with epoch {owner_epoch}, last confirmed {} ms ago",
                    self.epoch(),
                    self.now_ms().saturating_sub(self.epoch_confirmed_ms.get())
                ),
            );
            self.end_ownership(reason);
        }
    }

    /// Ends this daemon's ownership, as [`Self::stop_owning`] without its line in the log.
    pub(super) fn end_ownership(&self, reason: &'static str) {
        metrics::counter!("fuchsiaslip_deposed_total", "reason" => reason).increment(1);
        self.epoch.set(0);
        self.pending_writes.clear();
        self.control.send(Command::End);
        // The next owner needs them, and a worker has few.
        self.workers.close_connections();
        if let Some(machines) = &self.machines {
            machines.close_connections();
        }
    }

    /// Records an owner. One whose epoch is not higher than the known owner's is
    /// ignored; a higher epoch than this daemon's own ends its ownership.
    pub fn learn_owner(&self, owner: KnownOwner) {
        let known = self.owner.borrow().as_ref().map_or(0, |known| known.epoch);
        if owner.epoch <= known {
            return;
        }
        let superseded = self.owns() && owner.epoch > self.epoch();
        // Set first: `stop_owning` logs the latest known owner.
        *self.owner.borrow_mut() = Some(owner);
        if superseded {
            self.stop_owning("owner_heard");
        }
    }

    /// Records that a daemon claims the ownership under `epoch`. The claim of an epoch
    /// other than the known owner's is ignored.
    pub fn record_owner_claim(&self, epoch: u64) {
        let known = self.owner.borrow().as_ref().map(|owner| owner.epoch);
        if known == Some(epoch) {
            self.owner_claimed_ms.set(self.now_ms());
        }
    }

    /// The owner with the highest epoch known; it may be this daemon.
    pub fn owner(&self) -> Option<KnownOwner> {
        self.owner.borrow().clone()
    }

    /// Records a heartbeat of a peer, or an entry of the member list, which has
    /// `last_heartbeat_ms` 0.
    pub fn record_peer(&self, name: &str, peer: Peer) {
        self.peer_table.borrow_mut().record(name, peer);
    }

    /// Keeps only the peers that the store lists, or that sent a heartbeat recently.
    pub fn keep_listed(&self, listed: &[String]) {
        let now_ms = self.now_ms();
        self.peer_table.borrow_mut().keep_listed(listed, now_ms);
    }

    /// Whether a daemon is known from heartbeats or the member list.
    pub fn knows_peer(&self, name: &str) -> bool {
        self.peer_table.borrow().contains(name)
    }

    /// The other daemons, known from heartbeats or the member list.
    pub fn others(&self) -> Vec<(String, Peer)> {
        self.peer_table.borrow().all()
    }

    /// The number of other daemons.
    pub fn other_count(&self) -> usize {
        self.peer_table.borrow().count()
    }

    /// Whether an incarnation of a daemon has certainly ended, because another one of the
    /// same daemon is known.
    pub fn is_incarnation_over(&self, daemon: &str, boot: u64) -> bool {
        if daemon == self.settings.daemon {
            return boot != self.boot;
        }
        self.peer_table.borrow().is_incarnation_over(daemon, boot)
    }

    /// What this daemon knows when it decides whether to take over.
    pub fn election_view(&self) -> ElectionView {
        let others = self.peer_table.borrow();
        ElectionView {
            own: Candidate {
                name: self.settings.daemon.clone(),
                cpu_millis: self.settings.cpu_millis,
                eligible: self.has_store() && !self.draining.get() && !self.has_failed(),
            },
            started_ms: self.started_ms,
            store_recovered_ms: self.store_calls.recovered_ms(),
            reachable: others.candidates(self.now_ms()),
            listed: others.listed_count(),
            owner: self.owner().map(|owner| self.owner_status(&owner)),
        }
    }

    /// Whether another daemon is known as the owner and has recently sent a heartbeat.
    pub fn is_owner_alive(&self) -> bool {
        let others = self.peer_table.borrow();
        self.owner()
            .is_some_and(|owner| others.is_alive(&owner.name, owner.boot, self.now_ms()))
    }

    /// What this daemon knows of the owner.
    fn owner_status(&self, owner: &KnownOwner) -> OwnerStatus {
        let others = self.peer_table.borrow();
        let peer = others.incarnation(&owner.name, owner.boot);
        let last_heartbeat_ms = peer
            .map_or(0, |peer| peer.last_heartbeat_ms)
            .max(owner.learned_ms);
        let claimed_ms = self.owner_claimed_ms.get().max(owner.learned_ms);
        OwnerStatus {
            name: owner.name.clone(),
            last_heartbeat_ms: effective_heartbeat_ms(last_heartbeat_ms, claimed_ms),
            learned_ms: owner.learned_ms,
            store_lost_since_ms: peer.and_then(|peer| peer.store_lost_since_ms),
            draining: peer.is_some_and(|peer| peer.draining),
            failed_since_ms: peer.and_then(|peer| peer.failed_since_ms),
            incarnation_over: !self.owns() && self.is_incarnation_over(&owner.name, owner.boot),
        }
    }
}
