//! Watches the store for changes.

use super::emptying;
use super::invalid_values::{
    InvalidReason, //
    StoredKind,
};
use super::node::{
    KnownOwner,
    Node, //
};
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
    read_job_key, //
};
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

/// Wait of a watch. Short: a connection that went silent without a reset shows
/// only by this time-out, and a version has to be in force within 2 s.
const WATCH_WAIT_MS: u64 = 900;
/// Wait of a new owner's watches of the jobs. The scheduler holds a job back that
/// an earlier owner may have started until it is read which jobs were stored in
/// the first second; the usual wait would hold new jobs up for as long.
const FIRST_WATCH_WAIT_MS: u64 = 100;
/// For how long they wait so: that second, and one such wait more.
const FIRST_WATCHES_MS: u64 = 1_200;
/// Wait after a call that failed.
const AGAIN_MS: u64 = 100;
/// Length of a member's lease: several renewals may be lost.
const MEMBER_TTL_MS: u64 = 6_000;
/// How often the lease is renewed and, in a small fleet, the list of members
/// read.
const MEMBERS_MS: u64 = 1_500;
/// The list of a larger fleet is read once in so much for each daemon: daemons
/// also hear of each other by heartbeats, and the list of 300 is 45 KB.
const MEMBERS_PER_DAEMON_MS: u64 = 150;
/// How often the list is read in the first moments of a process.
const FIRST_MEMBERS_MS: u64 = 300;
/// How long those last.
const FIRST_MS: u64 = 2_000;

/// Follows what the operators write: the configuration, waves of upkeep, and
/// orders to empty data centres.
pub async fn operators(node: Rc<Node>) {
    let mut revision = None;
    let mut wait_ms = WATCH_WAIT_MS;
    loop {
        let step = match revision {
            // Sent into a silence of the store, the read would wait for its own
            // limit: daemons had no configuration for a second after the others.
            None => node.abandon_after_outage(read_operators(&node)).await,
            Some(revision) => {
                let watch = watch_operators(&node, revision, wait_ms);
                node.abandon_after_outage(watch).await
            }
        };
        node.record_store_outcome(step.is_ok());
        // After a failure the next watch does not wait for news: an owner gives
        // starts only while it is certain of the orders.
        wait_ms = if step.is_ok() { WATCH_WAIT_MS } else { 0 };
        match step {
            Ok(next) => revision = next,
            Err(_) => {
                node.timer.sleep(AGAIN_MS).await;
            }
        }
    }
}

/// Reads everything. Returns the revision to watch from, that of the store: the
/// configuration's own may be older than the history, and a watch from there would
/// bring the same again and again. `None` while there is no configuration.
async fn read_operators(node: &Node) -> Result<Option<u64>, StoreError> {
    let asked_ms = node.now_ms();
    let range = node.store.range(OPERATOR_PREFIX, false).await?;
    emptying::take_list(node, &range, asked_ms);
    let mut items = range.items.iter();
    let Some(item) = items.find(|item| item.key == CONFIGURATION_KEY) else {
        node.timer.sleep(AGAIN_MS).await;
        return Ok(None);
    };
    take_configuration(node, item);
    node.configuration_checked();
    take_listed_waves(node, &range).await?;
    Ok(Some(range.revision))
}

