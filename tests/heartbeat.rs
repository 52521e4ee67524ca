//! How often heartbeats are sent ahead of time.

use fuchsiaslip::cluster::requested_delay_ms;

/// The interval of a daemon that does not own, among 587.
const LONG_INTERVAL_MS: u64 = 7_032;
/// The interval of an owner.
const OWNER_INTERVAL_MS: u64 = 250;
/// 20 Mbit/s.
const SMALL_LINK: u64 = 2_500_000;
/// A full heartbeat to each of 586 daemons.
const LARGE_ROUND: u64 = 586 * 1_100;

#[test]
fn in_a_small_fleet_news_are_sent_almost_at_once() {
    assert_eq!(requested_delay_ms(8 * 128, SMALL_LINK, 250), 10);
    assert_eq!(requested_delay_ms(0, 0, 250), 10);
}

/// Guards against heartbeats that fill the link of a small VM and keep themselves waiting: each
/// crash of a worker was a reason for a round to hundreds of daemons, 10 ms after the one before.
#[test]
fn heartbeats_ahead_of_time_take_a_quarter_of_the_link() {
    let delay_ms = requested_delay_ms(LARGE_ROUND, SMALL_LINK, LONG_INTERVAL_MS);

    let bytes_per_s = LARGE_ROUND * 1_000 / delay_ms;
    assert!(bytes_per_s <= SMALL_LINK / 4 + SMALL_LINK / 1_000);
}

/// Guards against news that delay the regular heartbeats.
#[test]
fn a_requested_heartbeat_is_never_later_than_a_regular_one() {
    let delay_ms = requested_delay_ms(LARGE_ROUND, SMALL_LINK, OWNER_INTERVAL_MS);

    assert_eq!(delay_ms, OWNER_INTERVAL_MS);
}
