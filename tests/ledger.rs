//! Tests of the ledger: pages, compaction, fencing and damaged values.

use fuchsiaslip::ledger::{
    Change,
    ChangeKind,
    EndedChange,
    EnvelopeError,
    JobRecord,
    Journal,
    JournalEvent,
    MAX_VALUE_BYTES,
    OutcomeCode,
    Submission,
    decode_root,
    open,
    root_key,
    seal, //
};
use fuchsiaslip::standin::StoreStandIn;
use proptest::prelude::*;
use std::collections::BTreeMap;

const DATA_CENTRE: &str = "dc";

fn accepted(id: u64, payload_bytes: usize) -> Change {
    let submission = Submission {
        account: "a".to_owned(),
        class: "c".to_owned(),
        idempotency_key: id.to_string(),
        payload: vec![7; payload_bytes].into(),
        ..Submission::default()
    };
    let record = JobRecord {
        id,
        submission,
        ..JobRecord::default()
    };
    ChangeKind::Accepted(record).into()
}

fn ended(id: u64) -> Change {
    let change = EndedChange {
        id,
        outcome: OutcomeCode::Served as i32,
        ended_ms: 9,
        answer: None,
    };
    ChangeKind::Ended(change).into()
}

/// Executes store calls until none is due and returns the last event that is not
/// [`JournalEvent::Pending`].
fn settle(journal: &mut Journal, store: &mut StoreStandIn) -> JournalEvent {
    let mut last = JournalEvent::Pending;
    while let Some(call) = journal.poll() {
        let event = journal.handle_answer(store.handle(call, 0));
        if event != JournalEvent::Pending {
            last = event;
        }
        journal.retry();
    }
    last
}

/// Opens the ledger for a new owner.
fn opened(store: &mut StoreStandIn, owner: &str, first_write_id: u64) -> Journal {
    let mut journal = Journal::open(DATA_CENTRE, owner, first_write_id);
    assert_eq!(settle(&mut journal, store), JournalEvent::Opened);
    journal
}

/// A page that was truncated or written by a newer program must stop the new owner
/// with a specific error: continuing without the page would silently lose the
/// jobs on it.
#[test]
fn damaged_values_are_rejected_with_a_specific_error() {
    let sealed = seal(b"content");
    let mut flipped = sealed.to_vec();
    flipped[10] ^= 1;
    let mut newer = sealed.to_vec();
    newer[4] = 9;

    assert_eq!(open(sealed.slice(..5)), Err(EnvelopeError::Torn));
    assert_eq!(open(flipped.into()), Err(EnvelopeError::Checksum));
    assert_eq!(
        open(newer.into()),
        Err(EnvelopeError::UnknownVersion { found: 9 })
    );
    let oversized = vec![0; MAX_VALUE_BYTES + 1];
    assert!(matches!(
        open(oversized.into()),
        Err(EnvelopeError::Oversized { .. })
    ));
}

#[test]
fn an_owner_does_not_start_on_a_damaged_root() {
    let mut store = StoreStandIn::default();
    let mut first = opened(&mut store, "d1", 1);
    first.push(accepted(1, 10));
    settle(&mut first, &mut store);
    store.damage(&root_key(DATA_CENTRE), |value| {
        value.slice(..value.len() - 3)
    });

    let mut second = Journal::open(DATA_CENTRE, "d2", 1 << 40);
    let event = settle(&mut second, &mut store);

    assert_eq!(event, JournalEvent::Damaged(EnvelopeError::Checksum));
}

#[test]
fn a_later_owner_fences_the_earlier_one() {
    let mut store = StoreStandIn::default();
    let mut first = opened(&mut store, "d1", 1);
    let second = opened(&mut store, "d2", 1 << 40);
    first.push(accepted(1, 10));

    assert_eq!(settle(&mut first, &mut store), JournalEvent::Fenced);
    assert_eq!((first.epoch(), second.epoch()), (1, 2));
}

#[test]
fn root_and_pages_stay_well_under_the_limit() {
    let mut store = StoreStandIn::default();
    let mut journal = opened(&mut store, "d1", 1);
    for id in 0..400 {
        journal.push(accepted(id, 4_000));
        if id % 7 == 0 {
            settle(&mut journal, &mut store);
        }
    }
    settle(&mut journal, &mut store);

    let largest = store
        .keys()
        .iter()
        .filter_map(|key| store.value(key))
        .map(|v| v.len())
        .max();
    assert!(
        largest.is_some_and(|size| size < MAX_VALUE_BYTES / 2),
        "{largest:?}"
    );
    let root = decode_root(store.value(&root_key(DATA_CENTRE)).unwrap()).unwrap();
    assert!(root.pages.len() > 2);
}

#[derive(Clone, Debug)]
enum Step {
    Accept(usize),
    End(u8),
    Delete(u8),
    Commit,
    LoseAnswer,
    Reopen,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_000usize).prop_map(Step::Accept),
        2 => any::<u8>().prop_map(Step::End),
        1 => any::<u8>().prop_map(Step::Delete),
        3 => Just(Step::Commit),
        1 => Just(Step::LoseAnswer),
        1 => Just(Step::Reopen),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// After any sequence of changes, commits, lost answers and reopenings, the
    /// ledger contains the same jobs as a map to which the changes were applied.
    #[test]
    fn a_reopened_ledger_equals_a_map_model(steps in prop::collection::vec(step(), 1..80)) {
        let mut store = StoreStandIn::default();
        let mut journal = opened(&mut store, "d", 1);
        let mut model: BTreeMap<u64, i32> = BTreeMap::new();
        let mut owners = 1u64;
        for (index, step) in steps.into_iter().enumerate() {
            let id = index as u64;
            match step {
                Step::Accept(payload_bytes) => {
                    journal.push(accepted(id, payload_bytes));
                    model.insert(id, 0);
                }
                Step::End(which) => {
                    let chosen = model.keys().nth(usize::from(which) % model.len().max(1)).copied();
                    if let Some(id) = chosen {
                        journal.push(ended(id));
                        model.insert(id, OutcomeCode::Served as i32);
                    }
                }
                Step::Delete(which) => {
                    let chosen = model.keys().nth(usize::from(which) % model.len().max(1)).copied();
                    if let Some(id) = chosen {
                        journal.push(ChangeKind::Forgotten(id).into());
                        model.remove(&id);
                    }
                }
                Step::Commit => {
                    settle(&mut journal, &mut store);
                }
                Step::LoseAnswer => store.faults.lose_answers += 1,
                Step::Reopen => {
                    settle(&mut journal, &mut store);
                    owners += 1;
                    journal = opened(&mut store, "d", owners << 32);
                }
            }
        }
        settle(&mut journal, &mut store);
        owners += 1;
        let journal = opened(&mut store, "d", owners << 32);

        let stored: BTreeMap<u64, i32> =
            journal.job_pages().jobs().map(|job| (job.id, job.outcome)).collect();
        prop_assert_eq!(stored, model);
    }

    /// Decoding a root from arbitrary bytes, with or without a valid envelope, does
    /// not panic.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode_root(bytes.clone().into());
        let _ = decode_root(seal(&bytes));
    }
}
