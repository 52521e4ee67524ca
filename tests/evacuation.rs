//! Emptying a data centre on the operators' order, in virtual time: what the
//! scheduler does once it knows the order. The module `whole_path` tests real
//! daemons.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;
#[path = "evacuation/whole_path.rs"]
mod whole_path;

use fleet::{
    Fleet,
    configuration,
    gang,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    AdviceTerms,
    Decision,
    EmptyingOrder,
    EndKind,
    Input,
    JobStatus,
    StepSpec,
    Tuning,
    WorkerInfo, //
};
use proptest::prelude::*;
use proptest::test_runner::{
    Config,
    RngAlgorithm,
    TestRng,
    TestRunner, //
};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A fleet with `workers_in_each` workers in each of the data centres `a` and `b`.
/// Those of `a` are `a0`, `a1`, ... on the racks `ra0`, `ra1`, ..., two workers on
/// each.
fn two_data_centres(workers_in_each: usize) -> Fleet {
    let mut fleet = Fleet::with_workers(0);
    for data_centre in ["a", "b"] {
        for index in 0..workers_in_each {
            let rack = format!("r{data_centre}{}", index / 2);
            fleet.add_worker_in(&format!("{data_centre}{index}"), &rack, data_centre);
        }
    }
    fleet.advance(500);
    fleet
}

fn orders(data_centres: &[&str]) -> Vec<EmptyingOrder> {
    let numbered = data_centres.iter().zip(10..);
    numbered
        .map(|(name, revision)| EmptyingOrder {
            data_centre: (*name).to_owned(),
            revision,
        })
        .collect()
}

/// Tells the scheduler that these data centres, and no others, are to be emptied.
fn order(fleet: &mut Fleet, data_centres: &[&str]) {
    fleet.send_input(Input::EmptyingOrdersRead {
        orders: orders(data_centres),
        checked_ms: fleet.now_ms,
    });
}

/// Number of starts sent to workers of a data centre since `from_ms`.
fn starts_in(fleet: &Fleet, data_centre: &str, from_ms: u64) -> usize {
    let starts = fleet.starts.iter();
    starts
        .filter(|(_, worker, at_ms)| worker.starts_with(data_centre) && *at_ms >= from_ms)
        .count()
}

fn running_in(fleet: &Fleet, data_centre: &str) -> usize {
    let running = fleet.running().into_iter();
    running
        .filter(|(worker, _)| worker.starts_with(data_centre))
        .count()
}

fn decisions(fleet: &Fleet) -> Vec<Decision> {
    let actions = fleet.actions.iter();
    actions
        .filter_map(|action| match action {
            Action::Decided(decision) => Some(decision.clone()),
            _ => None,
        })
        .collect()
}

#[test]
fn nothing_starts_in_an_emptied_data_centre_and_what_runs_there_ends_by_itself() {
    // Operators empty `a` to maintain its power supply while jobs keep arriving. Tasks
    // that run there may end; a new one there would be lost.
    let mut fleet = two_data_centres(2);
    fleet.submit(1, record("plain", vec![step(6, 1)]));
    fleet.advance(50);
    assert!(
        running_in(&fleet, "a") > 0,
        "it is in use and has free capacity"
    );
    let before = running_in(&fleet, "a");

    order(&mut fleet, &["a"]);
    let from_ms = fleet.now_ms;
    fleet.submit(2, record("plain", vec![step(6, 1)]));
    fleet.advance(2_000);

    assert_eq!(starts_in(&fleet, "a", from_ms), 0);
    assert_eq!(running_in(&fleet, "a"), before, "nothing is stopped there");
    assert!(fleet.stops.is_empty());
    assert!(
        starts_in(&fleet, "b", from_ms) > 0,
        "free capacity elsewhere is used"
    );
}

