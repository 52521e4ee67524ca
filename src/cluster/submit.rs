//! Stores accepted jobs, and answers queries for jobs.
//!
//! Any daemon stores a job itself, so jobs are accepted while the owner changes. The
//! outcome follows from the store's answer. A job is accepted if its commit was carried
//! out or its key already exists. It is not accepted if it was not sent to the store, since
//! that is known not to answer, or if the store refused it before anything was done. If the
//! store did not answer, the outcome is unknown, and the client retries with the same job
//! name; until a request for that job is answered otherwise, its outcome stays unknown. The
//! store may carry out such a write later, unless the job is cancelled (see [`super::cancel`]).

use super::invalid_values::StoredKind;
use super::node::Node;
use super::peer_connections::status_from_code;
use super::peer_frame::{
    JobBytes,
    PeerBody, //
};
use super::records::{
    cancelled_key,
    decode,
    decode_job_record,
    decode_progress,
    job_key,
    progress_key, //
};
use super::storage_outcome::StorageOutcome;
use super::store_types::{
    CommitResult,
    StoreError,
    StoredItem,
    Transaction, //
};
use super::tombstone_limits::Submitter;
use super::tombstones;
use crate::core::JobId;
use crate::scheduler::{
    Input,
    JobRecord,
    JobStatus, //
};
use bytes::Bytes;
use std::rc::Rc;
use std::sync::Arc;

/// Delay before a call that got no answer is retried.
pub const RETRY_MS: u64 = 40;
/// Timeout of asking a peer to store a job or a cancellation for this daemon.
pub const FORWARD_TIMEOUT_MS: u64 = 1_500;
/// Timeout of one query to the owner, which answers in a few milliseconds.
const OWNER_TIMEOUT_MS: u64 = 350;
/// How long a query for a job is sent to the owner, about the duration of a takeover;
/// then the store is read.
const OWNER_WAIT_MS: u64 = 900;
/// Delay before an unanswered query to the owner is retried.
const OWNER_RETRY_MS: u64 = 60;

/// Accepts a job, whose encoded record is `bytes`: stores it, from here or through a peer, and
/// notifies the owner.
pub async fn accept(
    node: &Rc<Node>,
    job: JobId,
    record: JobRecord,
    bytes: Bytes,
    until_ms: u64,
) -> StorageOutcome {
    let submitters = Submitter::all_of(&record);
    let mut outcome = store_job_if_answered(node, job, &submitters, bytes.clone(), until_ms).await;
    if outcome == StorageOutcome::Refused
        && let Some(peer) = node.peer_with_store(job)
    {
        metrics::counter!("fuchsiaslip_forwarded_total", "call" => "submit").increment(1);
        let body = PeerBody::Submit(JobBytes {
            job: job.0,
            record: bytes.to_vec(),
        });
        let answer = node.peers.request(peer, body, FORWARD_TIMEOUT_MS);
        outcome =
            recorded_if_unknown(node, job, async { StorageOutcome::of_answer(answer.await) }).await;
    } else if outcome == StorageOutcome::Done && node.owns() {
        send_job_input(node, job, record);
    } else if outcome == StorageOutcome::Done {
        notify_owner_of_job(node, job, bytes);
    }
    match outcome {
        StorageOutcome::Done => node.record_stored_job(job),
        StorageOutcome::Refused => return earlier_outcome(node, job).await,
        StorageOutcome::Unknown
        | StorageOutcome::Cancelled
        | StorageOutcome::NoSuchJob
        | StorageOutcome::LimitReached => {}
    }
    outcome
}

/// Records that the outcome of storing a job is unknown unless it is settled before the value
/// is dropped, which also happens when the connection of the job's client is reset.
struct UnsettledJob<'a> {
    node: &'a Node,
    job: JobId,
    is_settled: bool,
}

impl Drop for UnsettledJob<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.node.record_unknown_job(self.job);
        }
    }
}

/// Waits for the outcome of storing a job, and records it if it is or stays unknown.
async fn recorded_if_unknown(
    node: &Node,
    job: JobId,
    storing: impl Future<Output = StorageOutcome>,
) -> StorageOutcome {
    let mut unsettled = UnsettledJob {
        node,
        job,
        is_settled: false,
    };
    let outcome = storing.await;
    unsettled.is_settled = outcome != StorageOutcome::Unknown;
    outcome
}

