//! Real daemons beside a stand-in of the platform, whose owner cannot reach the store
//! while it reaches all workers.

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
    wait_until_with_interval, //
};
use operator::{
    Operator,
    RunRecord,
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
use serde_json::{
    Value,
    json, //
};
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// How often a test checks a condition; what these tests wait for is over soon.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const DAEMONS: u8 = 3;
/// Run time of each task: long enough that the owner has stored all that a start
/// needs.
const RUN_TIME: Duration = Duration::from_millis(1_500);
/// The owner loses the store this long before the end of the runs. The owner then
/// receives the ends, and no other daemon owns yet, since a takeover needs half a
/// second.
const CUT_BEFORE_END: Duration = Duration::from_millis(100);
/// An owner that acknowledges an end does so within one or two polls, which take less
/// than this.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(200);

struct Fleet {
    operator: Operator,
    store_links: Vec<Proxy>,
    daemons: Vec<Daemon>,
}

impl Fleet {
    fn spawn(test: u8, workers: usize) -> Self {
        let operator = Operator::spawn(workers);
        operator.world().configure(1, &[("q", 1)], 5);
        let links = (0..DAEMONS).map(|_| Proxy::spawn(operator.store));
        let store_links: Vec<Proxy> = links.collect();
        let stores: Vec<SocketAddr> = store_links.iter().map(|link| link.address).collect();
        Self {
            daemons: fleet_with_stores(test, &stores),
            operator,
            store_links,
        }
    }

    fn owner(&self) -> usize {
        let root = self.operator.world().value("owner").expect("an owner");
        let name = root["owner"].as_str().unwrap_or_default();
        let number = name.strip_prefix('d').and_then(|text| text.parse().ok());
        number.expect("the name is d and a number")
    }

    fn epoch(&self) -> u64 {
        epoch(&self.operator)
    }

    fn submit(&self, job: u64, body: &Value) {
        self.operator.world().record_job(job, body);
        let answer = self.daemons[0].request("POST", &path(job), &body.to_string());
        assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
    }

    fn is_completed(&self, daemon: usize, job: u64) -> bool {
        is_completed(&self.daemons[daemon], job)
    }

    fn records(&self) -> Vec<RunRecord> {
        self.operator.world().records.clone()
    }
}

/// Longer than a daemon that took the epoch tries to read the stored state.
const READ_ATTEMPTS_TIME: Duration = Duration::from_millis(1_500);

fn gang(members: u32) -> Value {
    json!({ "spec": RUN_TIME.as_millis().to_string(),
        "steps": [{ "count": members, "cpu": 1000, "mem_mb": 100, "gpu": 8, "gang": true,
            "estimated_ms": RUN_TIME.as_millis() as u64 }] })
}

fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    wait_until_with_interval(CHECK_INTERVAL, what, condition);
}

/// Guards against a completed gang that runs again. The owner could not reach the
/// store when the members ended, but could reach their workers. It kept the first end
/// until the store would answer, and acknowledged the other ends, since the job was
/// over in its memory. The worker with the first end was lost before the next owner
/// polled it, so nobody knew any more that the gang had completed.
#[test]
fn a_gang_whose_owner_lost_the_store_is_not_run_again() {
    const JOB: u64 = 1;
    let fleet = Fleet::spawn(214, 2);
    fleet.submit(JOB, &gang(2));
    wait_until("both members run", || fleet.records().len() == 2);
    let (owner, epoch) = (fleet.owner(), fleet.epoch());
    let last_start = fleet.records().iter().map(|run| run.started).max().unwrap();
    let until_cut =
        (last_start + RUN_TIME - CUT_BEFORE_END).saturating_duration_since(Instant::now());
    std::thread::sleep(until_cut);

    fleet.store_links[owner].set_mode(LinkMode::Cut);
    wait_until("both members are done", || {
        fleet.records().iter().all(|run| run.ended.is_some())
    });
    let ended = Instant::now();
    let lost_worker = loop {
        let listed: Vec<usize> = (0..2)
            .filter(|&at| fleet.operator.world().listed_ends(at) > 0)
            .collect();
        if listed.len() == 1 || ended.elapsed() >= ACKNOWLEDGEMENT_TIME {
            break listed[0];
        }
        std::thread::sleep(CHECK_INTERVAL);
    };
    assert_eq!(fleet.epoch(), epoch, "nobody else owns yet");
    fleet.operator.world().crash_worker(lost_worker);

    let other = (owner + 1) % usize::from(DAEMONS);
    wait_until("the job is completed", || fleet.is_completed(other, JOB));
    assert!(fleet.epoch() > epoch, "another daemon owns");
    assert_eq!(fleet.records().len(), 2, "{:#?}", fleet.records());
}

