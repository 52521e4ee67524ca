//! Streams a job's answer to the caller.
//!
//! The last chunk is sent only after the length and digest of the answer are
//! verified, so the caller never receives a complete answer that does not match.

use crate::backend::HttpBackend;
use crate::core::AttemptId;
use crate::ledger::AnswerRecord;
use crate::timer::Timer;
use actix_http::body::{
    BoxBody,
    SizedStream, //
};
use bytes::Bytes;
use futures_util::{
    Stream,
    StreamExt,
    stream, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// A worker that sends no chunk for this long is treated as unreachable.
const CHUNK_TIMEOUT_MS: u64 = 10_000;

/// Why an answer cannot be sent to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AnswerError {
    /// The worker that stores the answer does not respond.
    #[error("the worker that stores the answer does not respond; ask again later")]
    Unreachable,
    /// The answer does not match the length and digest recorded for the job.
    #[error("the answer does not match its length and digest; ask again later")]
    Mismatch,
}

/// Returns the response body for an answer. Short answers come from the ledger; long
/// ones are streamed from their worker without being buffered whole.
///
/// # Errors
///
/// The worker does not respond, or an answer from the ledger does not match its
/// record. A streamed answer that does not match fails in its stream.
pub async fn body(
    platform: &HttpBackend,
    timer: &Timer,
    attempt: AttemptId,
    record: &AnswerRecord,
    address: Option<&str>,
) -> Result<BoxBody, AnswerError> {
    if record.inline.len() as u64 == record.size_bytes {
        let digest = Sha256::digest(&record.inline);
        return match digest.as_slice() == record.sha256.as_ref() {
            true => Ok(BoxBody::new(record.inline.clone())),
            false => Err(count_mismatch()),
        };
    }
    let address = address.ok_or(AnswerError::Unreachable)?;
    let response = platform.answer(address, attempt).await;
    let chunks = response.ok_or(AnswerError::Unreachable)?;
    let verified = verify_stream(chunks, timer.clone(), record.clone());
    Ok(BoxBody::new(SizedStream::new(
        record.size_bytes,
        Box::pin(verified),
    )))
}

fn count_mismatch() -> AnswerError {
    metrics::counter!("fuchsiaslip_answers_dropped_total", "reason" => "mismatch").increment(1);
    AnswerError::Mismatch
}

struct VerifiedStream<S> {
    chunks: S,
    timer: Timer,
    record: AnswerRecord,
    hasher: Sha256,
    received_bytes: u64,
    /// The last chunk received. It is passed on once another chunk arrives or the
    /// complete answer is verified.
    pending_chunk: Option<Bytes>,
    done: bool,
}

/// Passes chunks on, but keeps the last one back until length and digest are
/// verified. A wrong or truncated answer thus never reaches its full length: the
/// connection is closed early and the caller detects that the answer is incomplete.
fn verify_stream<S, E>(
    chunks: S,
    timer: Timer,
    record: AnswerRecord,
) -> impl Stream<Item = Result<Bytes, AnswerError>>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    let start = VerifiedStream {
        chunks,
        timer,
        record,
        hasher: Sha256::new(),
        received_bytes: 0,
        pending_chunk: None,
        done: false,
    };
    stream::unfold(start, |mut state| async move {
        let item = state.next().await?;
        Some((item, state))
    })
}

impl<S, E> VerifiedStream<S>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    async fn next(&mut self) -> Option<Result<Bytes, AnswerError>> {
        while !self.done {
            let chunk = self
                .timer
                .timeout(CHUNK_TIMEOUT_MS, self.chunks.next())
                .await;
            match chunk {
                Ok(Some(Ok(chunk))) => {
                    self.hasher.update(&chunk);
                    self.received_bytes += chunk.len() as u64;
                    if let Some(earlier) = self.pending_chunk.replace(chunk) {
                        return Some(Ok(earlier));
                    }
                }
                Ok(None) => return self.finish(),
                Ok(Some(Err(_))) | Err(_) => {
                    self.done = true;
                    return Some(Err(AnswerError::Unreachable));
                }
            }
        }
        None
    }

    fn finish(&mut self) -> Option<Result<Bytes, AnswerError>> {
        self.done = true;
        let digest = std::mem::take(&mut self.hasher).finalize();
        let is_verified = self.received_bytes == self.record.size_bytes
            && digest.as_slice() == self.record.sha256.as_ref();
        match is_verified {
            true => self.pending_chunk.take().map(Ok),
            false => Some(Err(count_mismatch())),
        }
    }
}
