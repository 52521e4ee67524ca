//! Whom a tombstone belongs to, how many each submitter may have, and for how long.

use super::store_types::StoredItem;
use crate::scheduler::JobRecord;
use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Most tombstones that one daemon stores for one submitter in the time for which it keeps them.
const MAX_PER_SUBMITTER: usize = 1_024;

/// Whom a job and its tombstones belong to, as a hash of the name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Submitter(pub u64);

impl Submitter {
    /// A client account, which sends its key.
    pub fn account(name: &str) -> Self {
        Self(xxh3_64(format!("account/{name}").as_bytes()))
    }

    /// A public queue, whose clients need no key.
    pub fn queue(name: &str) -> Self {
        Self(xxh3_64(format!("queue/{name}").as_bytes()))
    }

    /// Those whose tombstones keep a job from being stored.
    pub fn all_of(record: &JobRecord) -> Vec<Self> {
        let queue = Self::queue(&record.queue);
        match record.account.is_empty() {
            true => vec![queue],
            false => vec![queue, Self::account(&record.account)],
        }
    }
}

/// Counts the tombstones that a daemon has stored for each submitter.
#[derive(Clone, Debug, Default)]
pub struct TombstoneCounts {
    /// When each of them was stored, oldest first.
    stored_ms: HashMap<Submitter, VecDeque<u64>>,
}

impl TombstoneCounts {
    /// Counts another one, unless the submitter has as many as it may have.
    pub fn admit(&mut self, submitter: Submitter, now_ms: u64, retention_ms: u64) -> bool {
        self.stored_ms.retain(|_, stored_ms| {
            let expired = stored_ms.partition_point(|&at_ms| at_ms + retention_ms <= now_ms);
            stored_ms.drain(..expired);
            !stored_ms.is_empty()
        });
        let stored_ms = self.stored_ms.entry(submitter).or_default();
        let admitted = stored_ms.len() < MAX_PER_SUBMITTER;
        if admitted {
            stored_ms.push_back(now_ms);
        }
        admitted
    }
}

/// How long an owner has known each tombstone. The clocks of daemons differ, so that the time at
/// which another one stored it would not do.
#[derive(Clone, Debug, Default)]
pub struct TombstoneAges {
    /// When each was first listed, by key and revision.
    first_listed_ms: BTreeMap<(String, u64), u64>,
}

impl TombstoneAges {
    /// Records a list, and returns the keys and revisions of those that are older than
    /// `retention_ms`.
    pub fn record(
        &mut self,
        listed: &[StoredItem],
        now_ms: u64,
        retention_ms: u64,
    ) -> Vec<(String, u64)> {
        let known = std::mem::take(&mut self.first_listed_ms);
        for item in listed {
            let name = (item.key.clone(), item.revision);
            let first_ms = known.get(&name).copied().unwrap_or(now_ms);
            self.first_listed_ms.insert(name, first_ms);
        }
        let ages = self.first_listed_ms.iter();
        let old = ages.filter(|&(_, &first_ms)| now_ms >= first_ms + retention_ms);
        old.map(|(name, _)| name.clone()).collect()
    }
}
