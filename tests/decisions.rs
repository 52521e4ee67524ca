//! Tests the decision core with random lists of jobs on a small fleet: against
//! its invariants, a brute-force search and a naive scheduler.

#[path = "support/driver.rs"]
mod driver;
#[path = "support/naive.rs"]
mod naive;

use driver::{
    Driver,
    ListedJob,
    Mix, //
};
use fuchsiaslip::config::Declaration;
use fuchsiaslip::core::{
    Adjacency,
    Cell,
    Effect,
    JobState,
    MemberState,
    Shape, //
};
use fuchsiaslip::ledger::OutcomeCode;
use naive::{
    Naive,
    first_fit, //
};
use proptest::prelude::*;
use std::collections::HashSet;

const WORKERS: usize = 12;
const RACK_SIZE: usize = 4;
const ACCELERATORS: u16 = 4;
const GRACE_MS: u64 = 2_000;
/// Bound of the time that the calls to the workers take.
const CALL_TIME_MS: u64 = 10;

fn declaration() -> Declaration {
    toml::from_str(
        r#"
        [[class]]
        name = "urgent"
        completion_ms = 5000
        urgent = true
        reclaims = true
        [[class]]
        name = "standard"
        completion_ms = 600000
        reclaims = true
        [[class]]
        name = "overnight"
        completion_ms = 3600000
        reclaimable = true
        grace_ms = 2000
        [[account]]
        name = "a"
        token_sha256 = ""
        data_centres = ["dc"]
        quota_accelerators = 48
        [[account.guarantees]]
        data_centre = "dc"
        accelerators_per_worker = 4
        workers = 3
        adjacency = "rack"
        [[account]]
        name = "b"
        token_sha256 = ""
        data_centres = ["dc"]
        quota_accelerators = 48
        [[account.guarantees]]
        data_centre = "dc"
        accelerators_per_worker = 2
        workers = 4
        adjacency = "neighbouring-racks"
        [[account]]
        name = "c"
        token_sha256 = ""
        data_centres = ["dc"]
        quota_accelerators = 48
        "#,
    )
    .expect("the declaration is valid")
}

fn guaranteed(account: &str) -> Shape {
    declaration().account(account).unwrap().guarantees[0].shape()
}

fn mix(jobs: Vec<ListedJob>, bad_workers: HashSet<usize>) -> Mix {
    Mix {
        name: "random".to_owned(),
        declaration: declaration(),
        workers: WORKERS,
        rack_size: RACK_SIZE,
        accelerators: ACCELERATORS,
        end_ms: 120_000,
        jobs,
        bad_workers,
        demand: Vec::new(),
    }
}

fn shape() -> impl Strategy<Value = Shape> {
    let adjacency = prop_oneof![
        Just(Adjacency::Anywhere),
        Just(Adjacency::NeighbouringRacks),
        Just(Adjacency::Rack),
    ];
    (1..=5u16, 1..=6u16, adjacency).prop_map(|(per_worker, workers, adjacency)| Shape {
        accelerators_per_worker: per_worker,
        workers,
        adjacency,
    })
}

fn listed_job(accounts: &'static [&'static str]) -> impl Strategy<Value = ListedJob> {
    let classes = prop::sample::select(&["urgent", "standard", "overnight", "overnight"][..]);
    let cancel = prop::option::weighted(0.1, 0..60_000u64);
    (
        0..60_000u64,
        prop::sample::select(accounts),
        classes,
        shape(),
        1..40_000u64,
        0.1..10.0f64,
        any::<bool>(),
        cancel,
    )
        .prop_map(
            |(at_ms, account, class, shape, run_ms, declared_ratio, idempotent, cancel)| {
                ListedJob {
                    at_ms,
                    account,
                    class,
                    shape,
                    declared_run_ms: (run_ms as f64 * declared_ratio) as u64 + 1,
                    actual_run_ms: run_ms,
                    idempotent,
                    cancel_at_ms: cancel.map(|after_ms| at_ms + after_ms),
                    always_fails: false,
                }
            },
        )
}

