//! The cases. Each returns whether the rule was broken.

use crate::world::*;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Ends a case: writes the verdict.
fn verdict(log: &Log, place: &Place, broken: &[String]) -> bool {
    for what in broken.iter().take(20) {
        log.line(what);
    }
    log.line(&format!("violations: {}", broken.len()));
    println!("violations: {}", broken.len());
    place.close();
    !broken.is_empty()
}

fn steps_json(steps: &[(u64, u64, u64, u64, u64)]) -> J {
    let steps = steps.iter().map(|&(count, cpu, mem_mb, gpu, estimated_ms)| {
        let mut fields = vec![("count", n(count)), ("cpu", n(cpu)), ("mem_mb", n(mem_mb))];
        if gpu > 0 {
            fields.push(("gpu", n(gpu)));
        }
        fields.push(("estimated_ms", n(estimated_ms)));
        obj(&fields)
    });
    J::Arr(steps.collect())
}

/// How long the store answers all daemons with 503: the pages' sites have up to 4.5 s.
const OUTAGE: Duration = Duration::from_millis(2_000);
/// When the owner is killed in that time.
const KILL_AFTER: Duration = Duration::from_millis(1_600);

/// Case 9: ends beyond the 500 that a worker lists are unknown to a new owner, which starts
/// their work units again.
pub fn hidden_ends(folder: &str) -> bool {
    let mut fleet = Deployment::open(folder, &[128, 128, 128, 128, 128, 32]);
    sleep_ms(1_000);
    let Some(first) = owner(&fleet.store, &fleet.daemons) else { cannot_run("there is no owner") };
    let id = "00000000000000a1";
    fleet.know(id, vec![StepNeeds { cpu: 500, mem_mb: 256, gpu: 0, work_ms: Some(700) }]);
    let body = obj(&[
        ("spec", s("x")),
        ("steps", steps_json(&[(24, 500, 256, 0, 700)])),
        ("repetitions", n(500)),
        ("start_at_ms", n(unix_ms() + 500)),
        ("interval_ms", n(14)),
    ]);
    if fleet.submit(id, &body) != Some(200) {
        cannot_run("the job was not accepted");
    }
    let until = Instant::now() + Duration::from_secs(20);
    while fleet.log.runs.lock().unwrap().len() < 3_000 {
        if Instant::now() > until {
            cannot_run("the job does not run");
        }
        sleep_ms(10);
    }
    let log = fleet.log.clone();
    let addresses: Vec<String> = fleet.daemons.iter().map(|daemon| daemon.store.to_string()).collect();
    if has_trouble() {
        let began = Instant::now();
        log.line("the store answers all daemons with 503");
        addresses.iter().for_each(|address| fleet.store.turn_away(address, Some(Turned::Busy)));
        std::thread::sleep(KILL_AFTER);
        fleet.daemons[first].kill("node_kill");
        std::thread::sleep(OUTAGE.saturating_sub(began.elapsed()));
        log.line("the store serves all daemons again");
        addresses.iter().for_each(|address| fleet.store.turn_away(address, None));
        sleep_ms(1_000);
        fleet.daemons[first].start();
    }
    for _ in 0..30 {
        sleep_ms(1_000);
        let answer = fleet.state(id);
        log.line(&format!("GET /q/{id}: {answer:?}, runs so far {}", log.runs.lock().unwrap().len()));
        if answer.is_some_and(|(_, text)| text.contains("completed")) {
            break;
        }
    }
    // The ends of the last runs are taken note of.
    sleep_ms(1_500);
    let now = owner(&fleet.store, &fleet.daemons).map_or("nobody", |at| fleet.daemons[at].name.as_str());
    log.line(&format!("owner before: {}, now: {now}", fleet.daemons[first].name));
    let broken = twice(&log);
    let Deployment { place, daemons, .. } = fleet;
    drop(daemons);
    verdict(&log, &place, &broken)
}

/// How long the store turns the owner away: the pages' sites have up to 9 s.
const TURNED_AWAY: Duration = Duration::from_secs(7);

