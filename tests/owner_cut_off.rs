//! Real daemons beside a stand-in of the platform, whose owner cannot reach the
//! store while it reaches all workers.

#[expect(dead_code, reason = "other tests use the rest")]
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
    fleet_behind,
    is_completed,
    path,
    wait_until_looking, //
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
use serde_json::{
    Value,
    json, //
};
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

/// A test looks this often: what it waits for is over soon.
const PAUSE: Duration = Duration::from_millis(5);
const DAEMONS: u8 = 3;
/// Long enough that the owner has stored all that a start needs.
const RUN: Duration = Duration::from_millis(1_500);
/// The owner loses the store so long before the end of the run: it hears the
/// ends, and no other daemon owns yet, which takes half a second.
const CUT_BEFORE_END: Duration = Duration::from_millis(100);
/// An owner that lets go of an end does so within a look or two.
const LETS_GO: Duration = Duration::from_millis(200);

struct Fleet {
    operator: Operator,
    store_links: Vec<Proxy>,
    daemons: Vec<Daemon>,
}

impl Fleet {
    fn begin(test: u8, workers: usize) -> Self {
        let operator = Operator::spawn(workers);
        operator.world().configure(1, &[("q", 1)], 5);
        let links = (0..DAEMONS).map(|_| Proxy::spawn(operator.store));
        let store_links: Vec<Proxy> = links.collect();
        let stores: Vec<SocketAddr> = store_links.iter().map(|link| link.address).collect();
        Self {
            daemons: fleet_behind(test, &stores),
            operator,
            store_links,
        }
    }

    fn owner(&self) -> usize {
        let root = self.operator.world().value("owner").expect("an owner");
        let name = root["owner"].as_str().unwrap_or_default();
        let number = name.strip_prefix('d').and_then(|text| text.parse().ok());
        number.expect("daemons are named so")
    }

    fn epoch(&self) -> u64 {
        epoch(&self.operator)
    }

    fn submit(&self, job: u64, body: &Value) {
        self.operator.world().note_job(job, body);
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

/// A daemon that took the epoch tries so long to read what is stored.
const READS_TRIED: Duration = Duration::from_millis(1_500);

fn gang(members: u32) -> Value {
    json!({ "spec": RUN.as_millis().to_string(),
        "steps": [{ "count": members, "cpu": 1000, "mem_mb": 100, "gpu": 8, "gang": true,
            "estimated_ms": RUN.as_millis() as u64 }] })
}

fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    wait_until_looking(PAUSE, what, holds);
}

/// A gang that was done ran again. Its owner could not reach the store when the
/// members ended, and could reach their workers: it waited for the store with
/// the end that it heard first, and let go of the others, since the job was over
/// in its memory. The worker of the first one was lost before the next owner
/// asked it, so nobody knew any more that the gang was done.
#[test]
fn a_gang_whose_owner_lost_the_store_is_not_run_again() {
    const JOB: u64 = 1;
    let fleet = Fleet::begin(214, 2);
    fleet.submit(JOB, &gang(2));
    wait_until("both members run", || fleet.records().len() == 2);
    let (owner, epoch) = (fleet.owner(), fleet.epoch());
    let began = fleet.records().iter().map(|run| run.began).max().unwrap();
    let until_cut = (began + RUN - CUT_BEFORE_END).saturating_duration_since(Instant::now());
    std::thread::sleep(until_cut);

    fleet.store_links[owner].set_mode(LinkMode::Cut);
    wait_until("both members are done", || {
        fleet.records().iter().all(|run| run.ended.is_some())
    });
    let ended = Instant::now();
    let lost = loop {
        let listed: Vec<usize> = (0..2)
            .filter(|&at| fleet.operator.world().listed_ends(at) > 0)
            .collect();
        if listed.len() == 1 || ended.elapsed() >= LETS_GO {
            break listed[0];
        }
        std::thread::sleep(PAUSE);
    };
    assert_eq!(fleet.epoch(), epoch, "nobody else owns yet");
    fleet.operator.world().crash_worker(lost);

    let other = (owner + 1) % usize::from(DAEMONS);
    wait_until("the job is completed", || fleet.is_completed(other, JOB));
    assert!(fleet.epoch() > epoch, "another daemon owns");
    assert_eq!(fleet.records().len(), 2, "{:#?}", fleet.records());
}

/// No daemon owned for as long as all of them lived. The owner had lost the store;
/// another one took the next epoch, could not read what is stored, and gave up.
/// By then the first one had the store again and was heard, so the second waited
/// for it; it had stepped down, and waited for the one that the store names.
#[test]
fn a_daemon_that_took_the_epoch_and_could_not_begin_tries_again() {
    const JOB: u64 = 1;
    let fleet = Fleet::begin(215, 2);
    wait_until("an owner has begun", || {
        fleet.operator.world().value("roster").is_some()
    });
    let (owner, epoch) = (fleet.owner(), fleet.epoch());
    fleet.operator.world().mode = StoreMode::RefusingRanges;
    fleet.store_links[owner].set_mode(LinkMode::Cut);
    wait_until("another daemon took the epoch", || fleet.epoch() > epoch);

    fleet.store_links[owner].set_mode(LinkMode::Passing);
    fleet.store_links[owner].reset_open();
    std::thread::sleep(READS_TRIED);
    fleet.operator.world().mode = StoreMode::Serving;

    fleet.submit(JOB, &gang(2));
    wait_until("the job is completed", || fleet.is_completed(owner, JOB));
}
