//! Tests of the terms of queues that apply to jobs, mostly under owners that have read no
//! configuration or another version than the daemon that accepted the job.

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

/// A version of the configuration in which every queue allows `max_attempts` attempts.
fn with_max_attempts(version: u64, max_attempts: u32) -> ClusterConfiguration {
    let mut changed = configuration(64);
    changed.version = version;
    for queue in &mut changed.queues {
        queue.max_attempts = max_attempts;
    }
    changed
}

/// A version of the configuration without the queue `plain`.
fn without_plain(version: u64) -> ClusterConfiguration {
    let mut changed = configuration(64);
    changed.version = version;
    changed.queues.retain(|queue| queue.name != "plain");
    changed
}

/// A job of one task that a daemon accepted under a version that allows `max_attempts`
/// attempts.
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

/// Returns the failure that ended the last failed job.
fn failure(fleet: &Fleet) -> JobFailure {
    let mut failures = fleet.actions.iter().filter_map(|action| match action {
        Action::Decided(Decision::JobEnded { failure, .. }) => *failure,
        _ => None,
    });
    failures.next_back().expect("no job has failed")
}

fn run_priorities(fleet: &Fleet) -> Vec<u32> {
    let workers = fleet.scheduler.workers().iter();
    let runs = workers.flat_map(|worker| worker.runs.values());
    runs.map(|run| run.priority).collect()
}

/// A job of one task whose first run has failed on its worker. Its owner is gone without
/// having polled the worker since.
fn one_unreported_failure() -> (Fleet, (JobId, JobRecord)) {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Failed);
    (fleet, (id, job))
}

/// Asserts that the next owner has started a second attempt of the job's only task, and
/// that its end completes the job.
fn assert_second_attempt_completes(next: &mut Fleet, id: JobId) {
    assert_eq!(next.starts.len(), 1, "the second attempt is started");
    next.end_all(id, EndKind::Done);
    next.advance(100);
    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Completed));
}

/// Guards against a job that fails after one failed run although two attempts are allowed.
/// Its owner had just taken over, had read no configuration, and assumed a single attempt
/// for the unknown queue. The end was stored, so no later owner could revoke it.
#[test]
fn an_owner_without_a_configuration_fails_no_job() {
    let (fleet, job) = one_unreported_failure();
    let id = job.0;

    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_with_configuration(2, unknown, &[job], true);
    next.advance(100);
    let status_without_terms = next.scheduler.job_status(id);
    next.send_input(Input::Configure(Arc::new(configuration(64))));
    next.advance(2_000);

    assert_ne!(status_without_terms, Some(JobStatus::Failed));
    assert_second_attempt_completes(&mut next, id);
}

/// Failures that an owner handled without a configuration count once it knows the queue:
/// otherwise a task would get a third attempt where two are allowed.
#[test]
fn failures_handled_before_the_configuration_count_after_it() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(2_000);
    fleet.store_answers = false;
    fleet.end_all(id, EndKind::Failed);

    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_with_configuration(2, unknown, &[(id, job)], true);
    next.advance(100);
    next.send_input(Input::Configure(Arc::new(configuration(64))));
    next.advance(2_000);

    assert!(next.starts.is_empty(), "a third attempt was started");
    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Failed));
}

/// Guards against urgent work that waits behind non-urgent work for as long as its owner
/// lives. The owner learned of the job before it read the version of the configuration that
/// adds the queue, and kept the priority for an unknown queue.
#[test]
fn a_job_gets_the_terms_of_its_queue_when_they_become_known() {
    let mut fleet = Fleet::with_workers(1);
    let mut with_queue = configuration(64);
    with_queue.version = 2;
    with_queue.queues.push(queue("new", 0));

    let id = fleet.submit(1, record("new", vec![step(1, 1)]));
    fleet.advance(50);
    let before = fleet.starts.len();
    fleet.send_input(Input::Configure(Arc::new(with_queue)));
    fleet.advance(50);

    let job = fleet.scheduler.jobs().find(|job| job.id == id).unwrap();
    assert_eq!(before, 0, "the service that runs the job is unknown");
    assert_eq!((job.priority, fleet.starts.len()), (0, 1));
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(2_000);
    assert_eq!(fleet.starts.len(), 2, "two attempts are allowed");
}

/// Guards against a job that fails after the two attempts of an older version although the
/// version under which it was accepted allows three. Its owner had not read that version
/// yet.
#[test]
fn terms_stored_with_a_job_apply_before_the_owner_has_read_their_version() {
    let mut fleet = Fleet::with_workers(3);

    let id = fleet.submit(1, accepted_under(2, 3));
    fail_twice(&mut fleet, id);

    assert_eq!(fleet.starts.len(), 3);
    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Running));
}

/// An owner never reads the version under which a job was accepted, and the next version
/// does not have the queue. The terms of the queue that it read before are older than those
/// stored with the job, so they must not apply.
#[test]
fn a_version_that_removes_a_queue_brings_back_no_older_terms() {
    let mut fleet = Fleet::with_workers(3);
    let id = fleet.submit(1, accepted_under(2, 4));
    fail_twice(&mut fleet, id);

    fleet.send_input(Input::Configure(Arc::new(without_plain(3))));
    fleet.advance(100);

    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Running));
    fail_twice(&mut fleet, id);
    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Failed));
    assert_eq!(
        (failure(&fleet).max_attempts, failure(&fleet).terms_version),
        (4, 2)
    );
}

