//! Taking accelerators back from work that can wait.

use super::{
    AccountKey,
    Cell,
    ClassKey,
    Job,
    JobKey,
    JobState,
    PledgeKey,
    Shape,
    StopKind,
    View,
    Worker,
    WorkerKey,
    placement::Plan,
    queue::GroupKey,
    region,
    worker::AcceleratorMask,
    worker::bits,
    worker::lowest, //
};

/// Work of the account itself that is smaller than the guaranteed shape uses it
/// only if it is expected to be gone again within this time; else the account
/// could not have its shape back when it asks.
const OWN_USE_MS: u64 = 60_000;
/// A preemption costs about this much time; work that has not that much to
/// spare would miss its class and is spared if anything else can be taken.
const ENDANGERED_MS: u64 = 120_000;
const ENDANGERED_WEIGHT: u64 = 50;
/// Workers compared when a single task looks for the cheapest victims.
const COMPARED_WORKERS: usize = 32;

impl Cell {
    /// A place that preempted work has to leave first: the account's own
    /// guarantee, or for urgent work, and for what would else miss its class,
    /// anything that can be taken back outside the guarantees of others.
    pub(super) fn reclaiming_plan(&self, job: &Job) -> Option<Plan> {
        let class = self.class(job.class);
        let own = match class.reclaims {
            true => self.pledge_plan(job, true),
            false => None,
        };
        own.or_else(|| match self.is_pressed(job) {
            true => self.yieldable_plan(job),
            false => None,
        })
    }

    /// A place in one of the account's own pledges, if `reclaiming` also in
    /// accelerators of it that other work has to leave.
    pub(super) fn pledge_plan(&self, job: &Job, reclaiming: bool) -> Option<Plan> {
        let short = self.remaining_ms(job) <= OWN_USE_MS;
        self.pledges()
            .filter(|(_, pledge)| {
                pledge.account == job.account
                    && job.shape.fits_within(&pledge.shape)
                    && (job.shape == pledge.shape
                        || short && !self.waits_for_shape(job.account, pledge.shape))
            })
            .filter_map(|(key, _)| self.plan_in_pledge(job, key, reclaiming))
            .min_by_key(|plan| plan.victims.len())
    }

    /// A place for a single task in accelerators of the account's own running
    /// work that can be taken back, outside the guarantees of others.
    pub(super) fn own_work_plan(&self, job: &Job) -> Option<Plan> {
        if job.shape.workers != 1 {
            return None;
        }
        let count = job.shape.accelerators_per_worker;
        let own = self.jobs.iter().filter(|(_, holder)| {
            holder.account == job.account && holder.yields && holder.state == JobState::Running
        });
        own.filter_map(|(key, holder)| {
            let (worker, mask) = holder.members.iter().find_map(|member| {
                let worker = self.fleet.worker(member.worker);
                let open = member.held & !worker.claimed & !worker.pledged;
                let enough = worker.takes_work() && open.count_ones() >= u32::from(count);
                enough.then(|| (member.worker, lowest(open, count)))
            })?;
            Some((self.loss(holder), key, worker, mask))
        })
        .min()
        .map(|(_, victim, worker, mask)| Plan {
            members: vec![(worker, mask)],
            victims: vec![victim],
            stop: StopKind::Preempt,
            pledge: None,
        })
    }

    /// Whether a job of the account waits for its guaranteed shape. Short work
    /// then no longer comes in, or the shape would never be free as a whole.
    fn waits_for_shape(&self, account: AccountKey, shape: Shape) -> bool {
        (0..self.classes.len() as u8).any(|class| {
            [false, true].into_iter().any(|yields| {
                self.queue.has_group(&GroupKey {
                    account,
                    class: ClassKey(class),
                    shape,
                    yields,
                })
            })
        })
    }

    fn plan_in_pledge(&self, job: &Job, pledge: PledgeKey, reclaiming: bool) -> Option<Plan> {
        let mut members: Vec<(u32, WorkerKey, AcceleratorMask)> = self.pledges[pledge.index()]
            .members
            .iter()
            .filter_map(|&(key, pledged)| {
                let worker = self.fleet.worker(key);
                if !worker.takes_work() {
                    return None;
                }
                let mask = self.cheapest(job, worker, pledged, reclaiming)?;
                Some(((mask & !worker.free).count_ones(), key, mask))
            })
            .collect();
        members.sort_unstable();
        if members.len() < usize::from(job.shape.workers) {
            return None;
        }
        members.truncate(usize::from(job.shape.workers));
        Some(
            self.with_victims(
                members
                    .into_iter()
                    .map(|(_, key, mask)| (key, mask))
                    .collect(),
                Some(pledge),
            ),
        )
    }

