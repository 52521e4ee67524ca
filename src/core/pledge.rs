//! Assigns accelerators to every guaranteed shape.
//!
//! Each instance of a guaranteed shape is a pledge of particular accelerators to
//! an account. A new job is placed on pledged accelerators only if it belongs to
//! that account or is reclaimable. All guarantees can therefore be met at the
//! same time, within the longest checkpoint grace period of the jobs that hold
//! the accelerators.
//!
//! Exceptions are reported as shortfalls: a pledge could not be placed, one of its
//! workers accepts no jobs, or a job of another account that is not reclaimable has
//! held its accelerators since before they were pledged.

use super::{
    AccountKey,
    Cell,
    Effect,
    Fleet,
    PledgeKey,
    Shape,
    Worker,
    WorkerKey,
    region,
    worker::AcceleratorMask,
    worker::bits,
    worker::lowest_bits, //
};
use crate::config::Declaration;

/// One instance of a guaranteed shape and the accelerators pledged to it.
#[derive(Clone, Debug)]
pub struct Pledge {
    /// The account that is guaranteed the shape.
    pub account: AccountKey,
    /// The shape.
    pub shape: Shape,
    /// The pledged accelerators by worker; empty while the pledge is not placed.
    pub members: Vec<(WorkerKey, AcceleratorMask)>,
    /// Whether the guarantee was withdrawn; the entry may then be reused.
    pub withdrawn: bool,
}

/// Guaranteed shapes that one account could not use now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortfall {
    /// The account's name.
    pub account: String,
    /// Number of such shapes.
    pub missing: u16,
}

/// Returns the guarantees of `data_centre` that an idle `fleet` could not satisfy
/// at the same time. Needs no other state, so that an API daemon can refuse a
/// patch without asking the owner.
pub fn nominal_shortfalls(
    fleet: &Fleet,
    declaration: &Declaration,
    data_centre: &str,
) -> Vec<Shortfall> {
    let mut fleet = fleet.clone();
    let mut wanted: Vec<(&str, Shape)> = declaration
        .guarantees_in(data_centre)
        .flat_map(|(account, guarantee)| {
            std::iter::repeat_n(
                (account.name.as_str(), guarantee.shape()),
                usize::from(guarantee.count),
            )
        })
        .collect();
    wanted.sort_by_key(|(_, shape)| std::cmp::Reverse((shape.adjacency, shape.accelerators())));
    let mut missing: Vec<Shortfall> = Vec::new();
    for (account, shape) in wanted {
        let unpledged = |worker: &Worker| worker.all & !worker.pledged;
        match find_placement(&fleet, &shape, unpledged) {
            Some(members) => {
                for (worker, mask) in members {
                    fleet.update(worker, |worker| {
                        worker.set_pledge(mask, Some(PledgeKey(0)));
                    });
                }
            }
            None => match missing.iter_mut().find(|s| s.account == account) {
                Some(shortfall) => shortfall.missing += 1,
                None => missing.push(Shortfall {
                    account: account.to_owned(),
                    missing: 1,
                }),
            },
        }
    }
    missing
}

/// Finds accelerators for `shape` among those that `usable` returns for each worker.
fn find_placement(
    fleet: &Fleet,
    shape: &Shape,
    usable: impl Fn(&Worker) -> AcceleratorMask,
) -> Option<Vec<(WorkerKey, AcceleratorMask)>> {
    let index = fleet.build_index(&usable);
    let workers = region::find(fleet, &index, shape, region::PackingEnd::Last)?;
    Some(
        workers
            .into_iter()
            .map(|key| {
                let mask = lowest_bits(usable(fleet.worker(key)), shape.accelerators_per_worker);
                (key, mask)
            })
            .collect(),
    )
}

impl Cell {
    /// Adds and withdraws pledges so that they match the declared guarantees.
    pub(super) fn reconcile_pledges(&mut self, declaration: &Declaration) {
        let wanted: Vec<(AccountKey, Shape, u16)> = declaration
            .guarantees_in(&self.data_centre)
            .filter_map(|(account, guarantee)| {
                let key = self.account_named(&account.name)?;
                Some((key, guarantee.shape(), guarantee.count))
            })
            .collect();
        let mut remaining = wanted.clone();
        for at in 0..self.pledges.len() {
            let (account, shape) = (self.pledges[at].account, self.pledges[at].shape);
            let still_wanted = remaining
                .iter_mut()
                .find(|(a, s, count)| *a == account && *s == shape && *count > 0);
            match still_wanted {
                Some((_, _, count)) if !self.pledges[at].withdrawn => *count -= 1,
                _ => self.withdraw_pledge(PledgeKey(at as u16)),
            }
        }
        for (account, shape, count) in remaining {
            for _ in 0..count {
                self.add_pledge(account, shape);
            }
        }
        self.place_pledges();
    }

    fn add_pledge(&mut self, account: AccountKey, shape: Shape) {
        let pledge = Pledge {
            account,
            shape,
            members: Vec::new(),
            withdrawn: false,
        };
        match self.pledges.iter().position(|old| old.withdrawn) {
            Some(at) => self.pledges[at] = pledge,
            None => self.pledges.push(pledge),
        }
    }

