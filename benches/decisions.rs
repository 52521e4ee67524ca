//! Compares the decision core with a naive scheduler in virtual time, and measures
//! the time and memory of decisions by the size of the fleet.
//!
//! `cargo bench --bench decisions` prints lines `figure NAME VALUE`.

#[path = "../tests/support/driver.rs"]
mod driver;
#[path = "../tests/support/mixes.rs"]
mod mixes;
#[path = "../tests/support/naive.rs"]
mod naive;

use driver::{
    Driver,
    Figures,
    Mix,
    percentile, //
};
use mixes::Deployment;
use naive::Naive;

const SEED: u64 = 20_261_202;
/// Numbers of workers.
const SIZES: [usize; 3] = [730, 2_300, 7_300];
const NS_PER_US: f64 = 1_000.0;
const MS_PER_S: f64 = 1_000.0;

fn figure(name: &str, value: f64) {
    println!("figure {name} {value:.2}");
}

fn report(prefix: &str, figures: &Figures) {
    let wait = percentile(&figures.large_gang_waits_ms, 0.99) as f64 / MS_PER_S;
    figure(&format!("{prefix}.met_percent"), figures.met_percent());
    figure(
        &format!("{prefix}.fragmentation_percent"),
        figures.fragmentation_percent(),
    );
    figure(&format!("{prefix}.large_gang_wait_p99_s"), wait);
    figure(
        &format!("{prefix}.utilisation_percent"),
        figures.utilisation_percent(),
    );
}

fn run_mix(mix: &Mix) -> Figures {
    let mut driver = Driver::new(mix);
    driver.run_until(mix.end_ms);
    driver.finish()
}

/// Resident memory of this process in megabytes.
fn rss_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0.0);
    pages * 4_096.0 / 1_048_576.0
}

/// Runs the mixes whose name contains `only` and reports their figures.
///
/// The mixes share no state and their figures are in virtual time, so they run in
/// parallel.
fn mixes(only: Option<&str>, detailed: bool) {
    let mut mixes: Vec<Mix> = Deployment::ALL
        .into_iter()
        .flat_map(|deployment| mixes::NAMES.map(|name| mixes::mix(deployment, name, SEED)))
        .collect();
    mixes.retain(|mix| only.is_none_or(|only| mix.name.contains(only)));
    let results: Vec<(Figures, Figures)> = std::thread::scope(|scope| {
        let threads: Vec<_> = mixes
            .iter()
            .map(|mix| scope.spawn(|| (run_mix(mix), Naive::run(mix))))
            .collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results.map(|result| result.expect("a mix runs")).collect()
    });
    let (mut reclaims, mut failures) = (Vec::new(), 0);
    for (mix, (figures, naive)) in mixes.iter().zip(&results) {
        report(&mix.name, figures);
        report(&format!("{}.naive", mix.name), naive);
        if detailed {
            println!("  by class {:?}", figures.met_by_class);
            println!("  naive    {:?}", naive.met_by_class);
            println!(
                "  refused  {:?}, preempted {}",
                figures.refused, figures.preempted
            );
        }
        reclaims.extend(&figures.reclaim_ms);
        failures += figures.reclaim_failures;
    }
    figure(
        "reclaim_p99_s",
        percentile(&reclaims, 0.99) as f64 / MS_PER_S,
    );
    figure(
        "reclaim_max_s",
        percentile(&reclaims, 1.0) as f64 / MS_PER_S,
    );
    figure("reclaim_failures", failures as f64);
}

/// Reports the decision times and the memory of the core for each size.
fn sizes() {
    for workers in SIZES {
        let mix = mixes::sized(workers, SEED);
        let before_mb = rss_mb();
        let mut driver = Driver::new(&mix);
        // Decisions while the fleet fills up are not measured.
        driver.run_until(workers as u64 * 4 + 30_000);
        let core_mb = rss_mb() - before_mb;
        let running = driver
            .cell
            .jobs()
            .filter(|(_, job)| !job.members.is_empty());
        let tasks: usize = running.map(|(_, job)| job.members.len()).sum();
        driver.figures.decision_ns.clear();
        driver.run_until(mix.end_ms);
        let decisions = driver.figures.decision_ns.clone();
        let us = |share| percentile(&decisions, share) as f64 / NS_PER_US;
        figure(&format!("size.{workers}.running_tasks"), tasks as f64);
        figure(&format!("size.{workers}.decision_p50_us"), us(0.5));
        figure(&format!("size.{workers}.decision_p99_us"), us(0.99));
        figure(&format!("size.{workers}.decision_max_us"), us(1.0));
        figure(&format!("size.{workers}.core_rss_mb"), core_mb);
    }
}

fn main() {
    let only = std::env::args()
        .skip(1)
        .find(|argument| !argument.starts_with('-'));
    let detailed = std::env::args().any(|argument| argument == "--detail");
    // The sizes run first, because they measure memory that the mixes would
    // already have allocated.
    if only.is_none() || only.as_deref() == Some("size") {
        sizes();
    }
    if only.as_deref() != Some("size") {
        mixes(only.as_deref(), detailed);
    }
}
