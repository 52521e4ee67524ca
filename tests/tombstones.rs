//! Cancellations of jobs that are not stored: what daemons store for them, with real daemons
//! beside a stand-in of the platform, and how it is bounded.

#[path = "support/daemons.rs"]
mod daemons;
#[path = "support/operator.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod operator;
#[path = "support/processes.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod processes;
#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod proxy;

use bytes::Bytes;
use daemons::{
    epoch,
    fleet,
    fleet_from,
    fleet_with_stores,
    is_completed,
    job,
    path,
    wait_until, //
};
use fuchsiaslip::cluster::{
    StoredItem,
    Submitter,
    TombstoneAges,
    TombstoneCounts, //
};
use operator::Operator;
use processes::{
    Answer,
    Daemon,
    loopback,
    request_with_key, //
};
use proxy::{
    LinkMode,
    Proxy, //
};
use serde_json::json;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{
    Duration,
    Instant, //
};

const JOB: u64 = 0x5c0e_7a21_d94b_36f8;
const RUN_MS: u64 = 60_000;
/// Longer than a submission without an answer of the store takes.
const WRITE_DELAY: Duration = Duration::from_millis(4_000);
/// Longer than the first write of a submission takes to arrive at the store.
const ARRIVAL_DELAY: Duration = Duration::from_millis(400);
/// Longer than a stored job takes to start on an idle worker.
const START_DELAY: Duration = Duration::from_millis(700);
/// Longer than daemons need to notice that they have lost the store.
const NOTICE_DELAY: Duration = Duration::from_millis(1_500);

fn status(answer: &Answer) -> u16 {
    match answer {
        Answer::Status(status, _) => *status,
        Answer::None => 0,
    }
}

fn submit(daemon: &Daemon) -> u16 {
    status(&daemon.request("POST", &path(JOB), &job(1, RUN_MS)))
}

fn cancel(daemon: &Daemon) -> u16 {
    status(&daemon.request("DELETE", &path(JOB), ""))
}

/// Makes the store leave writes of the job without an answer and carry them out late.
fn delay_writes(operator: &Operator) {
    operator.world().delayed_key = Some((format!("jobs/{JOB:016x}"), WRITE_DELAY));
}

fn answer_writes(operator: &Operator) {
    operator.world().delayed_key = None;
}

/// Checks that the job stays unknown after the store has carried out its late writes.
fn assert_never_stored(operator: &Operator, daemon: &Daemon) {
    wait_until("a late write is carried out", || {
        operator.world().delayed_writes_done > 0
    });
    std::thread::sleep(START_DELAY);
    let name = format!("{JOB:016x}");
    let mut world = operator.world();
    assert_eq!(world.value(&format!("jobs/{name}")), None);
    assert_eq!(world.runs_of(JOB), 0);
    assert!(!world.records.iter().any(|run| run.task.starts_with(&name)));
    drop(world);
    assert_eq!(status(&daemon.request("GET", &path(JOB), "")), 410);
}

/// Guards against work that nothing stops: a cancellation was answered with 410 while the write of
/// its job had no known outcome, and the store carried that write out afterwards.
#[test]
fn a_job_cancelled_after_its_submission_had_no_outcome_never_runs() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet(240, 2, &operator);
    delay_writes(&operator);
    let submitted = submit(&daemons[0]);
    answer_writes(&operator);

    let cancelled = cancel(&daemons[1]);

    assert_eq!((submitted, cancelled), (504, 410));
    assert_never_stored(&operator, &daemons[1]);
}

/// Guards against the same while another daemon still retries the write.
#[test]
fn a_job_cancelled_while_its_submission_is_retried_is_refused_and_never_runs() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet(241, 2, &operator);
    delay_writes(&operator);

    let (submitted, cancelled) = std::thread::scope(|scope| {
        let submitting = scope.spawn(|| submit(&daemons[0]));
        std::thread::sleep(ARRIVAL_DELAY);
        let cancelled = cancel(&daemons[1]);
        answer_writes(&operator);
        (submitting.join().expect("an answer"), cancelled)
    });

    assert_eq!((submitted, cancelled), (503, 410));
    assert_never_stored(&operator, &daemons[1]);
}

