//! What a job is held to: the terms of its queue.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    configuration,
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    AcceptedTerms,
    ClusterConfiguration,
    EndKind,
    Input,
    JobRecord,
    JobView, //
};
use std::sync::Arc;

/// A job of one task whose first run has failed, unheard by its owner, which is
/// gone.
fn one_failed_run() -> (Fleet, (JobId, JobRecord)) {
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
    fleet.end_all(id, EndKind::Failed);
    (fleet, (id, job))
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
    let shown_meanwhile = next.scheduler.job_view(id);
    next.tell(Input::Configure(Arc::new(configuration(64))));
    next.advance(2_000);

    assert_ne!(shown_meanwhile, Some(JobView::Failed));
    assert_eq!(next.starts.len(), 1, "the second attempt");
    next.end_all(id, EndKind::Done);
    next.advance(100);
    assert_eq!(next.scheduler.job_view(id), Some(JobView::Completed));
}

/// The failures that such an owner heard count once it knows the queue: a third
/// attempt where two are allowed would be one too many.
#[test]
fn failures_heard_before_the_configuration_count_after_it() {
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
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
    assert_eq!(next.scheduler.job_view(id), Some(JobView::Failed));
}

/// Urgent work waited behind patient work for as long as its owner lived: the
/// owner learned of the job before the version of the configuration that brings
/// the queue, and went by the priority of an unknown one for good.
#[test]
fn a_job_gets_the_terms_of_its_queue_when_they_become_known() {
    let mut fleet = Fleet::with_workers(1);
    let mut with_queue = configuration(64);
    with_queue.version = 2;
    with_queue.queues.push(fleet::queue("new", 0));

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
    let mut raised = fleet::queue("plain", 1);
    raised.max_attempts = 3;
    let mut job = record("plain", vec![step(1, 1)]);
    job.accepted_under = Some(AcceptedTerms {
        configuration_version: 2,
        terms: Arc::new(raised.terms()),
    });

    let id = fleet.submit(1, job);
    for _ in 0..2 {
        fleet.advance(1_500);
        fleet.end_all(id, EndKind::Failed);
    }
    fleet.advance(1_500);

    assert_eq!(fleet.starts.len(), 3);
    assert_eq!(fleet.scheduler.job_view(id), Some(JobView::Running));
}

/// A job never ran under the next owner, whose version of the configuration has
/// its queue no more: what was stored with the job names the service.
#[test]
fn a_queue_that_is_gone_is_known_by_what_was_stored_with_its_job() {
    let mut fleet = Fleet::with_workers(2);
    let mut job = record("plain", vec![step(1, 1)]);
    job.accepted_under = Some(AcceptedTerms {
        configuration_version: 1,
        terms: Arc::new(fleet::queue("plain", 1).terms()),
    });
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
    fleet.end_all(id, EndKind::Failed);
    let mut without = configuration(64);
    without.version = 2;
    without.queues.retain(|queue| queue.name != "plain");

    let mut next = fleet.next_owner_under(2, without, &[(id, job)], true);
    next.advance(2_000);

    assert_eq!(next.starts.len(), 1, "the second attempt");
    next.end_all(id, EndKind::Done);
    next.advance(100);
    assert_eq!(next.scheduler.job_view(id), Some(JobView::Completed));
}
