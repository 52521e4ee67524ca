//! Error responses of the HTTP API.

use super::super::answer::AnswerError;
use crate::core::{
    Refusal,
    RefusalReason, //
};
use actix_http::body::BoxBody;
use actix_http::{
    Response,
    StatusCode, //
};
use serde::Serialize;

const OVERLOADED_RETRY_AFTER_MS: u64 = 1_000;
const MS_PER_SECOND: u64 = 1_000;

/// Why a request failed. The message names the remedy.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ApiError {
    /// The bearer token is missing or unknown.
    #[error("the bearer token is missing or belongs to nobody; ask an operator for one")]
    UnknownToken,
    /// An operator's token at a caller's endpoint.
    #[error("this is for client accounts; use an account's token")]
    AccountsOnly,
    /// A caller's token at an operator's endpoint.
    #[error("this is for operators; use an operator's token")]
    OperatorsOnly,
    /// The path does not exist.
    #[error("there is no such path; see docs/API.md")]
    NoSuchPath,
    /// The path does not support the method.
    #[error("the path does not take this method; see docs/API.md")]
    NoSuchMethod,
    /// The body ended early or the connection broke.
    #[error("the body ended before its length; send it whole")]
    TruncatedBody,
    /// The body is too long.
    #[error("the body is longer than {limit_bytes} bytes; send less")]
    OversizedBody {
        /// Maximum length of the body.
        limit_bytes: usize,
    },
    /// The body paused for too long.
    #[error("the body paused for too long; send it without pauses")]
    PausedBody,
    /// The body or the query string cannot be decoded.
    #[error("the body cannot be read: {detail}")]
    BadBody {
        /// Where and why.
        detail: String,
    },
    /// The submission has no valid idempotency key.
    #[error("the Idempotency-Key header is missing or too long; send 1 to 128 characters")]
    NoKey,
    /// The job does not exist or belongs to another account.
    #[error("there is no such job of this account; check its name")]
    NoSuchJob,
    /// The job has not ended.
    #[error("the job has not ended; ask again, or with wait_ms")]
    NotEnded,
    /// The request was not accepted. Only if the refusal has `not_run` set is it certain
    /// that the job did not run and will not run.
    #[error("{}", .0.reason.remedy())]
    Refused(Refusal),
    /// It is not known whether the request took effect.
    #[error("whether the request took effect is not known; send it again with the same key")]
    OutcomeUnknown,
    /// The job's answer cannot be sent now.
    #[error(transparent)]
    Answer(#[from] AnswerError),
    /// A patch is refused.
    #[error("the patch is refused: {}", .0.join("; "))]
    PatchRefused(Vec<String>),
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    message: String,
    /// True only if the job did not run and will not run.
    not_run: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Counts and returns the refusal of an overloaded daemon.
pub fn overloaded() -> Refusal {
    let reason = RefusalReason::Overloaded;
    metrics::counter!("fuchsiaslip_refusals_total", "reason" => reason.name()).increment(1);
    Refusal {
        reason,
        not_run: false,
        retry_after_ms: OVERLOADED_RETRY_AFTER_MS,
    }
}

impl ApiError {
    fn name(&self) -> &'static str {
        match self {
            Self::UnknownToken => "unknown_token",
            Self::AccountsOnly => "accounts_only",
            Self::OperatorsOnly => "operators_only",
            Self::NoSuchPath => "no_such_path",
            Self::NoSuchMethod => "no_such_method",
            Self::TruncatedBody => "truncated_body",
            Self::OversizedBody { .. } => "oversized_body",
            Self::PausedBody => "paused_body",
            Self::BadBody { .. } => "bad_body",
            Self::NoKey => "no_idempotency_key",
            Self::NoSuchJob => "no_such_job",
            Self::NotEnded => "not_ended",
            Self::Refused(refusal) => refusal.reason.name(),
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Answer(AnswerError::Unreachable) => "answer_unreachable",
            Self::Answer(AnswerError::Mismatch) => "answer_mismatch",
            Self::PatchRefused(_) => "patch_refused",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::UnknownToken => StatusCode::UNAUTHORIZED,
            Self::AccountsOnly | Self::OperatorsOnly => StatusCode::FORBIDDEN,
            Self::NoSuchPath | Self::NoSuchJob => StatusCode::NOT_FOUND,
            Self::NoSuchMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::OversizedBody { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::PausedBody => StatusCode::REQUEST_TIMEOUT,
            Self::TruncatedBody | Self::BadBody { .. } | Self::NoKey => StatusCode::BAD_REQUEST,
            Self::NotEnded | Self::PatchRefused(_) => StatusCode::CONFLICT,
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::Answer(_) => StatusCode::BAD_GATEWAY,
            Self::Refused(refusal) => refusal_status(refusal.reason),
        }
    }

    /// Counts the error and returns its response.
    pub fn response(&self) -> Response<BoxBody> {
        let name = self.name();
        metrics::counter!("fuchsiaslip_http_errors_total", "error" => name).increment(1);
        let retry_after_ms = match self {
            Self::Refused(refusal) if refusal.retry_after_ms > 0 => Some(refusal.retry_after_ms),
            _ => None,
        };
        let body = ErrorBody {
            error: name,
            message: self.to_string(),
            not_run: matches!(self, Self::Refused(refusal) if refusal.not_run),
            retry_after_ms,
        };
        let mut response = Response::build(self.status());
        response.content_type("application/json");
        if let Some(wait_ms) = retry_after_ms {
            let seconds = wait_ms.div_ceil(MS_PER_SECOND);
            response.insert_header(("retry-after", seconds.to_string()));
        }
        response
            .body(serde_json::to_vec(&body).unwrap_or_default())
            .map_into_boxed_body()
    }
}

fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownAccount => StatusCode::FORBIDDEN,
        RefusalReason::UnknownClass
        | RefusalReason::ImpossibleShape
        | RefusalReason::QuotaTooSmall => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::AccountQueueFull
        | RefusalReason::ClassQueueFull
        | RefusalReason::CannotMeetClass
        | RefusalReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::ConfigurationStale
        | RefusalReason::StoreUnavailable
        | RefusalReason::Draining
        | RefusalReason::NoOwner => StatusCode::SERVICE_UNAVAILABLE,
    }
}
