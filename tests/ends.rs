//! A worker is told that an end is noted only once that end is stored.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/twice.rs"]
mod twice;

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
use twice::{
    Event,
    Story, //
};

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<u8>().prop_map(Event::Submit),
        8 => (any::<u8>(), prop::bool::weighted(0.3))
            .prop_map(|(which, failed)| Event::End { which, failed }),
        4 => (any::<u8>(), prop::bool::weighted(0.7))
            .prop_map(|(which, answered)| Event::Commit { which, answered }),
        1 => any::<u8>().prop_map(Event::Cancel),
        2 => any::<u8>().prop_map(Event::Silence),
        1 => any::<u8>().prop_map(Event::Lose),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(earlier_owner_over, behind)| {
            Event::ChangeOwner { earlier_owner_over, behind }
        }),
        1 => Just(Event::TellJobs),
        4 => (10..600u16).prop_map(Event::Pass),
        1 => Just(Event::PassLong),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// A gang ran again after it was done: the owner that heard of it could not
    /// reach the store, told the workers of all members but one that their ends
    /// are noted, and the one worker that still listed its end was lost before
    /// the next owner asked. Whatever happens in whatever order, no worker is
    /// told so before the end is stored, nothing starts after such an end, and
    /// no end waits once all is calm.
    #[test]
    fn no_worker_forgets_an_end_before_it_is_stored(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut story = Story::begin();

        for event in &events {
            story.play(event);
        }

        story.calm_down();
    }
}

fn tell(fleet: &mut Fleet, id: JobId, record: &JobRecord) {
    fleet.tell(Input::JobStored {
        id,
        record: Arc::new(record.clone()),
        progress: None,
    });
}

/// A fleet whose owner hears the done end of a job's only task and was not told
/// of that job.
fn heard_before_its_job() -> (Fleet, JobId, JobRecord) {
    let (mut fleet, id, job) = Fleet::with_job(1, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Done);
    let mut next = fleet.next_owner(2, &[], false);
    next.follows_jobs = false;
    next.advance(1_000);
    (next, id, job)
}

/// A gang failed as one, for the last time that it may. Its owner could not
/// reach the store; it counted the failure with the end of the first member, and
/// let go of the second one's, which changed nothing more. With the first worker
/// lost, the next owner knew of no failure, and the gang ran once too often.
#[test]
fn a_failure_that_another_member_told_waits_for_the_store_too() {
    let (mut fleet, job, _) = Fleet::with_job(2, record("plain", vec![gang(2, 8)]));
    fleet.store_answers = false;

    fleet.end_all(job, EndKind::Failed);
    fleet.advance(500);

    assert_eq!(fleet.highest_last_seen["w0"], 0);
    assert_eq!(fleet.highest_last_seen["w1"], 0);
}

/// A new owner, whose view of the jobs was behind, let go of the done end of a
/// job that it did not know yet; once it knew the job, the task ran again.
#[test]
fn an_end_of_a_job_that_is_not_known_yet_counts_once_it_is() {
    let (mut fleet, id, job) = heard_before_its_job();
    assert_eq!(fleet.highest_last_seen["w0"], 0, "its job may be stored");

    tell(&mut fleet, id, &job);
    fleet.follows_jobs = true;
    fleet.advance(100);

    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Completed));
    assert_eq!(fleet.highest_last_seen["w0"], 1);
    assert!(fleet.starts.is_empty(), "it was done");
}

/// An end of a job that is not stored any more is let go of once all stored jobs
/// are known, and the log says so; kept for ever, it would hold up all later ends
/// of its worker.
#[test]
fn an_end_of_a_job_that_is_not_stored_is_let_go_of() {
    let (mut fleet, id, _) = heard_before_its_job();

    fleet.follows_jobs = true;
    fleet.advance(100);

    assert_eq!(fleet.highest_last_seen["w0"], 1);
    let released = fleet.actions.iter().any(|action| {
        matches!(action, Action::Decided(Decision::EndReleased { name, .. }) if name.task.job == id)
    });
    assert!(released, "the log names it");
}

/// The second occurrence of a job was due and done by the clock of one VM and
/// not yet due by that of the next owner. The end named tasks that this owner did
/// not have, so it was let go of, and the occurrence ran again when it was due.
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

/// A worker lists 500 ends at a time. While the store was away it had more, so
/// the end of the newest run was on no list, and neither was the run: it was taken
/// for gone and its task, which was done, was started again.
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

    fleet.tell(Input::PollAnswered {
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
