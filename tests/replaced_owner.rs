//! Tests of an owner that another daemon may have replaced, without real daemons.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    BEGIN_MS,
    FakeWorker,
    Fleet,
    record,
    step, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    Action,
    EndKind,
    Input,
    JobRecord,
    RunName,
    Scheduler,
    Tuning,
    WaveOrder, //
};

/// How long a replaced owner goes on without a confirmation in these tests: less than its authority.
const UNCONFIRMED_MS: u64 = 3_000;

/// Advances the clock of an owner whose epoch nobody confirms.
fn advance_unconfirmed(fleet: &mut Fleet, by_ms: u64) {
    const STEP_MS: u64 = 10;
    for _ in 0..by_ms / STEP_MS {
        fleet.now_ms += STEP_MS;
        fleet.settle();
    }
}

/// Returns a fleet whose owner does not know that it was replaced, with the worker and the run of
/// its only task. The next owner reached that worker alone, and has stored and acknowledged that
/// the task is done.
fn acknowledged_by_next_owner() -> (Fleet, String, RunName) {
    let (mut fleet, job, record): (Fleet, JobId, JobRecord) =
        Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.advance(200);
    let (worker, name) = fleet.running()[0].clone();
    fleet.unresponsive.push(worker.clone());
    advance_unconfirmed(&mut fleet, 500);

    let mut next = fleet.next_owner(2, &[(job, record)], false);
    let others = next.workers.keys().filter(|name| **name != worker);
    next.unresponsive = others.cloned().collect();
    next.advance(100);
    next.end_run(&worker, name, EndKind::Done);
    next.advance(500);
    let acknowledged = next.acknowledged.iter().map(|end| end.row.name);
    assert_eq!(acknowledged.collect::<Vec<_>>(), [name]);

    fleet.now_ms = next.now_ms;
    let after = next.workers.remove(&worker).expect("it runs on");
    fleet.workers.insert(worker.clone(), after);
    fleet.settle();
    fleet.starts.clear();
    (fleet, worker, name)
}

/// Guards against a task that is started again after the next owner acknowledged its end: its
/// worker then restarted under its name, and the replaced owner counted the run as lost.
#[test]
fn a_replaced_owner_starts_no_acknowledged_task_again_after_its_worker_restarted() {
    let (mut fleet, worker, name) = acknowledged_by_next_owner();

    fleet.restart_without_entry(&worker);
    fleet.unresponsive.clear();
    advance_unconfirmed(&mut fleet, UNCONFIRMED_MS);

    let again = fleet.starts.iter().find(|start| start.0.task == name.task);
    assert_eq!(again, None);
}

/// Guards against the same fault where another incarnation answers at the worker's address.
#[test]
fn a_replaced_owner_starts_no_acknowledged_task_again_after_its_worker_was_replaced() {
    let (mut fleet, worker, name) = acknowledged_by_next_owner();

    fleet.workers.remove(&worker);
    let incarnation = FakeWorker {
        incarnation_start_ms: fleet.now_ms,
        ..FakeWorker::default()
    };
    fleet.workers.insert(format!("{worker}~2"), incarnation);
    fleet.unresponsive.clear();
    advance_unconfirmed(&mut fleet, UNCONFIRMED_MS);

    let again = fleet.starts.iter().find(|start| start.0.task == name.task);
    assert_eq!(again, None);
}

/// Guards against a lease that counts as expired by a confirmation from before its end, and against
/// a wait for the next regular confirmation: it is requested at once, and its answer acted on at once.
#[test]
fn a_lease_counts_as_expired_as_soon_as_a_requested_confirmation_is_answered() {
    let (mut fleet, ..) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    fleet.advance(200);
    let (worker, name) = fleet.running()[0].clone();
    fleet.unresponsive.push(worker.clone());
    fleet.advance(500);
    let workers = fleet.scheduler.workers().iter();
    let mut own = workers.filter(|known| *known.name() == *worker);
    let expired_ms = own.next().and_then(|known| known.leases_expired_ms());
    let expired_ms = expired_ms.expect("its clock was read");
    fleet.starts.clear();
    fleet.advance(expired_ms - 20 - fleet.now_ms);
    fleet.send_input(Input::EpochConfirmed(expired_ms - 1));
    fleet.actions.clear();

    advance_unconfirmed(&mut fleet, 500);
    assert_eq!(fleet.starts, []);
    let requests = fleet.actions.iter();
    let requests = requests.filter(|action| matches!(action, Action::ConfirmEpoch));
    assert_eq!(requests.count(), 1);
    let confirmed_ms = fleet.now_ms;
    fleet.send_input(Input::EpochConfirmed(confirmed_ms));
    fleet.settle();

    assert_eq!(fleet.starts.len(), 1);
    assert_eq!(fleet.starts[0].0.task, name.task);
}

