//! Heartbeats between daemons, and the decision to take over.

use super::election::takeover;
use super::node::{
    KnownOwner,
    Node, //
};
use super::ownership;
use super::peer_frame::{
    Heartbeat,
    PeerBody, //
};
use super::peer_table::Peer;
use crate::scheduler::ClusterConfiguration;
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Time between heartbeats of a small fleet.
const BEAT_MS: u64 = 250;
/// Added for each daemon that is told, so that a large fleet does not spend
/// its small processors on heartbeats; an owner keeps the short time.
const BEAT_PER_PEER_MS: u64 = 12;
/// How often a daemon asks itself whether to take over.
const ELECTION_MS: u64 = 50;
/// Largest datagram that is read.
const MAX_BEAT_BYTES: usize = 1_200;
/// Bound on asking a peer for a newer configuration: half a megabyte over the
/// links of small VMs.
const CONFIGURATION_LIMIT_MS: u64 = 2_500;
/// Wait after a takeover that failed.
const FAILED_TAKEOVER_MS: u64 = 200;

/// Sends heartbeats to all others.
pub async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        let others = node.others();
        let interval_ms = match node.owns() {
            true => BEAT_MS,
            false => BEAT_MS.max(others.len() as u64 * BEAT_PER_PEER_MS),
        };
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
        }
        .encode_to_vec();
        for (_, peer) in &others {
            // A datagram may be lost; the next one follows.
            if let Err(error) = socket.send_to(&heartbeat, peer.address).await {
                log::debug!("a heartbeat was not sent: {error}");
            }
        }
        // Among hundreds of daemons the gap is seconds. A daemon that took over and
        // slept to its end was taken for dead before its first heartbeat, after 2.4 s
        // among 297, though it worked; its successor took over anew.
        tokio::select! {
            _ = node.timer.sleep(interval_ms) => {}
            () = node.until_owning() => {}
        }
    }
}

/// Takes heartbeats in.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_BEAT_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Ok((length, from)) = received else {
            // As when an earlier datagram found no listener.
            node.timer.sleep(1).await;
            continue;
        };
        match Heartbeat::decode(&buffer[..length]) {
            Ok(heartbeat) => take_beat(&node, heartbeat, from),
            Err(_) => metrics::counter!("fuchsiaslip_beats_unread_total").increment(1),
        }
    }
}

fn take_beat(node: &Rc<Node>, heartbeat: Heartbeat, from: SocketAddr) {
    let now_ms = node.now_ms();
    let address = SocketAddr::new(from.ip(), heartbeat.port as u16);
    let peer = Peer {
        address,
        boot: heartbeat.boot,
        heard_ms: now_ms,
        has_store: heartbeat.has_store,
        store_lost_since_ms: (!heartbeat.has_store).then_some(now_ms),
        draining: heartbeat.draining,
        cpu_millis: heartbeat.cpu_millis,
        interval_ms: heartbeat.interval_ms,
        listed: false,
    };
    node.note_peer(&heartbeat.daemon, peer);
    if heartbeat.epoch > 0 {
        node.learn_owner(KnownOwner {
            epoch: heartbeat.epoch,
            name: heartbeat.daemon,
            address,
            boot: heartbeat.boot,
            since_ms: now_ms,
        });
        node.owner_said(heartbeat.epoch);
    }
    if node.lags_behind(heartbeat.configuration_version) {
        actix_rt::spawn(fetch_configuration(node.clone(), address));
    }
}

/// Asks a peer for its newer configuration: a daemon that the store refuses
/// learns of it this way.
async fn fetch_configuration(node: Rc<Node>, address: SocketAddr) {
    let version = node.configuration().version;
    let question = PeerBody::ConfigurationAbove(version);
    let answer = node.peers.ask(address, question, CONFIGURATION_LIMIT_MS);
    if let Some(PeerBody::Configuration(bytes)) = answer.await {
        match serde_json::from_slice::<ClusterConfiguration>(&bytes) {
            Ok(configuration) => node.configure(configuration),
            Err(error) => log::debug!("a peer's configuration does not read: {error}"),
        }
    }
    node.fetched();
}

/// Takes over when that is due.
pub async fn elect(node: Rc<Node>) {
    loop {
        node.timer.sleep(ELECTION_MS).await;
        if node.owns() || node.is_draining() {
            continue;
        }
        let due = takeover(&node.election_view()).filter(|due| node.now_ms() >= due.due_ms);
        if let Some(due) = due
            && let Err(error) = ownership::take_over(&node, due.reason).await
        {
            metrics::counter!("fuchsiaslip_takeovers_failed_total").increment(1);
            log::debug!("the takeover failed: {error}");
            node.timer.sleep(FAILED_TAKEOVER_MS).await;
        }
    }
}
