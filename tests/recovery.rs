//! Owners that follow one another, what is stored and what is forgotten.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    BEGIN_MS,
    Fleet,
    configuration,
    gang,
    leaving_info,
    queue,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    CallOutcome,
    ClosedRuns,
    EndKind,
    GroupKey,
    Input,
    JobRecord,
    JobStatus,
    PollReport,
    RunName,
    Schedule,
    Scheduler,
    Sizes,
    StepSpec,
    Tuning,
    WorkerInfo, //
};
use std::sync::Arc;

/// A new owner that knows so many workers by the roster, and has asked none.
fn new_owner_of(count: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(2, Tuning::default(), BEGIN_MS);
    scheduler.handle(Input::Configure(Arc::new(configuration(64))), BEGIN_MS);
    for at in 0..count {
        let known = Input::RosterWorker {
            worker_name: format!("w{at}"),
            address: format!("w{at}:1"),
            closed_runs: None,
        };
        scheduler.handle(known, BEGIN_MS);
    }
    let recovered = Input::StoredStateRead {
        earlier_owner_over: true,
    };
    scheduler.handle(recovered, BEGIN_MS);
    scheduler
}

/// A fleet whose store names a run on a worker that is out of reach, while a
/// later run of the same task is on the other worker.
fn started_anew_elsewhere() -> (Fleet, (JobId, JobRecord), String, RunName) {
    let mut fleet = Fleet::with_workers(2);
    let job = (JobId(1), record("plain", vec![step(1, 8)]));
    fleet.submit(1, job.1.clone());
    fleet.advance(50);
    let (worker, run) = fleet.running()[0].clone();
    let other = if worker == "w0" { "w1" } else { "w0" };
    fleet.closed.insert(worker.clone(), Some(vec![run].into()));
    fleet.silent.push(worker);
    let newer = RunName {
        run: run.run + 1,
        ..run
    };
    let fake = fleet.workers.get_mut(other).unwrap();
    fake.running.insert(newer, 0);
    (fleet, job, other.to_owned(), newer)
}

/// An end is listed and its owner dies before it is durable. The next owner
/// finds the end still listed and counts it once.
#[test]
fn ends_that_were_not_durable_are_found_by_the_next_owner() {
    let (mut fleet, id, job) = Fleet::with_job(1, record("plain", vec![step(1, 1)]));
    fleet.end_all(id, EndKind::Failed);

    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(50);

    let starts: Vec<u64> = next.starts.iter().map(|start| start.0.run).collect();
    assert_eq!(
        starts,
        [100_001],
        "a second attempt, numbered above the first owner's"
    );
    next.end_all(id, EndKind::Failed);
    next.advance(50);
    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Failed));
}

/// A job got a third attempt where two were allowed. The store was down while
/// both attempts failed, on different workers, and the owner died; its
/// successor heard of the second failure first, and took the first one, of a
/// lower run, for counted already.
#[test]
fn failures_count_in_whatever_order_workers_list_them() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.store_answers = false;
    fleet.end_all(id, EndKind::Failed);
    fleet.advance(300);
    fleet.end_all(id, EndKind::Failed);
    let later = fleet.starts[1].1.clone();
    assert_ne!(later, fleet.starts[0].1);
    let earlier = fleet.starts[0].1.clone();

    fleet.silent.push(earlier);
    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(100);
    next.silent.clear();
    next.advance(1_000);

    assert!(next.starts.is_empty(), "a third attempt was started");
    assert_eq!(next.scheduler.job_status(id), Some(JobStatus::Failed));
}

/// A new owner finds what runs and lets it run on.
#[test]
fn a_new_owner_adopts_what_runs() {
    let (fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(4, 1)]));
    let before = fleet.running();

    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(500);

    assert_eq!(next.running(), before);
    assert!(next.starts.is_empty() && next.stops.is_empty());
}

/// A worker that the new owner cannot reach may still run what the earlier
/// owner started, as long as the longest lease that it can have. Started
/// elsewhere before that, a task would run twice.
#[test]
fn tasks_that_may_run_out_of_sight_wait_for_the_longest_lease() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let worker = fleet.running()[0].0.clone();
    fleet.silent.push(worker);

    let mut next = fleet.next_owner(2, &[(id, job.clone())], false);
    next.advance(12_900);
    assert!(next.starts.is_empty(), "6 s of authority and 7 s of lease");
    next.advance(1_000);
    assert_eq!(next.starts.len(), 1);

    let mut sooner = fleet.next_owner(2, &[(id, job)], true);
    sooner.advance(8_000);
    assert_eq!(
        sooner.starts.len(),
        1,
        "the earlier owner's process had ended"
    );
}