#[test]
fn a_start_without_an_answer_is_not_sent_again_to_an_emptied_data_centre() {
    // A start sent to `a` had no answer when the order came. If the start were sent
    // again, the task would begin there seconds after the order. Instead the run is
    // stopped, which the worker remembers, and the task starts elsewhere.
    let mut fleet = two_data_centres(1);
    fleet.unresponsive = vec!["a0".to_owned(), "b0".to_owned()];
    let job = fleet.submit(1, record("plain", vec![step(16, 1)]));
    fleet.settle();
    assert!(
        starts_in(&fleet, "a", 0) > 0,
        "a start is in progress there"
    );

    order(&mut fleet, &["a"]);
    let from_ms = fleet.now_ms + 1;
    fleet.unresponsive = vec!["a0".to_owned()];
    fleet.advance(1_000);
    assert_eq!(starts_in(&fleet, "a", from_ms), 0);
    assert!(fleet.stops.iter().any(|(_, worker)| worker == "a0"));

    fleet.unresponsive.clear();
    for _ in 0..4 {
        fleet.advance(600);
        fleet.end_all(job, EndKind::Done);
    }
    fleet.advance(600);
    assert_eq!(starts_in(&fleet, "a", from_ms), 0);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Completed));
}

#[test]
fn a_partially_started_gang_starts_as_a_whole_elsewhere() {
    // One member of a gang runs in `b`; the start of another member in `a` had no
    // answer when the order came. The gang cannot be completed there.
    let mut fleet = two_data_centres(2);
    let blocker = fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(50);
    fleet.unresponsive = vec!["a0".to_owned(), "a1".to_owned()];
    fleet.submit(2, record("plain", vec![gang(3, 8)]));
    fleet.settle();
    assert!(starts_in(&fleet, "a", 0) > 0, "a member is to start in a");

    order(&mut fleet, &["a"]);
    let from_ms = fleet.now_ms + 1;
    fleet.add_worker_in("b2", "rb1", "b");
    fleet.advance(300);
    fleet.unresponsive.clear();
    fleet.end_all(blocker, EndKind::Done);
    fleet.advance(1_500);

    assert_eq!(starts_in(&fleet, "a", from_ms), 0);
    assert_eq!(running_in(&fleet, "b"), 3, "the whole gang is in b");
    let runs: BTreeSet<u64> = fleet.running().iter().map(|row| row.1.run).collect();
    assert_eq!(runs.len(), 1, "all members have one number: {runs:?}");
}

#[test]
fn failed_tasks_restart_outside_the_emptied_data_centre() {
    let mut fleet = two_data_centres(1);
    let long_running = StepSpec {
        long_running: true,
        ..step(2, 4)
    };
    let long_running = fleet.submit(1, record("plain", vec![long_running]));
    fleet.advance(50);
    let plain = fleet.submit(2, record("plain", vec![step(2, 4)]));
    fleet.advance(50);
    assert!(running_in(&fleet, "a") > 0);

    order(&mut fleet, &["a"]);
    let from_ms = fleet.now_ms;
    fleet.advance(1_000);
    assert!(running_in(&fleet, "a") > 0, "what runs there continues");
    fleet.add_worker_in("b1", "rb0", "b");
    fleet.end_all(long_running, EndKind::Failed);
    fleet.end_all(plain, EndKind::Failed);
    fleet.advance(2_000);

    assert_eq!(starts_in(&fleet, "a", from_ms), 0);
    assert_eq!(running_in(&fleet, "b"), 4, "{:?}", fleet.running());
}

#[test]
fn nothing_is_preempted_in_an_emptied_data_centre() {
    // Guaranteed work needs the capacity that non-urgent work uses in both data
    // centres. Stopping runs in `a` would free nothing for it.
    let mut fleet = two_data_centres(1);
    fleet.submit(1, record("plain", vec![step(4, 4)]));
    fleet.advance(50);
    assert_eq!(running_in(&fleet, "a"), 2);

    order(&mut fleet, &["a"]);
    let urgent = fleet.submit(2, record("urgent", vec![step(1, 8)]));
    fleet.advance(1_000);

    assert_eq!(running_in(&fleet, "a"), 2);
    assert!(fleet.stops.iter().all(|(_, worker)| worker == "b0"));
    assert_eq!(
        fleet.scheduler.job_status(urgent),
        Some(JobStatus::Running),
        "the guarantee holds with the remaining capacity"
    );
}

