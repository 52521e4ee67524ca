//! What a stand-in worker's task does, as its payload says.

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

const BLOCK_BYTES: usize = 32;

/// The payload that stand-in workers understand, in JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskSpec {
    /// How long the task runs.
    pub run_ms: u64,
    /// Length of its answer.
    pub answer_bytes: u64,
    /// Whether it fails when it should finish.
    pub fail: bool,
    /// Makes payloads, and so answers, differ.
    pub marker: String,
}

impl TaskSpec {
    /// The payload for a job.
    pub fn payload(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Reads a payload; one that is not understood runs for no time.
    pub fn read(payload: &[u8]) -> Self {
        serde_json::from_slice(payload).unwrap_or_default()
    }

    /// The answer that the job of `payload` has to give, and no other job has.
    pub fn answer(job: JobId, payload: &[u8]) -> Bytes {
        let size_bytes = Self::read(payload).answer_bytes as usize;
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
