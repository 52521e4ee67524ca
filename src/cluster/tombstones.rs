//! Tombstones: marks in the store that keep a cancelled job from being stored later.
//!
//! A cancellation may arrive while the write of its job has no known outcome, or is still being
//! retried by another daemon: the store may carry out such a write seconds later. So before a
//! client is told that there is no such job, a tombstone takes the job's name, in a transaction
//! that requires the job to be absent. The write of a job requires its tombstones to be absent.
//! Whichever the store carries out first excludes the other.
//!
//! A tombstone belongs to the account that cancelled, or on a public queue to that queue, and
//! binds no other. Daemons limit how many each may have, and the owner removes them after the time
//! for which ended jobs are remembered.

use super::node::Node;
use super::records::{
    ROOT_KEY,
    TOMBSTONES_PREFIX,
    job_key,
    tombstone_key, //
};
use super::store_types::{
    CommitResult,
    MAX_TRANSACTION_ENTRIES,
    StoreError,
    StoredItem,
    Transaction, //
};
use crate::core::JobId;
use crate::scheduler::JobRecord;
use bytes::Bytes;
use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Most tombstones that one daemon stores for one submitter in the time for which it keeps them.
const MAX_PER_SUBMITTER: usize = 1_024;
/// How often the owner lists the tombstones in the time for which they are kept.
const LISTS_PER_RETENTION: u64 = 8;
/// Delay before a list or a removal that failed is retried.
const RETRY_MS: u64 = 1_000;
/// Tombstones that one transaction removes: each is required to be unchanged and is removed, and
/// the root is required as well.
const REMOVED_PER_TRANSACTION: usize = (MAX_TRANSACTION_ENTRIES - 1) / 2;

/// Whom a job and its tombstones belong to, as a hash of the name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Submitter(pub u64);

impl Submitter {
    /// A client account, which sends its key.
    pub fn account(name: &str) -> Self {
        Self(xxh3_64(format!("account/{name}").as_bytes()))
    }

    /// A public queue, whose clients need no key.
    pub fn queue(name: &str) -> Self {
        Self(xxh3_64(format!("queue/{name}").as_bytes()))
    }

    /// Those whose tombstones keep a job from being stored.
    pub fn all_of(record: &JobRecord) -> Vec<Self> {
        let queue = Self::queue(&record.queue);
        match record.account.is_empty() {
            true => vec![queue],
            false => vec![queue, Self::account(&record.account)],
        }
    }
}

/// Counts the tombstones that a daemon has stored for each submitter.
#[derive(Clone, Debug, Default)]
pub struct TombstoneCounts {
    /// When each of them was stored, oldest first.
    stored_ms: HashMap<Submitter, VecDeque<u64>>,
}

impl TombstoneCounts {
    /// Counts another one, unless the submitter has as many as it may have.
    pub fn admit(&mut self, submitter: Submitter, now_ms: u64, retention_ms: u64) -> bool {
        self.stored_ms.retain(|_, stored_ms| {
            let expired = stored_ms.partition_point(|&at_ms| at_ms + retention_ms <= now_ms);
            stored_ms.drain(..expired);
            !stored_ms.is_empty()
        });
        let stored_ms = self.stored_ms.entry(submitter).or_default();
        let admitted = stored_ms.len() < MAX_PER_SUBMITTER;
        if admitted {
            stored_ms.push_back(now_ms);
        }
        admitted
    }
}

/// How long an owner has known each tombstone. The clocks of daemons differ, so that the time at
/// which another one stored it would not do.
#[derive(Clone, Debug, Default)]
pub struct TombstoneAges {
    /// When each was first listed, by key and revision.
    first_listed_ms: BTreeMap<(String, u64), u64>,
}

impl TombstoneAges {
    /// Records a list, and returns the keys and revisions of those that are older than
    /// `retention_ms`.
    pub fn record(
        &mut self,
        listed: &[StoredItem],
        now_ms: u64,
        retention_ms: u64,
    ) -> Vec<(String, u64)> {
        let known = std::mem::take(&mut self.first_listed_ms);
        for item in listed {
            let name = (item.key.clone(), item.revision);
            let first_ms = known.get(&name).copied().unwrap_or(now_ms);
            self.first_listed_ms.insert(name, first_ms);
        }
        let ages = self.first_listed_ms.iter();
        let old = ages.filter(|&(_, &first_ms)| now_ms >= first_ms + retention_ms);
        old.map(|(name, _)| name.clone()).collect()
    }
}

