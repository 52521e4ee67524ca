//! The scheduler's record of a worker: its runs, its capacity and its lease.

use super::action::Callee;
use super::{
    AddressConflict,
    ConfirmedRun,
    GroupKey,
    LateStart,
    Progress,
    Resources,
    RunName,
    UnacknowledgedEnd,
    WorkerInfo,
    WorkerSpeed, //
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

/// How much slower than real time a worker's clock may run, in thousandths. The
/// platform guarantees at most 20.
pub(super) const CLOCK_DRIFT_PERMILLE: u64 = 25;
/// Time after the end of a lease in which the worker kills its runs.
const LEASE_MARGIN_MS: u64 = 100;

/// A poll shows the effect of an order only if it was sent this long after the answer
/// to the order. Both times are known to the millisecond only, so a poll that was sent
/// in the same millisecond may have been sent before the answer came. A run that is
/// wrongly taken as absent would be started a second time.
pub(super) const CONCLUSIVE_MS: u64 = 2;

/// A worker with this many unacknowledged ends gets no work, which bounds how many ends it lists
/// beyond one answer. What runs there is not counted, so that small tasks can fill a large worker.
const MAX_UNACKNOWLEDGED_ENDS: usize = 400;

/// The phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// Stored by an earlier owner as possibly on the worker, which has not answered
    /// this owner since.
    Unseen,
    /// Its start was ordered; the worker has not confirmed it.
    Starting,
    /// The worker reported it as running.
    Running,
    /// Its stop was ordered; the worker has not listed its end yet.
    Stopping,
    /// Its gang is done; the worker has not listed the end of this run yet.
    Ending,
}

/// One run on a worker, from its start order to its listed end.
#[derive(Clone, Debug)]
pub struct Run {
    /// The group that it belongs to.
    pub group: GroupKey,
    /// The resources that it takes.
    pub resources: Resources,
    /// Its resources are not known, so it is counted as taking the worker's whole capacity.
    pub resources_unknown: bool,
    /// Its phase.
    pub phase: RunPhase,
    /// When its start was ordered.
    pub ordered_ms: u64,
    /// The worker reported that it has, or had, the run.
    pub confirmed: bool,
    /// The worker reported the run long enough after its start that the start did not crash
    /// the worker.
    pub survived_start: bool,
    /// That it survived its start is recorded with its task. A run that was adopted counts as
    /// having survived, but its task is cleared only once this owner sees it go on.
    pub survival_recorded: bool,
    /// A member of its gang listed an end of its own, so the whole gang has ended.
    pub gang_ended: bool,
    /// When it may have ended for a reason other than its progress: when its stop was
    /// ordered, or as an earlier owner stored it.
    pub possible_end_ms: Option<u64>,
    /// Its task was suspected of crashing workers when the run was started.
    pub suspected: bool,
    /// Number of orders sent for the current phase.
    pub sends: u32,
    /// An order is in flight.
    pub in_flight: bool,
    /// When to send the order again if there is no answer.
    pub resend_ms: u64,
    /// A poll sent at this time or later shows the run or its end, if it ever ran.
    /// `None` while a start may still arrive.
    pub conclusive_ms: Option<u64>,
    /// Its progress at the last report, in percent.
    pub percent: u32,
    /// When `percent` last changed.
    pub advanced_ms: u64,
    /// Its reported progress, from which the speed of its worker and the run time of its
    /// task are estimated.
    pub progress: Progress,
    /// When the worker's report behind the last throttle order was received.
    pub throttled_ms: u64,
    /// The usage that the worker reported: tail latency or cores.
    pub usage: Option<f64>,
    /// The share of its full speed to which it is limited, in percent; `u32::MAX` if no
    /// limit is known.
    pub throttle_percent: u32,
    /// A throttle order is in flight.
    pub throttle_in_flight: bool,
    /// It runs on spare cores, which are not counted as used.
    pub fills: bool,
    /// It serves users and has a latency target.
    pub serves: bool,
    /// It runs until its job is cancelled.
    pub long_running: bool,
    /// The priority of its queue.
    pub priority: u32,
}

/// The state of the contact with a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// It has not answered this owner yet, so it may not know this owner's epoch.
    Unfenced,
    /// It knows this owner's epoch and answered the last poll.
    Answering,
    /// It knows this owner's epoch and did not answer the last poll.
    Unresponsive,
    /// Its incarnation has ended.
    Gone,
}

/// Whether a worker is stored as closed, so that it gets no more starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseState {
    /// The store does not name it as closed; starts may be sent to it.
    Open,
    /// It is being stored as closed.
    Closing,
    /// It is stored as closed.
    Closed,
    /// It is being stored as open again.
    Opening,
}

impl Run {
    /// Whether the run is running and has reported 100 percent, which for a long-running
    /// task means that its start is complete.
    pub fn is_at_work(&self) -> bool {
        const AT_WORK_PERCENT: u32 = 100;
        self.phase == RunPhase::Running && self.percent >= AT_WORK_PERCENT
    }

