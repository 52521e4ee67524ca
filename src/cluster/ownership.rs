//! Taking the fleet over and keeping it.

use super::emptying;
use super::follow;
use super::ledger::{
    self,
    Changes, //
};
use super::node::Node;
use super::records::{
    CLOSED_PREFIX,
    ClosedRecord,
    EMPTIED_PREFIX,
    JOBS_PREFIX,
    JobKeyKind,
    PROGRESS_PREFIX,
    ROOT_KEY,
    ROSTER_KEY,
    RootRecord,
    RosterRow,
    decode,
    encode,
    job_id,
    read_job_key, //
};
use super::services::{
    Committed,
    Range,
    StoreError,
    Transaction, //
};
use crate::events;
use crate::platform::{
    EMPTYING_PREFIX,
    WAVE_STATES_PREFIX,
    WAVES_PREFIX,
    WORKERS_PREFIX,
    decode_wave,
    decode_worker,
    is_wave_completed,
    wave_state_key, //
};
use crate::scheduler::{
    Input,
    ProgressRecord,
    WaveOrder, //
};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// How often an owner that commits nothing confirms its epoch.
const CONFIRM_MS: u64 = 600;
/// Wait after a confirmation that failed.
const CONFIRM_AGAIN_MS: u64 = 200;
/// Reads of what is stored that an owner tries before it gives the epoch up:
/// without them the next candidate waits for the silence of this one.
const BEGIN_TRIES: u32 = 4;
/// Wait before the next of them.
const BEGIN_AGAIN_MS: u64 = 120;

/// Takes the next epoch, reads what is stored and begins to own.
///
/// # Errors
///
/// The store refused or did not answer; another attempt may follow.
pub async fn take_over(node: &Rc<Node>) -> Result<(), StoreError> {
    let began_ms = node.now_ms();
    let root = node.store.get(ROOT_KEY).await?;
    let revision = root.as_ref().map_or(0, |item| item.revision);
    let known: RootRecord = root
        .and_then(|item| decode(ROOT_KEY, &item.value))
        .unwrap_or_default();
    if follow::learn_root(node, &known) && !node.is_over(&known.owner, known.boot) {
        // Somebody took over just now: wait for its heartbeats.
        return Ok(());
    }
    let next = RootRecord {
        epoch: known.epoch + 1,
        owner: node.settings.daemon.clone(),
        address: node.settings.peer_address.to_string(),
        boot: node.boot,
    };
    let transaction = Transaction {
        expected: vec![(ROOT_KEY.to_owned(), revision)],
        puts: vec![(ROOT_KEY.to_owned(), encode(&next))],
        ..Transaction::default()
    };
    let taken = match node.store.commit(&transaction).await {
        Ok(Committed::Done { revision }) => Some(revision),
        Ok(Committed::Conflict(_) | Committed::LeaseOver) => None,
        Err(StoreError::Refused) => return Err(StoreError::Refused),
        // It may have been carried out: the root tells.
        Err(StoreError::NoAnswer) => {
            let root = node.store.get(ROOT_KEY).await?;
            let own = root.filter(|item| decode(ROOT_KEY, &item.value) == Some(next.clone()));
            own.map(|item| item.revision)
        }
    };
    let Some(root_revision) = taken else {
        return Ok(());
    };
    // A daemon that was restarted ended its earlier life; a peer is heard with
    // the life that it has now.
    let earlier_owner_over = known.epoch == 0 || node.is_over(&known.owner, known.boot);
    let taken = Taken {
        epoch: next.epoch,
        root_revision,
        began_ms,
        earlier_owner_over,
    };
    let mut begun = begin(node, &taken).await;
    for _ in 1..BEGIN_TRIES {
        let deposed = node.owner().is_some_and(|owner| owner.epoch > taken.epoch);
        if begun.is_ok() || deposed {
            break;
        }
        node.timer.after(BEGIN_AGAIN_MS).await;
        begun = begin(node, &taken).await;
    }
    begun
}

/// An epoch that was taken.
struct Taken {
    epoch: u64,
    root_revision: u64,
    /// When the attempt began, which is when the epoch is known to be ours.
    began_ms: u64,
    earlier_owner_over: bool,
}

/// Reads what is stored, all at a time: nobody else writes progress and roster
/// any more, and on a slow store one answer after the other costs a second.
async fn begin(node: &Rc<Node>, taken: &Taken) -> Result<(), StoreError> {
    let (epoch, began_ms) = (taken.epoch, taken.began_ms);
    let asked_ms = node.now_ms();
    let (jobs, progress, roster, closed, workers, waves, states, orders, emptied) = tokio::try_join!(
        node.store.range(JOBS_PREFIX, false),
        node.store.range(PROGRESS_PREFIX, false),
        node.store.get(ROSTER_KEY),
        node.store.range(CLOSED_PREFIX, false),
        node.store.range(WORKERS_PREFIX, false),
        node.store.range(WAVES_PREFIX, false),
        node.store.range(WAVE_STATES_PREFIX, false),
        node.store.range(EMPTYING_PREFIX, false),
        node.store.range(EMPTIED_PREFIX, false),
    )?;
    emptying::take_list(node, &orders, asked_ms);
    node.ledger.clear();
    node.begin_owning(epoch, taken.root_revision);
    let mut stored = vec![Input::Configure(node.configuration())];
    let mut roster_count = 0;
    if let Some(item) = roster {
        node.ledger.note_revision(ROSTER_KEY, item.revision);
        let rows: Vec<RosterRow> = decode(ROSTER_KEY, &item.value).unwrap_or_default();
        roster_count = rows.len();
        stored.extend(known_workers(node, rows, &closed));
    }
    stored.extend(worker_inputs(&workers));
    stored.extend(job_inputs(node, &jobs, &progress));
    for item in &states.items {
        node.ledger.note_revision(&item.key, item.revision);
    }
    stored.extend(wave_inputs(&waves, &states));
    stored.push(emptying::input(node));
    node.ledger
        .note_emptied(&emptied, &node.emptying().in_force());
    stored.push(Input::Confirmed(began_ms));
    stored.push(Input::Recovered {
        earlier_owner_over: taken.earlier_owner_over,
    });
    let (job_count, worker_count) = (jobs.items.len(), workers.items.len());
    node.control.send(super::Command::Begin {
        epoch,
        tuning: node.settings.tuning,
        stored,
    });
    events::log(
        events::OWNER_STARTED,
        format_args!(
            "epoch {epoch}, {job_count} values of jobs, {worker_count} workers, {roster_count} on the roster, after {} ms",
            node.now_ms() - began_ms
        ),
    );
    metrics::counter!("fuchsiaslip_takeovers_total").increment(1);
    actix_rt::spawn(ledger::run(node.clone(), epoch));
    actix_rt::spawn(follow::jobs(node.clone(), epoch, jobs.revision));
    actix_rt::spawn(follow::workers(node.clone(), epoch, workers));
    actix_rt::spawn(confirm(node.clone(), epoch));
    Ok(())
}

