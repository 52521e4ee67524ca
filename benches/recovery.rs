//! Measures many daemons under failures, on loopback with stand-ins.
//!
//! `cargo bench --bench recovery` prints lines `figure NAME VALUE`.

mod support;

use fuchsiaslip::daemon::{
    Daemon,
    Settings, //
};
use fuchsiaslip::standin::Platform;
use fuchsiaslip::timer::Timer;
use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::HashMap;
use std::rc::Rc;
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
    next_patch,
    percentile,
    thread_cpu_ms,
    urgent,
    warm_up, //
};

const DATA_CENTRE: &str = "dc0";
const MS_PER_S: f64 = 1_000.0;
const FAILOVERS: usize = 12;
const PATCHES: u64 = 40;
const DAEMONS_PER_DATA_CENTRE: usize = 9;
const SETTLE_MS: u64 = 4_000;
/// Duration of the control measurement. It is a multiple of both poll durations because all
/// polls start at the same time.
const CONTROL_MS: u64 = 50_000;
const POLL_MS: u64 = 10_000;
const LONG_POLL_MS: u64 = 25_000;
const DAEMON_THREADS: [&str; 4] = ["control", "traffic", "timer", "http"];

/// Returns when the first run after `since_ms` began, in ms.
fn first_start_after(platform: &Platform, since_ms: u64) -> Option<u64> {
    let mut first: Option<u64> = None;
    platform.each_worker(|worker| {
        let starts = worker.runs.iter().map(|run| run.started_ms);
        let earliest = starts.filter(|&at_ms| at_ms > since_ms).min();
        first = [first, earliest].into_iter().flatten().min();
    });
    first
}

/// Kills the owner under a steady flow of jobs and measures the time until a new owner
/// starts the first task.
async fn failover(timer: &Timer) {
    let platform = Platform::spawn(timer.clone(), &[fleet(DATA_CENTRE, 12)]).expect("a port");
    let mut daemons: Vec<Daemon> = Vec::new();
    let start = |index: usize| daemon(&format!("d{index}"), DATA_CENTRE, &platform, timer, |_| {});
    daemons.extend((0..3).map(start));
    apply(
        &client(&daemons[0], OPERATOR_TOKEN, timer),
        &first_patch(&[DATA_CENTRE]),
        timer,
    )
    .await;
    warm_up(&client(&daemons[0], CALLER_TOKEN, timer), timer).await;
    let (mut failover_ms, mut after_takeover_ms) = (Vec::new(), Vec::new());
    for round in 0..FAILOVERS {
        timer.sleep(SETTLE_MS).await;
        let Some(owner) = daemons.iter().position(Daemon::is_owner) else {
            continue;
        };
        let killed = daemons.remove(owner);
        // The killed daemon stays on the platform's list, since real lists are updated late.
        let killed_ms = timer.now_ms();
        killed.kill();
        let keep_submitting = Rc::new(Cell::new(true));
        for (index, survivor) in daemons.iter().enumerate() {
            let caller = client(survivor, CALLER_TOKEN, timer);
            let (timer, keep_submitting) = (timer.clone(), keep_submitting.clone());
            actix_rt::spawn(async move {
                let mut turn = 0;
                while keep_submitting.get() {
                    turn += 1;
                    let key = format!("failover-{round}-{index}-{turn}");
                    // A refusal while nobody owns the data centre is expected.
                    let _ = caller.submit(&key, &urgent(1, &key), 5_000).await;
                    timer.sleep(10).await;
                }
            });
        }
        let mut owned_ms = None;
        let started_ms = loop {
            timer.sleep(2).await;
            if owned_ms.is_none() && daemons.iter().any(Daemon::is_owner) {
                owned_ms = Some(timer.now_ms());
            }
            // Tasks whose start the killed owner had already sent begin within 100 ms.
            if let Some(at_ms) = first_start_after(&platform, killed_ms + 100) {
                break at_ms;
            }
            assert!(timer.now_ms() < killed_ms + 30_000, "no new owner in 30 s");
        };
        keep_submitting.set(false);
        failover_ms.push(started_ms - killed_ms);
        after_takeover_ms.push(started_ms.saturating_sub(owned_ms.unwrap_or(started_ms)));
        daemons.push(daemon(
            &format!("d{}", 10 + round),
            DATA_CENTRE,
            &platform,
            timer,
            |_| {},
        ));
    }
    figure("owner_failover_p50_ms", percentile(&failover_ms, 0.5));
    figure("owner_failover_p99_ms", percentile(&failover_ms, 0.99));
    figure(
        "owner_failover_after_lease_p99_ms",
        percentile(&after_takeover_ms, 0.99),
    );
    daemons.iter().for_each(Daemon::kill);
}

