//! The writes that wait to be stored, and the transactions that
//! carry them; [`super::commits`] sends them.
//!
//! Every value has one writer, the owner, and each write is conditional on the
//! root's revision and on the value's own last revision. A transaction whose
//! answer was lost and that is carried out seconds later therefore fails: either
//! the root has moved to another owner, or the value to a newer revision. Many
//! changes share one transaction, so calls grow with time, not with tasks.

use super::records::{
    ClosedRecord,
    EMPTIED_PREFIX,
    EmptiedRecord,
    ROOT_KEY,
    ROSTER_KEY,
    RosterRow,
    cancelled_key,
    closed_key,
    emptied_key,
    encode,
    job_key,
    progress_key, //
};
use super::store_types::{
    MAX_TRANSACTION_ENTRIES,
    StoredItem,
    Transaction, //
};
use crate::core::JobId;
use crate::platform::{
    encode_wave_state,
    wave_state_key, //
};
use crate::scheduler::{
    EmptyingOrder,
    ProgressRecord, //
};
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::{
    BTreeMap,
    HashMap, //
};
use tokio::sync::Notify;

/// Entries that one value takes in a transaction: an expectation, and a put or
/// a removal.
const VALUE_ENTRIES: usize = 2;

/// What an earlier owner stored of a data centre: key, revision, and the record if
/// it reads.
pub type FoundEmptied = (String, u64, Option<EmptiedRecord>);

/// What a decision asks to have stored.
#[derive(Default)]
pub struct Changes {
    /// Progress of jobs with the numbers of their changes.
    pub progress: Vec<(JobId, u64, ProgressRecord)>,
    /// The roster.
    pub roster: Option<Vec<RosterRow>>,
    /// Workers by name, with whether they get no more starts; `None`
    /// for workers that are gone.
    pub closed: Vec<(String, Option<ClosedRecord>)>,
    /// Waves of upkeep, with whether they are completed.
    pub waves: Vec<(u64, bool)>,
    /// Data centres that get no new tasks; `None` for those that get them again.
    pub emptied: Vec<(String, Option<EmptiedRecord>)>,
    /// Jobs of which nothing is to be kept.
    pub deleted_jobs: Vec<JobId>,
}

/// Values that a job has in the store.
const REMOVED_KEYS: usize = 3;

/// The keys of a job's values.
fn keys_of(job: JobId) -> [String; REMOVED_KEYS] {
    [job_key(job), progress_key(job), cancelled_key(job)]
}

#[derive(Default)]
struct Pending {
    progress: BTreeMap<JobId, (u64, ProgressRecord)>,
    roster: Option<Vec<RosterRow>>,
    closed: BTreeMap<String, Option<ClosedRecord>>,
    waves: BTreeMap<u64, bool>,
    emptied: BTreeMap<String, Option<EmptiedRecord>>,
    /// What an earlier owner stored of data centres.
    found_emptied: HashMap<String, EmptiedRecord>,
    deleted_jobs: Vec<JobId>,
    revisions: HashMap<String, u64>,
}

/// What waits to be stored.
#[derive(Default)]
pub struct PendingWrites {
    pending: RefCell<Pending>,
    added: Notify,
}

/// What one transaction carries.
pub struct Batch {
    /// The transaction itself.
    pub transaction: Transaction,
    /// Jobs whose progress it writes, with the numbers of their last changes.
    pub progress: Vec<(JobId, u64)>,
    /// Incarnations on the roster that it writes.
    pub roster: Option<Vec<String>>,
    /// Workers by name; `None` for records that it removes.
    pub closed: Vec<(String, Option<ClosedRecord>)>,
    waves: Vec<(u64, bool)>,
    emptied: Vec<(String, Option<EmptiedRecord>)>,
    /// Jobs whose values it removes.
    pub deleted_jobs: Vec<JobId>,
}

impl Batch {
    fn begin(root_revision: u64) -> Self {
        let mut transaction = Transaction::default();
        let root = (ROOT_KEY.to_owned(), root_revision);
        transaction.expected.push(root);
        Self {
            transaction,
            progress: Vec::new(),
            roster: None,
            closed: Vec::new(),
            waves: Vec::new(),
            emptied: Vec::new(),
            deleted_jobs: Vec::new(),
        }
    }

    /// Writes a value, if it is still as last known.
    fn put(&mut self, pending: &Pending, key: String, value: Bytes) {
        let revision = pending.revisions.get(&key).copied().unwrap_or(0);
        self.transaction.expected.push((key.clone(), revision));
        self.transaction.puts.push((key, value));
    }

    /// How many more things that take so many entries each fit.
    fn room(&self, entries: usize) -> usize {
        let transaction = &self.transaction;
        let taken = transaction.expected.len() + transaction.puts.len() + transaction.removed.len();
        MAX_TRANSACTION_ENTRIES.saturating_sub(taken) / entries
    }
}

impl PendingWrites {
    /// Forgets everything: another daemon owns.
    pub fn clear(&self) {
        *self.pending.borrow_mut() = Pending::default();
        self.added.notify_one();
    }

    /// Notes at which revision a value was read.
    pub fn note_revision(&self, key: &str, revision: u64) {
        let mut pending = self.pending.borrow_mut();
        pending.revisions.insert(key.to_owned(), revision);
    }

    /// Notes what an earlier owner stored of data centres. What is not true any
    /// more is removed; what still is stays as it was first stored.
    pub fn note_emptied(&self, found: Vec<FoundEmptied>, in_force: &[EmptyingOrder]) {
        let mut pending = self.pending.borrow_mut();
        for (key, revision, record) in found {
            let name = key.strip_prefix(EMPTIED_PREFIX).unwrap_or_default();
            let name = name.to_owned();
            pending.revisions.insert(key, revision);
            if !in_force.iter().any(|order| order.data_centre == name) {
                pending.emptied.insert(name, None);
            } else if let Some(record) = record {
                pending.found_emptied.insert(name, record);
            }
        }
    }

