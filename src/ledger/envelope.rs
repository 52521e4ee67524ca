//! The envelope of everything that a ledger stores: magic, version, checksum.

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};

const MAGIC: &[u8; 4] = b"FSLP";
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 4 + 1 + 4;
/// The largest value that the platform's service takes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Why a stored value cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EnvelopeError {
    /// The value is cut short or is not a ledger value.
    #[error("the value is torn or not a ledger value; restore it from the previous page slot")]
    Torn,
    /// A newer daemon wrote it.
    #[error("the value has format {found}, this program reads {VERSION}; use a newer program")]
    UnknownVersion {
        /// Format that was found.
        found: u8,
    },
    /// The content does not match its checksum.
    #[error("the value does not match its checksum; inspect it with `fuchsiaslip ledger dump`")]
    Checksum,
    /// The value is larger than the service takes.
    #[error("the value has {size_bytes} bytes, above the limit of {MAX_VALUE_BYTES}")]
    Oversized {
        /// Its size.
        size_bytes: usize,
    },
    /// The content is no valid record.
    #[error("the content does not decode; inspect it with `fuchsiaslip ledger dump`")]
    Content,
}

/// Wraps `content`.
pub fn seal(content: &[u8]) -> Bytes {
    let mut value = BytesMut::with_capacity(HEADER_BYTES + content.len());
    value.put_slice(MAGIC);
    value.put_u8(VERSION);
    value.put_u32(crc32fast::hash(content));
    value.put_slice(content);
    value.freeze()
}

/// Unwraps a value.
///
/// # Errors
///
/// The value is torn, damaged, oversized or of an unknown version.
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
