//! Workers that start again under the name that they had.

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

/// Time for a poll, its answer and what follows.
const SETTLED_MS: u64 = 500;
/// After three crashes a task may be started twice more.
const MOST_STARTS: usize = 5;

/// One worker whose owner has acknowledged three ends, and which has then restarted.
fn restarted_after_three_ends(restart: impl FnOnce(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::with_workers(1);
    let id = fleet.submit(9, record("plain", vec![step(3, 1)]));
    fleet.advance(SETTLED_MS);
    fleet.end_all(id, EndKind::Done);
    fleet.advance(SETTLED_MS);
    assert_eq!(fleet.highest_last_seen["w0"], 3);
    restart(&mut fleet);
    fleet.advance(SETTLED_MS);
    fleet.starts.clear();
    fleet
}

fn starts_of(fleet: &Fleet, id: JobId) -> usize {
    let starts = fleet.starts.iter();
    starts.filter(|(name, ..)| name.task.job == id).count()
}

fn view(fleet: &Fleet, id: JobId) -> Option<JobStatus> {
    fleet.scheduler.job_status(id)
}

/// Gives such a worker a job of one task, and has it done.
fn assert_done_once(mut fleet: Fleet) {
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(SETTLED_MS);

    fleet.end_all(id, EndKind::Done);
    fleet.advance(SETTLED_MS);

    assert_eq!(starts_of(&fleet, id), 1);
    assert_eq!(view(&fleet, id), Some(JobStatus::Completed));
}

/// Guards against a task that runs again: its done end had a number that the worker's
/// earlier incarnation had used.
#[test]
fn a_done_end_of_a_restarted_worker_counts() {
    let fleet = restarted_after_three_ends(|fleet| fleet.restart("w0"));

    assert_done_once(fleet);
}

/// Guards against the same where the worker is polled long before its entry is read.
#[test]
fn a_done_end_counts_also_where_the_entry_comes_late() {
    let fleet = restarted_after_three_ends(|fleet| {
        fleet.restart_untold("w0");
        fleet.advance(SETTLED_MS);
        fleet.add_worker("w0", "r1");
    });

    assert_done_once(fleet);
}

/// Guards against a third attempt where two are allowed: the first failed end had a
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
    assert_eq!(view(&fleet, id), Some(JobStatus::Failed));
}

/// Guards against a job that stands still beside idle workers: all tasks of its first
/// step had ended, and the ends of those on restarted workers were missed.
#[test]
fn a_step_that_is_done_on_restarted_workers_is_followed_by_the_next() {
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
    assert!(second >= 2, "the second step has begun");
}

/// What was lost with a restarted worker starts again, at once, once.
#[test]
fn what_ran_on_a_restarted_worker_starts_again_once() {
    let mut fleet = Fleet::with_workers(2);
    let single = fleet.submit(1, record("plain", vec![step(6, 1)]));
    let whole = fleet.submit(2, record("plain", vec![gang(2, 4)]));
    fleet.advance(SETTLED_MS);
    let there = fleet.running().iter().filter(|(on, _)| on == "w0").count();
    assert!(there > 0);
    fleet.starts.clear();

    fleet.restart("w0");
    fleet.advance(2 * SETTLED_MS);

    let mut tasks: Vec<TaskId> = fleet.running().iter().map(|(_, name)| name.task).collect();
    let running = tasks.len();
    tasks.dedup();
    assert_eq!(tasks.len(), running, "nothing runs twice");
    assert_eq!(running, 8, "all of both jobs: {single}, {whole}");
    let lost = fleet.actions.iter().any(|action| {
        matches!(action, Action::Decided(Decision::WorkerLost { reason, .. }) if *reason == "restarted")
    });
    assert!(lost, "the log says why");
}

