//! Places waiting jobs in one bounded pass, in the order of their latest starts.

use super::{
    Cell,
    Job,
    JobKey,
    JobState,
    Member,
    MemberState,
    placement::Plan,
    queue::Cursor, //
};

/// Which jobs a sweep tries. A pass makes one sweep of each kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sweep {
    /// Urgent jobs, and jobs of accounts within their fair share of the surplus.
    WithinShare,
    /// All jobs, so that accelerators that no other job can use do not stay idle.
    All,
}

impl Cell {
    /// Runs a pass: places the jobs that can be placed, by latest start.
    pub(super) fn schedule(&mut self) {
        self.place_reserved();
        // A pass is bounded in the groups that it tries and in the jobs that it
        // places; the rest follows with the next command.
        let mut budget = self.limits.groups_per_pass;
        self.placements_left = self.limits.placements_per_pass;
        for sweep in [Sweep::WithinShare, Sweep::All] {
            self.sweep(sweep, &mut budget);
        }
        self.changed = self.placements_left == 0;
    }

    fn sweep(&mut self, sweep: Sweep, budget: &mut usize) {
        let share_unit = self.share_unit();
        let mut cursor: Option<Cursor> = None;
        while *budget > 0 && self.placements_left > 0 {
            let Some((position, key)) = self.queue.next_ready(cursor) else {
                return;
            };
            let Some(job) = self.jobs.get(key) else {
                return;
            };
            if sweep == Sweep::WithinShare && !self.within_share(job, share_unit) {
                cursor = Some(position);
                continue;
            }
            let placed = self.try_place(key);
            self.placements_left -= usize::from(placed);
            // After a placement, the group's next job is tried in its order.
            cursor = None;
            if !placed {
                *budget -= 1;
                self.queue.block(position);
                self.reserve_workers_for(key);
            }
        }
    }

    /// Returns the surplus accelerators per unit of share, divided among the
    /// accounts that use surplus or have waiting jobs.
    fn share_unit(&self) -> f64 {
        let competing = |account: &&super::Account| {
            account.waiting_jobs > 0 || account.surplus_accelerators > 0
        };
        let shares: u32 = self
            .accounts
            .iter()
            .filter(competing)
            .map(|account| account.declaration.share.max(1))
            .sum();
        f64::from(self.surplus_capacity) / f64::from(shares.max(1))
    }

    fn within_share(&self, job: &Job, share_unit: f64) -> bool {
        let account = &self.accounts[job.account.index()];
        let share = share_unit * f64::from(account.declaration.share.max(1));
        self.class(job.class).urgent || f64::from(account.surplus_accelerators) <= share
    }

    fn try_place(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let Some(plan) = self.find_plan(Some(key), job) else {
            return false;
        };
        let in_own_guarantee = plan.pledge.is_some();
        if !in_own_guarantee && self.over_quota(job) {
            return self.place_within_quota(key);
        }
        if !in_own_guarantee && self.uses_headroom(job, &plan) {
            return false;
        }
        self.place(key, plan);
        true
    }

    /// Places an urgent job of an account at its quota by preempting the account's
    /// own reclaimable work, so that its use stays within the quota.
    fn place_within_quota(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let urgent = self.class(job.class).urgent;
        let Some(plan) = urgent.then(|| self.own_jobs_plan(job)).flatten() else {
            return false;
        };
        self.place(key, plan);
        true
    }

    /// Returns whether the job would take its account over its quota. Jobs placed
    /// in the account's own pledges are exempt from the quota.
    pub(super) fn over_quota(&self, job: &Job) -> bool {
        let account = &self.accounts[job.account.index()];
        account.used_accelerators + job.shape.accelerators()
            > account.declaration.quota_accelerators
    }

    /// Assigns a waiting job to the place of `plan` and stops the plan's victims.
    pub(super) fn place(&mut self, key: JobKey, plan: Plan) {
        self.dequeue(key);
        self.release_reservation(key);
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        // Work in a pledge of its own account is never preempted.
        let is_reclaimable = plan.pledge.is_none() && self.may_be_reclaimed(job);
        let mut members = Vec::with_capacity(plan.members.len());
        let mut taken = 0;
        for &(worker, mask) in &plan.members {
            let held = self.fleet.update(worker, |worker| {
                let held = mask & worker.free;
                worker.hold(held, key, is_reclaimable);
                worker.claim(mask & !held, key);
                held
            });
            taken += held.count_ones();
            members.push(Member {
                worker,
                mask,
                held,
                state: MemberState::Claiming,
                may_have_begun: false,
                saved_ms: None,
            });
        }
        let now_ms = self.now_ms;
        if let Some(job) = self.jobs.get_mut(key) {
            job.members = members;
            job.pledge = plan.pledge;
            job.is_reclaimable = is_reclaimable;
            job.state = JobState::Claiming;
            job.state_since_ms = now_ms;
        }
        self.add_usage(key, taken);
        for victim in plan.victims {
            self.stop_gang(victim, plan.stop);
        }
        self.reserve_if_all_held(key);
    }

    /// Adds accelerators that `job` has taken to the use of its account.
    pub(super) fn add_usage(&mut self, job: JobKey, taken: u32) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        if self.class(job.class).urgent {
            self.headroom.urgent_accelerators += taken;
        }
        let account = &mut self.accounts[job.account.index()];
        account.used_accelerators += taken;
        if job.pledge.is_none() {
            account.surplus_accelerators += taken;
        }
    }

    /// Subtracts accelerators that `job` has released from the use of its account.
    pub(super) fn subtract_usage(&mut self, job: JobKey, released: u32) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        if self.class(job.class).urgent {
            // A class may have become urgent while the job held them.
            let urgent = &mut self.headroom.urgent_accelerators;
            *urgent = urgent.saturating_sub(released);
        }
        let account = &mut self.accounts[job.account.index()];
        account.used_accelerators -= released;
        if job.pledge.is_none() {
            account.surplus_accelerators -= released;
        }
    }
}
