//! Finding workers that together can hold a shape.

use super::{
    Adjacency,
    Fleet,
    Index,
    Shape,
    WorkerKey,
    fragmentation::MAX_SPAN_FACTOR,
    worker::MAX_ACCELERATORS_PER_WORKER, //
};

/// How many workers of one count are compared for the least broken rack.
const COMPARED_WORKERS: usize = 16;

/// The tightest set of workers for `shape` among what `index` counts.
pub fn find(fleet: &Fleet, index: &Index, shape: &Shape) -> Option<Vec<WorkerKey>> {
    let per_worker = usize::from(shape.accelerators_per_worker);
    if per_worker == 0 || per_worker > MAX_ACCELERATORS_PER_WORKER {
        return None;
    }
    if shape.workers == 1 {
        return best_worker(fleet, index, per_worker).map(|worker| vec![worker]);
    }
    match shape.adjacency {
        Adjacency::Anywhere => tightest_workers(index, shape),
        Adjacency::Rack => tightest_rack(fleet, index, shape),
        Adjacency::NeighbouringRacks => tightest_run(fleet, index, shape),
    }
}

/// A worker for a single task: one that is in use already rather than a whole
/// one, then one in the rack with the fewest whole workers, so that whole racks
/// stay whole, then the one that is left with the least.
fn best_worker(fleet: &Fleet, index: &Index, per_worker: usize) -> Option<WorkerKey> {
    (per_worker..=MAX_ACCELERATORS_PER_WORKER)
        .flat_map(|count| index.with_count(count).take(COMPARED_WORKERS))
        .min_by_key(|&key| {
            let worker = fleet.worker(key);
            let whole = worker.all.count_ones() as u16;
            let whole_in_rack = index.rack_at_least(whole)[worker.rack.index()];
            let breaks = worker.free == worker.all && usize::from(whole) != per_worker;
            (breaks, whole_in_rack, index.count(key))
        })
}

fn tightest_workers(index: &Index, shape: &Shape) -> Option<Vec<WorkerKey>> {
    let wanted = usize::from(shape.workers);
    let per_worker = usize::from(shape.accelerators_per_worker);
    let found: Vec<WorkerKey> = (per_worker..=MAX_ACCELERATORS_PER_WORKER)
        .flat_map(|count| index.with_count(count))
        .take(wanted)
        .collect();
    (found.len() == wanted).then_some(found)
}

fn tightest_rack(fleet: &Fleet, index: &Index, shape: &Shape) -> Option<Vec<WorkerKey>> {
    let reach = index.rack_at_least(shape.accelerators_per_worker);
    let (rack, _) = reach
        .iter()
        .enumerate()
        .filter(|&(_, &workers)| workers >= shape.workers)
        .min_by_key(|&(_, &workers)| workers)?;
    Some(take_workers(fleet, index, rack..rack + 1, shape))
}

/// The shortest run of consecutive racks with enough workers; among equals the
/// one with the fewest to spare.
fn tightest_run(fleet: &Fleet, index: &Index, shape: &Shape) -> Option<Vec<WorkerKey>> {
    let reach = index.rack_at_least(shape.accelerators_per_worker);
    let wanted = u32::from(shape.workers);
    let longest = longest_run(fleet, shape);
    let mut best: Option<(usize, u32, usize)> = None;
    let (mut start, mut sum) = (0, 0);
    for end in 0..reach.len() {
        sum += u32::from(reach[end]);
        while sum - u32::from(reach[start]) >= wanted && start < end {
            sum -= u32::from(reach[start]);
            start += 1;
        }
        let length = end + 1 - start;
        let candidate = (length, sum, start);
        if sum >= wanted && length <= longest && best.is_none_or(|best| candidate < best) {
            best = Some(candidate);
        }
    }
    let (length, _, start) = best?;
    Some(take_workers(fleet, index, start..start + length, shape))
}

/// The longest run of racks in which a gang of `shape` counts as adjacent.
fn longest_run(fleet: &Fleet, shape: &Shape) -> usize {
    let rack_size = fleet.racks().iter().map(Vec::len).max().unwrap_or(1);
    usize::from(shape.workers).div_ceil(rack_size.max(1)) * MAX_SPAN_FACTOR
}

/// The set of workers for `shape` with the lowest sum of costs; a worker whose
/// cost is `None` cannot be in it.
pub fn find_cheapest(
    fleet: &Fleet,
    shape: &Shape,
    cost: impl Fn(WorkerKey) -> Option<u64>,
) -> Option<Vec<WorkerKey>> {
    let wanted = usize::from(shape.workers);
    let racks: Vec<Vec<(u64, WorkerKey)>> = fleet
        .racks()
        .iter()
        .map(|rack| {
            rack.iter()
                .filter_map(|&key| Some((cost(key)?, key)))
                .collect()
        })
        .collect();
    let longest = match shape.adjacency {
        Adjacency::Rack => 1,
        Adjacency::NeighbouringRacks => longest_run(fleet, shape),
        Adjacency::Anywhere => racks.len(),
    };
    let cheapest_from = |start: usize| -> Option<(u64, Vec<WorkerKey>)> {
        let end = (start + longest).min(racks.len());
        let mut found: Vec<(u64, WorkerKey)> = racks[start..end].concat();
        if found.len() < wanted {
            return None;
        }
        found.sort_unstable();
        found.truncate(wanted);
        let sum = found.iter().map(|&(cost, _)| cost).sum();
        Some((sum, found.into_iter().map(|(_, key)| key).collect()))
    };
    let starts = match shape.adjacency {
        Adjacency::Anywhere => 0..1,
        _ => 0..racks.len(),
    };
    starts
        .filter_map(cheapest_from)
        .min_by_key(|(sum, _)| *sum)
        .map(|(_, workers)| workers)
}

fn take_workers(
    fleet: &Fleet,
    index: &Index,
    racks: std::ops::Range<usize>,
    shape: &Shape,
) -> Vec<WorkerKey> {
    let mut found: Vec<WorkerKey> = fleet.racks()[racks]
        .iter()
        .flatten()
        .copied()
        .filter(|&key| index.count(key) >= shape.accelerators_per_worker)
        .collect();
    found.sort_by_key(|&key| (index.count(key), key));
    found.truncate(usize::from(shape.workers));
    found
}