/// Guards against a recovery that ends by the clock alone: yet another owner may have extended the
/// leases of the workers that do not answer.
#[test]
fn a_recovery_ends_only_once_the_epoch_is_confirmed_after_the_longest_lease() {
    let (fleet, job, record) = Fleet::with_job(2, record("plain", vec![step(1, 1)]));
    let mut next = fleet.next_owner(2, &[(job, record)], false);
    next.unresponsive.push(fleet.running()[0].0.clone());
    let Tuning {
        authority_ms,
        lease_ms,
        ..
    } = Tuning::default();
    next.advance(authority_ms + lease_ms);

    advance_unconfirmed(&mut next, UNCONFIRMED_MS);
    assert_eq!(next.starts, []);
    next.advance(100);

    assert_eq!(next.starts.len(), 1);
}

/// Guards against an authority that counts from the end of the takeover: the stored state may be
/// read for seconds after the store confirmed the epoch, and yet another daemon may own by then.
#[test]
fn the_authority_of_a_new_owner_counts_from_the_confirmation_of_its_epoch() {
    const READ_MS: u64 = 3_000;
    const STEP_MS: u64 = 10;
    let tuning = Tuning::default();
    let expired_ms = BEGIN_MS + tuning.authority_ms;
    let mut scheduler = Scheduler::new(2, tuning, BEGIN_MS + READ_MS);
    scheduler.handle(Input::EpochConfirmed(BEGIN_MS), BEGIN_MS + READ_MS);

    for now_ms in (BEGIN_MS + READ_MS..=expired_ms).step_by(STEP_MS as usize) {
        scheduler.decide(now_ms);
    }

    assert!(!scheduler.has_authority());
}

/// Whether an owner has just ordered an upkeep, since this was last asked.
fn orders_upkeep(fleet: &mut Fleet) -> bool {
    let actions = std::mem::take(&mut fleet.actions);
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::BeginUpkeep { .. }))
}

/// Guards against two holders of one machine (rule ONE, where fences are not checked): a replaced
/// owner repeats an order without an answer for as long as its authority lasts, which is longer than
/// the gap for which its successor waits.
#[test]
fn a_replaced_owner_orders_no_upkeep_after_the_first_order_of_the_next_owner() {
    const STEP_MS: u64 = 10;
    /// A daemon takes over 0.7 s after the last heartbeat, which is as old as the confirmation.
    const TAKEOVER_MS: u64 = 1_000;
    let mut fleet = Fleet::with_workers(1);
    fleet.give_machines();
    let wave = Input::UpkeepWave(WaveOrder {
        number: 1,
        machines: fleet.machines.keys().cloned().collect(),
        duration_ms: 20_000,
        cap: 1,
    });
    fleet.advance(Tuning::default().holder_gap_ms);
    let confirmed_ms = fleet.now_ms;
    fleet.now_ms += TAKEOVER_MS;
    let mut next = fleet.next_owner(2, &[], false);
    fleet.now_ms = confirmed_ms;
    next.give_machines();
    next.send_input(wave.clone());
    // The platform does not answer the replaced owner, but carries its orders out.
    fleet.upkeep_answers = false;
    fleet.send_input(wave);

    let (mut last_ms, mut first_ms) = (0, None);
    for _ in 0..Tuning::default().authority_ms / STEP_MS {
        advance_unconfirmed(&mut fleet, STEP_MS);
        if orders_upkeep(&mut fleet) {
            last_ms = fleet.now_ms;
        }
        if fleet.now_ms > next.now_ms {
            next.advance(STEP_MS);
        }
        if orders_upkeep(&mut next) {
            first_ms = first_ms.or(Some(next.now_ms));
        }
    }

    let first_ms = first_ms.expect("the next owner orders the upkeep");
    assert!(last_ms < first_ms, "{last_ms} {first_ms}");
}
