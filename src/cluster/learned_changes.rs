//! Finds what has changed so much that others have to be told, and divides it into parts.
//!
//! Estimates change a little with every run. Told each time, the values of thousands of workers
//! would fill the link of a small VM and be written to the store all the time.

use super::learned_frame::{
    AccountMessage,
    QueueMessage,
    WorkerMessage, //
};
use crate::scheduler::{
    Learned,
    LearnedAccount,
    LearnedQueue,
    LearnedWorker, //
};
use prost::Message;
use std::collections::{
    BTreeMap,
    HashSet, //
};
use std::sync::Arc;

/// Change of the logarithm of a slowness that is told: a twentieth of the run time.
const SLOWNESS_CHANGE: f64 = 0.05;
/// Change of the logarithm of a variance that is told: by half.
const VARIANCE_CHANGE: f64 = 0.5;
/// Relative change of a count or a sum that is told.
const COUNT_CHANGE: f64 = 0.2;
/// Smallest change of a count that is told.
const MIN_COUNT_CHANGE: f64 = 1.0;
/// Time after which a value is told again although it has not changed: its age counts against it.
const REFRESH_MS: u64 = 3_600_000;
/// Bytes of a repeated field's tag and length.
const FIELD_BYTES: usize = 4;

/// Whether a count has changed so much that it has to be told.
fn is_other_count(told: f64, count: f64) -> bool {
    let change = (count - told).abs();
    change >= MIN_COUNT_CHANGE && change > told * COUNT_CHANGE
}

fn is_other_worker(told: &LearnedWorker, worker: &LearnedWorker) -> bool {
    let (before, now) = (told.slowness, worker.slowness);
    told.incarnation_start_ms != worker.incarnation_start_ms
        || (before.mean - now.mean).abs() >= SLOWNESS_CHANGE
        || (before.variance / now.variance).ln().abs() >= VARIANCE_CHANGE
}

fn is_other_queue(told: &LearnedQueue, queue: &LearnedQueue) -> bool {
    is_other_count(told.run_times.runs(), queue.run_times.runs())
        || is_other_count(told.jobs, queue.jobs)
        || is_other_count(told.mean_work, queue.mean_work)
}

fn is_other_account(told: &LearnedAccount, account: &LearnedAccount) -> bool {
    is_other_count(told.served_work, account.served_work)
}

/// Values by name, each with the time at which it was told.
type ToldValues<T> = BTreeMap<Arc<str>, (u64, T)>;

/// What another daemon, or the store, was told last.
#[derive(Clone, Debug, Default)]
pub struct Told {
    workers: ToldValues<LearnedWorker>,
    queues: ToldValues<LearnedQueue>,
    accounts: ToldValues<LearnedAccount>,
}

/// Whether a value has to be told: it is new, has changed much, or was told long ago.
fn is_due<T>(
    told: &ToldValues<T>,
    name: &str,
    value: &T,
    now_ms: u64,
    is_other: impl Fn(&T, &T) -> bool,
) -> bool {
    told.get(name)
        .is_none_or(|(told_ms, before)| now_ms >= told_ms + REFRESH_MS || is_other(before, value))
}

impl Told {
    /// Returns what has to be told now, of at most about `max_bytes` encoded. The rest is
    /// returned once this is told.
    pub fn untold(&self, learned: &Learned, now_ms: u64, max_bytes: usize) -> Learned {
        let mut left = max_bytes;
        // Returns whether an entry still fits.
        let mut takes = |encoded: usize| match left.checked_sub(encoded + FIELD_BYTES) {
            Some(rest) => {
                left = rest;
                true
            }
            None => false,
        };
        // Queues first: they are few, and each stands for many runs.
        let queues = learned
            .queues
            .iter()
            .filter(|queue| is_due(&self.queues, &queue.name, *queue, now_ms, is_other_queue));
        let queues = queues
            .take_while(|queue| takes(QueueMessage::from(*queue).encoded_len()))
            .cloned()
            .collect();
        let accounts = learned.accounts.iter().filter(|account| {
            is_due(
                &self.accounts,
                &account.name,
                *account,
                now_ms,
                is_other_account,
            )
        });
        let accounts = accounts
            .take_while(|account| takes(AccountMessage::from(*account).encoded_len()))
            .cloned()
            .collect();
        let workers = learned.workers.iter().filter(|worker| {
            is_due(
                &self.workers,
                &worker.name,
                *worker,
                now_ms,
                is_other_worker,
            )
        });
        let workers = workers
            .take_while(|worker| takes(WorkerMessage::from(*worker).encoded_len()))
            .cloned()
            .collect();
        Learned {
            workers,
            queues,
            accounts,
        }
    }

    /// Whether anything has to be told.
    pub fn has_untold(&self, learned: &Learned, now_ms: u64) -> bool {
        !self.untold(learned, now_ms, usize::MAX).is_empty()
    }

    /// Records that these values of `at_ms` were received.
    pub fn record(&mut self, learned: &Learned, at_ms: u64) {
        for worker in &learned.workers {
            let value = (at_ms, worker.clone());
            self.workers.insert(worker.name.clone(), value);
        }
        for queue in &learned.queues {
            let value = (at_ms, queue.clone());
            self.queues.insert(queue.name.clone(), value);
        }
        for account in &learned.accounts {
            let value = (at_ms, account.clone());
            self.accounts.insert(account.name.clone(), value);
        }
    }

    /// Records that these values may or may not have been received: they are told again, however
    /// little they differ from what was received before.
    pub fn forget(&mut self, learned: &Learned) {
        for worker in &learned.workers {
            self.workers.remove(&worker.name);
        }
        for queue in &learned.queues {
            self.queues.remove(&queue.name);
        }
        for account in &learned.accounts {
            self.accounts.remove(&account.name);
        }
    }

    /// Forgets what is not among these values any more, so that the size stays bounded.
    pub fn keep_only(&mut self, learned: &Learned) {
        // Both are bounded; nothing has to be forgotten until more names were told than exist.
        if self.workers.len() > learned.workers.len() {
            let names: HashSet<&Arc<str>> =
                learned.workers.iter().map(|worker| &worker.name).collect();
            self.workers.retain(|name, _| names.contains(name));
        }
        if self.queues.len() > learned.queues.len() {
            let names: HashSet<&Arc<str>> =
                learned.queues.iter().map(|queue| &queue.name).collect();
            self.queues.retain(|name, _| names.contains(name));
        }
        if self.accounts.len() > learned.accounts.len() {
            let names: HashSet<&Arc<str>> = learned
                .accounts
                .iter()
                .map(|account| &account.name)
                .collect();
            self.accounts.retain(|name, _| names.contains(name));
        }
    }
}
