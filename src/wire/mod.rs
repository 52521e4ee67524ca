//! Protocol between daemons: frames of length-delimited prost messages over TCP.

mod codec;
mod frame;

pub use codec::{
    Framing,
    MAX_FRAME_BYTES,
    WireError, //
};
pub use frame::{
    AccountsBody,
    CancelBody,
    ConfigurationBody,
    EndedBody,
    Frame,
    FrameKind,
    Heartbeat,
    Hello,
    NewsKind,
    RefusedBody,
    ReplyBody,
    ReplyFrame,
    RequestBody,
    RequestFrame,
    RespondedBody,
    SubmitBody,
    WorkerUpdateBody,
    WorkersBody, //
};
