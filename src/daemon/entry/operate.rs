//! Endpoints for operators: configuration, accounts, workers, drain.

use super::super::patch::PatchOutcome;
use super::body;
use super::{
    Api,
    ApiCommand,
    ApiError,
    error, //
};
use crate::config::{
    Patch,
    PatchProblem, //
};
use crate::core::{
    AccountReport,
    WorkerReport, //
};
use crate::owner::{
    Reply,
    Request, //
};
use actix_http::body::BoxBody;
use actix_http::{
    Request as HttpRequest,
    Response,
    StatusCode, //
};
use serde::Serialize;
use tokio::sync::oneshot;

const MAX_PATCH_BYTES: usize = 512 << 10;

#[derive(Serialize)]
struct VersionBody {
    version: u64,
}

#[derive(Serialize)]
struct PlanBody {
    base_version: u64,
    changes: Vec<String>,
}

#[derive(Serialize)]
struct AccountsBody {
    configuration_version: u64,
    fragmentation: f64,
    accounts: Vec<AccountReport>,
}

#[derive(Serialize)]
struct WorkersBody {
    workers: Vec<WorkerReport>,
}

fn patch_refused(problems: &[PatchProblem]) -> ApiError {
    ApiError::PatchRefused(problems.iter().map(ToString::to_string).collect())
}

impl Api {
    pub(super) fn configuration(
        &self,
        request: &HttpRequest,
    ) -> Result<Response<BoxBody>, ApiError> {
        self.operator(request)?;
        let configuration = self.current().unwrap_or_default();
        Ok(body::json(StatusCode::OK, configuration.as_ref()))
    }

    async fn read_patch(request: &mut HttpRequest) -> Result<Patch, ApiError> {
        let body = body::read(request, MAX_PATCH_BYTES).await?;
        let text = std::str::from_utf8(&body).map_err(|error| ApiError::BadBody {
            detail: error.to_string(),
        })?;
        toml::from_str(text).map_err(|error| ApiError::BadBody {
            detail: error.to_string(),
        })
    }

    pub(super) async fn plan(
        &self,
        request: &mut HttpRequest,
    ) -> Result<Response<BoxBody>, ApiError> {
        self.operator(request)?;
        let patch = Self::read_patch(request).await?;
        let base_version = patch.base_version;
        let (reply, receiver) = oneshot::channel();
        self.send_command(ApiCommand::Plan(Box::new(patch), reply))?;
        match receiver.await {
            Ok(Ok(changes)) => {
                let body = PlanBody {
                    base_version,
                    changes,
                };
                Ok(body::json(StatusCode::OK, &body))
            }
            Ok(Err(problems)) if problems.is_empty() => Err(ApiError::OutcomeUnknown),
            Ok(Err(problems)) => Err(patch_refused(&problems)),
            Err(_) => Err(ApiError::OutcomeUnknown),
        }
    }

    pub(super) async fn apply(
        &self,
        request: &mut HttpRequest,
    ) -> Result<Response<BoxBody>, ApiError> {
        let operator = self.operator(request)?;
        let patch = Self::read_patch(request).await?;
        let id = patch.id.clone();
        let (reply, receiver) = oneshot::channel();
        self.send_command(ApiCommand::Patch(Box::new(patch), operator, reply))?;
        match receiver.await {
            Ok(PatchOutcome::Accepted(configuration)) => {
                let accepted_version = configuration.accepted(&id).map(|summary| summary.version);
                let version = accepted_version.unwrap_or(configuration.version);
                Ok(body::json(StatusCode::OK, &VersionBody { version }))
            }
            Ok(PatchOutcome::Refused(problems)) => Err(patch_refused(&problems)),
            Ok(PatchOutcome::Unknown) | Err(_) => Err(ApiError::OutcomeUnknown),
        }
    }

    fn send_command(&self, command: ApiCommand) -> Result<(), ApiError> {
        self.shared
            .commands
            .try_send(command)
            .map_err(|_| ApiError::Refused(error::overloaded()))
    }

    pub(super) async fn accounts(
        &self,
        request: &HttpRequest,
        data_centre: &str,
    ) -> Result<Response<BoxBody>, ApiError> {
        self.operator(request)?;
        match self.route(data_centre, Request::Accounts).await {
            Reply::Accounts {
                accounts,
                fragmentation,
                configuration_version,
            } => Ok(body::json(
                StatusCode::OK,
                &AccountsBody {
                    configuration_version,
                    fragmentation,
                    accounts,
                },
            )),
            Reply::Refused(refusal) => Err(ApiError::Refused(refusal)),
            _ => Err(ApiError::OutcomeUnknown),
        }
    }

    pub(super) async fn workers(
        &self,
        request: &HttpRequest,
        data_centre: &str,
    ) -> Result<Response<BoxBody>, ApiError> {
        self.operator(request)?;
        match self.route(data_centre, Request::Workers).await {
            Reply::Workers(workers) => Ok(body::json(StatusCode::OK, &WorkersBody { workers })),
            Reply::Refused(refusal) => Err(ApiError::Refused(refusal)),
            _ => Err(ApiError::OutcomeUnknown),
        }
    }

    pub(super) fn drain(&self, request: &HttpRequest) -> Result<Response<BoxBody>, ApiError> {
        self.operator(request)?;
        self.shared.status.drain();
        Ok(Response::new(StatusCode::ACCEPTED))
    }
}
