//! Tracks how recent the state is on which decisions are based.

/// When the scheduler's copy of some state was last known to be current.
#[derive(Clone, Debug, Default)]
pub(super) struct Freshness {
    known_ms: u64,
    /// It has been reported that the state is stale.
    reported: bool,
}

impl Freshness {
    /// Returns the freshness of state that was current at `known_ms`.
    pub(super) fn of(known_ms: u64) -> Self {
        Self {
            known_ms,
            reported: false,
        }
    }

    /// Records that the state was current at `known_ms`, and returns whether it was stale
    /// until now.
    pub(super) fn update(&mut self, known_ms: u64, now_ms: u64, bound_ms: u64) -> bool {
        let was_old = !self.is_fresh(now_ms, bound_ms);
        self.known_ms = self.known_ms.max(known_ms);
        self.reported &= !self.is_fresh(now_ms, bound_ms);
        was_old
    }

    /// Returns the time since the state was last known to be current.
    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.known_ms)
    }

    /// Whether the state is recent enough to base decisions on.
    pub(super) fn is_fresh(&self, now_ms: u64, bound_ms: u64) -> bool {
        self.age_ms(now_ms) < bound_ms
    }

    /// Returns the age of stale state, once each time that it becomes stale.
    pub(super) fn unreported_age_ms(&mut self, now_ms: u64, bound_ms: u64) -> Option<u64> {
        let is_due =
            !self.is_fresh(now_ms, bound_ms) && !std::mem::replace(&mut self.reported, true);
        is_due.then(|| self.age_ms(now_ms))
    }
}
