//! Clients that reset their connections in the middle of a request, or keep many requests open,
//! with real daemons beside a stand-in of the platform.

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
    fleet,
    fleet_from,
    is_completed,
    job,
    path,
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
use std::io::Write;
use std::net::TcpStream;
use std::time::{
    Duration,
    Instant, //
};

/// Resets in all: more than a daemon serves requests at a time.
const RESETS: usize = 1_000;
/// More than the requests that a daemon serves at a time.
const OPEN_REQUESTS: u64 = 530;
const RESETS_AT_ONCE: usize = 100;
/// Time in which a daemon reads what it was sent.
const READ_DELAY: Duration = Duration::from_millis(150);
/// Longer than daemons need to notice an outage of the store.
const NOTICE_DELAY: Duration = Duration::from_millis(1_500);
/// Longer than a daemon without requests takes to drain.
const DRAIN: Duration = Duration::from_millis(4_000);

/// Begins a request whose body never arrives whole, after another one whose answer is not read:
/// a connection that is closed with unread bytes is reset.
fn begin_request(daemon: &Daemon) -> std::io::Result<TcpStream> {
    let mut stream = daemon.connect()?;
    let first = "GET /q/1 HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\n\r\n";
    let second = format!(
        "POST {} HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\n\
         content-type: application/json\r\ncontent-length: 500\r\n\r\n{{",
        path(1)
    );
    stream.write_all(first.as_bytes())?;
    stream.write_all(second.as_bytes())?;
    Ok(stream)
}

/// Guards against a daemon that refuses every request as one too many, and waits in its drain for
/// requests that are gone: a request whose connection was reset was counted for ever.
#[test]
fn requests_whose_connections_are_reset_are_not_in_progress_any_more() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let mut daemons = fleet(252, 1, &operator);
    let mut most_in_progress = 0.0_f64;

    for _ in 0..RESETS / RESETS_AT_ONCE {
        let connections = (0..RESETS_AT_ONCE).map(|_| begin_request(&daemons[0]));
        let open: Vec<TcpStream> = connections.filter_map(Result::ok).collect();
        std::thread::sleep(READ_DELAY);
        let in_progress = daemons[0].metric("fuchsiaslip_requests_in_progress");
        most_in_progress = most_in_progress.max(in_progress);
        drop(open);
    }

    assert!(most_in_progress > 0.0, "requests were in progress");
    let answer = daemons[0].request("POST", &path(2), &job(1, 100));
    assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
    wait_until("the job is completed", || is_completed(&daemons[0], 2));
    wait_until("no request is in progress", || {
        daemons[0].metric("fuchsiaslip_requests_in_progress") == 0.0
    });
    let began = Instant::now();
    daemons[0].signal(Signal::TERM);
    assert!(daemons[0].wait());
    assert!(began.elapsed() < DRAIN, "{:?}", began.elapsed());
}

/// Sends a job, after a query whose answer is not read: a connection that is closed with unread
/// bytes is reset.
fn send_job(daemon: &Daemon, id: u64) -> std::io::Result<TcpStream> {
    let mut stream = daemon.connect()?;
    let body = job(1, 100);
    let requests = format!(
        "GET /q/1 HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\n\r\n\
         POST {} HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\ndeadline-ms: 30000\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        path(id),
        body.len()
    );
    stream.write_all(requests.as_bytes())?;
    Ok(stream)
}

/// Guards against an untrue refusal: a client reset its connection while the store had its job
/// and did not answer, so that no daemon remembered the job, and its repetition was refused.
#[test]
fn a_job_whose_client_disconnected_before_the_store_answered_is_not_refused() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet_from(252, 10, &[operator.store; 2]);
    operator.world().delayed_key = Some((format!("jobs/{:016x}", 7), NOTICE_DELAY * 3));
    let connection = send_job(&daemons[0], 7).expect("it is sent");
    wait_until("the job arrives", || operator.world().delayed_writes > 0);
    operator.world().mode = StoreMode::Unresponsive;

    drop(connection);
    std::thread::sleep(NOTICE_DELAY);
    let [repeated, other] = [7, 8].map(|id| daemons[1].request("POST", &path(id), &job(1, 100)));

    assert!(matches!(repeated, Answer::Status(504, _)), "{repeated:?}");
    assert!(matches!(other, Answer::Status(503, _)), "{other:?}");
}

/// Guards against an untrue refusal: a daemon with too many requests refused a job that an
/// earlier request may have stored.
#[test]
fn a_job_that_may_be_stored_is_not_refused_by_an_overloaded_daemon() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet_from(252, 20, &[operator.store; 2]);
    operator.world().delayed_key = Some(("jobs/".to_owned(), NOTICE_DELAY * 30));
    let first = daemons[0].request("POST", &path(7), &job(1, 100));
    let open: Vec<TcpStream> = (0..OPEN_REQUESTS)
        .filter_map(|at| send_job(&daemons[1], 1_000 + at).ok())
        .collect();
    wait_until("the daemon is overloaded", || {
        daemons[1].metric("fuchsiaslip_requests_in_progress") >= 512.0
    });

    let [repeated, other] = [7, 8].map(|id| daemons[1].request("POST", &path(id), &job(1, 100)));

    assert!(matches!(first, Answer::Status(504, _)), "{first:?}");
    assert!(matches!(repeated, Answer::Status(504, _)), "{repeated:?}");
    assert!(matches!(other, Answer::Status(429, _)), "{other:?}");
    drop(open);
}
