//! Fleets of real daemons beside a stand-in of the platform, and what clients ask
//! of them.

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

/// Bound on anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(40);
/// How long a test waits before it looks again.
pub const PAUSE: Duration = Duration::from_millis(20);

/// Waits until something holds.
pub fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    wait_until_looking(PAUSE, what, holds);
}

/// The same, with a look after each `pause`.
pub fn wait_until_looking(pause: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain: {what}");
        std::thread::sleep(pause);
    }
}

/// Ready daemons `d0`, `d1`, ... beside the platform; `test` as of [`loopback`].
pub fn fleet(test: u8, count: u8, operator: &Operator) -> Vec<Daemon> {
    fleet_behind(test, &vec![operator.store; usize::from(count)])
}

/// The same, one daemon for each of the addresses, at which it finds the store.
pub fn fleet_behind(test: u8, stores: &[SocketAddr]) -> Vec<Daemon> {
    let daemons: Vec<Daemon> = (0..)
        .zip(stores)
        .map(|(at, store)| Daemon::spawn(&format!("d{at}"), loopback(test, at), *store))
        .collect();
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });
    daemons
}

/// Where clients find a job of the queue `q`.
pub fn path(job: u64) -> String {
    format!("/q/{job:016x}")
}

/// A job of so many tasks.
pub fn job(tasks: u32, run_ms: u64) -> String {
    job_of_steps(&[tasks], run_ms)
}

/// A job of so many tasks in each of its steps, one after the other.
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

/// What a daemon shows of a job.
pub fn state(daemon: &Daemon, job: u64) -> String {
    state_at(daemon, &path(job))
}

/// What a daemon shows of the job at a path.
pub fn state_at(daemon: &Daemon, path: &str) -> String {
    match daemon.request("GET", path, "") {
        Answer::Status(200, body) => body,
        other => format!("{other:?}"),
    }
}

/// Whether a daemon shows a job as completed.
pub fn is_completed(daemon: &Daemon, job: u64) -> bool {
    state(daemon, job) == r#"{"state":"completed"}"#
}

/// The epoch of the owner that the store names; 0 if it names none.
pub fn epoch(operator: &Operator) -> u64 {
    let root = operator.world().value("owner");
    root.and_then(|root| root["epoch"].as_u64()).unwrap_or(0)
}
