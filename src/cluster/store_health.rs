//! Tracks whether the store answers this daemon, from the outcomes of its calls.
//!
//! Load pattern: the store does not respond for some seconds, to this daemon or to
//! all, or single answers are lost. A job that is sent to an unresponsive store has no
//! known outcome when its client's deadline passes. So jobs are refused at once when a
//! call has gone unanswered for too long: a job that was never sent is certainly not
//! stored. Meanwhile the store is probed. When it answers again, calls that were made
//! before are abandoned, since they are never answered. A call that takes
//! several times the usual latency is retried. Limit: a store that is merely slow
//! answers within a third of a second.
//!
//! A daemon that makes few calls notices an outage late, and one that has just started has
//! seen no answer yet. If each of them sent its jobs to the store, their outcomes would be
//! unknown. So daemons tell each other when the store last answered them and since when it
//! does not, and a daemon whose own last answer is older than that is in doubt: it probes
//! the store before it sends a job.

use std::collections::BTreeMap;

/// A store whose calls have failed for this long counts as down.
const DOWN_MS: u64 = 400;
/// A call that takes this long, with no other call answered since, shows that the store
/// is unresponsive: twice what a slow store takes.
const UNRESPONSIVE_MS: u64 = 700;
/// A call that takes this long is overdue: the store is probed.
const OVERDUE_MS: u64 = 300;
/// A call that was made at most this long before the recovery may still be answered.
const RECOVERY_MARGIN_MS: u64 = 100;
/// Shortest timeout of the probe of a daemon in doubt.
const MIN_PROBE_TIMEOUT_MS: u64 = 250;
/// Such a probe may take this many times the usual latency.
const PROBE_TIMEOUT_FACTOR: f64 = 2.0;
/// Shortest time after which a call is retried.
const MIN_TIMEOUT_MS: f64 = 120.0;
/// Longest time after which a call is retried: the timeout of any call.
const MAX_TIMEOUT_MS: f64 = 1_000.0;
/// A call that takes this many times the usual latency counts as lost.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Weight of a new answer's latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Identifies a call to the store that is in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallKey(u64);

/// What a daemon knows of its access to the store. Other daemons receive it with its
/// heartbeats.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreContact {
    /// When the store last answered; `None` if it never did.
    pub answered_ms: Option<u64>,
    /// Since when calls fail or an answer is overdue; `None` if neither is so.
    pub failing_since_ms: Option<u64>,
}

/// The health of the store, as this daemon's calls show it.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    failed_since_ms: Option<u64>,
    recovered_ms: u64,
    /// When a call was last answered; 0 if none was.
    answered_ms: u64,
    /// When a call was last refused; 0 if none was.
    refused_ms: u64,
    /// When the store first answered after its last outage.
    outage_end_ms: u64,
    /// Moving average of the latency of answers.
    usual_latency_ms: f64,
    last_call: u64,
    /// Calls in flight, with the times at which they were made.
    in_flight: BTreeMap<u64, u64>,
}

/// What changed with a call's outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// Calls fail from now on.
    Failing,
    /// Calls are answered again.
    Recovered {
        /// How long they failed, in milliseconds.
        for_ms: u64,
    },
}

impl StoreHealth {
    /// Records that a call is made.
    pub fn call_started(&mut self, now_ms: u64) -> CallKey {
        self.last_call += 1;
        self.in_flight.insert(self.last_call, now_ms);
        CallKey(self.last_call)
    }

    /// Records that a call was answered or abandoned.
    pub fn call_finished(&mut self, call: CallKey) {
        self.in_flight.remove(&call.0);
    }

    /// Records how long an answer took.
    pub fn record_latency(&mut self, took_ms: u64) {
        self.usual_latency_ms += LATENCY_WEIGHT * (took_ms as f64 - self.usual_latency_ms);
    }

    /// How long to wait for an answer before a call is retried, in milliseconds.
    pub fn answer_timeout_ms(&self) -> u64 {
        let answer_timeout_ms = MIN_TIMEOUT_MS + TIMEOUT_FACTOR * self.usual_latency_ms;
        answer_timeout_ms.min(MAX_TIMEOUT_MS) as u64
    }