/// Checks what must hold after every decision.
fn check_invariants(cell: &Cell) {
    for (key, worker) in cell.fleet().workers() {
        let (mut held, mut claimed) = (0, 0);
        for (job_key, job) in cell.jobs() {
            for member in job.members.iter().filter(|member| member.worker == key) {
                assert_eq!(held & member.held, 0, "two jobs hold the same accelerator");
                held |= member.held;
                assert_eq!(
                    worker.held_by(job_key) & !member.held,
                    0,
                    "a worker counts accelerators for a job that does not hold them"
                );
                if job.state == JobState::Claiming {
                    claimed |= member.mask & !member.held;
                }
            }
        }
        assert_eq!(
            worker.free,
            worker.all & !held,
            "the free accelerators of a worker are not those that no job holds"
        );
        assert_eq!(
            worker.claimed, claimed,
            "the claims on a worker are not those of the claiming gangs"
        );
    }
    for (_, job) in cell
        .jobs()
        .filter(|(_, job)| job.state == JobState::Running)
    {
        let confirmed = |state| matches!(state, MemberState::Running | MemberState::Finished);
        assert!(
            job.members.iter().all(|member| confirmed(member.state)),
            "a running gang has members that have not confirmed"
        );
        assert_eq!(job.members.len(), usize::from(job.shape.workers));
    }
    check_pledges(cell);
}

