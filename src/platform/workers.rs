//! Client of the workers and of the external placement policy.

use super::connections::{
    ConnectionLimits,
    Priority, //
};
use super::http::{
    CallFailure,
    HttpClient, //
};
use crate::cluster::{
    AddressedCall,
    StartOrder,
    WorkerAnswer,
    WorkerCall, //
};
use crate::network_bytes::BytePurpose;
use crate::scheduler::{
    CallOutcome,
    EndKind,
    EndedRow,
    GroupKey,
    MAX_RUN,
    PollReport,
    RunName,
    RunningRow,
    StartRefusal,
    TaskId, //
};
use crate::timer::Timer;
use awc::http::StatusCode;
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use std::sync::Arc;

/// Timeout of a request to the external policy.
const ADVICE_TIMEOUT_MS: u64 = 3_000;
/// Largest time and largest number of an end in an answer; sums with it stay in range.
const MAX_NUMBER: u64 = 1 << 53;
/// Connections to a worker. The scheduler has at most one poll of a worker in flight.
const POLL_CONNECTIONS: usize = 1;
const ORDER_CONNECTIONS: usize = 3;
/// How many of the latter starts may take; the others are left for stops.
const START_CONNECTIONS: usize = 2;
const IDLE_CONNECTION_MS: u64 = 15_000;
const INCARNATION_HEADER: &str = "Expected-Instance";

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    run_id: u64,
    spec: &'a str,
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    run_id: u64,
    fencing_token: u64,
}

#[derive(Serialize)]
struct ThrottleBody {
    task: String,
    run_id: u64,
    percent: u32,
    fencing_token: u64,
}

#[derive(Serialize)]
struct PollBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
}

#[derive(Serialize)]
struct AdviseBody<'a> {
    step: String,
    workers: Vec<&'a str>,
}

/// Task, run, checkpoint, progress in percent and, if reported, usage.
#[derive(Deserialize)]
struct RunningBody(
    String,
    u64,
    #[serde(default)] Option<String>,
    #[serde(default)] Option<f64>,
    #[serde(default)] Option<f64>,
);

/// Number of the end, task, run, kind of the end, checkpoint.
#[derive(Deserialize)]
struct EndedBody(u64, String, u64, String, #[serde(default)] Option<String>);

#[derive(Deserialize)]
struct PollAnswerBody {
    clock_ms: u64,
    /// When the worker started, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: Option<u64>,
    #[serde(default)]
    running: Vec<RunningBody>,
    #[serde(default)]
    finished: Vec<EndedBody>,
}

#[derive(Default, Deserialize)]
struct RefusalBody {
    #[serde(default)]
    reason: String,
}

#[derive(Deserialize)]
struct AdviseAnswer {
    #[serde(default)]
    approved: Vec<(String, String)>,
}

/// Client of the workers and of the external placement policy. It stays on one thread.
#[derive(Clone)]
pub struct WorkerClient {
    polls: HttpClient,
    orders: HttpClient,
    advice: HttpClient,
}

impl WorkerClient {
    /// Opens a client.
    pub fn open(timer: Timer) -> Self {
        let poll_limits = ConnectionLimits {
            connections: POLL_CONNECTIONS,
            bulk_connections: 0,
            idle_ms: IDLE_CONNECTION_MS,
        };
        let order_limits = ConnectionLimits {
            connections: ORDER_CONNECTIONS,
            bulk_connections: START_CONNECTIONS,
            idle_ms: IDLE_CONNECTION_MS,
        };
        Self {
            polls: HttpClient::open_with_limits(timer.clone(), poll_limits),
            orders: HttpClient::open_with_limits(timer.clone(), order_limits),
            advice: HttpClient::open(timer),
        }
    }

    /// Closes all idle connections now, and the others when their calls have ended.
    pub fn close_connections(&self) {
        self.polls.close_connections();
        self.orders.close_connections();
        self.advice.close_connections();
    }

    /// Makes a call to a worker.
    pub async fn call(&self, call: &AddressedCall) -> WorkerAnswer {
        let epoch = call.epoch;
        let outcome = match &call.call {
            WorkerCall::Poll { .. } => {
                let answer = self.poll(call).await;
                return answer.map_or_else(WorkerAnswer::Outcome, WorkerAnswer::Report);
            }
            WorkerCall::Start(order) => {
                let body = start_body(epoch, order);
                self.order(call, "run-start", &body, Priority::Bulk).await
            }
            WorkerCall::Stop(name) => {
                let body = StopBody {
                    task: name.task.to_string(),
                    run_id: name.run,
                    fencing_token: epoch,
                };
                self.order(call, "run-stop", &body, Priority::Normal).await
            }
            &WorkerCall::Throttle { name, percent } => {
                let body = ThrottleBody {
                    task: name.task.to_string(),
                    run_id: name.run,
                    percent,
                    fencing_token: epoch,
                };
                self.order(call, "pace", &body, Priority::Normal).await
            }
        };
        WorkerAnswer::Outcome(outcome)
    }

    async fn order<T: Serialize>(
        &self,
        call: &AddressedCall,
        path: &str,
        body: &T,
        priority: Priority,
    ) -> CallOutcome {
        let url = format!("http://{}/-/{path}", call.address);
        let headers = [(INCARNATION_HEADER, &*call.worker_name)];
        let kind = BytePurpose::WorkerOrder;
        let timeout_ms = call.call.timeout_ms();
        let answer = self
            .orders
            .post_with_priority(kind, url, &headers, body, timeout_ms, priority);
        match answer.await {
            Ok((status, body)) => outcome_of(status, &body),
            Err(CallFailure::NoConnection) => CallOutcome::NotSent,
            // `NotSent` counts as no answer too: nothing of the order was sent, but the
            // packet that opens the connection may still be in flight.
            Err(_) => CallOutcome::NoAnswer,
        }
    }

    /// Polls a worker. The error is never `CallOutcome::Done`.
    async fn poll(&self, call: &AddressedCall) -> Result<PollReport, CallOutcome> {
        let WorkerCall::Poll {
            last_seen,
            lease_end_ms,
            wait_ms,
        } = call.call
        else {
            return Err(CallOutcome::NoAnswer);
        };
        let url = format!("http://{}/-/hold", call.address);
        let body = PollBody {
            deadline_ms: lease_end_ms,
            fencing_token: call.epoch,
            last_seen,
            wait_ms,
        };
        let headers = [(INCARNATION_HEADER, &*call.worker_name)];
        let timeout_ms = call.call.timeout_ms();
        let answer = self
            .polls
            .post(BytePurpose::WorkerPoll, url, &headers, &body, timeout_ms);
        let (status, body) = answer.await.map_err(|failure| match failure {
            CallFailure::NoConnection => CallOutcome::NotSent,
            _ => CallOutcome::NoAnswer,
        })?;
        if status != StatusCode::OK {
            return Err(outcome_of(status, &body));
        }
        decode_poll(&body).ok_or_else(|| {
            metrics::counter!("fuchsiaslip_worker_answers_unread_total").increment(1);
            CallOutcome::NoAnswer
        })
    }

    /// Asks the policy at `address` which of the workers may run a step. Returns the
    /// approved workers with their tickets, or `None` if the policy does not answer.
    pub async fn advise(
        &self,
        address: &str,
        step: GroupKey,
        workers: &[Arc<str>],
    ) -> Option<Vec<(String, Arc<str>)>> {
        let body = AdviseBody {
            step: format!("{}.{}.{}", step.job, step.occurrence, step.step),
            workers: workers.iter().map(|worker| &**worker).collect(),
        };
        let url = format!("http://{address}/-/advise");
        let answer = self
            .advice
            .post(BytePurpose::Other, url, &[], &body, ADVICE_TIMEOUT_MS);
        let answer = answer.await;
        let (status, body) = answer.ok()?;
        if status != StatusCode::OK {
            return None;
        }
        let answer: AdviseAnswer = serde_json::from_slice(&body).ok()?;
        let rows = answer.approved.into_iter();
        Some(rows.map(|(id, ticket)| (id, ticket.into())).collect())
    }
}

fn start_body(epoch: u64, order: &StartOrder) -> StartBody<'_> {
    StartBody {
        task: order.name.task.to_string(),
        run_id: order.name.run,
        spec: &order.payload,
        deadline_ms: order.lease_end_ms,
        fencing_token: epoch,
        checkpoint: order.checkpoint.as_deref(),
        ticket: order.ticket.as_deref(),
    }
}

