//! Taking room back for urgent work.
//!
//! Load pattern: an account's guaranteed accelerators are lent to other work,
//! and a burst of its urgent jobs asks for them back within a few seconds,
//! stops included. The victims are chosen in the pass in which the job is
//! offered room: those with which the least is lost, until the whole job fits.
//! What is lost is reckoned in worth: the work that is thrown away, at what the
//! fleet's work earns on average, and what the victim's job earns less for being
//! late. Work beyond its guarantee takes room back only where it is on time for
//! it and earns more by that than is lost. Limits: work that lasts is never
//! taken, room that is being freed, or soon is, is waited for first, and a group
//! asks again only after its victims had time to stop.

use super::action::StopReason;
use super::ordering::{
    LATE_PART,
    Ranked,
    Tier, //
};
use super::placement::{
    CandidateWorker, //
    PlacementRequest,
};
use super::state::Scheduler;
use super::{
    Group,
    GroupKey,
    QueueTerms,
    Resources,
    Run,
    RunName,
    RunPhase, //
};
use crate::core::WorkerKey;
use std::collections::{
    BTreeMap,
    HashSet, //
};

/// Time that stopped work waits for room again.
const REQUEUED_MS: u64 = 2_000;

/// A run that may be stopped for others.
#[derive(Clone, Copy, Debug)]
struct Victim {
    /// Worth that is lost with it, its whole gang included.
    loss: f64,
    name: RunName,
    resources: Resources,
    /// Its gang, which ends with it.
    gang: Option<GroupKey>,
}

impl Victim {
    fn price(&self) -> f64 {
        self.loss / f64::from(self.resources.accelerators.max(1))
    }
}

/// What it takes to place one more task on a candidate.
#[derive(Clone, Debug, Default)]
struct Slot {
    loss: f64,
    victims: Vec<Victim>,
}

/// A slot that was chosen.
#[derive(Clone, Debug)]
struct Choice {
    candidate: usize,
    worker: WorkerKey,
    slot: Slot,
}

/// The room of a candidate as more and more of its runs are taken away.
struct ReclaimableRuns {
    candidate: usize,
    worker: WorkerKey,
    free: Resources,
    resources: Resources,
    left: u32,
    /// The one that costs least for the accelerators it gives comes first.
    victims: Vec<Victim>,
}

impl ReclaimableRuns {
    /// The cheapest victims until one more task fits.
    fn next(&self) -> Option<Slot> {
        if self.left == 0 {
            return None;
        }
        let mut slot = Slot::default();
        let mut free = self.free;
        let mut victims = self.victims.iter();
        while !free.holds(&self.resources) {
            let victim = victims.next()?;
            free = free.plus(&victim.resources);
            slot.victims.push(*victim);
        }
        // Small ones that were taken first may be needless beside a large one.
        for at in (0..slot.victims.len()).rev() {
            let without = free.minus(&slot.victims[at].resources);
            if without.holds(&self.resources) {
                free = without;
                slot.victims.remove(at);
            }
        }
        slot.loss = slot.victims.iter().map(|victim| victim.loss).sum();
        Some(slot)
    }

    fn take(&mut self, slot: &Slot) {
        for victim in &slot.victims {
            self.free = self.free.plus(&victim.resources);
            self.victims.retain(|other| other.name != victim.name);
        }
        self.free = self.free.minus(&self.resources);
        self.left -= 1;
    }

    /// A gang ends in any case: its members here cost nothing more.
    fn end_gang(&mut self, gang: GroupKey) -> bool {
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
        self.victims
            .sort_by(|a, b| a.price().total_cmp(&b.price()).then(a.name.cmp(&b.name)));
    }
}

