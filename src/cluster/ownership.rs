//! Takes over the ownership of the fleet and confirms it while it lasts.
//!
//! The root record in the store names the owner and its epoch. It is replaced only by
//! a conditional write that raises the epoch, so each epoch has one owner.

use super::commits;
use super::election::{
    KnownOwner,
    is_overtaken, //
};
use super::emptying;
use super::invalid_values::StoredKind;
use super::learned_state;
use super::node::Node;
use super::records::{
    CLOSED_PREFIX,
    EMPTIED_PREFIX,
    JOBS_PREFIX,
    MARKS_PREFIX,
    PROGRESS_PREFIX,
    ROOT_KEY,
    ROSTER_PREFIX,
    RootRecord,
    WHOLE_ROSTER_KEY,
    decode_root,
    encode, //
};
use super::set_aside;
use super::store_types::{
    CommitResult,
    StoreError,
    Transaction, //
};
use super::store_watch;
use super::stored_inputs::{
    closed_records,
    closed_worker_inputs,
    emptied_records,
    job_inputs,
    roster_inputs,
    roster_rows,
    wave_inputs,
    worker_inputs, //
};
use super::supervision::{
    Part,
    spawn_for_epoch, //
};
use super::tombstones;
use super::unreadable_jobs;
use super::worker_calls;
use crate::events;
use crate::platform::{
    EMPTYING_PREFIX,
    WAVE_STATES_PREFIX,
    WAVES_PREFIX,
    WORKERS_PREFIX, //
};
use crate::scheduler::Input;
use std::rc::Rc;

/// How often the owner reads the root record to confirm its epoch.
const CONFIRM_INTERVAL_MS: u64 = 600;
/// Wait after a confirmation that failed.
const CONFIRM_RETRY_MS: u64 = 200;
/// How often a new owner tries to read the stored state before the takeover fails.
/// After a failure, the next candidate waits until this daemon counts as
/// unresponsive.
const MAX_READ_ATTEMPTS: u32 = 4;
/// Wait between two of these attempts.
const READ_RETRY_MS: u64 = 120;
/// Wait of a daemon that found a root record that cannot be decoded, before it reads
/// the record again. An operator has to repair it.
const UNREADABLE_ROOT_WAIT_MS: u64 = 2_000;

