//! Queries: why a job waits, what an account has, how a worker stands.

use super::{
    Cell,
    Job,
    JobId,
    JobState,
    WorkerHealth,
    worker::bits, //
};
use crate::ledger::OutcomeCode;

/// What a waiting job waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// Nothing: it does not wait.
    Nothing,
    /// Accelerators that fit its shape.
    Accelerators {
        /// When a kept region is expected to be free, if one is kept.
        kept_until_ms: Option<u64>,
        /// Jobs ahead of it in latest-start order.
        jobs_ahead: usize,
    },
    /// Other work of its account, which is at its quota.
    Quota,
    /// The end of a backoff after a failure.
    Backoff {
        /// When.
        until_ms: u64,
    },
    /// Preempted work that is leaving its place.
    Victims {
        /// Accelerators still missing.
        accelerators: u32,
    },
    /// Confirmations of its workers.
    Workers {
        /// How many are missing.
        members: usize,
    },
}

/// A job as its account sees it.
#[derive(Clone, Debug)]
pub struct JobReport {
    /// The job.
    pub id: JobId,
    /// Its account's name.
    pub account: String,
    /// Its class's name.
    pub class: String,
    /// Where it stands, in one word.
    pub state: &'static str,
    /// How it ended.
    pub outcome: OutcomeCode,
    /// When it was accepted.
    pub accepted_ms: u64,
    /// When its class says that it has to be answered.
    pub deadline_ms: u64,
    /// When it first ran.
    pub first_running_ms: Option<u64>,
    /// When it ended, or 0.
    pub ended_ms: u64,
    /// Number of the latest attempt.
    pub attempt: u32,
    /// How often it was preempted.
    pub preemptions: u32,
    /// Why it waits.
    pub wait: WaitReason,
    /// Workers of its place, if it has one.
    pub workers: Vec<String>,
}

/// An account with its guarantee and what became of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountReport {
    /// The account's name.
    pub account: String,
    /// Accelerators that it is guaranteed.
    pub guaranteed: u32,
    /// Accelerators that its jobs hold.
    pub used: u32,
    /// Guaranteed accelerators that other accounts use now.
    pub lent: u32,
    /// Guaranteed accelerators that it can have at once or after preemptions.
    pub reclaimable: u32,
    /// Longest time until all of these are back.
    pub reclaim_ms: u64,
    /// Guaranteed shapes without a place.
    pub missing_shapes: u16,
    /// Its waiting jobs.
    pub waiting_jobs: u32,
    /// Its quota.
    pub quota: u32,
}

/// A worker as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// The worker's name.
    pub worker: String,
    /// Whether it takes work.
    pub health: &'static str,
    /// All its accelerators.
    pub accelerators: u32,
    /// Free ones.
    pub free: u32,
    /// Pledged ones.
    pub pledged: u32,
}

impl Cell {
    /// Explains one job.
    pub fn explain(&self, id: JobId) -> Option<JobReport> {
        let job = self.job(id)?;
        let workers = job.members.iter();
        Some(JobReport {
            id,
            account: job.submission.account.clone(),
            class: job.submission.class.clone(),
            state: state_name(job.state),
            outcome: job.outcome,
            accepted_ms: job.accepted_ms,
            deadline_ms: job.deadline_ms,
            first_running_ms: job.first_running_ms,
            ended_ms: job.ended_ms,
            attempt: job.attempt,
            preemptions: job.preemptions,
            wait: self.wait_reason(job),
            workers: workers
                .map(|member| self.fleet.worker(member.worker).name.clone())
                .collect(),
        })
    }

    fn wait_reason(&self, job: &Job) -> WaitReason {
        match job.state {
            JobState::Queued if self.over_quota(job) => WaitReason::Quota,
            JobState::Queued => {
                let kept = self
                    .kept
                    .iter()
                    .find(|kept| self.by_id.get(&job.id) == Some(&kept.job));
                let ahead = |other: &Job| {
                    other.state == JobState::Queued && other.latest_start_ms < job.latest_start_ms
                };
                WaitReason::Accelerators {
                    kept_until_ms: kept.map(|kept| kept.ready_ms),
                    jobs_ahead: self.jobs.iter().filter(|(_, other)| ahead(other)).count(),
                }
            }
            JobState::Backoff { until_ms } => WaitReason::Backoff { until_ms },
            JobState::Claiming => WaitReason::Victims {
                accelerators: job
                    .members
                    .iter()
                    .map(|member| (member.mask & !member.held).count_ones())
                    .sum(),
            },
            JobState::Reserving | JobState::Starting | JobState::Recovering => {
                use super::MemberState::{
                    Inspecting,
                    Reserving,
                    Starting, //
                };
                let waiting = |state| matches!(state, Reserving | Starting | Inspecting);
                let members = job.members.iter().filter(|m| waiting(m.state)).count();
                WaitReason::Workers { members }
            }
            JobState::Running | JobState::Stopping(_) | JobState::Ended => WaitReason::Nothing,
        }
    }

    /// Reports every account that is declared.
    pub fn account_reports(&self) -> Vec<AccountReport> {
        let shortfalls = self.shortfalls();
        self.accounts
            .iter()
            .enumerate()
            .filter(|(_, account)| !account.withdrawn)
            .map(|(at, account)| {
                let name = &account.declaration.name;
                let shortfall = shortfalls.iter().find(|s| s.account == *name);
                let mut report = AccountReport {
                    account: name.clone(),
                    guaranteed: 0,
                    used: account.used_accelerators,
                    lent: 0,
                    reclaimable: 0,
                    reclaim_ms: 0,
                    missing_shapes: shortfall.map_or(0, |shortfall| shortfall.missing),
                    waiting_jobs: account.waiting_jobs,
                    quota: account.declaration.quota_accelerators,
                };
                self.add_pledges(&mut report, super::AccountKey(at as u16));
                report
            })
            .collect()
    }

    fn add_pledges(&self, report: &mut AccountReport, account: super::AccountKey) {
        for (_, pledge) in self.pledges().filter(|(_, p)| p.account == account) {
            report.guaranteed += pledge.shape.accelerators();
            for &(worker, mask) in &pledge.members {
                let worker = self.fleet.worker(worker);
                for bit in bits(mask) {
                    let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
                    let Some(job) = holder else {
                        report.reclaimable += u32::from(worker.takes_work());
                        continue;
                    };
                    report.lent += u32::from(job.account != account);
                    if job.yields {
                        report.reclaimable += 1;
                        report.reclaim_ms = report.reclaim_ms.max(self.class(job.class).grace_ms);
                    }
                }
            }
        }
    }

    /// Reports every worker.
    pub fn worker_reports(&self) -> Vec<WorkerReport> {
        self.fleet
            .workers()
            .map(|(_, worker)| WorkerReport {
                worker: worker.name.clone(),
                health: match worker.health {
                    WorkerHealth::Healthy => "healthy",
                    WorkerHealth::Quarantined { .. } => "quarantined",
                    WorkerHealth::Leaving => "leaving",
                    WorkerHealth::Lost => "lost",
                },
                accelerators: worker.all.count_ones(),
                free: worker.free.count_ones(),
                pledged: worker.pledged.count_ones(),
            })
            .collect()
    }
}

/// A job's state in one word, as answers and metrics name it.
pub fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Backoff { .. } => "backoff",
        JobState::Claiming => "claiming",
        JobState::Reserving => "reserving",
        JobState::Starting => "starting",
        JobState::Running => "running",
        JobState::Stopping(_) => "stopping",
        JobState::Recovering => "recovering",
        JobState::Ended => "ended",
    }
}