    /// Records whether a call succeeded.
    pub fn record_outcome(&mut self, succeeded: bool, now_ms: u64) -> Option<HealthChange> {
        if succeeded {
            if self.is_unavailable(now_ms) || self.failed_in_outage() {
                self.outage_end_ms = now_ms;
            }
            self.answered_ms = now_ms;
        }
        match (succeeded, self.failed_since_ms) {
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

    /// Records that a call was refused.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.refused_ms = now_ms;
    }

    /// Whether the store has answered a call of this process.
    pub fn has_answered(&self) -> bool {
        self.answered_ms > 0
    }

    /// Whether calls have failed for so long that the store counts as down.
    pub fn is_down(&self, now_ms: u64) -> bool {
        let since_ms = self.failed_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + DOWN_MS)
    }

    /// Whether calls began to fail when the store had been unresponsive. A call may
    /// time out just before the store recovers; if this did not count as an outage, the
    /// call made in its place would wait for its own timeout, and daemons would have no
    /// configuration for a second after the recovery.
    fn failed_in_outage(&self) -> bool {
        let since_ms = self.failed_since_ms;
        since_ms.is_some_and(|since_ms| since_ms >= self.answered_ms + UNRESPONSIVE_MS)
    }

    /// When calls were last answered again after a failure; 0 if none has failed.
    pub fn recovered_ms(&self) -> u64 {
        self.recovered_ms
    }

    /// When the oldest call since the last answer was made that is still in flight.
    fn unanswered_since_ms(&self) -> Option<u64> {
        let since = self.in_flight.values().copied();
        since.filter(|&at_ms| at_ms >= self.answered_ms).min()
    }

    /// How long that call has been in flight.
    fn unanswered_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.unanswered_since_ms();
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Whether an answer is overdue or calls fail.
    pub fn is_overdue(&self, now_ms: u64) -> bool {
        self.failed_since_ms.is_some() || self.unanswered_ms(now_ms) >= OVERDUE_MS
    }

    /// What other daemons are told.
    pub fn contact(&self, now_ms: u64) -> StoreContact {
        let unanswered_since_ms = self.unanswered_since_ms();
        let overdue_since_ms = unanswered_since_ms.filter(|_| self.is_overdue(now_ms));
        StoreContact {
            answered_ms: (self.answered_ms > 0).then_some(self.answered_ms),
            failing_since_ms: self.failed_since_ms.or(overdue_since_ms),
        }
    }

    /// Whether a job that is sent now may get no answer, although the store does not count
    /// as unavailable: no call was ever answered, an answer is overdue, or the store has
    /// not answered since another daemon lost it at `lost_elsewhere_ms`.
    pub fn is_in_doubt(&self, lost_elsewhere_ms: Option<u64>, now_ms: u64) -> bool {
        self.answered_ms == 0
            || self.is_overdue(now_ms)
            || lost_elsewhere_ms.is_some_and(|lost_ms| lost_ms > self.answered_ms)
    }

    /// How long a daemon in doubt waits for the answer to a probe before it refuses a job, in
    /// milliseconds.
    pub fn doubt_probe_timeout_ms(&self) -> u64 {
        MIN_PROBE_TIMEOUT_MS.max((PROBE_TIMEOUT_FACTOR * self.usual_latency_ms) as u64)
    }

    /// Whether the last failure was a refusal, which shows that the store answers, and
    /// perhaps refuses this daemon alone.
    pub fn was_refused(&self) -> bool {
        self.refused_ms > self.answered_ms
    }

    /// Whether a job that is sent now would probably get no answer.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        let unresponsive_ms = UNRESPONSIVE_MS.max((TIMEOUT_FACTOR * self.usual_latency_ms) as u64);
        self.is_down(now_ms) || self.unanswered_ms(now_ms) >= unresponsive_ms
    }

    /// Whether a call made at `began_ms` was lost in an outage that has ended.
    pub fn is_lost_in_outage(&self, began_ms: u64) -> bool {
        began_ms + RECOVERY_MARGIN_MS < self.outage_end_ms
    }
}
