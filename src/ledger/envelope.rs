//! The envelope of all values that a ledger stores: magic number, format version
//! and checksum.

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};

const MAGIC: &[u8; 4] = b"FSLP";
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 4 + 1 + 4;
/// Maximum size of a value in the platform's key-value service.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Why a stored value cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EnvelopeError {
    /// The value is truncated or is not a ledger value.
    #[error("the value is torn or not a ledger value; restore it from the previous page slot")]
    Torn,
    /// The format version is unknown; a newer daemon wrote the value.
    #[error("the value has format {found}, this program reads {VERSION}; use a newer program")]
    UnknownVersion {
        /// The version that was found.
        found: u8,
    },
    /// The content does not match its checksum.
    #[error("the value does not match its checksum; inspect it with `fuchsiaslip ledger dump`")]
    Checksum,
    /// The value exceeds [`MAX_VALUE_BYTES`].
    #[error("the value has {size_bytes} bytes, above the limit of {MAX_VALUE_BYTES}")]
    Oversized {
        /// Size of the value.
        size_bytes: usize,
    },
    /// The content cannot be decoded as a record.
    #[error("the content does not decode; inspect it with `fuchsiaslip ledger dump`")]
    Content,
}

/// Wraps `content` in an envelope.
pub fn seal(content: &[u8]) -> Bytes {
    let mut value = BytesMut::with_capacity(HEADER_BYTES + content.len());
    value.put_slice(MAGIC);
    value.put_u8(VERSION);
    value.put_u32(crc32fast::hash(content));
    value.put_slice(content);
    value.freeze()
}

/// Checks the envelope of a stored value and returns its content.
///
/// # Errors
///
/// Fails if the value is truncated, damaged, oversized or of an unknown version.
pub fn open(mut value: Bytes) -> Result<Bytes, EnvelopeError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(EnvelopeError::Oversized {
            size_bytes: value.len(),
        });
    }
    if value.len() < HEADER_BYTES || &value[..MAGIC.len()] != MAGIC {
        return Err(EnvelopeError::Torn);
    }
    value.advance(MAGIC.len());
    let found = value.get_u8();
    if found != VERSION {
        return Err(EnvelopeError::UnknownVersion { found });
    }
    let checksum = value.get_u32();
    if crc32fast::hash(&value) != checksum {
        return Err(EnvelopeError::Checksum);
    }
    Ok(value)
}
