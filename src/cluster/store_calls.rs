//! Makes calls to the store, records their outcomes, and abandons calls that were lost
//! in an outage of the store.

use super::store_health::{
    CallKey,
    HealthChange,
    StoreContact,
    StoreHealth, //
};
use super::store_types::StoreError;
use crate::events;
use crate::timer::Timer;
use std::cell::RefCell;
use tokio::sync::Notify;

/// Delay before a call is made again that was lost in an outage which has ended.
const RECOVERED_RETRY_MS: u64 = 10;

/// The calls of this daemon to the store, and the health that they show.
pub struct StoreCalls {
    timer: Timer,
    health: RefCell<StoreHealth>,
    answered: Notify,
}

/// Marks a call as finished when dropped, also if the call is cancelled because its
/// client disconnected.
struct CallGuard<'a> {
    health: &'a RefCell<StoreHealth>,
    key: CallKey,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.health.borrow_mut().call_finished(self.key);
    }
}

impl StoreCalls {
    /// Creates the state before the first call.
    pub fn open(timer: Timer) -> Self {
        Self {
            timer,
            health: RefCell::default(),
            answered: Notify::new(),
        }
    }

    /// Records whether a call to the store succeeded.
    pub fn record_outcome(&self, succeeded: bool) {
        let change = self
            .health
            .borrow_mut()
            .record_outcome(succeeded, self.timer.now_ms());
        if succeeded {
            self.answered.notify_waiters();
        }
        match change {
            Some(HealthChange::Recovered { for_ms }) => {
                events::log(events::STORE_BACK, format_args!("after {for_ms} ms"));
            }
            Some(HealthChange::Failing) => {
                events::log(events::STORE_SILENT, format_args!("calls fail"));
            }
            None => {}
        }
    }

    /// Makes a call to the store and records its outcome and latency.
    pub async fn call_store<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let began_ms = self.timer.now_ms();
        let guard = CallGuard {
            health: &self.health,
            key: self.health.borrow_mut().call_started(began_ms),
        };
        let outcome = self.outcome_unless_abandoned(call).await;
        drop(guard);
        if matches!(outcome, Some(Ok(_))) {
            let took_ms = self.timer.now_ms() - began_ms;
            self.health.borrow_mut().record_latency(took_ms);
        }
        self.recorded(outcome)
    }

    /// Makes a call that the store may hold open, and records its outcome.
    pub async fn call_held_open<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let outcome = self.outcome_unless_abandoned(call).await;
        self.recorded(outcome)
    }

    /// Records the outcome of a call. One that was abandoned shows nothing of the store.
    fn recorded<T>(&self, outcome: Option<Result<T, StoreError>>) -> Result<T, StoreError> {
        let outcome = outcome.ok_or(StoreError::NoAnswer)?;
        if matches!(outcome, Err(StoreError::Refused)) {
            let now_ms = self.timer.now_ms();
            self.health.borrow_mut().record_refusal(now_ms);
        }
        self.record_outcome(outcome.is_ok());
        outcome
    }

    /// Waits until a call is answered, for at most `timeout_ms`; returns whether one was.
    pub async fn until_answered(&self, timeout_ms: u64) -> bool {
        let answered = self.answered.notified();
        self.timer.timeout(timeout_ms, answered).await.is_ok()
    }

    /// Waits for a call, and abandons it once the store has recovered from an outage that
    /// ended after the call was made: such a call is never answered.
    pub async fn abandon_after_outage<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let outcome = self.outcome_unless_abandoned(call).await;
        outcome.unwrap_or(Err(StoreError::NoAnswer))
    }

    /// Waits for a call; returns `None` if it was abandoned.
    async fn outcome_unless_abandoned<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Option<Result<T, StoreError>> {
        let began_ms = self.timer.now_ms();
        tokio::select! {
            outcome = call => Some(outcome),
            () = self.lost_in_outage(began_ms) => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => "store_was_silent")
                    .increment(1);
                None
            }
        }
    }

    /// Waits until the store has recovered from an outage that ended after a call made
    /// at `began_ms`.
    async fn lost_in_outage(&self, began_ms: u64) {
        loop {
            self.answered.notified().await;
            if self.health.borrow().is_lost_in_outage(began_ms) {
                return;
            }
        }
    }

    /// Whether an answer of the store is overdue or calls fail.
    pub fn is_overdue(&self) -> bool {
        self.health.borrow().is_overdue(self.timer.now_ms())
    }

    /// How long to wait before a recorded call that failed is made again: `usual_ms`, or
    /// hardly at all if the store answers again.
    pub fn retry_delay_ms(&self, usual_ms: u64) -> u64 {
        match self.is_overdue() {
            true => usual_ms,
            false => usual_ms.min(RECOVERED_RETRY_MS),
        }
    }

    /// How long to wait for an answer before a call is retried, in milliseconds.
    pub fn answer_timeout_ms(&self) -> u64 {
        self.health.borrow().answer_timeout_ms()
    }

    /// Whether the store has answered this daemon, and does not count as down.
    pub fn has_store(&self) -> bool {
        let health = self.health.borrow();
        health.has_answered() && !health.is_down(self.timer.now_ms())
    }

    /// What this daemon knows of its access to the store.
    pub fn contact(&self) -> StoreContact {
        self.health.borrow().contact(self.timer.now_ms())
    }

    /// Whether a job that is sent now may get no answer; see [`StoreHealth::is_in_doubt`].
    pub fn is_in_doubt(&self, lost_elsewhere_ms: Option<u64>) -> bool {
        let now_ms = self.timer.now_ms();
        self.health.borrow().is_in_doubt(lost_elsewhere_ms, now_ms)
    }

    /// How long to wait for the answer to a probe when in doubt, in milliseconds.
    pub fn doubt_probe_timeout_ms(&self) -> u64 {
        self.health.borrow().doubt_probe_timeout_ms()
    }

    /// Whether the last failure was a refusal.
    pub fn was_refused(&self) -> bool {
        self.health.borrow().was_refused()
    }

    /// Whether a client's job can be stored now.
    pub fn accepts_jobs(&self) -> bool {
        !self.health.borrow().is_unavailable(self.timer.now_ms())
    }

    /// When calls were last answered again after a failure; 0 if none has failed.
    pub fn recovered_ms(&self) -> u64 {
        self.health.borrow().recovered_ms()
    }
}
