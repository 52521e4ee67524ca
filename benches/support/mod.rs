//! Helpers shared by the benches of running daemons.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each bench uses only some of the helpers"
)]

use fuchsiaslip::client::{
    Client,
    Submit, //
};
use fuchsiaslip::core::Adjacency;
use fuchsiaslip::daemon::{
    Daemon,
    Settings,
    token_digest, //
};
use fuchsiaslip::standin::{
    Fleet,
    Platform,
    TaskSpec, //
};
use fuchsiaslip::timer::Timer;

pub const OPERATOR_TOKEN: &str = "operator-token";
pub const CALLER_TOKEN: &str = "caller-token";

/// Prints one figure.
pub fn figure(name: &str, value: f64) {
    println!("figure {name} {value:.2}");
}

/// The value below which `share` of `values` lie.
pub fn percentile(values: &[u64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = ((sorted.len() as f64 - 1.0) * share).round() as usize;
    sorted.get(index).copied().unwrap_or(0) as f64
}

/// Workers of 8 accelerators in racks of 6.
pub fn fleet(data_centre: &str, workers: usize) -> Fleet {
    Fleet {
        data_centre: data_centre.to_owned(),
        workers,
        rack_size: 6,
        accelerators: 8,
    }
}

/// Starts a daemon with the settings that `change` adjusts, and registers it with
/// the platform.
pub fn daemon(
    name: &str,
    data_centre: &str,
    platform: &Platform,
    timer: &Timer,
    change: impl FnOnce(&mut Settings),
) -> Daemon {
    let text = format!(
        "daemon = \"{name}\"\ndata_centre = \"{data_centre}\"\n\
         http_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
         platform_address = \"{}\"\npeer_token = \"a-shared-peer-token\"\n\
         bootstrap_operator_sha256 = \"{}\"\nhttp_threads = 1\n",
        platform.address(),
        token_digest(OPERATOR_TOKEN)
    );
    let mut settings = Settings::parse(&text).expect("the settings are valid");
    change(&mut settings);
    let daemon = Daemon::spawn(settings, timer.clone()).expect("loopback ports are free");
    platform.add_daemon(name, data_centre, &daemon.peer_address.to_string());
    daemon
}

/// The first patch: one account in `data_centres`, with an urgent and an overnight
/// class.
pub fn first_patch(data_centres: &[&str]) -> String {
    format!(
        r#"
id = "first"
base_version = 0
[[operator]]
name = "operations"
token_sha256 = "{}"
[[class]]
name = "urgent"
completion_ms = 60000
urgent = true
reclaims = true
queue_limit = 100000
[[class]]
name = "overnight"
completion_ms = 3600000
reclaimable = true
[[account]]
name = "caller"
token_sha256 = "{}"
data_centres = {data_centres:?}
quota_accelerators = 100000
queue_limit = 100000
"#,
        token_digest(OPERATOR_TOKEN),
        token_digest(CALLER_TOKEN)
    )
}

/// A patch on top of version `base_version` that changes the weights.
pub fn next_patch(base_version: u64) -> String {
    let completion = 0.1 + (base_version % 9) as f64 / 10.0;
    format!(
        "id = \"patch-{base_version}\"\nbase_version = {base_version}\n\
         [weights]\ncompletion = {completion}\nfragmentation = 0.5\n"
    )
}

/// An urgent job of one accelerator.
pub fn urgent(run_ms: u64, marker: &str) -> Submit {
    let task = TaskSpec {
        run_ms,
        answer_bytes: 64,
        marker: marker.to_owned(),
        ..TaskSpec::default()
    };
    Submit {
        class: "urgent".to_owned(),
        accelerators_per_worker: 1,
        workers: 1,
        adjacency: Adjacency::Rack,
        idempotent: false,
        declared_run_ms: run_ms.max(1),
        payload: String::from_utf8(task.payload().to_vec()).expect("JSON is UTF-8"),
    }
}

/// A client of `daemon`.
pub fn client(daemon: &Daemon, token: &str, timer: &Timer) -> Client {
    Client::open(&daemon.http_address.to_string(), token, timer.clone())
}

/// Applies a patch, retrying until it is accepted.
pub async fn apply(client: &Client, patch: &str, timer: &Timer) {
    for _ in 0..400 {
        let applied = client.apply(patch).await;
        if applied.is_ok_and(|response| response.status.is_success()) {
            return;
        }
        timer.sleep(50).await;
    }
    panic!("the patch was not accepted within 20 s");
}

/// Submits jobs until one is served, so that the daemons are warmed up.
pub async fn warm_up(client: &Client, timer: &Timer) {
    for attempt in 0..400 {
        let submitted = client
            .submit(&format!("warm-{attempt}"), &urgent(1, "warm"), 5_000)
            .await;
        if submitted.is_ok_and(|response| response.job.is_some()) {
            return;
        }
        timer.sleep(50).await;
    }
    panic!("no job was served within 20 s");
}

/// Bytes that the loopback interface has received, including headers.
pub fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"));
    let received = line.and_then(|line| line.split_whitespace().nth(1));
    received.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}

/// CPU time used so far by the threads of this process whose name is in `names`,
/// in milliseconds.
pub fn thread_cpu_ms(names: &[&str]) -> u64 {
    /// `/proc` counts CPU time in ticks of 10 ms.
    const MS_PER_TICK: u64 = 10;
    let tasks = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    tasks
        .filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok())
        .filter_map(|stat| {
            let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
            let fields: Vec<&str> = rest.split_whitespace().collect();
            let ticks: u64 =
                fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
            names.contains(&name).then_some(ticks * MS_PER_TICK)
        })
        .sum()
}

/// Resident memory of this process in megabytes.
pub fn rss_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4_096.0 / 1_048_576.0
}
