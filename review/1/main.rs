//! Workers of a gang crash one after the other, and with the last of them the owner's process
//! is killed. Then a small job is handed in.
#[path = "../standin.rs"]
mod standin;

use standin::*;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const IP: &str = "127.0.0.1";
const DAEMONS: usize = 3;
const WORKERS: usize = 14;
/// Worker crashes, one worker at a time, and how long a worker is down.
const CRASHES: usize = 4;
const DOWN: Duration = Duration::from_millis(3_000);
/// How long a gang works before the next crash.
const WORKS: Duration = Duration::from_millis(1_500);
/// How long after the last crash the owner is killed, and how long it is down.
const KILL_AFTER: Duration = Duration::from_millis(400);
const KILLED: Duration = Duration::from_millis(3_000);
const BUDGET: Duration = Duration::from_millis(3_000);
/// For so long a job may have nothing running.
const NOTHING_RUNS: Duration = Duration::from_secs(3);
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

/// A job that takes most of five workers.
const OTHER_JOB: &str = "{\"spec\":\"200000 20000 gang 5\",\"steps\":[{\"count\":5,\"cpu\":20000,\
    \"mem_mb\":100,\"estimated_ms\":200000,\"gang\":true}]}";
/// A job with two independent steps, both gangs: of 6 and of 10 members, each of which takes
/// most of a worker. The second one waits until the other job has ended.
const LARGE_JOB: &str = "{\"spec\":\"200000 20000 gang 6/200000 20000 gang 10\",\"steps\":[\
    {\"count\":6,\"cpu\":20000,\"mem_mb\":100,\"estimated_ms\":200000,\"gang\":true},\
    {\"count\":10,\"cpu\":20000,\"mem_mb\":100,\"estimated_ms\":200000,\"gang\":true}]}";
const SMALL_JOB: &str = "{\"spec\":\"2000 1000\",\"steps\":[{\"count\":1,\"cpu\":1000,\
    \"mem_mb\":100,\"estimated_ms\":2000}]}";

fn main() {
    run(|record, folder, trouble| {
        let (store, store_address) = Store::spawn(IP);
        let gangs = Arc::new(Gangs::default());
        configure(&store, 3);
        let workers: Vec<Arc<Worker>> = (0..WORKERS)
            .map(|at| {
                let (name, rack) = (format!("w{at}"), format!("r{}", at / 7));
                Worker::spawn(&name, &rack, IP, &store, &gangs, record)
            })
            .collect();
        let mut daemons: Vec<Daemon> = (0..DAEMONS)
            .map(|at| Daemon::spawn(folder, at, store_address))
            .collect();
        if !wait_until(Duration::from_secs(15), || {
            daemons.iter().all(Daemon::is_ready)
        }) {
            return Err("the daemons are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(2_500));
        let owner = || {
            store
                .value("owner")
                .map_or(String::new(), |root| root.get("owner").text().to_owned())
        };

        let large = "/q/00000000000000a1";
        for (path, body) in [("/q/00000000000000a0", OTHER_JOB), (large, LARGE_JOB)] {
            let answer = request(daemons[0].clients, "POST", path, body, BUDGET);
            record.line(&format!("client: POST {path}: {answer:?}"));
            if answer.is_none_or(|(status, _)| status != 200) {
                return Err("a job was not accepted".to_owned());
            }
            thread::sleep(Duration::from_millis(500));
        }

        // In each round another member's worker crashes, some time after the gang began.
        let hosts = |step: usize| -> Vec<(String, usize)> {
            let prefix = format!("00000000000000a1.0.{step}.");
            let tasks = workers.iter().enumerate();
            let tasks = tasks
                .flat_map(|(at, worker)| worker.tasks().into_iter().map(move |task| (task, at)));
            let mut hosts: Vec<_> = tasks
                .filter(|(task, _)| task.starts_with(&prefix))
                .collect();
            hosts.sort();
            hosts
        };
        for round in 0..CRASHES {
            if !wait_until(Duration::from_secs(15), || hosts(0).len() == 6) {
                return Err(format!("the gang does not run in round {round}"));
            }
            thread::sleep(WORKS);
            let (task, worker) = hosts(0)[round].clone();
            if !trouble {
                continue;
            }
            record.line(&format!("round {round}: the worker of {task} crashes"));
            workers[worker].crash();
            if round + 1 < CRASHES {
                thread::sleep(DOWN);
                workers[worker].start();
                continue;
            }
            let crashed = Instant::now();
            thread::sleep(KILL_AFTER);
            let killed = owner();
            record.line(&format!("the owner {killed} is killed"));
            let daemon = daemons.iter_mut().find(|daemon| daemon.name == killed);
            let daemon = daemon.ok_or("no daemon owns")?;
            daemon.kill();
            thread::sleep(DOWN.saturating_sub(crashed.elapsed()));
            workers[worker].start();
            thread::sleep(KILLED.saturating_sub(DOWN - KILL_AFTER));
            daemon.start();
            record.line(&format!("{killed} is started again"));
        }
        thread::sleep(Duration::from_secs(12));
        record.line(&format!(
            "nothing disturbs any more; the owner is {}",
            owner()
        ));

        let small = "/q/00000000000000b1";
        let answer = request(daemons[0].clients, "POST", small, SMALL_JOB, BUDGET);
        record.line(&format!("client: POST {small}: {answer:?}"));
        if answer.is_none_or(|(status, _)| status != 200) {
            return Err("the small job was not accepted".to_owned());
        }
        thread::sleep(FINISH);
        // The rule: for 3 s, the job has nothing running, although there is capacity for it
        // twice over and under half of the capacity is in use.
        let (mut waits_since, mut held) = (Instant::now(), true);
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until && held {
            let tasks: Vec<String> = workers.iter().flat_map(|worker| worker.tasks()).collect();
            let runs = tasks
                .iter()
                .any(|task| task.starts_with("00000000000000b1"));
            let idle = workers
                .iter()
                .filter(|worker| worker.tasks().is_empty())
                .count();
            let answer = request(daemons[0].clients, "GET", small, "", BUDGET);
            let completed = answer
                .as_ref()
                .is_some_and(|(_, body)| body.contains("completed"));
            record.line(&format!(
                "client: GET {small} at d0: {answer:?}; {idle} of {WORKERS} workers run nothing"
            ));
            if runs || completed || idle * 2 <= WORKERS {
                waits_since = Instant::now();
            }
            held = waits_since.elapsed() < NOTHING_RUNS;
            thread::sleep(Duration::from_millis(250));
        }
        for daemon in &mut daemons {
            let (running, ready) = (daemon.is_running(), daemon.is_ready());
            record.line(&format!(
                "{}: running {running}, ready {ready}",
                daemon.name
            ));
            for line in daemon.error_lines() {
                record.line(&format!("{} standard error: {line}", daemon.name));
            }
        }
        record.line(&format!("the owner is {}", owner()));
        Ok(held)
    })
}