/// Guards against the same when the daemon that sent the write is gone, and all that it knew.
#[test]
fn a_job_cancelled_after_the_daemon_that_sent_it_was_killed_never_runs() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let mut daemons = fleet(242, 2, &operator);
    let sender = daemons.remove(0);
    delay_writes(&operator);

    let cancelled = std::thread::scope(|scope| {
        scope.spawn(|| submit(&sender));
        std::thread::sleep(ARRIVAL_DELAY);
        sender.signal(rustix::process::Signal::KILL);
        answer_writes(&operator);
        cancel(&daemons[0])
    });

    assert_eq!(cancelled, 410);
    assert_never_stored(&operator, &daemons[0]);
}

/// Guards against the same when the cancellation arrives at a daemon that has lost the store.
#[test]
fn a_job_cancelled_through_a_peer_before_it_is_stored_never_runs() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let links: Vec<Proxy> = (0..3).map(|_| Proxy::spawn(operator.store)).collect();
    let stores: Vec<SocketAddr> = links.iter().map(|link| link.address).collect();
    let daemons = fleet_with_stores(243, &stores);
    wait_until("an owner", || epoch(&operator) > 0);
    links[2].set_mode(LinkMode::Cut);
    std::thread::sleep(NOTICE_DELAY);
    delay_writes(&operator);
    let submitted = submit(&daemons[0]);
    answer_writes(&operator);

    let cancelled = cancel(&daemons[2]);

    assert_eq!((submitted, cancelled), (504, 410));
    assert_never_stored(&operator, &daemons[0]);
}

/// Guards against a client that takes a job for lost and submits its work under another name: a
/// query was answered with 410 while the write of the job had no known outcome.
#[test]
fn a_query_does_not_deny_a_job_that_may_still_be_stored() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet_from(240, 10, &[operator.store; 2]);
    delay_writes(&operator);
    let query = |daemon: &Daemon| status(&daemon.request("GET", &path(JOB), ""));
    let before = query(&daemons[1]);
    let submitted = submit(&daemons[0]);
    // The heartbeat that tells the other daemon.
    std::thread::sleep(ARRIVAL_DELAY);

    let [at_sender, at_other] = [0, 1].map(|at| query(&daemons[at]));
    answer_writes(&operator);
    wait_until("it is stored", || query(&daemons[1]) == 200);

    assert_eq!((before, submitted), (410, 504));
    assert_eq!((at_sender, at_other), (504, 504));
    assert_eq!(query(&daemons[0]), 200);
}

/// Guards against a cancellation that is lost by being sent twice, or undone by the submission
/// that arrives again.
#[test]
fn a_job_that_was_cancelled_before_it_was_stored_is_refused_at_every_daemon() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet(244, 2, &operator);

    let cancelled: Vec<u16> = daemons.iter().map(cancel).collect();
    let submitted: Vec<u16> = daemons.iter().map(submit).collect();

    assert_eq!((cancelled, submitted), (vec![410; 2], vec![503; 2]));
    assert_eq!(status(&daemons[0].request("GET", &path(JOB), "")), 410);
    let shown = Command::new(env!("CARGO_BIN_EXE_fuchsiaslip"))
        .args(["fleet", "--store", &operator.store.to_string()])
        .arg(format!("{JOB:016x}"))
        .output()
        .expect("the command line runs");
    let shown = String::from_utf8_lossy(&shown.stderr).into_owned();
    assert!(shown.contains("cancelled before it was stored"), "{shown}");
    let other = daemons[0].request("POST", &path(1), &job(1, 100));
    assert_eq!(status(&other), 200, "another name is free");
}