/// Takes the next epoch, reads the stored state and begins to own. `reason` is a
/// label value of `fuchsiaslip_takeovers_total`. Returns `Ok` as well when another
/// daemon was faster, or when the root record cannot be decoded.
///
/// # Errors
///
/// The store refused a call or did not answer. The takeover may be tried again.
pub async fn take_over(node: &Rc<Node>, reason: &'static str) -> Result<(), StoreError> {
    let began_ms = node.now_ms();
    let replaced_epoch = node.owner().map_or(0, |owner| owner.epoch);
    let root = node.store.get(ROOT_KEY).await?;
    let revision = root.as_ref().map_or(0, |item| item.revision);
    let known = match root {
        None => RootRecord::default(),
        Some(item) => {
            let decoded = decode_root(&item.value);
            let Some(known) = node.valid_value(StoredKind::Root, &item, decoded) else {
                // Treating the record as absent would restart at the first epoch:
                // every worker would refuse its orders, and two owners could share
                // it.
                node.timer.sleep(UNREADABLE_ROOT_WAIT_MS).await;
                return Ok(());
            };
            known
        }
    };
    store_watch::learn_owner_from_root(node, &known);
    let is_overtaken = node.owner().is_some_and(|owner| {
        let exited = node.is_incarnation_over(&owner.name, owner.boot);
        is_overtaken(replaced_epoch, owner.epoch, exited)
    });
    if is_overtaken {
        // Wait for the heartbeats of the new owner.
        return Ok(());
    }
    // A restarted daemon has ended its earlier incarnation; heartbeats carry the boot
    // number of the present one.
    let earlier = known.possibly_active_owners(began_ms, |owner, boot| {
        node.is_incarnation_over(owner, boot)
    });
    let earlier_owner_exited = earlier.is_empty();
    let next = RootRecord {
        epoch: known.epoch + 1,
        owner: node.settings.daemon.clone(),
        address: node.settings.peer_address.to_string(),
        boot: node.boot,
        earlier,
    };
    let transaction = Transaction {
        expected: vec![(ROOT_KEY.to_owned(), revision)],
        puts: vec![(ROOT_KEY.to_owned(), encode(&next))],
        ..Transaction::default()
    };
    let committed_revision = match node.store.commit(&transaction).await {
        Ok(CommitResult::Done { revision }) => Some(revision),
        Ok(CommitResult::Conflict(_) | CommitResult::LeaseExpired) => None,
        Err(StoreError::Refused) => return Err(StoreError::Refused),
        // The commit may have been carried out; the root record shows whether it was.
        Err(StoreError::NoAnswer) => {
            let root = node.store.get(ROOT_KEY).await?;
            let own_root = root.filter(|item| decode_root(&item.value) == Ok(next.clone()));
            own_root.map(|item| item.revision)
        }
    };
    let Some(root_revision) = committed_revision else {
        return Ok(());
    };
    // Recorded even if reading the stored state fails below. The store names this
    // daemon, so the others wait for it as long as they receive its heartbeats. If it
    // went on waiting for the previous owner, the fleet would have no owner. It tries
    // again once it counts itself as unresponsive.
    node.learn_owner(KnownOwner {
        epoch: next.epoch,
        name: next.owner.clone(),
        address: node.settings.peer_address,
        boot: next.boot,
        learned_ms: node.now_ms(),
    });
    let taken = TakenEpoch {
        epoch: next.epoch,
        root_revision,
        began_ms,
        earlier_owner_exited,
        reason,
    };
    node.set_takes_over(true);
    let mut outcome = begin(node, &taken).await;
    for _ in 1..MAX_READ_ATTEMPTS {
        if outcome.is_ok() || is_superseded(node, taken.epoch) {
            break;
        }
        node.timer.sleep(READ_RETRY_MS).await;
        outcome = begin(node, &taken).await;
    }
    node.set_takes_over(false);
    if let Err(error) = &outcome {
        events::log(
            events::TAKEOVER_INCOMPLETE,
            format_args!("epoch {}, takeover reason {reason}: {error}", taken.epoch),
        );
    }
    outcome
}

/// Whether an owner of a higher epoch is known.
fn is_superseded(node: &Node, epoch: u64) -> bool {
    node.owner().is_some_and(|owner| owner.epoch > epoch)
}

/// An epoch that this daemon has taken.
struct TakenEpoch {
    epoch: u64,
    root_revision: u64,
    /// When the attempt began; the epoch counts as confirmed as of this time.
    began_ms: u64,
    earlier_owner_exited: bool,
    /// Why this daemon took over.
    reason: &'static str,
}

