//! A daemon on an operator's platform: every daemon takes clients' requests,
//! and one of them owns the fleet's scheduling by an epoch in the store.

mod calls;
mod commits;
mod control;
mod daemon;
mod election;
mod emptying;
mod entry;
mod follow;
mod heartbeat;
mod inspect;
mod ledger;
mod log_lines;
mod node;
mod ownership;
mod peer_frame;
mod peer_table;
mod peers;
mod records;
mod services;
mod settings;
mod store_calls;
mod store_health;
mod store_probe;
mod stored_news;
mod submit;
mod unread_jobs;
mod unused;

pub use control::{
    Command,
    Control,
    Output, //
};
pub use daemon::{
    ClusterDaemon,
    Error,
    check,
    run, //
};
pub use election::{
    Candidate,
    ElectionView,
    OwnerSign,
    Takeover,
    takeover, //
};
pub use emptying::EmptyingOrders;
pub use inspect::{
    EmptiedDataCentre,
    FleetReport,
    StoredJob,
    inspect_fleet,
    inspect_job, //
};
pub use records::job_id;
pub use services::{
    Committed,
    MAX_TRANSACTION_ENTRIES,
    Range,
    StoreError,
    StoreEvent,
    StoredItem,
    Transaction,
    Watched, //
};
pub use settings::ClusterSettings;
pub use store_health::{
    CallKey,
    HealthChange,
    StoreHealth, //
};
pub use unused::{
    StoredKind,
    Unused,
    UnusedValues, //
};
