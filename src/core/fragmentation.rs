//! How much of the free capacity the shapes in demand cannot use.
//!
//! For each shape in demand, the accelerators of as many gangs of the shape as
//! fit into what is free, against as many as would fit if the free
//! accelerators were all together. Fragmentation is one minus the mean of the
//! ratios, each shape weighted by its accelerators in demand.

use super::{
    Adjacency,
    Cell,
    Shape,
    View, //
};
use std::collections::HashMap;

/// A run of racks may be this many times as long as the gang needs.
pub(super) const MAX_SPAN_FACTOR: usize = 2;

/// Share of what could be used that cannot, from 0 to 1; 0 without demand.
/// `racks` holds the free accelerators of each worker, rack by rack.
pub fn fragmentation_of(racks: &[Vec<u32>], demand: &[(Shape, f64)]) -> f64 {
    let free: u32 = racks.iter().flatten().sum();
    let (mut usable, mut whole) = (0.0, 0.0);
    for &(shape, weight) in demand {
        let size = shape.accelerators();
        let best = free / size.max(1) * size;
        if best == 0 {
            continue;
        }
        let fitting = (gangs_fitting(racks, &shape) * size).min(best);
        usable += weight * f64::from(fitting) / f64::from(best);
        whole += weight;
    }
    if whole == 0.0 {
        0.0
    } else {
        1.0 - usable / whole
    }
}

fn gangs_fitting(racks: &[Vec<u32>], shape: &Shape) -> u32 {
    let per_worker = u32::from(shape.accelerators_per_worker.max(1));
    let members_in = |rack: &Vec<u32>| -> u32 {
        match shape.workers {
            1 => rack.iter().map(|free| free / per_worker).sum(),
            _ => rack.iter().filter(|&&free| free >= per_worker).count() as u32,
        }
    };
    let by_rack: Vec<u32> = racks.iter().map(members_in).collect();
    let workers = u32::from(shape.workers.max(1));
    match shape.adjacency {
        _ if workers == 1 => by_rack.iter().sum(),
        Adjacency::Anywhere => by_rack.iter().sum::<u32>() / workers,
        Adjacency::Rack => by_rack.iter().map(|&members| members / workers).sum(),
        Adjacency::NeighbouringRacks => {
            let rack_size = racks.iter().map(Vec::len).max().unwrap_or(1).max(1);
            let longest = (workers as usize).div_ceil(rack_size) * MAX_SPAN_FACTOR;
            runs_fitting(by_rack, workers, longest)
        }
    }
}

fn runs_fitting(mut left: Vec<u32>, workers: u32, longest: usize) -> u32 {
    let mut gangs = 0;
    let mut start = 0;
    while start < left.len() {
        let end = (start + longest).min(left.len());
        if left[start..end].iter().sum::<u32>() < workers {
            start += 1;
            continue;
        }
        let mut wanted = workers;
        for members in &mut left[start..end] {
            let taken = wanted.min(*members);
            *members -= taken;
            wanted -= taken;
        }
        gangs += 1;
    }
    gangs
}

impl Cell {
    /// Free accelerators of each worker that takes work, rack by rack.
    pub fn free_by_rack(&self) -> Vec<Vec<u32>> {
        let free = |key| self.fleet.mask(View::Free, key).count_ones();
        let racks = self.fleet.racks().iter();
        racks
            .map(|rack| rack.iter().map(|&key| free(key)).collect())
            .collect()
    }

    /// Fragmentation of the free capacity for the shapes that are waited for
    /// and those that are guaranteed.
    pub fn fragmentation(&self) -> f64 {
        let mut demand: HashMap<Shape, f64> = HashMap::new();
        for (shape, jobs) in self.queue.demand() {
            *demand.entry(shape).or_default() += f64::from(shape.accelerators()) * jobs as f64;
        }
        for (_, pledge) in self.pledges() {
            *demand.entry(pledge.shape).or_default() += f64::from(pledge.shape.accelerators());
        }
        let demand: Vec<(Shape, f64)> = demand.into_iter().collect();
        fragmentation_of(&self.free_by_rack(), &demand)
    }
}
