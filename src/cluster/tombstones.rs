//! Tombstones: marks in the store that keep a cancelled job from being stored later.
//!
//! A cancellation may arrive while the write of its job has no known outcome, or is still being
//! retried by another daemon: the store may carry out such a write seconds later. So before a
//! client is told that there is no such job, a tombstone takes the job's name, in a transaction
//! that requires the job to be absent. The write of a job requires its tombstones to be absent.
//! Whichever the store carries out first excludes the other.
//!
//! A tombstone belongs to the account that cancelled, or on a public queue to that queue, and
//! binds no other. Daemons limit how many each may have, and the owner removes them after some
//! minutes.

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
use super::tombstone_limits::{
    Submitter,
    TombstoneAges, //
};
use crate::core::JobId;
use bytes::Bytes;
use std::rc::Rc;

/// Longest time for which tombstones are kept, far longer than clients repeat requests and than
/// the store carries out calls late.
const MAX_RETENTION_MS: u64 = 300_000;
/// How often the owner lists the tombstones in the time for which they are kept.
const LISTS_PER_RETENTION: u64 = 8;
/// Tombstones that one transaction removes: each is required to be unchanged and is removed, and
/// the root is required as well.
const REMOVED_PER_TRANSACTION: usize = (MAX_TRANSACTION_ENTRIES - 1) / 2;

/// How long tombstones are kept, in milliseconds: as ended jobs are, within a limit.
fn retention_ms(node: &Node) -> u64 {
    node.settings.tuning.retention_ms.min(MAX_RETENTION_MS)
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
    let mut counts = node.tombstone_counts.borrow_mut();
    let admitted = counts.admit(submitter, node.now_ms(), retention_ms(node));
    if !admitted {
        count("refused", 1);
    }
    admitted
}

/// Removes old tombstones for as long as this daemon owns under `epoch`.
pub async fn remove_old(node: Rc<Node>, epoch: u64) {
    let mut ages = TombstoneAges::default();
    let interval_ms = retention_ms(&node) / LISTS_PER_RETENTION;
    loop {
        // Also before the first list, since a new owner has more urgent calls to make.
        node.timer.sleep(interval_ms).await;
        if node.epoch() != epoch {
            return;
        }
        if let Err(error) = list_and_remove(&node, &mut ages).await {
            log::debug!("old tombstones stay until the next list: {error}");
        }
    }
}

async fn list_and_remove(node: &Node, ages: &mut TombstoneAges) -> Result<(), StoreError> {
    let listed = node
        .call_store(node.store.range(TOMBSTONES_PREFIX, true))
        .await?;
    metrics::gauge!("fuchsiaslip_kept", "what" => "tombstones").set(listed.items.len() as f64);
    let old = ages.record(&listed.items, node.now_ms(), retention_ms(node));
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
