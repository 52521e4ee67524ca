//! Decides when a daemon takes over the ownership, from what it knows of the others:
//! a pure function without clock or network.
//!
//! Owners crash, pause, drain or lose the store, one at a time or together with many
//! other daemons, and urgent work has about 1.5 s of slack. A takeover is safe at any
//! moment, since each epoch has one owner and the workers refuse orders of an older
//! epoch. Waiting only keeps daemons from replacing each other needlessly. So the first
//! candidate waits just long enough to tell an unresponsive owner from a late
//! heartbeat, and each further candidate waits somewhat longer. A daemon that
//! receives heartbeats from few of the listed daemons is probably cut off itself and
//! waits longest.

use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Time without a heartbeat after which the owner counts as dead: two and a half heartbeat
/// intervals and the delay of a busy daemon. It is the same in a fleet of any size, since
/// carriers make the calls of an owner that has more workers than its VM can call.
const OWNER_TIMEOUT_MS: u64 = 700;
/// Added for each better candidate. A takeover takes about 50 ms.
const RANK_DELAY_MS: u64 = 300;
/// The same if the owner's process has ended. A candidate that comes second reads in the root
/// that another one was faster.
const EXITED_RANK_DELAY_MS: u64 = 100;
/// Number of better candidates that a daemon waits for. If all VMs of a kind are lost with
/// the owner, the others count them as alive for a while, and would wait for each of them.
const MAX_AWAITED_RANKS: u64 = 4;
/// Candidates with a higher rank are spread over this time by their names, so that a few of
/// hundreds try at once.
const UNRANKED_SPREAD_MS: u64 = 600;
/// Added for a daemon that receives heartbeats from less than half of the listed
/// daemons.
const ISOLATED_DELAY_MS: u64 = 1_500;
/// Wait after the start for the others' heartbeats if an earlier owner is known,
/// since the other daemons are then known as well.
const START_DELAY_MS: u64 = 150;
/// Wait after the start if there never was an owner. All daemons of a fleet start
/// within 0.3 s and learn of each other from the member list and from heartbeats. With a shorter wait, a weak VM that did not know the strong ones yet
/// became the owner and could not keep up with the first burst.
const FIRST_START_DELAY_MS: u64 = 1_200;
/// How long an owner that lost the store may take to reach it again, counted from
/// when this daemon reaches it. Without this wait, the first daemon to reach the
/// store after a common outage replaced an owner that reached it 20 ms later.
const STORE_LOSS_TIMEOUT_MS: u64 = 500;

/// How long a daemon that sends heartbeats counts as the owner without claiming the
/// ownership in them. A new owner first reads the stored state, in up to four
/// attempts of a second each. Without this limit, a takeover that was carried out
/// late left two daemons that each took the other for the owner forever.
const CLAIM_TIMEOUT_MS: u64 = 5_000;

/// The time of the last heartbeat that counts for an owner: the last one at
/// `last_heartbeat_ms`, or [`CLAIM_TIMEOUT_MS`] after it last claimed the ownership
/// at `claimed_ms`, whichever is earlier.
pub fn effective_heartbeat_ms(last_heartbeat_ms: u64, claimed_ms: u64) -> u64 {
    last_heartbeat_ms.min(claimed_ms + CLAIM_TIMEOUT_MS)
}

/// The owner, as far as this daemon knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownOwner {
    /// Its epoch.
    pub epoch: u64,
    /// Its name.
    pub name: String,
    /// Where other daemons reach it.
    pub address: SocketAddr,
    /// The incarnation of its process.
    pub boot: u64,
    /// When this daemon learned of its ownership.
    pub learned_ms: u64,
}

/// A daemon that may become the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// Millicores of its VM. The daemon with more is the better candidate.
    pub cpu_millis: u64,
    /// Whether it reaches the store, does not drain and has not failed.
    pub eligible: bool,
}

/// What a daemon knows of the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerStatus {
    /// Its name.
    pub name: String,
    /// When its last heartbeat that counts arrived, or when this daemon learned that it
    /// owns.
    pub last_heartbeat_ms: u64,
    /// When this daemon learned that it owns.
    pub learned_ms: u64,
    /// When it first reported that it had lost the store; `None` if it reaches the
    /// store.
    pub store_lost_since_ms: Option<u64>,
    /// Whether it is draining.
    pub draining: bool,
    /// When it first reported that a failure of its own keeps it from owning; `None` if none
    /// does.
    pub failed_since_ms: Option<u64>,
    /// Whether its process has ended, because its daemon has a newer incarnation.
    pub incarnation_over: bool,
}

