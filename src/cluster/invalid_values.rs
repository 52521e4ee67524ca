//! The kinds of stored values, and the reporting of invalid ones to on-call.
//!
//! Load pattern: another writer writes hundreds of invalid values, again and again,
//! and every list reads all of them. So each revision of a key is counted and logged
//! once, and the log gets a few lines a second at most.

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

/// Reported revisions that are remembered: a tenth of a large fleet's entries. One that
/// was dropped and is read again is reported again, within the rate below.
const MAX_REMEMBERED: usize = 1_024;
/// Largest burst of lines: enough for on-call to see who writes the values.
const BURST_LINES: f64 = 40.0;
/// Sustained rate of lines a second, a hundredth of what a daemon may log.
const LINES_PER_S: f64 = 1.5;
/// Longest description of a problem, which may quote the value.
const MAX_PROBLEM_CHARS: usize = 200;

/// The kind of value that a key of the store holds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoredKind {
    /// A worker's entry, its registration.
    Worker,
    /// The operator's configuration.
    Configuration,
    /// A wave of upkeep.
    Wave,
    /// Whether a wave is completed.
    WaveState,
    /// An operators' order to empty a data centre.
    Emptying,
    /// Since when owners have known of such an order.
    Emptied,
    /// The root, which names the owner and its epoch.
    Root,
    /// The roster: workers that an owner uses or has used.
    Roster,
    /// An accepted job.
    Job,
    /// The progress of a job.
    Progress,
    /// A worker that is closed to new starts.
    Closed,
    /// A daemon's registration.
    Member,
    /// A part of what owners have learned.
    Learned,
    /// The mark of an owner that failed while it decided about a job.
    FailureMark,
}

impl StoredKind {
    /// All kinds.
    pub const ALL: [Self; 14] = [
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
        Self::Learned,
        Self::FailureMark,
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
            Self::Learned => "learned",
            Self::FailureMark => "failure_mark",
        }
    }

    /// How daemons handle an invalid value of this kind.
    pub fn done(self) -> &'static str {
        match self {
            Self::Worker => "the worker gets no new work, its runs go on",
            Self::Configuration => "the previous version stays in force",
            Self::Wave => "no machine is taken down for the wave",
            Self::WaveState => {
                "the wave counts as open; repeated orders for its machines change nothing"
            }
            Self::Emptying => "its key names no data centre, so none is emptied",
            Self::Emptied => "the order stays in force, its age is shown from the next owner on",
            Self::Root => "no daemon takes over",
            Self::Roster => {
                "stored work waits until the longest lease has expired, then the roster is rewritten"
            }
            Self::Job => "no task of the job starts, its runs go on, the value is read again",
            Self::Progress => "no task of the job starts, its runs go on, the value is read again",
            Self::Closed => "the worker counts as one that may run anything",
            Self::Member => "the daemon is known only by its heartbeats",
            Self::Learned => {
                "the next owner learns the speeds of these workers and queues again, then the part is rewritten"
            }
            Self::FailureMark => "its key names no job, so none is set aside for it",
        }
    }
}

/// Why a stored value is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidReason {
    /// The reason as logs and counters name it.
    pub reason: &'static str,
    /// The reason in full; empty if the name says it all.
    pub problem: String,
}

impl InvalidReason {
    /// A reason whose name says it all.
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
    /// Hashes of the reported keys and revisions.
    reported: HashSet<u64>,
    /// The same hashes, oldest first.
    oldest_first: VecDeque<u64>,
    lines_left: f64,
    refilled_ms: u64,
}

impl InvalidValueReporter {
    /// Counts an invalid value and logs it within the rate, unless this revision was
    /// already counted. Returns whether a line was written.
    pub fn record(
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
        let hash = hasher.finish();
        if !self.reported.insert(hash) {
            return false;
        }
        self.oldest_first.push_back(hash);
        if self.oldest_first.len() > MAX_REMEMBERED
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.reported.remove(&oldest);
        }
        true
    }

    fn take_line(&mut self, now_ms: u64) -> bool {
        const MS_PER_S: f64 = 1_000.0;
        if self.refilled_ms == 0 {
            self.lines_left = BURST_LINES;
        }
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.refilled_ms = now_ms;
        self.lines_left = (self.lines_left + elapsed_ms / MS_PER_S * LINES_PER_S).min(BURST_LINES);
        if self.lines_left < 1.0 {
            return false;
        }
        self.lines_left -= 1.0;
        true
    }
}
