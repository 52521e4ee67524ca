//! Estimates how much longer runs take on each worker than on a usual one, and how far
//! the workers of a fleet differ.
//!
//! Load pattern: in one fleet all workers are alike, in another a third of them take 2.4
//! times as long as the rest, and nothing reports it. So the spread of the speeds is
//! estimated from the workers' own observations (empirical Bayes), and each worker's
//! estimate is shrunk towards the fleet, or towards workers like it, by that spread. A
//! deviation from what a worker has shown before counts once it has lasted. Limits: a
//! worker whose first runs here are slow only for a while is taken as slow until its
//! runs are normal again; a few dozen observations are needed to tell speeds by likeness.

use super::LogEstimate;
use std::collections::BTreeMap;

/// Variance of the logarithms of workers' speeds before anything is known: about that of
/// a service where a third of the workers are 1.25 times as fast as usual and a third
/// 1.25 times as slow.
const INITIAL_SPREAD: f64 = 0.04;
/// Weight of the initial spread, in workers.
const INITIAL_WORKERS: f64 = 4.0;
/// Bounds on the learned spread. The lower one, speeds that differ by a seventh, is that at
/// which a run time counts as known; the upper one is a factor of 3.
const SPREAD_BOUNDS: (f64, f64) = (0.02, 1.0);
/// Degrees of freedom of the t distribution by which outliers weigh less.
const TAIL_FREEDOM: f64 = 4.0;
/// An observation further than this many standard deviations from what the worker has
/// shown before has another cause, or its speed has changed.
const OUTLIER_DEVIATIONS: f64 = 3.0;
/// Observations at least this far apart show that a deviation lasts: longer than a stall,
/// and about one run.
const LASTING_MS: u64 = 3_000;
/// Least variance of what is known of a worker: observations share errors.
const LEAST_VARIANCE: f64 = 0.002;
/// Growth of the variance of what is known of a worker, per second: by a twentieth in
/// about five minutes.
const DRIFT_VARIANCE_PER_S: f64 = 1e-5;
/// Least number of workers of which something is known before likeness is judged.
const MIN_LIKENESS_WORKERS: usize = 8;
/// The variance ratio of an analysis of variance has to exceed 1 by this many of its
/// standard deviations.
const LIKENESS_DEVIATIONS: f64 = 3.0;
/// Passes of the estimation of the spread, after which it changes by less than a percent.
const SPREAD_PASSES: usize = 20;

/// Greatest logarithm, and its standard deviation, that an observation may have: a factor
/// of some 20,000 is an error of a clock.
const MAX_LOGARITHM: f64 = 10.0;

/// Number of ways in which workers can be alike: kind, rack, data centre.
pub const LIKENESSES: usize = 3;

/// Evidence on one worker, older evidence counted for less.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Evidence {
    mean: f64,
    variance: f64,
    at_ms: u64,
}

impl Evidence {
    fn of(observed: LogEstimate, at_ms: u64) -> Self {
        Self {
            mean: observed.mean,
            variance: observed.variance.max(LEAST_VARIANCE),
            at_ms,
        }
    }

    /// Returns what is known at a later time.
    fn aged(self, now_ms: u64) -> Self {
        let since_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        Self {
            variance: self.variance + DRIFT_VARIANCE_PER_S * since_s,
            at_ms: now_ms.max(self.at_ms),
            ..self
        }
    }

    fn agrees(&self, observed: LogEstimate) -> bool {
        let deviation = observed.mean - self.mean;
        let variance = self.variance + observed.variance;
        deviation.abs() <= OUTLIER_DEVIATIONS * variance.sqrt()
    }

    fn combined(self, observed: LogEstimate) -> Self {
        let weight = self.variance / (self.variance + observed.variance);
        Self {
            mean: self.mean + weight * (observed.mean - self.mean),
            variance: (self.variance * (1.0 - weight)).max(LEAST_VARIANCE),
            ..self
        }
    }
}

/// A deviation from what a worker has shown before, which may last or pass.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Deviation {
    evidence: Evidence,
    since_ms: u64,
    observations: u32,
}

/// A lasting change of a worker's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedChange {
    /// The factor by which run times exceeded the usual ones before.
    pub from: f64,
    /// The factor now.
    pub to: f64,
    /// Number of observations that show it.
    pub observations: u32,
    /// Time from the first to the last of them.
    pub lasted_ms: u64,
}

/// What is known of the speed of one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerSpeed {
    prior: LogEstimate,
    known: Option<Evidence>,
    deviation: Option<Deviation>,
    /// What was known before the last change, to which a passing slowdown returns.
    former: Option<Evidence>,
    estimate: LogEstimate,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        let prior = LogEstimate {
            mean: 0.0,
            variance: INITIAL_SPREAD,
        };
        Self {
            prior,
            known: None,
            deviation: None,
            former: None,
            estimate: prior,
        }
    }
}

