//! The HTTP API and the port for peers: invalid input, patches, draining and a store
//! outage.

mod support;

use awc::http::StatusCode;
use fuchsiaslip::daemon::Daemon;
use fuchsiaslip::owner::Owner;
use fuchsiaslip::standin::TaskSpec;
use fuchsiaslip::timer::Timer;
use std::io::{
    Read,
    Write, //
};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use support::{
    DATA_CENTRE,
    JADRAN_TOKEN,
    OPERATOR_TOKEN,
    client,
    configure,
    daemon,
    eventually,
    first_patch,
    platform,
    settings,
    small_job, //
};

/// Returns the number of runs of jobs with `marker`.
fn runs_of(platform: &fuchsiaslip::standin::Platform, marker: &str) -> usize {
    let mut runs = 0;
    platform.each_worker(|worker| runs += worker.runs_of(marker));
    runs
}

fn send_raw(address: std::net::SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut response = Vec::new();
    // The daemon may also close the connection without a response.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[actix_rt::test]
async fn invalid_requests_get_specific_errors_and_later_jobs_still_run() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 6);
    let daemon = daemon("d1", &platform, &timer);
    configure(&daemon, &timer).await;
    let caller = client(&daemon, JADRAN_TOKEN, &timer);
    let task = TaskSpec::default();

    let unknown_class = caller
        .submit("a", &small_job("none", &task), 0)
        .await
        .unwrap();
    let mut impossible = small_job("standard", &task);
    impossible.accelerators_per_worker = 9;
    let impossible = caller.submit("b", &impossible, 0).await.unwrap();
    let mut oversized = small_job("standard", &task);
    oversized.payload = "x".repeat(200_000);
    let oversized = caller.submit("c", &oversized, 0).await.unwrap();
    let unknown_caller = client(&daemon, "nobody", &timer);
    let unknown_caller = unknown_caller
        .submit("d", &small_job("standard", &task), 0)
        .await
        .unwrap();
    let no_key = caller
        .submit("", &small_job("standard", &task), 0)
        .await
        .unwrap();
    let no_path = caller.get("v2/jobs", 0).await.unwrap();
    let not_operator = caller.get("v1/configuration", 0).await.unwrap();
    let still_served = caller
        .submit("e", &small_job("standard", &task), 5_000)
        .await
        .unwrap();

    assert_eq!(unknown_class.error().error, "unknown_class");
    assert!(unknown_class.error().not_run);
    assert_eq!(impossible.error().error, "impossible_shape");
    assert_eq!(oversized.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(unknown_caller.status, StatusCode::UNAUTHORIZED);
    assert_eq!(no_key.error().error, "no_idempotency_key");
    assert_eq!(no_path.status, StatusCode::NOT_FOUND);
    assert_eq!(not_operator.status, StatusCode::FORBIDDEN);
    assert_eq!(still_served.status, StatusCode::OK);
}

#[actix_rt::test]
async fn truncated_bodies_and_broken_frames_are_counted_and_closed() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 6);
    let daemon = daemon("d1", &platform, &timer);
    configure(&daemon, &timer).await;
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {JADRAN_TOKEN}\r\n\
         idempotency-key: cut\r\ncontent-length: 500\r\n\r\n{{\"class\""
    );
    let http = daemon.http_address;
    let peer = daemon.peer_address;

    let truncated = actix_rt::task::spawn_blocking(move || send_raw(http, head.as_bytes()))
        .await
        .unwrap();
    let broken =
        actix_rt::task::spawn_blocking(move || send_raw(peer, &[0, 0, 0, 4, 255, 255, 255, 255]));
    let broken = broken.await.unwrap();
    let metrics = client(&daemon, "", &timer).get("metrics", 0).await.unwrap();
    let caller = client(&daemon, JADRAN_TOKEN, &timer);
    let served = caller
        .submit("after", &small_job("standard", &TaskSpec::default()), 5_000)
        .await;

    assert!(
        truncated.is_empty() || truncated.contains("truncated_body"),
        "{truncated}"
    );
    assert!(broken.is_empty());
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("fuchsiaslip_peers_refused_total"), "{text}");
    assert_eq!(served.unwrap().status, StatusCode::OK);
}

