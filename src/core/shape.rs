//! Shapes, which jobs request and accounts are guaranteed: a number of accelerators
//! on each of one or more workers, and how close the workers have to be.

use serde::{
    Deserialize,
    Serialize, //
};

/// How close to each other the members of a gang have to be.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Adjacency {
    /// Any workers of the data centre.
    #[default]
    Anywhere,
    /// Workers of a range of consecutive racks, at most twice as long as needed.
    NeighbouringRacks,
    /// Workers of one rack.
    Rack,
}

/// A number of accelerators on each of one or more workers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Accelerators on each worker.
    pub accelerators_per_worker: u16,
    /// Number of different workers, which is the size of the gang.
    #[serde(default = "one")]
    pub workers: u16,
    /// How close the workers have to be.
    #[serde(default)]
    pub adjacency: Adjacency,
}

fn one() -> u16 {
    1
}

impl Shape {
    /// A shape on one worker.
    pub fn single(accelerators: u16) -> Self {
        Self {
            accelerators_per_worker: accelerators,
            workers: 1,
            adjacency: Adjacency::Rack,
        }
    }

    /// Number of accelerators on all workers together.
    pub fn accelerators(&self) -> u32 {
        u32::from(self.accelerators_per_worker) * u32::from(self.workers)
    }

    /// Whether a gang of this shape fits into the accelerators of any placement of
    /// `outer`.
    pub fn fits_within(&self, outer: &Shape) -> bool {
        let close_enough = self.workers == 1
            || outer.adjacency >= self.adjacency
            || self.adjacency == Adjacency::Anywhere;
        self.accelerators_per_worker <= outer.accelerators_per_worker
            && self.workers <= outer.workers
            && close_enough
    }
}
