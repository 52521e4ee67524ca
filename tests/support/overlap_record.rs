//! Judges by what workers recorded whether tasks ran as often as they may, and in order.

use crate::overlap_simulation::step_of;
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    EndKind,
    GroupKey,
    JobRecord,
    RunName,
    TaskId, //
};
use std::fmt;

/// Attempts that the queues of `fleet::configuration` allow.
pub const MAX_ATTEMPTS: usize = 2;

/// What a worker recorded of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunRecord {
    pub name: RunName,
    pub worker: usize,
    pub started_ms: u64,
    pub ended: Option<(u64, EndKind)>,
    /// Whether its end was acknowledged.
    pub acknowledged: bool,
    /// The worker's lease expired between the end and its acknowledgement.
    pub lease_expired_since: bool,
}

/// A broken rule, with the run that broke it and an earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Breach {
    TwiceAtOnce(RunName, RunName),
    AfterDone(RunName, RunName),
    BeforeStep(RunName, u32),
    AfterLastAttempt(RunName),
}

impl fmt::Display for RunRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, worker, ended) = (self.name, self.worker, self.ended);
        let (from_ms, counts) = (self.started_ms, self.counts());
        write!(f, "{} run {} on w{worker} ", name.task, name.run)?;
        write!(f, "from {from_ms}: {ended:?}, end counts: {counts}")
    }
}

impl RunRecord {
    pub fn started(name: RunName, worker: usize, started_ms: u64) -> Self {
        Self {
            name,
            worker,
            started_ms,
            ended: None,
            acknowledged: false,
            lease_expired_since: false,
        }
    }

    fn ended_before(&self, at_ms: u64, kind: EndKind) -> bool {
        self.ended
            .is_some_and(|(ended_ms, how)| how == kind && ended_ms <= at_ms)
    }

    /// Whether its end counts: it was acknowledged before the lease of its worker expired.
    fn counts(&self) -> bool {
        self.acknowledged && !self.lease_expired_since
    }

    fn overlaps(&self, other: &Self) -> bool {
        let end_ms = |run: &Self| run.ended.map_or(u64::MAX, |(ended_ms, _)| ended_ms);
        self.started_ms < end_ms(other) && other.started_ms < end_ms(self)
    }
}

/// Returns the rules that the recorded runs broke.
pub fn breaches(jobs: &[(JobId, JobRecord)], record: &[RunRecord]) -> Vec<Breach> {
    let mut found = Vec::new();
    for (at, run) in record.iter().enumerate() {
        let task = run.name.task;
        // The end of one member of a gang is the end of all.
        let is_end_of = |other: &RunRecord, task: TaskId| match step_of(jobs, task).gang {
            true => GroupKey::of(other.name.task) == GroupKey::of(task),
            false => other.name.task == task,
        };
        for other in &record[..at] {
            if other.name.task == task && other.overlaps(run) {
                found.push(Breach::TwiceAtOnce(run.name, other.name));
            }
            let is_done = other.ended_before(run.started_ms, EndKind::Done) && other.counts();
            if is_done && is_end_of(other, task) {
                found.push(Breach::AfterDone(run.name, other.name));
            }
        }
        for &earlier in &step_of(jobs, task).after {
            let key = GroupKey {
                step: earlier,
                ..GroupKey::of(task)
            };
            let is_done = |task: TaskId| {
                let mut ends = record.iter().filter(|other| is_end_of(other, task));
                ends.any(|other| other.ended_before(run.started_ms, EndKind::Done))
            };
            let count = step_of(jobs, key.task(0)).count;
            if !(0..count).all(|index| is_done(key.task(index))) {
                found.push(Breach::BeforeStep(run.name, earlier));
            }
        }
        let failed = record.iter().filter(|other| {
            let is_own = other.name.task == task && other.counts();
            is_own && other.ended_before(run.started_ms, EndKind::Failed)
        });
        if failed.count() >= MAX_ATTEMPTS {
            found.push(Breach::AfterLastAttempt(run.name));
        }
    }
    found
}
