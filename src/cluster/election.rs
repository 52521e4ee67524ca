//! When a daemon takes over the ownership: pure, from what it has heard.
//!
//! Load pattern: owners die, freeze, drain, or lose the store, alone or many
//! daemons at once, and urgent work has about 1.5 s of slack. Taking over is
//! safe at any moment, since the epoch in the store admits one owner and the
//! workers refuse the orders of an older one; waiting only keeps daemons from
//! taking turns. So the first candidate waits as little as tells a silent owner
//! from a late heartbeat, each further one some more, and a daemon that hears
//! almost nobody, and is likely cut off itself, waits longest.

/// An owner that is silent this long is taken for dead: two and a half of the
/// heartbeats of a small fleet, and the delay of a busy daemon.
const SILENT_MS: u64 = 700;
/// Up to this many daemons an owner calls few enough workers for the bound above.
const SMALL_FLEET: usize = 32;
/// Added for each daemon beyond that: an owner of a fleet of hundreds
/// tells all of them, with thousands of workers to call, and its heartbeats come
/// late. Owners of 300 daemons were followed after a second each, again and again.
const SILENT_PER_DAEMON_MS: u64 = 3;
/// An owner is young for this long: it calls every worker as soon as it takes
/// over, and is given twice as much for the size of the fleet.
const YOUNG_MS: u64 = 5_000;
/// Each further candidate waits this much more: a takeover takes some 50 ms.
const RANK_STEP_MS: u64 = 300;
/// Added for a daemon that hears less than half of the others.
const ISOLATED_MS: u64 = 1_500;
/// Wait after the start for the others' heartbeats, where an earlier owner is
/// known: then so are the other daemons.
const START_MS: u64 = 250;
/// Wait where there never was an owner. All daemons of a fleet start within
/// 0.3 s and learn of each other from lists read some times a second; a weak
/// VM that did not know the strong ones yet became the owner, and could not keep
/// up with the first burst.
const FIRST_START_MS: u64 = 1_200;
/// An owner that lost the store is given this long to find it again, from when
/// this daemon has it: after an outage for all, the first daemon that found the
/// store took over an owner that had it again 20 ms later.
const STORELESS_MS: u64 = 500;

/// A daemon that is heard, but does not say that it owns, is taken for the owner
/// for this long: one that takes over reads what is stored first, up to four times
/// with a second for each. An attempt that was carried out late made two daemons
/// take each other for the owner for ever.
const UNCLAIMED_MS: u64 = 5_000;

/// When an owner counts as heard that was last heard at `heard_ms`, and that last
/// said at `said_ms` that it owns, or of which it was last learnt then.
pub fn owner_heard_ms(heard_ms: u64, said_ms: u64) -> u64 {
    heard_ms.min(said_ms + UNCLAIMED_MS)
}

/// A daemon that may own, as the others see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// Milli-cores of its VM; the larger one is the better candidate.
    pub cpu_millis: u64,
    /// It reaches the store and does not drain.
    pub eligible: bool,
}

/// What a daemon knows of the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerStatus {
    /// Its name.
    pub name: String,
    /// When it was heard, or when this daemon began to listen for it.
    pub heard_ms: u64,
    /// When this daemon learned that it owns.
    pub since_ms: u64,
    /// Since when it says that it has lost the store.
    pub store_lost_since_ms: Option<u64>,
    /// It is draining.
    pub draining: bool,
    /// Its process has ended: its daemon has another life now.
    pub over: bool,
}

/// What a daemon knows when it asks itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ElectionView {
    /// This daemon.
    pub own: Candidate,
    /// When it started.
    pub started_ms: u64,
    /// When it found the store again after it had lost it; 0 for never lost.
    pub store_recovered_ms: u64,
    /// The others that it hears now.
    pub heard: Vec<Candidate>,
    /// Others that the store lists.
    pub listed: usize,
    /// The owner that is known, if there is one.
    pub owner: Option<OwnerStatus>,
}

/// When to take over, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Takeover {
    /// From then on, if nothing changes.
    pub due_ms: u64,
    /// For the log: what the owner is missing.
    pub reason: &'static str,
}

/// How long an owner may be silent.
fn silence_ms(sign: &OwnerStatus, listed: usize) -> u64 {
    let young = sign.heard_ms < sign.since_ms + YOUNG_MS;
    let size_ms = listed.saturating_sub(SMALL_FLEET) as u64 * SILENT_PER_DAEMON_MS;
    SILENT_MS + if young { 2 * size_ms } else { size_ms }
}

/// When to take over, if nothing changes; `None` for not at all.
pub fn takeover(view: &ElectionView) -> Option<Takeover> {
    if !view.own.eligible {
        return None;
    }
    // The owner itself is no rival: it was the first candidate, and is heard
    // for a while after it fell silent.
    let owner = view.owner.as_ref().map(|sign| sign.name.as_str());
    let better = |other: &&Candidate| {
        other.eligible
            && Some(other.name.as_str()) != owner
            && (other.cpu_millis, &view.own.name) > (view.own.cpu_millis, &other.name)
    };
    let rank = view.heard.iter().filter(better).count() as u64;
    let (from_ms, reason) = match &view.owner {
        None => (view.started_ms + FIRST_START_MS, "no_owner"),
        Some(sign) if sign.over => (view.started_ms + START_MS, "owner_restarted"),
        Some(sign) if sign.draining => (sign.heard_ms, "owner_draining"),
        Some(sign) => {
            let silent_ms = sign.heard_ms + silence_ms(sign, view.listed);
            let storeless_ms = sign
                .store_lost_since_ms
                .map(|since_ms| since_ms.max(view.store_recovered_ms) + STORELESS_MS);
            match storeless_ms.filter(|&storeless_ms| storeless_ms < silent_ms) {
                Some(storeless_ms) => (storeless_ms, "owner_without_store"),
                None => (silent_ms, "owner_silent"),
            }
        }
    };
    let isolated = view.heard.len() * 2 < view.listed;
    let isolated_ms = if isolated { ISOLATED_MS } else { 0 };
    Some(Takeover {
        due_ms: from_ms + rank * RANK_STEP_MS + isolated_ms,
        reason,
    })
}
