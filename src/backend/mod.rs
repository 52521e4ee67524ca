//! The services of the platform (key-value store, VM list and workers) as call and
//! answer types that do no I/O.
//!
//! The adapter that sends these calls over HTTP is in `http.rs`. The protocol of
//! another platform would be another adapter file.

mod http;
mod membership;
mod store;
mod task_body;
mod worker;

pub use http::{
    HttpBackend,
    PollAnswerBody,
    VERSION_HEADER,
    WorkerQuery, //
};
pub use membership::{
    ListAnswer,
    ListScope,
    Membership,
    VmKind,
    VmRecord, //
};
pub use store::{
    Store,
    StoreAnswer,
    StoreCall,
    StoreFailure, //
};
pub use task_body::{
    TaskBody,
    TaskCode,
    TasksBody, //
};
pub use worker::{
    PollAnswer,
    TaskChange,
    TaskState,
    WorkerAnswer,
    WorkerCall,
    WorkerFailure,
    WorkerRefusal,
    Workers, //
};
