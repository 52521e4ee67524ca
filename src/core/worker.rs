//! One worker: who holds, claims or is pledged each of its accelerators.

use super::{
    JobKey,
    PledgeKey,
    RackKey, //
};

/// The most accelerators a worker can have.
pub const MAX_ACCELERATORS_PER_WORKER: usize = 16;

/// A set of a worker's accelerators, one bit each.
pub type AcceleratorMask = u16;

/// Whether a worker may receive work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerHealth {
    /// Takes work.
    Healthy,
    /// Fails what it starts; takes none until `until_ms`, then one job.
    Quarantined {
        /// When probation begins.
        until_ms: u64,
    },
    /// Leaving; finishes what it runs.
    Leaving,
    /// Its lease ended or it left the platform's list.
    Lost,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The platform's name of the worker.
    pub name: String,
    /// Its rack.
    pub rack: RackKey,
    /// All its accelerators.
    pub all: AcceleratorMask,
    /// Accelerators without a holder.
    pub free: AcceleratorMask,
    /// Accelerators that belong to the witness of some guarantee.
    pub pledged: AcceleratorMask,
    /// Accelerators held by work that can be taken back.
    pub yielding: AcceleratorMask,
    /// Accelerators that a waiting gang has claimed from their holder.
    pub claimed: AcceleratorMask,
    /// The gang for which the worker is kept, if any.
    pub kept_for: Option<JobKey>,
    /// Whether it may receive work.
    pub health: WorkerHealth,
    /// Different jobs that failed here in a row.
    pub failed_jobs: Vec<JobKey>,
    holders: [Option<JobKey>; MAX_ACCELERATORS_PER_WORKER],
    claims: [Option<JobKey>; MAX_ACCELERATORS_PER_WORKER],
    pledges: [Option<PledgeKey>; MAX_ACCELERATORS_PER_WORKER],
}

/// The positions of the set bits of `mask`.
pub(super) fn bits(mask: AcceleratorMask) -> impl Iterator<Item = usize> {
    (0..MAX_ACCELERATORS_PER_WORKER).filter(move |bit| mask >> bit & 1 == 1)
}

/// The lowest `count` accelerators of `mask`.
pub(super) fn lowest(mask: AcceleratorMask, count: u16) -> AcceleratorMask {
    bits(mask)
        .take(usize::from(count))
        .fold(0, |chosen, bit| chosen | 1 << bit)
}

impl Worker {
    /// A healthy, empty worker with `accelerators` accelerators.
    pub fn new(name: String, rack: RackKey, accelerators: u16) -> Self {
        let count = u32::from(accelerators).min(MAX_ACCELERATORS_PER_WORKER as u32);
        let all = ((1u32 << count) - 1) as AcceleratorMask;
        Self {
            name,
            rack,
            all,
            free: all,
            pledged: 0,
            yielding: 0,
            claimed: 0,
            kept_for: None,
            health: WorkerHealth::Healthy,
            failed_jobs: Vec::new(),
            holders: [None; MAX_ACCELERATORS_PER_WORKER],
            claims: [None; MAX_ACCELERATORS_PER_WORKER],
            pledges: [None; MAX_ACCELERATORS_PER_WORKER],
        }
    }

    /// Whether new work may be placed here.
    pub fn takes_work(&self) -> bool {
        self.health == WorkerHealth::Healthy
    }

    /// Accelerators, held ones too, in which work that can, or cannot, be taken
    /// back may stand; none while the worker takes no work.
    pub fn usable_by(&self, yields: bool) -> AcceleratorMask {
        match (self.takes_work(), yields) {
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

    /// Jobs that hold accelerators of `mask`, each once.
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

    pub(super) fn hold(&mut self, mask: AcceleratorMask, job: JobKey, yields: bool) {
        debug_assert_eq!(mask & !self.free, 0, "accelerators have one holder");
        self.free &= !mask;
        if yields {
            self.yielding |= mask;
        }
        for bit in bits(mask) {
            self.holders[bit] = Some(job);
        }
    }

    /// Takes `mask` from its holder; claimed accelerators pass to the claimant
    /// and are returned with it.
    pub(super) fn release(&mut self, mask: AcceleratorMask) -> Vec<(JobKey, AcceleratorMask)> {
        let mut passed: Vec<(JobKey, AcceleratorMask)> = Vec::new();
        self.yielding &= !mask;
        for bit in bits(mask) {
            self.holders[bit] = self.claims[bit].take();
            match self.holders[bit] {
                Some(job) => match passed.iter_mut().find(|(to, _)| *to == job) {
                    Some((_, taken)) => *taken |= 1 << bit,
                    None => passed.push((job, 1 << bit)),
                },
                None => self.free |= 1 << bit,
            }
        }
        self.claimed &= !mask;
        passed
    }

    pub(super) fn claim(&mut self, mask: AcceleratorMask, job: JobKey) {
        self.claimed |= mask;
        for bit in bits(mask) {
            self.claims[bit] = Some(job);
        }
    }

    pub(super) fn unclaim(&mut self, job: JobKey) {
        for bit in bits(self.claimed) {
            if self.claims[bit] == Some(job) {
                self.claims[bit] = None;
                self.claimed &= !(1 << bit);
            }
        }
    }

    pub(super) fn set_yielding(&mut self, job: JobKey, yields: bool) {
        let held = self.held_by(job);
        if yields {
            self.yielding |= held;
        } else {
            self.yielding &= !held;
        }
    }

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
