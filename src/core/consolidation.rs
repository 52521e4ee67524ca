//! Consolidation: moves smaller reclaimable jobs out of the way of a large gang.
//!
//! When small jobs are scattered over the racks, a gang can wait although enough
//! accelerators are free. Reclaimable jobs are then preempted after a checkpoint
//! and placed elsewhere, if the time that the gang gains outweighs the cost.

use super::{
    Cell,
    Job,
    JobState,
    StopKind,
    Worker,
    WorkerKey,
    placement::Plan,
    region,
    worker::AcceleratorMask,
    worker::bits,
    worker::lowest_bits, //
};

/// Expected time from a moved job's checkpoint until it is placed and running
/// again, counted in the cost of the move.
const RESTART_MS: u64 = 60_000;
/// The gain of the gang has to exceed the cost of the moves by this factor.
const GAIN_FACTOR: u64 = 2;
/// Maximum number of times that a job is moved.
const MAX_MOVES: u32 = 1;
/// Cost of an accelerator whose holder is moved; a free one costs nothing.
const MOVED_ACCELERATOR_COST: u64 = 1;

impl Cell {
    /// A placement for a gang on accelerators that smaller jobs are moved away from.
    /// `None` if these moves cost more than waiting until `ready_ms`, when a region
    /// is expected to be free without them.
    pub(super) fn consolidating_plan(&self, job: &Job, ready_ms: Option<u64>) -> Option<Plan> {
        let per_worker = job.shape.accelerators_per_worker;
        let is_reclaimable = self.may_be_reclaimed(job);
        let available = |worker: &Worker| self.movable_mask(job, is_reclaimable, worker);
        let cost = |key: WorkerKey| -> Option<u64> {
            let worker = self.fleet.worker(key);
            let mask = available(worker);
            if worker.reserved_for.is_some() || mask.count_ones() < u32::from(per_worker) {
                return None;
            }
            let moved = free_first(worker, mask, per_worker) & !worker.free;
            Some(u64::from(moved.count_ones()) * MOVED_ACCELERATOR_COST)
        };
        let workers = region::find_cheapest(
            &self.fleet,
            &job.shape,
            region::PackingEnd::of(is_reclaimable),
            cost,
        )?;
        let members = workers
            .into_iter()
            .map(|key| {
                let worker = self.fleet.worker(key);
                (key, free_first(worker, available(worker), per_worker))
            })
            .collect();
        let mut plan = self.plan_with_victims(members, None);
        plan.stop = StopKind::Move;
        self.is_worth_moving(job, &plan, ready_ms).then_some(plan)
    }

    /// The free accelerators that the gang may use, and those held by smaller jobs
    /// that may be moved.
    fn movable_mask(&self, gang: &Job, is_reclaimable: bool, worker: &Worker) -> AcceleratorMask {
        let usable = worker.usable_by(is_reclaimable);
        let movable = bits(usable & worker.reclaimable & !worker.claimed & !worker.free)
            .filter(|&bit| {
                let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
                holder.is_some_and(|job| self.may_be_moved(gang, job))
            })
            .fold(0, |mask, bit| mask | 1 << bit);
        usable & worker.free | movable
    }

    /// Whether `job` may be moved for `gang`. Only smaller jobs are moved, so that two
    /// gangs never displace each other in turn, and none more than `MAX_MOVES` times.
    fn may_be_moved(&self, gang: &Job, job: &Job) -> bool {
        job.state == JobState::Running
            && job.shape.accelerators() < gang.shape.accelerators()
            && job.moves < MAX_MOVES
    }

    /// Whether the gang gains enough from the moves in accelerator-milliseconds: what
    /// it saves against the checkpoints and restarts of the victims.
    fn is_worth_moving(&self, gang: &Job, plan: &Plan, ready_ms: Option<u64>) -> bool {
        let mut cost = 0;
        let mut grace_ms = 0;
        for job in plan.victims.iter().filter_map(|&key| self.jobs.get(key)) {
            let class = self.class(job.class);
            grace_ms = grace_ms.max(class.grace_ms);
            cost += u64::from(job.shape.accelerators()) * (class.grace_ms + RESTART_MS);
        }
        let saved_ms = match ready_ms {
            Some(ready_ms) => ready_ms.saturating_sub(self.now_ms + grace_ms),
            None => self.class(gang.class).completion_ms,
        };
        u64::from(gang.shape.accelerators()) * saved_ms > GAIN_FACTOR * cost
    }
}

/// The first `count` accelerators of `mask`, free ones first.
fn free_first(worker: &Worker, mask: AcceleratorMask, count: u16) -> AcceleratorMask {
    let free = lowest_bits(mask & worker.free, count);
    let rest = count - free.count_ones() as u16;
    free | lowest_bits(mask & !worker.free, rest)
}
