//! Tests of the scheduler: what jobs can ask for, and regressions.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    BEGIN_MS,
    Fleet,
    configuration,
    gang,
    leaving_info,
    record,
    same_rack_gang_wait_ms, //
    step,
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    EndKind,
    Input,
    JobStatus,
    PollReport,
    RunName,
    Schedule,
    StartRefusal,
    StepSpec,
    TaskId,
    WorkerInfo, //
};
use std::sync::Arc;

/// Enough time for a task to start again on the only worker, on which it has just failed.
const RETRY_DELAY_MS: u64 = 1_300;

fn run_of(job: JobId, step: u32, index: u32, run: u64) -> RunName {
    RunName {
        task: TaskId {
            job,
            occurrence: 0,
            step,
            index,
        },
        run,
    }
}

#[test]
fn a_step_starts_only_after_all_tasks_of_the_steps_before_it_are_done() {
    let mut fleet = Fleet::with_workers(2);
    let dependent = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    let job = fleet.submit(1, record("plain", vec![step(2, 1), dependent]));
    fleet.advance(50);
    assert_eq!(fleet.running().len(), 2, "both tasks of the first step run");

    let first = fleet.running()[0].clone();
    fleet.end_run(&first.0, first.1, EndKind::Done);
    fleet.advance(50);
    let second_started = fleet.starts.iter().any(|start| start.0.task.step == 1);
    assert!(!second_started, "one task of the first step still runs");

    fleet.end_all(job, EndKind::Done);
    fleet.advance(50);
    assert_eq!(
        fleet.running(),
        [(fleet.starts[2].1.clone(), run_of(job, 1, 0, 1))]
    );
}

#[test]
fn a_job_is_shown_as_completed_only_once_that_is_stored() {
    let (mut fleet, job, _) = Fleet::with_job(1, record("plain", vec![step(1, 1)]));
    fleet.store_answers = false;

    fleet.end_all(job, EndKind::Done);
    fleet.advance(200);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Running));
    assert_eq!(
        fleet.highest_acknowledged["w0"], 0,
        "the end is not durable"
    );

    let (change, _) = fleet.scheduler.progress(job).unwrap();
    fleet.send_input(Input::ProgressStored { job, change });
    fleet.advance(200);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Completed));
    assert_eq!(fleet.highest_acknowledged["w0"], 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let (mut fleet, small, _) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.submit(2, record("plain", vec![gang(2, 8)]));
    fleet.advance(100);
    assert_eq!(fleet.running().len(), 1, "one worker is partly in use");

    fleet.end_all(small, EndKind::Done);
    fleet.advance(100);
    let runs: Vec<u64> = fleet.running().iter().map(|row| row.1.run).collect();
    assert_eq!(runs, [1, 1], "both members run under one number");
}

#[test]
fn one_completed_member_completes_the_whole_gang() {
    let (mut fleet, job, _) = Fleet::with_job(2, record("plain", vec![gang(2, 8)]));

    let first = fleet.running()[0].clone();
    fleet.end_run(&first.0, first.1, EndKind::Done);
    fleet.advance(50);

    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Completed));
}

#[test]
fn a_failed_member_ends_its_gang_which_starts_again_under_a_higher_number() {
    let (mut fleet, job, _) = Fleet::with_job(2, record("plain", vec![gang(2, 8)]));

    let first = fleet.running()[0].clone();
    fleet.end_run(&first.0, first.1, EndKind::Failed);
    fleet.advance(100);
    assert_eq!(fleet.stops.len(), 1, "the other member is stopped");
    assert!(
        fleet.running().is_empty(),
        "the gang does not return at once to the worker where it failed"
    );
    fleet.advance(RETRY_DELAY_MS);
    let runs: Vec<u64> = fleet.running().iter().map(|row| row.1.run).collect();
    assert_eq!(runs, [2, 2]);

    fleet.end_all(job, EndKind::Failed);
    fleet.advance(100);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Failed));
    assert!(fleet.running().is_empty(), "two attempts were allowed");
}

