//! Taking room back for urgent work.
//!
//! Load pattern: an account's guaranteed accelerators are lent to other work,
//! and a burst of its urgent jobs asks for them back within a few seconds,
//! stops included. The victims are chosen in the pass in which the job is
//! offered room: the cheapest by the work that they lose, until the whole job
//! fits. Limits: work that lasts is never taken, room that is already being
//! freed is waited for first, and a group asks again only after its victims
//! had time to stop.

use super::action::StopReason;
use super::order::{
    Ranked,
    Tier, //
};
use super::placement::{
    Ask,
    Seat, //
};
use super::state::Scheduler;
use super::{
    Group,
    GroupKey,
    Queue,
    Resources,
    Run,
    RunName,
    RunPhase, //
};
use crate::core::WorkerKey;
use std::collections::BTreeMap;

/// Time for victims to stop before more are chosen.
const SETTLE_MS: u64 = 350;
/// Urgent work beyond its account's guarantee is taken only when nothing else
/// is left.
const URGENT_VICTIM_FACTOR: f64 = 20.0;

/// What it takes to place one more task on a seat.
#[derive(Clone, Debug, Default)]
struct Slot {
    cost: f64,
    victims: Vec<RunName>,
}

/// The room of a seat as more and more of its runs are taken away.
struct Yielding<'a> {
    seat: usize,
    worker: WorkerKey,
    free: Resources,
    room: Resources,
    left: u32,
    victims: Vec<(f64, RunName, &'a Run)>,
}

impl Yielding<'_> {
    /// Takes the cheapest victims until one more task fits.
    fn next(&mut self) -> Option<Slot> {
        if self.left == 0 {
            return None;
        }
        let mut slot = Slot::default();
        let (mut free, mut taken) = (self.free, 0);
        while !free.holds(&self.room) {
            let (cost, name, run) = self.victims.get(taken)?;
            taken += 1;
            free = free.plus(&run.room);
            slot.cost += cost;
            slot.victims.push(*name);
        }
        self.victims.drain(..taken);
        self.free = free.minus(&self.room);
        self.left -= 1;
        Some(slot)
    }
}

