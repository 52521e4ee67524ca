//! Whether the owner has memory for a job.

use fuchsiaslip::cluster::JobRoom;
use fuchsiaslip::scheduler::{
    JobBytes,
    JobRecord,
    JobSpec,
    StepSpec, //
};

const KB: u64 = 1 << 10;
const MACHINE_BYTES: u64 = 4_000 * KB;

/// Guards against an owner that is given jobs until its memory is exhausted.
#[test]
fn jobs_are_admitted_until_the_owner_has_no_memory_left() {
    let mut room = JobRoom::of_machine(MACHINE_BYTES);

    let admitted = (0..100).filter(|_| room.admit(50 * KB)).count();

    assert_eq!(admitted, 20);
}

/// Guards against large jobs that leave ordinary ones no memory.
#[test]
fn an_ordinary_job_is_admitted_beside_large_ones() {
    let mut room = JobRoom::of_machine(MACHINE_BYTES);

    let large = (0..100).filter(|_| room.admit(100 * KB)).count();

    assert_eq!(large, 5);
    assert!(room.admit(KB));
}

/// Guards against jobs that neither the owner nor this daemon counts, because the owner had not
/// heard of them when it told.
#[test]
fn what_was_just_accepted_counts_until_the_owner_has_told_twice() {
    let mut room = JobRoom::of_machine(MACHINE_BYTES);
    let limit_bytes = room.limit_bytes();
    assert!((0..20).all(|_| room.admit(50 * KB)));

    room.update(limit_bytes, 0);
    let after_first = room.admit(50 * KB);
    room.update(limit_bytes, 0);
    let after_second = room.admit(50 * KB);

    assert!(!after_first);
    assert!(after_second);
}

/// Guards against jobs whose few bytes name very many tasks.
#[test]
fn the_tasks_of_a_job_count_towards_its_memory() {
    let job = |count| JobRecord {
        queue: String::new(),
        account: String::new(),
        received_ms: 0,
        accepted_under: None,
        spec: JobSpec {
            steps: vec![StepSpec {
                count,
                ..StepSpec::default()
            }],
            ..JobSpec::default()
        },
    };

    let needed = |count| JobBytes::of(&job(count)).needed();
    let (one, many) = (needed(1), needed(100_000));

    assert!(one < 4 * KB, "{one}");
    assert!(many > 1_000 * KB, "{many}");
}
