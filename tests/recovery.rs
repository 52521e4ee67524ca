//! Tests of changes of owner: recovery from the store, closed workers, and deletion.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    BEGIN_MS,
    Fleet,
    configuration,
    gang,
    leaving_info,
    queue,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    CallOutcome,
    ClosedRuns,
    EndKind,
    GroupKey,
    Input,
    JobRecord,
    JobStatus,
    PollReport,
    RunName,
    Schedule,
    Scheduler,
    Sizes,
    StepSpec,
    Tuning,
    WorkerInfo, //
};
use std::sync::Arc;

/// Returns a new owner with `count` workers on its roster, none of which it has polled.
fn new_owner_with_workers(count: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(2, Tuning::default(), BEGIN_MS);
    scheduler.handle(Input::Configure(Arc::new(configuration(64))), BEGIN_MS);
    for at in 0..count {
        let roster_worker = Input::RosterWorker {
            worker_name: format!("w{at}"),
            address: format!("w{at}:1"),
            closed_runs: None,
        };
        scheduler.handle(roster_worker, BEGIN_MS);
    }
    scheduler.handle(Input::EpochConfirmed(BEGIN_MS), BEGIN_MS);
    let state_read = Input::StoredStateRead {
        earlier_owner_exited: true,
    };
    scheduler.handle(state_read, BEGIN_MS);
    scheduler
}

/// Returns a fleet whose store names a run on an unreachable worker while a later run of the
/// same task is on the other worker; with the job, the other worker and the later run.
fn restarted_elsewhere() -> (Fleet, (JobId, JobRecord), String, RunName) {
    let mut fleet = Fleet::with_workers(2);
    let job = (JobId(1), record("plain", vec![step(1, 8)]));
    fleet.submit(1, job.1.clone());
    fleet.advance(50);
    let (worker, run) = fleet.running()[0].clone();
    let other = if worker == "w0" { "w1" } else { "w0" };
    fleet.closed.insert(worker.clone(), Some(vec![run].into()));
    fleet.unresponsive.push(worker);
    let newer = RunName {
        run: run.run + 1,
        ..run
    };
    let fake = fleet.workers.get_mut(other).unwrap();
    fake.running.insert(newer, 0);
    (fleet, job, other.to_owned(), newer)
}

/// Enough time for a task to start again on the only worker, on which it has just failed.
const RETRY_DELAY_MS: u64 = 1_300;

/// An owner dies after a worker listed an end and before the end is durable. The worker
/// still lists the end, and the next owner counts it once.
#[test]
fn ends_that_were_not_durable_are_received_by_the_next_owner() {
    let (mut fleet, id, job) = Fleet::with_job(1, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Failed);

    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(RETRY_DELAY_MS);

    let starts: Vec<u64> = next.starts.iter().map(|start| start.0.run).collect();
    assert_eq!(
        starts,
        [100_001],
        "a second attempt, numbered above the first owner's"
    );
    next.end_all(id, EndKind::Failed);
    next.advance(50);
    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Failed));
}

/// Guards against a third attempt where two are allowed. Both attempts fail on different
/// workers during a store outage, and the owner dies. Its successor receives the second
/// failure first, and took the first one, which has a lower run number, as counted.
#[test]
fn failures_count_in_any_order_of_the_workers_answers() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.store_answers = false;
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(300);
    fleet.end_all(id, EndKind::Failed);
    let later = fleet.starts[1].1.clone();
    assert_ne!(later, fleet.starts[0].1);
    let earlier = fleet.starts[0].1.clone();

    fleet.unresponsive.push(earlier);
    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(100);
    next.unresponsive.clear();
    next.advance(1_000);

    assert!(next.starts.is_empty(), "a third attempt was started");
    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Failed));
}

/// A new owner adopts the runs that it finds and lets them continue.
#[test]
fn a_new_owner_adopts_running_tasks() {
    let (fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(4, 1)]));
    let before = fleet.running();

    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(500);

    assert_eq!(next.running(), before);
    assert!(next.starts.is_empty() && next.stops.is_empty());
}

