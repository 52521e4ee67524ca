//! Corrects declared run times by those measured per class and client account.
//!
//! Declared run times are hints that can be off by a factor of ten either way.
//! The estimator keeps a moving mean of the logarithm of actual over declared
//! run time, which a single outlier changes little, and corrects later
//! declarations by it.

use super::{
    AccountKey,
    ClassKey, //
};
use std::collections::HashMap;

/// Weight of the latest sample in the moving mean.
const LEARNING_RATE: f64 = 0.2;
/// Bound of the ratio of a sample, in both directions.
const MAX_CORRECTION: f64 = 20.0;

#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    mean_log_ratio: f64,
    samples: u32,
}

/// Corrections of declared run times.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    learned: HashMap<(AccountKey, ClassKey), Learned>,
}

impl Estimator {
    /// Records the actual run time of a finished job.
    pub fn learn(
        &mut self,
        account: AccountKey,
        class: ClassKey,
        declared_ms: u64,
        actual_ms: u64,
    ) {
        let ratio = actual_ms.max(1) as f64 / declared_ms.max(1) as f64;
        let log_ratio = ratio.clamp(1.0 / MAX_CORRECTION, MAX_CORRECTION).ln();
        let learned = self.learned.entry((account, class)).or_default();
        learned.samples += 1;
        // The first samples are averaged with equal weight, so that the initial
        // value of zero has no weight.
        let rate = LEARNING_RATE.max(1.0 / f64::from(learned.samples));
        learned.mean_log_ratio += rate * (log_ratio - learned.mean_log_ratio);
    }

    /// Returns the run time to expect for a declared one.
    pub fn corrected_ms(&self, account: AccountKey, class: ClassKey, declared_ms: u64) -> u64 {
        let correction = self
            .learned
            .get(&(account, class))
            .map_or(1.0, |learned| learned.mean_log_ratio.exp());
        (declared_ms as f64 * correction) as u64
    }
}
