//! How the scheduler treats workers with invalid entries and unreadable records.

use super::fleet::{
    Fleet,
    address_of,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::cluster::ClosedRecord;
use fuchsiaslip::core::JobId;
use fuchsiaslip::platform::{
    decode_configuration,
    decode_job,
    decode_wave, //
};
use fuchsiaslip::scheduler::{
    Action,
    EndKind,
    Input,
    JobRecord,
    JobStatus,
    ProgressRecord,
    RunName,
    WorkerInfo, //
};
use serde_json::{
    Value,
    json, //
};
use std::sync::Arc;

/// Longer than any lease lasts.
const LEASES_EXPIRED_MS: u64 = 15_000;

fn invalid_entry(name: &str) -> Input {
    Input::WorkerEntryInvalid {
        worker_name: name.to_owned(),
        reason: "bad_state",
    }
}

/// Lets time pass in which every run makes progress; a run without progress would be
/// stopped.
fn work_for(fleet: &mut Fleet, by_ms: u64) {
    const PROGRESS_INTERVAL_MS: u64 = 500;
    for _ in 0..by_ms / PROGRESS_INTERVAL_MS {
        for worker in fleet.workers.values_mut() {
            for percent in worker.running.values_mut() {
                *percent = (*percent + 1) % 90;
            }
        }
        fleet.advance(PROGRESS_INTERVAL_MS);
    }
}

/// A fleet of two workers with a job of one task; the job, the worker that runs the task,
/// and the run.
fn with_one_run() -> (Fleet, JobId, String, RunName) {
    let mut fleet = Fleet::with_workers(2);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(100);
    let running = fleet.running();
    assert_eq!(running.len(), 1, "{running:?}");
    let (worker, run) = running[0].clone();
    (fleet, job, worker, run)
}

fn starts_on(fleet: &Fleet, worker: &str) -> usize {
    let starts = fleet.starts.iter();
    starts.filter(|(_, there, _)| there == worker).count()
}

/// An operator's script overwrote a worker's entry. The worker and its runs went on, but
/// the owner gave it more tasks from the last entry that it had been able to decode,
/// although the worker had long been assigned to another service.
#[test]
fn a_worker_whose_entry_becomes_unreadable_keeps_its_runs_and_gets_no_new_ones() {
    let (mut fleet, first, worker, run) = with_one_run();

    fleet.send_input(invalid_entry(&worker));
    fleet.submit(2, record("plain", vec![step(8, 1)]));
    fleet.submit(3, record("plain", vec![step(4, 1)]));
    work_for(&mut fleet, LEASES_EXPIRED_MS);

    assert_eq!(starts_on(&fleet, &worker), 1, "no new work there");
    assert!(
        fleet.running().contains(&(worker.clone(), run)),
        "it goes on"
    );
    let expired = fleet.workers[&worker].has_expired_lease(fleet.now_ms);
    assert!(!expired, "its lease is renewed");
    fleet.end_all(first, EndKind::Done);
    fleet.advance(500);
    let completed = fleet.scheduler.job_status(first);
    assert_eq!(completed, Some(JobStatus::Completed), "its end is received");
    assert_eq!(fleet.highest_acknowledged[&worker], 1, "and acknowledged");
    fleet.send_input(Input::WorkerRegistered(worker_info(&worker, "r1")));
    fleet.advance(500);
    assert_eq!(starts_on(&fleet, &worker), 5, "it serves again");
}

#[test]
fn an_unusable_entry_of_an_unknown_worker_adds_no_worker() {
    let mut fleet = Fleet::with_workers(1);
    let workers = fleet.scheduler.workers().len();

    for at in 0..1_000 {
        fleet.send_input(invalid_entry(&format!("nobody-{at}")));
    }
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(500);

    assert_eq!(fleet.scheduler.workers().len(), workers);
    assert_eq!(fleet.running().len(), 1, "valid entries still count");
}

/// A worker's entry was overwritten, and then the owner crashed. The next owner did not
/// know the worker and did not poll it, and started its task elsewhere a second time.
#[test]
fn a_new_owner_polls_a_worker_whose_entry_is_unreadable() {
    let (fleet, job, worker, run) = with_one_run();
    let spec = record("plain", vec![step(1, 1)]);

    let mut next = fleet.next_owner(2, &[(job, spec)], false);
    next.send_input(invalid_entry(&worker));
    work_for(&mut next, LEASES_EXPIRED_MS);

    assert_eq!(next.running(), [(worker.clone(), run)], "it goes on, once");
    next.end_all(job, EndKind::Done);
    next.advance(500);
    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Completed));
    assert_eq!(next.starts, [], "nothing was started again");
}

