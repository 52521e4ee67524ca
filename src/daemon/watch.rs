//! Learning new versions of the configuration.

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

const WATCH_MS: u64 = 2_000;
const RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 4_000;
const RELAY_CHECK_MS: u64 = 250;
/// A relayed confirmation older than this is replaced by a watch of one's own.
const RELAY_BOUND_MS: u64 = 3_500;

/// What the watch needs.
pub struct Watch {
    /// The store.
    pub store: Store,
    /// The timer service.
    pub timer: Timer,
    /// Shared facts.
    pub status: Arc<Status>,
    /// Who lives.
    pub directory: Arc<Directory>,
    /// The control thread.
    pub control: Control,
    /// The peers.
    pub peers: Peers,
    /// Rely on the owner's word while it is fresh.
    pub relay: bool,
}

impl Watch {
    /// Follows the configuration until the process ends.
    pub async fn run(self) {
        let mut failures = 0;
        loop {
            if self.relayed() {
                self.timer.sleep(RELAY_CHECK_MS).await;
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

    /// Whether another daemon, the owner, follows the store for this one.
    fn relayed(&self) -> bool {
        let now_ms = self.timer.now_ms();
        self.relay
            && self.status.owner_epoch() == 0
            && self.status.confirmed_ms() + RELAY_BOUND_MS > now_ms
            && self.directory.owner(now_ms).is_some()
    }

    async fn watch_once(&self) -> bool {
        let version = self.status.configuration_version();
        // Before the first version is known there is nothing to wait for.
        let wait_ms = match self.status.configuration() {
            Some(_) => WATCH_MS,
            None => 0,
        };
        let asked_ms = self.timer.now_ms();
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
        // The service held the answer back until now, so it was current then;
        // an answer that came early is counted from when it was asked for.
        let confirmed_ms = match newer {
            true => asked_ms,
            false => asked_ms.max(self.timer.now_ms().min(asked_ms + wait_ms)),
        };
        self.status.confirm(confirmed_ms);
        let confirmed = Event::ConfigurationConfirmed {
            asked_ms: confirmed_ms,
        };
        self.control.event(confirmed).await;
        if newer {
            self.peers.tell_peers(self.timer.now_ms());
        }
        true
    }
}
