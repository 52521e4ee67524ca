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
    encode,
    job_id, //
};
use super::storage_outcome::StorageOutcome;
use super::submit;
use super::tombstone_limits::Submitter;
use crate::intake::{
    self,
    BodyError, //
};
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
    JobBytes,
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
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;

/// How long a client waits if its request names no deadline.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Part of a client's deadline that is reserved for sending the answer back.
const ANSWER_RESERVE_MS: u64 = 300;
/// When a client may retry after a refusal: by then the store has usually recovered,
/// or a takeover is complete.
const RETRY_AFTER_S: u64 = 1;
/// Copies of a job's record while it is stored: itself, in the encoding of the store, in the
/// call to the store and in the buffer of its connection.
const RECORD_COPIES: usize = 5;
/// Whole requests served concurrently; further ones are refused immediately.
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
    /// The memory for requests is in use.
    #[error("the memory for requests is in use; nothing was accepted, retry after the time given")]
    NoMemory,
    /// The body arrived too slowly while others waited for its memory or its place.
    #[error("the body arrived too slowly; nothing was accepted, retry after the time given")]
    BodyTooSlow,
    /// The body paused for too long.
    #[error("the body paused for too long; send it without pauses")]
    BodyPaused,
    /// The daemon is about to exit, and the body was not whole.
    #[error("this daemon is being stopped; nothing was accepted, retry at another one")]
    Draining,
    /// Too many requests are being served.
    #[error("too many requests; nothing was accepted or run, retry after the time given")]
    Overloaded,
    /// The job was cancelled before it was stored; it never runs.
    #[error("the job was cancelled before it was stored; submit it under another name")]
    Cancelled,
    /// The owner has no memory left for the job.
    #[error(
        "the memory for jobs is in use; nothing was accepted or run, retry after the time given"
    )]
    NoJobMemory,
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
            Self::NoMemory => "no_memory",
            Self::NoJobMemory => "no_job_memory",
            Self::BodyTooSlow => "body_too_slow",
            Self::BodyPaused => "body_paused",
            Self::Draining => "draining",
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
            Self::NoConfiguration | Self::StoreRefuses | Self::Cancelled | Self::Draining => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Overloaded
            | Self::TooManyCancellations
            | Self::NoMemory
            | Self::NoJobMemory
            | Self::BodyTooSlow => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyPaused => StatusCode::REQUEST_TIMEOUT,
            // A gateway timeout: the job is neither known to be accepted nor refused.
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::NobodyAnswers => StatusCode::GATEWAY_TIMEOUT,
            Self::NoSuchJob => StatusCode::GONE,
        }
    }
}

