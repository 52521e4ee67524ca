//! The root value of a ledger: its owner, its pages and the latest changes.

use super::{
    Change,
    EnvelopeError,
    PageRecord,
    envelope, //
};
use bytes::Bytes;
use prost::Message;

/// Where a page is stored. Each page has two slots that are written in turn, so
/// that the slot to which the root refers is not overwritten before the root
/// refers to the other one.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct PageRef {
    /// Number of the page.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Slot in use, 0 or 1.
    #[prost(uint32, tag = "2")]
    pub slot: u32,
    /// Checksum of the stored value.
    #[prost(fixed32, tag = "3")]
    pub checksum: u32,
}

/// The content of the root value.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RootRecord {
    /// Epoch of the owner that wrote the root.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Id of the write. After a lost answer it shows whose write took effect.
    #[prost(uint64, tag = "2")]
    pub write_id: u64,
    /// Number of commits to the ledger so far.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Version of the configuration with which the owner decided.
    #[prost(uint64, tag = "4")]
    pub configuration_version: u64,
    /// Name of the daemon that wrote the root.
    #[prost(string, tag = "5")]
    pub owner: String,
    /// The pages.
    #[prost(message, repeated, tag = "6")]
    pub pages: Vec<PageRef>,
    /// Changes since the last compaction, in order.
    #[prost(message, repeated, tag = "7")]
    pub tail: Vec<Change>,
}

/// Returns the key of a data centre's root.
pub fn root_key(data_centre: &str) -> String {
    format!("cell/{data_centre}/root")
}

/// Returns the key of a data centre's owner lease.
pub fn lease_key(data_centre: &str) -> String {
    format!("cell/{data_centre}/owner")
}

/// Returns the key of a slot of a page.
pub fn page_key(data_centre: &str, number: u32, slot: u32) -> String {
    format!("cell/{data_centre}/page/{number}/{slot}")
}

/// Encodes a root or a page in an envelope.
pub fn encode(record: &impl Message) -> Bytes {
    envelope::seal(&record.encode_to_vec())
}

/// Decodes a root.
///
/// # Errors
///
/// Fails if the value is truncated, damaged, oversized or of an unknown version.
pub fn decode_root(value: Bytes) -> Result<RootRecord, EnvelopeError> {
    RootRecord::decode(envelope::open(value)?).map_err(|_| EnvelopeError::Content)
}

/// Decodes a page and checks it against the reference in the root.
///
/// # Errors
///
/// Fails if the value is truncated, damaged, oversized, of an unknown version, or
/// not the one to which the root refers.
pub fn decode_page(value: Bytes, reference: &PageRef) -> Result<PageRecord, EnvelopeError> {
    if crc32fast::hash(&value) != reference.checksum {
        return Err(EnvelopeError::Checksum);
    }
    PageRecord::decode(envelope::open(value)?).map_err(|_| EnvelopeError::Content)
}