#[test]
fn required_labels_and_bounds_per_worker_are_respected() {
    let mut fleet = Fleet::with_workers(2);
    let one_per_worker = StepSpec {
        max_per_worker: 1,
        ..step(3, 1)
    };
    let labelled = StepSpec {
        required_label: "b".to_owned(),
        ..step(1, 1)
    };
    fleet.submit(1, record("plain", vec![one_per_worker]));
    fleet.submit(2, record("plain", vec![labelled]));
    fleet.advance(100);

    let mut workers: Vec<String> = fleet.running().into_iter().map(|row| row.0).collect();
    workers.dedup();
    assert_eq!(
        workers,
        ["w0", "w1"],
        "one task per worker, the third waits"
    );
}

#[test]
fn occurrences_start_when_they_are_due_and_not_before() {
    let mut fleet = Fleet::with_workers(1);
    let mut scheduled = record("plain", vec![step(1, 1)]);
    scheduled.spec.schedule = Some(Schedule {
        repetitions: 2,
        start_at_ms: BEGIN_MS + 500,
        interval_ms: 1_000,
    });
    let job = fleet.submit(1, scheduled);
    fleet.advance(1_700);

    let times: Vec<u64> = fleet.starts.iter().map(|start| start.2).collect();
    assert_eq!(times, [BEGIN_MS + 500, BEGIN_MS + 1_500]);
    fleet.end_all(job, EndKind::Done);
    fleet.advance(50);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Completed));
}

#[test]
fn long_running_work_is_started_again_however_it_ends() {
    let long_running = StepSpec {
        long_running: true,
        ..step(1, 1)
    };
    let (mut fleet, job, _) = Fleet::with_job(1, record("plain", vec![long_running]));
    for kind in [
        EndKind::Failed,
        EndKind::Failed,
        EndKind::Failed,
        EndKind::LeaseExpired,
    ] {
        fleet.end_all(job, kind);
        fleet.advance(100);
        assert_eq!(fleet.running().len(), 1, "after {kind:?}");
    }

    fleet.send_input(Input::JobCancelled(job));
    fleet.advance(50);
    assert!(fleet.running().is_empty());
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Cancelled));
}

/// Urgent work finds its guaranteed accelerators lent to non-urgent work. The victims are
/// stopped in the scheduling pass that places it, so it begins within the time of a stop.
#[test]
fn guaranteed_work_takes_its_accelerators_back_at_once() {
    let mut fleet = Fleet::with_workers(2);
    fleet.submit(1, record("patient", vec![step(16, 1)]));
    fleet.advance(100);
    assert_eq!(fleet.running().len(), 16);

    let urgent = fleet.submit(2, record("urgent", vec![step(1, 8)]));
    fleet.advance(100);

    let runs = fleet.running();
    assert!(runs.iter().any(|row| row.1.task.job == urgent));
    assert_eq!(fleet.stops.len(), 8, "no more than what it needs");
}

/// Guards against urgent work that waits for seconds while its victims are stopped again
/// and again. The resources of one victim are free before the other victims have stopped;
/// the next pass gave them to a later job, most often the victim itself, which was then
/// stopped again.
#[test]
fn resources_that_are_being_freed_are_not_given_back_to_the_victims() {
    let mut fleet = Fleet::with_workers(2);
    fleet.submit(1, record("patient", vec![step(16, 1)]));
    fleet.advance(100);
    fleet.unresponsive.push("w1".to_owned());

    fleet.submit(2, record("urgent", vec![gang(2, 8)]));
    fleet.settle();
    fleet.advance(40);

    let restarts = fleet.starts.iter().filter(|start| start.0.run > 1).count();
    assert_eq!(restarts, 0, "victims on w0 took their resources back");
}

/// Guards against a task that runs twice. Its start was answered, but a poll that was sent
/// in the same millisecond reached the worker before the start did, so its answer did not
/// list the run. The run was considered gone and the task started elsewhere.
#[test]
fn a_poll_sent_in_the_millisecond_of_a_start_does_not_prove_the_run_gone() {
    let mut fleet = Fleet::with_workers(1);
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    let worker = fleet.scheduler.workers()[0].key;

    fleet.send_input(Input::PollAnswered {
        worker,
        sent_ms: fleet.now_ms,
        report: PollReport {
            clock_ms: fleet.now_ms,
            ..PollReport::default()
        },
    });
    fleet.settle();

    assert_eq!(fleet.starts.len(), 1, "the task was started again");
}

