//! Keeping workers for a large gang while short work runs ahead of it.
//!
//! Without this, small jobs fill each gap as it opens and a large gang
//! starves. The gang that fails first in queue order gets the region that
//! comes free soonest; other work may use it only if it is expected to end
//! before then.

use super::{
    Cell,
    Job,
    JobKey,
    JobState,
    View,
    Worker,
    WorkerKey,
    placement::Plan,
    placement::outside_pledges_first,
    placement::plan_from,
    region,
    worker::AcceleratorMask,
    worker::bits, //
};

/// A region is chosen anew when it is this much later than expected.
const REVIEW_AFTER_MS: u64 = 30_000;
/// No more than this share of the workers is kept for waiting gangs.
const MAX_KEPT_SHARE: usize = 4;
/// A region is looked for again after this time at the earliest.
const KEEP_RETRY_MS: u64 = 500;
/// Moments at which a region may be free that are looked at.
const MAX_HORIZONS: usize = 64;
/// A task past its estimate is expected to need this share of its run again.
const OVERRUN_DIVISOR: u64 = 2;

/// A waiting gang and the workers kept for it.
#[derive(Clone, Debug)]
pub(super) struct KeptGang {
    pub job: JobKey,
    pub workers: Vec<WorkerKey>,
    /// When all of them are expected to be free.
    pub ready_ms: u64,
    /// When the region is chosen anew.
    pub review_ms: u64,
}

impl Cell {
    /// Keeps workers for a gang that found no place.
    pub(super) fn keep_for(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let large = job.shape.workers > 1 && job.keep_after_ms <= self.now_ms;
        let kept = self.kept.iter().any(|kept| kept.job == key);
        if !large || kept || self.kept.len() >= self.limits.kept_gangs || self.over_quota(job) {
            return;
        }
        let soonest = self.soonest_region(job);
        let keep_after_ms = self.now_ms + KEEP_RETRY_MS;
        let ready_ms = soonest.as_ref().map(|(_, ready_ms)| *ready_ms);
        if let Some(plan) = self.consolidating_plan(job, ready_ms) {
            return self.place(key, plan);
        }
        if let Some(job) = self.jobs.get_mut(key) {
            job.keep_after_ms = keep_after_ms;
        }
        let Some((workers, ready_ms)) = soonest else {
            return;
        };
        let kept_workers: usize = self.kept.iter().map(|kept| kept.workers.len()).sum();
        if !self.kept.is_empty()
            && (kept_workers + workers.len()) * MAX_KEPT_SHARE > self.fleet.len()
        {
            return;
        }
        for &worker in &workers {
            self.fleet
                .update(worker, |worker| worker.kept_for = Some(key));
        }
        self.kept.push(KeptGang {
            job: key,
            workers,
            ready_ms,
            review_ms: ready_ms.max(self.now_ms) + REVIEW_AFTER_MS,
        });
    }

    fn soonest_region(&self, job: &Job) -> Option<(Vec<WorkerKey>, u64)> {
        let yields = self.may_yield(job);
        let per_worker = usize::from(job.shape.accelerators_per_worker);
        let mut times: Vec<u64> = Vec::new();
        let ready: Vec<Option<u64>> = self
            .fleet
            .workers()
            .map(|(_, worker)| {
                let usable = match worker.kept_for {
                    Some(_) => 0,
                    None => worker.usable_by(yields),
                };
                times.clear();
                times.extend(bits(usable).map(|bit| self.free_at_ms(worker, bit)));
                times.sort_unstable();
                times.get(per_worker.checked_sub(1)?).copied()
            })
            .collect();
        let mut horizons: Vec<u64> = ready.iter().flatten().copied().collect();
        horizons.sort_unstable();
        horizons.dedup();
        // Some of the moments are enough, the last among them: the estimates
        // are not that exact, and each look costs a pass over the fleet.
        let stride = horizons.len().div_ceil(MAX_HORIZONS).max(1);
        horizons = horizons.into_iter().rev().step_by(stride).collect();
        horizons.reverse();
        // The first horizon by which some region is free; regions only grow
        // with the horizon, so halving finds it.
        let at = horizons.partition_point(|&by_ms| self.region_by(job, &ready, by_ms).is_none());
        let ready_ms = *horizons.get(at)?;
        Some((self.region_by(job, &ready, ready_ms)?, ready_ms))
    }

