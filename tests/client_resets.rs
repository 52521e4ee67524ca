//! Clients that reset their connections in the middle of a request, with a real daemon beside a
//! stand-in of the platform.

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
    is_completed,
    job,
    path,
    wait_until, //
};
use operator::Operator;
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
const RESETS_AT_ONCE: usize = 100;
/// Time in which a daemon reads what it was sent.
const READ_DELAY: Duration = Duration::from_millis(150);
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
