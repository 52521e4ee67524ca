//! Parts of an owner that fail while its process goes on, with real daemons beside a stand-in of
//! the platform. The owner runs in the test's own process, so that a test can make its decisions
//! fail.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;

use daemons::{
    epoch,
    is_completed,
    job,
    path,
    wait_until, //
};
use fuchsiaslip::cluster::{
    ClusterDaemon,
    Decide,
    inspect_fleet,
    release_job, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::platform::read_settings;
use fuchsiaslip::scheduler::Scheduler;
use fuchsiaslip::timer::Timer;
use metrics_exporter_prometheus::PrometheusBuilder;
use operator::Operator;
use processes::{
    Answer,
    Daemon,
    is_ready_at,
    loopback,
    request_at,
    settings_text, //
};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

const JOB: u64 = 1;
/// Time within which other jobs are done after a job has begun to end owners.
const SERVED_WITHIN: Duration = Duration::from_secs(5);

/// Starts a daemon in this process that decides with `decide`. It runs until the process ends.
fn spawn_here(name: &str, ip: Ipv4Addr, operator: &Operator, decide: Decide) {
    let settings = settings_text(name, ip, operator.store, "");
    let settings = read_settings(&settings).expect("the settings are valid");
    let timer = Timer::spawn().expect("a timer");
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let daemon = ClusterDaemon::spawn(settings, timer, metrics, decide).await;
            let _running = daemon.expect("the daemon starts");
            std::future::pending::<()>().await;
        });
    });
}

/// A fleet whose owner is in this process and calls `fail` instead of deciding once
/// `should_fail` is set.
struct FailingOwner {
    operator: Operator,
    ip: Ipv4Addr,
    should_fail: Arc<AtomicBool>,
    others: Vec<Daemon>,
}

impl FailingOwner {
    fn spawn(test: u8, fail: impl Fn() + Send + 'static) -> Self {
        let operator = Operator::spawn(3);
        operator.world().configure(1, &[("q", 1)], 5);
        let should_fail = Arc::new(AtomicBool::new(false));
        let failing = should_fail.clone();
        let ip = loopback(test, 0);
        let decide = move |scheduler: &mut Scheduler, now_ms: u64| {
            if failing.load(Ordering::Relaxed) {
                fail();
            }
            scheduler.decide(now_ms)
        };
        spawn_here("d0", ip, &operator, Box::new(decide));
        wait_until("the daemon in this process owns", || epoch(&operator) == 1);
        let others = (1..3u8).map(|at| {
            let name = format!("d{at}");
            Daemon::spawn(&name, loopback(test, at), operator.store)
        });
        let fleet = Self {
            others: others.collect(),
            operator,
            ip,
            should_fail,
        };
        wait_until("every daemon is ready", || {
            fleet.others.iter().all(Daemon::is_ready) && is_ready_at(fleet.ip)
        });
        fleet
    }

    /// Makes the owner fail, and submits a job through another daemon.
    fn fail(&self) {
        self.should_fail.store(true, Ordering::Relaxed);
        let answer = self.others[0].request("POST", &path(JOB), &job(1, 100));
        assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
    }

    /// Whether a daemon in another process has logged that it took over for a reason.
    fn has_taken_over(&self, reason: &str) -> bool {
        let logs = self.others.iter().map(Daemon::log);
        let mut logs = logs.map(|log| std::fs::read_to_string(log).unwrap_or_default());
        logs.any(|log| log.contains(&format!("takeover reason {reason}")))
    }
}

/// Guards against a fleet in which nothing is scheduled any more: the control thread of the owner
/// had panicked, its heartbeats and confirmations of the epoch went on, and no other daemon took
/// over.
#[test]
fn an_owner_whose_control_thread_panics_is_replaced_at_once() {
    let fleet = FailingOwner::spawn(249, || panic!("a fault of the test"));

    fleet.fail();

    wait_until("another daemon owns", || epoch(&fleet.operator) == 2);
    wait_until("the job is completed", || {
        is_completed(&fleet.others[1], JOB)
    });
    assert!(fleet.has_taken_over("owner_failed"));
    wait_until("the daemon serves callers", || is_ready_at(fleet.ip));
}

