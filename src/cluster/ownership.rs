//! Taking the fleet over and keeping it.

use super::emptying;
use super::follow;
use super::ledger::{
    self,
    Changes,
    FoundEmptied, //
};
use super::node::{
    KnownOwner,
    Node, //
};
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
    decode_job_record,
    decode_progress,
    decode_root,
    encode,
    job_id,
    read_job_key, //
};
use super::services::{
    Committed,
    Range,
    StoreError,
    StoredItem,
    Transaction, //
};
use super::unread_jobs;
use super::unused::{
    StoredKind,
    Unused, //
};
use crate::core::JobId;
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
    JobRecord,
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
/// Wait of a daemon that found a root that does not read: people have to mend it.
const UNREAD_ROOT_MS: u64 = 2_000;

/// Takes the next epoch, reads what is stored and begins to own.
///
/// # Errors
///
/// The store refused or did not answer; another attempt may follow.
pub async fn take_over(node: &Rc<Node>) -> Result<(), StoreError> {
    let began_ms = node.now_ms();
    let root = node.store.get(ROOT_KEY).await?;
    let revision = root.as_ref().map_or(0, |item| item.revision);
    let known = match root {
        None => RootRecord::default(),
        Some(item) => {
            let read = decode_root(&item.value);
            let Some(known) = node.used(StoredKind::Root, &item, read) else {
                // Taken for none, it would be followed by the first epoch, whose
                // orders every worker refuses, and two owners could share it.
                node.timer.after(UNREAD_ROOT_MS).await;
                return Ok(());
            };
            known
        }
    };
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
            let own = root.filter(|item| decode_root(&item.value) == Ok(next.clone()));
            own.map(|item| item.revision)
        }
    };
    let Some(root_revision) = taken else {
        return Ok(());
    };
    // Also if it cannot begin: the others wait for this daemon as long as they
    // hear it, since the store names it, and one that goes on waiting for the
    // owner before would leave the fleet without any. It tries again instead once
    // it counts as silent to itself.
    node.learn_owner(KnownOwner {
        epoch: next.epoch,
        name: next.owner.clone(),
        address: node.settings.peer_address,
        boot: next.boot,
        since_ms: node.now_ms(),
    });
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
    if node.doubts_configuration() {
        actix_rt::spawn(follow::refresh_configuration(node.clone()));
    }
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
        let read = decode::<Vec<RosterRow>>(&item.value);
        let rows = node.used(StoredKind::Roster, &item, read);
        let records = closed_records(node, &closed);
        match rows {
            Some(rows) => {
                roster_count = rows.len();
                stored.extend(known_workers(node, rows, records));
            }
            None => {
                stored.push(Input::RosterUnread);
                stored.extend(closed_workers(records));
            }
        }
    }
    stored.extend(worker_inputs(node, &workers));
    stored.extend(job_inputs(node, &jobs, &progress));
    for item in &states.items {
        node.ledger.note_revision(&item.key, item.revision);
    }
    stored.extend(wave_inputs(node, &waves, &states));
    stored.push(emptying::input(node));
    let found = emptied_records(node, &emptied);
    node.ledger.note_emptied(found, &node.emptying().in_force());
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
            "epoch {epoch}, configuration version {}, {job_count} values of jobs, {worker_count} workers, {roster_count} on the roster, after {} ms",
            node.configuration().version,
            node.now_ms() - began_ms
        ),
    );
    metrics::counter!("fuchsiaslip_takeovers_total").increment(1);
    actix_rt::spawn(ledger::run(node.clone(), epoch));
    actix_rt::spawn(follow::jobs(node.clone(), epoch, jobs.revision));
    actix_rt::spawn(follow::workers(node.clone(), epoch, workers));
    actix_rt::spawn(unread_jobs::read_again(node.clone(), epoch));
    actix_rt::spawn(confirm(node.clone(), epoch));
    Ok(())
}

/// What is stored of closed workers, by incarnation; `None` for what does not read.
type ClosedRecords = HashMap<String, Option<ClosedRecord>>;

fn closed_records(node: &Node, closed: &Range) -> ClosedRecords {
    let records = closed.items.iter().map(|item| {
        node.ledger.note_revision(&item.key, item.revision);
        let incarnation = item.key.strip_prefix(CLOSED_PREFIX).unwrap_or_default();
        let record = node.used(StoredKind::Closed, item, decode(&item.value));
        (incarnation.to_owned(), record)
    });
    records.collect()
}

/// The workers that earlier owners used, with what is stored of closed ones. A
/// record that does not read names no runs, so its worker may run anything, and
/// is told to the store anew as open.
fn known_workers(node: &Node, rows: Vec<RosterRow>, mut records: ClosedRecords) -> Vec<Input> {
    let mut inputs = Vec::with_capacity(rows.len());
    let mut changed = Vec::new();
    for row in rows {
        let record = records.remove(&row.incarnation);
        if record == Some(None) {
            let open = ClosedRecord::of(false, &[]);
            changed.push((row.incarnation.clone(), Some(open)));
        }
        let record = record.flatten();
        inputs.push(Input::KnownWorker {
            closed_with: record.and_then(|record| record.closed_with()),
            incarnation: row.incarnation,
            address: row.address,
        });
    }
    // What is left names workers that are gone.
    let left = records.into_iter().filter(|(_, record)| record.is_some());
    changed.extend(left.map(|(incarnation, _)| (incarnation, None)));
    node.ledger.add(Changes {
        closed: changed,
        ..Changes::default()
    });
    inputs
}

