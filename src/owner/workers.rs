//! The owner's workers: who they are, their news, and calls to them.

use super::{
    Action,
    CallId,
    Owner,
    WorkerUpdate,
    outbox,
    outbox::Meaning,
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
    pub(super) fn configured(&mut self, configuration: Arc<Configuration>) {
        let known = self.configuration.as_ref().map_or(0, |c| c.version);
        if self.configuration.is_some() && configuration.version <= known {
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

    pub(super) fn members_listed(&mut self, members: Vec<VmRecord>) {
        let gone: Vec<String> = self
            .members
            .keys()
            .filter(|name| !members.iter().any(|vm| vm.name == **name))
            .cloned()
            .collect();
        for vm in members {
            self.members.insert(vm.name.clone(), vm);
        }
        // A worker that the list no longer names gets no new work; whether its
        // tasks are gone only its own silence tells.
        for name in gone {
            if let Some(vm) = self.members.get_mut(&name) {
                vm.leaving = true;
            }
        }
        self.apply(Command::Workers(self.worker_specs()));
        self.reopen_workers();
    }

    /// A worker is open again when neither the list nor itself says that it is
    /// leaving.
    pub(super) fn reopen_workers(&mut self) {
        let Phase::Owning(owning) = &self.phase else {
            return;
        };
        let reopened: Vec<String> = owning
            .cell
            .fleet()
            .workers()
            .filter(|(_, worker)| worker.health == WorkerHealth::Leaving)
            .filter(|(_, worker)| !self.says_leaving.contains(&worker.name))
            .filter(|(_, worker)| self.members.get(&worker.name).is_some_and(|vm| !vm.leaving))
            .map(|(_, worker)| worker.name.clone())
            .collect();
        for name in reopened {
            self.apply(Command::WorkerReturned(name));
        }
    }

    pub(super) fn worker_specs(&self) -> Vec<WorkerSpec> {
        self.members
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
            WorkerUpdate::Silent { silent_ms } => {
                let over_ms = self.settings.worker_lease_ms + self.settings.worker_margin_ms;
                if silent_ms >= over_ms && self.health_of(worker) != Some(WorkerHealth::Lost) {
                    events::log(events::WORKER_LOST, format_args!("{worker}"));
                    self.apply(Command::WorkerLost(worker.to_owned()));
                }
            }
            WorkerUpdate::Seen {
                incarnation,
                leaving,
            } => self.worker_seen(worker, incarnation, leaving),
        }
    }

    pub(super) fn worker_seen(&mut self, worker: &str, incarnation: u64, leaving: bool) {
        let Phase::Owning(owning) = &mut self.phase else {
            return;
        };
        let known = owning.incarnations.insert(worker.to_owned(), incarnation);
        match known {
            Some(known) if known != incarnation => {
                self.apply(Command::WorkerRestarted(worker.to_owned()));
            }
            Some(_) => {}
            // A new owner cannot tell whether the worker restarted since it
            // inspected it: tasks that it believes running are asked for again.
            None => self.apply(Command::Reinspect(worker.to_owned())),
        }
        if self.health_of(worker) == Some(WorkerHealth::Lost) {
            events::log(events::WORKER_BACK, format_args!("{worker}"));
            self.apply(Command::WorkerReturned(worker.to_owned()));
        }
        if !leaving {
            self.says_leaving.remove(worker);
            return self.reopen_workers();
        }
        if self.says_leaving.insert(worker.to_owned()) {
            events::log(events::WORKER_LEAVING, format_args!("{worker}"));
        }
        self.apply(Command::WorkerLeaving(worker.to_owned()));
    }

    pub(super) fn health_of(&self, worker: &str) -> Option<WorkerHealth> {
        let fleet = self.cell()?.fleet();
        fleet.find(worker).map(|key| fleet.worker(key).health)
    }

    pub(super) fn worker_answered(
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
        let meaning = match result {
            Ok(answer) => owning.outbox.answered(&outgoing, answer, now_ms),
            Err(_) => {
                metrics::counter!("fuchsiaslip_retries_total", "reason" => "worker_silent")
                    .increment(1);
                match still_wanted(&owning.cell, &outgoing) {
                    true => owning.outbox.silent(outgoing, now_ms),
                    false => Meaning::Nothing,
                }
            }
        };
        if let (Meaning::Event(event), Some(attempt)) = (meaning, attempt) {
            self.apply(Command::Member(MemberReport {
                attempt,
                worker,
                event,
            }));
        }
    }

    pub(super) fn send(&mut self, worker: WorkerKey, call: WorkerCall) {
        let now_ms = self.now_ms;
        if let Phase::Owning(owning) = &mut self.phase {
            let name = owning.cell.fleet().worker(worker).name.clone();
            owning.outbox.push(&name, call, now_ms);
        }
    }

    pub(super) fn send_due(&mut self) {
        loop {
            let now_ms = self.now_ms;
            let Phase::Owning(owning) = &mut self.phase else {
                return;
            };
            let Some(outgoing) = owning.outbox.take_due(now_ms) else {
                return;
            };
            if !still_wanted(&owning.cell, &outgoing) {
                continue;
            }
            self.next_call += 1;
            let call = CallId(self.next_call);
            let address = self.members.get(&outgoing.worker);
            self.actions.push(Action::Worker {
                call,
                worker: outgoing.worker.clone(),
                address: address.map_or_else(String::new, |vm| vm.address.clone()),
                request: outgoing.call.clone(),
            });
            owning.outbox.sent(call, outgoing);
        }
    }
}

/// Whether a call still serves the attempt that it was made for. A stop is
/// always wanted: an attempt that is over must not go on.
fn still_wanted(cell: &Cell, outgoing: &outbox::Outgoing) -> bool {
    let Some(attempt) = outbox::attempt_of(&outgoing.call) else {
        return false;
    };
    let fleet = cell.fleet();
    let lost = fleet
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
        WorkerCall::Stop { .. } => !lost,
        WorkerCall::Poll { .. } => false,
    }
}
