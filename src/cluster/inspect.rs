//! Reads a fleet's state directly from the store for display, without calling a daemon.

use super::invalid_values::{
    InvalidReason, //
    StoredKind,
};
use super::learned_frame::{
    decode_learned_part,
    parse_learned_part, //
};
use super::records::{
    CLOSED_PREFIX,
    ClosedRecord,
    EMPTIED_PREFIX,
    EmptiedRecord,
    FailureMark,
    JOBS_PREFIX,
    JobKeyKind,
    LEARNED_PREFIX,
    MARKS_PREFIX,
    MEMBERS_PREFIX,
    MemberRecord,
    PROGRESS_PREFIX,
    ROOT_KEY,
    ROSTER_PREFIX,
    RosterRow,
    WHOLE_ROSTER_KEY,
    cancelled_key,
    decode,
    decode_job_record,
    decode_progress,
    decode_root,
    job_id,
    job_key,
    parse_job_key,
    parse_mark_key, //
    progress_key,
    tombstones_prefix_of,
};
use super::store_types::{
    StoreError,
    StoredItem, //
};
use super::stored_inputs::read_wave;
use crate::core::JobId;
use crate::platform::{
    CONFIGURATION_KEY,
    EMPTYING_PREFIX,
    HttpClient,
    OPERATOR_PREFIX,
    StoreClient,
    WAVE_STATES_PREFIX,
    WAVES_PREFIX,
    WORKERS_PREFIX,
    decode_configuration,
    decode_worker,
    emptied_data_centre, //
    is_wave_completed,   //
};
use crate::scheduler::{
    FinalState,
    JobRecord,
    ProgressRecord, //
};
use crate::timer::Timer;
use serde::Serialize;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// A fleet as the store shows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FleetReport {
    /// The owner's name; empty if there never was one.
    pub owner: String,
    /// Its epoch.
    pub epoch: u64,
    /// Address at which other daemons reach the owner.
    pub owner_address: String,
    /// Daemons that hold a lease, with their addresses.
    pub daemons: BTreeMap<String, String>,
    /// Number of workers on the roster: those that an owner uses or has used.
    pub workers: usize,
    /// Workers that are closed to new starts, with the tasks and numbers of the runs
    /// that may be there.
    pub closed_workers: BTreeMap<String, Vec<(String, u64)>>,
    /// Data centres that get no new tasks by the operators' order.
    pub emptied_data_centres: BTreeMap<String, EmptiedDataCentre>,
    /// What owners have stored of what they learned; `None` if nothing is stored.
    pub learned: Option<LearnedReport>,
    /// Marks of owners that failed while they decided about a job, by job.
    pub failures: BTreeMap<String, Vec<FailureReport>>,
    /// Number of open jobs.
    pub open_jobs: usize,
    /// Number of completed jobs that are still stored.
    pub completed_jobs: usize,
    /// Number of failed jobs that are still stored.
    pub failed_jobs: usize,
    /// Number of cancelled jobs that are still stored.
    pub cancelled_jobs: usize,
    /// Invalid values, ordered by key.
    pub unused: Vec<UnusedValue>,
}

/// An owner that failed while it decided about a job.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FailureReport {
    /// Its epoch.
    pub epoch: u64,
    /// Its name; empty if the value cannot be decoded.
    pub daemon: String,
    /// The message of the panic.
    pub message: String,
}

/// An invalid value in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct UnusedValue {
    /// Its key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Why it is invalid, as counters name it.
    pub reason: &'static str,
    /// The reason in full; empty if the name says it all.
    pub problem: String,
    /// How daemons handle the value.
    pub done: &'static str,
}

impl FleetReport {
    /// Returns the decoded value, or adds an invalid one to the report.
    fn valid_value<T>(
        &mut self,
        kind: StoredKind,
        item: &StoredItem,
        decoded: Result<T, impl Into<InvalidReason>>,
    ) -> Option<T> {
        match decoded {
            Ok(value) => Some(value),
            Err(why) => {
                self.add_invalid(kind, item, why.into());
                None
            }
        }
    }

