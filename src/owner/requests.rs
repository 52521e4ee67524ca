//! Requests of callers, and what the owner cannot vouch for.

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

/// When a caller may ask again after a refusal that has nothing to do with its
/// job.
const TRANSIENT_RETRY_AFTER_MS: u64 = 1_000;

/// A submission that took longer from its entry to the owner is not decided on.
const MAX_REQUEST_AGE_MS: u64 = 30_000;
/// From this number on refusals are looked through for those that are too old
/// to matter, and again whenever what was left has doubled.
pub(super) const FIRST_REVIEW_OF_REFUSALS: usize = 4_096;
/// Waiters of one job; more are asked to come again.
const MAX_WAITERS: usize = 64;

/// Account and idempotency key of a submission.
pub(super) type SubmissionKey = (String, String);

/// A refusal that said "not run".
#[derive(Clone, Copy, Debug)]
pub(super) struct RememberedRefusal {
    refusal: Refusal,
    asked_ms: u64,
    at_ms: u64,
}

impl Owner {
    pub(super) fn request(&mut self, token: u64, request: Request) {
        let Phase::Owning(owning) = &self.phase else {
            return self.reply(token, Reply::NotOwner);
        };
        match request {
            Request::Submit {
                submission,
                asked_ms,
            } => self.submit(token, submission, asked_ms),
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

    fn submit(&mut self, token: u64, submission: Submission, asked_ms: u64) {
        let now_ms = self.now_ms;
        if asked_ms + MAX_REQUEST_AGE_MS < now_ms {
            return self.reply(token, Reply::OutcomeUnknown);
        }
        let key = (
            submission.account.clone(),
            submission.idempotency_key.clone(),
        );
        // A copy that was on its way when the key was refused must not be
        // accepted now: the caller was told that the job will not run. A new
        // try of the caller was asked later than the one that was refused.
        if let Some(earlier) = self.refused.get(&key).filter(|r| asked_ms <= r.asked_ms) {
            let refusal = earlier.refusal;
            return self.reply(token, Reply::Refused(refusal));
        }
        if let Some(reason) = self.cannot_accept() {
            let reply = self.passing_refusal(&key, reason);
            self.note_refusal(key, asked_ms, &reply);
            return self.reply(token, reply);
        }
        self.apply(Command::Submit { token, submission });
        let refused = self.actions.iter().rev().find_map(|action| match action {
            Action::Reply { token: at, reply } if *at == token => Some(reply.clone()),
            _ => None,
        });
        if let Some(reply) = refused {
            self.note_refusal(key, asked_ms, &reply);
        }
    }

    /// Refuses for a passing reason. A key that the ledger knows belongs to a
    /// job that was accepted, so "not run" would be a lie; and an owner whose
    /// lease may be over cannot know what the next one has accepted.
    fn passing_refusal(&self, key: &SubmissionKey, reason: RefusalReason) -> Reply {
        let known = self.cell().and_then(|cell| cell.job_of_key(&key.0, &key.1));
        let vouches = self.lease.is_valid(self.now_ms);
        match known {
            Some(job) if self.is_durable(job) && vouches => Reply::Accepted(job),
            Some(_) => Reply::OutcomeUnknown,
            None => Reply::Refused(Refusal {
                reason,
                not_run: vouches,
                retry_after_ms: TRANSIENT_RETRY_AFTER_MS,
            }),
        }
    }

    fn is_durable(&self, job: JobId) -> bool {
        let Phase::Owning(owning) = &self.phase else {
            return false;
        };
        let accepts =
            |effect: &Effect| matches!(effect, Effect::Accepted { job: id, .. } if *id == job);
        !owning.gated.iter().any(|(_, effect)| accepts(effect))
    }

    fn note_refusal(&mut self, key: SubmissionKey, asked_ms: u64, reply: &Reply) {
        let Reply::Refused(refusal) = reply else {
            return;
        };
        if !refusal.not_run {
            return;
        }
        let now_ms = self.now_ms;
        if self.refused.len() >= self.review_refused_at {
            self.refused
                .retain(|_, earlier| earlier.at_ms + MAX_REQUEST_AGE_MS >= now_ms);
            // In a storm of refusals all of them are young; looking through
            // them again at each one would make the storm worse.
            self.review_refused_at = (self.refused.len() * 2).max(FIRST_REVIEW_OF_REFUSALS);
        }
        let earlier = RememberedRefusal {
            refusal: *refusal,
            asked_ms,
            at_ms: now_ms,
        };
        self.refused.insert(key, earlier);
    }

    /// Why nothing can be accepted now. Each of these is found before the core
    /// has seen the job, so that "not run" is true.
    pub(super) fn cannot_accept(&self) -> Option<RefusalReason> {
        let Phase::Owning(owning) = &self.phase else {
            return Some(RefusalReason::NoOwner);
        };
        let slow = owning
            .commit_since_ms
            .is_some_and(|since| self.now_ms > since + self.settings.commit_bound_ms);
        if self.draining {
            Some(RefusalReason::Draining)
        } else if slow || !self.lease.is_valid(self.now_ms) {
            Some(RefusalReason::StoreUnavailable)
        } else if self.is_stale() {
            Some(RefusalReason::ConfigurationStale)
        } else {
            None
        }
    }

    pub(super) fn is_stale(&self) -> bool {
        let bound_ms = self.settings.configuration_bound_ms;
        self.configuration_confirmed_ms
            .is_none_or(|confirmed_ms| self.now_ms > confirmed_ms + bound_ms)
    }

    /// Starts nothing new while a patch may be in force elsewhere that is not
    /// in force here, nor while the lease or the drain forbids it.
    pub(super) fn pause_if_stale(&mut self) {
        let pause = self.is_stale() || self.draining || !self.lease.is_valid(self.now_ms);
        let stale = self.is_stale();
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

    pub(super) fn wait(&mut self, token: u64, job: JobId) {
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        let ended = match owning.cell.job(job) {
            None => return self.reply(token, Reply::NotFound),
            Some(known) => known.outcome != OutcomeCode::None,
        };
        // The end is told only once it is durable: a job whose end is still
        // gated keeps its waiters until then.
        let told_later =
            |effect: &Effect| matches!(effect, Effect::Ended { job: id, .. } if *id == job);
        if ended && !owning.gated.iter().any(|(_, effect)| told_later(effect)) {
            let reply = self.ended_reply(job);
            return self.reply(token, reply);
        }
        let waiters = owning.waiters.entry(job).or_default();
        if waiters.len() >= MAX_WAITERS {
            return self.reply(token, Reply::OutcomeUnknown);
        }
        waiters.push(token);
    }

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
            .and_then(|answer| self.members.get(&answer.worker))
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