#[actix_rt::test]
async fn the_second_of_two_patches_for_one_version_is_refused() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 6);
    let daemon = daemon("d1", &platform, &timer);
    configure(&daemon, &timer).await;
    let operator = client(&daemon, OPERATOR_TOKEN, &timer);
    let weights = |id: &str, completion: f64| {
        format!(
            "id = \"{id}\"\nbase_version = 1\n[weights]\ncompletion = {completion}\n\
             fragmentation = 0.5\n"
        )
    };

    let first = operator.apply(&weights("one", 0.7)).await.unwrap();
    let late = operator.apply(&weights("two", 0.8)).await.unwrap();
    let repeated = operator.apply(&weights("one", 0.7)).await.unwrap();
    let plan = operator
        .plan(&weights("three", 0.9).replace("= 1\n", "= 2\n"))
        .await
        .unwrap();

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!(late.status, StatusCode::CONFLICT);
    assert!(
        late.error().message.contains("version 2 is in force"),
        "{late:?}"
    );
    assert_eq!(
        (repeated.status, repeated.body),
        (StatusCode::OK, first.body)
    );
    assert!(String::from_utf8_lossy(&plan.body).contains("0.7 -> 0.9"));
}

#[actix_rt::test]
async fn an_invalid_patch_or_one_that_the_fleet_cannot_meet_is_refused_with_the_reason() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 6);
    let daemon = daemon("d1", &platform, &timer);
    let operator = client(&daemon, OPERATOR_TOKEN, &timer);
    let patch = first_patch()
        .replace(
            "workers = 2\nadjacency",
            "workers = 2\ncount = 4\nadjacency",
        )
        .replacen("completion_ms = 5000", "completion_ms = 0", 1);

    let refused = eventually(&timer, || async {
        let response = operator.apply(&patch).await.ok()?;
        (response.status == StatusCode::CONFLICT).then_some(response)
    })
    .await;
    let in_range = operator
        .apply(&patch.replace("completion_ms = 0", "completion_ms = 5000"))
        .await;

    assert!(
        refused
            .error()
            .message
            .contains("completion_ms is out of range")
    );
    let message = in_range.unwrap().error().message;
    assert!(
        message.contains("account `jadran`: 1 of its guaranteed shapes"),
        "{message}"
    );
}

