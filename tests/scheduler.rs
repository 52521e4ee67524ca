//! The scheduler of job graphs: what a job can ask, and the failures found.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    BEGIN_MS,
    Fleet,
    configuration,
    queue,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    CallOutcome,
    EndKind,
    HoldReport,
    Input,
    JobView,
    RunName,
    Schedule,
    Scheduler,
    Sizes,
    StepSpec,
    TaskId,
    Tuning,
    WorkerInfo, //
};
use std::sync::Arc;

fn run_of(job: JobId, step: u32, index: u32, run: u64) -> RunName {
    RunName {
        task: TaskId {
            job,
            occurrence: 0,
            step,
            index,
        },
        run,
    }
}

#[test]
fn a_step_starts_only_after_all_tasks_of_the_steps_before_it_are_done() {
    let mut fleet = Fleet::with_workers(2);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1)
    };
    let job = fleet.submit(1, record("plain", vec![step(2, 1), second]));
    fleet.advance(50);
    assert_eq!(fleet.running().len(), 2, "both tasks of the first step run");

    let first = fleet.running()[0].clone();
    let fake = fleet.workers.get_mut(&first.0).unwrap();
    fake.end(first.1, EndKind::Done);
    fleet.advance(50);
    let second_started = fleet.starts.iter().any(|start| start.0.task.step == 1);
    assert!(!second_started, "one task of the first step still runs");

    fleet.end_all(job, EndKind::Done);
    fleet.advance(50);
    assert_eq!(
        fleet.running(),
        [(fleet.starts[2].1.clone(), run_of(job, 1, 0, 1))]
    );
}

#[test]
fn a_job_is_shown_completed_only_once_that_is_stored() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(20);
    fleet.store_answers = false;

    fleet.end_all(job, EndKind::Done);
    fleet.advance(200);
    assert_eq!(fleet.scheduler.job_view(job), Some(JobView::Running));
    assert_eq!(fleet.highest_last_seen["w0"], 0, "the end is not durable");

    let (change, _) = fleet.scheduler.progress(job).unwrap();
    fleet.tell(Input::Stored { job, change });
    fleet.advance(200);
    assert_eq!(fleet.scheduler.job_view(job), Some(JobView::Completed));
    assert_eq!(fleet.highest_last_seen["w0"], 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut fleet = Fleet::with_workers(2);
    let small = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(20);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    fleet.submit(2, record("plain", vec![gang]));
    fleet.advance(100);
    assert_eq!(fleet.running().len(), 1, "one worker is taken in part");

    fleet.end_all(small, EndKind::Done);
    fleet.advance(100);
    let runs: Vec<u64> = fleet.running().iter().map(|row| row.1.run).collect();
    assert_eq!(runs, [1, 1], "both members run under one number");
}

