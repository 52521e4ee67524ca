//! Settings of one daemon on an operator's platform.

use crate::scheduler::Tuning;
use std::net::{
    IpAddr,
    SocketAddr, //
};

/// Where a daemon listens, whom it calls, and the bounds it keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    /// The daemon's name.
    pub daemon: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its own address.
    pub ip: IpAddr,
    /// Where clients reach it.
    pub client_address: SocketAddr,
    /// Where the balancer asks whether it takes new connections.
    pub readiness_address: SocketAddr,
    /// Where other daemons reach it, by TCP and UDP.
    pub peer_address: SocketAddr,
    /// Where its metrics are read.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store_address: String,
    /// The policy outside that decides on workers, if there is one.
    pub advice_address: Option<String>,
    /// The platform's machines, if it shows them.
    pub machines_address: Option<String>,
    /// Milli-cores of its VM: the strongest daemons own.
    pub cpu_millis: u64,
    /// A drain that lasts longer than this is cut by the platform.
    pub grace_ms: u64,
    /// Bounds of the scheduler.
    pub tuning: Tuning,
}
