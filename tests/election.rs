//! When a daemon takes over, from what it knows of the others, without clock and
//! network.

use fuchsiaslip::cluster::{
    Candidate,
    ElectionView,
    OwnerStatus,
    is_overtaken,
    takeover, //
};

const NOW_MS: u64 = 100_000;

fn takeover_at_ms(view: &ElectionView) -> Option<u64> {
    takeover(view).map(|due| due.due_ms)
}

fn candidate(name: &str, cpu_millis: u64) -> Candidate {
    Candidate {
        name: name.to_owned(),
        cpu_millis,
        eligible: true,
    }
}

fn owner_status() -> OwnerStatus {
    OwnerStatus {
        name: "owner".to_owned(),
        last_heartbeat_ms: NOW_MS,
        learned_ms: NOW_MS - 60_000,
        store_lost_since_ms: None,
        draining: false,
        failed_since_ms: None,
        incarnation_over: false,
    }
}

fn view(owner: Option<OwnerStatus>) -> ElectionView {
    ElectionView {
        own: candidate("b", 250),
        started_ms: NOW_MS - 10_000,
        store_recovered_ms: 0,
        reachable: vec![candidate("c", 250)],
        listed: 1,
        owner,
    }
}

#[test]
fn an_unresponsive_owner_is_replaced_by_the_best_candidate() {
    let first = takeover_at_ms(&view(Some(owner_status()))).unwrap();
    let mut second = view(Some(owner_status()));
    second.reachable.push(candidate("a", 250));
    let second = takeover_at_ms(&second).unwrap();

    assert_eq!(first, NOW_MS + 700);
    assert_eq!(second, NOW_MS + 1_000, "one rank later");
}

/// Guards against a fleet that is without an owner for seconds because it is large: the timeout
/// grew with the number of daemons, since owners called thousands of workers themselves and sent
/// their heartbeats late.
#[test]
fn the_takeover_delay_is_the_same_in_a_fleet_of_any_size() {
    for (daemons, learned_ms) in [(18, 60_000), (332, 60_000), (1_000, 60_000), (1_000, 1_000)] {
        let mut large = view(Some(OwnerStatus {
            learned_ms: NOW_MS - learned_ms,
            ..owner_status()
        }));
        large.reachable = (0..daemons)
            .map(|at| candidate(&format!("c{at}"), 250))
            .collect();
        large.listed = daemons;

        assert_eq!(takeover_at_ms(&large), Some(NOW_MS + 700));
    }
}

/// Guards against a takeover that comes one rank too late. The owner is the best
/// candidate, so the next one waited for the owner that had just stopped responding.
#[test]
fn the_owner_to_replace_does_not_delay_the_next_candidate() {
    let mut next = view(Some(OwnerStatus {
        name: "a".to_owned(),
        ..owner_status()
    }));
    next.reachable.push(candidate("a", 500));

    assert_eq!(takeover_at_ms(&next), Some(NOW_MS + 700));
}

#[test]
fn candidates_with_more_cpu_take_over_first() {
    let mut weak = view(Some(owner_status()));
    weak.reachable.push(candidate("z", 500));

    assert_eq!(takeover_at_ms(&weak), Some(NOW_MS + 1_000));
}

/// Guards against a fleet without an owner for minutes: all large VMs were lost with the
/// owner, and the small ones left the takeover to each of them in turn.
#[test]
fn a_daemon_does_not_wait_for_hundreds_of_better_candidates() {
    let due_ms = |own: &str| {
        let mut small = view(Some(owner_status()));
        small.own = candidate(own, 120);
        small.reachable = (0..72)
            .map(|at| candidate(&format!("c{at}"), 1_000))
            .collect();
        takeover_at_ms(&small).expect("it is eligible")
    };

    let due: Vec<u64> = (0..515).map(|at| due_ms(&format!("d{at}"))).collect();

    let first_ms = due.iter().min().copied().unwrap_or(0);
    assert!(due.iter().all(|&due_ms| due_ms <= NOW_MS + 2_500));
    let at_once = due.iter().filter(|&&due_ms| due_ms < first_ms + 20);
    assert!(at_once.count() < 40, "few try at the same time");
}

