//! Real daemons beside a stand-in of the platform whose store answers nobody.

#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/proxy.rs"]
mod proxy;

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
use operator::{
    Operator,
    StoreMode, //
};
use processes::{
    Answer,
    Daemon, //
};
use proxy::{
    LinkMode,
    Proxy, //
};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// Longer than daemons need to notice an outage of the store.
const NOTICE_DELAY: Duration = Duration::from_millis(1_500);
/// Time within which a job is refused that no daemon can store.
const AT_ONCE: Duration = Duration::from_millis(400);
const RUN_MS: u64 = 300;

fn submit(daemon: &Daemon, id: u64) -> Answer {
    daemon.request("POST", &path(id), &job(1, RUN_MS))
}

fn status(answer: &Answer) -> u16 {
    match answer {
        Answer::Status(status, _) => *status,
        Answer::None => 0,
    }
}

/// Guards against unknown outcomes of jobs that were never sent: a daemon that had just
/// started was taken for one that reaches the store, and got all jobs of the fleet.
#[test]
fn jobs_are_refused_at_once_while_the_store_answers_nobody_and_a_daemon_has_just_started() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let mut daemons = fleet(220, 3, &operator);
    operator.world().mode = StoreMode::Unresponsive;
    std::thread::sleep(NOTICE_DELAY);

    daemons[2].kill();
    daemons[2].start();
    let until = Instant::now() + NOTICE_DELAY;
    let (mut id, mut refusals) = (1, 0);
    while Instant::now() < until {
        id += 1;
        let sent = Instant::now();
        let answer = submit(&daemons[id as usize % 2], id);
        assert_eq!(status(&answer), 503, "{answer:?}");
        assert!(sent.elapsed() < AT_ONCE, "after {:?}", sent.elapsed());
        refusals += 1;
    }

    assert!(refusals > 2);
    operator.world().mode = StoreMode::Serving;
    wait_until("a job is accepted", || {
        status(&submit(&daemons[0], 1_000)) == 200
    });
    wait_until("it is completed", || is_completed(&daemons[0], 1_000));
    assert!((2..=id).all(|id| operator.world().runs_of(id) == 0));
}

/// Guards against an untrue refusal: a job whose first request may have been stored was refused
/// by a daemon that knew nothing of that request.
#[test]
fn a_job_that_may_be_stored_is_not_refused_by_another_daemon() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet(221, 2, &operator);
    wait_until("an owner", || epoch(&operator) > 0);
    operator.world().mode = StoreMode::Unresponsive;

    let first = submit(&daemons[0], 1);
    std::thread::sleep(NOTICE_DELAY);
    let (repeated, other) = (submit(&daemons[1], 1), submit(&daemons[1], 2));

    assert_eq!(status(&first), 504);
    assert_eq!(status(&repeated), 504, "the first request may be stored");
    assert_eq!(status(&other), 503, "no request for it was sent");
}

/// Guards against an untrue refusal: a request that arrived again after its job had been
/// accepted was refused while the store answered nobody, although the job was stored and ran.
#[test]
fn an_accepted_job_that_arrives_again_in_an_outage_is_not_refused() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet(223, 3, &operator);
    wait_until("an owner", || epoch(&operator) > 0);
    let first = submit(&daemons[0], 1);
    assert_eq!(status(&first), 200);
    operator.world().mode = StoreMode::Unresponsive;
    std::thread::sleep(NOTICE_DELAY);

    let repeated: Vec<u16> = daemons.iter().map(|to| status(&submit(to, 1))).collect();
    let other: Vec<u16> = daemons.iter().map(|to| status(&submit(to, 2))).collect();

    assert_eq!(repeated, [200; 3], "the job is stored");
    assert_eq!(other, [503; 3], "no request for it was sent");
}

/// Guards against an untrue refusal: the owner, which knows all stored jobs, did not respond, and
/// the request of an accepted job that arrived again was refused without its word.
#[test]
fn a_job_is_not_refused_while_a_live_owner_does_not_respond() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet(239, 3, &operator);
    wait_until("an owner", || epoch(&operator) > 0);
    let root = operator.world().value("owner").expect("a root");
    let owner = daemons.iter().position(|daemon| {
        root["address"]
            .as_str()
            .is_some_and(|at| at.starts_with(&format!("{}:", daemon.ip)))
    });
    let owner = owner.expect("one of the daemons");
    assert_eq!(status(&submit(&daemons[owner], 1)), 200);
    operator.world().mode = StoreMode::Unresponsive;
    std::thread::sleep(NOTICE_DELAY);

    daemons[owner].signal(Signal::STOP);
    let repeated = submit(&daemons[(owner + 1) % 3], 1);
    daemons[owner].signal(Signal::CONT);

    assert_eq!(
        status(&repeated),
        504,
        "nobody can tell whether it is stored"
    );
}

/// Guards against losing the jobs of a daemon that the store refuses while it answers others.
#[test]
fn a_daemon_that_cannot_reach_the_store_stores_jobs_through_a_peer() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let links: Vec<Proxy> = (0..3).map(|_| Proxy::spawn(operator.store)).collect();
    let stores: Vec<SocketAddr> = links.iter().map(|link| link.address).collect();
    let daemons = fleet_with_stores(222, &stores);
    wait_until("an owner", || epoch(&operator) > 0);
    links[2].set_mode(LinkMode::Cut);
    std::thread::sleep(NOTICE_DELAY);

    let answer = submit(&daemons[2], 1);

    assert_eq!(status(&answer), 200);
    wait_until("it is completed", || is_completed(&daemons[0], 1));
}

/// Guards against an untrue refusal: the store left a cancellation without an answer and then
/// refused its repetition, and the job was cancelled after its client was told that it was not.
#[test]
fn a_cancellation_that_may_be_carried_out_is_not_refused() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = fleet_from(223, 10, &[operator.store; 2]);
    wait_until("an owner", || epoch(&operator) > 0);
    assert_eq!(status(&submit(&daemons[0], 1)), 200);
    let key = format!("jobs/{:016x}/cancelled", 1);
    operator.world().delayed_key = Some((key.clone(), NOTICE_DELAY * 2));

    let answer = std::thread::scope(|scope| {
        let cancelling = scope.spawn(|| daemons[1].request("DELETE", &path(1), ""));
        wait_until("the cancellation arrives", || {
            operator.world().delayed_writes > 0
        });
        operator.world().mode = StoreMode::Refusing;
        cancelling.join().expect("an answer")
    });
    operator.world().mode = StoreMode::Serving;

    assert_eq!(status(&answer), 504);
    wait_until("it is carried out", || {
        operator.world().value(&key).is_some()
    });
}
