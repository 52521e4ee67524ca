//! What is stored of a job's progress, and how it is read back.

use super::{
    Group,
    GroupKey,
    TaskState, //
};
use serde::{
    Deserialize,
    Serialize, //
};

const WORD_BITS: u32 = 64;

/// How a job ended by itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FinalState {
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
}

/// Failures of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskFailures {
    /// The task.
    pub index: u32,
    /// The runs that failed, so that an end that is listed again after a
    /// change of owner is not counted again.
    pub runs: Vec<u64>,
}

/// Progress of the tasks of one group.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct GroupProgress {
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// A bit for each task that is done.
    pub done: Vec<u64>,
    /// Tasks with failures.
    pub failures: Vec<TaskFailures>,
}

/// Progress of a job, as it is stored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProgressRecord {
    /// How it ended, if it did.
    pub ended: Option<FinalState>,
    /// Occurrences that are done.
    pub done_occurrences: Vec<u32>,
    /// Groups that have begun to end.
    pub groups: Vec<GroupProgress>,
}

impl GroupProgress {
    /// The progress of `group`; `None` if there is none.
    pub fn of(group: &Group) -> Option<Self> {
        let mut progress = Self {
            occurrence: group.key.occurrence,
            step: group.key.step,
            ..Self::default()
        };
        for (index, task) in group.tasks.iter().enumerate() {
            let index = index as u32;
            if task.state == TaskState::Done {
                let word = (index / WORD_BITS) as usize;
                if progress.done.len() <= word {
                    progress.done.resize(word + 1, 0);
                }
                progress.done[word] |= 1 << (index % WORD_BITS);
            }
            if !task.failed_runs.is_empty() {
                progress.failures.push(TaskFailures {
                    index,
                    runs: task.failed_runs.clone(),
                });
            }
        }
        (!progress.done.is_empty() || !progress.failures.is_empty()).then_some(progress)
    }

    /// Brings a new group to this progress. Parts that name no task of the
    /// group are passed over.
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
                task.last_run = task.last_run.max(highest);
            }
        }
    }
}

impl ProgressRecord {
    /// The highest number of a run that it names; 0 for none.
    pub fn highest_run(&self) -> u64 {
        let failures = self.groups.iter().flat_map(|group| &group.failures);
        let runs = failures.flat_map(|row| &row.runs);
        runs.copied().max().unwrap_or(0)
    }

    /// What is noted of a group.
    pub fn group(&self, key: GroupKey) -> Option<&GroupProgress> {
        self.groups
            .iter()
            .find(|group| (group.occurrence, group.step) == (key.occurrence, key.step))
    }
}
