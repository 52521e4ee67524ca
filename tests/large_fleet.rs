//! A real daemon in a fleet of hundreds. The other daemons are entries in the store,
//! with one socket that receives what is sent to all of them.

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
    is_completed,
    job,
    path,
    wait_until,
    wait_until_with_interval, //
};
use operator::{
    Operator,
    StoreMode, //
};
use processes::{
    Answer,
    Daemon,
    loopback, //
};
use serde_json::json;
use std::net::UdpSocket;
use std::time::{
    Duration,
    Instant, //
};

/// Daemons that the store lists beside the real one.
const OTHERS: usize = 300;
/// An owner of a small fleet that sends no heartbeat for this long counts as dead.
const OWNER_TIMEOUT: Duration = Duration::from_millis(700);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Lists the other daemons in the store, and returns the socket that receives what is
/// sent to them.
fn list_other_daemons(operator: &Operator) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("an address").to_string();
    for at in 0..OTHERS {
        let member = json!({ "address": address });
        operator.world().put(&format!("members/x{at:03}"), &member);
    }
    socket
}

#[test]
fn a_new_owner_of_a_large_fleet_sends_a_heartbeat_at_once() {
    // Guards against the replacement of a new owner that works well. In a fleet of
    // 297, a daemon that does not own sends a heartbeat every 3.6 s, and a new owner
    // slept to the end of that time before its first one. After 2.4 s it was replaced,
    // and its successor had to poll all workers again.
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let socket = list_other_daemons(&operator);
    let _daemon = Daemon::spawn("d0", loopback(218, 0), operator.store);
    wait_until_with_interval(CHECK_INTERVAL, "the daemon owns", || epoch(&operator) > 0);
    let owns_since = Instant::now();

    socket.set_nonblocking(true).expect("a socket");
    let mut datagram = [0; 1_500];
    while socket.recv(&mut datagram).is_ok() {}
    wait_until_with_interval(CHECK_INTERVAL, "a heartbeat", || {
        socket.recv(&mut datagram).is_ok()
    });

    let first_heartbeat_after = owns_since.elapsed();
    assert!(
        first_heartbeat_after < OWNER_TIMEOUT,
        "the first heartbeat came after {first_heartbeat_after:?}"
    );
}

/// Guards against hundreds of calls a second to the store: the owner's watch of the workers' entries
/// returns with each of them, and thousands of workers write theirs all the time.
#[test]
fn an_owner_does_not_call_the_store_for_each_entry_that_is_written() {
    const WRITES: u64 = 200;
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let _daemon = Daemon::spawn("d0", loopback(218, 2), operator.store);
    wait_until_with_interval(CHECK_INTERVAL, "the daemon owns", || epoch(&operator) > 0);
    let before = operator.world().worker_watches;

    for _ in 0..WRITES {
        operator.world().register(0, "ready");
        std::thread::sleep(CHECK_INTERVAL);
    }

    let watches = operator.world().worker_watches - before;
    assert!(watches < WRITES / 4, "{watches} watches");
}

/// Guards against an owner that is replaced while it reads the stored state: in a large fleet a
/// daemon that does not own yet sends a heartbeat every few seconds, and the others took it for
/// silent after 0.7 s.
#[test]
fn a_daemon_that_takes_over_sends_heartbeats_while_it_reads_the_stored_state() {
    const WHILE_READING: Duration = Duration::from_millis(450);
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let socket = list_other_daemons(&operator);
    let daemon = Daemon::spawn("d0", loopback(218, 1), operator.store);
    socket.set_nonblocking(true).expect("a socket");
    let mut datagram = [0; 1_500];
    wait_until_with_interval(CHECK_INTERVAL, "the daemon is ready", || daemon.is_ready());
    // A daemon that could not read the list of members knows nobody to send heartbeats to.
    wait_until_with_interval(CHECK_INTERVAL, "the daemon knows the others", || {
        socket.recv(&mut datagram).is_ok()
    });
    operator.world().mode = StoreMode::RefusingRanges;
    wait_until_with_interval(CHECK_INTERVAL, "the daemon takes over", || {
        epoch(&operator) > 0
    });

    while socket.recv(&mut datagram).is_ok() {}
    let until = Instant::now() + WHILE_READING;
    let (mut rounds, mut last) = (0, Instant::now() - WHILE_READING);
    while Instant::now() < until {
        if socket.recv(&mut datagram).is_ok() {
            rounds += u32::from(last.elapsed() > OWNER_TIMEOUT / 7);
            last = Instant::now();
        }
    }

    assert!(rounds >= 2, "{rounds} heartbeats");
    wait_until_with_interval(CHECK_INTERVAL, "the takeover fails", || {
        let log = std::fs::read_to_string(daemon.log()).expect("a log");
        log.contains("E207")
    });
}

/// Guards against an owner without descriptors for its clients: it opened a connection for each
/// start in flight, so a large job took thousands.
#[test]
fn the_starts_of_a_large_job_leave_an_owner_descriptors() {
    const WORKERS: usize = 100;
    const CONNECTIONS_TO_A_WORKER: usize = 4;
    /// Listeners, and connections to the store and to clients.
    const OTHER_SOCKETS: usize = 60;
    let operator = Operator::spawn(WORKERS);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemon = Daemon::spawn("d0", loopback(218, 3), operator.store);
    wait_until("all workers are known", || {
        operator.world().roster().len() == WORKERS
    });

    let answer = daemon.request("POST", &path(1), &job(2_000, 300));
    assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
    let mut most_sockets = 0;
    wait_until_with_interval(CHECK_INTERVAL, "the job is completed", || {
        most_sockets = most_sockets.max(daemon.open_sockets());
        is_completed(&daemon, 1)
    });

    let limit = WORKERS * CONNECTIONS_TO_A_WORKER + OTHER_SOCKETS;
    assert!(most_sockets <= limit, "{most_sockets} sockets");
}
