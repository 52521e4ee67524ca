//! Taking the fleet over and keeping it.

use super::commits;
use super::emptying;
use super::invalid_values::StoredKind;
use super::node::{
    KnownOwner,
    Node, //
};
use super::records::{
    CLOSED_PREFIX,
    EMPTIED_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    ROOT_KEY,
    ROSTER_KEY,
    RootRecord,
    RosterRow,
    decode,
    decode_root,
    encode, //
};
use super::store_types::{
    CommitResult,
    StoreError,
    Transaction, //
};
use super::store_watch;
use super::stored_inputs::{
    closed_records,
    closed_workers,
    emptied_records,
    job_inputs,
    known_workers,
    wave_inputs,
    worker_inputs, //
};
use super::unreadable_jobs;
use crate::events;
use crate::platform::{
    EMPTYING_PREFIX,
    WAVE_STATES_PREFIX,
    WAVES_PREFIX,
    WORKERS_PREFIX, //
};
use crate::scheduler::Input;
use std::rc::Rc;

/// How often an owner that commits nothing confirms its epoch.
const CONFIRM_MS: u64 = 600;
/// Wait after a confirmation that failed.
const CONFIRM_AGAIN_MS: u64 = 200;
/// Reads of what is stored that an owner tries before it gives the epoch up:
/// without them the next candidate waits for the silence of this one.
const BEGIN_TRIES: u32 = 4;
/// Wait before the next of them.
const BEGIN_AGAIN_MS: u64 = 120;
/// Wait of a daemon that found a root that does not read: people have to mend it.
const UNREAD_ROOT_MS: u64 = 2_000;

/// Takes the next epoch for the reason told, reads what is stored and begins to own.
///
/// # Errors
///
/// The store refused or did not answer; another attempt may follow.
pub async fn take_over(node: &Rc<Node>, reason: &'static str) -> Result<(), StoreError> {
    let began_ms = node.now_ms();
    let root = node.store.get(ROOT_KEY).await?;
    let revision = root.as_ref().map_or(0, |item| item.revision);
    let known = match root {
        None => RootRecord::default(),
        Some(item) => {
            let read = decode_root(&item.value);
            let Some(known) = node.valid_value(StoredKind::Root, &item, read) else {
                // Taken for none, it would be followed by the first epoch, whose
                // orders every worker refuses, and two owners could share it.
                node.timer.sleep(UNREAD_ROOT_MS).await;
                return Ok(());
            };
            known
        }
    };
    if store_watch::learn_root(node, &known) && !node.is_incarnation_over(&known.owner, known.boot)
    {
        // Somebody took over just now: wait for its heartbeats.
        return Ok(());
    }
    // A daemon that was restarted ended its earlier life; a peer is heard with the
    // life that it has now.
    let earlier = known.not_over(began_ms, |owner, boot| {
        node.is_incarnation_over(owner, boot)
    });
    let earlier_owner_over = earlier.is_empty();
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
    let taken = match node.store.commit(&transaction).await {
        Ok(CommitResult::Done { revision }) => Some(revision),
        Ok(CommitResult::Conflict(_) | CommitResult::LeaseOver) => None,
        Err(StoreError::Refused) => return Err(StoreError::Refused),
        // It may have been carried out: the root tells.
        Err(StoreError::NoAnswer) => {
            let root = node.store.get(ROOT_KEY).await?;
            let own = root.filter(|item| decode_root(&item.value) == Ok(next.clone()));
            own.map(|item| item.revision)
        }
    };
    let Some(root_revision) = taken else {
        return Ok(());
    };
    // Also if it cannot begin: the others wait for this daemon as long as they
    // hear it, since the store names it, and one that goes on waiting for the
    // owner before would leave the fleet without any. It tries again instead once
    // it counts as silent to itself.
    node.learn_owner(KnownOwner {
        epoch: next.epoch,
        name: next.owner.clone(),
        address: node.settings.peer_address,
        boot: next.boot,
        since_ms: node.now_ms(),
    });
    let taken = Taken {
        epoch: next.epoch,
        root_revision,
        began_ms,
        earlier_owner_over,
        reason,
    };
    let mut begun = begin(node, &taken).await;
    for _ in 1..BEGIN_TRIES {
        if begun.is_ok() || is_followed(node, taken.epoch) {
            break;
        }
        node.timer.sleep(BEGIN_AGAIN_MS).await;
        begun = begin(node, &taken).await;
    }
    if let Err(error) = &begun {
        events::log(
            events::TAKEOVER_INCOMPLETE,
            format_args!("epoch {}, takeover reason {reason}: {error}", taken.epoch),
        );
    }
    begun
}

/// Whether an owner of a higher epoch is known.
fn is_followed(node: &Node, epoch: u64) -> bool {
    node.owner().is_some_and(|owner| owner.epoch > epoch)
}

