//! Choosing workers for like tasks: pure, over a view of the room left.
//!
//! Load pattern: tasks of 1, 2, 4 and 8 accelerators share workers of 8, and a
//! few large gangs wait behind a stream of small tasks. Each task goes where it
//! leaves the least room behind (best fit), so whole workers stay whole. Tasks
//! with data on a rack, and gangs that want one rack, take several times as
//! long elsewhere, so they leave their rack only when the caller says so.

use super::Resources;
use crate::core::WorkerKey;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Costs of a place, in accelerators left over beside it; each is larger than
/// any sum of those after it.
const AVOIDED_COST: f64 = 500.0;
const CONFLICT_COST: f64 = 200.0;
/// A worker that may take a task with it that was lost already.
const UNSTEADY_COST: f64 = 10_000.0;
/// Each run that would be lost with a worker that its next task may crash.
const LOST_RUN_COST: f64 = 1_000.0;
/// For work in a hurry: a worker that takes half as long again is worth leaving
/// six accelerators beside the task.
const SLOWNESS_COST: f64 = 12.0;
/// Work with this many times its run time left is on time on any usual worker,
/// and leaves the fast ones to work in a hurry.
const RELAXED: f64 = 2.0;
/// Small tasks fill racks that are taken already, for gangs that want one rack.
const RACK_COST: f64 = 0.05;
/// Room of cores left over breaks ties.
const CORE_COST: f64 = 0.00001;

/// A worker on which tasks may be placed, with the room that this pass has left.
#[derive(Clone, Debug)]
pub struct CandidateWorker {
    /// The worker.
    pub worker: WorkerKey,
    /// The room left.
    pub free: Resources,
    /// Its rack.
    pub rack: Arc<str>,
    /// Run times there against the estimates.
    pub slowness: f64,
    /// Tasks that serve are there.
    pub serves: bool,
    /// Tasks that fill are there.
    pub fills: bool,
    /// Runs there.
    pub runs: u32,
    /// Accelerators free on its rack.
    pub rack_free: u32,
    /// Capacity reserved for gangs that wait.
    pub reserved: Resources,
    /// From when on the reserved capacity is used; 0 for none reserved.
    pub reserved_from_ms: u64,
}

/// A request to place a number of like tasks.
pub struct PlacementRequest<'a> {
    /// The resources that each takes.
    pub resources: Resources,
    /// How many.
    pub count: u32,
    /// When they end, if they start now.
    pub end_ms: u64,
    /// Time that is left to be on time, in run times on a usual worker.
    pub tolerance: f64,
    /// All or none.
    pub gang: bool,
    /// On one rack, if possible.
    pub one_rack: bool,
    /// The rack of the data; empty for none.
    pub data_rack: &'a str,
    /// They may go where they take longer.
    pub may_leave_rack: bool,
    /// They fill.
    pub fills: bool,
    /// They serve.
    pub serves: bool,
    /// They may crash their workers.
    pub on_trial: bool,
    /// Whether a worker may crash by itself, and they were lost with one before.
    pub unsteady: &'a dyn Fn(WorkerKey) -> bool,
    /// Workers on which they failed.
    pub avoid: &'a [WorkerKey],
    /// How many a worker may take, its room aside.
    pub allowed: &'a dyn Fn(WorkerKey) -> u32,
}

/// How many tasks go to one candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Index in the list of candidates.
    pub candidate: usize,
    /// Tasks.
    pub count: u32,
}