fn store_calls(platform: &Platform) -> u64 {
    platform.with_store(|store| store.calls.values().sum())
}

/// Submits patches one after another through different daemons and measures the time
/// from the acceptance of each until every daemon has its version in force.
async fn patches(data_centres: usize, relay: bool, timer: &Timer) {
    let names: Vec<String> = (0..data_centres)
        .map(|index| format!("dc{index}"))
        .collect();
    let fleets: Vec<_> = names.iter().map(|name| fleet(name, 2)).collect();
    let platform = Platform::spawn(timer.clone(), &fleets).expect("a port");
    let mut daemons = Vec::new();
    for name in &names {
        for index in 0..DAEMONS_PER_DATA_CENTRE {
            let daemon = daemon(
                &format!("{name}-{index}"),
                name,
                &platform,
                timer,
                |settings| {
                    settings.configuration_relay = relay;
                },
            );
            daemons.push(daemon);
        }
    }
    let data_centre_names: Vec<&str> = names.iter().map(String::as_str).collect();
    apply(
        &client(&daemons[0], OPERATOR_TOKEN, timer),
        &first_patch(&data_centre_names),
        timer,
    )
    .await;
    timer.sleep(SETTLE_MS * 2).await;
    let prefix = format!(
        "{}_{}",
        daemons.len(),
        if relay { "relay" } else { "watch" }
    );
    let (calls, bytes, since_ms) = (store_calls(&platform), loopback_bytes(), timer.now_ms());
    timer.sleep(SETTLE_MS * 2).await;
    let seconds = (timer.now_ms() - since_ms) as f64 / MS_PER_S;
    let idle = (store_calls(&platform) - calls) as f64 / seconds;
    figure(&format!("store_calls_per_s_idle_{prefix}"), idle);
    let bytes_per_daemon = (loopback_bytes() - bytes) as f64 / seconds / daemons.len() as f64;
    figure(
        &format!("idle_bytes_per_s_and_daemon_{prefix}"),
        bytes_per_daemon,
    );
    let (calls, since_ms) = (store_calls(&platform), timer.now_ms());
    let mut waits_ms = Vec::new();
    for base_version in 1..=PATCHES {
        let submitted_to = &daemons[base_version as usize * 7 % daemons.len()];
        let operator = client(submitted_to, OPERATOR_TOKEN, timer);
        apply(&operator, &next_patch(base_version), timer).await;
        let accepted_ms = timer.now_ms();
        while daemons
            .iter()
            .any(|d| d.configuration_version() <= base_version)
        {
            timer.sleep(1).await;
            assert!(
                timer.now_ms() < accepted_ms + 30_000,
                "a patch is not in force after 30 s"
            );
        }
        waits_ms.push(timer.now_ms() - accepted_ms);
    }
    let seconds = (timer.now_ms() - since_ms) as f64 / MS_PER_S;
    let patch_calls = store_calls(&platform) - calls;
    figure(
        &format!("patch_in_force_p50_ms_{prefix}"),
        percentile(&waits_ms, 0.5),
    );
    figure(
        &format!("patch_in_force_p99_ms_{prefix}"),
        percentile(&waits_ms, 0.99),
    );
    figure(
        &format!("store_calls_per_patch_{prefix}"),
        patch_calls as f64 / PATCHES as f64,
    );
    figure(
        &format!("store_calls_per_s_storm_{prefix}"),
        patch_calls as f64 / seconds,
    );
    daemons.iter().for_each(Daemon::kill);
    timer.sleep(500).await;
}

