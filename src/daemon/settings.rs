//! The daemon's settings, which are read from a TOML file once, at start.

use crate::intake::IntakeLimits;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};

const MAX_LEASE_TTL_MS: u64 = 60_000;
const MIN_LEASE_TTL_MS: u64 = 500;
const SHA256_HEX_LENGTH: usize = 64;

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name in the platform's list of VMs.
    pub daemon: String,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// Address on which it serves callers and operators.
    pub http_address: SocketAddr,
    /// Address on which it serves other daemons.
    pub peer_address: SocketAddr,
    /// Address of the platform's services.
    pub platform_address: SocketAddr,
    /// The secret that all daemons share.
    pub peer_token: String,
    /// SHA-256 of a token that may submit patches while the configuration
    /// names no operator yet.
    #[serde(default)]
    pub bootstrap_operator_sha256: Option<String>,
    /// Threads that serve HTTP.
    #[serde(default = "default_http_threads")]
    pub http_threads: usize,
    /// Whether the daemon learns new configuration versions from the owner instead of
    /// watching the store itself.
    #[serde(default = "default_configuration_relay")]
    pub configuration_relay: bool,
    /// Length of the owner's lease, in ms.
    #[serde(default = "default_lease_ttl_ms")]
    pub lease_ttl_ms: u64,
    /// How long a worker's tasks continue without a renewal of the lease, in ms.
    #[serde(default = "default_worker_lease_ms")]
    pub worker_lease_ms: u64,
    /// How long a worker may delay its answer to a poll, in ms.
    #[serde(default = "default_worker_poll_ms")]
    pub worker_poll_ms: u64,
    /// Maximum age of the last confirmation of the configuration, in ms. With an older
    /// one the daemon starts nothing new.
    #[serde(default = "default_configuration_bound_ms")]
    pub configuration_bound_ms: u64,
    /// Interval at which the platform's list of VMs is read, in ms.
    #[serde(default = "default_list_ms")]
    pub list_ms: u64,
    /// Memory of the VM, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Descriptors that the process may open.
    #[serde(default = "default_descriptors")]
    pub descriptors: u64,
    /// Maximum size of a submission's payload.
    #[serde(default = "default_max_payload_bytes")]
    pub max_payload_bytes: usize,
}

fn default_http_threads() -> usize {
    2
}

fn default_configuration_relay() -> bool {
    true
}

fn default_lease_ttl_ms() -> u64 {
    2_000
}

fn default_worker_lease_ms() -> u64 {
    30_000
}

fn default_worker_poll_ms() -> u64 {
    10_000
}

fn default_configuration_bound_ms() -> u64 {
    6_000
}

fn default_list_ms() -> u64 {
    5_000
}

fn default_memory_mb() -> u64 {
    256
}

fn default_descriptors() -> u64 {
    8_192
}

fn default_max_payload_bytes() -> usize {
    64 << 10
}

/// A problem in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsProblem {
    /// Line in the file, from 1; 0 if the problem has no line.
    pub line: usize,
    /// The field, or the path of a file that cannot be read.
    pub field: String,
    /// What is wrong and what to write instead.
    pub remedy: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.remedy)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every problem that was found, with line, field and remedy.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingsProblem>> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![SettingsProblem {
                line: 0,
                field: PathBuf::from(path).display().to_string(),
                remedy: format!("cannot be read ({error}); name a readable TOML file"),
            }]
        })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every problem that was found, with line, field and remedy.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsProblem>> {
        let settings: Self = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |span| line_at(text, span.start));
            vec![SettingsProblem {
                line,
                field: field_on(text, line),
                remedy: format!(
                    "{}; see docs/OPERATIONS.md for the settings",
                    error.message()
                ),
            }]
        })?;
        let problems = settings.problems(text);
        match problems.is_empty() {
            true => Ok(settings),
            false => Err(problems),
        }
    }

    /// What clients can make the process hold.
    pub fn client_limits(&self) -> IntakeLimits {
        IntakeLimits::of_machine(self.memory_mb << 20, self.descriptors)
    }

    fn problems(&self, text: &str) -> Vec<SettingsProblem> {
        let digest_is_wrong = self
            .bootstrap_operator_sha256
            .as_ref()
            .is_some_and(|digest| digest.len() != SHA256_HEX_LENGTH);
        let checks = [
            (self.daemon.is_empty(), "daemon", "write the VM's name"),
            (
                self.data_centre.is_empty(),
                "data_centre",
                "write the data centre's name",
            ),
            (
                self.data_centre.contains(['.', '/', ' ']),
                "data_centre",
                "write a name without dots, slashes and spaces",
            ),
            (
                self.peer_token.len() < 16,
                "peer_token",
                "write a secret of at least 16 characters",
            ),
            (
                digest_is_wrong,
                "bootstrap_operator_sha256",
                "write 64 hexadecimal digits",
            ),
            (self.http_threads == 0, "http_threads", "write at least 1"),
            (
                !(MIN_LEASE_TTL_MS..=MAX_LEASE_TTL_MS).contains(&self.lease_ttl_ms),
                "lease_ttl_ms",
                "write 500 to 60000",
            ),
            (
                self.worker_poll_ms * 2 > self.worker_lease_ms,
                "worker_poll_ms",
                "write at most half of worker_lease_ms, so that one lost poll ends no task",
            ),
        ];
        checks
            .into_iter()
            .filter(|(is_wrong, _, _)| *is_wrong)
            .map(|(_, field, remedy)| SettingsProblem {
                line: line_of(text, field),
                field: field.to_owned(),
                remedy: remedy.to_owned(),
            })
            .collect()
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

fn line_of(text: &str, field: &str) -> usize {
    let starts = |line: &str| line.trim_start().starts_with(field);
    text.lines().position(starts).map_or(0, |index| index + 1)
}

fn field_on(text: &str, line: usize) -> String {
    let found = line
        .checked_sub(1)
        .and_then(|index| text.lines().nth(index));
    let name = found.and_then(|line| line.split('=').next());
    name.unwrap_or_default().trim().to_owned()
}
