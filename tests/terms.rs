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
