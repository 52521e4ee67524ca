//! Serves clients' HTTP requests: submits, cancels and queries jobs, and counts the
//! pending jobs of a queue.

use super::cancel;
use super::log_lines::{
    self,
    RequestLine, //
};
use super::node::Node;
use super::records::{
    JOB_ID_LENGTH,
    job_id, //
};
use super::storage_outcome::StorageOutcome;
use super::submit;
use super::tombstone_limits::Submitter;
use crate::network_bytes::{
    BytePurpose,
    Direction,
    HTTP_HEAD_BYTES,
    record_bytes, //
};
use crate::platform::{
    READINESS_PATH,
    account_key, //
    client_timeout_ms,
    decode_job,
    encode_pending,
    encode_state,
};
use crate::scheduler::{
    AccountDeclaration,
    JobRecord,
    Queue, //
    VersionedTerms,
};
use actix_http::body::BoxBody;
use actix_http::header::{
    CONNECTION,
    CONTENT_TYPE,
    HeaderValue,
    RETRY_AFTER, //
};
use actix_http::{
    HttpMessage,
    Method,
    Request,
    Response,
    StatusCode, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use std::rc::Rc;

/// How long a client waits if its request names no deadline.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Part of a client's deadline that is reserved for sending the answer back.
const ANSWER_RESERVE_MS: u64 = 300;
/// When a client may retry after a refusal: by then the store has usually recovered,
/// or a takeover is complete.
const RETRY_AFTER_S: u64 = 1;
/// Requests served concurrently; further ones are refused immediately.
const MAX_REQUESTS: usize = 512;

/// Why a request is refused; every refusal is counted under its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No configuration is known yet.
    #[error("this daemon has no configuration yet; try again in a second")]
    NoConfiguration,
    /// No queue has the request's host and path.
    #[error("no queue has this host and path; check them against the configuration")]
    NoSuchQueue,
    /// The key is missing or unknown.
    #[error("the key is missing or unknown; send a key of the configuration")]
    UnknownKey,
    /// The request cannot be decoded.
    #[error("the request cannot be decoded; see the interface's description")]
    Malformed,
    /// The body is too large.
    #[error("the body is too large; send less")]
    TooLarge,
    /// The method is not supported.
    #[error("the method is not supported here; use GET, POST or DELETE")]
    NoSuchMethod,
    /// The store refuses writes; the job was not accepted and never runs.
    #[error("the store refuses writes; nothing was accepted or run, retry after the time given")]
    StoreRefuses,
    /// Too many requests are being served.
    #[error("too many requests; nothing was accepted or run, retry after the time given")]
    Overloaded,
    /// The job was cancelled before it was stored; it never runs.
    #[error("the job was cancelled before it was stored; submit it under another name")]
    Cancelled,
    /// Too many cancellations named jobs that do not exist.
    #[error("too many cancellations of jobs that do not exist; retry after the time given")]
    TooManyCancellations,
    /// It is not known whether the job was accepted.
    #[error("the store did not answer; retry with the same job name")]
    OutcomeUnknown,
    /// Neither the owner nor the store answers a query.
    #[error("the owner and the store do not answer; retry")]
    NobodyAnswers,
    /// There is no such job.
    #[error("there is no such job")]
    NoSuchJob,
}

impl Refusal {
    /// The reason as counters and logs name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoSuchQueue => "no_such_queue",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::NoSuchMethod => "no_such_method",
            Self::StoreRefuses => "store_refuses",
            Self::Overloaded => "overloaded",
            Self::Cancelled => "cancelled",
            Self::TooManyCancellations => "too_many_cancellations",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::NobodyAnswers => "nobody_answers",
            Self::NoSuchJob => "no_such_job",
        }
    }

    /// Whether the same request may be answered otherwise a little later.
    fn may_retry(self) -> bool {
        let is_temporary = matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::GATEWAY_TIMEOUT
        );
        is_temporary && self != Self::Cancelled
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoSuchQueue => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoSuchMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::NoConfiguration | Self::StoreRefuses | Self::Cancelled => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Overloaded | Self::TooManyCancellations => StatusCode::TOO_MANY_REQUESTS,
            // A gateway timeout: the job is neither known to be accepted nor refused.
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::NobodyAnswers => StatusCode::GATEWAY_TIMEOUT,
            Self::NoSuchJob => StatusCode::GONE,
        }
    }
}