/// Guards against running a task twice: a worker that the new owner cannot reach may run
/// tasks of the earlier owner until the longest lease has expired.
#[test]
fn tasks_that_may_run_on_unreachable_workers_wait_for_the_longest_lease() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let worker = fleet.running()[0].0.clone();
    fleet.unresponsive.push(worker);

    let mut next = fleet.next_owner(2, &[(id, job.clone())], false);
    next.advance(12_900);
    assert!(next.starts.is_empty(), "6 s of authority and 7 s of lease");
    next.advance(1_000);
    assert_eq!(next.starts.len(), 1);

    let mut sooner = fleet.next_owner(2, &[(id, job)], true);
    sooner.advance(8_000);
    assert_eq!(
        sooner.starts.len(),
        1,
        "the earlier owner's process had ended"
    );
}

/// Guards against running a task twice after a change of owner. The new owner has found one
/// member of a gang when urgent work preempts it, so the gang ends. The other member, found
/// later, is stopped as a stray run; its task counted as waiting meanwhile and was started
/// again before that run had stopped.
#[test]
fn a_member_found_late_is_waited_for_before_its_gang_starts_again() {
    let mut fleet = Fleet::with_workers(4);
    let non_urgent = record("patient", vec![gang(2, 8)]);
    let id = fleet.submit(1, non_urgent.clone());
    fleet.advance(20);
    let (first, second) = (fleet.running()[0].clone(), fleet.running()[1].clone());

    let mut next = fleet.next_owner(2, &[(id, non_urgent)], true);
    next.unresponsive = ["w0", "w1", "w2", "w3"].map(str::to_owned).to_vec();
    next.unresponsive.retain(|name| *name != first.0);
    next.advance(150);
    next.stops_take_effect = false;
    next.submit(2, record("urgent", vec![step(1, 8)]));
    next.advance(50);
    next.unresponsive.retain(|name| *name != second.0);
    next.advance(600);
    next.end_run(&first.0, first.1, EndKind::Stopped);
    next.unresponsive.clear();
    next.advance(600);
    let old_run_is_there = next.running().contains(&second);
    assert!(
        old_run_is_there,
        "the old run was stopped too early for this test"
    );
    let again = next
        .starts
        .iter()
        .any(|start| start.0.task == second.1.task);
    assert!(!again, "the task was started beside its old run");
}

/// Guards against waiting for a worker that has left. Such a worker was still on the roster
/// and never answered, so a new owner waited 13 s for a lease that the worker could not
/// have, and placed nothing.
#[test]
fn a_worker_that_left_is_removed_from_the_roster() {
    let mut fleet = Fleet::with_workers(2);
    fleet.unresponsive.push("w1".to_owned());
    fleet.send_input(Input::WorkerUnlisted("w1".to_owned()));
    fleet.advance(2_000);

    let names: Vec<String> = fleet
        .scheduler
        .roster()
        .into_iter()
        .map(|(worker_name, _)| worker_name)
        .collect();

    assert_eq!(names, ["w0"]);
}

/// Guards against work that waits for leases of an earlier owner although it was submitted
/// after that owner's process had ended.
#[test]
fn work_unknown_to_the_earlier_owner_starts_at_once() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let worker = fleet.running()[0].0.clone();
    fleet.unresponsive.push(worker);

    let mut next = fleet.next_owner(2, &[(id, job.clone())], true);
    next.advance(200);
    next.submit(2, job);
    next.advance(50);

    assert_eq!(next.starts.len(), 1);
    assert_eq!(next.starts[0].0.task.job, JobId(2));
}

/// Guards against running a task twice. An earlier owner that still sent orders learned of a
/// job and started it on a worker that its successor could not reach. The successor read
/// the job more than a second after its takeover, and assumed that no earlier owner could
/// know it.
#[test]
fn a_job_that_is_read_late_may_have_been_started_by_the_earlier_owner() {
    const LATE_MS: u64 = 2_000;
    let fleet = Fleet::with_workers(2);
    let mut next = fleet.next_owner(2, &[], false);
    next.reports_jobs_read = false;
    next.unresponsive.push("w0".to_owned());
    next.advance(LATE_MS);

    next.submit(1, record("plain", vec![step(1, 1)]));
    next.reports_jobs_read = true;
    next.advance(500);
    assert!(
        next.starts.is_empty(),
        "a task that may run on w0 was started"
    );

    next.submit(2, record("plain", vec![step(1, 1)]));
    next.advance(50);
    let started: Vec<JobId> = next.starts.iter().map(|start| start.0.task.job).collect();
    assert_eq!(
        started,
        [JobId(2)],
        "a job that was stored after the jobs had been read did not start"
    );
}

