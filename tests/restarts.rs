//! Tests of workers that restart under the same name.

#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;
#[path = "restarts/whole_path.rs"]
mod whole_path;

use fleet::{
    Fleet,
    gang,
    leaving_info,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    Decision,
    EndKind,
    Input,
    JobRecord,
    JobStatus,
    Resources,
    RunName,
    StepSpec,
    TaskId,
    WorkerInfo, //
};

/// Enough time for a poll, its answer and the resulting actions.
const SETTLED_MS: u64 = 500;
/// Enough time for a task to start again on the only worker, on which it has just failed.
const RETRY_DELAY_MS: u64 = 1_500;
/// Most starts of a task that crashes its workers: after three crashes it may be started
/// twice more.
const MAX_STARTS: usize = 5;

/// Returns a fleet of one worker whose first three ends were acknowledged and which has
/// restarted since.
fn restarted_after_three_ends(restart: impl FnOnce(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::with_workers(1);
    let id = fleet.submit(9, record("plain", vec![step(3, 1)]));
    fleet.advance(SETTLED_MS);
    fleet.end_all(id, EndKind::Done);
    fleet.advance(SETTLED_MS);
    assert_eq!(fleet.highest_acknowledged["w0"], 3);
    restart(&mut fleet);
    fleet.advance(SETTLED_MS);
    fleet.starts.clear();
    fleet
}

fn starts_of(fleet: &Fleet, id: JobId) -> usize {
    let starts = fleet.starts.iter();
    starts.filter(|(name, ..)| name.task.job == id).count()
}

fn status_of(fleet: &Fleet, id: JobId) -> Option<JobStatus> {
    fleet.scheduler.job_status(id)
}

/// Submits a job of one task, ends its run as done, and asserts that it ran once.
fn assert_done_once(mut fleet: Fleet) {
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(SETTLED_MS);

    fleet.end_all(id, EndKind::Done);
    fleet.advance(SETTLED_MS);

    assert_eq!(starts_of(&fleet, id), 1);
    assert_eq!(status_of(&fleet, id), Some(JobStatus::Completed));
}

/// Guards against running a done task again because its end has a number that the worker's
/// earlier incarnation had used.
#[test]
fn a_done_end_of_a_restarted_worker_counts() {
    let fleet = restarted_after_three_ends(|fleet| fleet.restart("w0"));

    assert_done_once(fleet);
}

/// Guards against running a done task again if the restarted worker is polled long before
/// its new entry is read.
#[test]
fn a_done_end_counts_if_the_entry_is_read_late() {
    let fleet = restarted_after_three_ends(|fleet| {
        fleet.restart_without_entry("w0");
        fleet.advance(SETTLED_MS);
        fleet.add_worker("w0", "r1");
    });

    assert_done_once(fleet);
}

/// Guards against a third attempt where two are allowed, because the first failed end has a
/// number that the worker's earlier incarnation had used.
#[test]
fn a_failed_end_of_a_restarted_worker_counts() {
    let mut fleet = restarted_after_three_ends(|fleet| fleet.restart("w0"));
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));

    for _ in 0..4 {
        fleet.advance(2 * SETTLED_MS);
        fleet.end_all(id, EndKind::Failed);
    }
    fleet.advance(SETTLED_MS);

    assert_eq!(starts_of(&fleet, id), 2);
    assert_eq!(status_of(&fleet, id), Some(JobStatus::Failed));
}

/// Guards against a job that makes no progress beside idle workers because the ends of its
/// first step on restarted workers were missed.
#[test]
fn a_step_done_on_restarted_workers_is_followed_by_the_next() {
    let mut fleet = Fleet::with_workers(4);
    let second = StepSpec {
        after: vec![0],
        ..step(2, 1)
    };
    let id = fleet.submit(1, record("plain", vec![step(96, 1), second]));

    for round in 0..3 {
        fleet.advance(SETTLED_MS);
        fleet.end_all(id, EndKind::Done);
        fleet.advance(SETTLED_MS);
        fleet.restart(&format!("w{round}"));
    }
    fleet.advance(2 * SETTLED_MS);

    let starts = fleet.starts.iter();
    let second = starts.filter(|(name, ..)| name.task.step == 1).count();
    assert!(second >= 2, "the second step has not begun");
}

