//! Calls over HTTP with time-outs of our own.

use crate::timer::Timer;
use awc::Client;
use awc::http::{
    Method,
    StatusCode, //
};
use bytes::Bytes;
use serde::Serialize;

/// Largest answer that is read: a page of the store is about a megabyte, in
/// base64 and JSON.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The connection was never opened: nothing was sent.
    NotSent,
    /// It was sent, at least in part, and nothing is known of it.
    NoAnswer,
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

    /// Makes a call that may take `limit_ms`. A connection that went silent is
    /// dropped with its call, so the next call opens another.
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
            let mut response = sent.map_err(|error| match error {
                awc::error::SendRequestError::Connect(_) => CallFailure::NotSent,
                _ => CallFailure::NoAnswer,
            })?;
            let status = response.status();
            let body = response.body().limit(MAX_ANSWER_BYTES).await;
            let body = body.map_err(|_| CallFailure::NoAnswer)?;
            Ok((status, body))
        };
        let answered = self.timer.limit(limit_ms, sent).await;
        answered.unwrap_or(Err(CallFailure::NoAnswer))
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
