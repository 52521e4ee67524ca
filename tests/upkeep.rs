//! Tests of the upkeep of machines in waves: caps, time limits and long-running tasks.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    Input,
    StepSpec,
    WaveOrder, //
};

/// Time after which a new owner may order upkeeps.
const SETTLED_MS: u64 = 4_000;
const STEP_MS: u64 = 10;

fn fleet_with_machines(count: usize) -> Fleet {
    let mut fleet = Fleet::with_workers(count);
    fleet.give_machines();
    fleet.advance(SETTLED_MS);
    fleet
}

fn wave(machines: &[&str], duration_ms: u64, cap: u32) -> Input {
    Input::UpkeepWave(WaveOrder {
        number: 1,
        machines: machines.iter().map(|name| (*name).to_owned()).collect(),
        duration_ms,
        cap,
    })
}

/// Whether the wave was stored with this state.
fn is_stored(fleet: &Fleet, completed: bool) -> bool {
    let action = Action::StoreWaveState { wave: 1, completed };
    fleet.actions.contains(&action)
}

/// Advances until the wave is stored as completed, but at most by `most_ms`. Returns the
/// largest number of machines that were down at a time.
fn advance_until_completed(fleet: &mut Fleet, most_ms: u64) -> usize {
    let until_ms = fleet.now_ms + most_ms;
    let mut most_down = 0;
    while fleet.now_ms < until_ms && !is_stored(fleet, true) {
        fleet.advance(STEP_MS);
        most_down = most_down.max(fleet.down_machines());
        // A run without progress would be stopped as hanging.
        let runs = fleet
            .workers
            .values_mut()
            .flat_map(|fake| fake.running.values_mut());
        runs.for_each(|percent| *percent = (*percent + 1) % 97);
    }
    most_down
}

#[test]
fn a_wave_takes_empty_machines_first_and_waits_for_runs() {
    let mut fleet = fleet_with_machines(3);
    let job = fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(50);
    let busy = format!("m-{}", fleet.running()[0].0);
    fleet.send_input(wave(&["m-w0", "m-w1", "m-w2"], 60_000, 1));

    let most_down = advance_until_completed(&mut fleet, 12_000);

    assert_eq!(most_down, 1);
    assert!(is_stored(&fleet, false), "the wave is not stored as open");
    assert!(
        !is_stored(&fleet, true),
        "the wave was completed while a machine was busy"
    );
    assert_eq!(fleet.upkeeps.len(), 2);
    assert!(fleet.upkeeps.iter().all(|(machine, _)| *machine != busy));

    fleet.end_all(job, fuchsiaslip::scheduler::EndKind::Done);
    advance_until_completed(&mut fleet, 6_000);
    assert!(is_stored(&fleet, true));
    assert_eq!(
        fleet.upkeeps.len(),
        3,
        "not each machine had its upkeep exactly once"
    );
    assert_eq!(fleet.starts.len(), 1, "a run was lost and started again");
}

#[test]
fn a_wave_that_would_be_late_ends_runs() {
    let mut fleet = fleet_with_machines(1);
    fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(50);
    fleet.send_input(wave(&["m-w0"], 8_000, 1));

    advance_until_completed(&mut fleet, 9_000);

    assert!(
        is_stored(&fleet, true),
        "the wave was not completed in time"
    );
}

#[test]
fn no_more_machines_than_the_cap_are_down_or_may_be_down() {
    let mut fleet = fleet_with_machines(4);
    fleet.upkeep_answers = false;
    fleet.send_input(wave(&["m-w0", "m-w1", "m-w2", "m-w3"], 60_000, 2));

    fleet.advance(5_000);
    assert_eq!(
        fleet.upkeeps.len(),
        2,
        "the number of orders does not match the cap of two"
    );

    fleet.upkeep_answers = true;
    let most_down = advance_until_completed(&mut fleet, 20_000);
    assert!(most_down <= 2);
    assert!(is_stored(&fleet, true));
    assert_eq!(fleet.upkeeps.len(), 4);
}

#[test]
fn long_running_tasks_move_off_within_their_bound() {
    let mut fleet = fleet_with_machines(3);
    let long_running_step = StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        ..step(4, 2)
    };
    let job = fleet.submit(1, record("plain", vec![long_running_step]));
    fleet.advance(500);
    let at_work = |fleet: &mut Fleet| {
        for fake in fleet.workers.values_mut() {
            fake.running.values_mut().for_each(|percent| *percent = 100);
        }
    };
    at_work(&mut fleet);
    fleet.advance(500);
    let host = format!("m-{}", fleet.running()[0].0);
    fleet.send_input(wave(&[&host], 3_000, 1));

    let mut fewest = 4;
    for _ in 0..1_200 {
        // Moved tasks complete their starts after a while.
        fleet.advance(STEP_MS);
        if fleet.now_ms.is_multiple_of(300) {
            at_work(&mut fleet);
        }
        fewest = fewest.min(fleet.running().len());
    }

    assert!(is_stored(&fleet, true));
    assert!(fewest >= 3, "only {fewest} of 4 tasks were running");
    assert_eq!(fleet.running().len(), 4);
    assert!(fleet.running().iter().all(|(_, run)| run.task.job == job));
}

/// Guards against a new owner that begins a half-done wave again: machines would have their
/// upkeep twice, or a finished upkeep would not be counted.
#[test]
fn a_new_owner_continues_a_wave() {
    let mut fleet = fleet_with_machines(2);
    fleet.send_input(wave(&["m-w0", "m-w1"], 60_000, 1));
    while fleet.upkeeps.is_empty() {
        fleet.advance(STEP_MS);
    }
    let jobs: [(JobId, fuchsiaslip::scheduler::JobRecord); 0] = [];
    let mut next = fleet.next_owner(2, &jobs, true);
    next.machines = fleet.machines.clone();
    next.send_input(wave(&["m-w0", "m-w1"], 60_000, 1));

    next.advance(2_500);
    assert!(
        next.upkeeps.is_empty(),
        "an upkeep was ordered while the earlier owner may still send orders"
    );

    let most_down = advance_until_completed(&mut next, 20_000);
    assert!(most_down <= 1);
    assert!(is_stored(&next, true));
    assert_eq!(
        next.upkeeps.len(),
        1,
        "not exactly the remaining machine had its upkeep"
    );
}
