//! Invalid values on the whole path: real daemons beside a stand-in of the platform
//! whose store has another writer.

use super::daemons::{
    self,
    is_completed,
    job_of_steps as job,
    path,
    state,
    wait_until, //
};
use super::operator::{
    Operator,
    World, //
};
use super::processes::{
    Answer,
    Daemon, //
};
use fuchsiaslip::cluster::{
    StoreError,
    StoreEvent,
    StoredItem,
    WatchResult,
    inspect_fleet, //
};
use fuchsiaslip::platform::{
    HttpClient,
    StoreClient, //
};
use fuchsiaslip::timer::Timer;
use serde_json::{
    Value,
    json, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Longer than an owner needs to notice a changed value.
const NOTICE_DELAY: Duration = Duration::from_millis(1_000);

/// First number of this file's tests in loopback addresses; other test files use others.
const FOREIGN: u8 = 230;

fn fleet(test: u8, count: u8, operator: &Operator) -> Vec<Daemon> {
    operator.world().configure(1, &[("q", 1)], 5);
    daemons::fleet(FOREIGN + test, count, operator)
}

fn submit(daemon: &Daemon, id: u64, body: &str) {
    wait_until("accepted", || {
        matches!(
            daemon.request("POST", &path(id), body),
            Answer::Status(200, _)
        )
    });
}

/// Asserts that so many tasks ran, each once.
fn assert_each_ran_once(world: &World, tasks: usize) {
    let mut names: Vec<&str> = world.records.iter().map(|record| &*record.task).collect();
    names.sort_unstable();
    names.dedup();
    let runs = world.records.len();
    assert_eq!((names.len(), runs), (tasks, tasks), "{:#?}", world.records);
}

fn starts_on(world: &World, worker: usize) -> usize {
    let records = world.records.iter();
    records.filter(|record| record.worker == worker).count()
}

fn entry(address: &str) -> Value {
    json!({ "service": "s", "address": address, "zone": "z", "version": "v1", "slots": 8,
        "state": "ready", "labels": ["a", "r1"], "sequence": 1,
        "capacity": { "cpu": 32000, "mem_mb": 131072, "gpu": 8 } })
}

/// Writes various entries that name no worker to use, and returns their number.
fn write_invalid_entries(world: &mut World, round: u64) -> usize {
    let good = entry("127.0.0.1:1");
    let with = |field: &str, value: Value| {
        let mut entry = good.clone();
        entry[field] = value;
        entry.to_string().into_bytes()
    };
    let long = format!("{{\"x\":\"{}\"}}", "x".repeat(1_000_000));
    let values: Vec<Vec<u8>> = vec![
        vec![],
        vec![0xff, 0xfe, 0x00],
        b"{".to_vec(),
        b"null".to_vec(),
        b"[]".to_vec(),
        "[".repeat(50_000).into_bytes(),
        long.into_bytes(),
        with("state", json!("down")),
        with("state", json!(1)),
        with("service", json!(null)),
        with("address", json!("nowhere")),
        with("address", json!(["127.0.0.1:1"])),
        with("capacity", json!({ "cpu": "NaN", "mem_mb": -1 })),
        with("capacity", json!({ "cpu": 1e300, "mem_mb": 1 })),
        with("labels", json!("r1")),
        with("slots", json!({})),
    ];
    let names = [
        "bad",
        "a b",
        "a&after=zzz",
        "z#z",
        "100%",
        "\"q\"",
        "zz?x=1",
        "zzä",
    ];
    for (at, value) in values.iter().enumerate() {
        let key = format!("servers/{}-{round}-{at}", names[at % names.len()]);
        world.put_bytes(&key, value);
    }
    // Valid entries under invalid names, and an entry that is not base64.
    world.put("servers/", &good);
    world.put("servers/a/b", &good);
    world.put_unencoded("servers/unencoded");
    values.len() + 3
}

/// Whatever another writer puts among the workers' entries, the other workers go on, a
/// killed owner is replaced, and each invalid entry is reported once.
#[test]
fn invalid_entries_do_not_affect_valid_ones() {
    let operator = Operator::spawn(3);
    let count = write_invalid_entries(&mut operator.world(), 0);
    let mut daemons = fleet(0, 2, &operator);

    submit(&daemons[0], 1, &job(&[6], 300));
    wait_until("completed", || is_completed(&daemons[1], 1));
    // Watch events, a lost history, and a change of owner.
    write_invalid_entries(&mut operator.world(), 1);
    submit(&daemons[1], 2, &job(&[6], 300));
    wait_until("completed", || is_completed(&daemons[0], 2));
    operator.world().drop_history();
    write_invalid_entries(&mut operator.world(), 2);
    submit(&daemons[1], 3, &job(&[6], 300));
    wait_until("completed", || is_completed(&daemons[0], 3));
    for daemon in &mut daemons {
        daemon.kill();
        daemon.start();
    }
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });
    submit(&daemons[0], 4, &job(&[6], 300));
    wait_until("completed", || is_completed(&daemons[1], 4));

    assert_each_ran_once(&operator.world(), 24);
    let roster = operator.world().roster();
    assert_eq!(roster.len(), 3, "{roster:?}");
    assert_reported_once(&daemons, count);
}

