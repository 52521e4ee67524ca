//! State that the threads of a daemon share: small values that are read often.

use crate::config::Configuration;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    AtomicUsize,
    Ordering, //
};
use std::sync::{
    Arc,
    PoisonError,
    RwLock, //
};

/// The shared state of one daemon.
#[derive(Debug, Default)]
pub struct Status {
    configuration: RwLock<Option<Arc<Configuration>>>,
    confirmed_ms: AtomicU64,
    owner_epoch: AtomicU64,
    draining: AtomicBool,
    handed_over: AtomicBool,
    requests: AtomicUsize,
}

impl Status {
    /// The configuration in force here.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let configuration = self.configuration.read();
        configuration
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Version of the configuration in force here; 0 if none is known.
    pub fn configuration_version(&self) -> u64 {
        self.configuration().map_or(0, |c| c.version)
    }

    /// Puts a version in force if it is newer than the current one, and returns whether
    /// it is. An older version never replaces a newer one.
    pub fn put_in_force(&self, configuration: Arc<Configuration>) -> bool {
        let current = self.configuration.write();
        let mut current = current.unwrap_or_else(PoisonError::into_inner);
        let newer = current
            .as_ref()
            .is_none_or(|c| c.version < configuration.version);
        if newer {
            *current = Some(configuration);
        }
        newer
    }

    /// When the version in force was last confirmed to be the latest, in ms.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms.load(Ordering::Acquire)
    }

    /// Records a confirmation of the version in force at `at_ms`.
    pub fn confirm(&self, at_ms: u64) {
        self.confirmed_ms.fetch_max(at_ms, Ordering::AcqRel);
    }

    /// The epoch if this daemon owns its data centre, else 0.
    pub fn owner_epoch(&self) -> u64 {
        self.owner_epoch.load(Ordering::Acquire)
    }

    /// Records the epoch of the ownership; 0 if this daemon is not the owner.
    pub fn set_owner_epoch(&self, epoch: u64) {
        self.owner_epoch.store(epoch, Ordering::Release);
    }

    /// Whether the daemon is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Marks the daemon as draining.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the ownership is handed over.
    pub fn has_handed_over(&self) -> bool {
        self.handed_over.load(Ordering::Acquire)
    }

    /// Records whether the ownership is handed over.
    pub fn set_handed_over(&self, handed_over: bool) {
        self.handed_over.store(handed_over, Ordering::Release);
    }

    /// Number of requests in progress.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard {
            status: self.clone(),
        }
    }
}

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    status: Arc<Status>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.status.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
