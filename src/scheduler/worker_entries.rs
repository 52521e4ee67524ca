//! Workers whose entries cannot be used, or not be trusted.
//!
//! Others may write where workers register themselves. A worker that is known
//! and whose entry stops naming a worker to use gets no new work from that moment;
//! what runs there stays with it, its lease is renewed and its ends are heard, as
//! long as it answers. Limits: nothing is concluded from such an entry, neither
//! that the worker is gone nor that it is another.

use super::action::Decision;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    CallOutcome,
    Worker,
    WorkerInfo, //
};
use crate::core::WorkerKey;

/// Why a worker whose entry names another address than the one at which it was
/// known gets no work.
const OTHER_ADDRESS: &str = "other_address";

/// Why a worker whose entry was written by another incarnation gets no work.
const OTHER_INCARNATION: &str = "other_incarnation";

/// An address that an entry names beside the one at which its worker was known.
#[derive(Clone, Debug)]
pub struct AddressConflict {
    /// What the entry says.
    entry: String,
    /// The one of the two that is not called now.
    other: String,
}

impl Scheduler {
    /// Whether the workers' entries were read lately enough to know what room there is.
    /// An owner that does not hear from the store goes on giving starts for a while;
    /// a worker that starts whatever it is told to and whose room has shrunk meanwhile
    /// would be brought over it.
    pub(super) fn knows_entries(&self) -> bool {
        let bound_ms = self.tuning.entries_max_age_ms;
        self.entries_freshness.is_fresh(self.now_ms, bound_ms)
    }

    /// All entries that were there at `sent_ms` are told.
    pub(super) fn handle_entries_read(&mut self, sent_ms: u64) {
        let bound_ms = self.tuning.entries_max_age_ms;
        self.changed |= self.entries_freshness.note(sent_ms, self.now_ms, bound_ms);
    }

    /// Whether a start may not go to a worker, since its room is not known.
    pub(super) fn is_room_unknown(&self, key: WorkerKey) -> bool {
        !self.knows_entries() && self.is_unguarded(key)
    }

    /// Tells once that some workers get nothing, since their room is not known.
    pub(super) fn note_entries_unread(&mut self) {
        if self.configuration.unguarded_services.is_empty() {
            return;
        }
        let bound_ms = self.tuning.entries_max_age_ms;
        if let Some(known_ago_ms) = self.entries_freshness.untold_age_ms(self.now_ms, bound_ms) {
            self.decided(Decision::EntriesUnread { known_ago_ms });
        }
    }

    /// The entry of a worker names no worker to use; one of a worker that is not
    /// known names nothing.
    pub(super) fn handle_entry_unusable(&mut self, name: &str, reason: &'static str) {
        let Some(&key) = self.worker_index.get(name) else {
            return;
        };
        // Its entry is there, so it has not left.
        self.worker_mut(key).listed = true;
        self.note_problem(key, Some(reason));
    }

    /// Takes in a readable entry of a worker that is known.
    pub(super) fn take_entry(&mut self, key: WorkerKey, mut info: WorkerInfo) {
        let worker = self.worker(key);
        // Nothing of it can run at the address that was known: it was not called
        // yet, or is over.
        let untried =
            worker.contact == Contact::Unfenced && worker.clock.is_none() && !worker.on_roster;
        let untried =
            worker.contact == Contact::Gone || (untried && worker.address_conflict.is_none());
        let known = worker.info.address.clone();
        if info.address != known && untried {
            self.forget_address(key);
            self.note_address(&info.address, key);
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

    /// A worker with two addresses answered at one of them.
    pub(super) fn answered_at_address(&mut self, key: WorkerKey) {
        // An entry that names no worker names no address either.
        let problem = self.worker(key).entry_problem;
        if problem.is_none_or(|problem| [OTHER_ADDRESS, OTHER_INCARNATION].contains(&problem)) {
            self.review_entry(key);
        }
    }

    /// Judges an entry that reads. A dispute is over once the worker answers where its
    /// entry says.
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
        let other_incarnation = worker.is_entry_of_another().then_some(OTHER_INCARNATION);
        let other_address = worker.address_conflict.is_some().then_some(OTHER_ADDRESS);
        self.note_problem(key, other_address.or(other_incarnation));
    }

    /// Calls a worker that did not answer at its other address the next time.
    pub(super) fn try_other_address(&mut self, key: WorkerKey) {
        let Some(mut address_conflict) = self.worker(key).address_conflict.clone() else {
            return;
        };
        self.forget_address(key);
        self.note_address(&address_conflict.other, key);
        let worker = self.worker_mut(key);
        address_conflict.other = worker.call_at(&address_conflict.other);
        worker.address_conflict = Some(address_conflict);
    }

    /// What an answer tells of a worker. That another life answers at an address
    /// ends a life only if that was its address: an entry that was overwritten
    /// with the address of another worker would have its runs started elsewhere
    /// while they go on.
    pub(super) fn judged(&self, key: WorkerKey, outcome: CallOutcome) -> CallOutcome {
        match outcome {
            CallOutcome::OtherIncarnation if self.worker(key).address_conflict.is_some() => {
                CallOutcome::NoAnswer
            }
            other => other,
        }
    }

    fn note_problem(&mut self, key: WorkerKey, problem: Option<&'static str>) {
        let worker = self.worker_mut(key);
        let before = std::mem::replace(&mut worker.entry_problem, problem);
        if before == problem {
            return;
        }
        let (runs, worker) = (worker.runs.len(), worker.name());
        self.changed = true;
        self.decided(match problem {
            Some(reason) => Decision::EntryUnusable {
                worker,
                reason,
                runs,
            },
            None => Decision::EntryUsable { worker, runs },
        });
    }
}

impl Worker {
    /// Has the worker called at another address from now on; returns the one
    /// before.
    fn call_at(&mut self, address: &str) -> String {
        self.set_address(address);
        std::mem::replace(&mut self.info.address, address.to_owned())
    }
}