/// Guards against running a task twice. An occurrence of its job comes due two seconds after
/// a takeover. The earlier owner, cut off from the store and its successor, may start the
/// task on a worker that the successor cannot reach.
#[test]
fn an_occurrence_that_comes_due_while_a_worker_is_unreachable_may_have_been_started() {
    const DUE_MS: u64 = 2_000;
    /// Time after a takeover until all leases of the earlier owner have expired, if that
    /// owner's process is not known to have ended.
    const LEASES_EXPIRED_MS: u64 = 13_400;
    let fleet = Fleet::with_workers(2);
    let mut timed = record("plain", vec![step(1, 1)]);
    timed.spec.schedule = Some(Schedule {
        repetitions: 1,
        start_at_ms: fleet.now_ms + DUE_MS,
        interval_ms: 1_000,
    });
    let mut next = fleet.next_owner(2, &[(JobId(1), timed)], false);
    next.unresponsive.push("w0".to_owned());

    next.advance(DUE_MS + 1_000);
    let starts_while_unreachable = next.starts.len();
    next.advance(LEASES_EXPIRED_MS - DUE_MS - 1_000);

    assert_eq!(
        starts_while_unreachable, 0,
        "a task that may run on w0 was started"
    );
    assert_eq!(next.starts.len(), 1);
}

#[test]
fn an_owner_that_cannot_confirm_its_epoch_gives_no_orders() {
    let mut fleet = Fleet::with_workers(1);
    fleet.now_ms += 7_000;
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    assert!(fleet.starts.is_empty());

    fleet.send_input(Input::EpochConfirmed(fleet.now_ms));
    fleet.now_ms += 300;
    fleet.settle();
    assert_eq!(fleet.starts.len(), 1);
}

/// Guards against running a task twice. The earlier owner starts the task just before the new
/// owner polls the worker, and the new owner reads the job only after that. It stopped the run as
/// a stray one, and started the task elsewhere before the run had left its worker.
#[test]
fn a_run_found_before_its_job_is_known_is_waited_for() {
    let (fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let found = fleet.running()[0].clone();

    let mut next = fleet.next_owner(2, &[], false);
    next.stops_take_effect = false;
    next.advance(200);
    next.submit(1, job);
    next.advance(300);
    assert!(
        next.starts.is_empty(),
        "the task was started while its old run was on a worker"
    );

    next.workers
        .get_mut(&found.0)
        .unwrap()
        .end(found.1, EndKind::Stopped);
    next.advance(300);
    assert_eq!(next.starts.len(), 1);
    assert_eq!(next.running()[0].1.task.job, id);
}

/// Guards against running a done job again. Its retention time had passed, but a busy store
/// had not deleted it yet. The store's history was compacted, so all jobs were read again,
/// and the job was handled as a new one.
#[test]
fn a_job_that_is_being_deleted_does_not_run_again() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(50);
    fleet.end_all(job, EndKind::Done);
    fleet.advance(50);
    let is_deletion =
        |action: &Action| matches!(action, Action::DeleteJob { job: own } if *own == job);
    fleet.store_answers = false;
    fleet.advance(Tuning::default().retention_ms + 200);
    assert!(
        fleet.actions.iter().any(is_deletion),
        "the deletion of the job was not ordered"
    );

    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1, "the job was started again");

    fleet.send_input(Input::JobDeleted(job));
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(500);
    assert_eq!(
        fleet.starts.len(),
        1,
        "a late message started the job again"
    );
}

