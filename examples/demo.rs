//! Runs one data centre on loopback: a stand-in platform and three daemons serve a mixed
//! set of jobs, and the daemon that owns the data centre is killed meanwhile.
//!
//! Exits with a non-zero code if a job got no answer or a wrong one, or if more than two
//! runs of it finished. The largest gang that runs has two members.

use fuchsiaslip::client::{
    Client,
    Response,
    Submit, //
};
use fuchsiaslip::core::{
    Adjacency,
    parse_public_name, //
};
use fuchsiaslip::daemon::{
    Daemon,
    Settings,
    token_digest, //
};
use fuchsiaslip::standin::{
    Fleet,
    Platform,
    TaskSpec, //
};
use fuchsiaslip::timer::Timer;
use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::rc::Rc;

const DATA_CENTRE: &str = "zg-dubrava";
const DAEMONS: usize = 3;
/// Time without an answer after which a job counts as lost.
const JOB_TIMEOUT_MS: u64 = 25_000;
/// Time from the first submission to the kill of the owner.
const KILL_DELAY_MS: u64 = 2_500;
const CONFIGURATION: &str = include_str!("configuration.toml");

/// A job that the demo submits at `submit_ms` after its start.
#[derive(Clone)]
struct Job {
    class: &'static str,
    token: &'static str,
    accelerators: u16,
    workers: u16,
    idempotent: bool,
    run_ms: u64,
    answer_bytes: u64,
    submit_ms: u64,
}

/// Results of the jobs of one class.
#[derive(Clone, Default)]
struct Tally {
    accepted: usize,
    served: usize,
    late: usize,
    preempted: u32,
    refused: BTreeMap<String, usize>,
    failures: Vec<String>,
}

fn start_daemon(at: usize, platform: &Platform, timer: &Timer) -> Result<Daemon, String> {
    let name = format!("d{at}");
    let operator = token_digest("operator-token");
    let settings = format!(
        "daemon = \"{name}\"\ndata_centre = \"{DATA_CENTRE}\"\n\
         http_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
         platform_address = \"{}\"\npeer_token = \"a-shared-peer-token\"\n\
         bootstrap_operator_sha256 = \"{operator}\"\nlist_ms = 500\n",
        platform.address()
    );
    let settings = Settings::parse(&settings).map_err(|problems| format!("{problems:?}"))?;
    let daemon = Daemon::spawn(settings, timer.clone()).map_err(|error| error.to_string())?;
    platform.add_daemon(&name, DATA_CENTRE, &daemon.peer_address.to_string());
    Ok(daemon)
}

fn jobs() -> Vec<Job> {
    let job = |class, token, accelerators, workers, idempotent, run_ms, answer_bytes| Job {
        class,
        token,
        accelerators,
        workers,
        idempotent,
        run_ms,
        answer_bytes,
        submit_ms: 0,
    };
    let mut jobs = Vec::new();
    // Forecasts use the whole data centre, including the capacity guaranteed to others.
    for at in 0..14 {
        let forecast = job(
            "forecast",
            "ovlast-token",
            8,
            1,
            true,
            3_000 + at * 50,
            2_000,
        );
        jobs.push(forecast);
    }
    // A translation reclaims its account's guaranteed capacity.
    let translation = job("translation", "zadruga-token", 8, 2, true, 1_500, 200_000);
    jobs.push(Job {
        submit_ms: 1_000,
        ..translation
    });
    // Fitment checks arrive throughout the demo and must not be started again, since they
    // are not idempotent.
    for at in 0..60 {
        let fitment = job("fitment", "zadruga-token", 1, 1, false, 60, 300);
        jobs.push(Job {
            submit_ms: 500 + at * 100,
            ..fitment
        });
    }
    // A shape that the data centre cannot hold is refused.
    jobs.push(job("forecast", "ovlast-token", 8, 40, true, 1_000, 0));
    jobs
}

