//! Throttling of runs that fill workers beside tasks that serve, and queues for which an
//! external placement policy decides where steps may run.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    configuration,
    queue,
    record,
    step, //
};
use fuchsiaslip::core::WorkerKey;
use fuchsiaslip::scheduler::{
    Action,
    AdviceTerms,
    GroupKey,
    Input,
    RunName,
    StartRefusal,
    StepSpec, //
};
use std::sync::Arc;

const TARGET_MS: u64 = 100;
const VALIDITY_MS: u64 = 3_000;

fn serving() -> StepSpec {
    StepSpec {
        long_running: true,
        tail_target_ms: TARGET_MS,
        ..step(1, 0)
    }
}

fn filling() -> StepSpec {
    let mut step = step(1, 0);
    step.needs.cpu_millis = 64_000;
    StepSpec {
        fills: true,
        ..step
    }
}

/// Returns a fleet of one worker with a run that serves and a run that fills.
fn shared_worker() -> (Fleet, RunName, RunName) {
    let mut fleet = Fleet::with_workers(1);
    fleet.submit(1, record("plain", vec![serving()]));
    fleet.submit(2, record("patient", vec![filling()]));
    fleet.advance(500);
    let running = fleet.running();
    assert_eq!(
        running.len(),
        2,
        "a task that fills needs no cores of its own"
    );
    (fleet, running[0].1, running[1].1)
}

#[test]
fn a_tail_over_its_target_throttles_filling_runs_to_zero_at_once() {
    let (mut fleet, serves, fills) = shared_worker();
    fleet.usage.insert(serves, 130.0);

    fleet.advance(600);

    assert_eq!(fleet.throttles.first(), Some(&(fills, 0)));
    assert!(fleet.stops.is_empty(), "the run is throttled, not stopped");
}

#[test]
fn the_throttle_rises_again_step_by_step() {
    let (mut fleet, serves, fills) = shared_worker();
    fleet.usage.insert(serves, 130.0);
    fleet.advance(600);
    fleet.throttles.clear();
    fleet.usage.insert(serves, 20.0);

    fleet.advance(3_000);

    let percents: Vec<u32> = fleet
        .throttles
        .iter()
        .map(|(_, percent)| *percent)
        .collect();
    assert!(fleet.throttles.iter().all(|(name, _)| *name == fills));
    assert!(
        percents.windows(2).all(|pair| pair[0] < pair[1]),
        "{percents:?}"
    );
    assert!(percents.len() >= 5, "too few steps: {percents:?}");
    assert_eq!(percents.last(), Some(&100));
}

#[test]
fn the_throttle_is_halved_near_the_target_and_kept_below_it() {
    let (mut fleet, serves, fills) = shared_worker();
    fleet.usage.insert(serves, 90.0);
    fleet.advance(130);
    assert_eq!(fleet.throttles.first(), Some(&(fills, 50)));

    fleet.usage.insert(serves, 70.0);
    fleet.advance(300);
    fleet.throttles.clear();
    fleet.advance(2_000);
    assert!(fleet.throttles.is_empty(), "{:?}", fleet.throttles);
}

#[test]
fn tasks_that_fill_avoid_workers_that_serve() {
    let mut fleet = Fleet::with_workers(2);
    fleet.submit(1, record("plain", vec![serving()]));
    fleet.advance(200);
    let served = fleet.running()[0].0.clone();
    fleet.submit(2, record("patient", vec![filling()]));
    fleet.advance(200);

    let filled = fleet
        .running()
        .into_iter()
        .find(|(_, run)| run.task.job.0 == 2);
    assert_ne!(filled.unwrap().0, served);
}

/// Returns a fleet with one job on a queue `asked` that has an external placement policy.
fn fleet_with_advised_queue() -> (Fleet, GroupKey) {
    let mut fleet = Fleet::with_workers(3);
    let mut advised = queue("asked", 1);
    advised.advice = Some(AdviceTerms {
        decision_ms: 20,
        per_worker_ms: 1,
        validity_ms: VALIDITY_MS,
    });
    let mut version = configuration(64);
    version.version = 2;
    version.queues.push(advised);
    fleet.send_input(Input::Configure(Arc::new(version)));
    let job = fleet.submit(1, record("asked", vec![step(1, 1)]));
    fleet.advance(50);
    let step = GroupKey {
        job,
        occurrence: 0,
        step: 0,
    };
    (fleet, step)
}

/// Returns the workers named in each request to the policy.
fn advice_requests(fleet: &Fleet) -> Vec<Vec<WorkerKey>> {
    let asked = fleet.actions.iter().filter_map(|action| match action {
        Action::Advise { workers, .. } => Some(workers.iter().map(|(key, _)| *key).collect()),
        _ => None,
    });
    asked.collect()
}

/// Answers the last request with the approval of one worker; `None` for no answer.
fn answer_advice_request(fleet: &mut Fleet, step: GroupKey, approved: Option<&str>) {
    let asked = advice_requests(fleet).last().cloned().unwrap_or_default();
    let rows = approved.map(|name| vec![(name.to_owned(), Arc::from("ticket"))]);
    fleet.send_input(Input::AdviceResult {
        step,
        asked,
        approved: rows,
    });
}

#[test]
fn a_step_runs_only_where_it_is_approved_and_with_its_ticket() {
    let (mut fleet, step) = fleet_with_advised_queue();
    assert!(fleet.starts.is_empty(), "no worker is approved yet");
    assert_eq!(advice_requests(&fleet).len(), 1, "one request at a time");
    assert_eq!(advice_requests(&fleet)[0].len(), 3);

    answer_advice_request(&mut fleet, step, Some("w1"));
    fleet.advance(50);

    let start = fleet.actions.iter().find_map(|action| match action {
        Action::Start { callee, ticket, .. } => Some((callee.worker_name.clone(), ticket.clone())),
        _ => None,
    });
    assert_eq!(start, Some(("w1".into(), Some("ticket".into()))));
}

#[test]
fn an_advice_request_without_an_answer_is_repeated() {
    let (mut fleet, step) = fleet_with_advised_queue();
    answer_advice_request(&mut fleet, step, None);
    fleet.advance(600);

    assert_eq!(advice_requests(&fleet).len(), 2);
    assert!(fleet.starts.is_empty());
}

/// Guards against requests that name workers without free capacity: each worker in a
/// request costs the policy time.
#[test]
fn advice_requests_omit_workers_without_capacity() {
    let (mut fleet, step) = fleet_with_advised_queue();
    answer_advice_request(&mut fleet, step, Some("w1"));
    fleet.advance(50);
    fleet.actions.clear();
    let large = record("asked", vec![fleet::step(1, 8)]);
    fleet.submit(2, large);
    fleet.advance(50);

    let requests = advice_requests(&fleet);
    assert_eq!(
        requests[0].len(),
        2,
        "the third worker has 7 of 8 accelerators left"
    );
}

#[test]
fn a_ticket_that_a_worker_refuses_is_requested_again() {
    let (mut fleet, step) = fleet_with_advised_queue();
    fleet.refusal = Some(StartRefusal::NoTicket);
    answer_advice_request(&mut fleet, step, Some("w1"));
    fleet.advance(50);
    assert_eq!(fleet.starts.len(), 1, "a refused ticket is not used again");
    assert_eq!(advice_requests(&fleet).len(), 2);

    fleet.refusal = None;
    answer_advice_request(&mut fleet, step, Some("w1"));
    fleet.advance(50);
    assert_eq!(fleet.running().len(), 1);
}