/// Guards against gangs that are stopped as hanging without a fault: members make no
/// progress at the start, until all are running, and at the end, until the slowest is done.
#[test]
fn a_gang_that_waits_for_its_members_does_not_hang() {
    let gang = StepSpec {
        gang: true,
        estimated_ms: 20_000,
        ..step(2, 8)
    };
    let (mut fleet, ..) = Fleet::with_job(2, record("plain", vec![gang]));
    fleet.advance(4_000);
    assert!(fleet.stops.is_empty(), "no member has begun");

    for (worker, name) in fleet.running() {
        let percent = if worker == "w0" { 100 } else { 50 };
        fleet
            .workers
            .get_mut(&worker)
            .unwrap()
            .running
            .insert(name, percent);
    }
    fleet.advance(200);
    for percent in 51..60 {
        let (_, name) = fleet.running()[1].clone();
        fleet
            .workers
            .get_mut("w1")
            .unwrap()
            .running
            .insert(name, percent);
        fleet.advance(500);
    }
    assert!(
        fleet.stops.is_empty(),
        "one member waits for the other's end"
    );
}

#[test]
fn a_run_without_progress_is_stopped_and_started_elsewhere() {
    let (mut fleet, ..) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let before = fleet.running()[0].0.clone();

    fleet.advance(4_000);

    let after = fleet.running()[0].0.clone();
    assert_ne!(before, after);
}

/// Guards against work that is lost with a draining worker, and started again only after
/// the worker's lease has expired.
#[test]
fn work_that_cannot_end_in_time_moves_off_a_draining_worker() {
    let long = StepSpec {
        estimated_ms: 20_000,
        ..step(1, 1)
    };
    let (mut fleet, ..) = Fleet::with_job(2, record("plain", vec![long]));
    let before = fleet.running()[0].0.clone();

    fleet.send_input(Input::WorkerRegistered(leaving_info(&before, 2_000)));
    fleet.advance(400);

    let after = fleet.running();
    assert_eq!(after.len(), 1);
    assert_ne!(after[0].0, before);
}

/// A worker that fails every run is empty again at once and attracts the next tasks, each
/// of which loses an attempt. So it is quarantined.
#[test]
fn a_worker_that_fails_two_jobs_in_a_row_gets_nothing_for_a_while() {
    let (mut fleet, first, _) = Fleet::with_job(2, record("plain", vec![step(1, 8)]));
    let bad = fleet.running()[0].0.clone();
    fleet.end_all(first, EndKind::Failed);
    fleet.advance(20);
    fleet.submit(2, record("plain", vec![step(1, 8)]));
    fleet.advance(20);
    let second = JobId(2);
    let on_bad = fleet
        .running()
        .iter()
        .any(|row| row.0 == bad && row.1.task.job == second);
    assert!(on_bad, "the second job takes the empty worker");
    fleet.end_all(second, EndKind::Failed);
    fleet.advance(20);

    fleet.submit(3, record("plain", vec![step(1, 8)]));
    fleet.advance(500);

    assert!(!fleet.running().iter().any(|row| row.0 == bad));
}

/// Guards against a task that waits for a worker to which no connection is free, as if its start
/// might have arrived.
#[test]
fn a_task_whose_start_was_not_sent_starts_elsewhere_at_once() {
    const WITHIN_MS: u64 = 20;
    let mut fleet = Fleet::with_workers(2);
    fleet.without_connection = vec!["w0".to_owned()];

    let job = fleet.submit(1, record("plain", vec![step(8, 2)]));
    fleet.advance(WITHIN_MS);

    let running = fleet.running();
    assert_eq!(running.len(), 4, "w1 has room for four: {running:?}");
    assert!(running.iter().all(|(worker, _)| worker == "w1"));
    let unsent = fleet.starts.iter().filter(|(_, worker, _)| worker == "w0");
    assert!(unsent.count() > 0, "w0 was tried");
    fleet.end_all(job, EndKind::Done);
    fleet.advance(RETRY_DELAY_MS);
    assert_eq!(fleet.running().len(), 4, "the rest of the job runs");
}

