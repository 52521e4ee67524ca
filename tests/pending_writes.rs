//! Tests of the transactions that store an owner's changes.

use bytes::Bytes;
use fuchsiaslip::cluster::{
    Batch,
    Changes,
    ClosedRecord,
    PendingWrites,
    RosterChange,
    RosterRow,
    StoredItem,
    Transaction, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    ClosedRuns,
    ConfirmedRun,
    GroupKey,
    RunName, //
};
use std::collections::BTreeMap;

const ROOT_REVISION: u64 = 1;

/// A store that carries out transactions on the conditions of the platform's protocol.
struct Store {
    revision: u64,
    revisions: BTreeMap<String, u64>,
}

impl Store {
    fn with_root() -> Self {
        Self {
            revision: ROOT_REVISION,
            revisions: BTreeMap::from([("owner".to_owned(), ROOT_REVISION)]),
        }
    }

    /// Writes a value outside of the owner's transactions.
    fn put(&mut self, key: &str) {
        self.revision += 1;
        self.revisions.insert(key.to_owned(), self.revision);
    }

    /// Returns the new revision, or the current items of all expected keys.
    fn commit(&mut self, transaction: &Transaction) -> Result<u64, Vec<StoredItem>> {
        let current = |key: &String| self.revisions.get(key).copied().unwrap_or(0);
        let holds = |(key, revision): &(String, u64)| current(key) == *revision;
        if !transaction.expected.iter().all(holds) {
            let keys = transaction.expected.iter().map(|(key, _)| key);
            let items = keys.filter(|key| current(key) > 0).map(|key| StoredItem {
                key: key.clone(),
                value: Bytes::new(),
                revision: current(key),
            });
            return Err(items.collect());
        }
        self.revision += 1;
        for (key, _) in &transaction.puts {
            self.revisions.insert(key.clone(), self.revision);
        }
        for key in &transaction.removed {
            self.revisions.remove(key);
        }
        Ok(self.revision)
    }
}

/// Commits pending changes until none are left, and returns the last batch.
fn commit_all(writes: &PendingWrites, store: &mut Store) -> Option<Batch> {
    const MAX_COMMITS: usize = 10;
    let mut last = None;
    for _ in 0..MAX_COMMITS {
        let Some(batch) = writes.batch(ROOT_REVISION) else {
            return last;
        };
        match store.commit(&batch.transaction) {
            Ok(revision) => {
                writes.handle_commit(&batch, revision);
                last = Some(batch);
            }
            Err(items) => {
                assert!(writes.handle_conflict(&batch, &items, ROOT_REVISION));
            }
        }
    }
    panic!("changes are left after {MAX_COMMITS} commits");
}

fn closed_change(record: Option<ClosedRecord>) -> Changes {
    Changes {
        closed: vec![("w1".to_owned(), record)],
        ..Changes::default()
    }
}

fn closed_record() -> Option<ClosedRecord> {
    Some(ClosedRecord::new(true, &ClosedRuns::default()))
}

/// Guards against losing the record of a closed worker: its removal had no answer, was
/// repeated, and the first copy was carried out after the record had been written again.
#[test]
fn a_removal_carried_out_late_does_not_delete_a_value_written_again() {
    let mut store = Store::with_root();
    let writes = PendingWrites::default();
    writes.add(closed_change(closed_record()));
    commit_all(&writes, &mut store);
    writes.add(closed_change(None));
    let unanswered = writes.batch(ROOT_REVISION).expect("a removal");
    commit_all(&writes, &mut store);
    writes.add(closed_change(closed_record()));
    commit_all(&writes, &mut store);

    let late = store.commit(&unanswered.transaction);

    assert!(late.is_err());
    assert!(store.revisions.contains_key("closed/w1"));
}

/// Guards against losing an accepted job: its name had belonged to a job that was removed,
/// and a copy of that removal was carried out late.
#[test]
fn a_removal_carried_out_late_does_not_delete_a_new_job_of_the_same_name() {
    let job = JobId(7);
    let key = format!("jobs/{job}");
    let mut store = Store::with_root();
    store.put(&key);
    let writes = PendingWrites::default();
    writes.add(Changes {
        deleted_jobs: vec![job],
        ..Changes::default()
    });
    let removal = commit_all(&writes, &mut store).expect("a removal");
    store.put(&key);

    let late = store.commit(&removal.transaction);

    assert_eq!(removal.deleted_jobs, [job]);
    assert!(late.is_err());
    assert!(store.revisions.contains_key(&key));
}

