//! Which runs count as hanging: sound work of seconds to hours under right and wrong estimates,
//! and runs that stand still.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    gang,
    record,
    step, //
};
use fuchsiaslip::scheduler::{
    Action,
    Decision,
    EndKind,
    RunName,
    StepSpec,
    StopReason, //
};
use std::collections::{
    BTreeSet,
    HashMap, //
};

const RUN_TIMES_MS: [u64; 4] = [1_000, 30_000, 400_000, 4 * 3_600_000];
const STEP_MS: u64 = 50;
const PERCENT: u64 = 100;
/// Part of a run that is played: enough for several percent of the longest.
const PLAYED_PERCENT: u64 = 6;
/// Shortest time that is played.
const MIN_PLAYED_MS: u64 = 15_000;

/// How far the estimate of a step is from its run time.
#[derive(Clone, Copy, Debug)]
enum Estimate {
    Right,
    TooShort,
    TooLong,
}

impl Estimate {
    fn of(self, run_ms: u64) -> u64 {
        const ERROR: u64 = 40;
        match self {
            Self::Right => run_ms,
            Self::TooShort => run_ms / ERROR,
            Self::TooLong => run_ms * ERROR,
        }
    }
}

/// Advances a fleet in which every run takes `run_ms`.
fn play(fleet: &mut Fleet, run_ms: u64, for_ms: u64) {
    let mut started: HashMap<RunName, u64> = HashMap::new();
    let until_ms = fleet.now_ms + for_ms;
    while fleet.now_ms < until_ms {
        fleet.advance(STEP_MS);
        let now_ms = fleet.now_ms;
        for (worker, name) in fleet.running() {
            let started_ms = *started.entry(name).or_insert(now_ms);
            let percent = (now_ms - started_ms) * PERCENT / run_ms;
            let fake = fleet.workers.get_mut(&worker).expect("a known worker");
            fake.running.insert(name, percent.min(PERCENT) as u32);
            if percent >= PERCENT {
                fleet.end_run(&worker, name, EndKind::Done);
            }
        }
    }
}

fn decisions<T>(fleet: &Fleet, chosen: impl Fn(&Decision) -> Option<T>) -> Vec<T> {
    let actions = fleet.actions.iter();
    actions
        .filter_map(|action| match action {
            Action::Decided(decision) => chosen(decision),
            _ => None,
        })
        .collect()
}

/// Returns the runs that were stopped for hanging.
fn hanging(fleet: &Fleet) -> Vec<RunName> {
    decisions(fleet, |decision| match decision {
        Decision::Stopped { name, reason, .. } => (*reason == StopReason::Hanging).then_some(*name),
        _ => None,
    })
}

/// Returns the workers that were quarantined.
fn quarantined(fleet: &Fleet) -> Vec<String> {
    decisions(fleet, |decision| match decision {
        Decision::Quarantined { worker, .. } => Some(worker.to_string()),
        _ => None,
    })
}

/// Guards against work of hours that is stopped for hanging again and again: the percentage of a
/// run of more than 260 s had not changed for 2.6 s. All its workers were quarantined.
#[test]
fn sound_runs_of_any_length_are_not_stopped_under_estimates_that_are_wrong_by_far() {
    for run_ms in RUN_TIMES_MS {
        for estimate in [Estimate::Right, Estimate::TooShort, Estimate::TooLong] {
            for shape in [step(1, 1), step(4, 1), gang(4, 1)] {
                let mut fleet = Fleet::with_workers(6);
                let spec = StepSpec {
                    estimated_ms: estimate.of(run_ms),
                    ..shape
                };
                let what = format!("{run_ms} ms, {estimate:?}, gang {}", spec.gang);
                fleet.submit(1, record("plain", vec![spec]));
                let played_ms = (run_ms * PLAYED_PERCENT / PERCENT).max(MIN_PLAYED_MS);

                play(&mut fleet, run_ms, played_ms);

                assert_eq!(hanging(&fleet), [], "{what}");
                assert_eq!(quarantined(&fleet), Vec::<String>::new(), "{what}");
            }
        }
    }
}

/// Has a run stand still from its middle on. Returns how long after that it was stopped.
fn time_to_find_ms(run_ms: u64, for_ms: u64) -> Option<u64> {
    let mut fleet = Fleet::with_workers(6);
    let spec = StepSpec {
        estimated_ms: run_ms,
        ..step(1, 1)
    };
    fleet.submit(1, record("plain", vec![spec]));
    play(&mut fleet, run_ms, run_ms / 2);
    let began_ms = fleet.now_ms;
    while hanging(&fleet).is_empty() && fleet.now_ms < began_ms + for_ms {
        fleet.advance(STEP_MS);
    }
    (!hanging(&fleet).is_empty()).then(|| fleet.now_ms - began_ms)
}

/// Guards against runs that hang and are not found: within 3 s where a run should have advanced
/// by several percent, and for long work within the time of eight percent, which a worker that
/// turns eight times as slow takes for one.
#[test]
fn a_run_that_stands_still_is_found_in_a_time_that_its_pace_justifies() {
    for run_ms in [8_000, 30_000, 400_000] {
        let within_ms = 3_000
            + if run_ms > 30_000 {
                run_ms * 8 / PERCENT
            } else {
                0
            };
        let found_ms = time_to_find_ms(run_ms, 2 * within_ms);

        let found_ms = found_ms.unwrap_or(u64::MAX);
        assert!(
            found_ms <= within_ms,
            "{run_ms} ms: found after {found_ms} ms"
        );
    }
}

/// Guards against a fleet without workers for seconds: a job whose runs show no progress on any
/// worker had all of them quarantined.
#[test]
fn a_job_that_shows_no_progress_anywhere_does_not_quarantine_all_workers() {
    let mut fleet = Fleet::with_workers(8);
    let spec = StepSpec {
        estimated_ms: 1_000,
        ..step(8, 8)
    };
    fleet.submit(1, record("plain", vec![spec]));

    play(&mut fleet, u64::MAX / PERCENT, 60_000);

    assert!(!hanging(&fleet).is_empty(), "it is taken for hanging");
    let workers: BTreeSet<String> = quarantined(&fleet).into_iter().collect();
    assert!(workers.len() <= 2, "{workers:?}");
}

/// Guards against a slow task that is never done: each of its runs was stopped after the same
/// time without progress.
#[test]
fn a_task_that_was_stopped_for_hanging_may_take_longer_the_next_time() {
    const RUN_MS: u64 = 700_000;
    let mut fleet = Fleet::with_workers(6);
    let spec = StepSpec {
        estimated_ms: 1_000,
        ..step(1, 1)
    };
    fleet.submit(1, record("plain", vec![spec]));

    play(&mut fleet, RUN_MS, 40_000);

    let stops = hanging(&fleet).len();
    assert!((1..=2).contains(&stops), "stopped {stops} times");
    assert_eq!(quarantined(&fleet).len(), 1);
    assert_eq!(fleet.running().len(), 1, "it goes on");
}