/// Asserts that each incarnation of a daemon reports a revision at most once, and that
/// all invalid entries are reported.
fn assert_reported_once(daemons: &[Daemon], count: usize) {
    const INCARNATIONS: usize = 2;
    let mut reported = 0;
    for daemon in daemons {
        let log = std::fs::read_to_string(daemon.log()).expect("a log");
        let lines: Vec<Value> = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .filter(|line: &Value| line["event"] == 205)
            .collect();
        reported += lines.len();
        for line in &lines {
            let same = |other: &&Value| {
                (&other["key"], &other["revision"]) == (&line["key"], &line["revision"])
            };
            let times = lines.iter().filter(same).count();
            assert!(times <= INCARNATIONS, "reported {times} times: {line}");
            for field in ["reason", "kind", "done"] {
                let text = line[field].as_str().unwrap_or_default();
                assert!(!text.is_empty(), "{field} in {line}");
            }
        }
    }
    assert!(reported >= count, "{reported} lines of {count} entries");
}

/// Entries that are nested very deep, have a number too large, or a port out of range.
fn odd_entries() -> Vec<Vec<u8>> {
    let good = entry("127.0.0.1:1").to_string();
    let with = |from: &str, to: &str| {
        assert!(good.contains(from), "{from} in {good}");
        good.replace(from, to).into_bytes()
    };
    let more = |field: &str| format!("{{\"introduced_later\":{field},\"address\"");
    let arrays = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let objects = format!("{}0{}", "{\"a\":".repeat(100_000), "}".repeat(100_000));
    vec![
        with("{\"address\"", &more(&arrays)),
        with("{\"address\"", &more(&objects)),
        with("\"sequence\":1", "\"sequence\":1e400"),
        with("\"cpu\":32000", "\"cpu\":18446744073709551616"),
        with("127.0.0.1:1", "127.0.0.1:65536"),
        with("127.0.0.1:1", "127.0.0.1:99999999999"),
    ]
}

/// Writes the odd entries and returns their keys.
fn write_odd_entries(operator: &Operator, name: &str) -> Vec<String> {
    let keys = odd_entries().into_iter().enumerate().map(|(at, value)| {
        let key = format!("servers/{name}-{at}");
        operator.world().put_bytes(&key, &value);
        key
    });
    keys.collect()
}

/// How often the log of a daemon reports the value under a key as invalid.
fn reports_of(daemon: &Daemon, key: &str) -> usize {
    let log = std::fs::read_to_string(daemon.log()).expect("a log");
    let lines = log.lines();
    let lines = lines.filter_map(|line| serde_json::from_str(line).ok());
    let is_report = |line: &Value| line["event"] == 205 && line["key"] == key;
    lines.filter(is_report).count()
}

