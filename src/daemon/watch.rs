//! Learns new versions of the configuration, either through the owner or by watching
//! the store.

use super::configuration::{
    CONFIGURATION_KEY,
    decode,
    put_in_force, //
};
use super::control::Control;
use super::directory::Directory;
use super::peer::Peers;
use super::status::Status;
use crate::backend::{
    Store,
    StoreAnswer,
    StoreCall, //
};
use crate::config::Configuration;
use crate::owner::Event;
use crate::timer::Timer;
use std::sync::Arc;

/// How long the store may delay its answer to a watch.
const WATCH_WAIT_MS: u64 = 2_000;
const RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 4_000;
/// How often a daemon that relies on the owner checks whether it still can.
const RELAY_CHECK_INTERVAL_MS: u64 = 250;
/// A daemon whose last confirmation is older than this watches the store itself instead
/// of relying on the owner.
const RELAY_MAX_AGE_MS: u64 = 3_500;

/// Follows the configuration for one daemon.
pub struct Watch {
    /// The store.
    pub store: Store,
    /// The timer service.
    pub timer: Timer,
    /// State that the daemon's threads share.
    pub status: Arc<Status>,
    /// The daemons and VMs known to this daemon.
    pub directory: Arc<Directory>,
    /// The control thread.
    pub control: Control,
    /// The connections to peers.
    pub peers: Peers,
    /// Whether to rely on the owner's heartbeats while they confirm the configuration.
    pub relay: bool,
}

impl Watch {
    /// Follows the configuration. Does not return.
    pub async fn run(self) {
        let mut failures = 0;
        loop {
            if self.is_relayed() {
                self.timer.sleep(RELAY_CHECK_INTERVAL_MS).await;
                continue;
            }
            match self.watch_once().await {
                true => failures = 0,
                false => {
                    failures += 1;
                    let wait_ms = (RETRY_MS << failures.min(8)).min(MAX_RETRY_MS);
                    self.timer.sleep(wait_ms).await;
                }
            }
        }
    }

    /// Returns whether this daemon can rely on the owner to follow the store.
    fn is_relayed(&self) -> bool {
        let now_ms = self.timer.now_ms();
        self.relay
            && self.status.owner_epoch() == 0
            && self.status.confirmed_ms() + RELAY_MAX_AGE_MS > now_ms
            && self.directory.owner(now_ms).is_some()
    }

    /// Waits for one answer of the store and returns whether it could be used.
    async fn watch_once(&self) -> bool {
        let version = self.status.configuration_version();
        // Before the first version is known there is no change to wait for.
        let wait_ms = match self.status.configuration() {
            Some(_) => WATCH_WAIT_MS,
            None => 0,
        };
        let requested_ms = self.timer.now_ms();
        let answer = self.store.call(StoreCall::Watch {
            key: CONFIGURATION_KEY.to_owned(),
            after_version: version,
            wait_ms,
        });
        let configuration = match answer.await {
            Ok(StoreAnswer::Value { value, .. }) => match decode(&value) {
                Some(configuration) => configuration,
                None => return false,
            },
            Ok(StoreAnswer::Absent) => Configuration::default(),
            _ => return false,
        };
        let newer = configuration.version > version;
        put_in_force(&self.status, &self.control, configuration).await;
        // If there is no newer version, the store delayed its answer by `wait_ms`, so the
        // version in force was the latest until then. A newer version may have been read
        // any time after the request, so it is confirmed only as of the request.
        let confirmed_ms = match newer {
            true => requested_ms,
            false => requested_ms.max(self.timer.now_ms().min(requested_ms + wait_ms)),
        };
        self.status.confirm(confirmed_ms);
        let confirmed = Event::ConfigurationConfirmed {
            requested_ms: confirmed_ms,
        };
        self.control.send_event(confirmed).await;
        if newer {
            self.peers.send_heartbeat(self.timer.now_ms());
        }
        true
    }
}
