//! Settings of one daemon on an operator's platform.

use super::carrier_plan::VmResources;
use crate::intake::IntakeLimits;
use crate::scheduler::Tuning;
use std::net::{
    IpAddr,
    SocketAddr, //
};

/// The addresses that a daemon listens on and calls, and its bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    /// The daemon's name.
    pub daemon: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its own IP address.
    pub ip: IpAddr,
    /// Where clients reach it.
    pub client_address: SocketAddr,
    /// Where the balancer checks its readiness.
    pub readiness_address: SocketAddr,
    /// Where other daemons reach it, by TCP and UDP.
    pub peer_address: SocketAddr,
    /// Where its metrics are scraped.
    pub metrics_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: String,
    /// The address of the external service that advises on the choice of workers, if
    /// there is one.
    pub advice_address: Option<String>,
    /// The address of the platform's machine list, if there is one.
    pub machines_address: Option<String>,
    /// Millicores of its VM. The daemon with the most is preferred as owner.
    pub cpu_millis: u64,
    /// What its VM has for calls to workers.
    pub resources: VmResources,
    /// Memory of its VM, in bytes.
    pub memory_bytes: u64,
    /// Largest value that the store takes, in bytes.
    pub value_bytes: usize,
    /// What clients can make it hold.
    pub client_limits: IntakeLimits,
    /// Time within which a configuration has to be in force, counted from its storage.
    pub configuration_bound_ms: u64,
    /// Grace period of a drain, after which the platform kills the process.
    pub grace_ms: u64,
    /// Parameters of the scheduler.
    pub tuning: Tuning,
}
