//! A client of the daemon's HTTP API, for the command line, the tests and the demo.

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

/// Length limit of a response body; a longer one is an error.
const MAX_BODY_BYTES: usize = 128 << 20;
/// Time that a request may take beyond the wait that it asks for.
const CONNECT_SLACK_MS: u64 = 15_000;

/// The body of a submission.
#[derive(Clone, Debug, Serialize)]
pub struct Submit {
    /// Class of work.
    pub class: String,
    /// Number of accelerators on each worker.
    pub accelerators_per_worker: u16,
    /// Number of workers of the gang.
    pub workers: u16,
    /// How close to each other the workers have to be.
    pub adjacency: crate::core::Adjacency,
    /// Whether the job may be started again although an earlier attempt may have
    /// started.
    pub idempotent: bool,
    /// The caller's estimate of the run time, in milliseconds.
    pub declared_run_ms: u64,
    /// Input of the task.
    pub payload: String,
}

/// A response of the daemon.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Name of the job, if the response is the answer of a job.
    pub job: Option<String>,
    /// Body of the response.
    pub body: Bytes,
}

/// The part of an error's body that scripts use.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// Name of the error.
    pub error: String,
    /// Description of the error and its remedy.
    pub message: String,
    /// Whether the job did not run and will not run.
    pub not_run: bool,
    /// Milliseconds after which a retry may succeed, if the daemon named a time.
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
    /// Decodes the body as an error; every field has its default if that fails.
    pub fn error(&self) -> ErrorBody {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the name of the accepted job; `None` if no job was accepted.
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
        /// Address of the daemon.
        address: String,
        /// Error of the HTTP library.
        detail: String,
    },
    /// No complete response arrived in time, or its body is too long.
    #[error("no complete response arrived; retry with the same key")]
    Incomplete,
}

/// A client of one daemon with one token. It stays on the thread that created it.
#[derive(Clone)]
pub struct Client {
    address: String,
    token: String,
    http: awc::Client,
    timer: Timer,
}

impl Client {
    /// Creates a client of the daemon at `address`.
    pub fn open(address: &str, token: &str, timer: Timer) -> Self {
        Self {
            address: address.to_owned(),
            token: token.to_owned(),
            http: awc::Client::builder().disable_timeout().finish(),
            timer,
        }
    }

    /// Submits a job under the caller's idempotency key and waits up to `wait_ms` for
    /// its answer.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or no complete response arrived.
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

    /// Fetches the state of a job and the reason for it.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or no complete response arrived.
    pub async fn status(&self, job: &str) -> Result<Response, ClientError> {
        self.get(&format!("v1/jobs/{job}"), 0).await
    }

    /// Fetches a job's answer, waiting up to `wait_ms` for it.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or no complete response arrived.
    pub async fn answer(&self, job: &str, wait_ms: u64) -> Result<Response, ClientError> {
        self.get(&format!("v1/jobs/{job}/answer?wait_ms={wait_ms}"), wait_ms)
            .await
    }

    /// Cancels jobs.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or no complete response arrived.
    pub async fn cancel(&self, jobs: &[String]) -> Result<Response, ClientError> {
        #[derive(Serialize)]
        struct Body<'a> {
            jobs: &'a [String],
        }
        let body = serde_json::to_vec(&Body { jobs }).unwrap_or_default();
        self.send(Method::POST, "v1/cancel", None, body.into(), 0)
            .await
    }

    /// Fetches what a configuration patch would change, without applying it.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or no complete response arrived.
    pub async fn plan(&self, patch: &str) -> Result<Response, ClientError> {
        let body = Bytes::copy_from_slice(patch.as_bytes());
        self.send(Method::POST, "v1/configuration/plan", None, body, 0)
            .await
    }

    /// Submits a configuration patch.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or no complete response arrived.
    pub async fn apply(&self, patch: &str) -> Result<Response, ClientError> {
        let body = Bytes::copy_from_slice(patch.as_bytes());
        self.send(Method::POST, "v1/configuration/patches", None, body, 0)
            .await
    }

    /// Asks the daemon to drain.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or no complete response arrived.
    pub async fn drain(&self) -> Result<Response, ClientError> {
        self.send(Method::POST, "v1/drain", None, Bytes::new(), 0)
            .await
    }

    /// Fetches `path`. `wait_ms` is how long the daemon may wait before it responds.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or no complete response arrived.
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
        let timeout_ms = wait_ms + CONNECT_SLACK_MS;
        let response = self.send_without_timeout(method, path, key, body);
        self.timer
            .timeout(timeout_ms, response)
            .await
            .unwrap_or(Err(ClientError::Incomplete))
    }

    async fn send_without_timeout(
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
            body: body.map_err(|_| ClientError::Incomplete)?,
        })
    }
}