#[test]
fn a_worker_whose_entry_names_another_service_gets_only_tasks_of_that_service() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(100);
    let other = WorkerInfo {
        service: "other".to_owned(),
        ..worker_info("w0", "r1")
    };

    fleet.send_input(Input::WorkerRegistered(other));
    fleet.submit(2, record("plain", vec![step(1, 1)]));
    work_for(&mut fleet, 5_000);

    assert_eq!(fleet.starts.len(), 1, "no queue uses that service");
    fleet.end_all(job, EndKind::Done);
    fleet.advance(500);
    assert_eq!(fleet.scheduler.job_status(job), Some(JobStatus::Completed));
}

/// The address at which a worker was last polled.
fn last_polled_address(fleet: &Fleet, worker: &str) -> String {
    let calls = fleet.actions.iter().rev();
    let mut calls = calls.filter_map(|action| match action {
        Action::Poll { callee, .. } if &*callee.worker_name == worker => {
            Some(callee.address.to_string())
        }
        _ => None,
    });
    calls.next().expect("it was polled")
}

/// A worker's entry was overwritten with the address of another worker, which answered
/// correctly that it is not the one addressed. The owner concluded that the worker was
/// gone and started its tasks elsewhere while they went on.
#[test]
fn an_entry_with_the_address_of_another_worker_does_not_end_its_worker() {
    let (mut fleet, job, worker, run) = with_one_run();
    let own = address_of(&worker);
    let other = address_of(if worker == "w0" { "w1" } else { "w0" });
    let overwritten = WorkerInfo {
        address: other.clone(),
        ..worker_info(&worker, "r1")
    };

    fleet.send_input(Input::WorkerRegistered(overwritten));
    fleet.submit(2, record("plain", vec![step(2, 1)]));
    work_for(&mut fleet, LEASES_EXPIRED_MS);

    assert_eq!(
        last_polled_address(&fleet, &worker),
        own,
        "it is still polled at its own address"
    );
    assert_eq!(starts_on(&fleet, &worker), 1, "no new work there");
    assert!(fleet.running().contains(&(worker.clone(), run)));

    // The worker does not respond now, and another one answers at the new address.
    fleet.unresponsive.push(worker.clone());
    work_for(&mut fleet, 1_500);
    let tried = fleet.actions.iter().any(|action| {
        matches!(action, Action::Poll { callee, .. }
            if *callee.worker_name == worker && *callee.address == *other)
    });
    assert!(tried, "the other address is tried");
    let job_starts = fleet
        .starts
        .iter()
        .filter(|(name, ..)| name.task.job == job);
    assert_eq!(job_starts.count(), 1, "its lease has not expired");

    fleet.unresponsive.clear();
    fleet.send_input(Input::WorkerRegistered(worker_info(&worker, "r1")));
    fleet.end_all(JobId(2), EndKind::Done);
    fleet.advance(1_500);
    fleet.submit(3, record("plain", vec![step(16, 1)]));
    // Its run made no progress while it did not respond, so it is quarantined.
    work_for(&mut fleet, 3_000);
    assert!(starts_on(&fleet, &worker) > 1, "it serves again");
    assert_eq!(last_polled_address(&fleet, &worker), own);
}