#[test]
fn guaranteed_work_does_not_wait_for_capacity_being_freed_in_an_emptied_data_centre() {
    // Runs in `a` are being stopped for guaranteed work when the order comes. The
    // capacity that they free can no longer be used for it.
    let mut fleet = two_data_centres(1);
    fleet.submit(1, record("plain", vec![step(4, 4)]));
    fleet.advance(50);
    fleet.stops_take_effect = false;
    fleet.submit(2, record("urgent", vec![step(2, 4)]));
    fleet.settle();
    let stopped = |fleet: &Fleet, worker: &str| fleet.stops.iter().any(|row| row.1 == worker);
    assert!(
        stopped(&fleet, "a0") != stopped(&fleet, "b0"),
        "the runs of one data centre are cheaper to stop"
    );
    let (emptied, other) = match stopped(&fleet, "a0") {
        true => ("a", "b0"),
        false => ("b", "a0"),
    };

    order(&mut fleet, &[emptied]);
    fleet.settle();

    assert!(stopped(&fleet, other), "{:?}", fleet.stops);
}

#[test]
fn a_gang_on_one_rack_does_not_wait_for_a_rack_of_an_emptied_data_centre() {
    // The only free rack is in the emptied data centre. A gang that needs one rack
    // gets one outside of it as soon as that is free.
    let mut fleet = two_data_centres(2);
    let same_rack_step = || StepSpec {
        same_rack: true,
        ..gang(2, 8)
    };
    order(&mut fleet, &["a"]);
    let blocker = fleet.submit(1, record("plain", vec![same_rack_step()]));
    fleet.advance(50);
    assert_eq!(running_in(&fleet, "b"), 2);

    fleet.submit(2, record("plain", vec![same_rack_step()]));
    fleet.submit(3, record("patient", vec![step(8, 1)]));
    fleet.advance(1_000);
    assert_eq!(running_in(&fleet, "a"), 0);
    fleet.end_all(blocker, EndKind::Done);
    fleet.advance(100);

    let gang_members = fleet
        .running()
        .iter()
        .filter(|row| row.1.task.job == JobId(2))
        .count();
    assert_eq!(gang_members, 2, "{:?}", fleet.running());
    assert_eq!(starts_in(&fleet, "a", 0), 0);
}

#[test]
fn capacity_for_a_gang_is_reserved_outside_an_emptied_data_centre() {
    // A gang waits for two whole workers. Those of `a` are free but emptied; one of
    // `b` is free and the other soon will be. If the capacity were reserved in `a`,
    // that of `b` would go to a small task that runs long, and the gang would wait
    // for that task as well.
    let mut fleet = two_data_centres(2);
    order(&mut fleet, &["a"]);
    let blocker = fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(50);
    let gang = fleet.submit(2, record("plain", vec![gang(2, 8)]));
    fleet.advance(50);
    let long = StepSpec {
        estimated_ms: 60_000,
        ..step(1, 1)
    };
    fleet.submit(3, record("patient", vec![long]));

    fleet.advance(500);
    fleet.end_all(blocker, EndKind::Done);
    fleet.advance(100);

    assert_eq!(fleet.scheduler.job_status(gang), Some(JobStatus::Running));
    assert_eq!(starts_in(&fleet, "a", 0), 0);
}

#[test]
fn work_does_not_wait_for_its_data_in_an_emptied_data_centre() {
    let mut fleet = two_data_centres(1);
    order(&mut fleet, &["a"]);
    let data_in_a = StepSpec {
        data_rack: "ra0".to_owned(),
        ..step(1, 1)
    };

    fleet.submit(1, record("plain", vec![data_in_a]));
    fleet.advance(50);

    assert_eq!(
        running_in(&fleet, "b"),
        1,
        "the task does not wait for the rack of its data"
    );
}

