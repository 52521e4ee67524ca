//! The ledger: the durable state of a data centre's decision core, kept in the
//! platform's key-value service.
//!
//! A ledger consists of a small root value, which one compare-and-swap updates
//! for each batch of changes, and of pages with the jobs. Changes are appended
//! to the tail of the root and compacted into pages when the tail grows too
//! large.

mod envelope;
mod job_pages;
mod journal;
mod record;
mod root;

pub use envelope::{
    EnvelopeError,
    MAX_VALUE_BYTES,
    open,
    seal, //
};
pub use job_pages::{
    CompactedPage,
    JobPages,
    PageRecord, //
};
pub use journal::{
    Journal,
    JournalEvent, //
};
pub use record::{
    AdjacencyCode,
    AnswerRecord,
    Change,
    ChangeKind,
    EndedChange,
    JobRecord,
    MemberRecord,
    OutcomeCode,
    RequeuedChange,
    StartingChange,
    Submission, //
};
pub use root::{
    PageRef,
    RootRecord,
    decode_page,
    decode_root,
    encode,
    lease_key,
    page_key,
    root_key, //
};