/// Guards against one client account that stops the jobs of another by cancelling their names
/// before they are submitted.
#[test]
fn a_cancellation_of_another_account_excludes_no_job() {
    let operator = Operator::spawn(1);
    let queue = |name: &str, public: bool| {
        json!({ "name": name, "host": "h", "prefix": format!("/{name}/"), "service": "s",
            "public": public, "priority": 1, "max_attempts": 5, "stretch_factor": 3.0,
            "target_latency_ms": 1000 })
    };
    let account = |name: &str, key: &str| {
        json!({ "name": name, "api_keys": [key],
            "guaranteed": { "gpu": 1 } })
    };
    let configuration = json!({ "version": 1, "routes": [queue("q", false), queue("p", true)],
        "services": [{ "name": "s", "rejects_overload": true }],
        "tenants": [account("t", "key"), account("u", "other")] });
    operator.world().put("op/config", &configuration);
    let daemons = fleet(245, 2, &operator);
    let of_other = |path: &str| request_with_key(daemons[0].ip, "other", "DELETE", path, "");
    let public_path = format!("/p/{:016x}", JOB + 1);

    let cancelled =
        [&path(JOB), &format!("/p/{JOB:016x}"), &public_path].map(|path| of_other(path));
    let submitted = daemons[1].request("POST", &path(JOB), &job(1, 100));
    let on_public_queue = daemons[1].request("POST", &public_path, &job(1, 100));

    assert_eq!(cancelled.map(|answer| status(&answer)), [410; 3]);
    assert_eq!(status(&submitted), 200);
    wait_until("it is completed", || is_completed(&daemons[0], JOB));
    assert_eq!(status(&on_public_queue), 503, "all its clients are alike");
}

/// Guards against names that are never free again, and a store that fills up with them.
#[test]
fn a_tombstone_leaves_the_store_and_its_name_is_free_again() {
    // Ended jobs are remembered for 30 s more than this.
    const SETTINGS: &str = "bounds.status_s=0.001\n";
    const WAIT: Duration = Duration::from_secs(90);
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let ip = loopback(245, 10);
    let daemon = Daemon::spawn_with_settings("d0", ip, operator.store, SETTINGS);
    wait_until("the daemon is ready", || daemon.is_ready());
    let cancelled = cancel(&daemon);
    let at_once = submit(&daemon);
    let began = Instant::now();

    let mut later = at_once;
    while later != 200 && began.elapsed() < WAIT {
        std::thread::sleep(Duration::from_secs(1));
        later = submit(&daemon);
    }

    assert_eq!((cancelled, at_once, later), (410, 503, 200));
    assert!(began.elapsed() > Duration::from_secs(29));
}

/// Guards against a client that fills the store with names of jobs that do not exist.
#[test]
fn each_submitter_may_have_a_limited_number_of_tombstones() {
    const RETENTION_MS: u64 = 150_000;
    let (first, second) = (Submitter::account("a"), Submitter::account("b"));
    let mut counts = TombstoneCounts::default();

    let admitted = (0..5_000).filter(|_| counts.admit(first, 0, RETENTION_MS));

    assert_eq!(admitted.count(), 1_024);
    assert!(counts.admit(second, 0, RETENTION_MS), "each has its own");
    assert!(!counts.admit(first, RETENTION_MS - 1, RETENTION_MS));
    assert!(counts.admit(first, RETENTION_MS, RETENTION_MS));
}

/// Guards against tombstones that stay for ever, and against one that is removed too soon because
/// an earlier one had the same name.
#[test]
fn a_tombstone_is_removed_once_the_owner_has_known_it_for_the_retention_time() {
    const RETENTION_MS: u64 = 150_000;
    let item = |key: &str, revision| StoredItem {
        key: key.to_owned(),
        value: Bytes::new(),
        revision,
    };
    let mut ages = TombstoneAges::default();

    let at_first = ages.record(&[item("a", 1), item("b", 2)], 1_000, RETENTION_MS);
    let before = ages.record(&[item("a", 1), item("b", 7)], 150_999, RETENTION_MS);
    let after = ages.record(&[item("a", 1), item("b", 7)], 151_000, RETENTION_MS);
    let later = ages.record(&[item("b", 7)], 300_999, RETENTION_MS);

    assert_eq!((at_first, before), (Vec::new(), Vec::new()));
    assert_eq!(after, [("a".to_owned(), 1)]);
    assert_eq!(later, [("b".to_owned(), 7)]);
}

#[test]
fn accounts_and_queues_of_the_same_name_are_different_submitters() {
    assert_ne!(Submitter::account("a"), Submitter::queue("a"));
    assert_ne!(Submitter::account("a"), Submitter::account("b"));
}
