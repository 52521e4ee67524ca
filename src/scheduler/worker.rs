//! A worker as the scheduler sees it, and the arithmetic of its lease.

use super::action::Callee;
use super::{
    AddressConflict,
    ConfirmedRun,
    GroupKey,
    LateStart,
    LogEstimate,
    Progress,
    Resources,
    RunName,
    UnacknowledgedEnd,
    WorkerInfo, //
};
use crate::core::{
    JobId,
    WorkerKey, //
};
use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::sync::Arc;

/// A worker's clock may run this much slow, in thousandths; the platform's
/// bound is 20.
pub(super) const CLOCK_DRIFT_PERMILLE: u64 = 25;
/// Added to the end of a lease, for the worker to kill what it runs.
const LEASE_MARGIN_MS: u64 = 100;

/// A look shows what an order did only if it was sent this much after the
/// order's answer: both are known to the millisecond, and a look sent in the
/// same one may have been sent before. A run held to be gone would run twice.
pub(super) const CONCLUSIVE_MS: u64 = 2;

/// Ends that a worker lists in one answer are 500 at most. One with nearly as many
/// that wait gets no work: the ends that follow would never be heard of.
const MAX_UNACKNOWLEDGED_ENDS: usize = 400;

/// Where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// An earlier owner noted that it may be there; the worker has not been
    /// heard since.
    Unseen,
    /// Ordered; the worker has not confirmed it.
    Starting,
    /// On the worker.
    Running,
    /// Told to stop; its end is not listed yet.
    Stopping,
    /// Its gang is done; its own end is not listed yet.
    Ending,
}

/// One run on a worker, from its order to its listed end.
#[derive(Clone, Debug)]
pub struct Run {
    /// The step that it belongs to.
    pub group: GroupKey,
    /// The resources that it takes.
    pub resources: Resources,
    /// Its resources are not known: it takes all that the worker has.
    pub resources_unknown: bool,
    /// Where it stands.
    pub phase: RunPhase,
    /// When it was ordered.
    pub ordered_ms: u64,
    /// The worker said that it has, or had, it.
    pub confirmed: bool,
    /// The worker responded, with it, some time after its start.
    pub outlived: bool,
    /// A member of its gang listed an end of its own, so the whole gang has ended.
    pub gang_ended: bool,
    /// Its task was suspected of crashing workers when it started.
    pub on_trial: bool,
    /// Orders sent for the present phase.
    pub sends: u32,
    /// An order is on its way.
    pub in_flight: bool,
    /// When to send the order again.
    pub resend_ms: u64,
    /// A look sent from here on shows the run or its end, if it ever ran;
    /// `None` while a start may still arrive.
    pub conclusive_ms: Option<u64>,
    /// How far it was when last seen.
    pub percent: u32,
    /// When `percent` last rose.
    pub advanced_ms: u64,
    /// What its progress tells of its worker and of its task.
    pub progress: Progress,
    /// When the worker's report that its last throttle order rested on was received.
    pub throttled_ms: u64,
    /// What the worker said of its use: response tail or cores.
    pub usage: Option<f64>,
    /// The share of its full speed to which it is limited.
    pub throttle_percent: u32,
    /// A throttle order is in flight.
    pub throttle_in_flight: bool,
    /// Its cores are not counted.
    pub fills: bool,
    /// It serves users under a target.
    pub serves: bool,
    /// It runs until its job is cancelled.
    pub long_running: bool,
    /// Priority of its queue.
    pub priority: u32,
}

/// How well a worker is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// It has not answered this owner yet.
    Unfenced,
    /// It has seen this owner's epoch and answers.
    Answering,
    /// It has seen this owner's epoch and does not answer now.
    Silent,
    /// Its incarnation is over.
    Gone,
}

/// Whether the store says that a worker gets no more starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseState {
    /// It says nothing: starts may go there.
    Open,
    /// It is being told so.
    Closing,
    /// It says so.
    Closed,
    /// It is being told that starts may go there again.
    Opening,
}

impl Run {
    /// Whether a task that lasts is past its start.
    pub fn is_at_work(&self) -> bool {
        const AT_WORK_PERCENT: u32 = 100;
        self.phase == RunPhase::Running && self.percent >= AT_WORK_PERCENT
    }

