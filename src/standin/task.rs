//! Defines the tasks of stand-in workers, which do what their payload says.

use crate::core::JobId;
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// Length of a SHA-256 digest, the block that answers repeat.
const BLOCK_BYTES: usize = 32;

/// Description of a task, which is the payload of its job in JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskSpec {
    /// Run time of the task, in milliseconds.
    pub run_ms: u64,
    /// Length of the answer.
    pub answer_bytes: u64,
    /// Whether the task fails at the end of its run time.
    pub fail: bool,
    /// Text that makes the payloads of different jobs differ, and with them the answers.
    pub marker: String,
}

impl TaskSpec {
    /// Returns the payload that describes this task.
    pub fn payload(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a payload. An invalid payload gives a task that finishes at once.
    pub fn from_payload(payload: &[u8]) -> Self {
        serde_json::from_slice(payload).unwrap_or_default()
    }

    /// Returns the answer that a task of `job` with `payload` gives. Different jobs have
    /// different answers, so that a swapped answer is detected.
    pub fn answer(job: JobId, payload: &[u8]) -> Bytes {
        let size_bytes = Self::from_payload(payload).answer_bytes as usize;
        let mut hasher = Sha256::new();
        hasher.update(job.0.to_be_bytes());
        hasher.update(payload);
        let block = hasher.finalize();
        let blocks = size_bytes.div_ceil(BLOCK_BYTES);
        let mut answer = block.as_slice().repeat(blocks);
        answer.truncate(size_bytes);
        answer.into()
    }
}
