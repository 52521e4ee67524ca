//! Queues waiting jobs in groups that placement treats alike.
//!
//! The jobs of a group have the same [`GroupKey`]. If the first of them could not
//! be placed, the whole group is blocked until a worker has enough free
//! accelerators, or until the next tick. The cost of a pass thus depends on what
//! changed and not on the number of waiting jobs.

use super::{
    AccountKey,
    ClassKey,
    JobKey,
    Shape,
    worker::MAX_ACCELERATORS_PER_WORKER, //
};
use std::collections::{
    BTreeSet,
    HashMap, //
};

/// The properties that the jobs of a group share.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GroupKey {
    /// Their account.
    pub account: AccountKey,
    /// Their class.
    pub class: ClassKey,
    /// Their shape.
    pub shape: Shape,
    /// Whether they may be preempted, and so may use lent accelerators.
    pub is_reclaimable: bool,
}

/// Position in the order of a pass: latest start of the first job, group index.
pub type Cursor = (u64, u32);

#[derive(Debug)]
struct Group {
    key: GroupKey,
    jobs: BTreeSet<(u64, JobKey)>,
    blocked: bool,
}

/// The waiting jobs of a cell.
#[derive(Debug, Default)]
pub struct Queue {
    groups: Vec<Group>,
    index: HashMap<GroupKey, u32>,
    /// Indexes of `groups` that are not in use.
    vacant: Vec<u32>,
    ready: BTreeSet<Cursor>,
    /// Indexes of the blocked groups, by the accelerators they need on a worker.
    blocked: Vec<Vec<u32>>,
    len: usize,
}

/// Returns the accelerators that a group needs on each worker. Shapes too large
/// for any worker share one value.
fn needed_per_worker(key: &GroupKey) -> usize {
    usize::from(key.shape.accelerators_per_worker).min(MAX_ACCELERATORS_PER_WORKER + 1)
}

impl Queue {
    /// Adds a waiting job.
    pub fn insert(&mut self, key: GroupKey, latest_start_ms: u64, job: JobKey) {
        let slot = self.group_for(key);
        let group = &mut self.groups[slot as usize];
        let before = group.jobs.first().map(|&(latest, _)| latest);
        group.jobs.insert((latest_start_ms, job));
        self.len += 1;
        if !group.blocked && before.is_none_or(|latest| latest_start_ms < latest) {
            if let Some(latest) = before {
                self.ready.remove(&(latest, slot));
            }
            self.ready.insert((latest_start_ms, slot));
        }
    }

    fn group_for(&mut self, key: GroupKey) -> u32 {
        if let Some(&slot) = self.index.get(&key) {
            return slot;
        }
        let group = Group {
            key,
            jobs: BTreeSet::new(),
            blocked: false,
        };
        let slot = match self.vacant.pop() {
            Some(slot) => {
                self.groups[slot as usize] = group;
                slot
            }
            None => {
                self.groups.push(group);
                self.groups.len() as u32 - 1
            }
        };
        self.index.insert(key, slot);
        slot
    }

    /// Removes a job and returns whether it was there.
    pub fn remove(&mut self, key: GroupKey, latest_start_ms: u64, job: JobKey) -> bool {
        let Some(&slot) = self.index.get(&key) else {
            return false;
        };
        let group = &mut self.groups[slot as usize];
        let first = group.jobs.first().copied();
        if !group.jobs.remove(&(latest_start_ms, job)) {
            return false;
        }
        self.len -= 1;
        let next = group.jobs.first().map(|&(latest, _)| latest);
        if first == Some((latest_start_ms, job)) && !group.blocked {
            self.ready.remove(&(latest_start_ms, slot));
            if let Some(latest) = next {
                self.ready.insert((latest, slot));
            }
        }
        if next.is_none() {
            self.remove_group(key, slot);
        }
        true
    }

    fn remove_group(&mut self, key: GroupKey, slot: u32) {
        if self.groups[slot as usize].blocked {
            for list in &mut self.blocked {
                list.retain(|&blocked| blocked != slot);
            }
        }
        self.index.remove(&key);
        self.vacant.push(slot);
    }

    /// Returns the first job of the next ready group after `cursor`.
    pub fn next_ready(&self, cursor: Option<Cursor>) -> Option<(Cursor, JobKey)> {
        let next = match cursor {
            None => self.ready.first(),
            Some(after) => {
                use std::ops::Bound;
                self.ready
                    .range((Bound::Excluded(after), Bound::Unbounded))
                    .next()
            }
        }?;
        let &(_, job) = self.groups[next.1 as usize].jobs.first()?;
        Some((*next, job))
    }

    /// Blocks the group at `cursor` until accelerators become free.
    pub fn block(&mut self, cursor: Cursor) {
        self.ready.remove(&cursor);
        let group = &mut self.groups[cursor.1 as usize];
        group.blocked = true;
        let size = needed_per_worker(&group.key);
        if self.blocked.len() <= size {
            self.blocked.resize_with(size + 1, Vec::new);
        }
        self.blocked[size].push(cursor.1);
    }

    /// Unblocks the groups that need at most `accelerators` on a worker.
    pub fn unblock(&mut self, accelerators: u16) {
        let limit = usize::from(accelerators).min(self.blocked.len().saturating_sub(1));
        for size in 0..=limit {
            let Some(list) = self.blocked.get_mut(size) else {
                return;
            };
            for slot in std::mem::take(list) {
                let group = &mut self.groups[slot as usize];
                group.blocked = false;
                if let Some(&(latest, _)) = group.jobs.first() {
                    self.ready.insert((latest, slot));
                }
            }
        }
    }

    /// Unblocks every group.
    pub fn unblock_all(&mut self) {
        self.unblock(u16::MAX);
    }

    /// Returns whether a job of the group waits.
    pub fn has_group(&self, key: &GroupKey) -> bool {
        self.index.contains_key(key)
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.len
    }

    /// Returns the shape of each group with the number of its waiting jobs.
    pub fn demand(&self) -> impl Iterator<Item = (Shape, usize)> + '_ {
        self.index
            .iter()
            .map(|(key, &slot)| (key.shape, self.groups[slot as usize].jobs.len()))
    }
}
