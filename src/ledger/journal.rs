//! Commits changes to the ledger: one compare-and-swap of the root carries all
//! changes that have accumulated since the previous one.
//!
//! A change is durable once the root that contains it is written. A write of
//! the root whose answer was lost is read back before it is repeated, and an
//! owner that finds another write than its own in the root is fenced.

use super::{
    Change,
    EnvelopeError,
    JobPages,
    PageRef,
    RootRecord,
    root, //
};
use crate::backend::{
    StoreAnswer,
    StoreCall,
    StoreFailure, //
};
use bytes::Bytes;
use prost::Message;
use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// Changes are compacted into pages when the root's tail would exceed this size.
const COMPACTION_TAIL_BYTES: usize = 32 << 10;

/// What an answer of the store means for the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalEvent {
    /// Nothing to report: the current operation continues.
    Pending,
    /// The ledger is read and this owner's epoch is in its root.
    Opened,
    /// All changes up to this number are durable.
    Durable(u64),
    /// Another owner has written the root. This one is permanently fenced.
    Fenced,
    /// A value of the ledger cannot be read.
    Damaged(EnvelopeError),
}

/// The operation in progress; all but `Idle` have a store call to make.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Idle,
    ReadingRoot,
    ReadingPages {
        remaining: VecDeque<PageRef>,
        root: RootRecord,
    },
    WritingPages {
        remaining: VecDeque<PageWrite>,
    },
    WritingRoot,
    /// The result of the root write is unknown: reads the root to find out which
    /// write took effect.
    ReadingBack,
}

/// A page to write into one of its slots.
#[derive(Clone, Debug, PartialEq)]
struct PageWrite {
    key: String,
    value: Bytes,
    /// Version of the slot; `None` if it is unknown or has changed and must be
    /// read before the write.
    version: Option<u64>,
}

/// State machine of one owner's reads and commits; performs no I/O itself.
#[derive(Debug)]
pub struct Journal {
    data_centre: String,
    owner: String,
    epoch: u64,
    next_write_id: u64,
    /// Version of the root value in the store.
    root_version: u64,
    /// Pages to which the root refers, by number.
    pages: BTreeMap<u32, PageRef>,
    /// Known versions of page slots in the store, by key.
    slot_versions: BTreeMap<String, u64>,
    job_pages: JobPages,
    /// Number of commits to the ledger so far.
    sequence: u64,
    configuration_version: u64,
    /// Changes in the root that are not compacted into pages yet.
    tail: Vec<Change>,
    tail_bytes: usize,
    /// Changes for the next commit.
    pending: Vec<Change>,
    /// Number of the latest change.
    pushed: u64,
    /// Number of the latest durable change.
    durable: u64,
    step: Step,
    root_write: Option<RootWrite>,
    /// Whether the next poll returns the call of the current step.
    call_due: bool,
    opened: bool,
}

/// The root write in progress, kept so that it can be repeated unchanged.
#[derive(Debug)]
struct RootWrite {
    write_id: u64,
    value: Bytes,
    pages: BTreeMap<u32, PageRef>,
    tail: Vec<Change>,
    tail_bytes: usize,
    /// Number of the last change that the write makes durable.
    last_change: u64,
}