/// A client's request whose queue, account and deadline are known.
struct ParsedRequest {
    queue: Queue,
    /// The queue's terms, which a job accepted now keeps.
    terms: VersionedTerms,
    account: Option<AccountDeclaration>,
    /// The job's name: the path after the queue's prefix.
    name: String,
    /// When the answer has to be sent, since the Unix epoch.
    until_ms: u64,
}

impl ParsedRequest {
    /// Whom a cancellation comes from. On a public queue clients need no key, and one may come
    /// without it that was sent with the job.
    fn submitter(&self) -> Submitter {
        match &self.account {
            Some(account) if !self.queue.public => Submitter::account(&account.name),
            _ => Submitter::queue(&self.queue.name),
        }
    }
}

/// Answers the load balancer's check whether to send new connections here.
pub fn readiness(node: &Node, path: &str) -> Response<BoxBody> {
    let status = match (path == READINESS_PATH, node.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    Response::new(status).set_body(BoxBody::new(Bytes::new()))
}

/// Answers a client's request.
pub async fn answer(node: Rc<Node>, mut request: Request) -> Response<BoxBody> {
    let received_ms = node.now_ms();
    let in_progress = InProgress::begin(&node);
    let outcome = respond(&node, &mut request, received_ms).await;
    let outcome = outcome.map_err(|refusal| unless_stored_earlier(&node, &request, refusal));
    drop(in_progress);
    let took_ms = node.now_ms() - received_ms;
    let (status, body, reason) = match &outcome {
        Ok((status, body)) => (*status, body.clone(), "done"),
        Err(refusal) => (refusal.status(), Vec::new(), refusal.name()),
    };
    log_lines::request(&RequestLine {
        method: request.method().as_str(),
        path: request.path(),
        status: status.as_u16(),
        reason,
        took_ms,
        configuration_version: node.configuration().version,
        epoch: node.owner().map_or(0, |owner| owner.epoch),
        has_store: node.has_store(),
    });
    record_bytes(
        BytePurpose::Client,
        Direction::Out,
        body.len() + HTTP_HEAD_BYTES,
    );
    let mut response = Response::build(status);
    response.insert_header((CONTENT_TYPE, HeaderValue::from_static("application/json")));
    if outcome.is_err_and(Refusal::may_retry) {
        response.insert_header((RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S)));
    }
    if node.is_draining() {
        response.insert_header((CONNECTION, HeaderValue::from_static("close")));
    }
    response.body(Bytes::from(body)).map_into_boxed_body()
}

/// Counts a request as in progress until it is dropped, which also happens when the connection
/// of its client is reset.
struct InProgress {
    node: Rc<Node>,
}

impl InProgress {
    fn begin(node: &Rc<Node>) -> Self {
        let node = node.clone();
        node.requests.set(node.requests.get() + 1);
        set_request_gauge(&node);
        Self { node }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.node.requests.set(self.node.requests.get() - 1);
        set_request_gauge(&self.node);
    }
}

fn set_request_gauge(node: &Node) {
    metrics::gauge!("fuchsiaslip_requests_in_progress").set(node.requests.get() as f64);
}

type Answer = Result<(StatusCode, Vec<u8>), Refusal>;

