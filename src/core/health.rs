//! Worker health: quarantine after failures, draining, loss and return.
//!
//! A worker on which several different jobs in a row have failed is quarantined.
//! A job that has failed on several different healthy workers is considered
//! unable to run. Each pair of a worker and a job counts once, so that one faulty
//! job cannot quarantine a worker and one faulty worker cannot end a job.

use super::{
    Cell,
    Effect,
    JobKey,
    JobState,
    MemberState,
    RetryReason,
    WorkerHealth,
    WorkerKey, //
};

impl Cell {
    /// Records that job `key` failed on `worker`, and quarantines the worker if too
    /// many different jobs have failed there in a row.
    pub(super) fn record_failure(&mut self, key: JobKey, worker: WorkerKey) {
        let failed_jobs = self.fleet.update(worker, |worker| {
            if !worker.failed_jobs.contains(&key) {
                worker.failed_jobs.push(key);
            }
            worker.failed_jobs.len()
        });
        if let Some(job) = self.jobs.get_mut(key)
            && !job.failed_workers.contains(&worker)
        {
            job.failed_workers.push(worker);
        }
        if failed_jobs >= self.limits.quarantine_failures {
            self.quarantine(worker);
        }
    }

    /// Quarantines a worker, for twice as long with each failure above the limit (up
    /// to 64 times), and removes its failures from the jobs that failed there.
    fn quarantine(&mut self, worker: WorkerKey) {
        if !self.fleet.worker(worker).accepts_jobs() {
            return;
        }
        let excess = self.fleet.worker(worker).failed_jobs.len() - self.limits.quarantine_failures;
        let until_ms = self.now_ms + (self.limits.quarantine_ms << excess.min(6));
        // The failures here are attributed to the worker, not to the jobs.
        let failed = self.fleet.update(worker, |worker| {
            worker.health = WorkerHealth::Quarantined { until_ms };
            worker.failed_jobs.clone()
        });
        for key in failed {
            if let Some(job) = self.jobs.get_mut(key) {
                job.failed_workers.retain(|&at| at != worker);
                job.failures = job.failures.saturating_sub(1);
            }
        }
        self.effects.push(Effect::Quarantined { worker });
        self.move_pledges_off(worker);
    }

    /// Removes the failures of a job from its workers. The failures of a job that
    /// cannot run anywhere say nothing about the workers.
    pub(super) fn clear_failures_of_job(&mut self, key: JobKey) {
        let workers = match self.jobs.get(key) {
            Some(job) => job.failed_workers.clone(),
            None => return,
        };
        for worker in workers {
            self.fleet.update(worker, |worker| {
                worker.failed_jobs.retain(|&job| job != key)
            });
        }
    }

    /// Ends quarantines that have expired. The workers are then on probation: one
    /// more failure quarantines them again, for longer, and one success clears
    /// their failures.
    pub(super) fn end_quarantines(&mut self) {
        let expired: Vec<WorkerKey> = self
            .fleet
            .workers()
            .filter(|(_, worker)| match worker.health {
                WorkerHealth::Quarantined { until_ms } => until_ms <= self.now_ms,
                _ => false,
            })
            .map(|(key, _)| key)
            .collect();
        for worker in expired {
            self.set_health(worker, WorkerHealth::Healthy);
        }
    }

    /// Sets a worker's health and moves or places pledges accordingly.
    fn set_health(&mut self, worker: WorkerKey, health: WorkerHealth) {
        if self.fleet.worker(worker).health == health {
            return;
        }
        self.fleet.update(worker, |worker| worker.health = health);
        if health == WorkerHealth::Healthy {
            self.place_pledges();
        } else {
            self.move_pledges_off(worker);
        }
        self.topology_changed();
    }

    /// Marks a worker as draining, unless it is lost.
    pub(super) fn handle_worker_leaving(&mut self, name: &str) {
        let Some(worker) = self.fleet.find(name) else {
            return;
        };
        if self.fleet.worker(worker).health != WorkerHealth::Lost {
            self.set_health(worker, WorkerHealth::Leaving);
        }
    }

    /// Marks the worker called `name`, whose lease has expired, as lost and ends
    /// every gang with a member on it.
    pub(super) fn handle_worker_lost(&mut self, name: &str) {
        let Some(worker) = self.fleet.find(name) else {
            return;
        };
        self.set_health(worker, WorkerHealth::Lost);
        self.end_members_on(worker);
    }

    /// Ends every gang with a member on a worker that has restarted and lost its
    /// tasks. The worker remains usable.
    pub(super) fn handle_worker_restarted(&mut self, name: &str) {
        if let Some(worker) = self.fleet.find(name) {
            self.end_members_on(worker);
            self.changed = true;
        }
    }

    /// Ends the attempts of the jobs that hold or have claimed accelerators on a
    /// worker.
    fn end_members_on(&mut self, worker: WorkerKey) {
        let all = self.fleet.worker(worker).all;
        let mut affected = self.fleet.worker(worker).holders_of(all);
        let claimants = (0..super::MAX_ACCELERATORS_PER_WORKER)
            .filter_map(|bit| self.fleet.worker(worker).claimant(bit));
        affected.extend(claimants);
        affected.sort_unstable();
        affected.dedup();
        for key in affected {
            let state = self.jobs.get(key).map(|job| job.state);
            // A gang that is still claiming accelerators has no attempt to lose. It
            // is placed again only if the worker accepts no more jobs.
            if state != Some(JobState::Claiming) {
                self.remove_lost_member(key, worker);
                self.handle_member_loss(key, RetryReason::WorkerLost);
            } else if !self.fleet.worker(worker).accepts_jobs() {
                self.fail_gang(key, RetryReason::WorkerLost);
            }
        }
    }

    /// Marks the member of a job on `worker` as gone, and keeps whether its task may
    /// have begun.
    fn remove_lost_member(&mut self, key: JobKey, worker: WorkerKey) {
        let Some(member) = self.jobs.get_mut(key).and_then(|job| job.member_on(worker)) else {
            return;
        };
        // A new owner that is still inspecting the member does not know whether the
        // task has begun, so assume that it has.
        let begun = member.may_have_begun || member.state == MemberState::Inspecting;
        self.end_member(key, worker, begun);
    }

    /// Marks a lost or draining worker as healthy again.
    pub(super) fn handle_worker_returned(&mut self, name: &str) {
        if let Some(worker) = self.fleet.find(name) {
            let health = self.fleet.worker(worker).health;
            if matches!(health, WorkerHealth::Lost | WorkerHealth::Leaving) {
                self.set_health(worker, WorkerHealth::Healthy);
            }
        }
    }
}
