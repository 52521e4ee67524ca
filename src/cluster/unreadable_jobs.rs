//! Reading again jobs of which a stored value did not read.
//!
//! Nothing of them starts meanwhile. A value that somebody mends is found here,
//! together with the job's other value: told alone, a record that reads again
//! would make a job without its progress. A job whose record somebody removed is
//! taken for cancelled.

use super::invalid_values::StoredKind;
use super::node::Node;
use super::records::{
    decode_job_record,
    decode_progress,
    job_key,
    progress_key, //
};
use super::store_types::StoreError;
use crate::core::JobId;
use crate::scheduler::Input;
use std::rc::Rc;
use std::sync::Arc;

/// Time between two rounds: people mend such values, in minutes.
const AGAIN_MS: u64 = 3_000;
/// Jobs read in a round, each with two calls: at most a hundredth of what the
/// store takes.
const MOST_A_ROUND: usize = 16;

/// Reads them again and again, for as long as this daemon owns under `epoch`.
pub async fn read_again(node: Rc<Node>, epoch: u64) {
    let mut from = JobId(0);
    loop {
        node.timer.sleep(AGAIN_MS).await;
        if node.epoch() != epoch {
            return;
        }
        let jobs = node.unreadable_jobs(from, MOST_A_ROUND);
        from = match jobs.last() {
            Some(last) if jobs.len() == MOST_A_ROUND => JobId(last.0.saturating_add(1)),
            _ => JobId(0),
        };
        for job in jobs {
            // A store that does not answer is asked again in the next round.
            match read(&node, job).await {
                Ok(Some(input)) if node.epoch() == epoch => {
                    node.job_readable(job);
                    node.control.send_input(epoch, input);
                }
                _ => {}
            }
        }
    }
}

/// The job as news, if both its values read or it is gone.
async fn read(node: &Node, job: JobId) -> Result<Option<Input>, StoreError> {
    let progress = node.store.get(&progress_key(job)).await?;
    let Some(item) = node.store.get(&job_key(job)).await? else {
        return Ok(Some(Input::JobCancelled(job)));
    };
    let record = node.valid_value(StoredKind::Job, &item, decode_job_record(&item.value));
    let noted = match progress {
        None => Some(None),
        Some(item) => {
            node.pending_writes.note_revision(&item.key, item.revision);
            let read = decode_progress(&item.value);
            node.valid_value(StoredKind::Progress, &item, read)
                .map(Some)
        }
    };
    let (Some(record), Some(progress)) = (record, noted) else {
        return Ok(None);
    };
    Ok(Some(Input::JobReadable {
        id: job,
        record: Arc::new(record),
        progress,
    }))
}
