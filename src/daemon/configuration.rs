//! The configuration as it is stored, and putting a version in force.

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

/// The stored form of a configuration.
pub fn encode(configuration: &Configuration) -> Bytes {
    ledger::seal(&serde_json::to_vec(configuration).unwrap_or_default())
}

/// Reads the stored form.
pub fn decode(value: &Bytes) -> Option<Configuration> {
    let content = ledger::open(value.clone()).ok()?;
    serde_json::from_slice(&content).ok()
}

/// Puts a version in force on this daemon, if it is newer.
pub async fn put_in_force(status: &Status, control: &Control, configuration: Configuration) {
    let configuration = Arc::new(configuration);
    if status.put_in_force(configuration.clone()) {
        events::log(
            events::CONFIGURATION_IN_FORCE,
            format_args!("version {}", configuration.version),
        );
        control.event(Event::Configuration(configuration)).await;
    }
}