/// Measures the network traffic and the processor time of each of `count` idle daemons
/// that share `workers` workers.
async fn control(workers: usize, count: usize, poll_ms: u64, timer: &Timer) {
    let platform = Platform::spawn(timer.clone(), &[fleet(DATA_CENTRE, workers)]).expect("a port");
    let set_polling = |settings: &mut Settings| {
        settings.worker_poll_ms = poll_ms;
        settings.worker_lease_ms = poll_ms * 3;
    };
    let daemons: Vec<Daemon> = (0..count)
        .map(|index| {
            daemon(
                &format!("d{index}"),
                DATA_CENTRE,
                &platform,
                timer,
                set_polling,
            )
        })
        .collect();
    apply(
        &client(&daemons[0], OPERATOR_TOKEN, timer),
        &first_patch(&[DATA_CENTRE]),
        timer,
    )
    .await;
    warm_up(&client(&daemons[0], CALLER_TOKEN, timer), timer).await;
    timer.sleep(SETTLE_MS * 2).await;
    let (bytes, cpu_ms) = (loopback_bytes(), thread_cpu_ms(&DAEMON_THREADS));
    timer.sleep(CONTROL_MS).await;
    let bytes = (loopback_bytes() - bytes) as f64 * MS_PER_S / CONTROL_MS as f64;
    let cpu_ms = (thread_cpu_ms(&DAEMON_THREADS) - cpu_ms) as f64;
    let seconds = poll_ms / 1_000;
    let suffix = format!("{workers}_workers_{count}_daemons_poll_{seconds}s");
    figure(
        &format!("control_bytes_per_s_{suffix}"),
        bytes / count as f64,
    );
    let percent = 100.0 * cpu_ms / CONTROL_MS as f64 / count as f64;
    figure(&format!("control_cpu_percent_{suffix}"), percent);
    daemons.iter().for_each(Daemon::kill);
    timer.sleep(500).await;
}

/// Replaces every daemon under load by draining it, while callers use the daemons in
/// turn, as the load balancer would make them.
async fn rolling_replacement(timer: &Timer) {
    let platform = Platform::spawn(timer.clone(), &[fleet(DATA_CENTRE, 12)]).expect("a port");
    let start = |index: usize| daemon(&format!("d{index}"), DATA_CENTRE, &platform, timer, |_| {});
    let daemons: Rc<RefCell<Vec<Rc<Daemon>>>> = Rc::default();
    daemons
        .borrow_mut()
        .extend((0..3).map(|index| Rc::new(start(index))));
    let first = daemons.borrow()[0].clone();
    apply(
        &client(&first, OPERATOR_TOKEN, timer),
        &first_patch(&[DATA_CENTRE]),
        timer,
    )
    .await;
    warm_up(&client(&first, CALLER_TOKEN, timer), timer).await;
    let keep_submitting = Rc::new(Cell::new(true));
    let callers: Vec<_> = (0..16)
        .map(|index| {
            let (daemons, timer, keep_submitting) =
                (daemons.clone(), timer.clone(), keep_submitting.clone());
            actix_rt::spawn(
                async move { steady_caller(index, daemons, timer, keep_submitting).await },
            )
        })
        .collect();
    for round in 0..3 {
        timer.sleep(SETTLE_MS).await;
        let replacement = Rc::new(start(20 + round));
        timer.sleep(SETTLE_MS).await;
        let old = {
            let mut daemons = daemons.borrow_mut();
            daemons.push(replacement);
            daemons.remove(0)
        };
        old.drain();
        while !old.is_drained() {
            timer.sleep(20).await;
        }
        old.kill();
    }
    timer.sleep(SETTLE_MS).await;
    keep_submitting.set(false);
    let (mut answered, mut lost) = (0, 0);
    for caller in callers {
        let (ok, missing) = caller.await.unwrap_or((0, 1));
        answered += ok;
        lost += missing;
    }
    let mut runs_by_job: HashMap<u64, u32> = HashMap::new();
    platform.each_worker(|worker| {
        for run in &worker.runs {
            *runs_by_job.entry(run.attempt.job.0).or_default() += 1;
        }
    });
    let doubled = runs_by_job.values().filter(|&&runs| runs > 1).count();
    figure("rolling_replacement_answered", f64::from(answered));
    figure("rolling_replacement_lost", f64::from(lost));
    figure("rolling_replacement_doubled", doubled as f64);
    daemons.borrow().iter().for_each(|daemon| daemon.kill());
}

