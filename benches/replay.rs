//! Loads replayed in virtual time under three rules of order; the same figures
//! on each run. `cargo bench --bench replay -- burst` replays loads whose names
//! hold that word.

#[path = "../tests/support/replay.rs"]
mod replay;

use fuchsiaslip::scheduler::OrderRule;
use replay::{
    Figures,
    LOADS,
    replay, //
};

const SEEDS: [u64; 4] = [11, 22, 33, 44];

fn main() {
    let only = std::env::args().skip(1).find(|word| !word.starts_with('-'));
    let chosen = LOADS
        .iter()
        .filter(|load| only.as_ref().is_none_or(|only| load.name.contains(only)));
    for load in chosen {
        for (name, order) in [
            ("worth", OrderRule::Worth),
            ("first_come", OrderRule::FirstCome),
            ("shortest", OrderRule::Shortest),
        ] {
            let runs: Vec<Figures> = SEEDS
                .iter()
                .map(|&seed| replay(load, order, seed))
                .collect();
            let mean =
                |of: fn(&Figures) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
            let figure = |what: &str, value: f64| {
                println!("figure {}_{name}_{what} {value:.3}", load.name);
            };
            figure("jobs", mean(|run| run.jobs as f64));
            figure("worth", mean(|run| run.worth));
            figure("on_time", mean(|run| run.on_time));
            figure("late", mean(|run| run.late));
            figure("worst_windows", mean(|run| run.worst_windows));
            figure("worst_account", mean(|run| run.worst_account));
            figure("worst_class", mean(|run| run.worst_class));
            figure("largest_tenth", mean(|run| run.largest_tenth));
            figure("thrown_away_core_s", mean(|run| run.thrown_away_core_s));
            figure("reclaim_p99_ms", mean(|run| run.reclaim_p99_ms as f64));
            figure("twice", mean(|run| run.twice as f64));
        }
    }
}