/// The runs that are lost with a restarted worker start again at once, and only once.
#[test]
fn runs_of_a_restarted_worker_start_again_once() {
    let mut fleet = Fleet::with_workers(2);
    let single_job = fleet.submit(1, record("plain", vec![step(6, 1)]));
    let gang_job = fleet.submit(2, record("plain", vec![gang(2, 4)]));
    fleet.advance(SETTLED_MS);
    let on_worker = fleet
        .running()
        .iter()
        .filter(|(worker_name, _)| worker_name == "w0")
        .count();
    assert!(on_worker > 0);
    fleet.starts.clear();

    fleet.restart("w0");
    fleet.advance(2 * SETTLED_MS);

    let mut tasks: Vec<TaskId> = fleet.running().iter().map(|(_, name)| name.task).collect();
    let running = tasks.len();
    tasks.dedup();
    assert_eq!(tasks.len(), running, "a task runs twice");
    assert_eq!(
        running, 8,
        "not all tasks of jobs {single_job} and {gang_job} run"
    );
    let lost = fleet.actions.iter().any(|action| {
        matches!(action, Action::Decided(Decision::WorkerLost { reason, .. }) if *reason == "restarted")
    });
    assert!(
        lost,
        "no lost worker with the reason `restarted` was logged"
    );
}

/// Guards against running a task twice at the same time: its start had no answer from the
/// incarnation that crashed, and was carried out by the next one after the task had been
/// started elsewhere.
#[test]
fn a_start_that_arrives_after_the_restart_runs_only_once() {
    for late_ms in [300, 600, 900, 1_400] {
        let mut fleet = Fleet::with_workers(2);
        fleet.late_start_ms = Some(late_ms);
        let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
        fleet.advance(100);
        let worker_name = fleet.starts[0].1.clone();
        fleet.late_start_ms = None;

        fleet.unresponsive.push(worker_name.clone());
        fleet.restart_without_entry(&worker_name);
        fleet.advance(300);
        fleet.unresponsive.clear();
        fleet.advance(2_000);

        assert!(fleet.overlaps.is_empty(), "{late_ms}");
        assert_eq!(fleet.running().len(), 1, "{late_ms}");
        fleet.end_all(id, EndKind::Done);
        fleet.advance(SETTLED_MS);
        assert_eq!(
            status_of(&fleet, id),
            Some(JobStatus::Completed),
            "{late_ms}"
        );
    }
}

/// Guards against running a task twice at the same time: its run had been stopped and the
/// task started elsewhere before the worker restarted, and the next incarnation does not
/// know of the stop.
#[test]
fn a_start_that_was_stopped_before_the_restart_is_stopped_again_after_it() {
    let mut fleet = Fleet::with_workers(2);
    fleet.late_start_ms = Some(2_000);
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(300);
    fleet.late_start_ms = None;
    let worker_name = fleet.starts[0].1.clone();
    fleet.send_input(Input::WorkerRegistered(leaving_info(&worker_name, 60_000)));
    fleet.advance(1_000);
    let elsewhere = fleet.running();
    assert_eq!(elsewhere.len(), 1, "the task did not start elsewhere");
    assert_ne!(elsewhere[0].0, worker_name);

    fleet.restart_without_entry(&worker_name);
    fleet.advance(1_500);

    assert!(fleet.overlaps.is_empty(), "{:?}", fleet.overlaps);
}