/// A task ran twice at a time after a change of owner. The new owner had found
/// one member of a gang when urgent work took its room; the gang was given up,
/// and the other member, found a moment later, was stopped as belonging to
/// nothing. Its task counted as waiting meanwhile, and was started again while
/// the old run was still being stopped.
#[test]
fn a_member_found_late_is_waited_for_before_its_gang_starts_again() {
    let mut fleet = Fleet::with_workers(4);
    let patient = record("patient", vec![gang(2, 8)]);
    let id = fleet.submit(1, patient.clone());
    fleet.advance(20);
    let (first, second) = (fleet.running()[0].clone(), fleet.running()[1].clone());

    let mut next = fleet.next_owner(2, &[(id, patient)], true);
    next.silent = ["w0", "w1", "w2", "w3"].map(str::to_owned).to_vec();
    next.silent.retain(|name| *name != first.0);
    next.advance(150);
    next.stops_take_effect = false;
    next.submit(2, record("urgent", vec![step(1, 8)]));
    next.advance(50);
    next.silent.retain(|name| *name != second.0);
    next.advance(600);
    next.end_run(&first.0, first.1, EndKind::Stopped);
    next.silent.clear();
    next.advance(600);
    let old_run_is_there = next.running().contains(&second);
    assert!(old_run_is_there, "its stop has not taken effect");
    let again = next
        .starts
        .iter()
        .any(|start| start.0.task == second.1.task);
    assert!(!again, "the task was started beside its old run");
}

/// After a change of owner nothing was placed for 13 s: a worker that had left
/// long before was still on the roster, never answered, and the new owner
/// waited for a lease that it could not have.
#[test]
fn the_roster_forgets_a_worker_that_left() {
    let mut fleet = Fleet::with_workers(2);
    fleet.silent.push("w1".to_owned());
    fleet.tell(Input::WorkerUnlisted("w1".to_owned()));
    fleet.advance(2_000);

    let names: Vec<String> = fleet
        .scheduler
        .roster()
        .into_iter()
        .map(|(worker_name, _)| worker_name)
        .collect();

    assert_eq!(names, ["w0"]);
}

