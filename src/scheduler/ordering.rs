//! Determines the order in which waiting groups are offered capacity.
//!
//! Load pattern: far more work is submitted than the fleet can do, in classes whose jobs
//! differ a hundredfold in size, with bursts of urgent jobs. A job on time has its full
//! utility and a late job a part of it, so capacity goes first to the job with the most
//! utility per unit of the work that it still takes. Limits: jobs that are too late to
//! have any utility come last, but still run.

use super::action::Decision;
use super::job::utility_ratio;
use super::state::Scheduler;
use super::{
    AccountLoad,
    Group,
    GroupKey, //
};
use crate::core::JobId;
use std::cmp::Ordering;
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};
use std::sync::Arc;

/// Utility of a job by the priority of its queue. The configuration does not contain
/// utilities; it only orders queues by priority.
const UTILITY_BY_PRIORITY: [f64; 3] = [4.0, 3.0, 1.0];
/// Utility of a job of any lower priority.
const LEAST_UTILITY: f64 = 0.5;
/// Part of its utility that a late job has: about what operators state.
pub(super) const LATE_PART: f64 = 0.25;
/// Part of the utility by which jobs are ordered that are too late to have any.
const TOO_LATE_PART: f64 = 0.005;
/// A late job has utility until this many times the length of its objective.
const LATE_FACTOR: u64 = 3;

/// The policy that orders waiting work within a tier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderingPolicy {
    /// By utility for each unit of work; urgent work may preempt.
    Utility,
    /// In the order in which work became ready, without preemption or headroom. A
    /// baseline for replays.
    FirstComeFirstServed,
    /// Shortest task first, without preemption or headroom. A baseline for replays.
    ShortestFirst,
}

/// Tiers of work: a tier is offered capacity before all tiers after it, whatever the
/// utility.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// Long-running work.
    LongRunning,
    /// Urgent work within its account's guarantee.
    Guaranteed,
    /// All other work.
    Other,
}

/// The deadline of a job, from which its utility over time follows.
#[derive(Clone, Copy, Debug)]
pub struct JobObjective {
    /// Time from which the job is late.
    pub objective_ms: u64,
    /// Length of its objective.
    pub objective_length_ms: u64,
    /// How far its end may be from the expected end, in milliseconds.
    pub spread_ms: f64,
}

impl JobObjective {
    /// Returns the part of its utility that a job expected to end at `end_ms` has on
    /// average, from 0 to 1, given the chances of being on time, late and too late.
    pub fn part_at(&self, end_ms: u64) -> f64 {
        let last_ms = self.objective_ms + (LATE_FACTOR - 1) * self.objective_length_ms;
        let on_time = self.chance(end_ms, self.objective_ms);
        let not_over = self.chance(end_ms, last_ms);
        on_time * (1.0 - LATE_PART) + not_over * LATE_PART
    }

    /// Returns how much slack a job with a run time of `run_ms` has left, from 1 down to
    /// 0 at the last moment at which it can begin without losing utility.
    pub fn slack_fraction(&self, now_ms: u64, run_ms: u64) -> f64 {
        let last_ms = self.objective_ms + (LATE_FACTOR - 1) * self.objective_length_ms;
        let end_ms = now_ms + run_ms;
        let by_ms = if end_ms <= self.objective_ms {
            self.objective_ms
        } else {
            last_ms
        };
        let slack_ms = by_ms.saturating_sub(end_ms) as f64;
        (slack_ms / (0.5 * self.objective_length_ms.max(1) as f64)).min(1.0)
    }

    /// Chance that a job expected to end at `end_ms` ends by `by_ms`.
    fn chance(&self, end_ms: u64, by_ms: u64) -> f64 {
        let slack_ms = by_ms as f64 - end_ms as f64;
        (0.5 + slack_ms / (2.0 * self.spread_ms.max(1.0))).clamp(0.0, 1.0)
    }
}

/// The utility that a job may still have and the work that it still takes.
#[derive(Clone, Copy, Debug)]
pub struct UtilityEstimate {
    /// Utility of a job of its queue.
    pub utility: f64,
    /// Utility of the job relative to that of a job of its queue with the mean work.
    pub utility_ratio: f64,
    /// Work left, in thousandths of a core times milliseconds.
    pub work_left: f64,
    /// Run time left if the job starts now.
    pub chain_left_ms: u64,
    /// Time from which the job is late.
    pub objective_ms: u64,
    /// Length of its objective.
    pub objective_length_ms: u64,
}