/// Guards against unbounded memory use: an owner that ran for days kept each worker, job and
/// queue that it had ever known. Workers that went down and came up repeatedly filled its
/// memory, and every pass over the workers took longer.
#[test]
fn memory_use_stays_bounded() {
    const INCARNATIONS: u64 = 120;
    const INCARNATION_MS: u64 = 5_000;
    let mut fleet = Fleet::with_workers(1);
    let mut most = Sizes::default();
    for incarnation in 0..INCARNATIONS {
        let name = format!("flapping{incarnation}");
        let mut version = configuration(64);
        version.version = incarnation + 2;
        version
            .queues
            .push(queue(&format!("queue{incarnation}"), 1));
        fleet.send_input(Input::Configure(Arc::new(version)));
        fleet.add_worker(&name, "r1");
        let job = fleet.submit(
            incarnation,
            record(&format!("queue{incarnation}"), vec![step(1, 1)]),
        );
        fleet.advance(INCARNATION_MS / 2);
        fleet.end_all(job, EndKind::Done);
        fleet.advance(INCARNATION_MS / 2);
        fleet.workers.remove(&name);
        fleet.send_input(Input::WorkerUnlisted(name));
        let sizes = fleet.scheduler.sizes();
        most = Sizes {
            jobs: most.jobs.max(sizes.jobs),
            groups: most.groups.max(sizes.groups),
            workers: most.workers.max(sizes.workers),
            deleting_jobs: most.deleting_jobs.max(sizes.deleting_jobs),
            queues: most.queues.max(sizes.queues),
            unreadable_jobs: most.unreadable_jobs.max(sizes.unreadable_jobs),
            waiting_occurrences: most.waiting_occurrences.max(sizes.waiting_occurrences),
            accounts_beyond_share: most.accounts_beyond_share.max(sizes.accounts_beyond_share),
        };
    }
    // One account alone has no share.
    assert_eq!(most.accounts_beyond_share, 0, "{most:?}");
    let retained_incarnations = (Tuning::default().retention_ms / INCARNATION_MS) as usize + 2;
    assert!(most.jobs <= retained_incarnations, "{most:?}");
    assert!(most.groups <= 2, "{most:?}");
    assert!(
        most.deleting_jobs <= 8,
        "more than the deletions of half a minute: {most:?}"
    );
    assert!(most.queues <= retained_incarnations + 4, "{most:?}");
    // The key of a worker is reused half a minute after the worker is gone.
    assert!(most.workers <= 12, "{most:?}");
}

/// Guards against holding back all stored work because of one unreachable worker. A worker
/// left, and seconds later all daemons were killed. The next owner could not reach the
/// worker, and all work waited 7.3 s for the leases of two tasks that might have run
/// there.
#[test]
fn a_worker_that_left_delays_only_its_own_tasks() {
    let mut fleet = Fleet::with_workers(2);
    let first = (JobId(1), record("plain", vec![step(1, 8)]));
    fleet.submit(1, first.1.clone());
    fleet.advance(50);
    let (leaving, run) = fleet.running()[0].clone();
    fleet.send_input(Input::WorkerRegistered(leaving_info(&leaving, 60_000)));
    fleet.advance(200);
    let closed = fleet.closed[&leaving].as_ref();
    let stored_runs = closed.map(|closed| &closed.runs);
    assert_eq!(
        stored_runs,
        Some(&vec![run]),
        "the runs of the closed worker were not stored"
    );
    fleet.unresponsive.push(leaving.clone());
    fleet.advance(300);

    let second = (JobId(2), record("plain", vec![step(1, 8)]));
    let mut next = fleet.next_owner(2, &[first, second], true);
    next.advance(200);
    let started: Vec<JobId> = next.starts.iter().map(|start| start.0.task.job).collect();
    assert_eq!(started, [JobId(2)], "the other job did not start at once");

    next.end_all(JobId(2), EndKind::Done);
    next.advance(6_500);
    assert_eq!(
        next.starts.len(),
        1,
        "a task was started while its lease may be valid"
    );
    next.advance(1_000);
    assert_eq!(
        next.starts.len(),
        2,
        "the task did not start after the lease had expired"
    );
}

/// Guards against stopping a valid run. The store still named an earlier run on an
/// unreachable worker although its task had been started again elsewhere after the lease had
/// expired, and the next owner stopped the new run as a stray one.
#[test]
fn a_found_run_supersedes_stored_runs_with_lower_numbers() {
    let (fleet, job, ..) = restarted_elsewhere();

    let mut next = fleet.next_owner(2, &[job], true);
    next.advance(500);

    assert!(next.stops.is_empty(), "{:?}", next.stops);
    assert!(next.starts.is_empty(), "{:?}", next.starts);
}

