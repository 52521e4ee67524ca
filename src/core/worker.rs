//! The state of one worker: for each of its accelerators, the job that holds it,
//! the gang that has claimed it and the pledge that it belongs to.
//!
//! An accelerator has at most one holder. A gang claims accelerators that a
//! preempted job still holds, and becomes their holder when the job releases them.

use super::{
    JobKey,
    PledgeKey,
    RackKey, //
};

/// Maximum number of accelerators of a worker.
pub const MAX_ACCELERATORS_PER_WORKER: usize = 16;

/// A set of a worker's accelerators, one bit each.
pub type AcceleratorMask = u16;

/// Whether a worker may receive jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerHealth {
    /// Accepts jobs.
    Healthy,
    /// Several different jobs failed here in a row; accepts no jobs until `until_ms`.
    Quarantined {
        /// When the worker accepts jobs again, on probation.
        until_ms: u64,
    },
    /// Draining: accepts no new jobs and finishes those that it runs.
    Leaving,
    /// Its lease expired or the platform no longer lists it.
    Lost,
}

/// The state of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The platform's name of the worker.
    pub name: String,
    /// Its rack.
    pub rack: RackKey,
    /// All accelerators of the worker.
    pub all: AcceleratorMask,
    /// Accelerators without a holder.
    pub free: AcceleratorMask,
    /// Accelerators that are pledged to an account.
    pub pledged: AcceleratorMask,
    /// Accelerators held by reclaimable jobs.
    pub reclaimable: AcceleratorMask,
    /// Accelerators that a waiting gang gets as soon as their holder releases them.
    pub claimed: AcceleratorMask,
    /// The waiting gang for which the worker is reserved, if any.
    pub reserved_for: Option<JobKey>,
    /// Whether it may receive jobs.
    pub health: WorkerHealth,
    /// Different jobs that failed here since the last success.
    pub failed_jobs: Vec<JobKey>,
    holders: [Option<JobKey>; MAX_ACCELERATORS_PER_WORKER],
    claims: [Option<JobKey>; MAX_ACCELERATORS_PER_WORKER],
    pledges: [Option<PledgeKey>; MAX_ACCELERATORS_PER_WORKER],
}

/// The positions of the set bits of `mask`.
pub(super) fn bits(mask: AcceleratorMask) -> impl Iterator<Item = usize> {
    (0..MAX_ACCELERATORS_PER_WORKER).filter(move |bit| mask >> bit & 1 == 1)
}

/// The first `count` accelerators of `mask`.
pub(super) fn lowest_bits(mask: AcceleratorMask, count: u16) -> AcceleratorMask {
    bits(mask)
        .take(usize::from(count))
        .fold(0, |chosen, bit| chosen | 1 << bit)
}

impl Worker {
    /// A healthy worker with `accelerators` accelerators, all of them free.
    pub fn new(name: String, rack: RackKey, accelerators: u16) -> Self {
        let count = u32::from(accelerators).min(MAX_ACCELERATORS_PER_WORKER as u32);
        let all = ((1u32 << count) - 1) as AcceleratorMask;
        Self {
            name,
            rack,
            all,
            free: all,
            pledged: 0,
            reclaimable: 0,
            claimed: 0,
            reserved_for: None,
            health: WorkerHealth::Healthy,
            failed_jobs: Vec::new(),
            holders: [None; MAX_ACCELERATORS_PER_WORKER],
            claims: [None; MAX_ACCELERATORS_PER_WORKER],
            pledges: [None; MAX_ACCELERATORS_PER_WORKER],
        }
    }

    /// Whether new jobs may be placed here.
    pub fn accepts_jobs(&self) -> bool {
        self.health == WorkerHealth::Healthy
    }

