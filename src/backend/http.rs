//! HTTP client of the platform's services, with the protocol that the stand-in serves.
//!
//! - Store: `GET /kv/KEY`, `GET /kv/KEY?after=V&wait_ms=N`,
//!   `PUT /kv/KEY?expect=V`, `PUT /lease/KEY?holder=H&ttl_ms=N`,
//!   `DELETE /lease/KEY?holder=H`. The header `x-version` has the version of a value.
//! - VM list: `GET /vms?data_centre=D` or `GET /vms?kind=daemon`, in JSON, with `etag`
//!   and `if-none-match`.
//! - Workers: `POST /reserve`, `/start`, `/stop`, `/inspect`, `/poll`, and
//!   `GET /answer`, with the parameters in the query. The body of `/start` is the
//!   payload of the task.

use super::{
    ListAnswer,
    ListScope,
    Membership,
    PollAnswer,
    Store,
    StoreAnswer,
    StoreCall,
    StoreFailure,
    TaskBody,
    TaskChange,
    TasksBody,
    WorkerAnswer,
    WorkerCall,
    WorkerFailure,
    Workers, //
};
use crate::core::AttemptId;
use crate::timer::Timer;
use crate::unsent::was_never_sent;
use awc::http::StatusCode;
use awc::{
    Client,
    ClientResponse, //
};
use bytes::Bytes;
use prost::Message;
use serde::{
    Deserialize,
    Serialize, //
};
use std::rc::Rc;

/// Header with the version of a stored value.
pub const VERSION_HEADER: &str = "x-version";
const STORE_TIMEOUT_MS: u64 = 1_000;
const WORKER_TIMEOUT_MS: u64 = 1_000;
/// Time added to the requested wait of a poll to get its timeout.
const POLL_SLACK_MS: u64 = 2_000;
const LIST_TIMEOUT_MS: u64 = 2_000;
const MAX_LIST_BYTES: usize = 8 << 20;
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// The body of a worker's answer to a poll, encoded with prost.
#[derive(Clone, PartialEq, Message)]
pub struct PollAnswerBody {
    /// The worker's incarnation, which changes when the worker restarts.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Whether the worker is leaving.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Number of the last change that this answer covers.
    #[prost(uint64, tag = "3")]
    pub cursor: u64,
    /// The changes after the cursor of the poll.
    #[prost(message, required, tag = "4")]
    pub tasks: TasksBody,
}

/// Parameters of worker calls, sent as the query of the URL.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WorkerQuery {
    /// The caller's epoch.
    #[serde(skip_serializing_if = "is_zero")]
    pub epoch: u64,
    /// The job of the attempt.
    #[serde(skip_serializing_if = "is_zero")]
    pub job: u64,
    /// Number of the attempt within its job.
    #[serde(skip_serializing_if = "is_zero")]
    pub attempt: u64,
    /// Bit mask of the accelerators to reserve.
    #[serde(skip_serializing_if = "is_zero")]
    pub mask: u64,
    /// A duration in milliseconds, by call: for `/reserve` the lifetime of the
    /// reservation, for `/start` the progress restored from a checkpoint, for `/stop`
    /// the grace period, for `/poll` the longest wait.
    #[serde(skip_serializing_if = "is_zero")]
    pub ms: u64,
    /// Number of the last change that the caller knows.
    #[serde(skip_serializing_if = "is_zero")]
    pub cursor: u64,
    /// Duration of the worker's lease, which the poll renews.
    #[serde(skip_serializing_if = "is_zero")]
    pub lease_ms: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl WorkerQuery {
    fn for_attempt(attempt: AttemptId, epoch: u64, ms: u64) -> Self {
        Self {
            epoch,
            job: attempt.job.0,
            attempt: u64::from(attempt.attempt),
            ms,
            ..Self::default()
        }
    }
}

/// A client of the platform's services at one address. It stays on the thread that
/// created it.
#[derive(Clone)]
pub struct HttpBackend {
    address: Rc<str>,
    client: Client,
    timer: Timer,
}

impl HttpBackend {
    /// Creates a client for the platform at `address`, an IP address with a port.
    pub fn open(address: &str, timer: Timer) -> Self {
        Self {
            address: address.into(),
            // The default headers (a date and a user agent) would add bytes to every
            // poll. The library's limit of 100 connections is lifted because the long
            // poll of each monitored worker occupies one: from the hundredth worker
            // on, a start would wait for a poll to end. The callers of this adapter
            // limit the number of calls in flight.
            client: Client::builder()
                .connector(awc::Connector::new().limit(0))
                .disable_timeout()
                .no_default_headers()
                .finish(),
            timer,
        }
    }

    /// Returns the key-value service.
    pub fn store(&self) -> Store {
        let platform = self.clone();
        Store::from_fn(move |call| {
            let platform = platform.clone();
            Box::pin(async move { platform.call_store(call).await })
        })
    }

