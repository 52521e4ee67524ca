//! Decodes the entries under which workers register themselves in the store.
//!
//! Other writers may write under the same prefix, so an entry is valid only if it has the
//! form in which workers write entries:
//!
//! - The worker's name, which is the key after
//!   [`WORKERS_PREFIX`](super::WORKERS_PREFIX), consists of letters, digits and `-_.:~@`,
//!   because it is sent as a header and is part of the cluster's own keys.
//! - The value is one JSON object in UTF-8 of at most [`MAX_ENTRY_BYTES`], nested at
//!   most [`MAX_DEPTH`] levels deep.
//! - Required fields: the strings `service`, `zone` and `state`, the last one `ready` or
//!   `draining`; `address`, an IP address and a port that can be called; `capacity` with
//!   `cpu` and `mem_mb`; `labels`, at least one string.
//! - Optional fields: `gpu` (0 by default), `remaining_ms` and `born` (unknown by
//!   default), and the unused `version`, `slots`, `cold_remaining_ms` and `sequence`.
//!   If present, they must have the right type too.
//! - No such field occurs twice. Unknown fields are ignored, since a newer version of the
//!   platform may write more.
//!
//! A service that no queue uses is valid. So is an address that another entry has too: the
//! entry of a crashed incarnation stays beside that of its successor for seconds. Orders
//! name the incarnation that they are for, so no other one carries them out.

use crate::scheduler::{
    Resources,
    WorkerInfo, //
};
use serde::de::value::MapAccessDeserializer;
use serde::de::{
    DeserializeOwned,
    MapAccess,
    Visitor, //
};
use serde::{
    Deserialize,
    Deserializer, //
};
use serde_json::error::Category;
use std::fmt;
use std::marker::PhantomData;
use std::net::{
    IpAddr,
    SocketAddr, //
};

/// Largest entry that is decoded, a hundred times what a worker writes.
pub const MAX_ENTRY_BYTES: usize = 64 << 10;
/// Deepest nesting that is accepted; workers nest two levels.
const MAX_DEPTH: usize = 16;
/// Longest worker name: it has to fit into a key of 200 bytes after any prefix that the
/// cluster uses.
const MAX_NAME_BYTES: usize = 192;
/// Longest string in an entry; names of services have some ten bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Most labels; workers have two.
const MAX_LABELS: usize = 64;
/// Largest CPU capacity, ten thousand cores, in thousandths of a core.
const MAX_CPU_MILLIS: u32 = 10_000_000;
/// Largest memory, 128 TiB.
const MAX_MEMORY_MB: u32 = 1 << 27;
/// Most accelerators of one worker.
const MAX_ACCELERATORS: u32 = 10_000;
/// Largest value of the other numbers; not all larger integers can be represented exactly
/// as `f64`.
const MAX_NUMBER: f64 = (1u64 << 53) as f64;

/// Why an entry is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WorkerEntryError {
    /// Its key is not a worker's name.
    #[error("the key is not a worker's name; use letters, digits and -_.:~@")]
    Name,
    /// It is too long.
    #[error("the entry has {bytes} bytes; write at most {MAX_ENTRY_BYTES}")]
    TooLarge {
        /// Its length, or the length of the part that was read.
        bytes: usize,
    },
    /// It is not UTF-8.
    #[error("the entry is not UTF-8; write JSON as workers do")]
    NotText,
    /// It is nested too deep.
    #[error("the entry is nested deeper than {MAX_DEPTH} levels; write JSON as workers do")]
    TooDeep,
    /// It is not JSON.
    #[error("the entry is not JSON ({0}); write JSON as workers do")]
    NotJson(String),
    /// A field is missing, occurs twice or has the wrong type.
    #[error("{0}; write all fields as workers do")]
    Field(String),
    /// The state is unknown.
    #[error("the state is neither ready nor draining")]
    State,
    /// The service is blank, too long or has control characters.
    #[error(
        "the service is blank, too long or has control characters; name one of the configuration"
    )]
    Service,
    /// The data centre is blank, too long or has control characters.
    #[error("the data centre is blank, too long or has control characters")]
    DataCentre,
    /// The address cannot be called.
    #[error("the address cannot be called; write IP:PORT")]
    Address,
    /// There are no or too many labels, or one is blank, too long or has control
    /// characters.
    #[error("the labels are missing or malformed; write the worker's kind and rack")]
    Labels,
    /// A number is out of range.
    #[error("{0} is out of range")]
    Number(&'static str),
}

impl WorkerEntryError {
    /// Returns the name of the reason in logs and counters.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Name => "bad_name",
            Self::TooLarge { .. } => "too_large",
            Self::NotText => "not_utf8",
            Self::TooDeep => "too_deep",
            Self::NotJson(_) => "not_json",
            Self::Field(_) => "bad_field",
            Self::State => "bad_state",
            Self::Service => "bad_service",
            Self::DataCentre => "bad_data_centre",
            Self::Address => "bad_address",
            Self::Labels => "bad_labels",
            Self::Number(_) => "bad_number",
        }
    }
}

impl From<serde_json::Error> for WorkerEntryError {
    fn from(error: serde_json::Error) -> Self {
        match error.classify() {
            Category::Data => Self::Field(error.to_string()),
            Category::Io | Category::Syntax | Category::Eof => Self::NotJson(error.to_string()),
        }
    }
}

