//! Measures fragmentation: the share of free capacity that shapes in demand
//! cannot use.
//!
//! For each shape, the number of gangs that fit into the free accelerators is
//! divided by the number that would fit if all free accelerators were together.
//! Fragmentation is one minus the mean of these ratios, weighted by the number of
//! accelerators in demand for each shape.

use super::{
    Adjacency,
    CapacityView, //
    Cell,
    Shape,
};
use std::collections::HashMap;

/// Maximum length of a range of neighbouring racks, as a multiple of the number of
/// racks that the gang needs.
pub(super) const MAX_RACK_SPAN_FACTOR: usize = 2;

/// The fragmentation for `demand`, a list of shapes with their weights, from 0 to
/// 1; 0 without demand. `racks` holds the free accelerators of each worker, by
/// rack.
pub fn fragmentation_of(racks: &[Vec<u32>], demand: &[(Shape, f64)]) -> f64 {
    let free: u32 = racks.iter().flatten().sum();
    let (mut usable, mut total_weight) = (0.0, 0.0);
    for &(shape, weight) in demand {
        let size = shape.accelerators();
        let best = free / size.max(1) * size;
        if best == 0 {
            continue;
        }
        let fitting = (gangs_fitting(racks, &shape) * size).min(best);
        usable += weight * f64::from(fitting) / f64::from(best);
        total_weight += weight;
    }
    if total_weight == 0.0 {
        0.0
    } else {
        1.0 - usable / total_weight
    }
}

/// Number of gangs of `shape` that fit into the free accelerators.
fn gangs_fitting(racks: &[Vec<u32>], shape: &Shape) -> u32 {
    let per_worker = u32::from(shape.accelerators_per_worker.max(1));
    let members_in = |rack: &Vec<u32>| -> u32 {
        match shape.workers {
            1 => rack.iter().map(|free| free / per_worker).sum(),
            _ => rack.iter().filter(|&&free| free >= per_worker).count() as u32,
        }
    };
    let members_by_rack: Vec<u32> = racks.iter().map(members_in).collect();
    let workers = u32::from(shape.workers.max(1));
    match shape.adjacency {
        _ if workers == 1 => members_by_rack.iter().sum(),
        Adjacency::Anywhere => members_by_rack.iter().sum::<u32>() / workers,
        Adjacency::Rack => members_by_rack
            .iter()
            .map(|&members| members / workers)
            .sum(),
        Adjacency::NeighbouringRacks => {
            let rack_size = racks.iter().map(Vec::len).max().unwrap_or(1).max(1);
            let max_racks = (workers as usize).div_ceil(rack_size) * MAX_RACK_SPAN_FACTOR;
            gangs_in_rack_ranges(members_by_rack, workers, max_racks)
        }
    }
}

/// Number of gangs of `workers` members that fit into ranges of at most `max_racks`
/// racks, where `members_left` holds the number of members that fit into each rack.
fn gangs_in_rack_ranges(mut members_left: Vec<u32>, workers: u32, max_racks: usize) -> u32 {
    let mut gangs = 0;
    let mut start = 0;
    while start < members_left.len() {
        let end = (start + max_racks).min(members_left.len());
        if members_left[start..end].iter().sum::<u32>() < workers {
            start += 1;
            continue;
        }
        let mut wanted = workers;
        for in_rack in &mut members_left[start..end] {
            let taken = wanted.min(*in_rack);
            *in_rack -= taken;
            wanted -= taken;
        }
        gangs += 1;
    }
    gangs
}

impl Cell {
    /// The number of free accelerators of each worker, by rack; 0 for a worker that
    /// accepts no jobs.
    pub fn free_by_rack(&self) -> Vec<Vec<u32>> {
        let free = |key| self.fleet.mask(CapacityView::Free, key).count_ones();
        let racks = self.fleet.racks().iter();
        racks
            .map(|rack| rack.iter().map(|&key| free(key)).collect())
            .collect()
    }

    /// The fragmentation of the free capacity for the shapes of waiting jobs and of
    /// guarantees.
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
