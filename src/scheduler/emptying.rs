//! Empties data centres on the operators' order.
//!
//! Load pattern: operators order, for some seconds or for good, that the workers of a
//! data centre get no new tasks, and expect the order to take effect within some seconds,
//! while jobs keep coming. From the moment at which the order is known, nothing is started
//! there, and all calculations of capacity leave the data centre out. Runs there end by
//! themselves: to stop them would lose work, which the order does not ask for. Limits: an
//! order that is not known yet is not obeyed, so an owner that has not read the orders for
//! too long starts nothing anywhere.

use super::action::{
    Action,
    Decision, //
};
use super::freshness::Freshness;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    Resources,
    Worker, //
};
use crate::core::WorkerKey;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An operators' order that a data centre gets no new tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EmptyingOrder {
    /// The data centre.
    pub data_centre: String,
    /// The store's revision at which the order was given.
    pub revision: u64,
}

/// An order in force.
#[derive(Clone, Copy, Debug)]
struct InForce {
    revision: u64,
    /// When this owner learned of the order.
    since_ms: u64,
}

/// The orders in force and how recently they were read.
#[derive(Clone, Debug, Default)]
pub(super) struct Emptying {
    in_force: BTreeMap<String, InForce>,
    /// The time up to which all acknowledged orders are known.
    freshness: Freshness,
    /// Data centres whose order was withdrawn and that got no start since, with the time
    /// of the withdrawal.
    not_yet_used: BTreeMap<String, u64>,
}

impl Emptying {
    /// Whether a data centre gets no new tasks. A worker that does not report its data
    /// centre may be in any, so it gets none while any order is in force.
    pub(super) fn covers(&self, data_centre: &str) -> bool {
        let unknown = data_centre.is_empty() && !self.in_force.is_empty();
        unknown || self.in_force.contains_key(data_centre)
    }
}

impl Scheduler {
    /// Returns the data centres that get no new tasks, with the time in milliseconds for
    /// which the order has been known.
    pub fn emptied(&self) -> impl Iterator<Item = (&str, u64)> {
        let orders = self.emptying.in_force.iter();
        orders.map(|(name, order)| (name.as_str(), self.now_ms.saturating_sub(order.since_ms)))
    }

    /// Replaces the orders in force by those that were read from the store at
    /// `checked_ms` or later.
    pub(super) fn handle_emptying_orders(&mut self, orders: Vec<EmptyingOrder>, checked_ms: u64) {
        // Fresh orders allow starts again, so a pass follows at once.
        let (now_ms, bound_ms) = (self.now_ms, self.tuning.orders_max_age_ms);
        self.changed |= self.emptying.freshness.update(checked_ms, now_ms, bound_ms);
        let mut before = std::mem::take(&mut self.emptying.in_force);
        let (mut new, mut reissued) = (Vec::new(), Vec::new());
        for order in orders {
            let known = before.remove(&order.data_centre);
            match known {
                None => new.push(order.data_centre.clone()),
                Some(known) if known.revision != order.revision => {
                    reissued.push(order.data_centre.clone());
                }
                Some(_) => {}
            }
            let in_force = InForce {
                revision: order.revision,
                since_ms: known.map_or(now_ms, |known| known.since_ms),
            };
            self.emptying.in_force.insert(order.data_centre, in_force);
        }
        for data_centre in reissued {
            self.store_emptied(&data_centre);
        }
        if new.is_empty() && before.is_empty() {
            return;
        }
        self.changed = true;
        self.mark_emptied();
        for data_centre in new {
            self.emptying.not_yet_used.remove(&data_centre);
            self.report_emptied(&data_centre);
        }
        for (data_centre, order) in before {
            self.report_withdrawn(data_centre, order);
        }
    }

    /// Marks the workers that get no new tasks, and drops groups' claims to resources that
    /// are being freed there: a group that waits for them would wait in vain.
    fn mark_emptied(&mut self) {
        for worker in &mut self.workers {
            worker.emptied = self.emptying.covers(&worker.info.data_centre);
        }
        let workers = &self.workers;
        for group in self.groups.values_mut() {
            let claims = group.claims.len();
            group
                .claims
                .retain(|(worker, _)| !workers[worker.index()].emptied);
            if group.claims.len() < claims {
                group.preempt_at_ms = 0;
            }
        }
    }

    fn workers_in<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a Worker> {
        let live = self.workers.iter();
        let live = live.filter(|worker| worker.contact != Contact::Gone);
        live.filter(move |worker| worker.info.data_centre == data_centre)
    }

