//! Reserves workers for large waiting gangs and backfills them with short jobs.
//!
//! Without reservations, small jobs fill each gap as it opens and a large gang
//! starves. The first gangs in queue order that cannot be placed, up to a limit,
//! each get the region (a set of workers that can hold the gang) that is expected
//! to be free earliest. A single-worker job may use a reserved worker only if it
//! is expected to end before then, or if it is about to miss its deadline and the
//! gang has time to wait.
//!
//! These reservations exist in the scheduler only. They are not the
//! reservations that the members of a gang make on their workers before they
//! start.

use super::{
    CapacityView,
    Cell,
    Job,
    JobKey,
    JobState,
    Worker,
    WorkerKey,
    placement::Plan,
    placement::outside_pledges_first,
    placement::plan_from_index,
    region,
    worker::AcceleratorMask,
    worker::bits, //
};

/// A reservation is released when the gang has not been placed this long after
/// the expected time.
const REVIEW_DELAY_MS: u64 = 30_000;
/// All reservations together cover at most one worker in this many; a single
/// reservation may cover more.
const RESERVED_SHARE_DIVISOR: usize = 4;
/// Minimum time between two searches for a region for the same gang.
const RESERVATION_RETRY_MS: u64 = 500;
/// Maximum number of times at which a region is tested for being free.
const MAX_HORIZONS: usize = 64;
/// A task past its estimate is expected to run on for the time it has run so
/// far, divided by this.
const OVERRUN_DIVISOR: u64 = 2;

/// A waiting gang and the workers reserved for it.
#[derive(Clone, Debug)]
pub(super) struct BackfillReservation {
    pub job: JobKey,
    pub workers: Vec<WorkerKey>,
    /// When all the workers are expected to be free.
    pub ready_ms: u64,
    /// When the reservation is released if the gang is still waiting.
    pub review_ms: u64,
}

impl Cell {
    /// Reserves workers for a gang that could not be placed, or places it at once
    /// if moving smaller jobs out of its way is worth the cost.
    pub(super) fn reserve_workers_for(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let large = job.shape.workers > 1 && job.reserve_after_ms <= self.now_ms;
        let has_reservation = self
            .backfill_reservations
            .iter()
            .any(|reservation| reservation.job == key);
        if !large
            || has_reservation
            || self.backfill_reservations.len() >= self.limits.max_reservations
            || self.over_quota(job)
        {
            return;
        }
        let earliest = self.earliest_region(job);
        let reserve_after_ms = self.now_ms + RESERVATION_RETRY_MS;
        let ready_ms = earliest.as_ref().map(|(_, ready_ms)| *ready_ms);
        if let Some(plan) = self.consolidating_plan(job, ready_ms) {
            return self.place(key, plan);
        }
        if let Some(job) = self.jobs.get_mut(key) {
            job.reserve_after_ms = reserve_after_ms;
        }
        let Some((workers, ready_ms)) = earliest else {
            return;
        };
        let reserved_workers: usize = self
            .backfill_reservations
            .iter()
            .map(|reservation| reservation.workers.len())
            .sum();
        if !self.backfill_reservations.is_empty()
            && (reserved_workers + workers.len()) * RESERVED_SHARE_DIVISOR > self.fleet.len()
        {
            return;
        }
        for &worker in &workers {
            self.fleet
                .update(worker, |worker| worker.reserved_for = Some(key));
        }
        self.backfill_reservations.push(BackfillReservation {
            job: key,
            workers,
            ready_ms,
            review_ms: ready_ms.max(self.now_ms) + REVIEW_DELAY_MS,
        });
    }

    /// The region for `job` that is expected to be free earliest, and when.
    fn earliest_region(&self, job: &Job) -> Option<(Vec<WorkerKey>, u64)> {
        let is_reclaimable = self.may_be_reclaimed(job);
        let per_worker = usize::from(job.shape.accelerators_per_worker);
        let mut free_times: Vec<u64> = Vec::new();
        let ready_times: Vec<Option<u64>> = self
            .fleet
            .workers()
            .map(|(_, worker)| {
                let usable = match worker.reserved_for {
                    Some(_) => 0,
                    None => worker.usable_by(is_reclaimable),
                };
                free_times.clear();
                free_times.extend(bits(usable).map(|bit| self.expected_free_ms(worker, bit)));
                free_times.sort_unstable();
                free_times.get(per_worker.checked_sub(1)?).copied()
            })
            .collect();
        let mut horizons: Vec<u64> = ready_times.iter().flatten().copied().collect();
        horizons.sort_unstable();
        horizons.dedup();
        // A sample of the times that includes the last one is enough: the
        // estimates are inexact, and each test costs a pass over the fleet.
        let stride = horizons.len().div_ceil(MAX_HORIZONS).max(1);
        horizons = horizons.into_iter().rev().step_by(stride).collect();
        horizons.reverse();
        // Finds the first time by which some region is free. A region that is
        // free by one time is free by any later time, so a binary search works.
        let at = horizons
            .partition_point(|&by_ms| self.region_free_by(job, &ready_times, by_ms).is_none());
        let ready_ms = *horizons.get(at)?;
        Some((self.region_free_by(job, &ready_times, ready_ms)?, ready_ms))
    }

