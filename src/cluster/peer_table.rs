//! The other daemons, as their heartbeats and the store's list show them.

use super::election::Candidate;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A peer that was heard this lately is there: four heartbeats of a small fleet.
const HEARD_MS: u64 = 1_200;
/// The same in heartbeats of the peer. In a fleet of a hundred they are as far
/// apart as the bound above, and daemons held each other for gone.
const HEARD_BEATS: u64 = 3;

/// Another daemon, as its heartbeats show it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it is called.
    pub address: SocketAddr,
    /// The life of its process.
    pub boot: u64,
    /// When it was last heard; 0 if only listed.
    pub heard_ms: u64,
    /// It reaches the store.
    pub has_store: bool,
    /// Since when it reports that it has lost the store.
    pub store_lost_since_ms: Option<u64>,
    /// It is ending.
    pub draining: bool,
    /// Milli-cores of its VM.
    pub cpu_millis: u64,
    /// Time between its heartbeats.
    pub interval_ms: u64,
    /// The store lists it.
    pub listed: bool,
}

impl Peer {
    /// Whether it was heard lately.
    fn is_heard(&self, now_ms: u64) -> bool {
        let window_ms = HEARD_MS.max(self.interval_ms * HEARD_BEATS);
        self.heard_ms > 0 && now_ms < self.heard_ms + window_ms
    }

    /// Whether it reaches the store and does not drain.
    fn is_eligible(&self) -> bool {
        self.has_store && !self.draining
    }
}

/// The other daemons by name, heard or listed.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Notes a heartbeat, or a listing with `heard_ms` 0.
    pub fn note(&mut self, name: &str, peer: Peer) {
        let merged = match self.peers.get(name).cloned() {
            Some(known) if peer.heard_ms == 0 => Peer {
                listed: true,
                address: if known.heard_ms > 0 {
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
                    false => known.store_lost_since_ms.or(Some(peer.heard_ms)),
                },
                ..peer
            },
            None => peer,
        };
        self.peers.insert(name.to_owned(), merged);
    }

    /// Keeps only the peers that are listed now, or that were heard lately.
    pub fn keep_listed(&mut self, listed: &[String], now_ms: u64) {
        self.peers.retain(|name, peer| {
            peer.listed = listed.contains(name);
            peer.listed || peer.is_heard(now_ms)
        });
    }

    /// All of them, by name.
    pub fn all(&self) -> Vec<(String, Peer)> {
        let all = self.peers.iter();
        all.map(|(name, peer)| (name.clone(), peer.clone()))
            .collect()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// How many of them the store lists.
    pub fn listed_count(&self) -> usize {
        self.peers.values().filter(|peer| peer.listed).count()
    }

    /// A peer, if this is its present incarnation.
    pub fn incarnation(&self, name: &str, boot: u64) -> Option<&Peer> {
        let peer = self.peers.get(name);
        peer.filter(|peer| peer.boot == boot)
    }

    /// Whether an incarnation of a peer is certainly over: a newer one was heard.
    pub fn is_incarnation_over(&self, name: &str, boot: u64) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.heard_ms > 0 && peer.boot != boot)
    }

    /// The address of a live and eligible peer: the owner's if it is one.
    pub fn eligible_peer(&self, owner: Option<SocketAddr>, now_ms: u64) -> Option<SocketAddr> {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now_ms));
        let eligible = heard.filter(|peer| peer.is_eligible());
        let addresses: Vec<SocketAddr> = eligible.map(|peer| peer.address).collect();
        let own = addresses.iter().find(|address| Some(**address) == owner);
        own.or(addresses.first()).copied()
    }

    /// Those that were heard lately, as candidates for the ownership.
    pub fn candidates(&self, now_ms: u64) -> Vec<Candidate> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard(now_ms));
        heard
            .map(|(name, peer)| Candidate {
                name: name.clone(),
                cpu_millis: peer.cpu_millis,
                eligible: peer.is_eligible(),
            })
            .collect()
    }
}