/// Submits jobs that run at most once, one after another. Returns how many were answered
/// and how many were lost: a job counts as lost if its key has no answer in 20 s.
async fn steady_caller(
    index: usize,
    daemons: Rc<RefCell<Vec<Rc<Daemon>>>>,
    timer: Timer,
    keep_submitting: Rc<Cell<bool>>,
) -> (u32, u32) {
    let (mut answered, mut lost, mut turn) = (0, 0, index);
    while keep_submitting.get() {
        let key = format!("rolling-{index}-{turn}");
        let until_ms = timer.now_ms() + 20_000;
        let mut name: Option<String> = None;
        loop {
            turn += 1;
            let daemon = {
                let daemons = daemons.borrow();
                daemons[turn % daemons.len()].clone()
            };
            let caller = client(&daemon, CALLER_TOKEN, &timer);
            let response = match &name {
                None => caller.submit(&key, &urgent(50, &key), 5_000).await,
                Some(name) => caller.answer(name, 5_000).await,
            };
            match response {
                Ok(response) if response.job.is_some() => {
                    answered += 1;
                    break;
                }
                Ok(response) => name = response.accepted().or(name),
                Err(_) => {}
            }
            if timer.now_ms() > until_ms {
                lost += 1;
                break;
            }
            timer.sleep(20).await;
        }
    }
    (answered, lost)
}

/// Measures for how long a worker under load still gets tasks after it reports that it
/// is leaving. The platform's list shows the departure only much later.
async fn leaving(timer: &Timer) {
    let platform = Platform::spawn(timer.clone(), &[fleet(DATA_CENTRE, 4)]).expect("a port");
    let owner = daemon("d0", DATA_CENTRE, &platform, timer, |_| {});
    apply(
        &client(&owner, OPERATOR_TOKEN, timer),
        &first_patch(&[DATA_CENTRE]),
        timer,
    )
    .await;
    let caller = client(&owner, CALLER_TOKEN, timer);
    warm_up(&caller, timer).await;
    let keep_submitting = Rc::new(Cell::new(true));
    for index in 0..32 {
        let (caller, keep_submitting) = (caller.clone(), keep_submitting.clone());
        actix_rt::spawn(async move {
            let mut turn = 0;
            while keep_submitting.get() {
                turn += 1;
                let key = format!("leaving-{index}-{turn}");
                let _ = caller.submit(&key, &urgent(20, &key), 5_000).await;
            }
        });
    }
    timer.sleep(2_000).await;
    let name = format!("{DATA_CENTRE}-w0000");
    let leaving_ms = timer.now_ms();
    platform.with_worker(&name, |worker| worker.set_leaving(true));
    timer.sleep(5_000).await;
    keep_submitting.set(false);
    let last_ms = platform
        .with_worker(&name, |worker| worker.last_start_ms)
        .flatten();
    let after_ms = last_ms.unwrap_or(leaving_ms).saturating_sub(leaving_ms);
    figure("leaving_target_last_start_ms", after_ms as f64);
    owner.kill();
}

fn main() {
    let timer = Timer::spawn().expect("a thread");
    let only = std::env::args()
        .skip(1)
        .find(|argument| !argument.starts_with('-'));
    let is_selected = |name: &str| only.as_deref().is_none_or(|only| only == name);
    actix_rt::System::new().block_on(async {
        if is_selected("failover") {
            failover(&timer).await;
        }
        if is_selected("leaving") {
            leaving(&timer).await;
        }
        if is_selected("rolling") {
            rolling_replacement(&timer).await;
        }
        if is_selected("control") {
            control(50, 1, POLL_MS, &timer).await;
            control(500, 9, POLL_MS, &timer).await;
            control(1_000, 9, POLL_MS, &timer).await;
            control(1_000, 9, LONG_POLL_MS, &timer).await;
        }
        if is_selected("patches") {
            for relay in [false, true] {
                patches(1, relay, &timer).await;
                patches(7, relay, &timer).await;
            }
        }
    });
}
