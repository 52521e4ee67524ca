//! The whole path on an operator's platform: real daemons as processes, beside
//! a stand-in of the platform. tests/soak.rs puts it under drawn faults.

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
fn bad_input_gets_a_typed_answer_and_loses_nothing() {
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
    let unknown =
        b"GET /q/ HTTP/1.1\r\nhost: h\r\nauthorization: Token no\r\nconnection: close\r\n\r\n";
    assert_eq!(status(daemon.send_raw(unknown)), 401);
    let torn = daemon.send_raw(b"\x00\x01\x02 not http\r\n\r\n");
    assert!(matches!(torn, Answer::None | Answer::Status(400, _)));

    assert_eq!(status(daemon.request("POST", &path(1), &job(1, 50))), 200);
    wait_until("completed", || {
        state(daemon, 1) == r#"{"state":"completed"}"#
    });
}

#[test]
fn a_daemon_that_is_told_to_end_hands_over_and_ends_by_itself() {
    let operator = Operator::spawn(2);
    configure(&operator, 1);
    let mut daemons = fleet(3, 2, &operator);
    daemons[0].request("POST", &path(1), &job(2, 4_000));
    wait_until("running", || operator.world().records.len() == 2);

    daemons[0].signal(Signal::TERM);

    assert!(daemons[0].wait(), "it ends without an error");
    wait_until("completed", || {
        state(&daemons[1], 1) == r#"{"state":"completed"}"#
    });
    assert_eq!(operator.world().records.len(), 2, "what ran went on");
}

#[test]
fn a_store_that_refuses_makes_refusals_that_are_true() {
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

/// Where the operators' configuration lies in the store.
const CONFIGURATION_KEY: &str = "op/config";

/// A caller saw a job as failed after one failed run, with attempts left. All
/// daemons had been restarted, and the one that took over had not yet read a
/// configuration: it held every queue for one that allows a single attempt, and
/// stored the job's end when a worker listed the run. Its log had no version in
/// force before it owned, and all queues had one priority.
#[test]
fn an_owner_that_has_read_no_configuration_fails_no_job() {
    let operator = Operator::spawn(1);
    configure(&operator, 1);
    let mut daemons = fleet(5, 2, &operator);
    daemons[0].request("POST", &path(1), &job(1, 2_000));
    wait_until("running", || operator.world().records.len() == 1);
    operator.world().mode = StoreMode::Silent;
    operator.world().fail_runs(0);
    daemons.iter_mut().for_each(Daemon::kill);
    operator.world().withheld_key = Some(CONFIGURATION_KEY);
    operator.world().mode = StoreMode::Serving;

    daemons.iter_mut().for_each(Daemon::start);
    wait_until("the next owner", || epoch(&operator) > 1);
    std::thread::sleep(Duration::from_millis(1_500));
    operator.world().withheld_key = None;

    wait_until("completed", || {
        let shown = state(&daemons[0], 1);
        assert_ne!(shown, r#"{"state":"failed"}"#);
        shown == r#"{"state":"completed"}"#
    });
}

/// A job was never done. Its queue had been removed from the configuration after
/// it was accepted, and all daemons were restarted: the new owner had never seen
/// the queue, so it knew no service whose workers run its tasks, and one failed
/// run would have ended the job.
#[test]
fn a_job_of_a_removed_queue_is_done_under_a_new_owner() {
    let operator = Operator::spawn(1);
    let both = [("q", 1), ("other", 1)];
    operator.world().configure(1, &both, 5);
    let mut daemons = fleet(6, 2, &operator);
    daemons[0].request("POST", &path(1), &job(1, 2_000));
    wait_until("running", || operator.world().records.len() == 1);
    operator.world().configure(2, &both[1..], 5);
    daemons.iter_mut().for_each(Daemon::kill);
    operator.world().fail_runs(0);

    daemons.iter_mut().for_each(Daemon::start);

    let shown_elsewhere = || state_at(&daemons[0], &format!("/other/{:016x}", 1));
    wait_until("completed", || {
        let shown = shown_elsewhere();
        assert_ne!(shown, r#"{"state":"failed"}"#);
        shown == r#"{"state":"completed"}"#
    });
}

/// All that ran was lost while one read of a new owner was not answered: its takeover
/// waited for the configuration, and the workers' leases ran out.
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
    assert_eq!(operator.world().records.len(), 1, "what ran went on");
}
#[test]
fn daemons_that_take_each_other_for_the_owner_find_one() {
    // A daemon's attempt to take over gets no answer and is carried out seconds
    // later, when that daemon has given it up. The owner steps down for it and
    // takes it for the owner, while it still takes the other for the owner: both
    // hear each other's heartbeats, and nobody owned any more.
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

/// Machines were emptied a second time for an upkeep that was over. An earlier owner had
/// completed the wave; the store forgot its history, and the owner that read the
/// operators' values anew took every wave there for an open one.
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
    wait_until("it serves", || {
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