async fn respond(node: &Rc<Node>, request: &mut Request, received_ms: u64) -> Answer {
    // The body is read even if the request is refused: closing with unread
    // bytes would reset the connection and lose the answer.
    let configuration = node.configuration();
    let body = read_body(request, configuration.limits.max_body_bytes).await;
    let body_bytes = body.as_ref().map_or(0, Bytes::len);
    record_bytes(
        BytePurpose::Client,
        Direction::In,
        body_bytes + HTTP_HEAD_BYTES,
    );
    if configuration.version == 0 {
        // Nor is the limit of a body known: one that is too large for the default may
        // be allowed.
        return Err(Refusal::NoConfiguration);
    }
    let body = body?;
    if node.requests.get() > MAX_REQUESTS {
        return Err(Refusal::Overloaded);
    }
    let parsed = parse_request(node, request, received_ms)?;
    match *request.method() {
        Method::POST | Method::PUT => submit(node, &parsed, &body, received_ms).await,
        Method::GET if parsed.name.is_empty() => {
            let pending = submit::pending(node, &parsed.queue.name, parsed.until_ms).await;
            let pending = pending.ok_or(Refusal::NobodyAnswers)?;
            Ok((StatusCode::OK, encode_pending(pending)))
        }
        Method::GET => {
            let job = job_id(&parsed.name).ok_or(Refusal::NoSuchJob)?;
            let job_status = submit::job_status(node, job, parsed.until_ms).await;
            match job_status.ok_or(Refusal::NobodyAnswers)? {
                Some(job_status) => Ok((StatusCode::OK, encode_state(job_status))),
                None if submit::may_still_be_stored(node, job, parsed.submitter()).await => {
                    Err(Refusal::OutcomeUnknown)
                }
                None => Err(Refusal::NoSuchJob),
            }
        }
        Method::DELETE => {
            let job = job_id(&parsed.name).ok_or(Refusal::NoSuchJob)?;
            match cancel::cancel(node, job, parsed.submitter(), parsed.until_ms).await {
                StorageOutcome::Done => Ok((StatusCode::OK, b"{}".to_vec())),
                StorageOutcome::LimitReached => Err(Refusal::TooManyCancellations),
                StorageOutcome::NoSuchJob => Err(Refusal::NoSuchJob),
                StorageOutcome::Refused => Err(Refusal::StoreRefuses),
                StorageOutcome::Unknown | StorageOutcome::Cancelled => Err(Refusal::OutcomeUnknown),
            }
        }
        _ => Err(Refusal::NoSuchMethod),
    }
}

/// The refusal of a request, or that the outcome is unknown if the refusal would deny a job that
/// an earlier request may have stored.
fn unless_stored_earlier(node: &Node, request: &Request, refusal: Refusal) -> Refusal {
    let is_submission = matches!(*request.method(), Method::POST | Method::PUT);
    let denies_job = matches!(refusal, Refusal::NoConfiguration | Refusal::Overloaded);
    // The queue, whose prefix the name follows, may not be known.
    let path = request.path();
    let name_start = path.len().checked_sub(JOB_ID_LENGTH);
    let job = name_start.and_then(|at| path.get(at..)).and_then(job_id);
    match job.is_some_and(|job| node.may_be_stored(job)) && is_submission && denies_job {
        true => Refusal::OutcomeUnknown,
        false => refusal,
    }
}

async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Refusal::Malformed)?;
        if body.len() + chunk.len() > limit {
            return Err(Refusal::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn parse_request(
    node: &Node,
    request: &Request,
    received_ms: u64,
) -> Result<ParsedRequest, Refusal> {
    let configuration = node.configuration();
    let headers = request.headers();
    let host = headers.get("host").and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let queue = configuration.queue_of(host, request.path());
    let queue = queue.ok_or(Refusal::NoSuchQueue)?.clone();
    let account = account_key(headers)
        .and_then(|key| configuration.account_of(key))
        .cloned();
    if account.is_none() && !queue.public {
        return Err(Refusal::UnknownKey);
    }
    let deadline_ms = client_timeout_ms(headers).unwrap_or(DEFAULT_DEADLINE_MS);
    Ok(ParsedRequest {
        name: request.path()[queue.path_prefix.len()..].to_owned(),
        terms: queue.terms_in(configuration.version),
        queue,
        account,
        until_ms: received_ms.saturating_add(deadline_ms.saturating_sub(ANSWER_RESERVE_MS)),
    })
}

async fn submit(node: &Rc<Node>, parsed: &ParsedRequest, body: &Bytes, received_ms: u64) -> Answer {
    let job = job_id(&parsed.name).ok_or(Refusal::Malformed)?;
    let spec = decode_job(body).map_err(|_| Refusal::Malformed)?;
    if spec.validation_error().is_some() {
        return Err(Refusal::Malformed);
    }
    let account = parsed.account.as_ref();
    let record = JobRecord {
        queue: parsed.queue.name.clone(),
        account: account.map_or_else(String::new, |account| account.name.clone()),
        received_ms,
        accepted_under: Some(parsed.terms.clone()),
        spec,
    };
    match submit::accept(node, job, record, parsed.until_ms).await {
        StorageOutcome::Done => Ok((StatusCode::OK, b"{}".to_vec())),
        StorageOutcome::Refused => Err(Refusal::StoreRefuses),
        StorageOutcome::Cancelled => Err(Refusal::Cancelled),
        StorageOutcome::Unknown | StorageOutcome::NoSuchJob | StorageOutcome::LimitReached => {
            Err(Refusal::OutcomeUnknown)
        }
    }
}