#[test]
fn one_done_end_stands_for_the_whole_gang() {
    let mut fleet = Fleet::with_workers(2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    let job = fleet.submit(1, record("plain", vec![gang]));
    fleet.advance(20);

    let first = fleet.running()[0].clone();
    let fake = fleet.workers.get_mut(&first.0).unwrap();
    fake.end(first.1, EndKind::Done);
    fleet.advance(50);

    assert_eq!(fleet.scheduler.job_view(job), Some(JobView::Completed));
}

#[test]
fn a_failed_member_ends_its_gang_which_starts_again_under_a_higher_number() {
    let mut fleet = Fleet::with_workers(2);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    let job = fleet.submit(1, record("plain", vec![gang]));
    fleet.advance(20);

    let first = fleet.running()[0].clone();
    let fake = fleet.workers.get_mut(&first.0).unwrap();
    fake.end(first.1, EndKind::Failed);
    fleet.advance(100);
    assert_eq!(fleet.stops.len(), 1, "the other member is stopped");
    let runs: Vec<u64> = fleet.running().iter().map(|row| row.1.run).collect();
    assert_eq!(runs, [2, 2]);

    fleet.end_all(job, EndKind::Failed);
    fleet.advance(100);
    assert_eq!(fleet.scheduler.job_view(job), Some(JobView::Failed));
    assert!(fleet.running().is_empty(), "two attempts were allowed");
}

#[test]
fn labels_and_bounds_on_one_worker_are_kept() {
    let mut fleet = Fleet::with_workers(2);
    let apart = StepSpec {
        max_per_worker: 1,
        ..step(3, 1)
    };
    let elsewhere = StepSpec {
        required_label: "b".to_owned(),
        ..step(1, 1)
    };
    fleet.submit(1, record("plain", vec![apart]));
    fleet.submit(2, record("plain", vec![elsewhere]));
    fleet.advance(100);

    let mut workers: Vec<String> = fleet.running().into_iter().map(|row| row.0).collect();
    workers.dedup();
    assert_eq!(workers, ["w0", "w1"], "one task a worker, the third waits");
}

#[test]
fn occurrences_start_when_they_are_due_and_not_before() {
    let mut fleet = Fleet::with_workers(1);
    let mut timed = record("plain", vec![step(1, 1)]);
    timed.spec.schedule = Some(Schedule {
        repetitions: 2,
        start_at_ms: BEGIN_MS + 500,
        interval_ms: 1_000,
    });
    let job = fleet.submit(1, timed);
    fleet.advance(1_700);

    let times: Vec<u64> = fleet.starts.iter().map(|start| start.2).collect();
    assert_eq!(times, [BEGIN_MS + 500, BEGIN_MS + 1_500]);
    fleet.end_all(job, EndKind::Done);
    fleet.advance(50);
    assert_eq!(fleet.scheduler.job_view(job), Some(JobView::Completed));
}

#[test]
fn work_that_lasts_is_started_again_however_it_ends() {
    let mut fleet = Fleet::with_workers(1);
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 1)
    };
    let job = fleet.submit(1, record("plain", vec![lasting]));
    fleet.advance(20);
    for kind in [
        EndKind::Failed,
        EndKind::Failed,
        EndKind::Failed,
        EndKind::Lapsed,
    ] {
        fleet.end_all(job, kind);
        fleet.advance(100);
        assert_eq!(fleet.running().len(), 1, "after {kind:?}");
    }

    fleet.tell(Input::Cancelled(job));
    fleet.advance(50);
    assert!(fleet.running().is_empty());
    assert_eq!(fleet.scheduler.job_view(job), Some(JobView::Cancelled));
}

/// Urgent work finds its accelerators lent to patient work. The victims are
/// stopped in the pass that offers it room, so it begins within the time of a
/// stop.
#[test]
fn guaranteed_work_takes_its_accelerators_back_at_once() {
    let mut fleet = Fleet::with_workers(2);
    fleet.submit(1, record("patient", vec![step(16, 1)]));
    fleet.advance(100);
    assert_eq!(fleet.running().len(), 16);

    let urgent = fleet.submit(2, record("urgent", vec![step(1, 8)]));
    fleet.advance(100);

    let runs = fleet.running();
    assert!(runs.iter().any(|row| row.1.task.job == urgent));
    assert_eq!(fleet.stops.len(), 8, "no more than what it needs");
}

/// A user sees urgent work wait for seconds while its victims are stopped
/// again and again. The room that a victim frees is free before the others
/// have stopped; the next pass gave it to a later job, most often the victim
/// itself, which then was stopped again.
#[test]
fn room_that_is_being_freed_is_not_given_back_to_the_victims() {
    let mut fleet = Fleet::with_workers(2);
    fleet.submit(1, record("patient", vec![step(16, 1)]));
    fleet.advance(100);
    fleet.silent.push("w1".to_owned());
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };

    fleet.submit(2, record("urgent", vec![gang]));
    fleet.settle();
    fleet.advance(40);

    let again = fleet.starts.iter().filter(|start| start.0.run > 1).count();
    assert_eq!(again, 0, "victims on w0 took their room back");
}

