//! Injects every fault, and every pair of faults, at every step of a job, in
//! virtual time.
//!
//! Each cell of the matrix runs the same mix of jobs, injects its faults when a
//! job reaches the step, and checks the invariants of `World`.

#[path = "support/world.rs"]
mod world;

use fuchsiaslip::config::Declaration;
use fuchsiaslip::core::{
    Adjacency,
    JobState,
    Shape,
    StopKind,
    Submission, //
};
use fuchsiaslip::standin::TaskSpec;
use world::{
    Caller,
    Fault,
    World, //
};

/// Time limit of one cell.
const MAX_CELL_MS: u64 = 180_000;

/// A step of a job at which faults are injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Received,
    Committed,
    Reserving,
    Starting,
    Running,
    Checkpointing,
    Finishing,
    Answering,
    Cancelling,
    Requeued,
}

impl Step {
    const ALL: [Step; 10] = [
        Step::Received,
        Step::Committed,
        Step::Reserving,
        Step::Starting,
        Step::Running,
        Step::Checkpointing,
        Step::Finishing,
        Step::Answering,
        Step::Cancelling,
        Step::Requeued,
    ];
}

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
        completion_ms = 60000
        reclaims = true
        [[class]]
        name = "overnight"
        completion_ms = 3600000
        reclaimable = true
        grace_ms = 400
        [[account]]
        name = "jadran"
        token_sha256 = ""
        data_centres = ["zg-dubrava"]
        quota_accelerators = 400
        [[account.guarantees]]
        data_centre = "zg-dubrava"
        accelerators_per_worker = 8
        workers = 2
        adjacency = "rack"
        [[account]]
        name = "rijeka"
        token_sha256 = ""
        data_centres = ["zg-dubrava"]
        quota_accelerators = 400
        "#,
    )
    .expect("the declaration is valid")
}

fn submission(
    index: usize,
    account: &str,
    class: &str,
    shape: Shape,
    task: &TaskSpec,
) -> Submission {
    let task = TaskSpec {
        marker: index.to_string(),
        answer_bytes: 64,
        ..task.clone()
    };
    let mut submission = Submission {
        account: account.to_owned(),
        class: class.to_owned(),
        idempotency_key: format!("key-{index}"),
        idempotent: class == "overnight",
        declared_run_ms: task.run_ms,
        payload: task.payload(),
        ..Submission::default()
    };
    submission.set_shape(shape);
    submission
}

/// Index of the caller whose gang reclaims its account's guarantee.
const RECLAIMING: usize = 4;
/// Index of the caller whose job is cancelled while it runs.
const CANCELLED: usize = 6;

/// Creates a world with overnight gangs that fill the data centre, including
/// capacity that is guaranteed to another account, and then a gang that reclaims
/// its guarantee, urgent work, jobs that run at most once, one of which is
/// cancelled, and a job that fails.
fn scenario() -> World {
    let mut world = World::new(declaration(), 6, 3);
    let runs = |run_ms| TaskSpec {
        run_ms,
        ..TaskSpec::default()
    };
    let gang = Shape {
        accelerators_per_worker: 8,
        workers: 2,
        adjacency: Adjacency::NeighbouringRacks,
    };
    let gang_on_one_rack = Shape {
        adjacency: Adjacency::Rack,
        ..gang
    };
    let start_ms = world.now_ms + 500;
    let jobs = [
        ("rijeka", "overnight", gang, runs(3_000), 0),
        ("rijeka", "overnight", gang, runs(3_000), 0),
        ("rijeka", "overnight", gang, runs(3_000), 0),
        ("rijeka", "overnight", Shape::single(4), runs(2_000), 200),
        ("jadran", "standard", gang_on_one_rack, runs(1_500), 1_000),
        ("jadran", "urgent", Shape::single(1), runs(200), 1_200),
        ("rijeka", "standard", Shape::single(2), runs(2_500), 1_300),
        ("rijeka", "standard", Shape::single(1), runs(800), 1_300),
    ];
    for (index, (account, class, shape, task, after_ms)) in jobs.into_iter().enumerate() {
        let submission = submission(index, account, class, shape, &task);
        world
            .callers
            .push(Caller::new(submission, start_ms + after_ms));
    }
    let failing = TaskSpec {
        run_ms: 300,
        fail: true,
        ..TaskSpec::default()
    };
    let submission = submission(8, "rijeka", "overnight", Shape::single(1), &failing);
    world
        .callers
        .push(Caller::new(submission, start_ms + 1_400));
    world.callers[CANCELLED].cancel_at_ms = Some(start_ms + 5_000);
    world
}