/// What a daemon knows when it decides whether to take over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ElectionView {
    /// This daemon.
    pub own: Candidate,
    /// When this daemon started.
    pub started_ms: u64,
    /// When this daemon last reached the store again after an outage; 0 if there was
    /// none.
    pub store_recovered_ms: u64,
    /// The other daemons that sent a heartbeat recently.
    pub reachable: Vec<Candidate>,
    /// Number of other daemons that the store lists.
    pub listed: usize,
    /// The known owner, if there is one.
    pub owner: Option<OwnerStatus>,
}

/// When to take over, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Takeover {
    /// When the takeover is due if nothing changes.
    pub due_ms: u64,
    /// Why the owner is replaced; a label value of `fuchsiaslip_takeovers_total`.
    pub reason: &'static str,
}

/// Whether another daemon has taken over since this one decided to replace the owner of
/// `replaced_epoch`: an owner of a later epoch is known, from the root that was read since or
/// from a heartbeat that arrived meanwhile, and its process has not ended.
pub fn is_overtaken(replaced_epoch: u64, known_epoch: u64, known_owner_exited: bool) -> bool {
    known_epoch > replaced_epoch && !known_owner_exited
}

/// Returns when to take over if nothing changes; `None` if this daemon is not
/// eligible.
pub fn takeover(view: &ElectionView) -> Option<Takeover> {
    if !view.own.eligible {
        return None;
    }
    // The owner is no competitor: it was the best candidate, and counts as alive for
    // a while after its last heartbeat.
    let owner = view.owner.as_ref().map(|status| status.name.as_str());
    let better = |other: &&Candidate| {
        other.eligible
            && Some(other.name.as_str()) != owner
            && (other.cpu_millis, &view.own.name) > (view.own.cpu_millis, &other.name)
    };
    let rank = view.reachable.iter().filter(better).count() as u64;
    let (from_ms, reason) = match &view.owner {
        None => (view.started_ms + FIRST_START_DELAY_MS, "no_owner"),
        Some(status) if status.incarnation_over => {
            (view.started_ms + START_DELAY_MS, "owner_restarted")
        }
        Some(status) if status.draining => (status.last_heartbeat_ms, "owner_draining"),
        Some(OwnerStatus {
            failed_since_ms: Some(since_ms),
            ..
        }) => (*since_ms, "owner_failed"),
        Some(status) => {
            let unresponsive_due_ms = status.last_heartbeat_ms + OWNER_TIMEOUT_MS;
            let store_loss_due_ms = status
                .store_lost_since_ms
                .map(|since_ms| since_ms.max(view.store_recovered_ms) + STORE_LOSS_TIMEOUT_MS);
            match store_loss_due_ms.filter(|&due_ms| due_ms < unresponsive_due_ms) {
                Some(store_loss_due_ms) => (store_loss_due_ms, "owner_without_store"),
                None => (unresponsive_due_ms, "owner_silent"),
            }
        }
    };
    // Nobody replaces an owner needlessly whose process has ended.
    let has_exited = view
        .owner
        .as_ref()
        .is_some_and(|status| status.incarnation_over);
    let isolated = view.reachable.len() * 2 < view.listed && !has_exited;
    let isolated_ms = if isolated { ISOLATED_DELAY_MS } else { 0 };
    let delay_ms = match has_exited {
        true => EXITED_RANK_DELAY_MS,
        false => RANK_DELAY_MS,
    };
    Some(Takeover {
        due_ms: from_ms + rank_delay_ms(rank, delay_ms, &view.own.name) + isolated_ms,
        reason,
    })
}

/// Returns the names of the daemons that would take over first if the owner were lost, in their
/// order, at most `count`. `reachable` does not contain the owner.
pub fn successors(reachable: &[Candidate], count: usize) -> Vec<String> {
    let eligible = reachable.iter().filter(|candidate| candidate.eligible);
    let mut eligible: Vec<&Candidate> = eligible.collect();
    eligible.sort_by(|a, b| (b.cpu_millis, &a.name).cmp(&(a.cpu_millis, &b.name)));
    let first = eligible.into_iter().take(count);
    first.map(|candidate| candidate.name.clone()).collect()
}

/// How long a daemon leaves the takeover to `rank` better candidates, with `delay_ms` for each.
fn rank_delay_ms(rank: u64, delay_ms: u64, name: &str) -> u64 {
    let spread_ms = match rank > MAX_AWAITED_RANKS {
        true => xxh3_64(name.as_bytes()) % UNRANKED_SPREAD_MS,
        false => 0,
    };
    rank.min(MAX_AWAITED_RANKS) * delay_ms + spread_ms
}