/// Checks that every pledge without a reported shortfall can be provided: its
/// accelerators are free, or held by reclaimable jobs or by the account itself.
fn check_pledges(cell: &Cell) {
    let shortfalls = cell.shortfalls();
    for (_, pledge) in cell.pledges() {
        let account = &cell.accounts()[pledge.account.index()].declaration.name;
        if shortfalls
            .iter()
            .any(|shortfall| shortfall.account == *account)
        {
            continue;
        }
        assert_eq!(pledge.members.len(), usize::from(pledge.shape.workers));
        for &(key, mask) in &pledge.members {
            let worker = cell.fleet().worker(key);
            let is_available = |bit: usize| {
                let holder = worker.holder(bit);
                let job =
                    holder.and_then(|holder| cell.jobs().find(|(job_key, _)| *job_key == holder));
                job.is_none_or(|(_, job)| job.is_reclaimable || job.account == pledge.account)
            };
            let all = (0..16).filter(|bit| mask >> bit & 1 == 1).all(is_available);
            assert!(
                all,
                "a guarantee cannot be provided and no shortfall is reported"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_after_every_decision(
        jobs in prop::collection::vec(listed_job(&["a", "b", "c"]), 1..60),
        bad_worker in prop::option::of(0..WORKERS),
    ) {
        let mix = mix(jobs, bad_worker.into_iter().collect());
        let mut driver = Driver::new(&mix);
        driver.check = Some(check_invariants);

        driver.run_until(120_000);

        check_invariants(&driver.cell);
    }

    #[test]
    fn every_account_gets_its_guaranteed_shape_within_the_grace_time(
        jobs in prop::collection::vec(listed_job(&["c"]), 1..60),
        requested_ms in 1_000..60_000u64,
    ) {
        let mut jobs = jobs;
        for account in ["a", "b"] {
            jobs.push(ListedJob {
                at_ms: requested_ms,
                account,
                class: "standard",
                shape: guaranteed(account),
                declared_run_ms: 30_000,
                actual_run_ms: 30_000,
                idempotent: true,
                cancel_at_ms: None,
                always_fails: false,
            });
        }
        let mix = mix(jobs, HashSet::new());
        let mut driver = Driver::new(&mix);
        driver.check = Some(check_invariants);

        driver.run_until(requested_ms + GRACE_MS + CALL_TIME_MS);

        for account in ["a", "b"] {
            let job = driver
                .cell
                .jobs()
                .find(|(_, job)| job.submission.account == account)
                .map(|(_, job)| job.state);
            prop_assert_eq!(job, Some(JobState::Running));
        }
    }

    #[test]
    fn a_shape_is_refused_as_impossible_exactly_if_an_empty_fleet_cannot_hold_it(
        job in listed_job(&["a", "b", "c"]),
    ) {
        let mut submission = job.clone();
        submission.at_ms = 0;
        submission.cancel_at_ms = None;
        let mix = mix(vec![submission], HashSet::new());
        let fits = fits_by_brute_force(&mix, &job);
        let mut driver = Driver::new(&mix);

        driver.run_until(1_000);

        let refused = driver.figures.refused.get("impossible_shape").copied().unwrap_or(0);
        prop_assert_eq!(refused == 0, fits);
    }

    #[test]
    fn the_core_serves_at_least_as_many_jobs_as_the_naive_scheduler(
        jobs in prop::collection::vec(listed_job(&["a", "b", "c"]), 20..60),
    ) {
        let mut jobs = jobs;
        jobs.iter_mut().for_each(|job| job.cancel_at_ms = None);
        let mut mix = mix(jobs, HashSet::new());
        mix.end_ms = 3_600_000;
        let naive = Naive::run(&mix);
        let mut driver = Driver::new(&mix);

        driver.run_until(mix.end_ms);

        let unserved = driver
            .cell
            .jobs()
            .filter(|(_, job)| job.outcome != OutcomeCode::Served)
            .count();
        prop_assert_eq!(unserved, 0, "a job of a healthy fleet is not served within an hour");
        let served = driver.cell.jobs().count();
        prop_assert!(served >= naive.counted.min(naive.met));
    }
}

/// Returns whether an empty fleet can hold the job, by trying every worker in
/// turn: in the account's own guarantee, outside all guarantees, or anywhere if
/// the job is reclaimable.
fn fits_by_brute_force(mix: &Mix, job: &ListedJob) -> bool {
    let quota = mix
        .declaration
        .account(job.account)
        .unwrap()
        .quota_accelerators;
    if job.shape.accelerators() > quota {
        return true;
    }
    let own = mix
        .declaration
        .account(job.account)
        .unwrap()
        .guarantees
        .iter();
    if own
        .map(|g| g.shape())
        .any(|shape| job.shape.fits_within(&shape))
    {
        return true;
    }
    let class = mix.declaration.class(job.class).unwrap();
    let mut free = vec![u32::from(ACCELERATORS); WORKERS];
    if !(class.reclaimable && job.idempotent) {
        let driver = Driver::new(mix);
        for (_, pledge) in driver.cell.pledges() {
            for &(worker, mask) in &pledge.members {
                free[worker.index()] -= mask.count_ones();
            }
        }
    }
    first_fit(&free, RACK_SIZE, &job.shape).is_some()
}

fn standard_job(account: &'static str, shape: Shape, at_ms: u64, run_ms: u64) -> ListedJob {
    ListedJob {
        at_ms,
        account,
        class: "standard",
        shape,
        declared_run_ms: run_ms,
        actual_run_ms: run_ms,
        idempotent: true,
        cancel_at_ms: None,
        always_fails: false,
    }
}

/// Guards against a scheduling pass that never ends and keeps one core busy. Two
/// late jobs of classes that are reclaimable and also reclaim preempted each
/// other in turn within one pass, because late work could preempt any reclaimable
/// work, also work with an earlier deadline.
#[test]
fn late_jobs_do_not_preempt_each_other_in_turn() {
    let mut declaration = declaration();
    declaration.classes[1].reclaimable = true;
    declaration.classes[1].completion_ms = 20_000;
    let full_worker = Shape {
        accelerators_per_worker: 4,
        workers: 1,
        adjacency: Adjacency::Rack,
    };
    let jobs = (0..40)
        .map(|index| standard_job("c", full_worker, index * 100, 15_000))
        .collect();
    let mut mix = mix(jobs, HashSet::new());
    mix.declaration = declaration;
    let mut driver = Driver::new(&mix);

    driver.run_until(400_000);

    let unfinished = driver
        .cell
        .jobs()
        .filter(|(_, job)| job.outcome == OutcomeCode::None)
        .count();
    assert_eq!(unfinished, 0);
}

/// Guards against the starvation of a large gang by a steady stream of small jobs
/// that fill each gap as it opens.
#[test]
fn small_jobs_do_not_starve_a_large_gang() {
    let small = Shape {
        accelerators_per_worker: 1,
        workers: 1,
        adjacency: Adjacency::Rack,
    };
    let gang = Shape {
        accelerators_per_worker: 4,
        workers: 4,
        adjacency: Adjacency::NeighbouringRacks,
    };
    let mut jobs: Vec<ListedJob> = (0..6_000)
        .map(|index| standard_job("c", small, index * 50, 2_500))
        .collect();
    jobs.push(standard_job("c", gang, 10_000, 5_000));
    let mix = mix(jobs, HashSet::new());
    let mut driver = Driver::new(&mix);

    driver.run_until(60_000);

    let gang_job = driver
        .cell
        .jobs()
        .find(|(_, job)| job.shape == gang)
        .map(|(_, job)| job.first_running_ms);
    assert!(
        gang_job.flatten().is_some_and(|first_ms| first_ms < 40_000),
        "{gang_job:?}"
    );
}

/// Guards against a worker that fails every job and so uses up their attempts:
/// jobs ended as failed one after the other, all because of one worker.
#[test]
fn bad_worker_is_quarantined_and_its_jobs_are_served_elsewhere() {
    let full_worker = Shape {
        accelerators_per_worker: 4,
        workers: 1,
        adjacency: Adjacency::Rack,
    };
    let jobs = (0..30)
        .map(|index| standard_job("c", full_worker, index * 400, 1_000))
        .collect();
    let mix = mix(jobs, [0, 1].into());
    let mut driver = Driver::new(&mix);

    driver.run_until(600_000);

    let unserved = driver
        .cell
        .jobs()
        .filter(|(_, job)| job.outcome != OutcomeCode::Served)
        .count();
    assert_eq!(unserved, 0);
}

/// Guards against quarantining workers for the failures of a job that fails
/// everywhere.
#[test]
fn broken_job_is_given_up_and_quarantines_no_worker() {
    let small = Shape {
        accelerators_per_worker: 1,
        workers: 1,
        adjacency: Adjacency::Rack,
    };
    let mut job = standard_job("c", small, 0, 1_000);
    job.always_fails = true;
    let mix = mix(vec![job], HashSet::new());
    let mut driver = Driver::new(&mix);

    driver.run_until(600_000);

    let outcome = driver.cell.jobs().next().map(|(_, job)| job.outcome);
    assert!(matches!(
        outcome,
        Some(OutcomeCode::UnableToRun | OutcomeCode::Failed)
    ));
    assert!(
        driver
            .cell
            .fleet()
            .workers()
            .all(|(_, worker)| worker.accepts_jobs())
    );
}

/// Guards against a delay of urgent work of an account at its quota: it waited
/// for other work of the account to end instead of preempting it.
#[test]
fn urgent_work_at_quota_preempts_reclaimable_work_of_its_own_account() {
    let full_worker = Shape {
        accelerators_per_worker: 4,
        workers: 1,
        adjacency: Adjacency::Rack,
    };
    let mut jobs: Vec<ListedJob> = (0..3)
        .map(|index| ListedJob {
            class: "overnight",
            ..standard_job("c", full_worker, index, 600_000)
        })
        .collect();
    jobs.push(ListedJob {
        class: "urgent",
        ..standard_job("c", Shape::single(1), 5_000, 500)
    });
    let mut mix = mix(jobs, HashSet::new());
    mix.declaration.accounts[2].quota_accelerators = 12;
    let mut driver = Driver::new(&mix);
    driver.check = Some(|cell| {
        check_invariants(cell);
        assert!(
            cell.accounts()[2].used_accelerators <= 12,
            "the account exceeds its quota"
        );
    });

    driver.run_until(5_000 + GRACE_MS + 500 + CALL_TIME_MS);

    let urgent = driver
        .cell
        .jobs()
        .find(|(_, job)| job.submission.class == "urgent");
    assert_eq!(
        urgent.map(|(_, job)| job.outcome),
        Some(OutcomeCode::Served)
    );
}

#[test]
fn ten_thousand_jobs_are_cancelled_by_one_command() {
    let small = Shape {
        accelerators_per_worker: 1,
        workers: 1,
        adjacency: Adjacency::Rack,
    };
    let jobs: Vec<ListedJob> = (0..10_000)
        .map(|_| standard_job("c", small, 0, 60_000))
        .collect();
    let mut mix = mix(jobs, HashSet::new());
    mix.declaration.classes[1].queue_limit = 20_000;
    mix.declaration.accounts[2].queue_limit = 20_000;
    let mut driver = Driver::new(&mix);
    driver.run_until(500);
    let ids = driver.cell.jobs().map(|(_, job)| job.id).collect();

    let effects = driver.cell.apply(
        fuchsiaslip::core::Command::Cancel {
            token: 1,
            account: "c".to_owned(),
            jobs: ids,
        },
        600,
    );

    let confirmed = effects.iter().any(|effect| {
        *effect
            == Effect::Cancelled {
                token: 1,
                count: 10_000,
            }
    });
    assert!(confirmed);
    assert_eq!(driver.cell.waiting(), 0);
}
