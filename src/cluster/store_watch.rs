//! Watches the store for changes and passes them to this daemon and its scheduler.

use super::election::KnownOwner;
use super::emptying;
use super::invalid_values::{
    InvalidReason, //
    StoredKind,
};
use super::node::Node;
use super::peer_table::Peer;
use super::records::{
    JOBS_PREFIX,
    JobKeyKind,
    MEMBERS_PREFIX,
    MemberRecord,
    ROOT_KEY,
    RootRecord,
    decode,
    decode_job_record,
    decode_root,
    encode,
    member_key,
    parse_job_key, //
};
use super::store_health::StoreContact;
use super::store_types::{
    StoreError,
    StoreEvent,
    StoredItem,
    StoredRange,
    Transaction,
    WatchResult, //
};
use super::stored_inputs::{
    wave_inputs,
    wave_order,
    worker_input,
    worker_inputs, //
};
use crate::platform::{
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    WAVE_STATES_PREFIX,
    WAVES_PREFIX,
    WORKERS_PREFIX,
    decode_configuration, //
};
use crate::scheduler::Input;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// How long the store may hold a watch open. It is short because only this time-out
/// reveals a connection that broke without a reset, and a configuration has to be in
/// force within 2 s.
const WATCH_WAIT_MS: u64 = 900;
/// The same for a new owner's watches of the jobs. The scheduler does not start a job
/// that an earlier owner may have started until it knows all jobs that were stored in
/// the first second after the takeover. With [`WATCH_WAIT_MS`], new jobs could wait for
/// that much longer.
const NEW_OWNER_WATCH_WAIT_MS: u64 = 100;
/// How long a new owner uses the shorter wait: that first second and some margin.
const NEW_OWNER_WATCHES_MS: u64 = 1_200;
/// Pause after a watch that returned changes of workers' entries. Each worker writes its entry
/// every few seconds, so that an owner of thousands would make hundreds of calls a second.
const WORKERS_PAUSE_MS: u64 = 100;
/// Wait after a call that failed.
const RETRY_MS: u64 = 100;
/// Duration of the lease of a member's entry. Several renewals may be lost.
const MEMBER_TTL_MS: u64 = 6_000;
/// How often the lease is renewed and, in a small fleet, the member list is read.
const MEMBERS_INTERVAL_MS: u64 = 1_500;
/// Shortest time between two reads of the member list, for each other daemon. Daemons
/// also know each other from heartbeats, and the list of 300 daemons is 45 KB.
const MEMBERS_INTERVAL_PER_DAEMON_MS: u64 = 150;

/// How often the lease is renewed during [`STARTUP_MS`]. While there is no owner yet, only a
/// call of its own shows a daemon that the store does not answer.
const STARTUP_RENEWAL_INTERVAL_MS: u64 = 300;
/// How long after its start a process renews its lease more often.
const STARTUP_MS: u64 = 2_000;

/// Follows the operators' values: the configuration, waves of upkeep, and orders to
/// empty data centres.
pub async fn follow_operator_values(node: Rc<Node>) {
    let mut revision = None;
    let mut wait_ms = node.operator_watch_wait_ms();
    loop {
        let outcome = match revision {
            // Otherwise a read sent during an outage of the store would wait for its own
            // timeout, and the configuration would arrive up to a second late.
            None => node.call_store_held_open(read_operators(&node)).await,
            Some(revision) => {
                let watch = watch_operators(&node, revision, wait_ms);
                node.call_store_held_open(watch).await
            }
        };
        // After a failure the next watch returns at once, even without changes, since
        // an owner starts tasks only while its knowledge of the orders is fresh.
        wait_ms = match outcome.is_ok() {
            true => node.operator_watch_wait_ms(),
            false => 0,
        };
        match outcome {
            Ok(next) => revision = next,
            Err(_) => {
                let delay_ms = node.store_retry_delay_ms(RETRY_MS);
                node.timer.sleep(delay_ms).await;
            }
        }
    }
}

/// Reads all of the operators' values. Returns the store's revision to watch from, or
/// `None` while there is no configuration. The configuration's own revision may be
/// older than the store's history, and a watch from there would start over each time.
async fn read_operators(node: &Node) -> Result<Option<u64>, StoreError> {
    let requested_ms = node.now_ms();
    let range = node.store.range(OPERATOR_PREFIX, false).await?;
    emptying::handle_list(node, &range, requested_ms);
    let mut items = range.items.iter();
    let Some(item) = items.find(|item| item.key == CONFIGURATION_KEY) else {
        node.timer.sleep(RETRY_MS).await;
        return Ok(None);
    };
    handle_configuration(node, item);
    node.record_configuration_check();
    handle_listed_waves(node, &range).await?;
    Ok(Some(range.revision))
}