/// Work that came after the earlier owner's process had ended waited for leases
/// that this owner could not have given.
#[test]
fn work_that_the_earlier_owner_cannot_have_seen_starts_at_once() {
    let (mut fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let worker = fleet.running()[0].0.clone();
    fleet.silent.push(worker);

    let mut next = fleet.next_owner(2, &[(id, job.clone())], true);
    next.advance(200);
    next.submit(2, job);
    next.advance(50);

    assert_eq!(next.starts.len(), 1);
    assert_eq!(next.starts[0].0.task.job, JobId(2));
}

/// A task ran twice at a time. An earlier owner that still gave orders was told
/// of a job and started it on a worker that its successor could not reach. The
/// successor's view of the jobs was behind: it heard of the job more than a second
/// after it had taken over, and took it for one that no earlier owner can know.
#[test]
fn a_job_that_is_told_late_may_have_been_started_by_the_earlier_owner() {
    const LATE_MS: u64 = 2_000;
    let fleet = Fleet::with_workers(2);
    let mut next = fleet.next_owner(2, &[], false);
    next.follows_jobs = false;
    next.silent.push("w0".to_owned());
    next.advance(LATE_MS);

    next.submit(1, record("plain", vec![step(1, 1)]));
    next.follows_jobs = true;
    next.advance(500);
    assert!(next.starts.is_empty(), "it may run on w0");

    next.submit(2, record("plain", vec![step(1, 1)]));
    next.advance(50);
    let started: Vec<JobId> = next.starts.iter().map(|start| start.0.task.job).collect();
    assert_eq!(started, [JobId(2)], "stored after the jobs had been read");
}

/// A task ran twice at a time. Its occurrence came due two seconds after a takeover:
/// the earlier owner, cut off from the store and its successor, started it on a worker
/// that the successor could not reach, and the successor on another.
#[test]
fn an_occurrence_that_comes_due_while_a_worker_is_unheard_may_have_been_started() {
    const DUE_MS: u64 = 2_000;
    /// The longest lease of an earlier owner that is not known to have ended.
    const LEASES_OVER_MS: u64 = 13_400;
    let fleet = Fleet::with_workers(2);
    let mut timed = record("plain", vec![step(1, 1)]);
    timed.spec.schedule = Some(Schedule {
        repetitions: 1,
        start_at_ms: fleet.now_ms + DUE_MS,
        interval_ms: 1_000,
    });
    let mut next = fleet.next_owner(2, &[(JobId(1), timed)], false);
    next.silent.push("w0".to_owned());

    next.advance(DUE_MS + 1_000);
    let while_unheard = next.starts.len();
    next.advance(LEASES_OVER_MS - DUE_MS - 1_000);

    assert_eq!(while_unheard, 0, "it may run on w0");
    assert_eq!(next.starts.len(), 1);
}

#[test]
fn an_owner_that_cannot_confirm_its_epoch_gives_no_orders() {
    let mut fleet = Fleet::with_workers(1);
    fleet.now_ms += 7_000;
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    assert!(fleet.starts.is_empty());

    fleet.tell(Input::EpochConfirmed(fleet.now_ms));
    fleet.now_ms += 300;
    fleet.settle();
    assert_eq!(fleet.starts.len(), 1);
}

/// A task ran twice at a time: the earlier owner had started it just before the
/// new one looked at its worker, and the new owner heard of the job only after
/// that. It stopped the run as belonging to nothing, and started the task
/// elsewhere before the run was off its worker.
#[test]
fn a_run_found_before_its_job_is_known_is_waited_for() {
    let (fleet, id, job) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let found = fleet.running()[0].clone();

    let mut next = fleet.next_owner(2, &[], false);
    next.stops_take_effect = false;
    next.advance(200);
    next.submit(1, job);
    next.advance(300);
    assert!(next.starts.is_empty(), "its old run is still there");

    next.workers
        .get_mut(&found.0)
        .unwrap()
        .end(found.1, EndKind::Stopped);
    next.advance(300);
    assert_eq!(next.starts.len(), 1);
    assert_eq!(next.running()[0].1.task.job, id);
}

/// A job was done and its time of being remembered over, but a busy store had
/// not removed it yet. Its history was dropped, so the jobs were read anew, and
/// the job, no longer known, was taken for a new one and ran a second time.
#[test]
fn a_forgotten_job_that_is_still_stored_does_not_run_again() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(50);
    fleet.end_all(job, EndKind::Done);
    fleet.advance(50);
    let is_forgotten =
        |action: &Action| matches!(action, Action::DeleteJob { job: own } if *own == job);
    fleet.store_answers = false;
    fleet.advance(Tuning::default().retention_ms + 200);
    assert!(fleet.actions.iter().any(is_forgotten), "it is forgotten");

    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1, "it is not started again");

    fleet.tell(Input::JobDeleted(job));
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1, "nor by a late message");
}

/// An owner that ran for days kept each worker, job and queue that it had ever
/// heard of; workers that went down and up by turns filled its memory, and
/// every look through the workers took longer.
#[test]
fn what_is_over_does_not_stay_in_memory() {
    const LIVES: u64 = 120;
    const LIFE_MS: u64 = 5_000;
    let mut fleet = Fleet::with_workers(1);
    let mut most = Sizes::default();
    for life in 0..LIVES {
        let name = format!("flapping{life}");
        let mut version = configuration(64);
        version.version = life + 2;
        version.queues.push(queue(&format!("queue{life}"), 1));
        fleet.tell(Input::Configure(Arc::new(version)));
        fleet.add_worker(&name, "r1");
        let job = fleet.submit(life, record(&format!("queue{life}"), vec![step(1, 1)]));
        fleet.advance(LIFE_MS / 2);
        fleet.end_all(job, EndKind::Done);
        fleet.advance(LIFE_MS / 2);
        fleet.workers.remove(&name);
        fleet.tell(Input::WorkerUnlisted(name));
        let sizes = fleet.scheduler.sizes();
        most = Sizes {
            jobs: most.jobs.max(sizes.jobs),
            groups: most.groups.max(sizes.groups),
            workers: most.workers.max(sizes.workers),
            deleting_jobs: most.deleting_jobs.max(sizes.deleting_jobs),
            queues: most.queues.max(sizes.queues),
            unreadable_jobs: most.unreadable_jobs.max(sizes.unreadable_jobs),
        };
    }
    let kept_lives = (Tuning::default().retention_ms / LIFE_MS) as usize + 2;
    assert!(most.jobs <= kept_lives, "{most:?}");
    assert!(most.groups <= 2, "{most:?}");
    assert!(most.deleting_jobs <= 8, "those of half a minute: {most:?}");
    assert!(most.queues <= kept_lives + 4, "{most:?}");
    // A place is free again half a minute after its worker is gone.
    assert!(most.workers <= 12, "{most:?}");
}

