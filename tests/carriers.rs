//! Real daemons that are too small for the calls of their fleet, so that other daemons make the
//! owner's calls to workers.

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
    wait_until, //
};
use operator::Operator;
use processes::{
    Answer,
    Daemon,
    loopback, //
};
use rustix::process::Signal;
use std::collections::HashMap;
use std::time::{
    Duration,
    Instant, //
};

/// A link on which an owner calls one worker itself.
const SMALL_LINK: &str = "limits.link_mbps=0.032\n";
const DAEMONS: u8 = 4;
const WORKERS: usize = 6;
/// Tasks of a job: one on each worker and some more.
const TASKS: u32 = 10;
/// Longer than it takes to replace a carrier, and shorter than a lease.
const RUN_MS: u64 = 4_000;
/// Time in which a carrier is frozen: longer than its calls may take.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Starts small daemons beside the platform, and waits until carriers make the calls.
fn small_daemons(test: u8, operator: &Operator) -> Vec<Daemon> {
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons: Vec<Daemon> = (0..DAEMONS)
        .map(|at| {
            let ip = loopback(test, at);
            Daemon::spawn_with_settings(&format!("d{at}"), ip, operator.store, SMALL_LINK)
        })
        .collect();
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });
    wait_until("carriers make calls", || carried_calls(&daemons) > 20.0);
    daemons
}

fn carried_calls(daemons: &[Daemon]) -> f64 {
    let calls = daemons.iter().map(carried_calls_of);
    calls.sum()
}

fn carried_calls_of(daemon: &Daemon) -> f64 {
    daemon.metric("fuchsiaslip_carried_calls_total")
}

/// The index of the daemon that made the most calls for the owner.
fn busiest_carrier(daemons: &[Daemon]) -> usize {
    let calls = daemons.iter().map(carried_calls_of).enumerate();
    let busiest = calls.max_by(|a, b| a.1.total_cmp(&b.1));
    busiest.map_or(0, |(at, _)| at)
}

fn owner(operator: &Operator) -> usize {
    let root = operator.world().value("owner").expect("a root");
    let name = root["owner"].as_str().expect("a name");
    name[1..].parse().expect("a number")
}

fn submit(daemon: &Daemon, id: u64, run_ms: u64) {
    let answer = daemon.request("POST", &path(id), &job(TASKS, run_ms));
    assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
}

/// Panics unless each task of the job ran once.
fn assert_ran_once(operator: &Operator, id: u64) {
    let prefix = format!("{id:016x}.");
    let world = operator.world();
    let mut runs: HashMap<&str, Vec<&'static str>> = HashMap::new();
    let records = world.records.iter();
    for record in records.filter(|record| record.task.starts_with(&prefix)) {
        let how = record.ended.map_or("running", |(_, how)| how);
        runs.entry(&record.task).or_default().push(how);
    }
    assert_eq!(runs.len(), TASKS as usize);
    assert!(runs.values().all(|ends| *ends == ["done"]), "{runs:?}");
}

#[test]
fn the_owner_of_more_workers_than_it_can_call_leaves_the_calls_to_carriers() {
    let operator = Operator::spawn(WORKERS);
    let daemons = small_daemons(224, &operator);
    let began = Instant::now();

    submit(&daemons[0], 1, 200);
    wait_until("the job is done", || is_completed(&daemons[1], 1));

    assert!(began.elapsed() < Duration::from_secs(3));
    assert_ran_once(&operator, 1);
    let owner = owner(&operator);
    assert_eq!(carried_calls_of(&daemons[owner]), 0.0);
    assert_eq!(daemons[owner].metric("fuchsiaslip_carriers"), 2.0);
}