/// Submits one job and retries with each daemon in turn until the job is answered or
/// refused for good, or its time is over.
async fn submit_and_wait(
    at: usize,
    job: Job,
    addresses: Vec<String>,
    timer: Timer,
    tally: Rc<RefCell<BTreeMap<&'static str, Tally>>>,
) {
    timer.sleep(job.submit_ms).await;
    let until_ms = timer.now_ms() + JOB_TIMEOUT_MS;
    let task = TaskSpec {
        run_ms: job.run_ms,
        answer_bytes: job.answer_bytes,
        marker: at.to_string(),
        ..TaskSpec::default()
    };
    let submit = Submit {
        class: job.class.to_owned(),
        accelerators_per_worker: job.accelerators,
        workers: job.workers,
        adjacency: Adjacency::Rack,
        idempotent: job.idempotent,
        declared_run_ms: job.run_ms,
        payload: String::from_utf8_lossy(&task.payload()).into_owned(),
    };
    let key = format!("demo-{at}");
    let mut accepted: Option<String> = None;
    for round in at.. {
        if timer.now_ms() > until_ms {
            let lost = format!("job {at} has no answer after {JOB_TIMEOUT_MS} ms");
            return update_tally(&tally, job.class, |tally| tally.failures.push(lost));
        }
        let client = Client::open(
            &addresses[round % addresses.len()],
            job.token,
            timer.clone(),
        );
        let response = match &accepted {
            None => client.submit(&key, &submit, 10_000).await,
            Some(name) => client.answer(name, 5_000).await,
        };
        let Ok(response) = response else {
            timer.sleep(100).await;
            continue;
        };
        if let Some(name) = response.accepted() {
            accepted = Some(name);
            continue;
        }
        if response.status.is_success() {
            return record_answer(&client, &job, &task, &response, &tally).await;
        }
        let error = response.error();
        if error.not_run && error.retry_after_ms.is_none() {
            return update_tally(&tally, job.class, |tally| {
                *tally.refused.entry(error.error.clone()).or_default() += 1;
            });
        }
        timer.sleep(error.retry_after_ms.unwrap_or(100)).await;
    }
}

/// Applies `change` to the tally of a class.
fn update_tally(
    tally: &Rc<RefCell<BTreeMap<&'static str, Tally>>>,
    class: &'static str,
    change: impl FnOnce(&mut Tally),
) {
    change(tally.borrow_mut().entry(class).or_default());
}

/// Compares the answer of a job with the expected one and records the result.
async fn record_answer(
    client: &Client,
    job: &Job,
    task: &TaskSpec,
    response: &Response,
    tally: &Rc<RefCell<BTreeMap<&'static str, Tally>>>,
) {
    let name = response.job.clone().unwrap_or_default();
    let expected = parse_public_name(&name).map(|(_, id)| TaskSpec::answer(id, &task.payload()));
    let is_expected = expected.as_ref() == Some(&response.body);
    let report: fuchsiaslip::core::JobReport = match client.status(&name).await {
        Ok(status) => serde_json::from_slice(&status.body).unwrap_or_default(),
        Err(_) => Default::default(),
    };
    update_tally(tally, job.class, |tally| {
        tally.accepted += 1;
        tally.served += 1;
        tally.late += usize::from(report.ended_ms > report.deadline_ms);
        tally.preempted += report.preemptions;
        if !is_expected {
            tally.failures.push(format!("{name} has a wrong answer"));
        }
    });
}

/// Applies the sample configuration, trying the daemons in turn.
async fn configure(addresses: &[String], timer: &Timer) -> Result<(), String> {
    for round in 0..200 {
        let address = &addresses[round % addresses.len()];
        let client = Client::open(address, "operator-token", timer.clone());
        let applied = client.apply(CONFIGURATION).await;
        if applied.is_ok_and(|response| response.status.is_success()) {
            return Ok(());
        }
        timer.sleep(50).await;
    }
    Err("the sample configuration was not accepted in 10 s".to_owned())
}

