//! What a daemon makes of the way its calls to the store went.

use fuchsiaslip::cluster::{
    HealthChange,
    StoreHealth, //
};

/// A store that answered in so many milliseconds until `at_ms`.
fn answering(answer_ms: u64, at_ms: u64) -> StoreHealth {
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

/// Clients waited three seconds for "nobody knows", those of the outage's first
/// two seconds all of them. The store went silent without a refusal, and a daemon
/// knew of it only when a call's bound of a second and some more had passed.
#[test]
fn an_overdue_call_shows_that_the_store_is_away() {
    let mut health = answering(5, 10_000);

    health.call_started(10_100);

    assert!(
        !health.is_unavailable(10_100 + 350),
        "a slow answer may take as long"
    );
    assert!(
        health.is_overdue(10_100 + 350),
        "but a sign of life is asked for"
    );
    assert!(health.is_unavailable(10_100 + 700));
}

/// A single answer was lost while the store went on answering others.
#[test]
fn one_lost_answer_does_not_show_that_the_store_is_away() {
    let mut health = answering(5, 10_000);

    health.call_started(10_100);
    let other = health.call_started(10_500);
    health.call_finished(other);
    health.record_outcome(true, 10_505);

    assert!(!health.is_unavailable(11_500));
}

#[test]
fn a_store_that_is_slow_for_all_is_not_away() {
    let mut health = answering(350, 100_000);

    health.call_started(100_000);

    assert!(!health.is_unavailable(100_000 + 1_000));
    assert!(health.answer_timeout_ms() >= 1_000);
}

/// Clients that came back a second after an outage were still refused: what the
/// daemon had sent before the store was back hung until its bound, and nothing
/// else was sent that could have shown the return.
#[test]
fn calls_from_before_the_return_are_given_up_when_the_store_is_back() {
    let mut health = answering(5, 10_000);
    health.call_started(10_100);

    let change = health.record_outcome(true, 14_300);

    assert_eq!(change, None, "no call had failed");
    assert!(health.is_lost_in_outage(10_100) && health.is_lost_in_outage(14_100));
    assert!(!health.is_lost_in_outage(14_250), "it may be answered");
    assert!(!health.is_unavailable(14_301));
}

#[test]
fn a_refusing_store_is_lost_after_a_while_and_back_with_its_first_answer() {
    let mut health = answering(5, 10_000);

    let failing = health.record_outcome(false, 10_100);
    let soon = health.is_down(10_200);
    let later = health.is_down(10_500);
    let back = health.record_outcome(true, 12_100);

    assert_eq!(failing, Some(HealthChange::Failing));
    assert!(!soon && later);
    assert_eq!(back, Some(HealthChange::Recovered { for_ms: 2_000 }));
    assert!(!health.is_down(12_100));
    assert_eq!(health.recovered_ms(), 12_100);
}

#[test]
fn a_lost_answer_of_a_quick_store_is_asked_for_again_soon() {
    let health = answering(5, 10_000);

    let patience_ms = health.answer_timeout_ms();

    assert!((100..200).contains(&patience_ms), "{patience_ms} ms");
}

/// Daemons that were started in a silence of the store had no configuration for a
/// second after its return. Their first calls had just reached their bound, which
/// counted as a failure and not as a silence, and what was made anew a tenth of a
/// second before the return waited for its own bound.
#[test]
fn calls_made_anew_just_before_the_return_are_given_up_too() {
    let mut health = StoreHealth::default();
    let first = health.call_started(36_455);
    health.call_finished(first);
    health.record_outcome(false, 37_455);
    health.call_started(37_555);

    let back = health.record_outcome(true, 37_662);

    assert_eq!(back, Some(HealthChange::Recovered { for_ms: 207 }));
    assert!(health.is_lost_in_outage(37_555));
}

/// A call that failed by itself, beside others that were answered, shows no silence:
/// what is under way is waited for.
#[test]
fn one_failure_beside_answers_gives_up_no_other_call() {
    let mut health = answering(5, 10_000);
    health.call_started(10_000);
    health.record_outcome(false, 10_100);

    health.record_outcome(true, 10_250);

    assert!(!health.is_lost_in_outage(10_000));
}
