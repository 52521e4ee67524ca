//! Who gets the places and the bytes of a listener, on the pure table.

use fuchsiaslip::intake::{
    ConnectionKey,
    ConnectionTable,
    Eviction,
    IntakeLimits,
    Phase,
    REQUEST_ALLOWANCE_BYTES, //
};
use proptest::prelude::*;

const KB: usize = 1 << 10;
/// Longer than a request may make no progress.
const STALLED_MS: u64 = 600;
/// Longer than an answered connection may be idle.
const IDLE_MS: u64 = 3_000;

fn table(connections: usize, request_bytes: usize) -> ConnectionTable {
    ConnectionTable::open(IntakeLimits {
        connections,
        request_bytes,
    })
}

/// Accepts a connection whose request has a body that is being read.
fn reading(table: &mut ConnectionTable, now_ms: u64) -> ConnectionKey {
    let key = table.accept(now_ms).expect("a place");
    table
        .record_read(key, 100, now_ms)
        .expect("a head of ordinary size");
    table.begin_request(key, now_ms);
    table.begin_body(key, now_ms);
    key
}

/// Accepts a connection whose whole request is being answered.
fn answering(table: &mut ConnectionTable, now_ms: u64) -> ConnectionKey {
    let key = reading(table, now_ms);
    table.end_body(key, now_ms);
    key
}

fn evicted(table: &mut ConnectionTable) -> Vec<ConnectionKey> {
    let evictions = table.take_evictions();
    evictions.into_iter().map(|(key, _)| key).collect()
}

/// Guards against a crowd that keeps its places although it sends nothing more.
#[test]
fn a_stalled_body_makes_place_before_an_idle_connection_and_a_request_that_is_answered() {
    let mut table = table(3, 0);
    let answered = answering(&mut table, 0);
    let idle = answering(&mut table, 0);
    table.end_request(idle, false, 0);
    let stalled = reading(&mut table, 0);

    assert_eq!(table.accept(STALLED_MS), None);
    table.make_place(STALLED_MS);

    assert_eq!(evicted(&mut table), [stalled]);
    table.end_request(stalled, true, STALLED_MS);
    table.close(stalled);
    assert!(table.accept(STALLED_MS).is_some());
    assert_eq!(table.phase(answered), Some(Phase::Answer));
}

/// Guards against closing more connections than those that wait need.
#[test]
fn no_further_connection_is_closed_while_one_is_about_to_close() {
    let mut table = table(2, 0);
    reading(&mut table, 0);
    reading(&mut table, 0);

    table.make_place(STALLED_MS);
    table.make_place(STALLED_MS);

    assert_eq!(evicted(&mut table).len(), 1);
}

/// Guards against closing clients that are answered, or that used their connection just now.
#[test]
fn a_request_that_is_answered_and_a_connection_just_used_are_not_closed_for_others() {
    let mut table = table(2, 0);
    answering(&mut table, 0);
    let used = answering(&mut table, 0);
    table.end_request(used, false, 0);

    table.make_place(STALLED_MS);
    assert_eq!(evicted(&mut table), []);
    table.make_place(IDLE_MS);
    assert_eq!(evicted(&mut table), [used]);
}

/// Guards against a slow client that is cut although nobody needs what it holds.
#[test]
fn a_body_that_arrives_slowly_is_not_given_up_in_calm() {
    let mut table = table(2, 64 * KB);
    let slow = reading(&mut table, 0);

    for second in 1..=100 {
        table
            .record_read(slow, 1, second * 1_000)
            .expect("a byte of a body");
        table.sweep(second * 1_000);
    }

    assert_eq!(evicted(&mut table), []);
}

/// Guards against a body that is held for ever by a client that does not send its end.
#[test]
fn a_body_that_pauses_for_too_long_is_given_up_in_calm() {
    let mut table = table(2, 64 * KB);
    let paused = reading(&mut table, 0);

    table.sweep(29_000);
    assert_eq!(table.take_evictions(), []);
    table.sweep(31_000);

    assert_eq!(table.take_evictions(), [(paused, Eviction::Paused)]);
}

/// Guards against large bodies that leave ordinary requests no memory or no places.
#[test]
fn a_request_of_ordinary_size_is_held_whatever_large_ones_hold() {
    let mut table = table(4, 100 * KB);
    let large = reading(&mut table, 0);
    let second = reading(&mut table, 0);
    let third = reading(&mut table, 0);
    let ordinary = reading(&mut table, 0);

    assert!(
        table
            .hold(large, 100 * KB + REQUEST_ALLOWANCE_BYTES - 100, 0)
            .is_ok()
    );
    assert!(table.hold(second, 20 * KB, 0).is_err());
    assert!(table.hold(ordinary, KB, 0).is_ok());

    assert!(table.hold(large, 50 * KB, 0).is_ok());
    assert!(table.hold(second, 20 * KB, 0).is_ok());
    assert!(table.hold(third, 20 * KB, 0).is_err(), "half of the places");
}

