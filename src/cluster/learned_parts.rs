//! Decides which parts of what an owner has learned are written to the store, and when.
//!
//! Each part holds the names with one hash and is written as a whole, on the condition of the
//! root's revision and its own. A part in which nothing has changed much is written again only
//! before it grows so old that the next owner would trust it less.

use super::learned_changes::Told;
use super::learned_frame::{
    LearnedStamp,
    MAX_PART_BYTES,
    encode_learned_part,
    learned_part,
    learned_part_key, //
};
use super::records::{
    LEARNED_PARTS,
    ROOT_KEY, //
};
use super::store_types::{
    MAX_TRANSACTION_ENTRIES,
    StoredItem,
    Transaction, //
};
use crate::scheduler::Learned;
use bytes::Bytes;
use std::collections::HashMap;

/// Most bytes of the parts in one transaction, unless it has a single part, whatever the link.
const MAX_CALL_BYTES: u64 = 48 << 10;
/// Least bytes of them, about a small part.
const MIN_CALL_BYTES: u64 = 1 << 10;
/// Part of a second's bytes of the link that a transaction takes: a call has to be answered within
/// a second, and others wait behind it.
const LINK_SHARE: u64 = 5;
/// Transaction entries for the root's revision.
const ROOT_ENTRIES: usize = 1;
/// Transaction entries for a part: its expected revision and its put.
const ENTRIES_PER_PART: usize = 2;
/// Space for a part's mark, version, checksum and stamp.
const HEAD_BYTES: usize = 64;

/// The parts as the store has them, as far as known.
#[derive(Clone, Debug, Default)]
pub struct LearnedParts {
    revisions: HashMap<u32, u64>,
    /// What each part contains, with the time at which an owner knew it.
    stored: HashMap<u32, (u64, Told)>,
}

/// Parts that one transaction writes.
#[derive(Clone, Debug)]
pub struct PartWrites {
    stamp: LearnedStamp,
    parts: Vec<(u32, Learned)>,
    /// The transaction.
    pub transaction: Transaction,
}

/// The most bytes of the parts in one transaction on a link of this capacity.
pub fn call_bytes(link_bytes_per_s: u64) -> usize {
    let bytes = link_bytes_per_s / LINK_SHARE;
    bytes.clamp(MIN_CALL_BYTES, MAX_CALL_BYTES) as usize
}

/// Divides values among the parts.
fn by_part(learned: &Learned) -> HashMap<u32, Learned> {
    let mut parts: HashMap<u32, Learned> = HashMap::new();
    for worker in &learned.workers {
        let part = parts.entry(learned_part(&worker.name)).or_default();
        part.workers.push(worker.clone());
    }
    for queue in &learned.queues {
        let part = parts.entry(learned_part(&queue.name)).or_default();
        part.queues.push(queue.clone());
    }
    for account in &learned.accounts {
        let part = parts.entry(learned_part(&account.name)).or_default();
        part.accounts.push(account.clone());
    }
    parts
}

impl LearnedParts {
    /// Records the revision of a part that was read, whether or not it can be decoded.
    pub fn record_revision(&mut self, part: u32, revision: u64) {
        self.revisions.insert(part, revision);
    }

    /// Records the values of a part that was read.
    pub fn record_read(&mut self, part: u32, stamp: LearnedStamp, learned: &Learned) {
        let mut told = Told::default();
        told.record(learned, stamp.at_ms);
        self.stored.insert(part, (stamp.at_ms, told));
    }

    /// Returns the transaction that writes the parts which have to be written, or the first of
    /// them that `max_bytes` are enough for, but at least one; `None` if none has to be.
    pub fn writes(
        &self,
        learned: &Learned,
        stamp: LearnedStamp,
        root_revision: u64,
        max_bytes: usize,
    ) -> Option<PartWrites> {
        let mut by_part = by_part(learned);
        let mut writes = PartWrites {
            stamp,
            parts: Vec::new(),
            transaction: Transaction::default(),
        };
        let transaction = &mut writes.transaction;
        transaction
            .expected
            .push((ROOT_KEY.to_owned(), root_revision));
        let (mut bytes, mut entries) = (0, ROOT_ENTRIES);
        for part in self.oldest_first() {
            let Some(values) = by_part.remove(&part) else {
                continue;
            };
            let told = self.stored.get(&part);
            if told.is_some_and(|(_, told)| !told.has_untold(&values, stamp.at_ms)) {
                continue;
            }
            let max_part_bytes = MAX_PART_BYTES - HEAD_BYTES;
            let values = Told::default().untold(&values, stamp.at_ms, max_part_bytes);
            let value: Bytes = encode_learned_part(stamp, &values);
            entries += ENTRIES_PER_PART;
            bytes += value.len();
            let is_full = bytes > max_bytes || entries > MAX_TRANSACTION_ENTRIES;
            if is_full && !writes.parts.is_empty() {
                break;
            }
            let key = learned_part_key(part);
            let revision = self.revisions.get(&part).copied().unwrap_or(0);
            transaction.expected.push((key.clone(), revision));
            transaction.puts.push((key, value));
            writes.parts.push((part, values));
        }
        (!writes.parts.is_empty()).then_some(writes)
    }

    /// All parts, those that were never stored first, so that one that changes all the time does
    /// not keep others out of the store.
    fn oldest_first(&self) -> Vec<u32> {
        let mut parts: Vec<u32> = (0..LEARNED_PARTS).collect();
        parts.sort_by_key(|part| self.stored.get(part).map(|&(at_ms, _)| at_ms));
        parts
    }

    /// Records that the parts are stored at `revision`.
    pub fn handle_stored(&mut self, writes: PartWrites, revision: u64) {
        for (part, values) in writes.parts {
            self.record_revision(part, revision);
            self.record_read(part, writes.stamp, &values);
        }
    }

    /// Records that the store may or may not have carried out the transaction.
    pub fn handle_unknown(&mut self, writes: &PartWrites) {
        for (part, _) in &writes.parts {
            self.stored.remove(part);
        }
    }

    /// Records the revisions that the store reported with a conflict. Returns whether the root
    /// still has the revision that this owner wrote.
    pub fn handle_conflict(
        &mut self,
        writes: &PartWrites,
        items: &[StoredItem],
        root_revision: u64,
    ) -> bool {
        let revision_of = |key: &str| {
            let item = items.iter().find(|item| item.key == key);
            item.map_or(0, |item| item.revision)
        };
        self.handle_unknown(writes);
        for &(part, _) in &writes.parts {
            self.record_revision(part, revision_of(&learned_part_key(part)));
        }
        revision_of(ROOT_KEY) == root_revision
    }
}
