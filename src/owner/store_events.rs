//! Handles the store's answers: the owner lease, commits to the ledger, and the
//! start and end of ownership.

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

/// Wait after the first of consecutive failed store calls; doubled with each further
/// one.
const STORE_RETRY_MS: u64 = 250;
const MAX_STORE_RETRY_MS: u64 = 4_000;

impl Owner {
    /// Requests the lease if this daemon is a candidate, or its renewal if it
    /// holds the lease, when that is due.
    pub(super) fn renew_lease(&mut self) {
        let is_wanted = match self.phase {
            Phase::Idle => self.is_candidate && !self.draining,
            _ => true,
        };
        if is_wanted && self.lease.next_step(self.now_ms) == LeaseStep::Acquire {
            self.lease.requested(self.now_ms);
            let call = self.call_store(StoreCall::AcquireLease {
                key: lease_key(&self.settings.data_centre),
                holder: self.settings.daemon.clone(),
                ttl_ms: self.settings.lease_ttl_ms,
            });
            self.lease_call = Some(call);
        }
    }

    /// Requests the journal's next store call, if one is due, and records
    /// when a commit starts.
    pub(super) fn advance_journal(&mut self) {
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
            let is_committing = owning.journal.pushed() > owning.journal.durable();
            owning.commit_started_ms = match is_committing {
                true => owning.commit_started_ms.or(Some(now_ms)),
                false => None,
            };
        }
    }

    /// Handles the result of a call of the lease or of the journal.
    pub(super) fn handle_store_answer(
        &mut self,
        call: CallId,
        result: Result<StoreAnswer, StoreFailure>,
    ) {
        self.record_store_result(result.is_ok());
        if self.lease_call == Some(call) {
            self.lease_call = None;
            return self.handle_lease_answer(result);
        }
        // A duplicate or late answer to an earlier call says nothing about the
        // call in flight.
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
            Phase::Opening(journal) => journal.handle_answer(result),
            Phase::Owning(owning) => owning.journal.handle_answer(result),
        };
        match event {
            JournalEvent::Pending => {}
            JournalEvent::Opened => self.take_ownership(),
            JournalEvent::Durable(_) => {
                if let Phase::Owning(owning) = &mut self.phase {
                    owning.commit_started_ms = None;
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

    /// Counts consecutive failures of store calls and logs when an outage begins
    /// and ends.
    pub(super) fn record_store_result(&mut self, succeeded: bool) {
        if succeeded {
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

    /// Handles the result of a lease request.
    pub(super) fn handle_lease_answer(&mut self, result: Result<StoreAnswer, StoreFailure>) {
        match result {
            Ok(StoreAnswer::Granted) => {
                self.lease.granted();
                if matches!(self.phase, Phase::Idle) && self.is_candidate && !self.draining {
                    self.open_ledger();
                }
            }
            Ok(StoreAnswer::Held { .. }) => {
                let wait_ms = self.settings.lease_ttl_ms / 4;
                self.lease.not_granted(self.now_ms, wait_ms);
                if self.is_owner() {
                    self.step_down();
                }
            }
            // During a store outage no other daemon can acquire the lease
            // either. After it, the compare-and-swap on the ledger decides.
            _ => {
                let wait_ms = STORE_RETRY_MS << self.store_failures.saturating_sub(1).min(4);
                self.lease
                    .not_granted(self.now_ms, wait_ms.min(MAX_STORE_RETRY_MS));
            }
        }
    }

    /// Starts to read the ledger, as the holder of the lease.
    pub(super) fn open_ledger(&mut self) {
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

    /// Starts ownership once the new epoch is in the ledger: rebuilds the core
    /// from the stored jobs, which inspects the attempts on the workers.
    pub(super) fn take_ownership(&mut self) {
        let Phase::Opening(journal) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return;
        };
        let known_version = self.configuration.as_ref().map_or(0, |c| c.version);
        if known_version < journal.configuration_version() {
            // This daemon's configuration is older than the one with which the
            // ledger was written. Deciding with it would revert a patch.
            metrics::counter!("fuchsiaslip_retries_total", "reason" => "configuration_behind")
                .increment(1);
            self.release_lease();
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
            commit_started_ms: None,
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
        self.update_pause();
    }

    /// Ends ownership without a handover. Drops all decisions that are not
    /// durable; the next owner reads the durable ones from the ledger.
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

    /// Becomes idle and releases the lease.
    pub(super) fn release_lease(&mut self) {
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

    /// Ends ownership in a drain, once all changes are durable and no lease
    /// request is in flight.
    pub(super) fn resign_if_drained(&mut self) {
        let is_finished = match &self.phase {
            Phase::Owning(owning) => {
                owning.journal.pushed() == owning.journal.durable() && owning.gated.is_empty()
            }
            Phase::Opening(_) => true,
            Phase::Idle => false,
        };
        if !self.draining || !is_finished || self.lease_call.is_some() {
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
        self.release_lease();
    }
}
