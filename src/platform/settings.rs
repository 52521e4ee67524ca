//! Reads the platform's settings file, which has lines of the form `a.b=value`.

use crate::cluster::{
    ClusterSettings,
    JobRoom,
    VmResources, //
};
use crate::intake::IntakeLimits;
use crate::scheduler::Tuning;
use std::collections::HashMap;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::str::FromStr;

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "FUCHSIASLIP_BOOT";

/// The second port of the internal range serves the metrics; the deployment file has the
/// same number.
const METRICS_PORT_OFFSET: u16 = 1;

/// Added to the time within which two owners must not give orders for the same machine:
/// an order of the earlier owner may still have been in flight.
const HOLDER_MARGIN_MS: u64 = 1_000;

/// The field with the time within which an order to empty a data centre must be in force.
const EMPTYING_BOUND: &str = "bounds.evacuation_ms";
/// The field with the time that, together with one heartbeat interval of a worker, has to
/// pass before a worker's reduced capacity must be respected.
const CONTACT_BOUND: &str = "bounds.contact_ms";
/// Part of a bound that is reserved for the transmission of a start to its worker and for
/// the age of the owner's knowledge of the worker's clock.
const START_MARGIN_MS: u64 = 100;
/// Lower limit of the maximum age of emptying orders. An owner reads them once a second
/// where nothing changes, so with less it would start nothing between two reads.
const MIN_ORDERS_MAX_AGE_MS: u64 = 1_500;
/// Memory of a VM whose settings do not tell it.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;
/// Largest value of a store whose settings do not tell it.
const DEFAULT_VALUE_BYTES: u64 = 1 << 20;
/// Bytes in a megabyte of memory.
const BYTES_PER_MB: f64 = (1 << 20) as f64;
/// Bytes in a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Lower limit of the maximum age of workers' entries. They are known as of the time when
/// the last answered watch was sent, which is at most two watches ago.
const MIN_ENTRIES_MAX_AGE_MS: u64 = 2_000;

/// Returns how old an owner's knowledge may be when it orders a start, so that no start is
/// carried out later than `bound_ms` after a change. A worker still carries a start out
/// until the start window has passed on its clock, which may be slow. The result is at
/// least `min_ms`.
fn max_age_ms(bound_ms: u64, window_ms: u64, min_ms: u64) -> u64 {
    const SLOW_CLOCK_PERMILLE: u64 = 25;
    let late_ms = window_ms + window_ms * SLOW_CLOCK_PERMILLE / 1_000 + START_MARGIN_MS;
    bound_ms.saturating_sub(late_ms).max(min_ms)
}

/// Why a settings file cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {problem}; check {SETTINGS_VARIABLE}")]
    Unreadable {
        /// The file.
        path: String,
        /// The error of the operating system.
        problem: String,
    },
    /// A field is missing.
    #[error("the settings lack {0}; the platform's settings file must contain it")]
    Missing(&'static str),
    /// A field has an invalid value.
    #[error("the settings have {field}={value}; expected {expected}")]
    Malformed {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What a valid value is.
        expected: &'static str,
    },
}

struct Fields(HashMap<String, String>);

impl Fields {
    fn text(&self, field: &'static str) -> Result<&str, SettingsError> {
        let value = self.0.get(field).map(String::as_str);
        value
            .filter(|value| !value.is_empty())
            .ok_or(SettingsError::Missing(field))
    }

    fn parsed<T: FromStr>(
        &self,
        field: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        let value = self.text(field)?;
        value.parse().map_err(|_| SettingsError::Malformed {
            field,
            value: value.to_owned(),
            expected,
        })
    }

    /// Returns the value of a field times `unit`, or `default` if the field is absent.
    fn scaled(&self, field: &'static str, unit: f64, default: u64) -> Result<u64, SettingsError> {
        if !self.0.contains_key(field) {
            return Ok(default);
        }
        let value: f64 = self.parsed(field, "a number of at least 0")?;
        if !(value.is_finite() && value >= 0.0) {
            return Err(SettingsError::Malformed {
                field,
                value: value.to_string(),
                expected: "a number of at least 0",
            });
        }
        Ok((value * unit) as u64)
    }
}