impl UtilityEstimate {
    /// Returns the utility per unit of work left if the job starts at `now_ms`.
    pub fn density(&self, now_ms: u64) -> f64 {
        let end_ms = now_ms + self.chain_left_ms;
        let last_ms = self.objective_ms + (LATE_FACTOR - 1) * self.objective_length_ms;
        let part = if end_ms <= self.objective_ms {
            1.0
        } else if end_ms <= last_ms {
            LATE_PART
        } else {
            TOO_LATE_PART
        };
        self.utility * self.utility_ratio * part / self.work_left.max(1.0)
    }
}

/// A group that waits for capacity, with its place in the order.
#[derive(Clone, Copy, Debug)]
pub struct Ranked {
    /// The group.
    pub key: GroupKey,
    /// Its tier.
    pub tier: Tier,
    /// Orders groups within a tier, the highest first: the utility per unit of work, or
    /// the key of another [`OrderingPolicy`].
    pub density: f64,
}

impl Ranked {
    /// The order in which groups are offered capacity.
    fn compare(&self, other: &Self) -> Ordering {
        let by_density = other.density.total_cmp(&self.density);
        self.tier
            .cmp(&other.tier)
            .then(by_density)
            .then(self.key.cmp(&other.key))
    }
}

/// The work left of the occurrence that was asked for last: groups of the same occurrence follow
/// each other, and a job may have thousands of them.
#[derive(Debug, Default)]
struct WorkLeft {
    last: Option<(JobId, u32, f64)>,
}

impl WorkLeft {
    fn of(&mut self, scheduler: &Scheduler, group: &Group) -> f64 {
        let (job, occurrence) = (group.key.job, group.key.occurrence);
        match self.last {
            Some((last_job, last, work)) if (last_job, last) == (job, occurrence) => work,
            _ => {
                let work = scheduler.work_left(job, occurrence);
                self.last = Some((job, occurrence, work));
                work
            }
        }
    }
}

/// Returns the utility of a job by the priority of its queue.
pub fn utility_of_priority(priority: u32) -> f64 {
    let known = UTILITY_BY_PRIORITY.get(priority as usize);
    known.copied().unwrap_or(LEAST_UTILITY)
}

impl Scheduler {
    /// Returns the groups that wait for capacity and may start, of jobs whose terms are known.
    pub(super) fn waiting_groups(&self) -> impl Iterator<Item = &Group> {
        let groups = self.groups.values();
        groups
            .filter(|group| group.is_ready(self.now_ms) && self.is_confirmed_for(group))
            .filter(|group| self.jobs[&group.key.job].terms.is_some())
    }

    /// Returns the groups that wait for capacity, in the order in which it is offered.
    pub(super) fn ranked(&mut self) -> Vec<Ranked> {
        self.guaranteed = self.guaranteed_jobs();
        let mut work_left = WorkLeft::default();
        let mut ranked: Vec<Ranked> = self
            .waiting_groups()
            .map(|group| self.rank(group, work_left.of(self, group)))
            .collect();
        ranked.sort_by(Ranked::compare);
        self.apply_shares(&mut ranked);
        ranked
    }

    /// Orders work beyond the share of its account as if it were late, and further behind the
    /// more the account uses, while accounts want more than the fleet has.
    fn apply_shares(&mut self, ranked: &mut [Ranked]) {
        if self.tuning.order != OrderingPolicy::Utility {
            return;
        }
        let now_ms = self.now_ms;
        let loads = self.account_loads();
        self.accounts.observe(now_ms, &loads);
        let capacity = self.shared_capacity();
        let mut division = self.accounts.divide(capacity, &loads);
        if division.is_contested() {
            for place in ranked.iter_mut().filter(|place| place.tier == Tier::Other) {
                let group = &self.groups[&place.key];
                // What is being freed for a group would else go back to those that it preempted.
                let is_claiming = now_ms < group.preempt_at_ms && !group.claims.is_empty();
                let account = &self.jobs[&place.key.job].record.account;
                let beyond = division.take(account, group.waiting_weight());
                if let Some(part) = beyond.filter(|_| !is_claiming) {
                    place.density *= LATE_PART * part;
                }
            }
            ranked.sort_by(Ranked::compare);
        }
        for change in self.accounts.record_beyond(now_ms, &division) {
            self.decided(Decision::ShareChanged(change));
        }
    }

    /// Whether work counts towards the share of its account: long-running work and work within
    /// the account's guarantee do not.
    fn is_shared(&self, group: &Group) -> bool {
        !group.step.long_running && !self.guaranteed.contains(&group.key.job)
    }

