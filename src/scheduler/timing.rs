//! Computes how much of its utility a group keeps on workers of given speeds.
//!
//! Load pattern: some workers take more than twice as long as others, and an urgent job has
//! half its run time of slack: it is on time on some workers and late on others. A gang ends
//! with its slowest member, so what counts is the slowest of several uncertain speeds.
//! Limits: the error of the estimated run time is left out, because the objective is a
//! multiple of the true run time and moves with it.

use super::{
    JobObjective,
    LogEstimate, //
};

/// Points at which the distribution of a gang's slowest member is evaluated.
const STEPS: u32 = 12;
/// Standard deviations around the most likely slowness that are evaluated.
const DEVIATIONS: f64 = 2.5;
/// Slope of the logistic function that is closest to the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.702;

/// The run time of a group's tasks and the time that they have left.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The present time.
    pub now_ms: u64,
    /// Run time on a worker of usual speed.
    pub run_ms: u64,
    /// Time to restore a checkpoint before the run goes on; 0 without a checkpoint.
    pub restore_ms: u64,
    /// When the job is late, and its utility over time.
    pub objective: JobObjective,
    /// Whether the job is urgent.
    pub urgent: bool,
}

impl Timing {
    /// Returns the timing of tasks that run longer by a factor.
    pub fn longer(&self, factor: f64) -> Self {
        Self {
            run_ms: (self.run_ms as f64 * factor) as u64,
            ..*self
        }
    }

    /// Returns when a task ends that starts now on a worker with this slowness.
    pub fn end_ms(&self, slowness: f64) -> u64 {
        self.now_ms + self.restore_ms + (self.run_ms as f64 * slowness) as u64
    }

    /// Returns the time left until the tasks are late, in run times on a usual worker.
    pub fn slack_ratio(&self) -> f64 {
        let left_ms = self.objective.objective_ms.saturating_sub(self.now_ms);
        left_ms as f64 / self.run_ms.max(1) as f64
    }

    /// Returns the part of its utility, from 0 to 1, that a job keeps on average whose task
    /// starts now on a worker with this slowness.
    pub fn part_on(&self, slowness: LogEstimate) -> f64 {
        // The three points of the Gauss-Hermite quadrature.
        let offset = (3.0 * slowness.variance).sqrt();
        let at = |mean: f64| self.objective.part_at(self.end_ms(mean.exp()));
        let outer = at(slowness.mean - offset) + at(slowness.mean + offset);
        at(slowness.mean) * (2.0 / 3.0) + outer / 6.0
    }

    /// Returns the part that a gang keeps on average whose members are on workers with
    /// these slownesses: it ends with its slowest member.
    pub fn part_of_gang(&self, members: &[LogEstimate]) -> f64 {
        let [first, others @ ..] = members else {
            return 0.0;
        };
        if others.is_empty() {
            return self.part_on(*first);
        }
        let bound = |sign: f64| {
            let bounds = members
                .iter()
                .map(move |member| member.mean + sign * DEVIATIONS * member.variance.sqrt());
            bounds.fold(f64::NEG_INFINITY, f64::max)
        };
        let (low, high) = (bound(-1.0), bound(1.0));
        let width = (high - low) / f64::from(STEPS);
        let mut part = 0.0;
        let mut below = 0.0;
        for step in 1..=STEPS {
            let at = low + width * f64::from(step);
            let chance = match step {
                STEPS => 1.0,
                _ => chance_all_below(members, at),
            };
            let end_ms = self.end_ms((at - width / 2.0).exp());
            part += (chance - below) * self.objective.part_at(end_ms);
            below = chance;
        }
        part
    }
}

/// Chance that the slowness of every member is below `at`, a logarithm.
fn chance_all_below(members: &[LogEstimate], at: f64) -> f64 {
    let chance = |member: &LogEstimate| {
        let deviations = (at - member.mean) / member.variance.sqrt().max(1e-6);
        1.0 / (1.0 + (-LOGISTIC_SLOPE * deviations).exp())
    };
    members.iter().map(chance).product()
}
