//! Regression tests for failures of the owner, the decision core and workers. The
//! comment of each test describes the failure.

#[path = "support/world.rs"]
mod world;

use fuchsiaslip::backend::{
    StoreCall,
    StoreFailure,
    VmKind,
    VmRecord,
    WorkerAnswer,
    WorkerCall,
    WorkerRefusal, //
};
use fuchsiaslip::config::{
    Configuration,
    Declaration, //
};
use fuchsiaslip::core::{
    AttemptId,
    Cell,
    Command,
    Effect,
    JobId,
    JobState,
    Limits,
    MemberEvent,
    MemberReport,
    RefusalReason,
    Shape,
    Submission,
    WorkerSpec, //
};
use fuchsiaslip::ledger::OutcomeCode;
use fuchsiaslip::owner::{
    Action,
    Event,
    Owner,
    Reply,
    Request,
    Settings, //
};
use fuchsiaslip::standin::{
    StoreStandIn,
    TaskSpec,
    WorkerStandIn, //
};
use std::sync::Arc;
use world::{
    Caller,
    Fault,
    World, //
};

fn declaration() -> Declaration {
    toml::from_str(
        r#"
        [[class]]
        name = "standard"
        completion_ms = 60000
        reclaims = true
        [[class]]
        name = "overnight"
        completion_ms = 3600000
        reclaimable = true
        [[account]]
        name = "a"
        token_sha256 = ""
        data_centres = ["zg-dubrava"]
        quota_accelerators = 100
        [[account.guarantees]]
        data_centre = "zg-dubrava"
        accelerators_per_worker = 8
        [[account]]
        name = "b"
        token_sha256 = ""
        data_centres = ["zg-dubrava"]
        quota_accelerators = 100
        "#,
    )
    .expect("the declaration is valid")
}

fn configuration(version: u64) -> Arc<Configuration> {
    Arc::new(Configuration {
        version,
        declaration: declaration(),
        history: Vec::new(),
    })
}

fn submission(key: &str, account: &str, class: &str, accelerators: u16, run_ms: u64) -> Submission {
    let task = TaskSpec {
        run_ms,
        answer_bytes: 16,
        marker: key.to_owned(),
        ..TaskSpec::default()
    };
    let mut submission = Submission {
        account: account.to_owned(),
        class: class.to_owned(),
        idempotency_key: key.to_owned(),
        idempotent: class == "overnight",
        declared_run_ms: run_ms,
        payload: task.payload(),
        ..Submission::default()
    };
    submission.set_shape(Shape::single(accelerators));
    submission
}

fn run_for(world: &mut World, duration_ms: u64) {
    let until_ms = world.now_ms + duration_ms;
    while world.now_ms < until_ms {
        world.step();
    }
}

/// A cell with one worker, whose accelerators are guaranteed to account `a`.
fn small_cell() -> Cell {
    let mut cell = Cell::new("zg-dubrava", 1, Limits::default());
    let worker = WorkerSpec {
        name: "w0".to_owned(),
        rack: "r0".to_owned(),
        accelerators: 8,
        leaving: false,
    };
    cell.apply(Command::Workers(vec![worker]), 0);
    cell.apply(Command::Configure(configuration(1)), 0);
    cell
}

/// Guards against a job that stays in the stopping state for ever. It happened
/// when another account reclaimed its guarantee while the job was still being
/// reserved, and the worker then refused the reservation: the refusal requested
/// a second stop, which changed nothing, and the loss of the last member went
/// unnoticed.
#[test]
fn a_refused_reservation_completes_a_stop_in_progress() {
    let mut cell = small_cell();
    let overnight = submission("o", "b", "overnight", 8, 1_000);
    cell.apply(
        Command::Submit {
            token: 1,
            submission: overnight,
        },
        0,
    );
    let reclaimed_attempt = cell.jobs().next().map(|(_, job)| job.attempt_id()).unwrap();
    let standard = submission("s", "a", "standard", 8, 1_000);
    cell.apply(
        Command::Submit {
            token: 2,
            submission: standard,
        },
        1,
    );
    let refused = MemberReport {
        attempt: reclaimed_attempt,
        worker: "w0".to_owned(),
        event: MemberEvent::ReserveRefused,
    };

    cell.apply(Command::Member(refused), 2);

    assert_eq!(
        cell.job(reclaimed_attempt.job).unwrap().state,
        JobState::Queued
    );
    let reclaimed = cell.jobs().find(|(_, job)| job.submission.account == "a");
    assert_eq!(reclaimed.unwrap().1.state, JobState::Reserving);
}

