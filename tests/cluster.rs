//! End-to-end tests on an operator's platform: real daemons as processes, beside a
//! stand-in of the platform. tests/soak.rs runs the same under random faults.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;

use daemons::{
    epoch,
    fleet,
    job,
    path,
    state,
    state_at,
    wait_until, //
};
use operator::{
    Operator,
    StoreMode, //
};
use processes::{
    Answer,
    Daemon, //
};
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;

fn configure(operator: &Operator, version: u64) {
    operator.world().configure(version, &[("q", 1)], 5);
}

#[test]
fn a_job_is_accepted_run_once_and_shown_completed_by_every_daemon() {
    let operator = Operator::spawn(2);
    configure(&operator, 1);
    let daemons = fleet(1, 3, &operator);

    let accepted = daemons[0].request("POST", &path(7), &job(3, 50));

    assert_eq!(accepted, Answer::Status(200, "{}".to_owned()));
    for daemon in &daemons {
        wait_until("completed", || {
            state(daemon, 7) == r#"{"state":"completed"}"#
        });
    }
    assert_eq!(operator.world().records.len(), 3, "each task ran once");
    let again = daemons[1].request("POST", &path(7), &job(3, 50));
    assert_eq!(
        again,
        Answer::Status(200, "{}".to_owned()),
        "it remains one job"
    );
    assert_eq!(operator.world().records.len(), 3);
    assert!(matches!(
        daemons[2].request("GET", &path(8), ""),
        Answer::Status(410, _)
    ));
}

#[test]
fn invalid_requests_get_specific_statuses_and_later_jobs_still_run() {
    let operator = Operator::spawn(1);
    configure(&operator, 1);
    let daemons = fleet(2, 1, &operator);
    let daemon = &daemons[0];
    let status = |answer: Answer| match answer {
        Answer::Status(status, _) => status,
        Answer::None => 0,
    };

    assert_eq!(status(daemon.request("POST", &path(1), "{\"steps\":")), 400);
    assert_eq!(
        status(daemon.request("POST", &path(1), "{\"steps\":[]}")),
        400
    );
    assert_eq!(
        status(daemon.request("POST", &path(1), "{\"steps\":\"x\"}")),
        400
    );
    assert_eq!(status(daemon.request("POST", "/q/short", &job(1, 50))), 400);
    assert_eq!(
        status(daemon.request("POST", "/elsewhere/1", &job(1, 50))),
        404
    );
    assert_eq!(status(daemon.request("PATCH", &path(1), "")), 405);
    let large = format!("{{\"spec\":\"{}\"}}", "x".repeat(300 << 10));
    assert_eq!(status(daemon.request("POST", &path(1), &large)), 413);
    let unknown_key =
        b"GET /q/ HTTP/1.1\r\nhost: h\r\nauthorization: Token no\r\nconnection: close\r\n\r\n";
    assert_eq!(status(daemon.send_raw(unknown_key)), 401);
    let malformed = daemon.send_raw(b"\x00\x01\x02 not http\r\n\r\n");
    assert!(matches!(malformed, Answer::None | Answer::Status(400, _)));

    assert_eq!(status(daemon.request("POST", &path(1), &job(1, 50))), 200);
    wait_until("completed", || {
        state(daemon, 1) == r#"{"state":"completed"}"#
    });
}

#[test]
fn a_daemon_that_receives_sigterm_hands_over_and_exits() {
    let operator = Operator::spawn(2);
    configure(&operator, 1);
    let mut daemons = fleet(3, 2, &operator);
    daemons[0].request("POST", &path(1), &job(2, 4_000));
    wait_until("running", || operator.world().records.len() == 2);

    daemons[0].signal(Signal::TERM);

    assert!(daemons[0].wait(), "the daemon exits with success");
    wait_until("completed", || {
        state(&daemons[1], 1) == r#"{"state":"completed"}"#
    });
    assert_eq!(
        operator.world().records.len(),
        2,
        "the running tasks were not started again"
    );
}

#[test]
fn a_job_refused_while_the_store_refuses_calls_never_runs() {
    let operator = Operator::spawn(1);
    configure(&operator, 1);
    let daemons = fleet(4, 1, &operator);
    operator.world().mode = StoreMode::Refusing;

    let refused = daemons[0].request("POST", &path(1), &job(1, 50));
    operator.world().mode = StoreMode::Serving;

    assert!(matches!(refused, Answer::Status(503, _)), "{refused:?}");
    wait_until("accepted again", || {
        matches!(
            daemons[0].request("POST", &path(2), &job(1, 50)),
            Answer::Status(200, _)
        )
    });
    wait_until("completed", || {
        state(&daemons[0], 2) == r#"{"state":"completed"}"#
    });
    assert_eq!(
        operator.world().records.len(),
        1,
        "the refused job never ran"
    );
}

/// The key of the operators' configuration in the store.
const CONFIGURATION_KEY: &str = "op/config";

