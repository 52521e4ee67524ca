//! Whether the store answers this daemon, by how its calls went.
//!
//! Load pattern: the store is silent for some seconds, for this daemon or for all,
//! or single answers are lost. What is sent to a silent store ends without a known
//! outcome after the time that its client has. So jobs are refused at once, which
//! is true of what was never sent, as soon as a call is overdue; the store is asked
//! for a sign of life meanwhile, and what was sent before it fell silent is given
//! up when it is back, since such a call is never answered. A call that takes
//! several times as long as usual is made again. Limits: a store that is merely
//! slow answers within a third of a second.

use std::collections::BTreeMap;

/// A store that failed for this long is said to be lost.
const LOST_MS: u64 = 400;
/// A call that takes this long, with no other answered since, shows that the store
/// is silent: twice what a slow store takes.
const SILENT_MS: u64 = 700;
/// A call that takes this long is overdue: the store is asked for a sign of life.
const OVERDUE_MS: u64 = 300;
/// A call that was made this short before the store was back may be answered.
const BEFORE_RETURN_MS: u64 = 100;
/// Shortest time after which a call is made again.
const LEAST_PATIENCE_MS: f64 = 120.0;
/// Longest such time: the bound of any call.
const MOST_PATIENCE_MS: f64 = 1_000.0;
/// A call that takes so many times as long as usual was lost.
const PATIENCE_FACTOR: f64 = 4.0;
/// Weight of a new answer's time in the usual one.
const LATENCY_WEIGHT: f64 = 0.2;

/// A call to the store that is on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallKey(u64);

/// How calls to the store went.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    failed_since_ms: Option<u64>,
    recovered_ms: u64,
    answered_ms: u64,
    /// When it last answered after a silence.
    silence_over_ms: u64,
    usual_ms: f64,
    last_call: u64,
    /// Calls on their way, with the times at which they were made.
    under_way: BTreeMap<u64, u64>,
}

/// What changed with a call's outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// Calls fail from now on.
    Failing,
    /// Calls are answered again, after this long.
    Recovered {
        /// How long they failed.
        for_ms: u64,
    },
}

impl StoreHealth {
    /// Records that a call is made.
    pub fn call_started(&mut self, now_ms: u64) -> CallKey {
        self.last_call += 1;
        self.under_way.insert(self.last_call, now_ms);
        CallKey(self.last_call)
    }

    /// Records that a call was answered or abandoned.
    pub fn call_finished(&mut self, call: CallKey) {
        self.under_way.remove(&call.0);
    }

    /// Records how long an answer took.
    pub fn record_latency(&mut self, took_ms: u64) {
        self.usual_ms += LATENCY_WEIGHT * (took_ms as f64 - self.usual_ms);
    }

    /// How long to wait for an answer before a call is made again.
    pub fn answer_timeout_ms(&self) -> u64 {
        let answer_timeout_ms = LEAST_PATIENCE_MS + PATIENCE_FACTOR * self.usual_ms;
        answer_timeout_ms.min(MOST_PATIENCE_MS) as u64
    }

    /// Records whether a call was answered.
    pub fn record_outcome(&mut self, well: bool, now_ms: u64) -> Option<HealthChange> {
        if well {
            if self.is_unavailable(now_ms) || self.failed_in_silence() {
                self.silence_over_ms = now_ms;
            }
            self.answered_ms = now_ms;
        }
        match (well, self.failed_since_ms) {
            (true, Some(since_ms)) => {
                self.failed_since_ms = None;
                self.recovered_ms = now_ms;
                let for_ms = now_ms.saturating_sub(since_ms);
                Some(HealthChange::Recovered { for_ms })
            }
            (false, None) => {
                self.failed_since_ms = Some(now_ms);
                Some(HealthChange::Failing)
            }
            _ => None,
        }
    }

    /// Whether calls have failed for so long that the store counts as down.
    pub fn is_down(&self, now_ms: u64) -> bool {
        let since_ms = self.failed_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + LOST_MS)
    }

    /// Whether calls fail after a silence. A call's own bound may pass just before
    /// the store is back: what was made anew then waited for its bound as well, and
    /// daemons had no configuration for a second after the store's return.
    fn failed_in_silence(&self) -> bool {
        let since_ms = self.failed_since_ms;
        since_ms.is_some_and(|since_ms| since_ms >= self.answered_ms + SILENT_MS)
    }

    /// When it last recovered; 0 for never down.
    pub fn recovered_ms(&self) -> u64 {
        self.recovered_ms
    }

    /// For how long a call waits while no other was answered.
    fn unanswered_ms(&self, now_ms: u64) -> u64 {
        let since = self.under_way.values().copied();
        let oldest_ms = since.filter(|&at_ms| at_ms >= self.answered_ms).min();
        oldest_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Whether a sign of life is missing.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.failed_since_ms.is_some() || self.unanswered_ms(now_ms) >= OVERDUE_MS
    }

    /// Whether a job that is sent now would wait in vain.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        let silent_ms = SILENT_MS.max((PATIENCE_FACTOR * self.usual_ms) as u64);
        self.is_down(now_ms) || self.unanswered_ms(now_ms) >= silent_ms
    }

    /// Whether a call made at `began_ms` was lost in an outage that is over.
    pub fn is_lost_in_outage(&self, began_ms: u64) -> bool {
        began_ms + BEFORE_RETURN_MS < self.silence_over_ms
    }
}