/// A task runs twice: its start is answered, and a look that was sent in the
/// same millisecond, but before the start reached the worker, does not show
/// it. Taken for gone, it was started elsewhere.
#[test]
fn a_look_sent_in_the_millisecond_of_a_start_proves_nothing() {
    let mut fleet = Fleet::with_workers(1);
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    let worker = fleet.scheduler.workers()[0].key;

    fleet.tell(Input::Held {
        worker,
        sent_ms: fleet.now_ms,
        report: HoldReport {
            clock_ms: fleet.now_ms,
            ..HoldReport::default()
        },
    });
    fleet.settle();

    assert_eq!(fleet.starts.len(), 1, "the task was started again");
}

/// An end is listed and its owner dies before it is durable. The next owner
/// finds the end still listed and counts it once.
#[test]
fn ends_that_were_not_durable_are_found_by_the_next_owner() {
    let mut fleet = Fleet::with_workers(1);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
    fleet.end_all(id, EndKind::Failed);

    let mut next = fleet.next_owner(2, &[(id, job)], true);
    next.advance(50);

    let starts: Vec<u64> = next.starts.iter().map(|start| start.0.run).collect();
    assert_eq!(
        starts,
        [1_001],
        "a second attempt, numbered above the first owner's"
    );
    next.end_all(id, EndKind::Failed);
    next.advance(50);
    assert_eq!(next.scheduler.job_view(id), Some(JobView::Failed));
}

/// A job got a third attempt where two were allowed. The store was down while
/// both attempts failed, on different workers, and the owner died; its
/// successor heard of the second failure first, and took the first one, of a
/// lower run, for counted already.
#[test]
fn failures_count_in_whatever_order_workers_list_them() {
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
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
    assert_eq!(next.scheduler.job_view(id), Some(JobView::Failed));
}

