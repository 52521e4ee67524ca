//! Polling workers: renewing their leases and asking what runs there.

use super::action::Action;
use super::state::Scheduler;
use super::worker::Contact;
use crate::core::WorkerKey;

/// Looks on their way to workers that have not answered yet. A new owner asks
/// thousands; all at once they hold up its heartbeats for a second.
const MAX_FIRST_POLLS: usize = 128;

/// No worker crashes and is back within this time.
const LEAST_RESTART_MS: u64 = 250;

impl Scheduler {
    pub(super) fn poll_if_due(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let authority = self.has_authority();
        let (lease_ms, wait_ms) = (self.tuning.lease_ms, self.tuning.poll_wait_ms);
        let crowded = self.first_polls >= MAX_FIRST_POLLS;
        let worker = self.worker_mut(key);
        if worker.poll_in_flight || now_ms < worker.poll_at_ms || !worker.on_roster {
            return;
        }
        let first = worker.contact == Contact::Unfenced;
        if first && crowded {
            return;
        }
        worker.poll_in_flight = true;
        worker.first_poll = first;
        // A worker that does not answer is asked for a quick sign of life, and
        // ends that are not durable yet would answer a waiting look at once.
        let quick = worker.contact != Contact::Answering || !worker.unacknowledged_ends.is_empty();
        let shares =
            worker.runs.values().any(|run| run.serves) && worker.runs.values().any(|run| run.fills);
        let wait_ms = match (quick, shares) {
            (true, _) => 0,
            (false, true) => super::throttling::SHARED_POLL_WAIT_MS,
            (false, false) => wait_ms,
        };
        let lease_end_ms = if authority && worker.contact == Contact::Answering {
            worker.grant(now_ms, lease_ms)
        } else {
            None
        };
        // Another incarnation would forget ends that it has not listed: it may be there
        // after a poll without an answer, or some time after one with an answer.
        let is_same =
            worker.contact == Contact::Answering && now_ms < worker.heard_ms + LEAST_RESTART_MS;
        let last_seen = if is_same { worker.last_seen } else { 0 };
        let callee = worker.callee();
        self.first_polls += usize::from(first);
        self.actions.push(Action::Poll {
            callee,
            last_seen,
            lease_end_ms,
            wait_ms,
        });
    }

    /// A poll returned: sends others that waited for it.
    pub(super) fn poll_ended(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        worker.poll_in_flight = false;
        if !std::mem::take(&mut worker.first_poll) {
            return;
        }
        self.first_polls -= 1;
        if self.first_polls == MAX_FIRST_POLLS / 2 {
            for at in 0..self.workers.len() {
                // The one that just answered is asked by who took its answer
                // in: this look carries no lease.
                let other = at != key.index();
                if other && self.workers[at].contact == Contact::Unfenced {
                    self.poll_if_due(WorkerKey(at as u32));
                }
            }
        }
    }
}
