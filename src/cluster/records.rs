//! The keys and values that daemons keep in the store, and their encoding.

use super::invalid_values::InvalidReason;
use crate::core::JobId;
use crate::scheduler::{
    ClosedRuns,
    ConfirmedRun,
    JobRecord,
    MAX_RUN,
    ProgressRecord,
    RunName, //
};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// The root: names the owner and its epoch. Every commit of an owner is conditional on
/// the root's revision.
pub const ROOT_KEY: &str = "owner";
/// The roster, workers that an owner uses or has used, as an earlier version of the program
/// stored it: in one value.
pub const WHOLE_ROSTER_KEY: &str = "roster";
/// The parts of the roster; the number of the part follows.
pub const ROSTER_PREFIX: &str = "roster/";
/// Number of parts of the roster. A worker that comes or goes changes one part, and the largest
/// fleets have a few hundred workers in each.
pub const ROSTER_PARTS: u32 = 64;
/// Accepted jobs and their cancellations.
pub const JOBS_PREFIX: &str = "jobs/";
/// Progress of jobs, written by the owner.
pub const PROGRESS_PREFIX: &str = "progress/";
/// Daemons, each under a lease.
pub const MEMBERS_PREFIX: &str = "members/";
/// Names of cancelled jobs that must not be stored later; the job and whom the tombstone belongs
/// to follow.
pub const TOMBSTONES_PREFIX: &str = "tombstones/";
/// Workers that are closed to new starts, written by the owner.
pub const CLOSED_PREFIX: &str = "closed/";
/// What owners have learned; the number of the part follows.
pub const LEARNED_PREFIX: &str = "learned/";
/// Number of parts of what owners have learned: one transaction can write them all, and those of
/// the largest fleets have some twenty kilobytes each.
pub const LEARNED_PARTS: u32 = 15;
/// Data centres that get no new tasks, with the time at which an owner learned of it;
/// written by the owner for people to read.
pub const EMPTIED_PREFIX: &str = "emptied/";
/// Marks of owners that failed while they decided about a job; the job and the epoch follow.
pub const MARKS_PREFIX: &str = "failures/";
const CANCELLED_SUFFIX: &str = "/cancelled";
/// Highest valid epoch, reached after 30,000 years with one owner a second. Each epoch
/// has its own range of run numbers, which must not overflow.
const MAX_EPOCH: u64 = 1 << 40;

/// After this time a superseded owner gives no more leases, and every lease it gave has
/// expired. The two together take 13.3 s; this is four times as long, since the
/// clocks of daemons differ.
const EARLIER_OWNER_MS: u64 = 60_000;

/// The value of the root.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RootRecord {
    /// The epoch, which only rises.
    pub epoch: u64,
    /// The owner's name.
    pub owner: String,
    /// Address at which other daemons reach the owner.
    pub address: String,
    /// Incarnation of the owner's process.
    pub boot: u64,
    /// Earlier owners that may still give leases; empty in values that an older version
    /// stored.
    #[serde(default)]
    pub earlier: Vec<EarlierOwner>,
}

/// A superseded owner whose incarnation was not known to be over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EarlierOwner {
    /// Its name.
    pub owner: String,
    /// Incarnation of its process.
    pub boot: u64,
    /// When it was superseded, by the clock of the daemon that took over.
    pub followed_ms: u64,
}

