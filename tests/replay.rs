//! Loads replayed in virtual time: what the order of waiting work is worth.

#[expect(dead_code, unused_imports, reason = "the benches use the rest")]
#[path = "support/replay.rs"]
mod replay;

use fuchsiaslip::scheduler::OrderingPolicy;
use replay::{
    Figures,
    LOADS,
    Load,
    replay, //
};

/// The bound of reclaiming on the third site.
const HEAVY_RECLAIM_MS: u64 = 3_400;
const SEEDS: [u64; 2] = [11, 22];
/// An account's guaranteed work has to begin within this time.
const RECLAIM_MS: u64 = 2_700;
/// The seeds of the bench. In the load that is emptied, on each, gangs wait and lent room is in use when a data
/// centre is emptied.
const FOUR_SEEDS: [u64; 4] = [11, 22, 33, 44];
/// Longest wait of guaranteed work beside an order, within `RECLAIM_MS`: 270 ms in
/// the replay, and 1,230 ms where room in the emptied data centre is taken back.
const GUARANTEED_WAIT_MS: u64 = 600;
const _: () = assert!(GUARANTEED_WAIT_MS < RECLAIM_MS);
/// Worth earned of owed with the room that is left: 0.944 in the replay, and 0.917
/// where room in the emptied data centre is taken back.
const EMPTIED_WORTH: f64 = 0.93;
/// A data centre is used this soon after it was given back: at once on these seeds,
/// and after 80 ms where the room is offered only when something else happens. On
/// other seeds headroom for urgent work may hold all of it for a while.
const USED_AGAIN_MS: u64 = 20;

fn load(name: &str) -> &'static Load {
    let found = LOADS.iter().find(|load| load.name == name);
    found.expect("a load of that name")
}

fn mean(name: &str, order: OrderingPolicy, of: fn(&Figures) -> f64) -> f64 {
    let figures = SEEDS.map(|seed| of(&replay(load(name), order, seed)));
    figures.iter().sum::<f64>() / figures.len() as f64
}

#[test]
fn no_load_makes_a_task_run_twice_or_repeats_with_other_figures() {
    for load in &LOADS {
        let first = replay(load, OrderingPolicy::Utility, SEEDS[0]);
        assert_eq!(first.twice, 0, "{}", load.name);
    }
    let again = |_| format!("{:?}", replay(&LOADS[1], OrderingPolicy::Utility, SEEDS[0]));
    assert_eq!(again(1), again(2));
}

/// Urgent jobs in a burst of 2.6 times their rate wait behind large ones under
/// the baselines: the worst seconds earn two thirds of what they owe.
#[test]
fn a_burst_of_urgent_work_earns_more_than_under_the_baselines() {
    let worst = |order| mean("burst_urgent", order, |run| run.worst_windows);
    let product = worst(OrderingPolicy::Utility);

    assert!(
        product > worst(OrderingPolicy::FirstComeFirstServed),
        "{product}"
    );
    assert!(product > worst(OrderingPolicy::ShortestFirst), "{product}");
}

#[test]
fn urgent_work_begins_in_time_in_a_burst() {
    for seed in SEEDS {
        let run = replay(load("burst_urgent"), OrderingPolicy::Utility, seed);
        assert!(run.reclaim_p99_ms <= RECLAIM_MS, "seed {seed}: {run:?}");
    }
}

#[test]
fn urgent_work_beside_a_full_fleet_begins_within_the_plans_time() {
    // Urgent gangs that want one rack waited 2.6 s for it beside room on other racks,
    // though they were late in any case: 2,382 ms at p99, where the plan asks that
    // urgent work starts within 1.5 s.
    const PLANNED_MS: u64 = 1_500;
    let runs = FOUR_SEEDS.map(|seed| replay(load("full"), OrderingPolicy::Utility, seed));

    let sum_ms: u64 = runs.iter().map(|run| run.reclaim_p99_ms).sum();
    let mean_ms = sum_ms / runs.len() as u64;
    assert!(mean_ms <= PLANNED_MS, "{mean_ms} ms");
}

#[test]
fn a_data_centre_emptied_in_a_burst_gets_nothing_and_is_used_again_at_once() {
    // Operators empty one of three data centres for 8 s in the burst of urgent
    // work, when gangs wait for most while lent room is in use. What is not
    // started there has to find room elsewhere, guaranteed work first.
    for seed in FOUR_SEEDS {
        let run = replay(load("emptied"), OrderingPolicy::Utility, seed);

        let order = run.order.expect("a moment with waiting gangs");
        assert!(order.moment.waiting_gang_accelerators > 0, "{order:?}");
        assert!(order.moment.lent_accelerators > 0, "{order:?}");
        assert_eq!(order.starts, 0, "seed {seed}: {order:?}");
        let used_again = order.used_again_ms;
        assert!(
            used_again.is_some_and(|after_ms| after_ms <= USED_AGAIN_MS),
            "seed {seed}: {order:?}"
        );
    }
}