/// Returns what is stored about the closed worker `w0` with these runs.
fn closed_runs(fleet: &Fleet, runs: Vec<RunName>) -> ClosedRuns {
    ClosedRuns {
        incarnation_start_ms: Some(fleet.workers["w0"].incarnation_start_ms),
        ..runs.into()
    }
}

/// The next owner does not wait for a worker that is stored as closed. If the worker got a
/// start before it was stored as open, that run could be missed.
#[test]
fn a_closed_worker_gets_work_only_after_it_is_stored_as_open() {
    let mut fleet = Fleet::with_workers(1);
    fleet.unresponsive.push("w0".to_owned());
    fleet.advance(1_500);
    let empty = closed_runs(&fleet, Vec::new());
    assert_eq!(fleet.closed["w0"], Some(empty), "the worker is not closed");
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.unresponsive.clear();
    fleet.store_answers = false;
    fleet.advance(1_000);
    assert!(
        fleet.starts.is_empty(),
        "a start was sent to a worker that is stored as closed"
    );

    fleet.send_input(Input::ClosedWorkerStored {
        worker_name: "w0".to_owned(),
        closed: false,
    });
    fleet.advance(50);
    assert_eq!(fleet.starts.len(), 1);
}

/// Guards against running done tasks again. The tasks were moved off a draining worker and
/// were done elsewhere, but the store still named their first runs. The next owner ignored
/// the listed ends as those of stale runs.
#[test]
fn a_done_end_counts_despite_stored_earlier_runs() {
    let (mut fleet, job, other, newer) = restarted_elsewhere();
    fleet.end_run(&other, newer, EndKind::Done);

    let mut next = fleet.next_owner(2, &[job], true);
    next.advance(8_000);

    assert!(next.starts.is_empty(), "{:?}", next.starts);
    assert_eq!(
        next.scheduler.job_status(JobId(1)),
        Some(JobStatus::Completed)
    );
}

/// Guards against running a done task again. Its end was known to the owner and not yet
/// durable when its worker left, so the worker was stored as closed without runs, and the
/// next owner did not wait for it.
#[test]
fn a_closed_worker_names_runs_whose_ends_are_not_stored() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(50);
    let (_, run) = fleet.running()[0].clone();
    fleet.store_answers = false;
    fleet.end_all(job, EndKind::Done);
    fleet.advance(50);
    let info = WorkerInfo {
        draining: true,
        ..worker_info("w0", "r1")
    };

    fleet.send_input(Input::WorkerRegistered(info));
    fleet.advance(100);

    let key = fleet.scheduler.workers()[0].key;
    let row = fleet.scheduler.closed_record(key);
    assert_eq!(row, Some((true, closed_runs(&fleet, vec![run]))));
}

/// Guards against starting a job twice. An owner that was paused for seconds continued with
/// its last confirmation and started a new job on a worker that its successor had not
/// reached yet. The successor started the job as well.
#[test]
fn an_owner_that_was_paused_confirms_its_epoch_before_it_starts_anything() {
    const PAUSE_MS: u64 = 2_000;
    let mut fleet = Fleet::with_workers(1);
    fleet.now_ms += PAUSE_MS;
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    assert!(
        fleet.starts.is_empty(),
        "a start was sent although there may be another owner"
    );

    let confirmed_ms = fleet.now_ms;
    fleet.send_input(Input::EpochConfirmed(confirmed_ms));
    fleet.settle();
    fleet.now_ms += 300;
    fleet.settle();
    assert_eq!(fleet.starts.len(), 1);
}

/// Guards against a chain of takeovers. A new owner of 3,000 workers polled all of them at
/// once and sent no heartbeats for a second, so the next candidate took over and did the
/// same.
#[test]
fn a_new_owner_limits_its_polls_in_flight() {
    const WORKERS: usize = 400;
    const MAX_IN_FLIGHT: usize = 128;
    let mut scheduler = new_owner_with_workers(WORKERS);

    let (mut in_flight, mut most, mut polled) = (Vec::new(), 0, 0);
    for now_ms in BEGIN_MS..BEGIN_MS + 2_000 {
        for action in scheduler.decide(now_ms) {
            if let Action::Poll { callee, .. } = action {
                in_flight.push(callee.worker);
            }
        }
        most = most.max(in_flight.len());
        for worker in in_flight.drain(..) {
            polled += 1;
            let outcome = CallOutcome::NoAnswer;
            scheduler.handle(Input::PollFailed { worker, outcome }, now_ms);
        }
    }
    assert_eq!(most, MAX_IN_FLIGHT);
    assert!(
        polled >= 2 * WORKERS,
        "workers were not polled again: {polled}"
    );
}