impl WorkerSpeed {
    /// Returns the estimate of the logarithm of the factor by which run times there
    /// exceed the usual ones.
    pub fn estimate(&self) -> LogEstimate {
        self.estimate
    }

    /// Returns what the worker's own runs show; `None` if nothing was observed.
    pub fn observed(&self) -> Option<LogEstimate> {
        self.known.map(|known| LogEstimate {
            mean: known.mean,
            variance: known.variance,
        })
    }

    /// Takes over what an earlier owner observed; ignored if it is not finite.
    pub fn restore(&mut self, observed: LogEstimate, now_ms: u64) {
        if is_sound(observed) && self.known.is_none() {
            self.known = Some(Evidence::of(observed, now_ms));
            self.update_estimate();
        }
    }

    /// Sets what is assumed of the worker apart from its own runs.
    pub fn set_prior(&mut self, prior: LogEstimate) {
        self.prior = prior;
        self.update_estimate();
    }

    /// Adds an observation of a run there. Returns a change of the speed that has lasted
    /// long enough to count; an observation that is not finite is ignored.
    pub fn observe(&mut self, observed: LogEstimate, now_ms: u64) -> Option<SpeedChange> {
        if !is_sound(observed) {
            return None;
        }
        let before = self.estimate;
        let Some(known) = self.known.map(|known| known.aged(now_ms)) else {
            let total = self.prior.variance + observed.variance;
            let off = observed.mean - self.prior.mean;
            let variance = observed.variance / tail_weight(off * off / total).min(1.0);
            let observed = LogEstimate {
                variance,
                ..observed
            };
            self.known = Some(Evidence::of(observed, now_ms));
            self.update_estimate();
            return None;
        };
        if known.agrees(observed) {
            self.known = Some(known.combined(observed));
            self.deviation = None;
            self.update_estimate();
            return None;
        }
        let former = self.former.map(|former| former.aged(now_ms));
        if let Some(former) = former.filter(|former| former.agrees(observed)) {
            // A slowdown that was taken as lasting is over.
            self.former = None;
            return self.accept(
                former.combined(observed),
                before,
                Deviation {
                    evidence: former,
                    since_ms: now_ms,
                    observations: 1,
                },
                now_ms,
            );
        }
        let deviation = self
            .deviation
            .filter(|held| held.evidence.agrees(observed))
            .map_or(
                Deviation {
                    evidence: Evidence::of(observed, now_ms),
                    since_ms: now_ms,
                    observations: 1,
                },
                |held| Deviation {
                    evidence: held.evidence.aged(now_ms).combined(observed),
                    since_ms: held.since_ms,
                    observations: held.observations + 1,
                },
            );
        if now_ms.saturating_sub(deviation.since_ms) < LASTING_MS {
            self.deviation = Some(deviation);
            return None;
        }
        self.former = Some(known);
        self.accept(deviation.evidence, before, deviation, now_ms)
    }

    fn accept(
        &mut self,
        known: Evidence,
        before: LogEstimate,
        shown: Deviation,
        now_ms: u64,
    ) -> Option<SpeedChange> {
        self.known = Some(known);
        self.deviation = None;
        self.update_estimate();
        Some(SpeedChange {
            from: before.value(),
            to: self.estimate.value(),
            observations: shown.observations,
            lasted_ms: now_ms.saturating_sub(shown.since_ms),
        })
    }

    fn update_estimate(&mut self) {
        self.estimate = match self.known {
            Some(known) => {
                let weight = self.prior.variance / (self.prior.variance + known.variance);
                LogEstimate {
                    mean: self.prior.mean + weight * (known.mean - self.prior.mean),
                    variance: self.prior.variance * (1.0 - weight),
                }
            }
            None => self.prior,
        };
    }
}

fn is_sound(observed: LogEstimate) -> bool {
    // A comparison with NaN is false.
    observed.mean.abs() <= MAX_LOGARITHM
        && observed.variance > 0.0
        && observed.variance <= MAX_LOGARITHM * MAX_LOGARITHM
}

/// Returns the weight of an observation by its squared distance in variances: that of a t
/// distribution, so that a few outliers count little.
pub fn tail_weight(squared_distance: f64) -> f64 {
    (TAIL_FREEDOM + 1.0) / (TAIL_FREEDOM + squared_distance)
}

