//! Loads replayed in virtual time: what the order of waiting work is worth.

#[expect(dead_code, reason = "the bench prints the rest")]
#[path = "support/replay.rs"]
mod replay;

use fuchsiaslip::scheduler::OrderRule;
use replay::{
    Figures,
    LOADS,
    Load,
    replay, //
};

const SEEDS: [u64; 2] = [11, 22];
/// An account's guaranteed work has to begin within this time.
const RECLAIM_MS: u64 = 2_700;

fn load(name: &str) -> &'static Load {
    let found = LOADS.iter().find(|load| load.name == name);
    found.expect("a load of that name")
}

fn mean(name: &str, order: OrderRule, of: fn(&Figures) -> f64) -> f64 {
    let figures = SEEDS.map(|seed| of(&replay(load(name), order, seed)));
    figures.iter().sum::<f64>() / figures.len() as f64
}

#[test]
fn no_load_makes_a_task_run_twice_or_repeats_with_other_figures() {
    for load in &LOADS {
        let first = replay(load, OrderRule::Worth, SEEDS[0]);
        assert_eq!(first.twice, 0, "{}", load.name);
    }
    let again = |_| format!("{:?}", replay(&LOADS[1], OrderRule::Worth, SEEDS[0]));
    assert_eq!(again(1), again(2));
}

/// Urgent jobs in a burst of 2.6 times their rate wait behind large ones under
/// the baselines: the worst seconds earn two thirds of what they owe.
#[test]
fn a_burst_of_urgent_work_earns_more_than_under_the_baselines() {
    let worst = |order| mean("burst_urgent", order, |run| run.worst_windows);
    let product = worst(OrderRule::Worth);

    assert!(product > worst(OrderRule::FirstCome), "{product}");
    assert!(product > worst(OrderRule::Shortest), "{product}");
}

#[test]
fn urgent_work_begins_in_time_in_a_burst() {
    for seed in SEEDS {
        let run = replay(load("burst_urgent"), OrderRule::Worth, seed);
        assert!(run.reclaim_p99_ms <= RECLAIM_MS, "seed {seed}: {run:?}");
    }
}