/// Case 10: a daemon that no longer owns keeps all connections that a worker has, so that the new owner
/// reaches no worker and nothing runs any more.
pub fn kept_connections(folder: &str) -> bool {
    let fleet = Deployment::open(folder, &[32; 6]);
    let log = fleet.log.clone();
    sleep_ms(1_000);
    let Some(first) = owner(&fleet.store, &fleet.daemons) else { cannot_run("there is no owner") };
    let id = "00000000000000a1";
    fleet.know(id, vec![StepNeeds { cpu: 500, mem_mb: 256, gpu: 0, work_ms: Some(900) }]);
    let body = obj(&[("spec", s("x")), ("steps", steps_json(&[(400, 500, 256, 0, 900)]))]);
    if fleet.submit(id, &body) != Some(200) {
        cannot_run("the job was not accepted");
    }
    sleep_ms(1_500);
    let address = fleet.daemons[first].store.to_string();
    let began = Instant::now();
    if has_trouble() {
        log.line(&format!("the store answers {} with 503", fleet.daemons[first].name));
        fleet.store.turn_away(&address, Some(Turned::Busy));
    }
    let mut accepted = Vec::new();
    for at in 0..12 {
        sleep_ms(1_000);
        if has_trouble() && began.elapsed() >= TURNED_AWAY {
            fleet.store.turn_away(&address, None);
        }
        let ordinary = format!("00000000000001{at:02x}");
        if matches!(fleet.submit_ordinary(&ordinary), Some(200..=299)) {
            accepted.push(ordinary);
        }
        let open: Vec<usize> = fleet.workers.iter().map(|worker| worker.connections()).collect();
        let now = owner(&fleet.store, &fleet.daemons).map_or("nobody", |at| &fleet.daemons[at].name);
        log.line(&format!("runs {}, owner {now}, connections of the workers {open:?}", log.runs.lock().unwrap().len()));
    }
    let broken = lost_jobs(&fleet, &accepted);
    let open: Vec<usize> = fleet.workers.iter().map(|worker| worker.connections()).collect();
    log.line(&format!("connections of the workers {open:?}"));
    let Deployment { place, daemons, .. } = fleet;
    drop(daemons);
    verdict(&log, &place, &broken)
}

/// Milliseconds since 1970.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// A small deployment: three daemons, and workers with the given numbers of cores.
struct Deployment {
    log: Arc<Log>,
    place: Place,
    store: Store,
    workers: Vec<Arc<Worker>>,
    daemons: Vec<Daemon>,
}

impl Deployment {
    fn open(folder: &str, cores: &[u64]) -> Self {
        Self::open_with_cloud(folder, cores, false).0
    }
    fn open_with_cloud(folder: &str, cores: &[u64], has_cloud: bool) -> (Self, Option<Arc<Cloud>>) {
        let log = Log::open(folder, false);
        let place = Place::open();
        let store = Store::spawn();
        let workers: Vec<Arc<Worker>> = cores
            .iter()
            .enumerate()
            .map(|(at, cores)| {
                let capacity = (cores * 1_000, 4_096 * cores, 8);
                Worker::spawn(&log, &format!("m{at}"), &format!("r{}", at / 3), capacity)
            })
            .collect();
        configure(&store);
        register(&store, &workers);
        let cloud = has_cloud.then(|| Cloud::spawn(&log, &store, &workers));
        let address = cloud.as_ref().map(|cloud| cloud.address);
        let mut daemons: Vec<Daemon> =
            (0..3).map(|at| Daemon::open(&log, &place, at, &store, address)).collect();
        daemons.iter_mut().for_each(Daemon::start);
        until_ready(&daemons);
        sleep_ms(2_000);
        (Self { log, place, store, workers, daemons }, cloud)
    }
    fn know(&self, id: &str, steps: Vec<StepNeeds>) {
        self.log.jobs.lock().unwrap().insert(id.to_owned(), steps);
    }
    /// Submits an ordinary job of one work unit, as clients do: with up to four retries.
    fn submit_ordinary(&self, id: &str) -> Option<u16> {
        let needs = StepNeeds { cpu: 3_700, mem_mb: 1_000, gpu: 0, work_ms: Some(500) };
        self.know(id, vec![needs]);
        let body = obj(&[("spec", s("x")), ("steps", steps_json(&[(1, 3_700, 1_000, 0, 500)]))]);
        self.submit(id, &body)
    }
    fn submit(&self, id: &str, body: &J) -> Option<u16> {
        let body = body.encode();
        for at in 0..5 {
            let daemon = &self.daemons[at % self.daemons.len()];
            let status = daemon.request("POST", &format!("/q/{id}"), &body).map(|(status, _)| status);
            self.log.line(&format!("POST /q/{id} ({} bytes) at {}: {status:?}", body.len(), daemon.name));
            if matches!(status, Some(200..=299 | 400..=428 | 430..=499)) {
                return status;
            }
            sleep_ms(300);
        }
        None
    }
    /// Asks for a job at one daemon after the other until one answers.
    fn state(&self, id: &str) -> Option<(u16, String)> {
        let mut daemons = self.daemons.iter();
        daemons.find_map(|daemon| daemon.request("GET", &format!("/q/{id}"), ""))
    }
    /// The share of the workers' cores that is in use.
    fn used_share(&self) -> f64 {
        let jobs = self.log.jobs.lock().unwrap();
        let used: u64 = self
            .workers
            .iter()
            .flat_map(|worker| worker.at_work())
            .filter_map(|(task, _)| {
                let (job, rest) = task.split_once('.')?;
                let step: usize = rest.split('.').nth(1)?.parse().ok()?;
                let steps = jobs.get(job)?;
                steps.get(step).or(steps.last()).map(|needs| needs.cpu)
            })
            .sum();
        used as f64 / self.workers.iter().map(|worker| worker.cpu() as f64).sum::<f64>()
    }
    /// Runs of a job that go on or have ended `done`.
    fn runs_of(&self, id: &str) -> usize {
        let runs = self.log.runs.lock().unwrap();
        let own = runs.iter().filter(|run| run.task.starts_with(id));
        own.filter(|run| run.ended.is_none_or(|(_, how)| how == "done")).count()
    }
}