/// Guards against a task that runs twice at a time: its start had no answer from the
/// incarnation that crashed, and was carried out by the next, after its task had been
/// started elsewhere.
#[test]
fn a_start_that_arrives_after_the_restart_runs_only_once() {
    for late_ms in [300, 600, 900, 1_400] {
        let mut fleet = Fleet::with_workers(2);
        fleet.late_start_ms = Some(late_ms);
        let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
        fleet.advance(100);
        let on = fleet.starts[0].1.clone();
        fleet.late_start_ms = None;

        fleet.silent.push(on.clone());
        fleet.restart_untold(&on);
        fleet.advance(300);
        fleet.silent.clear();
        fleet.advance(2_000);

        assert!(fleet.overlaps.is_empty(), "{late_ms}");
        assert_eq!(fleet.running().len(), 1, "{late_ms}");
        fleet.end_all(id, EndKind::Done);
        fleet.advance(SETTLED_MS);
        assert_eq!(view(&fleet, id), Some(JobStatus::Completed), "{late_ms}");
    }
}

/// The same where the run had been stopped, and its task started elsewhere, before the
/// worker restarted: the next incarnation knows nothing of the stop.
#[test]
fn a_start_that_was_stopped_before_the_restart_is_stopped_again_after_it() {
    let mut fleet = Fleet::with_workers(2);
    fleet.late_start_ms = Some(2_000);
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(300);
    fleet.late_start_ms = None;
    let on = fleet.starts[0].1.clone();
    fleet.tell(Input::WorkerRegistered(leaving_info(&on, 60_000)));
    fleet.advance(1_000);
    let elsewhere = fleet.running();
    assert_eq!(elsewhere.len(), 1, "it was given up there");
    assert_ne!(elsewhere[0].0, on);

    fleet.restart_untold(&on);
    fleet.advance(1_500);

    assert!(fleet.overlaps.is_empty(), "{:?}", fleet.overlaps);
}

/// Guards against starts beyond a worker's room: an incarnation may be of another kind,
/// and what the one before had says nothing of it.
#[test]
fn a_restarted_worker_gets_work_by_its_own_entry_only() {
    let mut fleet = Fleet::with_workers(1);

    fleet.restart_untold("w0");
    fleet.advance(SETTLED_MS);
    let id = fleet.submit(1, record("plain", vec![step(8, 1)]));
    fleet.advance(2 * SETTLED_MS);
    assert!(fleet.starts.is_empty(), "its entry is of the one before");
    let two = Resources {
        accelerators: 2,
        ..worker_info("w0", "r1").capacity
    };
    fleet.tell(Input::WorkerRegistered(WorkerInfo {
        incarnation_start_ms: Some(fleet.workers["w0"].incarnation_start_ms),
        capacity: two,
        ..worker_info("w0", "r1")
    }));
    fleet.advance(2 * SETTLED_MS);

    assert_eq!(starts_of(&fleet, id), 2);
}

