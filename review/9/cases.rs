//! The cases. Each returns whether the rule was broken.

use crate::world::*;
use std::sync::Arc;
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

fn submit(log: &Log, daemons: &[Daemon], id: &str, body: &str) -> Option<u16> {
    for (at, daemon) in daemons.iter().cycle().take(8).enumerate() {
        let answer = daemon.request("POST", &format!("/q/{id}"), body);
        let status = answer.map(|(status, _)| status);
        log.line(&format!("POST /q/{id} at {}, try {}: {status:?}", daemon.name, at + 1));
        if matches!(status, Some(200..=299 | 400..=499)) && status != Some(429) {
            return status;
        }
        sleep_ms(300);
    }
    None
}

/// How long the store turns the owner away: the pages' sites have up to 9 s.
const TURNED_AWAY: Duration = Duration::from_secs(7);

/// Case 9: ends beyond the 500 that a worker lists are unknown to a new owner, which starts
/// their work units again.
pub fn hidden_ends(folder: &str) -> bool {
    let log = Log::open(folder, false);
    let place = Place::open();
    let store = Store::spawn();
    let workers: Vec<Arc<Worker>> = (0..6)
        .map(|at| Worker::spawn(&log, &format!("m{at}"), &format!("r{}", at / 3), (32_000, 131_072, 8)))
        .collect();
    configure(&store);
    register(&store, &workers);
    let mut daemons: Vec<Daemon> = (0..3).map(|at| Daemon::open(&log, &place, at, &store, None)).collect();
    daemons.iter_mut().for_each(Daemon::start);
    until_ready(&daemons);
    sleep_ms(3_000);
    let Some(first) = owner(&store, &daemons) else { cannot_run("there is no owner") };
    let id = "00000000000000a1";
    let needs = StepNeeds { cpu: 100, mem_mb: 64, gpu: 0, work_ms: Some(400) };
    log.jobs.lock().unwrap().insert(id.to_owned(), vec![needs]);
    let start_at_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64);
    let body = obj(&[
        ("spec", s("x")),
        ("steps", steps_json(&[(500, 100, 64, 0, 400)])),
        ("repetitions", n(60)),
        ("start_at_ms", n(start_at_ms + 500)),
        ("interval_ms", n(100)),
    ]);
    let others: Vec<usize> = (0..3).filter(|&at| at != first).collect();
    let status = daemons[others[0]].request("POST", &format!("/q/{id}"), &body.encode());
    log.line(&format!("POST /q/{id}: {status:?}"));
    if !matches!(status, Some((200, _))) {
        cannot_run("the job was not accepted");
    }
    let until = Instant::now() + Duration::from_secs(20);
    while log.runs.lock().unwrap().len() < 5_000 {
        if Instant::now() > until {
            cannot_run("the job does not run");
        }
        sleep_ms(10);
    }
    let address = daemons[first].store.to_string();
    if has_trouble() {
        log.line(&format!("the store answers {} with 503", daemons[first].name));
        store.turn_away(&address, Some(Turned::Busy));
    }
    let began = Instant::now();
    let (mut is_back, mut seconds) = (!has_trouble(), 0);
    loop {
        sleep_ms(1_000);
        seconds += 1;
        if !is_back && began.elapsed() >= TURNED_AWAY {
            log.line(&format!("the store serves {} again", daemons[first].name));
            store.turn_away(&address, None);
            is_back = true;
        }
        let answer = daemons[others[0]].request("GET", &format!("/q/{id}"), "");
        log.line(&format!("GET /q/{id}: {answer:?}, runs so far {}", log.runs.lock().unwrap().len()));
        for daemon in daemons.iter_mut() {
            if daemon.has_exited() {
                log.line(&format!("{} has exited by itself", daemon.name));
            }
        }
        let is_completed = answer.is_some_and(|(_, text)| text.contains("completed"));
        if (is_completed && is_back) || seconds > 60 {
            break;
        }
    }
    // The ends of the last runs are taken note of.
    sleep_ms(1_500);
    let now = owner(&store, &daemons).map_or("nobody", |at| daemons[at].name.as_str());
    log.line(&format!("owner before: {}, now: {now}", daemons[first].name));
    let broken = twice(&log);
    drop(daemons);
    verdict(&log, &place, &broken)
}