    /// A run found on a worker, or noted by an earlier owner.
    pub(super) fn found(now_ms: u64, group: GroupKey) -> Self {
        Self {
            group,
            resources: Resources::default(),
            resources_unknown: false,
            phase: RunPhase::Running,
            ordered_ms: now_ms,
            confirmed: true,
            outlived: true,
            gang_ended: false,
            on_trial: false,
            sends: 1,
            in_flight: false,
            resend_ms: now_ms,
            conclusive_ms: Some(now_ms),
            percent: 0,
            advanced_ms: now_ms,
            progress: Progress::default(),
            throttled_ms: 0,
            usage: None,
            throttle_percent: u32::MAX,
            throttle_in_flight: false,
            fills: false,
            serves: false,
            long_running: false,
            priority: u32::MAX,
        }
    }
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its key.
    pub key: WorkerKey,
    /// As it registered itself.
    pub info: WorkerInfo,
    /// When the incarnation that answers started, by its own account.
    pub incarnation_start_ms: Option<u64>,
    /// Starts that had no answer: they may be carried out late.
    pub late_starts: Vec<LateStart>,
    /// Since when it says that it is leaving.
    pub draining_since_ms: Option<u64>,
    /// Its registration is there.
    pub listed: bool,
    /// Why that names no worker to use, if it does not.
    pub entry_problem: Option<&'static str>,
    /// Set if its entry names another address than the one at which it was known.
    pub address_conflict: Option<AddressConflict>,
    /// The roster in the store names it.
    pub on_roster: bool,
    /// Whether the store says that it gets no more starts.
    pub close_state: CloseState,
    /// How well it is known.
    pub contact: Contact,
    /// Its clock and when that was read.
    pub clock: Option<(u64, u64)>,
    /// A start was void on arrival by that clock: it gets none until it is read anew.
    pub clock_doubted: bool,
    /// Highest end of a lease ever sent to it, on its clock.
    pub lease_end_ms: u64,
    /// When it last answered.
    pub heard_ms: u64,
    /// Polls that failed in a row.
    pub failed_polls: u32,
    /// What is there, from the order to the listed end.
    pub runs: BTreeMap<RunName, Run>,
    /// Room taken by them.
    pub used: Resources,
    /// Ends up to here are durable.
    pub last_seen: u64,
    /// Number of the last end that was received from it.
    pub last_received_end: u64,
    /// Ends that were reported but not yet acknowledged, in the order of their numbers.
    pub unacknowledged_ends: VecDeque<UnacknowledgedEnd>,
    /// A poll is in flight.
    pub poll_in_flight: bool,
    /// That poll is a first one, of which only so many may be in flight.
    pub first_poll: bool,
    /// When to send the next poll.
    pub poll_at_ms: u64,
    /// No room there until then, whatever the sums say.
    pub full_until_ms: u64,
    /// It has said that it is leaving.
    pub has_drained: bool,
    /// Its machine has its upkeep next: it gets nothing.
    pub upkeep_next: bool,
    /// Its data centre gets no new tasks.
    pub emptied: bool,
    /// When it was last given a run.
    pub started_ms: u64,
    /// Runs that were lost with its lease; whether it crashed is not known yet.
    pub lost: Vec<ConfirmedRun>,
    /// When its incarnation was found to have crashed.
    pub crashed_ms: Option<u64>,
    /// Kept until then for a task that may crash it.
    pub trial_until_ms: u64,
    /// Gets nothing until then.
    pub quarantined_until_ms: u64,
    /// Length of the last quarantine.
    pub quarantine_ms: u64,
    /// Jobs that failed there since the last one was done, with the times.
    pub failures: Vec<(u64, JobId)>,
    /// Run times there against those on a usual worker, as a logarithm.
    pub slowness: LogEstimate,
    address: Arc<str>,
    name: Arc<str>,
    rack: Arc<str>,
}

/// The rack of a worker: the second of its labels.
fn rack_of(info: &WorkerInfo) -> &str {
    info.labels.get(1).map_or("", String::as_str)
}

impl Worker {
    /// A worker that registered itself.
    pub fn new(key: WorkerKey, info: WorkerInfo) -> Self {
        Self {
            key,
            address: info.address.as_str().into(),
            name: info.worker_name.as_str().into(),
            rack: rack_of(&info).into(),
            info,
            incarnation_start_ms: None,
            late_starts: Vec::new(),
            draining_since_ms: None,
            listed: false,
            entry_problem: None,
            address_conflict: None,
            on_roster: false,
            close_state: CloseState::Open,
            contact: Contact::Unfenced,
            clock: None,
            clock_doubted: false,
            lease_end_ms: 0,
            heard_ms: 0,
            failed_polls: 0,
            runs: BTreeMap::new(),
            used: Resources::default(),
            last_seen: 0,
            last_received_end: 0,
            unacknowledged_ends: VecDeque::new(),
            poll_in_flight: false,
            first_poll: false,
            poll_at_ms: 0,
            full_until_ms: 0,
            has_drained: false,
            upkeep_next: false,
            emptied: false,
            started_ms: 0,
            lost: Vec::new(),
            crashed_ms: None,
            trial_until_ms: 0,
            quarantined_until_ms: 0,
            quarantine_ms: 0,
            failures: Vec::new(),
            slowness: LogEstimate::of_slowness(),
        }
    }