/// Prints every second how many jobs were answered or refused.
async fn show_progress(
    tally: Rc<RefCell<BTreeMap<&'static str, Tally>>>,
    total: usize,
    is_settled: Rc<Cell<bool>>,
    timer: Timer,
) {
    let started_ms = timer.now_ms();
    while !is_settled.get() {
        let done: usize = tally
            .borrow()
            .values()
            .map(|tally| tally.served + tally.refused.values().sum::<usize>())
            .sum();
        let after_ms = timer.now_ms() - started_ms + KILL_DELAY_MS;
        println!("{after_ms:>5} ms: {done} of {total} jobs settled");
        timer.sleep(1_000).await;
    }
}

/// Prints the results by class and returns the number of failures.
fn print_results(tally: &BTreeMap<&'static str, Tally>) -> usize {
    println!(
        "{:<12} {:>8} {:>7} {:>5} {:>10}  refused",
        "class", "accepted", "served", "late", "preempted"
    );
    for (class, tally) in tally {
        println!(
            "{class:<12} {:>8} {:>7} {:>5} {:>10}  {:?}",
            tally.accepted, tally.served, tally.late, tally.preempted, tally.refused
        );
    }
    let failures: Vec<&String> = tally.values().flat_map(|tally| &tally.failures).collect();
    failures
        .iter()
        .for_each(|failure| println!("FAILED: {failure}"));
    failures.len()
}

/// Returns the number of jobs of which more than two runs finished.
fn count_excess_runs(platform: &Platform) -> usize {
    let mut finished: BTreeMap<(u64, u32), usize> = BTreeMap::new();
    platform.each_worker(|worker| {
        for run in worker.runs.iter().filter(|run| run.finished) {
            let key = (run.attempt.job.0, u32::from(run.mask != 0));
            *finished.entry(key).or_default() += 1;
        }
    });
    // The translation has two members, so that two finished runs of a job are accepted.
    finished.values().filter(|&&runs| runs > 2).count()
}

/// Submits all jobs, kills the owner and returns the number of failures and double runs.
async fn run(platform: Platform, timer: Timer, running: &[Daemon]) -> Result<usize, String> {
    let addresses: Vec<String> = running.iter().map(|d| d.http_address.to_string()).collect();
    configure(&addresses, &timer).await?;
    println!("three daemons serve {DATA_CENTRE}; the sample configuration is in force");
    let tally = Rc::new(RefCell::new(BTreeMap::new()));
    let started_ms = timer.now_ms();
    let callers: Vec<_> = jobs()
        .into_iter()
        .enumerate()
        .map(|(at, job)| {
            let outcome = submit_and_wait(at, job, addresses.clone(), timer.clone(), tally.clone());
            actix_rt::spawn(outcome)
        })
        .collect();
    timer.sleep(KILL_DELAY_MS).await;
    if let Some(index) = running.iter().position(Daemon::is_owner) {
        let after_ms = timer.now_ms() - started_ms;
        println!("{after_ms:>5} ms: killing daemon {}, the owner", index + 1);
        running[index].kill();
    }
    let total = callers.len();
    let is_settled = Rc::new(Cell::new(false));
    actix_rt::spawn(show_progress(
        tally.clone(),
        total,
        is_settled.clone(),
        timer.clone(),
    ));
    for caller in callers {
        caller.await.map_err(|error| error.to_string())?;
    }
    is_settled.set(true);
    println!("{:>5} ms: all settled", timer.now_ms() - started_ms);
    let failures = print_results(&tally.borrow());
    let doubled = count_excess_runs(&platform);
    println!("lost or wrong: {failures}, run twice: {doubled}");
    Ok(failures + doubled)
}

/// Starts the platform and the daemons and runs the demo on them.
fn demo() -> Result<usize, String> {
    let to_text = |error: std::io::Error| error.to_string();
    let timer = Timer::spawn().map_err(to_text)?;
    let fleet = Fleet {
        data_centre: DATA_CENTRE.to_owned(),
        workers: 12,
        rack_size: 6,
        accelerators: 8,
    };
    let platform = Platform::spawn(timer.clone(), &[fleet]).map_err(to_text)?;
    let running = (1..=DAEMONS)
        .map(|at| start_daemon(at, &platform, &timer))
        .collect::<Result<Vec<_>, _>>()?;
    actix_rt::System::new().block_on(run(platform, timer, &running))
}

fn main() -> ExitCode {
    match demo() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