    /// `count` accelerators of `allowed`, free ones first, then those of the
    /// holders that lose the least by leaving.
    fn cheapest(
        &self,
        job: &Job,
        worker: &Worker,
        allowed: AcceleratorMask,
        reclaiming: bool,
    ) -> Option<AcceleratorMask> {
        let count = job.shape.accelerators_per_worker;
        let free = allowed & worker.free;
        let yielding = match reclaiming {
            true => allowed & worker.yielding & !worker.claimed,
            false => 0,
        };
        let mut candidates: Vec<(u64, usize)> = bits(free | yielding)
            .filter_map(|bit| {
                let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
                let gives_way =
                    holder.is_none_or(|holder| self.gives_way(holder, job, worker, bit));
                gives_way.then(|| (holder.map_or(0, |holder| self.loss(holder)), bit))
            })
            .collect();
        if candidates.len() < usize::from(count) {
            return None;
        }
        candidates.sort_unstable();
        let chosen = candidates.iter().take(usize::from(count));
        Some(chosen.fold(0, |mask, &(_, bit)| mask | 1 << bit))
    }

    /// Whether `holder` leaves its accelerator to `job`: always to the account
    /// whose guarantee it stands in and to urgent work, else only to what has
    /// to be answered before it. Two jobs can thus never drive each other out
    /// in turn, which would keep a pass from ending.
    ///
    /// The account's own work that stands there as if lent, perhaps across two
    /// pledges, gives way to the guaranteed shape as well: what takes its place
    /// is inside the guarantee and gives way to nobody.
    fn gives_way(&self, holder: &Job, job: &Job, worker: &Worker, bit: usize) -> bool {
        let pledge = worker.pledge(bit).map(|key| &self.pledges[key.index()]);
        let own = pledge.is_some_and(|pledge| {
            let foreign = holder.account != job.account;
            pledge.account == job.account && (foreign || pledge.shape == job.shape)
        });
        let before = job.deadline_ms < holder.deadline_ms;
        own || self.class(job.class).urgent || before
    }

    /// What preempting `job` costs: nothing more if it is leaving anyway, else
    /// its size and how often it was preempted before.
    fn loss(&self, job: &Job) -> u64 {
        if matches!(job.state, JobState::Stopping(_)) {
            return 1;
        }
        let end_ms = self.now_ms + self.remaining_ms(job) + ENDANGERED_MS;
        let weight = match end_ms > job.deadline_ms {
            true => ENDANGERED_WEIGHT,
            false => 1,
        };
        2 + weight * u64::from(job.shape.accelerators()) * u64::from(1 + job.preemptions)
    }

    fn yieldable_plan(&self, job: &Job) -> Option<Plan> {
        let index = self.fleet.index_in(View::Yieldable);
        let workers = match job.shape.workers {
            1 => vec![self.cheapest_worker(job)?],
            _ => region::find(&self.fleet, index, &job.shape, region::End::Last)?,
        };
        let members = workers
            .into_iter()
            .map(|key| {
                let worker = self.fleet.worker(key);
                let open = View::Yieldable.mask(worker);
                let mask = self.cheapest(job, worker, open, true)?;
                Some((key, mask))
            })
            .collect::<Option<Vec<_>>>()?;
        Some(self.with_victims(members, None))
    }

    fn cheapest_worker(&self, job: &Job) -> Option<WorkerKey> {
        let index = self.fleet.index_in(View::Yieldable);
        let counts =
            usize::from(job.shape.accelerators_per_worker)..=super::MAX_ACCELERATORS_PER_WORKER;
        counts
            .flat_map(|count| index.with_count(count))
            .take(COMPARED_WORKERS)
            .filter_map(|key| {
                let worker = self.fleet.worker(key);
                let open = View::Yieldable.mask(worker);
                let mask = self.cheapest(job, worker, open, true)?;
                let victims = worker.holders_of(mask);
                let losses = victims.iter().filter_map(|&key| self.jobs.get(key));
                Some((losses.map(|job| self.loss(job)).sum::<u64>(), key))
            })
            .min()
            .map(|(_, key)| key)
    }

    pub(super) fn with_victims(
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
