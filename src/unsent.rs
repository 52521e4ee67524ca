//! Telling a call that was never sent from one that may have been carried out.

use awc::error::{
    ConnectError,
    SendRequestError, //
};

/// Whether nothing of a call left this process: no connection was opened. The
/// library also calls it a failed connect when an open connection is closed
/// before the answer; by then the call was sent, and taking it for refused
/// told a caller that its job never runs while it ran.
pub fn was_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}