/// The workers that earlier owners used, with what is stored of closed ones.
fn known_workers(node: &Node, rows: Vec<RosterRow>, closed: &Range) -> Vec<Input> {
    let mut records: HashMap<&str, ClosedRecord> = HashMap::new();
    for item in &closed.items {
        node.ledger.note_revision(&item.key, item.revision);
        let incarnation = item.key.strip_prefix(CLOSED_PREFIX).unwrap_or_default();
        if let Some(record) = decode(&item.key, &item.value) {
            records.insert(incarnation, record);
        }
    }
    let mut inputs = Vec::with_capacity(rows.len());
    for row in rows {
        let record = records.remove(row.incarnation.as_str());
        inputs.push(Input::KnownWorker {
            closed_with: record.and_then(|record| record.closed_with()),
            incarnation: row.incarnation,
            address: row.address,
        });
    }
    // What is left names workers that are gone.
    let left = records.into_keys().map(|key| (key.to_owned(), None));
    node.ledger.add(Changes {
        closed: left.collect(),
        ..Changes::default()
    });
    inputs
}

/// The waves of upkeep that are not completed.
fn wave_inputs(waves: &Range, states: &Range) -> Vec<Input> {
    let completed: Vec<&str> = states
        .items
        .iter()
        .filter(|item| is_wave_completed(&item.value))
        .map(|item| item.key.as_str())
        .collect();
    let open = waves.items.iter().filter_map(|item| {
        let order = wave_order(&item.key, &item.value)?;
        let done = completed.contains(&wave_state_key(order.number).as_str());
        (!done).then_some(Input::Wave(order))
    });
    open.collect()
}

/// A wave; one that does not read is logged and passed over.
pub fn wave_order(key: &str, value: &[u8]) -> Option<WaveOrder> {
    let order = decode_wave(value);
    order
        .inspect_err(|error| events::log(events::RECORD_UNREADABLE, format_args!("{key}: {error}")))
        .ok()
}

/// The registrations of workers as news.
pub fn worker_inputs(workers: &Range) -> Vec<Input> {
    let rows = workers.items.iter();
    rows.filter_map(|item| worker_input(&item.key, &item.value))
        .collect()
}

/// One registration as news; one that does not read is logged and passed over.
pub fn worker_input(key: &str, value: &[u8]) -> Option<Input> {
    let incarnation = key.strip_prefix(WORKERS_PREFIX)?;
    match decode_worker(incarnation, value) {
        Ok(info) => Some(Input::Worker(info)),
        Err(error) => {
            events::log(events::RECORD_UNREADABLE, format_args!("{key}: {error}"));
            None
        }
    }
}

/// Stored jobs with their progress and cancellations as news.
fn job_inputs(node: &Node, jobs: &Range, progress: &Range) -> Vec<Input> {
    let mut noted: HashMap<_, ProgressRecord> = HashMap::new();
    for item in &progress.items {
        node.ledger.note_revision(&item.key, item.revision);
        let job = item.key.strip_prefix(PROGRESS_PREFIX).and_then(job_id);
        if let (Some(job), Some(record)) = (job, decode(&item.key, &item.value)) {
            noted.insert(job, record);
        }
    }
    let mut inputs = Vec::with_capacity(jobs.items.len());
    for item in &jobs.items {
        match read_job_key(&item.key) {
            Some(JobKeyKind::Job(id)) => {
                if let Some(record) = decode(&item.key, &item.value) {
                    inputs.push(Input::Job {
                        id,
                        record: Arc::new(record),
                        progress: noted.remove(&id),
                    });
                }
            }
            Some(JobKeyKind::Cancelled(id)) => inputs.push(Input::Cancelled(id)),
            None => {}
        }
    }
    inputs
}

/// Confirms the epoch while this daemon owns.
async fn confirm(node: Rc<Node>, epoch: u64) {
    while node.epoch() == epoch {
        let sent_ms = node.now_ms();
        let root = node.asking_store(node.store.get(ROOT_KEY)).await;
        if node.epoch() != epoch {
            return;
        }
        match root {
            Ok(Some(item)) if item.revision == node.root_revision() => {
                node.control.take(epoch, Input::Confirmed(sent_ms));
                node.timer.after(CONFIRM_MS).await;
            }
            Ok(_) => return node.stop_owning(),
            Err(_) => {
                node.timer.after(CONFIRM_AGAIN_MS).await;
            }
        }
    }
}
