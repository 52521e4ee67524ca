//! Passes on what this owner learns, and restores what earlier owners learned.
//!
//! The daemons that would take over next are told what has changed, once a second, and the
//! store gets it a few times a minute, for the case that all daemons are lost. Nothing waits
//! for either: a message without an answer is sent again with newer values, and a new owner
//! whose read of the store is late or fails begins without it.

use super::election::successors;
use super::invalid_values::{
    InvalidReason,
    StoredKind, //
};
use super::kept_learned::{
    LearnedSource,
    RestoredCounts, //
};
use super::learned_changes::Told;
use super::learned_frame::{
    LearnedMessage,
    LearnedStamp,
    decode_learned_part,
    parse_learned_part, //
};
use super::learned_parts::{
    LearnedParts,
    call_bytes, //
};
use super::node::Node;
use super::peer_frame::PeerBody;
use super::records::LEARNED_PREFIX;
use super::store_types::{
    CommitResult,
    StoreError,
    StoredRange, //
};
use super::supervision::{
    Part,
    spawn_for_epoch, //
};
use crate::events;
use crate::scheduler::{
    Input,
    Learned, //
};
use actix_rt::task::JoinHandle;
use futures_util::FutureExt;
use futures_util::future::join_all;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Number of likely successors that are told: the loss of a rack rarely takes more.
const SUCCESSORS: usize = 3;
/// Shortest time between two rounds of messages, of one to each successor.
const SHARE_INTERVAL_MS: u64 = 1_000;
/// Divisor of the capacity of the link: the most that messages to all successors take of it.
const LINK_SHARE: u64 = 16;
/// Sizes of a message, whatever the link: so many names fit that all are told within minutes,
/// and the calls to workers on the same connection wait a few milliseconds at most.
const MIN_MESSAGE_BYTES: u64 = 1 << 10;
const MAX_MESSAGE_BYTES: u64 = 16 << 10;
/// Timeout of a message, as that of other requests that carry kilobytes.
const SEND_TIMEOUT_MS: u64 = 2_500;
/// Time between the takeover and the first write to the store.
const FIRST_STORE_MS: u64 = 5_000;
/// Time between two writes to the store.
const STORE_INTERVAL_MS: u64 = 10_000;
/// Wait before the store is read again after a failure.
const REREAD_MS: u64 = 5_000;

impl Node {
    /// Keeps what an owner has learned, unless something newer is kept.
    pub fn keep_learned(&self, learned: &Learned, stamp: LearnedStamp, source: LearnedSource) {
        let now_ms = self.now_ms();
        let mut kept = self.kept_learned.borrow_mut();
        kept.record(learned, stamp, source, now_ms);
        metrics::gauge!("fuchsiaslip_kept", "what" => "learned").set(kept.len() as f64);
    }

    /// Keeps what an owner has told. If this daemon owns by now, its scheduler is told too.
    pub fn record_learned_of_owner(&self, message: &LearnedMessage) {
        let (learned, stamp) = (message.learned(), message.stamp());
        self.keep_learned(&learned, stamp, LearnedSource::Owner);
        if self.owns() && stamp.epoch < self.epoch() {
            let age_ms = self.now_ms().saturating_sub(stamp.at_ms);
            let input = Input::Learned { learned, age_ms };
            self.control.send_input(self.epoch(), input);
        }
    }

    /// Records that a daemon keeps what owners have learned.
    pub fn record_learned_receiver(&self, name: &str, boot: u64) {
        let mut receivers = self.learned_receivers.borrow_mut();
        if receivers.get(name) != Some(&boot) {
            receivers.insert(name.to_owned(), boot);
        }
    }

    /// The first `count` daemons that would take over from this one and keep what it has
    /// learned: their names, incarnations and addresses.
    pub fn learned_successors(&self, count: usize) -> Vec<(String, u64, SocketAddr)> {
        let others = self.peer_table.borrow();
        let mut receivers = self.learned_receivers.borrow_mut();
        receivers.retain(|name, &mut boot| others.incarnation(name, boot).is_some());
        let mut candidates = others.candidates(self.now_ms());
        candidates.retain(|candidate| receivers.contains_key(&candidate.name));
        let names = successors(&candidates, count).into_iter();
        let told = names.filter_map(|name| {
            let boot = *receivers.get(&name)?;
            let address = others.incarnation(&name, boot)?.address;
            Some((name, boot, address))
        });
        told.collect()
    }
}

