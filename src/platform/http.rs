//! HTTP client with separate timeouts for the start of a response and for pauses in its
//! body.

use super::connections::{
    ConnectionLimits,
    NoConnection,
    Origins,
    Priority, //
};
use crate::network_bytes::{
    BytePurpose,
    Direction,
    HTTP_HEAD_BYTES,
    record_bytes, //
};
use crate::timer::Timer;
use crate::unsent::was_never_sent;
use awc::error::{
    ConnectError,
    SendRequestError, //
};
use awc::http::{
    Method,
    StatusCode, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use serde::Serialize;
use std::rc::Rc;

/// Largest response body that is read. A page of the store takes about a megabyte as
/// base64 in JSON.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A response is abandoned when no part of its body arrives for this long: a busy link of
/// 10 Mbit/s delays a packet by only some 100 ms.
const STALL_TIMEOUT_MS: u64 = 700;

/// Why a call got no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// All connections to the server were in use, so nothing was sent.
    NoConnection,
    /// The connection was never opened, so nothing was sent.
    NotSent,
    /// The request was sent, at least in part, and its outcome is unknown.
    NoAnswer,
    /// The response body is longer than the client reads.
    TooLarge,
}

/// A request to a server.
#[derive(Clone, Debug)]
pub struct HttpRequest<'a> {
    /// What its bytes are counted as.
    pub kind: BytePurpose,
    /// Its method.
    pub method: Method,
    /// Its `http` URL.
    pub url: String,
    /// Its headers.
    pub headers: &'a [(&'static str, &'a str)],
    /// Its JSON body, if it has one.
    pub body: Option<Vec<u8>>,
    /// Time within which its response has to begin.
    pub timeout_ms: u64,
}

/// A client that reuses its connections. It stays on one thread.
#[derive(Clone)]
pub struct HttpClient {
    origins: Rc<Origins>,
    timer: Timer,
}

impl HttpClient {
    /// Opens a client with any number of connections; its callers bound the number of calls in
    /// flight.
    pub fn open(timer: Timer) -> Self {
        Self::open_with_limits(timer, ConnectionLimits::UNLIMITED)
    }

    /// Opens a client with bounds of its connections to each server.
    pub fn open_with_limits(timer: Timer, limits: ConnectionLimits) -> Self {
        Self {
            origins: Origins::open(timer.clone(), limits),
            timer,
        }
    }

    /// Closes all idle connections now, and the others when their calls have ended.
    pub fn close_connections(&self) {
        self.origins.close();
    }

    /// Makes a call of [`Priority::Normal`]; otherwise like [`HttpClient::call_with_priority`].
    ///
    /// # Errors
    ///
    /// No complete response came.
    pub async fn call(
        &self,
        kind: BytePurpose,
        method: Method,
        url: String,
        headers: &[(&'static str, &str)],
        body: Option<Vec<u8>>,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let request = HttpRequest {
            kind,
            method,
            url,
            headers,
            body,
            timeout_ms,
        };
        self.call_with_priority(request, Priority::Normal).await
    }

    /// Makes a call. Its body may take longer than its timeout as long as parts of it keep
    /// arriving: a configuration of a thousand queues takes seconds on the links of small VMs.
    /// An unresponsive connection is dropped with its call, so that the next call opens another.
    ///
    /// # Errors
    ///
    /// No complete response came.
    pub async fn call_with_priority(
        &self,
        request: HttpRequest<'_>,
        priority: Priority,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let kind = request.kind;
        let answer = self.exchange(request, priority).await;
        if let Err((_, reason)) = answer {
            metrics::counter!(
                "fuchsiaslip_call_failures_total",
                "purpose" => kind.name(), "reason" => reason
            )
            .increment(1);
        }
        answer.map_err(|(failure, _)| failure)
    }

    /// The string of an error is a label value of `fuchsiaslip_call_failures_total`.
    async fn exchange(
        &self,
        request: HttpRequest<'_>,
        priority: Priority,
    ) -> Result<(StatusCode, Bytes), (CallFailure, &'static str)> {
        let HttpRequest {
            kind,
            method,
            url,
            headers,
            body,
            timeout_ms,
        } = request;
        let call = self.origins.begin(&url);
        let permit = call.permit(priority).await;
        let _permit =
            permit.map_err(|NoConnection| (CallFailure::NoConnection, "no_connection"))?;
        let sent = url.len() + body.as_ref().map_or(0, Vec::len) + HTTP_HEAD_BYTES;
        record_bytes(kind, Direction::Out, sent);
        let mut request = call.client().request(method, &url);
        for &(name, value) in headers {
            request = request.insert_header((name, value));
        }
        let sending = async {
            let sent = match body {
                Some(body) => {
                    let request = request.insert_header(("content-type", "application/json"));
                    request.send_body(body).await
                }
                None => request.send().await,
            };
            sent.map_err(|error| failure_of(&error))
        };
        const NO_ANSWER: (CallFailure, &str) = (CallFailure::NoAnswer, "no_answer");
        let head = self.timer.timeout(timeout_ms, sending).await;
        let mut response = head.unwrap_or(Err(NO_ANSWER))?;
        call.record_answer();
        let status = response.status();
        let mut body = BytesMut::new();
        while let Ok(chunk) = self.timer.timeout(STALL_TIMEOUT_MS, response.next()).await {
            let Some(chunk) = chunk else {
                record_bytes(kind, Direction::In, body.len() + HTTP_HEAD_BYTES);
                return Ok((status, body.freeze()));
            };
            let chunk = chunk.map_err(|_| NO_ANSWER)?;
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return Err((CallFailure::TooLarge, "too_large"));
            }
            body.extend_from_slice(&chunk);
        }
        Err(NO_ANSWER)
    }

    /// Posts a JSON body; otherwise like [`HttpClient::call`].
    ///
    /// # Errors
    ///
    /// No complete response came.
    pub async fn post<T: Serialize>(
        &self,
        kind: BytePurpose,
        url: String,
        headers: &[(&'static str, &str)],
        body: &T,
        timeout_ms: u64,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        self.post_with_priority(kind, url, headers, body, timeout_ms, Priority::Normal)
            .await
    }

    /// Like [`HttpClient::post`] with a priority.
    ///
    /// # Errors
    ///
    /// No complete response came.
    pub async fn post_with_priority<T: Serialize>(
        &self,
        kind: BytePurpose,
        url: String,
        headers: &[(&'static str, &str)],
        body: &T,
        timeout_ms: u64,
        priority: Priority,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let body = serde_json::to_vec(body).map_err(|_| CallFailure::NotSent)?;
        let request = HttpRequest {
            kind,
            method: Method::POST,
            url,
            headers,
            body: Some(body),
            timeout_ms,
        };
        self.call_with_priority(request, priority).await
    }
}

fn failure_of(error: &SendRequestError) -> (CallFailure, &'static str) {
    match error {
        error if was_never_sent(error) => (CallFailure::NotSent, "not_connected"),
        SendRequestError::Connect(ConnectError::Disconnected) => (CallFailure::NoAnswer, "closed"),
        _ => (CallFailure::NoAnswer, "no_answer"),
    }
}
