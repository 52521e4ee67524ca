//! Remembers jobs of which it is not known whether they were stored.
//!
//! A call to the store without an answer may have been carried out, or may be carried out
//! seconds later. The client is told that the outcome is unknown and sends the job again, in
//! general to another daemon. If that daemon cannot reach the store either, it must not say
//! that the job was not accepted and never runs. So daemons tell each other with their
//! heartbeats of the jobs with an unknown outcome.
//!
//! Limit: a heartbeat may be lost or come late; the refusal of the repeated request is then
//! wrong about the job, though not about that request.

use crate::core::JobId;
use std::collections::BTreeMap;

/// How long a job is remembered: longer than clients repeat a request, and than the store
/// carries out calls late.
const RETENTION_MS: u64 = 15_000;
/// Most jobs that are remembered. The oldest one is forgotten first.
const MAX_JOBS: usize = 8_192;
/// How long other daemons are told of a job.
const REPORT_MS: u64 = 2_000;
/// Most jobs in one heartbeat, so that it fits into a datagram.
const MAX_REPORTED_JOBS: usize = 96;

/// Jobs of which it is not known whether they were stored.
#[derive(Clone, Debug, Default)]
pub struct UnknownOutcomes {
    /// When each job was last recorded.
    jobs: BTreeMap<JobId, u64>,
    /// The jobs whose outcome became unknown at this daemon, with the time, oldest first.
    own: Vec<(u64, JobId)>,
}

impl UnknownOutcomes {
    /// Records that the outcome of a job is unknown to this daemon.
    pub fn record(&mut self, job: JobId, now_ms: u64) {
        self.own
            .retain(|&(at_ms, other)| now_ms < at_ms + REPORT_MS && other != job);
        self.own.push((now_ms, job));
        self.record_reported(&[job.0], now_ms);
    }

    /// Records jobs whose outcome is unknown to another daemon.
    pub fn record_reported(&mut self, jobs: &[u64], now_ms: u64) {
        if jobs.is_empty() {
            return;
        }
        self.jobs
            .retain(|_, &mut at_ms| now_ms < at_ms + RETENTION_MS);
        for &job in jobs {
            self.jobs.insert(JobId(job), now_ms);
        }
        while self.jobs.len() > MAX_JOBS {
            let oldest = self.jobs.iter().min_by_key(|&(_, &at_ms)| at_ms);
            let Some((&oldest, _)) = oldest else {
                return;
            };
            self.jobs.remove(&oldest);
        }
    }

    /// Records that a job is stored.
    pub fn record_stored(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.own.retain(|&(_, other)| other != job);
    }

    /// Whether a job may have been stored by an earlier request.
    pub fn contains(&self, job: JobId, now_ms: u64) -> bool {
        let recorded = self.jobs.get(&job);
        recorded.is_some_and(|&at_ms| now_ms < at_ms + RETENTION_MS)
    }

    /// The jobs of which the other daemons are told, the newest ones.
    pub fn reported(&self, now_ms: u64) -> Vec<u64> {
        let recent = self.own.iter().rev();
        recent
            .take_while(|&&(at_ms, _)| now_ms < at_ms + REPORT_MS)
            .take(MAX_REPORTED_JOBS)
            .map(|&(_, job)| job.0)
            .collect()
    }
}
