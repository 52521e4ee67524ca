//! Exchanges heartbeats with the other daemons, and takes over when that is due.

use super::election::{
    KnownOwner,
    takeover, //
};
use super::node::Node;
use super::ownership;
use super::peer_frame::{
    Heartbeat,
    PeerBody, //
};
use super::peer_table::Peer;
use super::store_health::StoreContact;
use crate::network_bytes::{
    BytePurpose,
    Direction,
    record_bytes, //
};
use crate::scheduler::ClusterConfiguration;
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Time between the heartbeats of an owner, and of every daemon of a small fleet.
const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Time between heartbeats for each receiver, so that a large fleet does not spend
/// its small processors on heartbeats. An owner always uses
/// [`HEARTBEAT_INTERVAL_MS`].
const HEARTBEAT_INTERVAL_PER_PEER_MS: u64 = 12;
/// Shortest delay of a heartbeat that is sent ahead of time, in which further reasons for it may
/// come.
const REQUESTED_DELAY_MS: u64 = 10;
/// Headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Divisor of the capacity of the link: the most that heartbeats ahead of time take of it.
const REQUESTED_LINK_SHARE: u64 = 4;
/// How often a daemon checks whether to take over.
const ELECTION_INTERVAL_MS: u64 = 50;
/// Size of the receive buffer; the rest of a longer datagram is dropped.
const MAX_HEARTBEAT_BYTES: usize = 1_200;
/// Timeout for fetching a configuration from a peer: half a megabyte over the links
/// of small VMs.
const CONFIGURATION_TIMEOUT_MS: u64 = 2_500;
/// Wait after a takeover that failed.
const TAKEOVER_RETRY_MS: u64 = 200;

/// Sends heartbeats to all other daemons.
pub async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        let others = node.others();
        let interval_ms = match node.sends_as_owner() {
            true => HEARTBEAT_INTERVAL_MS,
            false => {
                HEARTBEAT_INTERVAL_MS.max(others.len() as u64 * HEARTBEAT_INTERVAL_PER_PEER_MS)
            }
        };
        let (store, now_ms) = (node.store_contact(), node.now_ms());
        let ago_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let job_room = *node.job_room.borrow();
        let heartbeat = Heartbeat {
            daemon: node.settings.daemon.clone(),
            boot: node.boot,
            port: u32::from(node.settings.peer_address.port()),
            epoch: node.epoch(),
            has_store: node.has_store(),
            draining: node.is_draining(),
            configuration_version: node.configuration().version,
            cpu_millis: node.settings.cpu_millis,
            interval_ms,
            store_answered_ago_ms: store.answered_ms.map(ago_ms),
            store_failing_for_ms: store.failing_since_ms.map(ago_ms),
            unknown_jobs: node.reported_unknown_jobs(),
            crashes: node.take_unsent_crashes(),
            data_centre: node.settings.data_centre.clone(),
            carried_workers: node.settings.resources.carried_workers(),
            keeps_learned: true,
            failed: node.has_failed(),
            job_limit_bytes: node.owns().then_some(job_room.limit_bytes()),
            job_bytes: job_room.used_bytes(),
        }
        .encode_to_vec();
        for (_, peer) in &others {
            // Datagrams may be lost; the next heartbeat makes up for this one.
            record_bytes(BytePurpose::Heartbeat, Direction::Out, heartbeat.len());
            if let Err(error) = socket.send_to(&heartbeat, peer.address).await {
                log::debug!("cannot send a heartbeat: {error}");
            }
        }
        let round_bytes = others.len() as u64 * (heartbeat.len() as u64 + DATAGRAM_HEADER_BYTES);
        let link_bytes_per_s = node.settings.resources.link_bytes_per_s;
        let requested_delay_ms = requested_delay_ms(round_bytes, link_bytes_per_s, interval_ms);
        // In a fleet of hundreds the interval is seconds. A new owner, which would be replaced
        // meanwhile, and a daemon with news that cannot wait therefore request a heartbeat
        // at once.
        tokio::select! {
            _ = node.timer.sleep(interval_ms) => {}
            () = node.until_heartbeat_requested() => {
                node.timer.sleep(requested_delay_ms).await;
            }
        }
    }
}

/// How long after a round of heartbeats the next one is sent if it is requested ahead of time.
///
/// Load pattern: hundreds of workers crash at once, or the outcome of one job after the other
/// becomes unknown, and each is a reason for a heartbeat to hundreds of daemons. Sent every 10 ms,
/// these rounds would fill the link of a small VM, and the heartbeats would keep themselves waiting.
pub fn requested_delay_ms(round_bytes: u64, link_bytes_per_s: u64, interval_ms: u64) -> u64 {
    let share_bytes_per_s = (link_bytes_per_s / REQUESTED_LINK_SHARE).max(1);
    let paced_ms = round_bytes.saturating_mul(1_000) / share_bytes_per_s;
    paced_ms.clamp(REQUESTED_DELAY_MS, interval_ms.max(REQUESTED_DELAY_MS))
}

