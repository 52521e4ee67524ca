//! The daemon: entry, candidate owner and worker monitor in one process.

mod answer;
mod auth;
mod configuration;
mod control;
mod directory;
mod entry;
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
