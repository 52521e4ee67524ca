//! Tests that work of a cancelled job is stopped if it begins or continues after the
//! cancellation: starts that a worker carries out late, and runs whose owner is gone.

#[path = "support/fleet.rs"]
#[expect(dead_code, reason = "each test program uses a part of the fixture")]
mod fleet;

use fleet::{
    Fleet,
    gang,
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Input,
    JobRecord,
    JobStatus,
    RunName, //
};

/// Bound on the time from when a worker lists a run of a cancelled job until the run is
/// off the worker: one poll and one stop. The platform allows seconds.
const STOPPED_MS: u64 = 500;

/// A fleet of one worker that does not respond while its owner starts a job there, the
/// job, and the runs of the start orders that were sent to the worker.
fn started_on_an_unresponsive_worker(record: JobRecord) -> (Fleet, JobId, Vec<RunName>) {
    let mut fleet = Fleet::with_workers(1);
    fleet.unresponsive = vec!["w0".to_owned()];
    let job = fleet.submit(1, record);
    fleet.advance(50);
    let sent = fleet.starts.iter().map(|start| start.0).collect();
    (fleet, job, sent)
}

/// As [`started_on_an_unresponsive_worker`], and then the job is cancelled and the owner
/// gives the worker up.
fn cancelled_on_an_unresponsive_worker(record: JobRecord) -> (Fleet, JobId, Vec<RunName>) {
    const GIVEN_UP_MS: u64 = 4_000;
    let (mut fleet, job, sent) = started_on_an_unresponsive_worker(record);
    fleet.send_input(Input::JobCancelled(job));
    fleet.advance(GIVEN_UP_MS);
    (fleet, job, sent)
}

/// Lets the worker respond again and carry out the start orders that were sent before.
fn carry_out_late(fleet: &mut Fleet, sent: &[RunName]) {
    fleet.unresponsive.clear();
    let worker = fleet.workers.get_mut("w0").expect("no worker w0");
    for &name in sent {
        worker.running.insert(name, 0);
    }
}

#[test]
fn a_start_carried_out_after_its_job_was_cancelled_is_stopped() {
    // A job is started on a worker that does not respond, and its user cancels it. The
    // worker carries out the start seconds later. The stop order was lost as well, so
    // unless a poll finds the run, it continues for as long as its lease is renewed.
    let (mut fleet, job, sent) =
        cancelled_on_an_unresponsive_worker(record("plain", vec![step(1, 1)]));
    assert!(!sent.is_empty(), "the worker was sent a start");

    carry_out_late(&mut fleet, &sent);
    fleet.advance(STOPPED_MS);

    assert_eq!(fleet.running(), []);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Cancelled));
}

#[test]
fn a_gang_carried_out_after_its_job_was_cancelled_is_stopped_whole() {
    // The same with a gang: each member that begins late waits for the others, and takes
    // its resources until it is stopped.
    let (mut fleet, _, sent) =
        cancelled_on_an_unresponsive_worker(record("plain", vec![gang(3, 2)]));
    let mut members: Vec<RunName> = sent.clone();
    members.sort();
    members.dedup();
    assert_eq!(members.len(), 3, "all members were sent");

    carry_out_late(&mut fleet, &members);
    fleet.advance(STOPPED_MS);

    assert_eq!(fleet.running(), []);
}

#[test]
fn a_start_carried_out_after_its_job_was_deleted_is_stopped() {
    // The worker is unreachable for so long that the cancelled job is deleted from the
    // store before the start is carried out: the job is unknown by then.
    const UNREACHABLE_MS: u64 = 400_000;
    let (mut fleet, job, sent) =
        cancelled_on_an_unresponsive_worker(record("plain", vec![step(1, 1)]));
    fleet.advance(UNREACHABLE_MS);
    assert!(fleet.deleted_jobs.contains(&job), "the job is deleted");

    carry_out_late(&mut fleet, &sent);
    fleet.advance(STOPPED_MS);

    assert_eq!(fleet.running(), []);
}

#[test]
fn work_of_a_cancelled_job_is_stopped_when_its_owner_was_removed() {
    // The VM of the owner that started a job is removed for good, and the job is
    // cancelled while there is no owner. The next owner learns of the job and of the
    // cancellation at the same time.
    let (fleet, job, record) = Fleet::with_job(2, record("plain", vec![gang(2, 8)]));
    assert_eq!(fleet.running().len(), 2);

    let mut next = fleet.next_owner(2, &[(job, record)], true);
    next.send_input(Input::JobCancelled(job));
    next.advance(STOPPED_MS);

    assert_eq!(next.running(), []);
    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Cancelled));
}

#[test]
fn a_late_start_of_a_removed_owner_is_stopped() {
    // The owner that sent a start order is removed, the job is cancelled under the next
    // owner, and only then does the worker carry out the start.
    let record = record("plain", vec![step(1, 1)]);
    let (fleet, job, sent) = started_on_an_unresponsive_worker(record.clone());
    let known = [(job, record)];
    let mut next = fleet.next_owner(2, &known, true);
    next.send_input(Input::JobCancelled(job));
    next.advance(2_000);

    carry_out_late(&mut next, &sent);
    next.advance(STOPPED_MS);

    assert_eq!(next.running(), []);
}
