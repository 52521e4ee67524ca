//! Fleets of real daemons beside a stand-in of the platform, and requests to them.

use super::operator::Operator;
use super::processes::{
    Answer,
    Daemon,
    loopback, //
};
use serde_json::{
    Value,
    json, //
};
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// Timeout for any condition that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// How often a test checks a condition that it waits for.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    wait_until_with_interval(CHECK_INTERVAL, what, condition);
}

/// Like [`wait_until`], but checks the condition once in each `interval`.
pub fn wait_until_with_interval(
    interval: Duration,
    what: &str,
    mut condition: impl FnMut() -> bool,
) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        std::thread::sleep(interval);
    }
}

/// Starts daemons `d0`, `d1`, ... beside the platform, and waits until they are
/// ready. `test` is that of [`loopback`].
pub fn fleet(test: u8, count: u8, operator: &Operator) -> Vec<Daemon> {
    fleet_with_stores(test, &vec![operator.store; usize::from(count)])
}

/// Like [`fleet`], with one daemon for each address of the store.
pub fn fleet_with_stores(test: u8, stores: &[SocketAddr]) -> Vec<Daemon> {
    fleet_from(test, 0, stores)
}

/// Like [`fleet_with_stores`], with the addresses of `test` from `first` on, so that tests of one
/// file can share a number.
pub fn fleet_from(test: u8, first: u8, stores: &[SocketAddr]) -> Vec<Daemon> {
    let daemons: Vec<Daemon> = (0..)
        .zip(stores)
        .map(|(at, store)| Daemon::spawn(&format!("d{at}"), loopback(test, first + at), *store))
        .collect();
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });
    daemons
}

/// The path of a job in the queue `q`.
pub fn path(job: u64) -> String {
    format!("/q/{job:016x}")
}

/// The body of a job with one step of `tasks` tasks, each of which runs for `run_ms`.
pub fn job(tasks: u32, run_ms: u64) -> String {
    job_of_steps(&[tasks], run_ms)
}

/// The body of a job with `steps[i]` tasks in each step, one step after the other.
pub fn job_of_steps(steps: &[u32], run_ms: u64) -> String {
    let step = |(at, &count): (usize, &u32)| {
        let mut step = json!({ "count": count, "cpu": 1000, "mem_mb": 100, "gpu": 1,
            "estimated_ms": run_ms });
        if at > 0 {
            step["after"] = json!([at - 1]);
        }
        step
    };
    let steps: Vec<Value> = steps.iter().enumerate().map(step).collect();
    json!({ "spec": run_ms.to_string(), "steps": steps }).to_string()
}

/// The state that a daemon reports for a job of the queue `q`.
pub fn state(daemon: &Daemon, job: u64) -> String {
    state_at(daemon, &path(job))
}

/// The state that a daemon reports for the job at a path.
pub fn state_at(daemon: &Daemon, path: &str) -> String {
    match daemon.request("GET", path, "") {
        Answer::Status(200, body) => body,
        other => format!("{other:?}"),
    }
}

/// Whether a daemon reports a job as completed.
pub fn is_completed(daemon: &Daemon, job: u64) -> bool {
    state(daemon, job) == r#"{"state":"completed"}"#
}

/// The epoch in the root record in the store; 0 if there is none.
pub fn epoch(operator: &Operator) -> u64 {
    let root = operator.world().value("owner");
    root.and_then(|root| root["epoch"].as_u64()).unwrap_or(0)
}