/// An epoch that was taken.
struct Taken {
    epoch: u64,
    root_revision: u64,
    /// When the attempt began, which is when the epoch is known to be ours.
    began_ms: u64,
    earlier_owner_over: bool,
    /// Why it was taken.
    reason: &'static str,
}

/// Reads what is stored, all at a time: nobody else writes progress and roster
/// any more, and on a slow store one answer after the other costs a second.
async fn begin(node: &Rc<Node>, taken: &Taken) -> Result<(), StoreError> {
    let (epoch, began_ms) = (taken.epoch, taken.began_ms);
    if node.doubts_configuration() {
        actix_rt::spawn(store_watch::refresh_configuration(node.clone()));
    }
    let asked_ms = node.now_ms();
    let (jobs, progress, roster, closed, workers, waves, states, orders, emptied) = tokio::try_join!(
        node.store.range(JOBS_PREFIX, false),
        node.store.range(PROGRESS_PREFIX, false),
        node.store.get(ROSTER_KEY),
        node.store.range(CLOSED_PREFIX, false),
        node.store.range(WORKERS_PREFIX, false),
        node.store.range(WAVES_PREFIX, false),
        node.store.range(WAVE_STATES_PREFIX, false),
        node.store.range(EMPTYING_PREFIX, false),
        node.store.range(EMPTIED_PREFIX, false),
    )?;
    emptying::take_list(node, &orders, asked_ms);
    if is_followed(node, epoch) {
        // Heard of during the reads: what is learnt again of a known owner does not
        // depose, so this daemon would go on owning beside it.
        return Err(StoreError::Refused);
    }
    node.pending_writes.clear();
    node.begin_owning(epoch, taken.root_revision);
    let mut stored = vec![Input::Configure(node.configuration())];
    let mut roster_count = 0;
    if let Some(item) = roster {
        node.pending_writes.note_revision(ROSTER_KEY, item.revision);
        let read = decode::<Vec<RosterRow>>(&item.value);
        let rows = node.valid_value(StoredKind::Roster, &item, read);
        let records = closed_records(node, &closed);
        match rows {
            Some(rows) => {
                roster_count = rows.len();
                stored.extend(known_workers(node, rows, records));
            }
            None => {
                stored.push(Input::RosterUnreadable);
                stored.extend(closed_workers(records));
            }
        }
    }
    stored.extend(worker_inputs(node, &workers));
    stored.push(Input::EntriesRead { sent_ms: asked_ms });
    stored.extend(job_inputs(node, &jobs, &progress));
    for item in &states.items {
        node.pending_writes.note_revision(&item.key, item.revision);
    }
    stored.extend(wave_inputs(node, &waves, &states));
    stored.push(emptying::input(node));
    let found = emptied_records(node, &emptied);
    node.pending_writes
        .note_emptied(found, &node.emptying().in_force());
    stored.push(Input::EpochConfirmed(began_ms));
    stored.push(Input::StoredStateRead {
        earlier_owner_over: taken.earlier_owner_over,
    });
    let (job_count, worker_count) = (jobs.items.len(), workers.items.len());
    node.control.send(super::Command::Begin {
        epoch,
        tuning: node.settings.tuning,
        stored,
    });
    events::log(
        events::OWNER_STARTED,
        format_args!(
            "epoch {epoch}, configuration version {}, {job_count} values of jobs, {worker_count} workers, {roster_count} on the roster, after {} ms, since {}",
            node.configuration().version,
            node.now_ms() - began_ms,
            taken.reason
        ),
    );
    metrics::counter!("fuchsiaslip_takeovers_total", "reason" => taken.reason).increment(1);
    actix_rt::spawn(commits::run(node.clone(), epoch));
    actix_rt::spawn(store_watch::waves(node.clone(), epoch));
    actix_rt::spawn(store_watch::jobs(node.clone(), epoch, jobs.revision));
    actix_rt::spawn(store_watch::workers(node.clone(), epoch, workers));
    actix_rt::spawn(unreadable_jobs::read_again(node.clone(), epoch));
    actix_rt::spawn(confirm(node.clone(), epoch));
    Ok(())
}

/// Confirms the epoch while this daemon owns.
async fn confirm(node: Rc<Node>, epoch: u64) {
    while node.epoch() == epoch {
        let sent_ms = node.now_ms();
        let root = node.call_store(node.store.get(ROOT_KEY)).await;
        if node.epoch() != epoch {
            return;
        }
        match root {
            Ok(Some(item)) if item.revision == node.root_revision() => {
                node.control
                    .send_input(epoch, Input::EpochConfirmed(sent_ms));
                node.timer.sleep(CONFIRM_MS).await;
            }
            Ok(_) => return node.stop_owning("root_changed"),
            Err(_) => {
                node.timer.sleep(CONFIRM_AGAIN_MS).await;
            }
        }
    }
}
