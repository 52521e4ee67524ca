//! Divides capacity among the client accounts while there is too little for all.
//!
//! Load pattern: one account submits several times as much as the fleet can do, beside others
//! with a steady load. In the order by utility alone, its jobs are as good as theirs, so all
//! accounts wait as long as the one that floods. So while accounts want more than the fleet has,
//! each has a share: the most that can be given to every account that wants as much (max-min).
//! Work beyond the share of its account keeps only a part of its utility in the order. Limits:
//! what no other account wants is used, since the shares only order what waits; work within an
//! account's guarantee and long-running work have no share.

use super::LearnedAccount;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::Arc;

/// Time constant of the use that counts: a few run times, so that an account which had more
/// than its share leaves the next free capacity to the others.
const MEMORY_MS: f64 = 8_000.0;
/// Time constant with which the capacity that can be in use at a time is learned.
const ATTAINABLE_MEMORY_MS: f64 = 2_000.0;
/// Least part of the capacity that counts as attainable: whatever waits, no more of it than this
/// is lost to remnants.
const LEAST_ATTAINABLE: f64 = 0.5;
/// Accounts with less use than this are forgotten; in thousandths of a core.
const LEAST_USE: f64 = 1.0;
/// Time without work beyond its share after which an account is reported as within it again.
const WITHIN_SHARE_AFTER_MS: u64 = 2_000;
/// Most accounts that are remembered; those with the least use are forgotten first.
const MAX_ACCOUNTS: usize = 1_024;

/// What one account uses and waits for, in thousandths of a core; see `Resources::weight`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountLoad {
    /// Weight of the resources of its runs.
    pub used: f64,
    /// Weight of the resources of its waiting tasks.
    pub waiting: f64,
}

/// How the capacity divides in one scheduling pass.
#[derive(Clone, Debug, PartialEq)]
pub struct Division {
    /// The most that an account may use before its work waits for that of others; infinite
    /// while there is enough for all. In thousandths of a core.
    pub share: f64,
    /// What each account counts as using.
    used: BTreeMap<Arc<str>, f64>,
    /// Accounts with work beyond their share.
    beyond: BTreeSet<Arc<str>>,
}

/// What was done recently for each client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountShares {
    /// Work done, in thousandths of a core times milliseconds, which decays with [`MEMORY_MS`].
    served_work: BTreeMap<Arc<str>, f64>,
    /// Weight of the resources that can be in use at a time, in thousandths of a core; `None`
    /// until work waited. Tasks leave remnants of workers that none fits into.
    attainable: Option<f64>,
    /// Accounts that were reported as beyond their shares, and when they last were.
    reported_ms: BTreeMap<Arc<str>, u64>,
    /// When the use was last observed.
    observed_ms: Option<u64>,
    /// Whether work found no capacity in the last pass, although the fleet could hold it.
    is_short: bool,
}

/// An account began to have, or no longer has, waiting work beyond its share.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The account.
    pub account: Arc<str>,
    /// Whether it has waiting work beyond its share.
    pub is_beyond: bool,
    /// What it counts as using, in thousandths of a core.
    pub used: f64,
    /// The share, in thousandths of a core.
    pub share: f64,
}

impl AccountShares {
    /// Adds the work of the runs since the last call, with the present use of each account.
    pub fn observe(&mut self, now_ms: u64, loads: &BTreeMap<Arc<str>, AccountLoad>) {
        let observed_ms = self.observed_ms.replace(now_ms);
        let since_ms = observed_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        let kept = (-(since_ms as f64) / MEMORY_MS).exp();
        for work in self.served_work.values_mut() {
            *work *= kept;
        }
        for (account, load) in loads {
            let work = self.served_work.entry(account.clone()).or_default();
            *work += load.used * MEMORY_MS * (1.0 - kept);
        }
        self.served_work
            .retain(|_, work| *work >= LEAST_USE * MEMORY_MS);
        self.forget_least();
        let used: f64 = loads.values().map(|load| load.used).sum();
        if self.is_short {
            let attainable = self.attainable.get_or_insert(used);
            let weight = 1.0 - (-(since_ms as f64) / ATTAINABLE_MEMORY_MS).exp();
            *attainable += weight * (used - *attainable);
        }
        self.attainable = self.attainable.map(|attainable| attainable.max(used));
    }

    /// Records whether work found no capacity in a pass, although the fleet could hold it.
    pub fn record_pass(&mut self, is_short: bool) {
        self.is_short = is_short;
    }

    /// Charges a preempted run to the account that it made room for, instead of the account that
    /// lost its work: `weight` in thousandths of a core, used for `lost_ms`.
    pub fn charge_preemption(
        &mut self,
        preempting: &str,
        preempted: &str,
        weight: f64,
        lost_ms: u64,
    ) {
        // As much as `observe` has added for the run.
        let work = weight * MEMORY_MS * (1.0 - (-(lost_ms as f64) / MEMORY_MS).exp());
        *self.served_work.entry(preempting.into()).or_default() += work;
        if let Some(served_work) = self.served_work.get_mut(preempted) {
            *served_work = (*served_work - work).max(0.0);
        }
    }

