//! What lasts of a cell, in the platform's key-value service.
//!
//! A ledger is a small root value, changed by one compare-and-swap for each
//! group of changes, and pages into which older changes are folded.

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
    FoldedPage,
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
