//! Keeps what owners have learned, so that this daemon can go on with it if it takes over.
//!
//! Messages may be lost, arrive late or twice, and the store's values may be older or newer
//! than they: of each worker, queue and account the latest values stay.

use super::learned_frame::LearnedStamp;
use crate::scheduler::{
    Input,
    Learned,
    LearnedAccount,
    LearnedQueue,
    LearnedWorker,
    MAX_LEARNED,
    MAX_LEARNED_AGE_MS, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::sync::Arc;

/// By how much the clocks of daemons may differ. Values of a later time are not kept: they would
/// stay for ever.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 600_000;
/// The least age as which values are passed on. Those of twice the age count as of the same one,
/// and as the oldest of them, so that the number of inputs stays small.
const MIN_AGE_MS: u64 = 8_000;

/// Where values came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LearnedSource {
    /// An owner sent them to this daemon, or this daemon was the owner.
    Owner,
    /// They were read from the store.
    Store,
}

#[derive(Clone, Debug)]
struct Kept<T> {
    stamp: LearnedStamp,
    source: LearnedSource,
    value: T,
}

/// What owners have learned, by name.
#[derive(Clone, Debug, Default)]
pub struct KeptLearned {
    workers: HashMap<Arc<str>, Kept<LearnedWorker>>,
    queues: HashMap<Arc<str>, Kept<LearnedQueue>>,
    accounts: HashMap<Arc<str>, Kept<LearnedAccount>>,
}

/// How much was restored, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RestoredCounts {
    /// Number of workers.
    pub workers: usize,
    /// Number of queues.
    pub queues: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// How many of these values came from owners.
    pub from_owners: usize,
    /// How many came from the store.
    pub from_store: usize,
    /// Age of the youngest value.
    pub youngest_ms: u64,
    /// Age of the oldest value.
    pub oldest_ms: u64,
}

/// Puts a value in place of an older one of the same name.
fn keep<T>(kept: &mut HashMap<Arc<str>, Kept<T>>, name: &Arc<str>, new: Kept<T>) {
    match kept.get_mut(name) {
        Some(known) if known.stamp >= new.stamp => {}
        Some(known) => *known = new,
        None => drop(kept.insert(name.clone(), new)),
    }
}

/// Drops values that are too old, and the oldest ones if there are too many.
fn prune<T>(kept: &mut HashMap<Arc<str>, Kept<T>>, now_ms: u64) {
    kept.retain(|_, known| now_ms < known.stamp.at_ms + MAX_LEARNED_AGE_MS);
    if kept.len() <= MAX_LEARNED {
        return;
    }
    let mut stamps: Vec<LearnedStamp> = kept.values().map(|known| known.stamp).collect();
    let surplus = stamps.len() - MAX_LEARNED;
    let (_, &mut last_dropped, _) = stamps.select_nth_unstable(surplus - 1);
    // Values of one message have the same stamp; some of them may have to go.
    let below = kept.values().filter(|known| known.stamp < last_dropped);
    let mut dropped_of_equal = surplus - below.count();
    kept.retain(|_, known| {
        if known.stamp == last_dropped && dropped_of_equal > 0 {
            dropped_of_equal -= 1;
            return false;
        }
        known.stamp >= last_dropped
    });
}

impl KeptLearned {
    /// Records values. Of each name the ones with the latest stamp stay, in whatever order they
    /// arrive. Values of a stamp in the future are ignored.
    pub fn record(
        &mut self,
        learned: &Learned,
        stamp: LearnedStamp,
        source: LearnedSource,
        now_ms: u64,
    ) {
        if stamp.at_ms > now_ms + MAX_CLOCK_DIFFERENCE_MS {
            return;
        }
        for worker in &learned.workers {
            let value = worker.clone();
            let new = Kept {
                stamp,
                source,
                value,
            };
            keep(&mut self.workers, &worker.name, new);
        }
        for queue in &learned.queues {
            let value = queue.clone();
            let new = Kept {
                stamp,
                source,
                value,
            };
            keep(&mut self.queues, &queue.name, new);
        }
        for account in &learned.accounts {
            let value = account.clone();
            let new = Kept {
                stamp,
                source,
                value,
            };
            keep(&mut self.accounts, &account.name, new);
        }
        prune(&mut self.workers, now_ms);
        prune(&mut self.queues, now_ms);
        prune(&mut self.accounts, now_ms);
    }

    /// Number of the names of which something is kept.
    pub fn len(&self) -> usize {
        self.workers.len() + self.queues.len() + self.accounts.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the inputs of a new owner, the youngest values first, and how much they pass on.
    pub fn inputs(&self, now_ms: u64) -> (Vec<Input>, RestoredCounts) {
        let mut counts = RestoredCounts {
            youngest_ms: u64::MAX,
            ..RestoredCounts::default()
        };
        let mut by_age: BTreeMap<u64, Learned> = BTreeMap::new();
        let mut age_step = |stamp: LearnedStamp, source: LearnedSource| {
            let age_ms = now_ms.saturating_sub(stamp.at_ms);
            counts.youngest_ms = counts.youngest_ms.min(age_ms);
            counts.oldest_ms = counts.oldest_ms.max(age_ms);
            match source {
                LearnedSource::Owner => counts.from_owners += 1,
                LearnedSource::Store => counts.from_store += 1,
            }
            age_ms
                .max(MIN_AGE_MS)
                .checked_next_power_of_two()
                .unwrap_or(u64::MAX)
        };
        for known in self.workers.values() {
            let step = age_step(known.stamp, known.source);
            by_age
                .entry(step)
                .or_default()
                .workers
                .push(known.value.clone());
        }
        for known in self.queues.values() {
            let step = age_step(known.stamp, known.source);
            by_age
                .entry(step)
                .or_default()
                .queues
                .push(known.value.clone());
        }
        for known in self.accounts.values() {
            let step = age_step(known.stamp, known.source);
            let accounts = &mut by_age.entry(step).or_default().accounts;
            accounts.push(known.value.clone());
        }
        counts.workers = self.workers.len();
        counts.queues = self.queues.len();
        counts.accounts = self.accounts.len();
        if self.is_empty() {
            counts.youngest_ms = 0;
        }
        let inputs = by_age.into_iter().map(|(step, mut learned)| {
            // Maps have no order; the same values make the same inputs.
            learned.workers.sort_by(|a, b| a.name.cmp(&b.name));
            learned.queues.sort_by(|a, b| a.name.cmp(&b.name));
            learned.accounts.sort_by(|a, b| a.name.cmp(&b.name));
            Input::Learned {
                learned,
                age_ms: step.min(MAX_LEARNED_AGE_MS - 1),
            }
        });
        (inputs.collect(), counts)
    }
}
