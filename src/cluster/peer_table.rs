//! The other daemons, as known from their heartbeats and the store's member list.

use super::carrier_plan::Member;
use super::election::Candidate;
use super::store_health::StoreContact;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Shortest time without a heartbeat after which a peer counts as gone: more than
/// four heartbeats of a small fleet.
const PEER_TIMEOUT_MS: u64 = 1_200;
/// The same in heartbeats of the peer. In a fleet of a hundred, heartbeats are as far
/// apart as [`PEER_TIMEOUT_MS`]; with that timeout alone, daemons took each other for
/// gone.
const PEER_TIMEOUT_HEARTBEATS: u64 = 3;

/// Time after the loss of the store in which a peer that reported no loss counts as reaching
/// it: until then, its heartbeats may not show that it has lost the store too.
const PEER_LOSS_NOTICE_MS: u64 = 1_000;

/// When a daemon lost the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLoss {
    /// When it was lost.
    pub since_ms: u64,
    /// Whether the store answered and refused, so that it may refuse this daemon alone.
    pub refused: bool,
}

/// Another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it is reached.
    pub address: SocketAddr,
    /// The incarnation of its process; 0 if only listed.
    pub boot: u64,
    /// When its last heartbeat arrived; 0 if it is only listed.
    pub last_heartbeat_ms: u64,
    /// Whether it reaches the store.
    pub has_store: bool,
    /// What it knows of its access to the store, in the time of this daemon.
    pub store: StoreContact,
    /// When it first reported that it had lost the store; `None` if it reaches the
    /// store.
    pub store_lost_since_ms: Option<u64>,
    /// Whether it is draining.
    pub draining: bool,
    /// When it first reported that a failure of its own keeps it from owning; `None` if none
    /// does.
    pub failed_since_ms: Option<u64>,
    /// Millicores of its VM.
    pub cpu_millis: u64,
    /// Time between its heartbeats.
    pub interval_ms: u64,
    /// Its data centre; empty if it is only listed.
    pub data_centre: String,
    /// How many workers it carries for an owner; 0 if that is not known.
    pub carried_workers: u64,
    /// Whether the store lists it.
    pub listed: bool,
}

impl Peer {
    /// Whether it sent a heartbeat recently.
    fn is_alive(&self, now_ms: u64) -> bool {
        let timeout_ms = PEER_TIMEOUT_MS.max(self.interval_ms * PEER_TIMEOUT_HEARTBEATS);
        self.last_heartbeat_ms > 0 && now_ms < self.last_heartbeat_ms + timeout_ms
    }

    /// Whether it reaches the store, does not drain and has not failed.
    fn is_eligible(&self) -> bool {
        self.has_store && !self.draining && self.failed_since_ms.is_none()
    }

    /// Whether the store probably answers it although this daemon has lost it: the store
    /// has answered it since, or it may not know yet whether it has lost it too.
    fn reaches_store_after(&self, loss: StoreLoss, now_ms: u64) -> bool {
        let answered = self.store.answered_ms;
        let answered_since = answered.is_some_and(|at_ms| at_ms > loss.since_ms);
        let may_be_unaware = loss.refused && now_ms < loss.since_ms + PEER_LOSS_NOTICE_MS;
        self.is_eligible()
            && self.store.failing_since_ms.is_none()
            && (answered_since || may_be_unaware)
    }
}

