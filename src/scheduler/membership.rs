//! Tracks which workers exist: registration, the roster, lost leases and exits.
//!
//! Workers may go down and come up repeatedly, each time under a new name at the same
//! address, and a new owner reads thousands of workers at once. So workers are indexed
//! by address, and the key of a worker that is gone is reused.

use super::action::{
    Action,
    Decision,
    StopReason, //
};
use super::crashes::LossCause;
use super::state::Scheduler;
use super::worker::{
    CloseState, //
    Contact,
};
use super::{
    ClosedRuns,
    RunName,
    Worker,
    WorkerInfo, //
};
use crate::core::WorkerKey;
use std::collections::BTreeMap;

/// Time after which the key of a worker that is gone is reused: ten times the timeout of
/// a call to a worker.
const KEY_REUSE_DELAY_MS: u64 = 30_000;

impl Scheduler {
    /// Returns the names and addresses of the workers that belong on the stored roster.
    pub fn roster(&self) -> Vec<(String, String)> {
        let used = self
            .workers
            .iter()
            .filter(|worker| worker.contact != Contact::Gone);
        used.map(|worker| {
            let info = &worker.info;
            (info.worker_name.clone(), info.address.clone())
        })
        .collect()
    }

    /// Returns the names of the workers that may not be used until the roster with their names
    /// is stored.
    pub fn unconfirmed_workers(&self) -> Vec<String> {
        let workers = self.workers.iter();
        workers
            .filter(|worker| worker.contact != Contact::Gone && !worker.on_roster)
            .map(|worker| worker.info.worker_name.clone())
            .collect()
    }