/// Passes the listed waves that are not completed to the scheduler if this daemon
/// owns. A completed wave that was taken for an open one would empty its machines
/// again.
async fn handle_listed_waves(node: &Node, listed: &StoredRange) -> Result<(), StoreError> {
    let waves = listed.items.iter();
    let waves = waves.filter(|item| item.key.starts_with(WAVES_PREFIX));
    let waves = StoredRange {
        items: waves.cloned().collect(),
        revision: listed.revision,
    };
    if waves.items.is_empty() || !node.owns() {
        return Ok(());
    }
    let epoch = node.epoch();
    let states = node.store.range(WAVE_STATES_PREFIX, false).await?;
    for input in wave_inputs(node, &waves, &states) {
        node.control.send_input(epoch, input);
    }
    Ok(())
}

/// Reads the waves of upkeep again after a takeover. The watch ignores a wave that is
/// written between the reads of the takeover and the moment this daemon becomes the
/// owner.
pub async fn reread_waves(node: Rc<Node>, epoch: u64) {
    while node.epoch() == epoch {
        let read = async {
            let listed = node.store.range(WAVES_PREFIX, false).await?;
            handle_listed_waves(&node, &listed).await
        };
        if node.abandon_after_outage(read).await.is_ok() {
            return;
        }
        node.timer.sleep(RETRY_MS).await;
    }
}

/// Reads the operators' values once, beside the watch. An owner without a
/// configuration starts nothing, and one with an old version may act on outdated
/// settings. The takeover does not wait for this read, since leases expire meanwhile.
pub async fn refresh_configuration(node: Rc<Node>) {
    if let Err(error) = node.abandon_after_outage(read_operators(&node)).await {
        log::debug!("cannot read the configuration at the takeover: {error}");
    }
}

async fn watch_operators(
    node: &Node,
    revision: u64,
    wait_ms: u64,
) -> Result<Option<u64>, StoreError> {
    let requested_ms = node.now_ms();
    let watch = node.store.watch(OPERATOR_PREFIX, revision, wait_ms);
    match watch.await? {
        WatchResult::HistoryGone => Ok(None),
        WatchResult::Changes { events, revision } => {
            // Orders come first, because handling the other values may take long.
            emptying::handle_changes(node, &events, revision, requested_ms);
            for event in &events {
                if let StoreEvent::Put(item) = event {
                    handle_operator_value(node, item);
                }
            }
            node.record_configuration_check();
            Ok(Some(revision))
        }
    }
}

fn handle_operator_value(node: &Node, item: &StoredItem) {
    if item.key == CONFIGURATION_KEY {
        handle_configuration(node, item);
    } else if item.key.starts_with(WAVES_PREFIX) {
        handle_wave(node, item);
    }
}

/// Passes a wave to the scheduler if this daemon owns. A daemon that takes over later
/// reads all waves then.
fn handle_wave(node: &Node, item: &StoredItem) {
    if !node.owns() {
        return;
    }
    if let Some(order) = wave_order(node, item) {
        node.control
            .send_input(node.epoch(), Input::UpkeepWave(order));
    }
}

fn handle_configuration(node: &Node, item: &StoredItem) {
    let decoded = decode_configuration(&item.value);
    if let Some(configuration) = node.valid_value(StoredKind::Configuration, item, decoded) {
        node.configure(configuration);
    }
}

