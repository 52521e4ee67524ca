//! The memory that the open occurrences of jobs take on the owner.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;

use daemons::{
    is_completed,
    job,
    path,
    wait_until, //
};
use fleet::{
    BEGIN_MS,
    Fleet,
    gang,
    record,
    step, //
};
use fuchsiaslip::cluster::JobRoom;
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    EndKind,
    JobBytes,
    JobRecord,
    JobStatus,
    RunName,
    Schedule,
    StepSpec,
    Tuning, //
};
use operator::Operator;
use processes::{
    Answer,
    Daemon,
    loopback, //
};
use serde_json::json;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

/// A job whose occurrences are all due at once.
fn overlapping(repetitions: u32, steps: Vec<StepSpec>) -> JobRecord {
    let mut record = record("plain", steps);
    record.spec.schedule = Some(Schedule {
        repetitions,
        start_at_ms: BEGIN_MS,
        interval_ms: 1,
    });
    record
}

fn tuning(job_memory_bytes: u64) -> Tuning {
    Tuning {
        job_memory_bytes,
        ..Tuning::default()
    }
}

/// What a job takes with `open` open occurrences.
fn bytes_of(record: &JobRecord, open: u64) -> u64 {
    let bytes = JobBytes::of(record);
    bytes.record + open * bytes.occurrence
}

/// The occurrences of a job that are open.
fn open(fleet: &Fleet, job: JobId) -> Vec<u32> {
    let groups = fleet.scheduler.groups();
    let own = groups.filter(|group| group.key.job == job);
    own.map(|group| group.key.occurrence).collect()
}

/// Completes the runs of a job until it is shown as completed. Returns the most occurrences that
/// were open at a time.
fn complete(fleet: &mut Fleet, job: JobId) -> usize {
    let mut most_open = 0;
    for _ in 0..500 {
        most_open = most_open.max(open(fleet, job).len());
        fleet.end_all(job, EndKind::Done);
        fleet.advance(10);
        if fleet.scheduler.job_status(job) == Some(JobStatus::Completed) {
            break;
        }
    }
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Completed));
    most_open
}

/// The tasks that were started more than once.
fn started_again(fleet: &Fleet) -> Vec<RunName> {
    let mut starts: Vec<RunName> = fleet.starts.iter().map(|start| start.0).collect();
    starts.sort();
    let pairs = starts.windows(2);
    let again = pairs.filter(|pair| pair[0].task == pair[1].task);
    again.map(|pair| pair[1]).collect()
}

/// Guards against owners that are killed one after the other, since a job that was admitted with
/// few open occurrences opens all that are due.
#[test]
fn an_owner_opens_no_more_occurrences_than_its_memory_holds() {
    const MEMORY_MB: usize = 64;
    const FIRST_ADDRESS: u8 = 60;
    let operator = Operator::spawn(2);
    operator.world().configure(1, &[("q", 1)], 5);
    let limits = format!("limits.memory_mb={MEMORY_MB}\n");
    let ip = loopback(252, FIRST_ADDRESS);
    let daemon = Daemon::spawn_with_settings("d0", ip, operator.store, &limits);
    wait_until("the daemon is ready", || daemon.is_ready());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = since_epoch.expect("a time").as_millis() as u64;
    let large = json!({ "spec": "60000", "repetitions": 64, "start_at_ms": now_ms, "interval_ms": 10,
        "steps": [{ "count": 20_000, "cpu": 1000, "mem_mb": 100, "gpu": 1, "estimated_ms": 60_000 }] });

    let answer = daemon.request("POST", &path(1), &large.to_string());
    assert!(matches!(answer, Answer::Status(200, _)), "{answer:?}");
    std::thread::sleep(Duration::from_secs(3));

    let peak_mb = daemon.peak_memory_bytes() >> 20;
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB");
    daemon.request("DELETE", &path(1), "");
    daemon.request("POST", &path(2), &job(1, 10));
    wait_until("an ordinary job is completed", || is_completed(&daemon, 2));
}

