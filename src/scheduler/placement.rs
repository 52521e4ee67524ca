//! Chooses workers for the similar tasks of a group, without side effects, from the free
//! resources of the candidates.
//!
//! Load pattern: tasks of 1, 2, 4 and 8 accelerators share workers of 8, and a few large
//! gangs wait behind a stream of small tasks. Each task goes where it leaves the fewest
//! accelerators free (best fit), so that empty workers stay empty for gangs. Tasks with
//! data on a rack, and gangs that request one rack, take several times as long
//! elsewhere, so they leave the rack only when the request allows it. Where workers differ
//! in speed, tasks go where their job is on time, work with slack leaves fast workers to
//! work that needs them, and a gang goes to workers of like speed, since it ends with its
//! slowest member.

use super::{
    LogEstimate,
    Resources,
    Timing, //
};
use crate::core::WorkerKey;
use std::collections::BTreeMap;
use std::sync::Arc;

// The cost of placing a task on a candidate is the number of accelerators left free
// beside the task, plus the terms below. Each of the four largest constants exceeds the
// sum of all smaller ones.

/// A worker on which the task failed or hung before.
const AVOIDED_COST: f64 = 500.0;
/// Tasks that fill and tasks that serve on one worker.
const CONFLICT_COST: f64 = 200.0;
/// A worker that crashed lately in an earlier incarnation, for a group of which a task
/// was lost in a crash before.
const CRASH_PRONE_COST: f64 = 10_000.0;
/// Each run that would be lost if the task, which is a suspect, crashed the worker.
const LOST_RUN_COST: f64 = 1_000.0;
/// Utility that the job loses by ending late, for its whole utility.
const LATE_COST: f64 = 100.0;
/// Slowness of a worker beside the utility: a worker on which the task takes half as long
/// again costs as much as six accelerators left free, or as little for work that leaves fast
/// workers to other work.
const SLOWNESS_COST: f64 = 12.0;
/// Slowness beyond this costs no more.
const MAX_SLOWNESS: f64 = 3.0;
/// Work with at least this many times its run time left is on time on any usual worker,
/// and leaves the fast workers to work with less slack.
const RELAXED_SLACK_RATIO: f64 = 2.0;
/// Each accelerator free on the rack: small tasks go to racks that are in use already,
/// and leave empty racks to gangs that request one rack.
const RACK_COST: f64 = 0.05;
/// Each thousandth of a core left free, to break ties.
const CORE_COST: f64 = 0.00001;
/// Workers are alike in speed if their slowness is within this factor.
const LIKE_SPEED: f64 = 1.12;

/// A worker on which tasks may be placed, with the resources that this pass has left.
#[derive(Clone, Debug)]
pub struct CandidateWorker {
    /// The worker.
    pub worker: WorkerKey,
    /// The free resources.
    pub free: Resources,
    /// Its rack.
    pub rack: Arc<str>,
    /// The logarithm of the factor by which run times there exceed those on a usual worker.
    pub slowness: LogEstimate,
    /// Whether most urgent work is on time there.
    pub urgent_on_time: bool,
    /// Whether it has tasks that serve.
    pub serves: bool,
    /// Whether it has tasks that fill.
    pub fills: bool,
    /// Number of runs on it.
    pub runs: u32,
    /// Accelerators free on its rack.
    pub rack_free: u32,
    /// Capacity reserved for waiting gangs.
    pub reserved: Resources,
    /// Time from which the reserved capacity is needed; 0 if none is reserved.
    pub reserved_from_ms: u64,
}

