//! Real daemons beside a stand-in of the platform, whose owner is partitioned from its peers, the
//! store and some of the workers, while its successor reaches the others.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[path = "support/links.rs"]
mod links;
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
    is_completed,
    path,
    wait_until,
    wait_until_with_interval, //
};
use links::Links;
use operator::{
    Operator,
    RunRecord, //
};
use processes::{
    Answer,
    Daemon,
    loopback, //
};
use proxy::{
    LinkMode,
    Proxy, //
};
use serde_json::json;
use std::collections::BTreeSet;
use std::time::{
    Duration,
    Instant, //
};

/// The number of this file in the table of [`loopback`].
const TEST: u8 = 253;
const DAEMONS: u8 = 3;
const WORKERS: usize = 6;
/// A third of the workers has room for all tasks, and two of them take at most four workers.
const TASKS: usize = 4;
const ACCELERATORS_PER_TASK: u64 = 4;
/// Leases as short as an owner's authority. Emptying orders may be as old as the partition takes,
/// so that they do not keep the owner from starting tasks.
const FURTHER_SETTINGS: &str = "bounds.max_hold_ms=6000\nbounds.evacuation_ms=20000\n";
/// How long a partition lasts: longer than the authority of the owner and the leases.
const PARTITION_TIME: Duration = Duration::from_millis(8_500);
/// How long before the store and the other daemons the owner loses the workers on which tasks run.
/// Their leases then expire for it while it still has its authority.
const WORKER_LOSS_LEAD: Duration = Duration::from_millis(1_500);
/// How often a test looks for the moment of a partition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// A worker holds a call for up to a second. A lease of 6 s that began this long before the
/// partition counts as expired 5.4 s after it, since 0.25 s are added for a slow clock.
const LONG_CALL: Duration = Duration::from_millis(850);
/// The owner has confirmed its epoch within this time, so that its authority lasts for 5.75 s of the
/// partition.
const RECENT_CONFIRMATION: Duration = Duration::from_millis(250);
/// Time in which the owner stores what it has started.
const TIME_TO_STORE: Duration = Duration::from_millis(1_000);
/// Time in which the owner of the whole fleet finds out what runs and stops what must not run.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

struct Fleet {
    operator: Operator,
    links: Links,
    store_links: Vec<Proxy>,
    daemons: Vec<Daemon>,
}

/// Starts a fleet; `first` is the first of the 12 addresses of its daemons and relays.
fn spawn_fleet(first: u8) -> Fleet {
    let operator = Operator::spawn(WORKERS);
    operator.world().configure(1, &[("q", 1)], 5);
    let links = links::spawn(TEST, first, DAEMONS);
    let store_links: Vec<Proxy> = (0..DAEMONS)
        .map(|at| Proxy::spawn(operator.serve_store_with_peers(links.peers_of(at))))
        .collect();
    let daemons: Vec<Daemon> = (0..DAEMONS)
        .zip(&store_links)
        .map(|(at, store)| {
            let ip = loopback(TEST, first + at);
            let name = format!("d{at}");
            Daemon::spawn_with_settings(&name, ip, store.address, FURTHER_SETTINGS)
        })
        .collect();
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });
    Fleet {
        operator,
        links,
        store_links,
        daemons,
    }
}

impl Fleet {
    /// Submits a job and waits until all its tasks run.
    fn run_job(&self, job: u64, run_time: Duration) {
        let run_ms = run_time.as_millis() as u64;
        let body = json!({ "spec": run_ms.to_string(), "steps": [{ "count": TASKS, "cpu": 1000,
            "mem_mb": 100, "gpu": ACCELERATORS_PER_TASK, "estimated_ms": run_ms }] });
        self.operator.world().record_job(job, &body);
        let answer = self.daemons[0].request("POST", &path(job), &body.to_string());
        assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
        wait_until("all tasks run", || self.records().len() == TASKS);
    }

    fn records(&self) -> Vec<RunRecord> {
        self.operator.world().records.clone()
    }

    /// The number of the daemon that the store names as the owner.
    fn owner(&self) -> usize {
        let root = self.operator.world().value("owner").expect("an owner");
        let name = root["owner"].as_str().unwrap_or_default();
        let number = name.strip_prefix('d').and_then(|text| text.parse().ok());
        number.expect("the name is d and a number")
    }

    /// The workers on which tasks run.
    fn used_workers(&self) -> BTreeSet<usize> {
        let running = self.records().into_iter();
        let running = running.filter(|run| run.ended.is_none());
        running.map(|run| run.worker).collect()
    }