/// Guards against occurrences that wait for memory and are forgotten.
#[test]
fn occurrences_that_wait_for_memory_open_as_others_end() {
    let record = overlapping(20, vec![step(4, 1)]);
    let mut fleet = Fleet::with_tuning(2, tuning(2 * bytes_of(&record, 5)));

    let job = fleet.submit(1, record);
    fleet.advance(20);
    assert_eq!(open(&fleet, job), [0, 1, 2, 3, 4]);
    let most_open = complete(&mut fleet, job);

    assert_eq!(most_open, 5);
    assert_eq!(started_again(&fleet), []);
    assert_eq!(fleet.scheduler.sizes().waiting_occurrences, 0);
}

/// Guards against a bound that slows down small work which fits.
#[test]
fn overlapping_occurrences_that_fit_open_at_once() {
    let record = overlapping(64, vec![step(40, 1)]);
    let smallest_vm = JobRoom::of_machine(260 << 20);
    let mut fleet = Fleet::with_tuning(2, tuning(smallest_vm.limit_bytes()));

    let job = fleet.submit(1, record);
    fleet.advance(100);

    assert_eq!(open(&fleet, job).len(), 64);
}

/// Guards against one job, or one account, that takes all of the memory.
#[test]
fn a_job_opens_beside_others_that_could_take_all_of_the_memory() {
    let large = overlapping(64, vec![step(50, 1)]);
    let mut other = large.clone();
    other.account = "other".to_owned();
    let mut fleet = Fleet::with_tuning(2, tuning(2 * bytes_of(&large, 8)));

    let first = fleet.submit(1, large);
    fleet.advance(20);
    let second = fleet.submit(2, other);
    let ordinary = fleet.submit(3, record("plain", vec![step(1, 1)]));
    fleet.advance(20);
    assert_eq!(open(&fleet, second), [0]);
    assert_eq!(open(&fleet, ordinary), [0]);

    let mut opened = 0;
    for _ in 0..200 {
        fleet.end_all(first, EndKind::Done);
        fleet.end_all(second, EndKind::Done);
        fleet.advance(10);
        opened = opened.max(open(&fleet, second).len());
    }
    assert!(
        opened > 2,
        "the other account's occurrences opened: {opened}"
    );
}

/// Guards against a new owner that opens what it reads first, before it knows what other jobs need.
#[test]
fn a_new_owner_opens_the_first_occurrence_of_each_job_before_others() {
    let record = overlapping(64, vec![step(50, 1)]);
    let mut fleet = Fleet::with_workers(2);
    fleet.next_tuning = tuning(bytes_of(&record, 10));
    let jobs: Vec<(JobId, JobRecord)> = (1..=8).map(|id| (JobId(id), record.clone())).collect();

    let mut next = fleet.next_owner(2, &jobs, true);
    next.advance(100);

    for (job, _) in jobs {
        assert_eq!(open(&next, job), [0]);
    }
}

/// A fleet whose next owner has memory for one occurrence of a job, with a run in the last one.
struct LessMemory {
    fleet: Fleet,
    job: (JobId, JobRecord),
    worker: String,
    name: RunName,
}

impl LessMemory {
    fn of(steps: Vec<StepSpec>) -> Self {
        let record = overlapping(3, steps);
        let mut fleet = Fleet::with_workers(8);
        fleet.next_tuning = tuning(bytes_of(&record, 1));
        let job = (fleet.submit(1, record.clone()), record);
        fleet.advance(50);
        let running = fleet.running();
        let mut last = running.iter().filter(|(_, name)| name.task.occurrence == 2);
        let (worker, name) = last.next().expect("the last occurrence runs").clone();
        Self {
            fleet,
            job,
            worker,
            name,
        }
    }

    fn end(&mut self, kind: EndKind) {
        self.fleet.end_run(&self.worker, self.name, kind);
    }

    /// The next owner after `fleet`, once it has polled all workers.
    fn owner_after(&self, fleet: &Fleet, epoch: u64) -> Fleet {
        let mut next = fleet.next_owner(epoch, std::slice::from_ref(&self.job), true);
        next.advance(300);
        next
    }

