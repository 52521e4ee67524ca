//! The jobs of a ledger in memory, assigned to numbered pages.
//!
//! Changes apply to the jobs at once. A compaction assigns new jobs to pages and
//! returns the pages whose stored content is out of date.

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

/// A job that would make the open page larger than this goes to a new page.
const FULL_PAGE_BYTES: usize = 128 << 10;
/// A compaction drops a changed page that is smaller than this and moves its jobs
/// to the open page.
const SPARSE_PAGE_BYTES: usize = 16 << 10;

/// The stored content of one page.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct PageRecord {
    /// The jobs.
    #[prost(message, repeated, tag = "1")]
    pub jobs: Vec<JobRecord>,
}

/// A job and the page that it is on.
#[derive(Debug)]
struct Entry {
    record: JobRecord,
    /// Number of the job's page; `None` until its first compaction.
    page: Option<u32>,
}

/// The ids of the jobs on a page and their encoded size.
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
    /// Ids of the jobs changed since the last compaction.
    changed_jobs: BTreeSet<u64>,
    /// Numbers of the pages whose stored content is out of date. A compaction adds
    /// the pages of `changed_jobs`.
    changed_pages: BTreeSet<u32>,
    /// Number of the page to which jobs are added.
    open_page: u32,
}

/// A page to write again, or to drop if it has no jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct CompactedPage {
    /// Number of the page.
    pub number: u32,
    /// Content of the page.
    pub content: PageRecord,
}

impl JobPages {
    /// Adds the jobs of a stored page.
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

    /// Applies one change to its job. A change to an unknown job is ignored.
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
                self.changed_jobs.remove(&id);
                self.changed_pages.extend(page);
                return;
            }
            _ => {
                let Some(entry) = self.jobs.get_mut(&id) else {
                    return;
                };
                apply_to_record(&mut entry.record, kind);
            }
        }
        self.changed_jobs.insert(id);
    }

    /// Assigns every new job to a page and returns all pages to write.
    pub fn compact(&mut self) -> Vec<CompactedPage> {
        for id in std::mem::take(&mut self.changed_jobs) {
            let page = self.jobs.get(&id).and_then(|entry| entry.page);
            match page {
                Some(page) => {
                    self.changed_pages.insert(page);
                }
                None => self.assign_page(id),
            }
        }
        let mut changed = std::mem::take(&mut self.changed_pages);
        for &number in &changed {
            self.update_page(number);
        }
        for number in self.sparse_pages(&changed) {
            for id in self.pages.remove(&number).unwrap_or_default().jobs {
                self.assign_page(id);
            }
        }
        changed.extend(std::mem::take(&mut self.changed_pages));
        let to_compacted = |number: u32| {
            self.update_page(number);
            CompactedPage {
                number,
                content: self.page_content(number),
            }
        };
        changed.into_iter().map(to_compacted).collect()
    }

    /// Adds a job to the open page, or to a new one if the open page is full.
    fn assign_page(&mut self, id: u64) {
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
        self.changed_pages.insert(self.open_page);
    }

    /// Removes deleted jobs from a page and recomputes its size; drops the page if
    /// it is empty.
    fn update_page(&mut self, number: u32) {
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

    /// Returns those of the changed pages, except the open one, that have become
    /// too small.
    fn sparse_pages(&self, changed: &BTreeSet<u32>) -> Vec<u32> {
        let is_sparse = |number: &&u32| {
            let page = self.pages.get(number);
            **number != self.open_page && page.is_some_and(|p| p.size_bytes < SPARSE_PAGE_BYTES)
        };
        changed.iter().filter(is_sparse).copied().collect()
    }

    fn page_content(&self, number: u32) -> PageRecord {
        let jobs = self.pages.get(&number).map(|page| &page.jobs);
        PageRecord {
            jobs: jobs
                .into_iter()
                .flatten()
                .map(|id| self.jobs[id].record.clone())
                .collect(),
        }
    }

    /// Returns all jobs in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.values().map(|entry| &entry.record)
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

/// Applies a change to the record of an accepted job.
fn apply_to_record(record: &mut JobRecord, kind: &ChangeKind) {
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
            // An ended job never starts again, so the start time of its latest
            // attempt is no longer needed.
            if change.outcome != OutcomeCode::None as i32 {
                record.starting_ms = 0;
            }
        }
        ChangeKind::Cancelling(_) => record.cancelling = true,
        ChangeKind::Accepted(_) | ChangeKind::Forgotten(_) => {}
    }
}