/// Requires that a job has none of the tombstones of its submitters.
pub fn expect_none(transaction: &mut Transaction, job: JobId, submitters: &[Submitter]) {
    let keys = submitters
        .iter()
        .map(|&submitter| tombstone_key(job, submitter.0));
    transaction.expected.extend(keys.map(|key| (key, 0)));
}

/// Whether one of the values is a tombstone.
pub fn is_any_tombstone(items: &[StoredItem]) -> bool {
    items
        .iter()
        .any(|item| item.key.starts_with(TOMBSTONES_PREFIX))
}

/// Stores the tombstone of an absent job. Returns `false` if the job was stored meanwhile.
///
/// # Errors
///
/// The store refused or did not answer within `timeout_ms`.
pub async fn store(
    node: &Node,
    job: JobId,
    submitter: Submitter,
    timeout_ms: u64,
) -> Result<bool, StoreError> {
    let transaction = Transaction {
        expected: vec![(job_key(job), 0)],
        puts: vec![(tombstone_key(job, submitter.0), Bytes::from_static(b"{}"))],
        ..Transaction::default()
    };
    let commit = node.store.commit_within(&transaction, timeout_ms);
    let is_stored = matches!(commit.await?, CommitResult::Done { .. });
    if is_stored {
        count("stored", 1);
    }
    Ok(is_stored)
}

/// Whether a submitter has a tombstone for a job.
///
/// # Errors
///
/// The store refused or did not answer.
pub async fn is_stored(node: &Node, job: JobId, submitter: Submitter) -> Result<bool, StoreError> {
    let key = tombstone_key(job, submitter.0);
    let found = node.call_store(node.store.get(&key)).await?;
    Ok(found.is_some())
}

/// Counts a tombstone that is to be stored for a submitter; returns `false` if it has as many as
/// it may have.
pub fn admit(node: &Node, submitter: Submitter) -> bool {
    let retention_ms = node.settings.tuning.retention_ms;
    let mut counts = node.tombstone_counts.borrow_mut();
    let admitted = counts.admit(submitter, node.now_ms(), retention_ms);
    if !admitted {
        count("refused", 1);
    }
    admitted
}

/// Removes old tombstones for as long as this daemon owns under `epoch`.
pub async fn remove_old(node: Rc<Node>, epoch: u64) {
    let mut ages = TombstoneAges::default();
    let interval_ms = node.settings.tuning.retention_ms / LISTS_PER_RETENTION;
    // A new owner has more urgent calls to make.
    let mut delay_ms = interval_ms;
    loop {
        node.timer.sleep(delay_ms).await;
        if node.epoch() != epoch {
            return;
        }
        delay_ms = match list_and_remove(&node, &mut ages).await {
            Ok(()) => interval_ms,
            Err(_) => RETRY_MS,
        };
    }
}

async fn list_and_remove(node: &Node, ages: &mut TombstoneAges) -> Result<(), StoreError> {
    let listed = node
        .call_store(node.store.range(TOMBSTONES_PREFIX, true))
        .await?;
    metrics::gauge!("fuchsiaslip_kept", "what" => "tombstones").set(listed.items.len() as f64);
    let retention_ms = node.settings.tuning.retention_ms;
    let old = ages.record(&listed.items, node.now_ms(), retention_ms);
    for removed in old.chunks(REMOVED_PER_TRANSACTION) {
        let root = (ROOT_KEY.to_owned(), node.root_revision());
        let transaction = Transaction {
            expected: removed.iter().cloned().chain([root]).collect(),
            removed: removed.iter().map(|(key, _)| key.clone()).collect(),
            ..Transaction::default()
        };
        // One that was stored again meanwhile is found with its new revision in the next list.
        let outcome = node.call_store(node.store.commit(&transaction)).await?;
        if matches!(outcome, CommitResult::Done { .. }) {
            count("removed", removed.len() as u64);
        }
    }
    Ok(())
}

fn count(outcome: &'static str, tombstones: u64) {
    metrics::counter!("fuchsiaslip_tombstones_total", "outcome" => outcome).increment(tombstones);
}