/// Guards against a wait for daemons that are not back yet: after a loss of all VMs, each
/// hears from few others, and the owner's process has certainly ended.
#[test]
fn the_successor_of_an_owner_that_has_exited_does_not_wait_for_most_of_the_others() {
    let mut restarted = view(Some(OwnerStatus {
        incarnation_over: true,
        ..owner_status()
    }));
    restarted.reachable.clear();
    restarted.listed = 586;
    restarted.started_ms = NOW_MS;

    assert_eq!(takeover_at_ms(&restarted), Some(NOW_MS + 150));
}

/// Guards against a weak first owner: at the first start of a fleet, a VM with an
/// eighth of a core took over before it knew of the strong ones, and lost the
/// ownership in the first burst.
#[test]
fn the_first_takeover_waits_until_daemons_know_each_other() {
    let mut first = view(None);
    first.started_ms = NOW_MS;
    assert_eq!(takeover_at_ms(&first), Some(NOW_MS + 1_200));

    first.reachable.push(candidate("z", 500));
    assert_eq!(takeover_at_ms(&first), Some(NOW_MS + 1_500));
}

/// Guards against a wait for an owner whose heartbeats go on although it has failed and given up
/// the ownership: only the missing claim in them would show that, after seconds.
#[test]
fn an_owner_that_failed_is_replaced_at_once_and_in_the_order_of_rank() {
    let failed = OwnerStatus {
        failed_since_ms: Some(NOW_MS - 200),
        ..owner_status()
    };
    let mut second = view(Some(failed.clone()));
    second.reachable.push(candidate("a", 250));

    assert_eq!(takeover_at_ms(&view(Some(failed))), Some(NOW_MS - 200));
    assert_eq!(
        takeover_at_ms(&second),
        Some(NOW_MS + 100),
        "one rank later"
    );
}

#[test]
fn a_draining_owner_is_replaced_at_once() {
    let draining = OwnerStatus {
        draining: true,
        ..owner_status()
    };

    assert_eq!(takeover_at_ms(&view(Some(draining))), Some(NOW_MS));
}

#[test]
fn a_daemon_that_is_cut_off_waits_longest() {
    let mut isolated = view(Some(owner_status()));
    isolated.reachable.clear();
    isolated.listed = 4;

    assert_eq!(takeover_at_ms(&isolated), Some(NOW_MS + 2_200));
}

#[test]
fn a_daemon_that_lost_the_store_never_takes_over() {
    let mut without_store = view(Some(owner_status()));
    without_store.own.eligible = false;

    assert_eq!(takeover_at_ms(&without_store), None);
}

/// Guards against needless takeovers after an outage of the store for all daemons:
/// ownership changed twice within 100 ms. The first daemons that reached the store
/// again saw an owner that had been without it for seconds, and that reached it a
/// moment later.
#[test]
fn a_store_outage_for_all_daemons_does_not_end_an_ownership() {
    let without_store = OwnerStatus {
        store_lost_since_ms: Some(NOW_MS - 4_000),
        ..owner_status()
    };
    let mut after_outage = view(Some(without_store.clone()));
    after_outage.store_recovered_ms = NOW_MS;

    assert_eq!(takeover_at_ms(&after_outage), Some(NOW_MS + 500));
    assert_eq!(
        takeover_at_ms(&view(Some(without_store))),
        Some(NOW_MS - 3_500)
    );
}

#[test]
fn each_takeover_has_its_reason() {
    let reason = |owner: Option<OwnerStatus>| takeover(&view(owner)).map(|due| due.reason);
    let restarted = OwnerStatus {
        incarnation_over: true,
        ..owner_status()
    };
    let draining = OwnerStatus {
        draining: true,
        ..owner_status()
    };
    let without_store = OwnerStatus {
        store_lost_since_ms: Some(NOW_MS - 400),
        ..owner_status()
    };

    assert_eq!(reason(None), Some("no_owner"));
    assert_eq!(reason(Some(owner_status())), Some("owner_silent"));
    assert_eq!(reason(Some(restarted)), Some("owner_restarted"));
    assert_eq!(reason(Some(draining)), Some("owner_draining"));
    assert_eq!(reason(Some(without_store)), Some("owner_without_store"));
}

/// Guards against two owners in quick succession: the heartbeat of a new owner arrived while a
/// second candidate read the root, which then named no owner that it did not know.
#[test]
fn an_owner_that_became_known_during_a_takeover_is_not_replaced() {
    assert!(is_overtaken(2, 3, false));
    assert!(!is_overtaken(2, 2, false), "the owner to replace");
    assert!(!is_overtaken(2, 3, true), "it has exited since");
}
