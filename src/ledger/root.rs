//! The root value of a ledger: who owns it, its pages and the latest changes.

use super::{
    Change,
    EnvelopeError,
    PageRecord,
    envelope, //
};
use bytes::Bytes;
use prost::Message;

/// Where a page is stored. Each page has two slots, so that the one which the
/// root names is never overwritten before the root names the other.
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

/// The root.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RootRecord {
    /// Epoch of the owner that wrote it.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Name of the write; tells after a lost answer whose write took effect.
    #[prost(uint64, tag = "2")]
    pub write_id: u64,
    /// Commits so far.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Configuration version with which the owner decided.
    #[prost(uint64, tag = "4")]
    pub configuration_version: u64,
    /// The daemon that wrote it.
    #[prost(string, tag = "5")]
    pub owner: String,
    /// The pages.
    #[prost(message, repeated, tag = "6")]
    pub pages: Vec<PageRef>,
    /// Changes since the pages were folded.
    #[prost(message, repeated, tag = "7")]
    pub tail: Vec<Change>,
}

/// Key of a cell's root.
pub fn root_key(data_centre: &str) -> String {
    format!("cell/{data_centre}/root")
}

/// Key of a cell's owner lease.
pub fn lease_key(data_centre: &str) -> String {
    format!("cell/{data_centre}/owner")
}

/// Key of a page's slot.
pub fn page_key(data_centre: &str, number: u32, slot: u32) -> String {
    format!("cell/{data_centre}/page/{number}/{slot}")
}

/// Encodes a root or a page.
pub fn encode(record: &impl Message) -> Bytes {
    envelope::seal(&record.encode_to_vec())
}

/// Decodes a root.
///
/// # Errors
///
/// The value is torn, damaged, oversized or of an unknown version.
pub fn decode_root(value: Bytes) -> Result<RootRecord, EnvelopeError> {
    RootRecord::decode(envelope::open(value)?).map_err(|_| EnvelopeError::Content)
}

/// Decodes a page and checks it against the root's reference.
///
/// # Errors
///
/// The value is torn, damaged, oversized, of an unknown version, or not the
/// one that the root names.
pub fn decode_page(value: Bytes, reference: &PageRef) -> Result<PageRecord, EnvelopeError> {
    if crc32fast::hash(&value) != reference.checksum {
        return Err(EnvelopeError::Checksum);
    }
    PageRecord::decode(envelope::open(value)?).map_err(|_| EnvelopeError::Content)
}
