//! Workers that are shared by tasks that serve and tasks that fill, and queues
//! on which a policy outside decides where steps may run.

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

/// A fleet of one worker with a task that serves and one that fills beside it.
fn shared_worker() -> (Fleet, RunName, RunName) {
    let mut fleet = Fleet::with_workers(1);
    fleet.submit(1, record("plain", vec![serving()]));
    fleet.submit(2, record("patient", vec![filling()]));
    fleet.advance(500);
    let running = fleet.running();
    assert_eq!(running.len(), 2, "what fills needs no cores of its own");
    (fleet, running[0].1, running[1].1)
}

#[test]
fn a_tail_over_its_target_stops_what_fills_at_once() {
    let (mut fleet, serves, fills) = shared_worker();
    fleet.usage.insert(serves, 130.0);

    fleet.advance(600);

    assert_eq!(fleet.throttles.first(), Some(&(fills, 0)));
    assert!(fleet.stops.is_empty(), "it goes on later");
}

#[test]
fn what_fills_works_more_again_step_by_step() {
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
    assert!(percents.len() >= 5, "not all at once: {percents:?}");
    assert_eq!(percents.last(), Some(&100));
}

#[test]
fn near_the_target_what_fills_halves_and_below_it_stays() {
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
fn what_fills_goes_where_nothing_serves_if_it_can() {
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

/// A fleet whose queue `asked` needs approval, with one job on it.
fn asking_fleet() -> (Fleet, GroupKey) {
    let mut fleet = Fleet::with_workers(3);
    let mut asked = queue("asked", 1);
    asked.advice = Some(AdviceTerms {
        decision_ms: 20,
        per_worker_ms: 1,
        validity_ms: VALIDITY_MS,
    });
    let mut version = configuration(64);
    version.version = 2;
    version.queues.push(asked);
    fleet.tell(Input::Configure(Arc::new(version)));
    let job = fleet.submit(1, record("asked", vec![step(1, 1)]));
    fleet.advance(50);
    let step = GroupKey {
        job,
        occurrence: 0,
        step: 0,
    };
    (fleet, step)
}

fn questions(fleet: &Fleet) -> Vec<Vec<WorkerKey>> {
    let asked = fleet.actions.iter().filter_map(|action| match action {
        Action::Advise { workers, .. } => Some(workers.iter().map(|(key, _)| *key).collect()),
        _ => None,
    });
    asked.collect()
}

fn advise(fleet: &mut Fleet, step: GroupKey, approved: Option<&str>) {
    let asked = questions(fleet).last().cloned().unwrap_or_default();
    let rows = approved.map(|name| vec![(name.to_owned(), Arc::from("ticket"))]);
    fleet.tell(Input::AdviceResult {
        step,
        asked,
        approved: rows,
    });
}

#[test]
fn a_step_runs_only_where_it_is_approved_and_with_its_ticket() {
    let (mut fleet, step) = asking_fleet();
    assert!(fleet.starts.is_empty(), "nobody has approved anything");
    assert_eq!(questions(&fleet).len(), 1, "one question at a time");
    assert_eq!(questions(&fleet)[0].len(), 3);

    advise(&mut fleet, step, Some("w1"));
    fleet.advance(50);

    let start = fleet.actions.iter().find_map(|action| match action {
        Action::Start { callee, ticket, .. } => Some((callee.worker_name.clone(), ticket.clone())),
        _ => None,
    });
    assert_eq!(start, Some(("w1".into(), Some("ticket".into()))));
}

#[test]
fn a_question_without_an_answer_is_put_again() {
    let (mut fleet, step) = asking_fleet();
    advise(&mut fleet, step, None);
    fleet.advance(600);

    assert_eq!(questions(&fleet).len(), 2);
    assert!(fleet.starts.is_empty());
}

/// The approvals of workers without room were asked for as well: each names a
/// worker more and costs the policy its time for it.
#[test]
fn workers_without_room_are_not_asked_about() {
    let (mut fleet, step) = asking_fleet();
    advise(&mut fleet, step, Some("w1"));
    fleet.advance(50);
    fleet.actions.clear();
    let large = record("asked", vec![fleet::step(1, 8)]);
    fleet.submit(2, large);
    fleet.advance(50);

    let asked = questions(&fleet);
    assert_eq!(asked[0].len(), 2, "the third has 7 of 8 accelerators left");
}

#[test]
fn a_ticket_that_a_worker_refuses_is_asked_for_again() {
    let (mut fleet, step) = asking_fleet();
    fleet.refusal = Some(StartRefusal::NoTicket);
    advise(&mut fleet, step, Some("w1"));
    fleet.advance(50);
    assert_eq!(fleet.starts.len(), 1, "a refused ticket is not used again");
    assert_eq!(questions(&fleet).len(), 2);

    fleet.refusal = None;
    advise(&mut fleet, step, Some("w1"));
    fleet.advance(50);
    assert_eq!(fleet.running().len(), 1);
}
