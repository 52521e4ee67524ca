//! A client of the daemon's HTTP face, for the command line, tests and demo.

use crate::timer::Timer;
use awc::http::{
    Method,
    StatusCode, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// Answers longer than this are not held in memory by this client.
const MAX_BODY_BYTES: usize = 128 << 20;
const CONNECT_SLACK_MS: u64 = 15_000;

/// What a caller submits.
#[derive(Clone, Debug, Serialize)]
pub struct Submit {
    /// Class of work.
    pub class: String,
    /// Accelerators on each worker.
    pub accelerators_per_worker: u16,
    /// Workers of the gang.
    pub workers: u16,
    /// How close the workers have to be.
    pub adjacency: crate::core::Adjacency,
    /// Whether the job may be started again after it may have begun.
    pub idempotent: bool,
    /// The caller's estimate of the run time.
    pub declared_run_ms: u64,
    /// What the task is given.
    pub payload: String,
}

/// A response of the daemon.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Name of the job, if the response is its answer.
    pub job: Option<String>,
    /// Its body.
    pub body: Bytes,
}

/// The part of an error's body that scripts use.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// Name of the error.
    pub error: String,
    /// What to do about it.
    pub message: String,
    /// Whether the job did not run and will not run.
    pub not_run: bool,
    /// When to ask again.
    pub retry_after_ms: Option<u64>,
}

/// The part of an accepted submission's body that scripts use.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct AcceptedBody {
    /// Name of the job.
    pub job: String,
}

impl Response {
    /// The body as an error's.
    pub fn error(&self) -> ErrorBody {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The job that was accepted.
    pub fn accepted(&self) -> Option<String> {
        let body: AcceptedBody = serde_json::from_slice(&self.body).ok()?;
        (self.status == StatusCode::ACCEPTED).then_some(body.job)
    }
}

/// Why there is no response.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ClientError {
    /// The daemon cannot be reached.
    #[error("{address} cannot be reached ({detail}); try another daemon")]
    Unreachable {
        /// The address.
        address: String,
        /// What the library said.
        detail: String,
    },
    /// The response did not come whole.
    #[error("the response did not come whole; ask again with the same key")]
    Cut,
}

/// A client of one daemon with one token; lives on one thread.
#[derive(Clone)]
pub struct Client {
    address: String,
    token: String,
    http: awc::Client,
    timer: Timer,
}

impl Client {
    /// A client of the daemon at `address`.
    pub fn open(address: &str, token: &str, timer: Timer) -> Self {
        Self {
            address: address.to_owned(),
            token: token.to_owned(),
            http: awc::Client::builder().disable_timeout().finish(),
            timer,
        }
    }

    /// Submits a job under the caller's own key and waits up to `wait_ms`.
    ///
    /// # Errors
    ///
    /// No whole response came.
    pub async fn submit(
        &self,
        key: &str,
        submit: &Submit,
        wait_ms: u64,
    ) -> Result<Response, ClientError> {
        let body = serde_json::to_vec(submit).unwrap_or_default();
        let path = format!("v1/jobs?wait_ms={wait_ms}");
        self.send(Method::POST, &path, Some(key), body.into(), wait_ms)
            .await
    }

    /// Explains a job.
    ///
    /// # Errors
    ///
    /// No whole response came.
    pub async fn status(&self, job: &str) -> Result<Response, ClientError> {
        self.get(&format!("v1/jobs/{job}"), 0).await
    }

    /// Fetches a job's answer, waiting up to `wait_ms` for it.
    ///
    /// # Errors
    ///
    /// No whole response came.
    pub async fn answer(&self, job: &str, wait_ms: u64) -> Result<Response, ClientError> {
        self.get(&format!("v1/jobs/{job}/answer?wait_ms={wait_ms}"), wait_ms)
            .await
    }

    /// Cancels jobs.
    ///
    /// # Errors
    ///
    /// No whole response came.
    pub async fn cancel(&self, jobs: &[String]) -> Result<Response, ClientError> {
        #[derive(Serialize)]
        struct Body<'a> {
            jobs: &'a [String],
        }
        let body = serde_json::to_vec(&Body { jobs }).unwrap_or_default();
        self.send(Method::POST, "v1/cancel", None, body.into(), 0)
            .await
    }

    /// Says what a patch would change.
    ///
    /// # Errors
    ///
    /// No whole response came.
    pub async fn plan(&self, patch: &str) -> Result<Response, ClientError> {
        let body = Bytes::copy_from_slice(patch.as_bytes());
        self.send(Method::POST, "v1/configuration/plan", None, body, 0)
            .await
    }

    /// Submits a patch.
    ///
    /// # Errors
    ///
    /// No whole response came.
    pub async fn apply(&self, patch: &str) -> Result<Response, ClientError> {
        let body = Bytes::copy_from_slice(patch.as_bytes());
        self.send(Method::POST, "v1/configuration/patches", None, body, 0)
            .await
    }

    /// Asks the daemon to drain.
    ///
    /// # Errors
    ///
    /// No whole response came.
    pub async fn drain(&self) -> Result<Response, ClientError> {
        self.send(Method::POST, "v1/drain", None, Bytes::new(), 0)
            .await
    }

    /// Fetches a path.
    ///
    /// # Errors
    ///
    /// No whole response came.
    pub async fn get(&self, path: &str, wait_ms: u64) -> Result<Response, ClientError> {
        self.send(Method::GET, path, None, Bytes::new(), wait_ms)
            .await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<Response, ClientError> {
        let limit_ms = wait_ms + CONNECT_SLACK_MS;
        let sent = self.send_unlimited(method, path, key, body);
        self.timer
            .timeout(limit_ms, sent)
            .await
            .unwrap_or(Err(ClientError::Cut))
    }

    async fn send_unlimited(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<Response, ClientError> {
        let url = format!("http://{}/{path}", self.address);
        let mut request = self.http.request(method, url).bearer_auth(&self.token);
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        let sent = match body.is_empty() {
            true => request.send().await,
            false => request.send_body(body).await,
        };
        let mut response = sent.map_err(|error| ClientError::Unreachable {
            address: self.address.clone(),
            detail: error.to_string(),
        })?;
        let status = response.status();
        let header = response.headers().get("x-job");
        let job = header
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = response.body().limit(MAX_BODY_BYTES).await;
        Ok(Response {
            status,
            job,
            body: body.map_err(|_| ClientError::Cut)?,
        })
    }
}