    /// The capacity that is divided among the accounts, in thousandths of a core. Workers that
    /// get no work count with what runs there, and work that does not count towards a share
    /// takes its part first.
    fn shared_capacity(&self) -> f64 {
        let now_ms = self.now_ms;
        let of_workers = self.workers.iter().map(|worker| {
            let takes_work = worker.takes_work(now_ms) && !self.is_capacity_unknown(worker.key);
            match takes_work {
                true => worker.info.capacity.weight(),
                false => worker.used.weight(),
            }
        });
        let groups = self.groups.values();
        let taken = groups
            .filter(|group| !self.is_shared(group))
            .map(Group::used_weight);
        (of_workers.sum::<u64>() as f64 - taken.sum::<f64>()).max(0.0)
    }

    /// What each client account uses and waits for, as far as it counts towards its share.
    fn account_loads(&self) -> BTreeMap<Arc<str>, AccountLoad> {
        let mut loads: BTreeMap<&str, AccountLoad> = BTreeMap::new();
        for group in self.groups.values().filter(|group| self.is_shared(group)) {
            let job = &self.jobs[&group.key.job];
            let load = loads.entry(job.record.account.as_str()).or_default();
            load.used += group.used_weight();
            if group.is_ready(self.now_ms) && job.terms.is_some() {
                load.waiting += group.waiting_weight();
            }
        }
        let loads = loads.into_iter();
        loads
            .map(|(account, load)| (account.into(), load))
            .collect()
    }

    /// Utility of a job that is on time.
    pub(super) fn utility_of_job(&self, id: JobId) -> f64 {
        let job = &self.jobs[&id];
        utility_of_priority(job.priority)
            * utility_ratio(job.work, self.mean_work(&job.record.queue))
    }

    /// Mean utility of the jobs seen so far per unit of work, a thousandth of a core for
    /// a millisecond.
    pub(super) fn mean_utility_of_work(&self) -> f64 {
        let (mut utility, mut work) = (0.0, 0.0);
        for (name, history) in &self.history {
            let priority = self
                .terms
                .get(name)
                .map_or(u32::MAX, |known| known.terms.priority);
            utility += history.jobs * utility_of_priority(priority);
            work += history.jobs * history.mean_work;
        }
        if work > 0.0 { utility / work } else { 0.0 }
    }

    /// The work that an occurrence of a job still takes, in thousandths of a core times
    /// milliseconds.
    fn work_left(&self, job: JobId, occurrence: u32) -> f64 {
        let mut work_left = 0.0;
        for step in 0..self.jobs[&job].steps.len() as u32 {
            let key = GroupKey {
                job,
                occurrence,
                step,
            };
            if let Some(group) = self.groups.get(&key) {
                let left = f64::from(group.tasks.len() as u32 - group.done);
                work_left += left * group.step.needs.weight() as f64 * group.run_time.value();
            }
        }
        work_left
    }

    fn rank(&self, group: &Group, work_left: f64) -> Ranked {
        let job = &self.jobs[&group.key.job];
        let baseline = self.tuning.order != OrderingPolicy::Utility;
        let tier = if group.step.long_running {
            Tier::LongRunning
        } else if baseline {
            Tier::Other
        } else if self.guaranteed.contains(&job.id) {
            Tier::Guaranteed
        } else {
            Tier::Other
        };
        let utility_estimate = UtilityEstimate {
            utility: utility_of_priority(job.priority),
            utility_ratio: utility_ratio(job.work, self.mean_work(&job.record.queue)),
            work_left,
            chain_left_ms: group.run_ms(),
            objective_ms: group.objective_ms,
            objective_length_ms: group.objective_length_ms,
        };
        let density = match self.tuning.order {
            OrderingPolicy::Utility => utility_estimate.density(self.now_ms),
            OrderingPolicy::FirstComeFirstServed => -(group.released_ms as f64),
            OrderingPolicy::ShortestFirst => -(group.run_ms() as f64),
        };
        Ranked {
            key: group.key,
            tier,
            density,
        }
    }

    /// Urgent jobs of the accounts whose urgent jobs together need no more accelerators
    /// than the account is guaranteed.
    fn guaranteed_jobs(&self) -> HashSet<JobId> {
        let mut needs: HashMap<&str, u32> = HashMap::new();
        let open = || {
            self.jobs
                .values()
                .filter(|job| job.is_urgent() && !job.is_over())
        };
        for job in open() {
            let need = needs.entry(&job.record.account).or_default();
            *need = need.saturating_add(job.first_step_accelerators);
        }
        let within = |account: &str| {
            let declared = self.configuration.accounts.iter();
            let mut own = declared.filter(|declared| declared.name == account);
            let need = needs.get(account).copied().unwrap_or(0);
            own.any(|declared| need <= declared.guaranteed_accelerators)
        };
        open()
            .filter(|job| within(&job.record.account))
            .map(|job| job.id)
            .collect()
    }
}
