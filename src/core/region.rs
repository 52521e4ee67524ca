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

/// The end of the data centre from which a kind of work is placed.
///
/// Work that stays until it ends is placed from the first rack on, work that
/// can be taken back from the last rack down, next to the guarantees. What
/// cannot be moved then does not stand scattered among what can.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// From the first rack on.
    First,
    /// From the last rack down.
    Last,
}

impl End {
    /// The end for work that can or cannot be taken back.
    pub fn of(yields: bool) -> Self {
        match yields {
            true => Self::Last,
            false => Self::First,
        }
    }

    /// Ranks positions: lower is nearer to the end.
    fn rank(self, position: usize) -> i64 {
        match self {
            Self::First => position as i64,
            Self::Last => -(position as i64),
        }
    }
}

/// The tightest set of workers for `shape` among what `index` counts.
pub fn find(fleet: &Fleet, index: &Index, shape: &Shape, end: End) -> Option<Vec<WorkerKey>> {
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
        Adjacency::NeighbouringRacks => tightest_run(fleet, index, shape, end),
    }
}

/// A worker for a single task: one that is in use already rather than a whole
/// one, then one in the rack with the fewest whole workers, so that whole racks
/// stay whole, then the one that is left with the least.
fn best_worker(fleet: &Fleet, index: &Index, per_worker: usize, end: End) -> Option<WorkerKey> {
    (per_worker..=MAX_ACCELERATORS_PER_WORKER)
        .flat_map(|count| {
            let up = (end == End::First).then(|| index.with_count(count));
            let down = (end == End::Last).then(|| index.with_count_down(count));
            let all = up.into_iter().flatten().chain(down.into_iter().flatten());
            all.take(COMPARED_WORKERS)
        })
        .min_by_key(|&key| {
            let worker = fleet.worker(key);
            let whole = worker.all.count_ones() as u16;
            let whole_in_rack = index.rack_at_least(whole)[worker.rack.index()];
            let breaks = worker.free == worker.all && usize::from(whole) != per_worker;
            let rank = end.rank(key.index());
            (breaks, whole_in_rack, index.count(key), rank)
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

fn tightest_rack(fleet: &Fleet, index: &Index, shape: &Shape, end: End) -> Option<Vec<WorkerKey>> {
    let reach = index.rack_at_least(shape.accelerators_per_worker);
    let (rack, _) = reach
        .iter()
        .enumerate()
        .filter(|&(_, &workers)| workers >= shape.workers)
        .min_by_key(|&(rack, &workers)| (workers, end.rank(rack)))?;
    Some(take_workers(fleet, index, rack..rack + 1, shape))
}

/// The shortest run of consecutive racks with enough workers; among equals the
/// one with the fewest to spare.
fn tightest_run(
    fleet: &Fleet,
    index: &Index,
    shape: &Shape,
    end_of: End,
) -> Option<Vec<WorkerKey>> {
    let reach = index.rack_at_least(shape.accelerators_per_worker);
    let wanted = u32::from(shape.workers);
    let longest = longest_run(fleet, shape);
    let mut best: Option<(usize, u32, i64)> = None;
    let (mut start, mut sum) = (0, 0);
    for end in 0..reach.len() {
        sum += u32::from(reach[end]);
        while sum - u32::from(reach[start]) >= wanted && start < end {
            sum -= u32::from(reach[start]);
            start += 1;
        }
        let length = end + 1 - start;
        let candidate = (length, sum, end_of.rank(start));
        if sum >= wanted && length <= longest && best.is_none_or(|best| candidate < best) {
            best = Some(candidate);
        }
    }
    let (length, _, rank) = best?;
    let start = rank.unsigned_abs() as usize;
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
    end_of: End,
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
    let cheapest_from = |start: usize| -> Option<(u64, i64, Vec<WorkerKey>)> {
        let end = (start + longest).min(racks.len());
        let mut found: Vec<(u64, WorkerKey)> = racks[start..end].concat();
        if found.len() < wanted {
            return None;
        }
        found.sort_unstable();
        found.truncate(wanted);
        let sum = found.iter().map(|&(cost, _)| cost).sum();
        let workers = found.into_iter().map(|(_, key)| key).collect();
        Some((sum, end_of.rank(start), workers))
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
