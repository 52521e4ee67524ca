//! How old what a decision rests on may be.

/// When the scheduler's copy of some state was last known to be current.
#[derive(Clone, Debug, Default)]
pub(super) struct Freshness {
    known_ms: u64,
    /// That this is too long ago was told.
    told: bool,
}

impl Freshness {
    /// Known as it was at this time.
    pub(super) fn of(known_ms: u64) -> Self {
        Self {
            known_ms,
            told: false,
        }
    }

    /// It is known as it was at `known_ms`, or later; whether it was too old to decide by
    /// until now.
    pub(super) fn note(&mut self, known_ms: u64, now_ms: u64, bound_ms: u64) -> bool {
        let was_old = !self.is_fresh(now_ms, bound_ms);
        self.known_ms = self.known_ms.max(known_ms);
        self.told &= !self.is_fresh(now_ms, bound_ms);
        was_old
    }

    /// How long ago it was last known.
    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.known_ms)
    }

    /// Whether it is known lately enough to decide by.
    pub(super) fn is_fresh(&self, now_ms: u64, bound_ms: u64) -> bool {
        self.age_ms(now_ms) < bound_ms
    }

    /// Its age, to be told, once each time that it gets too old.
    pub(super) fn untold_age_ms(&mut self, now_ms: u64, bound_ms: u64) -> Option<u64> {
        let untold = !self.is_fresh(now_ms, bound_ms) && !std::mem::replace(&mut self.told, true);
        untold.then(|| self.age_ms(now_ms))
    }
}
