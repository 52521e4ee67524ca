//! Preempts runs of other jobs to free resources for urgent work.
//!
//! Load pattern: an account's guaranteed accelerators are lent to other work, and a burst
//! of its urgent jobs needs them back within a few seconds, the time to stop the victims
//! included. The victims are chosen in the pass in which the group finds no free
//! capacity: those with the least loss, until all its waiting tasks fit. The loss is
//! measured in utility: the work that is lost, valued at the mean utility of the fleet's
//! work, plus the utility that the victim's job loses by ending later. Urgent work beyond
//! its account's guarantee preempts only if it is then on time and gains more utility than
//! is lost. Where workers differ in speed, slots on fast workers alone are weighed against
//! cheaper ones on which the group ends later. Limits: long-running work is never preempted,
//! resources that are being freed, or that are expected to become free as soon as a stop
//! would free others, are used first, and a group preempts again only after its victims have
//! had time to stop.

use super::action::StopReason;
use super::ordering::{
    LATE_PART,
    Ranked,
    Tier, //
};
use super::placement::{
    CandidateWorker,
    PlacementRequest,
    cautious_slowness,
    speed_thresholds, //
};
use super::state::Scheduler;
use super::{
    Group,
    GroupKey,
    LogEstimate,
    QueueTerms,
    Resources,
    Run,
    RunName,
    RunPhase,
    Timing, //
};
use crate::core::WorkerKey;
use std::collections::{
    BTreeMap,
    HashSet, //
};

/// Time that a preempted task is assumed to wait until it starts again.
const REQUEUE_WAIT_MS: u64 = 2_000;

/// A run that may be preempted.
#[derive(Clone, Copy, Debug)]
struct Victim {
    /// Utility that is lost if it stops, its whole gang included, multiplied by one plus
    /// the number of earlier preemptions of its group.
    loss: f64,
    name: RunName,
    resources: Resources,
    /// Its gang, which ends with it.
    gang: Option<GroupKey>,
}

impl Victim {
    fn loss_per_accelerator(&self) -> f64 {
        self.loss / f64::from(self.resources.accelerators.max(1))
    }
}

/// The victims that have to stop to place one more task on a candidate.
#[derive(Clone, Debug, Default)]
struct Slot {
    loss: f64,
    victims: Vec<Victim>,
}

/// A slot chosen for a task, with its candidate.
#[derive(Clone, Debug)]
struct Choice {
    candidate: usize,
    worker: WorkerKey,
    slot: Slot,
}

/// The runs of a candidate that may still be preempted, and its free resources. Each slot
/// that is taken updates both.
#[derive(Clone)]
struct ReclaimableRuns {
    candidate: usize,
    worker: WorkerKey,
    /// Resources free after the slots taken so far.
    free: Resources,
    /// Resources that a task takes.
    resources: Resources,
    /// Number of tasks that the candidate may still take.
    slots_left: u32,
    /// Possible victims, the least loss per accelerator first.
    victims: Vec<Victim>,
}

impl ReclaimableRuns {
    /// Returns the next slot, with the cheapest victims that make one more task fit.
    fn next_slot(&self) -> Option<Slot> {
        if self.slots_left == 0 {
            return None;
        }
        let mut slot = Slot::default();
        let mut free = self.free;
        let mut victims = self.victims.iter();
        while !free.contains(&self.resources) {
            let victim = victims.next()?;
            free = free.plus(&victim.resources);
            slot.victims.push(*victim);
        }
        // Small victims chosen first may be unnecessary once a large one is chosen.
        for at in (0..slot.victims.len()).rev() {
            let without = free.minus(&slot.victims[at].resources);
            if without.contains(&self.resources) {
                free = without;
                slot.victims.remove(at);
            }
        }
        slot.loss = slot.victims.iter().map(|victim| victim.loss).sum();
        Some(slot)
    }

