//! What a daemon knows of its access to the store, and through which peer it stores a job when
//! it has lost the store.

use super::node::Node;
use super::peer_table::StoreLoss;
use super::store_health::StoreContact;
use super::store_types::StoreError;
use crate::core::JobId;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a request waits for the answer to a probe of a store that counts as unavailable.
const RETURN_PROBE_TIMEOUT_MS: u64 = 30;

impl Node {
    /// Records whether a call to the store was answered.
    pub fn record_store_outcome(&self, answered: bool) {
        self.store_calls.record_outcome(answered);
    }

    /// Makes a call to the store and records its outcome.
    pub async fn call_store<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.store_calls.call_store(call).await
    }

    /// Makes a call to the store that may be held open, and records its outcome.
    pub async fn call_store_held_open<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.store_calls.call_held_open(call).await
    }

    /// How long to wait before a recorded call to the store that failed is made again.
    pub fn store_retry_delay_ms(&self, usual_ms: u64) -> u64 {
        self.store_calls.retry_delay_ms(usual_ms)
    }

    /// Waits for a call, and abandons it once the store has recovered from an outage that
    /// ended after the call was made: such a call is never answered.
    pub async fn abandon_after_outage<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.store_calls.abandon_after_outage(call).await
    }

    /// Whether an answer of the store is overdue or calls fail.
    pub fn is_store_overdue(&self) -> bool {
        self.store_calls.is_overdue()
    }

    /// How long to wait for an answer of the store before a call is repeated.
    pub fn store_timeout_ms(&self) -> u64 {
        self.store_calls.answer_timeout_ms()
    }

    /// Whether the store answers this daemon.
    pub fn has_store(&self) -> bool {
        self.store_calls.has_store()
    }

    /// Whether a client's job could be stored now.
    pub fn accepts_jobs(&self) -> bool {
        self.store_calls.accepts_jobs()
    }

    /// What this daemon knows of its access to the store.
    pub fn store_contact(&self) -> StoreContact {
        self.store_calls.contact()
    }

    /// Whether a job that is sent to the store now may get no answer, as far as this daemon
    /// and its peers know.
    pub fn is_store_in_doubt(&self) -> bool {
        let lost_elsewhere_ms = self.peer_table.borrow().store_lost_ms(self.now_ms());
        self.store_calls.is_in_doubt(lost_elsewhere_ms)
    }

    /// Whether the store answers this daemon now. It is probed when that is in doubt, and
    /// briefly while it counts as unavailable, since it may have come back after the last
    /// probe.
    pub async fn confirm_store(self: &Rc<Self>) -> bool {
        let timeout_ms = match (self.accepts_jobs(), self.is_store_in_doubt()) {
            (true, false) => return true,
            (true, true) => self.store_calls.doubt_probe_timeout_ms(),
            (false, _) if self.store_calls.was_refused() => return false,
            (false, _) => RETURN_PROBE_TIMEOUT_MS,
        };
        let node = self.clone();
        actix_rt::spawn(async move { node.probe_store(timeout_ms).await });
        // Any answer will do, so that jobs that arrive together do not wait for each
        // other's probes.
        self.store_calls.until_answered(timeout_ms).await
    }

    /// Probes the store. A failed probe shows nothing new, so only answers are recorded.
    pub async fn probe_store(&self, timeout_ms: u64) {
        metrics::counter!("fuchsiaslip_store_probes_total").increment(1);
        if self.store.probe(timeout_ms).await.is_ok() {
            self.record_store_outcome(true);
        }
    }

    /// Records that the outcome of storing a job is unknown, and tells the other daemons.
    pub fn record_unknown_job(&self, job: JobId) {
        let now_ms = self.now_ms();
        self.unknown_outcomes.borrow_mut().record(job, now_ms);
        self.request_heartbeat();
    }

    /// Records jobs whose outcome is unknown to another daemon.
    pub fn record_unknown_jobs(&self, jobs: &[u64]) {
        let now_ms = self.now_ms();
        let mut unknown = self.unknown_outcomes.borrow_mut();
        unknown.record_reported(jobs, now_ms);
    }

    /// Records that a job is stored.
    pub fn record_stored_job(&self, job: JobId) {
        self.unknown_outcomes.borrow_mut().record_stored(job);
    }

    /// Whether an earlier request may have stored a job.
    pub fn may_be_stored(&self, job: JobId) -> bool {
        let now_ms = self.now_ms();
        self.unknown_outcomes.borrow().contains(job, now_ms)
    }

    /// The jobs with unknown outcomes of which the other daemons are told.
    pub fn reported_unknown_jobs(&self) -> Vec<u64> {
        self.unknown_outcomes.borrow().reported(self.now_ms())
    }

    /// The address of a live peer that probably reaches the store, which this daemon has
    /// lost; the owner's if it is such a peer.
    pub fn peer_with_store(&self, job: JobId) -> Option<SocketAddr> {
        let owner = self.owner().map(|owner| owner.address);
        let contact = self.store_contact();
        let lost_ms = contact.failing_since_ms.or(contact.answered_ms);
        let loss = StoreLoss {
            since_ms: lost_ms.unwrap_or(self.started_ms),
            refused: self.store_calls.was_refused(),
        };
        let others = self.peer_table.borrow();
        others.peer_with_store(loss, owner, job.0, self.now_ms())
    }
}
