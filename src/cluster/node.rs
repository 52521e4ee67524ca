//! What the parts of a daemon share on its traffic thread.

use super::control::{
    Command,
    Control, //
};
use super::election::{
    Candidate,
    ElectionView,
    OwnerStatus,
    owner_heard_ms, //
};
use super::emptying::EmptyingOrders;
use super::invalid_values::{
    InvalidReason,
    InvalidValueReporter, //
    StoredKind,
};
use super::peer_connections::Peers;
use super::peer_table::{
    Peer,
    PeerTable, //
};
use super::pending_writes::PendingWrites;
use super::settings::ClusterSettings;
use super::store_calls::StoreCalls;
use super::store_types::{
    StoreError,
    StoredItem, //
};
use crate::core::JobId;
use crate::events;
use crate::platform::{
    MachineClient,
    StoreClient,
    WorkerClient, //
};
use crate::scheduler::{
    ClusterConfiguration,
    Input, //
};
use crate::timer::Timer;
use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// A configuration that nobody confirmed for this long may be out of date.
const CONFIGURATION_DOUBT_MS: u64 = 2_500;

/// A version that the store has not brought for this long is asked of a peer:
/// less than half of the time in which it has to be in force.
const BEHIND_MS: u64 = 700;

/// The owner, as far as known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownOwner {
    /// Its epoch.
    pub epoch: u64,
    /// Its name.
    pub name: String,
    /// Where it is called.
    pub address: SocketAddr,
    /// The life of its process.
    pub boot: u64,
    /// When this daemon learned of it.
    pub since_ms: u64,
}

/// What the parts of a daemon share.
pub struct Node {
    /// Settings.
    pub settings: ClusterSettings,
    /// The clock.
    pub timer: Timer,
    /// The store.
    pub store: StoreClient,
    /// The workers.
    pub workers: WorkerClient,
    /// The platform's machines.
    pub machines: Option<MachineClient>,
    /// The control thread.
    pub control: Control,
    /// Connections to other daemons.
    pub peers: Peers,
    /// What the owner stores.
    pub pending_writes: PendingWrites,
    /// The life of this process.
    pub boot: u64,
    /// When it started.
    pub started_ms: u64,
    /// Requests being answered.
    pub requests: Cell<usize>,
    configuration: RefCell<Arc<ClusterConfiguration>>,
    configuration_checked_ms: Cell<u64>,
    emptying: RefCell<EmptyingOrders>,
    others: RefCell<PeerTable>,
    owner: RefCell<Option<KnownOwner>>,
    owner_said_ms: Cell<u64>,
    epoch: Cell<u64>,
    owning_began: Notify,
    root_revision: Cell<u64>,
    store_calls: StoreCalls,
    draining: Cell<bool>,
    behind_since_ms: Cell<Option<u64>>,
    fetching: Cell<bool>,
    unused: RefCell<InvalidValueReporter>,
    unreadable_jobs: RefCell<BTreeSet<JobId>>,
}

impl Node {
    /// Puts the parts together.
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
            settings,
            store,
            workers,
            machines,
            control,
            boot,
            started_ms,
            requests: Cell::new(0),
            configuration: RefCell::default(),
            configuration_checked_ms: Cell::new(0),
            emptying: RefCell::default(),
            others: RefCell::default(),
            owner: RefCell::default(),
            owner_said_ms: Cell::new(0),
            epoch: Cell::new(0),
            owning_began: Notify::new(),
            root_revision: Cell::new(0),
            store_calls: StoreCalls::open(timer.clone()),
            draining: Cell::new(false),
            behind_since_ms: Cell::new(None),
            fetching: Cell::new(false),
            unused: RefCell::default(),
            unreadable_jobs: RefCell::default(),
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

    /// Brings a newer version into force; an older one changes nothing.
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

    /// Whether a peer has to be asked for its newer configuration: the store
    /// has not brought it for a while, and no peer is being asked. Asking at
    /// once would carry every version twice over the links of small VMs.
    pub fn lags_behind(&self, version: u64) -> bool {
        let now_ms = self.now_ms();
        if version <= self.configuration.borrow().version {
            self.behind_since_ms.set(None);
            return false;
        }
        let since_ms = self.behind_since_ms.get().unwrap_or(now_ms);
        self.behind_since_ms.set(Some(since_ms));
        let lost = !self.has_store() || now_ms >= since_ms + BEHIND_MS;
        lost && !self.fetching.replace(true)
    }

