//! The witness: a concrete place for every guaranteed shape.
//!
//! Each guaranteed shape is pledged to particular accelerators. Only work of
//! the account itself, or work that can be taken back, is ever placed there.
//! So at every moment all guarantees can be had back together, within the
//! longest checkpoint grace of the work that fills them.

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
    worker::lowest, //
};
use crate::config::Declaration;

/// One instance of a guaranteed shape and the accelerators pledged to it.
#[derive(Clone, Debug)]
pub struct Pledge {
    /// The account that is guaranteed the shape.
    pub account: AccountKey,
    /// The shape.
    pub shape: Shape,
    /// Its accelerators; empty while no place is found.
    pub members: Vec<(WorkerKey, AcceleratorMask)>,
    /// Whether the guarantee was withdrawn.
    pub withdrawn: bool,
}

/// Guaranteed shapes of one account that cannot be had back now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortfall {
    /// The account's name.
    pub account: String,
    /// How many shapes.
    pub missing: u16,
}

/// Checks that an empty `fleet` can hold all guarantees of `data_centre`
/// together; pure, so that an entry can refuse a patch without the owner.
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
        let open = |worker: &Worker| worker.all & !worker.pledged;
        match find_place(&fleet, &shape, open) {
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

fn find_place(
    fleet: &Fleet,
    shape: &Shape,
    open: impl Fn(&Worker) -> AcceleratorMask,
) -> Option<Vec<(WorkerKey, AcceleratorMask)>> {
    let index = fleet.index_of(&open);
    let workers = region::find(fleet, &index, shape, region::End::Last)?;
    Some(
        workers
            .into_iter()
            .map(|key| {
                let mask = lowest(open(fleet.worker(key)), shape.accelerators_per_worker);
                (key, mask)
            })
            .collect(),
    )
}

impl Cell {
    /// Brings the pledges in line with the declared guarantees.
    pub(super) fn declare_pledges(&mut self, declaration: &Declaration) {
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

    /// Takes a pledge off its accelerators; work in them goes on as surplus.
    fn clear_pledge(&mut self, key: PledgeKey) {
        let members = std::mem::take(&mut self.pledges[key.index()].members);
        for (worker, mask) in members {
            self.fleet
                .update(worker, |worker| worker.set_pledge(mask, None));
        }
        for at in self.jobs_in_pledge(key) {
            if let Some(job) = self.jobs.get_mut(at) {
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
            .map(|(at, _)| at)
            .collect()
    }

    /// Moves the pledges off a worker that takes no more work.
    pub(super) fn move_pledges_off(&mut self, worker: WorkerKey) {
        let on_worker: Vec<PledgeKey> = self
            .pledges
            .iter()
            .enumerate()
            .filter(|(_, pledge)| pledge.members.iter().any(|&(at, _)| at == worker))
            .map(|(at, _)| PledgeKey(at as u16))
            .collect();
        for key in on_worker {
            self.clear_pledge(key);
        }
        self.place_pledges();
    }

    /// Finds a place for each pledge without one, the hardest first, and
    /// reports the accounts whose guarantee falls short.
    pub(super) fn place_pledges(&mut self) {
        let mut without: Vec<PledgeKey> = (0..self.pledges.len())
            .filter(|&at| !self.pledges[at].withdrawn && self.pledges[at].members.is_empty())
            .map(|at| PledgeKey(at as u16))
            .collect();
        without.sort_by_key(|key| {
            let shape = self.pledges[key.index()].shape;
            std::cmp::Reverse((shape.adjacency, shape.accelerators()))
        });
        for key in without {
            self.place_pledge(key);
        }
        self.report_shortfalls();
    }

    fn place_pledge(&mut self, key: PledgeKey) {
        let Pledge { account, shape, .. } = self.pledges[key.index()];
        let open = |worker: &Worker| worker.usable_by(false);
        let unobstructed = |worker: &Worker| open(worker) & !self.obstacles(worker, account);
        // Work that cannot be taken back and is not the account's own stands in
        // the way until it ends. A place without such work is preferred; else
        // the pledge is made all the same, so that no more of it comes in.
        let Some(members) = find_place(&self.fleet, &shape, unobstructed)
            .or_else(|| find_place(&self.fleet, &shape, open))
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

    /// Accelerators held by work of other accounts that cannot be taken back.
    fn obstacles(&self, worker: &Worker, account: AccountKey) -> AcceleratorMask {
        bits(worker.all & !worker.free & !worker.yielding)
            .filter(|&bit| {
                let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
                holder.is_some_and(|job| job.account != account)
            })
            .fold(0, |mask, bit| mask | 1 << bit)
    }

    /// Guaranteed shapes that cannot be had back now, by account.
    pub fn shortfalls(&self) -> Vec<Shortfall> {
        let mut missing: Vec<Shortfall> = Vec::new();
        for pledge in self.pledges.iter().filter(|pledge| !pledge.withdrawn) {
            let whole = !pledge.members.is_empty()
                && pledge.members.iter().all(|&(key, mask)| {
                    let worker = self.fleet.worker(key);
                    worker.takes_work() && self.obstacles(worker, pledge.account) & mask == 0
                });
            if whole {
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

    /// All pledges that stand.
    pub fn pledges(&self) -> impl Iterator<Item = (PledgeKey, &Pledge)> {
        self.pledges
            .iter()
            .enumerate()
            .filter(|(_, pledge)| !pledge.withdrawn)
            .map(|(at, pledge)| (PledgeKey(at as u16), pledge))
    }
}
