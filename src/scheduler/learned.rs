//! Defines what an owner has learned of a fleet and passes on to the next owner.
//!
//! It is advice: no promise rests on it, and an owner without it behaves as at the first start
//! of the fleet.

use super::{
    LogEstimate,
    RunTimeModel, //
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Age from which nothing is taken from an earlier owner: loads and workers change with the
/// day.
pub const MAX_LEARNED_AGE_MS: u64 = 24 * 3_600_000;
/// Most workers, queues or accounts each that are passed on: twice the largest fleet.
pub const MAX_LEARNED: usize = 16_384;
/// How long the value of a worker that has not registered is held.
const HOLD_MS: u64 = 600_000;
/// Longest name of a worker, queue or account.
const MAX_NAME_BYTES: usize = 256;
/// Largest logarithm of a worker's slowness: a factor of about 50.
const MAX_LN_SLOWNESS: f64 = 4.0;
/// Largest variance of such a logarithm, and the smallest one, which further runs can change.
const MAX_VARIANCE: f64 = 4.0;
const MIN_VARIANCE: f64 = 1e-4;
/// By how much the variance has grown at [`MAX_LEARNED_AGE_MS`]: a fifth either way.
const AGE_VARIANCE: f64 = 0.04;
/// Largest count of jobs.
const MAX_COUNT: f64 = 1e9;
/// Largest work, in thousandths of a core times milliseconds: a thousand cores for a year.
const MAX_WORK: f64 = 1e17;

/// What an owner has learned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learned {
    /// Workers of which something is known.
    pub workers: Vec<LearnedWorker>,
    /// Queues with jobs.
    pub queues: Vec<LearnedQueue>,
    /// Client accounts that were served recently.
    pub accounts: Vec<LearnedAccount>,
}

/// What is known of one incarnation of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedWorker {
    /// The worker's name.
    pub name: Arc<str>,
    /// When the incarnation started, since the Unix epoch; `None` where the platform does not
    /// say.
    pub incarnation_start_ms: Option<u64>,
    /// The logarithm of the factor by which run times there exceed those on a usual worker.
    pub slowness: LogEstimate,
}

/// What is known of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedQueue {
    /// The queue's name.
    pub name: Arc<str>,
    /// How far callers' estimates of run times are off.
    pub run_times: RunTimeModel,
    /// Number of jobs seen.
    pub jobs: f64,
    /// Their mean work, in thousandths of a core times milliseconds.
    pub mean_work: f64,
}

/// What is known of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedAccount {
    /// The account's name.
    pub name: Arc<str>,
    /// Work that was recently done for it, in thousandths of a core times milliseconds; older
    /// work counts for less.
    pub served_work: f64,
}

impl Learned {
    /// Whether nothing was learned.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty() && self.queues.is_empty() && self.accounts.is_empty()
    }

    /// Returns the number of workers, queues and accounts.
    pub fn len(&self) -> usize {
        self.workers.len() + self.queues.len() + self.accounts.len()
    }

    /// Returns what can be used of these values at this age: those that are possible, with
    /// less certainty the older they are, and at most [`MAX_LEARNED`] of each kind.
    pub fn aged(self, age_ms: u64) -> Self {
        if age_ms >= MAX_LEARNED_AGE_MS {
            return Self::default();
        }
        let age = age_ms as f64 / MAX_LEARNED_AGE_MS as f64;
        let workers = self.workers.into_iter().take(MAX_LEARNED);
        let queues = self.queues.into_iter().take(MAX_LEARNED);
        let accounts = self.accounts.into_iter().take(MAX_LEARNED);
        Self {
            workers: workers.filter_map(|worker| worker.aged(age)).collect(),
            queues: queues.filter_map(|queue| queue.aged(age)).collect(),
            accounts: accounts.filter(LearnedAccount::is_possible).collect(),
        }
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// Whether a number is finite and from 0 to `most`; false for NaN.
fn is_within(value: f64, most: f64) -> bool {
    (0.0..=most).contains(&value)
}

impl LearnedWorker {
    /// Whether a worker with these values can exist.
    pub fn is_possible(&self) -> bool {
        let LogEstimate { mean, variance } = self.slowness;
        is_name(&self.name)
            && is_within(mean.abs(), MAX_LN_SLOWNESS)
            && variance > 0.0
            && is_within(variance, MAX_VARIANCE)
    }

    /// Returns the values after `age`, a part of [`MAX_LEARNED_AGE_MS`]: the variance has
    /// grown.
    fn aged(mut self, age: f64) -> Option<Self> {
        if !self.is_possible() {
            return None;
        }
        let grown = self.slowness.variance + age * AGE_VARIANCE;
        self.slowness.variance = grown.max(MIN_VARIANCE);
        Some(self)
    }

    /// Whether this may be the incarnation that started at `start_ms`, as far as known.
    pub fn is_of_incarnation(&self, start_ms: Option<u64>) -> bool {
        match (self.incarnation_start_ms, start_ms) {
            (Some(learned_ms), Some(start_ms)) => learned_ms == start_ms,
            _ => true,
        }
    }
}

impl LearnedQueue {
    /// Whether a queue with these values can exist.
    pub fn is_possible(&self) -> bool {
        is_name(&self.name)
            && self.run_times.is_possible()
            && is_within(self.jobs, MAX_COUNT)
            && is_within(self.mean_work, MAX_WORK)
    }

    /// Returns the values after `age`, a part of [`MAX_LEARNED_AGE_MS`], as if fewer runs and
    /// jobs had been seen.
    fn aged(mut self, age: f64) -> Option<Self> {
        if !self.is_possible() {
            return None;
        }
        self.run_times = self.run_times.weighted(1.0 - age);
        self.jobs *= 1.0 - age;
        Some(self)
    }
}

impl LearnedAccount {
    /// Whether an account with these values can exist.
    pub fn is_possible(&self) -> bool {
        is_name(&self.name) && is_within(self.served_work, MAX_WORK)
    }
}

/// What earlier owners learned of workers that have not shown their incarnation yet.
#[derive(Debug, Default)]
pub(super) struct HeldWorkers {
    /// By worker, with the time at which the value was received.
    workers: BTreeMap<Arc<str>, (u64, LearnedWorker)>,
    /// Slowness was restored or withdrawn, and what is assumed of the other workers may differ.
    pub is_estimate_due: bool,
}

impl HeldWorkers {
    /// Holds a value until the worker shows its incarnation. Beyond [`MAX_LEARNED`] workers it
    /// is dropped.
    pub fn hold(&mut self, worker: LearnedWorker, now_ms: u64) {
        if self.workers.len() < MAX_LEARNED || self.workers.contains_key(&worker.name) {
            self.workers.insert(worker.name.clone(), (now_ms, worker));
        }
    }

    /// The held value of a worker.
    pub fn get(&self, name: &str) -> Option<&LearnedWorker> {
        self.workers.get(name).map(|(_, worker)| worker)
    }

    /// Holds the value of a worker no longer.
    pub fn remove(&mut self, name: &str) {
        self.workers.remove(name);
    }

    /// Drops the values that were held for too long.
    pub fn drop_old(&mut self, now_ms: u64) {
        self.workers
            .retain(|_, &mut (since_ms, _)| now_ms < since_ms + HOLD_MS);
    }

    /// All held values.
    pub fn all(&self) -> impl Iterator<Item = &LearnedWorker> {
        self.workers.values().map(|(_, worker)| worker)
    }
}
