//! What a job is held to: the terms of its queue.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    configuration,
    gang,
    leaving_info,
    queue,
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    ClusterConfiguration,
    Decision,
    EndKind,
    Input,
    JobFailure,
    JobRecord,
    JobStatus,
    RunName, //
};
use std::sync::Arc;

/// A version in which every queue allows so many attempts.
fn allowing(version: u64, max_attempts: u32) -> ClusterConfiguration {
    let mut known = configuration(64);
    known.version = version;
    for queue in &mut known.queues {
        queue.max_attempts = max_attempts;
    }
    known
}

/// A version without the queue `plain`.
fn without_plain(version: u64) -> ClusterConfiguration {
    let mut known = configuration(64);
    known.version = version;
    known.queues.retain(|queue| queue.name != "plain");
    known
}

/// A job of one task that a daemon accepted under a version with so many attempts.
fn accepted_under(version: u64, max_attempts: u32) -> JobRecord {
    let mut plain = queue("plain", 1);
    plain.max_attempts = max_attempts;
    let mut job = record("plain", vec![step(1, 1)]);
    job.accepted_under = Some(plain.terms_in(version));
    job
}

fn fail_twice(fleet: &mut Fleet, id: JobId) {
    for _ in 0..2 {
        fleet.advance(1_500);
        fleet.end_all(id, EndKind::Failed);
    }
    fleet.advance(1_500);
}

/// What the last job that failed, failed by.
fn failure(fleet: &Fleet) -> JobFailure {
    let mut failures = fleet.actions.iter().filter_map(|action| match action {
        Action::Decided(Decision::JobEnded { failure, .. }) => *failure,
        _ => None,
    });
    failures.next_back().expect("a job that failed")
}

fn run_priorities(fleet: &Fleet) -> Vec<u32> {
    let workers = fleet.scheduler.workers().iter();
    let runs = workers.flat_map(|worker| worker.runs.values());
    runs.map(|run| run.priority).collect()
}

/// A job of one task whose first run has failed, unheard by its owner, which is
/// gone.
fn one_failed_run() -> (Fleet, (JobId, JobRecord)) {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Failed);
    (fleet, (id, job))
}

/// The next owner gave the job's one task a second attempt, and its end completes it.
fn assert_second_attempt_completes(next: &mut Fleet, id: JobId) {
    assert_eq!(next.starts.len(), 1, "the second attempt");
    next.end_all(id, EndKind::Done);
    next.advance(100);
    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Completed));
}

/// A caller saw a job as failed after one failed run where two attempts are
/// allowed. Its owner had just taken over without having read a configuration,
/// and took an unknown queue for one with a single attempt. The end was stored,
/// so no later owner could take it back.
#[test]
fn an_owner_without_a_configuration_judges_no_attempts() {
    let (fleet, job) = one_failed_run();
    let id = job.0;

    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_under(2, unknown, &[job], true);
    next.advance(100);
    let shown_meanwhile = next.scheduler.job_status(id);
    next.tell(Input::Configure(Arc::new(configuration(64))));
    next.advance(2_000);

    assert_ne!(shown_meanwhile, Some(JobStatus::Failed));
    assert_second_attempt_completes(&mut next, id);
}

/// The failures that such an owner heard count once it knows the queue: a third
/// attempt where two are allowed would be one too many.
#[test]
fn failures_heard_before_the_configuration_count_after_it() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(2_000);
    fleet.store_answers = false;
    fleet.end_all(id, EndKind::Failed);

    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_under(2, unknown, &[(id, job)], true);
    next.advance(100);
    next.tell(Input::Configure(Arc::new(configuration(64))));
    next.advance(2_000);

    assert!(next.starts.is_empty(), "a third attempt was started");
    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Failed));
}