    /// Returns a client of the workers.
    pub fn workers(&self) -> Workers {
        let platform = self.clone();
        Workers::from_fn(move |address, call| {
            let platform = platform.clone();
            Box::pin(async move { platform.call_worker(&address, call).await })
        })
    }

    /// Returns the list of VMs.
    pub fn membership(&self) -> Membership {
        let platform = self.clone();
        Membership::from_fn(move |scope, tag| {
            let platform = platform.clone();
            Box::pin(async move {
                let answer = platform.fetch_list(scope, &tag).await;
                answer.unwrap_or(ListAnswer::Unavailable)
            })
        })
    }

    /// Requests the answer of `attempt` from the worker at `address`. The response
    /// has its headers; its body is still to be read. Returns `None` if the worker
    /// does not respond in time or does not have the answer.
    pub async fn answer(&self, address: &str, attempt: AttemptId) -> Option<ClientResponse> {
        let query = encode_query(&WorkerQuery::for_attempt(attempt, 0, 0));
        let request = self.client.get(format!("http://{address}/answer?{query}"));
        let response = self.timer.timeout(WORKER_TIMEOUT_MS, request.send()).await;
        let response = response.ok()?.ok()?;
        (response.status() == StatusCode::OK).then(|| response.map_body(|_, body| body))
    }

    async fn call_store(&self, call: StoreCall) -> Result<StoreAnswer, StoreFailure> {
        let wait_ms = match &call {
            StoreCall::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let answer = self.send_store(call);
        let result = self.timer.timeout(STORE_TIMEOUT_MS + wait_ms, answer).await;
        result.unwrap_or(Err(StoreFailure::Timeout))
    }

    async fn send_store(&self, call: StoreCall) -> Result<StoreAnswer, StoreFailure> {
        let base = &self.address;
        let (request, body) = match call {
            StoreCall::Get { key } => (self.client.get(format!("http://{base}/kv/{key}")), None),
            StoreCall::Watch {
                key,
                after_version,
                wait_ms,
            } => {
                let query = format!("after={after_version}&wait_ms={wait_ms}");
                (
                    self.client.get(format!("http://{base}/kv/{key}?{query}")),
                    None,
                )
            }
            StoreCall::CompareAndSwap {
                key,
                expected_version,
                value,
            } => {
                let url = format!("http://{base}/kv/{key}?expect={expected_version}");
                (self.client.put(url), Some(value))
            }
            StoreCall::AcquireLease {
                key,
                holder,
                ttl_ms,
            } => {
                let url = format!("http://{base}/lease/{key}?holder={holder}&ttl_ms={ttl_ms}");
                (self.client.put(url), None)
            }
            StoreCall::ReleaseLease { key, holder } => {
                let url = format!("http://{base}/lease/{key}?holder={holder}");
                (self.client.delete(url), None)
            }
        };
        let sent = match body {
            Some(body) => request.send_body(body).await,
            None => request.send().await,
        };
        // If no connection was opened, the call had no effect. After any other
        // failure the call may have taken effect.
        let mut response = sent.map_err(|error| match was_never_sent(&error) {
            true => StoreFailure::Unavailable,
            false => StoreFailure::Timeout,
        })?;
        let version = parse_version(&response);
        let status = response.status();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|_| StoreFailure::Timeout)?;
        match (status, version) {
            (StatusCode::OK, Some(version)) => Ok(StoreAnswer::Value {
                version,
                value: body,
            }),
            (StatusCode::CREATED, Some(version)) => Ok(StoreAnswer::Written { version }),
            (StatusCode::NOT_FOUND, _) => Ok(StoreAnswer::Absent),
            (StatusCode::CONFLICT, _) => Ok(StoreAnswer::Conflict),
            (StatusCode::ACCEPTED, _) => Ok(StoreAnswer::Granted),
            (StatusCode::NO_CONTENT, _) => Ok(StoreAnswer::Released),
            (StatusCode::LOCKED, _) => Ok(StoreAnswer::Held {
                holder: String::from_utf8_lossy(&body).into_owned(),
            }),
            (StatusCode::SERVICE_UNAVAILABLE, _) => Err(StoreFailure::Unavailable),
            _ => Err(StoreFailure::Timeout),
        }
    }