    fn starts_again(&self, fleet: &Fleet) -> bool {
        let mut starts = fleet.starts.iter();
        starts.any(|start| start.0.task == self.name.task)
    }
}

/// Guards against a done task that runs again: its end is listed while its occurrence waits for
/// memory.
#[test]
fn ends_of_an_occurrence_that_waits_for_memory_count_when_it_opens() {
    for steps in [vec![step(4, 1)], vec![gang(4, 1)]] {
        let mut less = LessMemory::of(steps);
        less.end(EndKind::Done);

        let mut next = less.owner_after(&less.fleet, 2);
        assert_eq!(open(&next, less.job.0), [0], "the others wait");
        let mut acknowledged = next.acknowledged.iter();
        let is_acknowledged = acknowledged.any(|end| end.row.name == less.name);
        assert!(is_acknowledged, "it is stored with the progress of the job");
        complete(&mut next, less.job.0);

        assert!(!less.starts_again(&next));
    }
}

/// Guards against stored progress that the next change of a job removes, because its occurrence is
/// not open.
#[test]
fn progress_of_an_occurrence_that_waits_for_memory_is_kept() {
    let mut less = LessMemory::of(vec![step(4, 1)]);
    less.end(EndKind::Done);
    less.fleet.advance(50);
    let mut next = less.owner_after(&less.fleet, 2);
    let (worker, first) = next.running()[0].clone();
    assert_eq!(first.task.occurrence, 0);
    next.end_run(&worker, first, EndKind::Done);
    next.advance(300);

    let mut last = less.owner_after(&next, 3);
    complete(&mut last, less.job.0);

    assert!(!less.starts_again(&last));
}

/// Guards against failures that are not counted while an occurrence waits for memory.
#[test]
fn failures_of_an_occurrence_that_waits_for_memory_count_when_it_opens() {
    let mut less = LessMemory::of(vec![step(4, 1)]);
    less.end(EndKind::Failed);
    let mut next = less.owner_after(&less.fleet, 2);
    assert_eq!(open(&next, less.job.0), [0]);

    while open(&next, less.job.0) != [2] {
        next.end_all(less.job.0, EndKind::Done);
        next.advance(10);
    }

    let mut groups = next.scheduler.groups();
    let group = groups.next().expect("the last occurrence is open");
    assert_eq!(group.tasks[less.name.task.index as usize].failures(), 1);
}

/// Guards against a job that is forgotten because the occurrence for which it waited was opened for
/// a run that a worker listed, and the next one is not due yet.
#[test]
fn a_job_goes_on_after_the_occurrence_that_waited_was_found_on_a_worker() {
    const INTERVAL_MS: u64 = 2_000;
    let mut recurring = overlapping(3, vec![step(4, 1)]);
    if let Some(schedule) = &mut recurring.spec.schedule {
        schedule.interval_ms = INTERVAL_MS;
    }
    let mut fleet = Fleet::with_workers(8);
    fleet.next_tuning = tuning(bytes_of(&recurring, 2));
    let job = (fleet.submit(1, recurring.clone()), recurring);
    fleet.advance(INTERVAL_MS + 50);
    assert_eq!(open(&fleet, job.0), [0, 1]);

    let mut next = fleet.next_owner(2, std::slice::from_ref(&job), true);
    next.advance(300);
    assert_eq!(open(&next, job.0), [0, 1]);
    next.end_all(job.0, EndKind::Done);
    next.advance(INTERVAL_MS);
    next.end_all(job.0, EndKind::Done);
    next.advance(50);

    let status = next.scheduler.job_status(job.0);
    assert_eq!(status, Some(JobStatus::Completed));
}

/// Guards against a client that is told to come back with a job that no owner can hold.
#[test]
fn a_job_that_fits_no_owner_is_told_from_one_that_has_to_wait() {
    let mut room = JobRoom::of_machine(64 << 20);
    let half_bytes = room.limit_bytes() / 2;

    assert!(room.admit(half_bytes));
    assert!(!room.admit(half_bytes));
    assert!(room.can_hold(half_bytes));
    assert!(!room.can_hold(half_bytes + 1));
}