/// Guards against a second run of a job that may run only once. It happened when
/// the worker restarted during the run, the store was down, and a new owner
/// inspected the attempt: the worker had lost the task, had then got a stop call
/// for it, and reported it as not begun.
#[test]
fn a_restarted_worker_does_not_cause_a_second_run_of_a_non_idempotent_job() {
    let mut world = World::new(declaration(), 2, 2);
    let non_idempotent = submission("once", "b", "standard", 1, 4_000);
    world
        .callers
        .push(Caller::new(non_idempotent, world.now_ms + 500));
    world.callers[0].cancel_at_ms = Some(world.now_ms + 1_500);
    let running = |world: &World| (world.state_of(0) == Some(JobState::Running)).then_some(0);
    let faults = [Fault::StoreDown, Fault::WorkerRestarts, Fault::OwnerPaused];
    world.inject_when(Box::new(running), &faults);

    run_for(&mut world, 60_000);

    world.check_end();
    assert_eq!(world.violations, Vec::<String>::new());
    let runs: usize = world.workers.values().map(|worker| worker.runs.len()).sum();
    assert_eq!(runs, 1);
}

/// Guards against a cancelled job that runs to its end. It happened when the
/// owner confirmed the cancellation and crashed before the task had stopped: the
/// cancellation was not in the ledger, so that the next owner let the job run.
#[test]
fn a_cancellation_survives_a_change_of_owner() {
    let mut world = World::new(declaration(), 2, 2);
    let long = submission("long", "b", "overnight", 1, 30_000);
    world.callers.push(Caller::new(long, world.now_ms + 500));
    world.callers[0].cancel_at_ms = Some(world.now_ms + 2_000);
    let cancelling = |world: &World| {
        let job = world.callers[0].job.and_then(|job| world.cell()?.job(job));
        job.is_some_and(|job| job.cancelling).then_some(0)
    };
    world.inject_when(Box::new(cancelling), &[Fault::OwnerCutFromWorkers]);
    run_for(&mut world, 3_000);
    world.inject(Fault::OwnerDies, 0);

    run_for(&mut world, 60_000);

    let outcome = world.callers[0]
        .ended
        .as_ref()
        .map(|ended| ended.report.outcome.clone());
    assert_eq!(outcome, Some(OutcomeCode::Cancelled.name().to_owned()));
}

/// Guards against an owner that was paused for longer than its lease and then
/// accepts a job that the next owner never sees. The lease counts from when it
/// was requested and is checked before each acceptance.
#[test]
fn a_paused_owner_accepts_nothing_on_an_expired_lease() {
    let mut store = StoreStandIn::default();
    let mut owner = Owner::open(Settings::new("zg-dubrava", "d1", 1));
    startup_events(1)
        .into_iter()
        .for_each(|event| drive(&mut owner, &mut store, event, 1_000));
    assert!(owner.is_owner());

    let paused_ms = 1_000 + 5_000;
    let request = submit(submission("late", "b", "standard", 1, 10), paused_ms);
    let actions = owner.handle(Event::Request { token: 7, request }, paused_ms);

    let refused = actions.iter().any(|action| {
        matches!(
            action,
            Action::Reply {
                token: 7,
                reply: Reply::Refused(refusal),
            } if refusal.reason == RefusalReason::StoreUnavailable
        )
    });
    assert!(refused, "{actions:?}");
}

/// Returns the events that a daemon handles before it becomes owner.
fn startup_events(configuration_version: u64) -> [Event; 4] {
    let worker = VmRecord {
        name: "w0".to_owned(),
        kind: VmKind::Worker,
        data_centre: "zg-dubrava".to_owned(),
        address: String::new(),
        rack: "r0".to_owned(),
        accelerators: 16,
        leaving: false,
    };
    [
        Event::Members(vec![worker]),
        Event::Configuration(configuration(configuration_version)),
        Event::ConfigurationConfirmed {
            requested_ms: 1_000,
        },
        Event::Candidacy(true),
    ]
}

fn submit(submission: Submission, received_ms: u64) -> Request {
    Request::Submit {
        submission,
        received_ms,
    }
}

/// Lets the owner handle an event and executes the store calls that follow from
/// it.
fn drive(owner: &mut Owner, store: &mut StoreStandIn, event: Event, now_ms: u64) {
    let mut actions = owner.handle(event, now_ms);
    while let Some(action) = actions.pop() {
        if let Action::Store { call, request } = action {
            let result = store.handle(request, now_ms);
            actions.extend(owner.handle(Event::Store { call, result }, now_ms));
        }
    }
}