/// Returns the likely variance of the logarithms of workers' speeds by what is known of
/// each; near the initial one while little is known.
pub fn spread_of(known: &[LogEstimate]) -> f64 {
    let mut spread = INITIAL_SPREAD;
    for _ in 0..SPREAD_PASSES {
        let weights = known.iter().map(|one| 1.0 / (spread + one.variance));
        let sum = weights.clone().sum::<f64>() + INITIAL_WORKERS / INITIAL_SPREAD;
        let centre = weights
            .zip(known)
            .map(|(weight, one)| weight * one.mean)
            .sum::<f64>()
            / sum;
        let mut squares = INITIAL_WORKERS * INITIAL_SPREAD;
        let mut workers = INITIAL_WORKERS;
        for one in known {
            let total = spread + one.variance;
            let off = (one.mean - centre).powi(2);
            // The expected square of the worker's own deviation; it is near the spread for a
            // worker of which little is known, which thus changes nothing.
            let shrunk = (spread / total).powi(2) * off * tail_weight(off / total).min(1.0);
            squares += shrunk + spread * one.variance / total;
            workers += 1.0;
        }
        spread = (squares / workers).clamp(SPREAD_BOUNDS.0, SPREAD_BOUNDS.1);
    }
    spread
}

/// The speeds of workers that are alike in one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Likes {
    workers: f64,
    sum: f64,
    squares: f64,
}

impl Likes {
    fn add(&mut self, mean: f64) {
        self.workers += 1.0;
        self.sum += mean;
        self.squares += mean * mean;
    }
}

/// How much of the spread a likeness tells, and the speeds by it.
#[derive(Clone, Debug, PartialEq)]
pub struct Likeness {
    groups: BTreeMap<u64, Likes>,
    /// Variance between groups, as a part of the whole.
    share: f64,
    centre: f64,
}

impl Likeness {
    /// Analyses the variance of speeds by group.
    pub fn of(rows: &[(u64, f64)]) -> Self {
        let mut groups: BTreeMap<u64, Likes> = BTreeMap::new();
        let mut all = Likes::default();
        for &(group, mean) in rows {
            groups.entry(group).or_default().add(mean);
            all.add(mean);
        }
        let centre = all.sum / all.workers.max(1.0);
        let likes = groups.values();
        let between: f64 = likes
            .clone()
            .map(|one| one.workers * (one.sum / one.workers - centre).powi(2))
            .sum();
        let within: f64 = likes
            .clone()
            .map(|one| one.squares - one.sum * one.sum / one.workers)
            .sum();
        let group_freedom = groups.len() as f64 - 1.0;
        let own_freedom = all.workers - groups.len() as f64;
        let mut share = 0.0;
        if rows.len() >= MIN_LIKENESS_WORKERS && group_freedom > 0.0 && own_freedom > 0.0 {
            let within = (within / own_freedom).max(LEAST_VARIANCE);
            let ratio = between / group_freedom / within;
            let error = (2.0 / group_freedom + 2.0 / own_freedom).sqrt();
            if ratio > 1.0 + LIKENESS_DEVIATIONS * error {
                let sizes: f64 = likes.map(|one| one.workers * one.workers).sum();
                let size = (all.workers - sizes / all.workers) / group_freedom;
                let between = (ratio - 1.0) * within / size;
                share = between / (between + within);
            }
        }
        Self {
            groups,
            share,
            centre,
        }
    }

    /// Returns how much of the spread it tells, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns what to assume of a worker of a group, apart from what it has shown itself.
    pub fn prior(&self, group: u64, own: Option<f64>, spread: f64) -> LogEstimate {
        let mut likes = self.groups.get(&group).copied().unwrap_or_default();
        if let Some(own) = own {
            likes.workers -= 1.0;
            likes.sum -= own;
        }
        if likes.workers < 1.0 || self.share <= 0.0 {
            return LogEstimate {
                mean: 0.0,
                variance: spread,
            };
        }
        let (between, within) = (self.share * spread, (1.0 - self.share) * spread);
        let weight = between / (between + within / likes.workers);
        let group_mean = likes.sum / likes.workers;
        LogEstimate {
            mean: self.centre + weight * (group_mean - self.centre),
            variance: (within + between * (1.0 - weight)).max(SPREAD_BOUNDS.0),
        }
    }
}

/// What is known of the speeds of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSpeeds {
    /// Variance of the logarithms of the workers' speeds.
    pub spread: f64,
    /// Number of workers of which something is known.
    pub known: usize,
    /// How much of the spread the workers' likeness tells, from 0 to 1.
    pub likeness: f64,
    /// When to estimate the spread next.
    pub estimate_at_ms: u64,
    /// The spread that was logged last.
    pub logged_spread: f64,
    /// The number of known workers that was logged last.
    pub logged_known: usize,
}

