//! What follows from entries that cannot be used and records that do not read.

use super::fleet::{
    Fleet,
    address_of,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    EndKind,
    Input,
    JobStatus,
    RunName,
    WorkerInfo, //
};
use std::sync::Arc;

/// Longer than any lease lasts.
const LEASES_OVER_MS: u64 = 15_000;

fn unusable(name: &str) -> Input {
    Input::WorkerEntryUnusable {
        worker_name: name.to_owned(),
        reason: "bad_state",
    }
}

/// Lets time pass in which everything that runs makes headway: what stands still
/// is stopped.
fn work_for(fleet: &mut Fleet, by_ms: u64) {
    const HEADWAY_MS: u64 = 500;
    for _ in 0..by_ms / HEADWAY_MS {
        for worker in fleet.workers.values_mut() {
            for percent in worker.running.values_mut() {
                *percent = (*percent + 1) % 90;
            }
        }
        fleet.advance(HEADWAY_MS);
    }
}

/// Two workers, a job of one task, and where its run is.
fn with_one_run() -> (Fleet, JobId, String, RunName) {
    let mut fleet = Fleet::with_workers(2);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(100);
    let running = fleet.running();
    assert_eq!(running.len(), 1, "{running:?}");
    let (worker, run) = running[0].clone();
    (fleet, job, worker, run)
}

fn starts_on(fleet: &Fleet, worker: &str) -> usize {
    let starts = fleet.starts.iter();
    starts.filter(|(_, there, _)| there == worker).count()
}

/// An operator's script wrote over a worker's entry. The worker went on, and so
/// did what ran there, but the owner gave it more work from the last entry that it
/// had been able to read, and the worker had long been given another service.
#[test]
fn a_worker_whose_entry_turns_unreadable_gets_no_new_work_and_keeps_what_runs() {
    let (mut fleet, first, worker, run) = with_one_run();

    fleet.tell(unusable(&worker));
    fleet.submit(2, record("plain", vec![step(8, 1)]));
    fleet.submit(3, record("plain", vec![step(4, 1)]));
    work_for(&mut fleet, LEASES_OVER_MS);

    assert_eq!(starts_on(&fleet, &worker), 1, "no new work there");
    assert!(
        fleet.running().contains(&(worker.clone(), run)),
        "it goes on"
    );
    let lapsed = fleet.workers[&worker].has_lapsed(fleet.now_ms);
    assert!(!lapsed, "its lease is renewed");
    fleet.end_all(first, EndKind::Done);
    fleet.advance(500);
    let completed = fleet.scheduler.job_status(first);
    assert_eq!(completed, Some(JobStatus::Completed), "its end is heard");
    assert_eq!(fleet.highest_last_seen[&worker], 1, "and acknowledged");
    fleet.tell(Input::WorkerRegistered(worker_info(&worker, "r1")));
    fleet.advance(500);
    assert_eq!(starts_on(&fleet, &worker), 5, "it serves again");
}

#[test]
fn an_unusable_entry_of_nobody_makes_no_worker() {
    let mut fleet = Fleet::with_workers(1);
    let workers = fleet.scheduler.workers().len();

    for at in 0..1_000 {
        fleet.tell(unusable(&format!("nobody-{at}")));
    }
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(500);

    assert_eq!(fleet.scheduler.workers().len(), workers);
    assert_eq!(fleet.running().len(), 1, "the others hold");
}

/// A worker's entry was overwritten, and then the owner died. The next owner read
/// no worker there and did not ask it; its task was started elsewhere a second time.
#[test]
fn a_new_owner_hears_a_worker_whose_entry_is_unreadable() {
    let (fleet, job, worker, run) = with_one_run();
    let spec = record("plain", vec![step(1, 1)]);

    let mut next = fleet.next_owner(2, &[(job, spec)], false);
    next.tell(unusable(&worker));
    work_for(&mut next, LEASES_OVER_MS);

    assert_eq!(next.running(), [(worker.clone(), run)], "it goes on, once");
    next.end_all(job, EndKind::Done);
    next.advance(500);
    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Completed));
    assert_eq!(next.starts, [], "nothing was started again");
}

#[test]
fn an_entry_that_names_another_service_gets_its_tasks_only() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(100);
    let other = WorkerInfo {
        service: "other".to_owned(),
        ..worker_info("w0", "r1")
    };

    fleet.tell(Input::WorkerRegistered(other));
    fleet.submit(2, record("plain", vec![step(1, 1)]));
    work_for(&mut fleet, 5_000);

    assert_eq!(fleet.starts.len(), 1, "no queue uses that service");
    fleet.end_all(job, EndKind::Done);
    fleet.advance(500);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Completed));
}

