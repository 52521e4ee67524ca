//! Passing a job's answer on, whole or not at all.

use crate::backend::HttpPlatform;
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

/// A worker that sends nothing for so long has gone away.
const CHUNK_TIMEOUT_MS: u64 = 10_000;

/// Why an answer cannot be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AnswerError {
    /// The worker that keeps it does not answer.
    #[error("the worker that keeps the answer does not answer; ask again later")]
    Unreachable,
    /// The answer is not the one that the job gave.
    #[error("the answer does not match its length and digest; ask again later")]
    Mismatch,
}

/// The body of an answer. Short answers come from the ledger; long ones are
/// streamed from their worker without being held whole.
///
/// # Errors
///
/// The worker does not answer, or has another answer than the job gave.
pub async fn body(
    platform: &HttpPlatform,
    timer: &Timer,
    attempt: AttemptId,
    record: &AnswerRecord,
    address: Option<&str>,
) -> Result<BoxBody, AnswerError> {
    if record.inline.len() as u64 == record.size_bytes {
        let digest = Sha256::digest(&record.inline);
        return match digest.as_slice() == record.sha256.as_ref() {
            true => Ok(BoxBody::new(record.inline.clone())),
            false => Err(mismatch()),
        };
    }
    let address = address.ok_or(AnswerError::Unreachable)?;
    let response = platform.answer(address, attempt).await;
    let chunks = response.ok_or(AnswerError::Unreachable)?;
    let checked = checked(chunks, timer.clone(), record.clone());
    Ok(BoxBody::new(SizedStream::new(
        record.size_bytes,
        Box::pin(checked),
    )))
}

fn mismatch() -> AnswerError {
    metrics::counter!("fuchsiaslip_answers_dropped_total", "reason" => "mismatch").increment(1);
    AnswerError::Mismatch
}

struct Checking<S> {
    chunks: S,
    timer: Timer,
    record: AnswerRecord,
    hasher: Sha256,
    seen_bytes: u64,
    /// The chunk that is passed on only once the next one or the end is seen.
    held: Option<Bytes>,
    done: bool,
}

/// Passes chunks on and holds the last one back until length and digest are
/// right. A wrong or cut answer thus never reaches its full length: the
/// connection is cut and the caller knows that it has not the whole.
fn checked<S, E>(
    chunks: S,
    timer: Timer,
    record: AnswerRecord,
) -> impl Stream<Item = Result<Bytes, AnswerError>>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    let start = Checking {
        chunks,
        timer,
        record,
        hasher: Sha256::new(),
        seen_bytes: 0,
        held: None,
        done: false,
    };
    stream::unfold(start, |mut state| async move {
        let item = state.next().await?;
        Some((item, state))
    })
}

impl<S, E> Checking<S>
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
                    self.seen_bytes += chunk.len() as u64;
                    if let Some(earlier) = self.held.replace(chunk) {
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
        let whole = self.seen_bytes == self.record.size_bytes
            && digest.as_slice() == self.record.sha256.as_ref();
        match whole {
            true => self.held.take().map(Ok),
            false => Some(Err(mismatch())),
        }
    }
}
