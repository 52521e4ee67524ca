//! Measures the time of the scheduler's decisions with a full queue, by the size of the
//! fleet: the first deployments at their larger sizes, and the planned 7,300 workers.
//! `cargo bench --bench passes -- 350` measures only the sizes whose number contains 350.

#[expect(
    dead_code,
    unused_imports,
    reason = "the bench of replays uses the rest"
)]
#[path = "../tests/support/replay.rs"]
mod replay;

use replay::{
    SIZES,
    decision_times,
    overload, //
};
use std::time::Duration;

const SEED: u64 = 11;
/// Length of the replay. Decisions are measured in its second half, when the queue is
/// full.
const UNTIL_MS: u64 = 12_000;

fn main() {
    let only = std::env::args().skip(1).find(|word| !word.starts_with('-'));
    for site in &SIZES {
        let workers = site.workers;
        let name = workers.to_string();
        if only.as_ref().is_some_and(|only| !name.contains(only)) {
            continue;
        }
        let mut times = decision_times(&overload(site), SEED, UNTIL_MS);
        times.took.sort_unstable();
        let at = |share: f64| {
            let index = (times.took.len() as f64 * share) as usize;
            times.took[index.min(times.took.len() - 1)].as_micros()
        };
        let total: Duration = times.took.iter().sum();
        let virtual_s = (UNTIL_MS / 2) as f64 / 1_000.0;
        println!("figure waiting_tasks_{workers} {}", times.waiting);
        println!("figure decision_p50_us_{workers} {}", at(0.5));
        println!("figure decision_p99_us_{workers} {}", at(0.99));
        println!("figure decision_longest_us_{workers} {}", at(1.0));
        println!(
            "figure busy_ms_a_second_{workers} {:.1}",
            total.as_secs_f64() * 1_000.0 / virtual_s
        );
    }
}
