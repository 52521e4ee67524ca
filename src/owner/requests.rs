//! Handles requests of callers.
//!
//! A refusal says that a job did not run and will not run only if the owner can
//! be certain of it: its lease is valid and its ledger does not know the key.

use super::{
    Action,
    Ended,
    Owner,
    Reply,
    Request,
    state::Phase, //
};
use crate::core::{
    Command,
    Effect,
    JobId,
    Refusal,
    RefusalReason,
    Submission, //
};
use crate::events;
use crate::ledger::OutcomeCode;

/// When a caller may retry after a refusal whose reason is transient and does
/// not depend on its job.
const TRANSIENT_RETRY_AFTER_MS: u64 = 1_000;

/// A submission that takes longer from the API front end to the owner is not
/// decided on.
const MAX_REQUEST_AGE_MS: u64 = 30_000;
/// Number of remembered refusals at which expired ones are first removed. They
/// are removed again whenever the number of those that remained has doubled.
pub(super) const FIRST_REFUSAL_PURGE: usize = 4_096;
/// Limit of requests that wait for the end of one job. Further ones get the
/// reply that the outcome is unknown, and retry.
const MAX_WAITERS: usize = 64;

/// Account and idempotency key of a submission.
pub(super) type SubmissionKey = (String, String);

/// A refusal that stated that the job did not and will not run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RememberedRefusal {
    refusal: Refusal,
    received_ms: u64,
    refused_ms: u64,
}

impl Owner {
    /// Replies to a request, or passes it to the core.
    pub(super) fn handle_request(&mut self, token: u64, request: Request) {
        let Phase::Owning(owning) = &self.phase else {
            return self.reply(token, Reply::NotOwner);
        };
        match request {
            Request::Submit {
                submission,
                received_ms,
            } => self.submit(token, submission, received_ms),
            Request::Wait(job) => self.wait(token, job),
            Request::Explain(job) => {
                let report = owning.cell.explain(job);
                let reply = report.map_or(Reply::NotFound, |report| Reply::Job(Box::new(report)));
                self.reply(token, reply);
            }
            Request::Cancel { account, jobs } => self.apply(Command::Cancel {
                token,
                account,
                jobs,
            }),
            Request::Accounts => {
                let reply = Reply::Accounts {
                    accounts: owning.cell.account_reports(),
                    fragmentation: owning.cell.fragmentation(),
                    configuration_version: owning.cell.configuration_version(),
                };
                self.reply(token, reply);
            }
            Request::Workers => {
                let reply = Reply::Workers(owning.cell.worker_reports());
                self.reply(token, reply);
            }
        }
    }

    fn submit(&mut self, token: u64, submission: Submission, received_ms: u64) {
        let now_ms = self.now_ms;
        if received_ms + MAX_REQUEST_AGE_MS < now_ms {
            return self.reply(token, Reply::OutcomeUnknown);
        }
        let key = (
            submission.account.clone(),
            submission.idempotency_key.clone(),
        );
        // A copy of a refused request that arrives late must not be accepted:
        // the earlier reply said that the job will not run. A retry by the caller
        // has a later `received_ms` than the refused request.
        if let Some(earlier) = self
            .recent_refusals
            .get(&key)
            .filter(|r| received_ms <= r.received_ms)
        {
            let refusal = earlier.refusal;
            return self.reply(token, Reply::Refused(refusal));
        }
        if let Some(reason) = self.reason_to_refuse() {
            let reply = self.transient_refusal(&key, reason);
            self.record_refusal(key, received_ms, &reply);
            return self.reply(token, reply);
        }
        self.apply(Command::Submit { token, submission });
        let immediate_reply = self.actions.iter().rev().find_map(|action| match action {
            Action::Reply {
                token: replied_token,
                reply,
            } if *replied_token == token => Some(reply.clone()),
            _ => None,
        });
        if let Some(reply) = immediate_reply {
            self.record_refusal(key, received_ms, &reply);
        }
    }

    /// Returns the reply to a submission that cannot be accepted for a transient
    /// reason. A key that the ledger knows belongs to an accepted job, which may
    /// have run. An owner whose lease may have expired does not know what the
    /// next owner has accepted, so that it cannot say "not run" either.
    fn transient_refusal(&self, key: &SubmissionKey, reason: RefusalReason) -> Reply {
        let known = self.cell().and_then(|cell| cell.job_of_key(&key.0, &key.1));
        let lease_is_valid = self.lease.is_valid(self.now_ms);
        match known {
            Some(job) if self.is_acceptance_durable(job) && lease_is_valid => Reply::Accepted(job),
            Some(_) => Reply::OutcomeUnknown,
            None => Reply::Refused(Refusal {
                reason,
                not_run: lease_is_valid,
                retry_after_ms: TRANSIENT_RETRY_AFTER_MS,
            }),
        }
    }