/// `finish_s` of the pages' small deployments.
const FINISH_S: u64 = 14;

/// Asks for ordinary jobs `finish_s` after the end of the traffic and looks at them for 3 s: which
/// of them have no run although the workers are free, and which are not shown as completed.
fn lost_jobs(fleet: &Deployment, accepted: &[String]) -> Vec<String> {
    sleep_ms(FINISH_S * 1_000);
    let mut broken = Vec::new();
    let is_waiting = |id: &&String| fleet.runs_of(id) == 0;
    let waiting: Vec<&String> = accepted.iter().filter(is_waiting).collect();
    let before = fleet.used_share();
    sleep_ms(3_000);
    let after = fleet.used_share();
    fleet.log.line(&format!("cores in use: {:.0} % and {:.0} %", before * 100.0, after * 100.0));
    for id in waiting.into_iter().filter(is_waiting) {
        let state = fleet.state(id);
        if before.max(after) < 0.5 {
            broken.push(format!("LOST: {id} has nothing running for 3 s with free workers; state {state:?}"));
        }
    }
    for id in accepted {
        let state = fleet.state(id);
        let is_known = state.as_ref().is_some_and(|(status, _)| *status == 200);
        if !is_known {
            broken.push(format!("LOST: {id} is not known or gets no answer: {state:?}"));
        }
        if !state.is_some_and(|(_, text)| text.contains("completed")) {
            fleet.log.line(&format!("{id} is not shown as completed, runs done: {}", fleet.runs_of(id)));
        }
    }
    broken
}

/// Case 11: a job whose occurrences overlap takes many times the memory for which it was accepted,
/// and ends one owner after the other.
pub fn overlapping_occurrences(folder: &str) -> bool {
    const LIMIT_MB: u64 = 260;
    let mut fleet = Deployment::open(folder, &[32; 4]);
    let large = "00000000000000c1";
    fleet.know(large, vec![StepNeeds { cpu: 3_700, mem_mb: 1_000, gpu: 1, work_ms: Some(2_500) }]);
    let repetitions = if has_trouble() { 64 } else { 1 };
    let body = obj(&[
        ("spec", s("x")),
        ("steps", steps_json(&[(40_000, 3_700, 1_000, 1, 2_500)])),
        ("repetitions", n(repetitions)),
        ("start_at_ms", n(unix_ms() + 500)),
        ("interval_ms", n(250)),
    ]);
    if fleet.submit(large, &body) != Some(200) {
        cannot_run("the large job was not accepted");
    }
    let log = fleet.log.clone();
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let ips: Vec<Ipv4Addr> = fleet.daemons.iter().map(|daemon| daemon.ip).collect();
    let (client_log, client_accepted) = (log.clone(), accepted.clone());
    let client = std::thread::spawn(move || {
        sleep_ms(5_000);
        for at in 0..20 {
            sleep_ms(1_000);
            let id = format!("00000000000001{at:02x}");
            let needs = StepNeeds { cpu: 3_700, mem_mb: 1_000, gpu: 0, work_ms: Some(500) };
            client_log.jobs.lock().unwrap().insert(id.clone(), vec![needs]);
            let body = obj(&[("spec", s("x")), ("steps", steps_json(&[(1, 3_700, 1_000, 0, 500)]))]);
            for try_at in 0..5 {
                let ip = ips[try_at % ips.len()];
                let status = request_at(ip, "POST", &format!("/u/{id}"), &body.encode()).map(|(status, _)| status);
                client_log.line(&format!("POST /u/{id} at {ip}: {status:?}"));
                if matches!(status, Some(200..=299)) {
                    client_accepted.lock().unwrap().push(id);
                    break;
                }
                sleep_ms(200);
            }
        }
    });
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let began = Instant::now();
    let mut next_line = Instant::now();
    while began.elapsed() < Duration::from_secs(60) {
        for at in 0..fleet.daemons.len() {
            let memory_mb = fleet.daemons[at].memory_mb();
            if memory_mb > LIMIT_MB {
                fleet.daemons[at].kill(&format!("{memory_mb} MB of memory, over the limit of {LIMIT_MB} MB"));
                fleet.daemons[at].exits += 1;
                restarts.push((at, Instant::now() + Duration::from_secs(1)));
            }
        }
        while let Some(at) = restarts.iter().position(|(_, due)| *due <= Instant::now()) {
            let (daemon, _) = restarts.remove(at);
            fleet.daemons[daemon].start();
        }
        if Instant::now() >= next_line {
            next_line = Instant::now() + Duration::from_secs(1);
            let memory: Vec<u64> = fleet.daemons.iter().map(Daemon::memory_mb).collect();
            log.line(&format!("memory in MB: {memory:?}"));
        }
        sleep_ms(20);
    }
    let often: Vec<&Daemon> = fleet.daemons.iter().filter(|daemon| daemon.exits >= 3).collect();
    let mut broken = Vec::new();
    if often.len() >= 2 {
        let exits: Vec<String> =
            fleet.daemons.iter().map(|daemon| format!("{} {}", daemon.name, daemon.exits)).collect();
        broken.push(format!("Fault: processes end three times by themselves: {}", exits.join(", ")));
    }
    client.join().ok();
    let accepted = accepted.lock().unwrap().clone();
    let done = accepted.iter().filter(|id| fleet.runs_of(id) > 0).count();
    log.line(&format!("ordinary jobs: {} accepted, {done} have run", accepted.len()));
    let Deployment { log, place, daemons, .. } = fleet;
    drop(daemons);
    verdict(&log, &place, &broken)
}

