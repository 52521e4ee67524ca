//! Crowds of clients that send requests of legal size, stop just short of their end and stay
//! connected. The daemons are real processes with lowered limits; each test checks that they
//! live, stay within these limits, and answer an ordinary caller while the crowd is connected.

#[path = "support/crowd.rs"]
mod crowd;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;

use crowd::{
    BODY_BYTES,
    Crowd,
    chunks_without_end,
    head_without_end,
    one_chunk_without_end,
    query_without_reader,
    submission,
    submission_short_of_its_end, //
};
use daemons::{
    is_completed,
    job,
    path,
    wait_until, //
};
use operator::Operator;
use processes::{
    Answer,
    Daemon,
    Listener,
    loopback, //
};
use rustix::process::Signal;
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Connections of a crowd: more than the daemon serves requests at a time.
const CROWD: usize = 600;
/// Memory of the machine in the daemons' settings.
const MEMORY_MB: usize = 64;
/// Descriptors of the machine in the daemons' settings.
const DESCRIPTORS: usize = 600;
/// Descriptors that the platform reserves for files; sockets share the others.
const FILE_DESCRIPTORS: usize = 200;

/// Crowds of two tests at the same time would be larger than either states.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

fn platform() -> Operator {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    operator
}

/// Starts two daemons with the lowered limits.
fn limited_fleet(first: u8, operator: &Operator) -> Vec<Daemon> {
    let limits = format!("limits.memory_mb={MEMORY_MB}\nlimits.file_descriptors={DESCRIPTORS}\n");
    let spawn = |at: u8| {
        let ip = loopback(254, first + at);
        Daemon::spawn_with_settings(&format!("d{at}"), ip, operator.store, &limits)
    };
    let daemons: Vec<Daemon> = (0..2).map(spawn).collect();
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });
    daemons
}

/// Asserts that a daemon lives within its limits, and that an ordinary job is accepted and done
/// while the crowd stays connected.
fn assert_serves_within_limits(daemon: &mut Daemon, id: u64, crowd: &Crowd) {
    let mut sockets = daemon.open_sockets();
    wait_until("an ordinary job is accepted", || {
        let answer = daemon.request("POST", &path(id), &job(1, 100));
        sockets = sockets.max(daemon.open_sockets());
        matches!(answer, Answer::Status(200, _))
    });
    wait_until("it is completed", || is_completed(daemon, id));

    assert!(crowd.len() > 0, "the crowd is connected");
    assert!(daemon.is_running(), "the process lives");
    let peak_mb = daemon.peak_memory_bytes() >> 20;
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB of {MEMORY_MB}");
    let limit = DESCRIPTORS - FILE_DESCRIPTORS;
    assert!(sockets < limit, "{sockets} sockets of {limit}");
}

fn serves_beside(first: u8, request: impl Fn(usize) -> Vec<u8> + Sync) {
    let _alone = alone();
    let operator = platform();
    let mut daemons = limited_fleet(first, &operator);

    let crowd = Crowd::send(&[daemons[0].address(Listener::Clients)], CROWD, &request);

    assert_serves_within_limits(&mut daemons[0], 1, &crowd);
}

/// Guards against bodies that are kept without a bound while they are incomplete.
#[test]
fn bodies_that_stop_short_of_their_length_neither_exhaust_memory_nor_shut_callers_out() {
    serves_beside(0, submission_short_of_its_end);
}

/// Guards against chunks that are kept without a bound while their body is incomplete.
#[test]
fn large_chunks_without_an_end_neither_exhaust_memory_nor_shut_callers_out() {
    serves_beside(2, one_chunk_without_end);
}

/// Guards against chunks of a byte, each of which keeps the buffer that it was read into.
#[test]
fn tiny_chunks_without_an_end_neither_exhaust_memory_nor_shut_callers_out() {
    serves_beside(4, chunks_without_end);
}

/// Guards against bodies that decode to many times their size.
#[test]
fn whole_bodies_of_dense_steps_neither_exhaust_memory_nor_shut_callers_out() {
    serves_beside(6, |at| submission(at, &"{},".repeat(BODY_BYTES / 3 - 8)));
}

/// Guards against an owner that keeps any number of accepted jobs of the largest size.
#[test]
fn whole_jobs_of_legal_size_neither_exhaust_memory_nor_shut_callers_out() {
    serves_beside(30, |at| submission(at, &long_step().repeat(1_000)));
}