/// Urgent work waited behind patient work for as long as its owner lived: the
/// owner learned of the job before the version of the configuration that brings
/// the queue, and went by the priority of an unknown one for good.
#[test]
fn a_job_gets_the_terms_of_its_queue_when_they_become_known() {
    let mut fleet = Fleet::with_workers(1);
    let mut with_queue = configuration(64);
    with_queue.version = 2;
    with_queue.queues.push(queue("new", 0));

    let id = fleet.submit(1, record("new", vec![step(1, 1)]));
    fleet.advance(50);
    let before = fleet.starts.len();
    fleet.tell(Input::Configure(Arc::new(with_queue)));
    fleet.advance(50);

    let job = fleet.scheduler.jobs().find(|job| job.id == id).unwrap();
    assert_eq!(before, 0, "nobody knows where it may run");
    assert_eq!((job.priority, fleet.starts.len()), (0, 1));
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(2_000);
    assert_eq!(fleet.starts.len(), 2, "two attempts are allowed");
}

/// A job ended as failed after the two attempts of an older version, though the
/// version under which it was accepted allows three: its owner had not read that
/// version yet.
#[test]
fn terms_of_a_newer_version_than_the_owner_knows_hold() {
    let mut fleet = Fleet::with_workers(3);

    let id = fleet.submit(1, accepted_under(2, 3));
    fail_twice(&mut fleet, id);

    assert_eq!(fleet.starts.len(), 3);
    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Running));
}

/// The same owner never read that version, and the next one has no such queue: what
/// it had read of the queue before is older than what was stored with the job.
#[test]
fn a_version_that_removes_a_queue_brings_back_no_older_terms() {
    let mut fleet = Fleet::with_workers(3);
    let id = fleet.submit(1, accepted_under(2, 4));
    fail_twice(&mut fleet, id);

    fleet.tell(Input::Configure(Arc::new(without_plain(3))));
    fleet.advance(100);

    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Running));
    fail_twice(&mut fleet, id);
    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Failed));
    assert_eq!(
        (failure(&fleet).max_attempts, failure(&fleet).terms_version),
        (4, 2)
    );
}

/// A job never ran under the next owner, whose version of the configuration has
/// its queue no more: what was stored with the job names the service.
#[test]
fn a_queue_that_is_gone_is_known_by_what_was_stored_with_its_job() {
    let (mut fleet, id, job) = Fleet::with_job(2, accepted_under(1, 2));
    fleet.end_all(id, EndKind::Failed);

    let mut next = fleet.next_owner_under(2, without_plain(2), &[(id, job)], true);
    next.advance(2_000);

    assert_second_attempt_completes(&mut next, id);
}

/// A job failed although its task was done. A run of the task had failed before, and
/// a version that allows one attempt came while another task was still at work.
#[test]
fn a_version_with_fewer_attempts_ends_nothing_by_itself() {
    let (mut fleet, id, _) = Fleet::with_job(2, record("plain", vec![step(2, 1)]));
    let (worker, failed) = fleet.running()[0].clone();
    fleet.end_run(&worker, failed, EndKind::Failed);
    fleet.advance(2_000);

    fleet.tell(Input::Configure(Arc::new(allowing(2, 1))));
    fleet.advance(100);
    let shown = fleet.scheduler.job_status(id);
    fleet.end_all(id, EndKind::Done);
    fleet.advance(100);

    assert_eq!(shown, Some(JobStatus::Running));
    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Completed));
}

/// A done task that failed before does not fail its job when the terms of the queue
/// become known.
#[test]
fn what_is_done_is_not_judged_when_terms_become_known() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(2, 1)]));
    let (worker, first) = fleet.running()[0].clone();
    fleet.end_run(&worker, first, EndKind::Failed);
    fleet.advance(2_000);
    let mut again = fleet
        .running()
        .into_iter()
        .filter(|(_, run)| run.task == first.task);
    let (worker, second) = again.next().unwrap();
    fleet.end_run(&worker, second, EndKind::Done);
    fleet.advance(100);

    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_under(2, unknown, &[(id, job)], true);
    next.advance(200);
    next.tell(Input::Configure(Arc::new(allowing(1, 1))));
    next.advance(200);

    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Running));
}

