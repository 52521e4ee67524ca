//! Requests find the data centre that is the home of their key.

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

const OTHER: &str = "ka-mostanje";

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
    let platform = Platform::spawn(timer.clone(), &[fleet(DATA_CENTRE), fleet(OTHER)]).unwrap();
    let here = daemon_in(DATA_CENTRE, "d1", &platform, &timer);
    let there = daemon_in(OTHER, "d2", &platform, &timer);
    let places = vec![DATA_CENTRE.to_owned(), OTHER.to_owned()];
    let both = format!("data_centres = {places:?}");
    let patch = first_patch().replace(&format!("data_centres = [\"{DATA_CENTRE}\"]"), &both);
    let operator = client(&here, OPERATOR_TOKEN, &timer);
    eventually(&timer, || async {
        let applied = operator.apply(&patch).await.ok()?;
        applied.status.is_success().then_some(())
    })
    .await;
    let (through_here, through_there) = (
        client(&here, JADRAN_TOKEN, &timer),
        client(&there, JADRAN_TOKEN, &timer),
    );

    let mut homes: BTreeMap<String, usize> = BTreeMap::new();
    for at in 0..12 {
        let key = format!("key-{at}");
        let task = TaskSpec {
            answer_bytes: 8,
            marker: key.clone(),
            ..TaskSpec::default()
        };
        let job = small_job("standard", &task);
        let served = eventually(&timer, || async {
            let response = through_here.submit(&key, &job, 5_000).await.ok()?;
            (response.status == StatusCode::OK).then_some(response)
        })
        .await;
        let again = eventually(&timer, || async {
            let response = through_there.submit(&key, &job, 5_000).await.ok()?;
            (response.status == StatusCode::OK).then_some(response)
        })
        .await;
        let name = served.job.clone().unwrap();
        let (home, _) = name.rsplit_once('.').unwrap();
        assert_eq!(again.job, served.job);
        assert_eq!(again.body, served.body);
        assert_eq!(
            home_data_centre(&places, "jadran", &key).map(String::as_str),
            Some(home)
        );
        *homes.entry(home.to_owned()).or_default() += 1;
    }

    assert_eq!(homes.len(), 2, "{homes:?}");
}
