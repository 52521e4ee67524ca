//! Tracks which daemons are alive, which of them owns the data centre and which one
//! monitors each worker.

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

/// A peer whose last heartbeat is older than this is treated as down.
const PEER_TIMEOUT_MS: u64 = 3_500;
/// An owner whose last heartbeat is older than this may have lost its lease.
const OWNER_TIMEOUT_MS: u64 = 1_500;

#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    received_ms: u64,
    heartbeat: Heartbeat,
}

#[derive(Debug, Default)]
struct State {
    /// VMs of this daemon's data centre.
    members: Vec<VmRecord>,
    /// Daemons of all data centres.
    daemons: Vec<VmRecord>,
    /// The latest heartbeat of each peer, by the peer's name.
    heartbeats: HashMap<String, ReceivedHeartbeat>,
}

/// What this daemon knows of other daemons and of the VMs of its data centre.
#[derive(Debug)]
pub struct Directory {
    daemon: String,
    data_centre: String,
    state: Mutex<State>,
}

/// Returns the weight of a pair of names for rendezvous hashing.
fn weight(a: &str, b: &str) -> u64 {
    xxh3_64(format!("{a}\0{b}").as_bytes())
}

/// Returns the data centre that stores the job of an account's idempotency key.
/// Rendezvous hashing selects one of the account's data centres.
pub fn home_data_centre<'a>(
    data_centres: &'a [String],
    account: &str,
    key: &str,
) -> Option<&'a String> {
    let name = format!("{account}\0{key}");
    data_centres
        .iter()
        .max_by_key(|data_centre| weight(data_centre, &name))
}

impl Directory {
    /// Creates the empty directory of `daemon` in `data_centre`.
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

    /// Replaces the VMs of this daemon's data centre by the platform's list.
    pub fn set_members(&self, members: Vec<VmRecord>) {
        self.state().members = members;
    }

    /// Replaces the daemons of all data centres by the platform's list.
    pub fn set_daemons(&self, daemons: Vec<VmRecord>) {
        self.state().daemons = daemons;
    }

    /// Records a peer's heartbeat.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat, now_ms: u64) {
        let name = heartbeat.daemon.clone();
        let received = ReceivedHeartbeat {
            received_ms: now_ms,
            heartbeat,
        };
        self.state().heartbeats.insert(name, received);
    }

    /// Returns the other daemons of this data centre that the platform lists.
    pub fn peers(&self) -> Vec<VmRecord> {
        let state = self.state();
        let members = state.members.iter();
        members
            .filter(|vm| vm.kind == VmKind::Daemon && vm.data_centre == self.data_centre)
            .filter(|vm| vm.name != self.daemon)
            .cloned()
            .collect()
    }

    /// Returns the owner's peer address, its latest heartbeat and when that was
    /// received, in ms; `None` if no owner has sent a heartbeat recently.
    pub fn owner(&self, now_ms: u64) -> Option<(String, Heartbeat, u64)> {
        let state = self.state();
        let received = state
            .heartbeats
            .values()
            .filter(|received| received.heartbeat.owner_epoch > 0)
            .filter(|received| received.received_ms + OWNER_TIMEOUT_MS > now_ms)
            .max_by_key(|received| received.heartbeat.owner_epoch)?;
        let name = &received.heartbeat.daemon;
        let vm = state.members.iter().find(|vm| vm.name == *name)?;
        Some((
            vm.address.clone(),
            received.heartbeat.clone(),
            received.received_ms,
        ))
    }

    /// Returns the peer address of one daemon of another data centre. Successive
    /// values of `turn` select the daemons in rotation.
    pub fn daemon_in(&self, data_centre: &str, turn: usize) -> Option<String> {
        let state = self.state();
        let daemons = state.daemons.iter();
        let candidates: Vec<&VmRecord> = daemons
            .filter(|vm| vm.kind == VmKind::Daemon && vm.data_centre == data_centre)
            .filter(|vm| !vm.leaving)
            .collect();
        let chosen = candidates.get(turn % candidates.len().max(1))?;
        Some(chosen.address.clone())
    }

    /// Returns the daemons that share the workers of the data centre. This daemon is
    /// one of them unless it drains while another one is left.
    fn monitors(&self, now_ms: u64, draining: bool) -> Vec<String> {
        let state = self.state();
        let heartbeats = state.heartbeats.values();
        let mut monitors: Vec<String> = heartbeats
            .filter(|received| {
                received.received_ms + PEER_TIMEOUT_MS > now_ms && !received.heartbeat.draining
            })
            .map(|received| received.heartbeat.daemon.clone())
            .collect();
        if !draining || monitors.is_empty() {
            monitors.push(self.daemon.clone());
        }
        monitors
    }

    /// Returns the workers that this daemon monitors: those for which its weight is the
    /// greatest, so that a daemon that joins or leaves moves only its own share.
    pub fn monitored_workers(&self, now_ms: u64, draining: bool) -> Vec<VmRecord> {
        let monitors = self.monitors(now_ms, draining);
        let is_monitored = |vm: &&VmRecord| {
            let best = monitors.iter().max_by_key(|name| weight(name, &vm.name));
            best.is_some_and(|best| *best == self.daemon)
        };
        let state = self.state();
        let workers = state.members.iter();
        workers
            .filter(|vm| vm.kind == VmKind::Worker && vm.data_centre == self.data_centre)
            .filter(is_monitored)
            .cloned()
            .collect()
    }

    /// Returns the number of daemons that try to become owner before this one. Each
    /// waits longer than the one before it, so that they do not overload the store by
    /// trying at once.
    pub fn rank(&self, now_ms: u64) -> u64 {
        let own = weight(&self.daemon, &self.data_centre);
        let others = self.monitors(now_ms, true);
        let ahead = others
            .iter()
            .filter(|name| **name != self.daemon && weight(name, &self.data_centre) > own);
        ahead.count() as u64
    }
}