/// Guards against a fleet without an owner. The owner had lost the store; another
/// daemon took the next epoch, could not read the stored state, and gave up. By then
/// the first owner reached the store again and sent heartbeats, so the second daemon
/// waited for it. But it had stepped down, and waited for the one that the store
/// names.
#[test]
fn a_daemon_that_took_the_epoch_but_could_not_read_the_store_tries_again() {
    const JOB: u64 = 1;
    let fleet = Fleet::spawn(215, 2);
    wait_until("an owner has begun", || {
        !fleet.operator.world().roster().is_empty()
    });
    let (owner, epoch) = (fleet.owner(), fleet.epoch());
    fleet.operator.world().mode = StoreMode::RefusingRanges;
    fleet.store_links[owner].set_mode(LinkMode::Cut);
    wait_until("another daemon took the epoch", || fleet.epoch() > epoch);

    fleet.store_links[owner].set_mode(LinkMode::Passing);
    fleet.store_links[owner].reset_open();
    std::thread::sleep(READ_ATTEMPTS_TIME);
    fleet.operator.world().mode = StoreMode::Serving;

    fleet.submit(JOB, &gang(2));
    wait_until("the job is completed", || fleet.is_completed(owner, JOB));
}

/// Guards against a task that runs twice at the same time after two changes of owner.
/// The first owner was cut off but still running. The second one crashed soon after
/// its takeover and restarted. The third knew only that the second one's process had
/// ended. It waited for one lease, instead of the time in which the first owner may
/// still grant leases.
#[test]
fn a_third_owner_waits_for_the_leases_of_the_first_although_the_second_restarted() {
    /// An owner grants leases of 7 s until 6 s after it last confirmed its epoch.
    const LEASE_EXPIRY_TIME: Duration = Duration::from_millis(11_500);
    let operator = Operator::spawn(2);
    operator.world().configure(1, &[("q", 1)], 5);
    let mut daemons = fleet(217, 2, &operator);
    wait_until_with_interval(CHECK_INTERVAL, "an owner", || {
        !operator.world().roster().is_empty()
    });
    std::thread::sleep(Duration::from_secs(2));
    daemons[0].request("POST", &path(1), &job(1, 60_000));
    wait_until_with_interval(CHECK_INTERVAL, "it runs", || {
        operator.world().records.len() == 1
    });
    std::thread::sleep(Duration::from_secs(1));
    let first = owner(&operator);
    let first_epoch = epoch(&operator);
    let worker = operator.world().records[0].worker;

    operator.world().cut_worker(worker, true);
    daemons[first].signal(Signal::STOP);
    wait_until_with_interval(CHECK_INTERVAL, "a second owner", || {
        epoch(&operator) > first_epoch
    });
    let second = owner(&operator);
    let second_epoch = epoch(&operator);
    std::thread::sleep(ACKNOWLEDGEMENT_TIME);
    daemons[second].kill();
    daemons[second].start();
    wait_until_with_interval(CHECK_INTERVAL, "a third owner", || {
        epoch(&operator) > second_epoch
    });
    let taken_over_at = Instant::now();
    wait_until_with_interval(CHECK_INTERVAL, "the task starts again", || {
        operator.world().records.len() > 1
    });
    let waited = taken_over_at.elapsed();
    daemons[first].signal(Signal::CONT);

    assert_ne!(first, second);
    assert!(
        waited >= LEASE_EXPIRY_TIME,
        "the third owner waited only {waited:?}"
    );
}

/// Guards against a worker whose connections are all held by daemons that no longer own. They are
/// paused and cannot close them, and the next owner reached no worker: nothing ran any more.
#[test]
fn paused_owners_leave_the_next_owner_connections_to_the_workers() {
    /// Enough for an owner of a few connections after two others, and no more.
    const WORKER_CONNECTIONS: usize = 12;
    /// Twice as many tasks as the workers have accelerators.
    const TASKS: u32 = 32;
    const RUN_MS: u64 = 400;
    const FIRST_ADDRESS: u8 = 20;
    let operator = Operator::spawn(2);
    operator.world().configure(1, &[("q", 1)], 5);
    operator.world().worker_connections = WORKER_CONNECTIONS;
    let daemons = fleet_from(217, FIRST_ADDRESS, &[operator.store; 3]);
    wait_until("an owner", || !operator.world().roster().is_empty());
    let mut paused = Vec::new();
    for _ in 0..2 {
        let (owner, owner_epoch) = (owner(&operator), epoch(&operator));
        let started = operator.world().records.len();
        let own_job = paused.len() as u64 + 1;
        let answer = daemons[owner].request("POST", &path(own_job), &job(TASKS, RUN_MS));
        assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
        wait_until("the workers are busy", || {
            operator.world().records.len() >= started + TASKS as usize / 2
        });

        daemons[owner].signal(Signal::STOP);
        paused.push(owner);
        wait_until("another owner", || epoch(&operator) > owner_epoch);
    }

    let last = (0..daemons.len()).find(|at| !paused.contains(at));
    let last = &daemons[last.expect("a third daemon")];
    wait_until("all jobs are completed", || {
        is_completed(last, 1) && is_completed(last, 2)
    });
    for owner in paused {
        daemons[owner].signal(Signal::CONT);
    }
}

/// The number of the daemon that the store names as the owner.
fn owner(operator: &Operator) -> usize {
    let root = operator.world().value("owner").expect("an owner");
    let name = root["owner"].as_str().expect("a name");
    let number = name.strip_prefix('d').expect("the name is d and a number");
    number.parse().expect("a number")
}
