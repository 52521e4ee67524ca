//! Tests of new owners whose workers have more ends than they list in one answer.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    MAX_LISTED_ENDS,
    gang,
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    CloseState,
    Decision,
    EndKind,
    Input,
    JobRecord,
    JobStatus,
    RunName,
    StepSpec,
    Tuning, //
};

/// Enough time for a new owner to poll all workers several times.
const SOON_MS: u64 = 500;

/// A fleet under an owner that is about to be followed, and a run that ended last on its worker.
struct Ended {
    fleet: Fleet,
    job: (JobId, JobRecord),
    worker: String,
    name: RunName,
}

impl Ended {
    /// The end comes after `others` ends of a job that is being read. Further workers list one end
    /// each, so that they answer at once.
    fn after(others: usize, steps: Vec<StepSpec>, kind: EndKind) -> Self {
        let (mut fleet, job, record) = Fleet::with_job(3, record("plain", steps));
        let (worker, name) = fleet.running()[0].clone();
        let own = fleet.workers.get_mut(&worker).expect("a known worker");
        own.end_others(others, EndKind::Done);
        own.end(name, kind);
        let further = fleet
            .workers
            .iter_mut()
            .filter(|(other, _)| **other != worker);
        further.for_each(|(_, other)| other.end_others(1, EndKind::Done));
        Self {
            fleet,
            job: (job, record),
            worker,
            name,
        }
    }

    /// The worker lists no end but those of a job that is being read for as long as
    /// `reports_jobs_read` is false.
    fn behind_a_job_that_is_being_read() -> (Self, Fleet) {
        let steps = vec![step(1, 1)];
        let ended = Self::after(MAX_LISTED_ENDS, steps, EndKind::Done);
        let mut next = ended.next_owner(2);
        next.reports_jobs_read = false;
        next.advance(SOON_MS);
        (ended, next)
    }

    fn next_owner(&self, epoch: u64) -> Fleet {
        self.fleet
            .next_owner(epoch, std::slice::from_ref(&self.job), true)
    }

    fn starts_again(&self, fleet: &Fleet) -> bool {
        fleet
            .starts
            .iter()
            .any(|start| start.0.task == self.name.task)
    }
}

/// Guards against a done task that runs again: its end comes after those that its worker lists first.
#[test]
fn a_task_whose_done_end_is_not_listed_first_is_not_started_again() {
    for others in [0, 400, MAX_LISTED_ENDS, 4 * MAX_LISTED_ENDS] {
        for steps in [vec![step(2, 1)], vec![gang(2, 1)]] {
            let ended = Ended::after(others, steps, EndKind::Done);

            let mut next = ended.next_owner(2);
            next.advance(SOON_MS);
            next.end_all(ended.job.0, EndKind::Done);
            next.advance(SOON_MS);

            assert!(!ended.starts_again(&next), "{others} other ends");
            let status = next.scheduler.job_status(ended.job.0);
            assert_eq!(status, Some(JobStatus::Completed));
        }
    }
}

/// Guards against an attempt too many.
#[test]
fn a_failure_that_is_not_listed_first_counts_before_the_next_attempt() {
    let steps = vec![step(1, 1)];
    let ended = Ended::after(MAX_LISTED_ENDS, steps, EndKind::Failed);
    let mut next = ended.next_owner(2);

    while !ended.starts_again(&next) {
        next.advance(10);
    }

    let mut groups = next.scheduler.groups();
    assert_eq!(groups.next().expect("it is open").tasks[0].failures(), 1);
}

/// Guards against a recovery that ends by the longest lease of the earlier owner although a worker
/// goes on under leases of this one.
#[test]
fn ends_of_an_answering_worker_are_waited_for_beyond_the_longest_lease() {
    let (ended, mut next) = Ended::behind_a_job_that_is_being_read();
    let Tuning {
        authority_ms,
        lease_ms,
        ..
    } = Tuning::default();

    next.advance(authority_ms + 2 * lease_ms);
    assert!(!ended.starts_again(&next));
    next.reports_jobs_read = true;
    next.advance(SOON_MS);

    assert!(!ended.starts_again(&next));
    let status = next.scheduler.job_status(ended.job.0);
    assert_eq!(status, Some(JobStatus::Completed));
}

/// Guards against jobs that wait although no earlier owner can have started them.
#[test]
fn a_new_job_starts_at_once_while_ends_are_unlisted() {
    let (_, mut next) = Ended::behind_a_job_that_is_being_read();
    let lists_part = |action: &Action| {
        matches!(action, Action::Decided(Decision::EndsUnlisted { listed, .. })
            if *listed == MAX_LISTED_ENDS)
    };
    assert!(next.actions.iter().any(lists_part), "it is logged");
    next.reports_jobs_read = true;
    next.send_input(Input::JobsRead {
        sent_ms: next.now_ms - SOON_MS,
    });
    next.reports_jobs_read = false;

    let job = next.submit(9, record("plain", vec![step(1, 1)]));
    next.advance(20);

    assert!(next.starts.iter().any(|start| start.0.task.job == job));
}

/// Guards against tasks that wait for ever for a worker that is gone.
#[test]
fn unlisted_ends_of_an_unreachable_worker_are_waited_for_until_its_lease_has_expired() {
    let (ended, mut next) = Ended::behind_a_job_that_is_being_read();
    next.unresponsive.push(ended.worker.clone());
    next.send_input(Input::WorkerUnlisted(ended.worker.clone()));

    next.advance(Tuning::default().lease_ms - SOON_MS);
    assert!(!ended.starts_again(&next), "the worker may come back");
    next.advance(2_000);

    assert!(ended.starts_again(&next));
}

/// Guards against a record of a closed worker that lacks runs whose ends were not listed: the next
/// owner takes it for complete.
#[test]
fn a_worker_with_unlisted_ends_is_not_stored_as_closed() {
    let (ended, mut next) = Ended::behind_a_job_that_is_being_read();
    next.unresponsive.push(ended.worker.clone());
    next.advance(2_000);
    let mut workers = next.scheduler.workers().iter();
    let own = workers.find(|worker| *worker.name() == *ended.worker);
    assert_eq!(own.map(|worker| worker.close_state), Some(CloseState::Open));

    let mut last = next.next_owner(3, std::slice::from_ref(&ended.job), true);
    last.advance(SOON_MS);

    assert!(!ended.starts_again(&last));
}