fn outcome_of(status: StatusCode, body: &Bytes) -> CallOutcome {
    match status {
        StatusCode::OK => CallOutcome::Done,
        StatusCode::MISDIRECTED_REQUEST => CallOutcome::OtherIncarnation,
        StatusCode::BAD_REQUEST => CallOutcome::Refused(StartRefusal::Malformed),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            CallOutcome::Refused(StartRefusal::Unhealthy)
        }
        StatusCode::CONFLICT => {
            // An unknown reason is treated as the mildest: the start is tried elsewhere.
            let body: RefusalBody = serde_json::from_slice(body).unwrap_or_default();
            CallOutcome::Refused(match body.reason.as_str() {
                "fence" => StartRefusal::Fenced,
                "old" => StartRefusal::OldRun,
                "late" => StartRefusal::Late,
                "ticket" => StartRefusal::NoTicket,
                "room" => StartRefusal::NoCapacity,
                _ => StartRefusal::Unhealthy,
            })
        }
        _ => CallOutcome::NoAnswer,
    }
}

fn decode_poll(body: &[u8]) -> Option<PollReport> {
    let answer: PollAnswerBody = serde_json::from_slice(body)
        .inspect_err(|error| log::debug!("cannot decode a worker's answer to a poll: {error}"))
        .ok()?;
    let name = |task: &str, run| {
        let task: TaskId = task.parse().ok()?;
        (run <= MAX_RUN).then_some(RunName { task, run })
    };
    let in_range = |number| (number <= MAX_NUMBER).then_some(number);
    let running = answer.running.into_iter().map(|row| {
        Some(RunningRow {
            name: name(&row.0, row.1)?,
            checkpoint: row.2.unwrap_or_default().into(),
            percent: row.3.unwrap_or_default() as u32,
            usage: row.4,
        })
    });
    let ended = answer.finished.into_iter().map(|row| {
        Some(EndedRow {
            number: in_range(row.0)?,
            name: name(&row.1, row.2)?,
            kind: end_kind(&row.3)?,
            checkpoint: row.4.unwrap_or_default().into(),
        })
    });
    Some(PollReport {
        clock_ms: in_range(answer.clock_ms)?,
        incarnation_start_ms: match answer.born {
            Some(born) => Some(in_range(born)?),
            None => None,
        },
        running: running.collect::<Option<_>>()?,
        ended: ended.collect::<Option<_>>()?,
    })
}

fn end_kind(kind: &str) -> Option<EndKind> {
    match kind {
        "done" => Some(EndKind::Done),
        "failed" => Some(EndKind::Failed),
        "stopped" => Some(EndKind::Stopped),
        "lapsed" => Some(EndKind::LeaseExpired),
        "broken" => Some(EndKind::GangEnded),
        "alone" => Some(EndKind::GangIncomplete),
        _ => None,
    }
}
