//! Runs the daemons of a cluster on an operator's platform.
//!
//! Every daemon serves clients' requests. One of them, the owner, schedules the fleet's
//! work: a root record in the store names it and its epoch, and each epoch has one
//! owner.

mod actions;
mod cancel;
mod carried_connection;
mod carrier;
mod carrier_frame;
mod carrier_plan;
mod carrier_routes;
mod carrier_session;
mod client_requests;
mod commits;
mod control;
mod counted_crashes;
mod daemon;
mod decision_lines;
mod election;
mod emptying;
mod heartbeat;
mod inspect;
mod invalid_values;
mod job_room;
mod kept_learned;
mod learned_changes;
mod learned_frame;
mod learned_parts;
mod learned_state;
mod log_lines;
mod node;
mod ownership;
mod peer_connections;
mod peer_frame;
mod peer_requests;
mod peer_table;
mod pending_writes;
mod records;
mod set_aside;
mod settings;
mod storage_outcome;
mod store_access;
mod store_calls;
mod store_health;
mod store_probe;
mod store_types;
mod store_watch;
mod stored_inputs;
mod submit;
mod supervision;
mod tombstone_limits;
mod tombstones;
mod unknown_outcomes;
mod unreadable_jobs;
mod worker_call;
mod worker_calls;

pub use carrier_frame::{
    AnswerMessage,
    CallMessage, //
};
pub use carrier_plan::{
    CarrierPlan,
    Member,
    VmResources, //
};
pub use carrier_session::{
    CarrierSession,
    OwnerSession,
    SessionError, //
};
pub use control::{
    Command,
    Control,
    Decide,
    Output,
    Report, //
};
pub use counted_crashes::CountedCrashes;
pub use daemon::{
    ClusterDaemon,
    Error,
    check,
    run, //
};
pub use election::{
    Candidate,
    ElectionView,
    OwnerStatus,
    Takeover,
    is_overtaken,
    successors,
    takeover, //
};
pub use emptying::EmptyingOrders;
pub use heartbeat::requested_delay_ms;
pub use inspect::{
    EmptiedDataCentre,
    FleetReport,
    LearnedReport,
    StoredJob,
    has_tombstone,
    inspect_fleet,
    inspect_job, //
};
pub use invalid_values::{
    InvalidReason,
    InvalidValueReporter, //
    StoredKind,
};
pub use job_room::JobRoom;
pub use kept_learned::{
    KeptLearned,
    LearnedSource,
    RestoredCounts, //
};
pub use learned_changes::Told;
pub use learned_frame::{
    LearnedMessage,
    LearnedStamp,
    QueueMessage,
    WorkerMessage,
    decode_learned_part,
    encode_learned_part,
    learned_part,
    learned_part_key, //
};
pub use learned_parts::{
    LearnedParts,
    PartWrites,
    call_bytes, //
};
pub use learned_state::message_rate;
pub use peer_table::{
    Peer,
    PeerTable,
    StoreLoss, //
};
pub use pending_writes::{
    Batch,
    Changes,
    PendingWrites, //
    RosterChange,
};
pub use records::{
    ClosedRecord,
    RosterRow,
    job_id, //
};
pub use set_aside::release_job;
pub use settings::ClusterSettings;
pub use store_health::{
    CallKey,
    HealthChange,
    StoreContact,
    StoreHealth, //
};
pub use store_types::{
    CommitResult,
    MAX_TRANSACTION_ENTRIES,
    StoreError,
    StoreEvent,
    StoredItem,
    StoredRange,
    Transaction,
    WatchResult, //
};
pub use tombstone_limits::{
    Submitter,
    TombstoneAges,
    TombstoneCounts, //
};
pub use unknown_outcomes::UnknownOutcomes;
pub use worker_call::{
    AddressedCall,
    StartOrder,
    WorkerAnswer,
    WorkerCall, //
};
