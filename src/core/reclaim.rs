//! Finds placements that preempt reclaimable jobs.
//!
//! A reclaimable job can be preempted after a checkpoint. It is preempted for a
//! job of the account whose guarantee it occupies, or, outside all guarantees,
//! for an urgent job or one that would otherwise miss its deadline.

use super::{
    AccountKey,
    CapacityView,
    Cell,
    ClassKey,
    Job,
    JobKey,
    JobState,
    PledgeKey,
    Shape,
    StopKind,
    Worker,
    WorkerKey,
    placement::Plan,
    queue::GroupKey,
    region,
    worker::AcceleratorMask,
    worker::bits,
    worker::lowest_bits, //
};

/// A job that is smaller than its account's guaranteed shape runs in the pledge
/// only if it is expected to end within this time. A longer job would keep the
/// account from using the full shape when it needs it.
const MAX_SMALLER_JOB_MS: u64 = 60_000;
/// Approximate delay that a preemption causes. A job with less slack would miss
/// its deadline and is preempted only if no cheaper job can be.
const PREEMPTION_DELAY_MS: u64 = 120_000;
/// Factor on the cost of preempting a job that would then miss its deadline.
const MISSED_DEADLINE_WEIGHT: u64 = 50;
/// Maximum number of workers compared to find the cheapest victims of a
/// single-worker job.
const COMPARED_WORKERS: usize = 32;

impl Cell {
    /// A placement on accelerators that preempted jobs have to release first: those
    /// in the account's own guarantee or, if the job is urgent or would otherwise
    /// miss its deadline, those that reclaimable jobs hold outside all guarantees.
    pub(super) fn reclaiming_plan(&self, job: &Job) -> Option<Plan> {
        let class = self.class(job.class);
        let own = match class.reclaims {
            true => self.pledge_plan(job, true),
            false => None,
        };
        own.or_else(|| match self.is_time_critical(job) {
            true => self.surplus_preemption_plan(job),
            false => None,
        })
    }

    /// A placement in one of the account's own pledges. With `reclaiming`, it may
    /// include accelerators that preempted jobs have to release first.
    pub(super) fn pledge_plan(&self, job: &Job, reclaiming: bool) -> Option<Plan> {
        let short = self.remaining_ms(job) <= MAX_SMALLER_JOB_MS;
        self.pledges()
            .filter(|(_, pledge)| {
                pledge.account == job.account
                    && job.shape.fits_within(&pledge.shape)
                    && (job.shape == pledge.shape
                        || short && !self.has_waiting_job_of_shape(job.account, pledge.shape))
            })
            .filter_map(|(key, _)| self.plan_in_pledge(job, key, reclaiming))
            .min_by_key(|plan| plan.victims.len())
    }

    /// A placement for a single-worker job on accelerators that a running
    /// reclaimable job of the same account holds outside all guarantees.
    pub(super) fn own_jobs_plan(&self, job: &Job) -> Option<Plan> {
        if job.shape.workers != 1 {
            return None;
        }
        let count = job.shape.accelerators_per_worker;
        let own = self.jobs.iter().filter(|(_, holder)| {
            holder.account == job.account
                && holder.is_reclaimable
                && holder.state == JobState::Running
        });
        own.filter_map(|(key, holder)| {
            let (worker, mask) = holder.members.iter().find_map(|member| {
                let worker = self.fleet.worker(member.worker);
                let usable = member.held & !worker.claimed & !worker.pledged;
                let enough = worker.accepts_jobs() && usable.count_ones() >= u32::from(count);
                enough.then(|| (member.worker, lowest_bits(usable, count)))
            })?;
            Some((self.preemption_cost(holder), key, worker, mask))
        })
        .min()
        .map(|(_, victim, worker, mask)| Plan {
            members: vec![(worker, mask)],
            victims: vec![victim],
            stop: StopKind::Preempt,
            pledge: None,
        })
    }

    /// Whether a job of the account with the guaranteed shape is waiting. No
    /// smaller job is then placed in the pledge, or the full shape might never be
    /// free.
    fn has_waiting_job_of_shape(&self, account: AccountKey, shape: Shape) -> bool {
        (0..self.classes.len() as u8).any(|class| {
            [false, true].into_iter().any(|is_reclaimable| {
                self.queue.has_group(&GroupKey {
                    account,
                    class: ClassKey(class),
                    shape,
                    is_reclaimable,
                })
            })
        })
    }

    /// A placement in one pledge that takes as few held accelerators as possible.
    fn plan_in_pledge(&self, job: &Job, pledge: PledgeKey, reclaiming: bool) -> Option<Plan> {
        let mut members: Vec<(u32, WorkerKey, AcceleratorMask)> = self.pledges[pledge.index()]
            .members
            .iter()
            .filter_map(|&(key, pledged)| {
                let worker = self.fleet.worker(key);
                if !worker.accepts_jobs() {
                    return None;
                }
                let mask = self.cheapest_accelerators(job, worker, pledged, reclaiming)?;
                Some(((mask & !worker.free).count_ones(), key, mask))
            })
            .collect();
        members.sort_unstable();
        if members.len() < usize::from(job.shape.workers) {
            return None;
        }
        members.truncate(usize::from(job.shape.workers));
        Some(
            self.plan_with_victims(
                members
                    .into_iter()
                    .map(|(_, key, mask)| (key, mask))
                    .collect(),
                Some(pledge),
            ),
        )
    }

