//! Emptying data centres on the operators' order.
//!
//! Load pattern: operators ask, for some seconds or for good, that the workers of
//! a data centre get nothing new, and want that in force some seconds later,
//! while jobs keep coming. From the moment at which the order is known nothing is
//! started there, and every reckoning of room passes the data centre over. What
//! runs there ends by itself: a stop would throw work away that the order does
//! not ask for. Limits: an order that is not known yet is not kept, so an owner
//! that did not read the orders for too long starts nothing anywhere.

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
    /// The store's revision at which it was given.
    pub revision: u64,
}

/// An order in force.
#[derive(Clone, Copy, Debug)]
struct InForce {
    revision: u64,
    /// When this owner learned of it.
    since_ms: u64,
}

/// The orders in force, and how well they are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Emptying {
    in_force: BTreeMap<String, InForce>,
    /// All orders that were acknowledged until then are known.
    view: Freshness,
    /// Data centres that were given back and got no start since, with when.
    unused: BTreeMap<String, u64>,
}

impl Emptying {
    /// Whether a data centre gets no new tasks. A worker that does not say where it
    /// is may be in any: it gets none while there is an order.
    pub(super) fn names(&self, data_centre: &str) -> bool {
        let unknown = data_centre.is_empty() && !self.in_force.is_empty();
        unknown || self.in_force.contains_key(data_centre)
    }
}

impl Scheduler {
    /// The data centres that get no new tasks, with how long that is known.
    pub fn emptied(&self) -> impl Iterator<Item = (&str, u64)> {
        let orders = self.emptying.in_force.iter();
        orders.map(|(name, order)| (name.as_str(), self.now_ms.saturating_sub(order.since_ms)))
    }

    /// Takes in all orders in force, as the store showed them when it was asked
    /// at `checked_ms` or later.
    pub(super) fn handle_emptying_orders(&mut self, orders: Vec<EmptyingOrder>, checked_ms: u64) {
        // Waiting work is offered room again as soon as that may be done.
        let (now_ms, bound_ms) = (self.now_ms, self.tuning.orders_max_age_ms);
        self.changed |= self.emptying.view.note(checked_ms, now_ms, bound_ms);
        let mut before = std::mem::take(&mut self.emptying.in_force);
        let (mut new, mut given_anew) = (Vec::new(), Vec::new());
        for order in orders {
            let known = before.remove(&order.data_centre);
            match known {
                None => new.push(order.data_centre.clone()),
                Some(known) if known.revision != order.revision => {
                    given_anew.push(order.data_centre.clone());
                }
                Some(_) => {}
            }
            let in_force = InForce {
                revision: order.revision,
                since_ms: known.map_or(now_ms, |known| known.since_ms),
            };
            self.emptying.in_force.insert(order.data_centre, in_force);
        }
        for data_centre in given_anew {
            self.store_emptied(&data_centre);
        }
        if new.is_empty() && before.is_empty() {
            return;
        }
        self.changed = true;
        self.mark_emptied();
        for data_centre in new {
            self.emptying.unused.remove(&data_centre);
            self.note_emptied(&data_centre);
        }
        for (data_centre, order) in before {
            self.note_given_back(data_centre, order);
        }
    }

    /// Marks the workers that get no new tasks, and lets go of room that was
    /// being freed there: a group that waits for it would wait in vain.
    fn mark_emptied(&mut self) {
        for worker in &mut self.workers {
            worker.emptied = self.emptying.names(&worker.info.data_centre);
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

    fn note_emptied(&mut self, data_centre: &str) {
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
            accelerators_left: self.usable_room().accelerators,
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

    fn note_given_back(&mut self, data_centre: String, order: InForce) {
        self.store_emptied(&data_centre);
        let decision = Decision::DataCentreBack {
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
        self.emptying.unused.insert(data_centre, self.now_ms);
    }

    /// The room outside the data centres that get no new tasks.
    fn usable_room(&self) -> Resources {
        self.room_of(|worker| worker.is_usable() && !worker.emptied)
    }

    /// The room by which the terms of jobs are reckoned: what may be used. Where
    /// nothing may, all of it: the data centres are given back some time.
    pub(super) fn room_for_terms(&self) -> Resources {
        let usable = self.usable_room();
        match usable == Resources::default() {
            true => self.room_of(Worker::is_usable),
            false => usable,
        }
    }

    /// Whether all orders are known that were given long enough ago to have to
    /// be kept. Without this, an owner whose questions for orders alone are not
    /// answered would start tasks in a data centre long after its order.
    pub(super) fn knows_orders(&self) -> bool {
        let bound_ms = self.tuning.orders_max_age_ms;
        self.emptying.view.is_fresh(self.now_ms, bound_ms)
    }

    /// Tells once that nothing starts since the orders were not read for too long.
    pub(super) fn note_orders_unread(&mut self) {
        let bound_ms = self.tuning.orders_max_age_ms;
        if let Some(known_ago_ms) = self.emptying.view.untold_age_ms(self.now_ms, bound_ms) {
            self.decided(Decision::OrdersUnread { known_ago_ms });
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

    /// Notes a start on a worker.
    pub(super) fn note_start_on(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        self.worker_mut(key).started_ms = now_ms;
        if !self.emptying.unused.is_empty() {
            let data_centre = self.worker(key).info.data_centre.clone();
            self.note_used(&data_centre);
        }
    }

    /// Tells of the first start in a data centre that was given back.
    fn note_used(&mut self, data_centre: &str) {
        if let Some(since_ms) = self.emptying.unused.remove(data_centre) {
            let after_ms = self.now_ms.saturating_sub(since_ms);
            let data_centre: Arc<str> = data_centre.into();
            self.decided(Decision::DataCentreUsed {
                data_centre,
                after_ms,
            });
        }
    }
}
