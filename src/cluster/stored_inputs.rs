//! Converts stored values into inputs for the scheduler.
//!
//! A new owner reads complete lists, and an owner watches single changes. Both use
//! these conversions, so that a value means the same in either case. Invalid values
//! are reported to on-call.

use super::invalid_values::{
    InvalidReason, //
    StoredKind,
};
use super::node::Node;
use super::pending_writes::{
    Changes,
    RosterChange,
    StoredEmptied, //
};
use super::records::{
    CLOSED_PREFIX,
    ClosedRecord,
    JobKeyKind,
    PROGRESS_PREFIX,
    RosterRow,
    decode,
    decode_job_record,
    decode_progress,
    job_id,
    parse_job_key,
    parse_roster_part, //
};
use super::store_types::{
    StoredItem, //
    StoredRange,
};
use crate::core::JobId;
use crate::platform::{
    WAVES_PREFIX,
    WORKERS_PREFIX,
    decode_wave,
    decode_worker,
    is_wave_completed,
    wave_state_key, //
};
use crate::scheduler::{
    Input,
    JobRecord,
    ProgressRecord,
    WaveOrder, //
};
use std::collections::{
    BTreeSet,
    HashMap,
    HashSet, //
};
use std::sync::Arc;

/// Records of closed workers, by worker name; `None` for one that cannot be decoded.
pub type ClosedRecords = HashMap<String, Option<ClosedRecord>>;

/// Decodes the records of closed workers, and records their revisions for later writes.
pub fn closed_records(node: &Node, closed: &StoredRange) -> ClosedRecords {
    let records = closed.items.iter().map(|item| {
        node.pending_writes
            .record_revision(&item.key, item.revision);
        let worker_name = item.key.strip_prefix(CLOSED_PREFIX).unwrap_or_default();
        let record = node.valid_value(StoredKind::Closed, item, decode(&item.value));
        (worker_name.to_owned(), record)
    });
    records.collect()
}

/// Decodes the roster, of which earlier versions of the program stored one value and this one
/// stores parts. Returns `None` if any part of it cannot be decoded.
pub fn roster_rows(
    node: &Node,
    whole: Option<StoredItem>,
    parts: &StoredRange,
) -> Option<Vec<RosterRow>> {
    let decode_rows = |item: &StoredItem| {
        node.pending_writes
            .record_revision(&item.key, item.revision);
        let decoded = decode::<Vec<RosterRow>>(&item.value);
        node.valid_value(StoredKind::Roster, item, decoded)
    };
    let stored_parts: Vec<(u32, Option<Vec<RosterRow>>)> = parts
        .items
        .iter()
        .filter_map(|item| Some((parse_roster_part(&item.key)?, decode_rows(item))))
        .collect();
    let whole_rows = whole.as_ref().map(decode_rows);
    let is_whole_empty = match &whole_rows {
        None => true,
        Some(rows) => rows.as_ref().is_some_and(Vec::is_empty),
    };
    let rows: Option<Vec<Vec<RosterRow>>> =
        stored_parts.iter().map(|(_, rows)| rows.clone()).collect();
    node.pending_writes
        .record_roster(stored_parts, !is_whole_empty);
    let mut rows = rows?.concat();
    if let Some(whole_rows) = whole_rows {
        let known: HashSet<String> = rows.iter().map(|row| row.worker_name.clone()).collect();
        let others = whole_rows?.into_iter();
        rows.extend(others.filter(|row| !known.contains(&row.worker_name)));
        if !is_whole_empty {
            node.pending_writes.add(Changes {
                roster: Some(RosterChange {
                    rows: rows.clone(),
                    unconfirmed: Vec::new(),
                }),
                ..Changes::default()
            });
        }
    }
    Some(rows)
}

/// Returns inputs for the workers on the roster, with the runs of closed ones. A closed
/// record that cannot be decoded names no runs, so its worker may run anything; the
/// record is overwritten with that of an open worker. Records of workers that are not
/// on the roster are removed.
pub fn roster_inputs(node: &Node, rows: Vec<RosterRow>, mut records: ClosedRecords) -> Vec<Input> {
    let mut inputs = Vec::with_capacity(rows.len());
    let mut changed = Vec::new();
    for row in rows {
        let record = records.remove(&row.worker_name);
        if record == Some(None) {
            let open = ClosedRecord::default();
            changed.push((row.worker_name.clone(), Some(open)));
        }
        let record = record.flatten();
        inputs.push(Input::RosterWorker {
            closed_runs: record.and_then(|record| record.closed_runs()),
            worker_name: row.worker_name,
            address: row.address,
        });
    }
    // The records that are left name workers that are gone.
    let left = records.into_iter().filter(|(_, record)| record.is_some());
    changed.extend(left.map(|(worker_name, _)| (worker_name, None)));
    node.pending_writes.add(Changes {
        closed: changed,
        ..Changes::default()
    });
    inputs
}