    /// Frees the resources of a slot's victims and takes those of one task.
    fn take_slot(&mut self, slot: &Slot) {
        for victim in &slot.victims {
            self.free = self.free.plus(&victim.resources);
            self.victims.retain(|other| other.name != victim.name);
        }
        self.free = self.free.minus(&self.resources);
        self.slots_left -= 1;
    }

    /// Sets the loss of a gang's members on this candidate to 0, because the gang ends
    /// anyway. Returns whether the candidate has any.
    fn mark_gang_ended(&mut self, gang: GroupKey) -> bool {
        let members = self.victims.iter_mut();
        let mut any = false;
        for member in members.filter(|victim| victim.gang == Some(gang)) {
            member.loss = 0.0;
            any = true;
        }
        if any {
            self.sort();
        }
        any
    }

    fn sort(&mut self) {
        self.victims.sort_by(|a, b| {
            a.loss_per_accelerator()
                .total_cmp(&b.loss_per_accelerator())
                .then(a.name.cmp(&b.name))
        });
    }
}

impl Scheduler {
    /// Preempts runs for the waiting tasks of an urgent group, and subtracts the freed
    /// resources from the candidates so that later groups of this pass do not take them.
    /// Returns whether resources are being freed for the group.
    pub(super) fn preempt_for(
        &mut self,
        ranked: Ranked,
        queue: &QueueTerms,
        candidates: &mut [CandidateWorker],
    ) -> bool {
        if self.now_ms < self.groups[&ranked.key].preempt_at_ms {
            self.reserve_claims(ranked.key, candidates);
            return true;
        }
        let Some(chosen) = self.choose_slots(ranked, queue, candidates) else {
            return false;
        };
        let resources = self.groups[&ranked.key].resources;
        let preempt_at_ms = self.now_ms + self.tuning.settle_ms();
        let mut stops = Vec::new();
        let mut claims: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        for Choice {
            candidate,
            worker,
            slot,
        } in chosen
        {
            candidates[candidate].free = candidates[candidate].free.minus(&resources);
            *claims.entry(worker).or_default() += 1;
            stops.extend(slot.victims.iter().map(|victim| (worker, victim.name)));
        }
        if !stops.is_empty()
            && let Some(group) = self.groups.get_mut(&ranked.key)
        {
            group.preempt_at_ms = preempt_at_ms;
            group.claims = claims.into_iter().collect();
        }
        for (worker, name) in stops {
            self.charge_preemption(ranked.key, worker, name);
            self.stop_run(worker, name, StopReason::Preempted);
            if let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) {
                group.preempted += 1;
            }
            // A gang cannot go on once one member stops.
            let key = GroupKey::of(name.task);
            if self
                .groups
                .get(&key)
                .is_some_and(|group| group.gang_run == Some(name.run))
            {
                self.end_gang(key, StopReason::GangBroken);
            }
        }
        true
    }

    /// Charges a run that is about to be preempted, with its whole gang, to the account that it
    /// makes room for.
    fn charge_preemption(&mut self, preempting: GroupKey, worker: WorkerKey, name: RunName) {
        let key = GroupKey::of(name.task);
        let group = self.groups.get(&key);
        let gang = group.filter(|group| group.gang_run == Some(name.run));
        if gang.is_some_and(|gang| gang.gang_ending) {
            return;
        }
        let lost = |run: &Run| (run.resources.weight() as f64, self.lost_ms(run, group));
        let lost: Vec<(f64, u64)> = match gang {
            Some(gang) => self.members(gang).map(|(_, _, run)| lost(run)).collect(),
            None => {
                let run = self.worker(worker).runs.get(&name);
                run.map(lost).into_iter().collect()
            }
        };
        let preempting = &self.jobs[&preempting.job].record.account;
        let Some(preempted) = self.jobs.get(&key.job) else {
            return;
        };
        for (weight, lost_ms) in lost {
            let preempted = &preempted.record.account;
            self.accounts
                .charge_preemption(preempting, preempted, weight, lost_ms);
        }
    }

    /// Returns the slots for a group whose end and loss together are best, or `None` if there
    /// are none or the group does not gain more utility than is lost. Guaranteed work takes
    /// them in any case.
    fn choose_slots(
        &self,
        ranked: Ranked,
        queue: &QueueTerms,
        candidates: &[CandidateWorker],
    ) -> Option<Vec<Choice>> {
        let group = &self.groups[&ranked.key];
        let utility = self.utility_of_job(ranked.key.job);
        let best = self.with_request(group, queue, &[], |request| {
            let timing = Timing {
                now_ms: self.now_ms + self.tuning.stop_ms,
                ..request.timing
            };
            let slowness = |candidate: &CandidateWorker| cautious_slowness(candidate.slowness);
            let reclaimable: Vec<ReclaimableRuns> = (0..candidates.len())
                .map(|at| self.reclaimable(ranked, request, candidates, at))
                .collect();
            let mut best: Option<(f64, Vec<Choice>)> = None;
            // From the slowest workers to the fastest: slots on fast workers alone are chosen
            // only where the end there gains more than the additional loss.
            for threshold in speed_thresholds(candidates.iter().map(slowness))
                .iter()
                .rev()
            {
                let among: Vec<usize> = (0..candidates.len())
                    .filter(|&at| slowness(&candidates[at]) <= *threshold)
                    .collect();
                let slots = cheapest_slots(request, candidates, &reclaimable, &among);
                let Some(slots) = slots else {
                    break;
                };
                let part = timing.part_of_gang(&slownesses(&slots, candidates));
                let gain = utility * (part - LATE_PART) - total_loss(&slots);
                if best.as_ref().is_none_or(|(most, _)| gain > *most) {
                    best = Some((gain, slots));
                }
                if part >= 1.0 {
                    break;
                }
            }
            best
        });
        let (gain, chosen) = best?;
        (gain > 0.0 || ranked.tier == Tier::Guaranteed).then_some(chosen)
    }

    /// Subtracts the resources that are being freed for a group from the candidates.
    /// Otherwise the preempted tasks would start there again and be preempted again.
    fn reserve_claims(&self, key: GroupKey, candidates: &mut [CandidateWorker]) {
        let group = &self.groups[&key];
        for &(worker, count) in &group.claims {
            for candidate in candidates
                .iter_mut()
                .filter(|candidate| candidate.worker == worker)
            {
                for _ in 0..count {
                    candidate.free = candidate.free.minus(&group.resources);
                }
            }
        }
    }

    /// Returns the runs of the candidate at index `at` that may be preempted for a group.
    fn reclaimable(
        &self,
        ranked: Ranked,
        request: &PlacementRequest<'_>,
        candidates: &[CandidateWorker],
        at: usize,
    ) -> ReclaimableRuns {
        let candidate = &candidates[at];
        let worker = self.worker(candidate.worker);
        let soon_ms = self.now_ms + self.tuning.stop_ms;
        // A run that ends by itself before a stop would end it is not preempted; its
        // resources count as free. But the group waits for such runs only about as long as
        // a stop takes: a run that exceeds its expected run time seems about to end in
        // every pass, and guaranteed work would wait for it beyond its bound.
        let released_ms = self.groups[&ranked.key].released_ms;
        let has_waited_long = self.now_ms > released_ms + self.tuning.settle_ms();
        let ends_soon = |run: &Run| {
            let ending = matches!(run.phase, RunPhase::Stopping | RunPhase::Ending);
            let end_ms = self.expected_end_ms(candidate.worker, run);
            ending || (!has_waited_long && end_ms.is_some_and(|end_ms| end_ms <= soon_ms))
        };
        let mut free = candidate.free;
        let mut victims: Vec<Victim> = Vec::new();
        for (&name, run) in &worker.runs {
            if ends_soon(run) {
                free = free.plus(&run.resources);
            } else if let Some(victim) = self.victim(ranked, name, run) {
                victims.push(victim);
            }
        }
        let mut reclaimable = ReclaimableRuns {
            candidate: at,
            worker: candidate.worker,
            free,
            resources: request.resources,
            slots_left: (request.allowed)(candidate.worker).min(request.count),
            victims,
        };
        reclaimable.sort();
        reclaimable
    }

    /// Returns a run as a possible victim; `None` if it may not be preempted.
    fn victim(&self, ranked: Ranked, name: RunName, run: &Run) -> Option<Victim> {
        let stoppable = matches!(run.phase, RunPhase::Starting | RunPhase::Running)
            && !self.is_unreadable(name.task.job);
        if !stoppable || run.long_running || ranked.key.job == name.task.job {
            return None;
        }
        let urgent = run.priority == 0;
        let protected = self.guaranteed.contains(&name.task.job);
        if protected || (urgent && ranked.tier != Tier::Guaranteed) {
            return None;
        }
        let group = self.groups.get(&GroupKey::of(name.task));
        if urgent && group.is_none() {
            return None;
        }
        // The other members of a gang may not be known yet.
        if group.is_some_and(|group| group.step.gang && group.recovering) {
            return None;
        }
        let gang = group.filter(|group| group.step.gang);
        let loss = match (group, gang) {
            (_, Some(gang)) => self
                .members(gang)
                .map(|(_, _, run)| self.work_lost(run))
                .sum(),
            _ => self.work_lost(run),
        };
        let loss =
            loss * self.mean_utility_of_work() + group.map_or(0.0, |group| self.delay_loss(group));
        let preemptions = 1 + group.map_or(0, |group| group.preempted);
        Some(Victim {
            loss: loss * f64::from(preemptions),
            name,
            resources: run.resources,
            gang: gang.map(|group| group.key),
        })
    }

    /// Utility that a group's job loses by the delay if a run of the group starts again
    /// instead of going on. Outside gangs, each task accounts for an equal share.
    fn delay_loss(&self, group: &Group) -> f64 {
        let left = self
            .members(group)
            .map(|(worker, _, run)| self.left_ms(worker, run));
        let end_ms = self.now_ms + left.max().unwrap_or(0);
        let requeue_ms = self.tuning.stop_ms + REQUEUE_WAIT_MS;
        let restarted_end_ms = match group.step.checkpoints {
            true => end_ms + requeue_ms,
            false => self.now_ms + requeue_ms + group.run_ms(),
        };
        let objective = group.objective();
        let share = match group.step.gang {
            true => 1.0,
            false => 1.0 / group.tasks.len() as f64,
        };
        let lost = objective.part_at(end_ms) - objective.part_at(restarted_end_ms);
        self.utility_of_job(group.key.job) * lost.max(0.0) * share
    }

    /// Work that is lost if a run is stopped now, in thousandths of a core times
    /// milliseconds: the work since its start, or the cost of restoring the checkpoint
    /// that a stop makes; plus the use of its resources while it stops.
    fn work_lost(&self, run: &Run) -> f64 {
        let group = self.groups.get(&run.group);
        let lost_ms = self.lost_ms(run, group) + self.tuning.stop_ms / 2;
        run.resources.weight() as f64 * lost_ms as f64
    }
}