/// Two entries named the same address after one was overwritten. When the worker at that
/// address answered again after a pause, the other counted as replaced by it, although it
/// ran on at its own address.
#[test]
fn a_worker_that_answers_does_not_end_one_whose_entry_claims_its_address() {
    let (mut fleet, job, worker, _) = with_one_run();
    let other = if worker == "w0" { "w1" } else { "w0" };
    fleet.send_input(Input::WorkerRegistered(WorkerInfo {
        address: address_of(other),
        ..worker_info(&worker, "r1")
    }));
    fleet.unresponsive.push(worker.clone());

    for _ in 0..15 {
        fleet.unresponsive.push(other.to_owned());
        fleet.advance(60);
        fleet.unresponsive.retain(|name| name != other);
        fleet.advance(300);
    }

    let job_starts = fleet
        .starts
        .iter()
        .filter(|(name, ..)| name.task.job == job);
    assert_eq!(job_starts.count(), 1, "its lease has not expired");
}

/// The next owner of a fleet with one run of a job whose progress cannot be decoded.
fn next_owner_with_unreadable_progress() -> (Fleet, JobId, String, RunName) {
    let (fleet, job, worker, run) = with_one_run();
    let mut next = fleet.next_owner(2, &[], false);
    next.send_input(Input::JobUnreadable(job));
    next.advance(500);
    (next, job, worker, run)
}

/// A newer version wrote the progress of a job, and a daemon of the previous version took
/// over. It treated the job as one without progress and ran it again.
#[test]
fn a_job_with_unreadable_progress_neither_starts_nor_ends() {
    let (mut next, job, worker, run) = next_owner_with_unreadable_progress();
    let spec = record("plain", vec![step(1, 1)]);

    // A client submits the job again.
    next.submit(job.0, spec.clone());
    work_for(&mut next, LEASES_EXPIRED_MS);
    assert_eq!(next.running(), [(worker.clone(), run)], "it goes on");
    assert_eq!(
        next.scheduler.job_status(job),
        None,
        "its status has to be read from the store"
    );
    next.end_all(job, EndKind::Done);
    next.advance(1_000);
    assert_eq!(next.highest_acknowledged[&worker], 0, "its end is not lost");
    assert_eq!(next.starts, []);

    next.send_input(Input::JobReadable {
        id: job,
        record: Arc::new(spec),
        progress: None,
    });
    next.advance(1_000);

    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Completed));
    assert_eq!(
        next.highest_acknowledged[&worker], 1,
        "now its end is acknowledged"
    );
    assert_eq!(next.starts, [], "nothing ran twice");
}

#[test]
fn a_run_of_a_job_that_becomes_readable_is_adopted() {
    let (mut next, job, worker, run) = next_owner_with_unreadable_progress();

    next.send_input(Input::JobReadable {
        id: job,
        record: Arc::new(record("plain", vec![step(1, 1)])),
        progress: None,
    });
    work_for(&mut next, LEASES_EXPIRED_MS);

    assert_eq!(next.running(), [(worker, run)]);
    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Running));
    next.end_all(job, EndKind::Done);
    next.advance(1_000);
    assert_eq!(next.scheduler.job_status(job), Some(JobStatus::Completed));
    assert_eq!((&next.starts[..], &next.stops[..]), (&[][..], &[][..]));
}

#[test]
fn a_job_that_becomes_readable_waits_for_workers_that_did_not_respond() {
    let (fleet, job, worker, _) = with_one_run();
    let mut next = fleet.next_owner(2, &[], false);
    next.unresponsive.push(worker);
    next.send_input(Input::JobUnreadable(job));
    work_for(&mut next, 3_000);

    next.send_input(Input::JobReadable {
        id: job,
        record: Arc::new(record("plain", vec![step(1, 1)])),
        progress: None,
    });
    work_for(&mut next, 3_000);

    assert_eq!(
        next.starts,
        [],
        "it may run on the worker that does not respond"
    );
}

#[test]
fn a_job_with_unreadable_progress_can_be_cancelled() {
    let (mut next, job, worker, run) = next_owner_with_unreadable_progress();

    next.send_input(Input::JobCancelled(job));
    next.advance(1_000);

    assert_eq!(next.stops, [(run, worker.clone())]);
    assert_eq!(next.running(), []);
    assert_eq!(
        next.highest_acknowledged[&worker], 1,
        "its end is acknowledged"
    );
}