    fn add_invalid(&mut self, kind: StoredKind, item: &StoredItem, why: InvalidReason) {
        self.unused.push(UnusedValue {
            key: item.key.clone(),
            revision: item.revision,
            reason: why.reason,
            problem: why.problem,
            done: kind.done(),
        });
    }
}

/// What owners have learned and stored.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LearnedReport {
    /// Number of workers of which something is known.
    pub workers: usize,
    /// How much longer runs take than on a usual worker, in thousandths: on the worker at each
    /// tenth of the workers, from the fastest to the slowest.
    pub slowness_permille: Vec<u64>,
    /// Number of queues with jobs.
    pub queues: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// Age of the part that was written last.
    pub youngest_ms: u64,
    /// Age of the part that was written first.
    pub oldest_ms: u64,
}

/// An operators' order that a data centre gets no new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct EmptiedDataCentre {
    /// Revision of the order in the store.
    pub revision: u64,
    /// For how long owners have known of the order; `None` if none knows of it yet.
    pub known_ms: Option<u64>,
}

/// A job as the store shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredJob {
    /// The job as its caller submitted it, or why the record is invalid.
    pub record: Result<JobRecord, InvalidReason>,
    /// Whether its cancellation is stored.
    pub cancelled: bool,
    /// Its progress as an owner stored it, or why that record is invalid.
    pub progress: Option<Result<ProgressRecord, InvalidReason>>,
    /// Data centres that get no new tasks; the job waits if it needs capacity there.
    pub emptied_data_centres: Vec<String>,
}

/// Reads the state of the fleet whose store is at `address`.
///
/// # Errors
///
/// The store refused or did not answer.
pub async fn inspect_fleet(address: &str, timer: Timer) -> Result<FleetReport, StoreError> {
    let store = StoreClient::new(HttpClient::open(timer.clone()), address);
    let mut report = FleetReport::default();
    if let Some(item) = store.get(ROOT_KEY).await? {
        let root = report.valid_value(StoredKind::Root, &item, decode_root(&item.value));
        let root = root.unwrap_or_default();
        report.owner = root.owner;
        report.epoch = root.epoch;
        report.owner_address = root.address;
    }
    for item in store.range(MEMBERS_PREFIX, true).await?.items {
        let decoded = decode::<MemberRecord>(&item.value);
        if let Some(member) = report.valid_value(StoredKind::Member, &item, decoded) {
            let name = name_of(&item.key, MEMBERS_PREFIX);
            report.daemons.insert(name, member.address);
        }
    }
    let mut roster = store.range(ROSTER_PREFIX, true).await?.items;
    roster.extend(store.get(WHOLE_ROSTER_KEY).await?);
    let mut workers = BTreeSet::new();
    for item in roster {
        let decoded = decode::<Vec<RosterRow>>(&item.value);
        let rows = report.valid_value(StoredKind::Roster, &item, decoded);
        let rows = rows.unwrap_or_default().into_iter();
        workers.extend(rows.map(|row| row.worker_name));
    }
    report.workers = workers.len();
    for item in store.range(CLOSED_PREFIX, true).await?.items {
        let decoded = decode::<ClosedRecord>(&item.value);
        let record = report.valid_value(StoredKind::Closed, &item, decoded);
        if let Some(record) = record.filter(|record| record.closed) {
            let name = name_of(&item.key, CLOSED_PREFIX);
            report.closed_workers.insert(name, record.runs);
        }
    }
    read_emptied(&store, timer.now_ms(), &mut report).await?;
    read_learned(&store, timer.now_ms(), &mut report).await?;
    read_failures(&store, &mut report).await?;
    count_jobs(&store, &mut report).await?;
    check_other_values(&store, &mut report).await?;
    report.unused.sort_by(|a, b| a.key.cmp(&b.key));
    Ok(report)
}

