//! The platform's key-value service.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use std::rc::Rc;

/// A call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads a value.
    Get {
        /// The key.
        key: String,
    },
    /// Waits until the value's version is above `after_version`, or answers
    /// what there is after `wait_ms`.
    Watch {
        /// The key.
        key: String,
        /// The version that the caller knows.
        after_version: u64,
        /// How long to wait.
        wait_ms: u64,
    },
    /// Writes a value if its version is still `expected_version`.
    CompareAndSwap {
        /// The key.
        key: String,
        /// The version that the caller knows; 0 for none.
        expected_version: u64,
        /// The new value; at most 1 MB.
        value: Bytes,
    },
    /// Takes or renews a lease.
    AcquireLease {
        /// The key.
        key: String,
        /// Who holds it.
        holder: String,
        /// For how long.
        ttl_ms: u64,
    },
    /// Gives a lease up.
    ReleaseLease {
        /// The key.
        key: String,
        /// Who held it.
        holder: String,
    },
}

impl StoreCall {
    /// The kind of call, as counters name it.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::Watch { .. } => "watch",
            Self::CompareAndSwap { .. } => "compare_and_swap",
            Self::AcquireLease { .. } => "acquire_lease",
            Self::ReleaseLease { .. } => "release_lease",
        }
    }
}

/// An answer of the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// The value with its version.
    Value {
        /// Its version, from 1.
        version: u64,
        /// The value.
        value: Bytes,
    },
    /// There is no value; counts as version 0.
    Absent,
    /// The write took effect.
    Written {
        /// The new version.
        version: u64,
    },
    /// The version was another one; nothing was written.
    Conflict,
    /// The lease is the caller's for the time that it asked for.
    Granted,
    /// The lease is somebody else's.
    Held {
        /// Whose.
        holder: String,
    },
    /// The lease is given up.
    Released,
}

/// A call without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreFailure {
    /// The service refused; the call had no effect.
    #[error("the key-value service refuses calls; wait for it to come back")]
    Unavailable,
    /// No answer came; the call may have taken effect.
    #[error("the key-value service did not answer in time; read back what took effect")]
    Timeout,
}

/// The closure that carries calls to the service.
type CallStore = dyn Fn(StoreCall) -> LocalBoxFuture<'static, Result<StoreAnswer, StoreFailure>>;

/// The key-value service behind a closure.
#[derive(Clone)]
pub struct Store {
    call: Rc<CallStore>,
}

impl Store {
    /// A service that `call` carries calls to.
    pub fn from_fn(
        call: impl Fn(StoreCall) -> LocalBoxFuture<'static, Result<StoreAnswer, StoreFailure>> + 'static,
    ) -> Self {
        Self {
            call: Rc::new(call),
        }
    }

    /// Carries one call.
    ///
    /// # Errors
    ///
    /// Tells a call that had no effect from one that may have had.
    pub async fn call(&self, call: StoreCall) -> Result<StoreAnswer, StoreFailure> {
        metrics::counter!("fuchsiaslip_store_calls_total", "call" => call.name()).increment(1);
        (self.call)(call).await
    }
}
