//! Decodes the bodies and headers of clients' requests and encodes the answers.

use crate::scheduler::{
    JobSpec,
    JobStatus,
    Resources,
    Schedule,
    StepSpec, //
};
use awc::http::header::HeaderMap;
use serde::de::{
    Error,
    SeqAccess,
    Visitor, //
};
use serde::{
    Deserialize,
    Deserializer,
    Serialize, //
};
use std::fmt;

/// Path of the load balancer's readiness check.
pub const READINESS_PATH: &str = "/-/readiness";

#[derive(Deserialize)]
struct JobBody {
    #[serde(default)]
    spec: String,
    #[serde(deserialize_with = "steps_within_limit")]
    steps: Vec<StepSpec>,
    #[serde(default)]
    repetitions: u32,
    #[serde(default)]
    start_at_ms: f64,
    #[serde(default)]
    interval_ms: f64,
}

#[derive(Deserialize)]
struct StepBody {
    #[serde(default = "one_task")]
    count: u32,
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
    #[serde(default)]
    estimated_ms: f64,
    #[serde(default)]
    after: Vec<u32>,
    #[serde(default)]
    checkpoints: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    #[serde(default)]
    requirements: String,
    /// The rack that holds the step's data.
    #[serde(default)]
    affinity: String,
    /// Most tasks of this step on one worker; tasks of other jobs do not count.
    #[serde(default)]
    anti_affinity: u32,
    #[serde(default)]
    allow_duplicates: bool,
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    image: String,
    #[serde(default)]
    target_ms: f64,
    #[serde(default)]
    fills: bool,
    #[serde(default)]
    max_unavailable: Option<u32>,
}

/// Most steps of a job: no body of the largest size that is allowed by default holds more steps
/// that name a number of tasks.
const MAX_STEPS: usize = 24_576;

/// Decodes steps, and stops at the first beyond the limit.
fn steps_within_limit<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<StepSpec>, D::Error> {
    struct Steps;

    impl<'de> Visitor<'de> for Steps {
        type Value = Vec<StepSpec>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(formatter, "at most {MAX_STEPS} steps")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
            let mut steps = Vec::new();
            while let Some(step) = sequence.next_element::<StepBody>()? {
                if steps.len() == MAX_STEPS {
                    return Err(A::Error::invalid_length(steps.len() + 1, &self));
                }
                let step = step_of(step);
                if let Some(problem) = step.validation_error(steps.len()) {
                    return Err(A::Error::custom(problem));
                }
                steps.push(step);
            }
            Ok(steps)
        }
    }

    deserializer.deserialize_seq(Steps)
}

fn one_task() -> u32 {
    1
}

/// Decodes a job.
///
/// # Errors
///
/// The bytes are not a valid job.
pub fn decode_job(body: &[u8]) -> Result<JobSpec, serde_json::Error> {
    let body: JobBody = serde_json::from_slice(body)?;
    let schedule = (body.repetitions > 0).then_some(Schedule {
        repetitions: body.repetitions,
        start_at_ms: body.start_at_ms as u64,
        interval_ms: body.interval_ms as u64,
    });
    Ok(JobSpec {
        payload: body.spec,
        steps: body.steps,
        schedule,
    })
}

fn step_of(body: StepBody) -> StepSpec {
    StepSpec {
        count: body.count,
        needs: Resources {
            cpu_millis: body.cpu,
            memory_mb: body.mem_mb,
            accelerators: body.gpu,
        },
        estimated_ms: body.estimated_ms as u64,
        after: body.after,
        checkpoints: body.checkpoints,
        gang: body.gang,
        same_rack: body.same_rack,
        required_label: body.requirements,
        data_rack: body.affinity,
        max_per_worker: body.anti_affinity,
        allow_duplicates: body.allow_duplicates,
        long_running: body.long_running,
        image: body.image,
        tail_target_ms: body.target_ms as u64,
        fills: body.fills,
        max_unavailable: body.max_unavailable,
    }
}

#[derive(Serialize)]
struct StateBody {
    state: &'static str,
}

/// Encodes the state of a job for its client.
pub fn encode_state(status: JobStatus) -> Vec<u8> {
    let state = match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Completed => "completed",
        JobStatus::Failed => "failed",
        JobStatus::Cancelled => "cancelled",
    };
    serde_json::to_vec(&StateBody { state }).unwrap_or_default()
}

#[derive(Serialize)]
struct PendingBody {
    pending: u64,
}

/// Encodes the number of pending jobs of a queue for a client.
pub fn encode_pending(pending: u64) -> Vec<u8> {
    serde_json::to_vec(&PendingBody { pending }).unwrap_or_default()
}

/// Returns the account key that a client sends, if any.
pub fn account_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Token ").map(str::trim)
}

/// Returns how long a client waits for its answer, in milliseconds.
pub fn client_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    headers
        .get("deadline-ms")?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}
