//! The operators' orders to empty data centres, as this daemon knows them.
//!
//! Every daemon follows them all the time, so that one that takes over has them.
//! They reach it by two ways that may overtake each other: a list, and changes
//! from a revision on. So each news carries the store's revision, and what is
//! older than what is known changes nothing.

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

/// The orders in force up to a revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EmptyingOrders {
    /// Data centres, each with the revision of its order.
    in_force: BTreeMap<String, u64>,
    /// Everything up to this revision is taken in.
    revision: u64,
    /// When the store was asked for the newest that is known; 0 for never.
    checked_ms: u64,
}

impl EmptyingOrders {
    /// Takes in a list: key and revision of each order, as of `revision`, asked
    /// for at `asked_ms`. A list that is older than what is known is passed over.
    pub fn list<'a>(
        &mut self,
        rows: impl Iterator<Item = (&'a str, u64)>,
        revision: u64,
        asked_ms: u64,
    ) {
        if revision < self.revision {
            return;
        }
        self.in_force.clear();
        for (key, revision) in rows {
            self.put(key, revision);
        }
        self.checked(revision, asked_ms);
    }

    /// Takes in all changes up to `revision`, asked for at `asked_ms`: key,
    /// revision, and whether there is an order now.
    pub fn changes<'a>(
        &mut self,
        rows: impl Iterator<Item = (&'a str, u64, bool)>,
        revision: u64,
        asked_ms: u64,
    ) {
        let known = self.revision;
        let mut rows: Vec<_> = rows.filter(|(_, at, _)| *at > known).collect();
        rows.sort_by_key(|(_, at, _)| *at);
        for (key, at, in_force) in rows {
            if in_force {
                self.put(key, at);
            } else if let Some(data_centre) = emptied_data_centre(key) {
                self.in_force.remove(data_centre);
            }
        }
        self.checked(revision, asked_ms);
    }

    /// The key alone names the data centre: what stands in the value is not
    /// needed, so a value that nobody can read is an order all the same.
    fn put(&mut self, key: &str, revision: u64) {
        if let Some(data_centre) = emptied_data_centre(key) {
            self.in_force.insert(data_centre.to_owned(), revision);
        }
    }

    fn checked(&mut self, revision: u64, asked_ms: u64) {
        self.revision = self.revision.max(revision);
        self.checked_ms = self.checked_ms.max(asked_ms);
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

    /// All orders that were acknowledged until then are known.
    pub fn checked_ms(&self) -> u64 {
        self.checked_ms
    }
}

/// Takes in the operators' values as they were listed.
pub fn take_list(node: &Node, range: &StoredRange, asked_ms: u64) {
    tell_of_nameless(node, range.items.iter());
    let rows = range.items.iter().filter(|item| is_order(&item.key));
    let rows = rows.map(|item| (item.key.as_str(), item.revision));
    take(node, |known| known.list(rows, range.revision, asked_ms));
}

/// Takes in what changed of the operators' values.
pub fn take_changes(node: &Node, changes: &[StoreEvent], revision: u64, asked_ms: u64) {
    let put = changes.iter().filter_map(|event| match event {
        StoreEvent::Put(item) => Some(item),
        StoreEvent::Removed { .. } => None,
    });
    tell_of_nameless(node, put);
    let rows = changes.iter().map(|event| match event {
        StoreEvent::Put(item) => (item.key.as_str(), item.revision, true),
        StoreEvent::Removed { key, revision } => (key.as_str(), *revision, false),
    });
    let rows = rows.filter(|(key, ..)| is_order(key));
    take(node, |known| known.changes(rows, revision, asked_ms));
}

/// An order whose key names no data centre empties nothing.
fn tell_of_nameless<'a>(node: &Node, items: impl Iterator<Item = &'a StoredItem>) {
    let nameless = |item: &&StoredItem| emptied_data_centre(&item.key).is_none();
    for item in items.filter(|item| is_order(&item.key)).filter(nameless) {
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

fn take(node: &Node, change: impl FnOnce(&mut EmptyingOrders)) {
    let before = node.emptying();
    node.change_emptying(change);
    let after = node.emptying();
    if before.in_force != after.in_force {
        tell_of_changes(&before, &after, node.now_ms());
        let count = after.in_force.len() as f64;
        metrics::gauge!("fuchsiaslip_emptied_data_centres").set(count);
    }
    if node.owns() {
        node.control.send_input(node.epoch(), input(node));
    }
}

/// What this daemon knows, as news for the scheduler.
pub fn input(node: &Node) -> Input {
    let known = node.emptying();
    Input::EmptyingOrdersRead {
        orders: known.in_force(),
        checked_ms: known.checked_ms(),
    }
}

fn tell_of_changes(before: &EmptyingOrders, after: &EmptyingOrders, now_ms: u64) {
    // The store showed no such order when it was asked last.
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
                events::EMPTYING_TAKEN_BACK,
                format_args!("{data_centre}, revision {revision}, taken back {within}"),
            );
        }
    }
}