/// The resources of a run are unknown if its job cannot be decoded: tasks placed beside
/// the run brought its worker over its capacity.
#[test]
fn nothing_is_placed_beside_a_run_of_an_unreadable_job() {
    let (mut next, _, worker, run) = next_owner_with_unreadable_progress();

    next.submit(2, record("urgent", vec![step(16, 1)]));
    work_for(&mut next, 3_000);

    assert_eq!(starts_on(&next, &worker), 0);
    assert!(next.running().contains(&(worker, run)), "nor in its place");
}

/// A worker was stored as closed while the roster could not be decoded. It got tasks, the
/// roster was repaired, and the next owner read that nothing runs on the worker.
#[test]
fn a_closed_worker_is_opened_in_the_store_before_it_gets_work() {
    let fleet = Fleet::with_workers(1);
    let mut next = fleet.next_owner_with_inputs(2, true, |next| {
        next.store_answers = false;
        next.send_input(Input::RosterUnreadable);
        next.send_input(Input::ClosedWorker {
            worker_name: "w0".to_owned(),
            runs: Vec::new().into(),
        });
        next.send_input(Input::WorkerRegistered(worker_info("w0", "r1")));
    });

    next.submit(1, record("plain", vec![step(1, 1)]));
    next.advance(2_000);
    assert_eq!(next.starts, [], "the store still has the worker as closed");
    next.send_input(Input::ClosedWorkerStored {
        worker_name: "w0".to_owned(),
        closed: false,
    });
    next.advance(100);

    assert_eq!(next.starts.len(), 1);
}

/// The roster was overwritten. The next owner treated the fleet as empty, and restarted
/// the tasks of a worker that it did not know because its entry was gone too.
#[test]
fn while_the_roster_is_unreadable_any_worker_may_run_anything() {
    let (fleet, job, worker, _) = with_one_run();
    let spec = record("plain", vec![step(1, 1)]);
    let other = if worker == "w0" { "w1" } else { "w0" };
    let mut next = fleet.next_owner_with_inputs(2, false, |next| {
        next.send_input(Input::RosterUnreadable);
        next.send_input(Input::WorkerRegistered(worker_info(other, "r1")));
        next.send_input(Input::JobStored {
            id: job,
            record: Arc::new(spec.clone()),
            progress: None,
        });
    });
    let roster_stored = |next: &Fleet| {
        let mut actions = next.actions.iter();
        actions.any(|action| *action == Action::StoreRoster)
    };

    work_for(&mut next, 7_000);
    assert_eq!(next.starts, [], "the worker that it cannot know may run it");
    assert!(
        !roster_stored(&next),
        "the next owner has to see the unreadable roster too"
    );
    next.submit(2, record("plain", vec![step(1, 1)]));
    next.advance(100);
    assert_eq!(next.starts.len(), 1, "new work starts at once");
    work_for(&mut next, LEASES_EXPIRED_MS);

    assert_eq!(next.starts.len(), 2, "the longest lease has expired");
    assert!(roster_stored(&next));
}

/// A job of the queue as a client submits it, with one step of these fields beside the usual ones.
fn job_with(queue: &str, job_fields: &Value, step_fields: &Value) -> JobRecord {
    let mut step = json!({ "count": 1, "cpu": 1000, "mem_mb": 1000, "gpu": 1,
        "estimated_ms": 2000 });
    for (field, value) in step_fields.as_object().expect("an object") {
        step[field] = value.clone();
    }
    let mut job = job_fields.clone();
    job["steps"] = json!([step]);
    let spec = decode_job(job.to_string().as_bytes()).expect("a job");
    JobRecord {
        spec,
        ..record(queue, Vec::new())
    }
}

/// Asserts that another job runs beside the given ones.
fn assert_another_job_runs_beside(jobs: &[JobRecord]) {
    const OTHER_JOB: u64 = 99;
    let mut fleet = Fleet::with_workers(2);
    for (id, job) in (1..).zip(jobs) {
        fleet.submit(id, job.clone());
    }
    work_for(&mut fleet, 2_000);

    let other = fleet.submit(OTHER_JOB, record("urgent", vec![step(1, 1)]));
    work_for(&mut fleet, 2_000);
    fleet.end_all(other, EndKind::Done);
    work_for(&mut fleet, 2_000);

    let shown = fleet.scheduler.job_status(other);
    assert_eq!(shown, Some(JobStatus::Completed), "beside {jobs:?}");
}