/// Where a worker was called last.
fn called_at(fleet: &Fleet, worker: &str) -> String {
    let calls = fleet.actions.iter().rev();
    let mut calls = calls.filter_map(|action| match action {
        Action::Poll { callee, .. } if &*callee.worker_name == worker => {
            Some(callee.address.to_string())
        }
        _ => None,
    });
    calls.next().expect("it was called")
}

/// A worker's entry was overwritten with the address of another worker, which
/// answered, rightly, that it is not the one that was meant. The owner concluded
/// that the worker is over and started its tasks elsewhere, while they went on.
#[test]
fn an_entry_with_the_address_of_another_worker_does_not_end_its_worker() {
    let (mut fleet, job, worker, run) = with_one_run();
    let own = address_of(&worker);
    let other = address_of(if worker == "w0" { "w1" } else { "w0" });
    let overwritten = WorkerInfo {
        address: other.clone(),
        ..worker_info(&worker, "r1")
    };

    fleet.tell(Input::WorkerRegistered(overwritten));
    fleet.submit(2, record("plain", vec![step(2, 1)]));
    work_for(&mut fleet, LEASES_OVER_MS);

    assert_eq!(
        called_at(&fleet, &worker),
        own,
        "it answers where it always did"
    );
    assert_eq!(starts_on(&fleet, &worker), 1, "no new work there");
    assert!(fleet.running().contains(&(worker.clone(), run)));

    // It is silent now, and who is at the other address is not the one meant.
    fleet.silent.push(worker.clone());
    work_for(&mut fleet, 1_500);
    let tried = fleet.actions.iter().any(|action| {
        matches!(action, Action::Poll { callee, .. }
            if *callee.worker_name == worker && *callee.address == *other)
    });
    assert!(tried, "the other address is tried");
    let again = fleet
        .starts
        .iter()
        .filter(|(name, ..)| name.task.job == job);
    assert_eq!(again.count(), 1, "its lease is not over");

    fleet.silent.clear();
    fleet.tell(Input::WorkerRegistered(worker_info(&worker, "r1")));
    fleet.end_all(JobId(2), EndKind::Done);
    fleet.advance(1_500);
    fleet.submit(3, record("plain", vec![step(16, 1)]));
    // It stood still while it was silent, and is quarantined for that.
    work_for(&mut fleet, 3_000);
    assert!(starts_on(&fleet, &worker) > 1, "it serves again");
    assert_eq!(called_at(&fleet, &worker), own);
}

/// Two entries named one address, of which one was overwritten. The worker that was
/// there answered again after a silence, and the other was held for replaced by it,
/// while it ran on where it always was.
#[test]
fn a_worker_that_answers_does_not_end_one_whose_entry_claims_its_address() {
    let (mut fleet, job, worker, _) = with_one_run();
    let other = if worker == "w0" { "w1" } else { "w0" };
    fleet.tell(Input::WorkerRegistered(WorkerInfo {
        address: address_of(other),
        ..worker_info(&worker, "r1")
    }));
    fleet.silent.push(worker.clone());

    for _ in 0..15 {
        fleet.silent.push(other.to_owned());
        fleet.advance(60);
        fleet.silent.retain(|silent| silent != other);
        fleet.advance(300);
    }

    let again = fleet
        .starts
        .iter()
        .filter(|(name, ..)| name.task.job == job);
    assert_eq!(again.count(), 1, "its lease is not over");
}

/// The next owner of a fleet with one run of a job, told that the job's progress
/// does not read.
fn next_owner_without_progress() -> (Fleet, JobId, String, RunName) {
    let (fleet, job, worker, run) = with_one_run();
    let mut next = fleet.next_owner(2, &[], false);
    next.tell(Input::JobUnreadable(job));
    next.advance(500);
    (next, job, worker, run)
}

/// A newer version wrote the progress of a job, and a daemon of the version before
/// took over. It took the job for one of which nothing was done, and ran it again.
#[test]
fn a_job_whose_progress_does_not_read_neither_starts_nor_ends() {
    let (mut next, job, worker, run) = next_owner_without_progress();
    let spec = record("plain", vec![step(1, 1)]);

    // A client sends it again.
    next.submit(job.0, spec.clone());
    work_for(&mut next, LEASES_OVER_MS);
    assert_eq!(next.running(), [(worker.clone(), run)], "it goes on");
    assert_eq!(
        next.scheduler.job_status(job),
        None,
        "the store tells of it"
    );
    next.end_all(job, EndKind::Done);
    next.advance(1_000);
    assert_eq!(next.highest_last_seen[&worker], 0, "its end is not lost");
    assert_eq!(next.starts, []);

    next.tell(Input::JobReadable {
        id: job,
        record: Arc::new(spec),
        progress: None,
    });
    next.advance(1_000);

    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Completed));
    assert_eq!(next.highest_last_seen[&worker], 1, "now it is noted");
    assert_eq!(next.starts, [], "nothing ran twice");
}