/// Reads the stored state and begins to own. All ranges are read at the same time,
/// since no other daemon writes progress and roster any more, and one read after the
/// other takes a second on a slow store.
async fn begin(node: &Rc<Node>, taken: &TakenEpoch) -> Result<(), StoreError> {
    let (epoch, began_ms) = (taken.epoch, taken.began_ms);
    if node.is_configuration_stale() {
        actix_rt::spawn(store_watch::refresh_configuration(node.clone()));
    }
    let requested_ms = node.now_ms();
    let learned = learned_state::read(node);
    let (
        jobs,
        progress,
        marks,
        whole_roster,
        roster,
        closed,
        workers,
        waves,
        states,
        orders,
        emptied,
    ) = tokio::try_join!(
        node.store.range(JOBS_PREFIX, false),
        node.store.range(PROGRESS_PREFIX, false),
        node.store.range(MARKS_PREFIX, false),
        node.store.get(WHOLE_ROSTER_KEY),
        node.store.range(ROSTER_PREFIX, false),
        node.store.range(CLOSED_PREFIX, false),
        node.store.range(WORKERS_PREFIX, false),
        node.store.range(WAVES_PREFIX, false),
        node.store.range(WAVE_STATES_PREFIX, false),
        node.store.range(EMPTYING_PREFIX, false),
        node.store.range(EMPTIED_PREFIX, false),
    )?;
    emptying::handle_list(node, &orders, requested_ms);
    if is_superseded(node, epoch) {
        // A newer owner became known during the reads. Learning of the same owner
        // again does not end an ownership, so this daemon would go on owning beside
        // it.
        return Err(StoreError::Refused);
    }
    node.pending_writes.clear();
    node.begin_owning(epoch, taken.root_revision, began_ms);
    let mut stored = vec![Input::Configure(node.configuration())];
    let mut roster_count = 0;
    if whole_roster.is_some() || !roster.items.is_empty() {
        let records = closed_records(node, &closed);
        match roster_rows(node, whole_roster, &roster) {
            Some(rows) => {
                roster_count = rows.len();
                stored.extend(roster_inputs(node, rows, records));
            }
            None => {
                stored.push(Input::RosterUnreadable);
                stored.extend(closed_worker_inputs(records));
            }
        }
    }
    stored.extend(worker_inputs(node, &workers));
    stored.push(Input::EntriesRead {
        sent_ms: requested_ms,
    });
    // Before the jobs, whose run times it predicts.
    stored.extend(learned_state::restore(node, epoch, learned));
    let set_aside = set_aside::set_aside_jobs(node, epoch, &marks);
    set_aside::remove_old_marks(node, &marks, &jobs);
    stored.extend(job_inputs(node, &jobs, &progress, &set_aside));
    node.set_aside(set_aside);
    stored.extend(node.counted_crash_inputs());
    for item in &states.items {
        node.pending_writes
            .record_revision(&item.key, item.revision);
    }
    stored.extend(wave_inputs(node, &waves, &states));
    stored.push(emptying::input(node));
    let found = emptied_records(node, &emptied);
    node.pending_writes
        .record_emptied(found, &node.emptying_orders().in_force());
    stored.push(Input::EpochConfirmed(began_ms));
    stored.push(Input::StoredStateRead {
        earlier_owner_exited: taken.earlier_owner_exited,
    });
    let (job_count, worker_count) = (jobs.items.len(), workers.items.len());
    worker_calls::reset_carriers(node);
    node.control.send(super::Command::Begin {
        epoch,
        tuning: node.settings.tuning,
        stored,
    });
    events::log(
        events::OWNER_STARTED,
        format_args!(
            "epoch {epoch}, configuration version {}, {job_count} stored job values, {worker_count} registered workers, {roster_count} workers on the roster, after {} ms, takeover reason {}",
            node.configuration().version,
            node.now_ms() - began_ms,
            taken.reason
        ),
    );
    metrics::counter!("fuchsiaslip_takeovers_total", "reason" => taken.reason).increment(1);
    let task = worker_calls::maintain_plan(node.clone(), epoch);
    spawn_for_epoch(node, epoch, Part("carrier_plan"), task);
    let task = commits::run(node.clone(), epoch);
    spawn_for_epoch(node, epoch, Part("commits"), task);
    let task = store_watch::reread_waves(node.clone(), epoch);
    spawn_for_epoch(node, epoch, Part("waves"), task);
    let task = store_watch::follow_jobs(node.clone(), epoch, jobs.revision);
    spawn_for_epoch(node, epoch, Part("jobs"), task);
    let task = store_watch::follow_workers(node.clone(), epoch, workers);
    spawn_for_epoch(node, epoch, Part("workers"), task);
    let task = unreadable_jobs::reread_jobs(node.clone(), epoch);
    spawn_for_epoch(node, epoch, Part("unreadable_jobs"), task);
    let task = tombstones::remove_old(node.clone(), epoch);
    spawn_for_epoch(node, epoch, Part("tombstones"), task);
    let task = confirm(node.clone(), epoch);
    spawn_for_epoch(node, epoch, Part("confirmation"), task);
    Ok(())
}

/// Confirms the epoch regularly while this daemon owns, and stops owning once the
/// root record has changed.
async fn confirm(node: Rc<Node>, epoch: u64) {
    while node.epoch() == epoch {
        let sent_ms = node.now_ms();
        let root = node.call_store(node.store.get(ROOT_KEY)).await;
        if node.epoch() != epoch {
            return;
        }
        match root {
            Ok(Some(item)) if item.revision == node.root_revision() => {
                node.record_confirmation(epoch, sent_ms);
                tokio::select! {
                    _ = node.timer.sleep(CONFIRM_INTERVAL_MS) => {}
                    () = node.until_confirmation_requested() => {}
                }
            }
            Ok(_) => return node.stop_owning("root_changed"),
            Err(_) => {
                let delay_ms = node.store_retry_delay_ms(CONFIRM_RETRY_MS);
                node.timer.sleep(delay_ms).await;
            }
        }
    }
}
