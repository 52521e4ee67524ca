//! Handles the configuration, the list of workers, updates from worker monitors,
//! and calls to workers.

use super::{
    Action,
    CallId,
    Owner,
    WorkerUpdate,
    outbox,
    outbox::CallOutcome,
    state::Phase, //
};
use crate::backend::{
    VmKind,
    VmRecord,
    WorkerAnswer,
    WorkerCall,
    WorkerFailure, //
};
use crate::config::Configuration;
use crate::core::{
    Cell,
    Command,
    JobState,
    MemberReport,
    WorkerHealth,
    WorkerKey,
    WorkerSpec, //
};
use crate::events;
use std::sync::Arc;

impl Owner {
    /// Puts a configuration in force if it is newer than the known one.
    pub(super) fn handle_configuration(&mut self, configuration: Arc<Configuration>) {
        let known_version = self.configuration.as_ref().map_or(0, |c| c.version);
        if self.configuration.is_some() && configuration.version <= known_version {
            return;
        }
        self.configuration = Some(configuration.clone());
        self.apply_configuration(configuration);
    }

    pub(super) fn apply_configuration(&mut self, configuration: Arc<Configuration>) {
        if let Phase::Owning(owning) = &mut self.phase {
            owning
                .journal
                .set_configuration_version(configuration.version);
            self.apply(Command::Configure(configuration));
        }
    }

    /// Handles the platform's list of VMs. A VM that is no longer listed is kept
    /// as leaving.
    pub(super) fn handle_vm_list(&mut self, members: Vec<VmRecord>) {
        let unlisted: Vec<String> = self
            .vms
            .keys()
            .filter(|name| !members.iter().any(|vm| vm.name == **name))
            .cloned()
            .collect();
        for vm in members {
            self.vms.insert(vm.name.clone(), vm);
        }
        // A worker that is no longer listed gets no new work. Its tasks are
        // treated as stopped only when it has not responded for longer than its
        // lease.
        for name in unlisted {
            if let Some(vm) = self.vms.get_mut(&name) {
                vm.leaving = true;
            }
        }
        self.apply(Command::Workers(self.worker_specs()));
        self.readmit_workers();
    }

    /// Readmits the leaving workers that neither the platform's list nor their own
    /// responses report as leaving any more.
    pub(super) fn readmit_workers(&mut self) {
        let Phase::Owning(owning) = &self.phase else {
            return;
        };
        let readmitted: Vec<String> = owning
            .cell
            .fleet()
            .workers()
            .filter(|(_, worker)| worker.health == WorkerHealth::Leaving)
            .filter(|(_, worker)| !self.self_reported_leaving.contains(&worker.name))
            .filter(|(_, worker)| self.vms.get(&worker.name).is_some_and(|vm| !vm.leaving))
            .map(|(_, worker)| worker.name.clone())
            .collect();
        for name in readmitted {
            self.apply(Command::WorkerReturned(name));
        }
    }

    /// Returns the workers among the VMs, as the core expects them.
    pub(super) fn worker_specs(&self) -> Vec<WorkerSpec> {
        self.vms
            .values()
            .filter(|vm| vm.kind == VmKind::Worker)
            .map(|vm| WorkerSpec {
                name: vm.name.clone(),
                rack: vm.rack.clone(),
                accelerators: vm.accelerators,
                leaving: vm.leaving,
            })
            .collect()
    }

    /// Passes an update from a worker monitor to the core.
    pub(super) fn handle_worker_update(&mut self, worker: &str, update: WorkerUpdate) {
        match update {
            WorkerUpdate::Changes(changes) => {
                for change in changes {
                    let report = MemberReport {
                        attempt: change.attempt,
                        worker: worker.to_owned(),
                        event: outbox::event_of(change.state),
                    };
                    self.apply(Command::Member(report));
                }
            }
            WorkerUpdate::Unresponsive { unresponsive_ms } => {
                let lost_after_ms = self.settings.worker_lease_ms + self.settings.worker_margin_ms;
                if unresponsive_ms >= lost_after_ms
                    && self.health_of(worker) != Some(WorkerHealth::Lost)
                {
                    events::log(events::WORKER_LOST, format_args!("{worker}"));
                    self.apply(Command::WorkerLost(worker.to_owned()));
                }
            }
            WorkerUpdate::Responded {
                incarnation,
                leaving,
            } => self.handle_worker_response(worker, incarnation, leaving),
        }
    }