/// Guards against a gang with an extra member. It happened when a replaced owner
/// resumed after a pause and started a task on a worker whose reservation the new
/// owner had not ended yet. Workers refuse an epoch that is lower than one they
/// have seen.
#[test]
fn a_worker_refuses_a_replaced_owner() {
    let mut worker = WorkerStandIn::new("w0");
    let attempt = AttemptId {
        job: JobId(1),
        attempt: 1,
    };
    let reserve = |epoch| WorkerCall::Reserve {
        epoch,
        attempt,
        mask: 1,
        expires_ms: 1_000,
    };
    worker.handle(reserve(1), 0).unwrap();
    worker
        .handle(WorkerCall::Inspect { epoch: 2, attempt }, 1)
        .unwrap();

    let start = WorkerCall::Start {
        epoch: 1,
        attempt,
        progress_ms: 0,
        payload: TaskSpec::default().payload(),
    };
    let answer = worker.handle(start, 2).unwrap();

    assert_eq!(answer, WorkerAnswer::Refused(WorkerRefusal::StaleEpoch));
    assert!(worker.runs.is_empty());
}

/// Guards against a configuration patch that is temporarily reverted. It happened
/// when a daemon that had been disconnected became owner and decided with its
/// older configuration. The ledger contains the version that it was written with,
/// and a daemon with an older version releases the lease.
#[test]
fn a_daemon_with_an_older_configuration_does_not_become_owner() {
    let mut store = StoreStandIn::default();
    let mut first = Owner::open(Settings::new("zg-dubrava", "d1", 1));
    startup_events(5)
        .into_iter()
        .for_each(|event| drive(&mut first, &mut store, event, 1_000));
    let request = submit(submission("k", "b", "standard", 1, 10), 1_000);
    drive(
        &mut first,
        &mut store,
        Event::Request { token: 1, request },
        1_001,
    );
    store.expire_lease("cell/zg-dubrava/owner");

    let mut second = Owner::open(Settings::new("zg-dubrava", "d2", 1 << 40));
    drive(
        &mut second,
        &mut store,
        Event::Configuration(configuration(4)),
        9_000,
    );
    drive(&mut second, &mut store, Event::Candidacy(true), 9_000);

    assert!(!second.is_owner());
}

/// Guards against a job that is accepted twice in the ledger. It happened when
/// the answer to a write was lost and the write was repeated blindly. Each write
/// has an id and is read back before the next call.
#[test]
fn a_write_with_a_lost_answer_is_read_back_before_the_next_write() {
    let mut store = StoreStandIn::default();
    let mut owner = Owner::open(Settings::new("zg-dubrava", "d1", 1));
    startup_events(1)
        .into_iter()
        .for_each(|event| drive(&mut owner, &mut store, event, 1_000));
    let before = store.version("cell/zg-dubrava/root");
    store.faults.lose_answers = 1;
    let request = submit(submission("k", "b", "standard", 1, 10), 1_000);
    let actions = owner.handle(Event::Request { token: 1, request }, 1_010);
    let Some((call, write)) = actions.into_iter().find_map(|action| match action {
        Action::Store { call, request } => Some((call, request)),
        _ => None,
    }) else {
        panic!("the acceptance causes no store call");
    };
    let lost = store.handle(write, 1_010);
    assert_eq!(lost, Err(StoreFailure::Timeout));
    owner.handle(Event::Store { call, result: lost }, 1_020);

    let mut calls = Vec::new();
    let mut replies = Vec::new();
    for at_ms in (1_100..3_000).step_by(100) {
        let mut actions = owner.handle(Event::Tick, at_ms);
        while let Some(action) = actions.pop() {
            match action {
                Action::Store { call, request } => {
                    if !matches!(request, StoreCall::AcquireLease { .. }) {
                        calls.push(request.name());
                    }
                    let result = store.handle(request, at_ms);
                    actions.extend(owner.handle(Event::Store { call, result }, at_ms));
                }
                Action::Reply { reply, .. } => replies.push(reply),
                Action::Worker { .. } => {}
            }
        }
    }

    assert_eq!(calls, ["get"]);
    assert_eq!(store.version("cell/zg-dubrava/root"), before + 1);
    assert!(matches!(replies.as_slice(), [Reply::Accepted(_)]));
}

/// Guards against a cancelled job that is reported as not run although it had run
/// once, failed, and was waiting for its next attempt. The caller relied on the
/// report and had the work done elsewhere.
#[test]
fn a_job_cancelled_after_a_failure_is_not_reported_as_not_run() {
    let mut cell = small_cell();
    let job = submission("o", "b", "overnight", 1, 1_000);
    cell.apply(
        Command::Submit {
            token: 1,
            submission: job,
        },
        0,
    );
    let attempt = cell.jobs().next().map(|(_, job)| job.attempt_id()).unwrap();
    for (at_ms, event) in [
        MemberEvent::Reserved,
        MemberEvent::Started,
        MemberEvent::Failed,
    ]
    .into_iter()
    .enumerate()
    {
        let report = MemberReport {
            attempt,
            worker: "w0".to_owned(),
            event,
        };
        cell.apply(Command::Member(report), at_ms as u64);
    }
    assert!(matches!(
        cell.job(attempt.job).unwrap().state,
        JobState::Backoff { .. }
    ));

    let cancel = Command::Cancel {
        token: 2,
        account: "b".to_owned(),
        jobs: vec![attempt.job],
    };
    cell.apply(cancel, 5);

    assert_eq!(
        cell.job(attempt.job).unwrap().outcome,
        OutcomeCode::Cancelled
    );
}