    /// Returns the number of workers in each data centre.
    pub fn worker_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        let workers = self.workers.iter();
        for worker in workers.filter(|worker| worker.contact != Contact::Gone) {
            match counts.get_mut(&worker.info.data_centre) {
                Some(count) => *count += 1,
                None => drop(counts.insert(worker.info.data_centre.clone(), 1)),
            }
        }
        counts
    }

    /// Handles a readable entry: adds the worker or updates it.
    pub(super) fn handle_worker_registered(&mut self, info: WorkerInfo) {
        let known = self.worker_index.get(&info.worker_name).copied();
        if known.is_some_and(|key| self.worker(key).confirms_entry(&info)) {
            return;
        }
        let key = known.unwrap_or_else(|| self.add_worker(info.clone()));
        let emptied = self.emptying.covers(&info.data_centre);
        self.apply_entry(key, info);
        let worker = self.worker_mut(key);
        worker.emptied = emptied;
        if worker.contact == Contact::Gone {
            // It was unresponsive and unlisted for a whole lease, and is registered again.
            worker.contact = Contact::Unfenced;
            worker.earlier_ends_known = false;
            self.vacant_keys.retain(|&(_, vacant)| vacant != key);
        }
        let unknown = !self.worker(key).on_roster;
        if unknown && self.roster_unreadable {
            self.join_unreadable_roster(key);
        } else if unknown && !self.roster_write_pending {
            self.roster_write_pending = true;
            self.ask_to_store_roster();
        }
        self.changed = true;
    }

    /// Adds a worker under a new or reused key, and returns the key.
    pub(super) fn add_worker(&mut self, info: WorkerInfo) -> WorkerKey {
        let key = self
            .take_vacant_key()
            .unwrap_or(WorkerKey(self.workers.len() as u32));
        self.worker_index.insert(info.worker_name.clone(), key);
        self.index_address(&info.address, key);
        let worker = Worker::new(key, info);
        match self.workers.get_mut(key.index()) {
            Some(slot) => *slot = worker,
            None => self.workers.push(worker),
        }
        self.apply_held(key);
        key
    }

    /// Ends every other worker at the address of a worker that answered under its name.
    /// Entries alone prove nothing: the entry of a crashed incarnation stays for seconds,
    /// and that of a live one may be missing.
    pub(super) fn end_replaced_workers(&mut self, key: WorkerKey) {
        let at_address = self.address_index.get(&self.worker(key).info.address);
        let others: Vec<WorkerKey> = at_address
            .into_iter()
            .flatten()
            .copied()
            .filter(|&other| other != key && self.worker(other).address_conflict.is_none())
            .collect();
        let next_start_ms = self.worker(key).incarnation_start_ms;
        for other in others {
            let exit_ms = self.latest_exit_ms(other, next_start_ms);
            self.count_crashes_of_replaced(other, exit_ms);
            self.worker_exited(other, LossCause::Replaced, exit_ms);
        }
    }

    /// Adds a worker to the index by address.
    pub(super) fn index_address(&mut self, address: &str, key: WorkerKey) {
        let at_address = self.address_index.entry(address.to_owned()).or_default();
        at_address.push(key);
    }

    /// Removes a worker from the index by address.
    pub(super) fn unindex_address(&mut self, key: WorkerKey) {
        let address = &self.workers[key.index()].info.address;
        if let Some(at_address) = self.address_index.get_mut(address) {
            at_address.retain(|&other| other != key);
            if at_address.is_empty() {
                let address = address.clone();
                self.address_index.remove(&address);
            }
        }
    }

    /// Returns a key to reuse, if the worker that had it is gone for so long that none of
    /// its answers can be in flight. Without reuse, workers that go down and come up
    /// repeatedly would use up the memory.
    fn take_vacant_key(&mut self) -> Option<WorkerKey> {
        let &(since_ms, key) = self.vacant_keys.front()?;
        if self.now_ms < since_ms + KEY_REUSE_DELAY_MS {
            return None;
        }
        self.vacant_keys.pop_front();
        let before = self.worker(key).info.worker_name.clone();
        // The name may be that of a later incarnation.
        if self.worker_index.get(&before) == Some(&key) {
            self.worker_index.remove(&before);
        }
        self.unindex_address(key);
        for group in self.groups.values_mut() {
            group.remove_worker(key);
        }
        Some(key)
    }

    /// Handles a worker that the stored roster names, with its runs if it was closed.
    pub(super) fn handle_roster_worker(
        &mut self,
        worker_name: String,
        address: String,
        closed_runs: Option<ClosedRuns>,
    ) {
        let known = self.worker_index.get(&worker_name).copied();
        let key = known.unwrap_or_else(|| {
            self.add_worker(WorkerInfo {
                worker_name,
                address,
                ..WorkerInfo::default()
            })
        });
        self.worker_mut(key).on_roster = true;
        if let Some(runs) = closed_runs {
            self.restore_closed_worker(key, runs);
        }
    }

    /// Handles the removal of a worker's entry.
    pub(super) fn handle_worker_unlisted(&mut self, name: &str) {
        if let Some(&key) = self.worker_index.get(name) {
            self.worker_mut(key).listed = false;
            self.changed = true;
        }
    }

    /// Handles a stored roster: polls the workers on it, and stores it again if workers
    /// are missing.
    pub(super) fn handle_roster_stored(&mut self, names: &[String]) {
        for worker_name in names {
            let Some(&key) = self.worker_index.get(worker_name) else {
                continue;
            };
            let worker = self.worker_mut(key);
            worker.on_roster = worker.contact != Contact::Gone;
            self.poll_if_due(key);
        }
        self.roster_write_pending = self
            .workers
            .iter()
            .any(|worker| !worker.on_roster && worker.contact != Contact::Gone);
        if self.roster_write_pending {
            self.ask_to_store_roster();
        }
        self.changed = true;
    }

    /// Ends the runs of an unreachable worker once its longest lease has expired. If the
    /// worker is not listed either, it has left and is removed from the roster; otherwise
    /// the next owner, which could not reach it, would wait for it.
    pub(super) fn review_lease_expiry(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let worker = self.worker(key);
        let unreachable = matches!(worker.contact, Contact::Unresponsive | Contact::Unfenced);
        // Nothing runs on a worker that has listed all ends to this owner and on which every run
        // ordered since has ended.
        let empty = worker.contact == Contact::Unresponsive
            && worker.runs.is_empty()
            && worker.earlier_ends_known;
        let expired_ms = match (empty, worker.lease_end_ms) {
            (true, _) => Some(0),
            // It has not answered this owner.
            (false, 0) => Some(self.earlier_leases_expired_ms),
            (false, _) => worker.leases_expired_ms(),
        };
        let Some(expired_ms) = expired_ms.filter(|&expired_ms| now_ms >= expired_ms) else {
            return;
        };
        if !unreachable || !self.is_confirmed_since(expired_ms) {
            return;
        }
        let worker = self.worker_mut(key);
        worker.earlier_ends_known = true;
        let listed = worker.listed;
        if !worker.runs.is_empty() {
            self.lose_runs(key, LossCause::LeaseExpired, now_ms);
        }
        if !listed {
            self.worker_gone(key, LossCause::Left);
        }
    }

    /// Ends all runs of a worker that had exited, or whose lease had expired, by
    /// `exit_ms`.
    fn lose_runs(&mut self, key: WorkerKey, loss: LossCause, exit_ms: u64) {
        let names: Vec<RunName> = self.worker(key).runs.keys().copied().collect();
        let confirmed = self.confirmed_runs_with_possible_end(key);
        if self.worker(key).close_state != CloseState::Open {
            // The stored record of the closed worker names these runs.
            self.actions.push(Action::StoreClosedWorker { worker: key });
        }
        let worker = self.worker(key).name();
        self.decided(Decision::WorkerLost {
            worker,
            runs: names.len(),
            reason: loss.name(),
        });
        if loss.is_exit() {
            self.record_lost_groups(&names);
        }
        for name in names {
            self.log_run_lost(key, name, loss, exit_ms);
            self.handle_run_gone(key, name, StopReason::GangBroken);
        }
        self.record_lost_runs(key, confirmed, loss, exit_ms);
    }

    /// Logs a lost run. Whether its worker responded after its start distinguishes a task
    /// that crashes its workers from one that only ran beside such a task.
    fn log_run_lost(&mut self, key: WorkerKey, name: RunName, loss: LossCause, exit_ms: u64) {
        let worker = self.worker(key);
        let Some(run) = worker.runs.get(&name) else {
            return;
        };
        let decision = Decision::RunLost {
            name,
            worker: worker.name(),
            ordered_ago_ms: self.now_ms.saturating_sub(run.ordered_ms),
            responded_after_ms: worker.last_response_ms.saturating_sub(run.ordered_ms),
            exited_within_ms: exit_ms.saturating_sub(run.ordered_ms),
            percent: run.percent,
            confirmed_ago_ms: self.confirmed_ago_ms(),
            reason: loss.name(),
        };
        self.decided(decision);
    }

    /// Ends a worker's incarnation, which may have exited as late as now.
    pub(super) fn worker_gone(&mut self, key: WorkerKey, loss: LossCause) {
        self.worker_exited(key, loss, self.now_ms);
    }

    /// Ends a worker's incarnation, which exited no later than `exit_ms`.
    pub(super) fn worker_exited(&mut self, key: WorkerKey, loss: LossCause, exit_ms: u64) {
        if self.worker(key).contact == Contact::Gone {
            return;
        }
        let now_ms = self.now_ms;
        self.vacant_keys.push_back((now_ms, key));
        let worker = self.worker_mut(key);
        worker.contact = Contact::Gone;
        if worker.on_roster {
            worker.on_roster = false;
            self.ask_to_store_roster();
        }
        self.lose_runs(key, loss, exit_ms);
    }
}
