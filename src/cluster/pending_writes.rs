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
    RosterRow,
    WHOLE_ROSTER_KEY,
    cancelled_key,
    closed_key,
    emptied_key,
    encode,
    job_key,
    progress_key,
    roster_part,
    roster_part_key, //
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
    BTreeSet,
    HashMap, //
};
use tokio::sync::Notify;

/// Transaction entries for one value: its expected revision, and its put or removal.
const VALUE_ENTRIES: usize = 2;

/// The stored record of an emptied data centre: its key, its revision, and the record,
/// or `None` if that cannot be decoded.
pub type StoredEmptied = (String, u64, Option<EmptiedRecord>);

/// The roster, with the workers that may not be used yet.
#[derive(Clone, Debug, Default)]
pub struct RosterChange {
    /// All rows.
    pub rows: Vec<RosterRow>,
    /// Names of the workers whose rows the scheduler waits for, even if they are stored.
    pub unconfirmed: Vec<String>,
}

/// Changes that the owner wants stored.
#[derive(Default)]
pub struct Changes {
    /// Progress of jobs, each with the number of its change.
    pub progress: Vec<(JobId, u64, ProgressRecord)>,
    /// The roster, if it changed.
    pub roster: Option<RosterChange>,
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

/// Most parts of the roster in one transaction, so that the progress of jobs goes along.
const MAX_ROSTER_PARTS: usize = 8;

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
    /// Parts of the roster that differ from what is stored.
    roster: BTreeMap<u32, Vec<RosterRow>>,
    /// Parts of the roster as they are stored; a missing one is empty.
    stored_roster: HashMap<u32, Vec<RosterRow>>,
    /// Stored parts that cannot be decoded; the next change of the roster overwrites them.
    unreadable_parts: BTreeSet<u32>,
    /// The roster is also stored in one value, which is emptied once all parts are stored.
    has_whole_roster: bool,
    /// The roster of this owner is known, so the parts can replace that value.
    knows_roster: bool,
    closed: BTreeMap<String, Option<ClosedRecord>>,
    waves: BTreeMap<u64, bool>,
    emptied: BTreeMap<String, Option<EmptiedRecord>>,
    /// Valid records of earlier owners whose orders are still in force, by data centre.
    earlier_emptied: HashMap<String, EmptiedRecord>,
    deleted_jobs: Vec<JobId>,
    /// Last known revisions of values, by key.
    revisions: HashMap<String, u64>,
}

impl Pending {
    /// Replaces the roster: the parts that differ from what is stored have to be written.
    fn change_roster(&mut self, change: RosterChange) {
        let mut parts: BTreeMap<u32, Vec<RosterRow>> = BTreeMap::new();
        for row in change.rows {
            let part = roster_part(&row.worker_name);
            parts.entry(part).or_default().push(row);
        }
        let written = self.stored_roster.keys().chain(self.roster.keys());
        for &part in written.chain(&self.unreadable_parts) {
            parts.entry(part).or_default();
        }
        for rows in parts.values_mut() {
            rows.sort_by(|a, b| a.worker_name.cmp(&b.worker_name));
        }
        self.knows_roster = true;
        let (stored, unreadable) = (&self.stored_roster, &self.unreadable_parts);
        let unconfirmed = change.unconfirmed.iter().map(|name| roster_part(name));
        let unconfirmed: BTreeSet<u32> = unconfirmed.collect();
        // A part that is being written has to be written again even if it is as it was
        // before.
        let being_written = std::mem::take(&mut self.roster);
        parts.retain(|part, rows| {
            let is_stored = match stored.get(part) {
                Some(stored) => stored == rows,
                None => rows.is_empty(),
            };
            let is_awaited = unconfirmed.contains(part) || being_written.contains_key(part);
            !is_stored || is_awaited || unreadable.contains(part)
        });
        self.roster = parts;
    }
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
    /// The parts of the roster that it writes.
    roster: Vec<(u32, Vec<RosterRow>)>,
    /// Whether it empties the roster in one value.
    empties_whole_roster: bool,
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
            roster: Vec::new(),
            empties_whole_roster: false,
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

    /// Names of the workers in the parts of the roster that it writes.
    pub fn roster_names(&self) -> Vec<String> {
        let rows = self.roster.iter().flat_map(|(_, rows)| rows);
        rows.map(|row| row.worker_name.clone()).collect()
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

    /// Takes over the parts of the roster that earlier owners stored. A part that cannot be
    /// decoded is `None`. `has_whole_roster` tells whether the roster is also stored in one
    /// value.
    pub fn record_roster(&self, parts: Vec<(u32, Option<Vec<RosterRow>>)>, has_whole_roster: bool) {
        let mut pending = self.pending.borrow_mut();
        for (part, rows) in parts {
            match rows {
                Some(rows) => drop(pending.stored_roster.insert(part, rows)),
                None => drop(pending.unreadable_parts.insert(part)),
            }
        }
        pending.has_whole_roster = has_whole_roster;
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
        if let Some(change) = changes.roster {
            pending.change_roster(change);
        }
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
        for (&part, rows) in pending.roster.iter().take(MAX_ROSTER_PARTS) {
            batch.put(&pending, roster_part_key(part), encode(rows));
            batch.roster.push((part, rows.clone()));
        }
        if pending.has_whole_roster && pending.knows_roster && pending.roster.is_empty() {
            let empty: [RosterRow; 0] = [];
            batch.put(&pending, WHOLE_ROSTER_KEY.to_owned(), encode(&empty));
            batch.empties_whole_roster = true;
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
        for (part, rows) in &batch.roster {
            // A part that changed meanwhile is stored again.
            if pending.roster.get(part) == Some(rows) {
                pending.roster.remove(part);
            }
            pending.stored_roster.insert(*part, rows.clone());
            pending.unreadable_parts.remove(part);
        }
        pending.has_whole_roster &= !batch.empties_whole_roster;
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
