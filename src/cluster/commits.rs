//! Committing what the ledger holds, and telling the scheduler what is stored.

use super::node::Node;
use super::pending_writes::Batch;
use super::store_types::{
    CommitResult,
    StoreError, //
};
use crate::scheduler::Input;
use std::rc::Rc;

/// Time for changes to gather: 40 commits a second at most, a tenth of what
/// the store takes; ends wait this long beside run times of seconds.
const GATHER_MS: u64 = 20;
/// Wait after a refused or unanswered commit.
const RETRY_MS: u64 = 120;

/// Commits what waits, for as long as this daemon owns under `epoch`.
pub async fn run(node: Rc<Node>, epoch: u64) {
    while node.epoch() == epoch {
        let Some(batch) = node.pending_writes.batch(node.root_revision()) else {
            node.pending_writes.changed().await;
            node.timer.sleep(GATHER_MS).await;
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
                node.pending_writes.committed(&batch, revision);
                node.control
                    .send_input(epoch, Input::EpochConfirmed(sent_ms));
                tell_stored(&node, epoch, batch);
                node.timer.sleep(GATHER_MS).await;
            }
            Ok(CommitResult::Conflict(items)) => {
                if !node
                    .pending_writes
                    .conflicted(&batch, &items, node.root_revision())
                {
                    node.stop_owning("commit_conflict");
                    return;
                }
                count_retry("commit_conflict");
            }
            Ok(CommitResult::LeaseOver) => {}
            Err(error) => {
                count_retry(match error {
                    StoreError::Refused => "store_refused",
                    StoreError::NoAnswer => "store_silent",
                });
                node.timer.sleep(RETRY_MS).await;
            }
        }
    }
}

/// Tells the scheduler what it may rely on from now on.
fn tell_stored(node: &Node, epoch: u64, batch: Batch) {
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
    if let Some(workers) = batch.roster {
        node.control.send_input(epoch, Input::RosterStored(workers));
    }
}

fn count_retry(reason: &'static str) {
    metrics::counter!("fuchsiaslip_retries_total", "reason" => reason).increment(1);
}
