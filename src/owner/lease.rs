//! The holder's side of the owner lease.
//!
//! The holder treats the lease as expired before the store does, so that no two
//! daemons consider themselves holders at the same time.

/// The next action of a lease holder or candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// No request is due.
    Wait,
    /// Request or renew the lease.
    Acquire,
}

/// State of the lease as its holder knows it.
#[derive(Clone, Debug)]
pub struct Lease {
    ttl_ms: u64,
    margin_ms: u64,
    /// When the request in flight was sent.
    requested_ms: Option<u64>,
    next_request_ms: u64,
    /// End of the time in which the store cannot have expired the lease.
    valid_until_ms: u64,
}

impl Lease {
    /// Creates a lease that is not held. `margin_ms` is how much earlier than the
    /// store the holder treats the lease as expired.
    pub fn new(ttl_ms: u64, margin_ms: u64) -> Self {
        Self {
            ttl_ms,
            margin_ms,
            requested_ms: None,
            next_request_ms: 0,
            valid_until_ms: 0,
        }
    }

    /// Returns what to do at `now_ms`.
    pub fn next_step(&self, now_ms: u64) -> LeaseStep {
        match self.requested_ms.is_none() && now_ms >= self.next_request_ms {
            true => LeaseStep::Acquire,
            false => LeaseStep::Wait,
        }
    }

    /// Records that a request for the lease was sent.
    pub fn requested(&mut self, now_ms: u64) {
        self.requested_ms = Some(now_ms);
    }

    /// Records that the store granted the lease. Its time counts from when the
    /// request was sent, since the store may have granted it at that moment: an
    /// owner that was paused in the meantime must not treat it as still valid.
    pub fn granted(&mut self) {
        if let Some(requested_ms) = self.requested_ms.take() {
            self.valid_until_ms = requested_ms + self.ttl_ms.saturating_sub(self.margin_ms);
            self.next_request_ms = requested_ms + self.ttl_ms / 4;
        }
    }

    /// Records that the store did not grant the lease; the next request is due
    /// after `wait_ms`.
    pub fn not_granted(&mut self, now_ms: u64, wait_ms: u64) {
        self.requested_ms = None;
        self.next_request_ms = now_ms + wait_ms;
    }

    /// Whether the store cannot have expired the lease yet.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.valid_until_ms
    }
}
