//! Tracks the operators' orders to empty data centres.
//!
//! Every daemon follows the orders all the time, so that a new owner knows them. They
//! arrive in two ways that may overtake each other: as a list, and as changes since a
//! revision. Both carry a revision of the store, and what is older than the known
//! state is ignored.

use super::invalid_values::{
    InvalidReason, //
    StoredKind,
};
use super::node::Node;
use super::store_types::{
    StoreEvent,
    StoredItem, //
    StoredRange,
};
use crate::events;
use crate::platform::emptied_data_centre;
use crate::scheduler::{
    EmptyingOrder,
    Input, //
};
use std::collections::BTreeMap;

/// The orders in force at a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EmptyingOrders {
    /// Data centres, each with the revision of its order.
    in_force: BTreeMap<String, u64>,
    /// All changes up to this revision are included.
    revision: u64,
    /// When the newest of the included answers was requested from the store; 0 for
    /// never.
    checked_ms: u64,
}

impl EmptyingOrders {
    /// Applies a list as of `revision`, requested at `requested_ms`: the key and
    /// revision of each order. A list that is older than the known state is ignored.
    pub fn apply_list<'a>(
        &mut self,
        rows: impl Iterator<Item = (&'a str, u64)>,
        revision: u64,
        requested_ms: u64,
    ) {
        if revision < self.revision {
            return;
        }
        self.in_force.clear();
        for (key, revision) in rows {
            self.insert(key, revision);
        }
        self.record_check(revision, requested_ms);
    }

    /// Applies all changes up to `revision`, requested at `requested_ms`: key,
    /// revision, and whether there is an order now. Changes that are already included
    /// are ignored.
    pub fn apply_changes<'a>(
        &mut self,
        rows: impl Iterator<Item = (&'a str, u64, bool)>,
        revision: u64,
        requested_ms: u64,
    ) {
        let known = self.revision;
        let mut rows: Vec<_> = rows
            .filter(|(_, change_revision, _)| *change_revision > known)
            .collect();
        rows.sort_by_key(|(_, change_revision, _)| *change_revision);
        for (key, change_revision, in_force) in rows {
            if in_force {
                self.insert(key, change_revision);
            } else if let Some(data_centre) = emptied_data_centre(key) {
                self.in_force.remove(data_centre);
            }
        }
        self.record_check(revision, requested_ms);
    }

    /// Adds an order. The key alone names the data centre, so an order counts even if
    /// its value cannot be decoded.
    fn insert(&mut self, key: &str, revision: u64) {
        if let Some(data_centre) = emptied_data_centre(key) {
            self.in_force.insert(data_centre.to_owned(), revision);
        }
    }

    fn record_check(&mut self, revision: u64, requested_ms: u64) {
        self.revision = self.revision.max(revision);
        self.checked_ms = self.checked_ms.max(requested_ms);
    }

    /// The orders in force.
    pub fn in_force(&self) -> Vec<EmptyingOrder> {
        let orders = self.in_force.iter();
        orders
            .map(|(data_centre, &revision)| EmptyingOrder {
                data_centre: data_centre.clone(),
                revision,
            })
            .collect()
    }

    /// All orders that were acknowledged before this time are known.
    pub fn checked_ms(&self) -> u64 {
        self.checked_ms
    }
}

/// Handles a list of the operators' values.
pub fn handle_list(node: &Node, range: &StoredRange, requested_ms: u64) {
    report_unnamed(node, range.items.iter());
    let rows = range.items.iter().filter(|item| is_order(&item.key));
    let rows = rows.map(|item| (item.key.as_str(), item.revision));
    update(node, |known| {
        known.apply_list(rows, range.revision, requested_ms)
    });
}

/// Handles changes of the operators' values.
pub fn handle_changes(node: &Node, changes: &[StoreEvent], revision: u64, requested_ms: u64) {
    let put = changes.iter().filter_map(|event| match event {
        StoreEvent::Put(item) => Some(item),
        StoreEvent::Removed { .. } => None,
    });
    report_unnamed(node, put);
    let rows = changes.iter().map(|event| match event {
        StoreEvent::Put(item) => (item.key.as_str(), item.revision, true),
        StoreEvent::Removed { key, revision } => (key.as_str(), *revision, false),
    });
    let rows = rows.filter(|(key, ..)| is_order(key));
    update(node, |known| {
        known.apply_changes(rows, revision, requested_ms)
    });
}

/// Reports orders whose key names no data centre; these empty nothing.
fn report_unnamed<'a>(node: &Node, items: impl Iterator<Item = &'a StoredItem>) {
    let is_unnamed = |item: &&StoredItem| emptied_data_centre(&item.key).is_none();
    for item in items.filter(|item| is_order(&item.key)).filter(is_unnamed) {
        node.report_invalid(
            StoredKind::Emptying,
            item,
            &InvalidReason::because("bad_name"),
        );
    }
}

fn is_order(key: &str) -> bool {
    key.starts_with(crate::platform::EMPTYING_PREFIX)
}

fn update(node: &Node, change: impl FnOnce(&mut EmptyingOrders)) {
    let before = node.emptying_orders();
    node.update_emptying_orders(change);
    let after = node.emptying_orders();
    if before.in_force != after.in_force {
        log_changes(&before, &after, node.now_ms());
        let count = after.in_force.len() as f64;
        metrics::gauge!("fuchsiaslip_emptied_data_centres").set(count);
    }
    if node.owns() {
        node.control.send_input(node.epoch(), input(node));
    }
}

/// The known orders as an input for the scheduler.
pub fn input(node: &Node) -> Input {
    let known = node.emptying_orders();
    Input::EmptyingOrdersRead {
        orders: known.in_force(),
        checked_ms: known.checked_ms(),
    }
}

fn log_changes(before: &EmptyingOrders, after: &EmptyingOrders, now_ms: u64) {
    // The store did not show the change when it was asked last.
    let within = match before.checked_ms {
        0 => "before this daemon started".to_owned(),
        checked_ms => format!("at most {} ms ago", now_ms.saturating_sub(checked_ms)),
    };
    for (data_centre, revision) in &after.in_force {
        if before.in_force.get(data_centre) != Some(revision) {
            metrics::counter!("fuchsiaslip_emptying_orders_total", "change" => "given")
                .increment(1);
            events::log(
                events::EMPTYING_ORDERED,
                format_args!("{data_centre}, revision {revision}, given {within}"),
            );
        }
    }
    for (data_centre, revision) in &before.in_force {
        if !after.in_force.contains_key(data_centre) {
            metrics::counter!("fuchsiaslip_emptying_orders_total", "change" => "taken_back")
                .increment(1);
            events::log(
                events::EMPTYING_WITHDRAWN,
                format_args!("{data_centre}, revision {revision}, taken back {within}"),
            );
        }
    }
}
