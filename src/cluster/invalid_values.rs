//! Invalid values in the store: the kinds of values, and reporting each invalid one
//! to on-call once.
//!
//! Load pattern: another writer writes hundreds of such values, again and again,
//! and every list reads all of them. So each revision of a key is told once, a few
//! lines a second at most, and counted in any case.

use super::log_lines::{
    self,
    InvalidValueLine, //
};
use super::store_types::StoredItem;
use crate::platform::WorkerEntryError;
use std::collections::{
    HashSet,
    VecDeque, //
};
use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

/// Revisions that are remembered as told: a tenth of a large fleet's entries.
/// What was forgotten and is read again is told again, within the bound below.
const MAX_TOLD: usize = 1_024;
/// Lines at once: enough for on-call to see who writes.
const BURST_LINES: f64 = 40.0;
/// Lines a second over time, a hundredth of what a daemon logs.
const LINES_PER_S: f64 = 1.5;
/// Longest description of a problem: it may quote the value.
const MAX_PROBLEM_CHARS: usize = 200;

/// What a key of the store holds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoredKind {
    /// A worker's entry.
    Worker,
    /// The operator's configuration.
    Configuration,
    /// A wave of upkeep.
    Wave,
    /// How far a wave is.
    WaveState,
    /// An operators' order to empty a data centre.
    Emptying,
    /// Since when an owner knows of such an order.
    Emptied,
    /// The owner's epoch.
    Root,
    /// Workers that owners use or used.
    Roster,
    /// An accepted job.
    Job,
    /// What is done of a job.
    Progress,
    /// A worker that gets no more starts.
    Closed,
    /// A daemon.
    Member,
}

impl StoredKind {
    /// All kinds.
    pub const ALL: [Self; 12] = [
        Self::Worker,
        Self::Configuration,
        Self::Wave,
        Self::WaveState,
        Self::Emptying,
        Self::Emptied,
        Self::Root,
        Self::Roster,
        Self::Job,
        Self::Progress,
        Self::Closed,
        Self::Member,
    ];

    /// The kind as logs and counters name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Worker => "worker",
            Self::Configuration => "configuration",
            Self::Wave => "wave",
            Self::WaveState => "wave_state",
            Self::Emptying => "emptying",
            Self::Emptied => "emptied",
            Self::Root => "owner",
            Self::Roster => "roster",
            Self::Job => "job",
            Self::Progress => "progress",
            Self::Closed => "closed",
            Self::Member => "member",
        }
    }

    /// What becomes of one that does not read.
    pub fn done(self) -> &'static str {
        match self {
            Self::Worker => "no new work goes to the worker, what runs there goes on",
            Self::Configuration => "the version before stays in force",
            Self::Wave => "no machine goes down for it",
            Self::WaveState => {
                "the wave is taken for open; orders that were carried out change nothing"
            }
            Self::Emptying => "its key names no data centre, so none is emptied",
            Self::Emptied => "the order holds, its age is shown from the next owner on",
            Self::Root => "no daemon takes over",
            Self::Roster => "stored work waits for the longest lease, then it is written anew",
            Self::Job => "nothing of the job starts, what runs of it goes on, it is read again",
            Self::Progress => {
                "nothing of the job starts, what runs of it goes on, it is read again"
            }
            Self::Closed => "its worker is taken for one that may run anything",
            Self::Member => "the daemon is known only if it is heard",
        }
    }
}

/// Why a stored value is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidReason {
    /// The reason as logs and counters name it.
    pub reason: &'static str,
    /// The same in full.
    pub problem: String,
}

impl InvalidReason {
    /// A reason that says it all.
    pub fn because(reason: &'static str) -> Self {
        Self {
            reason,
            problem: String::new(),
        }
    }
}

impl From<WorkerEntryError> for InvalidReason {
    fn from(error: WorkerEntryError) -> Self {
        Self {
            reason: error.reason(),
            problem: shortened(&error.to_string()),
        }
    }
}

impl From<serde_json::Error> for InvalidReason {
    fn from(error: serde_json::Error) -> Self {
        let reason = match error.is_data() {
            true => "bad_field",
            false => "not_json",
        };
        Self {
            reason,
            problem: shortened(&error.to_string()),
        }
    }
}

fn shortened(problem: &str) -> String {
    problem.chars().take(MAX_PROBLEM_CHARS).collect()
}

/// Reports invalid values, each revision once, at a limited rate.
#[derive(Debug, Default)]
pub struct InvalidValueReporter {
    told: HashSet<u64>,
    order: VecDeque<u64>,
    lines: f64,
    refilled_ms: u64,
}

impl InvalidValueReporter {
    /// Counts an invalid value and logs it, unless that was done for this revision;
    /// returns whether a line was written.
    pub fn note(
        &mut self,
        kind: StoredKind,
        item: &StoredItem,
        why: &InvalidReason,
        now_ms: u64,
    ) -> bool {
        if !self.is_new(&item.key, item.revision) {
            return false;
        }
        let labels = [("kind", kind.name()), ("reason", why.reason)];
        metrics::counter!("fuchsiaslip_values_unused_total", &labels).increment(1);
        if !self.take_line(now_ms) {
            metrics::counter!("fuchsiaslip_values_unused_untold_total").increment(1);
            return false;
        }
        log_lines::invalid_value(&InvalidValueLine {
            key: &item.key,
            revision: item.revision,
            kind: kind.name(),
            reason: why.reason,
            problem: &why.problem,
            done: kind.done(),
        });
        true
    }

    fn is_new(&mut self, key: &str, revision: u64) -> bool {
        let mut hasher = DefaultHasher::new();
        (key, revision).hash(&mut hasher);
        let name = hasher.finish();
        if !self.told.insert(name) {
            return false;
        }
        self.order.push_back(name);
        if self.order.len() > MAX_TOLD
            && let Some(oldest) = self.order.pop_front()
        {
            self.told.remove(&oldest);
        }
        true
    }

    fn take_line(&mut self, now_ms: u64) -> bool {
        const MS_PER_S: f64 = 1_000.0;
        if self.refilled_ms == 0 {
            self.lines = BURST_LINES;
        }
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.refilled_ms = now_ms;
        self.lines = (self.lines + elapsed_ms / MS_PER_S * LINES_PER_S).min(BURST_LINES);
        if self.lines < 1.0 {
            return false;
        }
        self.lines -= 1.0;
        true
    }
}