/// The other daemons by name, known from heartbeats or the member list.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Records a heartbeat, or an entry of the member list, which has
    /// `last_heartbeat_ms` 0.
    pub fn record(&mut self, name: &str, peer: Peer) {
        let merged = match self.peers.get(name).cloned() {
            Some(known) if peer.last_heartbeat_ms == 0 => Peer {
                listed: true,
                address: if known.last_heartbeat_ms > 0 {
                    known.address
                } else {
                    peer.address
                },
                ..known
            },
            Some(known) => Peer {
                listed: known.listed,
                store_lost_since_ms: match peer.has_store {
                    true => None,
                    false => known.store_lost_since_ms.or(Some(peer.last_heartbeat_ms)),
                },
                failed_since_ms: peer
                    .failed_since_ms
                    .map(|since_ms| known.failed_since_ms.unwrap_or(since_ms)),
                ..peer
            },
            None => peer,
        };
        self.peers.insert(name.to_owned(), merged);
    }

    /// Keeps only the peers that are in `listed`, or that sent a heartbeat recently.
    pub fn keep_listed(&mut self, listed: &[String], now_ms: u64) {
        self.peers.retain(|name, peer| {
            peer.listed = listed.contains(name);
            peer.listed || peer.is_alive(now_ms)
        });
    }

    /// All peers, by name.
    pub fn all(&self) -> Vec<(String, Peer)> {
        let all = self.peers.iter();
        all.map(|(name, peer)| (name.clone(), peer.clone()))
            .collect()
    }

    /// Whether there is a peer of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// The number of peers.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// The number of peers that the store lists.
    pub fn listed_count(&self) -> usize {
        self.peers.values().filter(|peer| peer.listed).count()
    }

    /// The peer of this name, if `boot` is its latest known incarnation.
    pub fn incarnation(&self, name: &str, boot: u64) -> Option<&Peer> {
        let peer = self.peers.get(name);
        peer.filter(|peer| peer.boot == boot)
    }

    /// Whether this incarnation of a peer sent a heartbeat recently.
    pub fn is_alive(&self, name: &str, boot: u64, now_ms: u64) -> bool {
        self.incarnation(name, boot)
            .is_some_and(|peer| peer.is_alive(now_ms))
    }

    /// Whether an incarnation of a peer has certainly ended, because a heartbeat of
    /// another one arrived.
    pub fn is_incarnation_over(&self, name: &str, boot: u64) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.last_heartbeat_ms > 0 && peer.boot != boot)
    }

    /// The address of a live peer that probably reaches the store although this daemon has
    /// lost it: the owner's if it is one, else one that depends on `seed`, so that requests
    /// are spread.
    pub fn peer_with_store(
        &self,
        loss: StoreLoss,
        owner: Option<SocketAddr>,
        seed: u64,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let alive = self.peers.values().filter(|peer| peer.is_alive(now_ms));
        let reaching = alive.filter(|peer| peer.reaches_store_after(loss, now_ms));
        let addresses: Vec<SocketAddr> = reaching.map(|peer| peer.address).collect();
        if let Some(owner) = owner.filter(|owner| addresses.contains(owner)) {
            return Some(owner);
        }
        let count = addresses.len() as u64;
        let at = seed.checked_rem(count)?;
        addresses.get(at as usize).copied()
    }

    /// The latest time at which a live peer lost the store, if any has lost it.
    pub fn store_lost_ms(&self, now_ms: u64) -> Option<u64> {
        let alive = self.peers.values().filter(|peer| peer.is_alive(now_ms));
        alive.filter_map(|peer| peer.store.failing_since_ms).max()
    }

    /// Whether heartbeats arrive from fewer than half of the listed peers, so that this
    /// daemon is probably cut off.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        let peers = || self.peers.values();
        let alive = peers().filter(|peer| peer.is_alive(now_ms)).count();
        alive * 2 < peers().filter(|peer| peer.listed).count()
    }

    /// The peers that may carry an owner's calls to workers.
    pub fn carriers(&self, now_ms: u64) -> Vec<Member> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive(now_ms));
        let usable = alive.filter(|(_, peer)| !peer.draining && peer.carried_workers > 0);
        usable
            .map(|(name, peer)| Member {
                name: name.clone(),
                address: peer.address,
                data_centre: peer.data_centre.clone(),
                carried_workers: peer.carried_workers,
            })
            .collect()
    }

    /// The peers that sent a heartbeat recently, as candidates for the ownership.
    pub fn candidates(&self, now_ms: u64) -> Vec<Candidate> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive(now_ms));
        alive
            .map(|(name, peer)| Candidate {
                name: name.clone(),
                cpu_millis: peer.cpu_millis,
                eligible: peer.is_eligible(),
            })
            .collect()
    }
}