    async fn fetch_list(&self, scope: ListScope, tag: &str) -> Option<ListAnswer> {
        let query = match scope {
            ListScope::DataCentre(name) => format!("data_centre={name}"),
            ListScope::Daemons => "kind=daemon".to_owned(),
        };
        let url = format!("http://{}/vms?{query}", self.address);
        let mut request = self.client.get(url);
        if !tag.is_empty() {
            request = request.insert_header(("if-none-match", tag));
        }
        let response = self.timer.timeout(LIST_TIMEOUT_MS, request.send()).await;
        let mut response = response.ok()?.ok()?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Some(ListAnswer::Unchanged);
        }
        let header = response.headers().get("etag");
        let tag = header
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let tag = tag.to_owned();
        let body = response.body().limit(MAX_LIST_BYTES).await.ok()?;
        let vms = serde_json::from_slice(&body).ok()?;
        Some(ListAnswer::Changed { tag, vms })
    }

    async fn call_worker(
        &self,
        address: &str,
        call: WorkerCall,
    ) -> Result<WorkerAnswer, WorkerFailure> {
        let timeout_ms = match &call {
            WorkerCall::Poll { wait_ms, .. } => wait_ms + POLL_SLACK_MS,
            _ => WORKER_TIMEOUT_MS,
        };
        let result = self
            .timer
            .timeout(timeout_ms, self.send_worker(address, call));
        result.await.unwrap_or(Err(WorkerFailure::Unresponsive))
    }

    async fn send_worker(
        &self,
        address: &str,
        call: WorkerCall,
    ) -> Result<WorkerAnswer, WorkerFailure> {
        let is_poll = matches!(call, WorkerCall::Poll { .. });
        let (path, query, body) = encode_call(call);
        let url = format!("http://{address}/{path}?{}", encode_query(&query));
        let request = self.client.post(url);
        let sent = match body.is_empty() {
            true => request.send().await,
            false => request.send_body(body).await,
        };
        let mut response = sent.map_err(|_| WorkerFailure::Unresponsive)?;
        let status = response.status();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|_| WorkerFailure::Unresponsive)?;
        match status {
            StatusCode::OK if is_poll => decode_poll(&body),
            StatusCode::OK => decode_state(&body),
            StatusCode::ACCEPTED => Ok(WorkerAnswer::Done),
            StatusCode::CONFLICT => decode_refusal(&body),
            _ => Err(WorkerFailure::Unresponsive),
        }
    }
}

fn parse_version<B>(response: &ClientResponse<B>) -> Option<u64> {
    let header = response.headers().get(VERSION_HEADER)?;
    header.to_str().ok()?.parse().ok()
}

fn encode_query(query: &WorkerQuery) -> String {
    serde_urlencoded::to_string(query).unwrap_or_default()
}

fn encode_call(call: WorkerCall) -> (&'static str, WorkerQuery, Bytes) {
    match call {
        WorkerCall::Reserve {
            epoch,
            attempt,
            mask,
            expires_ms,
        } => {
            let query = WorkerQuery {
                mask: u64::from(mask),
                ..WorkerQuery::for_attempt(attempt, epoch, expires_ms)
            };
            ("reserve", query, Bytes::new())
        }
        WorkerCall::Start {
            epoch,
            attempt,
            progress_ms,
            payload,
        } => (
            "start",
            WorkerQuery::for_attempt(attempt, epoch, progress_ms),
            payload,
        ),
        WorkerCall::Stop {
            epoch,
            attempt,
            grace_ms,
        } => (
            "stop",
            WorkerQuery::for_attempt(attempt, epoch, grace_ms),
            Bytes::new(),
        ),
        WorkerCall::Inspect { epoch, attempt } => (
            "inspect",
            WorkerQuery::for_attempt(attempt, epoch, 0),
            Bytes::new(),
        ),
        WorkerCall::Poll {
            cursor,
            wait_ms,
            lease_ms,
        } => {
            let query = WorkerQuery {
                ms: wait_ms,
                cursor,
                lease_ms,
                ..WorkerQuery::default()
            };
            ("poll", query, Bytes::new())
        }
    }
}

fn decode_poll(body: &Bytes) -> Result<WorkerAnswer, WorkerFailure> {
    let body = PollAnswerBody::decode(body.clone()).map_err(|_| WorkerFailure::Unresponsive)?;
    let changes: Vec<TaskChange> = body
        .tasks
        .tasks
        .into_iter()
        .map(TaskBody::into_change)
        .collect();
    Ok(WorkerAnswer::Polled(PollAnswer {
        incarnation: body.incarnation,
        leaving: body.leaving,
        cursor: body.cursor,
        changes,
    }))
}

fn decode_state(body: &Bytes) -> Result<WorkerAnswer, WorkerFailure> {
    let body = TaskBody::decode(body.clone()).map_err(|_| WorkerFailure::Unresponsive)?;
    Ok(WorkerAnswer::State(body.into_change().state))
}

fn decode_refusal(body: &[u8]) -> Result<WorkerAnswer, WorkerFailure> {
    use super::WorkerRefusal;
    let refusal = WorkerRefusal::ALL
        .into_iter()
        .find(|refusal| refusal.name().as_bytes() == body);
    refusal
        .map(WorkerAnswer::Refused)
        .ok_or(WorkerFailure::Unresponsive)
}