/// Guards against a task that runs twice at a time: an earlier copy of the start was lost, and may
/// be carried out, when the next one is not sent.
#[test]
fn a_task_whose_second_start_was_not_sent_stays_with_its_worker() {
    let mut fleet = Fleet::with_workers(2);
    fleet.loses_starts = true;
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(10);
    let first = fleet.starts[0].clone();
    fleet.without_connection = vec![first.1.clone()];
    fleet.loses_starts = false;

    fleet.advance(60);

    let elsewhere = fleet.starts.iter().find(|start| start.1 != first.1);
    assert_eq!(elsewhere, None);
}

/// The answer to a start order is lost. The order is sent again under the same run number,
/// by which the worker recognizes it as the same start.
#[test]
fn a_start_without_an_answer_is_sent_again_under_its_number() {
    let mut fleet = Fleet::with_workers(1);
    fleet.advance(20);
    fleet.unresponsive.push("w0".to_owned());
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    fleet.unresponsive.clear();
    fleet.advance(200);

    let runs: Vec<u64> = fleet.starts.iter().map(|start| start.0.run).collect();
    assert_eq!(runs, [1, 1]);
    assert_eq!(fleet.running().len(), 1);
}

/// Guards against late guaranteed work: a gang that wants one rack began 2.8 s after it was
/// accepted, where 2.7 s are promised. No rack had capacity for the whole gang, and it
/// waited for one as long as work without a promise does.
#[test]
fn guaranteed_work_does_not_wait_for_its_rack_beyond_its_bound() {
    let mut fleet = Fleet::with_workers(1);

    let waited_ms = same_rack_gang_wait_ms(&mut fleet);

    assert!(waited_ms < 1_700, "began after {waited_ms} ms");
}

/// Guards against needless polls: while an end was being stored, its worker was polled
/// again as soon as it had answered, and listed the same end each time, which took tens of
/// calls for one commit.
#[test]
fn a_worker_with_an_end_that_is_not_durable_is_not_polled_at_once() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(50);
    fleet.store_answers = false;
    fleet.end_all(job, EndKind::Done);
    fleet.advance(20);
    let polls = |fleet: &Fleet| {
        let actions = fleet.actions.iter();
        actions
            .filter(|action| matches!(action, Action::Poll { .. }))
            .count()
    };
    let before = polls(&fleet);

    fleet.advance(200);
    assert_eq!(
        polls(&fleet),
        before,
        "no poll while the end is being stored"
    );

    let (change, _) = fleet.scheduler.progress(job).unwrap();
    fleet.send_input(Input::ProgressStored { job, change });
    fleet.advance(10);
    assert_eq!(polls(&fleet), before + 1, "one poll acknowledges the end");
    assert_eq!(fleet.highest_acknowledged["w0"], 1);
}

/// Guards against a job that fails through the fault of a worker. The only worker with free
/// capacity failed every run; one job's task was started there eight times within a
/// quarter of a second, which exhausted its attempts.
#[test]
fn a_task_does_not_spend_its_attempts_on_one_failing_worker() {
    const FAULT_MS: u64 = 1_000;
    let mut fleet = Fleet::with_workers(2);
    let blocker = fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(50);
    let job = fleet.submit(2, record("plain", vec![step(1, 8)]));
    for _ in 0..FAULT_MS / 50 {
        fleet.advance(50);
        fleet.end_all(job, EndKind::Failed);
    }
    let own = fleet.starts.iter().filter(|start| start.0.task.job == job);
    assert_eq!(own.count(), 1, "the task waits for another worker");

    fleet.end_all(blocker, EndKind::Done);
    fleet.advance(100);
    fleet.end_all(job, EndKind::Done);
    fleet.advance(100);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Completed));
}

/// Guards against a job that fails through the fault of a worker that it cannot do without:
/// a gang that needs every worker spent its attempts on a failing one at once.
#[test]
fn a_gang_that_needs_a_failing_worker_waits_before_its_next_attempt() {
    const FAULT_MS: u64 = 1_000;
    const STEP_MS: u64 = 50;
    let mut fleet = Fleet::with_workers(2);
    let id = fleet.submit(1, record("plain", vec![gang(2, 8)]));
    for _ in 0..FAULT_MS / STEP_MS {
        fleet.advance(STEP_MS);
        let failing: Vec<(String, RunName)> = fleet.running();
        for (worker, name) in failing.into_iter().filter(|(worker, _)| worker == "w0") {
            fleet.end_run(&worker, name, EndKind::Failed);
        }
    }
    fleet.advance(1_000);

    fleet.end_all(id, EndKind::Done);
    fleet.advance(100);

    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Completed));
}