/// Guards against memory that a stalled body keeps from a body that arrives.
#[test]
fn a_stalled_body_gives_its_bytes_to_one_that_arrives() {
    let mut table = table(4, 100 * KB);
    let stalled = reading(&mut table, 0);
    table.hold(stalled, 90 * KB, 0).expect("it fits");
    let arriving = reading(&mut table, STALLED_MS);

    let held = table.hold(arriving, 90 * KB, STALLED_MS);

    assert!(held.is_ok());
    assert_eq!(evicted(&mut table), [stalled]);
    assert!(table.hold(stalled, 10 * KB, STALLED_MS).is_err());
}

/// Guards against heads and pipelined requests that grow without a bound.
#[test]
fn a_head_beyond_the_bytes_that_are_left_is_refused() {
    let mut table = table(4, 10 * KB);
    let key = table.accept(0).expect("a place");

    let reads: Vec<bool> = (0..4)
        .map(|_| table.record_read(key, 8 * KB, 0).is_ok())
        .collect();

    assert_eq!(reads, [true, true, false, false]);
}

/// Guards against a connection that is charged for requests that were answered long ago.
#[test]
fn requests_that_were_answered_are_not_charged() {
    let mut table = table(4, 10 * KB);
    let key = table.accept(0).expect("a place");

    for _ in 0..100 {
        assert!(table.record_read(key, KB, 0).is_ok());
        table.begin_request(key, 0);
        table.end_request(key, false, 0);
        table.record_all_read(key);
    }

    assert_eq!(table.charged_bytes(), 0);
}

#[test]
fn the_bounds_follow_from_the_machine() {
    let smallest = IntakeLimits::of_machine(160 << 20, 4_100);
    let large = IntakeLimits::of_machine(1_024 << 20, 16_384);
    let tiny = IntakeLimits::of_machine(1 << 20, 10);

    assert_eq!(
        (smallest.connections, smallest.request_bytes),
        (640, 40 << 20)
    );
    assert_eq!((large.connections, large.request_bytes), (4_046, 256 << 20));
    assert_eq!((tiny.connections, tiny.request_bytes), (16, 1 << 18));
}

#[derive(Clone, Debug)]
enum Step {
    Accept,
    Read(usize),
    Begin,
    Body,
    Hold(usize),
    EndBody,
    End(bool),
    Close,
    MakePlace,
    Sweep,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<(Step, usize)>> {
    let step = prop_oneof![
        3 => Just(Step::Accept),
        3 => (1..20_000_usize).prop_map(Step::Read),
        2 => Just(Step::Begin),
        2 => Just(Step::Body),
        4 => (1..300_000_usize).prop_map(Step::Hold),
        1 => Just(Step::EndBody),
        2 => any::<bool>().prop_map(Step::End),
        1 => Just(Step::Close),
        2 => Just(Step::MakePlace),
        1 => Just(Step::Sweep),
        2 => (1..2_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec((step, 0..16_usize), 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against places and bytes that are lost in some order of events.
    #[test]
    fn bounds_hold_and_all_is_given_back_in_any_order_of_events(steps in steps()) {
        let (places, bytes) = (8, 400 * KB);
        let mut table = table(places, bytes);
        let mut open: Vec<ConnectionKey> = Vec::new();
        let mut now_ms = 0;

        for (step, at) in steps {
            let key = open.get(at % open.len().max(1)).copied();
            match (step, key) {
                (Step::Accept, _) => open.extend(table.accept(now_ms)),
                (Step::Wait(ms), _) => now_ms += ms,
                (Step::MakePlace, _) => table.make_place(now_ms),
                (Step::Sweep, _) => table.sweep(now_ms),
                (Step::Read(bytes), Some(key)) => drop(table.record_read(key, bytes, now_ms)),
                (Step::Begin, Some(key)) => table.begin_request(key, now_ms),
                (Step::Body, Some(key)) => table.begin_body(key, now_ms),
                (Step::Hold(bytes), Some(key)) => drop(table.hold(key, bytes, now_ms)),
                (Step::EndBody, Some(key)) => table.end_body(key, now_ms),
                (Step::End(unread), Some(key)) => table.end_request(key, unread, now_ms),
                (Step::Close, Some(key)) => {
                    table.close(key);
                    open.retain(|&other| other != key);
                }
                (_, None) => {}
            }
            table.take_evictions();
            prop_assert!(table.len() <= places);
            prop_assert!(table.charged_bytes() <= bytes);
        }
        for key in open {
            table.close(key);
        }
        prop_assert!(table.is_empty());
        prop_assert_eq!(table.charged_bytes(), 0);
    }
}