impl Scheduler {
    /// Core-seconds that are lost if a run is stopped now.
    pub(super) fn lost_core_s(&self, key: WorkerKey, name: RunName) -> f64 {
        const MILLI_CORE_MS: f64 = 1e6;
        let run = self.worker(key).runs.get(&name);
        let group = self.groups.get(&GroupKey::of(name.task));
        run.map_or(0.0, |run| {
            run.resources.weight() as f64 * self.lost_ms(run, group) as f64 / MILLI_CORE_MS
        })
    }

    /// Run time that is lost if a run is stopped now. A task with checkpoints makes one
    /// when it stops, so at most the time to restore it is lost.
    fn lost_ms(&self, run: &Run, group: Option<&Group>) -> u64 {
        let worked_ms = self.now_ms.saturating_sub(run.ordered_ms);
        match group.is_some_and(|group| group.step.checkpoints) {
            true => worked_ms.min(self.tuning.restore_ms),
            false => worked_ms,
        }
    }
}

/// Returns the cheapest slots for the tasks of a request on the candidates at the indices
/// `among`. If the request asks for a single rack or has a data rack, slots on that one rack
/// are preferred, and others are returned only if the request allows them.
fn cheapest_slots(
    request: &PlacementRequest<'_>,
    candidates: &[CandidateWorker],
    reclaimable: &[ReclaimableRuns],
    among: &[usize],
) -> Option<Vec<Choice>> {
    let count = request.count as usize;
    let mut candidates_by_rack: Vec<Vec<usize>> = Vec::new();
    if request.same_rack || !request.data_rack.is_empty() {
        let mut racks: Vec<&str> = among.iter().map(|&at| &*candidates[at].rack).collect();
        racks.sort_unstable();
        racks.dedup();
        racks.retain(|rack| request.data_rack.is_empty() || *rack == request.data_rack);
        for rack in racks {
            let there = |at: &usize| &*candidates[*at].rack == rack;
            candidates_by_rack.push(among.iter().copied().filter(there).collect());
        }
    }
    let on_racks = candidates_by_rack
        .iter()
        .filter_map(|indices| slots_in(reclaimable, indices, count))
        .min_by(|a, b| total_loss(a).total_cmp(&total_loss(b)));
    // Only work that may leave its rack can use slots elsewhere.
    let no_rack = !request.same_rack && request.data_rack.is_empty();
    let anywhere = no_rack || request.may_leave_rack;
    on_racks.or_else(|| anywhere.then(|| slots_in(reclaimable, among, count))?)
}

