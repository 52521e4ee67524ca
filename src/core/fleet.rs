//! The workers of a cell with the indexes that spare a decision the scan.

use super::{
    Index,
    RackKey,
    Worker,
    WorkerKey,
    worker::AcceleratorMask, //
};
use std::collections::HashMap;

/// Which accelerators of a worker a search counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum View {
    /// Free and outside every guarantee: open to any work.
    Surplus,
    /// Free: open to work that can be taken back.
    Free,
    /// Outside every guarantee, and free or held by work that can be taken back.
    Yieldable,
}

impl View {
    const ALL: [View; 3] = [View::Surplus, View::Free, View::Yieldable];

    /// The free accelerators that are open to work that can, or cannot, be
    /// taken back.
    pub fn open_to(yields: bool) -> Self {
        match yields {
            true => View::Free,
            false => View::Surplus,
        }
    }

    /// The accelerators of `worker` that count.
    pub fn mask(self, worker: &Worker) -> AcceleratorMask {
        if !worker.takes_work() {
            return 0;
        }
        match self {
            View::Surplus => worker.free & !worker.pledged,
            View::Free => worker.free,
            View::Yieldable => (worker.free | worker.yielding & !worker.claimed) & !worker.pledged,
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
    views: [Index; 3],
}

impl Fleet {
    /// Adds a worker, or finds it by name; the caller re-reads the indexes
    /// with [`Fleet::reindex`] once all are added.
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
        for view in &mut self.views {
            *view = Index::with_bounds(workers, racks);
        }
        for key in 0..workers {
            self.refresh(WorkerKey(key as u32));
        }
    }

    /// Looks a worker up by the platform's name.
    pub fn find(&self, name: &str) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// The worker of `key`.
    pub fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.index()]
    }

    /// Changes the worker of `key` and brings its indexes up to date.
    pub fn update<R>(&mut self, key: WorkerKey, change: impl FnOnce(&mut Worker) -> R) -> R {
        let result = change(&mut self.workers[key.index()]);
        self.refresh(key);
        result
    }

    fn refresh(&mut self, key: WorkerKey) {
        let worker = &self.workers[key.index()];
        for view in View::ALL {
            // A worker kept for a waiting gang is out of the indexes: only that
            // gang and short work that ends before it find it, by its list.
            let count = match worker.kept_for {
                Some(_) => 0,
                None => view.mask(worker).count_ones() as usize,
            };
            self.views[view as usize].set(key, worker.rack, count);
        }
    }

    /// All workers with their keys.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers
            .iter()
            .enumerate()
            .map(|(at, worker)| (WorkerKey(at as u32), worker))
    }

    /// Number of workers known, lost ones included.
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

    /// The accelerators of `key` that `view` counts, also on a kept worker.
    pub fn mask(&self, view: View, key: WorkerKey) -> AcceleratorMask {
        view.mask(self.worker(key))
    }

    /// The index of `view`; kept workers count nothing in it.
    pub fn index_in(&self, view: View) -> &Index {
        &self.views[view as usize]
    }

    /// An index made for one search, counting what `mask` says of each worker.
    pub fn index_of(&self, mask: impl Fn(&Worker) -> AcceleratorMask) -> Index {
        let mut index = Index::with_bounds(self.workers.len(), self.racks.len());
        for (key, worker) in self.workers() {
            index.set(key, worker.rack, mask(worker).count_ones() as usize);
        }
        index
    }
}
