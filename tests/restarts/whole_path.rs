//! End-to-end tests of workers that restart under the same name, with real daemons and a
//! stand-in of the platform.

use super::daemons::{
    epoch,
    fleet,
    is_completed,
    job,
    job_of_steps,
    path,
    state,
    wait_until, //
};
use super::operator::{
    Operator,
    RunRecord, //
};
use super::processes::{
    Answer,
    Daemon, //
};
use rustix::process::Signal;
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;

const WORKERS: usize = 4;
const BETWEEN_RESTARTS: Duration = Duration::from_millis(700);

/// Returns the runs of tasks that were started again after one of their runs had been done
/// and acknowledged.
fn started_after_done(records: &[RunRecord]) -> Vec<&RunRecord> {
    let mut done = HashMap::new();
    for run in records {
        if let Some((ended, "done")) = run.ended
            && !run.discounted
        {
            done.entry(&run.task).or_insert(ended);
        }
    }
    let again = |run: &&RunRecord| done.get(&run.task).is_some_and(|&done| run.started > done);
    records.iter().filter(again).collect()
}

/// Returns the runs that overlap an earlier run of the same task.
fn overlapping(records: &[RunRecord]) -> Vec<&RunRecord> {
    let overlaps = |run: &&RunRecord| {
        let mut earlier = records
            .iter()
            .filter(|other| other.task == run.task && other.started < run.started);
        earlier.any(|other| other.ended.is_none_or(|(ended, _)| ended > run.started))
    };
    records.iter().filter(overlaps).collect()
}

/// Submits a job to a daemon, and tells the stand-in's workers about it.
fn submit(operator: &Operator, daemon: &Daemon, id: u64, body: &str) {
    let known = serde_json::from_str(body).expect("a job");
    operator.world().record_job(id, &known);
    let answer = daemon.request("POST", &path(id), body);
    assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
}

/// Returns the index of the daemon that is the owner.
fn owner(operator: &Operator) -> usize {
    let root = operator.world().value("owner").expect("an owner");
    usize::from(root["owner"] == "d1")
}

/// Guards against done tasks that run again and jobs that make no progress while workers
/// restart under the same names, one after the other, and the owner is killed.
#[test]
fn jobs_are_done_once_while_workers_restart_under_their_names() {
    let operator = Operator::spawn(WORKERS);
    operator.world().keeps_names = true;
    operator.world().configure(1, &[("q", 1)], 2);
    let mut daemons = fleet(226, 2, &operator);
    let first = job(12, 100);
    submit(&operator, &daemons[0], 1, &first);
    wait_until("the first job is completed", || {
        is_completed(&daemons[0], 1)
    });

    for (at, id) in (2..6).enumerate() {
        operator.world().crash_worker(at);
        submit(&operator, &daemons[0], id, &job_of_steps(&[16, 4], 300));
        std::thread::sleep(BETWEEN_RESTARTS);
    }
    let before = epoch(&operator);
    let owner = owner(&operator);
    daemons[owner].kill();
    for at in 0..WORKERS {
        operator.world().crash_worker(at);
    }
    wait_until("the other daemon owns", || epoch(&operator) > before);
    let other = &daemons[1 - owner];
    for id in 2..6 {
        wait_until("a job is completed", || is_completed(other, id));
    }

    let world = operator.world();
    let again = started_after_done(&world.records);
    assert!(again.is_empty(), "{again:#?}");
}

/// Guards against tasks that run twice while all workers restart at once and then one after
/// the other, some starts are carried out late, and the owner is paused and resumes beside
/// its successor.
#[test]
fn jobs_are_done_once_beside_an_owner_that_was_paused() {
    let operator = Operator::spawn(WORKERS);
    operator.world().keeps_names = true;
    operator.world().late_starts = true;
    operator.world().configure(1, &[("q", 1)], 2);
    let daemons = fleet(228, 2, &operator);
    submit(&operator, &daemons[0], 1, &job_of_steps(&[16, 4], 300));
    wait_until("the job runs", || operator.world().runs_of(1) > 0);
    let before = epoch(&operator);
    let owner = owner(&operator);
    let other = &daemons[1 - owner];

    daemons[owner].signal(Signal::STOP);
    for at in 0..WORKERS {
        operator.world().crash_worker(at);
    }
    wait_until("the other daemon owns", || epoch(&operator) > before);
    submit(&operator, other, 2, &job_of_steps(&[16, 4], 300));
    for at in 0..WORKERS {
        operator.world().crash_worker(at);
        std::thread::sleep(BETWEEN_RESTARTS);
        if at == 1 {
            daemons[owner].signal(Signal::CONT);
        }
    }
    operator.world().late_starts = false;
    for id in 1..3 {
        wait_until("a job is completed", || is_completed(other, id));
    }

    let world = operator.world();
    let again = started_after_done(&world.records);
    assert!(again.is_empty(), "{again:#?}");
    let twice = overlapping(&world.records);
    assert!(twice.is_empty(), "{twice:#?}");
}

/// Guards against a third attempt on workers that restart, where two are allowed.
#[test]
fn a_failing_job_gets_its_attempts_and_no_more() {
    let operator = Operator::spawn(1);
    operator.world().keeps_names = true;
    operator.world().configure(1, &[("q", 1)], 2);
    let daemons = fleet(227, 1, &operator);
    let first = job(6, 50);
    daemons[0].request("POST", &path(1), &first);
    wait_until("the first job is completed", || {
        is_completed(&daemons[0], 1)
    });
    operator.world().crash_worker(0);
    let mut failing: Value = serde_json::from_str(&job(1, 50)).expect("a job");
    failing["spec"] = "poison".into();

    daemons[0].request("POST", &path(2), &failing.to_string());
    wait_until("it is shown as failed", || {
        state(&daemons[0], 2) == r#"{"state":"failed"}"#
    });

    let world = operator.world();
    let own = world.records.iter();
    let starts = own.filter(|run| run.task == "0000000000000002.0.0.0");
    assert_eq!(starts.count(), 2, "{:#?}", world.records);
}
