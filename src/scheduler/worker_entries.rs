//! Handles workers' entries, including entries that are invalid or cannot be trusted.
//!
//! Not only workers can write under the prefix where workers register. A known worker
//! whose entry becomes invalid gets no new work from that moment. Its runs stay with it,
//! its lease is renewed and its ends are received as long as it answers. Nothing is
//! concluded from an invalid entry, neither that the worker is gone nor that it has been
//! replaced.

use super::action::Decision;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    CallOutcome,
    Worker,
    WorkerInfo, //
};
use crate::core::WorkerKey;

/// Reason for giving no work to a worker whose entry names a different address from the
/// known one.
const OTHER_ADDRESS: &str = "other_address";

/// Reason for giving no work to a worker whose entry was written by another incarnation.
const OTHER_INCARNATION: &str = "other_incarnation";

/// The two addresses of a worker whose entry names a different address from the known
/// one.
#[derive(Clone, Debug)]
pub struct AddressConflict {
    /// The address in the entry.
    entry: String,
    /// The one of the two addresses that is not called now.
    other: String,
}

impl Scheduler {
    /// Whether the workers' entries were read recently enough to know the workers'
    /// capacities. An owner that gets no answer from the store continues to send starts
    /// for a while. A worker that accepts every start and whose capacity has shrunk
    /// meanwhile would be overfilled.
    pub(super) fn knows_entries(&self) -> bool {
        let bound_ms = self.tuning.entries_max_age_ms;
        self.entries_freshness.is_fresh(self.now_ms, bound_ms)
    }

    /// Records that all entries present at `sent_ms` have been handled.
    pub(super) fn handle_entries_read(&mut self, sent_ms: u64) {
        let bound_ms = self.tuning.entries_max_age_ms;
        self.changed |= self
            .entries_freshness
            .update(sent_ms, self.now_ms, bound_ms);
    }

    /// Whether a worker may get no starts because its capacity is not known.
    pub(super) fn is_capacity_unknown(&self, key: WorkerKey) -> bool {
        !self.knows_entries() && self.is_unguarded(key)
    }

    /// Logs once that some workers get no starts because their capacity is not known.
    pub(super) fn report_stale_entries(&mut self) {
        if self.configuration.unguarded_services.is_empty() {
            return;
        }
        let bound_ms = self.tuning.entries_max_age_ms;
        if let Some(known_ago_ms) = self
            .entries_freshness
            .unreported_age_ms(self.now_ms, bound_ms)
        {
            self.decided(Decision::EntriesStale { known_ago_ms });
        }
    }

    /// Handles an invalid entry of a known worker. Such an entry under an unknown name is
    /// ignored.
    pub(super) fn handle_entry_invalid(&mut self, name: &str, reason: &'static str) {
        let Some(&key) = self.worker_index.get(name) else {
            return;
        };
        // The entry is present, so the worker has not left.
        self.worker_mut(key).listed = true;
        self.set_entry_problem(key, Some(reason));
    }

    /// Applies a valid entry to a known worker.
    pub(super) fn apply_entry(&mut self, key: WorkerKey, mut info: WorkerInfo) {
        let worker = self.worker(key);
        // None of its runs can be at the known address if the worker was never called or
        // its incarnation has ended. Then the new address replaces the known one.
        let never_called =
            worker.contact == Contact::Unfenced && worker.clock.is_none() && !worker.on_roster;
        let has_no_runs =
            worker.contact == Contact::Gone || (never_called && worker.address_conflict.is_none());
        let known = worker.info.address.clone();
        if info.address != known && has_no_runs {
            self.unindex_address(key);
            self.index_address(&info.address, key);
            self.worker_mut(key).address_conflict = None;
        } else if info.address != known {
            let entry = std::mem::replace(&mut info.address, known);
            let other = entry.clone();
            self.worker_mut(key).address_conflict = Some(AddressConflict { entry, other });
        } else if let Some(address_conflict) = &mut self.worker_mut(key).address_conflict {
            address_conflict.entry = known;
        }
        let now_ms = self.now_ms;
        self.worker_mut(key).update(info, now_ms);
        self.review_entry(key);
    }

    /// Reviews the entry of a worker that answered, since an address conflict or a
    /// different incarnation in the entry may be settled by the answer.
    pub(super) fn review_entry_after_answer(&mut self, key: WorkerKey) {
        // An entry that is invalid for any other reason names no address to compare.
        let problem = self.worker(key).entry_problem;
        if problem.is_none_or(|problem| [OTHER_ADDRESS, OTHER_INCARNATION].contains(&problem)) {
            self.review_entry(key);
        }
    }

    /// Updates the problem of a valid entry. An address conflict is settled once the worker
    /// answers at the address in its entry.
    fn review_entry(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        let settled = worker
            .address_conflict
            .as_ref()
            .is_some_and(|address_conflict| {
                address_conflict.entry == worker.info.address
                    && worker.contact == Contact::Answering
            });
        if settled {
            worker.address_conflict = None;
        }
        let other_incarnation = worker
            .has_entry_of_other_incarnation()
            .then_some(OTHER_INCARNATION);
        let other_address = worker.address_conflict.is_some().then_some(OTHER_ADDRESS);
        self.set_entry_problem(key, other_address.or(other_incarnation));
    }

    /// Switches a worker with an address conflict that did not answer to its other address
    /// for the next call.
    pub(super) fn try_other_address(&mut self, key: WorkerKey) {
        let Some(mut address_conflict) = self.worker(key).address_conflict.clone() else {
            return;
        };
        self.unindex_address(key);
        self.index_address(&address_conflict.other, key);
        let worker = self.worker_mut(key);
        address_conflict.other = worker.switch_address(&address_conflict.other);
        worker.address_conflict = Some(address_conflict);
    }

    /// Returns the outcome of a call, but `NoAnswer` instead of `OtherIncarnation` for a
    /// worker with an address conflict. Its entry may have been overwritten with the address
    /// of another worker, so the answer of that worker does not end this one's incarnation;
    /// otherwise its runs would be started elsewhere while they continue.
    pub(super) fn effective_outcome(&self, key: WorkerKey, outcome: CallOutcome) -> CallOutcome {
        match outcome {
            CallOutcome::OtherIncarnation if self.worker(key).address_conflict.is_some() => {
                CallOutcome::NoAnswer
            }
            other => other,
        }
    }

    /// Records why a worker's entry cannot be used, and logs a change.
    fn set_entry_problem(&mut self, key: WorkerKey, problem: Option<&'static str>) {
        let worker = self.worker_mut(key);
        let before = std::mem::replace(&mut worker.entry_problem, problem);
        if before == problem {
            return;
        }
        let (runs, worker) = (worker.runs.len(), worker.name());
        self.changed = true;
        self.decided(match problem {
            Some(reason) => Decision::EntryInvalid {
                worker,
                reason,
                runs,
            },
            None => Decision::EntryValid { worker, runs },
        });
    }
}

impl Worker {
    /// Sets the address at which the worker is called, and returns the previous one.
    fn switch_address(&mut self, address: &str) -> String {
        self.set_address(address);
        std::mem::replace(&mut self.info.address, address.to_owned())
    }
}
