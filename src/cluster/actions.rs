//! Carries out the scheduler's actions.
//!
//! Each call to a worker or to the platform's machine interface runs as a task of
//! its own and sends its result to the scheduler as an input. What has to be stored
//! is added to the pending writes.

use super::control::{
    Output,
    Report, //
};
use super::decision_lines::{
    log_decision,
    log_dropped_decision, //
};
use super::job_room::JobRoom;
use super::node::Node;
use super::pending_writes::Changes;
use super::records::EmptiedRecord;
use super::set_aside::store_mark;
use super::supervision::{
    Part,
    spawn_for_epoch, //
};
use super::worker_call::{
    StartOrder,
    WorkerAnswer,
    WorkerCall, //
};
use super::worker_calls::{
    call_worker,
    record_worker_counts, //
};
use crate::core::JobId;
use crate::scheduler::{
    Action,
    CallOutcome,
    Callee,
    Decision,
    GroupKey,
    Input,
    UpkeepOutcome, //
};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Mutex;
use tokio::sync::mpsc::UnboundedReceiver;

/// Number of actions of a scheduler that failed of which the decisions are logged: the last ones
/// are next to the cause.
const MAX_DROPPED_LINES: usize = 64;
/// A call whose result the scheduler waits for.
const CALL: Part = Part("call");

/// Receives the control thread's reports until that thread ends.
pub async fn run(node: Rc<Node>, reports: Rc<Mutex<UnboundedReceiver<Report>>>) {
    let mut reports = reports.lock().await;
    while let Some(report) = reports.recv().await {
        match report {
            // An epoch under which this daemon no longer owns is over.
            Report::Decided(output) if output.epoch == node.epoch() => execute(&node, output),
            Report::Decided(_) => {}
            Report::Failed {
                epoch,
                job,
                message,
                dropped,
            } => {
                let epoch = epoch.unwrap_or_else(|| node.epoch());
                log_dropped(epoch, &dropped);
                // First, so that the next owner finds the mark.
                if let Some(job) = job {
                    store_mark(&node, epoch, job, &message).await;
                }
                node.record_failure(Part("control"), epoch);
            }
        }
    }
}

/// Logs the last decisions of a scheduler that failed; none of them was carried out.
fn log_dropped(epoch: u64, actions: &[Action]) {
    let from = actions.len().saturating_sub(MAX_DROPPED_LINES);
    for action in &actions[from..] {
        if let Action::Decided(decision) = action {
            log_dropped_decision(epoch, decision);
        }
    }
}

fn execute(node: &Rc<Node>, output: Output) {
    let epoch = output.epoch;
    if let Some(counts) = output.worker_counts {
        record_worker_counts(node, counts);
    }
    if let Some(job_bytes) = output.job_bytes {
        let limit_bytes = JobRoom::of_machine(node.settings.memory_bytes).limit_bytes();
        node.job_room.borrow_mut().update(limit_bytes, job_bytes);
    }
    let mut deleted_jobs: Vec<JobId> = Vec::new();
    let mut waves = Vec::new();
    let mut emptied = Vec::new();
    for action in output.actions {
        match action {
            Action::Poll {
                callee,
                last_seen,
                lease_end_ms,
                wait_ms,
            } => {
                let call = WorkerCall::Poll {
                    last_seen,
                    lease_end_ms,
                    wait_ms,
                };
                let poll = poll(node.clone(), epoch, callee, call);
                spawn_for_epoch(node, epoch, CALL, poll);
            }
            Action::Start {
                callee,
                name,
                payload,
                lease_end_ms,
                checkpoint,
                ticket,
            } => {
                let worker = callee.worker;
                let call = WorkerCall::Start(StartOrder {
                    name,
                    payload,
                    lease_end_ms,
                    checkpoint,
                    ticket,
                });
                let to_input = move |outcome| Input::StartResult {
                    worker,
                    name,
                    outcome,
                };
                let order = give_order(node.clone(), epoch, callee, "start", call, to_input);
                spawn_for_epoch(node, epoch, CALL, order);
            }
            Action::Stop { callee, name } => {
                let worker = callee.worker;
                let call = WorkerCall::Stop(name);
                let to_input = move |outcome| Input::StopResult {
                    worker,
                    name,
                    outcome,
                };
                let order = give_order(node.clone(), epoch, callee, "stop", call, to_input);
                spawn_for_epoch(node, epoch, CALL, order);
            }
            Action::Throttle {
                callee,
                name,
                percent,
            } => {
                let worker = callee.worker;
                let call = WorkerCall::Throttle { name, percent };
                let to_input = move |outcome| Input::ThrottleResult {
                    worker,
                    name,
                    outcome,
                };
                let order = give_order(node.clone(), epoch, callee, "pace", call, to_input);
                spawn_for_epoch(node, epoch, CALL, order);
            }
            Action::Advise { step, workers } => {
                let advice = advise(node.clone(), epoch, step, workers);
                spawn_for_epoch(node, epoch, CALL, advice);
            }
            Action::ListMachines => {
                let list = list_machines(node.clone(), epoch);
                spawn_for_epoch(node, epoch, CALL, list);
            }
            Action::BeginUpkeep { wave, machine } => {
                let order = order_upkeep(node.clone(), epoch, wave, machine);
                spawn_for_epoch(node, epoch, CALL, order);
            }
            Action::StoreWaveState { wave, completed } => waves.push((wave, completed)),
            Action::StoreEmptiedDataCentre {
                data_centre,
                revision,
            } => {
                let record = revision.map(|revision| EmptiedRecord {
                    revision,
                    known_since_ms: node.now_ms(),
                });
                emptied.push((data_centre.to_string(), record));
            }
            Action::DeleteJob { job } => deleted_jobs.push(job),
            Action::ConfirmEpoch => node.request_confirmation(),
            Action::OwnershipLost => {
                node.stop_owning("worker_fenced");
                return;
            }
            Action::Decided(decision) => {
                log_decision(epoch, &decision);
                if let Decision::CrashCounted { crash, .. } = &decision {
                    node.record_counted_crash(*crash);
                }
            }
            Action::StoreProgress { .. }
            | Action::StoreRoster
            | Action::StoreClosedWorker { .. } => {}
        }
    }
    node.pending_writes.add(Changes {
        progress: output.records,
        roster: output.roster,
        closed: output.closed,
        deleted_jobs,
        waves,
        emptied,
    });
}

