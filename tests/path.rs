//! The whole path through the public face: platform, daemon, caller.

mod support;

use awc::http::StatusCode;
use fuchsiaslip::core::read_public_name;
use fuchsiaslip::standin::TaskSpec;
use fuchsiaslip::timer::Timer;
use support::{
    JADRAN_TOKEN,
    RIJEKA_TOKEN,
    client,
    configure,
    daemon,
    eventually,
    platform,
    small_job, //
};

fn task(marker: &str, answer_bytes: u64) -> TaskSpec {
    TaskSpec {
        run_ms: 20,
        answer_bytes,
        marker: marker.to_owned(),
        ..TaskSpec::default()
    }
}

#[actix_rt::test]
async fn caller_receives_the_whole_answer_to_its_own_request() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 12);
    let daemon = daemon("d1", &platform, &timer);
    configure(&daemon, &timer).await;
    let caller = client(&daemon, JADRAN_TOKEN, &timer);

    for (key, size) in [("small", 100), ("long", 3 << 20)] {
        let task = task(key, size);
        let response = caller
            .submit(key, &small_job("urgent", &task), 10_000)
            .await
            .unwrap();

        let name = response.job.clone().unwrap();
        let (_, job) = read_public_name(&name).unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.body, TaskSpec::answer(job, &task.payload()));
    }
}

/// An urgent job waited ten seconds although its worker was idle. Each worker
/// that a daemon keeps holds a connection with its long poll; beyond a hundred
/// the HTTP library let new calls, a start among them, wait for a poll to end.
#[actix_rt::test]
async fn more_workers_than_the_library_opens_connections_are_kept_at_once() {
    const WORKERS: usize = 130;
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, WORKERS);
    let daemon = daemon("d1", &platform, &timer);
    configure(&daemon, &timer).await;

    eventually(&timer, || async {
        (platform.waiting_polls() == WORKERS).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn repeated_key_finds_the_first_job_and_another_account_sees_none() {
    let timer = Timer::spawn().unwrap();
    let platform = platform(&timer, 12);
    let daemon = daemon("d1", &platform, &timer);
    configure(&daemon, &timer).await;
    let caller = client(&daemon, JADRAN_TOKEN, &timer);
    let other = client(&daemon, RIJEKA_TOKEN, &timer);
    let job = small_job("standard", &task("once", 10));

    let first = caller
        .submit("key", &job, 0)
        .await
        .unwrap()
        .accepted()
        .unwrap();
    let second = caller
        .submit("key", &job, 0)
        .await
        .unwrap()
        .accepted()
        .unwrap();
    let changed = small_job("standard", &task("changed", 10));
    let reused = caller.submit("key", &changed, 0).await.unwrap();
    let peeked = other.status(&first).await.unwrap();

    assert_eq!(first, second);
    assert_eq!(reused.error().error, "key_reused");
    assert_eq!(peeked.status, StatusCode::NOT_FOUND);
}