impl Default for FleetSpeeds {
    fn default() -> Self {
        Self {
            spread: INITIAL_SPREAD,
            known: 0,
            likeness: 0.0,
            estimate_at_ms: 0,
            logged_spread: INITIAL_SPREAD,
            logged_known: 0,
        }
    }
}

impl FleetSpeeds {
    /// Estimates the spread of all workers' speeds anew and updates each worker's prior by
    /// it. Each worker comes with its groups in all ways of being alike.
    pub fn estimate(&mut self, workers: &mut [(&mut WorkerSpeed, [u64; LIKENESSES])]) {
        let rows: Vec<(LogEstimate, [u64; LIKENESSES])> = workers
            .iter()
            .filter_map(|(speed, groups)| Some((speed.observed()?, *groups)))
            .collect();
        let known: Vec<LogEstimate> = rows.iter().map(|(known, _)| *known).collect();
        self.known = known.len();
        self.spread = spread_of(&known);
        let sound = rows.iter().filter(|(one, _)| one.variance <= self.spread);
        let sound: Vec<_> = sound.collect();
        let likenesses: [Likeness; LIKENESSES] = std::array::from_fn(|at| {
            let rows: Vec<_> = sound
                .iter()
                .map(|(one, groups)| (groups[at], one.mean))
                .collect();
            Likeness::of(&rows)
        });
        let best = (0..LIKENESSES).max_by(|&a, &b| {
            let (a, b) = (likenesses[a].share, likenesses[b].share);
            a.total_cmp(&b)
        });
        let best = best.unwrap_or_default();
        self.likeness = likenesses[best].share;
        for (speed, groups) in workers {
            let own = speed.observed();
            let own = own.filter(|one| one.variance <= self.spread);
            let own = own.map(|one| one.mean);
            speed.set_prior(likenesses[best].prior(groups[best], own, self.spread));
        }
    }
}

/// A member of a gang: its worker's estimated slowness and the logarithm of its run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GangMember {
    /// Slowness of the worker by what was known before.
    pub slowness: LogEstimate,
    /// Whether its own runs have shown something of it.
    pub known: bool,
    /// Logarithm of the run time there, with its variance.
    pub run_time: LogEstimate,
}

/// Compares the members of a gang, whose tasks do the same amount of work. Returns the run
/// time on a usual worker, and for each member the slowness that its progress shows beside
/// the others.
pub fn compare_members(
    prior: LogEstimate,
    members: &[GangMember],
) -> (LogEstimate, Vec<LogEstimate>) {
    // Workers that are not known may differ by more than the fleet has shown so far.
    let unknown: Vec<f64> = members
        .iter()
        .filter(|member| !member.known)
        .map(|member| member.run_time.mean - member.slowness.mean)
        .collect();
    let count = unknown.len() as f64;
    let mean = unknown.iter().sum::<f64>() / count.max(1.0);
    let squares: f64 = unknown.iter().map(|one| (one - mean).powi(2)).sum();
    let seen_variance = squares / (count - 1.0).max(1.0);
    let slowness_variance = |member: &GangMember| match member.known {
        true => member.slowness.variance,
        false => member.slowness.variance.max(seen_variance),
    };
    let usual: Vec<LogEstimate> = members
        .iter()
        .map(|member| LogEstimate {
            mean: member.run_time.mean - member.slowness.mean,
            variance: slowness_variance(member) + member.run_time.variance,
        })
        .collect();
    let mut sorted: Vec<f64> = usual.iter().map(|one| one.mean).collect();
    sorted.sort_by(f64::total_cmp);
    // The lower median, since only few workers are slow for a while.
    let mut centre = sorted
        .get(sorted.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(prior.mean);
    let mut precisions: Vec<f64> = Vec::new();
    let (mut precision, mut sum) = (0.0, 0.0);
    for _ in 0..3 {
        precisions = usual
            .iter()
            .map(|one| {
                let weight = tail_weight((one.mean - centre).powi(2) / one.variance);
                weight.min(1.0) / one.variance
            })
            .collect();
        precision = 1.0 / prior.variance + precisions.iter().sum::<f64>();
        sum = prior.mean / prior.variance
            + usual
                .iter()
                .zip(&precisions)
                .map(|(one, own)| one.mean * own)
                .sum::<f64>();
        centre = sum / precision;
    }
    let shown = members.iter().zip(&usual).zip(&precisions);
    let shown = shown.map(|((member, usual), own)| {
        // The run time by the other members and the estimate, without this member.
        let others = precision - own;
        LogEstimate {
            mean: member.run_time.mean - (sum - usual.mean * own) / others,
            variance: 1.0 / others + member.run_time.variance,
        }
    });
    let run_time = LogEstimate {
        mean: sum / precision,
        variance: 1.0 / precision,
    };
    (run_time, shown.collect())
}
