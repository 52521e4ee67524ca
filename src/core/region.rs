//! Finds sets of workers that together can hold a shape.

use super::{
    Adjacency,
    Fleet,
    Index,
    Shape,
    WorkerKey,
    fragmentation::MAX_RACK_SPAN_FACTOR,
    worker::MAX_ACCELERATORS_PER_WORKER, //
};

/// Maximum number of workers with the same usable count that are compared for a
/// single-worker job.
const COMPARED_WORKERS: usize = 16;

/// The end of the data centre from which jobs are placed.
///
/// Jobs that are not reclaimable are placed from the first rack on, reclaimable
/// jobs from the last rack down, next to the pledges. Jobs that cannot be moved
/// are therefore not scattered among those that can.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PackingEnd {
    /// From the first rack on.
    First,
    /// From the last rack down.
    Last,
}

impl PackingEnd {
    /// The end for reclaimable jobs or for all others.
    pub fn of(is_reclaimable: bool) -> Self {
        match is_reclaimable {
            true => Self::Last,
            false => Self::First,
        }
    }

    /// The rank of a position: lower is closer to this end.
    fn rank(self, position: usize) -> i64 {
        match self {
            Self::First => position as i64,
            Self::Last => -(position as i64),
        }
    }
}

/// Finds workers for `shape` by the counts of `index`, so that as little free
/// capacity as possible is broken up. Returns `None` if the shape does not fit.
pub fn find(
    fleet: &Fleet,
    index: &Index,
    shape: &Shape,
    end: PackingEnd,
) -> Option<Vec<WorkerKey>> {
    let per_worker = usize::from(shape.accelerators_per_worker);
    if per_worker == 0 || per_worker > MAX_ACCELERATORS_PER_WORKER {
        return None;
    }
    if shape.workers == 1 {
        return best_worker(fleet, index, per_worker, end).map(|worker| vec![worker]);
    }
    match shape.adjacency {
        Adjacency::Anywhere => tightest_workers(index, shape),
        Adjacency::Rack => tightest_rack(fleet, index, shape, end),
        Adjacency::NeighbouringRacks => tightest_rack_range(fleet, index, shape, end),
    }
}

/// The best worker for a single-worker shape. Prefers a worker that is partly in
/// use to a wholly free one, then the rack with the fewest wholly usable workers,
/// so that free racks stay free, then the fewest usable accelerators.
fn best_worker(
    fleet: &Fleet,
    index: &Index,
    per_worker: usize,
    end: PackingEnd,
) -> Option<WorkerKey> {
    (per_worker..=MAX_ACCELERATORS_PER_WORKER)
        .flat_map(|count| {
            let up = (end == PackingEnd::First).then(|| index.with_count(count));
            let down = (end == PackingEnd::Last).then(|| index.with_count_descending(count));
            let workers = up.into_iter().flatten().chain(down.into_iter().flatten());
            workers.take(COMPARED_WORKERS)
        })
        .min_by_key(|&key| {
            let worker = fleet.worker(key);
            let all = worker.all.count_ones() as u16;
            let whole_in_rack = index.workers_by_rack(all)[worker.rack.index()];
            let splits_worker = worker.free == worker.all && usize::from(all) != per_worker;
            let rank = end.rank(key.index());
            (splits_worker, whole_in_rack, index.count(key), rank)
        })
}

/// Workers anywhere in the data centre, those with the fewest usable accelerators
/// first.
fn tightest_workers(index: &Index, shape: &Shape) -> Option<Vec<WorkerKey>> {
    let wanted = usize::from(shape.workers);
    let per_worker = usize::from(shape.accelerators_per_worker);
    let found: Vec<WorkerKey> = (per_worker..=MAX_ACCELERATORS_PER_WORKER)
        .flat_map(|count| index.with_count(count))
        .take(wanted)
        .collect();
    (found.len() == wanted).then_some(found)
}

/// Workers of the rack that has enough of them and the fewest to spare.
fn tightest_rack(
    fleet: &Fleet,
    index: &Index,
    shape: &Shape,
    end: PackingEnd,
) -> Option<Vec<WorkerKey>> {
    let workers_by_rack = index.workers_by_rack(shape.accelerators_per_worker);
    let (rack, _) = workers_by_rack
        .iter()
        .enumerate()
        .filter(|&(_, &workers)| workers >= shape.workers)
        .min_by_key(|&(rack, &workers)| (workers, end.rank(rack)))?;
    Some(select_workers(fleet, index, rack..rack + 1, shape))
}

/// Workers of the shortest range of consecutive racks that has enough of them;
/// among ranges of equal length, the one with the fewest to spare.
fn tightest_rack_range(
    fleet: &Fleet,
    index: &Index,
    shape: &Shape,
    packing_end: PackingEnd,
) -> Option<Vec<WorkerKey>> {
    let workers_by_rack = index.workers_by_rack(shape.accelerators_per_worker);
    let wanted = u32::from(shape.workers);
    let max_racks = max_rack_range(fleet, shape);
    let mut best: Option<(usize, u32, i64)> = None;
    let (mut start, mut sum) = (0, 0);
    for end in 0..workers_by_rack.len() {
        sum += u32::from(workers_by_rack[end]);
        while sum - u32::from(workers_by_rack[start]) >= wanted && start < end {
            sum -= u32::from(workers_by_rack[start]);
            start += 1;
        }
        let length = end + 1 - start;
        let candidate = (length, sum, packing_end.rank(start));
        if sum >= wanted && length <= max_racks && best.is_none_or(|best| candidate < best) {
            best = Some(candidate);
        }
    }
    let (length, _, rank) = best?;
    let start = rank.unsigned_abs() as usize;
    Some(select_workers(fleet, index, start..start + length, shape))
}

/// The longest range of racks in which a gang of `shape` counts as adjacent.
fn max_rack_range(fleet: &Fleet, shape: &Shape) -> usize {
    let rack_size = fleet.racks().iter().map(Vec::len).max().unwrap_or(1);
    usize::from(shape.workers).div_ceil(rack_size.max(1)) * MAX_RACK_SPAN_FACTOR
}

/// The set of workers for `shape` with the lowest total cost. A worker whose cost
/// is `None` is excluded.
pub fn find_cheapest(
    fleet: &Fleet,
    shape: &Shape,
    packing_end: PackingEnd,
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
    let max_racks = match shape.adjacency {
        Adjacency::Rack => 1,
        Adjacency::NeighbouringRacks => max_rack_range(fleet, shape),
        Adjacency::Anywhere => racks.len(),
    };
    let cheapest_from = |start: usize| -> Option<(u64, i64, Vec<WorkerKey>)> {
        let end = (start + max_racks).min(racks.len());
        let mut found: Vec<(u64, WorkerKey)> = racks[start..end].concat();
        if found.len() < wanted {
            return None;
        }
        found.sort_unstable();
        found.truncate(wanted);
        let sum = found.iter().map(|&(cost, _)| cost).sum();
        let workers = found.into_iter().map(|(_, key)| key).collect();
        Some((sum, packing_end.rank(start), workers))
    };
    let starts = match shape.adjacency {
        Adjacency::Anywhere => 0..1,
        _ => 0..racks.len(),
    };
    starts
        .filter_map(cheapest_from)
        .min_by_key(|&(sum, rank, _)| (sum, rank))
        .map(|(_, _, workers)| workers)
}

/// The workers of `racks` for `shape`, those with the fewest usable accelerators
/// first.
fn select_workers(
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