/// Guards against owners that fail one after the other on a job whose times exceed the range of
/// the sums that they are part of.
#[test]
fn a_job_with_times_out_of_range_does_not_stop_another() {
    let none = json!({});
    for queue in ["urgent", "plain"] {
        for estimated_ms in [json!(1e300), json!(u64::MAX), json!(-1e300), json!(1e17)] {
            let fields = json!({ "estimated_ms": estimated_ms });
            assert_another_job_runs_beside(&[job_with(queue, &none, &fields)]);
            // Its tasks fit on no worker, so that the other job has room.
            let wide = json!({ "estimated_ms": estimated_ms, "count": 90_000, "gpu": 9 });
            assert_another_job_runs_beside(&[job_with(queue, &none, &wide)]);
        }
    }
}

/// Guards against the same for the times of a schedule, the number of occurrences and bounds.
#[test]
fn a_job_with_a_schedule_or_bounds_out_of_range_does_not_stop_another() {
    for start_at_ms in [json!(0), json!(1e300), json!(-1e300)] {
        for interval_ms in [json!(1), json!(1e300)] {
            let fields = json!({ "repetitions": u32::MAX, "start_at_ms": start_at_ms,
                "interval_ms": interval_ms });
            // Its work does not fit, so that the other job has room.
            let large = json!({ "gpu": 9 });
            assert_another_job_runs_beside(&[job_with("plain", &fields, &large)]);
        }
    }
    let bounds = json!({ "target_ms": 1e300, "long_running": true, "max_unavailable": u32::MAX,
        "anti_affinity": u32::MAX });
    assert_another_job_runs_beside(&[job_with("plain", &json!({}), &bounds)]);
}

/// Guards against the same for urgent jobs of one account that together need more accelerators
/// than a sum can hold.
#[test]
fn jobs_that_need_more_than_a_sum_can_hold_do_not_stop_another() {
    let huge = json!({ "gpu": u32::MAX, "cpu": u32::MAX, "mem_mb": u32::MAX, "count": 90_000 });
    let jobs = [1, 2, 3].map(|_| job_with("urgent", &json!({}), &huge));

    assert_another_job_runs_beside(&jobs);
}

/// Guards against the same for an end of an occurrence that is never due.
#[test]
fn an_end_of_an_occurrence_that_is_never_due_does_not_stop_another_job() {
    let (mut fleet, _, worker, run) = with_one_run();
    let never = json!({ "repetitions": 9, "start_at_ms": 1e300, "interval_ms": 1e300 });
    let job = fleet.submit(2, job_with("plain", &never, &json!({})));
    let mut stray = run;
    stray.task.job = job;
    stray.task.occurrence = 3;

    let reporter = fleet.workers.get_mut(&worker).expect("a worker");
    reporter.running.insert(stray, 1);
    reporter.end(stray, EndKind::Failed);
    work_for(&mut fleet, 2_000);
    let other = fleet.submit(3, record("plain", vec![step(1, 1)]));
    work_for(&mut fleet, 1_000);

    assert!(fleet.running().iter().any(|(_, run)| run.task.job == other));
}

