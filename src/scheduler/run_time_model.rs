//! Corrects callers' estimates of run times, queue by queue.
//!
//! Load pattern: on one queue estimates are right within a fifth, on another they are off
//! by a factor of three while the run times themselves hardly differ. So for
//! each queue, the logarithm of the run time is predicted from the logarithm of the
//! estimate by a linear regression over the run times known so far. Limits: until a few
//! run times are known, predictions stay close to the estimates.

use super::LogEstimate;

/// Weight of the prior, under which estimates are right, in run times seen: after about
/// ten run times the data outweigh it.
const PRIOR_RUNS: f64 = 3.0;
/// Variance of the logarithms of the estimates in the prior.
const PRIOR_SPREAD: f64 = 0.25;
/// Variance of the logarithms of true run times around estimates in the prior: a
/// deviation by a third.
const PRIOR_RESIDUAL: f64 = 0.09;
/// Added to the variance of every prediction, however well estimates fitted so far.
const LEAST_RESIDUAL: f64 = 0.01;

/// Largest logarithm of a prediction in milliseconds: 300 years. An estimate may be any number,
/// and sums with the prediction have to stay in range.
const MAX_PREDICTED_LN_MS: f64 = 30.0;
/// Most run times in a model that was stored.
const MAX_RUNS: f64 = 1e9;
/// Largest logarithm of a time in milliseconds: a million years.
const MAX_LN_MS: f64 = 40.0;
/// By how much sums that were stored with less precision may be off, as a factor and beside it.
const STORED_TOLERANCE: f64 = 1.001;
const STORED_ROUNDING: f64 = 1e-6;

/// A regression of the logarithms of run times on those of their estimates, kept as
/// running means and sums.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTimeModel {
    runs: f64,
    mean_estimate: f64,
    mean_time: f64,
    estimate_squares: f64,
    products: f64,
    time_squares: f64,
}

impl RunTimeModel {
    /// Adds a run time that became known, as a logarithm, with its estimate.
    pub fn observe(&mut self, estimated_ms: u64, ln_run_ms: f64) {
        let estimate = logarithm(estimated_ms);
        self.runs += 1.0;
        let off_estimate = estimate - self.mean_estimate;
        let off_time = ln_run_ms - self.mean_time;
        self.mean_estimate += off_estimate / self.runs;
        self.mean_time += off_time / self.runs;
        self.estimate_squares += off_estimate * (estimate - self.mean_estimate);
        self.products += off_estimate * (ln_run_ms - self.mean_time);
        self.time_squares += off_time * (ln_run_ms - self.mean_time);
    }

    /// Returns the number of run times that it was made from.
    pub fn runs(&self) -> f64 {
        self.runs
    }

    /// Returns its running means and sums: the number of run times, the means of estimates and
    /// times, and the sums of squares of estimates, of products and of squares of times.
    pub fn sums(&self) -> [f64; 6] {
        [
            self.runs,
            self.mean_estimate,
            self.mean_time,
            self.estimate_squares,
            self.products,
            self.time_squares,
        ]
    }

    /// Returns the model with these sums, in the order of [`Self::sums`], without the effect of
    /// their rounding: it can make the products greater than the squares allow, and then the
    /// variance of a prediction negative.
    pub fn from_sums(sums: [f64; 6]) -> Self {
        let [
            runs,
            mean_estimate,
            mean_time,
            estimate_squares,
            products,
            time_squares,
        ] = sums;
        let most = (estimate_squares * time_squares).sqrt();
        let products = match products.abs() <= most * STORED_TOLERANCE + STORED_ROUNDING {
            true => products.clamp(-most, most),
            false => products,
        };
        Self {
            runs,
            mean_estimate,
            mean_time,
            estimate_squares,
            products,
            time_squares,
        }
    }

    /// Whether run times can have these sums. Sums of unrelated numbers would predict times
    /// that no caller sees.
    pub fn is_possible(&self) -> bool {
        let is_sum = |sum: f64| (0.0..=self.runs * MAX_LN_MS * MAX_LN_MS).contains(&sum);
        let is_mean = |mean: f64| mean.abs() <= MAX_LN_MS;
        let most = (self.estimate_squares * self.time_squares).sqrt();
        (0.0..=MAX_RUNS).contains(&self.runs)
            && is_mean(self.mean_estimate)
            && is_mean(self.mean_time)
            && is_sum(self.estimate_squares)
            && is_sum(self.time_squares)
            && self.products.abs() <= most * STORED_TOLERANCE + STORED_ROUNDING
    }

    /// Returns the model as if only this part of the run times had been seen.
    pub fn weighted(&self, part: f64) -> Self {
        Self {
            runs: self.runs * part,
            estimate_squares: self.estimate_squares * part,
            products: self.products * part,
            time_squares: self.time_squares * part,
            ..*self
        }
    }

    /// Returns the prediction of the run time for an estimate.
    pub fn predict(&self, estimated_ms: u64) -> LogEstimate {
        let estimate = logarithm(estimated_ms);
        let weight = PRIOR_RUNS * PRIOR_SPREAD;
        let slope = (self.products + weight) / (self.estimate_squares + weight);
        let runs = self.runs + PRIOR_RUNS;
        let bias = (self.mean_time - self.mean_estimate) * self.runs / runs;
        let residual = self.time_squares - slope * (2.0 * self.products)
            + slope * slope * self.estimate_squares;
        let mean_estimate = match self.runs {
            0.0 => estimate,
            _ => self.mean_estimate,
        };
        LogEstimate {
            mean: (mean_estimate + bias + slope * (estimate - mean_estimate))
                .min(MAX_PREDICTED_LN_MS),
            variance: (residual + PRIOR_RUNS * PRIOR_RESIDUAL) / runs + LEAST_RESIDUAL,
        }
    }
}

fn logarithm(estimated_ms: u64) -> f64 {
    (estimated_ms.max(1) as f64).ln()
}
