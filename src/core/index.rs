//! An index of workers by their number of usable accelerators.

use super::{
    BitSet,
    RackKey,
    WorkerKey,
    worker::MAX_ACCELERATORS_PER_WORKER, //
};

/// Number of possible counts of a worker, from zero to all its accelerators.
const COUNTS: usize = MAX_ACCELERATORS_PER_WORKER + 1;

/// Counts of usable accelerators by worker and by rack.
#[derive(Clone, Debug, Default)]
pub struct Index {
    counts: Vec<u8>,
    by_count: Vec<BitSet>,
    workers_by_rack: Vec<Vec<u16>>,
    total: u32,
}

impl Index {
    /// An index in which every worker counts nothing.
    pub fn with_bounds(workers: usize, racks: usize) -> Self {
        Self {
            counts: vec![0; workers],
            by_count: vec![BitSet::with_bound(workers); COUNTS],
            workers_by_rack: vec![vec![0; racks]; COUNTS],
            total: 0,
        }
    }

    /// Sets the count of one worker.
    pub fn set(&mut self, worker: WorkerKey, rack: RackKey, count: usize) {
        let before = usize::from(self.counts[worker.index()]);
        if before == count {
            return;
        }
        self.by_count[before].remove(worker.index());
        self.by_count[count].insert(worker.index());
        self.counts[worker.index()] = count as u8;
        self.total = self.total + count as u32 - before as u32;
        for min_count in before.min(count) + 1..=before.max(count) {
            let rack_workers = &mut self.workers_by_rack[min_count][rack.index()];
            if count > before {
                *rack_workers += 1;
            } else {
                *rack_workers -= 1;
            }
        }
    }

    /// The count of `worker`.
    pub fn count(&self, worker: WorkerKey) -> u16 {
        u16::from(self.counts[worker.index()])
    }

    /// The sum of all counts.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Workers whose count is exactly `count`.
    pub fn with_count(&self, count: usize) -> impl Iterator<Item = WorkerKey> + '_ {
        self.by_count[count].iter().map(|at| WorkerKey(at as u32))
    }

    /// Workers whose count is exactly `count`, from the last worker to the first.
    pub fn with_count_descending(&self, count: usize) -> impl Iterator<Item = WorkerKey> + '_ {
        self.by_count[count]
            .iter_descending()
            .map(|at| WorkerKey(at as u32))
    }

    /// For each rack, the number of workers whose count is at least `min_count`.
    pub fn workers_by_rack(&self, min_count: u16) -> &[u16] {
        &self.workers_by_rack[usize::from(min_count).min(COUNTS - 1)]
    }
}
