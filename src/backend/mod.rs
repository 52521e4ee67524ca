//! What the platform gives, as calls and answers without I/O.
//!
//! The adapters that carry these calls over HTTP are one file each; another
//! platform's protocol is another such file.

mod http;
mod membership;
mod store;
mod task_body;
mod worker;

pub use http::{
    HttpPlatform,
    VERSION_HEADER,
    WorkerAnswerBody,
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