impl Scheduler {
    /// Frees room for the waiting tasks of an urgent group, and keeps it from
    /// later groups of this pass.
    pub(super) fn preempt_for(&mut self, ranked: Ranked, queue: &Queue, seats: &mut [Seat]) {
        if self.now_ms < self.groups[&ranked.key].preempt_at_ms {
            self.keep_claims(ranked.key, seats);
            return;
        }
        let group = &self.groups[&ranked.key];
        let count = group.waiting as usize;
        let room = group.room;
        let chosen = self.with_ask(group, queue, &[], |ask| {
            self.cheapest(ranked, ask, seats, count)
        });
        let Some(chosen) = chosen else {
            return;
        };
        let settle_ms = self.now_ms + SETTLE_MS;
        let mut stops = Vec::new();
        let mut claims: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        for (seat, worker, slot) in chosen {
            seats[seat].free = seats[seat].free.minus(&room);
            *claims.entry(worker).or_default() += 1;
            stops.extend(slot.victims.into_iter().map(|name| (worker, name)));
        }
        if !stops.is_empty()
            && let Some(group) = self.groups.get_mut(&ranked.key)
        {
            group.preempt_at_ms = settle_ms;
            group.claims = claims.into_iter().collect();
        }
        for (worker, name) in stops {
            self.stop_run(worker, name, StopReason::Preempted);
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
    }

    /// Keeps what is being freed for a group from the groups after it: its
    /// victims would take the freed room back, and be stopped again.
    fn keep_claims(&self, key: GroupKey, seats: &mut [Seat]) {
        let group = &self.groups[&key];
        for &(worker, count) in &group.claims {
            for seat in seats.iter_mut().filter(|seat| seat.worker == worker) {
                for _ in 0..count {
                    seat.free = seat.free.minus(&group.room);
                }
            }
        }
    }

    /// The cheapest slots for `count` tasks; on one rack where that is asked
    /// for and possible.
    fn cheapest(
        &self,
        ranked: Ranked,
        ask: &Ask<'_>,
        seats: &[Seat],
        count: usize,
    ) -> Option<Vec<(usize, WorkerKey, Slot)>> {
        let all: Vec<usize> = (0..seats.len()).collect();
        let mut regions: Vec<Vec<usize>> = Vec::new();
        if ask.one_rack || !ask.data_rack.is_empty() {
            let mut racks: Vec<&str> = seats.iter().map(|seat| &*seat.rack).collect();
            racks.sort_unstable();
            racks.dedup();
            racks.retain(|rack| ask.data_rack.is_empty() || *rack == ask.data_rack);
            for rack in racks {
                let there = |at: &usize| &*seats[*at].rack == rack;
                regions.push(all.iter().copied().filter(there).collect());
            }
        }
        let on_racks = regions
            .iter()
            .filter_map(|region| self.slots(ranked, ask, seats, region, count))
            .min_by(|a, b| cost_of(a).total_cmp(&cost_of(b)));
        // Room elsewhere is of use only to work that may leave its rack.
        let anywhere = regions.is_empty() || ask.may_leave_rack;
        on_racks.or_else(|| anywhere.then(|| self.slots(ranked, ask, seats, &all, count))?)
    }

    fn slots(
        &self,
        ranked: Ranked,
        ask: &Ask<'_>,
        seats: &[Seat],
        region: &[usize],
        count: usize,
    ) -> Option<Vec<(usize, WorkerKey, Slot)>> {
        let mut yielding: Vec<Yielding<'_>> = region
            .iter()
            .map(|&at| self.yielding(ranked, ask, seats, at))
            .collect();
        let mut next: Vec<Option<Slot>> = yielding.iter_mut().map(Yielding::next).collect();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count {
            let costs = next.iter().enumerate();
            let (at, _) = costs
                .filter_map(|(at, slot)| slot.as_ref().map(|slot| (at, slot.cost)))
                .min_by(|a, b| a.1.total_cmp(&b.1))?;
            let slot = next[at].take()?;
            chosen.push((yielding[at].seat, yielding[at].worker, slot));
            next[at] = yielding[at].next();
        }
        Some(chosen)
    }

    fn yielding(&self, ranked: Ranked, ask: &Ask<'_>, seats: &[Seat], at: usize) -> Yielding<'_> {
        let seat = &seats[at];
        let worker = self.worker(seat.worker);
        let stopping = worker
            .runs
            .values()
            .filter(|run| matches!(run.phase, RunPhase::Stopping | RunPhase::Ending));
        let free = stopping.fold(seat.free, |sum, run| sum.plus(&run.room));
        let mut victims: Vec<(f64, RunName, &Run)> = worker
            .runs
            .iter()
            .filter_map(|(&name, run)| Some((self.loss(ranked, name, run)?, name, run)))
            .collect();
        // The cheapest for the accelerators that it gives comes first.
        let price =
            |victim: &(f64, RunName, &Run)| victim.0 / f64::from(victim.2.room.accelerators.max(1));
        victims.sort_by(|a, b| price(a).total_cmp(&price(b)));
        Yielding {
            seat: at,
            worker: seat.worker,
            free,
            room: ask.room,
            left: (ask.allowed)(seat.worker).min(ask.count),
            victims,
        }
    }

    /// What is lost with a run, in core-seconds; `None` if it may not be taken.
    fn loss(&self, ranked: Ranked, name: RunName, run: &Run) -> Option<f64> {
        let taken = matches!(run.phase, RunPhase::Starting | RunPhase::Running);
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
        if group.is_some_and(|group| group.step.gang && group.blind) {
            return None;
        }
        let members = match group {
            Some(group) if group.step.gang => group.tasks.len() as f64,
            _ => 1.0,
        };
        let factor = if urgent { URGENT_VICTIM_FACTOR } else { 1.0 };
        Some(self.lost_by(run, group) * members * factor)
    }
}

impl Scheduler {
    /// Core-seconds that are lost if a run is stopped now.
    pub(super) fn lost_core_s(&self, key: WorkerKey, name: RunName) -> f64 {
        let run = self.worker(key).runs.get(&name);
        let group = self.groups.get(&GroupKey::of(name.task));
        run.map_or(0.0, |run| self.lost_by(run, group))
    }

    fn lost_by(&self, run: &Run, group: Option<&Group>) -> f64 {
        const MILLI_CORE_MS: f64 = 1e6;
        let mut lost_ms = self.now_ms.saturating_sub(run.ordered_ms);
        if group.is_some_and(|group| group.step.checkpoints) {
            lost_ms = lost_ms.min(self.tuning.checkpoint_ms / 2) + self.tuning.restore_ms;
        }
        run.room.weight() as f64 * (lost_ms + 1) as f64 / MILLI_CORE_MS
    }
}

fn cost_of(slots: &[(usize, WorkerKey, Slot)]) -> f64 {
    slots.iter().map(|(_, _, slot)| slot.cost).sum()
}