    /// Waits until the owner has just confirmed its epoch, and all workers on which tasks run are
    /// about to answer calls that they have held for long.
    fn wait_until_leases_are_older_than_authority(&self) {
        wait_until_with_interval(CHECK_INTERVAL, "long calls and a confirmation", || {
            let used = self.used_workers();
            let world = self.operator.world();
            let is_long = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() >= LONG_CALL);
            let is_confirmed = world
                .root_read
                .is_some_and(|at| at.elapsed() <= RECENT_CONFIRMATION);
            is_confirmed && used.iter().all(|&worker| is_long(world.last_hold(worker)))
        });
    }

    /// Partitions the owner, with the workers on which nothing runs, from everything else. It
    /// loses the workers on which tasks run `lead` before the store and the other daemons.
    fn partition_owner(&self, lead: Duration) {
        let (owner, epoch) = (self.owner(), epoch(&self.operator));
        let used = self.used_workers();
        let unused: Vec<usize> = (0..WORKERS).filter(|at| !used.contains(at)).collect();
        assert!(!used.is_empty() && !unused.is_empty(), "{used:?}");
        for &worker in &used {
            let epochs = epoch..epoch + 1;
            self.operator.world().cut_worker_from(worker, epochs);
        }
        std::thread::sleep(lead);

        for &worker in &unused {
            let epochs = epoch + 1..u64::MAX;
            self.operator.world().cut_worker_from(worker, epochs);
        }
        self.links.isolate(owner, true);
        self.store_links[owner].set_mode(LinkMode::Cut);
        std::thread::sleep(PARTITION_TIME);

        assert!(self::epoch(&self.operator) > epoch, "another daemon owns");
        for worker in 0..WORKERS {
            self.operator.world().cut_worker_from(worker, 0..0);
        }
        self.links.isolate(owner, false);
        self.store_links[owner].set_mode(LinkMode::Passing);
    }

    /// What broke the rule that a task does not run twice, as the workers observed it.
    fn doubled_runs(&self) -> Vec<String> {
        let records = self.records();
        let first = records.iter().map(|run| run.started).min();
        let ms = |at: Instant| first.map_or(0, |first| (at - first).as_millis());
        let text = |run: &RunRecord| {
            let (epoch, worker, started) = (run.epoch, run.worker, ms(run.started));
            let ended = run.ended.map(|(at, kind)| (ms(at), kind));
            let acknowledged = run.acknowledged.map(ms);
            format!(
                "epoch {epoch} on worker {worker} from {started} ms, ended {ended:?}, acknowledged {acknowledged:?}"
            )
        };
        let mut doubled = Vec::new();
        for run in &records {
            let later = records.iter().filter(|other| other.task == run.task);
            for other in later.filter(|other| other.started > run.started) {
                let at_once = run.ended.is_none_or(|(ended, _)| ended > other.started);
                let is_done = run.ended.is_some_and(|(_, kind)| kind == "done");
                let counts = is_done && run.acknowledged.is_some() && !run.discounted;
                if at_once || counts {
                    let how = if at_once { "at once" } else { "after its end" };
                    let (first, second) = (text(run), text(other));
                    doubled.push(format!("{} {how}: {first}; {second}", run.task));
                }
            }
        }
        doubled
    }
}

/// Guards against two runs of a task at once: the owner counted the lease of a worker as expired
/// that its successor had extended.
#[test]
fn an_owner_that_is_partitioned_from_its_successor_starts_no_task_that_the_successor_keeps_running()
{
    const JOB: u64 = 1;
    let fleet = spawn_fleet(0);
    fleet.run_job(JOB, Duration::from_secs(20));
    std::thread::sleep(TIME_TO_STORE);

    fleet.partition_owner(WORKER_LOSS_LEAD);

    wait_until("the job is completed", || {
        is_completed(&fleet.daemons[0], JOB)
    });
    let doubled = fleet.doubled_runs();
    assert!(doubled.is_empty(), "{doubled:#?}");
}

/// Guards against a task that is started again after its end was acknowledged: the owner counted
/// the lease of a worker as expired whose ends its successor had acknowledged.
#[test]
fn an_owner_that_is_partitioned_from_its_successor_starts_no_task_whose_end_the_successor_acknowledged()
 {
    const JOB: u64 = 1;
    /// The tasks end after the successor has taken over and before their leases expire for the
    /// owner.
    const RUN_TIME: Duration = Duration::from_millis(5_700);
    let fleet = spawn_fleet(20);
    fleet.run_job(JOB, RUN_TIME);
    std::thread::sleep(TIME_TO_STORE);

    fleet.partition_owner(WORKER_LOSS_LEAD);

    std::thread::sleep(SETTLE_TIME);
    assert!(is_completed(&fleet.daemons[0], JOB));
    let doubled = fleet.doubled_runs();
    assert!(doubled.is_empty(), "{doubled:#?}");
}

/// Guards against the same fault when the owner loses everything at one moment, shortly before the
/// workers would have answered.
#[test]
fn an_owner_that_loses_store_peers_and_workers_at_once_starts_no_task_that_its_successor_keeps_running()
 {
    const JOB: u64 = 1;
    let fleet = spawn_fleet(40);
    fleet.run_job(JOB, Duration::from_secs(25));
    std::thread::sleep(TIME_TO_STORE);
    fleet.wait_until_leases_are_older_than_authority();

    fleet.partition_owner(Duration::ZERO);

    std::thread::sleep(SETTLE_TIME);
    let doubled = fleet.doubled_runs();
    assert!(doubled.is_empty(), "{doubled:#?}");
}

/// Guards against a task that is started again after its end was acknowledged: its worker then
/// crashed, and the owner, which learned only of the crash, counted the run as lost.
#[test]
fn an_owner_that_is_partitioned_from_its_successor_starts_no_acknowledged_task_after_a_crash() {
    const JOB: u64 = 1;
    /// The tasks end once the successor has taken over.
    const RUN_TIME: Duration = Duration::from_millis(4_000);
    let fleet = spawn_fleet(60);
    fleet.run_job(JOB, RUN_TIME);
    std::thread::sleep(TIME_TO_STORE);
    let used: Vec<usize> = fleet.used_workers().into_iter().collect();

    std::thread::scope(|scope| {
        scope.spawn(|| fleet.partition_owner(Duration::ZERO));
        wait_until_with_interval(CHECK_INTERVAL, "all ends are acknowledged", || {
            let records = fleet.records();
            records.iter().all(|run| run.acknowledged.is_some())
        });
        let mut world = fleet.operator.world();
        world.crash_workers(&used);
        for &worker in &used {
            world.cut_worker_from(worker, 0..0);
        }
    });

    std::thread::sleep(SETTLE_TIME);
    assert!(is_completed(&fleet.daemons[0], JOB));
    let doubled = fleet.doubled_runs();
    assert!(doubled.is_empty(), "{doubled:#?}");
}