/// Returns inputs for all closed workers, for a roster that cannot be decoded: it may
/// name any of them.
pub fn closed_worker_inputs(records: ClosedRecords) -> Vec<Input> {
    let records = records.into_iter();
    let closed = records.filter_map(|(worker_name, record)| {
        let runs = record?.closed_runs()?;
        Some(Input::ClosedWorker { worker_name, runs })
    });
    closed.collect()
}

/// Decodes the records of emptied data centres that earlier owners stored.
pub fn emptied_records(node: &Node, emptied: &StoredRange) -> Vec<StoredEmptied> {
    let items = emptied.items.iter();
    let records = items.map(|item| {
        let record = node.valid_value(StoredKind::Emptied, item, decode(&item.value));
        (item.key.clone(), item.revision, record)
    });
    records.collect()
}

/// Returns inputs for the waves of upkeep that are not completed.
pub fn wave_inputs(node: &Node, waves: &StoredRange, states: &StoredRange) -> Vec<Input> {
    let is_completed = |item: &&StoredItem| {
        let decoded = is_wave_completed(&item.value);
        node.valid_value(StoredKind::WaveState, item, decoded) == Some(true)
    };
    let completed = states.items.iter().filter(is_completed);
    let completed: Vec<&str> = completed.map(|item| item.key.as_str()).collect();
    let open = waves.items.iter().filter_map(|item| {
        let order = wave_order(node, item)?;
        let done = completed.contains(&wave_state_key(order.number).as_str());
        (!done).then_some(Input::UpkeepWave(order))
    });
    open.collect()
}

/// Decodes a wave; an invalid one is reported and skipped.
pub fn wave_order(node: &Node, item: &StoredItem) -> Option<WaveOrder> {
    node.valid_value(StoredKind::Wave, item, read_wave(item))
}

/// Decodes a wave.
///
/// # Errors
///
/// The value is no wave, or its key names another wave.
pub fn read_wave(item: &StoredItem) -> Result<WaveOrder, InvalidReason> {
    let order = decode_wave(&item.value)?;
    match item.key.strip_prefix(WAVES_PREFIX) == Some(&order.number.to_string()) {
        true => Ok(order),
        false => Err(InvalidReason::because("bad_name")),
    }
}

/// Returns inputs for the registrations of workers.
pub fn worker_inputs(node: &Node, workers: &StoredRange) -> Vec<Input> {
    let rows = workers.items.iter();
    rows.filter_map(|item| worker_input(node, item)).collect()
}

/// Returns the input for a worker's registration. An invalid registration has an input
/// too, since the worker may be known.
pub fn worker_input(node: &Node, item: &StoredItem) -> Option<Input> {
    let worker_name = item.key.strip_prefix(WORKERS_PREFIX)?;
    Some(match decode_worker(worker_name, &item.value) {
        Ok(info) => Input::WorkerRegistered(info),
        Err(error) => {
            let reason = error.reason();
            node.report_invalid(StoredKind::Worker, item, &error.into());
            Input::WorkerEntryInvalid {
                worker_name: worker_name.to_owned(),
                reason,
            }
        }
    })
}

/// Returns inputs for stored jobs with their progress, and for cancellations. A job with
/// a value that cannot be decoded has an input of its own: treated as a job without
/// progress, its completed tasks would run again. Jobs that are set aside have the same.
pub fn job_inputs(
    node: &Node,
    jobs: &StoredRange,
    progress: &StoredRange,
    set_aside: &BTreeSet<JobId>,
) -> Vec<Input> {
    let mut progress_by_job: HashMap<JobId, Option<ProgressRecord>> = HashMap::new();
    for item in &progress.items {
        node.pending_writes
            .record_revision(&item.key, item.revision);
        let Some(job) = item.key.strip_prefix(PROGRESS_PREFIX).and_then(job_id) else {
            node.report_invalid(
                StoredKind::Progress,
                item,
                &InvalidReason::because("bad_name"),
            );
            continue;
        };
        let decoded = decode_progress(&item.value);
        progress_by_job.insert(job, node.valid_value(StoredKind::Progress, item, decoded));
    }
    let mut inputs = Vec::with_capacity(jobs.items.len());
    for item in &jobs.items {
        match parse_job_key(&item.key) {
            Some(JobKeyKind::Job(id)) => {
                let decoded = decode_job_record(&item.value);
                let record = node.valid_value(StoredKind::Job, item, decoded);
                let record = record.filter(|_| !set_aside.contains(&id));
                match (record, progress_by_job.remove(&id)) {
                    (Some(record), None) => inputs.push(job_input(id, record, None)),
                    (Some(record), Some(Some(progress))) => {
                        inputs.push(job_input(id, record, Some(progress)));
                    }
                    _ => {
                        node.record_unreadable(id);
                        inputs.push(Input::JobUnreadable(id));
                    }
                }
            }
            Some(JobKeyKind::Cancelled(id)) => inputs.push(Input::JobCancelled(id)),
            None => node.report_invalid(StoredKind::Job, item, &InvalidReason::because("bad_name")),
        }
    }
    inputs
}

fn job_input(id: JobId, record: JobRecord, progress: Option<ProgressRecord>) -> Input {
    Input::JobStored {
        id,
        record: Arc::new(record),
        progress,
    }
}
