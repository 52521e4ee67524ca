//! Reads the bodies of requests within the memory that all requests share.

use super::connection::BodyInProgress;
use super::connection_table::{
    Eviction,
    Exhausted,
    REQUEST_ALLOWANCE_BYTES, //
};
use super::{
    ConnectionHandle,
    server, //
};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{
    HttpMessage,
    Request, //
};
use bytes::Bytes;
use std::task::Poll;

/// First size of a buffer for a body whose length is not known.
const FIRST_BUFFER_BYTES: usize = 2 << 10;

/// Bytes of a body that are recorded together.
const RECORDED_BYTES: usize = 1 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// The connection ended, or the body is malformed.
    #[error("the body ended before its length; send it whole")]
    Broken,
    /// It is longer than allowed.
    #[error("the body is too large; send less")]
    TooLarge,
    /// The memory for requests is in use.
    #[error("the memory for requests is in use; retry later")]
    Exhausted,
    /// It arrived too slowly while others waited for its memory.
    #[error("the body arrived too slowly while others waited; retry later")]
    TooSlow,
    /// It paused for too long.
    #[error("the body paused for too long; send it without pauses")]
    Paused,
    /// The process is about to exit.
    #[error("this daemon is being stopped; retry at another one")]
    Draining,
}

impl From<Exhausted> for BodyError {
    fn from(_: Exhausted) -> Self {
        Self::Exhausted
    }
}

impl From<Eviction> for BodyError {
    fn from(reason: Eviction) -> Self {
        match reason {
            Eviction::MadeNoProgress => Self::TooSlow,
            Eviction::Paused => Self::Paused,
            Eviction::Draining => Self::Draining,
        }
    }
}

/// Whether a request has a body of so few bytes that reading it takes no memory from others.
pub fn is_small(request: &Request) -> bool {
    let connection = server::connection_of(request);
    let has_body = connection.is_some_and(|connection| connection.has_unread_body());
    !has_body || declared_bytes(request).is_some_and(|bytes| bytes <= REQUEST_ALLOWANCE_BYTES)
}

fn declared_bytes(request: &Request) -> Option<usize> {
    let length = request.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

/// Reads the whole body of a request. What it takes is held until the request is answered or
/// [`ConnectionHandle::hold`] sets another number of bytes.
///
/// # Errors
///
/// The body is longer than `limit_bytes`, did not arrive whole, or there is no memory for it.
pub async fn read_body(request: &Request, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let declared_bytes = declared_bytes(request);
    let connection = server::connection_of(request).ok_or(BodyError::Broken)?;
    if declared_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(BodyError::TooLarge);
    }
    let Some(mut in_progress) = connection.begin_body() else {
        return Ok(Bytes::new());
    };
    let most_bytes = declared_bytes.unwrap_or(limit_bytes);
    let mut body = Vec::new();
    // Chunks may have a byte each, so they are recorded together.
    let mut unrecorded_bytes = 0;
    while let Some(chunk) = next_chunk(&connection, &mut in_progress).await? {
        let length = body.len() + chunk.len();
        if length > limit_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > body.capacity() {
            let doubled = (body.capacity() * 2).max(FIRST_BUFFER_BYTES);
            let capacity = doubled.min(most_bytes).max(length);
            connection.hold(capacity)?;
            body.reserve_exact(capacity - body.len());
        }
        // A chunk may be a small part of a large buffer, so it is copied.
        body.extend_from_slice(&chunk);
        unrecorded_bytes += chunk.len();
        if unrecorded_bytes >= RECORDED_BYTES {
            connection.record_body(std::mem::take(&mut unrecorded_bytes));
        }
    }
    in_progress.end();
    Ok(Bytes::from(body))
}

/// The next part of a body; `None` after the last one.
async fn next_chunk(
    connection: &ConnectionHandle,
    body: &mut BodyInProgress,
) -> Result<Option<Bytes>, BodyError> {
    std::future::poll_fn(|cx| match connection.eviction() {
        Some(reason) => Poll::Ready(Err(reason.into())),
        None => body
            .poll_next(cx)
            .map(|chunk| chunk.transpose().map_err(|_| BodyError::Broken)),
    })
    .await
}
