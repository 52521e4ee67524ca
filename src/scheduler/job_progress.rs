//! The stored form of a job's progress, and how it is restored.

use super::{
    CrashedRun,
    Group,
    GroupKey,
    Task,
    TaskState, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Bits in a word of [`GroupProgress::done`].
const WORD_BITS: u32 = 64;

/// How a job ended, unless it was cancelled.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FinalState {
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
}

impl FinalState {
    /// Returns its name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
        }
    }
}

/// Failures of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskFailures {
    /// The task.
    pub index: u32,
    /// Numbers of the runs that failed, so that an end that is listed again after a
    /// change of owner is not counted again.
    pub runs: Vec<u64>,
    /// Number of failed runs before those; absent in values that an older version of the
    /// program stored.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub earlier: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// Crashes of workers under one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskCrashes {
    /// The task.
    pub index: u32,
    /// Numbers of the runs whose worker crashed.
    pub runs: Vec<u64>,
    /// Those of `runs` whose worker is not known to have survived the start.
    pub at_start: Vec<u64>,
    /// Those of `runs` that may have ended before the crash; empty in values that an older
    /// version of the program stored.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub uncertain: Vec<u64>,
    /// Number of confirmed starts since the first crash at a start, including that one; 0 in
    /// values that an older version of the program stored.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub starts: u32,
    /// The run that was last counted among the starts, so that an owner that adopts it does not
    /// count it again; 0 in values that an older version of the program stored.
    #[serde(default, skip_serializing_if = "is_no_run")]
    pub last_start: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_no_run(run: &u64) -> bool {
    *run == 0
}

impl TaskCrashes {
    fn of(index: u32, task: &Task) -> Self {
        let runs_where = |is_included: fn(&CrashedRun) -> bool| {
            let included = task.crashes.iter().filter(|&crash| is_included(crash));
            included.map(|crash| crash.run).collect()
        };
        Self {
            index,
            runs: runs_where(|_| true),
            at_start: runs_where(|crash| crash.at_start),
            uncertain: runs_where(|crash| crash.uncertain),
            starts: task.suspect_starts,
            last_start: task.last_counted_start,
        }
    }

    fn crashes(&self) -> Vec<CrashedRun> {
        let runs = self.runs.iter().map(|&run| CrashedRun {
            run,
            at_start: self.at_start.contains(&run),
            uncertain: self.uncertain.contains(&run),
        });
        runs.collect()
    }
}

/// Progress of the tasks of one group.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct GroupProgress {
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// A bit for each task that is done: task `index` has bit `index % 64` of word
    /// `index / 64`. Trailing words without a bit may be missing.
    pub done: Vec<u64>,
    /// Tasks with failures.
    pub failures: Vec<TaskFailures>,
    /// Tasks with crashes of their workers; empty in values that an older version of the
    /// program stored.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<TaskCrashes>,
}

/// The stored progress of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProgressRecord {
    /// How it ended, if it did.
    pub ended: Option<FinalState>,
    /// Occurrences that are done.
    pub done_occurrences: Vec<u32>,
    /// Progress of the groups with a task that is done, has failed or crashed a worker.
    pub groups: Vec<GroupProgress>,
}

impl GroupProgress {
    /// Returns the progress of `group`; `None` if there is none.
    pub fn of(group: &Group) -> Option<Self> {
        let mut progress = Self {
            occurrence: group.key.occurrence,
            step: group.key.step,
            ..Self::default()
        };
        for (index, task) in group.tasks.iter().enumerate() {
            let index = index as u32;
            if task.state == TaskState::Done {
                progress.record_done(index);
            }
            if !task.failed_runs.is_empty() {
                progress.failures.push(TaskFailures {
                    index,
                    runs: task.failed_runs.clone(),
                    earlier: task.earlier_failures,
                });
            }
            if !task.crashes.is_empty() && task.state != TaskState::Done {
                progress.crashes.push(TaskCrashes::of(index, task));
            }
        }
        let empty =
            progress.done.is_empty() && progress.failures.is_empty() && progress.crashes.is_empty();
        (!empty).then_some(progress)
    }

    /// Whether this is the progress of the group.
    pub(super) fn is_of(&self, key: GroupKey) -> bool {
        (self.occurrence, self.step) == (key.occurrence, key.step)
    }

    /// Records that a task is done.
    pub(super) fn record_done(&mut self, index: u32) {
        let word = (index / WORD_BITS) as usize;
        if self.done.len() <= word {
            self.done.resize(word + 1, 0);
        }
        self.done[word] |= 1 << (index % WORD_BITS);
    }

    /// Records that a run of a task has failed, unless that is recorded already.
    pub(super) fn record_failure(&mut self, index: u32, run: u64) {
        let known = self.failures.iter().position(|row| row.index == index);
        let row = match known {
            Some(at) => self.failures.swap_remove(at),
            None => TaskFailures {
                index,
                runs: Vec::new(),
                earlier: 0,
            },
        };
        let mut task = Task {
            failed_runs: row.runs,
            earlier_failures: row.earlier,
            ..Task::default()
        };
        task.count_failure(run);
        self.failures.push(TaskFailures {
            index,
            runs: task.failed_runs,
            earlier: task.earlier_failures,
        });
    }

    /// Restores this progress in a new group. Entries for tasks that the group does not
    /// have are ignored.
    pub fn restore(&self, group: &mut Group) {
        for index in 0..group.tasks.len() as u32 {
            let word = self.done.get((index / WORD_BITS) as usize);
            if word.is_some_and(|word| word >> (index % WORD_BITS) & 1 == 1) {
                group.set_state(index, TaskState::Done);
            }
        }
        for row in &self.failures {
            if let Some(task) = group.tasks.get_mut(row.index as usize) {
                let highest = row.runs.iter().copied().max().unwrap_or(0);
                task.failed_runs.clone_from(&row.runs);
                task.earlier_failures = row.earlier;
                task.last_run = task.last_run.max(highest);
            }
        }
        for row in &self.crashes {
            if let Some(task) = group.tasks.get_mut(row.index as usize) {
                let highest = row.runs.iter().copied().max().unwrap_or(0);
                task.crashes = row.crashes();
                task.suspect_starts = row.starts;
                task.last_counted_start = row.last_start;
                task.count_crashes_as_starts();
                task.last_run = task.last_run.max(highest);
            }
        }
    }
}

impl ProgressRecord {
    /// Returns the highest number of a run that it contains; 0 for none.
    pub fn highest_run(&self) -> u64 {
        let groups = self.groups.iter();
        let runs = groups.flat_map(|group| {
            let failed = group.failures.iter().flat_map(|row| &row.runs);
            failed.chain(group.crashes.iter().flat_map(|row| &row.runs))
        });
        runs.copied().max().unwrap_or(0)
    }

    /// Returns the progress of a group, if there is any.
    pub fn group(&self, key: GroupKey) -> Option<&GroupProgress> {
        self.groups.iter().find(|group| group.is_of(key))
    }
}
