//! Makes the owner's calls to workers, itself or through carriers.

use super::carrier_routes::CarrierRoutes;
use super::node::Node;
use super::peer_connections::CarrierError;
use super::worker_call::{
    AddressedCall,
    WorkerAnswer,
    WorkerCall, //
};
use crate::events;
use crate::scheduler::{
    CallOutcome,
    Callee, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::rc::Rc;

/// How often the carriers are computed while this daemon owns.
const PLAN_INTERVAL_MS: u64 = 250;
/// Time that a call through a carrier may take in addition to the worker's.
const CARRIER_SLACK_MS: u64 = 300;

/// Records how many workers the scheduler knows in each data centre, and computes the carriers.
pub fn record_worker_counts(node: &Node, counts: BTreeMap<String, usize>) {
    node.carrier_routes.borrow_mut().worker_counts = counts;
    update_plan(node);
}

/// Forgets the carriers of an earlier ownership. This has to happen before the scheduler begins,
/// which reports the number of workers only when it changes.
pub fn reset_carriers(node: &Node) {
    *node.carrier_routes.borrow_mut() = CarrierRoutes::default();
}

/// Keeps the carriers up to date while this daemon owns under `epoch`.
pub async fn maintain_plan(node: Rc<Node>, epoch: u64) {
    while node.epoch() == epoch {
        update_plan(&node);
        node.timer.sleep(PLAN_INTERVAL_MS).await;
    }
}

fn update_plan(node: &Node) {
    let now_ms = node.now_ms();
    let members = node.peer_table.borrow().carriers(now_ms);
    let mut routes = node.carrier_routes.borrow_mut();
    let CarrierRoutes {
        plan,
        worker_counts,
        ..
    } = &mut *routes;
    let callable_workers = node.settings.resources.callable_workers();
    let before: BTreeSet<String> = plan.names();
    plan.update(&members, worker_counts, callable_workers, now_ms);
    let after = plan.names();
    metrics::gauge!("fuchsiaslip_carriers").set(after.len() as f64);
    if before != after {
        log_change(&before, &after, node.epoch());
    }
}

fn log_change(before: &BTreeSet<String>, after: &BTreeSet<String>, epoch: u64) {
    /// Most names in one line.
    const MAX_NAMES: usize = 8;
    let names = |names: std::collections::btree_set::Difference<'_, String>| {
        let names: Vec<&str> = names.take(MAX_NAMES).map(String::as_str).collect();
        names.join(" ")
    };
    let (added, removed) = (
        names(after.difference(before)),
        names(before.difference(after)),
    );
    events::log(
        events::CARRIERS_CHANGED,
        format_args!(
            "{} carriers, epoch {epoch}, added {added}, removed {removed}",
            after.len()
        ),
    );
}

/// Makes a call to a worker and waits for its answer.
pub async fn call_worker(
    node: &Rc<Node>,
    epoch: u64,
    callee: &Callee,
    call: WorkerCall,
) -> WorkerAnswer {
    let worker = callee.worker;
    let is_poll = matches!(call, WorkerCall::Poll { .. });
    let call = AddressedCall::to_callee(epoch, callee, call);
    let carrier = {
        let routes = node.carrier_routes.borrow();
        let detour = routes.takes_detour(worker);
        routes
            .plan
            .carrier_of(&callee.data_centre, &callee.worker_name, detour)
    };
    let Some(carrier) = carrier else {
        return node.workers.call(&call).await;
    };
    let timeout_ms = call.call.timeout_ms() + CARRIER_SLACK_MS;
    let answer = node.peers.call_worker(carrier, &call, timeout_ms).await;
    let mut routes = node.carrier_routes.borrow_mut();
    if is_poll {
        let is_answered = matches!(answer, Ok(WorkerAnswer::Report(_)));
        routes.record_poll(worker, is_answered);
    }
    match answer {
        Ok(answer) => {
            routes.plan.record_response(carrier);
            answer
        }
        Err(error) => {
            if error == CarrierError::Disconnected {
                let before = routes.plan.count();
                let excluded_ms = routes.plan.record_failure(carrier, node.now_ms());
                if routes.plan.count() < before {
                    events::log(
                        events::CARRIER_LOST,
                        format_args!("{carrier}, left out for {excluded_ms} ms, epoch {epoch}"),
                    );
                    metrics::counter!("fuchsiaslip_carriers_lost_total").increment(1);
                }
            }
            WorkerAnswer::Outcome(CallOutcome::NoAnswer)
        }
    }
}