async fn poll(node: Rc<Node>, epoch: u64, callee: Callee, call: WorkerCall) {
    let sent_ms = node.now_ms();
    let worker = callee.worker;
    let input = match call_worker(&node, epoch, &callee, call).await {
        WorkerAnswer::Report(report) => Input::PollAnswered {
            worker,
            sent_ms,
            report,
        },
        WorkerAnswer::Outcome(outcome) => Input::PollFailed { worker, outcome },
    };
    node.control.send_input(epoch, input);
}

/// Gives a worker an order and sends the scheduler the input that `to_input` makes of the
/// outcome. `order` is a label value of `fuchsiaslip_orders_total`.
async fn give_order(
    node: Rc<Node>,
    epoch: u64,
    callee: Callee,
    order: &'static str,
    call: WorkerCall,
    to_input: impl FnOnce(CallOutcome) -> Input,
) {
    let sent_ms = node.now_ms();
    let outcome = match call_worker(&node, epoch, &callee, call).await {
        WorkerAnswer::Outcome(outcome) => outcome,
        // Only polls are answered by reports.
        WorkerAnswer::Report(_) => CallOutcome::NoAnswer,
    };
    record_order(&node, order, sent_ms, outcome);
    node.control.send_input(epoch, to_input(outcome));
}

/// Reads the list of machines. A platform without an interface for machines has no
/// waves, so the client is missing here only if the settings lack its address.
async fn list_machines(node: Rc<Node>, epoch: u64) {
    let sent_ms = node.now_ms();
    let machines = match &node.machines {
        Some(machines) => machines.list().await.ok(),
        None => None,
    };
    if machines.is_none() {
        metrics::counter!("fuchsiaslip_retries_total", "reason" => "machines_unread").increment(1);
    }
    let input = Input::MachineList { sent_ms, machines };
    node.control.send_input(epoch, input);
}

async fn order_upkeep(node: Rc<Node>, epoch: u64, wave: u64, machine: String) {
    let outcome = match &node.machines {
        Some(machines) => machines.order_upkeep(wave, &machine, epoch).await,
        None => UpkeepOutcome::Limited,
    };
    let input = Input::UpkeepResult {
        wave,
        machine,
        outcome,
    };
    node.control.send_input(epoch, input);
}

fn record_order(node: &Node, order: &'static str, sent_ms: u64, outcome: CallOutcome) {
    let outcome = match outcome {
        CallOutcome::Done => "done",
        CallOutcome::Refused(refusal) => refusal.name(),
        CallOutcome::OtherIncarnation => "other_incarnation",
        CallOutcome::NoAnswer => "no_answer",
        CallOutcome::NotSent => "not_sent",
    };
    let took_ms = (node.now_ms() - sent_ms) as f64;
    metrics::histogram!("fuchsiaslip_order_ms", "order" => order).record(took_ms);
    metrics::counter!("fuchsiaslip_orders_total", "order" => order, "outcome" => outcome)
        .increment(1);
}

async fn advise(
    node: Rc<Node>,
    epoch: u64,
    step: GroupKey,
    workers: Vec<(crate::core::WorkerKey, Arc<str>)>,
) {
    let approved = match &node.settings.advice_address {
        Some(address) => {
            let names: Vec<Arc<str>> = workers.iter().map(|(_, name)| name.clone()).collect();
            node.workers.advise(address, step, &names).await
        }
        None => None,
    };
    let input = Input::AdviceResult {
        step,
        asked: workers.iter().map(|(worker, _)| *worker).collect(),
        approved,
    };
    node.control.send_input(epoch, input);
}