    /// A region for `job` among the workers that are expected to be free by `by_ms`.
    fn region_free_by(
        &self,
        job: &Job,
        ready_times: &[Option<u64>],
        by_ms: u64,
    ) -> Option<Vec<WorkerKey>> {
        let mut index = super::Index::with_bounds(self.fleet.len(), self.fleet.racks().len());
        for (key, worker) in self.fleet.workers() {
            if ready_times[key.index()].is_some_and(|ready_ms| ready_ms <= by_ms) {
                let count = usize::from(job.shape.accelerators_per_worker);
                index.set(key, worker.rack, count);
            }
        }
        region::find(
            &self.fleet,
            &index,
            &job.shape,
            region::PackingEnd::of(self.may_be_reclaimed(job)),
        )
    }

    /// When the holder of an accelerator is expected to release it; now if it is free.
    fn expected_free_ms(&self, worker: &Worker, bit: usize) -> u64 {
        let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
        holder.map_or(self.now_ms, |job| self.expected_end_ms(job))
    }

    /// When a job that holds accelerators is expected to release them.
    pub(super) fn expected_end_ms(&self, job: &Job) -> u64 {
        match job.state {
            JobState::Stopping(_) => self.now_ms + self.class(job.class).grace_ms,
            JobState::Running => {
                let end_ms = job.run_started_ms + self.remaining_ms(job);
                let ran_ms = self.now_ms.saturating_sub(job.run_started_ms);
                end_ms.max(self.now_ms + ran_ms / OVERRUN_DIVISOR * u64::from(end_ms < self.now_ms))
            }
            _ => self.now_ms + self.remaining_ms(job),
        }
    }

    /// A placement on a reserved worker for a job that is expected to end before
    /// the waiting gang needs the worker.
    pub(super) fn backfill_plan(&self, key: Option<JobKey>, job: &Job) -> Option<Plan> {
        if job.shape.workers != 1 {
            return None;
        }
        let view = CapacityView::free_for(self.may_be_reclaimed(job));
        let end_ms = self.now_ms + self.remaining_ms(job);
        // A job that is about to miss its deadline may also delay a gang that can
        // still start in time after it.
        let time_critical = self.is_time_critical(job);
        let has_slack = |gang: JobKey| {
            let gang = self.jobs.get(gang);
            gang.is_some_and(|gang| gang.latest_start_ms > end_ms)
        };
        let per_worker = job.shape.accelerators_per_worker;
        let worker = self
            .backfill_reservations
            .iter()
            .filter(|reservation| {
                (end_ms <= reservation.ready_ms || time_critical && has_slack(reservation.job))
                    && Some(reservation.job) != key
            })
            .flat_map(|reservation| reservation.workers.iter().copied())
            .filter(|&at| self.fleet.mask(view, at).count_ones() >= u32::from(per_worker))
            .min_by_key(|&at| self.fleet.mask(view, at).count_ones())?;
        let mask = self.fleet.mask(view, worker);
        let mask = outside_pledges_first(self.fleet.worker(worker), mask, per_worker);
        Some(Plan::free(vec![(worker, mask)]))
    }

    /// Places the gangs whose reserved workers have become free.
    pub(super) fn place_reserved(&mut self) {
        let waiting: Vec<JobKey> = self
            .backfill_reservations
            .iter()
            .map(|reservation| reservation.job)
            .collect();
        for key in waiting {
            let Some(job) = self.jobs.get(key).filter(|job| job.is_waiting()) else {
                self.release_reservation(key);
                continue;
            };
            let view = CapacityView::free_for(self.may_be_reclaimed(job));
            let usable = |worker: &Worker| match worker.reserved_for == Some(key) {
                true => view.mask(worker),
                false => 0,
            };
            let free = self.build_index_of_reserved(key, usable);
            let plan = plan_from_index(&self.fleet, &free, job, usable);
            if let Some(plan) = plan.filter(|_| !self.over_quota(job)) {
                self.place(key, plan);
            }
        }
    }

    /// An index of the usable accelerators on the workers reserved for `key`.
    fn build_index_of_reserved(
        &self,
        key: JobKey,
        usable: impl Fn(&Worker) -> AcceleratorMask,
    ) -> super::Index {
        let mut index = super::Index::with_bounds(self.fleet.len(), self.fleet.racks().len());
        let reservations = self
            .backfill_reservations
            .iter()
            .filter(|reservation| reservation.job == key);
        for &at in reservations.flat_map(|reservation| &reservation.workers) {
            let worker = self.fleet.worker(at);
            index.set(at, worker.rack, usable(worker).count_ones() as usize);
        }
        index
    }

    /// Releases the workers reserved for a gang, so that every job can use them.
    pub(super) fn release_reservation(&mut self, key: JobKey) {
        let Some(at) = self
            .backfill_reservations
            .iter()
            .position(|reservation| reservation.job == key)
        else {
            return;
        };
        for worker in self.backfill_reservations.swap_remove(at).workers {
            self.fleet
                .update(worker, |worker| worker.reserved_for = None);
        }
        self.queue.unblock_all();
        self.changed = true;
    }

    /// Releases reservations that did not become free as expected or that contain
    /// a worker that no longer accepts jobs.
    pub(super) fn review_reservations(&mut self) {
        let stale: Vec<JobKey> = self
            .backfill_reservations
            .iter()
            .filter(|reservation| {
                reservation.review_ms <= self.now_ms
                    || reservation
                        .workers
                        .iter()
                        .any(|&at| !self.fleet.worker(at).accepts_jobs())
            })
            .map(|reservation| reservation.job)
            .collect();
        for key in stale {
            self.release_reservation(key);
        }
    }
}
