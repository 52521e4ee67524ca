//! Calls and answers of the platform's key-value service.

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
    /// Waits until the version of the value is above `after_version`; after `wait_ms`
    /// the service answers with the current value.
    Watch {
        /// The key.
        key: String,
        /// The version that the caller knows.
        after_version: u64,
        /// How long to wait, in milliseconds.
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
    /// Acquires or renews a lease.
    AcquireLease {
        /// The key.
        key: String,
        /// Name of the holder.
        holder: String,
        /// Duration of the lease, in milliseconds.
        ttl_ms: u64,
    },
    /// Releases a lease.
    ReleaseLease {
        /// The key.
        key: String,
        /// Name of the holder.
        holder: String,
    },
}

impl StoreCall {
    /// Returns the kind of call as the label of the metrics names it.
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
        /// Its version; the first one is 1.
        version: u64,
        /// The value.
        value: Bytes,
    },
    /// There is no value under the key, which counts as version 0.
    Absent,
    /// The write took effect.
    Written {
        /// The new version.
        version: u64,
    },
    /// The value has another version than expected; nothing was written.
    Conflict,
    /// The caller holds the lease for the requested duration.
    Granted,
    /// Another holder has the lease.
    Held {
        /// Name of that holder.
        holder: String,
    },
    /// The lease is released.
    Released,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreFailure {
    /// The service refused the call or was not reached; the call had no effect.
    #[error("the key-value service is unavailable; wait until it accepts calls again")]
    Unavailable,
    /// No answer came; the call may have taken effect.
    #[error("the key-value service did not answer in time; read back whether the call took effect")]
    Timeout,
}

/// The closure that sends calls to the service.
type CallStore = dyn Fn(StoreCall) -> LocalBoxFuture<'static, Result<StoreAnswer, StoreFailure>>;

/// The key-value service, called through a closure.
#[derive(Clone)]
pub struct Store {
    call: Rc<CallStore>,
}

impl Store {
    /// Creates a service to which `call` sends the calls.
    pub fn from_fn(
        call: impl Fn(StoreCall) -> LocalBoxFuture<'static, Result<StoreAnswer, StoreFailure>> + 'static,
    ) -> Self {
        Self {
            call: Rc::new(call),
        }
    }

    /// Sends one call and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`StoreFailure::Unavailable`] if the call had no effect, and
    /// [`StoreFailure::Timeout`] if it may have taken effect.
    pub async fn call(&self, call: StoreCall) -> Result<StoreAnswer, StoreFailure> {
        metrics::counter!("fuchsiaslip_store_calls_total", "call" => call.name()).increment(1);
        (self.call)(call).await
    }
}