#[test]
fn guarantees_and_worth_hold_with_the_room_that_an_order_leaves() {
    // The same order. Room that is counted though it may not be used, or taken
    // back where it is of no use, makes guaranteed work wait and throws work away.
    let runs = FOUR_SEEDS.map(|seed| replay(load("emptied"), OrderingPolicy::Utility, seed));

    for (seed, run) in FOUR_SEEDS.iter().zip(&runs) {
        let wait_ms = run.guaranteed_wait_ms;
        assert!(wait_ms <= GUARANTEED_WAIT_MS, "seed {seed}: {run:?}");
    }
    let worth = runs.iter().map(|run| run.worth).sum::<f64>() / runs.len() as f64;
    assert!(worth >= EMPTIED_WORTH, "{worth}");
}

/// A load of heavy tasks, workers at three speeds and slow stops, on all seeds.
fn heavy(name: &str) -> [Figures; 4] {
    FOUR_SEEDS.map(|seed| replay(load(name), OrderingPolicy::Utility, seed))
}

fn mean_of(runs: &[Figures], of: fn(&Figures) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

#[test]
fn urgent_work_is_on_time_where_stops_take_most_of_its_slack() {
    // Urgent jobs come at 2.6 times their rate, with a second to spare; a stop takes
    // 0.7 s of it. Without room left free for them by patient work they are late.
    /// 0.851 in the replay, 0.794 without headroom, 0.653 first come first served.
    const WORTH: f64 = 0.83;
    /// 2,024 in the replay, 3,141 where urgent work takes room back at any price.
    const THROWN_AWAY_CORE_S: f64 = 2_600.0;

    let runs = heavy("heavy_burst_urgent");

    let worth = mean_of(&runs, |run| run.worth);
    assert!(worth >= WORTH, "{worth}");
    let thrown_away = mean_of(&runs, |run| run.thrown_away_core_s);
    assert!(thrown_away <= THROWN_AWAY_CORE_S, "{thrown_away}");
    for run in &runs {
        assert!(run.guaranteed_wait_ms <= HEAVY_RECLAIM_MS, "{run:?}");
    }
}

#[test]
fn work_in_a_hurry_goes_to_fast_workers_and_takes_room_back_where_that_earns_more() {
    // A third of the workers take 1.56 times as long as another third and do not say
    // so: urgent work that begins at once is late on a slow one.
    /// 0.930 in the replay, 0.905 where only guaranteed work takes room back, 0.917
    /// where speeds are not learned.
    const WORTH: f64 = 0.92;
    /// 0.651 in the replay, 0.603 where speeds are not learned.
    const WORST_WINDOWS: f64 = 0.63;

    let runs = heavy("heavy_full");

    let worth = mean_of(&runs, |run| run.worth);
    assert!(worth >= WORTH, "{worth}");
    let windows = mean_of(&runs, |run| run.worst_windows);
    assert!(windows >= WORST_WINDOWS, "{windows}");
    for run in &runs {
        assert!(run.guaranteed_wait_ms <= HEAVY_RECLAIM_MS, "{run:?}");
    }
}

#[test]
fn heavy_work_leaves_workers_that_fail_or_stand_still() {
    // A tenth of the workers fail what they get, others stand still, for 11 s: one that
    // fails at once looks empty and draws the next gang.
    /// 0.565 in the replay, 0.486 without quarantine.
    const WORST_WINDOWS: f64 = 0.53;

    let runs = heavy("heavy_bad_workers");

    let windows = mean_of(&runs, |run| run.worst_windows);
    assert!(windows >= WORST_WINDOWS, "{windows}");
    assert!(runs.iter().all(|run| run.twice == 0));
}

#[test]
fn what_was_accepted_goes_on_starting_while_the_store_is_silent() {
    // The store answers nothing for 4.2 s. Jobs cannot be accepted meanwhile, but those
    // that were wait for room, not for the store.
    let runs = heavy("heavy_store_silent");

    let starts = runs.each_ref().map(|run| run.starts_in_silence);
    assert!(starts.iter().sum::<usize>() > 0, "{starts:?}");
    for run in &runs {
        assert_eq!(run.twice, 0);
        assert!(run.guaranteed_wait_ms <= HEAVY_RECLAIM_MS, "{run:?}");
    }
}
