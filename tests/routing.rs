//! Requests are routed to the data centre that stores the job of their key.

mod support;

use awc::http::StatusCode;
use fuchsiaslip::daemon::{
    Daemon,
    home_data_centre, //
};
use fuchsiaslip::standin::{
    Fleet,
    Platform,
    TaskSpec, //
};
use fuchsiaslip::timer::Timer;
use std::collections::BTreeMap;
use support::{
    DATA_CENTRE,
    JADRAN_TOKEN,
    OPERATOR_TOKEN,
    client,
    eventually,
    first_patch,
    settings,
    small_job, //
};

const OTHER_DATA_CENTRE: &str = "ka-mostanje";

fn fleet(data_centre: &str) -> Fleet {
    Fleet {
        data_centre: data_centre.to_owned(),
        workers: 4,
        rack_size: 4,
        accelerators: 8,
    }
}

fn daemon_in(data_centre: &str, name: &str, platform: &Platform, timer: &Timer) -> Daemon {
    let mut settings = settings(name, platform);
    settings.data_centre = data_centre.to_owned();
    settings.list_ms = 100;
    let daemon = Daemon::spawn(settings, timer.clone()).expect("ports are free");
    platform.add_daemon(name, data_centre, &daemon.peer_address.to_string());
    daemon
}

#[actix_rt::test]
async fn jobs_of_one_account_are_spread_and_found_through_any_daemon() {
    let timer = Timer::spawn().unwrap();
    let platform = Platform::spawn(
        timer.clone(),
        &[fleet(DATA_CENTRE), fleet(OTHER_DATA_CENTRE)],
    )
    .unwrap();
    let first = daemon_in(DATA_CENTRE, "d1", &platform, &timer);
    let second = daemon_in(OTHER_DATA_CENTRE, "d2", &platform, &timer);
    let data_centres = vec![DATA_CENTRE.to_owned(), OTHER_DATA_CENTRE.to_owned()];
    let both = format!("data_centres = {data_centres:?}");
    let patch = first_patch().replace(&format!("data_centres = [\"{DATA_CENTRE}\"]"), &both);
    let operator = client(&first, OPERATOR_TOKEN, &timer);
    eventually(&timer, || async {
        let applied = operator.apply(&patch).await.ok()?;
        applied.status.is_success().then_some(())
    })
    .await;
    let (through_first, through_second) = (
        client(&first, JADRAN_TOKEN, &timer),
        client(&second, JADRAN_TOKEN, &timer),
    );

    let mut jobs_by_data_centre: BTreeMap<String, usize> = BTreeMap::new();
    for index in 0..12 {
        let key = format!("key-{index}");
        let task = TaskSpec {
            answer_bytes: 8,
            marker: key.clone(),
            ..TaskSpec::default()
        };
        let job = small_job("standard", &task);
        let served = eventually(&timer, || async {
            let response = through_first.submit(&key, &job, 5_000).await.ok()?;
            (response.status == StatusCode::OK).then_some(response)
        })
        .await;
        let repeated = eventually(&timer, || async {
            let response = through_second.submit(&key, &job, 5_000).await.ok()?;
            (response.status == StatusCode::OK).then_some(response)
        })
        .await;
        let name = served.job.clone().unwrap();
        let (data_centre, _) = name.rsplit_once('.').unwrap();
        assert_eq!(repeated.job, served.job);
        assert_eq!(repeated.body, served.body);
        assert_eq!(
            home_data_centre(&data_centres, "jadran", &key).map(String::as_str),
            Some(data_centre)
        );
        *jobs_by_data_centre
            .entry(data_centre.to_owned())
            .or_default() += 1;
    }

    assert_eq!(jobs_by_data_centre.len(), 2, "{jobs_by_data_centre:?}");
}
