//! To which peer a daemon sends a job when it has lost the store.

use fuchsiaslip::cluster::{
    Peer,
    PeerTable,
    StoreContact,
    StoreLoss, //
};
use std::net::SocketAddr;

const NOW_MS: u64 = 100_000;
/// When the daemon under test lost the store.
const LOST_MS: u64 = NOW_MS - 2_000;
const SILENT: StoreLoss = StoreLoss {
    since_ms: LOST_MS,
    refused: false,
};

fn address(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at], 7_000))
}

/// A live peer that the store last answered at `answered_ms`.
fn peer(at: u8, answered_ms: Option<u64>, failing_since_ms: Option<u64>) -> Peer {
    Peer {
        address: address(at),
        boot: 1,
        last_heartbeat_ms: NOW_MS - 100,
        has_store: answered_ms.is_some(),
        store: StoreContact {
            answered_ms,
            failing_since_ms,
        },
        store_lost_since_ms: None,
        draining: false,
        failed_since_ms: None,
        cpu_millis: 250,
        interval_ms: 250,
        data_centre: "z".to_owned(),
        carried_workers: 64,
        listed: true,
    }
}

fn table(peers: Vec<Peer>) -> PeerTable {
    let mut table = PeerTable::default();
    for (at, peer) in peers.into_iter().enumerate() {
        table.record(&format!("d{at}"), peer);
    }
    table
}

/// Guards against unknown outcomes: a peer that had just started, and that no answer of the
/// store had reached, got the jobs of the whole fleet during an outage for all.
#[test]
fn a_peer_that_the_store_never_answered_gets_no_job() {
    let started = table(vec![peer(1, None, None)]);

    assert_eq!(started.peer_with_store(SILENT, None, 7, NOW_MS), None);
}

/// Guards against unknown outcomes: peers that make few calls do not know yet that the store
/// answers nobody.
#[test]
fn a_peer_without_an_answer_since_this_daemon_lost_the_store_gets_no_job() {
    let idle = table(vec![peer(1, Some(LOST_MS - 1), None)]);
    let failing = table(vec![peer(1, Some(LOST_MS + 500), Some(LOST_MS + 1_000))]);

    assert_eq!(idle.peer_with_store(SILENT, None, 7, NOW_MS), None);
    assert_eq!(failing.peer_with_store(SILENT, None, 7, NOW_MS), None);
}

/// A store that refuses some daemons still answers the others.
#[test]
fn a_peer_that_the_store_answers_gets_the_job_and_the_owner_first() {
    let peers = vec![
        peer(1, Some(LOST_MS - 1), None),
        peer(2, Some(NOW_MS - 200), None),
        peer(3, Some(NOW_MS - 300), None),
    ];
    let table = table(peers);

    let owner = Some(address(3));
    assert_eq!(
        table.peer_with_store(SILENT, owner, 7, NOW_MS),
        Some(address(3))
    );
    let lost_owner = Some(address(1));
    let others = (0..8).map(|seed| table.peer_with_store(SILENT, lost_owner, seed, NOW_MS));
    let others: Vec<SocketAddr> = others.flatten().collect();
    assert_eq!(others.len(), 8);
    assert!(others.contains(&address(2)) && others.contains(&address(3)));
}

/// Just after a refusal no peer can have reported an answer since, and the store may refuse
/// this daemon alone.
#[test]
fn just_after_a_refusal_a_peer_that_reports_no_loss_gets_the_job() {
    let table = table(vec![peer(1, Some(LOST_MS - 300), None)]);
    let refused = |since_ms| StoreLoss {
        since_ms,
        refused: true,
    };

    let soon = table.peer_with_store(refused(NOW_MS - 10), None, 7, NOW_MS);
    let later = table.peer_with_store(refused(LOST_MS), None, 7, NOW_MS);

    assert_eq!(soon, Some(address(1)));
    assert_eq!(later, None);
}

#[test]
fn the_latest_loss_of_any_live_peer_is_known() {
    let mut gone = peer(3, Some(1), Some(NOW_MS - 50));
    gone.last_heartbeat_ms = NOW_MS - 10_000;
    let table = table(vec![
        peer(1, Some(NOW_MS - 900), Some(NOW_MS - 800)),
        peer(2, Some(NOW_MS - 600), Some(NOW_MS - 400)),
        gone,
    ]);

    assert_eq!(table.store_lost_ms(NOW_MS), Some(NOW_MS - 400));
}

#[test]
fn a_daemon_is_isolated_if_fewer_than_half_of_the_listed_peers_are_heard() {
    let mut silent = peer(2, Some(1), None);
    silent.last_heartbeat_ms = 0;
    let half = table(vec![peer(1, Some(1), None), silent.clone()]);
    let third = table(vec![peer(1, Some(1), None), silent.clone(), silent]);

    assert!(!half.is_isolated(NOW_MS));
    assert!(third.is_isolated(NOW_MS));
}

/// Guards against a fleet without an owner: if the time of each heartbeat of a failed owner
/// counted, the takeover of a daemon of the second rank would never be due.
#[test]
fn a_peer_has_failed_since_it_first_said_so_until_it_says_otherwise() {
    let failed_at = |since_ms: Option<u64>| Peer {
        failed_since_ms: since_ms,
        ..peer(1, Some(NOW_MS), None)
    };
    let mut table = table(vec![failed_at(Some(NOW_MS - 500))]);
    let failed_since_ms = |table: &PeerTable| table.all()[0].1.failed_since_ms;

    table.record("d0", failed_at(Some(NOW_MS)));
    let first_ms = failed_since_ms(&table);
    table.record("d0", failed_at(None));
    let works = failed_since_ms(&table);

    assert_eq!(first_ms, Some(NOW_MS - 500));
    assert_eq!(works, None);
    assert!(table.candidates(NOW_MS)[0].eligible);
}