/// Guards against an owner that is always taken as paused, and so never sends an order, on a
/// VM so slow that each pass takes more than a second.
#[test]
fn an_owner_that_is_always_slow_keeps_its_authority() {
    const PASS_MS: u64 = 1_200;
    const CONFIRMED_BEFORE_MS: u64 = 300;
    let mut fleet = Fleet::with_workers(1);
    for _ in 0..12 {
        fleet.now_ms += PASS_MS;
        let confirmed_ms = fleet.now_ms - CONFIRMED_BEFORE_MS;
        fleet.send_input(Input::EpochConfirmed(confirmed_ms));
        fleet.settle();
    }
    assert!(fleet.scheduler.has_authority());
}

/// Guards against running a task twice. The task was moved off a draining worker to another,
/// which became unresponsive, so both its runs were stored with closed workers. The next
/// owner waited only for the earlier run, learned that it had ended, and started the task
/// again.
#[test]
fn the_newest_of_two_stored_runs_blocks_its_task() {
    for gang in [false, true] {
        let mut fleet = Fleet::with_workers(3);
        let spec = record("plain", vec![StepSpec { gang, ..step(1, 1) }]);
        let job = JobId(1);
        let run = |run| RunName {
            task: GroupKey {
                job,
                occurrence: 0,
                step: 0,
            }
            .task(0),
            run,
        };
        fleet
            .closed
            .insert("w0".to_owned(), Some(vec![run(1)].into()));
        fleet
            .closed
            .insert("w1".to_owned(), Some(vec![run(2)].into()));
        fleet.unresponsive.push("w1".to_owned());

        let mut next = fleet.next_owner(2, &[(job, spec)], false);
        next.advance(5_000);

        assert_eq!(
            next.starts,
            [],
            "a start was sent while run 2 may be on w1, gang: {gang}"
        );
    }
}

/// Guards against running tasks twice. The store still listed a crashed incarnation of a
/// worker beside the live one at the same address. A new owner that read the crashed one
/// first treated the live one as replaced and did not wait for it: eight tasks ran twice.
#[test]
fn an_entry_of_a_crashed_incarnation_does_not_end_the_live_one() {
    const OTHER: &str = "other";
    let at_address = |name: &str| WorkerInfo {
        address: "shared:1".to_owned(),
        ..worker_info(name, "r1")
    };
    let roster_worker = |name: &str, address: &str| Input::RosterWorker {
        worker_name: name.to_owned(),
        address: address.to_owned(),
        closed_runs: None,
    };
    let mut scheduler = Scheduler::new(2, Tuning::default(), BEGIN_MS);
    let job = record("plain", vec![step(1, 1)]);
    let inputs = [
        Input::Configure(Arc::new(configuration(64))),
        roster_worker("living", "shared:1"),
        roster_worker(OTHER, "other:1"),
        Input::WorkerRegistered(at_address("crashed")),
        Input::WorkerRegistered(at_address("living")),
        Input::WorkerRegistered(worker_info(OTHER, "r1")),
        Input::JobStored {
            id: JobId(1),
            record: Arc::new(job),
            progress: None,
        },
        Input::EpochConfirmed(BEGIN_MS),
        Input::StoredStateRead {
            earlier_owner_exited: false,
        },
    ];
    for input in inputs {
        scheduler.handle(input, BEGIN_MS);
    }

    let mut started = 0;
    for now_ms in (BEGIN_MS..BEGIN_MS + 3_000).step_by(10) {
        scheduler.handle(Input::EpochConfirmed(now_ms), now_ms);
        for action in scheduler.decide(now_ms) {
            match action {
                // Only the third worker answers polls.
                Action::Poll { callee, .. } if &*callee.worker_name == OTHER => {
                    let report = PollReport {
                        clock_ms: now_ms,
                        ..PollReport::default()
                    };
                    let input = Input::PollAnswered {
                        worker: callee.worker,
                        sent_ms: now_ms,
                        report,
                    };
                    scheduler.handle(input, now_ms);
                }
                Action::Poll { callee, .. } => {
                    let input = Input::PollFailed {
                        worker: callee.worker,
                        outcome: CallOutcome::NoAnswer,
                    };
                    scheduler.handle(input, now_ms);
                }
                // A slow store: the roster is durable a second later.
                Action::StoreRoster => {}
                Action::Start { .. } => started += 1,
                _ => {}
            }
        }
        if now_ms == BEGIN_MS + 1_000 {
            let names = scheduler.roster().into_iter().map(|(name, _)| name);
            let input = Input::RosterStored(names.collect());
            scheduler.handle(input, now_ms);
        }
    }
    assert_eq!(
        started, 0,
        "a task that may run on the live incarnation was started"
    );
}