impl RootRecord {
    /// Returns the owners, including the one of this root, that may still give leases
    /// when a daemon takes over at `now_ms`. The last owner alone is not enough: an
    /// owner that is cut off goes on, even if the owner after it crashes at once.
    pub fn possibly_active_owners(
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
        // A time after this one would keep its owner in the root for as long.
        let earlier = self.earlier.iter().map(|earlier| EarlierOwner {
            followed_ms: earlier.followed_ms.min(now_ms),
            ..earlier.clone()
        });
        let known = earlier.chain([last]);
        known
            .filter(|earlier| now_ms < earlier.followed_ms + EARLIER_OWNER_MS)
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
    /// Address at which it is called.
    pub address: String,
}

/// The key of a part of the roster.
pub fn roster_part_key(part: u32) -> String {
    format!("{ROSTER_PREFIX}{part:02}")
}

/// The number of a part of the roster; `None` for the key of another value.
pub fn parse_roster_part(key: &str) -> Option<u32> {
    let part = key.strip_prefix(ROSTER_PREFIX)?.parse().ok()?;
    (part < ROSTER_PARTS).then_some(part)
}

/// The part of the roster that a worker belongs to. It never changes, so that no worker is
/// missing from all parts at any time.
pub fn roster_part(worker_name: &str) -> u32 {
    (xxh3_64(worker_name.as_bytes()) % u64::from(ROSTER_PARTS)) as u32
}

/// Whether a worker gets no more starts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClosedRecord {
    /// Whether the worker is closed. An opened worker gets a record with `false` in
    /// place of the one with `true`, so that a late write of that one fails its
    /// condition.
    pub closed: bool,
    /// When the worker's incarnation started, since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation_start_ms: Option<u64>,
    /// Runs that may be there, as task and run number.
    pub runs: Vec<(String, u64)>,
    /// The runs among them that the worker confirmed, each with whether the worker did
    /// not respond after the start; empty in values that an earlier version stored.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub confirmed: Vec<(String, u64, bool)>,
    /// When runs among `confirmed` may have ended, as task, run number and time since the
    /// Unix epoch; absent in values that an earlier version stored.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub possible_ends: Vec<(String, u64, u64)>,
}

fn parse_run(task: &str, run: u64) -> Option<RunName> {
    let task = task.parse().ok()?;
    (run <= MAX_RUN).then_some(RunName { task, run })
}

impl ClosedRecord {
    /// Creates the record of a worker on which `closed_runs` may be.
    pub fn new(closed: bool, closed_runs: &ClosedRuns) -> Self {
        let runs = closed_runs.runs.iter();
        let confirmed = closed_runs.confirmed.iter();
        Self {
            closed,
            incarnation_start_ms: closed_runs.incarnation_start_ms,
            runs: runs.map(|name| (name.task.to_string(), name.run)).collect(),
            confirmed: confirmed
                .map(|run| (run.name.task.to_string(), run.name.run, run.at_start))
                .collect(),
            possible_ends: closed_runs
                .confirmed
                .iter()
                .filter_map(|run| {
                    let end_ms = run.possible_end_ms?;
                    Some((run.name.task.to_string(), run.name.run, end_ms))
                })
                .collect(),
        }
    }

