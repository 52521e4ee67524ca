//! Workers by the number of accelerators that a search may use.

use super::{
    BitSet,
    RackKey,
    WorkerKey,
    worker::MAX_ACCELERATORS_PER_WORKER, //
};

const COUNTS: usize = MAX_ACCELERATORS_PER_WORKER + 1;

/// Counts of usable accelerators, by worker and by rack.
#[derive(Clone, Debug, Default)]
pub struct Index {
    counts: Vec<u8>,
    by_count: Vec<BitSet>,
    rack_at_least: Vec<Vec<u16>>,
    total: u32,
}

impl Index {
    /// An index in which every worker counts nothing.
    pub fn with_bounds(workers: usize, racks: usize) -> Self {
        Self {
            counts: vec![0; workers],
            by_count: vec![BitSet::with_bound(workers); COUNTS],
            rack_at_least: vec![vec![0; racks]; COUNTS],
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
        for least in before.min(count) + 1..=before.max(count) {
            let reach = &mut self.rack_at_least[least][rack.index()];
            if count > before {
                *reach += 1;
            } else {
                *reach -= 1;
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

    /// The same from the last worker down.
    pub fn with_count_down(&self, count: usize) -> impl Iterator<Item = WorkerKey> + '_ {
        self.by_count[count]
            .iter_down()
            .map(|at| WorkerKey(at as u32))
    }

    /// For each rack the number of workers that reach `least`.
    pub fn rack_at_least(&self, least: u16) -> &[u16] {
        &self.rack_at_least[usize::from(least).min(COUNTS - 1)]
    }
}
