//! Decides which daemons carry the owner's calls to workers.
//!
//! Load pattern: each worker is polled all the time, and a poll takes a connection, bytes on
//! the link and processor time. One VM of a large fleet can do that for some hundred workers
//! and not for thousands. So an owner with more workers than its VM can call has other daemons
//! make the calls, each for a share of the workers of its data centre. The owner decides
//! everything and its epoch is in each call; a carrier that fails is as a link that fails.
//!
//! The shares follow from the members alone, so that a new owner uses the same carriers, which
//! are connected to their workers already, and a change of the members moves few workers.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// What a worker costs its caller: bytes of a poll a second with its answer.
const LINK_BYTES_PER_S: u64 = 1_000;
/// Connections to a worker: one for the open poll and one for orders.
const DESCRIPTORS: u64 = 2;
/// Processor time of a poll a second, in microseconds for each second.
const CPU_US_PER_S: u64 = 100;
/// Divisor of what a VM has: the most that calls of its own to workers take of an owner's VM.
const OWNER_SHARE: u64 = 4;
/// The same for a carrier, which also serves clients.
const CARRIER_SHARE: u64 = 16;
/// Fewest and most workers that one carrier is given.
const MIN_CARRIED: u64 = 8;
const MAX_CARRIED: u64 = 128;
/// Fewest carriers of a data centre, so that a worker has another one if its own fails.
const MIN_CARRIERS: usize = 2;
/// How long a carrier that failed is left out; it doubles with each further failure.
const EXCLUSION_MS: u64 = 2_000;
/// Longest time for which a carrier is left out.
const MAX_EXCLUSION_MS: u64 = 16_000;

/// What a VM has for calls to workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VmResources {
    /// Capacity of its link, in bytes a second.
    pub link_bytes_per_s: u64,
    /// File descriptors of a process.
    pub descriptors: u64,
    /// Thousandths of a core.
    pub cpu_millis: u64,
}

impl VmResources {
    /// Returns how many workers an owner on this VM calls itself.
    pub fn callable_workers(&self) -> u64 {
        self.workers_with_share(OWNER_SHARE)
    }

    /// Returns how many workers a daemon on this VM carries for the owner.
    pub fn carried_workers(&self) -> u64 {
        self.workers_with_share(CARRIER_SHARE)
            .clamp(MIN_CARRIED, MAX_CARRIED)
    }

    fn workers_with_share(&self, divisor: u64) -> u64 {
        let by_link = self.link_bytes_per_s / LINK_BYTES_PER_S;
        let by_descriptors = self.descriptors / DESCRIPTORS;
        let by_cpu = self.cpu_millis * 1_000 / CPU_US_PER_S;
        by_link.min(by_descriptors).min(by_cpu) / divisor
    }
}

/// A daemon that may carry calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where the owner reaches it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// How many workers it carries.
    pub carried_workers: u64,
}

/// A carrier of one data centre.
#[derive(Clone, Debug)]
struct Carrier {
    name: String,
    address: SocketAddr,
    hash: u64,
    capacity: u64,
}

#[derive(Clone, Copy, Debug)]
struct Exclusion {
    until_ms: u64,
    length_ms: u64,
}

/// Which daemons carry the calls to which workers.
#[derive(Debug, Default)]
pub struct CarrierPlan {
    /// The carriers of each data centre; empty if the owner calls all workers itself.
    carriers: BTreeMap<String, Vec<Carrier>>,
    /// Carriers that failed, by address.
    excluded: HashMap<SocketAddr, Exclusion>,
}

impl CarrierPlan {
    /// Computes the carriers from the daemons that are alive and the number of workers in each
    /// data centre. `callable_workers` is how many workers the owner calls itself.
    pub fn update(
        &mut self,
        members: &[Member],
        workers: &BTreeMap<String, usize>,
        callable_workers: u64,
        now_ms: u64,
    ) {
        self.carriers.clear();
        let worker_count: usize = workers.values().sum();
        if worker_count as u64 <= callable_workers {
            return;
        }
        let usable = |member: &&Member| {
            let excluded = self.excluded.get(&member.address);
            excluded.is_none_or(|excluded| now_ms >= excluded.until_ms)
        };
        for (data_centre, &count) in workers {
            let here = members
                .iter()
                .filter(|member| member.data_centre == *data_centre);
            let mut candidates: Vec<&Member> = here.filter(usable).collect();
            if candidates.is_empty() {
                candidates = members.iter().filter(usable).collect();
            }
            let carriers = choose(&candidates, count as u64);
            self.carriers.insert(data_centre.clone(), carriers);
        }
    }

