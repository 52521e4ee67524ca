//! Types of the store's calls and answers, independent of the platform's protocol.

use bytes::Bytes;

/// Why a call to the store brought nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused the call; nothing was done, try again later")]
    Refused,
    /// It may have been done, or may be done later.
    #[error("the store did not answer; read back before concluding anything")]
    NoAnswer,
}

/// A value in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
}

/// The values under a key prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredRange {
    /// The values.
    pub items: Vec<StoredItem>,
    /// The store's revision before the first of them was read.
    pub revision: u64,
}

/// A change in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreEvent {
    /// A value was written.
    Put(StoredItem),
    /// A value was removed.
    Removed {
        /// Its key.
        key: String,
        /// Revision of its removal.
        revision: u64,
    },
}

/// The result of a watch call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResult {
    /// Changes, perhaps none, and where to go on.
    Changes {
        /// What changed.
        events: Vec<StoreEvent>,
        /// The revision to go on from.
        revision: u64,
    },
    /// The history is gone: read everything anew.
    HistoryGone,
}

/// A change of several values, carried out whole or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Keys with the revisions that they have to have; 0 for absent.
    pub expected: Vec<(String, u64)>,
    /// Values to write.
    pub puts: Vec<(String, Bytes)>,
    /// A lease for all of them; 0 for none.
    pub lease: u64,
    /// Keys to remove.
    pub removed: Vec<String>,
}

/// Most entries of one transaction, of each sort together.
pub const MAX_TRANSACTION_ENTRIES: usize = 32;

/// The result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitResult {
    /// It was carried out at this revision.
    Done {
        /// The revision.
        revision: u64,
    },
    /// A key had another revision; the expected keys as they are now.
    Conflict(Vec<StoredItem>),
    /// The lease is over.
    LeaseOver,
}