/// Urgent runs were thrown away for others, and a job was late by an objective of
/// nothing: both had been set before the terms of the queue were known.
#[test]
fn objectives_and_runs_follow_the_terms() {
    let (fleet, id, job) = Fleet::with_job(2, record("urgent", vec![step(1, 1)]));
    let objective = |fleet: &Fleet| {
        let group = fleet.scheduler.groups().next().unwrap();
        group.objective_length_ms
    };
    let told = objective(&fleet);

    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_under(2, unknown, &[(id, job)], true);
    next.advance(200);
    let untold = objective(&next);
    next.tell(Input::Configure(Arc::new(configuration(64))));
    next.advance(50);

    assert!(untold < told);
    assert_eq!(objective(&next), told);
    assert_eq!(run_priorities(&next), [0]);
}

/// What was left running by a job that an older program stored, in a queue that is
/// gone, is not thrown away for urgent work beyond a guarantee: it may be urgent
/// itself.
#[test]
fn runs_of_a_job_whose_terms_nobody_knows_are_not_preempted() {
    let (fleet, id, job) = Fleet::with_job(1, record("plain", vec![step(8, 1)]));

    let mut next = fleet.next_owner_under(2, without_plain(2), &[(id, job)], true);
    next.advance(200);
    let mut urgent = record("urgent", vec![step(8, 1)]);
    urgent.received_ms = next.now_ms;
    urgent.account = "without-guarantee".to_owned();
    next.submit(2, urgent);
    next.advance(1_000);

    assert!(next.stops.is_empty(), "{:?}", next.stops);
    let waits = |action: &Action| {
        matches!(action, Action::Decided(Decision::TermsUnknown { job, configuration_version: 2, .. })
            if *job == id)
    };
    assert!(next.actions.iter().any(waits), "on-call is told");
}

/// An owner that starts nothing stopped a run on a worker that was leaving, to have
/// it run elsewhere.
#[test]
fn an_owner_without_a_configuration_moves_nothing() {
    let (fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let (there, _) = fleet.running()[0].clone();
    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_under(2, unknown, &[(id, job)], true);
    next.advance(50);

    next.tell(Input::WorkerRegistered(leaving_info(&there, 100)));
    next.advance(300);

    assert_eq!(next.running().len(), 1, "stops {:?}", next.stops);
}

/// The line of a failed gang names the member that failed.
#[test]
fn the_failure_of_a_gang_names_its_member() {
    let mut fleet = Fleet::with_workers(3);
    fleet.tell(Input::Configure(Arc::new(allowing(2, 1))));
    let id = fleet.submit(1, record("plain", vec![gang(4, 1)]));
    fleet.advance(200);
    let member = |(_, name): &(String, RunName)| name.task.index == 2;
    let (worker, name) = fleet.running().into_iter().find(member).unwrap();

    fleet.end_run(&worker, name, EndKind::Failed);
    fleet.advance(100);

    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Failed));
    assert_eq!(failure(&fleet).name, name);
}

/// A queue that allows no attempt at all would fail every job before its first run.
#[test]
fn a_queue_allows_at_least_one_attempt() {
    let mut none = queue("plain", 1);
    none.max_attempts = 0;

    assert_eq!(none.terms_in(1).terms.max_attempts, 1);
}

/// A task got a third attempt where two are allowed. The last failure was counted, and
/// stored, by an owner that knew no terms and was gone before it read a configuration;
/// the owner after it knew the terms from the start, and judged nothing.
#[test]
fn failures_stored_by_an_owner_without_terms_count_for_the_next_owner() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(2_000);
    fleet.store_answers = false;
    fleet.end_all(id, EndKind::Failed);
    let unknown = ClusterConfiguration::default();
    let mut second = fleet.next_owner_under(2, unknown, &[(id, job.clone())], true);
    second.advance(200);

    let mut third = second.next_owner(3, &[(id, job)], true);
    third.advance(3_000);

    assert_eq!(second.stored[&id].1.groups[0].failures[0].runs.len(), 2);
    assert!(
        third.starts.is_empty(),
        "a third attempt: {:?}",
        third.starts
    );
    assert_eq!(third.scheduler.job_status(id), Some(JobStatus::Failed));
}