/// Guards against cutting a caller's connection when its daemon is replaced: a drain
/// hands the ownership over and answers every request in progress before it ends.
#[actix_rt::test]
async fn a_drain_answers_requests_in_progress_and_hands_over() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 6);
    let first = daemon("d1", &platform, &timer);
    configure(&first, &timer).await;
    let second = daemon("d2", &platform, &timer);
    let caller = client(&first, JADRAN_TOKEN, &timer);
    let task = TaskSpec {
        run_ms: 1_500,
        answer_bytes: 10,
        ..TaskSpec::default()
    };
    let job = small_job("standard", &task);
    let waiting = actix_rt::spawn({
        let (caller, job) = (caller.clone(), job.clone());
        async move { caller.submit("long", &job, 20_000).await }
    });
    timer.sleep(500).await;

    let drained = client(&first, OPERATOR_TOKEN, &timer)
        .drain()
        .await
        .unwrap();
    let submitted = waiting.await.unwrap().unwrap();
    eventually(&timer, || async { first.is_drained().then_some(()) }).await;
    first.kill();
    let caller = client(&second, JADRAN_TOKEN, &timer);
    let answer = eventually(&timer, || async {
        let job = submitted.accepted().or(submitted.job.clone())?;
        let response = caller.answer(&job, 5_000).await.ok()?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await;

    assert_eq!(drained.status, StatusCode::ACCEPTED);
    assert_eq!(answer.body.len(), 10);
    assert!(second.is_owner());
    let ended_runs: usize = {
        let mut count = 0;
        platform.each_worker(|worker| {
            count += worker
                .runs
                .iter()
                .filter(|run| run.ended_ms.is_some())
                .count();
        });
        count
    };
    assert!(ended_runs >= 1);
}

/// Guards against a daemon that goes on without its control thread: it refused or did not answer
/// every request, and its process did not end, so that nothing started it again.
#[actix_rt::test]
async fn a_daemon_whose_control_thread_panics_stops_and_another_one_owns() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 6);
    let should_fail = Arc::new(AtomicBool::new(false));
    let failing = should_fail.clone();
    let handle_event = move |owner: &mut Owner, event, now_ms| {
        assert!(!failing.load(Ordering::Relaxed), "a fault of the test");
        owner.handle(event, now_ms)
    };
    let first_settings = settings("d1", &platform);
    let first = Daemon::spawn_with(first_settings, timer.clone(), Box::new(handle_event)).unwrap();
    platform.add_daemon("d1", DATA_CENTRE, &first.peer_address.to_string());
    configure(&first, &timer).await;
    let second = daemon("d2", &platform, &timer);

    should_fail.store(true, Ordering::Relaxed);

    eventually(&timer, || async { first.has_failed().then_some(()) }).await;
    eventually(&timer, || async { second.is_owner().then_some(()) }).await;
    let job = small_job("standard", &TaskSpec::default());
    let caller = client(&second, JADRAN_TOKEN, &timer);
    let served = eventually(&timer, || async {
        let response = caller.submit("after", &job, 5_000).await.ok()?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await;
    assert!(served.accepted().or(served.job.clone()).is_some());
    let stopped = client(&first, JADRAN_TOKEN, &timer);
    assert!(stopped.submit("late", &job, 0).await.is_err());
}

/// Guards against accepting a job without a commit during a store outage, against
/// ending running tasks, and against refusals that wrongly set `not_run`.
#[actix_rt::test]
async fn jobs_refused_during_a_store_outage_do_not_run_and_running_work_continues() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 6);
    let daemon = daemon("d1", &platform, &timer);
    configure(&daemon, &timer).await;
    let caller = client(&daemon, JADRAN_TOKEN, &timer);
    let task = TaskSpec {
        run_ms: 3_000,
        answer_bytes: 10,
        marker: "running".to_owned(),
        ..TaskSpec::default()
    };
    let running = caller
        .submit("running", &small_job("standard", &task), 0)
        .await
        .unwrap();
    let running = running.accepted().unwrap();
    timer.sleep(300).await;

    platform.with_store(|store| store.faults.down = true);
    timer.sleep(2_500).await;
    let probe = TaskSpec {
        marker: "refused".to_owned(),
        ..TaskSpec::default()
    };
    let refused = caller
        .submit("refused", &small_job("standard", &probe), 0)
        .await
        .unwrap();
    timer.sleep(1_000).await;
    platform.with_store(|store| store.faults.down = false);
    let answer = eventually(&timer, || async {
        let response = caller.answer(&running, 5_000).await.ok()?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await;
    let refused_runs = runs_of(&platform, "refused");
    let repeated = eventually(&timer, || async {
        let response = caller
            .submit("refused", &small_job("standard", &probe), 5_000)
            .await
            .ok()?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await;

    assert_eq!(repeated.status, StatusCode::OK);
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    // The owner's lease has expired by then: it knows that it did not accept the job,
    // but not that no other owner did.
    assert!(!refused.error().not_run);
    assert!(refused.error().retry_after_ms.is_some());
    assert_eq!(refused_runs, 0);
    assert_eq!(answer.body.len(), 10);
}
