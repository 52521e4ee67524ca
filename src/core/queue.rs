//! Waiting jobs, in groups that a placement treats alike.
//!
//! Jobs of one account, class and shape fit or fail together, so a group whose
//! first job failed is blocked until enough accelerators of a worker come
//! free. A pass thus costs what changed, not what waits.

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

/// What jobs of a group have in common.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GroupKey {
    /// Account.
    pub account: AccountKey,
    /// Class.
    pub class: ClassKey,
    /// Shape.
    pub shape: Shape,
    /// Whether the job can be taken back and so may use lent capacity.
    pub yields: bool,
}

/// Place in the order of a pass: latest start, group index.
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
    vacant: Vec<u32>,
    ready: BTreeSet<Cursor>,
    blocked: Vec<Vec<u32>>,
    len: usize,
}

fn size_of(key: &GroupKey) -> usize {
    usize::from(key.shape.accelerators_per_worker).min(MAX_ACCELERATORS_PER_WORKER + 1)
}

impl Queue {
    /// Adds a waiting job.
    pub fn insert(&mut self, key: GroupKey, latest_start_ms: u64, job: JobKey) {
        let at = self.group_for(key);
        let group = &mut self.groups[at as usize];
        let before = group.jobs.first().map(|&(latest, _)| latest);
        group.jobs.insert((latest_start_ms, job));
        self.len += 1;
        if !group.blocked && before.is_none_or(|latest| latest_start_ms < latest) {
            if let Some(latest) = before {
                self.ready.remove(&(latest, at));
            }
            self.ready.insert((latest_start_ms, at));
        }
    }

    fn group_for(&mut self, key: GroupKey) -> u32 {
        if let Some(&at) = self.index.get(&key) {
            return at;
        }
        let group = Group {
            key,
            jobs: BTreeSet::new(),
            blocked: false,
        };
        let at = match self.vacant.pop() {
            Some(at) => {
                self.groups[at as usize] = group;
                at
            }
            None => {
                self.groups.push(group);
                self.groups.len() as u32 - 1
            }
        };
        self.index.insert(key, at);
        at
    }

    /// Takes a job out; says whether it was there.
    pub fn remove(&mut self, key: GroupKey, latest_start_ms: u64, job: JobKey) -> bool {
        let Some(&at) = self.index.get(&key) else {
            return false;
        };
        let group = &mut self.groups[at as usize];
        let first = group.jobs.first().copied();
        if !group.jobs.remove(&(latest_start_ms, job)) {
            return false;
        }
        self.len -= 1;
        let next = group.jobs.first().map(|&(latest, _)| latest);
        if first == Some((latest_start_ms, job)) && !group.blocked {
            self.ready.remove(&(latest_start_ms, at));
            if let Some(latest) = next {
                self.ready.insert((latest, at));
            }
        }
        if next.is_none() {
            self.drop_group(key, at);
        }
        true
    }

    fn drop_group(&mut self, key: GroupKey, at: u32) {
        if self.groups[at as usize].blocked {
            for list in &mut self.blocked {
                list.retain(|&blocked| blocked != at);
            }
        }
        self.index.remove(&key);
        self.vacant.push(at);
    }

    /// The first ready job after `cursor`.
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

    /// Blocks the group at `cursor` until accelerators come free.
    pub fn block(&mut self, cursor: Cursor) {
        self.ready.remove(&cursor);
        let group = &mut self.groups[cursor.1 as usize];
        group.blocked = true;
        let size = size_of(&group.key);
        if self.blocked.len() <= size {
            self.blocked.resize_with(size + 1, Vec::new);
        }
        self.blocked[size].push(cursor.1);
    }

    /// Makes groups ready again that need at most `accelerators` of a worker.
    pub fn unblock(&mut self, accelerators: u16) {
        let limit = usize::from(accelerators).min(self.blocked.len().saturating_sub(1));
        for size in 0..=limit {
            let Some(list) = self.blocked.get_mut(size) else {
                return;
            };
            for at in std::mem::take(list) {
                let group = &mut self.groups[at as usize];
                group.blocked = false;
                if let Some(&(latest, _)) = group.jobs.first() {
                    self.ready.insert((latest, at));
                }
            }
        }
    }

    /// Makes every group ready again.
    pub fn unblock_all(&mut self) {
        self.unblock(u16::MAX);
    }

    /// Whether a group of jobs waits.
    pub fn has_group(&self, key: &GroupKey) -> bool {
        self.index.contains_key(key)
    }

    /// Number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.len
    }

    /// Shapes in demand with the number of jobs that wait for each.
    pub fn demand(&self) -> impl Iterator<Item = (Shape, usize)> + '_ {
        self.index
            .iter()
            .map(|(key, &at)| (key.shape, self.groups[at as usize].jobs.len()))
    }
}