/// Asserts that a job fills all the workers, of which one registers only now and the entry of
/// another changes.
fn assert_list_is_followed(
    operator: &Operator,
    daemon: &Daemon,
    (new_worker, changed_worker): (usize, usize),
    job_id: u64,
) {
    const TASKS_PER_WORKER: u32 = 8;
    let before = operator.world().records.len();
    operator.world().register(changed_worker, "draining");
    std::thread::sleep(NOTICE_DELAY);
    operator.world().register(changed_worker, "ready");
    operator.world().register(new_worker, "ready");

    let workers = operator.world().roster().len() as u32 + 1;
    submit(daemon, job_id, &job(&[workers * TASKS_PER_WORKER], 3_000));

    for worker in [new_worker, changed_worker] {
        wait_until(&format!("work on worker {worker}"), || {
            let world = operator.world();
            let mut starts = world.records[before..].iter();
            starts.any(|record| record.worker == worker)
        });
    }
    wait_until("completed", || is_completed(daemon, job_id));
}

/// Guards against daemons that end again and again, or stop following the list of workers, beside
/// an entry that is nested very deep, has a number too large or a port out of range.
#[test]
fn odd_entries_neither_end_a_daemon_nor_stop_it_from_following_the_list() {
    const LATE_WORKERS: [usize; 2] = [2, 3];
    let operator = Operator::spawn(4);
    for late in LATE_WORKERS {
        let key = operator.world().worker_key(late);
        operator.world().remove_value(&key);
    }
    let mut keys = write_odd_entries(&operator, "listed");
    operator.world().configure(1, &[("q", 1)], 5);
    let stores = [operator.store; 3];
    let mut daemons = daemons::fleet_from(FOREIGN + 8, 10, &stores);

    wait_until("an owner has read the list", || {
        operator.world().roster().len() == 2
    });
    keys.extend(write_odd_entries(&operator, "watched"));
    assert_list_is_followed(&operator, &daemons[0], (LATE_WORKERS[0], 1), 1);
    let root = operator.world().value("owner").expect("a root");
    let owner_at = (0..daemons.len()).find(|at| root["owner"] == format!("d{at}"));
    let owner_at = owner_at.expect("the owner is one of the daemons");
    let mut first_owner = daemons.swap_remove(owner_at);
    first_owner.kill();
    wait_until("another daemon owns", || {
        daemons::epoch(&operator) > root["epoch"].as_u64().expect("an epoch")
    });
    assert_list_is_followed(&operator, &daemons[0], (LATE_WORKERS[1], 1), 2);

    for daemon in &mut daemons {
        assert!(daemon.is_running(), "its process goes on");
    }
    for key in &keys {
        let later: Vec<usize> = daemons
            .iter()
            .map(|daemon| reports_of(daemon, key))
            .collect();
        assert_eq!(reports_of(&first_owner, key), 1, "{key}");
        assert_eq!(later.iter().sum::<usize>(), 1, "{key}: {later:?}");
    }
    assert_eq!(
        daemons::epoch(&operator),
        root["epoch"].as_u64().unwrap_or(0) + 1
    );
}

/// Guards against owners that fail one after the other, or lose count of leases, on a worker that
/// answers polls with numbers that no sum can hold.
#[test]
fn a_worker_that_answers_with_numbers_out_of_range_ends_no_ownership() {
    let operator = Operator::spawn(2);
    operator.world().configure(1, &[("q", 1)], 5);
    let mut daemons = daemons::fleet_from(FOREIGN + 8, 20, &[operator.store; 2]);
    submit(&daemons[0], 1, &job(&[16], 300));
    wait_until("completed", || is_completed(&daemons[1], 1));
    let epoch = daemons::epoch(&operator);
    let answers = |task: &str| {
        [
            json!({ "clock_ms": u64::MAX }),
            json!({ "clock_ms": 1e300 }),
            json!({ "clock_ms": -1 }),
            json!({ "born": u64::MAX }),
            json!({ "running": [[task, u64::MAX, "", 1e308, 1e308]] }),
            json!({ "finished": [[99, task, u64::MAX, "failed", ""]] }),
            json!({ "finished": [[u64::MAX, task, 1, "stopped", ""]] }),
        ]
    };
    let jobs = 2..2 + answers("").len() as u64;

    for job_id in jobs.clone() {
        let task = format!("{job_id:016x}.0.0.0");
        let answer = &answers(&task)[(job_id - jobs.start) as usize];
        operator.world().replace_poll_fields(1, answer);
        std::thread::sleep(NOTICE_DELAY);
        submit(&daemons[0], job_id, &job(&[4], 300));
        std::thread::sleep(NOTICE_DELAY);
        operator.world().replace_poll_fields(1, &json!({}));
        wait_until(&format!("completed beside {answer}"), || {
            is_completed(&daemons[1], job_id)
        });
        assert_eq!(daemons::epoch(&operator), epoch, "beside {answer}");
    }
    for daemon in &mut daemons {
        daemon.kill();
        daemon.start();
    }
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });
    for job_id in jobs {
        wait_until("the next owner knows the job", || {
            is_completed(&daemons[0], job_id)
        });
    }
    for daemon in &daemons {
        let log = std::fs::read_to_string(daemon.log()).expect("a log");
        assert!(!log.contains("E106"), "a thread panicked: {log}");
    }
}