/// The closed workers beside a roster that does not read: it may name them.
fn closed_workers(records: ClosedRecords) -> Vec<Input> {
    let records = records.into_iter();
    let closed = records.filter_map(|(incarnation, record)| {
        let runs = record?.closed_with()?;
        Some(Input::ClosedWorker { incarnation, runs })
    });
    closed.collect()
}

fn emptied_records(node: &Node, emptied: &Range) -> Vec<FoundEmptied> {
    let items = emptied.items.iter();
    let records = items.map(|item| {
        let record = node.used(StoredKind::Emptied, item, decode(&item.value));
        (item.key.clone(), item.revision, record)
    });
    records.collect()
}

/// The waves of upkeep that are not completed.
fn wave_inputs(node: &Node, waves: &Range, states: &Range) -> Vec<Input> {
    let is_completed = |item: &&StoredItem| {
        let read = is_wave_completed(&item.value);
        node.used(StoredKind::WaveState, item, read) == Some(true)
    };
    let completed = states.items.iter().filter(is_completed);
    let completed: Vec<&str> = completed.map(|item| item.key.as_str()).collect();
    let open = waves.items.iter().filter_map(|item| {
        let order = wave_order(node, item)?;
        let done = completed.contains(&wave_state_key(order.number).as_str());
        (!done).then_some(Input::Wave(order))
    });
    open.collect()
}

/// A wave; one that cannot be used is told and passed over.
pub fn wave_order(node: &Node, item: &StoredItem) -> Option<WaveOrder> {
    node.used(StoredKind::Wave, item, read_wave(item))
}

/// Reads a wave.
///
/// # Errors
///
/// It is none, or its key names another.
pub fn read_wave(item: &StoredItem) -> Result<WaveOrder, Unused> {
    let order = decode_wave(&item.value)?;
    match item.key.strip_prefix(WAVES_PREFIX) == Some(&order.number.to_string()) {
        true => Ok(order),
        false => Err(Unused::because("bad_name")),
    }
}

/// The registrations of workers as news.
pub fn worker_inputs(node: &Node, workers: &Range) -> Vec<Input> {
    let rows = workers.items.iter();
    rows.filter_map(|item| worker_input(node, item)).collect()
}

/// One registration as news: also one that names no worker to use, since the
/// worker may be known.
pub fn worker_input(node: &Node, item: &StoredItem) -> Option<Input> {
    let incarnation = item.key.strip_prefix(WORKERS_PREFIX)?;
    Some(match decode_worker(incarnation, &item.value) {
        Ok(info) => Input::Worker(info),
        Err(error) => {
            let reason = error.reason();
            node.note_unused(StoredKind::Worker, item, &error.into());
            Input::WorkerUnusable {
                incarnation: incarnation.to_owned(),
                reason,
            }
        }
    })
}

/// Stored jobs with their progress and cancellations as news. A job of which a
/// value does not read is news too: taken for one without progress, what is done
/// of it would run again.
fn job_inputs(node: &Node, jobs: &Range, progress: &Range) -> Vec<Input> {
    let mut noted: HashMap<JobId, Option<ProgressRecord>> = HashMap::new();
    for item in &progress.items {
        node.ledger.note_revision(&item.key, item.revision);
        let Some(job) = item.key.strip_prefix(PROGRESS_PREFIX).and_then(job_id) else {
            node.note_unused(StoredKind::Progress, item, &Unused::because("bad_name"));
            continue;
        };
        let read = decode_progress(&item.value);
        noted.insert(job, node.used(StoredKind::Progress, item, read));
    }
    let mut inputs = Vec::with_capacity(jobs.items.len());
    for item in &jobs.items {
        match read_job_key(&item.key) {
            Some(JobKeyKind::Job(id)) => {
                let read = decode_job_record(&item.value);
                let record = node.used(StoredKind::Job, item, read);
                match (record, noted.remove(&id)) {
                    (Some(record), None) => inputs.push(job_input(id, record, None)),
                    (Some(record), Some(Some(progress))) => {
                        inputs.push(job_input(id, record, Some(progress)));
                    }
                    _ => {
                        node.note_unread(id);
                        inputs.push(Input::JobUnread(id));
                    }
                }
            }
            Some(JobKeyKind::Cancelled(id)) => inputs.push(Input::Cancelled(id)),
            None => node.note_unused(StoredKind::Job, item, &Unused::because("bad_name")),
        }
    }
    inputs
}

fn job_input(id: JobId, record: JobRecord, progress: Option<ProgressRecord>) -> Input {
    Input::Job {
        id,
        record: Arc::new(record),
        progress,
    }
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
