//! Tests that owners of successive epochs that act at the same time, as they may while the
//! network is split, run no task twice, out of order or too often.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/overlap_record.rs"]
mod overlap_record;
#[path = "support/overlap_simulation.rs"]
mod overlap_simulation;

use fleet::{
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    EndKind,
    JobRecord,
    RunName,
    StepSpec,
    TaskId, //
};
use overlap_record::{
    Breach,
    MAX_ATTEMPTS,
    RunRecord,
    breaches, //
};
use overlap_simulation::{
    Event,
    Link,
    Plan,
    Simulation,
    WORKERS, //
};
use proptest::prelude::*;

/// A kind of job with a single task.
const SINGLE_TASK: u8 = 0;
/// The newest owner, counted back from the next one, and the set of it alone.
const NEWEST: usize = 1;
const NEWEST_OWNER: u8 = 1 << NEWEST;

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![
        2 => Just(Link::Up),
        2 => Just(Link::Down),
        1 => Just(Link::AnswersLost),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<u8>().prop_map(Event::Submit),
        3 => (0..3usize, 0..WORKERS, link())
            .prop_map(|(back, worker, link)| Event::SetLink(back, worker, link)),
        1 => (0..3usize, link()).prop_map(|(back, link)| Event::SetStoreLink(back, link)),
        1 => (0..3usize, 0..3usize).prop_map(|(one, other)| Event::TogglePeers(one, other)),
        4 => (0..8u8, 0..1u8 << WORKERS)
            .prop_map(|(owners, workers)| Event::Split(owners, workers)),
        1 => Just(Event::Repair),
        1 => Just(Event::TakeOver),
    ]
}

fn plan() -> impl Strategy<Value = Plan> {
    let wait_ms = prop_oneof![10..1_000u64, 1_000..8_000u64];
    let clocks = prop::collection::vec((0..1_000_000u64, 0..=20u64), WORKERS);
    let runs = prop::collection::vec((1_000..20_000u64, prop::bool::weighted(0.2)), 8);
    let lost_calls = prop::collection::vec(prop::option::weighted(0.2, 10..12_000u64), 8);
    let events = prop::collection::vec((event(), wait_ms), 1..16);
    (
        any::<bool>(),
        clocks,
        500..3_000u64,
        runs,
        lost_calls,
        events,
    )
        .prop_map(
            |(has_short_leases, clocks, takeover_ms, runs, lost_calls, events)| Plan {
                has_short_leases,
                clocks,
                takeover_ms,
                runs,
                lost_calls,
                events,
            },
        )
}

/// A number from the environment variable `name`, or `default` if that is not set.
fn number_from_env(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.map_or(default, |text| text.parse().expect("a number"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: number_from_env("OVERLAP_CASES", 256) as u32,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(number_from_env("OVERLAP_SEED", 20_261_205)),
        ..ProptestConfig::default()
    })]

    /// Guards against an owner that counts a lease as expired which its successor has extended.
    #[test]
    fn a_replaced_owner_starts_nothing_that_its_successor_keeps_running(plan in plan()) {
        let mut simulation = Simulation::begin(&plan);

        simulation.run();

        let found = breaches(&simulation.jobs, &simulation.record);
        prop_assert!(found.is_empty(), "{found:?} in\n{}", lines(&simulation));
    }
}

/// Returns the recorded runs, one a line.
fn lines(simulation: &Simulation) -> String {
    let runs = simulation.record.iter();
    let lines: Vec<String> = runs.map(RunRecord::to_string).collect();
    lines.join("\n")
}

/// Short leases, and runs of 20 s.
fn one_long_run() -> Plan {
    Plan {
        has_short_leases: true,
        clocks: vec![(1_000, 0); WORKERS],
        takeover_ms: 1_000,
        runs: vec![(20_000, false)],
        lost_calls: vec![None],
        events: Vec::new(),
    }
}

/// Begins with a task that runs. Returns its worker, and another one.
fn with_long_task() -> (Simulation, usize, usize) {
    let mut simulation = Simulation::begin(&one_long_run());
    simulation.apply(&Event::Submit(SINGLE_TASK));
    simulation.advance(1_000);
    let worker = simulation.worker_of(JobId(1));
    (simulation, worker, (worker + 1) % WORKERS)
}

/// Guards against a task that runs twice on the two sides of a split network, where leases are
/// as short as the time for which an owner goes on without a confirmation.
#[test]
fn a_cut_off_owner_leaves_the_run_to_its_successor_that_reaches_the_worker() {
    let (mut simulation, worker, other) = with_long_task();

    simulation.apply(&Event::SetLink(NEWEST, worker, Link::Down));
    simulation.advance(1_000);
    simulation.apply(&Event::Split(NEWEST_OWNER, 1 << other));
    simulation.advance(7_000);
    simulation.run();

    assert_eq!(simulation.record.len(), 1, "{}", lines(&simulation));
}

