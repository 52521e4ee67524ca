//! Moving small work that can wait out of the way of a large gang.
//!
//! Small jobs scatter over the racks; a gang then waits although enough
//! accelerators are free. Work that can be taken back is preempted after a
//! checkpoint and finds another place, if the gang gains more than that costs.

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
    worker::lowest, //
};

/// What a moved accelerator costs beyond its checkpoint: the time until it is
/// placed again and running.
const RESTART_MS: u64 = 60_000;
/// The gang has to gain so many times what the moves cost.
const GAIN_FACTOR: u64 = 2;
/// A job is moved no more often than this.
const MAX_MOVES: u32 = 1;
/// The weight of each accelerator that is moved, against a free one.
const MOVED_ACCELERATOR_COST: u64 = 1;

impl Cell {
    /// A place for a gang once small work has been moved out of it, if waiting
    /// for a place to come free by itself until `ready_ms` costs more.
    pub(super) fn consolidating_plan(&self, job: &Job, ready_ms: Option<u64>) -> Option<Plan> {
        let per_worker = job.shape.accelerators_per_worker;
        let yields = self.may_yield(job);
        let open = |worker: &Worker| self.movable_mask(job, yields, worker);
        let cost = |key: WorkerKey| -> Option<u64> {
            let worker = self.fleet.worker(key);
            let mask = open(worker);
            if worker.kept_for.is_some() || mask.count_ones() < u32::from(per_worker) {
                return None;
            }
            let moved = cheapest_first(worker, mask, per_worker) & !worker.free;
            Some(u64::from(moved.count_ones()) * MOVED_ACCELERATOR_COST)
        };
        let workers =
            region::find_cheapest(&self.fleet, &job.shape, region::End::of(yields), cost)?;
        let members = workers
            .into_iter()
            .map(|key| {
                let worker = self.fleet.worker(key);
                (key, cheapest_first(worker, open(worker), per_worker))
            })
            .collect();
        let mut plan = self.with_victims(members, None);
        plan.stop = StopKind::Move;
        self.is_worth_moving(job, &plan, ready_ms).then_some(plan)
    }

    /// Free accelerators that the gang may use, and those held by smaller work
    /// that may be moved once more.
    fn movable_mask(&self, gang: &Job, yields: bool, worker: &Worker) -> AcceleratorMask {
        let usable = worker.usable_by(yields);
        let movable = bits(usable & worker.yielding & !worker.claimed & !worker.free)
            .filter(|&bit| {
                let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
                holder.is_some_and(|job| self.may_be_moved(gang, job))
            })
            .fold(0, |mask, bit| mask | 1 << bit);
        usable & worker.free | movable
    }

    /// Only smaller work is moved, so that two gangs never drive each other
    /// out in turn, and none more often than the bound.
    fn may_be_moved(&self, gang: &Job, job: &Job) -> bool {
        job.state == JobState::Running
            && job.shape.accelerators() < gang.shape.accelerators()
            && job.moves < MAX_MOVES
    }

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

fn cheapest_first(worker: &Worker, mask: AcceleratorMask, count: u16) -> AcceleratorMask {
    let free = lowest(mask & worker.free, count);
    let rest = count - free.count_ones() as u16;
    free | lowest(mask & !worker.free, rest)
}