/// Guards against failing sound jobs: the record of a closed worker did not say when its runs
/// may have ended.
#[test]
fn the_record_of_a_closed_worker_keeps_when_its_runs_may_have_ended() {
    let group = GroupKey {
        job: JobId(7),
        occurrence: 0,
        step: 0,
    };
    let run = |index, possible_end_ms| ConfirmedRun {
        name: RunName {
            task: group.task(index),
            run: 3,
        },
        at_start: true,
        possible_end_ms,
    };
    let runs = ClosedRuns {
        confirmed: vec![run(0, Some(1_500)), run(1, None)],
        ..ClosedRuns::default()
    };

    let record = ClosedRecord::new(true, &runs);

    assert_eq!(record.closed_runs(), Some(runs));
}

fn roster_row(worker: usize) -> RosterRow {
    RosterRow {
        worker_name: format!("w{worker}"),
        address: format!("10.0.0.1:{worker}"),
    }
}

fn roster_change(workers: impl IntoIterator<Item = usize>, unconfirmed: &[usize]) -> Changes {
    let roster = RosterChange {
        rows: workers.into_iter().map(roster_row).collect(),
        unconfirmed: unconfirmed.iter().map(|at| format!("w{at}")).collect(),
    };
    Changes {
        roster: Some(roster),
        ..Changes::default()
    }
}

/// The bytes that the pending changes write, and the names of the workers whose rows they store.
fn write_all(writes: &PendingWrites, store: &mut Store) -> (usize, Vec<String>) {
    let (mut bytes, mut names) = (0, Vec::new());
    while let Some(batch) = writes.batch(ROOT_REVISION) {
        let puts = batch.transaction.puts.iter();
        bytes += puts.map(|(_, value)| value.len()).sum::<usize>();
        match store.commit(&batch.transaction) {
            Ok(revision) => {
                writes.handle_commit(&batch, revision);
                names.extend(batch.roster_names());
            }
            Err(items) => assert!(writes.handle_conflict(&batch, &items, ROOT_REVISION)),
        }
    }
    (bytes, names)
}

/// Guards against a write of the whole roster for each worker that comes or goes: with 6,000
/// workers that was half a megabyte on a link of 20 Mbit/s.
#[test]
fn a_worker_that_joins_a_large_fleet_changes_a_small_part_of_the_roster() {
    const WORKERS: usize = 6_000;
    let mut store = Store::with_root();
    let writes = PendingWrites::default();
    writes.add(roster_change(0..WORKERS, &[]));
    let (all_bytes, _) = write_all(&writes, &mut store);

    writes.add(roster_change(0..=WORKERS, &[WORKERS]));
    let (bytes, names) = write_all(&writes, &mut store);

    assert!(bytes < all_bytes / 40, "{bytes} of {all_bytes} bytes");
    assert!(names.contains(&format!("w{WORKERS}")));
}

/// Guards against a worker that is never used: it left and returned before its removal was
/// stored, so that nothing seemed to be left to store.
#[test]
fn a_worker_that_returns_before_its_removal_is_stored_is_confirmed() {
    let mut store = Store::with_root();
    let writes = PendingWrites::default();
    writes.add(roster_change([1, 2], &[1, 2]));
    write_all(&writes, &mut store);

    writes.add(roster_change([1, 2], &[2]));
    let (_, names) = write_all(&writes, &mut store);

    assert!(names.contains(&"w2".to_owned()), "{names:?}");
}

/// Guards against a roster that names nobody for a moment: the value in which earlier versions
/// kept it is emptied only after all its workers are in the parts.
#[test]
fn the_roster_in_one_value_is_emptied_after_its_parts_are_stored() {
    let mut store = Store::with_root();
    store.put("roster");
    let writes = PendingWrites::default();
    writes.record_revision("roster", 2);
    writes.record_roster(Vec::new(), true);
    writes.add(roster_change(0..300, &[]));

    let mut keys = Vec::new();
    while let Some(batch) = writes.batch(ROOT_REVISION) {
        let revision = store.commit(&batch.transaction).expect("no conflict");
        writes.handle_commit(&batch, revision);
        keys.extend(batch.transaction.puts.into_iter().map(|(key, _)| key));
    }

    assert_eq!(keys.iter().filter(|key| *key == "roster").count(), 1);
    assert_eq!(keys.last().map(String::as_str), Some("roster"));
    assert_eq!(keys.len(), 65);
}

/// Guards against a part that cannot be decoded and stays so: no later owner could tell which
/// workers it named.
#[test]
fn a_part_of_the_roster_that_cannot_be_decoded_is_overwritten_with_the_next_change() {
    let mut store = Store::with_root();
    store.put("roster/05");
    let writes = PendingWrites::default();
    writes.record_roster(vec![(5, None)], false);
    assert!(writes.batch(ROOT_REVISION).is_none(), "not before");

    writes.add(roster_change([], &[]));
    let batch = writes.batch(ROOT_REVISION).expect("a write");

    assert_eq!(batch.transaction.puts.len(), 1);
    assert_eq!(batch.transaction.puts[0].0, "roster/05");
}
