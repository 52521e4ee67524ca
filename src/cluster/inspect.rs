//! What is stored of a fleet, read by people: it needs no daemon that answers.

use super::records::{
    CLOSED_PREFIX,
    ClosedRecord,
    EMPTIED_PREFIX,
    EmptiedRecord,
    JOBS_PREFIX,
    JobKeyKind,
    MEMBERS_PREFIX,
    MemberRecord,
    PROGRESS_PREFIX,
    ROOT_KEY,
    ROSTER_KEY,
    RootRecord,
    RosterRow,
    cancelled_key,
    decode,
    emptied_key,
    job_key,
    progress_key,
    read_job_key, //
};
use super::services::StoreError;
use crate::core::JobId;
use crate::platform::{
    EMPTYING_PREFIX,
    HttpClient,
    StoreClient,
    emptied_data_centre, //
};
use crate::scheduler::{
    FinalState,
    JobRecord,
    ProgressRecord, //
};
use crate::timer::Timer;
use serde::Serialize;
use std::collections::BTreeMap;

/// A fleet as the store shows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FleetReport {
    /// The owner's name; empty if there never was one.
    pub owner: String,
    /// Its epoch.
    pub epoch: u64,
    /// Where the owner is called.
    pub owner_address: String,
    /// Daemons that hold a lease, with their addresses.
    pub daemons: BTreeMap<String, String>,
    /// Workers that owners use or used.
    pub workers: usize,
    /// Closed workers with the runs that may be there.
    pub closed_workers: BTreeMap<String, Vec<(String, u64)>>,
    /// Data centres that get no new tasks, on the operators' order.
    pub emptied_data_centres: BTreeMap<String, EmptiedDataCentre>,
    /// Jobs that are open.
    pub open_jobs: usize,
    /// Jobs that are completed and remembered.
    pub completed_jobs: usize,
    /// Jobs that failed and are remembered.
    pub failed_jobs: usize,
    /// Jobs that were cancelled and are remembered.
    pub cancelled_jobs: usize,
}

/// An operators' order that a data centre gets no new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct EmptiedDataCentre {
    /// The store's revision of the order.
    pub revision: u64,
    /// For how long an owner knows of it; `None` if none does yet.
    pub known_ms: Option<u64>,
}

/// A job as the store shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoredJob {
    /// What its caller asked for.
    pub record: JobRecord,
    /// Its cancellation is stored.
    pub cancelled: bool,
    /// What the owner noted of it.
    pub progress: Option<ProgressRecord>,
    /// Data centres that get no new tasks: it waits where it needs room there.
    pub emptied_data_centres: Vec<String>,
}

/// Reads what is stored of the fleet whose store is at `address`.
///
/// # Errors
///
/// The store refused or did not answer.
pub async fn inspect_fleet(address: &str, timer: Timer) -> Result<FleetReport, StoreError> {
    let store = StoreClient::open(HttpClient::open(timer.clone()), address);
    let mut report = FleetReport::default();
    if let Some(item) = store.get(ROOT_KEY).await? {
        let root: RootRecord = decode(ROOT_KEY, &item.value).unwrap_or_default();
        report.owner = root.owner;
        report.epoch = root.epoch;
        report.owner_address = root.address;
    }
    for item in store.range(MEMBERS_PREFIX, true).await?.items {
        if let Some(member) = decode::<MemberRecord>(&item.key, &item.value) {
            let name = name_of(&item.key, MEMBERS_PREFIX);
            report.daemons.insert(name, member.address);
        }
    }
    if let Some(item) = store.get(ROSTER_KEY).await? {
        let rows: Vec<RosterRow> = decode(ROSTER_KEY, &item.value).unwrap_or_default();
        report.workers = rows.len();
    }
    for item in store.range(CLOSED_PREFIX, true).await?.items {
        let record: Option<ClosedRecord> = decode(&item.key, &item.value);
        if let Some(record) = record.filter(|record| record.closed) {
            let name = name_of(&item.key, CLOSED_PREFIX);
            report.closed_workers.insert(name, record.runs);
        }
    }
    report.emptied_data_centres = emptied(&store, timer.now_ms()).await?;
    count_jobs(&store, &mut report).await?;
    Ok(report)
}

/// The orders in force, each with its age.
async fn emptied(
    store: &StoreClient,
    now_ms: u64,
) -> Result<BTreeMap<String, EmptiedDataCentre>, StoreError> {
    let known = store.range(EMPTIED_PREFIX, false).await?;
    let known_ms = |name: &str, revision: u64| {
        let item = known
            .items
            .iter()
            .find(|item| item.key == emptied_key(name))?;
        let record: EmptiedRecord = decode(&item.key, &item.value)?;
        // A record of an earlier order says nothing of this one.
        (record.revision == revision).then(|| now_ms.saturating_sub(record.known_since_ms))
    };
    let mut emptied = BTreeMap::new();
    for item in store.range(EMPTYING_PREFIX, false).await?.items {
        if let Some(name) = emptied_data_centre(&item.key) {
            let order = EmptiedDataCentre {
                revision: item.revision,
                known_ms: known_ms(name, item.revision),
            };
            emptied.insert(name.to_owned(), order);
        }
    }
    Ok(emptied)
}

fn name_of(key: &str, prefix: &str) -> String {
    key.strip_prefix(prefix).unwrap_or(key).to_owned()
}

async fn count_jobs(store: &StoreClient, report: &mut FleetReport) -> Result<(), StoreError> {
    let mut states: BTreeMap<JobId, Option<FinalState>> = BTreeMap::new();
    for item in store.range(PROGRESS_PREFIX, true).await?.items {
        let job = item.key.strip_prefix(PROGRESS_PREFIX);
        let progress: Option<ProgressRecord> = decode(&item.key, &item.value);
        if let (Some(job), Some(progress)) = (job.and_then(super::records::job_id), progress) {
            states.insert(job, progress.ended);
        }
    }
    for item in store.range(JOBS_PREFIX, true).await?.items {
        match read_job_key(&item.key) {
            Some(JobKeyKind::Job(job)) => match states.get(&job).copied().flatten() {
                Some(FinalState::Completed) => report.completed_jobs += 1,
                Some(FinalState::Failed) => report.failed_jobs += 1,
                None => report.open_jobs += 1,
            },
            // A cancelled job that ended before stays ended.
            Some(JobKeyKind::Cancelled(job)) if states.get(&job).copied().flatten().is_none() => {
                report.cancelled_jobs += 1;
                report.open_jobs = report.open_jobs.saturating_sub(1);
            }
            Some(JobKeyKind::Cancelled(_)) | None => {}
        }
    }
    Ok(())
}

/// Reads what is stored of one job; `None` if there is none.
///
/// # Errors
///
/// The store refused or did not answer.
pub async fn inspect_job(
    address: &str,
    timer: Timer,
    job: JobId,
) -> Result<Option<StoredJob>, StoreError> {
    let store = StoreClient::open(HttpClient::open(timer.clone()), address);
    let emptied = emptied(&store, timer.now_ms()).await?;
    let key = progress_key(job);
    let progress = store.get(&key).await?;
    let progress = progress.and_then(|item| decode(&key, &item.value));
    let cancelled = store.get(&cancelled_key(job)).await?.is_some();
    let key = job_key(job);
    let record = store.get(&key).await?;
    let record = record.and_then(|item| decode(&key, &item.value));
    Ok(record.map(|record| StoredJob {
        record,
        cancelled,
        progress,
        emptied_data_centres: emptied.into_keys().collect(),
    }))
}