/// Keeps this daemon in the member list, and reads the list.
///
/// A daemon reads the list once after it has registered, and greets all daemons on it with a
/// heartbeat. Of two daemons that start together, the one that registers later finds the other
/// on the list, so both know each other, and hundreds that start at once read the list once
/// each. Later reads only repair what was missed.
pub async fn maintain_membership(node: Rc<Node>) {
    let (mut lease, mut next_list_ms) = (0, 0);
    // Stale reads do not show the daemons that registered just before.
    let mut allow_stale = false;
    loop {
        let mut result = node.call_store(renew_membership(&node, &mut lease)).await;
        let renewed = result.is_ok();
        if renewed && node.now_ms() >= next_list_ms {
            result = read_members(&node, allow_stale).await;
            allow_stale |= result.is_ok();
            let count = node.others().len() as u64;
            next_list_ms = match result {
                Ok(()) => node.now_ms() + count * MEMBERS_INTERVAL_PER_DAEMON_MS,
                Err(_) => 0,
            };
        }
        if result.is_err() {
            metrics::counter!("fuchsiaslip_retries_total", "reason" => "members_unread")
                .increment(1);
        }
        let wait_ms = match result.is_ok() {
            false if renewed => RETRY_MS,
            false => node.store_retry_delay_ms(RETRY_MS),
            true if node.now_ms() < node.started_ms + STARTUP_MS => STARTUP_RENEWAL_INTERVAL_MS,
            true => MEMBERS_INTERVAL_MS,
        };
        node.timer.sleep(wait_ms).await;
    }
}

/// Renews the lease of this daemon's entry. If the lease has expired, writes the entry
/// again under a new one.
async fn renew_membership(node: &Node, lease: &mut u64) -> Result<(), StoreError> {
    if *lease != 0 && !node.store.renew_lease(*lease).await? {
        *lease = 0;
    }
    if *lease == 0 {
        let granted = node.store.grant_lease(MEMBER_TTL_MS).await?;
        let record = MemberRecord {
            address: node.settings.peer_address.to_string(),
        };
        let key = member_key(&node.settings.daemon);
        let transaction = Transaction {
            puts: vec![(key, encode(&record))],
            lease: granted,
            ..Transaction::default()
        };
        node.store.commit(&transaction).await?;
        *lease = granted;
    }
    Ok(())
}

async fn read_members(node: &Node, allow_stale: bool) -> Result<(), StoreError> {
    let members = node.store.range(MEMBERS_PREFIX, allow_stale).await?;
    let mut names = Vec::new();
    for item in &members.items {
        let name = item.key.strip_prefix(MEMBERS_PREFIX).unwrap_or_default();
        let record: Option<MemberRecord> =
            node.valid_value(StoredKind::Member, item, decode(&item.value));
        let address = record.and_then(|record| record.address.parse().ok());
        let Some(address) = address.filter(|_| name != node.settings.daemon) else {
            continue;
        };
        names.push(name.to_owned());
        if !node.knows_peer(name) {
            // After all daemons have started during an outage of the store, they learn of
            // each other from this list alone, and none takes over before it has heard from
            // most of the others.
            node.request_heartbeat();
        }
        node.record_peer(
            name,
            Peer {
                address,
                boot: 0,
                last_heartbeat_ms: 0,
                has_store: true,
                store: StoreContact::default(),
                store_lost_since_ms: None,
                draining: false,
                failed_since_ms: None,
                cpu_millis: 0,
                interval_ms: 0,
                data_centre: String::new(),
                carried_workers: 0,
                listed: true,
            },
        );
    }
    node.keep_listed(&names);
    if node.owner().is_none() {
        let root = node.store.get(ROOT_KEY).await?;
        let root = root
            .and_then(|item| node.valid_value(StoredKind::Root, &item, decode_root(&item.value)));
        learn_owner_from_root(node, &root.unwrap_or_default());
    }
    Ok(())
}

/// Records the owner that the root record names, if its epoch is newer than the known
/// owner's.
pub fn learn_owner_from_root(node: &Node, root: &RootRecord) {
    let known = node.owner().map_or(0, |owner| owner.epoch);
    let Some(address) = root.address.parse().ok().filter(|_| root.epoch > known) else {
        return;
    };
    node.learn_owner(KnownOwner {
        epoch: root.epoch,
        name: root.owner.clone(),
        address,
        boot: root.boot,
        learned_ms: node.now_ms(),
    });
}

