//! The owner's lease, trusted only as long as it certainly stands.

/// What a lease holder should do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Ask the store for the lease.
    Ask,
}

/// State of the lease on the holder's side.
#[derive(Clone, Debug)]
pub struct Lease {
    ttl_ms: u64,
    margin_ms: u64,
    asked_ms: Option<u64>,
    ask_after_ms: u64,
    /// The lease certainly stands until then.
    valid_until_ms: u64,
}

impl Lease {
    /// A lease that is not held.
    pub fn new(ttl_ms: u64, margin_ms: u64) -> Self {
        Self {
            ttl_ms,
            margin_ms,
            asked_ms: None,
            ask_after_ms: 0,
            valid_until_ms: 0,
        }
    }

    /// What to do at `now_ms`.
    pub fn step(&self, now_ms: u64) -> LeaseStep {
        match self.asked_ms.is_none() && now_ms >= self.ask_after_ms {
            true => LeaseStep::Ask,
            false => LeaseStep::Wait,
        }
    }

    /// The store was asked.
    pub fn asked(&mut self, now_ms: u64) {
        self.asked_ms = Some(now_ms);
    }

    /// The store granted the lease. It is trusted from before the request was
    /// sent: the store may have begun to count right then, and an owner that
    /// was paused since must not believe that it still holds the lease.
    pub fn granted(&mut self) {
        if let Some(asked_ms) = self.asked_ms.take() {
            self.valid_until_ms = asked_ms + self.ttl_ms.saturating_sub(self.margin_ms);
            self.ask_after_ms = asked_ms + self.ttl_ms / 4;
        }
    }

    /// The store did not grant it; asks again after `wait_ms`.
    pub fn not_granted(&mut self, now_ms: u64, wait_ms: u64) {
        self.asked_ms = None;
        self.ask_after_ms = now_ms + wait_ms;
    }

    /// Whether the lease certainly stands.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms
    }
}
