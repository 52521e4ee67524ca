//! Keys and values that the product keeps in the store.

use super::invalid_values::InvalidReason;
use crate::core::JobId;
use crate::scheduler::{
    ClosedRuns,
    ConfirmedRun,
    JobRecord,
    ProgressRecord,
    RunName, //
};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{
    Deserialize,
    Serialize, //
};

/// The owner's epoch: every commit of an owner is conditional on it.
pub const ROOT_KEY: &str = "owner";
/// Workers that owners use or used.
pub const ROSTER_KEY: &str = "roster";
/// Accepted jobs and their cancellations.
pub const JOBS_PREFIX: &str = "jobs/";
/// Progress of jobs, written by the owner.
pub const PROGRESS_PREFIX: &str = "progress/";
/// Daemons, each under a lease.
pub const MEMBERS_PREFIX: &str = "members/";
/// Workers that owners closed, written by the owner.
pub const CLOSED_PREFIX: &str = "closed/";
/// Data centres that get no new tasks, as an owner came to know of it; written by
/// the owner for people to read.
pub const EMPTIED_PREFIX: &str = "emptied/";
const CANCELLED_SUFFIX: &str = "/cancelled";
/// Highest epoch that is believed: with one owner a second, after 30,000 years.
/// Runs are numbered by thousands for each epoch, and must not overflow.
const MAX_EPOCH: u64 = 1 << 40;
/// Highest number of a run that is believed, far above those of that epoch.
const MAX_RUN: u64 = 1 << 52;

/// An owner that was followed this long ago gives no more leases, and none that it
/// gave lasts: four times the 13.3 s of both, since daemons' clocks differ.
const EARLIER_MS: u64 = 60_000;

/// The value of the root.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RootRecord {
    /// The epoch; it only rises.
    pub epoch: u64,
    /// The owner's name.
    pub owner: String,
    /// Where the owner is called.
    pub address: String,
    /// The life of the owner's process.
    pub boot: u64,
    /// Owners before it that may still give leases; none in values that an older
    /// version stored.
    #[serde(default)]
    pub earlier: Vec<EarlierOwner>,
}

/// An owner that was followed by another and was not known to be over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EarlierOwner {
    /// Its name.
    pub owner: String,
    /// The life of its process.
    pub boot: u64,
    /// When it was followed, by the clock of the daemon that did.
    pub followed_ms: u64,
}

impl RootRecord {
    /// The owners, the one of this root among them, that may still give leases when
    /// a daemon takes over at `now_ms`. The last root alone does not tell: an owner
    /// that is cut off goes on, also if the one that followed it crashes at once.
    pub fn not_over(
        &self,
        now_ms: u64,
        is_incarnation_over: impl Fn(&str, u64) -> bool,
    ) -> Vec<EarlierOwner> {
        if self.epoch == 0 {
            return Vec::new();
        }
        let last = EarlierOwner {
            owner: self.owner.clone(),
            boot: self.boot,
            followed_ms: now_ms,
        };
        let known = self.earlier.iter().cloned().chain([last]);
        known
            .filter(|earlier| now_ms < earlier.followed_ms + EARLIER_MS)
            .filter(|earlier| !is_incarnation_over(&earlier.owner, earlier.boot))
            .collect()
    }
}

/// A row of the roster.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RosterRow {
    /// The worker's name.
    #[serde(rename = "incarnation")]
    pub worker_name: String,
    /// Where it is called.
    pub address: String,
}

/// Whether a worker gets no more starts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClosedRecord {
    /// It gets none. A record that says no takes the place of one that says
    /// yes: a late write of that one then no longer meets its condition.
    pub closed: bool,
    /// When the worker's incarnation started, since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation_start_ms: Option<u64>,
    /// Tasks and the numbers of their runs that may be there.
    pub runs: Vec<(String, u64)>,
    /// Those that the worker confirmed, with whether it did not respond after the
    /// start; none where an earlier version stored it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub confirmed: Vec<(String, u64, bool)>,
}

fn read_run(task: &str, run: u64) -> Option<RunName> {
    let task = task.parse().ok()?;
    Some(RunName { task, run })
}

impl ClosedRecord {
    /// The record of a worker with these runs.
    pub fn of(closed: bool, there: &ClosedRuns) -> Self {
        let runs = there.runs.iter();
        let confirmed = there.confirmed.iter();
        Self {
            closed,
            incarnation_start_ms: there.incarnation_start_ms,
            runs: runs.map(|name| (name.task.to_string(), name.run)).collect(),
            confirmed: confirmed
                .map(|run| (run.name.task.to_string(), run.name.run, run.at_start))
                .collect(),
        }
    }

