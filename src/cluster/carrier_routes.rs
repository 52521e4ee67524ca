//! The carriers that an owner uses, and the detours to workers that a carrier does not reach.

use super::carrier_plan::CarrierPlan;
use crate::core::WorkerKey;
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// Number of polls in a row without an answer through one carrier after which the next one is
/// tried, since only the link between the two may be cut.
const POLLS_BEFORE_DETOUR: u32 = 2;

/// Which carriers the owner uses.
#[derive(Debug, Default)]
pub struct CarrierRoutes {
    /// Which daemons carry which workers.
    pub plan: CarrierPlan,
    /// Number of workers in each data centre.
    pub worker_counts: BTreeMap<String, usize>,
    /// Polls in a row without an answer, by worker.
    unanswered_polls: HashMap<WorkerKey, u32>,
}

impl CarrierRoutes {
    /// Whether a worker is called through the second carrier: after some polls without an
    /// answer, the two take turns.
    pub fn takes_detour(&self, worker: WorkerKey) -> bool {
        let unanswered = self.unanswered_polls.get(&worker).copied().unwrap_or(0);
        unanswered / POLLS_BEFORE_DETOUR % 2 == 1
    }

    /// Records whether a worker answered a poll.
    pub fn record_poll(&mut self, worker: WorkerKey, answered: bool) {
        match answered {
            true => drop(self.unanswered_polls.remove(&worker)),
            false => *self.unanswered_polls.entry(worker).or_default() += 1,
        }
    }
}
