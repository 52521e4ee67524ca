//! A real daemon in a fleet of hundreds, whose other daemons are entries of the
//! store and one socket that receives what all of them are sent.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/daemons.rs"]
mod daemons;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/operator.rs"]
mod operator;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/processes.rs"]
mod processes;

use daemons::{
    epoch,
    wait_until_looking, //
};
use operator::Operator;
use processes::{
    Daemon,
    loopback, //
};
use serde_json::json;
use std::net::UdpSocket;
use std::time::{
    Duration,
    Instant, //
};

/// Daemons that the store lists beside the real one.
const OTHERS: usize = 300;
/// An owner of a small fleet that is silent for this long is taken for dead.
const SILENT: Duration = Duration::from_millis(700);
const LOOK: Duration = Duration::from_millis(5);

/// A socket at which all other daemons of a fleet are reached.
fn listed_others(operator: &Operator) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("an address").to_string();
    for at in 0..OTHERS {
        let member = json!({ "address": address });
        operator.world().put(&format!("members/x{at:03}"), &member);
    }
    socket
}

#[test]
fn a_new_owner_of_a_large_fleet_is_heard_at_once() {
    // All 297 daemons of a fleet were killed and came back. The first to own was followed
    // by the next one after 2.4 s, though it worked well, and that one had to ask all
    // workers again: daemons that own nothing send a heartbeat in 3.6 s in a fleet of
    // that size, and a new owner slept to the end of that time before its first one.
    let operator = Operator::spawn(1);
    operator.world().configure(1, &[("q", 1)], 5);
    let socket = listed_others(&operator);
    let _daemon = Daemon::spawn("d0", loopback(218, 0), operator.store);
    wait_until_looking(LOOK, "the daemon owns", || epoch(&operator) > 0);
    let owns_since = Instant::now();

    socket.set_nonblocking(true).expect("a socket");
    let mut datagram = [0; 1_500];
    while socket.recv(&mut datagram).is_ok() {}
    wait_until_looking(LOOK, "a heartbeat", || socket.recv(&mut datagram).is_ok());

    let silent = owns_since.elapsed();
    assert!(silent < SILENT, "the first heartbeat came after {silent:?}");
}
