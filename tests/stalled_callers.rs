//! A crowd of callers of the trial's deployment that stop short of the end of their requests, at
//! a real process with lowered limits.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/crowd.rs"]
mod crowd;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;
mod support;

use crowd::{
    BODY_BYTES,
    Crowd, //
};
use fuchsiaslip::client::Client;
use fuchsiaslip::standin::TaskSpec;
use fuchsiaslip::timer::Timer;
use processes::{
    Daemon,
    loopback, //
};
use std::net::SocketAddr;
use support::{
    DATA_CENTRE,
    JADRAN_TOKEN,
    OPERATOR_TOKEN,
    eventually,
    first_patch,
    platform,
    settings_text,
    small_job, //
};

const CROWD: usize = 600;
const MEMORY_MB: usize = 64;
const DESCRIPTORS: usize = 600;
/// Descriptors that are reserved for files; sockets share the others.
const FILE_DESCRIPTORS: usize = 200;
const HTTP_PORT: u16 = 18_080;
const PEER_PORT: u16 = 18_081;
/// The largest body that a cancellation of many jobs may have.
const CANCELLATION_BYTES: usize = 1 << 20;

/// The beginning of a cancellation of many jobs.
fn cancellation_without_end(_at: usize) -> Vec<u8> {
    let head = format!(
        "POST /v1/cancel HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {JADRAN_TOKEN}\r\n\
         content-type: application/json\r\ncontent-length: {CANCELLATION_BYTES}\r\n\r\n"
    );
    (head + &" ".repeat(BODY_BYTES)).into_bytes()
}

/// Guards against bodies that are kept without a bound by the daemon of the trial's deployment,
/// which has a listener and settings of its own.
#[actix_rt::test]
async fn bodies_that_stop_short_neither_exhaust_memory_nor_shut_callers_out() {
    let timer = Timer::spawn().expect("a thread");
    let platform = platform(&timer, 6);
    let ip = loopback(254, 40);
    let http = SocketAddr::new(ip.into(), HTTP_PORT);
    let peer = SocketAddr::new(ip.into(), PEER_PORT);
    let limits = format!("memory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
    let text = settings_text("d1", &platform, http, peer);
    let mut daemon = Daemon::spawn_trial(ip, &(text + &limits));
    platform.add_daemon("d1", DATA_CENTRE, &peer.to_string());
    let operator = Client::open(&http.to_string(), OPERATOR_TOKEN, timer.clone());
    eventually(&timer, || async {
        let applied = operator.apply(&first_patch()).await.ok()?;
        applied.status.is_success().then_some(())
    })
    .await;

    let crowd = Crowd::send(&[http], CROWD, &cancellation_without_end);

    let sockets = daemon.open_sockets();
    let caller = Client::open(&http.to_string(), JADRAN_TOKEN, timer.clone());
    let job = small_job("standard", &TaskSpec::default());
    eventually(&timer, || async {
        let submitted = caller.submit("ordinary", &job, 5_000).await.ok()?;
        submitted.status.is_success().then_some(())
    })
    .await;
    assert!(crowd.len() > 0, "the crowd is connected");
    assert!(daemon.is_running(), "the process lives");
    let peak_mb = daemon.peak_memory_bytes() >> 20;
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB of {MEMORY_MB}");
    let limit = DESCRIPTORS - FILE_DESCRIPTORS;
    assert!(sockets < limit, "{sockets} sockets of {limit}");
}
