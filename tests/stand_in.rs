//! Tests of the platform stand-in: restarts, late starts, run records and unreachable
//! workers must follow the protocol, since other tests rely on its records.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;

use operator::Operator;
use serde_json::{
    Value,
    json, //
};
use std::io::{
    Read,
    Write, //
};
use std::net::TcpStream;
use std::time::{
    Duration,
    Instant, //
};

/// Exceeds the restart delay, the late-start delay and the poll interval of the stand-in.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Exceeds the time that the answer to a call may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);
const JOB: u64 = 7;

fn task(index: usize) -> String {
    format!("{JOB:016x}.0.0.{index}")
}

/// Starts a stand-in whose workers keep their names, with a single-step job.
fn operator_with_step(workers: usize, step: &Value) -> Operator {
    let operator = Operator::spawn(workers);
    operator.world().keeps_names = true;
    operator
        .world()
        .record_job(JOB, &json!({ "steps": [step] }));
    operator
}

/// Calls a worker and returns whether it answered with status 200 before the timeout.
fn call_succeeds(
    operator: &Operator,
    worker: usize,
    (call, body): (&str, &Value),
    timeout: Duration,
) -> bool {
    let entry = operator.world().value(&format!("servers/w{worker}"));
    let entry = entry.expect("the worker is registered");
    let address = entry["address"].as_str().expect("the entry has an address");
    let mut stream = TcpStream::connect(address).expect("the worker accepts connections");
    stream
        .set_read_timeout(Some(timeout))
        .expect("the read timeout is set");
    let body = body.to_string();
    let head = format!(
        "POST /-/{call} HTTP/1.1\r\nhost: h\r\nexpected-instance: w{worker}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .expect("the request is sent");
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).is_ok() && status_line.ends_with(b"200")
}

fn start_succeeds(
    operator: &Operator,
    (worker, index): (usize, usize),
    run_ms: u64,
    timeout: Duration,
) -> bool {
    let body = json!({ "task": task(index), "run_id": 1, "spec": run_ms.to_string(),
        "deadline_ms": 9_000, "fencing_token": 1 });
    call_succeeds(operator, worker, ("run-start", &body), timeout)
}

/// Starts a task on a worker that answers.
fn start(operator: &Operator, worker: usize, index: usize, run_ms: u64) {
    assert!(start_succeeds(
        operator,
        (worker, index),
        run_ms,
        RESPONSE_TIMEOUT
    ));
}

/// Returns how each run of a task ended, or `None` for a run that has not ended.
fn run_outcomes(operator: &Operator, index: usize) -> Vec<Option<&'static str>> {
    let world = operator.world();
    let runs = world.records.iter().filter(|run| run.task == task(index));
    runs.map(|run| run.ended.map(|(_, how)| how)).collect()
}

/// Guards against a late start being carried out by the next incarnation of its worker.
#[test]
fn a_late_start_does_not_reach_the_next_incarnation() {
    let operator = operator_with_step(1, &json!({ "count": 3 }));
    operator.world().late_starts = true;
    start(&operator, 0, 0, 10);
    start(&operator, 0, 1, 10);
    let answered = start_succeeds(&operator, (0, 2), 10, Duration::from_millis(100));
    assert!(!answered, "every third start gets no answer");

    operator.world().crash_worker(0);
    std::thread::sleep(SETTLE_TIME);

    assert_eq!(run_outcomes(&operator, 2), []);
}

/// Guards against a restart being delayed until the next call to the worker.
#[test]
fn a_worker_restarts_without_being_called() {
    let operator = operator_with_step(1, &json!({ "count": 1 }));
    let start_time = || {
        operator
            .world()
            .value("servers/w0")
            .expect("the worker is registered")["born"]
            .clone()
    };
    let before = start_time();

    operator.world().crash_worker(0);
    std::thread::sleep(SETTLE_TIME);

    assert_ne!(start_time(), before);
}

/// Guards against a completed run being recorded as crashed when its worker crashes later.
#[test]
fn a_run_that_ended_before_a_crash_is_not_recorded_as_crashed() {
    let operator = operator_with_step(1, &json!({ "count": 1 }));
    start(&operator, 0, 0, 10);

    std::thread::sleep(Duration::from_millis(100));
    operator.world().crash_worker(0);

    assert_eq!(run_outcomes(&operator, 0), [Some("done")]);
}

/// Guards against a gang member being recorded as broken when its worker crashes under
/// several members.
#[test]
fn all_gang_members_on_a_crashed_worker_are_recorded_as_crashed() {
    let operator = operator_with_step(2, &json!({ "count": 3, "gang": true }));
    for (worker, index) in [(0, 0), (0, 1), (1, 2)] {
        start(&operator, worker, index, 5_000);
    }

    operator.world().crash_worker(0);

    let outcomes: Vec<_> = (0..3).map(|index| run_outcomes(&operator, index)).collect();
    let [crashed, broken] = ["crashed", "broken"].map(|how| vec![Some(how)]);
    assert_eq!(outcomes, [crashed.clone(), crashed, broken]);
}

/// Guards against a gang member being recorded as broken when its worker crashes at the
/// same moment as the worker of another member.
#[test]
fn gang_members_on_workers_that_crash_together_are_recorded_as_crashed() {
    let operator = operator_with_step(2, &json!({ "count": 2, "gang": true }));
    for index in 0..2 {
        start(&operator, index, index, 5_000);
    }

    operator.world().crash_workers(&[0, 1]);

    for index in 0..2 {
        assert_eq!(run_outcomes(&operator, index), [Some("crashed")]);
    }
}

/// Guards against a worker answering a waiting poll after it has been cut off.
#[test]
fn a_worker_that_is_cut_off_does_not_answer_a_waiting_poll() {
    let operator = operator_with_step(1, &json!({ "count": 1 }));
    let sent_at = Instant::now();
    std::thread::scope(|scope| {
        let poll = scope.spawn(|| {
            let body = json!({ "fencing_token": 1, "last_seen": 0, "wait_ms": 500 });
            call_succeeds(&operator, 0, ("hold", &body), RESPONSE_TIMEOUT)
        });
        std::thread::sleep(Duration::from_millis(100));
        operator.world().cut_worker(0, true);
        let answered = poll.join().expect("the poll thread does not panic");
        assert!(!answered, "answered after {:?}", sent_at.elapsed());
    });
}