/// Parses the text of the platform's settings file. Unknown fields are ignored, as the
/// platform requires.
///
/// # Errors
///
/// A required field is missing, or a field has an invalid value.
pub fn read_settings(text: &str) -> Result<ClusterSettings, SettingsError> {
    let lines = text.lines().filter_map(|line| line.split_once('='));
    let fields = Fields(
        lines
            .map(|(field, value)| (field.trim().to_owned(), value.trim().to_owned()))
            .collect(),
    );
    let ip: IpAddr = fields.parsed("ip", "an address")?;
    let range = fields.text("internal_port_range")?;
    let first_port = range.split(',').next().unwrap_or_default().trim();
    let bad_ports = |expected| SettingsError::Malformed {
        field: "internal_port_range",
        value: range.to_owned(),
        expected,
    };
    let first_port: u16 = first_port.parse().map_err(|_| bad_ports("two ports"))?;
    let last_port = range.split(',').nth(1).unwrap_or_default().trim();
    let last_port: u16 = last_port.parse().map_err(|_| bad_ports("two ports"))?;
    let metrics_port = first_port.checked_add(METRICS_PORT_OFFSET);
    let metrics_port = metrics_port
        .filter(|&port| port <= last_port)
        .ok_or_else(|| bad_ports("at least two ports, for peers and for metrics"))?;
    let default = Tuning::default();
    let max_lease_ms = fields.scaled("bounds.max_hold_ms", 1.0, default.max_lease_ms)?;
    let shrink_effective_ms = fields.scaled(CONTACT_BOUND, 1.0, 3_000)?
        + fields.scaled("heartbeat_interval_ms", 1.0, 1_500)?;
    let memory_bytes = fields.scaled("limits.memory_mb", BYTES_PER_MB, DEFAULT_MEMORY_BYTES)?;
    let tuning = Tuning {
        job_memory_bytes: JobRoom::of_machine(memory_bytes).limit_bytes(),
        stop_ms: fields.scaled("bounds.stop_timeout_ms", 1.0, default.stop_ms)?,
        reclaim_ms: fields.scaled("bounds.reclaim_ms", 1.0, default.reclaim_ms)?,
        lease_ms: default.lease_ms.min(max_lease_ms),
        max_lease_ms,
        retention_ms: fields.scaled("bounds.status_s", 1_000.0, default.retention_ms)? + 30_000,
        remote_factor: fields.scaled("bounds.remote_factor", 1_000.0, 3_000)? as f64 / 1_000.0,
        restore_ms: fields.scaled("bounds.restore_ms", 1.0, default.restore_ms)?,
        checkpoint_ms: fields.scaled("bounds.checkpoint_s", 1_000.0, default.checkpoint_ms)?,
        upkeep_ms: fields.scaled("bounds.maintenance_s", 1_000.0, default.upkeep_ms)?,
        orders_max_age_ms: match fields.scaled(EMPTYING_BOUND, 1.0, u64::MAX)? {
            // The platform sets no bound.
            u64::MAX => default.orders_max_age_ms,
            bound_ms => max_age_ms(bound_ms, default.start_window_ms, MIN_ORDERS_MAX_AGE_MS),
        },
        entries_max_age_ms: max_age_ms(
            shrink_effective_ms,
            default.start_window_ms,
            MIN_ENTRIES_MAX_AGE_MS,
        ),
        holder_gap_ms: fields.scaled("bounds.lease_ms", 1.0, 3_000)? + HOLDER_MARGIN_MS,
        ..default
    };
    let cpu_millis = fields.scaled("limits.cpu_share", 1_000.0, 1_000)?
        * fields.scaled("limits.cores", 1.0, 1)?.max(1);
    let resources = VmResources {
        link_bytes_per_s: fields.scaled("limits.link_mbps", BYTES_PER_MBIT, u64::MAX)?,
        descriptors: fields.scaled("limits.file_descriptors", 1.0, u64::MAX)?,
        cpu_millis,
    };
    Ok(ClusterSettings {
        daemon: fields.text("node_name")?.to_owned(),
        data_centre: fields.text("zone")?.to_owned(),
        ip,
        client_address: fields.parsed("listen_addresses.frontend", "IP:PORT")?,
        readiness_address: fields.parsed("listen_addresses.readiness", "IP:PORT")?,
        peer_address: SocketAddr::new(ip, first_port),
        metrics_address: SocketAddr::new(ip, metrics_port),
        store_address: fields.text("platform.address")?.to_owned(),
        advice_address: fields.text("recommendation").ok().map(str::to_owned),
        machines_address: fields.text("cloud_api.address").ok().map(str::to_owned),
        cpu_millis,
        resources,
        memory_bytes,
        value_bytes: fields.scaled("platform.value_bytes", 1.0, DEFAULT_VALUE_BYTES)? as usize,
        client_limits: IntakeLimits::of_machine(memory_bytes, resources.descriptors),
        configuration_bound_ms: fields.scaled("bounds.config_apply_ms", 1.0, 2_000)?,
        grace_ms: fields.scaled("bounds.grace_period_s", 1_000.0, 6_000)?,
        tuning,
    })
}