impl From<BodyError> for Refusal {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Broken => Self::Malformed,
            BodyError::TooLarge => Self::TooLarge,
            BodyError::Exhausted => Self::NoMemory,
            BodyError::TooSlow => Self::BodyTooSlow,
            BodyError::Paused => Self::BodyPaused,
            BodyError::Draining => Self::Draining,
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
    let in_progress = CountedRequest::begin(&node, |node| &node.requests);
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

/// Counts a request until it is dropped, which also happens when the connection of its client is
/// reset.
struct CountedRequest {
    node: Rc<Node>,
    counter: fn(&Node) -> &Cell<usize>,
}

impl CountedRequest {
    fn begin(node: &Rc<Node>, counter: fn(&Node) -> &Cell<usize>) -> Self {
        counter(node).update(|requests| requests + 1);
        set_request_gauge(node);
        Self {
            node: node.clone(),
            counter,
        }
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        (self.counter)(&self.node).update(|requests| requests - 1);
        set_request_gauge(&self.node);
    }
}

fn set_request_gauge(node: &Node) {
    metrics::gauge!("fuchsiaslip_requests_in_progress").set(node.requests.get() as f64);
}

/// Checks whether this daemon serves requests at all.
fn check_served(node: &Node) -> Result<(), Refusal> {
    if node.configuration().version == 0 {
        return Err(Refusal::NoConfiguration);
    }
    match node.whole_requests.get() >= MAX_REQUESTS {
        true => Err(Refusal::Overloaded),
        false => Ok(()),
    }
}

type Answer = Result<(StatusCode, Vec<u8>), Refusal>;

async fn respond(node: &Rc<Node>, request: &mut Request, received_ms: u64) -> Answer {
    if !intake::is_small(request) {
        // Nothing is kept of a large body that cannot be accepted.
        check_served(node)?;
        parse_request(node, request, received_ms)?;
    }
    let limit_bytes = node.configuration().limits.max_body_bytes;
    // Small bodies are read even if the request is refused: closing with unread bytes would
    // reset the connection and may lose the answer.
    let body = intake::read_body(request, limit_bytes).await;
    let body_bytes = body.as_ref().map_or(0, Bytes::len);
    record_bytes(
        BytePurpose::Client,
        Direction::In,
        body_bytes + HTTP_HEAD_BYTES,
    );
    // Also if the body was not read: what is too large for the default limit may be allowed.
    check_served(node)?;
    let body = body?;
    let _whole = CountedRequest::begin(node, |node| &node.whole_requests);
    // The configuration may have changed while the body arrived.
    let parsed = parse_request(node, request, received_ms)?;
    match *request.method() {
        Method::POST | Method::PUT => submit(node, request, &parsed, body, received_ms).await,
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
    let denies_job = matches!(
        refusal,
        Refusal::NoConfiguration
            | Refusal::Overloaded
            | Refusal::NoMemory
            | Refusal::BodyTooSlow
            | Refusal::Draining
    );
    // The queue, whose prefix the name follows, may not be known.
    let path = request.path();
    let name_start = path.len().checked_sub(JOB_ID_LENGTH);
    let job = name_start.and_then(|at| path.get(at..)).and_then(job_id);
    match job.is_some_and(|job| node.may_be_stored(job)) && is_submission && denies_job {
        true => Refusal::OutcomeUnknown,
        false => refusal,
    }
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

async fn submit(
    node: &Rc<Node>,
    request: &Request,
    parsed: &ParsedRequest,
    body: Bytes,
    received_ms: u64,
) -> Answer {
    let job = job_id(&parsed.name).ok_or(Refusal::Malformed)?;
    let spec = decode_job(&body).map_err(|_| Refusal::Malformed)?;
    drop(body);
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
    let encoded = encode(&record);
    if encoded.len() > node.settings.value_bytes {
        return Err(Refusal::TooLarge);
    }
    if let Some(connection) = intake::connection_of(request) {
        let held_bytes = record.spec.memory_bytes() + encoded.len() * RECORD_COPIES;
        connection.hold(held_bytes).map_err(|_| Refusal::NoMemory)?;
    }
    let job_bytes = JobBytes::of(&record).needed();
    let can_be_held = node.job_room.borrow().can_hold(job_bytes);
    let is_admitted = node.job_room.borrow_mut().admit(job_bytes);
    let outcome = match is_admitted {
        true => submit::accept(node, job, record, encoded, parsed.until_ms).await,
        false => submit::earlier_outcome(node, job).await,
    };
    match outcome {
        StorageOutcome::Done => Ok((StatusCode::OK, b"{}".to_vec())),
        StorageOutcome::Refused if !can_be_held => Err(Refusal::TooLarge),
        StorageOutcome::Refused if !is_admitted => Err(Refusal::NoJobMemory),
        StorageOutcome::Refused => Err(Refusal::StoreRefuses),
        StorageOutcome::Cancelled => Err(Refusal::Cancelled),
        StorageOutcome::Unknown | StorageOutcome::NoSuchJob | StorageOutcome::LimitReached => {
            Err(Refusal::OutcomeUnknown)
        }
    }
}
