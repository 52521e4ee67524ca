//! The workers of a data centre, with indexes that save a scan of all of them.

use super::{
    Index,
    RackKey,
    Worker,
    WorkerKey,
    worker::AcceleratorMask, //
};
use std::collections::HashMap;

/// A selection of the accelerators of each worker, by holder and pledge.
///
/// A worker that accepts no jobs has none in any view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CapacityView {
    /// Free and outside every pledge: usable by any job.
    Surplus,
    /// Free: usable by reclaimable jobs.
    Free,
    /// Outside every pledge, and either free or held by a reclaimable job.
    Reclaimable,
}

impl CapacityView {
    const ALL: [CapacityView; 3] = [
        CapacityView::Surplus,
        CapacityView::Free,
        CapacityView::Reclaimable,
    ];

    /// The view of the free accelerators that a job may use, by whether it is
    /// reclaimable.
    pub fn free_for(is_reclaimable: bool) -> Self {
        match is_reclaimable {
            true => CapacityView::Free,
            false => CapacityView::Surplus,
        }
    }

    /// The accelerators of `worker` that are in the view.
    pub fn mask(self, worker: &Worker) -> AcceleratorMask {
        if !worker.accepts_jobs() {
            return 0;
        }
        match self {
            CapacityView::Surplus => worker.free & !worker.pledged,
            CapacityView::Free => worker.free,
            CapacityView::Reclaimable => {
                (worker.free | worker.reclaimable & !worker.claimed) & !worker.pledged
            }
        }
    }
}

/// The workers of one data centre.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: Vec<Worker>,
    by_name: HashMap<String, WorkerKey>,
    racks: Vec<Vec<WorkerKey>>,
    rack_names: HashMap<String, RackKey>,
    indexes: [Index; 3],
}

impl Fleet {
    /// Adds a worker unless its name is known, and returns its key. The caller
    /// rebuilds the indexes with [`Fleet::reindex`] once all workers are added.
    pub fn add(&mut self, name: &str, rack: &str, accelerators: u16) -> WorkerKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let next_rack = RackKey(self.racks.len() as u32);
        let rack = *self.rack_names.entry(rack.to_owned()).or_insert(next_rack);
        if rack == next_rack {
            self.racks.push(Vec::new());
        }
        let key = WorkerKey(self.workers.len() as u32);
        self.workers
            .push(Worker::new(name.to_owned(), rack, accelerators));
        self.racks[rack.index()].push(key);
        self.by_name.insert(name.to_owned(), key);
        key
    }

    /// Rebuilds every index.
    pub fn reindex(&mut self) {
        let (workers, racks) = (self.workers.len(), self.racks.len());
        for index in &mut self.indexes {
            *index = Index::with_bounds(workers, racks);
        }
        for key in 0..workers {
            self.update_indexes(WorkerKey(key as u32));
        }
    }

    /// Finds a worker by the platform's name for it.
    pub fn find(&self, name: &str) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// The worker of `key`.
    pub fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.index()]
    }

    /// Changes the worker of `key` and updates the indexes.
    pub fn update<R>(&mut self, key: WorkerKey, change: impl FnOnce(&mut Worker) -> R) -> R {
        let result = change(&mut self.workers[key.index()]);
        self.update_indexes(key);
        result
    }

    fn update_indexes(&mut self, key: WorkerKey) {
        let worker = &self.workers[key.index()];
        for view in CapacityView::ALL {
            // A worker that is reserved for a waiting gang counts nothing in the
            // indexes. That gang and the jobs that backfill find it through the
            // reservation.
            let count = match worker.reserved_for {
                Some(_) => 0,
                None => view.mask(worker).count_ones() as usize,
            };
            self.indexes[view as usize].set(key, worker.rack, count);
        }
    }

    /// All workers with their keys.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers
            .iter()
            .enumerate()
            .map(|(at, worker)| (WorkerKey(at as u32), worker))
    }

    /// Number of known workers, including lost ones.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// The workers of each rack, in rack order.
    pub fn racks(&self) -> &[Vec<WorkerKey>] {
        &self.racks
    }

    /// The accelerators of worker `key` in `view`, also if the worker is reserved.
    pub fn mask(&self, view: CapacityView, key: WorkerKey) -> AcceleratorMask {
        view.mask(self.worker(key))
    }

    /// The index of `view`, in which reserved workers count nothing.
    pub fn view_index(&self, view: CapacityView) -> &Index {
        &self.indexes[view as usize]
    }

    /// Builds an index for one search, of the accelerators that `mask` returns for
    /// each worker.
    pub fn build_index(&self, mask: impl Fn(&Worker) -> AcceleratorMask) -> Index {
        let mut index = Index::with_bounds(self.workers.len(), self.racks.len());
        for (key, worker) in self.workers() {
            index.set(key, worker.rack, mask(worker).count_ones() as usize);
        }
        index
    }
}
