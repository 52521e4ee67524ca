//! Measures one daemon on loopback with 50 stand-in workers of 8 slots.
//!
//! `cargo bench --bench path` prints lines `figure NAME VALUE`.

mod support;

use fuchsiaslip::client::Client;
use fuchsiaslip::core::parse_public_name;
use fuchsiaslip::standin::Platform;
use fuchsiaslip::timer::Timer;
use std::collections::HashMap;
use support::{
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    apply,
    client,
    daemon,
    figure,
    first_patch,
    fleet,
    loopback_bytes,
    percentile,
    rss_mb,
    thread_cpu_ms,
    urgent,
    warm_up, //
};

const DATA_CENTRE: &str = "zg-dubrava";
const WORKERS: usize = 50;
const STORE_DELAY_MS: u64 = 3;
const IDLE_MS: u64 = 20_000;
const STEADY_JOBS: usize = 400;
const STEADY_GAP_MS: u64 = 10;
const BURST_CALLERS: usize = 128;
const BURST_MS: u64 = 5_000;
const DAEMON_THREADS: [&str; 4] = ["control", "traffic", "timer", "http"];
const MS_PER_S: f64 = 1_000.0;

fn store_writes(platform: &Platform) -> u64 {
    platform.with_store(|store| store.calls.get("compare_and_swap").copied().unwrap_or(0))
}

/// Measures the control traffic and processor time of an idle daemon.
async fn idle(timer: &Timer) {
    let (bytes, cpu_ms) = (loopback_bytes(), thread_cpu_ms(&DAEMON_THREADS));
    timer.sleep(IDLE_MS).await;
    let seconds = IDLE_MS as f64 / MS_PER_S;
    let bytes = (loopback_bytes() - bytes) as f64 / seconds;
    let cpu_ms = (thread_cpu_ms(&DAEMON_THREADS) - cpu_ms) as f64;
    figure("control_bytes_per_s", bytes);
    figure("control_cpu_percent", 100.0 * cpu_ms / IDLE_MS as f64);
}

/// Measures the time from a caller's request to the start of its task, for urgent jobs
/// that arrive one after another.
async fn urgent_starts(caller: &Client, platform: &Platform, timer: &Timer) {
    let mut submissions = Vec::new();
    for index in 0..STEADY_JOBS {
        let caller = caller.clone();
        let requested_ms = timer.now_ms();
        submissions.push(actix_rt::spawn(async move {
            let key = format!("steady-{index}");
            let response = caller.submit(&key, &urgent(200, &key), 10_000).await;
            (
                requested_ms,
                response.ok().and_then(|response| response.job),
            )
        }));
        timer.sleep(STEADY_GAP_MS).await;
    }
    let mut requested: HashMap<u64, u64> = HashMap::new();
    for job in submissions {
        if let Ok((requested_ms, Some(name))) = job.await
            && let Some((_, id)) = parse_public_name(&name)
        {
            requested.insert(id.0, requested_ms);
        }
    }
    let mut waits_ms = Vec::new();
    platform.each_worker(|worker| {
        for run in &worker.runs {
            if let Some(requested_ms) = requested.get(&run.attempt.job.0) {
                waits_ms.push(run.started_ms.saturating_sub(*requested_ms));
            }
        }
    });
    assert_eq!(waits_ms.len(), STEADY_JOBS, "every urgent job starts once");
    figure("urgent_start_p50_ms", percentile(&waits_ms, 0.5));
    figure("urgent_start_p99_ms", percentile(&waits_ms, 0.99));
}

/// Measures the throughput and the store's writes under `BURST_CALLERS` callers, each of
/// which submits its next job as soon as the last one is answered.
async fn burst(caller: &Client, platform: &Platform, timer: &Timer) {
    let writes = store_writes(platform);
    let until_ms = timer.now_ms() + BURST_MS;
    let callers: Vec<_> = (0..BURST_CALLERS)
        .map(|index| {
            let (caller, timer) = (caller.clone(), timer.clone());
            actix_rt::spawn(async move {
                let mut answered = 0u64;
                while timer.now_ms() < until_ms {
                    let key = format!("burst-{index}-{answered}");
                    let response = caller.submit(&key, &urgent(1, &key), 10_000).await;
                    answered += u64::from(response.is_ok_and(|response| response.job.is_some()));
                }
                answered
            })
        })
        .collect();
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.unwrap_or(0);
    }
    let writes = store_writes(platform) - writes;
    figure(
        "answered_per_s",
        answered as f64 * MS_PER_S / BURST_MS as f64,
    );
    figure(
        "store_writes_per_100_jobs",
        writes as f64 * 100.0 / answered as f64,
    );
}

async fn run(timer: Timer) {
    let platform = Platform::spawn(timer.clone(), &[fleet(DATA_CENTRE, WORKERS)]).expect("a port");
    platform.with_store(|store| store.faults.delay_ms = STORE_DELAY_MS);
    let daemon = daemon("d1", DATA_CENTRE, &platform, &timer, |settings| {
        settings.http_threads = 2;
    });
    let operator = client(&daemon, OPERATOR_TOKEN, &timer);
    let caller = client(&daemon, CALLER_TOKEN, &timer);
    apply(&operator, &first_patch(&[DATA_CENTRE]), &timer).await;
    warm_up(&caller, &timer).await;
    idle(&timer).await;
    urgent_starts(&caller, &platform, &timer).await;
    burst(&caller, &platform, &timer).await;
    // An upper bound: this is the whole process, including stand-ins and callers.
    figure("daemon_rss_mb", rss_mb());
}

fn main() {
    let timer = Timer::spawn().expect("a thread");
    actix_rt::System::new().block_on(run(timer));
}
