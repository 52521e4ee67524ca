//! The HTTP API for callers and operators.

mod body;
mod error;
mod jobs;
mod operate;

pub use error::ApiError;

use super::auth::{
    self,
    Caller, //
};
use super::patch::PatchOutcome;
use super::settings::Settings;
use super::status::Status;
use crate::backend::HttpBackend;
use crate::config::{
    Configuration,
    Patch,
    PatchProblem, //
};
use crate::owner::{
    Reply,
    Request, //
};
use crate::timer::Timer;
use actix_http::body::BoxBody;
use actix_http::{
    HttpMessage,
    Method,
    Request as HttpRequest,
    Response,
    StatusCode, //
};
use metrics_exporter_prometheus::PrometheusHandle;
use std::sync::Arc;
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// A command of an HTTP thread to the traffic thread.
pub enum ApiCommand {
    /// Send a request to the owner of a data centre.
    Route(String, Request, oneshot::Sender<Reply>),
    /// Submit a patch in the name of an operator.
    Patch(Box<Patch>, String, oneshot::Sender<PatchOutcome>),
    /// List what a patch would change.
    Plan(
        Box<Patch>,
        oneshot::Sender<Result<Vec<String>, Vec<PatchProblem>>>,
    ),
}

/// State that all HTTP threads share.
#[derive(Clone)]
pub struct Shared {
    /// The daemon's settings.
    pub settings: Arc<Settings>,
    /// State that all threads of the daemon share.
    pub status: Arc<Status>,
    /// The timer service.
    pub timer: Timer,
    /// Channel to the traffic thread.
    pub commands: mpsc::Sender<ApiCommand>,
    /// The metrics of the process.
    pub metrics: PrometheusHandle,
}

/// The HTTP API on one thread.
#[derive(Clone)]
pub struct Api {
    shared: Shared,
    platform: HttpBackend,
}

impl Api {
    /// Creates the API of the calling thread.
    pub fn open(shared: Shared) -> Self {
        let address = shared.settings.platform_address.to_string();
        let platform = HttpBackend::open(&address, shared.timer.clone());
        Self { shared, platform }
    }

    /// Answers one request.
    pub async fn answer(&self, mut request: HttpRequest) -> Response<BoxBody> {
        let _in_progress = self.shared.status.begin_request();
        match self.dispatch(&mut request).await {
            Ok(response) => response,
            Err(error) => error.response(),
        }
    }

    async fn dispatch(&self, request: &mut HttpRequest) -> Result<Response<BoxBody>, ApiError> {
        let path = request.path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let method = request.method().clone();
        match (&method, segments.as_slice()) {
            (&Method::GET, ["health"]) => Ok(Response::new(StatusCode::OK)),
            (&Method::GET, ["ready"]) => Ok(self.ready()),
            (&Method::GET, ["metrics"]) => Ok(self.render_metrics()),
            (&Method::POST, ["v1", "jobs"]) => self.submit(request).await,
            (&Method::GET, ["v1", "jobs", job]) => self.explain(request, job).await,
            (&Method::GET, ["v1", "jobs", job, "answer"]) => self.job_answer(request, job).await,
            (&Method::DELETE, ["v1", "jobs", job]) => self.cancel(request, &[job]).await,
            (&Method::POST, ["v1", "cancel"]) => self.cancel_many(request).await,
            (&Method::GET, ["v1", "configuration"]) => self.configuration(request),
            (&Method::POST, ["v1", "configuration", "plan"]) => self.plan(request).await,
            (&Method::POST, ["v1", "configuration", "patches"]) => self.apply(request).await,
            (&Method::GET, ["v1", "accounts", data_centre]) => {
                self.accounts(request, data_centre).await
            }
            (&Method::GET, ["v1", "workers", data_centre]) => {
                self.workers(request, data_centre).await
            }
            (&Method::POST, ["v1", "drain"]) => self.drain(request),
            (_, ["health" | "ready" | "metrics"] | ["v1", ..]) => Err(ApiError::NoSuchMethod),
            _ => Err(ApiError::NoSuchPath),
        }
    }

    /// Answers 200 while the configuration is confirmed to be current and the daemon does
    /// not drain, else 503.
    fn ready(&self) -> Response<BoxBody> {
        let now_ms = self.shared.timer.now_ms();
        let bound_ms = self.shared.settings.configuration_bound_ms;
        let current = self.shared.status.confirmed_ms() + bound_ms >= now_ms;
        Response::new(match current && !self.shared.status.is_draining() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    }

    fn render_metrics(&self) -> Response<BoxBody> {
        self.shared.metrics.run_upkeep();
        Response::build(StatusCode::OK)
            .content_type("text/plain; version=0.0.4")
            .body(self.shared.metrics.render())
            .map_into_boxed_body()
    }

    fn current(&self) -> Option<Arc<Configuration>> {
        self.shared.status.configuration()
    }

    fn caller(&self, request: &HttpRequest) -> Result<Caller, ApiError> {
        let header = request.headers().get("authorization");
        let token = header
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        let configuration = self.current();
        let bootstrap = self.shared.settings.bootstrap_operator_sha256.as_deref();
        token
            .and_then(|token| auth::authenticate(configuration.as_deref(), bootstrap, token))
            .ok_or(ApiError::UnknownToken)
    }

    fn account(&self, request: &HttpRequest) -> Result<String, ApiError> {
        match self.caller(request)? {
            Caller::Account(name) => Ok(name),
            Caller::Operator(_) => Err(ApiError::AccountsOnly),
        }
    }

    fn operator(&self, request: &HttpRequest) -> Result<String, ApiError> {
        match self.caller(request)? {
            Caller::Operator(name) => Ok(name),
            Caller::Account(_) => Err(ApiError::OperatorsOnly),
        }
    }

    async fn route(&self, data_centre: &str, request: Request) -> Reply {
        let (reply, receiver) = oneshot::channel();
        let command = ApiCommand::Route(data_centre.to_owned(), request, reply);
        match self.shared.commands.try_send(command) {
            Ok(()) => receiver.await.unwrap_or(Reply::OutcomeUnknown),
            Err(_) => Reply::Refused(error::overloaded()),
        }
    }
}