/// A worker left, and seconds later all daemons were killed. The next owner
/// could not reach that worker, and all stored work waited 7.3 s for the leases
/// of the two tasks that might have run there.
#[test]
fn a_worker_that_left_holds_up_only_its_own_tasks() {
    let mut fleet = Fleet::with_workers(2);
    let first = (JobId(1), record("plain", vec![step(1, 8)]));
    fleet.submit(1, first.1.clone());
    fleet.advance(50);
    let (leaving, run) = fleet.running()[0].clone();
    fleet.tell(Input::WorkerRegistered(leaving_info(&leaving, 60_000)));
    fleet.advance(200);
    let closed = fleet.closed[&leaving].as_ref();
    let there = closed.map(|closed| &closed.runs);
    assert_eq!(there, Some(&vec![run]), "stored in time");
    fleet.silent.push(leaving.clone());
    fleet.advance(300);

    let second = (JobId(2), record("plain", vec![step(1, 8)]));
    let mut next = fleet.next_owner(2, &[first, second], true);
    next.advance(200);
    let started: Vec<JobId> = next.starts.iter().map(|start| start.0.task.job).collect();
    assert_eq!(started, [JobId(2)], "the other job starts at once");

    next.end_all(JobId(2), EndKind::Done);
    next.advance(6_500);
    assert_eq!(next.starts.len(), 1, "a lease may still hold there");
    next.advance(1_000);
    assert_eq!(next.starts.len(), 2, "and is over now");
}

/// The store still named a run on a worker that was out of reach, though its
/// task had been started anew elsewhere when the lease was over. The next owner
/// held the new run for a stray one and stopped it.
#[test]
fn a_run_with_a_higher_number_ends_what_is_noted_of_a_lower_one() {
    let (fleet, job, ..) = started_anew_elsewhere();

    let mut next = fleet.next_owner(2, &[job], true);
    next.advance(500);

    assert!(next.stops.is_empty(), "{:?}", next.stops);
    assert!(next.starts.is_empty(), "{:?}", next.starts);
}

/// What is stored of the closed worker `w0` with these runs.
fn closed_runs(fleet: &Fleet, runs: Vec<RunName>) -> ClosedRuns {
    ClosedRuns {
        incarnation_start_ms: Some(fleet.workers["w0"].incarnation_start_ms),
        ..runs.into()
    }
}

/// A worker that the store says gets no starts is not looked for by the next
/// owner: a start that went there before that was taken back could run unseen.
#[test]
fn a_closed_worker_gets_work_again_only_once_that_is_stored() {
    let mut fleet = Fleet::with_workers(1);
    fleet.silent.push("w0".to_owned());
    fleet.advance(1_500);
    let empty = closed_runs(&fleet, Vec::new());
    assert_eq!(fleet.closed["w0"], Some(empty), "it is closed");
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.silent.clear();
    fleet.store_answers = false;
    fleet.advance(1_000);
    assert!(fleet.starts.is_empty(), "not while the store says so");

    fleet.tell(Input::ClosedWorkerStored {
        worker_name: "w0".to_owned(),
        closed: false,
    });
    fleet.advance(50);
    assert_eq!(fleet.starts.len(), 1);
}

/// Tasks were moved off a worker that was leaving and were done elsewhere, but
/// the store still named their first runs on it. The next owner took the listed
/// ends for those of runs that no longer counted, and the tasks ran again.
#[test]
fn a_done_end_counts_whatever_is_noted_of_earlier_runs() {
    let (mut fleet, job, other, newer) = started_anew_elsewhere();
    fleet.end_run(&other, newer, EndKind::Done);

    let mut next = fleet.next_owner(2, &[job], true);
    next.advance(8_000);

    assert!(next.starts.is_empty(), "{:?}", next.starts);
    assert_eq!(
        next.scheduler.job_status(JobId(1)),
        Some(JobStatus::Completed)
    );
}

