//! Tests of the transactions that store an owner's changes.

use bytes::Bytes;
use fuchsiaslip::cluster::{
    Batch,
    Changes,
    ClosedRecord,
    PendingWrites,
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