/// Adds the operators' orders in force to the report, each with its age.
async fn read_emptied(
    store: &StoreClient,
    now_ms: u64,
    report: &mut FleetReport,
) -> Result<(), StoreError> {
    let mut known: BTreeMap<String, EmptiedRecord> = BTreeMap::new();
    for item in store.range(EMPTIED_PREFIX, false).await?.items {
        let decoded = decode::<EmptiedRecord>(&item.value);
        if let Some(record) = report.valid_value(StoredKind::Emptied, &item, decoded) {
            known.insert(name_of(&item.key, EMPTIED_PREFIX), record);
        }
    }
    for item in store.range(EMPTYING_PREFIX, false).await?.items {
        let Some(name) = emptied_data_centre(&item.key) else {
            report.add_invalid(
                StoredKind::Emptying,
                &item,
                InvalidReason::because("bad_name"),
            );
            continue;
        };
        // A record of an earlier order does not apply to this one.
        let record = known
            .get(name)
            .filter(|record| record.revision == item.revision);
        let order = EmptiedDataCentre {
            revision: item.revision,
            known_ms: record.map(|record| now_ms.saturating_sub(record.known_since_ms)),
        };
        report.emptied_data_centres.insert(name.to_owned(), order);
    }
    Ok(())
}

/// Adds what owners have learned to the report.
async fn read_learned(
    store: &StoreClient,
    now_ms: u64,
    report: &mut FleetReport,
) -> Result<(), StoreError> {
    const PERMILLE: f64 = 1_000.0;
    const TENTHS: usize = 10;
    let mut found = LearnedReport {
        youngest_ms: u64::MAX,
        ..LearnedReport::default()
    };
    let mut slowness: Vec<u64> = Vec::new();
    for item in store.range(LEARNED_PREFIX, true).await?.items {
        if parse_learned_part(&item.key).is_none() {
            let reason = InvalidReason::because("bad_name");
            report.add_invalid(StoredKind::Learned, &item, reason);
            continue;
        }
        let decoded = decode_learned_part(&item.value);
        let Some((stamp, learned)) = report.valid_value(StoredKind::Learned, &item, decoded) else {
            continue;
        };
        let age_ms = now_ms.saturating_sub(stamp.at_ms);
        found.youngest_ms = found.youngest_ms.min(age_ms);
        found.oldest_ms = found.oldest_ms.max(age_ms);
        found.queues += learned.queues.len();
        found.accounts += learned.accounts.len();
        let workers = learned.workers.iter();
        slowness.extend(workers.map(|worker| (worker.slowness.value() * PERMILLE) as u64));
    }
    slowness.sort_unstable();
    found.workers = slowness.len();
    if let Some(last) = slowness.len().checked_sub(1) {
        let at = (0..=TENTHS).map(|tenth| slowness[last * tenth / TENTHS]);
        found.slowness_permille = at.collect();
    }
    report.learned = (found.youngest_ms != u64::MAX).then_some(found);
    Ok(())
}

/// Adds the marks of owners that failed while they decided about a job.
async fn read_failures(store: &StoreClient, report: &mut FleetReport) -> Result<(), StoreError> {
    for item in store.range(MARKS_PREFIX, true).await?.items {
        let Some((job, epoch)) = parse_mark_key(&item.key) else {
            let reason = InvalidReason::because("bad_name");
            report.add_invalid(StoredKind::FailureMark, &item, reason);
            continue;
        };
        let decoded = decode::<FailureMark>(&item.value);
        let mark = report.valid_value(StoredKind::FailureMark, &item, decoded);
        let failure = match mark {
            Some(mark) => FailureReport {
                epoch,
                daemon: mark.daemon,
                message: mark.message,
            },
            None => FailureReport {
                epoch,
                ..FailureReport::default()
            },
        };
        let failures = report.failures.entry(job.to_string());
        failures.or_default().push(failure);
    }
    Ok(())
}

fn name_of(key: &str, prefix: &str) -> String {
    key.strip_prefix(prefix).unwrap_or(key).to_owned()
}