    /// A peer was asked for its configuration.
    pub fn fetched(&self) {
        self.fetching.set(false);
    }

    /// The configuration was just found to be the newest.
    pub fn configuration_checked(&self) {
        self.configuration_checked_ms.set(self.now_ms());
    }

    /// Whether the configuration may be out of date, or none is known.
    pub fn doubts_configuration(&self) -> bool {
        self.now_ms() >= self.configuration_checked_ms.get() + CONFIGURATION_DOUBT_MS
    }

    /// The operators' orders to empty data centres, as far as known.
    pub fn emptying(&self) -> EmptyingOrders {
        self.emptying.borrow().clone()
    }

    /// Changes what is known of them.
    pub fn change_emptying(&self, change: impl FnOnce(&mut EmptyingOrders)) {
        change(&mut self.emptying.borrow_mut());
    }

    /// Whether the balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let confirmed = !self.doubts_configuration() || self.eligible_peer().is_some();
        self.configuration.borrow().version > 0 && confirmed && !self.draining.get()
    }

    /// Records whether a call to the store was answered.
    pub fn record_store_outcome(&self, well: bool) {
        self.store_calls.record_outcome(well);
    }

    /// Makes a call to the store for a client's request and records its outcome.
    pub async fn call_store<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.store_calls.call_store(call).await
    }

    /// Waits for a call, and abandons it if the store turns out to have been down since
    /// it was made: such a call is never answered.
    pub async fn abandon_after_outage<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.store_calls.abandon_after_outage(call).await
    }

    /// Whether a sign of life of the store is missing.
    pub fn is_store_overdue(&self) -> bool {
        self.store_calls.is_overdue()
    }

    /// How long to wait for the store before a call is made again.
    pub fn store_timeout_ms(&self) -> u64 {
        self.store_calls.answer_timeout_ms()
    }

    /// Whether the store answers this daemon.
    pub fn has_store(&self) -> bool {
        self.store_calls.has_store()
    }

    /// Whether what a client sends can be stored now.
    pub fn accepts_jobs(&self) -> bool {
        self.store_calls.accepts_jobs()
    }

    /// The decoded value; `None` for one that is invalid, which is reported once.
    pub fn valid_value<T>(
        &self,
        kind: StoredKind,
        item: &StoredItem,
        read: Result<T, impl Into<InvalidReason>>,
    ) -> Option<T> {
        match read {
            Ok(value) => Some(value),
            Err(why) => {
                self.report_invalid(kind, item, &why.into());
                None
            }
        }
    }

    /// Reports an invalid stored value, once for each revision.
    pub fn report_invalid(&self, kind: StoredKind, item: &StoredItem, why: &InvalidReason) {
        let now_ms = self.now_ms();
        self.unused.borrow_mut().note(kind, item, why, now_ms);
    }

    /// A stored value of a job cannot be decoded: it is read again until it can be.
    /// Whoever found it tells the scheduler.
    pub fn note_unreadable(&self, job: JobId) {
        self.unreadable_jobs.borrow_mut().insert(job);
    }

    /// Jobs with a value that cannot be decoded, from `from` on.
    pub fn unreadable_jobs(&self, from: JobId, most: usize) -> Vec<JobId> {
        let jobs = self.unreadable_jobs.borrow();
        jobs.range(from..).take(most).copied().collect()
    }

    /// The values of a job can be decoded now, or are gone.
    pub fn job_readable(&self, job: JobId) {
        self.unreadable_jobs.borrow_mut().remove(&job);
    }

    /// Begins to drain.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Whether this daemon is ending.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// The epoch under which this daemon owns; 0 for none.
    pub fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    /// Whether this daemon owns.
    pub fn owns(&self) -> bool {
        self.epoch() > 0
    }

    /// The revision of the root since which this daemon owns.
    pub fn root_revision(&self) -> u64 {
        self.root_revision.get()
    }

    /// Begins to own.
    pub fn begin_owning(&self, epoch: u64, root_revision: u64) {
        self.epoch.set(epoch);
        self.root_revision.set(root_revision);
        self.owning_began.notify_one();
        self.unreadable_jobs.borrow_mut().clear();
        self.learn_owner(KnownOwner {
            epoch,
            name: self.settings.daemon.clone(),
            address: self.settings.peer_address,
            boot: self.boot,
            since_ms: self.now_ms(),
        });
    }

    /// Waits until this daemon begins to own.
    pub async fn until_owning(&self) {
        self.owning_began.notified().await;
    }

    /// Stops owning because this daemon's epoch is no longer valid. `reason` tells how this
    /// was detected and is a label value of `fuchsiaslip_deposed_total`.
    pub fn stop_owning(&self, reason: &'static str) {
        if self.owns() {
            let known = self.owner();
            let (owner_name, owner_epoch) = known
                .as_ref()
                .map_or(("", 0), |owner| (owner.name.as_str(), owner.epoch));
            events::log(
                events::OWNER_FENCED,
                format_args!(
                    "epoch {}, reason {reason}, latest known owner {owner_name} with epoch {owner_epoch}",
                    self.epoch()
                ),
            );
            metrics::counter!("fuchsiaslip_deposed_total", "reason" => reason).increment(1);
            self.epoch.set(0);
            self.pending_writes.clear();
            self.control.send(Command::End);
        }
    }

    /// Learns of an owner; one of an older epoch is passed over.
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

    /// A daemon said that it owns under an epoch.
    pub fn owner_said(&self, epoch: u64) {
        let known = self.owner.borrow().as_ref().map(|owner| owner.epoch);
        if known == Some(epoch) {
            self.owner_said_ms.set(self.now_ms());
        }
    }

    /// The owner, if another daemon is it.
    pub fn owner(&self) -> Option<KnownOwner> {
        self.owner.borrow().clone()
    }

    /// Notes a heartbeat, or a listing with `heard_ms` 0.
    pub fn note_peer(&self, name: &str, peer: Peer) {
        self.others.borrow_mut().note(name, peer);
    }

    /// Keeps only the peers that are listed now, or that were heard lately.
    pub fn keep_listed(&self, listed: &[String]) {
        let now_ms = self.now_ms();
        self.others.borrow_mut().keep_listed(listed, now_ms);
    }

    /// The other daemons, heard or listed.
    pub fn others(&self) -> Vec<(String, Peer)> {
        self.others.borrow().all()
    }

    /// How many they are.
    pub fn other_count(&self) -> usize {
        self.others.borrow().count()
    }

    /// Whether an incarnation of a daemon is certainly over: the daemon has a newer one.
    pub fn is_incarnation_over(&self, daemon: &str, boot: u64) -> bool {
        if daemon == self.settings.daemon {
            return boot != self.boot;
        }
        self.others.borrow().is_incarnation_over(daemon, boot)
    }

    /// The address of a live peer that reaches the store and does not drain; the owner's
    /// if it is one.
    pub fn eligible_peer(&self) -> Option<SocketAddr> {
        let owner = self.owner().map(|owner| owner.address);
        self.others.borrow().eligible_peer(owner, self.now_ms())
    }

    /// What this daemon knows for the question whether to take over.
    pub fn election_view(&self) -> ElectionView {
        let others = self.others.borrow();
        ElectionView {
            own: Candidate {
                name: self.settings.daemon.clone(),
                cpu_millis: self.settings.cpu_millis,
                eligible: self.has_store() && !self.draining.get(),
            },
            started_ms: self.started_ms,
            store_recovered_ms: self.store_calls.recovered_ms(),
            heard: others.candidates(self.now_ms()),
            listed: others.listed_count(),
            owner: self.owner().map(|owner| self.owner_status(&owner)),
        }
    }

    /// What is known of the owner.
    fn owner_status(&self, owner: &KnownOwner) -> OwnerStatus {
        let others = self.others.borrow();
        let peer = others.incarnation(&owner.name, owner.boot);
        let heard_ms = peer.map_or(0, |peer| peer.heard_ms).max(owner.since_ms);
        let said_ms = self.owner_said_ms.get().max(owner.since_ms);
        OwnerStatus {
            name: owner.name.clone(),
            heard_ms: owner_heard_ms(heard_ms, said_ms),
            since_ms: owner.since_ms,
            store_lost_since_ms: peer.and_then(|peer| peer.store_lost_since_ms),
            draining: peer.is_some_and(|peer| peer.draining),
            over: !self.owns() && self.is_incarnation_over(&owner.name, owner.boot),
        }
    }
}