/// Returns the cheapest slots for `count` tasks on the candidates at these indices.
fn slots_in(
    reclaimable: &[ReclaimableRuns],
    indices: &[usize],
    count: usize,
) -> Option<Vec<Choice>> {
    let mut reclaimable: Vec<ReclaimableRuns> =
        indices.iter().map(|&at| reclaimable[at].clone()).collect();
    let mut next_slots: Vec<Option<Slot>> =
        reclaimable.iter().map(ReclaimableRuns::next_slot).collect();
    let mut chosen = Vec::with_capacity(count);
    let mut ended_gangs: HashSet<GroupKey> = HashSet::new();
    while chosen.len() < count {
        let slots = next_slots.iter().enumerate();
        let (at, _) = slots
            .filter_map(|(at, slot)| slot.as_ref().map(|slot| (at, slot.loss)))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        let slot = next_slots[at].take()?;
        reclaimable[at].take_slot(&slot);
        for gang in slot.victims.iter().filter_map(|victim| victim.gang) {
            if !ended_gangs.insert(gang) {
                continue;
            }
            for (other, reclaimable) in reclaimable.iter_mut().enumerate() {
                if reclaimable.mark_gang_ended(gang) {
                    next_slots[other] = reclaimable.next_slot();
                }
            }
        }
        next_slots[at] = reclaimable[at].next_slot();
        chosen.push(Choice {
            candidate: reclaimable[at].candidate,
            worker: reclaimable[at].worker,
            slot,
        });
    }
    Some(chosen)
}

fn slownesses(slots: &[Choice], candidates: &[CandidateWorker]) -> Vec<LogEstimate> {
    let slots = slots.iter();
    slots
        .map(|slot| candidates[slot.candidate].slowness)
        .collect()
}

fn total_loss(slots: &[Choice]) -> f64 {
    slots.iter().map(|choice| choice.slot.loss).sum()
}
