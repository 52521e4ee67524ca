//! The owner's lease, its commits, and the way into and out of ownership.

use super::{
    Action,
    CallId,
    Owner,
    Reply,
    lease::Lease,
    lease::LeaseStep,
    outbox::Outbox,
    state::Owning,
    state::Phase, //
};
use crate::backend::{
    StoreAnswer,
    StoreCall,
    StoreFailure, //
};
use crate::core::{
    Cell,
    Command,
    Effect,
    RecoveredJob, //
};
use crate::events;
use crate::ledger::{
    Journal,
    JournalEvent,
    lease_key, //
};

use std::collections::{
    HashMap,
    VecDeque, //
};

const STORE_RETRY_MS: u64 = 250;
const MAX_STORE_RETRY_MS: u64 = 4_000;

impl Owner {
    pub(super) fn keep_lease(&mut self) {
        let wanted = match self.phase {
            Phase::Idle => self.is_candidate && !self.draining,
            _ => true,
        };
        if wanted && self.lease.step(self.now_ms) == LeaseStep::Ask {
            self.lease.asked(self.now_ms);
            let call = self.call_store(StoreCall::AcquireLease {
                key: lease_key(&self.settings.data_centre),
                holder: self.settings.daemon.clone(),
                ttl_ms: self.settings.lease_ttl_ms,
            });
            self.lease_call = Some(call);
        }
    }

    pub(super) fn commit(&mut self) {
        let journal = match &mut self.phase {
            Phase::Idle => return,
            Phase::Opening(journal) => journal,
            Phase::Owning(owning) => &mut owning.journal,
        };
        if let Some(request) = journal.poll() {
            let call = self.call_store(request);
            self.journal_call = Some(call);
        }
        let now_ms = self.now_ms;
        if let Phase::Owning(owning) = &mut self.phase {
            let committing = owning.journal.pushed() > owning.journal.durable();
            owning.commit_since_ms = match committing {
                true => owning.commit_since_ms.or(Some(now_ms)),
                false => None,
            };
        }
    }

    pub(super) fn store_answered(
        &mut self,
        call: CallId,
        result: Result<StoreAnswer, StoreFailure>,
    ) {
        self.note_store(result.is_ok());
        if self.lease_call == Some(call) {
            self.lease_call = None;
            return self.lease_answered(result);
        }
        // A duplicated or late answer of an earlier call tells nothing about
        // the call under way.
        if self.journal_call != Some(call) {
            metrics::counter!("fuchsiaslip_late_answers_total", "from" => "store").increment(1);
            return;
        }
        self.journal_call = None;
        if result.is_err() {
            let wait_ms = STORE_RETRY_MS << self.store_failures.saturating_sub(1).min(4);
            self.journal_retry_ms = Some(self.now_ms + wait_ms.min(MAX_STORE_RETRY_MS));
        }
        let event = match &mut self.phase {
            Phase::Idle => return,
            Phase::Opening(journal) => journal.answer(result),
            Phase::Owning(owning) => owning.journal.answer(result),
        };
        match event {
            JournalEvent::Pending => {}
            JournalEvent::Opened => self.take_ownership(),
            JournalEvent::Durable(_) => {
                if let Phase::Owning(owning) = &mut self.phase {
                    owning.commit_since_ms = None;
                }
            }
            JournalEvent::Fenced => self.step_down(),
            JournalEvent::Damaged(error) => {
                events::log(events::LEDGER_DAMAGED, format_args!("{error}"));
                self.step_down();
                self.is_candidate = false;
            }
        }
    }

    pub(super) fn note_store(&mut self, answered: bool) {
        if answered {
            if std::mem::take(&mut self.store_failures) > 0 {
                events::log(events::STORE_BACK, format_args!("{}", self.settings.daemon));
            }
            return;
        }
        if self.store_failures == 0 {
            events::log(
                events::STORE_SILENT,
                format_args!("{}", self.settings.daemon),
            );
        }
        self.store_failures += 1;
        metrics::counter!("fuchsiaslip_retries_total", "reason" => "store_silent").increment(1);
    }

    pub(super) fn lease_answered(&mut self, result: Result<StoreAnswer, StoreFailure>) {
        match result {
            Ok(StoreAnswer::Granted) => {
                self.lease.granted();
                if matches!(self.phase, Phase::Idle) && self.is_candidate && !self.draining {
                    self.begin_opening();
                }
            }
            Ok(StoreAnswer::Held { .. }) => {
                let wait_ms = self.settings.lease_ttl_ms / 4;
                self.lease.not_granted(self.now_ms, wait_ms);
                if self.is_owner() {
                    self.step_down();
                }
            }
            // While the store is away nobody else can take the lease either;
            // the ledger's compare-and-swap decides when it is back.
            _ => {
                let wait_ms = STORE_RETRY_MS << self.store_failures.saturating_sub(1).min(4);
                self.lease
                    .not_granted(self.now_ms, wait_ms.min(MAX_STORE_RETRY_MS));
            }
        }
    }