    fn region_by(&self, job: &Job, ready: &[Option<u64>], by_ms: u64) -> Option<Vec<WorkerKey>> {
        let mut index = super::Index::with_bounds(self.fleet.len(), self.fleet.racks().len());
        for (key, worker) in self.fleet.workers() {
            if ready[key.index()].is_some_and(|ready_ms| ready_ms <= by_ms) {
                let count = usize::from(job.shape.accelerators_per_worker);
                index.set(key, worker.rack, count);
            }
        }
        region::find(
            &self.fleet,
            &index,
            &job.shape,
            region::End::of(self.may_yield(job)),
        )
    }

    fn free_at_ms(&self, worker: &Worker, bit: usize) -> u64 {
        let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
        holder.map_or(self.now_ms, |job| self.expected_end_ms(job))
    }

    /// When a job that holds accelerators is expected to let them go.
    pub(super) fn expected_end_ms(&self, job: &Job) -> u64 {
        match job.state {
            JobState::Stopping(_) => self.now_ms + self.class(job.class).grace_ms,
            JobState::Running => {
                let end_ms = job.running_ms + self.remaining_ms(job);
                let ran_ms = self.now_ms.saturating_sub(job.running_ms);
                end_ms.max(self.now_ms + ran_ms / OVERRUN_DIVISOR * u64::from(end_ms < self.now_ms))
            }
            _ => self.now_ms + self.remaining_ms(job),
        }
    }

    /// A place in kept workers for work that is expected to be gone in time.
    pub(super) fn backfill_plan(&self, key: Option<JobKey>, job: &Job) -> Option<Plan> {
        if job.shape.workers != 1 {
            return None;
        }
        let view = View::open_to(self.may_yield(job));
        let end_ms = self.now_ms + self.remaining_ms(job);
        // Work that would miss its class goes ahead of a gang that has time.
        let pressed = self.is_pressed(job);
        let can_wait = |gang: JobKey| {
            let gang = self.jobs.get(gang);
            gang.is_some_and(|gang| gang.latest_start_ms > end_ms)
        };
        let per_worker = job.shape.accelerators_per_worker;
        let worker = self
            .kept
            .iter()
            .filter(|kept| {
                (end_ms <= kept.ready_ms || pressed && can_wait(kept.job)) && Some(kept.job) != key
            })
            .flat_map(|kept| kept.workers.iter().copied())
            .filter(|&at| self.fleet.mask(view, at).count_ones() >= u32::from(per_worker))
            .min_by_key(|&at| self.fleet.mask(view, at).count_ones())?;
        let mask = self.fleet.mask(view, worker);
        let mask = outside_pledges_first(self.fleet.worker(worker), mask, per_worker);
        Some(Plan::free(vec![(worker, mask)]))
    }

    /// Places the gangs whose kept workers have come free.
    pub(super) fn place_kept(&mut self) {
        let waiting: Vec<JobKey> = self.kept.iter().map(|kept| kept.job).collect();
        for key in waiting {
            let Some(job) = self.jobs.get(key).filter(|job| job.waits()) else {
                self.release_kept(key);
                continue;
            };
            let view = View::open_to(self.may_yield(job));
            let usable = |worker: &Worker| match worker.kept_for == Some(key) {
                true => view.mask(worker),
                false => 0,
            };
            let free = self.kept_index(key, usable);
            let plan = plan_from(&self.fleet, &free, job, usable);
            if let Some(plan) = plan.filter(|_| !self.over_quota(job)) {
                self.place(key, plan);
            }
        }
    }

    fn kept_index(&self, key: JobKey, usable: impl Fn(&Worker) -> AcceleratorMask) -> super::Index {
        let mut index = super::Index::with_bounds(self.fleet.len(), self.fleet.racks().len());
        let kept = self.kept.iter().filter(|kept| kept.job == key);
        for &at in kept.flat_map(|kept| &kept.workers) {
            let worker = self.fleet.worker(at);
            index.set(at, worker.rack, usable(worker).count_ones() as usize);
        }
        index
    }

    /// Gives kept workers back to everybody.
    pub(super) fn release_kept(&mut self, key: JobKey) {
        let Some(at) = self.kept.iter().position(|kept| kept.job == key) else {
            return;
        };
        for worker in self.kept.swap_remove(at).workers {
            self.fleet.update(worker, |worker| worker.kept_for = None);
        }
        self.queue.unblock_all();
        self.changed = true;
    }

    /// Lets go of regions that did not come free as expected.
    pub(super) fn review_kept(&mut self) {
        let stale: Vec<JobKey> = self
            .kept
            .iter()
            .filter(|kept| {
                kept.review_ms <= self.now_ms
                    || kept
                        .workers
                        .iter()
                        .any(|&at| !self.fleet.worker(at).takes_work())
            })
            .map(|kept| kept.job)
            .collect();
        for key in stale {
            self.release_kept(key);
        }
    }
}
