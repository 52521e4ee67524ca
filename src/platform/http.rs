//! Calls over HTTP with time-outs of our own.

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

/// Largest answer that is read: a page of the store is about a megabyte, in
/// base64 and JSON.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// An answer whose body stands still this long will not be whole: a busy link
/// of 10 Mbit/s delays a packet by some 100 ms.
const STALL_LIMIT_MS: u64 = 700;

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The connection was never opened: nothing was sent.
    NotSent,
    /// It was sent, at least in part, and nothing is known of it.
    NoAnswer,
    /// It was answered at a length that is not read.
    TooLarge,
}

/// A client that keeps its connections; lives on one thread.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    timer: Timer,
}

impl HttpClient {
    /// Opens a client.
    pub fn open(timer: Timer) -> Self {
        // The library's bound of 100 connections is lifted: each worker holds
        // one with its waiting look. What is under way is bounded by callers.
        let connector = awc::Connector::new().limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, timer }
    }

    /// Makes a call whose answer has to begin within `limit_ms`; its body may
    /// then take longer, as long as it goes on coming: a configuration of a
    /// thousand queues takes seconds on the links of small VMs. A connection
    /// that went silent is dropped with its call, so the next call opens
    /// another.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn call(
        &self,
        method: Method,
        url: String,
        headers: &[(&'static str, &str)],
        body: Option<Vec<u8>>,
        limit_ms: u64,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let mut request = self.client.request(method, url);
        for &(name, value) in headers {
            request = request.insert_header((name, value));
        }
        let sent = async {
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
        let begun = self.timer.timeout(limit_ms, sent).await;
        let mut response = begun.unwrap_or(Err(CallFailure::NoAnswer))?;
        let status = response.status();
        let mut body = BytesMut::new();
        while let Ok(chunk) = self.timer.timeout(STALL_LIMIT_MS, response.next()).await {
            let Some(chunk) = chunk else {
                return Ok((status, body.freeze()));
            };
            let chunk = chunk.map_err(|_| CallFailure::NoAnswer)?;
            if body.len() + chunk.len() > MAX_ANSWER_BYTES {
                return Err(CallFailure::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Err(CallFailure::NoAnswer)
    }

    /// Posts a JSON body.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn post<T: Serialize>(
        &self,
        url: String,
        headers: &[(&'static str, &str)],
        body: &T,
        limit_ms: u64,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let body = serde_json::to_vec(body).map_err(|_| CallFailure::NotSent)?;
        self.call(Method::POST, url, headers, Some(body), limit_ms)
            .await
    }
}
