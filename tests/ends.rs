//! Tests that an end is acknowledged to its worker only once its effects are stored, and
//! that every end counts.

#[path = "support/ends_simulation.rs"]
mod ends_simulation;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use ends_simulation::{
    Event,
    Simulation, //
};
use fleet::{
    Fleet,
    gang,
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    Decision,
    EndKind,
    EndedRow,
    Input,
    JobRecord,
    JobStatus,
    PollReport,
    RunName,
    Schedule,
    TaskId, //
};
use proptest::prelude::*;
use std::sync::Arc;

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<u8>().prop_map(Event::Submit),
        8 => (any::<u8>(), prop::bool::weighted(0.3))
            .prop_map(|(which, failed)| Event::End { which, failed }),
        4 => (any::<u8>(), prop::bool::weighted(0.7))
            .prop_map(|(which, answered)| Event::Commit { which, answered }),
        1 => any::<u8>().prop_map(Event::Cancel),
        2 => any::<u8>().prop_map(Event::ToggleResponding),
        1 => any::<u8>().prop_map(Event::LoseWorker),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(earlier_owner_exited, behind)| {
            Event::ChangeOwner { earlier_owner_exited, behind }
        }),
        1 => Just(Event::ReportJobs),
        4 => (10..600u16).prop_map(Event::Wait),
        1 => Just(Event::WaitLong),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// Guards against a gang that runs again after it was done: the owner that handled the
    /// ends could not reach the store, acknowledged the ends of all members but one, and
    /// the one worker that still listed its end was lost before the next owner polled it.
    /// Checked for random sequences of events: no end is acknowledged before it is stored,
    /// no task starts after its end was acknowledged, and no end stays unacknowledged once
    /// all faults are repaired.
    #[test]
    fn no_end_is_acknowledged_before_it_is_stored(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut simulation = Simulation::begin();

        for event in &events {
            simulation.apply(event);
        }

        simulation.repair_and_drain();
    }
}

/// Passes a stored job to the scheduler.
fn send_job(fleet: &mut Fleet, id: JobId, record: &JobRecord) {
    fleet.send_input(Input::JobStored {
        id,
        record: Arc::new(record.clone()),
        progress: None,
    });
}

/// A fleet whose owner has received the end of a job's only, completed task, but has not
/// read that job yet.
fn end_received_before_its_job() -> (Fleet, JobId, JobRecord) {
    let (mut fleet, id, job) = Fleet::with_job(1, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Done);
    let mut next = fleet.next_owner(2, &[], false);
    next.reports_jobs_read = false;
    next.advance(1_000);
    (next, id, job)
}

/// Guards against a gang that runs once too often. It had failed as a whole and exhausted
/// its attempts, while its owner could not reach the store. The owner counted the failure
/// with the end of the first member, and acknowledged the end of the second, which changed
/// nothing more. After the first worker was lost, the next owner knew of no failure.
#[test]
fn the_ends_of_all_members_of_a_failed_gang_wait_for_the_store() {
    let (mut fleet, job, _) = Fleet::with_job(2, record("plain", vec![gang(2, 8)]));
    fleet.store_answers = false;

    fleet.end_all(job, EndKind::Failed);
    fleet.advance(500);

    assert_eq!(fleet.highest_acknowledged["w0"], 0);
    assert_eq!(fleet.highest_acknowledged["w1"], 0);
}

/// Guards against a task that runs again after it completed: a new owner, which had not
/// read all jobs yet, acknowledged the end of a job that it did not know.
#[test]
fn an_end_of_a_job_that_is_not_known_yet_counts_once_it_is() {
    let (mut fleet, id, job) = end_received_before_its_job();
    assert_eq!(fleet.highest_acknowledged["w0"], 0, "its job may be stored");

    send_job(&mut fleet, id, &job);
    fleet.reports_jobs_read = true;
    fleet.advance(100);

    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Completed));
    assert_eq!(fleet.highest_acknowledged["w0"], 1);
    assert!(fleet.starts.is_empty(), "the task was done already");
}

/// The end of a job that is not stored any more is acknowledged once all stored jobs have
/// been read, and this is logged. Otherwise it would block the acknowledgement of all later
/// ends of its worker.
#[test]
fn an_end_of_a_job_that_is_not_stored_is_acknowledged() {
    let (mut fleet, id, _) = end_received_before_its_job();

    fleet.reports_jobs_read = true;
    fleet.advance(100);

    assert_eq!(fleet.highest_acknowledged["w0"], 1);
    let released = fleet.actions.iter().any(|action| {
        matches!(action, Action::Decided(Decision::EndReleased { name, .. }) if name.task.job == id)
    });
    assert!(released, "the release of the end is logged");
}

/// Guards against an occurrence that runs again. The second occurrence of a job was due and
/// done by the clock of one VM, but not yet due by the clock of the next owner. That owner
/// had no such task when the end was listed, so it acknowledged the end without counting
/// it, and the occurrence ran again when it was due.
#[test]
fn an_end_of_an_occurrence_that_is_not_due_yet_counts() {
    const INTERVAL_MS: u64 = 2_000;
    let mut fleet = Fleet::with_workers(1);
    let mut job = record("plain", vec![step(1, 1)]);
    job.spec.schedule = Some(Schedule {
        repetitions: 2,
        start_at_ms: fleet.now_ms,
        interval_ms: INTERVAL_MS,
    });
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
    fleet.end_all(id, EndKind::Done);
    fleet.advance(INTERVAL_MS);
    assert_eq!(fleet.starts.len(), 2, "both occurrences have begun");
    fleet.stored.clear();
    fleet.end_all(id, EndKind::Done);

    let behind_ms = INTERVAL_MS / 2;
    fleet.now_ms -= behind_ms;
    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(100);
    assert_eq!(next.stored[&id].1.done_occurrences, [1]);
    let early = next
        .starts
        .iter()
        .find(|start| start.0.task.occurrence == 1);
    assert!(early.is_none(), "{early:?}");
    next.advance(behind_ms + 100);

    let again = next
        .starts
        .iter()
        .find(|start| start.0.task.occurrence == 1);
    assert!(again.is_none(), "{again:?}");
}

/// Guards against a task that is started again after it completed. A worker lists 500 ends
/// at a time. During a store outage it had more, so neither the newest run nor its end was
/// listed, and the run was considered gone.
#[test]
fn a_run_that_a_full_list_does_not_show_may_have_ended() {
    const LISTED_ENDS: u64 = 500;
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(2_000);
    let ended = (1..=LISTED_ENDS).map(|number| EndedRow {
        number,
        name: RunName {
            task: TaskId {
                job: JobId(2),
                occurrence: 0,
                step: 0,
                index: number as u32,
            },
            run: 1,
        },
        kind: EndKind::Stopped,
        checkpoint: "".into(),
    });
    let report = PollReport {
        clock_ms: fleet.now_ms,
        incarnation_start_ms: None,
        running: Vec::new(),
        ended: ended.collect(),
    };
    let worker = fleet.scheduler.workers()[0].key;

    fleet.send_input(Input::PollAnswered {
        worker,
        sent_ms: fleet.now_ms,
        report,
    });
    fleet.settle();

    let absent = fleet.actions.iter().any(|action| {
        matches!(action, Action::Decided(Decision::Retried { reason, .. }) if *reason == "absent")
    });
    assert!(!absent, "its end may be on the next list");
    assert_eq!(fleet.starts.len(), 1);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Running));
}