/// Follows stored and cancelled jobs while this daemon owns. Other daemons send them
/// to the owner directly as well, but those messages may be lost.
pub async fn follow_jobs(node: Rc<Node>, epoch: u64, from_revision: u64) {
    let began_ms = node.now_ms();
    let mut revision = from_revision;
    while node.epoch() == epoch {
        let sent_ms = node.now_ms();
        let wait_ms = match sent_ms < began_ms + NEW_OWNER_WATCHES_MS {
            true => NEW_OWNER_WATCH_WAIT_MS,
            false => WATCH_WAIT_MS,
        };
        let watch = node.store.watch(JOBS_PREFIX, revision, wait_ms);
        let watched = node.abandon_after_outage(watch).await;
        let events = match watched {
            Ok(WatchResult::Changes {
                events,
                revision: next,
            }) => {
                revision = next;
                events
            }
            Ok(WatchResult::HistoryGone) => match node.store.range(JOBS_PREFIX, false).await {
                Ok(range) => {
                    revision = range.revision;
                    range.items.into_iter().map(StoreEvent::Put).collect()
                }
                Err(_) => {
                    node.timer.sleep(RETRY_MS).await;
                    continue;
                }
            },
            Err(_) => {
                node.timer.sleep(RETRY_MS).await;
                continue;
            }
        };
        for event in events {
            if let StoreEvent::Put(item) = event {
                handle_job_value(&node, epoch, &item);
            }
        }
        node.control.send_input(epoch, Input::JobsRead { sent_ms });
    }
}

/// Passes a value under the prefix of the jobs to the scheduler.
fn handle_job_value(node: &Node, epoch: u64, item: &StoredItem) {
    match parse_job_key(&item.key) {
        Some(JobKeyKind::Job(id)) => {
            let decoded = decode_job_record(&item.value);
            let input = match node.valid_value(StoredKind::Job, item, decoded) {
                Some(record) => Input::JobStored {
                    id,
                    record: Arc::new(record),
                    progress: None,
                },
                None => {
                    node.record_unreadable(id);
                    Input::JobUnreadable(id)
                }
            };
            node.control.send_input(epoch, input);
        }
        Some(JobKeyKind::Cancelled(id)) => node.control.send_input(epoch, Input::JobCancelled(id)),
        None => node.report_invalid(StoredKind::Job, item, &InvalidReason::because("bad_name")),
    }
}

/// Follows the workers' registrations while this daemon owns.
pub async fn follow_workers(node: Rc<Node>, epoch: u64, range: StoredRange) {
    let mut revision = range.revision;
    let mut known: BTreeSet<String> = range.items.into_iter().map(|item| item.key).collect();
    while node.epoch() == epoch {
        let sent_ms = node.now_ms();
        let entries_read = Input::EntriesRead { sent_ms };
        let watch = node.store.watch(WORKERS_PREFIX, revision, WATCH_WAIT_MS);
        let watched = node.abandon_after_outage(watch).await;
        match watched {
            Ok(WatchResult::Changes {
                events,
                revision: next,
            }) => {
                revision = next;
                let is_changed = !events.is_empty();
                for event in events {
                    handle_worker_event(&node, epoch, event, &mut known);
                }
                node.control.send_input(epoch, entries_read);
                if is_changed {
                    node.timer.sleep(WORKERS_PAUSE_MS).await;
                }
            }
            Ok(WatchResult::HistoryGone) => match node.store.range(WORKERS_PREFIX, false).await {
                Ok(range) => {
                    revision = range.revision;
                    handle_worker_list(&node, epoch, &range, &mut known);
                    node.control.send_input(epoch, entries_read);
                }
                Err(_) => {
                    node.timer.sleep(RETRY_MS).await;
                }
            },
            Err(_) => {
                node.timer.sleep(RETRY_MS).await;
            }
        }
    }
}

fn handle_worker_event(node: &Node, epoch: u64, event: StoreEvent, known: &mut BTreeSet<String>) {
    match event {
        StoreEvent::Put(item) => {
            if let Some(input) = worker_input(node, &item) {
                node.control.send_input(epoch, input);
            }
            known.insert(item.key);
        }
        StoreEvent::Removed { key, .. } => {
            known.remove(&key);
            report_unlisted(node, epoch, &key);
        }
    }
}

fn handle_worker_list(node: &Node, epoch: u64, range: &StoredRange, known: &mut BTreeSet<String>) {
    for input in worker_inputs(node, range) {
        node.control.send_input(epoch, input);
    }
    let listed: BTreeSet<String> = range.items.iter().map(|item| item.key.clone()).collect();
    for key in known.difference(&listed) {
        report_unlisted(node, epoch, key);
    }
    *known = listed;
}

fn report_unlisted(node: &Node, epoch: u64, key: &str) {
    if let Some(worker_name) = key.strip_prefix(WORKERS_PREFIX) {
        let input = Input::WorkerUnlisted(worker_name.to_owned());
        node.control.send_input(epoch, input);
    }
}
