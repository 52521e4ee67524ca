//! Taking room back for urgent work: what is taken, what is left alone, and what
//! is waited for.

#[path = "support/fleet.rs"]
#[expect(dead_code, reason = "each test program uses a part of the fixture")]
mod fleet;

use fleet::{
    Fleet,
    record,
    step, //
};

/// An account's urgent job began 3.4 s after its acceptance, at its promise's
/// bound. The run in its way was expected to end before a stop would have ended
/// it, and was waited for; it took longer, was expected to end at once in each
/// pass that followed, and was stopped only when others had taken the room.
#[test]
fn guaranteed_work_waits_only_once_for_a_run_that_should_end_soon() {
    let mut fleet = Fleet::with_workers(1);
    fleet.submit(1, record("patient", vec![step(1, 8)]));
    fleet.advance(1_950);
    assert_eq!(fleet.running().len(), 1);

    let accepted_ms = fleet.now_ms;
    let mut job = record("urgent", vec![step(1, 8)]);
    job.received_ms = accepted_ms;
    let urgent = fleet.submit(2, job);
    fleet.advance(1_000);

    let begun = fleet.starts.iter().find(|start| start.0.task.job == urgent);
    let waited_ms = begun.map(|start| start.2 - accepted_ms);
    assert!(
        waited_ms.is_some_and(|ms| ms < 700),
        "began after {waited_ms:?} ms"
    );
}
