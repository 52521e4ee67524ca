//! Encoding and decoding of frames.

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

/// A longer frame is refused before it is read.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

/// Why a connection's bytes are no frame.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection failed or the frame is too long.
    #[error("the connection failed: {0}; it will be opened again")]
    Io(#[from] std::io::Error),
    /// The frame does not decode.
    #[error("a frame does not decode: {0}; check that all daemons run compatible versions")]
    Decode(#[from] prost::DecodeError),
}

/// The codec of connections between daemons.
#[derive(Debug)]
pub struct Framing {
    lengths: LengthDelimitedCodec,
}

impl Default for Framing {
    fn default() -> Self {
        Self {
            lengths: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
        }
    }
}

impl Encoder<Frame> for Framing {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, into: &mut BytesMut) -> Result<(), WireError> {
        let before = into.len();
        self.lengths
            .encode(Bytes::from(frame.encode_to_vec()), into)?;
        let sent = (into.len() - before) as u64;
        metrics::counter!("fuchsiaslip_peer_bytes_total", "direction" => "sent").increment(sent);
        Ok(())
    }
}

impl Decoder for Framing {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, from: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(content) = self.lengths.decode(from)? else {
            return Ok(None);
        };
        let received = content.len() as u64;
        metrics::counter!("fuchsiaslip_peer_bytes_total", "direction" => "received")
            .increment(received);
        Ok(Some(Frame::decode(content)?))
    }
}