/// Waits until the store has the state of a wave as completed, for at most `most_s`.
fn until_completed(fleet: &Deployment, wave: u64, most_s: u64) -> bool {
    let until = Instant::now() + Duration::from_secs(most_s);
    while Instant::now() < until {
        let state = fleet.store.read(&format!("status/wave/{wave}"));
        if state.is_some_and(|state| state == base64(br#"{"state":"completed"}"#)) {
            return true;
        }
        sleep_ms(100);
    }
    false
}

/// No case of its own, see REPORT-3: the answer to an order of upkeep is lost; the repeated order is answered with `busy`, and the
/// upkeep of the next machine begins while the first is down.
pub fn upkeep_answer_lost(folder: &str) -> bool {
    let (fleet, cloud) = Deployment::open_with_cloud(folder, &[32; 4], true);
    let Some(cloud) = cloud else { cannot_run("there is no machine interface") };
    sleep_ms(3_000);
    *cloud.lost_answers.lock().unwrap() = u32::from(has_trouble());
    let machines: Vec<String> = (0..3).map(|at| format!("m{at}")).collect();
    cloud.ask(1, &machines, 40, 1);
    let is_completed = until_completed(&fleet, 1, 45);
    fleet.log.line(&format!("wave completed: {is_completed}, upkeeps begun: {:?}", cloud.begun.lock().unwrap()));
    let broken = cloud.broken.lock().unwrap().clone();
    let Deployment { log, place, daemons, .. } = fleet;
    drop(daemons);
    verdict(&log, &place, &broken)
}

/// Case 13: a wave ends two work units of a step with `max_unavailable` 1 at the same time.
pub fn upkeep_of_two(folder: &str) -> bool {
    let (fleet, cloud) = Deployment::open_with_cloud(folder, &[32; 4], true);
    let Some(cloud) = cloud else { cannot_run("there is no machine interface") };
    let id = "00000000000000d1";
    fleet.know(id, vec![StepNeeds { cpu: 16_000, mem_mb: 60_000, gpu: 8, work_ms: None }]);
    let step = obj(&[
        ("count", n(4)),
        ("cpu", n(16_000)),
        ("mem_mb", n(60_000)),
        ("gpu", n(8)),
        ("estimated_ms", n(60_000)),
        ("long_running", J::Bool(true)),
        ("max_unavailable", n(1)),
    ]);
    let body = obj(&[("spec", s("x")), ("steps", J::Arr(vec![step]))]);
    if fleet.submit(id, &body) != Some(200) {
        cannot_run("the job was not accepted");
    }
    sleep_ms(6_000);
    let at_work = || -> usize {
        let workers = fleet.workers.iter();
        workers.flat_map(|worker| worker.at_work()).filter(|(_, is_at_work)| *is_at_work).count()
    };
    fleet.log.line(&format!("work units at work: {}", at_work()));
    if at_work() != 4 {
        cannot_run("the work units are not at work");
    }
    let machines: Vec<String> = (0..2).map(|at| format!("m{at}")).collect();
    let cap = if has_trouble() { 2 } else { 1 };
    cloud.ask(1, &machines, 20, cap);
    let is_completed = until_completed(&fleet, 1, 40);
    let begun = cloud.begun.lock().unwrap().clone();
    fleet.log.line(&format!("wave completed: {is_completed}, upkeeps begun: {begun:?}"));
    // Each upkeep ends the work unit on its machine; that of the first is away for the whole
    // upkeep, 2 s, at least.
    let mut broken = Vec::new();
    for pair in begun.windows(2) {
        let apart_s = pair[1].0 - pair[0].0;
        if apart_s < UPKEEP.as_secs_f64() {
            broken.push(format!(
                "AVAIL: the upkeep of {} ends a work unit at work {apart_s:.3} s after that of {} ended one, max_unavailable 1",
                pair[1].1, pair[0].1
            ));
        }
    }
    let Deployment { log, place, daemons, .. } = fleet;
    drop(daemons);
    verdict(&log, &place, &broken)
}

/// Case 12: a gang that is late waits beside free workers, for capacity that is kept for urgent
/// work that came before.
pub fn kept_for_urgent_work(folder: &str) -> bool {
    const WORKERS: usize = 24;
    let fleet = Deployment::open(folder, &[32; WORKERS]);
    let log = fleet.log.clone();
    let job = |id: &str, count: u64, work_ms: u64, gang: bool, queue: &str| {
        fleet.know(id, vec![StepNeeds { cpu: 13_000, mem_mb: 60_000, gpu: 8, work_ms: Some(work_ms) }]);
        let mut step = vec![
            ("count", n(count)),
            ("cpu", n(13_000)),
            ("mem_mb", n(60_000)),
            ("gpu", n(8)),
            ("estimated_ms", n(work_ms)),
        ];
        if gang {
            step.push(("gang", J::Bool(true)));
        }
        let body = obj(&[("spec", s("x")), ("steps", J::Arr(vec![obj(&step)]))]);
        let answer = fleet.daemons[0].request("POST", &format!("/{queue}/{id}"), &body.encode());
        log.line(&format!("POST /{queue}/{id}, {count} x 8 GPUs for {work_ms} ms: {answer:?}"));
        matches!(answer, Some((200, _)))
    };
    if !job("00000000000000f1", 11, 100_000, false, "q") {
        cannot_run("the long job was not accepted");
    }
    sleep_ms(1_000);
    let gang = "00000000000000f2";
    let mut is_accepted = false;
    if has_trouble() {
        // Urgent jobs on the 13 other workers, one after the other.
        for at in 0..11 {
            let id = format!("00000000000002{at:02x}");
            job(&id, 13, 1_400, false, "u");
            sleep_ms(700);
            if at == 0 {
                is_accepted = job(gang, 5, 6_000, true, "q");
            }
            sleep_ms(700);
        }
    } else {
        is_accepted = job(gang, 5, 6_000, true, "q");
        sleep_ms(15_000);
    }
    if !is_accepted {
        cannot_run("the gang was not accepted");
    }
    let gpus_used = || -> u64 {
        let workers = fleet.workers.iter();
        workers.map(|worker| worker.at_work().len() as u64 * 8).sum()
    };
    let mut broken = Vec::new();
    let mut waiting_s = 0;
    for second in 1..=FINISH_S + 4 {
        sleep_ms(1_000);
        let (used, runs) = (gpus_used(), fleet.runs_of(gang));
        let share = used as f64 / (8 * WORKERS) as f64;
        log.line(&format!("{second} s after the traffic: {:.0} % of the GPUs in use, runs of the gang {runs}", share * 100.0));
        waiting_s = if runs == 0 && share < 0.5 && second >= FINISH_S { waiting_s + 1 } else { 0 };
        // Four readings a second apart are three seconds.
        if waiting_s == 4 {
            broken.push(format!(
                "LOST: {gang} has nothing running for 3 s, {second} s after the traffic, with {:.0} % of the GPUs in use and 13 free workers for its five work units; state {:?}",
                share * 100.0,
                fleet.state(gang)
            ));
        }
    }
    let Deployment { place, daemons, .. } = fleet;
    drop(daemons);
    verdict(&log, &place, &broken)
}
