//! Collects the owner's writes and batches them into transactions, which
//! [`super::commits`] sends.
//!
//! Only the owner writes these values. Each transaction is conditional on the root's
//! revision, and each put or removal also on the value's own last revision. So a write
//! whose answer was lost fails if the store carries it out seconds later: either another
//! owner has written the root, or the value has a newer revision. The values of a job are
//! removed together, on the condition that the job itself has its last known revision. Many
//! changes share a transaction, so the rate of calls does not depend on the number of tasks.

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

/// Transaction entries for one value: its expected revision, and its put or removal.
const VALUE_ENTRIES: usize = 2;

/// The stored record of an emptied data centre: its key, its revision, and the record,
/// or `None` if that cannot be decoded.
pub type StoredEmptied = (String, u64, Option<EmptiedRecord>);

/// Changes that the owner wants stored.
#[derive(Default)]
pub struct Changes {
    /// Progress of jobs, each with the number of its change.
    pub progress: Vec<(JobId, u64, ProgressRecord)>,
    /// The roster, if it changed.
    pub roster: Option<Vec<RosterRow>>,
    /// Records of closed and reopened workers, by worker name; `None` removes the
    /// record of a worker that is gone.
    pub closed: Vec<(String, Option<ClosedRecord>)>,
    /// Waves of upkeep, with whether they are completed.
    pub waves: Vec<(u64, bool)>,
    /// Records of emptied data centres, by name; `None` removes the record of one that
    /// gets tasks again.
    pub emptied: Vec<(String, Option<EmptiedRecord>)>,
    /// Jobs whose values are to be removed.
    pub deleted_jobs: Vec<JobId>,
}

/// Number of keys under which a job has values.
const KEYS_PER_JOB: usize = 3;
/// Transaction entries for the removal of a job: its expected revision, and its keys.
const REMOVED_JOB_ENTRIES: usize = KEYS_PER_JOB + 1;

/// The keys under which a job has values.
fn keys_of(job: JobId) -> [String; KEYS_PER_JOB] {
    [job_key(job), progress_key(job), cancelled_key(job)]
}

#[derive(Default)]
struct Pending {
    progress: BTreeMap<JobId, (u64, ProgressRecord)>,
    roster: Option<Vec<RosterRow>>,
    closed: BTreeMap<String, Option<ClosedRecord>>,
    waves: BTreeMap<u64, bool>,
    emptied: BTreeMap<String, Option<EmptiedRecord>>,
    /// Valid records of earlier owners whose orders are still in force, by data centre.
    earlier_emptied: HashMap<String, EmptiedRecord>,
    deleted_jobs: Vec<JobId>,
    /// Last known revisions of values, by key.
    revisions: HashMap<String, u64>,
}

/// The changes that are not stored yet.
#[derive(Default)]
pub struct PendingWrites {
    pending: RefCell<Pending>,
    added: Notify,
}

/// A transaction, with the changes that it stores.
pub struct Batch {
    /// The transaction itself.
    pub transaction: Transaction,
    /// Jobs whose progress it writes, with the numbers of the changes written.
    pub progress: Vec<(JobId, u64)>,
    /// Names of the workers on the roster that it writes.
    pub roster: Option<Vec<String>>,
    /// Records of closed workers, by worker name; `None` for those that it removes.
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

    /// Requires the last known revision of a value. One of which none is known is expected
    /// to be absent; if it is not, the conflict returns its revision.
    fn expect(&mut self, pending: &Pending, key: &str) {
        let revision = pending.revisions.get(key).copied().unwrap_or(0);
        self.transaction.expected.push((key.to_owned(), revision));
    }

    /// Adds a write that requires the value's last known revision.
    fn put(&mut self, pending: &Pending, key: String, value: Bytes) {
        self.expect(pending, &key);
        self.transaction.puts.push((key, value));
    }

    /// Adds a removal that requires the value's last known revision.
    fn remove(&mut self, pending: &Pending, key: String) {
        self.expect(pending, &key);
        self.transaction.removed.push(key);
    }

    /// How many more values fit into the transaction if each takes `entries` entries.
    fn capacity(&self, entries: usize) -> usize {
        let transaction = &self.transaction;
        let taken = transaction.expected.len() + transaction.puts.len() + transaction.removed.len();
        MAX_TRANSACTION_ENTRIES.saturating_sub(taken) / entries
    }
}