    pub(super) fn begin_opening(&mut self) {
        let first_write_id = self.next_write_id;
        self.next_write_id += 1 << 24;
        self.journal_call = None;
        self.journal_retry_ms = None;
        self.phase = Phase::Opening(Box::new(Journal::open(
            &self.settings.data_centre,
            &self.settings.daemon,
            first_write_id,
        )));
    }

    /// The epoch is in the ledger: rebuild the cell and ask the workers.
    pub(super) fn take_ownership(&mut self) {
        let Phase::Opening(journal) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        let known = self.configuration.as_ref().map_or(0, |c| c.version);
        if known < journal.configuration_version() {
            // This daemon's configuration is older than the one with which the
            // ledger was written; deciding with it would revert a patch.
            metrics::counter!("fuchsiaslip_retries_total", "reason" => "configuration_behind")
                .increment(1);
            self.give_up_lease();
            return;
        }
        let epoch = journal.epoch();
        let jobs: Vec<RecoveredJob> = journal
            .job_pages()
            .jobs()
            .map(|record| RecoveredJob {
                record: record.clone(),
            })
            .collect();
        let cell = Cell::new(&self.settings.data_centre, epoch, self.settings.limits);
        self.phase = Phase::Owning(Box::new(Owning {
            journal: *journal,
            cell,
            gated: VecDeque::new(),
            outbox: Outbox::default(),
            waiters: HashMap::new(),
            incarnations: HashMap::new(),
            next_core_tick_ms: self.now_ms,
            commit_since_ms: None,
            paused: false,
        }));
        events::log(
            events::OWNER_STARTED,
            format_args!(
                "{} epoch {epoch}, {} jobs",
                self.settings.data_centre,
                jobs.len()
            ),
        );
        self.apply(Command::Workers(self.worker_specs()));
        if let Some(configuration) = self.configuration.clone() {
            self.apply_configuration(configuration);
        }
        self.apply(Command::Recover(jobs));
        self.pause_if_stale();
    }

    /// Drops everything that is not durable; the next owner has the rest.
    pub(super) fn step_down(&mut self) {
        let Phase::Owning(owning) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        events::log(
            events::OWNER_FENCED,
            format_args!("{}", self.settings.data_centre),
        );
        self.journal_call = None;
        self.journal_retry_ms = None;
        let gated = owning
            .gated
            .into_iter()
            .filter_map(|(_, effect)| match effect {
                Effect::Accepted { token, .. } => Some(token),
                _ => None,
            });
        let waiting = owning.waiters.into_values().flatten();
        for token in gated.chain(waiting) {
            self.actions.push(Action::Reply {
                token,
                reply: Reply::OutcomeUnknown,
            });
        }
    }

    pub(super) fn give_up_lease(&mut self) {
        self.phase = Phase::Idle;
        let wait_ms = self.settings.lease_ttl_ms;
        self.lease.not_granted(self.now_ms, wait_ms);
        self.lease = Lease::new(self.settings.lease_ttl_ms, self.settings.lease_margin_ms);
        self.lease.not_granted(self.now_ms, wait_ms);
        let call = self.call_store(StoreCall::ReleaseLease {
            key: lease_key(&self.settings.data_centre),
            holder: self.settings.daemon.clone(),
        });
        self.lease_call = Some(call);
    }

    pub(super) fn resign_if_drained(&mut self) {
        let done = match &self.phase {
            Phase::Owning(owning) => {
                owning.journal.pushed() == owning.journal.durable() && owning.gated.is_empty()
            }
            Phase::Opening(_) => true,
            Phase::Idle => false,
        };
        if !self.draining || !done || self.lease_call.is_some() {
            return;
        }
        if let Phase::Owning(owning) = &mut self.phase {
            let waiting: Vec<u64> = owning
                .waiters
                .drain()
                .flat_map(|(_, tokens)| tokens)
                .collect();
            for token in waiting {
                self.actions.push(Action::Reply {
                    token,
                    reply: Reply::NotOwner,
                });
            }
        }
        events::log(
            events::OWNER_RESIGNED,
            format_args!("{}", self.settings.data_centre),
        );
        self.give_up_lease();
    }
}
