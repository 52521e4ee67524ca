//! Which crashes daemons remember for the next owner.

use fuchsiaslip::cluster::CountedCrashes;
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    CountedCrash,
    CrashedRun,
    GroupKey,
    RunName, //
};

const NOW_MS: u64 = 100_000;

fn crash_of(job: u64) -> CountedCrash {
    let group = GroupKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    };
    CountedCrash {
        name: RunName {
            task: group.task(3),
            run: 7,
        },
        crash: CrashedRun {
            run: 7,
            at_start: true,
            uncertain: false,
        },
        only_suspect: true,
    }
}

/// Guards against a crash whose only datagram is lost.
#[test]
fn each_crash_is_sent_several_times_in_bounded_portions() {
    let mut crashes = CountedCrashes::default();
    for job in 0..20 {
        crashes.record_own(crash_of(job), NOW_MS);
    }

    let mut sent = Vec::new();
    while crashes.has_unsent() {
        let portion = crashes.take_unsent();
        assert!(!portion.is_empty() && portion.len() <= 8);
        sent.extend(portion);
    }

    for job in 0..20 {
        let count = sent.iter().filter(|&&crash| crash == crash_of(job)).count();
        assert_eq!(count, 3);
    }
}

/// Guards against an owner that sends on what it has heard from another.
#[test]
fn a_crash_of_another_owner_is_remembered_and_not_sent() {
    let mut crashes = CountedCrashes::default();

    assert!(crashes.record(crash_of(1), NOW_MS));
    assert!(!crashes.record(crash_of(1), NOW_MS + 10));

    assert_eq!(crashes.all(), [crash_of(1)]);
    assert!(!crashes.has_unsent());
}

#[test]
fn memory_stays_bounded() {
    let mut crashes = CountedCrashes::default();

    for job in 0..5_000 {
        crashes.record(crash_of(job), NOW_MS + job);
    }

    assert!(crashes.all().len() <= 2_048);
    assert!(crashes.all().contains(&crash_of(4_999)));
}
