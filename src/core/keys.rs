//! Keys of the objects of a cell, and the identity of a job.

use super::arena::ArenaKey;
use std::fmt;

/// Identity of a job within its cell: the epoch of the owner that accepted it
/// and a sequence number, so that no two owners create the same identity.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

impl JobId {
    const SEQUENCE_BITS: u32 = 32;

    /// Creates an identity from the owner's `epoch` and a sequence number.
    pub fn new(epoch: u64, sequence: u32) -> Self {
        Self(epoch << Self::SEQUENCE_BITS | u64::from(sequence))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Key of a job in the cell's arena. Becomes stale when the job is deleted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobKey {
    index: u32,
    generation: u32,
}

impl ArenaKey for JobKey {
    fn new(index: u32, generation: u32) -> Self {
        Self { index, generation }
    }

    fn index(self) -> u32 {
        self.index
    }

    fn generation(self) -> u32 {
        self.generation
    }
}

/// Index of a worker in the fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerKey(pub u32);

/// Index of a rack; racks with consecutive keys are neighbours.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RackKey(pub u32);

/// Index of a client account.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AccountKey(pub u16);

/// Index of a class of work.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassKey(pub u8);

/// Index of a pledge, which is one instance of a guaranteed shape.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PledgeKey(pub u16);

impl WorkerKey {
    /// Returns the key as an index into a slice.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

impl RackKey {
    /// Returns the key as an index into a slice.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

impl AccountKey {
    /// Returns the key as an index into a slice.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl ClassKey {
    /// Returns the key as an index into a slice.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl PledgeKey {
    /// Returns the key as an index into a slice.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}