/// Guards against a job that never runs under the next owner because that owner's version
/// of the configuration does not have its queue any more: the terms stored with the job
/// name the service.
#[test]
fn a_removed_queue_is_known_by_the_terms_stored_with_its_job() {
    let (mut fleet, id, job) = Fleet::with_job(2, accepted_under(1, 2));
    fleet.end_all(id, EndKind::Failed);

    let mut next = fleet.next_owner_with_configuration(2, without_plain(2), &[(id, job)], true);
    next.advance(2_000);

    assert_second_attempt_completes(&mut next, id);
}

/// Guards against a job that fails although its tasks complete. A run of one task had
/// failed, and a version that allows one attempt was read while tasks were still running.
#[test]
fn a_version_with_fewer_attempts_fails_no_job_by_itself() {
    let (mut fleet, id, _) = Fleet::with_job(2, record("plain", vec![step(2, 1)]));
    let (worker, failed) = fleet.running()[0].clone();
    fleet.end_run(&worker, failed, EndKind::Failed);
    fleet.advance(2_000);

    fleet.send_input(Input::Configure(Arc::new(with_max_attempts(2, 1))));
    fleet.advance(100);
    let status_after_change = fleet.scheduler.job_status(id);
    fleet.end_all(id, EndKind::Done);
    fleet.advance(100);

    assert_eq!(status_after_change, Some(JobStatus::Running));
    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Completed));
}

/// A task that failed before it completed does not fail its job when the terms of the queue
/// become known.
#[test]
fn failures_of_completed_tasks_do_not_count_when_terms_become_known() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(2, 1)]));
    let (worker, first) = fleet.running()[0].clone();
    fleet.end_run(&worker, first, EndKind::Failed);
    fleet.advance(2_000);
    let mut restarted = fleet
        .running()
        .into_iter()
        .filter(|(_, run)| run.task == first.task);
    let (worker, second) = restarted.next().unwrap();
    fleet.end_run(&worker, second, EndKind::Done);
    fleet.advance(100);

    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_with_configuration(2, unknown, &[(id, job)], true);
    next.advance(200);
    next.send_input(Input::Configure(Arc::new(with_max_attempts(1, 1))));
    next.advance(200);

    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Running));
}

/// Guards against urgent runs that are preempted, and a job that counts as late because its
/// objective allows no time: priority and objective had been set before the terms of the
/// queue were known.
#[test]
fn objectives_and_priorities_of_runs_follow_the_terms() {
    let (fleet, id, job) = Fleet::with_job(2, record("urgent", vec![step(1, 1)]));
    let objective = |fleet: &Fleet| {
        let group = fleet.scheduler.groups().next().unwrap();
        group.objective_length_ms
    };
    let objective_with_terms = objective(&fleet);

    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_with_configuration(2, unknown, &[(id, job)], true);
    next.advance(200);
    let objective_without_terms = objective(&next);
    next.send_input(Input::Configure(Arc::new(configuration(64))));
    next.advance(50);

    assert!(objective_without_terms < objective_with_terms);
    assert_eq!(objective(&next), objective_with_terms);
    assert_eq!(run_priorities(&next), [0]);
}

/// Runs that may themselves be urgent are not preempted for urgent work beyond a guarantee.
/// Their job was stored by an older version of the program, without terms, and its queue
/// was removed.
#[test]
fn runs_of_a_job_with_unknown_terms_are_not_preempted() {
    let (fleet, id, job) = Fleet::with_job(1, record("plain", vec![step(8, 1)]));

    let mut next = fleet.next_owner_with_configuration(2, without_plain(2), &[(id, job)], true);
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
    assert!(next.actions.iter().any(waits), "the job is logged");
}

/// Guards against lost runs: an owner without a configuration, which starts nothing,
/// stopped a run on a draining worker in order to move it.
#[test]
fn an_owner_without_a_configuration_moves_no_run() {
    let (fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let (there, _) = fleet.running()[0].clone();
    let unknown = ClusterConfiguration::default();
    let mut next = fleet.next_owner_with_configuration(2, unknown, &[(id, job)], true);
    next.advance(50);

    next.send_input(Input::WorkerRegistered(leaving_info(&there, 100)));
    next.advance(300);

    assert_eq!(next.running().len(), 1, "stops {:?}", next.stops);
}

/// The logged failure of a gang names the member that failed, not the first one, which
/// carries the count of failures.
#[test]
fn the_failure_of_a_gang_names_the_failed_member() {
    let mut fleet = Fleet::with_workers(3);
    fleet.send_input(Input::Configure(Arc::new(with_max_attempts(2, 1))));
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
    let mut no_attempts = queue("plain", 1);
    no_attempts.max_attempts = 0;

    assert_eq!(no_attempts.terms_in(1).terms.max_attempts, 1);
}

/// Guards against a third attempt of a task where two are allowed. The last failure was
/// counted and stored by an owner that did not know the terms and was gone before it read a
/// configuration. The owner after it knew the terms from the start, but did not compare the
/// stored failures with them.
#[test]
fn failures_stored_by_an_owner_without_terms_count_for_the_next_owner() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(2_000);
    fleet.store_answers = false;
    fleet.end_all(id, EndKind::Failed);
    let unknown = ClusterConfiguration::default();
    let mut second = fleet.next_owner_with_configuration(2, unknown, &[(id, job.clone())], true);
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
