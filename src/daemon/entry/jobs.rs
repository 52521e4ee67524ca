//! Endpoints for callers: submit, status, answer, cancel.

use super::super::answer;
use super::super::auth::Caller;
use super::super::directory::home_data_centre;
use super::body::{
    self,
    SubmitBody,
    WaitQuery, //
};
use super::{
    Api,
    ApiError, //
};
use crate::core::{
    AttemptId,
    JobId,
    JobReport,
    Refusal,
    RefusalReason,
    parse_public_name, //
    public_name,
};
use crate::ledger::OutcomeCode;
use crate::owner::{
    Ended,
    Reply,
    Request, //
};
use actix_http::body::BoxBody;
use actix_http::{
    HttpMessage,
    Request as HttpRequest,
    Response,
    StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::BTreeMap;

const MAX_KEY_LENGTH: usize = 128;
/// The JSON body of a submission may be longer than the maximum payload by this factor,
/// for escapes, and by `BODY_EXTRA_BYTES`, for the other fields.
const BODY_FACTOR: usize = 2;
const BODY_EXTRA_BYTES: usize = 4 << 10;
const MAX_CANCEL_BODY_BYTES: usize = 1 << 20;
const MAX_WAIT_MS: u64 = 10 * 60_000;
/// Interval at which a waiting request checks for a drain and, while the ownership
/// changes, retries.
const WAIT_CHECK_INTERVAL_MS: u64 = 200;
const NO_OWNER_RETRY_AFTER_MS: u64 = 2_000;

#[derive(Serialize)]
struct AcceptedBody {
    job: String,
    state: &'static str,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelBody {
    jobs: Vec<String>,
}

#[derive(Serialize)]
struct CancelledBody {
    cancelled: u32,
}

impl Api {
    pub(super) async fn submit(
        &self,
        request: &mut HttpRequest,
    ) -> Result<Response<BoxBody>, ApiError> {
        let account = self.account(request)?;
        let key = idempotency_key(request)?;
        let wait: WaitQuery = body::query(request)?;
        let limit_bytes = self.shared.settings.max_payload_bytes;
        let body_limit = limit_bytes * BODY_FACTOR + BODY_EXTRA_BYTES;
        let body: SubmitBody = body::read_json(request, body_limit).await?;
        if body.payload.len() > limit_bytes {
            return Err(ApiError::OversizedBody { limit_bytes });
        }
        let data_centre = self.home(&account, &key)?;
        let submission = body.submission(&account, &key);
        let request = Request::Submit {
            submission,
            received_ms: self.shared.timer.now_ms(),
        };
        let reply = self.route(&data_centre, request).await;
        let job = match reply {
            Reply::Accepted(job) => job,
            Reply::Refused(refusal) => return Err(ApiError::Refused(refusal)),
            // No owner received this request, but one may have received an earlier
            // request with the same key.
            Reply::NotOwner => return Err(ApiError::Refused(no_owner())),
            _ => return Err(ApiError::OutcomeUnknown),
        };
        let name = public_name(&data_centre, job);
        if wait.wait_ms == 0 {
            return Ok(accepted(name));
        }
        match self.wait(&data_centre, job, wait.wait_ms).await? {
            Some(ended) => self.ended_response(job, ended).await,
            None => Ok(accepted(name)),
        }
    }

    fn home(&self, account: &str, key: &str) -> Result<String, ApiError> {
        let configuration = self.current().ok_or(ApiError::UnknownToken)?;
        let declared = configuration.declaration.account(account);
        let data_centres = declared.map(|account| account.data_centres.as_slice());
        home_data_centre(data_centres.unwrap_or_default(), account, key)
            .cloned()
            .ok_or(ApiError::UnknownToken)
    }

    /// Waits for the job's end, for at most `wait_ms` and `MAX_WAIT_MS`. Returns `None` on
    /// a timeout and as soon as the daemon drains: the caller then learns that its job is
    /// accepted, and can ask another daemon.
    async fn wait(
        &self,
        data_centre: &str,
        job: JobId,
        wait_ms: u64,
    ) -> Result<Option<Box<Ended>>, ApiError> {
        let timer = &self.shared.timer;
        let until_ms = timer.now_ms() + wait_ms.min(MAX_WAIT_MS);
        while timer.now_ms() < until_ms && !self.shared.status.is_draining() {
            let remaining_ms = until_ms - timer.now_ms();
            let reply = tokio::select! {
                reply = self.route(data_centre, Request::Wait(job)) => reply,
                _ = timer.sleep(remaining_ms) => return Ok(None),
                () = self.drain_started() => return Ok(None),
            };
            match reply {
                Reply::Ended(ended) => return Ok(Some(ended)),
                Reply::NotFound => return Err(ApiError::NoSuchJob),
                // The ownership is changing, which does not affect the job.
                _ => {
                    timer.sleep(WAIT_CHECK_INTERVAL_MS).await;
                }
            }
        }
        Ok(None)
    }

    /// Waits until the daemon starts to drain.
    async fn drain_started(&self) {
        while !self.shared.status.is_draining() {
            self.shared.timer.sleep(WAIT_CHECK_INTERVAL_MS).await;
        }
    }

    /// Returns the response for an ended job: its answer if there is one, else its report.
    async fn ended_response(
        &self,
        job: JobId,
        ended: Box<Ended>,
    ) -> Result<Response<BoxBody>, ApiError> {
        let Some(record) = ended.answer.as_ref() else {
            let status = outcome_status(&ended.report.outcome);
            return Ok(body::json(status, &ended.report));
        };
        let attempt = AttemptId {
            job,
            attempt: record.attempt,
        };
        let address = ended.answer_address.as_deref();
        let timer = &self.shared.timer;
        let content = answer::body(&self.platform, timer, attempt, record, address).await?;
        let digest: String = record.sha256.iter().map(|b| format!("{b:02x}")).collect();
        let response = Response::build(StatusCode::OK)
            .content_type("application/octet-stream")
            .insert_header(("x-job", ended.report.job.as_str()))
            .insert_header(("x-answer-sha256", digest))
            .body(content)
            .map_into_boxed_body();
        Ok(response)
    }

    pub(super) async fn explain(
        &self,
        request: &HttpRequest,
        name: &str,
    ) -> Result<Response<BoxBody>, ApiError> {
        let caller = self.caller(request)?;
        let report = self.report(&caller, name).await?;
        Ok(body::json(StatusCode::OK, &report))
    }

    /// Returns the report of a job if the caller may see it. A job of another account is
    /// treated as one that does not exist.
    async fn report(&self, caller: &Caller, name: &str) -> Result<JobReport, ApiError> {
        let (data_centre, job) = parse_public_name(name).ok_or(ApiError::NoSuchJob)?;
        let report = match self.route(data_centre, Request::Explain(job)).await {
            Reply::Job(report) => *report,
            Reply::NotFound => return Err(ApiError::NoSuchJob),
            Reply::Refused(refusal) => return Err(ApiError::Refused(refusal)),
            _ => return Err(ApiError::OutcomeUnknown),
        };
        match caller {
            Caller::Account(account) if *account != report.account => Err(ApiError::NoSuchJob),
            _ => Ok(report),
        }
    }

    pub(super) async fn job_answer(
        &self,
        request: &HttpRequest,
        name: &str,
    ) -> Result<Response<BoxBody>, ApiError> {
        let caller = Caller::Account(self.account(request)?);
        let wait: WaitQuery = body::query(request)?;
        let report = self.report(&caller, name).await?;
        let (data_centre, job) = parse_public_name(name).ok_or(ApiError::NoSuchJob)?;
        let has_ended = report.outcome != OutcomeCode::None.name();
        if !has_ended && wait.wait_ms == 0 {
            return Err(ApiError::NotEnded);
        }
        let wait_ms = wait.wait_ms.max(NO_OWNER_RETRY_AFTER_MS);
        match self.wait(data_centre, job, wait_ms).await? {
            Some(ended) => self.ended_response(job, ended).await,
            None => Ok(accepted(name.to_owned())),
        }
    }

    pub(super) async fn cancel(
        &self,
        request: &HttpRequest,
        names: &[&str],
    ) -> Result<Response<BoxBody>, ApiError> {
        let account = self.account(request)?;
        let mut by_data_centre: BTreeMap<&str, Vec<JobId>> = BTreeMap::new();
        for name in names {
            let (data_centre, job) = parse_public_name(name).ok_or(ApiError::NoSuchJob)?;
            by_data_centre.entry(data_centre).or_default().push(job);
        }
        let mut cancelled = 0;
        for (data_centre, jobs) in by_data_centre {
            let account = account.clone();
            let request = Request::Cancel { account, jobs };
            match self.route(data_centre, request).await {
                Reply::Cancelled(count) => cancelled += count,
                Reply::Refused(refusal) => return Err(ApiError::Refused(refusal)),
                _ => return Err(ApiError::OutcomeUnknown),
            }
        }
        Ok(body::json(StatusCode::OK, &CancelledBody { cancelled }))
    }

    pub(super) async fn cancel_many(
        &self,
        request: &mut HttpRequest,
    ) -> Result<Response<BoxBody>, ApiError> {
        self.account(request)?;
        let body: CancelBody = body::read_json(request, MAX_CANCEL_BODY_BYTES).await?;
        let names: Vec<&str> = body.jobs.iter().map(String::as_str).collect();
        self.cancel(request, &names).await
    }
}

fn idempotency_key(request: &HttpRequest) -> Result<String, ApiError> {
    let header = request.headers().get("idempotency-key");
    let key = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    match key.is_empty() || key.len() > MAX_KEY_LENGTH {
        true => Err(ApiError::NoKey),
        false => Ok(key.to_owned()),
    }
}

fn no_owner() -> Refusal {
    let reason = RefusalReason::NoOwner;
    metrics::counter!("fuchsiaslip_refusals_total", "reason" => reason.name()).increment(1);
    Refusal {
        reason,
        not_run: false,
        retry_after_ms: NO_OWNER_RETRY_AFTER_MS,
    }
}

fn accepted(job: String) -> Response<BoxBody> {
    let body = AcceptedBody {
        job,
        state: "accepted",
    };
    body::json(StatusCode::ACCEPTED, &body)
}

fn outcome_status(outcome: &str) -> StatusCode {
    let is = |code: OutcomeCode| code.name() == outcome;
    if is(OutcomeCode::Cancelled) || is(OutcomeCode::CancelledNotRun) {
        StatusCode::GONE
    } else if is(OutcomeCode::MayHaveRun) {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::UNPROCESSABLE_ENTITY
    }
}