/// The outcome of an earlier request for a job of which this request is refused, since a refusal
/// says that the job never runs; `Refused` if no earlier request is known. An owner knows all
/// stored jobs; one without recent heartbeats is not asked.
pub async fn earlier_outcome(node: &Rc<Node>, job: JobId) -> StorageOutcome {
    let has_owner = node.owns() || node.is_owner_alive();
    let known = match has_owner {
        true => ask_owner(node, job).await,
        false => Some(None),
    };
    match known {
        Some(Some(_)) => StorageOutcome::Done,
        Some(None) if !node.may_be_stored(job) => StorageOutcome::Refused,
        Some(None) | None => StorageOutcome::Unknown,
    }
}

/// Writes a job to the store unless that is known not to answer: an immediate refusal is
/// correct, whereas a call would end without a known outcome.
async fn store_job_if_answered(
    node: &Rc<Node>,
    job: JobId,
    submitters: &[Submitter],
    record: Bytes,
    until_ms: u64,
) -> StorageOutcome {
    match node.confirm_store().await {
        true => {
            let storing = store_job(node, job, submitters, record, until_ms);
            recorded_if_unknown(node, job, storing).await
        }
        false => StorageOutcome::Refused,
    }
}

/// Sends a stored job to this daemon's own scheduler.
fn send_job_input(node: &Node, job: JobId, record: JobRecord) {
    let input = Input::JobStored {
        id: job,
        record: Arc::new(record),
        progress: None,
    };
    node.control.send_input(node.epoch(), input);
}

/// Writes a job to the store.
async fn store_job(
    node: &Rc<Node>,
    job: JobId,
    submitters: &[Submitter],
    record: Bytes,
    until_ms: u64,
) -> StorageOutcome {
    let mut transaction = Transaction {
        expected: vec![(job_key(job), 0)],
        puts: vec![(job_key(job), record)],
        ..Transaction::default()
    };
    tombstones::expect_none(&mut transaction, job, submitters);
    // Whether a refusal means that no attempt has stored the job.
    let mut refusal_is_final = true;
    let mut timeout_ms = node.store_timeout_ms();
    loop {
        let call = node.store.commit_within(&transaction, timeout_ms);
        let outcome = node.call_store(call).await;
        // Allows for a slow store, and for a large job on a slow link.
        timeout_ms *= 2;
        match outcome {
            Ok(CommitResult::Done { .. }) => return StorageOutcome::Done,
            Ok(CommitResult::Conflict(items)) => {
                if let Some(outcome) = outcome_of_conflict(job, &items) {
                    return outcome;
                }
            }
            Ok(CommitResult::LeaseExpired) => return StorageOutcome::Refused,
            Err(StoreError::Refused) if refusal_is_final => return StorageOutcome::Refused,
            Err(StoreError::Refused) => {}
            Err(StoreError::NoAnswer) => refusal_is_final = false,
        }
        // An outage of the store may last for seconds: the client learns at once that
        // the outcome is unknown, and retries with the same job name.
        if node.now_ms() + RETRY_MS >= until_ms || !node.accepts_jobs() {
            return StorageOutcome::Unknown;
        }
        node.timer.sleep(RETRY_MS).await;
    }
}

/// The outcome of a job whose write conflicts with `items`; `None` if they do not show it.
fn outcome_of_conflict(job: JobId, items: &[StoredItem]) -> Option<StorageOutcome> {
    let key = job_key(job);
    if items.iter().any(|item| item.key == key) {
        // An existing key is that of the same job, sent again.
        return Some(StorageOutcome::Done);
    }
    tombstones::is_any_tombstone(items).then_some(StorageOutcome::Cancelled)
}

/// Stores a job for a peer that has lost the store.
pub async fn answer_peer(node: &Rc<Node>, job: JobId, record: Bytes, until_ms: u64) -> PeerBody {
    // What cannot be decoded here, a newer version's, was not sent to the store.
    let Ok(decoded) = decode::<JobRecord>(&record) else {
        return PeerBody::StorageOutcome(StorageOutcome::Refused.code());
    };
    let submitters = Submitter::all_of(&decoded);
    let outcome = store_job_if_answered(node, job, &submitters, record.clone(), until_ms).await;
    if outcome == StorageOutcome::Done {
        notify_owner_of_job(node, job, record);
    }
    PeerBody::StorageOutcome(outcome.code())
}

/// Notifies the owner of a stored job. The owner also watches the store, so a lost message
/// costs only time.
pub fn notify_owner_of_job(node: &Rc<Node>, job: JobId, record: Bytes) {
    if node.owns() {
        match decode_job_record(&record) {
            Ok(record) => send_job_input(node, job, record),
            // The watch of the store reports the invalid record.
            Err(_) => {
                node.record_unreadable(job);
                node.control
                    .send_input(node.epoch(), Input::JobUnreadable(job));
            }
        }
        return;
    }
    let body = PeerBody::Accepted(JobBytes {
        job: job.0,
        record: record.to_vec(),
    });
    notify_owner(node, body);
}

