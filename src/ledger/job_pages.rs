//! The content of a ledger in memory: jobs on numbered pages.

use super::{
    Change,
    ChangeKind,
    JobRecord,
    OutcomeCode, //
};
use prost::Message;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// A page takes no more jobs beyond this size.
const FULL_PAGE_BYTES: usize = 128 << 10;
/// A page that shrinks below this size has its jobs moved to the open page.
const SPARSE_PAGE_BYTES: usize = 16 << 10;

/// Jobs of one page as they are stored.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct PageRecord {
    /// The jobs.
    #[prost(message, repeated, tag = "1")]
    pub jobs: Vec<JobRecord>,
}

#[derive(Debug)]
struct Entry {
    record: JobRecord,
    /// Page that holds the job; none until it is first folded.
    page: Option<u32>,
}

#[derive(Debug, Default)]
struct Page {
    jobs: BTreeSet<u64>,
    size_bytes: usize,
}

/// All jobs of a ledger, by page.
#[derive(Debug, Default)]
pub struct JobPages {
    jobs: BTreeMap<u64, Entry>,
    pages: BTreeMap<u32, Page>,
    /// Jobs changed since they were last on a page.
    unfolded: BTreeSet<u64>,
    /// Pages that lost a job since they were last written.
    touched: BTreeSet<u32>,
    open_page: u32,
}

/// A page to write anew, or to drop when it has no jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct FoldedPage {
    /// Its number.
    pub number: u32,
    /// Its content.
    pub content: PageRecord,
}

impl JobPages {
    /// Takes in a stored page.
    pub fn load_page(&mut self, number: u32, content: PageRecord) {
        self.open_page = self.open_page.max(number);
        for record in content.jobs {
            let id = record.id;
            let size_bytes = record.encoded_len();
            let page = self.pages.entry(number).or_default();
            page.jobs.insert(id);
            page.size_bytes += size_bytes;
            let entry = Entry {
                record,
                page: Some(number),
            };
            self.jobs.insert(id, entry);
        }
    }

    /// Applies one change.
    pub fn apply(&mut self, change: &Change) {
        let Some(kind) = &change.kind else {
            return;
        };
        let id = match kind {
            ChangeKind::Accepted(record) => record.id,
            ChangeKind::Starting(change) => change.id,
            ChangeKind::Requeued(change) => change.id,
            ChangeKind::Ended(change) => change.id,
            ChangeKind::Forgotten(id) | ChangeKind::Cancelling(id) => *id,
        };
        match kind {
            ChangeKind::Accepted(record) => {
                let entry = Entry {
                    record: record.clone(),
                    page: None,
                };
                self.jobs.insert(id, entry);
            }
            ChangeKind::Forgotten(_) => {
                let page = self.jobs.remove(&id).and_then(|entry| entry.page);
                self.unfolded.remove(&id);
                self.touched.extend(page);
                return;
            }
            _ => {
                let Some(entry) = self.jobs.get_mut(&id) else {
                    return;
                };
                change_record(&mut entry.record, kind);
            }
        }
        self.unfolded.insert(id);
    }

    /// Puts every changed job onto a page; returns the pages to write.
    pub fn fold(&mut self) -> Vec<FoldedPage> {
        for id in std::mem::take(&mut self.unfolded) {
            let page = self.jobs.get(&id).and_then(|entry| entry.page);
            match page {
                Some(page) => {
                    self.touched.insert(page);
                }
                None => self.assign(id),
            }
        }
        let mut touched = std::mem::take(&mut self.touched);
        for &number in &touched {
            self.measure(number);
        }
        for number in self.sparse(&touched) {
            for id in self.pages.remove(&number).unwrap_or_default().jobs {
                self.assign(id);
            }
        }
        touched.extend(std::mem::take(&mut self.touched));
        let write = |number: u32| {
            self.measure(number);
            FoldedPage {
                number,
                content: self.page(number),
            }
        };
        touched.into_iter().map(write).collect()
    }

    fn assign(&mut self, id: u64) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let size_bytes = entry.record.encoded_len();
        let open = self.pages.get(&self.open_page);
        if open.is_some_and(|page| page.size_bytes + size_bytes > FULL_PAGE_BYTES) {
            self.open_page += 1;
        }
        let page = self.pages.entry(self.open_page).or_default();
        page.jobs.insert(id);
        page.size_bytes += size_bytes;
        entry.page = Some(self.open_page);
        self.touched.insert(self.open_page);
    }

    fn measure(&mut self, number: u32) {
        let Some(page) = self.pages.get_mut(&number) else {
            return;
        };
        page.jobs.retain(|id| self.jobs.contains_key(id));
        page.size_bytes = page
            .jobs
            .iter()
            .map(|id| self.jobs[id].record.encoded_len())
            .sum();
        if page.jobs.is_empty() {
            self.pages.remove(&number);
        }
    }

    fn sparse(&self, touched: &BTreeSet<u32>) -> Vec<u32> {
        let is_sparse = |number: &&u32| {
            let page = self.pages.get(number);
            **number != self.open_page && page.is_some_and(|p| p.size_bytes < SPARSE_PAGE_BYTES)
        };
        touched.iter().filter(is_sparse).copied().collect()
    }

    fn page(&self, number: u32) -> PageRecord {
        let jobs = self.pages.get(&number).map(|page| &page.jobs);
        PageRecord {
            jobs: jobs
                .into_iter()
                .flatten()
                .map(|id| self.jobs[id].record.clone())
                .collect(),
        }
    }

    /// All jobs in the order of their identities.
    pub fn jobs(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.values().map(|entry| &entry.record)
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

fn change_record(record: &mut JobRecord, kind: &ChangeKind) {
    match kind {
        ChangeKind::Starting(change) => {
            record.attempt = change.attempt;
            record.members = change.members.clone();
            record.starting_ms = change.starting_ms;
        }
        ChangeKind::Requeued(change) => {
            record.members.clear();
            record.progress_ms = change.progress_ms;
            record.preemptions = change.preemptions;
            record.failures = change.failures;
        }
        ChangeKind::Ended(change) => {
            record.members.clear();
            record.outcome = change.outcome;
            record.ended_ms = change.ended_ms;
            record.answer = change.answer.clone();
            // An ended job never starts again; only the key and the fields
            // that make a resubmission equal are needed from now on.
            if change.outcome != OutcomeCode::None as i32 {
                record.starting_ms = 0;
            }
        }
        ChangeKind::Cancelling(_) => record.cancelling = true,
        ChangeKind::Accepted(_) | ChangeKind::Forgotten(_) => {}
    }
}
