//! Polls workers, which renews their leases and returns their runs and ends.
//!
//! At most one poll per worker is in flight.

use super::action::Action;
use super::state::Scheduler;
use super::worker::Contact;
use crate::core::WorkerKey;

/// Most polls in flight to workers that have not answered yet. A new owner polls
/// thousands of workers; sent all at once, these polls would delay its heartbeats for a
/// second.
const MAX_FIRST_POLLS: usize = 128;

/// Shortest time in which a worker can crash and restart.
pub const MIN_RESTART_MS: u64 = 250;

impl Scheduler {
    /// Polls a worker if its next poll is due and none is in flight.
    pub(super) fn poll_if_due(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let authority = self.has_authority();
        let (lease_ms, wait_ms) = (self.tuning.lease_ms, self.tuning.poll_wait_ms);
        let at_first_poll_limit = self.first_polls >= MAX_FIRST_POLLS;
        let worker = self.worker_mut(key);
        if worker.poll_in_flight || now_ms < worker.poll_at_ms || !worker.on_roster {
            return;
        }
        let first = worker.contact == Contact::Unfenced;
        if first && at_first_poll_limit {
            return;
        }
        worker.poll_in_flight = true;
        worker.first_poll = first;
        // A worker that did not answer is asked to answer without waiting. A worker with
        // ends that are not durable yet would end the wait at once.
        let immediate =
            worker.contact != Contact::Answering || !worker.unacknowledged_ends.is_empty();
        let is_shared =
            worker.runs.values().any(|run| run.serves) && worker.runs.values().any(|run| run.fills);
        let wait_ms = match (immediate, is_shared) {
            (true, _) => 0,
            (false, true) => super::throttling::SHARED_POLL_WAIT_MS,
            (false, false) => wait_ms,
        };
        let lease_end_ms = if authority && worker.contact == Contact::Answering {
            worker.grant(now_ms, lease_ms)
        } else {
            None
        };
        // An acknowledgement that reaches another incarnation makes it drop ends that it
        // has not listed yet. The worker may have restarted after a poll without an answer,
        // or some time after an answered poll.
        let is_same_incarnation = worker.contact == Contact::Answering
            && now_ms < worker.last_response_ms + MIN_RESTART_MS;
        let last_seen = if is_same_incarnation {
            worker.last_seen
        } else {
            0
        };
        let callee = worker.callee();
        self.first_polls += usize::from(first);
        self.actions.push(Action::Poll {
            callee,
            last_seen,
            lease_end_ms,
            wait_ms,
        });
    }

    /// Records that a poll returned, and sends first polls that waited for it.
    pub(super) fn poll_ended(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        worker.poll_in_flight = false;
        if !std::mem::take(&mut worker.first_poll) {
            return;
        }
        self.first_polls -= 1;
        if self.first_polls == MAX_FIRST_POLLS / 2 {
            for at in 0..self.workers.len() {
                // The worker that just answered is polled by the handler of its answer:
                // a first poll carries no lease.
                let other = at != key.index();
                if other && self.workers[at].contact == Contact::Unfenced {
                    self.poll_if_due(WorkerKey(at as u32));
                }
            }
        }
    }
}