impl Journal {
    /// Starts to open the ledger of `data_centre` for `owner`. Ids of writes are
    /// consecutive from `first_write_id`; no other owner may use them.
    pub fn open(data_centre: &str, owner: &str, first_write_id: u64) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            owner: owner.to_owned(),
            epoch: 0,
            next_write_id: first_write_id,
            root_version: 0,
            pages: BTreeMap::new(),
            slot_versions: BTreeMap::new(),
            job_pages: JobPages::default(),
            sequence: 0,
            configuration_version: 0,
            tail: Vec::new(),
            tail_bytes: 0,
            pending: Vec::new(),
            pushed: 0,
            durable: 0,
            step: Step::ReadingRoot,
            root_write: None,
            call_due: true,
            opened: false,
        }
    }

    /// Adds a change to the next commit and returns its number.
    pub fn push(&mut self, change: Change) -> u64 {
        self.job_pages.apply(&change);
        self.pending.push(change);
        self.pushed += 1;
        self.pushed
    }

    /// Returns the number of the latest durable change.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Returns the number of the latest change.
    pub fn pushed(&self) -> u64 {
        self.pushed
    }

    /// Returns this owner's epoch; 0 before the ledger is read.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the jobs, with all changes applied.
    pub fn job_pages(&self) -> &JobPages {
        &self.job_pages
    }

    /// Returns the highest configuration version that the ledger was written with
    /// or that is set for the next commit.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// Sets the configuration version for the next commit, unless it is lower.
    pub fn set_configuration_version(&mut self, version: u64) {
        self.configuration_version = self.configuration_version.max(version);
    }

    /// Returns the store call to make now, if any. At most one is in flight.
    pub fn poll(&mut self) -> Option<StoreCall> {
        if self.step == Step::Idle && !self.pending.is_empty() {
            self.begin_commit();
        }
        if !std::mem::take(&mut self.call_due) {
            return None;
        }
        self.current_call()
    }

    fn current_call(&self) -> Option<StoreCall> {
        match &self.step {
            Step::Idle => None,
            Step::ReadingRoot | Step::ReadingBack => Some(StoreCall::Get {
                key: root::root_key(&self.data_centre),
            }),
            Step::ReadingPages { remaining, .. } => remaining.front().map(|page| StoreCall::Get {
                key: root::page_key(&self.data_centre, page.number, page.slot),
            }),
            Step::WritingPages { remaining } => {
                remaining.front().map(|write| match write.version {
                    None => StoreCall::Get {
                        key: write.key.clone(),
                    },
                    Some(expected_version) => StoreCall::CompareAndSwap {
                        key: write.key.clone(),
                        expected_version,
                        value: write.value.clone(),
                    },
                })
            }
            Step::WritingRoot => {
                self.root_write
                    .as_ref()
                    .map(|root_write| StoreCall::CompareAndSwap {
                        key: root::root_key(&self.data_centre),
                        expected_version: self.root_version,
                        value: root_write.value.clone(),
                    })
            }
        }
    }

    fn begin_commit(&mut self) {
        let added_bytes: usize = self.pending.iter().map(Message::encoded_len).sum();
        if self.tail_bytes + added_bytes > COMPACTION_TAIL_BYTES {
            return self.begin_compaction();
        }
        let mut tail = self.tail.clone();
        tail.append(&mut self.pending);
        let pages = self.pages.clone();
        self.begin_root_write(pages, tail, self.tail_bytes + added_bytes);
    }

    /// Starts a commit that writes all changed pages and then a root with an
    /// empty tail.
    fn begin_compaction(&mut self) {
        self.pending.clear();
        let mut pages = self.pages.clone();
        let mut remaining = VecDeque::new();
        for compacted in self.job_pages.compact() {
            let number = compacted.number;
            if compacted.content.jobs.is_empty() {
                pages.remove(&number);
                continue;
            }
            let slot = self.pages.get(&number).map_or(0, |page| 1 - page.slot);
            let value = root::encode(&compacted.content);
            let checksum = crc32fast::hash(&value);
            let key = root::page_key(&self.data_centre, number, slot);
            let version = self.slot_versions.get(&key).copied();
            pages.insert(
                number,
                PageRef {
                    number,
                    slot,
                    checksum,
                },
            );
            remaining.push_back(PageWrite {
                key,
                value,
                version,
            });
        }
        self.begin_root_write(pages, Vec::new(), 0);
        if !remaining.is_empty() {
            self.step = Step::WritingPages { remaining };
        }
    }

    fn begin_root_write(
        &mut self,
        pages: BTreeMap<u32, PageRef>,
        tail: Vec<Change>,
        tail_bytes: usize,
    ) {
        let write_id = self.next_write_id;
        self.next_write_id += 1;
        let record = RootRecord {
            epoch: self.epoch,
            write_id,
            sequence: self.sequence + 1,
            configuration_version: self.configuration_version,
            owner: self.owner.clone(),
            pages: pages.values().copied().collect(),
            tail: tail.clone(),
        };
        self.root_write = Some(RootWrite {
            write_id,
            value: root::encode(&record),
            pages,
            tail,
            tail_bytes,
            last_change: self.pushed,
        });
        self.step = Step::WritingRoot;
        self.call_due = true;
    }

    /// Handles the result of the call in flight. After a failure no call is due
    /// until [`Journal::retry`].
    pub fn handle_answer(&mut self, result: Result<StoreAnswer, StoreFailure>) -> JournalEvent {
        let answer = match result {
            Ok(answer) => answer,
            Err(failure) => {
                self.handle_failure(failure);
                return JournalEvent::Pending;
            }
        };
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Idle => JournalEvent::Pending,
            Step::ReadingRoot => self.handle_root(answer),
            Step::ReadingPages { remaining, root } => self.handle_page(remaining, root, answer),
            Step::WritingPages { remaining } => self.handle_page_written(remaining, answer),
            Step::WritingRoot => self.handle_root_written(answer),
            Step::ReadingBack => self.handle_read_back(answer),
        }
    }

    /// Handles a failed call. A write whose answer was lost may have taken effect and
    /// is therefore checked before it is repeated: the root is read back to compare
    /// its write id, and the version of a page slot is read again.
    fn handle_failure(&mut self, failure: StoreFailure) {
        match &mut self.step {
            Step::WritingRoot if failure == StoreFailure::Timeout => {
                self.step = Step::ReadingBack;
            }
            Step::WritingPages { remaining } => {
                if let Some(write) = remaining.front_mut() {
                    write.version = None;
                }
            }
            _ => {}
        }
    }

    /// Makes the call of the current step due again.
    pub fn retry(&mut self) {
        self.call_due = self.step != Step::Idle;
    }

    fn handle_root(&mut self, answer: StoreAnswer) -> JournalEvent {
        let (version, record) = match answer {
            StoreAnswer::Value { version, value } => match root::decode_root(value) {
                Ok(record) => (version, record),
                Err(error) => return JournalEvent::Damaged(error),
            },
            _ => (0, RootRecord::default()),
        };
        self.root_version = version;
        self.pages = record
            .pages
            .iter()
            .map(|page| (page.number, *page))
            .collect();
        let remaining = record.pages.iter().copied().collect();
        self.read_next_page(remaining, record)
    }

    fn read_next_page(&mut self, remaining: VecDeque<PageRef>, root: RootRecord) -> JournalEvent {
        if remaining.is_empty() {
            self.take_over(root);
        } else {
            self.step = Step::ReadingPages { remaining, root };
            self.call_due = true;
        }
        JournalEvent::Pending
    }

    fn handle_page(
        &mut self,
        mut remaining: VecDeque<PageRef>,
        root: RootRecord,
        answer: StoreAnswer,
    ) -> JournalEvent {
        let Some(reference) = remaining.pop_front() else {
            return JournalEvent::Pending;
        };
        let StoreAnswer::Value { version, value } = answer else {
            return JournalEvent::Damaged(EnvelopeError::Torn);
        };
        match root::decode_page(value, &reference) {
            Ok(content) => self.job_pages.load_page(reference.number, content),
            Err(EnvelopeError::Checksum) => {
                // The previous owner has written the slot again since the root
                // was read: restart from the root.
                self.job_pages = JobPages::default();
                self.step = Step::ReadingRoot;
                self.call_due = true;
                return JournalEvent::Pending;
            }
            Err(error) => return JournalEvent::Damaged(error),
        }
        let key = root::page_key(&self.data_centre, reference.number, reference.slot);
        self.slot_versions.insert(key, version);
        self.read_next_page(remaining, root)
    }

    /// Starts to write the root with the next epoch, which fences the previous
    /// owner.
    fn take_over(&mut self, root: RootRecord) {
        for change in &root.tail {
            self.job_pages.apply(change);
        }
        self.epoch = root.epoch + 1;
        self.sequence = root.sequence;
        self.configuration_version = root.configuration_version;
        let tail_bytes = root.tail.iter().map(Message::encoded_len).sum();
        let pages = self.pages.clone();
        self.begin_root_write(pages, root.tail, tail_bytes);
    }

    fn handle_page_written(
        &mut self,
        mut remaining: VecDeque<PageWrite>,
        answer: StoreAnswer,
    ) -> JournalEvent {
        if let Some(write) = remaining.front_mut() {
            match answer {
                StoreAnswer::Written { version } => {
                    self.slot_versions.insert(write.key.clone(), version);
                    remaining.pop_front();
                }
                StoreAnswer::Value { version, value } if value == write.value => {
                    self.slot_versions.insert(write.key.clone(), version);
                    remaining.pop_front();
                }
                StoreAnswer::Value { version, .. } => write.version = Some(version),
                StoreAnswer::Absent => write.version = Some(0),
                _ => write.version = None,
            }
        }
        self.call_due = true;
        self.step = match remaining.is_empty() {
            true => Step::WritingRoot,
            false => Step::WritingPages { remaining },
        };
        JournalEvent::Pending
    }

    fn handle_root_written(&mut self, answer: StoreAnswer) -> JournalEvent {
        match answer {
            StoreAnswer::Written { version } => self.finish_commit(version),
            // The root may contain this very write: an earlier attempt may have
            // taken effect without its answer arriving in time.
            _ => {
                self.step = Step::ReadingBack;
                self.call_due = true;
                JournalEvent::Pending
            }
        }
    }

    fn handle_read_back(&mut self, answer: StoreAnswer) -> JournalEvent {
        let (version, found_write_id) = match answer {
            StoreAnswer::Value { version, value } => match root::decode_root(value) {
                Ok(record) => (version, record.write_id),
                Err(error) => return JournalEvent::Damaged(error),
            },
            _ => (0, 0),
        };
        let our_write_id = self
            .root_write
            .as_ref()
            .map(|root_write| root_write.write_id);
        if our_write_id == Some(found_write_id) {
            return self.finish_commit(version);
        }
        if version == self.root_version {
            // The write has not taken effect. Repeating it against the same
            // version is safe: if the first one still arrives, only one of the
            // two succeeds, and both carry the same write id.
            self.step = Step::WritingRoot;
            self.call_due = true;
            return JournalEvent::Pending;
        }
        JournalEvent::Fenced
    }

    fn finish_commit(&mut self, version: u64) -> JournalEvent {
        let Some(root_write) = self.root_write.take() else {
            return JournalEvent::Pending;
        };
        self.step = Step::Idle;
        self.root_version = version;
        self.sequence += 1;
        self.pages = root_write.pages;
        self.tail = root_write.tail;
        self.tail_bytes = root_write.tail_bytes;
        self.durable = root_write.last_change;
        if !std::mem::replace(&mut self.opened, true) {
            return JournalEvent::Opened;
        }
        JournalEvent::Durable(self.durable)
    }
}