#[test]
fn a_data_centre_is_used_again_at_once_after_its_order_is_withdrawn() {
    let mut fleet = two_data_centres(1);
    order(&mut fleet, &["a"]);
    fleet.submit(1, record("plain", vec![step(16, 1)]));
    fleet.advance(1_000);
    assert_eq!(running_in(&fleet, "b"), 8);

    order(&mut fleet, &[]);
    fleet.settle();

    assert_eq!(running_in(&fleet, "a"), 8);
    let logged = decisions(&fleet);
    let back = logged.iter().any(|decision| {
        matches!(decision, Decision::EmptyingWithdrawn { data_centre, emptied_ms, .. }
            if &**data_centre == "a" && *emptied_ms == 1_000)
    });
    let used = logged.iter().any(|decision| {
        matches!(decision, Decision::FirstStartAfterEmptying { data_centre, after_ms: 0 }
            if &**data_centre == "a")
    });
    assert!(back && used, "{logged:?}");
}

#[test]
fn an_order_that_is_withdrawn_at_once_has_no_effect() {
    let mut fleet = two_data_centres(1);
    order(&mut fleet, &["a", "b"]);
    order(&mut fleet, &[]);

    fleet.submit(1, record("plain", vec![step(16, 1)]));
    fleet.advance(50);

    assert_eq!(fleet.running().len(), 16);
}

#[test]
fn jobs_wait_while_all_data_centres_are_emptied() {
    // Operators empty everything at once. Jobs are still accepted: nothing is lost by
    // waiting, and a caller that was refused has nowhere else to go.
    let mut fleet = two_data_centres(1);
    order(&mut fleet, &["a", "b"]);
    let job = fleet.submit(1, record("urgent", vec![step(4, 1)]));
    let later = fleet.submit(2, record("plain", vec![gang(2, 8)]));
    fleet.advance(20_000);
    assert!(fleet.starts.is_empty());
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Queued));
    assert_eq!(fleet.scheduler.pending("urgent"), 1);

    order(&mut fleet, &["b"]);
    fleet.settle();
    assert_eq!(running_in(&fleet, "a"), 4);
    order(&mut fleet, &[]);
    fleet.end_all(job, EndKind::Done);
    fleet.advance(200);
    assert_eq!(fleet.scheduler.job_status(later), Some(JobStatus::Running));
    let objective = decisions(&fleet)
        .iter()
        .find_map(|decision| match decision {
            Decision::JobOpened {
                job: own,
                objective_ms,
                ..
            } if *own == later => Some(*objective_ms),
            _ => None,
        });
    assert!(
        objective.is_some_and(|objective_ms| objective_ms < 20_000),
        "a lack of capacity does not lengthen a job's objective: {objective:?}"
    );
}

#[test]
fn a_step_that_is_wide_for_the_remaining_capacity_has_a_longer_objective() {
    let objective = |data_centres: &[&str]| {
        let mut fleet = two_data_centres(4);
        order(&mut fleet, data_centres);
        fleet.submit(1, record("patient", vec![step(16, 1)]));
        fleet.settle();
        let opened = decisions(&fleet);
        opened.iter().find_map(|decision| match decision {
            Decision::JobOpened { objective_ms, .. } => Some(*objective_ms),
            _ => None,
        })
    };

    assert!(objective(&["a"]) > objective(&[]));
}

