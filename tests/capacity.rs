//! Tests of workers whose capacity shrinks and grows again.

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

/// Time after which a smaller capacity takes effect: the platform's contact timeout of a VM
/// and one heartbeat interval of a worker.
const SHRINK_EFFECTIVE_MS: u64 = 4_500;

/// Returns a worker's registration with this number of accelerators.
fn with_accelerators(name: &str, accelerators: u32) -> Input {
    let usual = worker_info(name, "r1");
    Input::WorkerRegistered(WorkerInfo {
        capacity: Resources {
            accelerators,
            ..usual.capacity
        },
        ..usual
    })
}

/// Returns a fleet of one worker that is full, with four tasks of two accelerators each. The
/// workers of its service are unguarded: they accept every start.
fn full_worker() -> Fleet {
    let tuning = Tuning {
        entries_max_age_ms: 2_860,
        ..Tuning::default()
    };
    let mut fleet = Fleet::with_tuning(1, tuning);
    let mut known = configuration(64);
    known.version = 2;
    known.unguarded_services = vec!["s".to_owned()];
    fleet.send_input(Input::Configure(Arc::new(known)));
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

/// Guards against a worker that stays overfull. After its capacity shrank below what its runs
/// took, each end freed capacity of some resource, and another run was started for it.
#[test]
fn nothing_starts_on_a_worker_that_is_over_its_capacity() {
    let mut fleet = full_worker();
    fleet.send_input(with_accelerators("w0", 4));
    fleet.submit(2, record("plain", vec![step(1, 2)]));
    fleet.submit(3, record("plain", vec![step(1, 0)]));
    fleet.advance(100);
    end_one(&mut fleet);
    assert_eq!(
        fleet.starts.len(),
        4,
        "a start was sent while six of four accelerators were in use"
    );

    end_one(&mut fleet);
    let started: Vec<JobId> = fleet.starts[4..].iter().map(|s| s.0.task.job).collect();
    assert_eq!(
        started,
        [JobId(3)],
        "with four of four in use only a task without accelerators may start"
    );

    fleet.send_input(with_accelerators("w0", 8));
    fleet.advance(50);
    assert_eq!(
        fleet.starts.len(),
        6,
        "no start was sent after the capacity grew again"
    );
}

/// Guards against needless preemption. Urgent work without free capacity had one task after
/// the other stopped on an overfull worker, although this freed no capacity.
#[test]
fn nothing_is_stopped_on_an_overfull_worker_to_free_capacity() {
    let mut fleet = full_worker();
    fleet.send_input(with_accelerators("w0", 4));
    fleet.submit(2, record("urgent", vec![step(1, 2)]));
    fleet.advance(100);

    assert!(fleet.stops.is_empty(), "{:?}", fleet.stops);
}

/// Guards against overfilling a worker by a start that is sent again: the start had no answer,
/// and the capacity shrank before it was repeated.
#[test]
fn a_start_without_an_answer_is_not_sent_again_to_a_shrunk_worker() {
    let mut fleet = full_worker();
    end_one(&mut fleet);
    fleet.unresponsive.push("w0".to_owned());
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
    fleet.send_input(with_accelerators("w0", 6));
    fleet.advance(500);

    assert_eq!(sent, 5, "the start was not sent once");
    assert_eq!(fleet.starts.len(), 5, "the start was sent again");
    // A stop without an answer is sent again.
    let stopped: Vec<RunName> = fleet.stops.iter().map(|(name, _)| *name).collect();
    assert!(
        !stopped.is_empty(),
        "the start that may have arrived was not stopped"
    );
    assert!(stopped.iter().all(|name| *name == run), "{stopped:?}");
}

/// Guards against overfilling unguarded workers during a store outage. A worker's capacity
/// shrank during the outage, and its owner continued to start tasks by the stale entry for
/// as long as it may send orders without the store. This is longer than the time after which
/// the smaller capacity takes effect.
#[test]
fn an_owner_with_stale_entries_starts_nothing_on_unguarded_workers() {
    let mut fleet = full_worker();
    fleet.reports_entries_read = false;
    let silent_ms = fleet.now_ms;
    for id in 2..60 {
        fleet.submit(id, record("plain", vec![step(1, 1)]));
    }
    while fleet.now_ms < silent_ms + SHRINK_EFFECTIVE_MS + 2_000 {
        fleet.advance(100);
        let (worker, name) = fleet.running().remove(0);
        fleet.end_run(&worker, name, EndKind::Done);
        if fleet.running().is_empty() {
            break;
        }
    }
    let window_ms = Tuning::default().start_window_ms;
    let last_ms = fleet.starts.last().expect("no start was sent").2;
    assert!(
        last_ms + window_ms < silent_ms + SHRINK_EFFECTIVE_MS,
        "a start was sent {} ms after the last entries were read",
        last_ms - silent_ms
    );

    let before = fleet.starts.len();
    fleet.reports_entries_read = true;
    fleet.advance(50);
    assert!(
        fleet.starts.len() > before,
        "no start was sent after the entries were read again"
    );
}

/// Guards against starts beyond the capacity of a worker after a change of owner: a run that was
/// known only from the store, and that was being stopped when its worker responded again,
/// counted as using nothing.
#[test]
fn a_run_known_from_the_store_counts_while_it_is_being_stopped() {
    let (mut fleet, id, job) = Fleet::with_job(1, record("plain", vec![step(1, 8)]));
    fleet.unresponsive.push("w0".to_owned());
    fleet.advance(1_000);
    let mut next = fleet.next_owner(2, &[(id, job)], false);
    next.stops_take_effect = false;
    next.send_input(Input::JobCancelled(id));
    next.advance(100);

    let later = next.submit(2, record("plain", vec![step(1, 8)]));
    next.unresponsive.clear();
    next.advance(500);
    let is_later = |name: &RunName| name.task.job == later;
    let started_beside = next.starts.iter().any(|(name, ..)| is_later(name));
    next.stops_take_effect = true;
    next.end_all(id, EndKind::Stopped);
    next.advance(500);

    assert!(!started_beside, "the worker was full");
    assert!(next.running().iter().any(|(_, name)| is_later(name)));
}
