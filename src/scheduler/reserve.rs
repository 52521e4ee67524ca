//! Keeping room for gangs that wait for whole workers.
//!
//! Load pattern: a gang of several whole workers waits beside a stream of small
//! tasks, which take each accelerator as it becomes free, so that the gang
//! would wait for ever. The first gangs in the order get the workers that will
//! have room for them soonest; until then only work that ends before that runs
//! there (backfilling). Limits: few gangs at a time, since kept room idles, and
//! none whose room lies too far ahead for the estimates to mean anything.

use super::placement::{
    Ask,
    Seat, //
};
use super::state::Scheduler;
use super::{
    GroupKey,
    QueueTerms,
    Run,
    RunPhase, //
};
use crate::core::WorkerKey;

/// Gangs for which room is kept at a time.
pub(super) const KEPT_GANGS: u32 = 5;
/// Room that is free later than this is not kept: about two run times.
const HORIZON_MS: u64 = 15_000;

/// When a seat has room for one more task.
#[derive(Clone, Copy, Debug)]
struct FreeSlot {
    at_ms: u64,
    seat: usize,
}

impl Scheduler {
    /// Keeps room for a gang that found none; whether there is any to keep.
    pub(super) fn keep_room_for(
        &self,
        key: GroupKey,
        queue: &QueueTerms,
        seats: &mut [Seat],
    ) -> bool {
        let group = &self.groups[&key];
        let count = group.waiting as usize;
        let chosen = self.with_ask(group, queue, &[], |ask| self.soonest(ask, seats, count));
        let Some(chosen) = chosen else {
            return false;
        };
        let from_ms = chosen.iter().map(|slot| slot.at_ms).max().unwrap_or(0);
        if from_ms > self.now_ms + HORIZON_MS {
            return false;
        }
        for slot in chosen {
            let seat = &mut seats[slot.seat];
            seat.kept = seat.kept.plus(&group.room);
            seat.kept_from_ms = match seat.kept_from_ms {
                0 => from_ms,
                before => before.min(from_ms),
            };
        }
        true
    }

    /// The slots that become free soonest; on one rack where that is asked for.
    fn soonest(&self, ask: &Ask<'_>, seats: &[Seat], count: usize) -> Option<Vec<FreeSlot>> {
        let mut slots: Vec<FreeSlot> = Vec::new();
        for at in 0..seats.len() {
            self.slots_of(ask, seats, at, &mut slots);
        }
        slots.sort_by_key(|slot| (slot.at_ms, slot.seat));
        if !ask.one_rack && ask.data_rack.is_empty() {
            return (slots.len() >= count).then(|| slots[..count].to_vec());
        }
        let mut racks: Vec<&str> = seats.iter().map(|seat| &*seat.rack).collect();
        racks.sort_unstable();
        racks.dedup();
        racks.retain(|rack| ask.data_rack.is_empty() || *rack == ask.data_rack);
        let on_racks = racks.into_iter().filter_map(|rack| {
            let there = slots.iter().filter(|slot| &*seats[slot.seat].rack == rack);
            let first: Vec<FreeSlot> = there.take(count).copied().collect();
            (first.len() == count).then_some(first)
        });
        on_racks.min_by_key(|slots| slots.last().map_or(u64::MAX, |slot| slot.at_ms))
    }

    fn slots_of(&self, ask: &Ask<'_>, seats: &[Seat], at: usize, slots: &mut Vec<FreeSlot>) {
        let seat = &seats[at];
        let worker = self.worker(seat.worker);
        let mut ends: Vec<(u64, &Run)> = worker
            .runs
            .values()
            .filter_map(|run| Some((self.expected_end_ms(seat.worker, run)?, run)))
            .collect();
        ends.sort_by_key(|(end_ms, _)| *end_ms);
        let mut free = seat.free.minus(&seat.kept);
        let (mut at_ms, mut ends) = (self.now_ms, ends.into_iter());
        for _ in 0..(ask.allowed)(seat.worker).min(ask.count) {
            while !free.holds(&ask.room) {
                let Some((end_ms, run)) = ends.next() else {
                    return;
                };
                at_ms = at_ms.max(end_ms);
                free = free.plus(&run.room);
            }
            free = free.minus(&ask.room);
            slots.push(FreeSlot { at_ms, seat: at });
        }
    }

    /// When a run ends, as far as progress and estimates tell; a gang with its
    /// slowest member. `None` for never.
    pub(super) fn expected_end_ms(&self, key: WorkerKey, run: &Run) -> Option<u64> {
        if run.long_running {
            return None;
        }
        if matches!(run.phase, RunPhase::Stopping | RunPhase::Ending) {
            return Some(self.now_ms + self.tuning.stop_ms);
        }
        let group = self.groups.get(&run.group);
        let gang = group.filter(|group| group.step.gang && group.tasks.len() > 1);
        let left_ms = match gang {
            None => self.left_ms(key, run),
            Some(group) => {
                let members = self.members(group);
                let left = members.map(|(worker, _, member)| self.left_ms(worker, member));
                left.max().unwrap_or(0)
            }
        };
        Some(self.now_ms + left_ms)
    }
}