/// A new owner finds what runs and lets it run on.
#[test]
fn a_new_owner_adopts_what_runs() {
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(4, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
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
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
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
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    let patient = record("patient", vec![gang]);
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
    let fake = next.workers.get_mut(&first.0).unwrap();
    fake.end(first.1, EndKind::Stopped);
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
        .map(|row| row.1)
        .collect();

    assert_eq!(names, ["w0"]);
}

/// Work that came after the earlier owner's process had ended waited for leases
/// that this owner could not have given.
#[test]
fn work_that_the_earlier_owner_cannot_have_seen_starts_at_once() {
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
    let worker = fleet.running()[0].0.clone();
    fleet.silent.push(worker);

    let mut next = fleet.next_owner(2, &[(id, job.clone())], true);
    next.advance(200);
    next.submit(2, job);
    next.advance(50);

    assert_eq!(next.starts.len(), 1);
    assert_eq!(next.starts[0].0.task.job, JobId(2));
}

/// On a calm day gangs were stopped as hanging: their members stand still at
/// the start, until all are there, and at the end, until the slowest is done.
#[test]
fn a_gang_that_waits_for_its_members_does_not_hang() {
    let mut fleet = Fleet::with_workers(2);
    let gang = StepSpec {
        gang: true,
        estimated_ms: 20_000,
        ..step(2, 8)
    };
    fleet.submit(1, record("plain", vec![gang]));
    fleet.advance(20);
    fleet.advance(4_000);
    assert!(fleet.stops.is_empty(), "no member has begun");

    for (worker, name) in fleet.running() {
        let percent = if worker == "w0" { 100 } else { 50 };
        fleet
            .workers
            .get_mut(&worker)
            .unwrap()
            .running
            .insert(name, percent);
    }
    fleet.advance(200);
    for percent in 51..60 {
        let (_, name) = fleet.running()[1].clone();
        fleet
            .workers
            .get_mut("w1")
            .unwrap()
            .running
            .insert(name, percent);
        fleet.advance(500);
    }
    assert!(
        fleet.stops.is_empty(),
        "one member waits for the other's end"
    );
}

#[test]
fn a_run_that_stands_still_is_stopped_and_started_elsewhere() {
    let mut fleet = Fleet::with_workers(2);
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(20);
    let before = fleet.running()[0].0.clone();

    fleet.advance(4_000);

    let after = fleet.running()[0].0.clone();
    assert_ne!(before, after);
}

/// Work on a worker that leaves was lost with it, and started again only when
/// its lease was over.
#[test]
fn work_that_cannot_end_in_time_moves_off_a_worker_that_leaves() {
    let mut fleet = Fleet::with_workers(2);
    let long = StepSpec {
        estimated_ms: 20_000,
        ..step(1, 1)
    };
    fleet.submit(1, record("plain", vec![long]));
    fleet.advance(20);
    let before = fleet.running()[0].0.clone();

    let leaving = fuchsiaslip::scheduler::WorkerInfo {
        draining: true,
        remaining_ms: Some(2_000),
        ..fleet::worker_info(&before, "r1")
    };
    fleet.tell(Input::Worker(leaving));
    fleet.advance(400);

    let after = fleet.running();
    assert_eq!(after.len(), 1);
    assert_ne!(after[0].0, before);
}

/// A worker that fails whatever it starts is empty again at once and draws the
/// next tasks, each of which loses an attempt.
#[test]
fn a_worker_that_fails_two_jobs_in_a_row_gets_nothing_for_a_while() {
    let mut fleet = Fleet::with_workers(2);
    let first = fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(20);
    let bad = fleet.running()[0].0.clone();
    fleet.end_all(first, EndKind::Failed);
    fleet.advance(20);
    fleet.submit(2, record("plain", vec![step(1, 8)]));
    fleet.advance(20);
    let second = JobId(2);
    let on_bad = fleet
        .running()
        .iter()
        .any(|row| row.0 == bad && row.1.task.job == second);
    assert!(on_bad, "the second job takes the empty worker");
    fleet.end_all(second, EndKind::Failed);
    fleet.advance(20);

    fleet.submit(3, record("plain", vec![step(1, 8)]));
    fleet.advance(500);

    assert!(!fleet.running().iter().any(|row| row.0 == bad));
}

/// An order's answer is lost. It is sent again under the same number, which
/// the worker takes for the same start.
#[test]
fn a_start_without_an_answer_is_sent_again_under_its_number() {
    let mut fleet = Fleet::with_workers(1);
    fleet.advance(20);
    fleet.silent.push("w0".to_owned());
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    fleet.silent.clear();
    fleet.advance(200);

    let runs: Vec<u64> = fleet.starts.iter().map(|start| start.0.run).collect();
    assert_eq!(runs, [1, 1]);
    assert_eq!(fleet.running().len(), 1);
}

#[test]
fn an_owner_that_cannot_confirm_its_epoch_gives_no_orders() {
    let mut fleet = Fleet::with_workers(1);
    fleet.now_ms += 7_000;
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.settle();
    assert!(fleet.starts.is_empty());

    fleet.tell(Input::Confirmed(fleet.now_ms));
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
    let mut fleet = Fleet::with_workers(2);
    let job = record("plain", vec![step(1, 1)]);
    let id = fleet.submit(1, job.clone());
    fleet.advance(20);
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

/// Guaranteed work of a gang that wants one rack began 2.8 s after it was
/// accepted, where 2.7 s are promised: no rack had room for all of it, and it
/// waited as long for one as work without a promise does.
#[test]
fn guaranteed_work_does_not_wait_for_its_rack_beyond_its_promise() {
    let mut fleet = Fleet::with_workers(1);
    for rack in 2..12 {
        fleet.add_worker(&format!("w{rack}"), &format!("r{rack}"));
    }
    fleet.advance(500);
    let tight = StepSpec {
        gang: true,
        same_rack: true,
        ..step(2, 8)
    };

    let accepted_ms = fleet.now_ms;
    let mut job = record("urgent", vec![tight]);
    job.received_ms = accepted_ms;
    fleet.submit(1, job);
    fleet.advance(2_700);

    let waited_ms = fleet.starts[0].2 - accepted_ms;
    assert!(waited_ms < 1_700, "began after {waited_ms} ms");
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
        |action: &Action| matches!(action, Action::Forget { job: own } if *own == job);
    fleet.store_answers = false;
    fleet.advance(Tuning::default().retention_ms + 200);
    assert!(fleet.actions.iter().any(is_forgotten), "it is forgotten");

    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1, "it is not started again");

    fleet.tell(Input::Forgotten(job));
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
            leaving_jobs: most.leaving_jobs.max(sizes.leaving_jobs),
            queues: most.queues.max(sizes.queues),
        };
    }
    let kept_lives = (Tuning::default().retention_ms / LIFE_MS) as usize + 2;
    assert!(most.jobs <= kept_lives, "{most:?}");
    assert!(most.groups <= 2, "{most:?}");
    assert!(most.leaving_jobs <= 8, "those of half a minute: {most:?}");
    assert!(most.queues <= kept_lives + 4, "{most:?}");
    // A place is free again half a minute after its worker is gone.
    assert!(most.workers <= 12, "{most:?}");
}

