//! Serves clients' requests.

use super::log_lines::{
    self,
    RequestLine, //
};
use super::node::Node;
use super::records::job_id;
use super::submit::{
    self,
    StorageOutcome, //
};
use crate::platform::{
    READINESS_PATH,
    deadline_header,
    decode_job,
    encode_pending,
    encode_state,
    key_header, //
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

/// How long a client waits that does not say.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Kept of a client's time for the answer's way back.
const ANSWER_WAY_MS: u64 = 300;
/// When a client may come back after a refusal: the store is mostly back, or
/// a takeover over, within it.
const RETRY_AFTER_S: u64 = 1;
/// Requests answered at a time; more are refused at once.
const MAX_REQUESTS: usize = 512;

/// Why a request is refused; each has a counter.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No configuration is known yet.
    #[error("this daemon has no configuration yet; try again in a second")]
    NoConfiguration,
    /// No queue has that path.
    #[error("no queue has this host and path; check them against the configuration")]
    NoSuchQueue,
    /// The key is missing or not known.
    #[error("the key is not known; show a key of the configuration")]
    UnknownKey,
    /// The request does not read.
    #[error("the request does not read; see the interface's description")]
    Malformed,
    /// The body is too large.
    #[error("the body is too large; send less")]
    TooLarge,
    /// The method is not taken.
    #[error("the method is not taken here; use GET, POST or DELETE")]
    NoSuchMethod,
    /// The store refuses; the job was not accepted and never runs.
    #[error("the store refuses; not accepted and not run, come back after the time told")]
    StoreRefuses,
    /// Too many requests are being answered.
    #[error("too many requests; not accepted and not run, come back after the time told")]
    Overloaded,
    /// It is not known whether the job was accepted.
    #[error("the store did not answer; ask again with the same name")]
    OutcomeUnknown,
    /// Nobody can say now.
    #[error("the owner and the store do not answer; ask again")]
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
            Self::OutcomeUnknown => "outcome_unknown",
            Self::NobodyAnswers => "nobody_answers",
            Self::NoSuchJob => "no_such_job",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NoSuchQueue => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoSuchMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::NoConfiguration | Self::StoreRefuses => StatusCode::SERVICE_UNAVAILABLE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            // Neither accepted nor refused: a gateway's time-out says so.
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::NobodyAnswers => StatusCode::GATEWAY_TIMEOUT,
            Self::NoSuchJob => StatusCode::GONE,
        }
    }
}

/// What a request asks, once it is read.
struct Asked {
    queue: Queue,
    /// What a job that is accepted is held to.
    terms: VersionedTerms,
    account: Option<AccountDeclaration>,
    /// The path behind the queue's prefix.
    name: String,
    until_ms: u64,
}

/// Answers the balancer's question whether to send new connections.
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
    node.requests.set(node.requests.get() + 1);
    let outcome = respond(&node, &mut request, received_ms).await;
    node.requests.set(node.requests.get() - 1);
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
    let mut response = Response::build(status);
    response.insert_header((CONTENT_TYPE, HeaderValue::from_static("application/json")));
    let comes_back = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::GATEWAY_TIMEOUT
    );
    if comes_back {
        response.insert_header((RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S)));
    }
    if node.is_draining() {
        response.insert_header((CONNECTION, HeaderValue::from_static("close")));
    }
    response.body(Bytes::from(body)).map_into_boxed_body()
}

type Answer = Result<(StatusCode, Vec<u8>), Refusal>;

async fn respond(node: &Rc<Node>, request: &mut Request, received_ms: u64) -> Answer {
    // The body is read even if the request is refused: closing with unread
    // bytes would reset the connection and lose the answer.
    let configuration = node.configuration();
    let body = read_body(request, configuration.limits.max_body_bytes).await;
    if configuration.version == 0 {
        // Its bounds are not known either: a body that is too large now may not be.
        return Err(Refusal::NoConfiguration);
    }
    let body = body?;
    if node.requests.get() > MAX_REQUESTS {
        return Err(Refusal::Overloaded);
    }
    let asked = read_request(node, request, received_ms)?;
    match *request.method() {
        Method::POST | Method::PUT => submit(node, &asked, &body, received_ms).await,
        Method::GET if asked.name.is_empty() => {
            let pending = submit::pending(node, &asked.queue.name, asked.until_ms).await;
            let pending = pending.ok_or(Refusal::NobodyAnswers)?;
            Ok((StatusCode::OK, encode_pending(pending)))
        }
        Method::GET => {
            let job = job_id(&asked.name).ok_or(Refusal::NoSuchJob)?;
            let view = submit::job_status(node, job, asked.until_ms).await;
            let view = view.ok_or(Refusal::NobodyAnswers)?;
            let view = view.ok_or(Refusal::NoSuchJob)?;
            Ok((StatusCode::OK, encode_state(view)))
        }
        Method::DELETE => {
            let job = job_id(&asked.name).ok_or(Refusal::NoSuchJob)?;
            match submit::cancel(node, job, asked.until_ms).await {
                StorageOutcome::Done => Ok((StatusCode::OK, b"{}".to_vec())),
                StorageOutcome::NoSuchJob => Err(Refusal::NoSuchJob),
                StorageOutcome::Refused => Err(Refusal::StoreRefuses),
                StorageOutcome::Unknown => Err(Refusal::OutcomeUnknown),
            }
        }
        _ => Err(Refusal::NoSuchMethod),
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

fn read_request(node: &Node, request: &Request, received_ms: u64) -> Result<Asked, Refusal> {
    let configuration = node.configuration();
    let headers = request.headers();
    let host = headers.get("host").and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let queue = configuration.queue_of(host, request.path());
    let queue = queue.ok_or(Refusal::NoSuchQueue)?.clone();
    let account = key_header(headers)
        .and_then(|key| configuration.account_of(key))
        .cloned();
    if account.is_none() && !queue.public {
        return Err(Refusal::UnknownKey);
    }
    let deadline_ms = deadline_header(headers).unwrap_or(DEFAULT_DEADLINE_MS);
    Ok(Asked {
        name: request.path()[queue.path_prefix.len()..].to_owned(),
        terms: queue.terms_in(configuration.version),
        queue,
        account,
        until_ms: received_ms + deadline_ms.saturating_sub(ANSWER_WAY_MS),
    })
}

async fn submit(node: &Rc<Node>, asked: &Asked, body: &Bytes, received_ms: u64) -> Answer {
    let job = job_id(&asked.name).ok_or(Refusal::Malformed)?;
    let spec = decode_job(body).map_err(|_| Refusal::Malformed)?;
    if spec.problem().is_some() {
        return Err(Refusal::Malformed);
    }
    let account = asked.account.as_ref();
    let record = JobRecord {
        queue: asked.queue.name.clone(),
        account: account.map_or_else(String::new, |account| account.name.clone()),
        received_ms,
        accepted_under: Some(asked.terms.clone()),
        spec,
    };
    match submit::accept(node, job, record, asked.until_ms).await {
        StorageOutcome::Done => Ok((StatusCode::OK, b"{}".to_vec())),
        StorageOutcome::Refused => Err(Refusal::StoreRefuses),
        StorageOutcome::Unknown | StorageOutcome::NoSuchJob => Err(Refusal::OutcomeUnknown),
    }
}