/// Guards against daemons that fail at each takeover on a root that names an earlier owner with a
/// time that no sum can hold.
#[test]
fn a_root_with_a_time_out_of_range_does_not_prevent_a_takeover() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let mut daemons = daemons::fleet_from(FOREIGN + 8, 30, &[operator.store; 2]);
    submit(&daemons[0], 1, &job(&[1], 100));
    wait_until("completed", || is_completed(&daemons[0], 1));
    daemons.iter_mut().for_each(Daemon::kill);
    let mut root = operator.world().value("owner").expect("a root");
    root["earlier"] = json!([{ "owner": "d9", "boot": 1, "followed_ms": u64::MAX }]);

    operator.world().put("owner", &root);
    daemons.iter_mut().for_each(Daemon::start);
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });
    submit(&daemons[0], 2, &job(&[1], 100));
    wait_until("completed", || is_completed(&daemons[1], 2));

    let root = operator.world().value("owner").expect("a root");
    let followed = root["earlier"].as_array().into_iter().flatten();
    let mut followed = followed.filter_map(|earlier| earlier["followed_ms"].as_u64());
    assert!(followed.all(|at_ms| at_ms < u64::MAX / 2), "{root}");
}

/// Guards against a client without an answer that says it waits longer than a sum can hold.
#[test]
fn a_client_that_waits_without_end_is_answered() {
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let daemons = daemons::fleet_from(FOREIGN + 8, 40, &[operator.store]);
    let body = job(&[1], 100);
    let request = |wait_ms: u64| {
        format!(
            "POST {} HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\nconnection: close\r\n\
             deadline-ms: {wait_ms}\r\ncontent-length: {}\r\n\r\n{body}",
            path(1),
            body.len()
        )
    };

    for wait_ms in [2_000, u64::MAX / 2, u64::MAX] {
        let answer = daemons[0].send_raw(request(wait_ms).as_bytes());
        assert!(
            matches!(answer, Answer::Status(200, _)),
            "{wait_ms}: {answer:?}"
        );
    }
}

/// A worker's entry is overwritten while a task runs there. The owner went on giving the
/// worker tasks from the last entry that it had been able to decode.
#[test]
fn a_worker_whose_entry_is_overwritten_keeps_its_run_and_gets_no_new_ones() {
    let operator = Operator::spawn(2);
    let daemons = fleet(1, 2, &operator);
    submit(&daemons[0], 1, &job(&[1], 9_000));
    wait_until("running", || operator.world().records.len() == 1);
    let worker = operator.world().records[0].worker;
    let key = operator.world().worker_key(worker);

    operator.world().put_bytes(&key, b"{\"state\":\"ready\"");
    std::thread::sleep(NOTICE_DELAY);
    submit(&daemons[0], 2, &job(&[12], 100));
    wait_until("completed", || is_completed(&daemons[1], 2));

    assert_eq!(starts_on(&operator.world(), worker), 1, "no new work there");
    wait_until("completed", || is_completed(&daemons[1], 1));
    operator.world().register(worker, "ready");
    std::thread::sleep(NOTICE_DELAY);
    submit(&daemons[0], 3, &job(&[16], 300));
    wait_until("completed", || is_completed(&daemons[1], 3));
    assert!(starts_on(&operator.world(), worker) > 1, "it serves again");
    assert_each_ran_once(&operator.world(), 29);
}