/// Lets the first owner extend the lease of `worker` while it is cut off from the store, the
/// second one not reach that worker, and the third one reach it before the second one's
/// recovery ends, beside which the second one reaches only `other`.
fn change_owner_twice(simulation: &mut Simulation, worker: usize, other: usize) {
    simulation.apply(&Event::Split(NEWEST_OWNER, 1 << worker));
    simulation.advance(8_000);
    simulation.apply(&Event::Split(NEWEST_OWNER, 1 << other));
    simulation.advance(7_000);
    simulation.run();
}

/// Guards against a task that runs twice after two changes of owner: the second owner waited
/// out the leases of the first, while the third one had extended them already.
#[test]
fn a_cut_off_owner_does_not_end_its_recovery_beside_its_successor() {
    let (mut simulation, worker, other) = with_long_task();

    change_owner_twice(&mut simulation, worker, other);

    assert_eq!(simulation.record.len(), 1, "{}", lines(&simulation));
}

/// As above, for the runs that are stored of a worker that the first owner had closed.
#[test]
fn a_cut_off_owner_does_not_lose_the_runs_of_a_closed_worker_beside_its_successor() {
    let (mut simulation, worker, other) = with_long_task();

    simulation.apply(&Event::SetLink(NEWEST, worker, Link::Down));
    simulation.advance(2_000);
    change_owner_twice(&mut simulation, worker, other);

    assert_eq!(simulation.record.len(), 1, "{}", lines(&simulation));
}

/// Guards against a new job that runs twice: its owner was cut off and replaced, reached the
/// store again, and learned of the job before it learned of its successor, which took the job
/// for one that nobody else had started.
#[test]
fn an_owner_that_reaches_the_store_again_starts_no_new_job_before_it_confirms_its_epoch() {
    let mut simulation = Simulation::begin(&one_long_run());

    // The successor reaches only the worker that the first owner does not reach.
    simulation.apply(&Event::Split(NEWEST_OWNER, 0b110));
    simulation.advance(3_000);
    simulation.apply(&Event::Submit(SINGLE_TASK));
    simulation.advance(300);
    simulation.apply(&Event::Repair);
    simulation.run();

    assert_eq!(simulation.record.len(), 1, "{}", lines(&simulation));
}

fn run_of(step: u32, run: u64) -> RunName {
    let task = TaskId {
        job: JobId(1),
        occurrence: 0,
        step,
        index: 0,
    };
    RunName { task, run }
}

/// A run that ended, with an end that was acknowledged.
fn ended_run(name: RunName, started_ms: u64, ended_ms: u64, kind: EndKind) -> RunRecord {
    RunRecord {
        ended: Some((ended_ms, kind)),
        acknowledged: true,
        ..RunRecord::started(name, 0, started_ms)
    }
}

/// A job of two steps of one task each.
fn two_steps() -> Vec<(JobId, JobRecord)> {
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    vec![(JobId(1), record("plain", vec![step(1, 1), second]))]
}

#[test]
fn two_runs_at_once_are_found() {
    let (first, second) = (run_of(0, 1), run_of(0, 2));
    let runs = [
        ended_run(first, 0, 100, EndKind::LeaseExpired),
        RunRecord::started(second, 1, 99),
    ];

    let found = breaches(&two_steps(), &runs);

    assert_eq!(found, [Breach::TwiceAtOnce(second, first)]);
}

#[test]
fn a_start_after_an_acknowledged_end_is_found() {
    let (first, second) = (run_of(0, 1), run_of(0, 2));
    let done = ended_run(first, 0, 100, EndKind::Done);
    let again = RunRecord::started(second, 1, 200);

    let found = breaches(&two_steps(), &[done, again]);

    assert_eq!(found, [Breach::AfterDone(second, first)]);
    let unknown = RunRecord {
        acknowledged: false,
        ..done
    };
    assert_eq!(breaches(&two_steps(), &[unknown, again]), []);
    let expired = RunRecord {
        lease_expired_since: true,
        ..done
    };
    assert_eq!(breaches(&two_steps(), &[expired, again]), []);
}

#[test]
fn a_start_before_an_earlier_step_is_done_is_found() {
    let (first, second) = (run_of(0, 1), run_of(1, 1));
    let done = ended_run(first, 0, 100, EndKind::Done);

    let found = breaches(&two_steps(), &[done, RunRecord::started(second, 1, 99)]);

    assert_eq!(found, [Breach::BeforeStep(second, 0)]);
    let in_order = [done, RunRecord::started(second, 1, 100)];
    assert_eq!(breaches(&two_steps(), &in_order), []);
}

#[test]
fn a_start_after_the_last_attempt_is_found() {
    let mut runs: Vec<RunRecord> = (1..=MAX_ATTEMPTS as u64)
        .map(|run| ended_run(run_of(0, run), run * 100, run * 100 + 50, EndKind::Failed))
        .collect();
    assert_eq!(breaches(&two_steps(), &runs), []);
    let last = run_of(0, MAX_ATTEMPTS as u64 + 1);
    runs.push(RunRecord::started(last, 1, 1_000));

    let found = breaches(&two_steps(), &runs);

    assert_eq!(found, [Breach::AfterLastAttempt(last)]);
}