#[derive(Deserialize)]
struct WorkerBody {
    service: String,
    address: String,
    zone: String,
    state: String,
    capacity: Object<CapacityBody>,
    labels: Vec<String>,
    #[serde(default, deserialize_with = "present")]
    remaining_ms: Option<f64>,
    // Decoded only to check its type, like the next three fields.
    #[serde(default, rename = "version")]
    _version: String,
    #[serde(default)]
    slots: f64,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    sequence: f64,
    #[serde(default, deserialize_with = "whole")]
    born: Option<u64>,
}

#[derive(Deserialize)]
struct CapacityBody {
    cpu: u32,
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

/// Decodes an integer that may be left out but must not be null.
fn whole<'de, D: Deserializer<'de>>(field: D) -> Result<Option<u64>, D::Error> {
    u64::deserialize(field).map(Some)
}

/// Decodes a number that may be left out but must not be null.
fn present<'de, D: Deserializer<'de>>(field: D) -> Result<Option<f64>, D::Error> {
    f64::deserialize(field).map(Some)
}

/// A value that is decoded only from a JSON object. Without this, serde also decodes a
/// struct from an array, by the order of its fields.
struct Object<T>(T);

impl<'de, T: DeserializeOwned> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: DeserializeOwned> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<Self::Value, A::Error> {
        T::deserialize(MapAccessDeserializer::new(fields)).map(Object)
    }
}

/// Decodes the entry that a worker registered under its name.
///
/// # Errors
///
/// The entry is invalid.
pub fn decode_worker(worker_name: &str, value: &[u8]) -> Result<WorkerInfo, WorkerEntryError> {
    if !is_worker_name(worker_name) {
        return Err(WorkerEntryError::Name);
    }
    if value.len() > MAX_ENTRY_BYTES {
        return Err(WorkerEntryError::TooLarge { bytes: value.len() });
    }
    let text = std::str::from_utf8(value).map_err(|_| WorkerEntryError::NotText)?;
    if is_nested_deeper(text, MAX_DEPTH) {
        return Err(WorkerEntryError::TooDeep);
    }
    let Object(body): Object<WorkerBody> = serde_json::from_str(text)?;
    body.check()?;
    Ok(WorkerInfo {
        worker_name: worker_name.to_owned(),
        incarnation_start_ms: body.born,
        draining: is_draining(&body.state)?,
        capacity: body.capacity.0.resources()?,
        address: body.address,
        service: body.service,
        data_centre: body.zone,
        labels: body.labels,
        remaining_ms: body.remaining_ms.map(|remaining_ms| remaining_ms as u64),
    })
}

impl WorkerBody {
    fn check(&self) -> Result<(), WorkerEntryError> {
        if !is_valid_text(&self.service) {
            return Err(WorkerEntryError::Service);
        }
        if !is_valid_text(&self.zone) {
            return Err(WorkerEntryError::DataCentre);
        }
        if !is_callable(&self.address) {
            return Err(WorkerEntryError::Address);
        }
        let count = self.labels.len();
        if !(1..=MAX_LABELS).contains(&count)
            || !self.labels.iter().all(|label| is_valid_text(label))
        {
            return Err(WorkerEntryError::Labels);
        }
        let numbers = [
            ("remaining_ms", self.remaining_ms.unwrap_or(0.0)),
            ("slots", self.slots),
            ("cold_remaining_ms", self.cold_remaining_ms),
            ("sequence", self.sequence),
            ("born", self.born.unwrap_or(0) as f64),
        ];
        let out_of_range = numbers
            .iter()
            .find(|(_, number)| !(0.0..=MAX_NUMBER).contains(number));
        out_of_range.map_or(Ok(()), |(field, _)| Err(WorkerEntryError::Number(field)))
    }
}

impl CapacityBody {
    fn resources(&self) -> Result<Resources, WorkerEntryError> {
        if !(1..=MAX_CPU_MILLIS).contains(&self.cpu) {
            return Err(WorkerEntryError::Number("capacity.cpu"));
        }
        if !(1..=MAX_MEMORY_MB).contains(&self.mem_mb) {
            return Err(WorkerEntryError::Number("capacity.mem_mb"));
        }
        if self.gpu > MAX_ACCELERATORS {
            return Err(WorkerEntryError::Number("capacity.gpu"));
        }
        Ok(Resources {
            cpu_millis: self.cpu,
            memory_mb: self.mem_mb,
            accelerators: self.gpu,
        })
    }
}

fn is_draining(state: &str) -> Result<bool, WorkerEntryError> {
    match state {
        "ready" => Ok(false),
        "draining" => Ok(true),
        _ => Err(WorkerEntryError::State),
    }
}

fn is_worker_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:~@".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

/// Returns whether a string can be a name: not blank, not too long, no control characters.
fn is_valid_text(text: &str) -> bool {
    let blank = text.trim().is_empty();
    !blank && text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control)
}

fn is_callable(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    let ip = address.ip();
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

/// Returns whether brackets outside of strings are nested deeper than `depth`. The parser
/// limits the nesting only of fields that it keeps, not of those that it ignores.
fn is_nested_deeper(text: &str, depth: usize) -> bool {
    let (mut open, mut in_text, mut escaped) = (0usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_text => escaped = true,
            b'"' => in_text = !in_text,
            b'{' | b'[' if !in_text => open += 1,
            b'}' | b']' if !in_text => open = open.saturating_sub(1),
            _ => {}
        }
        if open > depth {
            return true;
        }
    }
    false
}