/// Sends the owner a message whose loss costs only time.
pub fn notify_owner(node: &Rc<Node>, body: PeerBody) {
    let Some(owner) = node.owner() else {
        return;
    };
    let node = node.clone();
    actix_rt::spawn(async move {
        if node
            .peers
            .request(owner.address, body, OWNER_TIMEOUT_MS)
            .await
            .is_none()
        {
            metrics::counter!("fuchsiaslip_retries_total", "reason" => "owner_not_told")
                .increment(1);
        }
    });
}

/// Returns the status of a job: `Some(None)` if there is no such job, `None` if neither
/// the owner nor the store answers.
pub async fn job_status(node: &Rc<Node>, job: JobId, until_ms: u64) -> Option<Option<JobStatus>> {
    let wait_until_ms = until_ms.min(node.now_ms() + OWNER_WAIT_MS);
    while node.owns() || node.is_owner_alive() {
        match ask_owner(node, job).await {
            Some(Some(status)) => return Some(Some(status)),
            // The owner may not know the job yet.
            Some(None) => break,
            None if node.now_ms() + OWNER_RETRY_MS >= wait_until_ms => break,
            None => {
                node.timer.sleep(OWNER_RETRY_MS).await;
            }
        }
    }
    status_in_store(node, job).await.ok()
}

/// Whether a job that is not stored may be stored by a request whose outcome is unknown. A
/// cancellation of its submitter excludes that.
pub async fn may_still_be_stored(node: &Node, job: JobId, submitter: Submitter) -> bool {
    if !node.may_be_stored(job) {
        return false;
    }
    let tombstone = tombstones::is_stored(node, job, submitter).await;
    !matches!(tombstone, Ok(true))
}

async fn ask_owner(node: &Rc<Node>, job: JobId) -> Option<Option<JobStatus>> {
    if node.owns() {
        return node.control.job_status(job).await;
    }
    let owner = node.owner()?;
    let answer = node.peers.request(
        owner.address,
        PeerBody::JobStatusOf(job.0),
        OWNER_TIMEOUT_MS,
    );
    match answer.await? {
        PeerBody::JobStatus(code) => Some(status_from_code(code)),
        _ => None,
    }
}

/// Derives a job's status from its stored values. The end of a job is stored before the
/// owner shows it, so the store knows every end that a client has seen.
async fn status_in_store(node: &Rc<Node>, job: JobId) -> Result<Option<JobStatus>, StoreError> {
    use crate::scheduler::FinalState;
    // The job is read last. All its values are removed together, so if it still exists,
    // its progress and cancellation existed when they were read. Read first, a job that
    // is completed and deleted meanwhile could be sent to the owner as a new one.
    let key = progress_key(job);
    let progress = node.store.get(&key).await?;
    let progress = progress
        .map(|item| node.valid_value(StoredKind::Progress, &item, decode_progress(&item.value)));
    let cancelled = node.store.get(&cancelled_key(job)).await?.is_some();
    let Some(item) = node.store.get(&job_key(job)).await? else {
        return Ok(None);
    };
    if cancelled {
        return Ok(Some(JobStatus::Cancelled));
    }
    let status = match progress.map(|progress| progress.and_then(|progress| progress.ended)) {
        Some(Some(FinalState::Completed)) => JobStatus::Completed,
        Some(Some(FinalState::Failed)) => JobStatus::Failed,
        // Also if the progress cannot be decoded: then the job has begun, and whether
        // it ended is not known.
        Some(None) => JobStatus::Running,
        None => JobStatus::Queued,
    };
    if status == JobStatus::Queued {
        notify_owner_of_job(node, job, item.value);
    }
    Ok(Some(status))
}

/// Returns how many accepted jobs of a queue are pending, or `None` if no owner answers. If no
/// owner is known to be alive, that is known at once.
pub async fn pending(node: &Rc<Node>, queue: &str, until_ms: u64) -> Option<u64> {
    while node.owns() || node.is_owner_alive() {
        let answer = if node.owns() {
            node.control.pending(queue).await
        } else if let Some(owner) = node.owner() {
            let body = PeerBody::PendingCountOf(queue.to_owned());
            match node
                .peers
                .request(owner.address, body, OWNER_TIMEOUT_MS)
                .await
            {
                Some(PeerBody::PendingCount(pending)) => Some(pending),
                _ => None,
            }
        } else {
            None
        };
        if answer.is_some() || node.now_ms() + OWNER_RETRY_MS >= until_ms {
            return answer;
        }
        node.timer.sleep(OWNER_RETRY_MS).await;
    }
    None
}