    fn withdraw_pledge(&mut self, key: PledgeKey) {
        self.clear_pledge(key);
        self.pledges[key.index()].withdrawn = true;
    }

    /// Removes a pledge from its accelerators. Jobs inside it continue and are
    /// counted as users of surplus capacity.
    fn clear_pledge(&mut self, key: PledgeKey) {
        let members = std::mem::take(&mut self.pledges[key.index()].members);
        for (worker, mask) in members {
            self.fleet
                .update(worker, |worker| worker.set_pledge(mask, None));
        }
        for job_key in self.jobs_in_pledge(key) {
            if let Some(job) = self.jobs.get_mut(job_key) {
                job.pledge = None;
                let held: u32 = job.members.iter().map(|m| m.held.count_ones()).sum();
                self.accounts[job.account.index()].surplus_accelerators += held;
            }
        }
        self.topology_changed();
    }

    fn jobs_in_pledge(&self, key: PledgeKey) -> Vec<super::JobKey> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.pledge == Some(key))
            .map(|(job_key, _)| job_key)
            .collect()
    }

    /// Moves the pledges to other workers from one that accepts no more jobs.
    pub(super) fn move_pledges_off(&mut self, worker: WorkerKey) {
        let on_worker: Vec<PledgeKey> = self
            .pledges
            .iter()
            .enumerate()
            .filter(|(_, pledge)| pledge.members.iter().any(|&(member, _)| member == worker))
            .map(|(at, _)| PledgeKey(at as u16))
            .collect();
        for key in on_worker {
            self.clear_pledge(key);
        }
        self.place_pledges();
    }

    /// Places each pledge that is not placed, in the order of adjacency (strictest
    /// first) and then of accelerators (most first), and reports shortfalls.
    pub(super) fn place_pledges(&mut self) {
        let mut unplaced: Vec<PledgeKey> = (0..self.pledges.len())
            .filter(|&at| !self.pledges[at].withdrawn && self.pledges[at].members.is_empty())
            .map(|at| PledgeKey(at as u16))
            .collect();
        unplaced.sort_by_key(|key| {
            let shape = self.pledges[key.index()].shape;
            std::cmp::Reverse((shape.adjacency, shape.accelerators()))
        });
        for key in unplaced {
            self.place_pledge(key);
        }
        self.report_shortfalls();
    }

    fn place_pledge(&mut self, key: PledgeKey) {
        let Pledge { account, shape, .. } = self.pledges[key.index()];
        let unpledged = |worker: &Worker| worker.usable_by(false);
        let unblocked =
            |worker: &Worker| unpledged(worker) & !self.blocked_accelerators(worker, account);
        // Jobs of other accounts that are not reclaimable block the pledge until
        // they end. Accelerators without such jobs are preferred. If there are too
        // few, blocked ones are pledged too, so that no further such jobs are
        // placed there.
        let Some(members) = find_placement(&self.fleet, &shape, unblocked)
            .or_else(|| find_placement(&self.fleet, &shape, unpledged))
        else {
            return;
        };
        for &(worker, mask) in &members {
            self.fleet
                .update(worker, |worker| worker.set_pledge(mask, Some(key)));
        }
        self.pledges[key.index()].members = members;
        self.topology_changed();
    }

    /// Accelerators held by jobs of accounts other than `account` that are not
    /// reclaimable.
    fn blocked_accelerators(&self, worker: &Worker, account: AccountKey) -> AcceleratorMask {
        bits(worker.all & !worker.free & !worker.reclaimable)
            .filter(|&bit| {
                let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
                holder.is_some_and(|job| job.account != account)
            })
            .fold(0, |mask, bit| mask | 1 << bit)
    }

    /// Guaranteed shapes that could not be used now, even by preempting reclaimable
    /// jobs, by account.
    pub fn shortfalls(&self) -> Vec<Shortfall> {
        let mut missing: Vec<Shortfall> = Vec::new();
        for pledge in self.pledges.iter().filter(|pledge| !pledge.withdrawn) {
            let is_met = !pledge.members.is_empty()
                && pledge.members.iter().all(|&(key, mask)| {
                    let worker = self.fleet.worker(key);
                    worker.accepts_jobs()
                        && self.blocked_accelerators(worker, pledge.account) & mask == 0
                });
            if is_met {
                continue;
            }
            let account = &self.accounts[pledge.account.index()].declaration.name;
            match missing.iter_mut().find(|s| s.account == *account) {
                Some(shortfall) => shortfall.missing += 1,
                None => missing.push(Shortfall {
                    account: account.clone(),
                    missing: 1,
                }),
            }
        }
        missing
    }

    fn report_shortfalls(&mut self) {
        let shortfalls = self.shortfalls();
        if shortfalls == self.reported_shortfalls {
            return;
        }
        for shortfall in &shortfalls {
            self.effects.push(Effect::Shortfall {
                account: shortfall.account.clone(),
                missing: shortfall.missing,
            });
        }
        self.reported_shortfalls = shortfalls;
    }

    /// All pledges that are not withdrawn.
    pub fn pledges(&self) -> impl Iterator<Item = (PledgeKey, &Pledge)> {
        self.pledges
            .iter()
            .enumerate()
            .filter(|(_, pledge)| !pledge.withdrawn)
            .map(|(at, pledge)| (PledgeKey(at as u16), pledge))
    }
}