    /// Returns a run that was found on a worker or stored by an earlier owner.
    pub(super) fn found(now_ms: u64, group: GroupKey) -> Self {
        Self {
            group,
            resources: Resources::default(),
            resources_unknown: false,
            phase: RunPhase::Running,
            ordered_ms: now_ms,
            confirmed: true,
            survived_start: true,
            survival_recorded: false,
            gang_ended: false,
            possible_end_ms: None,
            suspected: false,
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

/// A worker and what the scheduler knows about it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its key.
    pub key: WorkerKey,
    /// Its registration.
    pub info: WorkerInfo,
    /// When the incarnation that answers started, as the worker reports it.
    pub incarnation_start_ms: Option<u64>,
    /// Starts without an answer, which the worker may still carry out.
    pub late_starts: Vec<LateStart>,
    /// When it first announced that it is draining, if it still does.
    pub draining_since_ms: Option<u64>,
    /// Its entry is present in the store.
    pub listed: bool,
    /// Why its entry cannot be used, if it cannot.
    pub entry_problem: Option<&'static str>,
    /// Set if its entry names a different address from the known one.
    pub address_conflict: Option<AddressConflict>,
    /// The roster in the store names it.
    pub on_roster: bool,
    /// Whether it is stored as closed.
    pub close_state: CloseState,
    /// The state of the contact with it.
    pub contact: Contact,
    /// The last reading of its clock, and when that was taken.
    pub clock: Option<(u64, u64)>,
    /// A start had expired on arrival by that clock. The worker gets no more starts until
    /// its clock is read again.
    pub clock_suspect: bool,
    /// The latest end of any lease sent to it, on its clock.
    pub lease_end_ms: u64,
    /// When it last answered a poll.
    pub last_response_ms: u64,
    /// Number of polls that failed in a row.
    pub failed_polls: u32,
    /// Its runs, each from its start order to its listed end.
    pub runs: BTreeMap<RunName, Run>,
    /// The resources that its runs take.
    pub used: Resources,
    /// It lists no further ends of runs that earlier owners started: it has listed all of them,
    /// or its lease has expired since, so that those that it still lists do not count.
    pub earlier_ends_known: bool,
    /// Number of the last end up to which all ends are durable.
    pub last_seen: u64,
    /// Number of the last end received from it.
    pub last_received_end: u64,
    /// Ends that were received and not yet acknowledged, by ascending number.
    pub unacknowledged_ends: VecDeque<UnacknowledgedEnd>,
    /// A poll is in flight.
    pub poll_in_flight: bool,
    /// The poll in flight is the first one, which counts towards `MAX_FIRST_POLLS`.
    pub first_poll: bool,
    /// When to send the next poll.
    pub poll_at_ms: u64,
    /// It gets no starts until then, even if it has free capacity.
    pub full_until_ms: u64,
    /// It has announced at some time that it is draining.
    pub has_drained: bool,
    /// Its machine is next for upkeep, so it gets no work.
    pub upkeep_next: bool,
    /// Its data centre is being emptied and gets no new tasks.
    pub emptied: bool,
    /// When it was last sent a start.
    pub started_ms: u64,
    /// Runs that were lost when its lease expired; it is not known yet whether it crashed.
    pub lost: Vec<ConfirmedRun>,
    /// When its incarnation was found to have crashed.
    pub crashed_ms: Option<u64>,
    /// Until then it gets no other work than a task that may crash it.
    pub suspects_only_until_ms: u64,
    /// It gets no work until then.
    pub quarantined_until_ms: u64,
    /// Length of the last quarantine; 0 after a success.
    pub quarantine_ms: u64,
    /// Jobs that failed on it since the last success, with the times of the failures.
    pub failures: Vec<(u64, JobId)>,
    /// What is known of the ratio of run times on it to those on a usual worker.
    pub speed: WorkerSpeed,
    address: Arc<str>,
    name: Arc<str>,
    rack: Arc<str>,
    data_centre: Arc<str>,
}

/// Returns the rack of a worker, which is the second of its labels.
fn rack_of(info: &WorkerInfo) -> &str {
    info.labels.get(1).map_or("", String::as_str)
}

impl Worker {
    /// Returns a worker with this registration that has not been called yet.
    pub fn new(key: WorkerKey, info: WorkerInfo) -> Self {
        Self {
            key,
            address: info.address.as_str().into(),
            name: info.worker_name.as_str().into(),
            rack: rack_of(&info).into(),
            data_centre: info.data_centre.as_str().into(),
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
            clock_suspect: false,
            lease_end_ms: 0,
            last_response_ms: 0,
            failed_polls: 0,
            runs: BTreeMap::new(),
            used: Resources::default(),
            earlier_ends_known: false,
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
            suspects_only_until_ms: 0,
            quarantined_until_ms: 0,
            quarantine_ms: 0,
            failures: Vec::new(),
            speed: WorkerSpeed::default(),
        }
    }

    /// Applies a new registration.
    pub fn update(&mut self, info: WorkerInfo, now_ms: u64) {
        self.draining_since_ms = match info.draining {
            true => self.draining_since_ms.or(Some(now_ms)),
            false => None,
        };
        self.has_drained |= info.draining;
        self.set_address(&info.address);
        self.rack = rack_of(&info).into();
        self.data_centre = info.data_centre.as_str().into();
        let capacity = info.capacity;
        self.info = info;
        self.listed = true;
        self.update_unknown_resources(capacity);
    }

    /// Sets the address at which it is called.
    pub(super) fn set_address(&mut self, address: &str) {
        self.address = address.into();
    }

    /// Counts runs of unknown resources as taking all of `capacity`, which may not have
    /// been known when they were found.
    fn update_unknown_resources(&mut self, capacity: Resources) {
        for run in self.runs.values_mut().filter(|run| run.resources_unknown) {
            self.used = self.used.minus(&run.resources).plus(&capacity);
            run.resources = capacity;
        }
    }

    /// Returns where to send calls to it.
    pub fn callee(&self) -> Callee {
        Callee {
            worker: self.key,
            address: self.address.clone(),
            worker_name: self.name.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// Returns its name, for logs.
    pub fn name(&self) -> Arc<str> {
        self.name.clone()
    }

    /// Returns its free capacity.
    pub fn free(&self) -> Resources {
        self.info.capacity.minus(&self.used)
    }

    /// Whether its capacity has shrunk below what its runs take in any resource. It then
    /// has no free capacity of another resource either, and stopping one of its runs
    /// frees capacity for no other.
    pub fn is_overfull(&self) -> bool {
        !self.info.capacity.contains(&self.used)
    }

    /// Whether its entry was written by a different incarnation from the one that answers.
    pub fn has_entry_of_other_incarnation(&self) -> bool {
        let start_times = self
            .incarnation_start_ms
            .zip(self.info.incarnation_start_ms);
        start_times.is_some_and(|(answering_ms, entry_ms)| answering_ms != entry_ms)
    }

    /// Whether an entry tells nothing new. Workers write theirs every few seconds, and each change
    /// calls for a scheduling pass over the whole fleet.
    pub(super) fn confirms_entry(&self, info: &WorkerInfo) -> bool {
        let is_settled = self.listed && self.on_roster && self.contact != Contact::Gone;
        let is_trusted = self.entry_problem.is_none() && self.address_conflict.is_none();
        is_settled && is_trusted && self.info == *info
    }

    /// Whether its entry is present and valid.
    pub fn is_usable(&self) -> bool {
        self.listed && self.entry_problem.is_none()
    }

    /// Whether it may get new work.
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
            && !self.clock_suspect
            && now_ms >= self.full_until_ms
            && now_ms >= self.quarantined_until_ms
            && now_ms >= self.suspects_only_until_ms
    }

    /// Whether it has the label. Every worker has the empty label.
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.info.labels.iter().any(|own| own == label)
    }

    /// Returns its rack.
    pub fn rack(&self) -> &Arc<str> {
        &self.rack
    }

    /// Returns the estimated reading of its clock at `now_ms`; `None` if its clock was
    /// never read.
    pub fn clock_at(&self, now_ms: u64) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        Some(clock_ms + now_ms.saturating_sub(read_ms))
    }

    /// Records a lease of `length_ms` that is sent with an order and returns its end on
    /// the worker's clock; `None` if that clock was never read.
    pub fn grant(&mut self, now_ms: u64, length_ms: u64) -> Option<u64> {
        let end_ms = self.clock_at(now_ms)? + length_ms;
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
        Some(end_ms)
    }

    /// Returns the time from which nothing that this owner ordered can run on it, even
    /// without another answer: the end of the latest lease ever sent to it, on a clock
    /// that is as slow as `CLOCK_DRIFT_PERMILLE` allows. `None` if its clock was never
    /// read.
    pub fn leases_expired_ms(&self) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        let left_ms = self.lease_end_ms.saturating_sub(clock_ms);
        Some(read_ms + left_ms + left_ms * CLOCK_DRIFT_PERMILLE / 1_000 + LEASE_MARGIN_MS)
    }

    /// Adds a run, or replaces the one of the same name, and counts its resources.
    pub fn add_run(&mut self, name: RunName, run: Run) {
        self.used = self.used.plus(&run.resources);
        if let Some(before) = self.runs.insert(name, run) {
            self.used = self.used.minus(&before.resources);
        }
    }

    /// Removes a run and frees its resources.
    pub fn remove_run(&mut self, name: &RunName) -> Option<Run> {
        let run = self.runs.remove(name)?;
        self.used = self.used.minus(&run.resources);
        Some(run)
    }

    /// Returns the free capacity once every stopping or ending run has ended.
    pub fn free_soon(&self) -> Resources {
        let leaving = self
            .runs
            .values()
            .filter(|run| matches!(run.phase, RunPhase::Stopping | RunPhase::Ending));
        leaving.fold(self.free(), |sum, run| sum.plus(&run.resources))
    }
}