/// A request to place the similar tasks of a group.
pub struct PlacementRequest<'a> {
    /// The resources that each task takes.
    pub resources: Resources,
    /// Number of tasks.
    pub count: u32,
    /// Number of tasks that may be placed where urgent work is on time.
    pub urgent_on_time_limit: u32,
    /// How long the tasks run and when they are late.
    pub timing: Timing,
    /// Factor by which the tasks run longer outside the rack that they ask for.
    pub remote_factor: f64,
    /// How scarce the capacity is on which urgent work is on time, from 0 to 1.
    pub fast_scarcity: f64,
    /// Whether all tasks are placed or none.
    pub gang: bool,
    /// Whether the tasks should be on one rack.
    pub same_rack: bool,
    /// The rack of the data; empty for none.
    pub data_rack: &'a str,
    /// Whether the tasks may leave the rack, where they take longer.
    pub may_leave_rack: bool,
    /// Whether the tasks fill: they take what other tasks on the worker leave unused.
    pub fills: bool,
    /// Whether the tasks serve users under a target for their response times.
    pub serves: bool,
    /// Whether the tasks are suspected of crashing their workers.
    pub suspected: bool,
    /// Whether the group lost a task in a crash before and this worker crashed lately in
    /// an earlier incarnation.
    pub crash_prone: &'a dyn Fn(WorkerKey) -> bool,
    /// Workers on which the tasks failed or hung.
    pub avoid: &'a [WorkerKey],
    /// The number of tasks that a worker may take, apart from its free resources.
    pub allowed: &'a dyn Fn(WorkerKey) -> u32,
}

/// The number of tasks placed on one candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Index in the list of candidates.
    pub candidate: usize,
    /// Number of tasks.
    pub count: u32,
}

impl PlacementRequest<'_> {
    /// Returns how many of the tasks fit on a candidate. Reserved capacity counts only
    /// if the tasks end before it is needed.
    pub fn fit(&self, candidate: &CandidateWorker) -> u32 {
        let free = match candidate.reserved_from_ms {
            0 => candidate.free,
            from_ms if self.timing.end_ms(candidate.slowness.value()) <= from_ms => candidate.free,
            _ => candidate.free.minus(&candidate.reserved),
        };
        let fit = free.count_fitting(&self.resources).min(self.count);
        if fit == 0 {
            return 0;
        }
        fit.min((self.allowed)(candidate.worker))
    }

    /// Cost of a worker's slowness beside the utility lost there. Work that has slack leaves
    /// fast workers free, and so does other non-urgent work as far as they are scarce.
    fn slowness_cost(&self, slowness: f64) -> f64 {
        let slack_ratio = self.timing.slack_ratio();
        let relaxed = slack_ratio >= RELAXED_SLACK_RATIO && slowness < slack_ratio;
        let sign = match (relaxed, self.timing.urgent) {
            (true, _) => -1.0,
            (false, true) => 1.0,
            (false, false) => 1.0 - 2.0 * self.fast_scarcity,
        };
        sign * SLOWNESS_COST * (slowness.min(MAX_SLOWNESS) - 1.0)
    }

    /// Cost of what takes precedence over speed and fit.
    fn precedence_cost(&self, candidate: &CandidateWorker) -> f64 {
        let mut cost = 0.0;
        if (self.crash_prone)(candidate.worker) {
            cost += CRASH_PRONE_COST;
        }
        if self.suspected {
            cost += LOST_RUN_COST * f64::from(candidate.runs);
        }
        if self.avoid.contains(&candidate.worker) {
            cost += AVOIDED_COST;
        }
        if (self.fills && candidate.serves) || (self.serves && candidate.fills) {
            cost += CONFLICT_COST;
        }
        cost
    }

    /// Cost of a task on a candidate. The utility that a gang loses depends on its slowest
    /// member and is no part of it.
    fn cost(&self, candidate: &CandidateWorker) -> f64 {
        let left = candidate.free.minus(&self.resources);
        let mut cost = f64::from(left.accelerators) + f64::from(left.cpu_millis) * CORE_COST;
        cost += RACK_COST * f64::from(candidate.rack_free);
        cost += self.slowness_cost(candidate.slowness.value());
        if !self.is_gang() {
            cost += LATE_COST * (1.0 - self.timing.part_on(candidate.slowness));
        }
        cost + self.precedence_cost(candidate)
    }

    fn is_gang(&self) -> bool {
        self.gang && self.count > 1
    }
}