/// Guards against a job that fails after one failed run, with attempts left. All
/// daemons had been restarted, and the new owner had not read a configuration yet. It
/// took each queue for one that allows a single attempt, and stored the job's end
/// when a worker listed the failed run.
#[test]
fn an_owner_that_has_read_no_configuration_fails_no_job() {
    let operator = Operator::spawn(1);
    configure(&operator, 1);
    let mut daemons = fleet(5, 2, &operator);
    daemons[0].request("POST", &path(1), &job(1, 2_000));
    wait_until("running", || operator.world().records.len() == 1);
    operator.world().mode = StoreMode::Unresponsive;
    operator.world().fail_runs(0);
    daemons.iter_mut().for_each(Daemon::kill);
    operator.world().withheld_key = Some(CONFIGURATION_KEY);
    operator.world().mode = StoreMode::Serving;

    daemons.iter_mut().for_each(Daemon::start);
    wait_until("the next owner", || epoch(&operator) > 1);
    std::thread::sleep(Duration::from_millis(1_500));
    operator.world().withheld_key = None;

    wait_until("completed", || {
        let reported = state(&daemons[0], 1);
        assert_ne!(reported, r#"{"state":"failed"}"#);
        reported == r#"{"state":"completed"}"#
    });
}

/// Guards against a job that never completes. Its queue was removed from the
/// configuration after the job was accepted, and all daemons were restarted. The new
/// owner had never seen the queue, so it knew no service whose workers run the tasks,
/// and one failed run would have ended the job.
#[test]
fn a_job_of_a_removed_queue_is_done_under_a_new_owner() {
    let operator = Operator::spawn(1);
    let both_queues = [("q", 1), ("other", 1)];
    operator.world().configure(1, &both_queues, 5);
    let mut daemons = fleet(6, 2, &operator);
    daemons[0].request("POST", &path(1), &job(1, 2_000));
    wait_until("running", || operator.world().records.len() == 1);
    operator.world().configure(2, &both_queues[1..], 5);
    daemons.iter_mut().for_each(Daemon::kill);
    operator.world().fail_runs(0);

    daemons.iter_mut().for_each(Daemon::start);

    let state_in_other_queue = || state_at(&daemons[0], &format!("/other/{:016x}", 1));
    wait_until("completed", || {
        let reported = state_in_other_queue();
        assert_ne!(reported, r#"{"state":"failed"}"#);
        reported == r#"{"state":"completed"}"#
    });
}

/// Guards against the loss of all running work when one read of a new owner is not
/// answered: the takeover waited for the configuration, and the workers' leases
/// expired.
#[test]
fn running_work_goes_on_while_the_configuration_cannot_be_read() {
    let operator = Operator::spawn(1);
    configure(&operator, 1);
    let mut daemons = fleet(7, 2, &operator);
    daemons[0].request("POST", &path(1), &job(1, 10_000));
    wait_until("running", || operator.world().records.len() == 1);
    operator.world().withheld_key = Some(CONFIGURATION_KEY);
    daemons.iter_mut().for_each(Daemon::kill);

    daemons.iter_mut().for_each(Daemon::start);
    // Longer than a lease of the owner that was killed.
    std::thread::sleep(Duration::from_millis(8_500));
    operator.world().withheld_key = None;

    wait_until("completed", || {
        state(&daemons[0], 1) == r#"{"state":"completed"}"#
    });
    assert_eq!(
        operator.world().records.len(),
        1,
        "the running tasks were not started again"
    );
}

#[test]
fn daemons_that_take_each_other_for_the_owner_elect_one() {
    // Guards against a fleet without an owner. A daemon's attempt to take over gets
    // no answer, and is carried out seconds later, when that daemon has abandoned it.
    // The owner steps down and takes that daemon for the owner, while that daemon
    // takes the old owner for it. Both receive each other's heartbeats, so neither
    // took over.
    let operator = Operator::spawn(1);
    configure(&operator, 1);
    let daemons = fleet(9, 2, &operator);
    let owner = |operator: &Operator| operator.world().value("owner");
    wait_until("a daemon owns", || owner(&operator).is_some());
    let mut first = owner(&operator).expect("an owner");
    let at = usize::from(first["owner"] == "d1");
    daemons[at].signal(Signal::STOP);
    wait_until("the other owns", || {
        owner(&operator).is_some_and(|root| root["owner"] != first["owner"])
    });
    daemons[at].signal(Signal::CONT);
    std::thread::sleep(Duration::from_millis(1_500));

    let epoch = owner(&operator).expect("an owner")["epoch"].as_u64();
    first["epoch"] = json!(epoch.expect("a number") + 1);
    operator.world().put("owner", &first);

    wait_until("the job is accepted", || {
        let answer = daemons[1 - at].request("POST", &path(1), &job(1, 50));
        matches!(answer, Answer::Status(200, _))
    });
    wait_until("the job is completed", || {
        state(&daemons[1 - at], 1) == r#"{"state":"completed"}"#
    });
}

/// Guards against machines that are emptied a second time for a completed wave of
/// upkeep. An earlier owner had completed the wave. The store then dropped its
/// history, and the owner, which had to read the operators' values again, took every
/// wave there for an open one.
#[test]
fn a_completed_wave_stays_completed_when_the_history_is_gone() {
    let operator = Operator::spawn(1);
    configure(&operator, 1);
    let wave = json!({ "wave": 3, "machines": ["m1"], "duration_s": 30, "cap": 1 });
    operator.world().put("op/wave/3", &wave);
    let completed = json!({ "state": "completed" });
    operator.world().put("status/wave/3", &completed);
    let daemons = fleet(216, 1, &operator);
    wait_until("a daemon owns", || epoch(&operator) > 0);
    wait_until("it accepts a job", || {
        matches!(
            daemons[0].request("POST", &path(1), &job(1, 50)),
            Answer::Status(200, _)
        )
    });

    operator.world().drop_history();
    configure(&operator, 2);
    std::thread::sleep(Duration::from_millis(2_500));

    assert_eq!(operator.world().value("status/wave/3"), Some(completed));
}
