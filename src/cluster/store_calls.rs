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
        self.health.borrow_mut().ended(self.key);
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

    /// Notes how a call to the store went.
    pub fn went(&self, well: bool) {
        let change = self.health.borrow_mut().went(well, self.timer.now_ms());
        if well {
            self.answered.notify_waiters();
        }
        match change {
            Some(HealthChange::Back { for_ms }) => {
                events::log(events::STORE_BACK, format_args!("after {for_ms} ms"));
            }
            Some(HealthChange::Failing) => {
                events::log(events::STORE_SILENT, format_args!("calls fail"));
            }
            None => {}
        }
    }

    /// Makes a call of a client's request to the store, and notes how it went.
    pub async fn asking<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let began_ms = self.timer.now_ms();
        let under_way = CallUnderWay {
            health: &self.health,
            key: self.health.borrow_mut().began(began_ms),
        };
        let outcome = self.unless_silenced(call).await;
        drop(under_way);
        if outcome.is_ok() {
            let took_ms = self.timer.now_ms() - began_ms;
            self.health.borrow_mut().took(took_ms);
        }
        self.went(outcome.is_ok());
        outcome
    }

    /// Waits for a call, or until it turns out that the store was silent since: it
    /// is never answered then.
    pub async fn unless_silenced<T>(
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
            if self.health.borrow().fell_silent(began_ms) {
                return;
            }
        }
    }

    /// Whether a sign of life is missing.
    pub fn is_overdue(&self) -> bool {
        self.health.borrow().is_overdue(self.timer.now_ms())
    }

    /// How long to wait before a call is made again.
    pub fn patience_ms(&self) -> u64 {
        self.health.borrow().patience_ms()
    }

    /// Whether the store answers this daemon.
    pub fn has_store(&self) -> bool {
        !self.health.borrow().is_lost(self.timer.now_ms())
    }

    /// Whether what a client sends can be stored now.
    pub fn takes_jobs(&self) -> bool {
        !self.health.borrow().is_away(self.timer.now_ms())
    }

    /// When the store last was back; 0 for never away.
    pub fn back_ms(&self) -> u64 {
        self.health.borrow().back_ms()
    }
}
