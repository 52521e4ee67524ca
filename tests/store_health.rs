//! How a daemon judges the store's health from the outcomes of its calls.

use fuchsiaslip::cluster::{
    HealthChange,
    StoreHealth, //
};

/// The health after 30 calls, each answered after `answer_ms`, the last one at `at_ms`.
fn health_after_answers(answer_ms: u64, at_ms: u64) -> StoreHealth {
    let mut health = StoreHealth::default();
    for call in 0..30 {
        let now_ms = at_ms - 30 * answer_ms + call * answer_ms;
        let key = health.call_started(now_ms);
        health.call_finished(key);
        health.record_latency(answer_ms);
        health.record_outcome(true, now_ms + answer_ms);
    }
    health
}

/// The store stopped answering without refusing calls. A daemon noticed this only after
/// a call had timed out, more than a second later, so all clients of the first two
/// seconds of an outage waited three seconds for an unknown outcome.
#[test]
fn a_long_unanswered_call_makes_the_store_unavailable() {
    let mut health = health_after_answers(5, 10_000);

    health.call_started(10_100);

    assert!(
        !health.is_unavailable(10_100 + 350),
        "a slow answer may take as long"
    );
    assert!(health.is_overdue(10_100 + 350), "but the store is probed");
    assert!(health.is_unavailable(10_100 + 700));
}

/// A single answer is lost while the store answers other calls.
#[test]
fn one_lost_answer_does_not_make_the_store_unavailable() {
    let mut health = health_after_answers(5, 10_000);

    health.call_started(10_100);
    let other = health.call_started(10_500);
    health.call_finished(other);
    health.record_outcome(true, 10_505);

    assert!(!health.is_unavailable(11_500));
}

#[test]
fn a_slow_store_is_not_unavailable() {
    let mut health = health_after_answers(350, 100_000);

    health.call_started(100_000);

    assert!(!health.is_unavailable(100_000 + 1_000));
    assert!(health.answer_timeout_ms() >= 1_000);
}

/// Clients that retried a second after an outage were still refused: the calls that the
/// daemon had made before the recovery waited for their timeouts, and no other call was
/// made that could have shown the recovery.
#[test]
fn calls_from_before_the_recovery_are_abandoned() {
    let mut health = health_after_answers(5, 10_000);
    health.call_started(10_100);

    let change = health.record_outcome(true, 14_300);

    assert_eq!(change, None, "no call had failed");
    assert!(health.is_lost_in_outage(10_100) && health.is_lost_in_outage(14_100));
    assert!(!health.is_lost_in_outage(14_250), "it may be answered");
    assert!(!health.is_unavailable(14_301));
}

#[test]
fn a_failing_store_is_down_after_a_while_and_recovers_with_its_first_answer() {
    let mut health = health_after_answers(5, 10_000);

    let failing = health.record_outcome(false, 10_100);
    let soon = health.is_down(10_200);
    let later = health.is_down(10_500);
    let recovered = health.record_outcome(true, 12_100);

    assert_eq!(failing, Some(HealthChange::Failing));
    assert!(!soon && later);
    assert_eq!(recovered, Some(HealthChange::Recovered { for_ms: 2_000 }));
    assert!(!health.is_down(12_100));
    assert_eq!(health.recovered_ms(), 12_100);
}

#[test]
fn a_lost_call_to_a_fast_store_is_retried_soon() {
    let health = health_after_answers(5, 10_000);

    let timeout_ms = health.answer_timeout_ms();

    assert!((100..200).contains(&timeout_ms), "{timeout_ms} ms");
}

/// Daemons that were started in an outage of the store had no configuration for a second
/// after the recovery. Their first calls had just timed out, which counted as a failure
/// and not as an outage, so the calls that were retried a tenth of a second before the
/// recovery waited for their own timeouts.
#[test]
fn calls_retried_just_before_the_recovery_are_abandoned() {
    let mut health = StoreHealth::default();
    let first = health.call_started(36_455);
    health.call_finished(first);
    health.record_outcome(false, 37_455);
    health.call_started(37_555);

    let recovered = health.record_outcome(true, 37_662);

    assert_eq!(recovered, Some(HealthChange::Recovered { for_ms: 207 }));
    assert!(health.is_lost_in_outage(37_555));
}

/// A single failed call among answered ones does not show an outage, so calls in flight
/// are not abandoned.
#[test]
fn one_failure_among_answers_abandons_no_other_call() {
    let mut health = health_after_answers(5, 10_000);
    health.call_started(10_000);
    health.record_outcome(false, 10_100);

    health.record_outcome(true, 10_250);

    assert!(!health.is_lost_in_outage(10_000));
}

/// Guards against unknown outcomes: a daemon that had just started took the store for
/// available until its first call had timed out.
#[test]
fn a_daemon_that_was_never_answered_is_in_doubt() {
    let mut health = StoreHealth::default();
    assert!(health.is_in_doubt(None, 10_000));
    assert_eq!(health.contact(10_000).answered_ms, None);

    health.record_outcome(true, 10_005);

    assert!(!health.is_in_doubt(None, 10_005));
    assert_eq!(health.contact(10_005).answered_ms, Some(10_005));
}

/// Guards against unknown outcomes: daemons that make few calls noticed an outage a second
/// after the others.
#[test]
fn a_daemon_is_in_doubt_after_others_lost_the_store_until_it_is_answered() {
    let mut health = health_after_answers(5, 10_000);
    let lost_elsewhere_ms = Some(10_200);
    assert!(!health.is_in_doubt(None, 10_300));
    assert!(health.is_in_doubt(lost_elsewhere_ms, 10_300));

    health.record_outcome(true, 10_310);

    assert!(!health.is_in_doubt(lost_elsewhere_ms, 10_320));
}

#[test]
fn other_daemons_are_told_since_when_an_answer_is_overdue() {
    let mut health = health_after_answers(5, 10_000);
    health.call_started(10_100);

    let early = health.contact(10_200);
    let overdue = health.contact(10_450);

    assert_eq!(early.failing_since_ms, None);
    assert_eq!(overdue.failing_since_ms, Some(10_100));
    assert_eq!(overdue.answered_ms, Some(10_000));
}