    /// Returns the runs, if the worker is closed and all of them can be decoded.
    pub fn closed_runs(&self) -> Option<ClosedRuns> {
        let runs = self.runs.iter().map(|(task, run)| parse_run(task, *run));
        let confirmed = self.confirmed.iter().map(|(task, run, at_start)| {
            let mut ends = self.possible_ends.iter();
            let end = ends.find(|(other, other_run, _)| (other, other_run) == (task, run));
            Some(ConfirmedRun {
                name: parse_run(task, *run)?,
                at_start: *at_start,
                possible_end_ms: end.map(|&(_, _, end_ms)| end_ms),
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

/// A daemon's registration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Address at which other daemons reach it.
    pub address: String,
}

/// What a key under [`JOBS_PREFIX`] stands for.
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

/// The prefix of the tombstones of a job.
pub fn tombstones_prefix_of(job: JobId) -> String {
    format!("{TOMBSTONES_PREFIX}{job}/")
}

/// The key of the tombstone that a submitter has for a job.
pub fn tombstone_key(job: JobId, submitter: u64) -> String {
    format!("{}{submitter:016x}", tombstones_prefix_of(job))
}

/// The key of a job's progress.
pub fn progress_key(job: JobId) -> String {
    format!("{PROGRESS_PREFIX}{job}")
}

/// An owner that failed while it decided about a job, for people to read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FailureMark {
    /// The owner's name.
    pub daemon: String,
    /// When it failed, since the Unix epoch.
    pub at_ms: u64,
    /// The message of the panic.
    pub message: String,
}

/// The prefix of the marks of a job.
pub fn marks_prefix_of(job: JobId) -> String {
    format!("{MARKS_PREFIX}{job}/")
}

/// The key of the mark that the owner of `epoch` stores for a job.
pub fn mark_key(job: JobId, epoch: u64) -> String {
    format!("{}{epoch}", marks_prefix_of(job))
}

/// The job and the epoch of a mark; `None` for the key of another value.
pub fn parse_mark_key(key: &str) -> Option<(JobId, u64)> {
    let (job, epoch) = key.strip_prefix(MARKS_PREFIX)?.split_once('/')?;
    Some((job_id(job)?, epoch.parse().ok()?))
}

/// The key of a daemon.
pub fn member_key(daemon: &str) -> String {
    format!("{MEMBERS_PREFIX}{daemon}")
}

/// Number of hexadecimal digits of a job's id.
pub const JOB_ID_LENGTH: usize = 16;

/// Parses the id of a job, [`JOB_ID_LENGTH`] hexadecimal digits.
pub fn job_id(text: &str) -> Option<JobId> {
    let digits = text.len() == JOB_ID_LENGTH && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let value = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    value.map(JobId)
}

/// The key of a closed worker.
pub fn closed_key(worker_name: &str) -> String {
    format!("{CLOSED_PREFIX}{worker_name}")
}

/// Since when owners have known that a data centre gets no new tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EmptiedRecord {
    /// Revision of the operators' order in the store.
    pub revision: u64,
    /// When the first owner learned of the order, since the Unix epoch.
    pub known_since_ms: u64,
}

/// The key of a data centre that gets no new tasks.
pub fn emptied_key(data_centre: &str) -> String {
    format!("{EMPTIED_PREFIX}{data_centre}")
}

/// Parses a key under [`JOBS_PREFIX`].
pub fn parse_job_key(key: &str) -> Option<JobKeyKind> {
    let name = key.strip_prefix(JOBS_PREFIX)?;
    match name.strip_suffix(CANCELLED_SUFFIX) {
        Some(job) => job_id(job).map(JobKeyKind::Cancelled),
        None => job_id(name).map(JobKeyKind::Job),
    }
}

/// Encodes a value for the store.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    // Serialising plain structs of numbers and strings never fails.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// Decodes a stored value.
///
/// # Errors
///
/// The bytes are not a JSON value of this type.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, InvalidReason> {
    Ok(serde_json::from_slice(value)?)
}

/// Decodes the root.
///
/// # Errors
///
/// The bytes are no root, or its epoch is too high to be valid.
pub fn decode_root(value: &[u8]) -> Result<RootRecord, InvalidReason> {
    let root: RootRecord = decode(value)?;
    match root.epoch <= MAX_EPOCH {
        true => Ok(root),
        false => Err(InvalidReason::because("bad_number")),
    }
}

/// Decodes the record of a job.
///
/// # Errors
///
/// The bytes are no job record, or the job cannot be run.
pub fn decode_job_record(value: &[u8]) -> Result<JobRecord, InvalidReason> {
    let record: JobRecord = decode(value)?;
    match record.spec.validation_error() {
        None => Ok(record),
        Some(problem) => Err(InvalidReason {
            reason: "bad_job",
            problem: problem.to_owned(),
        }),
    }
}

/// Decodes the progress of a job.
///
/// # Errors
///
/// The bytes are no progress, or a run number is too high to be valid.
pub fn decode_progress(value: &[u8]) -> Result<ProgressRecord, InvalidReason> {
    let record: ProgressRecord = decode(value)?;
    match record.highest_run() <= MAX_RUN {
        true => Ok(record),
        false => Err(InvalidReason::because("bad_number")),
    }
}
