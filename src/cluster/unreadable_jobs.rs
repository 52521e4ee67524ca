//! Rereads jobs with a stored value that cannot be decoded, until somebody has repaired
//! the value.
//!
//! No task of such a job starts meanwhile. The job's record and progress are sent to the
//! scheduler together: with the record alone, tasks that are done would run again.
//! A job whose record was removed counts as cancelled. Jobs that are set aside are read again
//! once they are released.

use super::invalid_values::StoredKind;
use super::node::Node;
use super::records::{
    decode_job_record,
    decode_progress,
    job_key,
    progress_key, //
};
use super::set_aside::is_set_aside;
use super::store_types::StoreError;
use crate::core::JobId;
use crate::scheduler::Input;
use std::rc::Rc;
use std::sync::Arc;

/// Time between two rounds. People repair such values, which takes minutes.
const ROUND_INTERVAL_MS: u64 = 3_000;
/// Jobs read in a round, each with two calls: at most a hundredth of what the store
/// handles.
const MAX_JOBS_PER_ROUND: usize = 16;

/// Rereads unreadable jobs for as long as this daemon owns under `epoch`.
pub async fn reread_jobs(node: Rc<Node>, epoch: u64) {
    let mut from = JobId(0);
    loop {
        node.timer.sleep(ROUND_INTERVAL_MS).await;
        if node.epoch() != epoch {
            return;
        }
        let jobs = node.unreadable_jobs(from, MAX_JOBS_PER_ROUND);
        from = match jobs.last() {
            Some(last) if jobs.len() == MAX_JOBS_PER_ROUND => JobId(last.0.saturating_add(1)),
            _ => JobId(0),
        };
        for job in jobs {
            // A job that the store does not answer for is read again in the next round.
            match read_job(&node, job).await {
                Ok(Some(input)) if node.epoch() == epoch => {
                    node.record_readable(job);
                    node.control.send_input(epoch, input);
                }
                _ => {}
            }
        }
    }
}

/// Returns the input for a job, or `None` if one of its values still cannot be decoded.
async fn read_job(node: &Node, job: JobId) -> Result<Option<Input>, StoreError> {
    if node.is_set_aside(job) && is_set_aside(node, job).await? {
        return Ok(None);
    }
    let progress = node.store.get(&progress_key(job)).await?;
    let Some(item) = node.store.get(&job_key(job)).await? else {
        return Ok(Some(Input::JobCancelled(job)));
    };
    let record = node.valid_value(StoredKind::Job, &item, decode_job_record(&item.value));
    let decoded_progress = match progress {
        None => Some(None),
        Some(item) => {
            node.pending_writes
                .record_revision(&item.key, item.revision);
            let decoded = decode_progress(&item.value);
            node.valid_value(StoredKind::Progress, &item, decoded)
                .map(Some)
        }
    };
    let (Some(record), Some(progress)) = (record, decoded_progress) else {
        return Ok(None);
    };
    Ok(Some(Input::JobReadable {
        id: job,
        record: Arc::new(record),
        progress,
    }))
}
