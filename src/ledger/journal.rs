//! Committing changes: one compare-and-swap carries all that has gathered.

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

/// Changes are folded into pages when the root's tail exceeds this size.
const FOLD_TAIL_BYTES: usize = 32 << 10;

/// What an answer of the store means for the changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalEvent {
    /// Nothing yet.
    Pending,
    /// The ledger is loaded and this owner's epoch is in its root.
    Opened,
    /// Changes up to this number are durable.
    Durable(u64),
    /// Another owner has written: this one is fenced out for good.
    Fenced,
    /// The ledger cannot be read.
    Damaged(EnvelopeError),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Idle,
    ReadingRoot,
    ReadingPages {
        waiting: VecDeque<PageRef>,
        root: RootRecord,
    },
    WritingPages {
        waiting: VecDeque<PageWrite>,
    },
    WritingRoot,
    /// The answer to the root's write was lost; find out what took effect.
    ReadingBack,
}

#[derive(Clone, Debug, PartialEq)]
struct PageWrite {
    key: String,
    value: Bytes,
    /// The slot's version was unknown or moved: read it before writing.
    version: Option<u64>,
}

/// The commit state machine of one owner; does no I/O itself.
#[derive(Debug)]
pub struct Journal {
    data_centre: String,
    owner: String,
    epoch: u64,
    next_write_id: u64,
    root_version: u64,
    pages: BTreeMap<u32, PageRef>,
    slot_versions: BTreeMap<String, u64>,
    job_pages: JobPages,
    sequence: u64,
    configuration_version: u64,
    tail: Vec<Change>,
    tail_bytes: usize,
    pending: Vec<Change>,
    pushed: u64,
    durable: u64,
    step: Step,
    writing: Option<Written>,
    /// A call must be made (again) at the next poll.
    call_due: bool,
    opened: bool,
}

/// The root write under way, kept to repeat it unchanged.
#[derive(Debug)]
struct Written {
    write_id: u64,
    value: Bytes,
    pages: BTreeMap<u32, PageRef>,
    tail: Vec<Change>,
    tail_bytes: usize,
    upto: u64,
}

impl Journal {
    /// Begins to open the ledger of `data_centre` for `owner`. Write names
    /// count up from `first_write_id`, which has to be unique to this owner.
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
            writing: None,
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

    /// The number up to which changes are durable.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// The number of the latest change.
    pub fn pushed(&self) -> u64 {
        self.pushed
    }

    /// This owner's epoch, once opened.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The jobs.
    pub fn job_pages(&self) -> &JobPages {
        &self.job_pages
    }

    /// The configuration version that the ledger was last written with.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// Notes the configuration version for the next commit.
    pub fn set_configuration_version(&mut self, version: u64) {
        self.configuration_version = self.configuration_version.max(version);
    }

