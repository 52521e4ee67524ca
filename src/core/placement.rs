//! Choosing where a gang goes, by one score with two weights.

use super::{
    Cell,
    Fleet,
    Index,
    Job,
    JobKey,
    PledgeKey,
    StopKind,
    View,
    Worker,
    WorkerKey,
    region,
    region::End,
    worker::AcceleratorMask,
    worker::bits,
    worker::lowest, //
};

/// What it costs to stand where another account may call its guarantee back.
const PREEMPTION_PENALTY: f64 = 0.2;
/// What it costs the account to break its own guaranteed shape for something
/// smaller: the shape cannot be had back until that has ended.
const OWN_PLEDGE_PENALTY: f64 = 2.0;
/// What it costs to take one accelerator out of a wholly free worker.
const BROKEN_WORKER_PENALTY: f64 = 1.0;

/// A place for a gang.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// Workers with the accelerators to take.
    pub members: Vec<(WorkerKey, AcceleratorMask)>,
    /// Running jobs that have to leave first.
    pub victims: Vec<JobKey>,
    /// Why they leave.
    pub stop: StopKind,
    /// The account's own pledge in which the place lies.
    pub pledge: Option<PledgeKey>,
}

impl Plan {
    /// A place that is free now.
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
    /// The best place for `job` right now, if there is one: free, or kept for a
    /// gang that will not miss it, or held by work that has to give way.
    pub(super) fn find_plan(&self, key: Option<JobKey>, job: &Job) -> Option<Plan> {
        self.best_free_plan(job)
            .or_else(|| self.backfill_plan(key, job))
            .or_else(|| self.reclaiming_plan(job))
    }

    fn best_free_plan(&self, job: &Job) -> Option<Plan> {
        let own = match self.class(job.class).reclaims {
            true => self.pledge_plan(job, false),
            false => None,
        };
        let surplus = self.free_plan(job, View::Surplus);
        let lent = match self.may_yield(job) {
            true => self.free_plan(job, View::Free),
            false => None,
        };
        [own, surplus, lent]
            .into_iter()
            .flatten()
            .map(|plan| (self.cost(job, &plan), plan))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, plan)| plan)
    }

    /// A place in free accelerators that `view` shows.
    fn free_plan(&self, job: &Job, view: View) -> Option<Plan> {
        let index = self.fleet.index_in(view);
        let end = End::of(self.may_yield(job));
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

    /// What a place costs by the two measures, each scaled to about one.
    fn cost(&self, job: &Job, plan: &Plan) -> f64 {
        let weights = self.weights;
        weights.completion * self.preemption_risk(job, plan)
            + weights.fragmentation * breakage(&self.fleet, &plan.members)
            + self.own_pledge_breakage(job, plan)
    }

    fn own_pledge_breakage(&self, job: &Job, plan: &Plan) -> f64 {
        let broken = plan
            .pledge
            .is_some_and(|key| self.pledges[key.index()].shape != job.shape);
        if broken { OWN_PLEDGE_PENALTY } else { 0.0 }
    }

    /// Share of the place that another account may call back.
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

/// Accelerators of wholly free workers that the place leaves as remnants, for
/// each accelerator placed.
fn breakage(fleet: &Fleet, members: &[(WorkerKey, AcceleratorMask)]) -> f64 {
    let (mut broken, mut placed) = (0, 0);
    for &(key, mask) in members {
        let worker = fleet.worker(key);
        placed += mask.count_ones();
        if worker.free == worker.all && mask != worker.all {
            broken += (worker.all & !mask).count_ones();
        }
    }
    BROKEN_WORKER_PENALTY * f64::from(broken) / f64::from(placed.max(1))
}

/// `count` accelerators of `mask`, those outside every pledge first.
pub(super) fn outside_pledges_first(
    worker: &Worker,
    mask: AcceleratorMask,
    count: u16,
) -> AcceleratorMask {
    let outside = lowest(mask & !worker.pledged, count);
    let rest = count - outside.count_ones() as u16;
    outside | lowest(mask & worker.pledged, rest)
}

/// Where a search over an ad hoc index may take accelerators.
pub(super) fn plan_from(
    fleet: &Fleet,
    index: &Index,
    job: &Job,
    usable: impl Fn(&Worker) -> AcceleratorMask,
) -> Option<Plan> {
    let workers = region::find(fleet, index, &job.shape, End::First)?;
    let members = workers
        .into_iter()
        .map(|key| {
            let mask = usable(fleet.worker(key));
            (key, lowest(mask, job.shape.accelerators_per_worker))
        })
        .collect();
    Some(Plan::free(members))
}
