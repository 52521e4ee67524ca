//! Workers that come, go, and come back as others.
//!
//! Load pattern: workers go down and up by turns, each time under a new name at the
//! same address, and a new owner is told of thousands at once. So they are
//! found by address, and the place of one that is gone is used again.

use super::action::{
    Action,
    Decision, //
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

/// The place of a worker that is gone is used again after this long: ten times
/// the bound of a call to a worker.
const VACANT_MS: u64 = 30_000;

impl Scheduler {
    /// Workers that the stored roster has to name, with their addresses.
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

    pub(super) fn handle_worker_registered(&mut self, info: WorkerInfo) {
        let known = self.worker_index.get(&info.worker_name).copied();
        let key = known.unwrap_or_else(|| self.add_worker(info.clone()));
        let emptied = self.emptying.names(&info.data_centre);
        self.take_entry(key, info);
        let worker = self.worker_mut(key);
        worker.emptied = emptied;
        if worker.contact == Contact::Gone {
            // It was silent and not listed for a whole lease, and is back.
            worker.contact = Contact::Unfenced;
            self.vacant.retain(|&(_, vacant)| vacant != key);
        }
        let unknown = !self.worker(key).on_roster;
        if unknown && self.roster_unreadable {
            self.join_unread_roster(key);
        } else if unknown && !self.roster_asked {
            self.roster_asked = true;
            self.ask_to_store_roster();
        }
        self.changed = true;
    }

    pub(super) fn add_worker(&mut self, info: WorkerInfo) -> WorkerKey {
        let key = self
            .vacate()
            .unwrap_or(WorkerKey(self.workers.len() as u32));
        self.worker_index.insert(info.worker_name.clone(), key);
        self.note_address(&info.address, key);
        let worker = Worker::new(key, info);
        match self.workers.get_mut(key.index()) {
            Some(place) => *place = worker,
            None => self.workers.push(worker),
        }
        key
    }

    /// A worker answered under its name: any other one at its address is
    /// over. Entries prove nothing: that of a crashed life stays for seconds, and
    /// that of a living one may be missing.
    pub(super) fn replace_others(&mut self, key: WorkerKey) {
        let there = self.address_index.get(&self.worker(key).info.address);
        let others: Vec<WorkerKey> = there
            .into_iter()
            .flatten()
            .copied()
            .filter(|&other| other != key && self.worker(other).address_conflict.is_none())
            .collect();
        let next_start_ms = self.worker(key).incarnation_start_ms;
        for other in others {
            let exit_ms = self.latest_exit_ms(other, next_start_ms);
            self.note_replaced(other, exit_ms);
            self.worker_exited(other, LossCause::Replaced, exit_ms);
        }
    }

    pub(super) fn note_address(&mut self, address: &str, key: WorkerKey) {
        let there = self.address_index.entry(address.to_owned()).or_default();
        there.push(key);
    }

    pub(super) fn forget_address(&mut self, key: WorkerKey) {
        let address = &self.workers[key.index()].info.address;
        if let Some(there) = self.address_index.get_mut(address) {
            there.retain(|&other| other != key);
            if there.is_empty() {
                let address = address.clone();
                self.address_index.remove(&address);
            }
        }
    }

    /// A place whose worker is gone for so long that no answer of it can be
    /// under way: workers that go down and up by turns would fill the memory.
    fn vacate(&mut self) -> Option<WorkerKey> {
        let &(since_ms, key) = self.vacant.front()?;
        if self.now_ms < since_ms + VACANT_MS {
            return None;
        }
        self.vacant.pop_front();
        let before = self.worker(key).info.worker_name.clone();
        // The name may be that of a later incarnation.
        if self.worker_index.get(&before) == Some(&key) {
            self.worker_index.remove(&before);
        }
        self.forget_address(key);
        for group in self.groups.values_mut() {
            group.forget_worker(key);
        }
        Some(key)
    }

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
            self.take_closed(key, runs);
        }
    }

    pub(super) fn handle_worker_unlisted(&mut self, name: &str) {
        if let Some(&key) = self.worker_index.get(name) {
            self.worker_mut(key).listed = false;
            self.changed = true;
        }
    }

    pub(super) fn handle_roster_stored(&mut self, names: &[String]) {
        for worker_name in names {
            let Some(&key) = self.worker_index.get(worker_name) else {
                continue;
            };
            let worker = self.worker_mut(key);
            worker.on_roster = worker.contact != Contact::Gone;
            self.poll_if_due(key);
        }
        self.roster_asked = self
            .workers
            .iter()
            .any(|worker| !worker.on_roster && worker.contact != Contact::Gone);
        if self.roster_asked {
            self.ask_to_store_roster();
        }
        self.changed = true;
    }

    /// After the end of the longest lease nothing runs there any more. A
    /// worker that is not listed either has left: the roster forgets it, or it
    /// would hold up the next owner, who could not reach it.
    pub(super) fn review_lease_expiry(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let worker = self.worker(key);
        let silent = matches!(worker.contact, Contact::Silent | Contact::Unfenced);
        // Nothing runs where this owner has looked, and where all that it
        // ordered since has ended.
        let empty = worker.contact == Contact::Silent && worker.runs.is_empty();
        let never_used = worker.clock.is_none() && now_ms >= self.earlier_leases_over_ms;
        // What was found there may have a lease of an earlier owner, which
        // ends before one of this owner does, if it gave any.
        let lapsed_ms = match (empty || never_used, worker.lease_end_ms) {
            (true, _) => Some(0),
            (false, 0) => Some(self.earlier_leases_over_ms),
            (false, _) => worker.leases_expired_ms(),
        };
        if !silent || lapsed_ms.is_none_or(|lapsed_ms| now_ms < lapsed_ms) {
            return;
        }
        let listed = worker.listed;
        if !worker.runs.is_empty() {
            self.lose_runs(key, LossCause::LeaseOver, now_ms);
        }
        if !listed {
            self.worker_gone(key, LossCause::Left);
        }
    }

    /// Whatever ran on a worker is lost: by `exit_ms` the worker had exited or its lease
    /// had ended.
    fn lose_runs(&mut self, key: WorkerKey, loss: LossCause, exit_ms: u64) {
        let names: Vec<RunName> = self.worker(key).runs.keys().copied().collect();
        let confirmed = self.confirmed_runs_with_expected_end(key);
        if self.worker(key).close_state != CloseState::Open {
            // The store named these runs.
            self.actions.push(Action::StoreClosedWorker { worker: key });
        }
        let worker = self.worker(key).name();
        self.decided(Decision::WorkerLost {
            worker,
            runs: names.len(),
            reason: loss.name(),
        });
        for name in names {
            self.tell_run_lost(key, name, loss, exit_ms);
            self.run_gone(key, name);
        }
        self.note_lost(key, confirmed, loss, exit_ms);
    }

    /// Logs a lost run: whether its worker responded after its start tells a task
    /// that crashes its workers from one that was beside it.
    fn tell_run_lost(&mut self, key: WorkerKey, name: RunName, loss: LossCause, exit_ms: u64) {
        let worker = self.worker(key);
        let Some(run) = worker.runs.get(&name) else {
            return;
        };
        let decision = Decision::RunLost {
            name,
            worker: worker.name(),
            ordered_ago_ms: self.now_ms.saturating_sub(run.ordered_ms),
            heard_after_ms: worker.heard_ms.saturating_sub(run.ordered_ms),
            exited_within_ms: exit_ms.saturating_sub(run.ordered_ms),
            percent: run.percent,
            reason: loss.name(),
        };
        self.decided(decision);
    }

    /// The worker's incarnation is over.
    pub(super) fn worker_gone(&mut self, key: WorkerKey, loss: LossCause) {
        self.worker_exited(key, loss, self.now_ms);
    }

    /// The worker's incarnation is over, and ended no later than `exit_ms`.
    pub(super) fn worker_exited(&mut self, key: WorkerKey, loss: LossCause, exit_ms: u64) {
        if self.worker(key).contact == Contact::Gone {
            return;
        }
        let now_ms = self.now_ms;
        self.vacant.push_back((now_ms, key));
        let worker = self.worker_mut(key);
        worker.contact = Contact::Gone;
        if worker.on_roster {
            worker.on_roster = false;
            self.ask_to_store_roster();
        }
        self.lose_runs(key, loss, exit_ms);
    }
}