/// While an end was being stored, its worker was asked again the moment it had
/// answered, and told the same end each time: tens of calls for one commit.
#[test]
fn a_worker_with_an_end_that_is_not_durable_is_not_asked_at_once() {
    let mut fleet = Fleet::with_workers(1);
    let job = fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.advance(50);
    fleet.store_answers = false;
    fleet.end_all(job, EndKind::Done);
    fleet.advance(20);
    let looks = |fleet: &Fleet| {
        let holds = fleet.actions.iter();
        holds
            .filter(|action| matches!(action, Action::Hold { .. }))
            .count()
    };
    let before = looks(&fleet);

    fleet.advance(200);
    assert_eq!(looks(&fleet), before, "no look while the end is stored");

    let (change, _) = fleet.scheduler.progress(job).unwrap();
    fleet.tell(Input::Stored { job, change });
    fleet.advance(10);
    assert_eq!(looks(&fleet), before + 1, "one look tells that it is");
    assert_eq!(fleet.highest_last_seen["w0"], 1);
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
    let info = WorkerInfo {
        draining: true,
        remaining_ms: Some(60_000),
        ..worker_info(&leaving, "r1")
    };
    fleet.tell(Input::Worker(info));
    fleet.advance(200);
    assert_eq!(fleet.closed[&leaving], Some(vec![run]), "stored in time");
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
    let mut fleet = Fleet::with_workers(2);
    let job = (JobId(1), record("plain", vec![step(1, 8)]));
    fleet.submit(1, job.1.clone());
    fleet.advance(50);
    let (worker, run) = fleet.running()[0].clone();
    let other = if worker == "w0" { "w1" } else { "w0" };
    fleet.closed.insert(worker.clone(), Some(vec![run]));
    fleet.silent.push(worker);
    let newer = RunName {
        run: run.run + 1,
        ..run
    };
    let fake = fleet.workers.get_mut(other).unwrap();
    fake.running.insert(newer, 0);

    let mut next = fleet.next_owner(2, &[job], true);
    next.advance(500);

    assert!(next.stops.is_empty(), "{:?}", next.stops);
    assert!(next.starts.is_empty(), "{:?}", next.starts);
}

