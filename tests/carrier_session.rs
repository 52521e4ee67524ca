//! What an owner and a carrier remember of one connection.

use fuchsiaslip::cluster::{
    AddressedCall,
    CarrierSession,
    OwnerSession,
    SessionError,
    StartOrder,
    WorkerAnswer,
    WorkerCall, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    CallOutcome,
    EndKind,
    EndedRow,
    GroupKey,
    PollReport,
    RunName,
    RunningRow,
    StartRefusal, //
};
use proptest::prelude::*;
use prost::Message;

fn run(job: u64, index: u32, run: u64) -> RunName {
    let group = GroupKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    };
    RunName {
        task: group.task(index),
        run,
    }
}

fn call_to(worker: &str, call: WorkerCall) -> AddressedCall {
    AddressedCall {
        epoch: 3,
        address: "10.0.0.1:80".into(),
        worker_name: worker.into(),
        call,
    }
}

fn start(job: u64, payload: &str) -> WorkerCall {
    WorkerCall::Start(StartOrder {
        name: run(job, 0, 1),
        payload: payload.into(),
        lease_end_ms: 9,
        checkpoint: None,
        ticket: Some("t".into()),
    })
}

fn row(index: u32, percent: u32) -> RunningRow {
    RunningRow {
        name: run(1, index, 1),
        checkpoint: format!("c{percent}").as_str().into(),
        percent,
        usage: None,
    }
}

fn end(number: u64, index: u32) -> EndedRow {
    EndedRow {
        number,
        name: run(2, index, 1),
        kind: EndKind::Done,
        checkpoint: "".into(),
    }
}

fn report(running: Vec<RunningRow>, ended: Vec<EndedRow>) -> PollReport {
    PollReport {
        clock_ms: 5,
        incarnation_start_ms: Some(1),
        running,
        ended,
    }
}

/// Carries an answer over the connection, and returns what arrives and its length in bytes.
fn carry(
    carrier: &mut CarrierSession,
    owner: &mut OwnerSession,
    worker: u32,
    answer: WorkerAnswer,
) -> (WorkerAnswer, usize) {
    let message = carrier.encode(worker, answer);
    let bytes = message.encoded_len();
    (owner.decode(message).expect("a valid answer"), bytes)
}

#[test]
fn the_payload_and_the_address_cross_a_connection_once() {
    let (mut owner, mut carrier) = (OwnerSession::default(), CarrierSession::default());
    let payload = "x".repeat(4_000);
    let call = call_to("w1", start(1, &payload));

    let first = owner.encode(&call);
    let second = owner.encode(&call);

    assert!(first.encoded_len() > 4_000);
    assert!(second.encoded_len() < 60, "{} bytes", second.encoded_len());
    assert_eq!(carrier.decode(first), Ok((0, call.clone())));
    assert_eq!(carrier.decode(second), Ok((0, call)));
}

/// Guards against a task that gets another job's payload after the payload was forgotten.
#[test]
fn a_forgotten_payload_is_sent_again() {
    let (mut owner, mut carrier) = (OwnerSession::default(), CarrierSession::default());

    for round in 0..3 {
        for job in 0..300 {
            let call = call_to("w1", start(job, &format!("payload {job} {round}")));
            let message = owner.encode(&call);
            assert_eq!(carrier.decode(message), Ok((0, call)));
        }
    }
}

/// Guards against a call to the wrong worker after a connection was replaced on one side.
#[test]
fn a_call_that_refers_to_an_earlier_connection_is_not_decoded() {
    let (mut owner, mut carrier) = (OwnerSession::default(), CarrierSession::default());
    let call = call_to("w1", start(1, "p"));
    owner.encode(&call);

    let message = owner.encode(&call);

    let decoded = carrier.decode(message);
    assert_eq!(decoded, Err(SessionError::Unknown("a worker")));
}

#[test]
fn a_report_that_has_not_changed_takes_a_few_bytes() {
    let (mut owner, mut carrier) = (OwnerSession::default(), CarrierSession::default());
    let same = report((0..8).map(|at| row(at, 40)).collect(), vec![end(1, 0)]);
    let answer = WorkerAnswer::Report(same);

    let (_, first) = carry(&mut carrier, &mut owner, 0, answer.clone());
    let (second, bytes) = carry(&mut carrier, &mut owner, 0, answer.clone());

    assert_eq!(second, answer);
    assert!(first > 200 && bytes < 20, "{first} and {bytes} bytes");
}

/// Guards against ends that are taken for known ones: a worker that restarts under its name
/// numbers them from 1 again.
#[test]
fn the_ends_of_another_incarnation_are_not_taken_for_known_ones() {
    let (mut owner, mut carrier) = (OwnerSession::default(), CarrierSession::default());
    let before = WorkerAnswer::Report(report(vec![], vec![end(1, 0), end(2, 1)]));
    let after = WorkerAnswer::Report(report(vec![], vec![end(1, 7)]));

    carry(&mut carrier, &mut owner, 0, before);
    let (received, _) = carry(&mut carrier, &mut owner, 0, after.clone());

    assert_eq!(received, after);
}

#[test]
fn outcomes_arrive_as_they_were() {
    let (mut owner, mut carrier) = (OwnerSession::default(), CarrierSession::default());
    let refusals = [
        StartRefusal::Fenced,
        StartRefusal::OldRun,
        StartRefusal::Late,
        StartRefusal::NoCapacity,
        StartRefusal::NoTicket,
        StartRefusal::Malformed,
        StartRefusal::Unhealthy,
    ];
    let mut outcomes: Vec<CallOutcome> = refusals.map(CallOutcome::Refused).into();
    outcomes.extend([
        CallOutcome::Done,
        CallOutcome::NoAnswer,
        CallOutcome::NotSent,
        CallOutcome::OtherIncarnation,
    ]);

    for outcome in outcomes {
        let answer = WorkerAnswer::Outcome(outcome);
        let (received, _) = carry(&mut carrier, &mut owner, 0, answer.clone());
        assert_eq!(received, answer);
    }
}

fn drawn_reports() -> impl Strategy<Value = Vec<(u32, PollReport)>> {
    let rows = prop::collection::btree_map(0u32..12, 0u32..4, 0..8);
    let ends = (0u64..6, 0u64..6, 0u32..2);
    let drawn = (0u32..3, rows, ends).prop_map(|(worker, rows, (first, count, incarnation))| {
        let rows = rows.into_iter().map(|(index, percent)| row(index, percent));
        let ends = (first + 1..first + 1 + count).map(|number| end(number, incarnation * 100));
        (worker, report(rows.collect(), ends.collect()))
    });
    prop::collection::vec(drawn, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a run that is taken as gone, or an end that is missed, because the two
    /// sides remember different lists.
    #[test]
    fn drawn_reports_arrive_as_they_were(reports in drawn_reports()) {
        let (mut owner, mut carrier) = (OwnerSession::default(), CarrierSession::default());
        for (worker, report) in reports {
            let answer = WorkerAnswer::Report(report);
            let (received, _) = carry(&mut carrier, &mut owner, worker, answer.clone());
            prop_assert_eq!(received, answer);
        }
    }
}
