//! How much of the free capacity the shapes in demand cannot use.
//!
//! For each shape in demand, the accelerators of as many gangs of the shape as
//! fit into what is free, against as many as would fit if the free
//! accelerators were all together. Fragmentation is one minus the mean of the
//! ratios, each shape weighted by its accelerators in demand.

use super::{
    Adjacency,
    Cell,
    Fleet,
    Shape,
    View,
    region, //
};
use std::collections::HashMap;

/// Share of what could be used that cannot, from 0 to 1; 0 without demand.
pub fn of_fleet(fleet: &Fleet, demand: &[(Shape, f64)]) -> f64 {
    let free: u32 = fleet
        .workers()
        .map(|(_, worker)| View::Free.mask(worker).count_ones())
        .sum();
    let (mut usable, mut whole) = (0.0, 0.0);
    for &(shape, weight) in demand {
        let size = shape.accelerators();
        let best = free / size.max(1) * size;
        if best == 0 {
            continue;
        }
        let fitting = (gangs_fitting(fleet, &shape) * size).min(best);
        usable += weight * f64::from(fitting) / f64::from(best);
        whole += weight;
    }
    if whole == 0.0 {
        0.0
    } else {
        1.0 - usable / whole
    }
}

fn gangs_fitting(fleet: &Fleet, shape: &Shape) -> u32 {
    let per_worker = u32::from(shape.accelerators_per_worker.max(1));
    let members_in = |rack: &Vec<super::WorkerKey>| -> u32 {
        let free = rack
            .iter()
            .map(|&key| fleet.mask(View::Free, key).count_ones());
        match shape.workers {
            1 => free.map(|free| free / per_worker).sum(),
            _ => free.filter(|&free| free >= per_worker).count() as u32,
        }
    };
    let by_rack: Vec<u32> = fleet.racks().iter().map(members_in).collect();
    let workers = u32::from(shape.workers.max(1));
    match shape.adjacency {
        _ if workers == 1 => by_rack.iter().sum(),
        Adjacency::Anywhere => by_rack.iter().sum::<u32>() / workers,
        Adjacency::Rack => by_rack.iter().map(|&members| members / workers).sum(),
        Adjacency::NeighbouringRacks => {
            runs_fitting(&by_rack, workers, region::longest_run(fleet, shape))
        }
    }
}

fn runs_fitting(by_rack: &[u32], workers: u32, longest: usize) -> u32 {
    let mut left = by_rack.to_vec();
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
        of_fleet(&self.fleet, &demand)
    }
}