    /// Returns the carrier of a worker; `None` if the owner calls it itself. With `detour`, it
    /// is the one that would follow if the first failed.
    pub fn carrier_of(
        &self,
        data_centre: &str,
        worker_name: &str,
        detour: bool,
    ) -> Option<SocketAddr> {
        let carriers = self.carriers.get(data_centre)?;
        let hash = xxh3_64(worker_name.as_bytes());
        let mut best: [Option<(f64, SocketAddr)>; 2] = [None, None];
        for carrier in carriers {
            let candidate = (score(hash, carrier), carrier.address);
            let is_above = |other: Option<(f64, SocketAddr)>| {
                other.is_none_or(|(score, _)| candidate.0 > score)
            };
            if is_above(best[0]) {
                best = [Some(candidate), best[0]];
            } else if is_above(best[1]) {
                best[1] = Some(candidate);
            }
        }
        let chosen = if detour { best[1].or(best[0]) } else { best[0] };
        chosen.map(|(_, address)| address)
    }

    /// Records that a carrier did not respond. Returns for how long it is left out.
    pub fn record_failure(&mut self, address: SocketAddr, now_ms: u64) -> u64 {
        let before = self.excluded.get(&address);
        let length_ms = match before {
            // The calls that were in flight fail together.
            Some(excluded) if now_ms < excluded.until_ms => return excluded.until_ms - now_ms,
            Some(excluded) => (excluded.length_ms * 2).min(MAX_EXCLUSION_MS),
            None => EXCLUSION_MS,
        };
        let until_ms = now_ms + length_ms;
        let excluded = Exclusion {
            until_ms,
            length_ms,
        };
        self.excluded.insert(address, excluded);
        for carriers in self.carriers.values_mut() {
            // The last one stays: the owner cannot call so many workers itself.
            if carriers.len() > 1 {
                carriers.retain(|carrier| carrier.address != address);
            }
        }
        length_ms
    }

    /// Records that a carrier responded.
    pub fn record_response(&mut self, address: SocketAddr) {
        self.excluded.remove(&address);
    }

    /// The number of carriers.
    pub fn count(&self) -> usize {
        self.carriers.values().map(Vec::len).sum()
    }

    /// The names of the carriers.
    pub fn names(&self) -> BTreeSet<String> {
        let carriers = self.carriers.values().flatten();
        carriers.map(|carrier| carrier.name.clone()).collect()
    }
}

/// Chooses the carriers of one data centre: those that carry the most, as many as its workers
/// need. Those that carry the same are in an order that does not depend on the other members.
fn choose(candidates: &[&Member], workers: u64) -> Vec<Carrier> {
    let mut carriers: Vec<Carrier> = candidates
        .iter()
        .map(|member| Carrier {
            name: member.name.clone(),
            address: member.address,
            hash: xxh3_64(member.name.as_bytes()),
            capacity: member.carried_workers.max(1),
        })
        .collect();
    carriers.sort_by_key(|carrier| (std::cmp::Reverse(carrier.capacity), carrier.hash));
    let mut left = workers;
    let needed = carriers.iter().take_while(|carrier| {
        let is_needed = left > 0;
        left = left.saturating_sub(carrier.capacity);
        is_needed
    });
    let count = needed.count().max(MIN_CARRIERS);
    carriers.truncate(count);
    carriers
}

/// Weight of a carrier for a worker, by weighted rendezvous hashing: a carrier is the highest for
/// a share of the workers that is proportional to its capacity.
fn score(worker_hash: u64, carrier: &Carrier) -> f64 {
    const UNIT: f64 = 1.0 / (1u64 << 53) as f64;
    let mixed = xxh3_64(&(worker_hash ^ carrier.hash.rotate_left(17)).to_le_bytes());
    let uniform = ((mixed >> 11) as f64 + 0.5) * UNIT;
    carrier.capacity as f64 / -uniform.ln()
}