/// Guards against starts beyond a worker's capacity: the next incarnation may have a
/// different capacity from the one before.
#[test]
fn a_restarted_worker_gets_work_by_its_own_entry_only() {
    let mut fleet = Fleet::with_workers(1);

    fleet.restart_without_entry("w0");
    fleet.advance(SETTLED_MS);
    let id = fleet.submit(1, record("plain", vec![step(8, 1)]));
    fleet.advance(2 * SETTLED_MS);
    assert!(
        fleet.starts.is_empty(),
        "a start was sent although the entry is of the earlier incarnation"
    );
    let two = Resources {
        accelerators: 2,
        ..worker_info("w0", "r1").capacity
    };
    fleet.send_input(Input::WorkerRegistered(WorkerInfo {
        incarnation_start_ms: Some(fleet.workers["w0"].incarnation_start_ms),
        capacity: two,
        ..worker_info("w0", "r1")
    }));
    fleet.advance(2 * SETTLED_MS);

    assert_eq!(starts_of(&fleet, id), 2);
}

/// Guards against running a task twice because an entry by another writer says that a worker
/// has restarted, although the worker itself has not.
#[test]
fn an_entry_alone_ends_no_incarnation() {
    let mut fleet = Fleet::with_workers(2);
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(SETTLED_MS);
    let (worker_name, run) = fleet.running()[0].clone();

    fleet.send_input(Input::WorkerRegistered(WorkerInfo {
        incarnation_start_ms: Some(fleet.now_ms),
        ..worker_info(&worker_name, "r1")
    }));
    fleet.advance(2 * SETTLED_MS);

    assert_eq!(
        fleet.running(),
        [(worker_name.clone(), run)],
        "the run did not continue"
    );
    fleet.submit(2, record("plain", vec![step(16, 1)]));
    fleet.advance(2 * SETTLED_MS);
    let on_worker = fleet
        .starts
        .iter()
        .filter(|(_, worker, _)| *worker == worker_name);
    assert_eq!(
        on_worker.count(),
        1,
        "the worker got work under an invalid entry"
    );
    fleet.end_all(id, EndKind::Done);
    fleet.add_worker(&worker_name, "r1");
    fleet.advance(SETTLED_MS);
    assert_eq!(status_of(&fleet, id), Some(JobStatus::Completed));
    let on_worker = fleet
        .starts
        .iter()
        .filter(|(_, worker, _)| *worker == worker_name);
    assert!(
        on_worker.count() > 1,
        "the worker got no work under its own entry"
    );
}

/// Submits a job whose only task crashes its workers.
fn submit_crashing(fleet: &mut Fleet, job: JobRecord) -> JobId {
    let name = RunName {
        task: "0000000000000001.0.0.0".parse().expect("a task"),
        run: 1,
    };
    fleet.crashing.insert(name.task);
    fleet.submit(1, job)
}

/// Guards against starting a task without end because its crashes are not counted if the
/// crashed workers keep their names.
#[test]
fn a_task_that_crashes_workers_that_keep_their_names_is_given_up() {
    let mut fleet = Fleet::with_workers(4);
    fleet.keeps_names = true;
    let id = submit_crashing(&mut fleet, record("plain", vec![step(1, 1)]));

    fleet.advance(30_000);

    let starts = starts_of(&fleet, id);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(status_of(&fleet, id), Some(JobStatus::Failed));
}

/// Guards against uncounted crashes when each owner is killed after one. The next owner
/// knows from the store which incarnation of the closed worker had the run.
#[test]
fn a_crashing_task_is_given_up_across_owner_changes() {
    let mut fleet = Fleet::with_workers(4);
    fleet.keeps_names = true;
    let job = record("plain", vec![step(1, 1)]);
    let id = submit_crashing(&mut fleet, job.clone());
    let mut starts = 0;

    for epoch in 2..10 {
        let until_ms = fleet.now_ms + 10_000;
        while fleet.starts.is_empty() && fleet.now_ms < until_ms {
            fleet.advance(10);
        }
        fleet.advance(SETTLED_MS);
        starts += starts_of(&fleet, id);
        fleet = fleet.next_owner(epoch, &[(id, job.clone())], true);
    }
    fleet.advance(10_000);

    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(status_of(&fleet, id), Some(JobStatus::Failed));
}

