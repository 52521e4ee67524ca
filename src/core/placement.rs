//! Chooses the placement of a job.
//!
//! Free accelerators come first, then accelerators reserved for a waiting gang
//! that has time to wait, then accelerators whose holders are preempted. Free placements
//! are compared by one cost, the sum of a preemption cost and a fragmentation cost
//! with the configured weights, and of a penalty for splitting the account's own
//! guaranteed shape.

use super::{
    CapacityView,
    Cell,
    Fleet,
    Index,
    Job,
    JobKey,
    PledgeKey,
    StopKind,
    Worker,
    WorkerKey,
    region,
    region::PackingEnd,
    worker::AcceleratorMask,
    worker::bits,
    worker::lowest_bits, //
};

/// Cost of a placement on accelerators pledged to other accounts, which may
/// preempt the job.
const PREEMPTION_PENALTY: f64 = 0.2;
/// Cost of placing a smaller job in the account's own guaranteed shape: the shape
/// cannot be used as a whole until that job has ended.
const OWN_PLEDGE_PENALTY: f64 = 2.0;
/// Cost of each accelerator left over on a worker that was wholly free, divided by
/// the number of accelerators placed.
const SPLIT_WORKER_PENALTY: f64 = 1.0;

/// A placement for a job and the jobs to stop for it.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The workers and the accelerators to use on each.
    pub members: Vec<(WorkerKey, AcceleratorMask)>,
    /// Running jobs that have to release accelerators first.
    pub victims: Vec<JobKey>,
    /// Why the victims are stopped.
    pub stop: StopKind,
    /// The account's own pledge that contains the accelerators, if any.
    pub pledge: Option<PledgeKey>,
}

impl Plan {
    /// A placement on free accelerators.
    pub fn free(members: Vec<(WorkerKey, AcceleratorMask)>) -> Self {
        Self {
            members,
            victims: Vec::new(),
            stop: StopKind::Preempt,
            pledge: None,
        }
    }
}

impl Cell {
    /// The best placement for `job` at present, if there is one: on free
    /// accelerators, on accelerators reserved for a gang that does not need them
    /// yet, or on accelerators whose holders can be preempted.
    pub(super) fn find_plan(&self, key: Option<JobKey>, job: &Job) -> Option<Plan> {
        self.best_free_plan(job)
            .or_else(|| self.backfill_plan(key, job))
            .or_else(|| self.reclaiming_plan(job))
    }

    /// The cheapest placement on free accelerators.
    fn best_free_plan(&self, job: &Job) -> Option<Plan> {
        let own_pledge = match self.class(job.class).reclaims {
            true => self.pledge_plan(job, false),
            false => None,
        };
        let surplus = self.free_plan(job, CapacityView::Surplus);
        let lent = match self.may_be_reclaimed(job) {
            true => self.free_plan(job, CapacityView::Free),
            false => None,
        };
        [own_pledge, surplus, lent]
            .into_iter()
            .flatten()
            .map(|plan| (self.cost(job, &plan), plan))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, plan)| plan)
    }

    /// A placement on the free accelerators in `view`.
    fn free_plan(&self, job: &Job, view: CapacityView) -> Option<Plan> {
        let index = self.fleet.view_index(view);
        let end = PackingEnd::of(self.may_be_reclaimed(job));
        let workers = region::find(&self.fleet, index, &job.shape, end)?;
        let per_worker = job.shape.accelerators_per_worker;
        let members = workers
            .into_iter()
            .map(|key| {
                let worker = self.fleet.worker(key);
                (
                    key,
                    outside_pledges_first(worker, view.mask(worker), per_worker),
                )
            })
            .collect();
        Some(Plan::free(members))
    }

    /// The cost of a placement. The weighted measures are each scaled to about one.
    fn cost(&self, job: &Job, plan: &Plan) -> f64 {
        let weights = self.weights;
        weights.completion * self.preemption_risk(job, plan)
            + weights.fragmentation * fragmentation_cost(&self.fleet, &plan.members)
            + self.own_pledge_penalty(job, plan)
    }

    /// The penalty for placing a smaller job in the account's own pledge.
    fn own_pledge_penalty(&self, job: &Job, plan: &Plan) -> f64 {
        let splits_shape = plan
            .pledge
            .is_some_and(|key| self.pledges[key.index()].shape != job.shape);
        if splits_shape {
            OWN_PLEDGE_PENALTY
        } else {
            0.0
        }
    }

    /// The cost of the share of accelerators that other accounts may reclaim.
    fn preemption_risk(&self, job: &Job, plan: &Plan) -> f64 {
        let lent: u32 = plan
            .members
            .iter()
            .map(|&(key, mask)| {
                let worker = self.fleet.worker(key);
                bits(mask & worker.pledged)
                    .filter(|&bit| {
                        let pledge = worker.pledge(bit).map(|key| &self.pledges[key.index()]);
                        pledge.is_some_and(|pledge| pledge.account != job.account)
                    })
                    .count() as u32
            })
            .sum();
        PREEMPTION_PENALTY * f64::from(lent) / f64::from(job.shape.accelerators())
    }
}

/// The cost of the accelerators that a placement leaves over on wholly free
/// workers, per accelerator placed.
fn fragmentation_cost(fleet: &Fleet, members: &[(WorkerKey, AcceleratorMask)]) -> f64 {
    let (mut left_over, mut placed) = (0, 0);
    for &(key, mask) in members {
        let worker = fleet.worker(key);
        placed += mask.count_ones();
        if worker.free == worker.all && mask != worker.all {
            left_over += (worker.all & !mask).count_ones();
        }
    }
    SPLIT_WORKER_PENALTY * f64::from(left_over) / f64::from(placed.max(1))
}

/// The first `count` accelerators of `mask`, those outside every pledge first.
pub(super) fn outside_pledges_first(
    worker: &Worker,
    mask: AcceleratorMask,
    count: u16,
) -> AcceleratorMask {
    let outside = lowest_bits(mask & !worker.pledged, count);
    let rest = count - outside.count_ones() as u16;
    outside | lowest_bits(mask & worker.pledged, rest)
}

/// A placement for `job` by `index`, on the accelerators that `usable` returns for
/// each worker.
pub(super) fn plan_from_index(
    fleet: &Fleet,
    index: &Index,
    job: &Job,
    usable: impl Fn(&Worker) -> AcceleratorMask,
) -> Option<Plan> {
    let workers = region::find(fleet, index, &job.shape, PackingEnd::First)?;
    let members = workers
        .into_iter()
        .map(|key| {
            let mask = usable(fleet.worker(key));
            (key, lowest_bits(mask, job.shape.accelerators_per_worker))
        })
        .collect();
    Some(Plan::free(members))
}