/// Guards against the same for a configuration whose external policy approves workers for longer
/// than a sum can hold, and for a wave with the largest numbers.
#[test]
fn a_configuration_or_wave_with_the_largest_numbers_does_not_stop_a_job() {
    let advice = json!({ "decision_ms": u64::MAX, "per_worker_ms": u64::MAX,
        "validity_ms": u64::MAX });
    let route = json!({ "name": "plain", "host": "h", "prefix": "/plain/", "service": "s",
        "priority": u32::MAX, "max_attempts": u32::MAX, "stretch_factor": 1e6,
        "target_latency_ms": 1e12, "recommendation": advice });
    let configuration = json!({ "version": 9, "routes": [route], "tenants": [
        { "name": "a", "guaranteed": { "gpu": u32::MAX } },
        { "name": "b", "guaranteed": { "gpu": u32::MAX } } ] });
    let wave = json!({ "wave": u64::MAX, "machines": ["m1", "m1", "m2"], "duration_s": 1e9,
        "cap": u32::MAX });
    let mut fleet = Fleet::with_workers(2);
    let wave = decode_wave(wave.to_string().as_bytes()).expect("a wave");
    fleet.send_input(Input::UpkeepWave(wave));
    // A configuration that is refused changes nothing.
    if let Ok(decoded) = decode_configuration(configuration.to_string().as_bytes()) {
        fleet.send_input(Input::Configure(Arc::new(decoded)));
    }

    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(200);
    let asked = fleet.actions.iter().find_map(|action| match action {
        Action::Advise { step, workers } => Some((*step, workers.clone())),
        _ => None,
    });
    if let Some((step, workers)) = asked {
        let approved = workers.iter();
        let approved = approved.map(|(_, name)| (name.to_string(), "ticket".into()));
        fleet.send_input(Input::AdviceResult {
            step,
            asked: workers.iter().map(|(key, _)| *key).collect(),
            approved: Some(approved.collect()),
        });
    }
    fleet.advance(1_000);

    assert!(fleet.running().iter().any(|(_, run)| run.task.job == job));
}

/// Guards against the same for a stored record of a closed worker that names a run beyond all
/// numbers.
#[test]
fn a_closed_worker_with_a_run_out_of_range_does_not_stop_its_task() {
    let spec = record("plain", vec![step(1, 1)]);
    let fleet = Fleet::with_workers(2);
    let closed = json!({ "closed": true, "runs": [["0000000000000001.0.0.0", u64::MAX]] });
    let closed: ClosedRecord = serde_json::from_value(closed).expect("a record");
    let mut next = fleet.next_owner_with_inputs(2, false, |next| {
        next.send_input(Input::RosterWorker {
            worker_name: "w0".to_owned(),
            address: address_of("w0"),
            closed_runs: closed.closed_runs(),
        });
        next.send_input(Input::WorkerRegistered(worker_info("w0", "r1")));
        next.send_input(Input::JobStored {
            id: JobId(1),
            record: Arc::new(spec.clone()),
            progress: None,
        });
    });

    work_for(&mut next, LEASES_EXPIRED_MS);

    assert_eq!(next.starts.len(), 1, "it starts");
}

/// Guards against the same for stored progress with the largest numbers.
#[test]
fn progress_with_the_largest_numbers_does_not_stop_another_job() {
    let suspect = json!({ "index": 0, "runs": [1], "at_start": [1], "starts": u32::MAX,
        "last_start": u64::MAX });
    let failures = json!({ "index": 0, "runs": [1], "earlier": u32::MAX });
    let mut other = JobId(20);
    for (field, row) in [("crashes", suspect), ("failures", failures)] {
        let mut group = json!({ "occurrence": 0, "step": 0, "done": [], "failures": [],
            "crashes": [] });
        group[field] = json!([row]);
        let progress = json!({ "ended": null, "done_occurrences": [],
            "groups": [group] });
        let progress: ProgressRecord = serde_json::from_value(progress).expect("progress");
        let mut fleet = Fleet::with_workers(2);
        fleet.send_input(Input::JobStored {
            id: JobId(1),
            record: Arc::new(record("patient", vec![step(1, 1)])),
            progress: Some(progress),
        });
        work_for(&mut fleet, 2_000);
        fleet.end_all(JobId(1), EndKind::Failed);
        work_for(&mut fleet, 2_000);
        fleet.crash("w0");
        work_for(&mut fleet, 2_000);

        other = fleet.submit(other.0 + 1, record("plain", vec![step(1, 1)]));
        work_for(&mut fleet, 2_000);

        let is_running = fleet.running().iter().any(|(_, run)| run.task.job == other);
        assert!(is_running, "beside {field}");
    }
}
