//! Replays loads in virtual time under the three ordering policies and prints figures,
//! which are the same in every run. `cargo bench --bench replay -- burst` replays only the
//! loads whose names contain that word.

#[expect(
    dead_code,
    unused_imports,
    reason = "the bench of passes uses the rest"
)]
#[path = "../tests/support/replay.rs"]
mod replay;

use fuchsiaslip::scheduler::OrderingPolicy;
use replay::{
    Figures,
    LOADS,
    OrderFigures,
    replay, //
};

const SEEDS: [u64; 4] = [11, 22, 33, 44];

/// Prints the figures of the operators' order, if the replays had one.
fn print_order(name: &str, runs: &[Figures]) {
    let orders: Vec<&OrderFigures> = runs.iter().filter_map(|run| run.order.as_ref()).collect();
    if orders.is_empty() {
        return;
    }
    let moments = || orders.iter().map(|order| order.moment);
    let gangs = moments().map(|moment| moment.waiting_gang_accelerators);
    let lent = moments().map(|moment| moment.lent_accelerators);
    let starts: usize = orders.iter().map(|order| order.starts).sum();
    let latest_start_ms = orders
        .iter()
        .filter_map(|order| order.latest_start_ms)
        .max();
    let used_again: Option<Vec<u64>> = orders.iter().map(|order| order.used_again_ms).collect();
    let used_again_ms = used_again.and_then(|times_ms| times_ms.into_iter().max());
    let wait_ms = runs.iter().map(|run| run.guaranteed_wait_ms).max();
    let figure = |what: &str, value: &str| println!("figure {name}_{what} {value}");
    let number = |value: Option<u64>, missing: &str| {
        value.map_or_else(|| missing.to_owned(), |value| value.to_string())
    };
    figure("orders", &orders.len().to_string());
    figure(
        "least_waiting_gang_accelerators",
        &number(gangs.min().map(u64::from), "none"),
    );
    figure(
        "least_lent_accelerators",
        &number(lent.min().map(u64::from), "none"),
    );
    figure("starts_after_order", &starts.to_string());
    figure(
        "latest_start_after_order_ms",
        &number(latest_start_ms, "none"),
    );
    figure(
        "longest_until_used_again_ms",
        &number(used_again_ms, "never"),
    );
    figure("longest_guaranteed_wait_ms", &number(wait_ms, "none"));
}

fn main() {
    let only = std::env::args().skip(1).find(|word| !word.starts_with('-'));
    let chosen = LOADS
        .iter()
        .filter(|load| only.as_ref().is_none_or(|only| load.name.contains(only)));
    for load in chosen {
        for (name, policy) in [
            ("worth", OrderingPolicy::Utility),
            ("first_come", OrderingPolicy::FirstComeFirstServed),
            ("shortest", OrderingPolicy::ShortestFirst),
        ] {
            let runs: Vec<Figures> = SEEDS
                .iter()
                .map(|&seed| replay(load, policy, seed))
                .collect();
            let mean =
                |of: fn(&Figures) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
            let figure = |what: &str, value: f64| {
                println!("figure {}_{name}_{what} {value:.3}", load.name);
            };
            figure("jobs", mean(|run| run.jobs as f64));
            figure("worth", mean(|run| run.utility));
            figure("on_time", mean(|run| run.on_time));
            figure("late", mean(|run| run.late));
            figure("worst_windows", mean(|run| run.worst_windows));
            figure("worst_account", mean(|run| run.worst_account));
            figure("worst_class", mean(|run| run.worst_class));
            figure("largest_tenth", mean(|run| run.largest_tenth));
            figure("thrown_away_core_s", mean(|run| run.thrown_away_core_s));
            figure("reclaim_p99_ms", mean(|run| run.reclaim_p99_ms as f64));
            figure("twice", mean(|run| run.double_runs as f64));
            print_order(&format!("{}_{name}", load.name), &runs);
        }
    }
}