/// Places a gang whole or not at all, and as many as fit of the tasks of other groups.
pub fn place(candidates: &[CandidateWorker], request: &PlacementRequest<'_>) -> Vec<Placement> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    let remote = PlacementRequest {
        timing: request.timing.longer(request.remote_factor),
        ..*request
    };
    if !request.data_rack.is_empty() {
        let (local, elsewhere) = split_by_rack(candidates, &all, request.data_rack);
        let mut placements = place_among(candidates, &local, request);
        let placed = total(&placements);
        if placed == request.count || !request.may_leave_rack {
            return placements;
        }
        if !request.gang {
            placements.extend(fill(
                candidates,
                &elsewhere,
                &remote,
                request.count - placed,
            ));
            return placements;
        }
        if request.same_rack
            && let Some(placements) = place_on_same_rack(candidates, &remote)
        {
            return placements;
        }
        return place_among(candidates, &all, &remote);
    }
    if request.same_rack && request.count > 1 {
        if let Some(placements) = place_on_same_rack(candidates, request) {
            return placements;
        }
        return match request.may_leave_rack {
            true => place_among(candidates, &all, &remote),
            false => Vec::new(),
        };
    }
    place_among(candidates, &all, request)
}

/// As [`place`], on the candidates at the indices `among`, whatever their racks.
fn place_among(
    candidates: &[CandidateWorker],
    among: &[usize],
    request: &PlacementRequest<'_>,
) -> Vec<Placement> {
    if request.gang {
        let chosen = choose_gang(candidates, among, request);
        return chosen.map_or_else(Vec::new, |chosen| chosen.placements);
    }
    fill(candidates, among, request, request.count)
}

fn total(placements: &[Placement]) -> u32 {
    placements.iter().map(|placement| placement.count).sum()
}

fn split_by_rack(
    candidates: &[CandidateWorker],
    all: &[usize],
    rack: &str,
) -> (Vec<usize>, Vec<usize>) {
    all.iter().partition(|&&at| &*candidates[at].rack == rack)
}

/// Returns the candidates at the indices `among` on which tasks fit, by ascending cost,
/// each with its cost and the number that fits.
fn by_cost(
    candidates: &[CandidateWorker],
    among: &[usize],
    request: &PlacementRequest<'_>,
) -> Vec<(f64, usize, u32)> {
    let with_cost = |&at: &usize| {
        let fit = request.fit(&candidates[at]);
        (fit > 0).then(|| (request.cost(&candidates[at]), at, fit))
    };
    let mut costs: Vec<(f64, usize, u32)> = among.iter().filter_map(with_cost).collect();
    costs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    costs
}

/// Places up to `count` tasks on candidates in the order given, each with as many tasks as
/// fit.
fn fill_in_order(
    candidates: &[CandidateWorker],
    costs: impl Iterator<Item = (f64, usize, u32)>,
    request: &PlacementRequest<'_>,
    count: u32,
) -> Vec<Placement> {
    let mut left = count;
    let mut left_on_time = request.urgent_on_time_limit;
    let mut placements = Vec::new();
    for (_, candidate, fit) in costs {
        if left == 0 {
            break;
        }
        let mut count = fit.min(left);
        if candidates[candidate].urgent_on_time {
            count = count.min(left_on_time);
            left_on_time -= count;
        }
        if count > 0 {
            left -= count;
            placements.push(Placement { candidate, count });
        }
    }
    placements
}

/// Places up to `count` tasks on the candidates `among`, the cheapest first.
fn fill(
    candidates: &[CandidateWorker],
    among: &[usize],
    request: &PlacementRequest<'_>,
    count: u32,
) -> Vec<Placement> {
    let costs = by_cost(candidates, among, request);
    fill_in_order(candidates, costs.into_iter(), request, count)
}

/// Workers for a whole gang.
struct ChosenGang {
    placements: Vec<Placement>,
    /// Cost of what takes precedence over speed and fit.
    precedence: f64,
    /// Mean cost of a task, with the utility lost by the end of the slowest member.
    cost: f64,
    /// The part of `cost` that depends on the speeds.
    time_cost: f64,
}

impl ChosenGang {
    fn is_better_than(&self, other: &Self) -> bool {
        let by_precedence = self.precedence.total_cmp(&other.precedence);
        by_precedence.then(self.cost.total_cmp(&other.cost)).is_lt()
    }
}