/// A worker's entry is overwritten with the address of another worker, which answers that
/// it is not the one addressed. The owner concluded that the first worker was replaced,
/// and started its task a second time while the first run went on.
#[test]
fn a_worker_whose_entry_has_the_address_of_another_is_not_replaced() {
    let operator = Operator::spawn(2);
    let mut daemons = fleet(2, 2, &operator);
    submit(&daemons[0], 1, &job(&[1], 9_000));
    wait_until("running", || operator.world().records.len() == 1);
    let worker = operator.world().records[0].worker;
    let other = operator.world().worker_key(1 - worker);
    let theirs = operator.world().value(&other).expect("an entry");
    let key = operator.world().worker_key(worker);

    operator.world().put(&key, &theirs);
    std::thread::sleep(NOTICE_DELAY);
    // The next owner reads the roster and the overwritten entry.
    for daemon in &mut daemons {
        daemon.kill();
        daemon.start();
    }
    wait_until("completed", || is_completed(&daemons[1], 1));

    assert_each_ran_once(&operator.world(), 1);
}

/// A daemon of another version takes over and cannot decode the progress of a job. It
/// started the job from the beginning, though half of it was completed.
#[test]
fn a_job_with_unreadable_progress_is_neither_restarted_nor_shown_as_ended() {
    let operator = Operator::spawn(2);
    let mut daemons = fleet(3, 2, &operator);
    let key = format!("progress/{:016x}", 1);
    submit(&daemons[0], 1, &job(&[2, 2], 2_500));
    wait_until("one step is done", || {
        let progress = operator.world().value(&key);
        progress.is_some_and(|progress| progress["groups"][0]["done"] == json!([3]))
    });
    daemons.iter_mut().for_each(Daemon::kill);
    let before = operator.world().bytes(&key).expect("progress");
    operator
        .world()
        .put(&key, &json!({ "version": 9, "tasks": "v9" }));
    daemons.iter_mut().for_each(Daemon::start);
    wait_until("every daemon is ready", || {
        daemons.iter().all(Daemon::is_ready)
    });

    submit(&daemons[0], 2, &job(&[4], 100));
    wait_until("another job is completed", || is_completed(&daemons[1], 2));
    // The client submits the unreadable job again.
    submit(&daemons[0], 1, &job(&[2, 2], 2_500));
    std::thread::sleep(Duration::from_secs(8));
    assert_eq!(state(&daemons[0], 1), r#"{"state":"running"}"#);
    assert_each_ran_once(&operator.world(), 8);
    let unreadable = operator.world().value(&key).expect("progress");
    assert_eq!(unreadable["version"], 9, "it is not overwritten");
    operator.world().put_bytes(&key, &before);

    wait_until("completed", || is_completed(&daemons[1], 1));
    assert_each_ran_once(&operator.world(), 8);
}

/// The record of an accepted job cannot be decoded after a change of owner: the job still
/// exists, none of its tasks starts, and a client may still cancel it.
#[test]
fn an_unreadable_job_is_not_lost() {
    let operator = Operator::spawn(1);
    let mut daemons = fleet(4, 1, &operator);
    submit(&daemons[0], 1, &job(&[1], 60_000));
    submit(&daemons[0], 2, &job(&[1], 60_000));
    wait_until("running", || operator.world().records.len() == 2);
    daemons[0].kill();
    let key = format!("jobs/{:016x}", 1);
    let before = operator.world().bytes(&key).expect("a job");
    operator.world().put_bytes(&key, b"\x08\x01");
    let key_of_other = format!("jobs/{:016x}", 2);
    operator.world().put_bytes(&key_of_other, b"\x08\x01");
    operator.world().put("jobs/no-name", &json!({}));
    daemons[0].start();
    wait_until("ready", || daemons[0].is_ready());

    submit(&daemons[0], 3, &job(&[1], 100));
    std::thread::sleep(NOTICE_DELAY);
    assert_eq!(state(&daemons[0], 1), r#"{"state":"queued"}"#);
    assert_eq!(operator.world().runs_of(1), 1, "its run goes on");
    let cancelled = daemons[0].request("DELETE", &path(2), "");
    assert_eq!(cancelled, Answer::Status(200, "{}".to_owned()));
    wait_until("stopped", || operator.world().runs_of(2) == 0);
    assert_eq!(state(&daemons[0], 2), r#"{"state":"cancelled"}"#);
    operator.world().put_bytes(&key, &before);

    wait_until("running", || {
        state(&daemons[0], 1) == r#"{"state":"running"}"#
    });
    wait_until("a worker has capacity again", || {
        is_completed(&daemons[0], 3)
    });
    assert_each_ran_once(&operator.world(), 3);
}

/// The root was overwritten. The next owner started again with the first epoch, which
/// every worker refuses, and overwrote the value that might have shown the cause.
#[test]
fn no_daemon_takes_over_while_the_root_is_unreadable() {
    let operator = Operator::spawn(1);
    let daemons = fleet(5, 2, &operator);
    submit(&daemons[0], 1, &job(&[1], 100));
    wait_until("completed", || is_completed(&daemons[0], 1));
    let before = operator.world().value("owner").expect("a root");
    let epoch = before["epoch"].as_u64().expect("an epoch");

    for wrong in [
        "",
        "{}",
        "{\"epoch\":18446744073709551615,\"owner\":\"\",\"address\":\"\",\"boot\":0}",
    ] {
        operator.world().put_bytes("owner", wrong.as_bytes());
        std::thread::sleep(Duration::from_secs(2));
        let now = operator.world().bytes("owner");
        assert_eq!(
            now.as_deref(),
            Some(wrong.as_bytes()),
            "it is not overwritten"
        );
    }
    submit(&daemons[0], 2, &job(&[1], 100));
    let repaired = json!({ "epoch": epoch + 1, "owner": "", "address": "", "boot": 0 });
    operator.world().put("owner", &repaired);

    wait_until("completed", || is_completed(&daemons[1], 2));
    assert_each_ran_once(&operator.world(), 2);
}

/// The roster was overwritten, and a worker's entry was removed while the worker ran on.
/// The next owner knew nothing of the worker and started its task a second time.
#[test]
fn an_unreadable_roster_is_not_treated_as_empty() {
    let operator = Operator::spawn(2);
    let mut daemons = fleet(6, 1, &operator);
    submit(&daemons[0], 1, &job(&[1], 30_000));
    wait_until("running", || operator.world().records.len() == 1);
    let worker = operator.world().records[0].worker;
    let began = Instant::now();
    daemons[0].kill();
    let key = operator.world().worker_key(worker);
    operator.world().remove_value(&key);
    operator.world().put("roster", &json!({ "rows": 9 }));
    daemons[0].start();
    wait_until("the daemon owns again", || {
        let root = operator.world().value("owner");
        root.is_some_and(|root| root["epoch"] == 2)
    });
    std::thread::sleep(NOTICE_DELAY);

    submit(&daemons[0], 2, &job(&[1], 100));
    wait_until("new work starts at once", || is_completed(&daemons[0], 2));
    assert!(
        began.elapsed() < Duration::from_secs(6),
        "new work did not wait"
    );
    wait_until("the longest lease has expired", || {
        let mut world = operator.world();
        // The stand-in ends runs with an expired lease only when it is queried.
        world.runs_of(1);
        world.records.len() == 3
    });

    let world = operator.world();
    let (first, second) = (&world.records[0], &world.records[2]);
    assert_eq!(first.task, second.task);
    let (ended, how) = first.ended.expect("it ended");
    assert_eq!(how, "lapsed");
    assert!(ended <= second.started, "the task ran twice at a time");
    drop(world);
    wait_until("the roster is rewritten", || {
        let world = operator.world();
        let whole = world.value("roster");
        whole.is_some_and(|whole| whole == json!([])) && !world.roster().is_empty()
    });
}

/// An invalid version of the configuration was treated as a new one. The previous version
/// has to stay in force, and invalid waves have no effect.
#[test]
fn an_invalid_configuration_or_wave_changes_nothing() {
    let operator = Operator::spawn(1);
    let daemons = fleet(7, 1, &operator);
    let mut world = operator.world();
    world.put(
        "op/wave/1",
        &json!({ "wave": 2, "machines": ["m"], "duration_s": 1, "cap": 1 }),
    );
    world.put(
        "op/wave/2",
        &json!({ "wave": 2, "machines": "m", "duration_s": 1, "cap": 1 }),
    );
    world.put(
        "op/wave/3",
        &json!({ "wave": 3, "machines": [], "duration_s": 1e300, "cap": 1 }),
    );
    world.put_bytes("op/config", b"{\"version\":7,\"routes\":[{}]}");
    world.put_unencoded("op/elsewhere");
    drop(world);
    std::thread::sleep(NOTICE_DELAY);

    submit(&daemons[0], 1, &job(&[1], 100));
    wait_until("completed", || is_completed(&daemons[0], 1));
    assert_eq!(operator.world().keys("status/wave/"), Vec::<String>::new());
    operator.world().configure(8, &[("r", 1)], 5);
    wait_until("the next version is in force", || {
        matches!(daemons[0].request("GET", "/r/", ""), Answer::Status(200, _))
    });
}

/// After the store had lost its history, a daemon read the configuration anew but watched
/// from its old revision, which fails at once: it made hundreds of calls a second,
/// without end.
#[test]
fn a_lost_history_is_not_requested_repeatedly() {
    const WATCHES_A_SECOND: u64 = 60;
    let operator = Operator::spawn(1);
    let _daemons = fleet(8, 1, &operator);
    std::thread::sleep(NOTICE_DELAY);
    operator.world().drop_history();
    operator.world().put("op/elsewhere", &json!({}));
    operator.world().drop_history();
    std::thread::sleep(NOTICE_DELAY);
    let before = operator.world().calls;

    std::thread::sleep(Duration::from_secs(2));

    let calls = operator.world().calls - before;
    assert!(calls < 2 * WATCHES_A_SECOND, "{calls} calls in 2 s");
}

fn with_store<T>(
    operator: &Operator,
    call: impl AsyncFnOnce(StoreClient) -> Result<T, StoreError>,
) -> T {
    let address = operator.store.to_string();
    let result = actix_rt::System::new().block_on(async move {
        let timer = Timer::spawn().expect("a timer");
        call(StoreClient::new(HttpClient::open(timer), &address)).await
    });
    result.expect("the store answers")
}

/// A page whose last key contained a character that ends a query was followed by the
/// first page again, without end.
#[test]
fn every_page_is_read_whatever_its_last_key_contains() {
    const ITEMS: usize = 1_600;
    let operator = Operator::spawn(0);
    let odd = ["%2F", "#", "%", "+", " ", "?", "=", "ä", "\"", "&after="];
    let mut keys: Vec<String> = (0..ITEMS)
        .map(|at| format!("servers/{at:05}{}", odd[at % odd.len()]))
        .collect();
    for key in &keys {
        operator.world().put(key, &json!({}));
    }
    keys.sort_unstable();

    let range = with_store(&operator, async |store| store.range("servers/", true).await);

    let read: Vec<String> = range.items.into_iter().map(|item| item.key).collect();
    assert_eq!(read, keys);
}

/// Guards against values that are missed or read twice where the segments of a long range meet.
#[test]
fn a_range_that_is_read_in_segments_is_whole() {
    const ITEMS: u32 = 5_000;
    let operator = Operator::spawn(0);
    let mut keys: Vec<String> = (0..ITEMS)
        .map(|at| format!("servers/i-{:08x}", at.wrapping_mul(2_654_435_761)))
        .collect();
    keys.extend(["servers/i-8".to_owned(), "servers/i-c".to_owned()]);
    keys.extend((0..700).map(|at| format!("servers/vm{at:04}")));
    for key in &keys {
        operator.world().put(key, &json!({}));
    }
    keys.sort_unstable();

    let range = with_store(&operator, async |store| store.range("servers/", true).await);

    let read: Vec<String> = range.items.into_iter().map(|item| item.key).collect();
    assert_eq!(read, keys);
}

/// A watch answer longer than a daemon reads was requested again until the store dropped
/// its history, and no other change was noticed meanwhile.
#[test]
fn long_entries_neither_exhaust_memory_nor_stop_a_watch() {
    const LONG: usize = 1_000_000;
    const MAX_READ: usize = 70_000;
    let operator = Operator::spawn(0);
    let from = with_store(&operator, async |store| store.range("servers/", true).await);
    for at in 0..8 {
        operator
            .world()
            .put_bytes(&format!("servers/long-{at}"), &vec![b'x'; LONG]);
    }
    operator.world().put("servers/short", &entry("127.0.0.1:1"));

    let watched = with_store(&operator, async |store| {
        store.watch("servers/", from.revision, 0).await
    });
    assert_eq!(
        watched,
        WatchResult::HistoryGone,
        "the range has to be read page by page"
    );
    let range = with_store(&operator, async |store| store.range("servers/", true).await);
    assert_eq!(range.items.len(), 9);
    let longest = range.items.iter().map(|item| item.value.len()).max();
    assert!(
        longest.is_some_and(|longest| longest <= MAX_READ),
        "{longest:?}"
    );
}

#[test]
fn a_value_that_is_not_base64_does_not_affect_the_others_of_its_page_or_watch() {
    let operator = Operator::spawn(0);
    let from = with_store(&operator, async |store| store.range("servers/", true).await);
    let good = entry("127.0.0.1:1");
    operator.world().put("servers/a", &good);
    operator.world().put_unencoded("servers/b");
    operator.world().put("servers/c", &good);
    let values = |items: Vec<StoredItem>| -> Vec<usize> {
        items.iter().map(|item| item.value.len()).collect()
    };
    let expected = vec![good.to_string().len(), 0, good.to_string().len()];

    let range = with_store(&operator, async |store| store.range("servers/", true).await);
    assert_eq!(values(range.items), expected);
    let watched = with_store(&operator, async |store| {
        store.watch("servers/", from.revision, 0).await
    });
    let WatchResult::Changes { events, .. } = watched else {
        panic!("the store still has the history");
    };
    let put = events.into_iter().filter_map(|event| match event {
        StoreEvent::Put(item) => Some(item),
        StoreEvent::Removed { .. } => None,
    });
    assert_eq!(values(put.collect()), expected);
}

/// The report that `fuchsiaslip fleet` prints.
#[test]
fn the_fleet_report_lists_invalid_values() {
    let operator = Operator::spawn(2);
    let mut world = operator.world();
    world.configure(1, &[("q", 1)], 5);
    world.put("servers/w9", &json!({ "state": "ready" }));
    world.put("op/wave/1", &json!(7));
    world.put("status/wave/1", &json!([]));
    world.put("roster", &json!("w0"));
    world.put("roster/03", &json!([{ "incarnation": 3 }]));
    world.put("owner", &json!({}));
    world.put("closed/w0", &json!({ "closed": "yes" }));
    world.put("members/d0", &json!({ "address": 7 }));
    world.put("jobs/0000000000000001", &json!({ "queue": "q" }));
    world.put("jobs/1", &json!({}));
    world.put("progress/0000000000000002", &json!({ "groups": 1 }));
    drop(world);
    let address = operator.store.to_string();

    let report = actix_rt::System::new().block_on(async move {
        let timer = Timer::spawn().expect("a timer");
        inspect_fleet(&address, timer).await
    });

    let report = report.expect("the store answers");
    let shown: Vec<(&str, &str)> = report
        .unused
        .iter()
        .map(|value| (&*value.key, value.reason))
        .collect();
    assert_eq!(
        shown,
        [
            ("closed/w0", "bad_field"),
            ("jobs/0000000000000001", "bad_field"),
            ("jobs/1", "bad_name"),
            ("members/d0", "bad_field"),
            ("op/wave/1", "bad_field"),
            ("owner", "bad_field"),
            ("progress/0000000000000002", "bad_field"),
            ("roster", "bad_field"),
            ("roster/03", "bad_field"),
            ("servers/w9", "bad_field"),
            ("status/wave/1", "bad_field"),
        ]
    );
}
