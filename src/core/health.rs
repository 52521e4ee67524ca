//! Evidence against workers and against jobs.
//!
//! A worker that fails several different jobs in a row is quarantined; a job
//! that fails on several different healthy workers is unable to run. Evidence
//! counts once for each pair, so that one bad job cannot condemn a worker, nor
//! one bad worker a job.

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
    /// Notes that `job` failed on `worker`.
    pub(super) fn blame(&mut self, key: JobKey, worker: WorkerKey) {
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

    fn quarantine(&mut self, worker: WorkerKey) {
        if !self.fleet.worker(worker).takes_work() {
            return;
        }
        let surplus = self.fleet.worker(worker).failed_jobs.len() - self.limits.quarantine_failures;
        let until_ms = self.now_ms + (self.limits.quarantine_ms << surplus.min(6));
        // The jobs that failed here failed because of the worker.
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

    /// A job that cannot run anywhere says nothing about the workers it tried.
    pub(super) fn exonerate_workers(&mut self, key: JobKey) {
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

    /// Puts workers on probation whose quarantine is over: one more failure
    /// quarantines them again, for longer; one success clears them.
    pub(super) fn end_quarantines(&mut self) {
        let over: Vec<WorkerKey> = self
            .fleet
            .workers()
            .filter(|(_, worker)| match worker.health {
                WorkerHealth::Quarantined { until_ms } => until_ms <= self.now_ms,
                _ => false,
            })
            .map(|(key, _)| key)
            .collect();
        for worker in over {
            self.set_health(worker, WorkerHealth::Healthy);
        }
    }

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

    pub(super) fn worker_leaving(&mut self, name: &str) {
        let Some(worker) = self.fleet.find(name) else {
            return;
        };
        if self.fleet.worker(worker).health != WorkerHealth::Lost {
            self.set_health(worker, WorkerHealth::Leaving);
        }
    }

    /// Ends every gang with a member on `worker`, whose lease has ended.
    pub(super) fn worker_lost(&mut self, name: &str) {
        let Some(worker) = self.fleet.find(name) else {
            return;
        };
        self.set_health(worker, WorkerHealth::Lost);
        self.end_members_on(worker);
    }

    /// Ends every gang with a member on a worker that has restarted and has
    /// forgotten its tasks; the worker itself goes on.
    pub(super) fn worker_restarted(&mut self, name: &str) {
        if let Some(worker) = self.fleet.find(name) {
            self.end_members_on(worker);
            self.changed = true;
        }
    }

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
            // What has no attempt yet has lost nothing; it is placed again
            // only if the worker takes no more work.
            if state != Some(JobState::Claiming) {
                self.member_gone_as_it_was(key, worker);
                self.after_loss(key, RetryReason::WorkerLost);
            } else if !self.fleet.worker(worker).takes_work() {
                self.fail_gang(key, RetryReason::WorkerLost);
            }
        }
    }

    fn member_gone_as_it_was(&mut self, key: JobKey, worker: WorkerKey) {
        let Some(member) = self.jobs.get_mut(key).and_then(|job| job.member_on(worker)) else {
            return;
        };
        // What a new owner has not yet learned may have begun.
        let begun = member.may_have_begun || member.state == MemberState::Inspecting;
        self.member_gone(key, worker, begun);
    }

    pub(super) fn worker_returned(&mut self, name: &str) {
        if let Some(worker) = self.fleet.find(name) {
            let health = self.fleet.worker(worker).health;
            if matches!(health, WorkerHealth::Lost | WorkerHealth::Leaving) {
                self.set_health(worker, WorkerHealth::Healthy);
            }
        }
    }
}
