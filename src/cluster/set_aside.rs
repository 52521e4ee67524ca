//! Sets aside jobs on which owners have failed, so that all others are scheduled.
//!
//! A fault that comes from what is stored of a job fails one owner after the other. So an owner
//! that fails while it decides about a job stores a mark with the job and its epoch. A new owner
//! that finds marks of [`MAX_FAILED_OWNERS`] epochs treats the job like one that cannot be
//! decoded: none of its tasks starts, its runs go on, and ends that workers list stay
//! unacknowledged. An operator removes the marks to release the job. An owner that is killed
//! leaves no mark.

use super::invalid_values::{
    InvalidReason,
    StoredKind, //
};
use super::node::Node;
use super::records::{
    FailureMark,
    JobKeyKind,
    encode,
    mark_key,
    marks_prefix_of,
    parse_job_key,
    parse_mark_key, //
};
use super::store_types::{
    MAX_TRANSACTION_ENTRIES,
    StoreError,
    StoredRange,
    Transaction, //
};
use crate::core::JobId;
use crate::events;
use crate::platform::{
    HttpClient,
    StoreClient, //
};
use crate::timer::Timer;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::rc::Rc;

/// Number of owners that a job may end before it is set aside. One alone may have failed for
/// another reason.
const MAX_FAILED_OWNERS: usize = 2;
/// Timeout of the write of a mark. The next owner waits for it.
const MARK_TIMEOUT_MS: u64 = 400;

/// Stores that this daemon failed as the owner of `epoch` while it decided about a job. Without
/// an answer of the store the mark may be missing, and one more owner fails.
pub async fn store_mark(node: &Node, epoch: u64, job: JobId, message: &str) {
    let mark = FailureMark {
        daemon: node.settings.daemon.clone(),
        at_ms: node.now_ms(),
        message: message.to_owned(),
    };
    let transaction = Transaction {
        puts: vec![(mark_key(job, epoch), encode(&mark))],
        ..Transaction::default()
    };
    let write = node.store.commit(&transaction);
    let outcome = match node.timer.timeout(MARK_TIMEOUT_MS, write).await {
        Ok(Ok(_)) => "stored",
        Ok(Err(StoreError::Refused)) => "refused",
        Ok(Err(StoreError::NoAnswer)) | Err(_) => "no_answer",
    };
    metrics::counter!("fuchsiaslip_failure_marks_total", "outcome" => outcome).increment(1);
}

/// Returns the jobs that have to be set aside by the marks that a new owner has read.
pub fn set_aside_jobs(node: &Node, epoch: u64, marks: &StoredRange) -> BTreeSet<JobId> {
    let mut failed_epochs: BTreeMap<JobId, BTreeSet<u64>> = BTreeMap::new();
    for item in &marks.items {
        match parse_mark_key(&item.key) {
            Some((job, failed_epoch)) => {
                failed_epochs.entry(job).or_default().insert(failed_epoch);
            }
            None => node.report_invalid(
                StoredKind::FailureMark,
                item,
                &InvalidReason::because("bad_name"),
            ),
        }
    }
    failed_epochs.retain(|_, epochs| epochs.len() >= MAX_FAILED_OWNERS);
    for (job, epochs) in &failed_epochs {
        events::log(
            events::JOB_SET_ASIDE,
            format_args!("job {job}, epoch {epoch}, owners failed in epochs {epochs:?}"),
        );
    }
    let jobs: BTreeSet<JobId> = failed_epochs.into_keys().collect();
    metrics::gauge!("fuchsiaslip_kept", "what" => "set_aside_jobs").set(jobs.len() as f64);
    jobs
}

/// Removes the marks of jobs that are not stored any more.
pub fn remove_old_marks(node: &Rc<Node>, marks: &StoredRange, jobs: &StoredRange) {
    let stored: BTreeSet<JobId> = jobs
        .items
        .iter()
        .filter_map(|item| match parse_job_key(&item.key) {
            Some(JobKeyKind::Job(job)) => Some(job),
            _ => None,
        })
        .collect();
    let keys = marks.items.iter().map(|item| &item.key);
    let old = keys.filter(|key| parse_mark_key(key).is_some_and(|(job, _)| !stored.contains(&job)));
    let old: Vec<String> = old.cloned().collect();
    if old.is_empty() {
        return;
    }
    let node = node.clone();
    actix_rt::spawn(async move {
        // What is not removed now is found by the next owner.
        if let Err(error) = remove_keys(&node.store, &old).await {
            log::debug!("marks of deleted jobs are not removed: {error}");
        }
    });
}

/// Whether a job that was set aside still has the marks for it.
///
/// # Errors
///
/// The store refused or did not answer.
pub async fn is_set_aside(node: &Node, job: JobId) -> Result<bool, StoreError> {
    let marks = node.store.range(&marks_prefix_of(job), false).await?;
    Ok(marks.items.len() >= MAX_FAILED_OWNERS)
}

/// Releases a job that was set aside, in the fleet whose store is at `address`: removes its
/// marks. Returns their number.
///
/// # Errors
///
/// The store refused or did not answer.
pub async fn release_job(address: &str, timer: Timer, job: JobId) -> Result<usize, StoreError> {
    let store = StoreClient::new(HttpClient::open(timer), address);
    let marks = store.range(&marks_prefix_of(job), false).await?;
    let keys: Vec<String> = marks.items.into_iter().map(|item| item.key).collect();
    remove_keys(&store, &keys).await?;
    Ok(keys.len())
}

async fn remove_keys(store: &StoreClient, keys: &[String]) -> Result<(), StoreError> {
    for removed in keys.chunks(MAX_TRANSACTION_ENTRIES) {
        let transaction = Transaction {
            removed: removed.to_vec(),
            ..Transaction::default()
        };
        store.commit(&transaction).await?;
    }
    Ok(())
}