#[test]
fn a_new_owner_obeys_an_order_given_before_its_takeover() {
    // The owner dies while `a` is being emptied. The next owner reads the order with
    // the rest of the stored state, and finds runs in `a` that continue.
    let mut fleet = two_data_centres(1);
    let job_record = record("plain", vec![step(20, 1)]);
    let job = fleet.submit(1, job_record.clone());
    fleet.advance(50);
    assert_eq!(running_in(&fleet, "a"), 8);

    let mut next = Fleet::next_owner(&fleet, 2, &[(job, job_record)], true);
    order(&mut next, &["a"]);
    next.advance(500);
    assert_eq!(running_in(&next, "a"), 8, "runs that are found continue");
    next.end_all(job, EndKind::Done);
    next.advance(500);

    assert_eq!(starts_in(&next, "a", 0), 0);
    assert_eq!(running_in(&next, "b"), 4);
}

#[test]
fn an_order_for_a_data_centre_that_does_not_exist_does_nothing_and_is_logged() {
    let mut fleet = two_data_centres(1);
    order(&mut fleet, &["nowhere"]);
    fleet.submit(1, record("plain", vec![step(16, 1)]));
    fleet.advance(50);
    assert_eq!(fleet.running().len(), 16);
    let logged = decisions(&fleet).into_iter().any(|decision| {
        matches!(
            decision,
            Decision::DataCentreEmptied {
                workers: 0,
                revision: 10,
                ..
            }
        )
    });
    assert!(logged);

    fleet.add_worker_in("c0", "rc0", "nowhere");
    fleet.submit(2, record("plain", vec![step(2, 1)]));
    fleet.advance(1_000);
    assert_eq!(
        starts_in(&fleet, "c", 0),
        0,
        "the order also applies to a worker that registers later"
    );
}

#[test]
fn a_worker_without_a_data_centre_gets_nothing_while_there_is_an_order() {
    let mut fleet = two_data_centres(0);
    fleet.add_worker_in("w0", "r0", "");
    fleet.advance(500);
    order(&mut fleet, &["a"]);
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(1_000);
    assert!(fleet.running().is_empty());

    order(&mut fleet, &[]);
    fleet.settle();
    assert_eq!(fleet.running().len(), 1);
}

#[test]
fn the_decision_reports_the_workers_runs_and_capacity_of_the_data_centre() {
    let mut fleet = two_data_centres(1);
    fleet.submit(1, record("plain", vec![step(16, 1)]));
    fleet.advance(50);

    order(&mut fleet, &["a"]);
    fleet.advance(10);

    let logged = decisions(&fleet);
    let logged = logged
        .iter()
        .find(|decision| matches!(decision, Decision::DataCentreEmptied { .. }));
    assert_eq!(
        logged,
        Some(&Decision::DataCentreEmptied {
            data_centre: "a".into(),
            revision: 10,
            workers: 1,
            runs: 8,
            last_start_ago_ms: Some(40),
            accelerators_left: 8,
            guaranteed_accelerators: 64,
        })
    );
    let emptied: Vec<(&str, u64)> = fleet.scheduler.emptied().collect();
    assert_eq!(emptied, [("a", 10)]);
}

#[test]
fn work_is_not_moved_into_an_emptied_data_centre() {
    // The only worker outside of `a` is leaving. If its tasks were stopped now, there
    // would be no capacity for them; they continue while the worker stays.
    let mut fleet = two_data_centres(1);
    order(&mut fleet, &["a"]);
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(50);

    fleet.send_input(Input::WorkerRegistered(WorkerInfo {
        data_centre: "b".to_owned(),
        draining: true,
        remaining_ms: Some(0),
        ..worker_info("b0", "rb0")
    }));
    fleet.advance(2_000);

    assert!(fleet.stops.is_empty());
    assert_eq!(running_in(&fleet, "b"), 1);
}

#[test]
fn an_external_policy_is_not_asked_about_workers_of_an_emptied_data_centre() {
    let mut fleet = two_data_centres(1);
    let mut with_advice = configuration(64);
    with_advice.version = 2;
    for queue in &mut with_advice.queues {
        queue.advice = Some(AdviceTerms {
            decision_ms: 1,
            per_worker_ms: 1,
            validity_ms: 10_000,
        });
    }
    fleet.send_input(Input::Configure(Arc::new(with_advice)));
    order(&mut fleet, &["a"]);

    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();

    let asked: Vec<Arc<str>> = fleet
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::Advise { workers, .. } => Some(workers.clone()),
            _ => None,
        })
        .flatten()
        .map(|(_, name)| name)
        .collect();
    assert_eq!(asked, ["b0".into()]);
}