impl Scheduler {
    /// Frees room for the waiting tasks of an urgent group, and keeps it from
    /// later groups of this pass; whether there is any.
    pub(super) fn preempt_for(
        &mut self,
        ranked: Ranked,
        queue: &QueueTerms,
        candidates: &mut [CandidateWorker],
    ) -> bool {
        if self.now_ms < self.groups[&ranked.key].preempt_at_ms {
            self.keep_claims(ranked.key, candidates);
            return true;
        }
        let Some(chosen) = self.worth_taking(ranked, queue, candidates) else {
            return false;
        };
        let resources = self.groups[&ranked.key].resources;
        let settle_ms = self.now_ms + self.tuning.settle_ms();
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
            group.preempt_at_ms = settle_ms;
            group.claims = claims.into_iter().collect();
        }
        for (worker, name) in stops {
            self.stop_run(worker, name, StopReason::Preempted);
            if let Some(group) = self.groups.get_mut(&GroupKey::of(name.task)) {
                group.preempted += 1;
            }
            // A gang of which one member stops cannot go on.
            let key = GroupKey::of(name.task);
            if self
                .groups
                .get(&key)
                .is_some_and(|group| group.gang_run == Some(name.run))
            {
                self.end_gang(key);
            }
        }
        true
    }

    /// The slots to take, if that earns more than is lost. Guaranteed work takes what
    /// it needs in any case.
    fn worth_taking(
        &self,
        ranked: Ranked,
        queue: &QueueTerms,
        candidates: &[CandidateWorker],
    ) -> Option<Vec<Choice>> {
        let group = &self.groups[&ranked.key];
        let count = group.waiting as usize;
        let chosen = self.with_request(group, queue, &[], |request| {
            self.cheapest(ranked, request, candidates, count)
        })?;
        let slots = chosen.iter().map(|choice| choice.candidate);
        let slowest = slots.map(|at| candidates[at].slowness).fold(0.0, f64::max);
        let run_ms = (group.run_time.value() * slowest) as u64;
        let end_ms = self.now_ms + self.tuning.stop_ms + run_ms;
        let part = group.objective().part_at(end_ms) - LATE_PART;
        let net = self.utility_of_job(ranked.key.job) * part - loss_of(&chosen);
        (net > 0.0 || ranked.tier == Tier::Guaranteed).then_some(chosen)
    }

    /// Keeps what is being freed for a group from the groups after it: its
    /// victims would take the freed room back, and be stopped again.
    fn keep_claims(&self, key: GroupKey, candidates: &mut [CandidateWorker]) {
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

    /// The cheapest slots for `count` tasks; on one rack where that is asked for and
    /// possible.
    fn cheapest(
        &self,
        ranked: Ranked,
        request: &PlacementRequest<'_>,
        candidates: &[CandidateWorker],
        count: usize,
    ) -> Option<Vec<Choice>> {
        let all: Vec<usize> = (0..candidates.len()).collect();
        let mut regions: Vec<Vec<usize>> = Vec::new();
        if request.one_rack || !request.data_rack.is_empty() {
            let mut racks: Vec<&str> = candidates
                .iter()
                .map(|candidate| &*candidate.rack)
                .collect();
            racks.sort_unstable();
            racks.dedup();
            racks.retain(|rack| request.data_rack.is_empty() || *rack == request.data_rack);
            for rack in racks {
                let there = |at: &usize| &*candidates[*at].rack == rack;
                regions.push(all.iter().copied().filter(there).collect());
            }
        }
        let on_racks = regions
            .iter()
            .filter_map(|region| self.slots(ranked, request, candidates, region, count))
            .min_by(|a, b| loss_of(a).total_cmp(&loss_of(b)));
        // Room elsewhere is of use only to work that may leave its rack.
        let anywhere = regions.is_empty() || request.may_leave_rack;
        on_racks
            .or_else(|| anywhere.then(|| self.slots(ranked, request, candidates, &all, count))?)
    }

    fn slots(
        &self,
        ranked: Ranked,
        request: &PlacementRequest<'_>,
        candidates: &[CandidateWorker],
        region: &[usize],
        count: usize,
    ) -> Option<Vec<Choice>> {
        let mut reclaimable: Vec<ReclaimableRuns> = region
            .iter()
            .map(|&at| self.reclaimable(ranked, request, candidates, at))
            .collect();
        let mut next: Vec<Option<Slot>> = reclaimable.iter().map(ReclaimableRuns::next).collect();
        let mut chosen = Vec::with_capacity(count);
        let mut ended: HashSet<GroupKey> = HashSet::new();
        while chosen.len() < count {
            let losses = next.iter().enumerate();
            let (at, _) = losses
                .filter_map(|(at, slot)| slot.as_ref().map(|slot| (at, slot.loss)))
                .min_by(|a, b| a.1.total_cmp(&b.1))?;
            let slot = next[at].take()?;
            reclaimable[at].take(&slot);
            for gang in slot.victims.iter().filter_map(|victim| victim.gang) {
                if !ended.insert(gang) {
                    continue;
                }
                for (other, reclaimable) in reclaimable.iter_mut().enumerate() {
                    if reclaimable.end_gang(gang) {
                        next[other] = reclaimable.next();
                    }
                }
            }
            next[at] = reclaimable[at].next();
            chosen.push(Choice {
                candidate: reclaimable[at].candidate,
                worker: reclaimable[at].worker,
                slot,
            });
        }
        Some(chosen)
    }

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
        // What ends by itself before a stop would have ended it is waited for, but
        // once only: a run that takes longer than it should seems to end at once
        // in each pass, and guaranteed work would wait for it beyond its promise.
        let released_ms = self.groups[&ranked.key].released_ms;
        let waited = self.now_ms > released_ms + self.tuning.settle_ms();
        let ends_soon = |run: &Run| {
            let ending = matches!(run.phase, RunPhase::Stopping | RunPhase::Ending);
            let end_ms = self.expected_end_ms(candidate.worker, run);
            ending || (!waited && end_ms.is_some_and(|end_ms| end_ms <= soon_ms))
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
            left: (request.allowed)(candidate.worker).min(request.count),
            victims,
        };
        reclaimable.sort();
        reclaimable
    }

    /// A run as a victim; `None` if it may not be taken.
    fn victim(&self, ranked: Ranked, name: RunName, run: &Run) -> Option<Victim> {
        let taken = matches!(run.phase, RunPhase::Starting | RunPhase::Running)
            && !self.is_unreadable(name.task.job);
        if !taken || run.long_running || ranked.key.job == name.task.job {
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
        // Its other members may not be known yet.
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
            loss * self.mean_utility_of_work() + group.map_or(0.0, |group| self.lateness(group));
        let again = 1 + group.map_or(0, |group| group.preempted);
        Some(Victim {
            loss: loss * f64::from(again),
            name,
            resources: run.resources,
            gang: gang.map(|group| group.key),
        })
    }

    /// Worth that a group's job loses by starting anew instead of going on; a
    /// single task bears its part.
    fn lateness(&self, group: &Group) -> f64 {
        let left = self
            .members(group)
            .map(|(worker, _, run)| self.left_ms(worker, run));
        let end_ms = self.now_ms + left.max().unwrap_or(0);
        let waits_ms = self.tuning.stop_ms + REQUEUED_MS;
        let anew_ms = match group.step.checkpoints {
            true => end_ms + waits_ms,
            false => self.now_ms + waits_ms + group.run_ms(),
        };
        let terms = group.objective();
        let share = match group.step.gang {
            true => 1.0,
            false => 1.0 / group.tasks.len() as f64,
        };
        let lost = terms.part_at(end_ms) - terms.part_at(anew_ms);
        self.utility_of_job(group.key.job) * lost.max(0.0) * share
    }

    /// Work that is lost if a run is stopped now, in thousandths of a core times
    /// milliseconds: what it did since it began, or what it takes to go on from a
    /// checkpoint, which a stop makes; and its room while it stops.
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

    /// Run time that is lost if a run is stopped now. A stop makes a checkpoint.
    fn lost_ms(&self, run: &Run, group: Option<&Group>) -> u64 {
        let worked_ms = self.now_ms.saturating_sub(run.ordered_ms);
        match group.is_some_and(|group| group.step.checkpoints) {
            true => worked_ms.min(self.tuning.restore_ms),
            false => worked_ms,
        }
    }
}

fn loss_of(slots: &[Choice]) -> f64 {
    slots.iter().map(|choice| choice.slot.loss).sum()
}