/// Guards against the same with a control thread that never ends a decision.
#[test]
fn an_owner_whose_control_thread_stalls_is_replaced() {
    const FOREVER: Duration = Duration::from_secs(3_600);
    let fleet = FailingOwner::spawn(250, || std::thread::sleep(FOREVER));

    fleet.fail();

    wait_until("another daemon owns", || epoch(&fleet.operator) == 2);
    wait_until("the job is completed", || {
        is_completed(&fleet.others[1], JOB)
    });
    assert!(fleet.has_taken_over("owner_failed"));
    assert!(
        !is_ready_at(fleet.ip),
        "its control thread does not respond"
    );
}

/// Three daemons in this process of which each owner fails while it decides about the job
/// [`JOB`], as long as `is_faulty` is set.
struct FaultyJob {
    operator: Operator,
    ips: Vec<Ipv4Addr>,
    is_faulty: Arc<AtomicBool>,
}

impl FaultyJob {
    fn spawn(test: u8) -> Self {
        let operator = Operator::spawn(3);
        operator.world().configure(1, &[("q", 1)], 5);
        let is_faulty = Arc::new(AtomicBool::new(true));
        let ips: Vec<Ipv4Addr> = (0..3).map(|at| loopback(test, at)).collect();
        for (at, &ip) in ips.iter().enumerate() {
            let faulty = is_faulty.clone();
            let decide = move |scheduler: &mut Scheduler, now_ms: u64| {
                let id = JobId(JOB);
                let mut jobs = scheduler.jobs();
                let is_open = jobs.any(|job| job.id == id && !job.is_over());
                if is_open && faulty.load(Ordering::Relaxed) {
                    drop(jobs);
                    scheduler.set_deciding(Some(id));
                    panic!("a fault of the test");
                }
                drop(jobs);
                scheduler.decide(now_ms)
            };
            spawn_here(&format!("d{at}"), ip, &operator, Box::new(decide));
        }
        wait_until("a daemon owns", || epoch(&operator) == 1);
        wait_until("every daemon is ready", || {
            ips.iter().all(|&ip| is_ready_at(ip))
        });
        Self {
            operator,
            ips,
            is_faulty,
        }
    }

    fn submit(&self, id: u64) {
        let answer = request_at(self.ips[0], "POST", &path(id), &job(1, 100));
        assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
    }

    fn state(&self, id: u64) -> String {
        match request_at(self.ips[1], "GET", &path(id), "") {
            Answer::Status(200, body) => body,
            other => format!("{other:?}"),
        }
    }

    /// Number of marks of failed owners that the store has for the job.
    fn marks(&self) -> usize {
        let store = self.operator.store.to_string();
        let report = actix_rt::System::new().block_on(async {
            let timer = Timer::spawn().expect("a timer");
            inspect_fleet(&store, timer)
                .await
                .expect("the store answers")
        });
        let marks = report.failures.get(&JobId(JOB).to_string());
        marks.map_or(0, Vec::len)
    }

    fn release(&self) {
        let store = self.operator.store.to_string();
        actix_rt::System::new().block_on(async {
            let timer = Timer::spawn().expect("a timer");
            let released = release_job(&store, timer, JobId(JOB)).await;
            released.expect("the store answers");
        });
    }
}

/// Guards against a stored job that ends one owner after the other, so that nothing is scheduled
/// any more.
#[test]
fn a_job_that_ends_two_owners_is_set_aside_until_it_is_released() {
    let fleet = FaultyJob::spawn(251);
    let began = Instant::now();

    fleet.submit(JOB);
    fleet.submit(2);
    wait_until("the other job is completed", || {
        fleet.state(2) == r#"{"state":"completed"}"#
    });
    let served_after = began.elapsed();
    let state_meanwhile = fleet.state(JOB);
    let marks = fleet.marks();
    fleet.is_faulty.store(false, Ordering::Relaxed);
    fleet.release();
    wait_until("the released job is completed", || {
        fleet.state(JOB) == r#"{"state":"completed"}"#
    });

    assert!(served_after < SERVED_WITHIN, "{served_after:?}");
    assert_eq!(epoch(&fleet.operator), 3, "two owners ended");
    assert_eq!(state_meanwhile, r#"{"state":"queued"}"#);
    assert_eq!((marks, fleet.marks()), (2, 0));
}
