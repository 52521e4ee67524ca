//! Jobs from their submission to their answer, through the HTTP API of a daemon on a
//! stand-in platform.

mod support;

use awc::http::StatusCode;
use fuchsiaslip::core::parse_public_name;
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
        let (_, job) = parse_public_name(&name).unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.body, TaskSpec::answer(job, &task.payload()));
    }
}

/// Guards against the connection limit of the HTTP library. The long poll of each
/// monitored worker uses one connection. Beyond 100 connections the library made new
/// calls wait for a poll to end, so that an urgent job started ten seconds late on an
/// idle worker.
#[actix_rt::test]
async fn a_daemon_polls_more_workers_at_once_than_the_default_limit_on_connections() {
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
async fn a_repeated_key_returns_the_first_job_and_another_account_cannot_see_it() {
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
    let seen_by_other = other.status(&first).await.unwrap();

    assert_eq!(first, second);
    assert_eq!(reused.error().error, "key_reused");
    assert_eq!(seen_by_other.status, StatusCode::NOT_FOUND);
}
