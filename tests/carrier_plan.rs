//! Which daemons carry the owner's calls to workers.

use fuchsiaslip::cluster::{
    CarrierPlan,
    Member,
    VmResources, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::net::SocketAddr;

const NOW_MS: u64 = 100_000;
const CALLABLE: u64 = 300;
/// A VM of 0.12 core, 20 Mbit/s and 4,100 descriptors.
const SMALL_VM: VmResources = VmResources {
    link_bytes_per_s: 2_500_000,
    descriptors: 4_100,
    cpu_millis: 120,
};

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (at / 250) as u8, (at % 250) as u8], 7_000))
}

fn members(count: usize) -> Vec<Member> {
    let member = |at: usize| Member {
        name: format!("d{at}"),
        address: address(at),
        data_centre: format!("z{}", at % 6),
        carried_workers: SMALL_VM.carried_workers(),
    };
    (0..count).map(member).collect()
}

fn workers_by_data_centre(count: usize) -> BTreeMap<String, usize> {
    (0..6).map(|at| (format!("z{at}"), count / 6)).collect()
}

fn plan_of(members: &[Member], workers: usize) -> CarrierPlan {
    let mut plan = CarrierPlan::default();
    plan.update(members, &workers_by_data_centre(workers), CALLABLE, NOW_MS);
    plan
}

/// The carrier of each of `workers` workers.
fn shares(plan: &CarrierPlan, workers: usize) -> HashMap<usize, SocketAddr> {
    let carrier = |at: usize| {
        plan.carrier_of(&format!("z{}", at % 6), &format!("i-{at:x}"), false)
            .expect("a carrier")
    };
    (0..workers).map(|at| (at, carrier(at))).collect()
}

#[test]
fn an_owner_calls_the_workers_of_a_small_fleet_itself() {
    let plan = plan_of(&members(8), 48);

    assert_eq!(plan.carrier_of("z0", "i-1", false), None);
    assert_eq!(plan.count(), 0);
}

/// Guards against a daemon that drowns in the calls of a fleet: none carries more than its VM
/// has a share for, and the owner has few connections.
#[test]
fn no_daemon_carries_much_more_than_its_share() {
    const WORKERS: usize = 6_000;
    let plan = plan_of(&members(587), WORKERS);

    let mut counts: HashMap<SocketAddr, u64> = HashMap::new();
    for carrier in shares(&plan, WORKERS).into_values() {
        *counts.entry(carrier).or_default() += 1;
    }

    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= SMALL_VM.carried_workers() * 3 / 2, "{most} workers");
    assert!(plan.count() < 150, "{} carriers", plan.count());
}

#[test]
fn carriers_are_in_the_data_centre_of_their_workers() {
    let members = members(60);
    let plan = plan_of(&members, 600);

    for (worker, carrier) in shares(&plan, 600) {
        let member = members.iter().find(|member| member.address == carrier);
        let data_centre = member.map(|member| member.data_centre.clone());
        assert_eq!(data_centre, Some(format!("z{}", worker % 6)));
    }
}

/// Guards against new connections to most workers after each change of the members.
#[test]
fn a_carrier_that_leaves_moves_few_workers() {
    const WORKERS: usize = 6_000;
    let mut members = members(587);
    let before = shares(&plan_of(&members, WORKERS), WORKERS);
    let gone = before[&0];
    let carried = before.values().filter(|&&carrier| carrier == gone).count();

    members.retain(|member| member.address != gone);
    let after = shares(&plan_of(&members, WORKERS), WORKERS);

    let moved = before
        .iter()
        .filter(|(worker, carrier)| after[worker] != **carrier);
    let moved = moved.count();
    assert!(moved >= carried && moved <= 3 * carried, "{moved}");
}

/// Guards against shares that differ from owner to owner: each new one would connect to all
/// workers anew.
#[test]
fn the_shares_do_not_depend_on_the_order_of_the_members() {
    let forward = members(100);
    let backward: Vec<Member> = forward.iter().rev().cloned().collect();

    let workers = 1_200;
    assert_eq!(
        shares(&plan_of(&forward, workers), workers),
        shares(&plan_of(&backward, workers), workers)
    );
}

/// Guards against a worker that its carrier alone cannot reach.
#[test]
fn the_detour_to_a_worker_is_through_another_carrier() {
    let plan = plan_of(&members(60), 600);

    let first = plan.carrier_of("z0", "i-0", false);
    let second = plan.carrier_of("z0", "i-0", true);

    assert!(first.is_some() && second.is_some());
    assert_ne!(first, second);
}

#[test]
fn a_carrier_that_failed_is_left_out_for_longer_each_time() {
    let members = members(60);
    let mut plan = plan_of(&members, 600);
    let failed = plan
        .carrier_of("z0", "i-0", false)
        .expect("the worker has a carrier");

    let first_ms = plan.record_failure(failed, NOW_MS);
    assert_ne!(plan.carrier_of("z0", "i-0", false), Some(failed));
    let again_ms = NOW_MS + first_ms;
    plan.update(&members, &workers_by_data_centre(600), CALLABLE, again_ms);
    assert_eq!(plan.carrier_of("z0", "i-0", false), Some(failed));
    let second_ms = plan.record_failure(failed, again_ms);

    assert!(second_ms > first_ms);
    plan.record_response(failed);
    plan.update(&members, &workers_by_data_centre(600), CALLABLE, again_ms);
    assert_eq!(plan.carrier_of("z0", "i-0", false), Some(failed));
}

/// Guards against an owner that calls thousands of workers itself for want of carriers in
/// their data centre.
#[test]
fn workers_of_a_data_centre_without_daemons_have_carriers_elsewhere() {
    let mut members = members(60);
    members.retain(|member| member.data_centre != "z0");

    let plan = plan_of(&members, 600);

    assert!(plan.carrier_of("z0", "i-0", false).is_some());
}
