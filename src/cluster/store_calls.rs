//! Calls to the store: noting how they go, and giving up those that fell into a
//! silence of the store.

use super::store_health::{
    CallKey,
    HealthChange,
    StoreHealth, //
};
use super::store_types::StoreError;
use crate::events;
use crate::timer::Timer;
use std::cell::RefCell;
use tokio::sync::Notify;

/// How the calls of this daemon go.
pub struct StoreCalls {
    timer: Timer,
    health: RefCell<StoreHealth>,
    answered: Notify,
}

/// A call to the store that ends when this does: a client that leaves takes its
/// calls along.
struct CallUnderWay<'a> {
    health: &'a RefCell<StoreHealth>,
    key: CallKey,
}

impl Drop for CallUnderWay<'_> {
    fn drop(&mut self) {
        self.health.borrow_mut().call_finished(self.key);
    }
}

impl StoreCalls {
    /// No call was made yet.
    pub fn open(timer: Timer) -> Self {
        Self {
            timer,
            health: RefCell::default(),
            answered: Notify::new(),
        }
    }

    /// Records whether a call to the store was answered.
    pub fn record_outcome(&self, well: bool) {
        let change = self
            .health
            .borrow_mut()
            .record_outcome(well, self.timer.now_ms());
        if well {
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

    /// Makes a call to the store for a client's request and records its outcome.
    pub async fn call_store<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let began_ms = self.timer.now_ms();
        let under_way = CallUnderWay {
            health: &self.health,
            key: self.health.borrow_mut().call_started(began_ms),
        };
        let outcome = self.abandon_after_outage(call).await;
        drop(under_way);
        if outcome.is_ok() {
            let took_ms = self.timer.now_ms() - began_ms;
            self.health.borrow_mut().record_latency(took_ms);
        }
        self.record_outcome(outcome.is_ok());
        outcome
    }

    /// Waits for a call, and abandons it if the store turns out to have been down since
    /// it was made: such a call is never answered.
    pub async fn abandon_after_outage<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let began_ms = self.timer.now_ms();
        tokio::select! {
            outcome = call => outcome,
            () = self.silence_over(began_ms) => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => "store_was_silent")
                    .increment(1);
                Err(StoreError::NoAnswer)
            }
        }
    }

    /// Waits until a call made at `began_ms` turns out to have fallen into a
    /// silence of the store that is over: it is never answered.
    async fn silence_over(&self, began_ms: u64) {
        loop {
            self.answered.notified().await;
            if self.health.borrow().is_lost_in_outage(began_ms) {
                return;
            }
        }
    }

    /// Whether a sign of life is missing.
    pub fn is_overdue(&self) -> bool {
        self.health.borrow().is_overdue(self.timer.now_ms())
    }

    /// How long to wait before a call is made again.
    pub fn answer_timeout_ms(&self) -> u64 {
        self.health.borrow().answer_timeout_ms()
    }

    /// Whether the store answers this daemon.
    pub fn has_store(&self) -> bool {
        !self.health.borrow().is_down(self.timer.now_ms())
    }

    /// Whether what a client sends can be stored now.
    pub fn accepts_jobs(&self) -> bool {
        !self.health.borrow().is_unavailable(self.timer.now_ms())
    }

    /// When the store last recovered; 0 for never down.
    pub fn recovered_ms(&self) -> u64 {
        self.health.borrow().recovered_ms()
    }
}
