//! Queries: why a job waits, what an account has, how a worker stands.

use super::{
    Cell,
    Job,
    JobId,
    JobState,
    WorkerHealth,
    backfill::KeptGang,
    worker::bits, //
};

/// What a waiting job waits for.
#[derive(Clone, Eq, PartialEq, prost::Message, serde::Deserialize, serde::Serialize)]
pub struct WaitReport {
    /// `nothing`, `accelerators`, `quota`, `backoff`, `preempted work` or
    /// `workers`.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Until when, as far as is known; else 0.
    #[prost(uint64, tag = "2")]
    pub until_ms: u64,
    /// Jobs ahead of it, accelerators still held by preempted work, or workers
    /// that have not confirmed.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

/// A job as its account sees it.
#[derive(Clone, Eq, PartialEq, prost::Message, serde::Deserialize, serde::Serialize)]
pub struct JobReport {
    /// The job's public name: its data centre and identity.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Its account's name.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Its class's name.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Where it stands, in one word.
    #[prost(string, tag = "4")]
    pub state: String,
    /// How it ended, in one word.
    #[prost(string, tag = "5")]
    pub outcome: String,
    /// When it was accepted.
    #[prost(uint64, tag = "6")]
    pub accepted_ms: u64,
    /// When its class says that it has to be answered.
    #[prost(uint64, tag = "7")]
    pub deadline_ms: u64,
    /// When it first ran; 0 if it has not.
    #[prost(uint64, tag = "8")]
    pub first_running_ms: u64,
    /// When it ended; 0 if it has not.
    #[prost(uint64, tag = "9")]
    pub ended_ms: u64,
    /// Number of the latest attempt.
    #[prost(uint32, tag = "10")]
    pub attempt: u32,
    /// How often it was preempted.
    #[prost(uint32, tag = "11")]
    pub preemptions: u32,
    /// Why it waits.
    #[prost(message, required, tag = "12")]
    pub wait: WaitReport,
    /// Workers of its place, or where it would go if it waits for workers that
    /// are kept for it.
    #[prost(string, repeated, tag = "13")]
    pub workers: Vec<String>,
}

/// An account with its guarantee and what became of it.
#[derive(Clone, Eq, PartialEq, prost::Message, serde::Deserialize, serde::Serialize)]
pub struct AccountReport {
    /// The account's name.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Accelerators that it is guaranteed.
    #[prost(uint32, tag = "2")]
    pub guaranteed: u32,
    /// Accelerators that its jobs hold.
    #[prost(uint32, tag = "3")]
    pub used: u32,
    /// Guaranteed accelerators that other accounts use now.
    #[prost(uint32, tag = "4")]
    pub lent: u32,
    /// Guaranteed accelerators that it can have at once or after preemptions.
    #[prost(uint32, tag = "5")]
    pub reclaimable: u32,
    /// Longest time until all of these are back.
    #[prost(uint64, tag = "6")]
    pub reclaim_ms: u64,
    /// Guaranteed shapes without a place.
    #[prost(uint32, tag = "7")]
    pub missing_shapes: u32,
    /// Its waiting jobs.
    #[prost(uint32, tag = "8")]
    pub waiting_jobs: u32,
    /// Its quota.
    #[prost(uint32, tag = "9")]
    pub quota: u32,
}

/// A worker as operators see it.
#[derive(Clone, Eq, PartialEq, prost::Message, serde::Deserialize, serde::Serialize)]
pub struct WorkerReport {
    /// The worker's name.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Whether it takes work.
    #[prost(string, tag = "2")]
    pub health: String,
    /// All its accelerators.
    #[prost(uint32, tag = "3")]
    pub accelerators: u32,
    /// Free ones.
    #[prost(uint32, tag = "4")]
    pub free: u32,
    /// Pledged ones.
    #[prost(uint32, tag = "5")]
    pub pledged: u32,
}

impl Cell {
    /// Explains one job.
    pub fn explain(&self, id: JobId) -> Option<JobReport> {
        let job = self.job(id)?;
        let placed = job.members.iter().map(|member| member.worker);
        let kept = self.kept_gang(id).map(|kept| kept.workers.as_slice());
        let kept = kept.unwrap_or_default().iter().copied();
        Some(JobReport {
            job: public_name(&self.data_centre, id),
            account: job.submission.account.clone(),
            class: job.submission.class.clone(),
            state: state_name(job.state).to_owned(),
            outcome: job.outcome.name().to_owned(),
            accepted_ms: job.accepted_ms,
            deadline_ms: job.deadline_ms,
            first_running_ms: job.first_running_ms.unwrap_or(0),
            ended_ms: job.ended_ms,
            attempt: job.attempt,
            preemptions: job.preemptions,
            wait: self.wait_report(job),
            workers: placed
                .chain(kept)
                .map(|worker| self.fleet.worker(worker).name.clone())
                .collect(),
        })
    }

    fn kept_gang(&self, id: JobId) -> Option<&KeptGang> {
        let key = self.by_id.get(&id)?;
        self.kept.iter().find(|kept| kept.job == *key)
    }

    fn wait_report(&self, job: &Job) -> WaitReport {
        let report = |reason: &str, until_ms, count| WaitReport {
            reason: reason.to_owned(),
            until_ms,
            count,
        };
        match job.state {
            JobState::Queued if self.over_quota(job) => report("quota", 0, 0),
            JobState::Queued => {
                let ahead = |other: &Job| {
                    other.state == JobState::Queued && other.latest_start_ms < job.latest_start_ms
                };
                let jobs_ahead = self.jobs.iter().filter(|(_, other)| ahead(other)).count();
                let until_ms = self.kept_gang(job.id).map_or(0, |kept| kept.ready_ms);
                report("accelerators", until_ms, jobs_ahead as u32)
            }
            JobState::Backoff { until_ms } => report("backoff", until_ms, 0),
            JobState::Claiming => {
                let missing = job.members.iter();
                let missing = missing.map(|m| (m.mask & !m.held).count_ones());
                report("preempted work", 0, missing.sum())
            }
            JobState::Reserving | JobState::Starting | JobState::Recovering => {
                use super::MemberState::{
                    Inspecting,
                    Reserving,
                    Starting, //
                };
                let waiting = |state| matches!(state, Reserving | Starting | Inspecting);
                let members = job.members.iter().filter(|m| waiting(m.state)).count();
                report("workers", 0, members as u32)
            }
            JobState::Running | JobState::Stopping(_) | JobState::Ended => report("nothing", 0, 0),
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
                    missing_shapes: shortfall.map_or(0, |shortfall| u32::from(shortfall.missing)),
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
                }
                .to_owned(),
                accelerators: worker.all.count_ones(),
                free: worker.free.count_ones(),
                pledged: worker.pledged.count_ones(),
            })
            .collect()
    }
}

/// A job's public name: its data centre and identity.
pub fn public_name(data_centre: &str, id: JobId) -> String {
    format!("{data_centre}.{id}")
}

/// Reads a public name back.
pub fn read_public_name(name: &str) -> Option<(&str, JobId)> {
    let (data_centre, id) = name.rsplit_once('.')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some((data_centre, JobId(id)))
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