    /// Whether the acceptance of the job is durable.
    fn is_acceptance_durable(&self, job: JobId) -> bool {
        let Phase::Owning(owning) = &self.phase else {
            return false;
        };
        let is_acceptance =
            |effect: &Effect| matches!(effect, Effect::Accepted { job: id, .. } if *id == job);
        !owning.gated.iter().any(|(_, effect)| is_acceptance(effect))
    }

    /// Remembers a refusal that said "not run", so that a late copy of the same
    /// request is refused too.
    fn record_refusal(&mut self, key: SubmissionKey, received_ms: u64, reply: &Reply) {
        let Reply::Refused(refusal) = reply else {
            return;
        };
        if !refusal.not_run {
            return;
        }
        let now_ms = self.now_ms;
        if self.recent_refusals.len() >= self.purge_refusals_at {
            self.recent_refusals
                .retain(|_, earlier| earlier.refused_ms + MAX_REQUEST_AGE_MS >= now_ms);
            // In a burst of refusals all of them are recent, and scanning them
            // at each new one would add to the overload.
            self.purge_refusals_at = (self.recent_refusals.len() * 2).max(FIRST_REFUSAL_PURGE);
        }
        let earlier = RememberedRefusal {
            refusal: *refusal,
            received_ms,
            refused_ms: now_ms,
        };
        self.recent_refusals.insert(key, earlier);
    }

    /// Returns why submissions are refused now, or `None` if they are accepted.
    /// This is checked before the core gets the job, so that "not run" is true.
    pub(super) fn reason_to_refuse(&self) -> Option<RefusalReason> {
        let Phase::Owning(owning) = &self.phase else {
            return Some(RefusalReason::NoOwner);
        };
        let slow = owning
            .commit_started_ms
            .is_some_and(|started_ms| self.now_ms > started_ms + self.settings.commit_bound_ms);
        if self.draining {
            Some(RefusalReason::Draining)
        } else if slow || !self.lease.is_valid(self.now_ms) {
            Some(RefusalReason::StoreUnavailable)
        } else if self.is_configuration_stale() {
            Some(RefusalReason::ConfigurationStale)
        } else {
            None
        }
    }

    /// Whether the last confirmation of the configuration is too old.
    pub(super) fn is_configuration_stale(&self) -> bool {
        let bound_ms = self.settings.configuration_bound_ms;
        self.configuration_confirmed_ms
            .is_none_or(|confirmed_ms| self.now_ms > confirmed_ms + bound_ms)
    }

    /// Pauses the placement of work, or resumes it. It is paused while the
    /// configuration is stale, since a newer version may be in force elsewhere,
    /// while the lease is not valid, and during a drain.
    pub(super) fn update_pause(&mut self) {
        let pause =
            self.is_configuration_stale() || self.draining || !self.lease.is_valid(self.now_ms);
        let stale = self.is_configuration_stale();
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        if owning.paused == pause {
            return;
        }
        owning.paused = pause;
        if stale {
            events::log(
                events::CONFIGURATION_STALE,
                format_args!("{}", self.settings.daemon),
            );
        }
        self.apply(Command::Pause(pause));
    }

    /// Replies with the end of a job, now or when it has ended.
    pub(super) fn wait(&mut self, token: u64, job: JobId) {
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        let ended = match owning.cell.job(job) {
            None => return self.reply(token, Reply::NotFound),
            Some(known) => known.outcome != OutcomeCode::None,
        };
        // The end is reported only once it is durable: requests wait while the
        // effect that reports it is gated.
        let reports_end =
            |effect: &Effect| matches!(effect, Effect::Ended { job: id, .. } if *id == job);
        if ended && !owning.gated.iter().any(|(_, effect)| reports_end(effect)) {
            let reply = self.ended_reply(job);
            return self.reply(token, reply);
        }
        let waiters = owning.waiters.entry(job).or_default();
        if waiters.len() >= MAX_WAITERS {
            return self.reply(token, Reply::OutcomeUnknown);
        }
        waiters.push(token);
    }

    /// Builds the reply that a job has ended.
    pub(super) fn ended_reply(&self, job: JobId) -> Reply {
        let Phase::Owning(owning) = &self.phase else {
            return Reply::NotOwner;
        };
        let Some(report) = owning.cell.explain(job) else {
            return Reply::NotFound;
        };
        let answer = owning.cell.job(job).and_then(|job| job.answer.clone());
        let answer_address = answer
            .as_ref()
            .and_then(|answer| self.vms.get(&answer.worker))
            .map(|vm| vm.address.clone());
        Reply::Ended(Box::new(Ended {
            report,
            answer,
            answer_address,
        }))
    }

    pub(super) fn reply(&mut self, token: u64, reply: Reply) {
        if let Reply::Refused(refusal) = &reply {
            count_refusal(refusal);
        }
        self.actions.push(Action::Reply { token, reply });
    }
}

fn count_refusal(refusal: &Refusal) {
    metrics::counter!("fuchsiaslip_refusals_total", "reason" => refusal.reason.name()).increment(1);
}
