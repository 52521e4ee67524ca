//! Reports on jobs, accounts and workers for clients and operators.

use super::{
    Cell,
    Job,
    JobId,
    JobState,
    WorkerHealth,
    backfill::BackfillReservation,
    worker::bits, //
};

/// What a job waits for.
#[derive(Clone, Eq, PartialEq, prost::Message, serde::Deserialize, serde::Serialize)]
pub struct WaitReport {
    /// `nothing`, `accelerators`, `quota`, `backoff`, `preempted work` or
    /// `workers`.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Expected end of the wait; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub until_ms: u64,
    /// By reason: number of jobs ahead in the queue, of accelerators still held by
    /// preempted work, or of workers that have not confirmed.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

/// A job as reported to its account.
#[derive(Clone, Eq, PartialEq, prost::Message, serde::Deserialize, serde::Serialize)]
pub struct JobReport {
    /// The job's public name, made of its data centre and identity.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Its account's name.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Its class's name.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Name of its state, such as `queued` or `running`.
    #[prost(string, tag = "4")]
    pub state: String,
    /// Its outcome, as named by the ledger.
    #[prost(string, tag = "5")]
    pub outcome: String,
    /// When it was accepted.
    #[prost(uint64, tag = "6")]
    pub accepted_ms: u64,
    /// When it has to be answered to meet its class.
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
    /// Workers of its members, or the workers reserved for it while it waits.
    #[prost(string, repeated, tag = "13")]
    pub workers: Vec<String>,
}

/// An account with its use, its quota and the state of its guarantees.
#[derive(Clone, Eq, PartialEq, prost::Message, serde::Deserialize, serde::Serialize)]
pub struct AccountReport {
    /// The account's name.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Accelerators of its guaranteed shapes.
    #[prost(uint32, tag = "2")]
    pub guaranteed: u32,
    /// Accelerators that its jobs hold.
    #[prost(uint32, tag = "3")]
    pub used: u32,
    /// Guaranteed accelerators that other accounts use now.
    #[prost(uint32, tag = "4")]
    pub lent: u32,
    /// Guaranteed accelerators that it can get at once or after preemptions.
    #[prost(uint32, tag = "5")]
    pub reclaimable: u32,
    /// Time until all of these are available: the longest checkpoint grace of the
    /// work to preempt.
    #[prost(uint64, tag = "6")]
    pub reclaim_ms: u64,
    /// Guaranteed shapes that cannot be provided now.
    #[prost(uint32, tag = "7")]
    pub missing_shapes: u32,
    /// Number of its waiting jobs.
    #[prost(uint32, tag = "8")]
    pub waiting_jobs: u32,
    /// Its quota of accelerators.
    #[prost(uint32, tag = "9")]
    pub quota: u32,
}

/// A worker as reported to operators.
#[derive(Clone, Eq, PartialEq, prost::Message, serde::Deserialize, serde::Serialize)]
pub struct WorkerReport {
    /// The worker's name.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Its health: `healthy`, `quarantined`, `leaving` or `lost`.
    #[prost(string, tag = "2")]
    pub health: String,
    /// Number of its accelerators.
    #[prost(uint32, tag = "3")]
    pub accelerators: u32,
    /// Number of its accelerators that no job holds.
    #[prost(uint32, tag = "4")]
    pub free: u32,
    /// Number of its accelerators that are pledged to guaranteed shapes.
    #[prost(uint32, tag = "5")]
    pub pledged: u32,
}

impl Cell {
    /// Returns the report on one job.
    pub fn explain(&self, id: JobId) -> Option<JobReport> {
        let job = self.job(id)?;
        let placed = job.members.iter().map(|member| member.worker);
        let reserved = self
            .backfill_reservation(id)
            .map(|reservation| reservation.workers.as_slice());
        let reserved = reserved.unwrap_or_default().iter().copied();
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
                .chain(reserved)
                .map(|worker| self.fleet.worker(worker).name.clone())
                .collect(),
        })
    }

    fn backfill_reservation(&self, id: JobId) -> Option<&BackfillReservation> {
        let key = self.by_id.get(&id)?;
        self.backfill_reservations
            .iter()
            .find(|reservation| reservation.job == *key)
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
                let until_ms = self
                    .backfill_reservation(job.id)
                    .map_or(0, |reservation| reservation.ready_ms);
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

    /// Returns a report on every declared account.
    pub fn account_reports(&self) -> Vec<AccountReport> {
        let shortfalls = self.shortfalls();
        self.accounts
            .iter()
            .enumerate()
            .filter(|(_, account)| !account.withdrawn)
            .map(|(index, account)| {
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
                self.add_guarantee_figures(&mut report, super::AccountKey(index as u16));
                report
            })
            .collect()
    }

    /// Adds the accelerators pledged to `account` to its report.
    fn add_guarantee_figures(&self, report: &mut AccountReport, account: super::AccountKey) {
        for (_, pledge) in self.pledges().filter(|(_, p)| p.account == account) {
            report.guaranteed += pledge.shape.accelerators();
            for &(worker, mask) in &pledge.members {
                let worker = self.fleet.worker(worker);
                for bit in bits(mask) {
                    let holder = worker.holder(bit).and_then(|key| self.jobs.get(key));
                    let Some(job) = holder else {
                        report.reclaimable += u32::from(worker.accepts_jobs());
                        continue;
                    };
                    report.lent += u32::from(job.account != account);
                    if job.is_reclaimable {
                        report.reclaimable += 1;
                        report.reclaim_ms = report.reclaim_ms.max(self.class(job.class).grace_ms);
                    }
                }
            }
        }
    }

    /// Returns a report on every worker.
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

/// Returns a job's public name, made of its data centre and identity.
pub fn public_name(data_centre: &str, id: JobId) -> String {
    format!("{data_centre}.{id}")
}

/// Splits a public name into data centre and identity. Returns `None` if it is
/// malformed.
pub fn parse_public_name(name: &str) -> Option<(&str, JobId)> {
    let (data_centre, id) = name.rsplit_once('.')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some((data_centre, JobId(id)))
}

/// Returns the name of a job's state in answers and metrics.
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