/// Returns the index of a caller whose job has reached `step`.
fn reached(world: &World, step: Step) -> Option<usize> {
    let in_state = |is_wanted: fn(JobState) -> bool| {
        (0..world.callers.len()).find(|&index| world.state_of(index).is_some_and(is_wanted))
    };
    match step {
        Step::Received => (world.now_ms >= world.callers[0].submit_at_ms).then_some(0),
        Step::Committed => world.callers.iter().position(|caller| caller.job.is_some()),
        Step::Reserving => in_state(|state| state == JobState::Reserving),
        Step::Starting => in_state(|state| state == JobState::Starting),
        Step::Running => {
            let running = world.state_of(RECLAIMING) == Some(JobState::Running);
            running.then_some(RECLAIMING)
        }
        Step::Checkpointing => in_state(|state| state == JobState::Stopping(StopKind::Preempt)),
        Step::Finishing => world.callers.iter().position(|caller| {
            let job = caller.job.and_then(|job| world.cell()?.job(job));
            job.is_some_and(|job| job.state == JobState::Running && job.answer.is_some())
                || caller.ended.is_some()
        }),
        Step::Answering => world
            .callers
            .iter()
            .position(|caller| caller.ended.is_some()),
        Step::Cancelling => {
            let due = world.callers[CANCELLED].cancel_at_ms;
            (due.is_some_and(|due_ms| due_ms <= world.now_ms)).then_some(CANCELLED)
        }
        Step::Requeued => world.callers.iter().position(|caller| {
            let job = caller.job.and_then(|job| world.cell()?.job(job));
            job.is_some_and(|job| job.state == JobState::Queued && job.attempt > 0)
        }),
    }
}

/// Runs one cell and returns the violations, or `None` if the step was not
/// reached.
fn run_cell(step: Step, faults: &[Fault]) -> Option<Vec<String>> {
    let mut world = scenario();
    let end_ms = world.now_ms + MAX_CELL_MS;
    world.inject_when(Box::new(move |world| reached(world, step)), faults);
    while world.now_ms < end_ms {
        world.step();
        world.check_gangs();
        let settled = world.callers.iter().all(Caller::is_settled);
        if settled && (world.has_triggered() || world.now_ms + 60_000 > end_ms) {
            break;
        }
    }
    // Gives the tasks of settled jobs time to stop.
    for _ in 0..240 {
        world.step();
    }
    world.check_end();
    world.violations.dedup();
    world.has_triggered().then_some(world.violations)
}

/// One cell of the matrix and its result.
struct CellRun {
    step: Step,
    faults: Vec<Fault>,
    /// The violations, or `None` if the step was not reached.
    violations: Option<Vec<String>>,
}

/// Prints the failed cells and checks that every cell passed.
fn report(name: &str, cells: &[CellRun]) {
    let passed = cells
        .iter()
        .filter(|cell| cell.violations.as_ref().is_some_and(Vec::is_empty))
        .count();
    let not_reached = cells
        .iter()
        .filter(|cell| cell.violations.is_none())
        .count();
    for CellRun {
        step,
        faults,
        violations,
    } in cells
    {
        match violations {
            None => println!("{step:?} with {faults:?}: the step was not reached"),
            Some(violations) if !violations.is_empty() => {
                println!("{step:?} with {faults:?}: {violations:?}");
            }
            Some(_) => {}
        }
    }
    println!(
        "{name}: {} steps, {} faults, {} cells run, {passed} cells hold",
        Step::ALL.len(),
        Fault::ALL.len(),
        cells.len()
    );
    assert_eq!(not_reached, 0, "every step must be reached");
    assert_eq!(passed, cells.len(), "every cell must pass");
}

#[test]
fn every_fault_at_every_step() {
    let mut cells = Vec::new();
    for step in Step::ALL {
        for fault in Fault::ALL {
            cells.push(CellRun {
                step,
                faults: vec![fault],
                violations: run_cell(step, &[fault]),
            });
        }
    }
    report("one fault", &cells);
}

#[test]
fn two_faults_at_once_at_every_step() {
    let mut cells = Vec::new();
    for step in Step::ALL {
        for (index, &first) in Fault::ALL.iter().enumerate() {
            for &second in &Fault::ALL[index + 1..] {
                cells.push(CellRun {
                    step,
                    faults: vec![first, second],
                    violations: run_cell(step, &[first, second]),
                });
            }
        }
    }
    report("two faults", &cells);
}
