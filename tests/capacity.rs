//! Workers whose capacity shrinks and grows again while they run.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    configuration,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    EndKind,
    Input,
    Resources,
    RunName,
    StepSpec,
    Tuning,
    WorkerInfo, //
};
use std::sync::Arc;

/// A room that has shrunk counts after this: the time in which a VM is in touch and
/// one heartbeat of a worker.
const SHRUNK_COUNTS_MS: u64 = 4_500;

/// What a worker says once so many accelerators are left to it.
fn shrunk(name: &str, accelerators: u32) -> Input {
    let usual = worker_info(name, "r1");
    Input::WorkerRegistered(WorkerInfo {
        capacity: Resources {
            accelerators,
            ..usual.capacity
        },
        ..usual
    })
}

/// One worker full of four tasks of two accelerators, of a service whose workers start
/// whatever they are told to.
fn full_worker() -> Fleet {
    let tuning = Tuning {
        entries_max_age_ms: 2_860,
        ..Tuning::default()
    };
    let mut fleet = Fleet::with_tuning(1, tuning);
    let mut known = configuration(64);
    known.version = 2;
    known.unguarded_services = vec!["s".to_owned()];
    fleet.tell(Input::Configure(Arc::new(known)));
    fleet.submit(1, record("plain", vec![step(4, 2)]));
    fleet.advance(50);
    assert_eq!(fleet.running().len(), 4);
    fleet
}

fn end_one(fleet: &mut Fleet) {
    let (worker, name) = fleet.running().remove(0);
    fleet.end_run(&worker, name, EndKind::Done);
    fleet.advance(150);
}

/// A worker's room shrank below what ran there; each end made place for a start by the
/// sums of the room that was left of each kind, and the worker stayed over its capacity.
#[test]
fn nothing_starts_on_a_worker_that_is_over_its_capacity() {
    let mut fleet = full_worker();
    fleet.tell(shrunk("w0", 4));
    fleet.submit(2, record("plain", vec![step(1, 2)]));
    fleet.submit(3, record("plain", vec![step(1, 0)]));
    fleet.advance(100);
    end_one(&mut fleet);
    assert_eq!(fleet.starts.len(), 4, "six of four are in use");

    end_one(&mut fleet);
    let started: Vec<JobId> = fleet.starts[4..].iter().map(|s| s.0.task.job).collect();
    assert_eq!(
        started,
        [JobId(3)],
        "four of four: what needs none may start"
    );

    fleet.tell(shrunk("w0", 8));
    fleet.advance(50);
    assert_eq!(fleet.starts.len(), 6, "it has grown again");
}

/// Urgent work that found no room had tasks stopped on such a worker one after the
/// other, each for room that the worker did not have any more.
#[test]
fn nobody_is_stopped_for_room_that_is_not_there() {
    let mut fleet = full_worker();
    fleet.tell(shrunk("w0", 4));
    fleet.submit(2, record("urgent", vec![step(1, 2)]));
    fleet.advance(100);

    assert!(fleet.stops.is_empty(), "{:?}", fleet.stops);
}

/// A start got no answer, and the room shrank before it was sent again: carried out
/// then, it would bring the worker over its capacity.
#[test]
fn a_start_without_an_answer_is_not_sent_again_to_a_shrunk_worker() {
    let mut fleet = full_worker();
    end_one(&mut fleet);
    fleet.silent.push("w0".to_owned());
    fleet.submit(
        2,
        record(
            "plain",
            vec![StepSpec {
                estimated_ms: 500,
                ..step(1, 2)
            }],
        ),
    );
    fleet.advance(10);
    let sent = fleet.starts.len();
    let run = fleet.starts[4].0;
    fleet.tell(shrunk("w0", 6));
    fleet.advance(500);

    assert_eq!(sent, 5, "sent once");
    assert_eq!(fleet.starts.len(), 5, "and not again");
    // A stop without an answer is sent again.
    let stopped: Vec<RunName> = fleet.stops.iter().map(|(name, _)| *name).collect();
    assert!(!stopped.is_empty(), "what may have arrived is stopped");
    assert!(stopped.iter().all(|name| *name == run), "{stopped:?}");
}

/// The store fell silent and a worker's room shrank. Its owner went on starting tasks by
/// the entry that it knew for as long as it gives orders without the store, which is
/// longer than the time after which the shrunk room counts.
#[test]
fn an_owner_that_does_not_hear_of_entries_starts_nothing_unguarded() {
    let mut fleet = full_worker();
    fleet.follows_entries = false;
    let silent_ms = fleet.now_ms;
    for id in 2..60 {
        fleet.submit(id, record("plain", vec![step(1, 1)]));
    }
    while fleet.now_ms < silent_ms + SHRUNK_COUNTS_MS + 2_000 {
        fleet.advance(100);
        let (worker, name) = fleet.running().remove(0);
        fleet.end_run(&worker, name, EndKind::Done);
        if fleet.running().is_empty() {
            break;
        }
    }
    let window_ms = Tuning::default().start_window_ms;
    let last_ms = fleet.starts.last().expect("it starts at first").2;
    assert!(
        last_ms + window_ms < silent_ms + SHRUNK_COUNTS_MS,
        "{} ms after the last news",
        last_ms - silent_ms
    );

    let before = fleet.starts.len();
    fleet.follows_entries = true;
    fleet.advance(50);
    assert!(fleet.starts.len() > before, "it hears of them again");
}