/// Guards against a task that is started for ever: only the last 64 failed runs counted, so a
/// queue that allows more attempts never failed a job.
#[test]
fn a_queue_may_allow_more_attempts_than_failures_are_remembered() {
    const MAX_ATTEMPTS: u32 = 70;
    let mut fleet = Fleet::with_workers(4);
    let mut generous = configuration(64);
    generous.version = 2;
    for queue in &mut generous.queues {
        queue.max_attempts = MAX_ATTEMPTS;
    }
    fleet.send_input(Input::Configure(Arc::new(generous)));
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));

    for _ in 0..10 * MAX_ATTEMPTS {
        if fleet.scheduler.job_status(id) == Some(JobStatus::Failed) {
            break;
        }
        fleet.advance(200);
        fleet.end_all(id, EndKind::Failed);
    }

    assert_eq!(fleet.scheduler.job_status(id), Some(JobStatus::Failed));
    assert_eq!(fleet.starts.len(), MAX_ATTEMPTS as usize);
}

/// Guards against an overflow for a schedule whose last occurrences are beyond any time that
/// can be represented.
#[test]
fn an_occurrence_beyond_all_times_is_never_due() {
    let schedule = Schedule {
        repetitions: 3,
        start_at_ms: BEGIN_MS,
        interval_ms: u64::MAX - 1,
    };

    assert_eq!(schedule.due_ms(0), BEGIN_MS);
    assert_eq!(schedule.due_ms(2), u64::MAX);
}

/// Guards against a start order that is repeated without end. After a pause of 14 s an
/// owner read the answer to a poll from before the pause, so it believed the worker's clock
/// to be 14 s behind its true value, and each start was void on arrival (E307 `late`). The
/// order was sent again in the same millisecond, 5,283 times (runs 7 to 5,289), until a
/// newer answer gave the clock.
#[test]
fn a_start_refused_as_late_is_repeated_only_after_a_new_reading_of_the_workers_clock() {
    const POLLS_PER_SECOND: usize = 10;
    let mut fleet = Fleet::with_workers(1);
    fleet.refusal = Some(StartRefusal::Late);
    fleet.submit(1, record("plain", vec![step(1, 1)]));

    fleet.advance(1_000);
    let sent = fleet.starts.len();
    fleet.refusal = None;
    fleet.advance(200);

    assert!(sent <= POLLS_PER_SECOND + 1, "sent {sent} times");
    assert_eq!(fleet.running().len(), 1);
}

/// Guards against runs that workers refuse as old. After an owner had used 5,289 run
/// numbers for one task, the next owner numbered its runs lower, since each epoch had only
/// a thousand numbers for a task. A worker accepts a run only if its number is higher than
/// all that it knows of the task.
#[test]
fn runs_of_the_next_owner_are_numbered_above_those_of_an_owner_that_retried_for_long() {
    const LONG_MS: u64 = 400_000;
    let mut fleet = Fleet::with_workers(1);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.refusal = Some(StartRefusal::NoCapacity);
    fleet.advance(LONG_MS);
    let before = fleet.starts.last().expect("a start was tried").0.run;

    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(1_000);

    assert!(before > 1_000, "the last run has number {before}");
    let after = next.starts[0].0.run;
    assert!(after > before, "run {after} follows run {before}");
}

/// Guards against an owner that spends its processor on passes: each worker writes its entry every
/// few seconds, and each write called for a pass over the whole fleet.
#[test]
fn an_entry_that_tells_nothing_new_calls_for_no_pass() {
    let mut fleet = Fleet::with_workers(4);
    let workers = fleet.scheduler.workers().iter();
    let entries: Vec<WorkerInfo> = workers.map(|worker| worker.info.clone()).collect();
    let before = fleet.scheduler.pass_count();

    for entry in entries {
        fleet.send_input(Input::WorkerRegistered(entry));
        fleet.settle();
    }
    let after_same = fleet.scheduler.pass_count();
    fleet.send_input(Input::WorkerRegistered(leaving_info("w0", 2_000)));
    fleet.settle();

    assert_eq!(after_same, before);
    assert_eq!(fleet.scheduler.pass_count(), before + 1);
}
