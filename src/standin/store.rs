//! Simulates the platform's key-value service.
//!
//! A key's version starts at 1 and increases by one with each write. A write succeeds
//! only if it names the current version, which is 0 for an absent key.

use crate::backend::{
    StoreAnswer,
    StoreCall,
    StoreFailure, //
};
use bytes::Bytes;
use std::collections::HashMap;

/// Faults of the key-value service that can be switched on.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Whether every call is refused.
    pub down: bool,
    /// Number of upcoming writes that take effect but get no answer.
    pub lose_answers: u32,
    /// Number of upcoming calls that have no effect and get no answer.
    pub drop_calls: u32,
    /// Delay of every answer, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    holder: String,
    until_ms: u64,
}

/// State of the key-value service: values with their versions, and leases.
#[derive(Debug, Default)]
pub struct StoreStandIn {
    values: HashMap<String, (u64, Bytes)>,
    leases: HashMap<String, Lease>,
    /// Faults that are switched on.
    pub faults: StoreFaults,
    /// Number of calls so far, by kind.
    pub calls: HashMap<&'static str, u64>,
}

impl StoreStandIn {
    /// Executes one call. A watch does not wait, but returns the current value.
    ///
    /// # Errors
    ///
    /// Returns an error if a fault prevents the call or its answer.
    pub fn handle(&mut self, call: StoreCall, now_ms: u64) -> Result<StoreAnswer, StoreFailure> {
        *self.calls.entry(call.name()).or_default() += 1;
        if self.faults.down {
            return Err(StoreFailure::Unavailable);
        }
        if self.faults.drop_calls > 0 {
            self.faults.drop_calls -= 1;
            return Err(StoreFailure::Timeout);
        }
        let is_write = matches!(call, StoreCall::CompareAndSwap { .. });
        let answer = self.execute(call, now_ms);
        if is_write && self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Err(StoreFailure::Timeout);
        }
        Ok(answer)
    }

    fn execute(&mut self, call: StoreCall, now_ms: u64) -> StoreAnswer {
        match call {
            StoreCall::Get { key } | StoreCall::Watch { key, .. } => match self.values.get(&key) {
                Some((version, value)) => StoreAnswer::Value {
                    version: *version,
                    value: value.clone(),
                },
                None => StoreAnswer::Absent,
            },
            StoreCall::CompareAndSwap {
                key,
                expected_version,
                value,
            } => {
                let version = self.version(&key);
                if version != expected_version {
                    return StoreAnswer::Conflict;
                }
                self.values.insert(key, (version + 1, value));
                StoreAnswer::Written {
                    version: version + 1,
                }
            }
            StoreCall::AcquireLease {
                key,
                holder,
                ttl_ms,
            } => self.acquire(key, holder, now_ms, ttl_ms),
            StoreCall::ReleaseLease { key, holder } => {
                if self.leases.get(&key).is_some_and(|l| l.holder == holder) {
                    self.leases.remove(&key);
                }
                StoreAnswer::Released
            }
        }
    }

    fn acquire(&mut self, key: String, holder: String, now_ms: u64, ttl_ms: u64) -> StoreAnswer {
        let held = self
            .leases
            .get(&key)
            .filter(|lease| lease.until_ms > now_ms && lease.holder != holder);
        if let Some(lease) = held {
            return StoreAnswer::Held {
                holder: lease.holder.clone(),
            };
        }
        let until_ms = now_ms + ttl_ms;
        self.leases.insert(key, Lease { holder, until_ms });
        StoreAnswer::Granted
    }

    /// Returns the version of a key, or 0 if the key is absent.
    pub fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(version, _)| *version)
    }

    /// Ends a lease at once, as if it had expired.
    pub fn expire_lease(&mut self, key: &str) {
        self.leases.remove(key);
    }

    /// Replaces a stored value by the result of `change` and keeps the version, to
    /// simulate damage to the store.
    pub fn damage(&mut self, key: &str, change: impl FnOnce(&Bytes) -> Bytes) {
        if let Some((_, value)) = self.values.get_mut(key) {
            *value = change(value);
        }
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.values.get(key).map(|(_, value)| value.clone())
    }

    /// Returns the keys that have a value, in ascending order.
    pub fn keys(&self) -> Vec<String> {
        let mut keys: Vec<String> = self.values.keys().cloned().collect();
        keys.sort();
        keys
    }
}
