//! The HTTP face and the peers' port under bad input, and draining.

mod support;

use awc::http::StatusCode;
use fuchsiaslip::standin::TaskSpec;
use fuchsiaslip::timer::Timer;
use std::io::{
    Read,
    Write, //
};
use std::net::TcpStream;
use support::{
    JADRAN_TOKEN,
    OPERATOR_TOKEN,
    client,
    configure,
    daemon,
    eventually,
    first_patch,
    platform,
    small_job, //
};

/// Tasks that began for jobs of `marker`.
fn runs_of(platform: &fuchsiaslip::standin::Platform, marker: &str) -> usize {
    let mut runs = 0;
    platform.each_worker(|worker| runs += worker.runs_of(marker));
    runs
}

fn raw(address: std::net::SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut response = Vec::new();
    // A connection that the daemon closes without a word is an answer too.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[actix_rt::test]
async fn bad_input_gets_a_typed_error_and_loses_nothing() {
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
    let stranger = client(&daemon, "nobody", &timer);
    let stranger = stranger
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
    assert_eq!(stranger.status, StatusCode::UNAUTHORIZED);
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

    let cut = actix_rt::task::spawn_blocking(move || raw(http, head.as_bytes()))
        .await
        .unwrap();
    let broken =
        actix_rt::task::spawn_blocking(move || raw(peer, &[0, 0, 0, 4, 255, 255, 255, 255]));
    let broken = broken.await.unwrap();
    let metrics = client(&daemon, "", &timer).get("metrics", 0).await.unwrap();
    let caller = client(&daemon, JADRAN_TOKEN, &timer);
    let served = caller
        .submit("after", &small_job("standard", &TaskSpec::default()), 5_000)
        .await;

    assert!(cut.is_empty() || cut.contains("truncated_body"), "{cut}");
    assert!(broken.is_empty());
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("fuchsiaslip_peers_refused_total"), "{text}");
    assert_eq!(served.unwrap().status, StatusCode::OK);
}

#[actix_rt::test]
async fn patches_race_and_one_of_them_is_told_the_difference() {
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
    let again = operator.apply(&weights("one", 0.7)).await.unwrap();
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
    assert_eq!((again.status, again.body), (StatusCode::OK, first.body));
    assert!(String::from_utf8_lossy(&plan.body).contains("0.7 -> 0.9"));
}

#[actix_rt::test]
async fn patch_without_a_witness_is_refused_with_every_reason() {
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
    let whole = operator
        .apply(&patch.replace("completion_ms = 0", "completion_ms = 5000"))
        .await;

    assert!(
        refused
            .error()
            .message
            .contains("completion_ms is out of range")
    );
    let message = whole.unwrap().error().message;
    assert!(
        message.contains("account `jadran`: 1 of its guaranteed shapes"),
        "{message}"
    );
}

/// A caller's connection was cut when its daemon was replaced. A drain hands
/// the ownership over, answers everything in progress and only then ends.
#[actix_rt::test]
async fn drain_answers_what_is_in_progress_and_hands_over() {
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
    let told = waiting.await.unwrap().unwrap();
    eventually(&timer, || async { first.is_drained().then_some(()) }).await;
    first.kill();
    let caller = client(&second, JADRAN_TOKEN, &timer);
    let answer = eventually(&timer, || async {
        let job = told.accepted().or(told.job.clone())?;
        let response = caller.answer(&job, 5_000).await.ok()?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await;

    assert_eq!(drained.status, StatusCode::ACCEPTED);
    assert_eq!(answer.body.len(), 10);
    assert!(second.is_owner());
    let begun: usize = {
        let mut begun = 0;
        platform.each_worker(|worker| {
            begun += worker
                .runs
                .iter()
                .filter(|run| run.ended_ms.is_some())
                .count();
        });
        begun
    };
    assert!(begun >= 1);
}

/// The store was away for a while: nothing may be accepted without a commit,
/// what runs goes on, and a refusal that says "not run" is true.
#[actix_rt::test]
async fn store_outage_refuses_truthfully_and_running_work_goes_on() {
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
    let ran_though_refused = runs_of(&platform, "refused");
    let again = eventually(&timer, || async {
        let response = caller
            .submit("refused", &small_job("standard", &probe), 5_000)
            .await
            .ok()?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await;

    assert_eq!(again.status, StatusCode::OK);
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    // The owner's lease is over by then: it can say that it did not accept the
    // job, not that nobody did.
    assert!(!refused.error().not_run);
    assert!(refused.error().retry_after_ms.is_some());
    assert_eq!(ran_though_refused, 0);
    assert_eq!(answer.body.len(), 10);
}