/// A worker that the store says gets no starts is not looked for by the next
/// owner: a start that went there before that was taken back could run unseen.
#[test]
fn a_closed_worker_gets_work_again_only_once_that_is_stored() {
    let mut fleet = Fleet::with_workers(1);
    fleet.silent.push("w0".to_owned());
    fleet.advance(1_500);
    assert_eq!(fleet.closed["w0"], Some(Vec::new()), "it is closed");
    fleet.submit(1, record("plain", vec![step(1, 1)]));
    fleet.silent.clear();
    fleet.store_answers = false;
    fleet.advance(1_000);
    assert!(fleet.starts.is_empty(), "not while the store says so");

    fleet.tell(Input::ClosedStored {
        incarnation: "w0".to_owned(),
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
    let mut fleet = Fleet::with_workers(2);
    let job = (JobId(1), record("plain", vec![step(1, 8)]));
    fleet.submit(1, job.1.clone());
    fleet.advance(50);
    let (worker, run) = fleet.running()[0].clone();
    let other = if worker == "w0" { "w1" } else { "w0" };
    fleet.closed.insert(worker.clone(), Some(vec![run]));
    fleet.silent.push(worker);
    let newer = RunName {
        run: run.run + 1,
        ..run
    };
    let fake = fleet.workers.get_mut(other).unwrap();
    fake.running.insert(newer, 0);
    fake.end(newer, EndKind::Done);

    let mut next = fleet.next_owner(2, &[job], true);
    next.advance(8_000);

    assert!(next.starts.is_empty(), "{:?}", next.starts);
    assert_eq!(next.scheduler.job_view(JobId(1)), Some(JobView::Completed));
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

    fleet.tell(Input::Worker(info));
    fleet.advance(100);

    let key = fleet.scheduler.workers()[0].key;
    assert_eq!(fleet.scheduler.closed_row(key), Some((true, vec![run])));
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
    fleet.tell(Input::Confirmed(confirmed_ms));
    fleet.settle();
    fleet.now_ms += 300;
    fleet.settle();
    assert_eq!(fleet.starts.len(), 1);
}

/// The only worker with room failed whatever it started: one job's task went
/// back to it eight times within a quarter of a second, and the job was given up
/// though the fault was the worker's.
#[test]
fn a_task_does_not_spend_its_attempts_on_one_failing_worker() {
    const FAULT_MS: u64 = 1_000;
    let mut fleet = Fleet::with_workers(2);
    let blocker = fleet.submit(1, record("plain", vec![step(1, 8)]));
    fleet.advance(50);
    let job = fleet.submit(2, record("plain", vec![step(1, 8)]));
    for _ in 0..FAULT_MS / 50 {
        fleet.advance(50);
        fleet.end_all(job, EndKind::Failed);
    }
    let own = fleet.starts.iter().filter(|start| start.0.task.job == job);
    assert_eq!(own.count(), 1, "it waits for another worker");

    fleet.end_all(blocker, EndKind::Done);
    fleet.advance(100);
    fleet.end_all(job, EndKind::Done);
    fleet.advance(100);
    assert_eq!(fleet.scheduler.job_view(job), Some(JobView::Completed));
}

/// A new owner of 3,000 workers called all of them at once: for a second it sent
/// no heartbeats, and the next candidate took over and did the same.
#[test]
fn a_new_owner_asks_its_workers_in_portions() {
    const WORKERS: usize = 400;
    const PORTION: usize = 128;
    let mut scheduler = Scheduler::new(2, Tuning::default(), BEGIN_MS);
    scheduler.take(Input::Configure(Arc::new(configuration(64))), BEGIN_MS);
    for at in 0..WORKERS {
        let known = Input::KnownWorker {
            incarnation: format!("w{at}"),
            address: format!("w{at}:1"),
            closed_with: None,
        };
        scheduler.take(known, BEGIN_MS);
    }
    let recovered = Input::Recovered {
        earlier_owner_over: true,
    };
    scheduler.take(recovered, BEGIN_MS);

    let (mut on_their_way, mut most, mut asked) = (Vec::new(), 0, 0);
    for now_ms in BEGIN_MS..BEGIN_MS + 2_000 {
        for action in scheduler.decide(now_ms) {
            if let Action::Hold { callee, .. } = action {
                on_their_way.push(callee.worker);
            }
        }
        most = most.max(on_their_way.len());
        for worker in on_their_way.drain(..) {
            asked += 1;
            let outcome = CallOutcome::NoAnswer;
            scheduler.take(Input::HoldFailed { worker, outcome }, now_ms);
        }
    }
    assert_eq!(most, PORTION);
    assert!(
        asked >= 2 * WORKERS,
        "each is asked again and again: {asked}"
    );
}