    /// Divides `capacity`, in thousandths of a core, among the accounts. What an account uses
    /// now counts, or what it used recently if that was more.
    pub fn divide(&self, capacity: f64, loads: &BTreeMap<Arc<str>, AccountLoad>) -> Division {
        let wanted: Vec<f64> = loads
            .values()
            .map(|load| load.used + load.waiting)
            .collect();
        let recent = |account: &Arc<str>| {
            let work = self.served_work.get(account).copied().unwrap_or(0.0);
            work / MEMORY_MS
        };
        let used = loads
            .iter()
            .map(|(account, load)| (account.clone(), load.used.max(recent(account))));
        let attainable = self.attainable.unwrap_or(capacity);
        let attainable = attainable.clamp(LEAST_ATTAINABLE * capacity, capacity);
        let wanting = wanted.iter().filter(|&&want| want > 0.0).count();
        // One account alone may use everything, and nothing divides while no worker takes work.
        let is_contested = self.is_short && wanting > 1 && attainable > 0.0;
        Division {
            share: match is_contested {
                true => max_min_share(attainable, &wanted),
                false => f64::INFINITY,
            },
            used: used.collect(),
            beyond: BTreeSet::new(),
        }
    }

    /// Records which accounts have work that waits beyond their share, as `division` found while
    /// the pass was ordered. Returns what has changed.
    pub fn record_beyond(&mut self, now_ms: u64, division: &Division) -> Vec<ShareChange> {
        let change = |account: &Arc<str>, is_beyond| ShareChange {
            account: account.clone(),
            is_beyond,
            used: division.used.get(account).copied().unwrap_or(0.0),
            share: division.share,
        };
        let mut changes = Vec::new();
        for account in &division.beyond {
            if self.reported_ms.insert(account.clone(), now_ms).is_none() {
                changes.push(change(account, true));
            }
        }
        self.reported_ms.retain(|account, last_ms| {
            let is_beyond = now_ms < *last_ms + WITHIN_SHARE_AFTER_MS;
            if !is_beyond {
                changes.push(change(account, false));
            }
            is_beyond
        });
        changes
    }

    /// Returns the number of accounts with waiting work beyond their share.
    pub fn beyond_count(&self) -> usize {
        self.reported_ms.len()
    }

    /// Returns what is remembered of the accounts.
    pub fn learned(&self) -> Vec<LearnedAccount> {
        let accounts = self.served_work.iter();
        accounts
            .map(|(name, &served_work)| LearnedAccount {
                name: name.clone(),
                served_work,
            })
            .collect()
    }

    /// Takes over what an earlier owner remembered `age_ms` ago, where it is more than what is
    /// known here.
    pub fn restore(&mut self, accounts: &[LearnedAccount], age_ms: u64) {
        let kept = (-(age_ms as f64) / MEMORY_MS).exp();
        for account in accounts {
            let work = account.served_work * kept;
            if work.is_finite() && work >= LEAST_USE * MEMORY_MS {
                let known = self.served_work.entry(account.name.clone()).or_default();
                *known = known.max(work);
            }
        }
        self.forget_least();
    }

    fn forget_least(&mut self) {
        let surplus = self.served_work.len().saturating_sub(MAX_ACCOUNTS);
        if surplus == 0 {
            return;
        }
        let mut works: Vec<f64> = self.served_work.values().copied().collect();
        let (_, &mut most, _) = works.select_nth_unstable_by(surplus - 1, f64::total_cmp);
        self.served_work.retain(|_, work| *work > most);
    }
}

impl Division {
    /// Whether accounts want more than there is.
    pub fn is_contested(&self) -> bool {
        self.share.is_finite()
    }

    /// Counts work of `weight`, in thousandths of a core, as used by an account, so that later
    /// work of the account is ordered behind it. Returns `None` if the work is within the share,
    /// otherwise the share as a part of what the account used before. Work that only crosses the
    /// share is still within it, so that an account without any use can place work that is larger
    /// than its share.
    pub fn take(&mut self, account: &str, weight: f64) -> Option<f64> {
        let used = self.used.get_mut(account)?;
        let before = *used;
        *used += weight;
        if before < self.share {
            return None;
        }
        if !self.beyond.contains(account) {
            self.beyond.insert(account.into());
        }
        Some(self.share / before)
    }
}

/// Returns the greatest share such that `capacity` is enough if every account gets what it wants
/// up to the share; infinite if it is enough for all that is wanted.
pub fn max_min_share(capacity: f64, wanted: &[f64]) -> f64 {
    let mut wanted: Vec<f64> = wanted.iter().copied().filter(|&want| want > 0.0).collect();
    wanted.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (at, &want) in wanted.iter().enumerate() {
        let share = left / (wanted.len() - at) as f64;
        if want > share {
            return share;
        }
        left -= want;
    }
    f64::INFINITY
}
