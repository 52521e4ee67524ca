//! One pass over the waiting jobs.

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

/// Who is tried in a sweep of a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sweep {
    /// Urgent work, and accounts within their fair share of the surplus.
    WithinShare,
    /// Everybody: what nobody else can use is not left idle.
    All,
}

impl Cell {
    /// Places what can be placed, in the order of latest starts.
    pub(super) fn schedule(&mut self) {
        self.place_kept();
        // A pass is bounded in what it tries and in what it places; the rest
        // follows with the next command.
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
            let Some((at, key)) = self.queue.next_ready(cursor) else {
                return;
            };
            let Some(job) = self.jobs.get(key) else {
                return;
            };
            if sweep == Sweep::WithinShare && !self.within_share(job, share_unit) {
                cursor = Some(at);
                continue;
            }
            let placed = self.try_place(key);
            self.placements_left -= usize::from(placed);
            // After a success the group's next job is looked at in turn.
            cursor = None;
            if !placed {
                *budget -= 1;
                self.queue.block(at);
                self.keep_for(key);
            }
        }
    }

    /// Accelerators of surplus for one unit of share among those who compete.
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
        f64::from(self.surplus_size) / f64::from(shares.max(1))
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

    /// Urgent work of an account at its quota takes the place of work of its
    /// own that can wait: what the account uses stays as it is.
    fn place_within_quota(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let urgent = self.class(job.class).urgent;
        let Some(plan) = urgent.then(|| self.own_work_plan(job)).flatten() else {
            return false;
        };
        self.place(key, plan);
        true
    }

    /// A guaranteed shape is the account's own and never over its quota.
    pub(super) fn over_quota(&self, job: &Job) -> bool {
        let account = &self.accounts[job.account.index()];
        account.used_accelerators + job.shape.accelerators()
            > account.declaration.quota_accelerators
    }

    /// Gives a waiting job its place and asks the victims to leave it.
    pub(super) fn place(&mut self, key: JobKey, plan: Plan) {
        self.dequeue(key);
        self.release_kept(key);
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        // Work inside its own guarantee is nobody else's to take back.
        let yields = plan.pledge.is_none() && self.may_yield(job);
        let mut members = Vec::with_capacity(plan.members.len());
        let mut taken = 0;
        for &(worker, mask) in &plan.members {
            let held = self.fleet.update(worker, |worker| {
                let held = mask & worker.free;
                worker.hold(held, key, yields);
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
            job.yields = yields;
            job.state = JobState::Claiming;
            job.since_ms = now_ms;
        }
        self.charge(key, taken);
        for victim in plan.victims {
            self.stop_gang(victim, plan.stop);
        }
        self.reserve_if_held(key);
    }

    /// Counts accelerators that `job` has taken.
    pub(super) fn charge(&mut self, job: JobKey, taken: u32) {
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

    /// Counts accelerators that `job` has given back.
    pub(super) fn discharge(&mut self, job: JobKey, given: u32) {
        let Some(job) = self.jobs.get(job) else {
            return;
        };
        if self.class(job.class).urgent {
            // A class may have become urgent while the job held them.
            let urgent = &mut self.headroom.urgent_accelerators;
            *urgent = urgent.saturating_sub(given);
        }
        let account = &mut self.accounts[job.account.index()];
        account.used_accelerators -= given;
        if job.pledge.is_none() {
            account.surplus_accelerators -= given;
        }
    }
}