/// Returns the slowness up to which a worker is expected to be: one standard deviation above
/// the most likely value.
pub(super) fn cautious_slowness(slowness: LogEstimate) -> f64 {
    (slowness.mean + slowness.variance.sqrt()).exp()
}

/// Returns thresholds that separate these slownesses into ranges of like speed, in ascending
/// order; the last includes all.
pub fn speed_thresholds(slownesses: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sorted: Vec<f64> = slownesses.collect();
    sorted.sort_by(f64::total_cmp);
    let mut thresholds: Vec<f64> = Vec::new();
    let mut first = f64::NEG_INFINITY;
    for slowness in sorted {
        match thresholds.last_mut() {
            Some(last) if slowness <= first * LIKE_SPEED => *last = slowness,
            _ => {
                first = slowness;
                thresholds.push(slowness);
            }
        }
    }
    thresholds
}

/// Returns the best workers among those at the indices `among` for a whole gang: for each
/// threshold of slowness the cheapest ones below it, valued by the end of the slowest.
/// `None` if the gang does not fit.
fn choose_gang(
    candidates: &[CandidateWorker],
    among: &[usize],
    request: &PlacementRequest<'_>,
) -> Option<ChosenGang> {
    let costs = by_cost(candidates, among, request);
    let cautious = |at: usize| cautious_slowness(candidates[at].slowness);
    let mut best: Option<ChosenGang> = None;
    let thresholds = speed_thresholds(costs.iter().map(|&(_, at, _)| cautious(at)));
    for threshold in thresholds.into_iter().rev() {
        let below = costs
            .iter()
            .filter(|&&(_, at, _)| cautious(at) <= threshold);
        let placements = fill_in_order(candidates, below.copied(), request, request.count);
        if total(&placements) < request.count {
            break;
        }
        let chosen = value_of_gang(candidates, placements, request);
        if best.as_ref().is_none_or(|best| chosen.is_better_than(best)) {
            best = Some(chosen);
        }
    }
    best
}

fn value_of_gang(
    candidates: &[CandidateWorker],
    placements: Vec<Placement>,
    request: &PlacementRequest<'_>,
) -> ChosenGang {
    let slownesses: Vec<LogEstimate> = placements
        .iter()
        .map(|placement| candidates[placement.candidate].slowness)
        .collect();
    let mean = |cost: &dyn Fn(&CandidateWorker) -> f64| {
        let costs = placements
            .iter()
            .map(|placement| f64::from(placement.count) * cost(&candidates[placement.candidate]));
        costs.sum::<f64>() / f64::from(request.count.max(1))
    };
    let precedence = mean(&|candidate| request.precedence_cost(candidate));
    let late_cost = match request.is_gang() {
        true => LATE_COST * (1.0 - request.timing.part_of_gang(&slownesses)),
        false => 0.0,
    };
    let cost = mean(&|candidate| request.cost(candidate)) - precedence + late_cost;
    let slowest = slownesses.iter().map(LogEstimate::value);
    let time_cost = late_cost + request.slowness_cost(slowest.fold(0.0, f64::max));
    ChosenGang {
        placements,
        precedence,
        cost,
        time_cost,
    }
}

/// Places all tasks on the rack with the lowest cost: its free accelerators and the end with
/// the slowest worker chosen. Returns `None` if they fit on no rack.
fn place_on_same_rack(
    candidates: &[CandidateWorker],
    request: &PlacementRequest<'_>,
) -> Option<Vec<Placement>> {
    let mut racks: BTreeMap<&Arc<str>, Vec<usize>> = BTreeMap::new();
    for (at, candidate) in candidates.iter().enumerate() {
        racks.entry(&candidate.rack).or_default().push(at);
    }
    let mut best: Option<(f64, Vec<Placement>)> = None;
    for members in racks.into_values() {
        let Some(chosen) = choose_gang(candidates, &members, request) else {
            continue;
        };
        let free: u32 = members
            .iter()
            .map(|&at| candidates[at].free.accelerators)
            .sum();
        let cost = f64::from(free) + chosen.time_cost;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, chosen.placements));
        }
    }
    best.map(|(_, placements)| placements)
}