fn reply_to(actions: &[Action], expected_token: u64) -> Option<&Reply> {
    actions.iter().find_map(|action| match action {
        Action::Reply { token, reply } if *token == expected_token => Some(reply),
        _ => None,
    })
}

/// Guards against a refusal that says "not run" about a running job. It happened
/// when the reply to the submission was lost and the caller retried with the same
/// key during a drain: the owner refused without looking up the key in its
/// ledger.
#[test]
fn a_refusal_for_an_accepted_key_does_not_claim_not_run() {
    let mut store = StoreStandIn::default();
    let mut owner = Owner::open(Settings::new("zg-dubrava", "d1", 1));
    startup_events(1)
        .into_iter()
        .for_each(|event| drive(&mut owner, &mut store, event, 1_000));
    let job = submission("k", "b", "standard", 1, 10);
    let request = submit(job.clone(), 1_000);
    drive(
        &mut owner,
        &mut store,
        Event::Request { token: 1, request },
        1_001,
    );
    let stale_ms = 1_000 + 6_500;
    let ticks_ms: Vec<u64> = (1_400..stale_ms).step_by(400).collect();
    ticks_ms
        .iter()
        .for_each(|&now_ms| drive(&mut owner, &mut store, Event::Tick, now_ms));

    let retry = submit(job, stale_ms);
    let accepted_key_actions = owner.handle(
        Event::Request {
            token: 2,
            request: retry,
        },
        stale_ms,
    );
    let other = submit(submission("other", "b", "standard", 1, 10), stale_ms);
    let new_key_actions = owner.handle(
        Event::Request {
            token: 3,
            request: other,
        },
        stale_ms,
    );

    assert!(
        matches!(reply_to(&accepted_key_actions, 2), Some(Reply::Accepted(_))),
        "{accepted_key_actions:?}"
    );
    let refused =
        matches!(reply_to(&new_key_actions, 3), Some(Reply::Refused(refusal)) if refusal.not_run);
    assert!(refused, "{new_key_actions:?}");
}

/// Guards against a job that runs although a refusal said that it would not. It
/// happened when two copies of a request were forwarded by two daemons: one
/// was refused, and the other arrived later, when jobs were accepted again.
#[test]
fn a_late_copy_of_a_refused_request_is_refused_too() {
    let mut store = StoreStandIn::default();
    let mut owner = Owner::open(Settings::new("zg-dubrava", "d1", 1));
    startup_events(1)
        .into_iter()
        .for_each(|event| drive(&mut owner, &mut store, event, 1_000));
    let stale_ms = 1_000 + 6_500;
    let ticks_ms: Vec<u64> = (1_400..stale_ms).step_by(400).collect();
    ticks_ms
        .iter()
        .for_each(|&now_ms| drive(&mut owner, &mut store, Event::Tick, now_ms));
    let job = submission("k", "b", "standard", 1, 10);
    let request = submit(job.clone(), stale_ms);
    owner.handle(Event::Request { token: 1, request }, stale_ms);
    let confirmed = Event::ConfigurationConfirmed {
        requested_ms: stale_ms,
    };
    owner.handle(confirmed, stale_ms);

    let late = submit(job.clone(), stale_ms - 200);
    let late = owner.handle(
        Event::Request {
            token: 2,
            request: late,
        },
        stale_ms + 1,
    );
    let retry = submit(job, stale_ms + 100);
    drive(
        &mut owner,
        &mut store,
        Event::Request {
            token: 3,
            request: retry,
        },
        stale_ms + 100,
    );

    assert!(
        matches!(reply_to(&late, 2), Some(Reply::Refused(_))),
        "{late:?}"
    );
    assert_eq!(owner.cell().map(|cell| cell.jobs().count()), Some(1));
}

/// The effect that reports an acceptance follows the change that persists it and
/// is gated on that change.
#[test]
fn an_acceptance_is_reported_only_after_its_record_is_stored() {
    let mut cell = small_cell();
    let job = submission("k", "b", "overnight", 1, 10);

    let effects = cell.apply(
        Command::Submit {
            token: 1,
            submission: job,
        },
        0,
    );

    let persisted = effects
        .iter()
        .position(|effect| matches!(effect, Effect::Persist(_)));
    let accepted = effects
        .iter()
        .position(|effect| matches!(effect, Effect::Accepted { .. }));
    assert!(persisted < accepted);
    assert!(effects[accepted.unwrap()].is_gated());
}
