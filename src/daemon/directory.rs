//! Which daemons live, who owns the data centre, and who keeps which worker.

use crate::backend::{
    VmKind,
    VmRecord, //
};
use crate::wire::Heartbeat;
use std::collections::HashMap;
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use xxhash_rust::xxh3::xxh3_64;

/// A peer that was not heard for so long is not counted on.
const ALIVE_MS: u64 = 3_500;
/// An owner that was not heard for so long may have lost its lease.
const OWNER_ALIVE_MS: u64 = 1_500;

#[derive(Clone, Debug)]
struct Heard {
    at_ms: u64,
    heartbeat: Heartbeat,
}

#[derive(Debug, Default)]
struct State {
    /// VMs of the own data centre.
    members: Vec<VmRecord>,
    /// Daemons of every data centre.
    daemons: Vec<VmRecord>,
    heard: HashMap<String, Heard>,
}

/// The daemon's view of the others.
#[derive(Debug)]
pub struct Directory {
    daemon: String,
    data_centre: String,
    state: Mutex<State>,
}

fn weight(a: &str, b: &str) -> u64 {
    xxh3_64(format!("{a}\0{b}").as_bytes())
}

/// The data centre that holds the job of an account's idempotency key: the one
/// of the account's data centres with the greatest hash.
pub fn home_data_centre<'a>(
    data_centres: &'a [String],
    account: &str,
    key: &str,
) -> Option<&'a String> {
    let name = format!("{account}\0{key}");
    data_centres.iter().max_by_key(|at| weight(at, &name))
}

impl Directory {
    /// An empty directory of `daemon` in `data_centre`.
    pub fn new(daemon: &str, data_centre: &str) -> Self {
        Self {
            daemon: daemon.to_owned(),
            data_centre: data_centre.to_owned(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in the platform's list of the own data centre.
    pub fn set_members(&self, members: Vec<VmRecord>) {
        self.state().members = members;
    }

    /// Takes in the platform's list of daemons everywhere.
    pub fn set_daemons(&self, daemons: Vec<VmRecord>) {
        self.state().daemons = daemons;
    }

    /// Takes in a peer's sign of life.
    pub fn heard(&self, heartbeat: Heartbeat, now_ms: u64) {
        let name = heartbeat.daemon.clone();
        let heard = Heard {
            at_ms: now_ms,
            heartbeat,
        };
        self.state().heard.insert(name, heard);
    }

    /// Peers of the same data centre that the list names.
    pub fn peers(&self) -> Vec<VmRecord> {
        let state = self.state();
        let members = state.members.iter();
        members
            .filter(|vm| vm.kind == VmKind::Daemon && vm.data_centre == self.data_centre)
            .filter(|vm| vm.name != self.daemon)
            .cloned()
            .collect()
    }

    /// The owner's latest sign of life, with its address.
    pub fn owner(&self, now_ms: u64) -> Option<(String, Heartbeat, u64)> {
        let state = self.state();
        let heard = state
            .heard
            .values()
            .filter(|heard| heard.heartbeat.owner_epoch > 0)
            .filter(|heard| heard.at_ms + OWNER_ALIVE_MS > now_ms)
            .max_by_key(|heard| heard.heartbeat.owner_epoch)?;
        let name = &heard.heartbeat.daemon;
        let vm = state.members.iter().find(|vm| vm.name == *name)?;
        Some((vm.address.clone(), heard.heartbeat.clone(), heard.at_ms))
    }

    /// Some daemon of another data centre; `turn` varies which.
    pub fn daemon_in(&self, data_centre: &str, turn: usize) -> Option<String> {
        let state = self.state();
        let daemons = state.daemons.iter();
        let there: Vec<&VmRecord> = daemons
            .filter(|vm| vm.kind == VmKind::Daemon && vm.data_centre == data_centre)
            .filter(|vm| !vm.leaving)
            .collect();
        let chosen = there.get(turn % there.len().max(1))?;
        Some(chosen.address.clone())
    }

    /// Daemons of the data centre that share its workers, this one included
    /// unless it drains.
    fn monitors(&self, now_ms: u64, draining: bool) -> Vec<String> {
        let state = self.state();
        let alive = state.heard.values();
        let mut monitors: Vec<String> = alive
            .filter(|heard| heard.at_ms + ALIVE_MS > now_ms && !heard.heartbeat.draining)
            .map(|heard| heard.heartbeat.daemon.clone())
            .collect();
        if !draining || monitors.is_empty() {
            monitors.push(self.daemon.clone());
        }
        monitors
    }

    /// Workers that this daemon keeps: those for which its hash is greatest,
    /// so that a daemon that comes or goes moves only its own share.
    pub fn kept_workers(&self, now_ms: u64, draining: bool) -> Vec<VmRecord> {
        let monitors = self.monitors(now_ms, draining);
        let is_kept = |vm: &&VmRecord| {
            let best = monitors.iter().max_by_key(|name| weight(name, &vm.name));
            best.is_some_and(|best| *best == self.daemon)
        };
        let state = self.state();
        let workers = state.members.iter();
        workers
            .filter(|vm| vm.kind == VmKind::Worker && vm.data_centre == self.data_centre)
            .filter(is_kept)
            .cloned()
            .collect()
    }

    /// This daemon's place among those that could become owner next; the ones
    /// behind wait longer, so that the store is not stormed.
    pub fn rank(&self, now_ms: u64) -> u64 {
        let own = weight(&self.daemon, &self.data_centre);
        let others = self.monitors(now_ms, true);
        let ahead = others
            .iter()
            .filter(|name| **name != self.daemon && weight(name, &self.data_centre) > own);
        ahead.count() as u64
    }
}