#[test]
fn an_owner_with_stale_orders_starts_nothing() {
    // The store answers this owner's confirmations but not its reads of the orders,
    // so an order that is given meanwhile is unknown to the owner.
    let tuning = Tuning {
        orders_max_age_ms: 3_000,
        ..Tuning::default()
    };
    let mut fleet = Fleet::with_tuning(1, tuning);
    order(&mut fleet, &[]);
    fleet.actions.clear();
    fleet.advance(2_900);
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(50);
    assert_eq!(fleet.running().len(), 1, "the orders were read 2.9 s ago");

    fleet.advance(100);
    fleet.submit(2, record("plain", vec![step(1, 1)]));
    fleet.advance(2_000);
    assert_eq!(fleet.running().len(), 1);
    let logged = decisions(&fleet);
    let is_stale = |decision: &&Decision| matches!(decision, Decision::OrdersStale { .. });
    assert_eq!(
        logged.iter().filter(is_stale).count(),
        1,
        "it is logged once"
    );

    order(&mut fleet, &[]);
    fleet.settle();
    assert_eq!(
        fleet.running().len(),
        2,
        "it continues as soon as it has read them"
    );
}

/// A random event for the property test below.
#[derive(Clone, Debug)]
enum Event {
    /// The operators' orders: a set of data centres, as bits of their indexes.
    Order(u8),
    Submit {
        queue: usize,
        count: u32,
        accelerators: u32,
        kind: u8,
    },
    /// All runs on a worker end in this way.
    End(usize, EndKind),
    Unresponsive(usize),
    Responsive(usize),
    /// Whether stops take effect; otherwise they are only answered.
    Stops(bool),
    NextOwner,
    Advance(u64),
}

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 6;

/// The name of worker `at`; there are two in each data centre.
fn worker_name(index: usize) -> String {
    format!("{}{}", DATA_CENTRES[index / 2], index % 2)
}

fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![
        4 => Just(EndKind::Done),
        1 => Just(EndKind::Failed),
        1 => Just(EndKind::Stopped),
    ];
    prop_oneof![
        4 => (0u8..8).prop_map(Event::Order),
        6 => (0usize..3, 1u32..6, prop_oneof![Just(1u32), Just(2), Just(4), Just(8)], 0u8..5)
            .prop_map(|(queue, count, accelerators, kind)| Event::Submit {
                queue, count, accelerators, kind
            }),
        5 => (0..WORKERS, end).prop_map(|(index, kind)| Event::End(index, kind)),
        2 => (0..WORKERS).prop_map(Event::Unresponsive),
        3 => (0..WORKERS).prop_map(Event::Responsive),
        1 => any::<bool>().prop_map(Event::Stops),
        1 => Just(Event::NextOwner),
        8 => (1u64..900).prop_map(Event::Advance),
    ]
}

/// A fleet under random events, with the jobs and orders that it was given.
struct RandomFleet {
    fleet: Fleet,
    emptied: Vec<&'static str>,
    jobs: Vec<(JobId, fuchsiaslip::scheduler::JobRecord)>,
    epoch: u64,
    /// Number of starts that were checked.
    checked: usize,
}