/// Guards against a task that runs twice: another writer's entry says that a worker has
/// restarted, and the worker itself does not.
#[test]
fn an_entry_alone_ends_no_incarnation() {
    let mut fleet = Fleet::with_workers(2);
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(SETTLED_MS);
    let (on, run) = fleet.running()[0].clone();

    fleet.tell(Input::WorkerRegistered(WorkerInfo {
        incarnation_start_ms: Some(fleet.now_ms),
        ..worker_info(&on, "r1")
    }));
    fleet.advance(2 * SETTLED_MS);

    assert_eq!(fleet.running(), [(on.clone(), run)], "it goes on");
    fleet.submit(2, record("plain", vec![step(16, 1)]));
    fleet.advance(2 * SETTLED_MS);
    let there = fleet.starts.iter().filter(|(_, worker, _)| *worker == on);
    assert_eq!(there.count(), 1, "it gets no work by that entry");
    fleet.end_all(id, EndKind::Done);
    fleet.add_worker(&on, "r1");
    fleet.advance(SETTLED_MS);
    assert_eq!(view(&fleet, id), Some(JobStatus::Completed));
    let there = fleet.starts.iter().filter(|(_, worker, _)| *worker == on);
    assert!(there.count() > 1, "it serves again");
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

/// Guards against a task that is started for ever: its crashes leave no trace where
/// workers keep their names.
#[test]
fn a_task_that_crashes_workers_that_keep_their_names_is_given_up() {
    let mut fleet = Fleet::with_workers(4);
    fleet.keeps_names = true;
    let id = submit_crashing(&mut fleet, record("plain", vec![step(1, 1)]));

    fleet.advance(30_000);

    let starts = starts_of(&fleet, id);
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert_eq!(view(&fleet, id), Some(JobStatus::Failed));
}

/// The same while one owner after the other is killed: the next knows from the store
/// which incarnation was closed with the run.
#[test]
fn it_is_given_up_whoever_owns() {
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

    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert_eq!(view(&fleet, id), Some(JobStatus::Failed));
}

/// Guards against a task that waits for a run that is over: a closed worker was stored
/// with it, and restarted before the next owner asked.
#[test]
fn a_closed_worker_that_restarted_does_not_hold_its_runs() {
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(SETTLED_MS);
    let (on, _) = fleet.running()[0].clone();
    fleet.silent.push(on.clone());
    fleet.advance(2 * SETTLED_MS);
    assert!(fleet.closed[&on].is_some(), "it is closed");

    fleet.silent.clear();
    fleet.restart_untold(&on);
    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(2 * SETTLED_MS);

    assert_eq!(next.running().len(), 1);
    let lost = next.actions.iter().any(|action| {
        matches!(action, Action::Decided(Decision::RunLost { reason, .. }) if *reason == "restarted")
    });
    assert!(lost, "the log says that the run was lost");
    assert!(next.closed[&on].is_none(), "it is open again");
}

/// A worker that was leaving and is back under its name has not crashed.
#[test]
fn a_worker_that_left_and_is_back_under_its_name_has_not_crashed() {
    let mut fleet = Fleet::with_workers(1);
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(SETTLED_MS);

    fleet.tell(Input::WorkerRegistered(leaving_info("w0", 2_000)));
    fleet.advance(SETTLED_MS);
    fleet.restart("w0");
    fleet.advance(2 * SETTLED_MS);

    let counted = fleet
        .actions
        .iter()
        .any(|action| matches!(action, Action::Decided(Decision::CrashCounted { .. })));
    assert!(!counted, "nobody is to blame");
    assert_eq!(starts_of(&fleet, id), 2);
}

/// Guards against ends that are forgotten unread: after a poll without an answer the
/// next may meet another incarnation, and acknowledges nothing.
#[test]
fn a_poll_after_silence_acknowledges_nothing() {
    let mut fleet = Fleet::with_workers(1);
    let id = fleet.submit(1, record("plain", vec![step(2, 1)]));
    fleet.advance(SETTLED_MS);
    fleet.end_all(id, EndKind::Done);
    fleet.advance(SETTLED_MS);
    fleet.actions.clear();

    fleet.silent.push("w0".to_owned());
    fleet.advance(2 * SETTLED_MS);

    let polls = fleet.actions.iter().filter_map(|action| match action {
        Action::Poll { last_seen, .. } => Some(*last_seen),
        _ => None,
    });
    let acknowledged: Vec<u64> = polls.collect();
    assert!(!acknowledged.is_empty());
    assert_eq!(acknowledged, vec![0; acknowledged.len()]);
}

/// Guards against the same after a wait: a poll that waits for the store comes so long
/// after the last answer that the worker may have restarted since.
#[test]
fn a_poll_some_time_after_an_answer_acknowledges_nothing() {
    let mut fleet = Fleet::with_workers(1);
    let first = fleet.submit(8, record("plain", vec![step(3, 1)]));
    fleet.advance(SETTLED_MS);
    fleet.end_all(first, EndKind::Done);
    fleet.advance(SETTLED_MS);
    assert_eq!(fleet.highest_last_seen["w0"], 3);
    let second = fleet.submit(9, record("plain", vec![step(1, 1)]));
    fleet.advance(SETTLED_MS);
    fleet.holds_progress = true;
    fleet.end_all(second, EndKind::Done);
    fleet.advance(20);
    fleet.holds_progress = false;

    fleet.restart_untold("w0");
    let id = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(20);
    assert_eq!(starts_of(&fleet, id), 1, "nobody knows of the restart");
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(SETTLED_MS);
    fleet.add_worker("w0", "r1");
    fleet.advance(SETTLED_MS);
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(SETTLED_MS);

    assert_eq!(starts_of(&fleet, id), 2);
    assert_eq!(view(&fleet, id), Some(JobStatus::Failed));
}
