//! Which jobs daemons remember as possibly stored.

use fuchsiaslip::cluster::UnknownOutcomes;
use fuchsiaslip::core::JobId;

const NOW_MS: u64 = 100_000;
const JOB: JobId = JobId(7);

/// Guards against an untrue refusal: a daemon that never tried a job refused it, although an
/// earlier request for it at another daemon may have stored it.
#[test]
fn a_job_with_an_unknown_outcome_at_another_daemon_may_be_stored() {
    let (mut first, mut second) = (UnknownOutcomes::default(), UnknownOutcomes::default());

    first.record(JOB, NOW_MS);
    second.record_reported(&first.reported(NOW_MS), NOW_MS);

    assert!(second.contains(JOB, NOW_MS + 10_000));
    assert!(!second.contains(JobId(8), NOW_MS));
    assert!(second.reported(NOW_MS).is_empty(), "only its own are told");
}

#[test]
fn a_job_is_forgotten_once_it_is_stored_or_long_after() {
    let mut unknown = UnknownOutcomes::default();
    unknown.record(JOB, NOW_MS);
    unknown.record(JobId(8), NOW_MS);

    unknown.record_stored(JOB);

    assert!(!unknown.contains(JOB, NOW_MS));
    assert_eq!(unknown.reported(NOW_MS), [8]);
    assert!(!unknown.contains(JobId(8), NOW_MS + 60_000));
    assert!(unknown.reported(NOW_MS + 60_000).is_empty());
}

#[test]
fn memory_and_datagrams_stay_bounded() {
    let mut unknown = UnknownOutcomes::default();
    for job in 0..20_000 {
        unknown.record_reported(&[job], NOW_MS + job / 1_000);
    }
    for job in 20_000..20_200 {
        unknown.record(JobId(job), NOW_MS + 100);
    }

    assert!(!unknown.contains(JobId(0), NOW_MS + 100));
    assert!(unknown.contains(JobId(20_199), NOW_MS + 100));
    assert!(unknown.reported(NOW_MS + 100).len() <= 100);
}