/// Guards against running a task twice. A worker answered a new owner once, listed a run, and
/// became unresponsive before this owner had given it a lease. The lease of the earlier owner
/// was taken as expired at once, and the task was started again while it ran.
#[test]
fn a_lease_of_the_earlier_owner_is_waited_for_after_one_answer() {
    let mut fleet = Fleet::with_workers(2);
    let job = (JobId(1), record("plain", vec![step(1, 8)]));
    fleet.submit(1, job.1.clone());
    fleet.advance(50);
    let (worker, _) = fleet.running()[0].clone();

    let mut next = fleet.next_owner(2, &[job], false);
    // Without a confirmation of its epoch after a pause, the owner gives no leases.
    next.now_ms += 1_500;
    for _ in 0..15 {
        next.now_ms += 10;
        next.settle();
    }
    next.unresponsive.push(worker);
    next.advance(5_000);

    assert!(next.starts.is_empty(), "{:?}", next.starts);
}

/// Guards against a second first poll, which carries no lease, to a worker that has just
/// answered its first poll while other first polls are still waiting.
#[test]
fn a_worker_that_answered_gets_a_lease_with_the_next_poll() {
    const WORKERS: usize = 200;
    let mut scheduler = new_owner_with_workers(WORKERS);
    let mut answered = Vec::new();
    for now_ms in BEGIN_MS..BEGIN_MS + 200 {
        for action in scheduler.decide(now_ms) {
            let Action::Poll {
                callee,
                lease_end_ms,
                ..
            } = action
            else {
                continue;
            };
            if answered.contains(&callee.worker) {
                assert!(lease_end_ms.is_some(), "{callee:?}");
                continue;
            }
            answered.push(callee.worker);
            let input = Input::PollAnswered {
                worker: callee.worker,
                sent_ms: now_ms,
                report: PollReport {
                    clock_ms: now_ms,
                    ..PollReport::default()
                },
            };
            scheduler.handle(input, now_ms);
        }
    }
    assert_eq!(answered.len(), WORKERS);
}

/// Guards against a task that runs twice: an owner that was paused just after its first order to a
/// worker went by the short lease of that order, while a run that it had found there still held the
/// longer lease of the earlier owner.
#[test]
fn a_run_found_on_a_worker_may_go_on_under_the_lease_of_the_earlier_owner() {
    const PAUSE_MS: u64 = 1_500;
    let mut fleet = Fleet::with_workers(1);
    let [long, ended] = [1, 2].map(|id| (JobId(id), record("plain", vec![step(1, 1)])));
    fleet.submit(1, long.1.clone());
    fleet.submit(2, ended.1.clone());
    fleet.advance(50);
    fleet.end_all(ended.0, EndKind::Done);
    let mut next = fleet.next_owner(2, &[long.clone(), ended], true);
    // The end waits for the store, and the next poll, which would give a lease, for the end.
    next.defers_progress = true;
    next.settle();
    next.submit(3, record("plain", vec![step(1, 1)]));
    next.settle();
    assert_eq!(next.starts.len(), 1, "the worker got an order");

    next.unresponsive.push("w0".to_owned());
    next.add_worker("w1", "r1");
    next.now_ms += PAUSE_MS;
    next.settle();
    while !next.workers["w0"].has_expired_lease(next.now_ms) {
        next.advance(10);

        let of_long = |(name, ..): &&(RunName, String, u64)| name.task.job == long.0;
        assert_eq!(next.starts.iter().find(of_long), None);
    }
}
