//! The daemon process: it serves the HTTP API, takes part in the election of the
//! data centre's owner and monitors a share of the workers.
//!
//! The control thread alone accesses the owner's state. The traffic thread exchanges
//! data with the store, the workers and other daemons. The HTTP threads serve callers
//! and operators.

mod answer;
mod auth;
mod configuration;
mod control;
mod directory;
mod entry;
mod http_server;
mod kill;
mod patch;
mod peer;
mod run;
mod settings;
mod status;
mod traffic;
mod watch;
mod worker_monitor;

pub use auth::{
    Caller,
    token_digest, //
};
pub use control::HandleEvent;
pub use directory::home_data_centre;
pub use patch::{
    PatchOutcome,
    check,
    current,
    submit, //
};
pub use run::{
    Daemon,
    Error,
    run, //
};
pub use settings::{
    Settings,
    SettingsProblem, //
};