    /// Takes in what it says of itself now.
    pub fn update(&mut self, info: WorkerInfo, now_ms: u64) {
        self.draining_since_ms = match info.draining {
            true => self.draining_since_ms.or(Some(now_ms)),
            false => None,
        };
        self.has_drained |= info.draining;
        self.set_address(&info.address);
        self.rack = rack_of(&info).into();
        let capacity = info.capacity;
        self.info = info;
        self.listed = true;
        self.fill_with_unknown(capacity);
    }

    /// Has it called at `address` from now on.
    pub(super) fn set_address(&mut self, address: &str) {
        self.address = address.into();
    }

    /// A run of which nothing is known holds all the room, also if the capacity
    /// was not known when it was found.
    fn fill_with_unknown(&mut self, capacity: Resources) {
        for run in self.runs.values_mut().filter(|run| run.resources_unknown) {
            self.used = self.used.minus(&run.resources).plus(&capacity);
            run.resources = capacity;
        }
    }

    /// Whom to call.
    pub fn callee(&self) -> Callee {
        Callee {
            worker: self.key,
            address: self.address.clone(),
            worker_name: self.name.clone(),
        }
    }

    /// Its name, for logs.
    pub fn name(&self) -> Arc<str> {
        self.name.clone()
    }

    /// The room left.
    pub fn free(&self) -> Resources {
        self.info.capacity.minus(&self.used)
    }

    /// Whether its room has shrunk below what is there. Room of another kind is not to
    /// be had there either, and what is stopped there makes room for nobody.
    pub fn is_overfull(&self) -> bool {
        !self.info.capacity.holds(&self.used)
    }

    /// Whether its entry was written by another incarnation than the one that answers.
    pub fn is_entry_of_another(&self) -> bool {
        let births = self
            .incarnation_start_ms
            .zip(self.info.incarnation_start_ms);
        births.is_some_and(|(own, written)| own != written)
    }

    /// Whether its entry is there and names a worker to use.
    pub fn is_usable(&self) -> bool {
        self.listed && self.entry_problem.is_none()
    }

    /// Whether new work may go there.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.contact == Contact::Answering
            && self.is_usable()
            && self.unacknowledged_ends.len() < MAX_UNACKNOWLEDGED_ENDS
            && self.on_roster
            && self.close_state == CloseState::Open
            && !self.upkeep_next
            && !self.emptied
            && !self.is_overfull()
            && !self.info.draining
            && self.failed_polls == 0
            && self.clock.is_some()
            && !self.clock_doubted
            && now_ms >= self.full_until_ms
            && now_ms >= self.quarantined_until_ms
            && now_ms >= self.trial_until_ms
    }

    /// Whether it has the label; an empty one always.
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.info.labels.iter().any(|own| own == label)
    }

    /// Its rack.
    pub fn rack(&self) -> &Arc<str> {
        &self.rack
    }

    /// Its clock at `now_ms`, as far as known.
    pub fn clock_at(&self, now_ms: u64) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        Some(clock_ms + now_ms.saturating_sub(read_ms))
    }

    /// Notes a lease that an order carries and returns its end on the worker's
    /// clock.
    pub fn grant(&mut self, now_ms: u64, length_ms: u64) -> Option<u64> {
        let end_ms = self.clock_at(now_ms)? + length_ms;
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
        Some(end_ms)
    }

    /// From when on nothing that this owner ordered can run there, without a
    /// further answer: the end of the longest lease that was ever sent, on a
    /// clock that is as slow as the platform allows.
    pub fn leases_expired_ms(&self) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        let left_ms = self.lease_end_ms.saturating_sub(clock_ms);
        Some(read_ms + left_ms + left_ms * CLOCK_DRIFT_PERMILLE / 1_000 + LEASE_MARGIN_MS)
    }

    /// Takes in a run.
    pub fn add_run(&mut self, name: RunName, run: Run) {
        self.used = self.used.plus(&run.resources);
        if let Some(before) = self.runs.insert(name, run) {
            self.used = self.used.minus(&before.resources);
        }
    }

    /// Lets a run go with its room.
    pub fn remove_run(&mut self, name: &RunName) -> Option<Run> {
        let run = self.runs.remove(name)?;
        self.used = self.used.minus(&run.resources);
        Some(run)
    }

    /// The room left once everything that is stopping has ended.
    pub fn free_soon(&self) -> Resources {
        let leaving = self
            .runs
            .values()
            .filter(|run| matches!(run.phase, RunPhase::Stopping | RunPhase::Ending));
        leaving.fold(self.free(), |sum, run| sum.plus(&run.resources))
    }
}
