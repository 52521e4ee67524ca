//! Reserves capacity for gangs that wait for whole workers.
//!
//! Load pattern: a gang of several whole workers waits beside a stream of small tasks,
//! which take each accelerator as it becomes free, so that the gang would wait for ever.
//! The first gangs in the order reserve the workers that will have capacity for them
//! soonest; until then only work that ends before that time runs there (backfilling).
//! Limits: only a few gangs reserve at a time, since reserved capacity stands idle, and
//! none whose capacity is expected so late that the estimates mean nothing.

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
    RunPhase, //
};
use crate::core::WorkerKey;
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// Maximum number of gangs that reserve capacity at a time.
pub(super) const RESERVING_GANGS: u32 = 5;
/// Capacity that becomes free later than this is not reserved: about two run times.
const HORIZON_MS: u64 = 15_000;

/// A cache of the expected ends of runs within a pass: every waiting gang needs those of
/// the whole fleet.
#[derive(Debug, Default)]
pub(super) struct ExpectedEnds {
    /// The expected end and the resources of each run on a candidate, the soonest first.
    by_candidate: HashMap<usize, Vec<(u64, Resources)>>,
    /// Time left until a gang ends.
    by_gang: HashMap<GroupKey, u64>,
}

impl ExpectedEnds {
    /// Drops the cached ends after runs have started or stopped.
    pub(super) fn invalidate(&mut self) {
        self.by_candidate.clear();
        self.by_gang.clear();
    }
}

/// The time at which a candidate can take one more task.
#[derive(Clone, Copy, Debug)]
struct FreeSlot {
    at_ms: u64,
    candidate: usize,
}

impl Scheduler {
    /// Reserves capacity on the candidates for a gang that does not fit now. Returns
    /// `false` if there is none to reserve within the horizon.
    pub(super) fn reserve_for(
        &self,
        key: GroupKey,
        queue: &QueueTerms,
        candidates: &mut [CandidateWorker],
        ends: &mut ExpectedEnds,
    ) -> bool {
        let group = &self.groups[&key];
        let count = group.waiting as usize;
        let chosen = self.with_request(group, queue, &[], |request| {
            self.soonest_slots(request, candidates, count, ends)
        });
        let Some(chosen) = chosen else {
            return false;
        };
        let from_ms = chosen.iter().map(|slot| slot.at_ms).max().unwrap_or(0);
        if from_ms > self.now_ms + HORIZON_MS {
            return false;
        }
        for slot in chosen {
            let candidate = &mut candidates[slot.candidate];
            candidate.reserved = candidate.reserved.plus(&group.resources);
            candidate.reserved_from_ms = match candidate.reserved_from_ms {
                0 => from_ms,
                before => before.min(from_ms),
            };
        }
        true
    }

    /// Returns the `count` slots that become free soonest, on one rack if the request
    /// asks for that.
    fn soonest_slots(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &[CandidateWorker],
        count: usize,
        ends: &mut ExpectedEnds,
    ) -> Option<Vec<FreeSlot>> {
        let mut slots: Vec<FreeSlot> = Vec::new();
        for at in 0..candidates.len() {
            self.add_slots(request, candidates, at, ends, &mut slots);
        }
        slots.sort_by_key(|slot| (slot.at_ms, slot.candidate));
        if !request.same_rack && request.data_rack.is_empty() {
            return (slots.len() >= count).then(|| slots[..count].to_vec());
        }
        let mut by_rack: BTreeMap<&str, Vec<FreeSlot>> = BTreeMap::new();
        for slot in slots {
            let rack = &*candidates[slot.candidate].rack;
            let first = by_rack.entry(rack).or_default();
            let wanted = request.data_rack.is_empty() || rack == request.data_rack;
            if wanted && first.len() < count {
                first.push(slot);
            }
        }
        let whole = by_rack.into_values().filter(|slots| slots.len() == count);
        whole.min_by_key(|slots| slots.last().map_or(u64::MAX, |slot| slot.at_ms))
    }

    /// Adds the slots of the candidate at index `at`, the soonest first.
    fn add_slots(
        &self,
        request: &PlacementRequest<'_>,
        candidates: &[CandidateWorker],
        at: usize,
        ends: &mut ExpectedEnds,
        slots: &mut Vec<FreeSlot>,
    ) {
        let candidate = &candidates[at];
        let most = (request.allowed)(candidate.worker).min(request.count);
        if most == 0 {
            return;
        }
        let by_gang = &mut ends.by_gang;
        let by_candidate = ends.by_candidate.entry(at);
        let ends = by_candidate.or_insert_with(|| self.expected_ends_on(candidate.worker, by_gang));
        let mut free = candidate.free.minus(&candidate.reserved);
        let (mut at_ms, mut ends) = (self.now_ms, ends.iter());
        for _ in 0..most {
            while !free.contains(&request.resources) {
                let Some((end_ms, resources)) = ends.next() else {
                    return;
                };
                at_ms = at_ms.max(*end_ms);
                free = free.plus(resources);
            }
            free = free.minus(&request.resources);
            slots.push(FreeSlot {
                at_ms,
                candidate: at,
            });
        }
    }

    /// Returns the expected ends and the resources of the runs on a worker that end, the
    /// soonest first.
    fn expected_ends_on(
        &self,
        key: WorkerKey,
        by_gang: &mut HashMap<GroupKey, u64>,
    ) -> Vec<(u64, Resources)> {
        let runs = self.worker(key).runs.values();
        let ends = runs.filter_map(|run| {
            let end_ms = self.expected_end_with(key, run, |group| {
                let known = by_gang.entry(group.key);
                *known.or_insert_with(|| self.gang_left_ms(group))
            });
            Some((end_ms?, run.resources))
        });
        let mut ends: Vec<(u64, Resources)> = ends.collect();
        ends.sort_by_key(|(end_ms, _)| *end_ms);
        ends
    }

    /// Returns when a run is expected to end, by its progress or by the estimates; a run
    /// of a gang ends with the slowest member. `None` for a run that does not end by
    /// itself.
    pub(super) fn expected_end_ms(&self, key: WorkerKey, run: &Run) -> Option<u64> {
        self.expected_end_with(key, run, |group| self.gang_left_ms(group))
    }

    /// As [`Scheduler::expected_end_ms`], with the time left of a gang from
    /// `gang_left_ms`.
    fn expected_end_with(
        &self,
        key: WorkerKey,
        run: &Run,
        gang_left_ms: impl FnOnce(&Group) -> u64,
    ) -> Option<u64> {
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
            Some(group) => gang_left_ms(group),
        };
        Some(self.now_ms + left_ms)
    }

    /// Time until the slowest member of a gang ends.
    fn gang_left_ms(&self, group: &Group) -> u64 {
        let members = self.members(group);
        let left = members.map(|(worker, _, member)| self.left_ms(worker, member));
        left.max().unwrap_or(0)
    }
}
