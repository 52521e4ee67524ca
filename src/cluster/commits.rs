//! Commits the owner's pending writes and reports to the scheduler what is stored.
//!
//! A commit that conflicts is retried with the store's current revisions, unless the
//! root has changed: then another daemon owns, and this one stops owning.

use super::node::Node;
use super::pending_writes::Batch;
use super::store_types::{
    CommitResult,
    StoreError, //
};
use crate::scheduler::Input;
use std::rc::Rc;

/// How long changes are collected before a commit. An owner commits at most 40 times
/// a second, a tenth of what the store handles. Ends of runs are stored this much
/// later, which is little beside run times of seconds.
const COLLECT_MS: u64 = 20;
/// Delay before a refused or unanswered commit is retried.
const RETRY_MS: u64 = 120;

/// Commits pending writes for as long as this daemon owns under `epoch`.
pub async fn run(node: Rc<Node>, epoch: u64) {
    while node.epoch() == epoch {
        let Some(batch) = node.pending_writes.batch(node.root_revision()) else {
            node.pending_writes.changed().await;
            node.timer.sleep(COLLECT_MS).await;
            continue;
        };
        let sent_ms = node.now_ms();
        let commit = node.store.commit(&batch.transaction);
        let outcome = node.call_store(commit).await;
        if node.epoch() != epoch {
            return;
        }
        let took_ms = (node.now_ms() - sent_ms) as f64;
        metrics::histogram!("fuchsiaslip_commit_ms").record(took_ms);
        match outcome {
            Ok(CommitResult::Done { revision }) => {
                node.pending_writes.handle_commit(&batch, revision);
                node.record_confirmation(epoch, sent_ms);
                report_stored(&node, epoch, batch);
                node.timer.sleep(COLLECT_MS).await;
            }
            Ok(CommitResult::Conflict(items)) => {
                if !node
                    .pending_writes
                    .handle_conflict(&batch, &items, node.root_revision())
                {
                    node.stop_owning("commit_conflict");
                    return;
                }
                count_retry("commit_conflict");
            }
            Ok(CommitResult::LeaseExpired) => {
                count_retry("lease_expired");
                node.timer.sleep(RETRY_MS).await;
            }
            Err(error) => {
                count_retry(match error {
                    StoreError::Refused => "store_refused",
                    StoreError::NoAnswer => "store_silent",
                });
                let delay_ms = node.store_retry_delay_ms(RETRY_MS);
                node.timer.sleep(delay_ms).await;
            }
        }
    }
}

/// Reports to the scheduler which of its changes are durable.
fn report_stored(node: &Node, epoch: u64, batch: Batch) {
    let roster_names = batch.roster_names();
    for (job, change) in batch.progress {
        node.control
            .send_input(epoch, Input::ProgressStored { job, change });
    }
    for (worker_name, record) in batch.closed {
        if let Some(closed) = record.map(|record| record.closed) {
            let input = Input::ClosedWorkerStored {
                worker_name,
                closed,
            };
            node.control.send_input(epoch, input);
        }
    }
    for job in batch.deleted_jobs {
        node.control.send_input(epoch, Input::JobDeleted(job));
    }
    if !roster_names.is_empty() {
        let input = Input::RosterStored(roster_names);
        node.control.send_input(epoch, input);
    }
}

fn count_retry(reason: &'static str) {
    metrics::counter!("fuchsiaslip_retries_total", "reason" => reason).increment(1);
}
