//! Reads requests and writes responses.

use super::{
    ApiError,
    error, //
};
use crate::core::{
    Adjacency,
    Shape, //
};
use crate::intake::{
    self,
    BodyError, //
};
use crate::ledger::Submission;
use actix_http::body::BoxBody;
use actix_http::{
    Request,
    Response,
    StatusCode, //
};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{
    Deserialize,
    Serialize, //
};

/// The JSON body of a submission.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Class of the job.
    pub class: String,
    /// Accelerators on each worker.
    pub accelerators_per_worker: u16,
    /// Number of workers in the gang.
    #[serde(default = "one")]
    pub workers: u16,
    /// How close to each other the workers have to be.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Whether the job may be started again when it may already have begun. By default
    /// it runs at most once.
    #[serde(default)]
    pub idempotent: bool,
    /// The caller's estimate of the run time, in ms.
    pub declared_run_ms: u64,
    /// Payload that is passed to the task.
    #[serde(default)]
    pub payload: String,
}

fn one() -> u16 {
    1
}

impl SubmitBody {
    /// Converts the body to the submission of `account` under `key`.
    pub fn submission(self, account: &str, key: &str) -> Submission {
        let mut submission = Submission {
            account: account.to_owned(),
            class: self.class,
            idempotency_key: key.to_owned(),
            idempotent: self.idempotent,
            declared_run_ms: self.declared_run_ms,
            payload: self.payload.into(),
            ..Submission::default()
        };
        submission.set_shape(Shape {
            accelerators_per_worker: self.accelerators_per_worker,
            workers: self.workers,
            adjacency: self.adjacency,
        });
        submission
    }
}

/// Query parameters of requests that can wait for a job's end.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WaitQuery {
    /// How long to wait for the job's end, in ms.
    pub wait_ms: u64,
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// The body is too long, ended early or paused, or there is no memory for it.
pub async fn read(request: &mut Request, limit_bytes: usize) -> Result<Bytes, ApiError> {
    let body = intake::read_body(request, limit_bytes).await;
    body.map_err(|error| match error {
        BodyError::Broken => ApiError::TruncatedBody,
        BodyError::TooLarge => ApiError::OversizedBody { limit_bytes },
        BodyError::Paused => ApiError::PausedBody,
        BodyError::Exhausted | BodyError::TooSlow | BodyError::Draining => {
            ApiError::Refused(error::overloaded())
        }
    })
}

/// Reads and decodes a JSON body.
///
/// # Errors
///
/// The body is too long, ended early, or is not a valid `T`.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    limit_bytes: usize,
) -> Result<T, ApiError> {
    let body = read(request, limit_bytes).await?;
    serde_json::from_slice(&body).map_err(|error| ApiError::BadBody {
        detail: error.to_string(),
    })
}

/// Parses the query string.
///
/// # Errors
///
/// The query string is not a valid `T`.
pub fn query<T: DeserializeOwned>(request: &Request) -> Result<T, ApiError> {
    let text = request.uri().query().unwrap_or_default();
    serde_urlencoded::from_str(text).map_err(|error| ApiError::BadBody {
        detail: error.to_string(),
    })
}

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    Response::build(status)
        .content_type("application/json")
        .body(serde_json::to_vec(body).unwrap_or_default())
        .map_into_boxed_body()
}