    /// Handles a response of a worker: detects restarts, the return of a lost
    /// worker, and whether it is leaving.
    pub(super) fn handle_worker_response(&mut self, worker: &str, incarnation: u64, leaving: bool) {
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        let previous = owning.incarnations.insert(worker.to_owned(), incarnation);
        match previous {
            Some(previous) if previous != incarnation => {
                self.apply(Command::WorkerRestarted(worker.to_owned()));
            }
            Some(_) => {}
            // A new owner does not know whether the worker has restarted since its
            // attempts were inspected, and therefore inspects the tasks assumed to
            // run there again.
            None => self.apply(Command::Reinspect(worker.to_owned())),
        }
        if self.health_of(worker) == Some(WorkerHealth::Lost) {
            events::log(events::WORKER_RETURNED, format_args!("{worker}"));
            self.apply(Command::WorkerReturned(worker.to_owned()));
        }
        if !leaving {
            self.self_reported_leaving.remove(worker);
            return self.readmit_workers();
        }
        if self.self_reported_leaving.insert(worker.to_owned()) {
            events::log(events::WORKER_LEAVING, format_args!("{worker}"));
        }
        self.apply(Command::WorkerLeaving(worker.to_owned()));
    }

    pub(super) fn health_of(&self, worker: &str) -> Option<WorkerHealth> {
        let fleet = self.cell()?.fleet();
        fleet.find(worker).map(|key| fleet.worker(key).health)
    }

    /// Handles the result of a call to a worker.
    pub(super) fn handle_worker_answer(
        &mut self,
        call: CallId,
        result: Result<WorkerAnswer, WorkerFailure>,
    ) {
        let now_ms = self.now_ms;
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        let Some(outgoing) = owning.outbox.take(call) else {
            metrics::counter!("fuchsiaslip_late_answers_total", "from" => "worker").increment(1);
            return;
        };
        let worker = outgoing.worker.clone();
        let attempt = outbox::attempt_of(&outgoing.call);
        let outcome = match result {
            Ok(answer) => owning.outbox.handle_answer(&outgoing, answer, now_ms),
            Err(_) => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => "worker_silent")
                    .increment(1);
                match is_still_needed(&owning.cell, &outgoing) {
                    true => owning.outbox.handle_no_answer(outgoing, now_ms),
                    false => CallOutcome::Nothing,
                }
            }
        };
        if let (CallOutcome::Event(event), Some(attempt)) = (outcome, attempt) {
            self.apply(Command::Member(MemberReport {
                attempt,
                worker,
                event,
            }));
        }
    }

    /// Schedules a call to a worker, due immediately.
    pub(super) fn schedule_call(&mut self, worker: WorkerKey, call: WorkerCall) {
        let now_ms = self.now_ms;
        if let Phase::Owning(owning) = &mut self.phase {
            let name = owning.cell.fleet().worker(worker).name.clone();
            owning.outbox.push(&name, call, now_ms);
        }
    }

    /// Requests all scheduled calls that are due, except those that are no longer
    /// needed.
    pub(super) fn send_due(&mut self) {
        loop {
            let now_ms = self.now_ms;
            let Phase::Owning(owning) = &mut self.phase else {
                return;
            };
            let Some(outgoing) = owning.outbox.take_due(now_ms) else {
                return;
            };
            if !is_still_needed(&owning.cell, &outgoing) {
                continue;
            }
            self.last_call_id += 1;
            let call = CallId(self.last_call_id);
            let address = self.vms.get(&outgoing.worker);
            self.actions.push(Action::Worker {
                call,
                worker: outgoing.worker.clone(),
                address: address.map_or_else(String::new, |vm| vm.address.clone()),
                request: outgoing.call.clone(),
            });
            owning.outbox.record_sent(call, outgoing);
        }
    }
}

/// Whether the attempt that a call is about is still in the state that needs the
/// call. A stop is needed unless the worker is lost: a task whose attempt has
/// ended must not continue.
fn is_still_needed(cell: &Cell, outgoing: &outbox::Outgoing) -> bool {
    let Some(attempt) = outbox::attempt_of(&outgoing.call) else {
        return false;
    };
    let fleet = cell.fleet();
    let is_lost = fleet
        .find(&outgoing.worker)
        .is_none_or(|key| fleet.worker(key).health == WorkerHealth::Lost);
    let state = cell
        .job(attempt.job)
        .filter(|job| job.attempt == attempt.attempt)
        .map(|job| job.state);
    match outgoing.call {
        WorkerCall::Reserve { .. } => state == Some(JobState::Reserving),
        WorkerCall::Start { .. } => state == Some(JobState::Starting),
        WorkerCall::Inspect { .. } => {
            matches!(state, Some(JobState::Recovering | JobState::Running))
        }
        WorkerCall::Stop { .. } => !is_lost,
        WorkerCall::Poll { .. } => false,
    }
}
