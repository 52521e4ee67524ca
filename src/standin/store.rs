//! A stand-in for the platform's key-value service.

use crate::backend::{
    StoreAnswer,
    StoreCall,
    StoreFailure, //
};
use bytes::Bytes;
use std::collections::HashMap;

/// What the service can be told to do wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Refuses every call.
    pub down: bool,
    /// Lets so many writes take effect without answering them.
    pub lose_answers: u32,
    /// Lets so many calls pass by without effect or answer.
    pub drop_calls: u32,
    /// Answers only after this time.
    pub delay_ms: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    holder: String,
    until_ms: u64,
}

/// Values, versions and leases.
#[derive(Debug, Default)]
pub struct StoreStandIn {
    values: HashMap<String, (u64, Bytes)>,
    leases: HashMap<String, Lease>,
    /// Its fault switches.
    pub faults: StoreFaults,
    /// Calls by kind so far.
    pub calls: HashMap<&'static str, u64>,
}

impl StoreStandIn {
    /// Carries one call; a watch answers what there is.
    ///
    /// # Errors
    ///
    /// A fault switch is on.
    pub fn handle(&mut self, call: StoreCall, now_ms: u64) -> Result<StoreAnswer, StoreFailure> {
        *self.calls.entry(call.name()).or_default() += 1;
        if self.faults.down {
            return Err(StoreFailure::Unavailable);
        }
        if self.faults.drop_calls > 0 {
            self.faults.drop_calls -= 1;
            return Err(StoreFailure::Timeout);
        }
        let writes = matches!(call, StoreCall::CompareAndSwap { .. });
        let answer = self.carry_out(call, now_ms);
        if writes && self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Err(StoreFailure::Timeout);
        }
        Ok(answer)
    }

    fn carry_out(&mut self, call: StoreCall, now_ms: u64) -> StoreAnswer {
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

    /// Version of a key; 0 when absent.
    pub fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |(version, _)| *version)
    }

    /// Lets a lease lapse at once.
    pub fn lapse(&mut self, key: &str) {
        self.leases.remove(key);
    }

    /// Damages a stored value: `change` edits it in place of a write.
    pub fn damage(&mut self, key: &str, change: impl FnOnce(&Bytes) -> Bytes) {
        if let Some((_, value)) = self.values.get_mut(key) {
            *value = change(value);
        }
    }

    /// The stored value of a key.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.values.get(key).map(|(_, value)| value.clone())
    }

    /// Keys in use, in order.
    pub fn keys(&self) -> Vec<String> {
        let mut keys: Vec<String> = self.values.keys().cloned().collect();
        keys.sort();
        keys
    }
}
