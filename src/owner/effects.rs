//! Executes the effects that the core decides on.
//!
//! A gated effect is executed only after every change that the core requested
//! before it is durable in the ledger.

use super::{
    Owner,
    Reply,
    state::Phase, //
};
use crate::backend::WorkerCall;
use crate::core::{
    Command,
    Effect,
    JobId, //
};
use crate::events;
use crate::ledger::OutcomeCode;

impl Owner {
    /// Applies a command to the core. Changes go to the journal, gated effects
    /// wait until those changes are durable, and all other effects are executed
    /// at once.
    pub(super) fn apply(&mut self, command: Command) {
        let now_ms = self.now_ms;
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        for effect in owning.cell.apply(command, now_ms) {
            let Phase::Owning(owning) = &mut self.phase else {
                return;
            };
            if let Effect::Persist(change) = effect {
                owning.journal.push(change);
            } else if effect.is_gated() {
                owning.gated.push_back((owning.journal.pushed(), effect));
            } else {
                self.execute(effect);
            }
        }
    }

    /// Executes the gated effects whose changes have become durable.
    pub(super) fn execute_durable_effects(&mut self) {
        loop {
            let Phase::Owning(owning) = &mut self.phase else {
                return;
            };
            let durable = owning.journal.durable();
            match owning.gated.front() {
                Some((needed, _)) if *needed <= durable => {}
                _ => return,
            }
            if let Some((_, effect)) = owning.gated.pop_front() {
                self.execute(effect);
            }
        }
    }

    /// Executes one effect: calls a worker, replies to a request, or counts and
    /// logs what happened.
    pub(super) fn execute(&mut self, effect: Effect) {
        let epoch = self.epoch().unwrap_or(0);
        let expires_ms = self.settings.reservation_ms;
        match effect {
            Effect::Persist(_) => {}
            Effect::Reserve {
                attempt,
                worker,
                mask,
            } => self.schedule_call(
                worker,
                WorkerCall::Reserve {
                    epoch,
                    attempt,
                    mask,
                    expires_ms,
                },
            ),
            Effect::Start {
                attempt,
                worker,
                progress_ms,
                payload,
            } => self.schedule_call(
                worker,
                WorkerCall::Start {
                    epoch,
                    attempt,
                    progress_ms,
                    payload,
                },
            ),
            Effect::Stop {
                attempt,
                worker,
                grace_ms,
            } => self.schedule_call(
                worker,
                WorkerCall::Stop {
                    epoch,
                    attempt,
                    grace_ms,
                },
            ),
            Effect::Inspect { attempt, worker } => {
                self.schedule_call(worker, WorkerCall::Inspect { epoch, attempt });
            }
            Effect::Accepted { token, job } => {
                metrics::counter!("fuchsiaslip_accepted_total").increment(1);
                self.reply(token, Reply::Accepted(job));
            }
            Effect::Cancelled { token, count } => self.reply(token, Reply::Cancelled(count)),
            Effect::Refused { token, refusal } => self.reply(token, Reply::Refused(refusal)),
            Effect::Retried { reason, .. } => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => reason.name())
                    .increment(1);
            }
            Effect::Ended { job, outcome } => self.job_ended(job, outcome.code),
            Effect::Quarantined { worker } => {
                let name = self
                    .cell()
                    .map(|cell| cell.fleet().worker(worker).name.clone());
                events::log(
                    events::WORKER_QUARANTINED,
                    format_args!("{}", name.unwrap_or_default()),
                );
            }
            Effect::Shortfall { account, missing } => {
                events::log(
                    events::GUARANTEE_SHORT,
                    format_args!("{account}: {missing} shapes"),
                );
                metrics::counter!("fuchsiaslip_guarantee_shortfalls_total").increment(1);
            }
        }
    }

    /// Counts the end of a job and replies to the requests that wait for it.
    pub(super) fn job_ended(&mut self, job: JobId, code: OutcomeCode) {
        metrics::counter!("fuchsiaslip_ended_total", "outcome" => code.name()).increment(1);
        if code == OutcomeCode::UnableToRun {
            events::log(events::JOB_UNABLE_TO_RUN, format_args!("job {job}"));
        }
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        for token in owning.waiters.remove(&job).unwrap_or_default() {
            let reply = self.ended_reply(job);
            self.reply(token, reply);
        }
    }
}
