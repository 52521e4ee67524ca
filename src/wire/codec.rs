//! Codec that reads and writes frames on a connection and counts their bytes.

use super::Frame;
use bytes::{
    Bytes,
    BytesMut, //
};
use prost::Message;
use tokio_util::codec::{
    Decoder,
    Encoder,
    LengthDelimitedCodec, //
};

/// Length limit of a frame; the codec rejects a longer one before it reads the
/// content.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection failed, or the frame is too long.
    #[error("the connection failed: {0}; a new one will be opened")]
    Io(#[from] std::io::Error),
    /// The frame cannot be decoded.
    #[error("a frame cannot be decoded: {0}; check that all daemons run compatible versions")]
    Decode(#[from] prost::DecodeError),
}

/// The codec of the connections between daemons.
#[derive(Debug)]
pub struct Framing {
    length_codec: LengthDelimitedCodec,
}

impl Default for Framing {
    fn default() -> Self {
        Self {
            length_codec: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
        }
    }
}

impl Encoder<Frame> for Framing {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, output: &mut BytesMut) -> Result<(), WireError> {
        let previous_len = output.len();
        self.length_codec
            .encode(Bytes::from(frame.encode_to_vec()), output)?;
        let sent = (output.len() - previous_len) as u64;
        metrics::counter!("fuchsiaslip_peer_bytes_total", "direction" => "sent").increment(sent);
        Ok(())
    }
}

impl Decoder for Framing {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(content) = self.length_codec.decode(input)? else {
            return Ok(None);
        };
        let received = content.len() as u64;
        metrics::counter!("fuchsiaslip_peer_bytes_total", "direction" => "received")
            .increment(received);
        Ok(Some(Frame::decode(content)?))
    }
}