/// A read of the stored parts, in the background.
pub type SnapshotRead = JoinHandle<Result<StoredRange, StoreError>>;

/// Begins to read the stored parts.
pub fn read(node: &Rc<Node>) -> SnapshotRead {
    let node = node.clone();
    actix_rt::spawn(async move { node.store.range(LEARNED_PREFIX, false).await })
}

/// Returns the inputs of a new owner: what it was told, and what the store had if that was read
/// by now. Then shares and stores what it learns as long as it owns under `epoch`.
pub fn restore(node: &Rc<Node>, epoch: u64, mut read: SnapshotRead) -> Vec<Input> {
    let mut parts = None;
    let is_over = read.is_finished();
    if let Some(Ok(Ok(range))) = is_over.then(|| (&mut read).now_or_never()).flatten() {
        parts = Some(handle_snapshot(node, &range));
    }
    let pending = (!is_over).then_some(read);
    let (inputs, counts) = node.kept_learned.borrow().inputs(node.now_ms());
    report(epoch, &counts);
    let sharing = share(node.clone(), epoch);
    spawn_for_epoch(node, epoch, Part("learned_messages"), sharing);
    let storing = store(node.clone(), epoch, parts, pending);
    spawn_for_epoch(node, epoch, Part("learned_writes"), storing);
    inputs
}

fn report(epoch: u64, counts: &RestoredCounts) {
    let sources = [
        ("owner", counts.from_owners),
        ("store", counts.from_store), //
    ];
    for (source, count) in sources {
        metrics::counter!("fuchsiaslip_learned_restored_total", "source" => source)
            .increment(count as u64);
    }
    if counts.from_owners + counts.from_store == 0 {
        return;
    }
    events::log(
        events::LEARNED_RESTORED,
        format_args!(
            "epoch {epoch}, workers {}, queues {}, accounts {}, from_owners {}, from_store {}, youngest_ms {}, oldest_ms {}",
            counts.workers,
            counts.queues,
            counts.accounts,
            counts.from_owners,
            counts.from_store,
            counts.youngest_ms,
            counts.oldest_ms,
        ),
    );
}

/// Keeps the stored values that can be used, and returns the parts as they are stored.
fn handle_snapshot(node: &Node, range: &StoredRange) -> LearnedParts {
    let mut parts = LearnedParts::default();
    for item in &range.items {
        let Some(part) = parse_learned_part(&item.key) else {
            let reason = InvalidReason::because("bad_name");
            node.report_invalid(StoredKind::Learned, item, &reason);
            continue;
        };
        parts.record_revision(part, item.revision);
        let decoded = decode_learned_part(&item.value);
        if let Some((stamp, learned)) = node.valid_value(StoredKind::Learned, item, decoded) {
            parts.record_read(part, stamp, &learned);
            node.keep_learned(&learned, stamp, LearnedSource::Store);
        }
    }
    parts
}

/// Tells the likely successors what has changed.
async fn share(node: Rc<Node>, epoch: u64) {
    let link_bytes_per_s = node.settings.resources.link_bytes_per_s;
    let (max_bytes, interval_ms) = message_rate(link_bytes_per_s);
    let mut told: BTreeMap<(String, u64), Told> = BTreeMap::new();
    loop {
        node.timer.sleep(interval_ms).await;
        if node.epoch() != epoch {
            return;
        }
        let Some(learned) = node.control.learned().await else {
            continue;
        };
        let stamp = LearnedStamp {
            epoch,
            at_ms: node.now_ms(),
        };
        node.keep_learned(&learned, stamp, LearnedSource::Owner);
        let successors = node.learned_successors(SUCCESSORS);
        told.retain(|key, _| {
            successors
                .iter()
                .any(|(name, boot, _)| (name, boot) == (&key.0, &key.1))
        });
        let messages = successors.into_iter().filter_map(|(name, boot, address)| {
            let key = (name, boot);
            let known = told.entry(key.clone()).or_default();
            known.keep_only(&learned);
            let values = known.untold(&learned, stamp.at_ms, max_bytes);
            (!values.is_empty()).then_some((key, address, values))
        });
        let messages: Vec<_> = messages.collect();
        let sends = messages.into_iter().map(|(key, address, values)| {
            let body = PeerBody::Learned(LearnedMessage::new(stamp, &values));
            let answer = node.peers.request(address, body, SEND_TIMEOUT_MS);
            async move { (key, values, answer.await.is_some()) }
        });
        for (key, values, is_received) in join_all(sends).await {
            let outcome = if is_received {
                "received"
            } else {
                "unanswered"
            };
            metrics::counter!("fuchsiaslip_learned_messages_total", "outcome" => outcome)
                .increment(1);
            let Some(known) = told.get_mut(&key) else {
                continue;
            };
            match is_received {
                true => known.record(&values, stamp.at_ms),
                false => known.forget(&values),
            }
        }
    }
}