impl PlacementRequest<'_> {
    /// How many tasks a candidate takes: room that is kept for others only if they
    /// end before it is used.
    pub fn fit(&self, candidate: &CandidateWorker) -> u32 {
        let free = match candidate.reserved_from_ms {
            0 => candidate.free,
            from_ms if self.end_ms <= from_ms => candidate.free,
            _ => candidate.free.minus(&candidate.reserved),
        };
        let fit = free.times(&self.resources).min(self.count);
        if fit == 0 {
            return 0;
        }
        fit.min((self.allowed)(candidate.worker))
    }

    fn slowness_cost(&self, slowness: f64) -> f64 {
        let relaxed = self.tolerance >= RELAXED && slowness < self.tolerance;
        let sign = if relaxed { -1.0 } else { 1.0 };
        sign * SLOWNESS_COST * (slowness - 1.0)
    }

    fn cost(&self, candidate: &CandidateWorker) -> f64 {
        let left = candidate.free.minus(&self.resources);
        let mut cost = f64::from(left.accelerators) + f64::from(left.cpu_millis) * CORE_COST;
        cost += RACK_COST * f64::from(candidate.rack_free);
        cost += self.slowness_cost(candidate.slowness);
        if (self.unsteady)(candidate.worker) {
            cost += UNSTEADY_COST;
        }
        if self.on_trial {
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
}

/// Places tasks; a gang whole or not at all, others as far as there is room.
pub fn place(candidates: &[CandidateWorker], request: &PlacementRequest<'_>) -> Vec<Placement> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    if !request.data_rack.is_empty() {
        let near: Vec<usize> = on_rack(candidates, &all, request.data_rack);
        let placements = fill(candidates, &near, request, request.count);
        let placed = total(&placements);
        if placed == request.count || (!request.may_leave_rack && !request.gang) {
            return placements;
        }
        if !request.may_leave_rack {
            return Vec::new();
        }
        if !request.gang {
            let far: Vec<usize> = all.into_iter().filter(|at| !near.contains(at)).collect();
            let mut placements = placements;
            placements.extend(fill(candidates, &far, request, request.count - placed));
            return placements;
        }
    }
    if request.one_rack && request.count > 1 {
        if let Some(placements) = place_on_one_rack(candidates, request) {
            return placements;
        }
        if !request.may_leave_rack {
            return Vec::new();
        }
    }
    let placements = fill(candidates, &all, request, request.count);
    if request.gang && total(&placements) < request.count {
        return Vec::new();
    }
    placements
}

fn total(placements: &[Placement]) -> u32 {
    placements.iter().map(|placement| placement.count).sum()
}

fn on_rack(candidates: &[CandidateWorker], all: &[usize], rack: &str) -> Vec<usize> {
    let there = |at: &usize| &*candidates[*at].rack == rack;
    all.iter().copied().filter(there).collect()
}

/// The rack that keeps the fewest accelerators free beside the gang.
fn place_on_one_rack(
    candidates: &[CandidateWorker],
    request: &PlacementRequest<'_>,
) -> Option<Vec<Placement>> {
    let mut racks: BTreeMap<&Arc<str>, Vec<usize>> = BTreeMap::new();
    for (at, candidate) in candidates.iter().enumerate() {
        racks.entry(&candidate.rack).or_default().push(at);
    }
    let mut best: Option<(f64, Vec<Placement>)> = None;
    for there in racks.into_values() {
        let placements = fill(candidates, &there, request, request.count);
        if total(&placements) < request.count {
            continue;
        }
        let free: u32 = there
            .iter()
            .map(|&at| candidates[at].free.accelerators)
            .sum();
        let slowest = placements
            .iter()
            .map(|placement| candidates[placement.candidate].slowness)
            .fold(0.0, f64::max);
        let cost = f64::from(free) + request.slowness_cost(slowest);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, placements));
        }
    }
    best.map(|(_, placements)| placements)
}

/// Takes the cheapest candidates first, each as far as it goes.
fn fill(
    candidates: &[CandidateWorker],
    among: &[usize],
    request: &PlacementRequest<'_>,
    count: u32,
) -> Vec<Placement> {
    let mut costs: Vec<(f64, usize, u32)> = among
        .iter()
        .filter_map(|&at| {
            let fit = request.fit(&candidates[at]);
            (fit > 0).then(|| (request.cost(&candidates[at]), at, fit))
        })
        .collect();
    costs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut left = count;
    let mut placements = Vec::new();
    for (_, candidate, fit) in costs {
        if left == 0 {
            break;
        }
        let count = fit.min(left);
        left -= count;
        placements.push(Placement { candidate, count });
    }
    placements
}