/// Tells the owner of listed waves that are not completed: taken for open again, one
/// would have its machines emptied a second time.
async fn take_listed_waves(node: &Node, listed: &StoredRange) -> Result<(), StoreError> {
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

/// Reads the waves of upkeep once this daemon owns: one that was written between the
/// reads of its takeover and its beginning to own was passed over by its watch.
pub async fn waves(node: Rc<Node>, epoch: u64) {
    while node.epoch() == epoch {
        let read = async {
            let listed = node.store.range(WAVES_PREFIX, false).await?;
            take_listed_waves(&node, &listed).await
        };
        if node.abandon_after_outage(read).await.is_ok() {
            return;
        }
        node.timer.sleep(AGAIN_MS).await;
    }
}

/// Reads the configuration once, beside what follows it. An owner that knows none
/// starts nothing, and one that knows an old one may judge by what was changed; a
/// takeover does not wait for it, since leases run out meanwhile.
pub async fn refresh_configuration(node: Rc<Node>) {
    if let Err(error) = node.abandon_after_outage(read_operators(&node)).await {
        log::debug!("the configuration could not be read at the takeover: {error}");
    }
}

async fn watch_operators(
    node: &Node,
    revision: u64,
    wait_ms: u64,
) -> Result<Option<u64>, StoreError> {
    let asked_ms = node.now_ms();
    let watch = node.store.watch(OPERATOR_PREFIX, revision, wait_ms);
    match watch.await? {
        WatchResult::HistoryGone => Ok(None),
        WatchResult::Changes { events, revision } => {
            // Orders first: what follows may take long.
            emptying::take_changes(node, &events, revision, asked_ms);
            for event in &events {
                if let StoreEvent::Put(item) = event {
                    take_operators_value(node, item);
                }
            }
            node.configuration_checked();
            Ok(Some(revision))
        }
    }
}

fn take_operators_value(node: &Node, item: &StoredItem) {
    if item.key == CONFIGURATION_KEY {
        take_configuration(node, item);
    } else if item.key.starts_with(WAVES_PREFIX) {
        take_wave(node, item);
    }
}

/// A wave matters to the owner; another daemon reads all of them if it takes
/// over.
fn take_wave(node: &Node, item: &StoredItem) {
    if !node.owns() {
        return;
    }
    if let Some(order) = wave_order(node, item) {
        node.control
            .send_input(node.epoch(), Input::UpkeepWave(order));
    }
}

fn take_configuration(node: &Node, item: &StoredItem) {
    let read = decode_configuration(&item.value);
    if let Some(configuration) = node.valid_value(StoredKind::Configuration, item, read) {
        node.configure(configuration);
    }
}

/// Keeps this daemon listed, and reads who else is.
pub async fn members(node: Rc<Node>) {
    let (mut lease, mut list_at_ms) = (0, 0);
    loop {
        let mut listed = node.call_store(stay_listed(&node, &mut lease)).await;
        if listed.is_ok() && node.now_ms() >= list_at_ms {
            listed = list_members(&node).await;
            let count = node.others().len() as u64;
            list_at_ms = match listed {
                Ok(()) => node.now_ms() + count * MEMBERS_PER_DAEMON_MS,
                Err(_) => 0,
            };
        }
        if listed.is_err() {
            metrics::counter!("fuchsiaslip_retries_total", "reason" => "members_unread")
                .increment(1);
        }
        let young = node.now_ms() < node.started_ms + FIRST_MS;
        if young {
            list_at_ms = 0;
        }
        let wait_ms = match (listed.is_ok(), young) {
            (false, _) => AGAIN_MS,
            (true, true) => FIRST_MEMBERS_MS,
            (true, false) => MEMBERS_MS,
        };
        node.timer.sleep(wait_ms).await;
    }
}

/// Renews this daemon's entry in the list.
async fn stay_listed(node: &Node, lease: &mut u64) -> Result<(), StoreError> {
    if *lease != 0 && !node.store.keep_lease(*lease).await? {
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

async fn list_members(node: &Node) -> Result<(), StoreError> {
    let members = node.store.range(MEMBERS_PREFIX, true).await?;
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
        node.note_peer(
            name,
            Peer {
                address,
                boot: 0,
                heard_ms: 0,
                has_store: true,
                store_lost_since_ms: None,
                draining: false,
                cpu_millis: 0,
                interval_ms: 0,
                listed: true,
            },
        );
    }
    node.keep_listed(&names);
    if node.owner().is_none() {
        let root = node.store.get(ROOT_KEY).await?;
        let root = root
            .and_then(|item| node.valid_value(StoredKind::Root, &item, decode_root(&item.value)));
        learn_root(node, &root.unwrap_or_default());
    }
    Ok(())
}

/// Learns of the owner that the root names; whether it was news.
pub fn learn_root(node: &Node, root: &RootRecord) -> bool {
    let known = node.owner().map_or(0, |owner| owner.epoch);
    let Some(address) = root.address.parse().ok().filter(|_| root.epoch > known) else {
        return false;
    };
    node.learn_owner(KnownOwner {
        epoch: root.epoch,
        name: root.owner.clone(),
        address,
        boot: root.boot,
        since_ms: node.now_ms(),
    });
    true
}

/// Follows accepted and cancelled jobs, for as long as this daemon owns: what
/// daemons told of them directly may be lost.
pub async fn jobs(node: Rc<Node>, epoch: u64, from: u64) {
    let began_ms = node.now_ms();
    let mut revision = from;
    while node.epoch() == epoch {
        let sent_ms = node.now_ms();
        let wait_ms = match sent_ms < began_ms + FIRST_WATCHES_MS {
            true => FIRST_WATCH_WAIT_MS,
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
                    node.timer.sleep(AGAIN_MS).await;
                    continue;
                }
            },
            Err(_) => {
                node.timer.sleep(AGAIN_MS).await;
                continue;
            }
        };
        for event in events {
            if let StoreEvent::Put(item) = event {
                take_job_value(&node, epoch, &item);
            }
        }
        node.control.send_input(epoch, Input::JobsRead { sent_ms });
    }
}