#[test]
fn a_run_of_a_job_that_reads_again_is_taken_over() {
    let (mut next, job, worker, run) = next_owner_without_progress();

    next.tell(Input::JobReadable {
        id: job,
        record: Arc::new(record("plain", vec![step(1, 1)])),
        progress: None,
    });
    work_for(&mut next, LEASES_OVER_MS);

    assert_eq!(next.running(), [(worker, run)]);
    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Running));
    next.end_all(job, EndKind::Done);
    next.advance(1_000);
    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Completed));
    assert_eq!((&next.starts[..], &next.stops[..]), (&[][..], &[][..]));
}

#[test]
fn a_job_that_reads_again_waits_for_workers_that_were_not_heard() {
    let (fleet, job, worker, _) = with_one_run();
    let mut next = fleet.next_owner(2, &[], false);
    next.silent.push(worker);
    next.tell(Input::JobUnreadable(job));
    work_for(&mut next, 3_000);

    next.tell(Input::JobReadable {
        id: job,
        record: Arc::new(record("plain", vec![step(1, 1)])),
        progress: None,
    });
    work_for(&mut next, 3_000);

    assert_eq!(next.starts, [], "it may run where this owner cannot look");
}

#[test]
fn a_cancelled_job_needs_no_progress() {
    let (mut next, job, worker, run) = next_owner_without_progress();

    next.tell(Input::JobCancelled(job));
    next.advance(1_000);

    assert_eq!(next.stops, [(run, worker.clone())]);
    assert_eq!(next.running(), []);
    assert_eq!(next.highest_last_seen[&worker], 1, "its end is noted");
}

/// What a run takes whose job does not read is not known: work beside it brought
/// its worker over its capacity.
#[test]
fn nothing_goes_beside_a_run_of_which_nothing_is_known() {
    let (mut next, _, worker, run) = next_owner_without_progress();

    next.submit(2, record("urgent", vec![step(16, 1)]));
    work_for(&mut next, 3_000);

    assert_eq!(starts_on(&next, &worker), 0);
    assert!(next.running().contains(&(worker, run)), "nor in its place");
}

/// Beside a roster that did not read, a worker was stored as closed. It got work, the
/// roster was mended, and the next owner read that nothing runs on the worker.
#[test]
fn a_closed_worker_is_opened_in_the_store_before_it_gets_work() {
    let fleet = Fleet::with_workers(1);
    let mut next = fleet.next_owner_told(2, true, |next| {
        next.store_answers = false;
        next.tell(Input::RosterUnreadable);
        next.tell(Input::ClosedWorker {
            worker_name: "w0".to_owned(),
            runs: Vec::new().into(),
        });
        next.tell(Input::WorkerRegistered(worker_info("w0", "r1")));
    });

    next.submit(1, record("plain", vec![step(1, 1)]));
    next.advance(2_000);
    assert_eq!(next.starts, [], "the store says that nothing starts there");
    next.tell(Input::ClosedWorkerStored {
        worker_name: "w0".to_owned(),
        closed: false,
    });
    next.advance(100);

    assert_eq!(next.starts.len(), 1);
}

/// The roster was overwritten. The next owner took the fleet for empty, and started
/// the tasks of a worker again that it did not know of and that had left the list.
#[test]
fn while_the_roster_does_not_read_any_worker_may_run_anything() {
    let (fleet, job, worker, _) = with_one_run();
    let spec = record("plain", vec![step(1, 1)]);
    let other = if worker == "w0" { "w1" } else { "w0" };
    let mut next = fleet.next_owner_told(2, false, |next| {
        next.tell(Input::RosterUnreadable);
        next.tell(Input::WorkerRegistered(worker_info(other, "r1")));
        next.tell(Input::JobStored {
            id: job,
            record: Arc::new(spec.clone()),
            progress: None,
        });
    });
    let stored = |next: &Fleet| {
        let mut actions = next.actions.iter();
        actions.any(|action| *action == Action::StoreRoster)
    };

    work_for(&mut next, 7_000);
    assert_eq!(next.starts, [], "the worker that it cannot know may run it");
    assert!(!stored(&next), "who follows sees it too");
    next.submit(2, record("plain", vec![step(1, 1)]));
    next.advance(100);
    assert_eq!(next.starts.len(), 1, "new work starts at once");
    work_for(&mut next, LEASES_OVER_MS);

    assert_eq!(next.starts.len(), 2, "the longest lease is over");
    assert!(stored(&next));
}