impl RandomFleet {
    fn start() -> Self {
        let mut fleet = Fleet::with_workers(0);
        for index in 0..WORKERS {
            let data_centre = DATA_CENTRES[index / 2];
            fleet.add_worker_in(&worker_name(index), &format!("r{data_centre}"), data_centre);
        }
        fleet.advance(500);
        Self {
            fleet,
            emptied: Vec::new(),
            jobs: Vec::new(),
            epoch: 1,
            checked: 0,
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Order(bits) => {
                let selected = DATA_CENTRES.iter().enumerate();
                let selected = selected.filter(|(index, _)| bits & (1 << index) != 0);
                self.emptied = selected.map(|(_, name)| *name).collect();
                order(&mut self.fleet, &self.emptied);
            }
            Event::Submit {
                queue,
                count,
                accelerators,
                kind,
            } => self.submit(*queue, *count, *accelerators, *kind),
            Event::End(index, kind) => {
                let worker = self.fleet.workers.get_mut(&worker_name(*index));
                let fake = worker.expect("a known worker");
                let names: Vec<_> = fake.running.keys().copied().collect();
                for name in names {
                    fake.end(name, *kind);
                }
            }
            Event::Unresponsive(index) => self.fleet.unresponsive.push(worker_name(*index)),
            Event::Responsive(index) => {
                let name = worker_name(*index);
                self.fleet
                    .unresponsive
                    .retain(|unresponsive| *unresponsive != name);
            }
            Event::Stops(effective) => self.fleet.stops_take_effect = *effective,
            Event::NextOwner => {
                self.epoch += 1;
                self.check();
                self.fleet = self.fleet.next_owner(self.epoch, &self.jobs, true);
                order(&mut self.fleet, &self.emptied);
                self.checked = 0;
            }
            Event::Advance(by_ms) => self.fleet.advance(*by_ms),
        }
        self.fleet.settle();
        self.check();
    }

    fn submit(&mut self, queue: usize, count: u32, accelerators: u32, kind: u8) {
        let queue = ["urgent", "plain", "patient"][queue];
        let plain = step(count, accelerators);
        let step_spec = match kind {
            0 => gang(count.min(4), accelerators),
            1 => StepSpec {
                same_rack: true,
                ..gang(count.min(2), accelerators)
            },
            2 => StepSpec {
                data_rack: "ra".to_owned(),
                ..plain
            },
            3 => StepSpec {
                max_per_worker: 2,
                ..plain
            },
            _ => plain,
        };
        let id = self.jobs.len() as u64 + 1;
        let record = record(queue, vec![step_spec]);
        let id = self.fleet.submit(id, record.clone());
        self.jobs.push((id, record));
    }

    /// Checks that no start since the last check went to a data centre that is being
    /// emptied. Each order and each start is followed by a check.
    fn check(&mut self) {
        for (name, worker, at_ms) in &self.fleet.starts[self.checked..] {
            let emptied = self
                .emptied
                .iter()
                .any(|data_centre| worker.starts_with(data_centre));
            assert!(!emptied, "{name:?} was started on {worker} at {at_ms}");
        }
        self.checked = self.fleet.starts.len();
    }

    /// Withdraws all orders, makes all workers respond, and checks that every job ends.
    fn settle(&mut self) {
        self.fleet.unresponsive.clear();
        self.fleet.stops_take_effect = true;
        self.emptied.clear();
        order(&mut self.fleet, &[]);
        for _ in 0..200 {
            self.fleet.advance(100);
            for (id, _) in &self.jobs {
                self.fleet.end_all(*id, EndKind::Done);
            }
        }
        for (id, record) in &self.jobs {
            let status = self.fleet.scheduler.job_status(*id);
            let has_ended = matches!(status, Some(JobStatus::Completed | JobStatus::Failed));
            assert!(has_ended, "{id} is {status:?}: {record:?}");
        }
    }
}

#[test]
fn no_sequence_of_events_starts_a_task_in_an_emptied_data_centre() {
    const CASES: u32 = 160;
    const SEED: [u8; 32] = *b"drawn orders to empty, seed 0001";
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, random);

    let outcome = runner.run(&prop::collection::vec(event(), 1..60), |events| {
        let mut random_fleet = RandomFleet::start();
        for event in &events {
            random_fleet.apply(event);
        }
        random_fleet.settle();
        Ok(())
    });

    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