/// Tells the scheduler of a value under the jobs' prefix.
fn take_job_value(node: &Node, epoch: u64, item: &StoredItem) {
    match read_job_key(&item.key) {
        Some(JobKeyKind::Job(id)) => {
            let read = decode_job_record(&item.value);
            let input = match node.valid_value(StoredKind::Job, item, read) {
                Some(record) => Input::JobStored {
                    id,
                    record: Arc::new(record),
                    progress: None,
                },
                None => {
                    node.note_unreadable(id);
                    Input::JobUnreadable(id)
                }
            };
            node.control.send_input(epoch, input);
        }
        Some(JobKeyKind::Cancelled(id)) => node.control.send_input(epoch, Input::JobCancelled(id)),
        None => node.report_invalid(StoredKind::Job, item, &InvalidReason::because("bad_name")),
    }
}

/// Follows the workers' registrations, for as long as this daemon owns.
pub async fn workers(node: Rc<Node>, epoch: u64, range: StoredRange) {
    let mut revision = range.revision;
    let mut known: BTreeSet<String> = range.items.into_iter().map(|item| item.key).collect();
    while node.epoch() == epoch {
        let sent_ms = node.now_ms();
        let read = Input::EntriesRead { sent_ms };
        let watch = node.store.watch(WORKERS_PREFIX, revision, WATCH_WAIT_MS);
        let watched = node.abandon_after_outage(watch).await;
        match watched {
            Ok(WatchResult::Changes {
                events,
                revision: next,
            }) => {
                revision = next;
                for event in events {
                    take_worker_event(&node, epoch, event, &mut known);
                }
                node.control.send_input(epoch, read);
            }
            Ok(WatchResult::HistoryGone) => {
                if let Ok(range) = node.store.range(WORKERS_PREFIX, false).await {
                    revision = range.revision;
                    relist(&node, epoch, &range, &mut known);
                    node.control.send_input(epoch, read);
                }
            }
            Err(_) => {
                node.timer.sleep(AGAIN_MS).await;
            }
        }
    }
}

fn take_worker_event(node: &Node, epoch: u64, event: StoreEvent, known: &mut BTreeSet<String>) {
    match event {
        StoreEvent::Put(item) => {
            if let Some(input) = worker_input(node, &item) {
                node.control.send_input(epoch, input);
            }
            known.insert(item.key);
        }
        StoreEvent::Removed { key, .. } => {
            known.remove(&key);
            unlist(node, epoch, &key);
        }
    }
}

fn relist(node: &Node, epoch: u64, range: &StoredRange, known: &mut BTreeSet<String>) {
    for input in worker_inputs(node, range) {
        node.control.send_input(epoch, input);
    }
    let listed: BTreeSet<String> = range.items.iter().map(|item| item.key.clone()).collect();
    for key in known.difference(&listed) {
        unlist(node, epoch, key);
    }
    *known = listed;
}

fn unlist(node: &Node, epoch: u64, key: &str) {
    if let Some(worker_name) = key.strip_prefix(WORKERS_PREFIX) {
        let input = Input::WorkerUnlisted(worker_name.to_owned());
        node.control.send_input(epoch, input);
    }
}