impl PendingWrites {
    /// Drops all changes and known revisions, for a change of owner.
    pub fn clear(&self) {
        *self.pending.borrow_mut() = Pending::default();
        self.added.notify_one();
    }

    /// Records the revision at which a value was read.
    pub fn record_revision(&self, key: &str, revision: u64) {
        let mut pending = self.pending.borrow_mut();
        pending.revisions.insert(key.to_owned(), revision);
    }

    /// Takes over the records that earlier owners stored for emptied data centres. A record
    /// whose order is no longer in force is removed; the others stay as they were first
    /// stored.
    pub fn record_emptied(&self, found: Vec<StoredEmptied>, in_force: &[EmptyingOrder]) {
        let mut pending = self.pending.borrow_mut();
        for (key, revision, record) in found {
            let name = key.strip_prefix(EMPTIED_PREFIX).unwrap_or_default();
            let name = name.to_owned();
            pending.revisions.insert(key, revision);
            if !in_force.iter().any(|order| order.data_centre == name) {
                pending.emptied.insert(name, None);
            } else if let Some(record) = record {
                pending.earlier_emptied.insert(name, record);
            }
        }
    }

    /// Adds changes, which replace earlier changes of the same values.
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
            let found = pending.earlier_emptied.remove(&data_centre);
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

    /// Waits until changes are added or all are dropped.
    pub async fn changed(&self) {
        self.added.notified().await;
    }

    /// Returns the next batch, or `None` if no change is pending. The changes that a
    /// worker or a client waits for come first, so closing a thousand workers at once
    /// does not delay the progress of jobs.
    pub fn batch(&self, root_revision: u64) -> Option<Batch> {
        let pending = self.pending.borrow();
        let mut batch = Batch::begin(root_revision);
        if let Some(roster) = &pending.roster {
            batch.put(&pending, ROSTER_KEY.to_owned(), encode(roster));
            batch.roster = Some(roster.iter().map(|row| row.worker_name.clone()).collect());
        }
        for (&job, (change, record)) in pending.progress.iter().take(batch.capacity(VALUE_ENTRIES))
        {
            batch.put(&pending, progress_key(job), encode(record));
            batch.progress.push((job, *change));
        }
        for (&wave, &completed) in pending.waves.iter().take(batch.capacity(VALUE_ENTRIES)) {
            let value = encode_wave_state(completed);
            batch.put(&pending, wave_state_key(wave), value);
            batch.waves.push((wave, completed));
        }
        for (worker_name, record) in pending.closed.iter().take(batch.capacity(VALUE_ENTRIES)) {
            let key = closed_key(worker_name);
            match record {
                Some(record) => batch.put(&pending, key, encode(record)),
                None => batch.remove(&pending, key),
            }
            batch.closed.push((worker_name.clone(), record.clone()));
        }
        for (data_centre, record) in pending.emptied.iter().take(batch.capacity(VALUE_ENTRIES)) {
            let key = emptied_key(data_centre);
            match record {
                Some(record) => batch.put(&pending, key, encode(record)),
                None => batch.remove(&pending, key),
            }
            batch.emptied.push((data_centre.clone(), record.clone()));
        }
        // Nobody waits for the removal of jobs, so they get the entries that are left.
        for &job in pending
            .deleted_jobs
            .iter()
            .take(batch.capacity(REMOVED_JOB_ENTRIES))
        {
            batch.deleted_jobs.push(job);
            batch.expect(&pending, &job_key(job));
            batch.transaction.removed.extend(keys_of(job));
        }
        let transaction = &batch.transaction;
        let empty = transaction.puts.is_empty() && transaction.removed.is_empty();
        (!empty).then_some(batch)
    }

    /// Drops the changes that the batch stored, unless they changed meanwhile.
    pub fn handle_commit(&self, batch: &Batch, revision: u64) {
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
            // A roster that changed meanwhile is stored again, even with the same
            // number of rows.
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

    /// Records the revisions that a conflicting commit returned. Returns whether the
    /// root still has the expected revision.
    pub fn handle_conflict(&self, batch: &Batch, items: &[StoredItem], root_revision: u64) -> bool {
        let mut pending = self.pending.borrow_mut();
        let current_revision = |key: &str| {
            let item = items.iter().find(|item| item.key == key);
            item.map_or(0, |item| item.revision)
        };
        for (key, _) in &batch.transaction.expected {
            pending.revisions.insert(key.clone(), current_revision(key));
        }
        current_revision(ROOT_KEY) == root_revision
    }
}
