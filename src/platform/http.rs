//! HTTP client with separate timeouts for the start of a response and for pauses in its
//! body.

use crate::network_bytes::{
    BytePurpose,
    Direction,
    HTTP_HEAD_BYTES,
    record_bytes, //
};
use crate::timer::Timer;
use crate::unsent::was_never_sent;
use awc::Client;
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

/// Largest response body that is read. A page of the store takes about a megabyte as
/// base64 in JSON.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A response is abandoned when no part of its body arrives for this long: a busy link of
/// 10 Mbit/s delays a packet by only some 100 ms.
const STALL_TIMEOUT_MS: u64 = 700;

/// Why a call got no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The connection was never opened, so nothing was sent.
    NotSent,
    /// The request was sent, at least in part, and its outcome is unknown.
    NoAnswer,
    /// The response body is longer than the client reads.
    TooLarge,
}

/// A client that reuses its connections. It stays on one thread.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    timer: Timer,
}

impl HttpClient {
    /// Creates a client.
    pub fn new(timer: Timer) -> Self {
        // The library's limit of 100 connections is lifted, because the open poll of each
        // worker occupies one. Callers bound the number of calls in flight.
        let connector = awc::Connector::new().limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, timer }
    }

    /// Makes a call whose response has to begin within `timeout_ms`; `kind` is what its bytes
    /// are counted as. The body may take
    /// longer as long as parts of it keep arriving: a configuration of a thousand queues
    /// takes seconds on the links of small VMs. An unresponsive connection is dropped
    /// with its call, so that the next call opens another.
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
        let sent = url.len() + body.as_ref().map_or(0, Vec::len) + HTTP_HEAD_BYTES;
        record_bytes(kind, Direction::Out, sent);
        let mut request = self.client.request(method, url);
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
            sent.map_err(|error| match was_never_sent(&error) {
                true => CallFailure::NotSent,
                false => CallFailure::NoAnswer,
            })
        };
        let head = self.timer.timeout(timeout_ms, sending).await;
        let mut response = head.unwrap_or(Err(CallFailure::NoAnswer))?;
        let status = response.status();
        let mut body = BytesMut::new();
        while let Ok(chunk) = self.timer.timeout(STALL_TIMEOUT_MS, response.next()).await {
            let Some(chunk) = chunk else {
                record_bytes(kind, Direction::In, body.len() + HTTP_HEAD_BYTES);
                return Ok((status, body.freeze()));
            };
            let chunk = chunk.map_err(|_| CallFailure::NoAnswer)?;
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return Err(CallFailure::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Err(CallFailure::NoAnswer)
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
        let body = serde_json::to_vec(body).map_err(|_| CallFailure::NotSent)?;
        self.call(kind, Method::POST, url, headers, Some(body), timeout_ms)
            .await
    }
}