    fn report_emptied(&mut self, data_centre: &str) {
        self.store_emptied(data_centre);
        let there = || self.workers_in(data_centre);
        let last_start_ms = there().map(|worker| worker.started_ms).max();
        let guaranteed = self.configuration.accounts.iter();
        let decision = Decision::DataCentreEmptied {
            data_centre: data_centre.into(),
            revision: self.emptying.in_force[data_centre].revision,
            workers: there().count(),
            runs: there().map(|worker| worker.runs.len()).sum(),
            last_start_ago_ms: last_start_ms
                .filter(|&at_ms| at_ms > 0)
                .map(|at_ms| self.now_ms.saturating_sub(at_ms)),
            accelerators_left: self.usable_capacity().accelerators,
            guaranteed_accelerators: guaranteed
                .map(|account| account.guaranteed_accelerators)
                .fold(0, u32::saturating_add),
        };
        self.decided(decision);
    }

    fn store_emptied(&mut self, data_centre: &str) {
        let order = self.emptying.in_force.get(data_centre);
        self.actions.push(Action::StoreEmptiedDataCentre {
            data_centre: data_centre.into(),
            revision: order.map(|order| order.revision),
        });
    }

    fn report_withdrawn(&mut self, data_centre: String, order: InForce) {
        self.store_emptied(&data_centre);
        let decision = Decision::EmptyingWithdrawn {
            data_centre: data_centre.as_str().into(),
            revision: order.revision,
            emptied_ms: self.now_ms.saturating_sub(order.since_ms),
            workers: self.workers_in(&data_centre).count(),
            runs: self
                .workers_in(&data_centre)
                .map(|worker| worker.runs.len())
                .sum(),
        };
        self.decided(decision);
        self.emptying.not_yet_used.insert(data_centre, self.now_ms);
    }

    /// The capacity outside the data centres that get no new tasks.
    fn usable_capacity(&self) -> Resources {
        self.capacity_of(|worker| worker.is_usable() && !worker.emptied)
    }

    /// The capacity by which the terms of jobs are calculated: that which may be used, or
    /// all of it if none may be used, because the orders will be withdrawn some time.
    pub(super) fn capacity_for_objectives(&self) -> Resources {
        let usable = self.usable_capacity();
        match usable == Resources::default() {
            true => self.capacity_of(Worker::is_usable),
            false => usable,
        }
    }

    /// Whether the orders were read recently enough to start tasks. Without this check, an
    /// owner for which only the reads of the orders fail would start tasks in a data
    /// centre long after the order to empty it.
    pub(super) fn knows_orders(&self) -> bool {
        let bound_ms = self.tuning.orders_max_age_ms;
        self.emptying.freshness.is_fresh(self.now_ms, bound_ms)
    }

    /// Reports, once each time, that nothing starts because the orders are stale.
    pub(super) fn report_stale_orders(&mut self) {
        let bound_ms = self.tuning.orders_max_age_ms;
        if let Some(known_ago_ms) = self
            .emptying
            .freshness
            .unreported_age_ms(self.now_ms, bound_ms)
        {
            self.decided(Decision::OrdersStale { known_ago_ms });
        }
    }

    /// Whether a rack has workers, and none of them gets new tasks.
    pub(super) fn is_rack_emptied(&self, rack: &str) -> bool {
        if rack.is_empty() || self.emptying.in_force.is_empty() {
            return false;
        }
        let live = self.workers.iter().filter(|worker| worker.listed);
        let mut there = live.filter(|worker| &**worker.rack() == rack).peekable();
        there.peek().is_some() && there.all(|worker| worker.emptied)
    }

    /// Records a start on a worker.
    pub(super) fn record_start_on(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        self.worker_mut(key).started_ms = now_ms;
        if !self.emptying.not_yet_used.is_empty() {
            let data_centre = self.worker(key).info.data_centre.clone();
            self.report_data_centre_used(&data_centre);
        }
    }

    /// Reports the first start in a data centre after its order was withdrawn.
    fn report_data_centre_used(&mut self, data_centre: &str) {
        if let Some(since_ms) = self.emptying.not_yet_used.remove(data_centre) {
            let after_ms = self.now_ms.saturating_sub(since_ms);
            let data_centre: Arc<str> = data_centre.into();
            self.decided(Decision::FirstStartAfterEmptying {
                data_centre,
                after_ms,
            });
        }
    }
}
