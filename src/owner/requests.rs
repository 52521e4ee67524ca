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
    RefusalReason, //
};
use crate::events;
use crate::ledger::OutcomeCode;

/// When a caller may ask again after a refusal that has nothing to do with its
/// job.
const TRANSIENT_RETRY_AFTER_MS: u64 = 1_000;

impl Owner {
    pub(super) fn request(&mut self, token: u64, request: Request) {
        if let Request::Submit(_) = request
            && let Some(reason) = self.cannot_accept()
        {
            let reply = match self.is_owner() {
                true => refused(reason, TRANSIENT_RETRY_AFTER_MS),
                false => Reply::NotOwner,
            };
            return self.reply(token, reply);
        }
        let Phase::Owning(owning) = &mut self.phase else {
            return self.reply(token, Reply::NotOwner);
        };
        match request {
            Request::Submit(submission) => self.apply(Command::Submit { token, submission }),
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
        owning.waiters.entry(job).or_default().push(token);
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

fn refused(reason: RefusalReason, retry_after_ms: u64) -> Reply {
    Reply::Refused(Refusal {
        reason,
        retry_after_ms,
    })
}

fn count_refusal(refusal: &Refusal) {
    metrics::counter!("fuchsiaslip_refusals_total", "reason" => refusal.reason.name()).increment(1);
}