    /// The runs, if the worker is closed and all of them read.
    pub fn closed_runs(&self) -> Option<ClosedRuns> {
        let runs = self.runs.iter().map(|(task, run)| read_run(task, *run));
        let confirmed = self.confirmed.iter().map(|(task, run, at_start)| {
            Some(ConfirmedRun {
                name: read_run(task, *run)?,
                at_start: *at_start,
                expected_end_ms: None,
            })
        });
        let closed = ClosedRuns {
            incarnation_start_ms: self.incarnation_start_ms,
            runs: runs.collect::<Option<_>>()?,
            confirmed: confirmed.collect::<Option<_>>()?,
        };
        self.closed.then_some(closed)
    }
}

/// A daemon as it registers itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Where other daemons reach it.
    pub address: String,
}

/// What a key under [`JOBS_PREFIX`] is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobKeyKind {
    /// The job itself.
    Job(JobId),
    /// Its cancellation.
    Cancelled(JobId),
}

/// The key of a job.
pub fn job_key(job: JobId) -> String {
    format!("{JOBS_PREFIX}{job}")
}

/// The key of a job's cancellation.
pub fn cancelled_key(job: JobId) -> String {
    format!("{JOBS_PREFIX}{job}{CANCELLED_SUFFIX}")
}

/// The key of a job's progress.
pub fn progress_key(job: JobId) -> String {
    format!("{PROGRESS_PREFIX}{job}")
}

/// The key of a daemon.
pub fn member_key(daemon: &str) -> String {
    format!("{MEMBERS_PREFIX}{daemon}")
}

/// The job that a text of 16 hexadecimal digits names.
pub fn job_id(text: &str) -> Option<JobId> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let value = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    value.map(JobId)
}

/// The key of a closed worker.
pub fn closed_key(worker_name: &str) -> String {
    format!("{CLOSED_PREFIX}{worker_name}")
}

/// Since when an owner knows that a data centre gets no new tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EmptiedRecord {
    /// The store's revision of the operators' order.
    pub revision: u64,
    /// When the first owner came to know of it, since the Unix epoch.
    pub known_since_ms: u64,
}

/// The key of a data centre that gets no new tasks.
pub fn emptied_key(data_centre: &str) -> String {
    format!("{EMPTIED_PREFIX}{data_centre}")
}

/// Reads a key under [`JOBS_PREFIX`].
pub fn read_job_key(key: &str) -> Option<JobKeyKind> {
    let name = key.strip_prefix(JOBS_PREFIX)?;
    match name.strip_suffix(CANCELLED_SUFFIX) {
        Some(job) => job_id(job).map(JobKeyKind::Cancelled),
        None => job_id(name).map(JobKeyKind::Job),
    }
}

/// A value as it is stored.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    // Plain structs of numbers and texts always encode.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Reads a stored value.
///
/// # Errors
///
/// It is none of this kind.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, InvalidReason> {
    Ok(serde_json::from_slice(value)?)
}

/// Reads the root.
///
/// # Errors
///
/// It is none, or its epoch is higher than any owner comes.
pub fn decode_root(value: &[u8]) -> Result<RootRecord, InvalidReason> {
    let root: RootRecord = decode(value)?;
    match root.epoch <= MAX_EPOCH {
        true => Ok(root),
        false => Err(InvalidReason::because("bad_number")),
    }
}

/// Reads a job.
///
/// # Errors
///
/// It is none, or nobody can run it.
pub fn decode_job_record(value: &[u8]) -> Result<JobRecord, InvalidReason> {
    let record: JobRecord = decode(value)?;
    match record.spec.problem() {
        None => Ok(record),
        Some(problem) => Err(InvalidReason {
            reason: "bad_job",
            problem: problem.to_owned(),
        }),
    }
}

/// Reads the progress of a job.
///
/// # Errors
///
/// It is none, or names runs that no owner numbers so.
pub fn decode_progress(value: &[u8]) -> Result<ProgressRecord, InvalidReason> {
    let record: ProgressRecord = decode(value)?;
    match record.highest_run() <= MAX_RUN {
        true => Ok(record),
        false => Err(InvalidReason::because("bad_number")),
    }
}
