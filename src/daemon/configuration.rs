//! Encodes and decodes the stored configuration and puts versions in force.

use super::control::Control;
use super::status::Status;
use crate::config::Configuration;
use crate::owner::Event;
use crate::{
    events,
    ledger, //
};
use bytes::Bytes;
use std::sync::Arc;

/// Key of the configuration in the store.
pub const CONFIGURATION_KEY: &str = "configuration/current";

/// Encodes a configuration for the store.
pub fn encode(configuration: &Configuration) -> Bytes {
    ledger::seal(&serde_json::to_vec(configuration).unwrap_or_default())
}

/// Decodes a stored configuration; returns `None` if the value is damaged.
pub fn decode(value: &Bytes) -> Option<Configuration> {
    let content = ledger::open(value.clone()).ok()?;
    serde_json::from_slice(&content).ok()
}

/// Puts a version in force on this daemon and passes it to the control thread, if it
/// is newer than the version in force.
pub async fn put_in_force(status: &Status, control: &Control, configuration: Configuration) {
    let configuration = Arc::new(configuration);
    if status.put_in_force(configuration.clone()) {
        events::log(
            events::CONFIGURATION_IN_FORCE,
            format_args!("version {}", configuration.version),
        );
        control
            .send_event(Event::Configuration(configuration))
            .await;
    }
}