/// A task ran again after it was done: its end was known to the owner and not
/// yet stored when its worker left, so the store named the worker as closed
/// with nothing on it, and the next owner did not wait for it.
#[test]
fn a_closed_worker_names_runs_whose_ends_are_not_stored() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(50);
    let (_, run) = fleet.running()[0].clone();
    fleet.store_answers = false;
    fleet.end_all(job, EndKind::Done);
    fleet.advance(50);
    let info = WorkerInfo {
        draining: true,
        ..worker_info("w0", "r1")
    };

    fleet.tell(Input::WorkerRegistered(info));
    fleet.advance(100);

    let key = fleet.scheduler.workers()[0].key;
    let row = fleet.scheduler.closed_record(key);
    assert_eq!(row, Some((true, closed_runs(&fleet, vec![run]))));
}

/// An owner that was paused for seconds went on with its last confirmation and
/// started a new job on a worker that its successor had not reached yet; the
/// successor, which held that job for its own, started it as well.
#[test]
fn an_owner_that_was_paused_confirms_its_epoch_before_it_starts_anything() {
    const PAUSE_MS: u64 = 2_000;
    let mut fleet = Fleet::with_workers(1);
    fleet.now_ms += PAUSE_MS;
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    assert!(fleet.starts.is_empty(), "another may own meanwhile");

    let confirmed_ms = fleet.now_ms;
    fleet.tell(Input::EpochConfirmed(confirmed_ms));
    fleet.settle();
    fleet.now_ms += 300;
    fleet.settle();
    assert_eq!(fleet.starts.len(), 1);
}

/// A new owner of 3,000 workers called all of them at once: for a second it sent
/// no heartbeats, and the next candidate took over and did the same.
#[test]
fn a_new_owner_asks_its_workers_in_portions() {
    const WORKERS: usize = 400;
    const PORTION: usize = 128;
    let mut scheduler = new_owner_of(WORKERS);

    let (mut on_their_way, mut most, mut asked) = (Vec::new(), 0, 0);
    for now_ms in BEGIN_MS..BEGIN_MS + 2_000 {
        for action in scheduler.decide(now_ms) {
            if let Action::Poll { callee, .. } = action {
                on_their_way.push(callee.worker);
            }
        }
        most = most.max(on_their_way.len());
        for worker in on_their_way.drain(..) {
            asked += 1;
            let outcome = CallOutcome::NoAnswer;
            scheduler.handle(Input::PollFailed { worker, outcome }, now_ms);
        }
    }
    assert_eq!(most, PORTION);
    assert!(
        asked >= 2 * WORKERS,
        "each is asked again and again: {asked}"
    );
}

/// The rule for paused owners would have kept an owner from ever giving an
/// order on a VM so slow that each pass takes more than a second.
#[test]
fn an_owner_that_is_always_slow_is_not_taken_for_paused() {
    const PASS_MS: u64 = 1_200;
    const CONFIRMED_BEFORE_MS: u64 = 300;
    let mut fleet = Fleet::with_workers(1);
    for _ in 0..12 {
        fleet.now_ms += PASS_MS;
        let confirmed_ms = fleet.now_ms - CONFIRMED_BEFORE_MS;
        fleet.tell(Input::EpochConfirmed(confirmed_ms));
        fleet.settle();
    }
    assert!(fleet.scheduler.has_authority());
}

/// A task had left a worker that was leaving, and went on at another, which fell
/// silent; the store named it as closed with an earlier and a later run. The next
/// owner waited for the earlier one only, heard that it is over, and started the
/// task a second time.
#[test]
fn the_newest_of_two_runs_that_are_noted_holds_its_task() {
    for gang in [false, true] {
        let mut fleet = Fleet::with_workers(3);
        let spec = record("plain", vec![StepSpec { gang, ..step(1, 1) }]);
        let job = JobId(1);
        let run = |run| RunName {
            task: GroupKey {
                job,
                occurrence: 0,
                step: 0,
            }
            .task(0),
            run,
        };
        fleet
            .closed
            .insert("w0".to_owned(), Some(vec![run(1)].into()));
        fleet
            .closed
            .insert("w1".to_owned(), Some(vec![run(2)].into()));
        fleet.silent.push("w1".to_owned());

        let mut next = fleet.next_owner(2, &[(job, spec)], false);
        next.advance(5_000);

        assert_eq!(next.starts, [], "run 2 may be on w1, gang: {gang}");
    }
}

