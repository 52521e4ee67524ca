//! Distinguishes an HTTP call that was never sent from one that may have been carried
//! out.

use awc::error::{
    ConnectError,
    SendRequestError, //
};

/// Returns whether no part of a call left this process because no connection was
/// opened.
///
/// The library also reports a connect error, [`ConnectError::Disconnected`], when an
/// open connection is closed before the answer. The call was already sent then: if it
/// counted as refused, a caller would be told that its job never runs although it
/// runs.
pub fn was_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}