/// Adds invalid values that workers and operators wrote, and invalid states of waves.
async fn check_other_values(
    store: &StoreClient,
    report: &mut FleetReport,
) -> Result<(), StoreError> {
    for item in store.range(WORKERS_PREFIX, true).await?.items {
        let name = name_of(&item.key, WORKERS_PREFIX);
        let decoded = decode_worker(&name, &item.value);
        report.valid_value(StoredKind::Worker, &item, decoded);
    }
    for item in store.range(OPERATOR_PREFIX, true).await?.items {
        if item.key == CONFIGURATION_KEY {
            let decoded = decode_configuration(&item.value);
            report.valid_value(StoredKind::Configuration, &item, decoded);
        } else if item.key.starts_with(WAVES_PREFIX) {
            report.valid_value(StoredKind::Wave, &item, read_wave(&item));
        }
    }
    for item in store.range(WAVE_STATES_PREFIX, true).await?.items {
        report.valid_value(StoredKind::WaveState, &item, is_wave_completed(&item.value));
    }
    Ok(())
}

async fn count_jobs(store: &StoreClient, report: &mut FleetReport) -> Result<(), StoreError> {
    let mut states: BTreeMap<JobId, Option<FinalState>> = BTreeMap::new();
    for item in store.range(PROGRESS_PREFIX, true).await?.items {
        let Some(job) = item.key.strip_prefix(PROGRESS_PREFIX).and_then(job_id) else {
            report.add_invalid(
                StoredKind::Progress,
                &item,
                InvalidReason::because("bad_name"),
            );
            continue;
        };
        let decoded = decode_progress(&item.value);
        if let Some(progress) = report.valid_value(StoredKind::Progress, &item, decoded) {
            states.insert(job, progress.ended);
        }
    }
    for item in store.range(JOBS_PREFIX, true).await?.items {
        let kind = parse_job_key(&item.key);
        if let Some(JobKeyKind::Job(_)) = kind {
            report.valid_value(StoredKind::Job, &item, decode_job_record(&item.value));
        }
        match kind {
            Some(JobKeyKind::Job(job)) => match states.get(&job).copied().flatten() {
                Some(FinalState::Completed) => report.completed_jobs += 1,
                Some(FinalState::Failed) => report.failed_jobs += 1,
                None => report.open_jobs += 1,
            },
            // A job that ended before it was cancelled counts as ended.
            Some(JobKeyKind::Cancelled(job)) if states.get(&job).copied().flatten().is_none() => {
                report.cancelled_jobs += 1;
                report.open_jobs = report.open_jobs.saturating_sub(1);
            }
            Some(JobKeyKind::Cancelled(_)) => {}
            None => report.add_invalid(StoredKind::Job, &item, InvalidReason::because("bad_name")),
        }
    }
    Ok(())
}

/// Whether a job was cancelled before it was stored.
///
/// # Errors
///
/// The store refused or did not answer.
pub async fn has_tombstone(address: &str, timer: Timer, job: JobId) -> Result<bool, StoreError> {
    let store = StoreClient::new(HttpClient::open(timer), address);
    let tombstones = store.range(&tombstones_prefix_of(job), false).await?;
    Ok(!tombstones.items.is_empty())
}

/// Reads what is stored of one job; `None` if there is no such job.
///
/// # Errors
///
/// The store refused or did not answer.
pub async fn inspect_job(
    address: &str,
    timer: Timer,
    job: JobId,
) -> Result<Option<StoredJob>, StoreError> {
    let store = StoreClient::new(HttpClient::open(timer.clone()), address);
    let mut report = FleetReport::default();
    read_emptied(&store, timer.now_ms(), &mut report).await?;
    let key = progress_key(job);
    let progress = store.get(&key).await?;
    let progress = progress.map(|item| decode_progress(&item.value));
    let cancelled = store.get(&cancelled_key(job)).await?.is_some();
    let key = job_key(job);
    let record = store.get(&key).await?;
    let record = record.map(|item| decode_job_record(&item.value));
    Ok(record.map(|record| StoredJob {
        record,
        cancelled,
        progress,
        emptied_data_centres: report.emptied_data_centres.into_keys().collect(),
    }))
}
