//! Keeps the crashes that owners counted until they are certainly stored.
//!
//! An owner counts a crash in memory and then stores the count, which takes as long as the store
//! is down. If the owner exits before that, its successor finds nothing: the crashed worker has
//! restarted and runs nothing. So an owner also sends each crash at the start of a task to all
//! daemons with its heartbeats, and the daemon that takes over next passes those that it knows to
//! its scheduler, which ignores the ones that were stored.

use super::peer_frame::CrashMessage;
use crate::core::JobId;
use crate::scheduler::{
    CountedCrash,
    CrashedRun,
    GroupKey,
    RunName, //
};
use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// How long a crash is remembered: longer than a store outage that jobs survive.
const RETENTION_MS: u64 = 60_000;
/// Most crashes that are remembered; the oldest one is forgotten first.
const MAX_CRASHES: usize = 2_048;
/// Most crashes in one heartbeat, so that it fits into a datagram.
const MAX_CRASHES_PER_HEARTBEAT: usize = 8;
/// Number of heartbeats that carry a crash. Datagrams may be lost.
const SENDS_PER_CRASH: u32 = 3;

/// The crashes that this daemon counted as the owner, or that owners have sent it.
#[derive(Debug, Default)]
pub struct CountedCrashes {
    /// Each crash with the time at which it was recorded.
    crashes: BTreeMap<RunName, (u64, CountedCrash)>,
    /// Crashes that have to be sent, with the number of sends that are left.
    unsent: VecDeque<(u32, CountedCrash)>,
}

impl CountedCrashes {
    /// Records a crash that this daemon counted. Returns whether other daemons have to be told.
    pub fn record_own(&mut self, crash: CountedCrash, now_ms: u64) -> bool {
        let is_new = self.record(crash, now_ms);
        if is_new {
            self.unsent.push_back((SENDS_PER_CRASH, crash));
        }
        is_new
    }

    /// Records a crash. Returns whether it was not known.
    pub fn record(&mut self, crash: CountedCrash, now_ms: u64) -> bool {
        self.crashes
            .retain(|_, &mut (at_ms, _)| now_ms < at_ms + RETENTION_MS);
        while self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|&(_, &(at_ms, _))| at_ms);
            let Some((&oldest, _)) = oldest else {
                break;
            };
            self.crashes.remove(&oldest);
        }
        let replaced = self.crashes.insert(crash.name, (now_ms, crash));
        replaced.is_none()
    }

    /// All crashes that are remembered.
    pub fn all(&self) -> Vec<CountedCrash> {
        self.crashes.values().map(|&(_, crash)| crash).collect()
    }

    /// Returns the crashes that the next heartbeat carries.
    pub fn take_unsent(&mut self) -> Vec<CountedCrash> {
        let count = self.unsent.len().min(MAX_CRASHES_PER_HEARTBEAT);
        let sent: Vec<(u32, CountedCrash)> = self.unsent.drain(..count).collect();
        let unsent_again = sent.iter().filter(|(sends_left, _)| *sends_left > 1);
        self.unsent
            .extend(unsent_again.map(|&(sends_left, crash)| (sends_left - 1, crash)));
        sent.into_iter().map(|(_, crash)| crash).collect()
    }

    /// Whether crashes have to be sent.
    pub fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }
}

impl From<CountedCrash> for CrashMessage {
    fn from(crash: CountedCrash) -> Self {
        let task = crash.name.task;
        Self {
            job: task.job.0,
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
            run: crash.name.run,
            uncertain: crash.crash.uncertain,
            only_suspect: crash.only_suspect,
        }
    }
}

impl From<&CrashMessage> for CountedCrash {
    fn from(message: &CrashMessage) -> Self {
        let group = GroupKey {
            job: JobId(message.job),
            occurrence: message.occurrence,
            step: message.step,
        };
        Self {
            name: RunName {
                task: group.task(message.index),
                run: message.run,
            },
            crash: CrashedRun {
                run: message.run,
                at_start: true,
                uncertain: message.uncertain,
            },
            only_suspect: message.only_suspect,
        }
    }
}