    /// Adds what a decision asks to have stored.
    pub fn add(&self, changes: Changes) {
        let empty = changes.progress.is_empty()
            && changes.roster.is_none()
            && changes.closed.is_empty()
            && changes.waves.is_empty()
            && changes.emptied.is_empty()
            && changes.deleted_jobs.is_empty();
        if empty {
            return;
        }
        let mut pending = self.pending.borrow_mut();
        for (job, change, record) in changes.progress {
            pending.progress.insert(job, (change, record));
        }
        pending.roster = changes.roster.or(pending.roster.take());
        pending.closed.extend(changes.closed);
        pending.waves.extend(changes.waves);
        for (data_centre, record) in changes.emptied {
            let found = pending.found_emptied.remove(&data_centre);
            let stored = found.is_some_and(|found| {
                let record = record.as_ref();
                record.is_some_and(|record| record.revision == found.revision)
            });
            if !stored {
                pending.emptied.insert(data_centre, record);
            }
        }
        pending.deleted_jobs.extend(changes.deleted_jobs);
        self.added.notify_one();
    }

    /// Waits until something is added, or everything is forgotten.
    pub async fn changed(&self) {
        self.added.notified().await;
    }

    /// What the next transaction carries: first what a worker or a caller waits
    /// for. A thousand workers that are closed at once do not hold progress up.
    pub fn batch(&self, root_revision: u64) -> Option<Batch> {
        let pending = self.pending.borrow();
        let mut batch = Batch::begin(root_revision);
        if let Some(roster) = &pending.roster {
            batch.put(&pending, ROSTER_KEY.to_owned(), encode(roster));
            batch.roster = Some(roster.iter().map(|row| row.worker_name.clone()).collect());
        }
        for (&job, (change, record)) in pending.progress.iter().take(batch.room(VALUE_ENTRIES)) {
            batch.put(&pending, progress_key(job), encode(record));
            batch.progress.push((job, *change));
        }
        for (&wave, &completed) in pending.waves.iter().take(batch.room(VALUE_ENTRIES)) {
            let value = encode_wave_state(completed);
            batch.put(&pending, wave_state_key(wave), value);
            batch.waves.push((wave, completed));
        }
        for (worker_name, record) in pending.closed.iter().take(batch.room(VALUE_ENTRIES)) {
            let key = closed_key(worker_name);
            match record {
                Some(record) => batch.put(&pending, key, encode(record)),
                None => batch.transaction.removed.push(key),
            }
            batch.closed.push((worker_name.clone(), record.clone()));
        }
        for (data_centre, record) in pending.emptied.iter().take(batch.room(VALUE_ENTRIES)) {
            let key = emptied_key(data_centre);
            match record {
                Some(record) => batch.put(&pending, key, encode(record)),
                None => batch.transaction.removed.push(key),
            }
            batch.emptied.push((data_centre.clone(), record.clone()));
        }
        // Nobody waits for what is forgotten: it takes the room that is left.
        for &job in pending.deleted_jobs.iter().take(batch.room(REMOVED_KEYS)) {
            batch.deleted_jobs.push(job);
            batch.transaction.removed.extend(keys_of(job));
        }
        let transaction = &batch.transaction;
        let empty = transaction.puts.is_empty() && transaction.removed.is_empty();
        (!empty).then_some(batch)
    }

    /// What the batch carried is stored.
    pub fn committed(&self, batch: &Batch, revision: u64) {
        let mut pending = self.pending.borrow_mut();
        for (key, _) in &batch.transaction.puts {
            pending.revisions.insert(key.clone(), revision);
        }
        for (job, change) in &batch.progress {
            let newest = pending.progress.get(job).map(|(change, _)| *change);
            if newest == Some(*change) {
                pending.progress.remove(job);
            }
        }
        if let Some(stored) = &batch.roster {
            // A roster that changed meanwhile is stored again, also if it has
            // as many rows.
            let newest = pending.roster.as_ref();
            let same =
                newest.is_some_and(|rows| rows.iter().map(|row| &row.worker_name).eq(stored));
            if same {
                pending.roster = None;
            }
        }
        for (worker_name, record) in &batch.closed {
            if record.is_none() {
                pending.revisions.remove(&closed_key(worker_name));
            }
            if pending.closed.get(worker_name) == Some(record) {
                pending.closed.remove(worker_name);
            }
        }
        for (data_centre, record) in &batch.emptied {
            if record.is_none() {
                pending.revisions.remove(&emptied_key(data_centre));
            }
            if pending.emptied.get(data_centre) == Some(record) {
                pending.emptied.remove(data_centre);
            }
        }
        for (wave, completed) in &batch.waves {
            if pending.waves.get(wave) == Some(completed) {
                pending.waves.remove(wave);
            }
        }
        for &job in &batch.deleted_jobs {
            pending.deleted_jobs.retain(|&other| other != job);
            for key in keys_of(job) {
                pending.revisions.remove(&key);
            }
        }
    }

    /// Takes the revisions over that a refused commit showed. Returns whether
    /// the root is still as expected.
    pub fn conflicted(&self, batch: &Batch, items: &[StoredItem], root_revision: u64) -> bool {
        let mut pending = self.pending.borrow_mut();
        let now = |key: &str| {
            let item = items.iter().find(|item| item.key == key);
            item.map_or(0, |item| item.revision)
        };
        for (key, _) in &batch.transaction.expected {
            pending.revisions.insert(key.clone(), now(key));
        }
        now(ROOT_KEY) == root_revision
    }
}