/// Receives and handles heartbeats.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Ok((length, from)) = received else {
            // For example, an earlier datagram was sent to a port that nobody listens
            // on.
            node.timer.sleep(1).await;
            continue;
        };
        record_bytes(BytePurpose::Heartbeat, Direction::In, length);
        match Heartbeat::decode(&buffer[..length]) {
            Ok(heartbeat) => handle_heartbeat(&node, heartbeat, from),
            Err(_) => metrics::counter!("fuchsiaslip_beats_unread_total").increment(1),
        }
    }
}

fn handle_heartbeat(node: &Rc<Node>, heartbeat: Heartbeat, from: SocketAddr) {
    let now_ms = node.now_ms();
    let address = SocketAddr::new(from.ip(), heartbeat.port as u16);
    let peer = Peer {
        address,
        boot: heartbeat.boot,
        last_heartbeat_ms: now_ms,
        has_store: heartbeat.has_store,
        store: store_contact_of(&heartbeat, now_ms),
        store_lost_since_ms: (!heartbeat.has_store).then_some(now_ms),
        draining: heartbeat.draining,
        failed_since_ms: heartbeat.failed.then_some(now_ms),
        cpu_millis: heartbeat.cpu_millis,
        interval_ms: heartbeat.interval_ms,
        data_centre: heartbeat.data_centre.clone(),
        carried_workers: heartbeat.carried_workers,
        listed: false,
    };
    node.record_peer(&heartbeat.daemon, peer);
    if heartbeat.keeps_learned {
        node.record_learned_receiver(&heartbeat.daemon, heartbeat.boot);
    }
    node.record_unknown_jobs(&heartbeat.unknown_jobs);
    node.record_crashes_of_owner(&heartbeat.crashes);
    if heartbeat.epoch > 0 {
        node.learn_owner(KnownOwner {
            epoch: heartbeat.epoch,
            name: heartbeat.daemon,
            address,
            boot: heartbeat.boot,
            learned_ms: now_ms,
        });
        node.record_owner_claim(heartbeat.epoch);
        if let Some(limit_bytes) = heartbeat.job_limit_bytes {
            let mut job_room = node.job_room.borrow_mut();
            job_room.update(limit_bytes, heartbeat.job_bytes);
        }
    }
    if node.should_fetch_configuration(heartbeat.configuration_version) {
        actix_rt::spawn(fetch_configuration(node.clone(), address));
    }
}

/// What the sender of a heartbeat knows of its access to the store, in the time of this
/// daemon. One of an older version only tells whether it has the store.
fn store_contact_of(heartbeat: &Heartbeat, now_ms: u64) -> StoreContact {
    let at_ms = |ago_ms: u64| now_ms.saturating_sub(ago_ms);
    let answered_ago_ms = match heartbeat.has_store {
        true => Some(heartbeat.store_answered_ago_ms.unwrap_or(0)),
        false => heartbeat.store_answered_ago_ms,
    };
    StoreContact {
        answered_ms: answered_ago_ms.map(at_ms),
        failing_since_ms: heartbeat.store_failing_for_ms.map(at_ms),
    }
}

/// Fetches a newer configuration from a peer: a daemon that cannot reach the store
/// learns of it this way.
async fn fetch_configuration(node: Rc<Node>, address: SocketAddr) {
    let version = node.configuration().version;
    let request = PeerBody::ConfigurationAbove(version);
    let answer = node
        .peers
        .request(address, request, CONFIGURATION_TIMEOUT_MS);
    if let Some(PeerBody::Configuration(bytes)) = answer.await {
        match serde_json::from_slice::<ClusterConfiguration>(&bytes) {
            Ok(configuration) => node.configure(configuration),
            Err(error) => log::debug!("cannot decode a peer's configuration: {error}"),
        }
    }
    node.configuration_fetch_ended();
}

/// Takes over when that is due.
pub async fn elect(node: Rc<Node>) {
    loop {
        node.timer.sleep(ELECTION_INTERVAL_MS).await;
        if node.owns() || node.is_draining() {
            continue;
        }
        let due = takeover(&node.election_view()).filter(|due| node.now_ms() >= due.due_ms);
        if let Some(due) = due
            && let Err(error) = ownership::take_over(&node, due.reason).await
        {
            metrics::counter!("fuchsiaslip_takeovers_failed_total").increment(1);
            log::debug!("the takeover failed: {error}");
            node.timer.sleep(TAKEOVER_RETRY_MS).await;
        }
    }
}