    /// The accelerators, free or held, that a job may use: all if the job is
    /// reclaimable, otherwise those outside every pledge. Empty while the worker
    /// accepts no jobs.
    pub fn usable_by(&self, is_reclaimable: bool) -> AcceleratorMask {
        match (self.accepts_jobs(), is_reclaimable) {
            (false, _) => 0,
            (true, true) => self.all,
            (true, false) => self.all & !self.pledged,
        }
    }

    /// The job that holds `accelerator`.
    pub fn holder(&self, accelerator: usize) -> Option<JobKey> {
        self.holders[accelerator]
    }

    /// The gang that has claimed `accelerator` from its holder.
    pub fn claimant(&self, accelerator: usize) -> Option<JobKey> {
        self.claims[accelerator]
    }

    /// The pledge to which `accelerator` belongs.
    pub fn pledge(&self, accelerator: usize) -> Option<PledgeKey> {
        self.pledges[accelerator]
    }

    /// The jobs that hold accelerators of `mask`, without duplicates.
    pub fn holders_of(&self, mask: AcceleratorMask) -> Vec<JobKey> {
        let mut jobs: Vec<JobKey> = bits(mask).filter_map(|bit| self.holders[bit]).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Accelerators that `job` holds.
    pub fn held_by(&self, job: JobKey) -> AcceleratorMask {
        bits(self.all)
            .filter(|&bit| self.holders[bit] == Some(job))
            .fold(0, |mask, bit| mask | 1 << bit)
    }

    /// Makes `job` the holder of the accelerators of `mask`, which must be free.
    pub(super) fn hold(&mut self, mask: AcceleratorMask, job: JobKey, is_reclaimable: bool) {
        debug_assert_eq!(
            mask & !self.free,
            0,
            "an accelerator has at most one holder"
        );
        self.free &= !mask;
        if is_reclaimable {
            self.reclaimable |= mask;
        }
        for bit in bits(mask) {
            self.holders[bit] = Some(job);
        }
    }

    /// Takes the accelerators of `mask` from their holder. Claimed ones pass to
    /// their claimants; returns each claimant with the accelerators it received.
    pub(super) fn release(&mut self, mask: AcceleratorMask) -> Vec<(JobKey, AcceleratorMask)> {
        let mut transferred: Vec<(JobKey, AcceleratorMask)> = Vec::new();
        self.reclaimable &= !mask;
        for bit in bits(mask) {
            self.holders[bit] = self.claims[bit].take();
            match self.holders[bit] {
                Some(job) => match transferred.iter_mut().find(|(to, _)| *to == job) {
                    Some((_, received)) => *received |= 1 << bit,
                    None => transferred.push((job, 1 << bit)),
                },
                None => self.free |= 1 << bit,
            }
        }
        self.claimed &= !mask;
        transferred
    }

    /// Claims the accelerators of `mask` for `job`, which gets them when their
    /// holders release them.
    pub(super) fn claim(&mut self, mask: AcceleratorMask, job: JobKey) {
        self.claimed |= mask;
        for bit in bits(mask) {
            self.claims[bit] = Some(job);
        }
    }

    /// Drops all claims of `job`.
    pub(super) fn release_claims(&mut self, job: JobKey) {
        for bit in bits(self.claimed) {
            if self.claims[bit] == Some(job) {
                self.claims[bit] = None;
                self.claimed &= !(1 << bit);
            }
        }
    }

    /// Marks the accelerators that `job` holds as reclaimable or not.
    pub(super) fn set_reclaimable(&mut self, job: JobKey, is_reclaimable: bool) {
        let held = self.held_by(job);
        if is_reclaimable {
            self.reclaimable |= held;
        } else {
            self.reclaimable &= !held;
        }
    }

    /// Sets or clears the pledge to which the accelerators of `mask` belong.
    pub(super) fn set_pledge(&mut self, mask: AcceleratorMask, pledge: Option<PledgeKey>) {
        for bit in bits(mask) {
            self.pledges[bit] = pledge;
        }
        if pledge.is_some() {
            self.pledged |= mask;
        } else {
            self.pledged &= !mask;
        }
    }
}