/// Guards against a task that waits for a run that has ended: a closed worker was stored with
/// the run, and restarted before the next owner polled it.
#[test]
fn a_closed_worker_that_restarted_does_not_hold_its_runs() {
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(SETTLED_MS);
    let (worker_name, _) = fleet.running()[0].clone();
    fleet.unresponsive.push(worker_name.clone());
    fleet.advance(2 * SETTLED_MS);
    assert!(
        fleet.closed[&worker_name].is_some(),
        "the worker is not closed"
    );

    fleet.unresponsive.clear();
    fleet.restart_without_entry(&worker_name);
    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(2 * SETTLED_MS);

    assert_eq!(next.running().len(), 1);
    let lost = next.actions.iter().any(|action| {
        matches!(action, Action::Decided(Decision::RunLost { reason, .. }) if *reason == "restarted")
    });
    assert!(lost, "no lost run with the reason `restarted` was logged");
    assert!(
        next.closed[&worker_name].is_none(),
        "the worker is still closed"
    );
}

/// A worker that was draining and restarts under its name has not crashed.
#[test]
fn a_worker_that_left_and_is_back_under_its_name_has_not_crashed() {
    let mut fleet = Fleet::with_workers(1);
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(SETTLED_MS);

    fleet.send_input(Input::WorkerRegistered(leaving_info("w0", 2_000)));
    fleet.advance(SETTLED_MS);
    fleet.restart("w0");
    fleet.advance(2 * SETTLED_MS);

    let counted = fleet
        .actions
        .iter()
        .any(|action| matches!(action, Action::Decided(Decision::CrashCounted { .. })));
    assert!(!counted, "a crash was counted");
    assert_eq!(starts_of(&fleet, id), 2);
}

/// Guards against ends that a worker drops before any owner has received them. After a poll
/// without an answer the next poll may reach another incarnation, so it acknowledges
/// nothing.
#[test]
fn a_poll_after_failed_polls_acknowledges_nothing() {
    let mut fleet = Fleet::with_workers(1);
    let id = fleet.submit(1, record("plain", vec![step(2, 1)]));
    fleet.advance(SETTLED_MS);
    fleet.end_all(id, EndKind::Done);
    fleet.advance(SETTLED_MS);
    fleet.actions.clear();

    fleet.unresponsive.push("w0".to_owned());
    fleet.advance(2 * SETTLED_MS);

    let polls = fleet.actions.iter().filter_map(|action| match action {
        Action::Poll { last_seen, .. } => Some(*last_seen),
        _ => None,
    });
    let acknowledged: Vec<u64> = polls.collect();
    assert!(!acknowledged.is_empty());
    assert_eq!(acknowledged, vec![0; acknowledged.len()]);
}

/// Guards against ends that a worker drops before any owner has received them. A poll that
/// was delayed until an end is durable is sent so long after the last answer that the
/// worker may have restarted since.
#[test]
fn a_poll_some_time_after_an_answer_acknowledges_nothing() {
    let mut fleet = Fleet::with_workers(1);
    let first = fleet.submit(8, record("plain", vec![step(3, 1)]));
    fleet.advance(SETTLED_MS);
    fleet.end_all(first, EndKind::Done);
    fleet.advance(SETTLED_MS);
    assert_eq!(fleet.highest_acknowledged["w0"], 3);
    let second = fleet.submit(9, record("plain", vec![step(1, 1)]));
    fleet.advance(SETTLED_MS);
    fleet.defers_progress = true;
    fleet.end_all(second, EndKind::Done);
    fleet.advance(20);
    fleet.defers_progress = false;

    fleet.restart_without_entry("w0");
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(20);
    assert_eq!(
        starts_of(&fleet, id),
        1,
        "the task did not start before the restart was known"
    );
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(SETTLED_MS);
    fleet.add_worker("w0", "r1");
    fleet.advance(RETRY_DELAY_MS);
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(SETTLED_MS);

    assert_eq!(starts_of(&fleet, id), 2);
    assert_eq!(status_of(&fleet, id), Some(JobStatus::Failed));
}