/// A step that no worker can run, as long as a thousandth of the largest body.
fn long_step() -> String {
    let label = "x".repeat(BODY_BYTES / 1_000 - 50);
    format!(r#"{{"count":1,"cpu":1,"requirements":"{label}"}},"#)
}

/// Guards against the memory of whole large bodies that wait for their answers, beside others
/// that stop short.
#[test]
fn whole_bodies_beside_bodies_that_stop_short_neither_exhaust_memory_nor_shut_callers_out() {
    serves_beside(8, |at| match at % 4 {
        0 => submission(at, &r#"{"after":[0]},"#.repeat(BODY_BYTES / 14 - 8)),
        _ => submission_short_of_its_end(at),
    });
}

/// Guards against heads that are kept without a bound while they are incomplete.
#[test]
fn heads_without_an_end_neither_exhaust_memory_nor_shut_callers_out() {
    serves_beside(10, head_without_end);
}

/// Guards against connections that take the descriptors of the daemon's own calls.
#[test]
fn idle_connections_neither_take_all_descriptors_nor_shut_callers_out() {
    serves_beside(12, |_| Vec::new());
}

/// Guards against pipelined requests whose answers are not read.
#[test]
fn clients_that_do_not_read_neither_exhaust_memory_nor_shut_callers_out() {
    serves_beside(14, query_without_reader);
}

/// Guards against a body that is kept in pieces as they arrive.
#[test]
fn bodies_in_pieces_from_many_clients_neither_exhaust_memory_nor_shut_callers_out() {
    let _alone = alone();
    let operator = platform();
    let mut daemons = limited_fleet(16, &operator);
    let address = daemons[0].address(Listener::Clients);

    let crowd = Crowd::send_in_pieces(&[address], CROWD, &submission_short_of_its_end);

    assert_serves_within_limits(&mut daemons[0], 1, &crowd);
}

/// Guards against a crowd at every daemon at a time, which leaves the owner no memory either.
#[test]
fn a_crowd_at_every_daemon_neither_exhausts_memory_nor_shuts_callers_out() {
    let _alone = alone();
    let operator = platform();
    let mut daemons = limited_fleet(18, &operator);
    let addresses: Vec<_> = daemons
        .iter()
        .map(|daemon| daemon.address(Listener::Clients))
        .collect();

    let crowd = Crowd::send(&addresses, CROWD * 2, &submission_short_of_its_end);

    for (id, daemon) in (1..).zip(&mut daemons) {
        assert_serves_within_limits(daemon, id, &crowd);
    }
}

/// Guards against crowds at the other listeners: each had no bound on its connections.
#[test]
fn crowds_at_the_other_listeners_do_not_shut_callers_out() {
    for (first, listener) in [
        (20, Listener::Readiness),
        (22, Listener::Metrics),
        (24, Listener::Peers),
    ] {
        let _alone = alone();
        let operator = platform();
        let mut daemons = limited_fleet(first, &operator);
        let address = daemons[0].address(listener);

        let crowd = Crowd::send(&[address], CROWD, &|_| Vec::new());

        assert_serves_within_limits(&mut daemons[0], 1, &crowd);
        wait_until("the daemon is ready", || daemons[0].is_ready());
    }
}

/// Guards against a drain that waits until its end for bodies that never arrive.
#[test]
fn a_drain_does_not_wait_for_bodies_that_stop_short() {
    let _alone = alone();
    let operator = platform();
    let mut daemons = limited_fleet(26, &operator);
    let address = daemons[0].address(Listener::Clients);
    let crowd = Crowd::send(&[address], 10, &submission_short_of_its_end);
    wait_until("the bodies are being read", || {
        daemons[0].metric("fuchsiaslip_requests_in_progress") == 10.0
    });

    daemons[0].signal(Signal::TERM);

    assert!(daemons[0].wait(), "it exits");
    let log = std::fs::read_to_string(daemons[0].log()).expect("a log");
    let finished = log.lines().find(|line| line.contains("E102"));
    assert!(
        finished.is_some_and(|line| line.contains(": 0 requests")),
        "{finished:?}"
    );
    assert_eq!(crowd.len(), 10);
}

/// Guards against places that are lost with the clients that held them.
#[test]
fn a_crowd_that_leaves_gives_back_its_places() {
    let _alone = alone();
    let operator = platform();
    let daemons = limited_fleet(32, &operator);
    let connections = || daemons[0].metric(r#"fuchsiaslip_connections{listener="clients"}"#);
    let address = daemons[0].address(Listener::Clients);

    let crowd = Crowd::send(&[address], CROWD, &submission_short_of_its_end);
    wait_until("places are taken", || connections() > 0.0);
    drop(crowd);

    wait_until("no place is taken", || connections() == 0.0);
    wait_until("no request is in progress", || {
        daemons[0].metric("fuchsiaslip_requests_in_progress") == 0.0
    });
}

/// Guards against bounds that a legal request meets: the largest body, in chunks of a byte, with
/// pauses, is served in calm.
#[test]
fn the_largest_body_in_chunks_of_a_byte_is_served_in_calm() {
    let _alone = alone();
    let operator = platform();
    let daemons = limited_fleet(28, &operator);

    let answer = crowd::send_largest_body_slowly(daemons[0].address(Listener::Clients), &path(1));

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    wait_until("it is completed", || is_completed(&daemons[0], 1));
}