/// The size of one message, and the time between two rounds of them in milliseconds, on a link of
/// this capacity: messages of this size to all successors in each round take a part of it.
pub fn message_rate(link_bytes_per_s: u64) -> (usize, u64) {
    const MS_PER_S: u64 = 1_000;
    let share_bytes_per_s = (link_bytes_per_s / LINK_SHARE).max(1);
    let round_bytes = share_bytes_per_s.saturating_mul(SHARE_INTERVAL_MS) / MS_PER_S;
    let bytes = round_bytes / SUCCESSORS as u64;
    let bytes = bytes.clamp(MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES);
    let round_ms = bytes * SUCCESSORS as u64 * MS_PER_S / share_bytes_per_s;
    (bytes as usize, round_ms.max(SHARE_INTERVAL_MS))
}

/// Writes what has changed to the store, once its present parts are read.
async fn store(
    node: Rc<Node>,
    epoch: u64,
    parts: Option<LearnedParts>,
    pending: Option<SnapshotRead>,
) {
    let Some(mut parts) = (match parts {
        Some(parts) => Some(parts),
        None => read_late(&node, epoch, pending).await,
    }) else {
        return;
    };
    let max_bytes = call_bytes(node.settings.resources.link_bytes_per_s);
    node.timer.sleep(FIRST_STORE_MS).await;
    while node.epoch() == epoch {
        let is_usable = node.has_store() && !node.is_store_overdue() && !node.is_draining();
        if is_usable && let Some(learned) = node.control.learned().await {
            let stamp = LearnedStamp {
                epoch,
                at_ms: node.now_ms(),
            };
            if let Some(writes) = parts.writes(&learned, stamp, node.root_revision(), max_bytes) {
                let outcome = node.store.commit(&writes.transaction).await;
                // The task that confirms the epoch finds out that another daemon owns.
                let name = match outcome {
                    Ok(CommitResult::Done { revision }) => {
                        parts.handle_stored(writes, revision);
                        "stored"
                    }
                    Ok(CommitResult::Conflict(items)) => {
                        match parts.handle_conflict(&writes, &items, node.root_revision()) {
                            true => "conflict",
                            false => return,
                        }
                    }
                    Ok(CommitResult::LeaseExpired) | Err(_) => {
                        parts.handle_unknown(&writes);
                        "failed"
                    }
                };
                metrics::counter!("fuchsiaslip_learned_writes_total", "outcome" => name)
                    .increment(1);
            }
        }
        node.timer.sleep(STORE_INTERVAL_MS).await;
    }
}

/// Waits for a read that was not over when this daemon began to own, and passes the values on to
/// the scheduler. Reads again after a failure. Returns `None` once this daemon owns no more.
async fn read_late(
    node: &Rc<Node>,
    epoch: u64,
    mut pending: Option<SnapshotRead>,
) -> Option<LearnedParts> {
    loop {
        let outcome = match pending.take() {
            Some(read) => read.await.unwrap_or(Err(StoreError::NoAnswer)),
            None => {
                node.timer.sleep(REREAD_MS).await;
                match node.has_store() {
                    true => node.store.range(LEARNED_PREFIX, false).await,
                    false => Err(StoreError::NoAnswer),
                }
            }
        };
        if node.epoch() != epoch {
            return None;
        }
        let Ok(range) = outcome else {
            continue;
        };
        let parts = handle_snapshot(node, &range);
        if !range.items.is_empty() {
            let (inputs, counts) = node.kept_learned.borrow().inputs(node.now_ms());
            report(epoch, &counts);
            for input in inputs {
                node.control.send_input(epoch, input);
            }
        }
        return Some(parts);
    }
}