/// The store still listed a crashed life of a worker beside the living one at
/// the same address. A new owner, told of the crashed one first, held the living
/// one for replaced, did not wait for it, and eight tasks ran twice.
#[test]
fn an_entry_of_a_crashed_life_does_not_end_the_living_one() {
    const OTHER: &str = "other";
    let at_address = |name: &str| WorkerInfo {
        address: "shared:1".to_owned(),
        ..worker_info(name, "r1")
    };
    let known = |name: &str, address: &str| Input::RosterWorker {
        worker_name: name.to_owned(),
        address: address.to_owned(),
        closed_runs: None,
    };
    let mut scheduler = Scheduler::new(2, Tuning::default(), BEGIN_MS);
    let job = record("plain", vec![step(1, 1)]);
    let told = [
        Input::Configure(Arc::new(configuration(64))),
        known("living", "shared:1"),
        known(OTHER, "other:1"),
        Input::WorkerRegistered(at_address("crashed")),
        Input::WorkerRegistered(at_address("living")),
        Input::WorkerRegistered(worker_info(OTHER, "r1")),
        Input::JobStored {
            id: JobId(1),
            record: Arc::new(job),
            progress: None,
        },
        Input::EpochConfirmed(BEGIN_MS),
        Input::StoredStateRead {
            earlier_owner_over: false,
        },
    ];
    for input in told {
        scheduler.handle(input, BEGIN_MS);
    }

    let mut started = 0;
    for now_ms in (BEGIN_MS..BEGIN_MS + 3_000).step_by(10) {
        scheduler.handle(Input::EpochConfirmed(now_ms), now_ms);
        for action in scheduler.decide(now_ms) {
            match action {
                // Only the third worker answers.
                Action::Poll { callee, .. } if &*callee.worker_name == OTHER => {
                    let report = PollReport {
                        clock_ms: now_ms,
                        ..PollReport::default()
                    };
                    let input = Input::PollAnswered {
                        worker: callee.worker,
                        sent_ms: now_ms,
                        report,
                    };
                    scheduler.handle(input, now_ms);
                }
                Action::Poll { callee, .. } => {
                    let input = Input::PollFailed {
                        worker: callee.worker,
                        outcome: CallOutcome::NoAnswer,
                    };
                    scheduler.handle(input, now_ms);
                }
                // A slow store: the roster is durable a second later.
                Action::StoreRoster => {}
                Action::Start { .. } => started += 1,
                _ => {}
            }
        }
        if now_ms == BEGIN_MS + 1_000 {
            let names = scheduler.roster().into_iter().map(|(name, _)| name);
            let input = Input::RosterStored(names.collect());
            scheduler.handle(input, now_ms);
        }
    }
    assert_eq!(started, 0, "the living one may run it");
}

/// A worker answered a new owner once, showed a run, and fell silent before this
/// owner had given it a lease. That of the earlier owner held for over at once:
/// the task was started anew while it ran.
#[test]
fn a_lease_of_the_earlier_owner_is_waited_for_after_one_answer() {
    let mut fleet = Fleet::with_workers(2);
    let job = (JobId(1), record("plain", vec![step(1, 8)]));
    fleet.submit(1, job.1.clone());
    fleet.advance(50);
    let (worker, _) = fleet.running()[0].clone();

    let mut next = fleet.next_owner(2, &[job], false);
    // Without a confirmation after a pause it gives no leases.
    next.now_ms += 1_500;
    for _ in 0..15 {
        next.now_ms += 10;
        next.settle();
    }
    next.silent.push(worker);
    next.advance(5_000);

    assert!(next.starts.is_empty(), "{:?}", next.starts);
}

/// While the answers to first looks came in, the worker that had just answered
/// got a second first look, which carries no lease.
#[test]
fn a_worker_that_answered_gets_a_lease_with_the_next_look() {
    const WORKERS: usize = 200;
    let mut scheduler = new_owner_of(WORKERS);
    let mut answered = Vec::new();
    for now_ms in BEGIN_MS..BEGIN_MS + 200 {
        for action in scheduler.decide(now_ms) {
            let Action::Poll {
                callee,
                lease_end_ms,
                ..
            } = action
            else {
                continue;
            };
            if answered.contains(&callee.worker) {
                assert!(lease_end_ms.is_some(), "{callee:?}");
                continue;
            }
            answered.push(callee.worker);
            let input = Input::PollAnswered {
                worker: callee.worker,
                sent_ms: now_ms,
                report: PollReport {
                    clock_ms: now_ms,
                    ..PollReport::default()
                },
            };
            scheduler.handle(input, now_ms);
        }
    }
    assert_eq!(answered.len(), WORKERS);
}
