//! Schedules job graphs on the workers of one fleet.
//!
//! A [`Scheduler`] holds every job, worker and run of the fleet. It takes
//! [`Input`]s and the current time and returns the [`Action`]s to carry out. It is
//! single-threaded, does no I/O and reads no clock, so the daemon, the replay of job
//! loads and the failure tests all run the same code.

mod accounts;
mod acknowledgement;
mod action;
mod authority;
mod closed_workers;
mod configuration;
mod crashes;
mod dispatch;
mod draining;
mod emptying;
mod fleet_speeds;
mod freshness;
mod group;
mod headroom;
mod id;
mod input;
mod job;
mod job_memory;
mod job_progress;
mod learned;
mod learned_restore;
mod membership;
mod occurrence;
mod ordering;
mod placement;
mod poll_report;
mod polling;
mod preemption;
mod queue_terms;
mod recovery;
mod reservation;
mod run_ends;
mod run_time_model;
mod scheduling_pass;
mod spec;
mod stalled_runs;
mod state;
mod throttling;
mod timing;
mod tuning;
mod unreadable;
mod upkeep;
mod urgent_needs;
mod worker;
mod worker_entries;
mod worker_health;
mod worker_restart;
mod worker_speed;

pub use accounts::{
    AccountLoad,
    AccountShares,
    Division,
    ShareChange,
    max_min_share, //
};
pub use acknowledgement::{
    UnacknowledgedEnd,
    WaitsFor, //
};
pub use action::{
    Action,
    Callee,
    Decision,
    JobFailure,
    StopReason, //
};
pub use configuration::{
    AccountDeclaration,
    AdviceTerms,
    ClusterConfiguration,
    Queue,
    QueueTerms,
    RequestLimits,
    VersionedTerms, //
};
pub use crashes::{
    ClosedRuns,
    ConfirmedRun,
    CountedCrash,
    CrashedRun, //
};
pub use emptying::EmptyingOrder;
pub use fleet_speeds::{
    FleetSpeeds,
    GangMember,
    LIKENESSES,
    Likeness,
    SpeedChange,
    WorkerSpeed,
    compare_members,
    spread_of, //
};
pub use group::{
    Group,
    GroupKey,
    Task,
    TaskState, //
};
pub use headroom::{
    Capacity,
    NonUrgentCapacity,
    TaskLimit, //
};
pub use id::{
    MAX_RUN,
    RunName,
    TaskId, //
};
pub use input::{
    CallOutcome,
    EndKind,
    EndedRow,
    Input,
    PollReport,
    RunningRow,
    StartRefusal,
    WorkerInfo, //
};
pub use job::{
    GraphJob,
    JobStatus, //
};
pub use job_memory::{
    JobBytes,
    LARGE_JOB_SHARE, //
};
pub use job_progress::{
    FinalState,
    ProgressRecord, //
};
pub use learned::{
    Learned,
    LearnedAccount,
    LearnedQueue,
    LearnedWorker,
    MAX_LEARNED,
    MAX_LEARNED_AGE_MS, //
};
pub use ordering::{
    JobObjective, //
    OrderingPolicy,
};
pub use placement::{
    CandidateWorker,
    Placement,
    PlacementRequest,
    place, //
};
pub use polling::MIN_RESTART_MS;
pub use run_time_model::RunTimeModel;
pub use spec::{
    JobRecord,
    JobSpec,
    Resources,
    Schedule,
    StepSpec, //
};
pub use state::{
    Scheduler,
    Sizes, //
};
pub use timing::Timing;
pub use tuning::Tuning;
pub use upkeep::{
    MachineInfo,
    MachineState,
    UpkeepOutcome,
    WaveOrder, //
};
pub use urgent_needs::{
    Demand,
    Tolerances, //
};
pub use worker::{
    CloseState,
    Run,
    RunPhase,
    Worker, //
};
pub use worker_entries::AddressConflict;
pub use worker_restart::LateStart;
pub use worker_speed::{
    LogEstimate,
    Progress, //
};
