//! Fixtures for the integration tests.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses some of the fixtures, and none uses all"
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
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

pub const OPERATOR_TOKEN: &str = "operator-token";
pub const JADRAN_TOKEN: &str = "jadran-token";
pub const RIJEKA_TOKEN: &str = "rijeka-token";
pub const DATA_CENTRE: &str = "zg-dubrava";

/// Starts a stand-in platform with `workers` workers of 8 accelerators each.
pub fn platform(timer: &Timer, workers: usize) -> Platform {
    let fleet = Fleet {
        data_centre: DATA_CENTRE.to_owned(),
        workers,
        rack_size: 6,
        accelerators: 8,
    };
    Platform::spawn(timer.clone(), &[fleet]).expect("a loopback port is free")
}

/// Settings of a daemon on free ports.
pub fn settings(name: &str, platform: &Platform) -> Settings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let text = settings_text(name, platform, any, any);
    Settings::parse(&text).expect("the settings are right")
}

/// The settings file of a daemon with an address for callers and one for peers.
pub fn settings_text(
    name: &str,
    platform: &Platform,
    http: SocketAddr,
    peer: SocketAddr,
) -> String {
    format!(
        r#"
daemon = "{name}"
data_centre = "{DATA_CENTRE}"
http_address = "{http}"
peer_address = "{peer}"
platform_address = "{}"
peer_token = "a-shared-peer-token"
bootstrap_operator_sha256 = "{}"
worker_lease_ms = 4000
worker_poll_ms = 1000
list_ms = 500
"#,
        platform.address(),
        token_digest(OPERATOR_TOKEN)
    )
}

/// Starts a daemon and adds it to the platform's list.
pub fn daemon(name: &str, platform: &Platform, timer: &Timer) -> Daemon {
    let daemon = Daemon::spawn(settings(name, platform), timer.clone()).expect("ports are free");
    platform.add_daemon(name, DATA_CENTRE, &daemon.peer_address.to_string());
    daemon
}

/// A patch that declares two accounts and three classes.
pub fn first_patch() -> String {
    format!(
        r#"
id = "first"
base_version = 0

[[operator]]
name = "operations"
token_sha256 = "{operator}"

[[class]]
name = "urgent"
completion_ms = 5000
urgent = true
reclaims = true

[[class]]
name = "standard"
completion_ms = 60000
reclaims = true

[[class]]
name = "overnight"
completion_ms = 3600000
reclaimable = true
grace_ms = 400

[[account]]
name = "jadran"
token_sha256 = "{jadran}"
data_centres = ["{DATA_CENTRE}"]
quota_accelerators = 400

[[account.guarantees]]
data_centre = "{DATA_CENTRE}"
accelerators_per_worker = 8
workers = 2
adjacency = "rack"

[[account]]
name = "rijeka"
token_sha256 = "{rijeka}"
data_centres = ["{DATA_CENTRE}"]
quota_accelerators = 400
"#,
        operator = token_digest(OPERATOR_TOKEN),
        jadran = token_digest(JADRAN_TOKEN),
        rijeka = token_digest(RIJEKA_TOKEN),
    )
}

/// A client of `daemon`.
pub fn client(daemon: &Daemon, token: &str, timer: &Timer) -> Client {
    Client::open(&daemon.http_address.to_string(), token, timer.clone())
}

/// Returns a job of `class` that runs `task` on one accelerator of one worker.
pub fn small_job(class: &str, task: &TaskSpec) -> Submit {
    Submit {
        class: class.to_owned(),
        accelerators_per_worker: 1,
        workers: 1,
        adjacency: Adjacency::Rack,
        idempotent: true,
        declared_run_ms: task.run_ms.max(1),
        payload: String::from_utf8(task.payload().to_vec()).expect("JSON is UTF-8"),
    }
}

/// Calls `attempt` until it returns a value, for at most 15 seconds.
pub async fn eventually<T, F: Future<Output = Option<T>>>(
    timer: &Timer,
    mut attempt: impl FnMut() -> F,
) -> T {
    let until_ms = timer.now_ms() + 15_000;
    loop {
        if let Some(found) = attempt().await {
            return found;
        }
        assert!(timer.now_ms() < until_ms, "no value after 15 seconds");
        timer.sleep(50).await;
    }
}

/// Declares the first configuration and waits until an owner accepts jobs.
pub async fn configure(daemon: &Daemon, timer: &Timer) {
    let operator = client(daemon, OPERATOR_TOKEN, timer);
    eventually(timer, || async {
        let applied = operator.apply(&first_patch()).await.ok()?;
        applied.status.is_success().then_some(())
    })
    .await;
    let caller = client(daemon, JADRAN_TOKEN, timer);
    let probe = small_job("standard", &TaskSpec::default());
    eventually(timer, || async {
        let submitted = caller.submit("probe", &probe, 5_000).await.ok()?;
        submitted.status.is_success().then_some(())
    })
    .await;
}