/// Guards against runs that are lost, or started twice, with the daemon that makes the calls to
/// their workers.
#[test]
fn runs_survive_a_carrier_that_is_killed() {
    let operator = Operator::spawn(WORKERS);
    let mut daemons = small_daemons(225, &operator);
    submit(&daemons[0], 1, RUN_MS);
    wait_until("the tasks run", || {
        operator.world().records.len() == TASKS as usize
    });

    let carrier = busiest_carrier(&daemons);
    daemons[carrier].kill();
    let other = &daemons[(carrier + 1) % daemons.len()];
    submit(other, 2, 200);
    wait_until("new work is done", || is_completed(other, 2));
    wait_until("the job is done", || is_completed(other, 1));

    assert_ran_once(&operator, 1);
    assert_eq!(epoch(&operator), 1);
}

/// Guards against a carrier that is replaced while it is frozen and then carries out what it was
/// asked before.
#[test]
fn a_carrier_that_thaws_after_its_replacement_does_no_harm() {
    let operator = Operator::spawn(WORKERS);
    let daemons = small_daemons(226, &operator);
    submit(&daemons[0], 1, RUN_MS);
    wait_until("the tasks run", || {
        operator.world().records.len() == TASKS as usize
    });

    let carrier = busiest_carrier(&daemons);
    daemons[carrier].signal(Signal::STOP);
    let other = &daemons[(carrier + 1) % daemons.len()];
    submit(other, 2, 200);
    std::thread::sleep(FREEZE);
    daemons[carrier].signal(Signal::CONT);
    wait_until("new work is done", || is_completed(other, 2));
    wait_until("the job is done", || is_completed(other, 1));

    assert_ran_once(&operator, 1);
}

/// Guards against runs that are taken for lost by a new owner that learns of them through other
/// carriers than the old one.
#[test]
fn runs_survive_an_owner_and_a_carrier_that_are_killed_together() {
    let operator = Operator::spawn(WORKERS);
    let mut daemons = small_daemons(227, &operator);
    submit(&daemons[0], 1, RUN_MS);
    wait_until("the tasks run", || {
        operator.world().records.len() == TASKS as usize
    });

    let (owner, carrier) = (owner(&operator), busiest_carrier(&daemons));
    daemons[owner].kill();
    daemons[carrier].kill();
    let left = (0..daemons.len()).find(|&at| at != owner && at != carrier);
    let left = &daemons[left.expect("two are left")];
    wait_until("the job is done", || is_completed(left, 1));

    assert_ran_once(&operator, 1);
    assert!(epoch(&operator) > 1);
}

/// Guards against runs that nobody keeps alive while all daemons are away.
#[test]
fn runs_survive_the_restart_of_all_daemons() {
    let operator = Operator::spawn(WORKERS);
    let mut daemons = small_daemons(228, &operator);
    submit(&daemons[0], 1, RUN_MS);
    wait_until("the tasks run", || {
        operator.world().records.len() == TASKS as usize
    });

    for daemon in &mut daemons {
        daemon.kill();
    }
    for daemon in &mut daemons {
        daemon.start();
    }
    wait_until("the job is done", || is_completed(&daemons[0], 1));

    assert_ran_once(&operator, 1);
}

/// Guards against orders of an owner that was replaced while it was frozen: a carrier that knows
/// its successor does not pass them on.
#[test]
fn a_frozen_owner_that_thaws_gives_no_orders_through_carriers() {
    let operator = Operator::spawn(WORKERS);
    let daemons = small_daemons(229, &operator);
    submit(&daemons[0], 1, RUN_MS);
    wait_until("the tasks run", || {
        operator.world().records.len() == TASKS as usize
    });

    let before = owner(&operator);
    daemons[before].signal(Signal::STOP);
    wait_until("another daemon owns", || epoch(&operator) > 1);
    let other = &daemons[(before + 1) % daemons.len()];
    submit(other, 2, 200);
    daemons[before].signal(Signal::CONT);
    wait_until("new work is done", || is_completed(other, 2));
    wait_until("the job is done", || is_completed(other, 1));

    assert_ran_once(&operator, 1);
    assert_ran_once(&operator, 2);
    assert_eq!(epoch(&operator), 2);
}