    /// The accelerators of `allowed` that `job` needs on one worker: free ones
    /// first, then, with `reclaiming`, those whose holders cost the least to
    /// preempt.
    fn cheapest_accelerators(
        &self,
        job: &Job,
        worker: &Worker,
        allowed: AcceleratorMask,
        reclaiming: bool,
    ) -> Option<AcceleratorMask> {
        let count = job.shape.accelerators_per_worker;
        let free = allowed & worker.free;
        let reclaimable = match reclaiming {
            true => allowed & worker.reclaimable & !worker.claimed,
            false => 0,
        };
        let mut candidates: Vec<(u64, usize)> = bits(free | reclaimable)
            .filter_map(|bit| {
                let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
                let available =
                    holder.is_none_or(|holder| self.may_be_preempted(holder, job, worker, bit));
                available.then(|| (holder.map_or(0, |holder| self.preemption_cost(holder)), bit))
            })
            .collect();
        if candidates.len() < usize::from(count) {
            return None;
        }
        candidates.sort_unstable();
        let chosen = candidates.iter().take(usize::from(count));
        Some(chosen.fold(0, |mask, &(_, bit)| mask | 1 << bit))
    }

    /// Whether `holder` may be preempted for `job` on accelerator `bit`. A job in the
    /// guarantee of its own account may preempt jobs of other accounts there, and
    /// an urgent job may preempt any; any other job may preempt only a holder with
    /// a later deadline. Two jobs can therefore never preempt each other in turn,
    /// which would keep a scheduling pass from ending.
    ///
    /// A job of the same account that uses the pledge as a reclaimable job, perhaps
    /// across two pledges, may also be preempted by a job of the guaranteed shape:
    /// the preempting job then runs inside the guarantee, where it is not reclaimable.
    fn may_be_preempted(&self, holder: &Job, job: &Job, worker: &Worker, bit: usize) -> bool {
        let pledge = worker.pledge(bit).map(|key| &self.pledges[key.index()]);
        let in_own_pledge = pledge.is_some_and(|pledge| {
            let other_account = holder.account != job.account;
            pledge.account == job.account && (other_account || pledge.shape == job.shape)
        });
        let due_earlier = job.deadline_ms < holder.deadline_ms;
        in_own_pledge || self.class(job.class).urgent || due_earlier
    }

    /// The relative cost of preempting `job`. It is lowest if the job is stopping
    /// already; otherwise it grows with the job's size and with the number of its
    /// earlier preemptions, and is higher if the job would miss its deadline.
    fn preemption_cost(&self, job: &Job) -> u64 {
        if matches!(job.state, JobState::Stopping(_)) {
            return 1;
        }
        let end_ms = self.now_ms + self.remaining_ms(job) + PREEMPTION_DELAY_MS;
        let weight = match end_ms > job.deadline_ms {
            true => MISSED_DEADLINE_WEIGHT,
            false => 1,
        };
        2 + weight * u64::from(job.shape.accelerators()) * u64::from(1 + job.preemptions)
    }

    /// A placement outside all guarantees that preempts reclaimable jobs.
    fn surplus_preemption_plan(&self, job: &Job) -> Option<Plan> {
        let index = self.fleet.view_index(CapacityView::Reclaimable);
        let workers = match job.shape.workers {
            1 => vec![self.cheapest_worker(job)?],
            _ => region::find(&self.fleet, index, &job.shape, region::PackingEnd::Last)?,
        };
        let members = workers
            .into_iter()
            .map(|key| {
                let worker = self.fleet.worker(key);
                let usable = CapacityView::Reclaimable.mask(worker);
                let mask = self.cheapest_accelerators(job, worker, usable, true)?;
                Some((key, mask))
            })
            .collect::<Option<Vec<_>>>()?;
        Some(self.plan_with_victims(members, None))
    }

    /// The worker, of at most [`COMPARED_WORKERS`] compared, on which placing a
    /// single-worker job has the lowest total preemption cost.
    fn cheapest_worker(&self, job: &Job) -> Option<WorkerKey> {
        let index = self.fleet.view_index(CapacityView::Reclaimable);
        let counts =
            usize::from(job.shape.accelerators_per_worker)..=super::MAX_ACCELERATORS_PER_WORKER;
        counts
            .flat_map(|count| index.with_count(count))
            .take(COMPARED_WORKERS)
            .filter_map(|key| {
                let worker = self.fleet.worker(key);
                let usable = CapacityView::Reclaimable.mask(worker);
                let mask = self.cheapest_accelerators(job, worker, usable, true)?;
                let victims = worker.holders_of(mask);
                let victim_jobs = victims.iter().filter_map(|&key| self.jobs.get(key));
                Some((
                    victim_jobs
                        .map(|victim| self.preemption_cost(victim))
                        .sum::<u64>(),
                    key,
                ))
            })
            .min()
            .map(|(_, key)| key)
    }

    /// A placement on `members` that preempts every job that holds any of their
    /// accelerators.
    pub(super) fn plan_with_victims(
        &self,
        members: Vec<(WorkerKey, AcceleratorMask)>,
        pledge: Option<PledgeKey>,
    ) -> Plan {
        let mut victims: Vec<JobKey> = members
            .iter()
            .flat_map(|&(key, mask)| self.fleet.worker(key).holders_of(mask))
            .collect();
        victims.sort_unstable();
        victims.dedup();
        Plan {
            members,
            victims,
            stop: StopKind::Preempt,
            pledge,
        }
    }
}