    /// The store call to make now, if any; at most one is under way.
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
            Step::ReadingPages { waiting, .. } => waiting.front().map(|page| StoreCall::Get {
                key: root::page_key(&self.data_centre, page.number, page.slot),
            }),
            Step::WritingPages { waiting } => waiting.front().map(|write| match write.version {
                None => StoreCall::Get {
                    key: write.key.clone(),
                },
                Some(expected_version) => StoreCall::CompareAndSwap {
                    key: write.key.clone(),
                    expected_version,
                    value: write.value.clone(),
                },
            }),
            Step::WritingRoot => self
                .writing
                .as_ref()
                .map(|writing| StoreCall::CompareAndSwap {
                    key: root::root_key(&self.data_centre),
                    expected_version: self.root_version,
                    value: writing.value.clone(),
                }),
        }
    }

    fn begin_commit(&mut self) {
        let added: usize = self.pending.iter().map(Message::encoded_len).sum();
        if self.tail_bytes + added > FOLD_TAIL_BYTES {
            return self.begin_fold();
        }
        let mut tail = self.tail.clone();
        tail.append(&mut self.pending);
        let pages = self.pages.clone();
        self.begin_root(pages, tail, self.tail_bytes + added);
    }

    fn begin_fold(&mut self) {
        self.pending.clear();
        let mut pages = self.pages.clone();
        let mut waiting = VecDeque::new();
        for folded in self.job_pages.fold() {
            let number = folded.number;
            if folded.content.jobs.is_empty() {
                pages.remove(&number);
                continue;
            }
            let slot = self.pages.get(&number).map_or(0, |page| 1 - page.slot);
            let value = root::encode(&folded.content);
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
            waiting.push_back(PageWrite {
                key,
                value,
                version,
            });
        }
        self.begin_root(pages, Vec::new(), 0);
        if !waiting.is_empty() {
            self.step = Step::WritingPages { waiting };
        }
    }

    fn begin_root(&mut self, pages: BTreeMap<u32, PageRef>, tail: Vec<Change>, tail_bytes: usize) {
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
        self.writing = Some(Written {
            write_id,
            value: root::encode(&record),
            pages,
            tail,
            tail_bytes,
            upto: self.pushed,
        });
        self.step = Step::WritingRoot;
        self.call_due = true;
    }

    /// Takes in the answer to the call under way. A call without an answer is
    /// repeated when the caller calls [`Journal::retry`].
    pub fn answer(&mut self, result: Result<StoreAnswer, StoreFailure>) -> JournalEvent {
        let answer = match result {
            Ok(answer) => answer,
            Err(failure) => {
                self.failed(failure);
                return JournalEvent::Pending;
            }
        };
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Idle => JournalEvent::Pending,
            Step::ReadingRoot => self.root_read(answer),
            Step::ReadingPages { waiting, root } => self.page_read(waiting, root, answer),
            Step::WritingPages { waiting } => self.page_written(waiting, answer),
            Step::WritingRoot => self.root_written(answer),
            Step::ReadingBack => self.read_back(answer),
        }
    }

    /// A write whose answer was lost may have taken effect. For the root it is
    /// read back by its write id; a page slot's version is read again. Neither
    /// is written a second time on a guess.
    fn failed(&mut self, failure: StoreFailure) {
        match &mut self.step {
            Step::WritingRoot if failure == StoreFailure::Timeout => {
                self.step = Step::ReadingBack;
            }
            Step::WritingPages { waiting } => {
                if let Some(write) = waiting.front_mut() {
                    write.version = None;
                }
            }
            _ => {}
        }
    }

    /// Makes the call under way due again.
    pub fn retry(&mut self) {
        self.call_due = self.step != Step::Idle;
    }

    fn root_read(&mut self, answer: StoreAnswer) -> JournalEvent {
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
        let waiting = record.pages.iter().copied().collect();
        self.read_next_page(waiting, record)
    }

    fn read_next_page(&mut self, waiting: VecDeque<PageRef>, root: RootRecord) -> JournalEvent {
        if waiting.is_empty() {
            self.take_over(root);
        } else {
            self.step = Step::ReadingPages { waiting, root };
            self.call_due = true;
        }
        JournalEvent::Pending
    }

    fn page_read(
        &mut self,
        mut waiting: VecDeque<PageRef>,
        root: RootRecord,
        answer: StoreAnswer,
    ) -> JournalEvent {
        let Some(reference) = waiting.pop_front() else {
            return JournalEvent::Pending;
        };
        let StoreAnswer::Value { version, value } = answer else {
            return JournalEvent::Damaged(EnvelopeError::Torn);
        };
        match root::decode_page(value, &reference) {
            Ok(content) => self.job_pages.load_page(reference.number, content),
            Err(EnvelopeError::Checksum) => {
                // The previous owner moved on while this one was reading, and
                // wrote the slot again: begin anew from the root.
                self.job_pages = JobPages::default();
                self.step = Step::ReadingRoot;
                self.call_due = true;
                return JournalEvent::Pending;
            }
            Err(error) => return JournalEvent::Damaged(error),
        }
        let key = root::page_key(&self.data_centre, reference.number, reference.slot);
        self.slot_versions.insert(key, version);
        self.read_next_page(waiting, root)
    }

    /// Writes the root with the next epoch, which fences the previous owner.
    fn take_over(&mut self, root: RootRecord) {
        for change in &root.tail {
            self.job_pages.apply(change);
        }
        self.epoch = root.epoch + 1;
        self.sequence = root.sequence;
        self.configuration_version = root.configuration_version;
        let tail_bytes = root.tail.iter().map(Message::encoded_len).sum();
        let pages = self.pages.clone();
        self.begin_root(pages, root.tail, tail_bytes);
    }

    fn page_written(
        &mut self,
        mut waiting: VecDeque<PageWrite>,
        answer: StoreAnswer,
    ) -> JournalEvent {
        if let Some(write) = waiting.front_mut() {
            match answer {
                StoreAnswer::Written { version } => {
                    self.slot_versions.insert(write.key.clone(), version);
                    waiting.pop_front();
                }
                StoreAnswer::Value { version, value } if value == write.value => {
                    self.slot_versions.insert(write.key.clone(), version);
                    waiting.pop_front();
                }
                StoreAnswer::Value { version, .. } => write.version = Some(version),
                StoreAnswer::Absent => write.version = Some(0),
                _ => write.version = None,
            }
        }
        self.call_due = true;
        self.step = match waiting.is_empty() {
            true => Step::WritingRoot,
            false => Step::WritingPages { waiting },
        };
        JournalEvent::Pending
    }

    fn root_written(&mut self, answer: StoreAnswer) -> JournalEvent {
        match answer {
            StoreAnswer::Written { version } => self.committed(version),
            // The write may be an earlier one of ours whose answer came late.
            _ => {
                self.step = Step::ReadingBack;
                self.call_due = true;
                JournalEvent::Pending
            }
        }
    }

    fn read_back(&mut self, answer: StoreAnswer) -> JournalEvent {
        let (version, found) = match answer {
            StoreAnswer::Value { version, value } => match root::decode_root(value) {
                Ok(record) => (version, record.write_id),
                Err(error) => return JournalEvent::Damaged(error),
            },
            _ => (0, 0),
        };
        let ours = self.writing.as_ref().map(|writing| writing.write_id);
        if ours == Some(found) {
            return self.committed(version);
        }
        if version == self.root_version {
            // It did not take effect. Repeating the same value against the
            // same version is safe: if the first one still arrives, one of the
            // two finds the version moved, and both carry the same write id.
            self.step = Step::WritingRoot;
            self.call_due = true;
            return JournalEvent::Pending;
        }
        JournalEvent::Fenced
    }

    fn committed(&mut self, version: u64) -> JournalEvent {
        let Some(written) = self.writing.take() else {
            return JournalEvent::Pending;
        };
        self.step = Step::Idle;
        self.root_version = version;
        self.sequence += 1;
        self.pages = written.pages;
        self.tail = written.tail;
        self.tail_bytes = written.tail_bytes;
        self.durable = written.upto;
        if !std::mem::replace(&mut self.opened, true) {
            return JournalEvent::Opened;
        }
        JournalEvent::Durable(self.durable)
    }
}
