//! Runs a scheduling pass: offers free capacity to waiting groups in the order of
//! [`super::ordering`].
//!
//! A pass first ends the jobs that have to be given up. What it decides after that closes no
//! group, so each group of its list stays open until the pass is over.
//!
//! Starts, reservations and preemptions of a pass are subtracted from the candidates'
//! free resources at once, so no resources are given to two groups. A pass starts
//! nothing unless the epoch was confirmed recently, a configuration is known, and the
//! orders to empty data centres were read recently.

use super::action::Action;
use super::headroom::TaskLimit;
use super::ordering::{
    OrderingPolicy,
    Ranked,
    Tier, //
};
use super::placement::{
    CandidateWorker,
    Placement,
    PlacementRequest,
    place, //
};
use super::reservation::{
    ExpectedEnds,
    RESERVING_GANGS, //
};
use super::state::Scheduler;
use super::{
    Group,
    GroupKey,
    QueueTerms,
    Resources,
    Task,
    TaskState,
    Timing, //
};
use crate::core::WorkerKey;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum number of starts in one pass. The next decision, after the next input or
/// review, starts more. So inputs do not wait for a whole burst of starts.
const MAX_STARTS: usize = 96;
/// Wait after which tasks may run outside the rack of their data, if they are on time
/// there or would be late on the rack as well. Urgent work should begin
/// within 1.5 s. In a full replay, the p99 of the time until it begins is 2,382 ms
/// without this wait and 982 ms with it.
const LEAVE_RACK_MS: u64 = 1_500;
/// Wait after which tasks may run outside the rack of their data in any case: less than
/// the 3 s for which work may wait while workers are idle.
const LEAVE_RACK_ANYWAY_MS: u64 = 2_600;
/// A ticket that expires within this time is not used.
const TICKET_MARGIN_MS: u64 = 300;
/// Maximum number of workers in one request to the external placement policy.
const MAX_ADVISED_WORKERS: usize = 30;

/// Resources per task for which no candidate was found in this pass. Groups that need at
/// least as much are skipped, so that 200 similar tasks do not cost 200 searches.
#[derive(Debug, Default)]
struct FailedSearches {
    needs: Vec<Resources>,
    /// Whether a group without constraints found too little, or was held back for urgent work.
    is_short: bool,
}

impl FailedSearches {
    /// Whether a search for at most these resources has failed.
    fn covers(&self, needs: &Resources) -> bool {
        self.needs.iter().any(|failed| needs.contains(failed))
    }
}

/// State of the reservations that a pass makes for waiting gangs.
#[derive(Debug, Default)]
struct Reservations {
    gangs: u32,
    ends: ExpectedEnds,
}

/// Number of tasks that an offer started.
#[derive(Clone, Copy, Debug, Default)]
struct Started {
    tasks: usize,
    /// Those on workers where urgent work is on time.
    urgent_on_time: u32,
}

impl Scheduler {
    /// Offers free capacity to the waiting groups in order.
    pub(super) fn pass(&mut self) {
        if !self.has_authority() || self.configuration.version == 0 {
            return;
        }
        if !self.knows_orders() {
            self.report_stale_orders();
            return;
        }
        self.report_stale_entries();
        self.review_waiting_groups();
        self.review_suspects();
        let mut candidates = self.candidates();
        let mut failed_searches = FailedSearches::default();
        let mut reservations = Reservations::default();
        let mut non_urgent_capacity = self.non_urgent_capacity();
        let mut starts = 0;
        for ranked in self.ranked() {
            if starts >= MAX_STARTS {
                self.changed = true;
                break;
            }
            self.set_deciding(Some(ranked.key.job));
            let non_urgent = self.is_non_urgent(ranked.key);
            let accelerators = self.groups[&ranked.key].resources.accelerators;
            let limit = match non_urgent {
                true => non_urgent_capacity.tasks(
                    accelerators,
                    self.slack_fraction(ranked.key),
                    self.waited_ms(ranked.key),
                ),
                false => TaskLimit::NONE,
            };
            let started = self.offer(
                ranked,
                limit,
                &mut candidates,
                &mut failed_searches,
                &mut reservations,
            );
            if non_urgent {
                let fast = started.urgent_on_time * accelerators;
                non_urgent_capacity.take(started.tasks as u32 * accelerators, fast);
                non_urgent_capacity.reserve(self.waiting_gang_members(ranked.key) * accelerators);
            }
            starts += started.tasks;
            debug_assert!(
                self.groups.contains_key(&ranked.key),
                "an offer closes no group"
            );
        }
        self.set_deciding(None);
        let is_short = failed_searches.is_short || reservations.gangs > 0;
        self.accounts.record_pass(is_short);
    }

    fn waited_ms(&self, key: GroupKey) -> u64 {
        self.now_ms.saturating_sub(self.groups[&key].released_ms)
    }

    fn slack_fraction(&self, key: GroupKey) -> f64 {
        let group = &self.groups[&key];
        group
            .objective()
            .slack_fraction(self.now_ms, group.run_ms())
    }

    /// Number of waiting members if the group is a gang; 0 for other groups.
    fn waiting_gang_members(&self, key: GroupKey) -> u32 {
        let group = self.groups.get(&key).filter(|group| group.step.gang);
        group.map_or(0, |group| group.waiting)
    }

    /// Workers that accept work, with their free resources.
    fn candidates(&self) -> Vec<CandidateWorker> {
        let now_ms = self.now_ms;
        let accepting = || {
            self.workers
                .iter()
                .filter(|worker| worker.takes_work(now_ms) && !self.is_capacity_unknown(worker.key))
        };
        let mut rack_free: HashMap<&Arc<str>, u32> = HashMap::new();
        for worker in accepting() {
            *rack_free.entry(worker.rack()).or_default() += worker.free().accelerators;
        }
        accepting()
            .map(|worker| CandidateWorker {
                worker: worker.key,
                free: worker.free(),
                rack: worker.rack().clone(),
                slowness: self.slowness(worker.key),
                urgent_on_time: self.is_urgent_on_time(worker.key),
                serves: worker.runs.values().any(|run| run.serves),
                fills: worker.runs.values().any(|run| run.fills),
                runs: worker.runs.len() as u32,
                rack_free: rack_free.get(worker.rack()).copied().unwrap_or(0),
                reserved: Resources::default(),
                reserved_from_ms: 0,
            })
            .collect()
    }

    /// Offers free capacity to one group: starts up to `limit` of its tasks and, if tasks
    /// are left waiting, may preempt runs or reserve capacity for them. Returns the number
    /// of tasks started.
    fn offer(
        &mut self,
        ranked: Ranked,
        limit: TaskLimit,
        candidates: &mut [CandidateWorker],
        failed_searches: &mut FailedSearches,
        reservations: &mut Reservations,
    ) -> Started {
        let key = ranked.key;
        if !self.is_crash_stored(key) {
            return Started::default();
        }
        let suspected = self.has_waiting_suspect(key);
        let group = &self.groups[&key];
        let unconstrained = !suspected
            && !group.step.gang
            && group.step.required_label.is_empty()
            && group.step.data_rack.is_empty()
            && group.step.max_per_worker == 0;
        let Some(known) = &self.jobs[&key.job].terms else {
            return Started::default();
        };
        let queue = known.terms.clone();
        if unconstrained && queue.advice.is_none() && failed_searches.covers(&group.resources) {
            return Started::default();
        }
        if !self.has_advice(key, &queue, candidates) {
            return Started::default();
        }
        let group = &self.groups[&key];
        let avoid: Vec<WorkerKey> = group.tasks.iter().filter_map(|task| task.avoid).collect();
        let limited = limit.tasks.min(limit.urgent_on_time) < group.waiting;
        let too_few = limit.tasks < group.waiting;
        let held_back = limit.tasks == 0 || (group.step.gang && too_few);
        let placements = match held_back {
            true => Vec::new(),
            false => self.with_request(group, &queue, &avoid, |request| {
                let request = PlacementRequest {
                    count: request.count.min(limit.tasks),
                    urgent_on_time_limit: limit.urgent_on_time,
                    fast_scarcity: limit.fast_scarcity,
                    ..*request
                };
                place(candidates, &request)
            }),
        };
        let placed: u32 = placements.iter().map(|placement| placement.count).sum();
        let complete = placed == group.waiting;
        let started = self.start_placements(key, &placements, candidates);
        if started.tasks > 0 {
            self.observe_tolerance(key);
            reservations.ends.invalidate();
        }
        if !complete {
            failed_searches.is_short |= unconstrained;
            if unconstrained && !limited {
                failed_searches.needs.push(self.groups[&key].resources);
            }
            if self.may_preempt(&ranked) && self.preempt_for(ranked, &queue, candidates) {
                reservations.ends.invalidate();
                return started;
            }
            if self.groups[&key].step.gang
                && reservations.gangs < RESERVING_GANGS
                && self.reserve_for(key, &queue, candidates, &mut reservations.ends)
            {
                reservations.gangs += 1;
            }
        }
        started
    }

    /// Calls `then` with the placement request of a group's waiting tasks.
    pub(super) fn with_request<T>(
        &self,
        group: &Group,
        queue: &QueueTerms,
        avoid: &[WorkerKey],
        then: impl FnOnce(&PlacementRequest<'_>) -> T,
    ) -> T {
        let step = &group.step;
        let mut placed_on: HashMap<WorkerKey, u32> = HashMap::new();
        if step.max_per_worker > 0 {
            for task in &group.tasks {
                if let TaskState::Placed { worker, .. } = task.state {
                    *placed_on.entry(worker).or_default() += 1;
                }
            }
        }
        let now_ms = self.now_ms;
        let suspected = self.has_waiting_suspect(group.key);
        let has_crashed_runs = group.tasks.iter().any(|task| !task.crashes.is_empty());
        let failure_avoidance = match step.long_running {
            true => None,
            false => self.failure_avoidance(group, &queue.service),
        };
        let allowed = |key: WorkerKey| -> u32 {
            let worker = self.worker(key);
            if failure_avoidance
                .as_ref()
                .is_some_and(|failure_avoidance| !failure_avoidance.allows(worker, now_ms))
            {
                return 0;
            }
            let serves_queue = worker.info.service == queue.service;
            if !serves_queue || !worker.has_label(&step.required_label) {
                return 0;
            }
            if queue.advice.is_some() && !self.has_ticket(group, key) {
                return 0;
            }
            if suspected && self.has_starting_suspect_of_other_job(key, group.key.job) {
                return 0;
            }
            match step.max_per_worker {
                0 => u32::MAX,
                most => most.saturating_sub(placed_on.get(&key).copied().unwrap_or(0)),
            }
        };
        then(&PlacementRequest {
            resources: group.resources,
            count: group.waiting,
            urgent_on_time_limit: u32::MAX,
            timing: self.timing(group),
            remote_factor: self.tuning.remote_factor,
            fast_scarcity: 0.0,
            gang: step.gang,
            same_rack: step.same_rack,
            data_rack: &step.data_rack,
            may_leave_rack: self.may_leave_rack(group),
            fills: step.fills,
            serves: step.serves(),
            suspected,
            crash_prone: &|key| has_crashed_runs && self.crashed_recently(key),
            avoid,
            allowed: &allowed,
        })
    }

    fn timing(&self, group: &Group) -> Timing {
        let resumes = |task: &Task| task.state == TaskState::Waiting && task.checkpoint.is_some();
        Timing {
            now_ms: self.now_ms,
            run_ms: group.run_ms(),
            restore_ms: match group.tasks.iter().any(resumes) {
                true => self.tuning.restore_ms,
                false => 0,
            },
            objective: group.objective(),
            urgent: self.jobs[&group.key.job].is_urgent(),
        }
    }

    /// Whether a group may run outside the rack of its data, where it takes several
    /// times as long. It may at once if no worker of the rack gets new tasks; after
    /// [`LEAVE_RACK_MS`] if it is on time elsewhere or would be late on its rack as well;
    /// and after [`LEAVE_RACK_ANYWAY_MS`], or a wait of its own for guaranteed work, in any
    /// case.
    fn may_leave_rack(&self, group: &Group) -> bool {
        let now_ms = self.now_ms;
        let waited_ms = now_ms.saturating_sub(group.released_ms);
        let guaranteed = self.guaranteed.contains(&group.key.job);
        if self.is_rack_emptied(&group.step.data_rack) {
            return true;
        }
        if waited_ms >= LEAVE_RACK_ANYWAY_MS
            || (guaranteed && waited_ms >= self.tuning.guaranteed_wait_ms())
        {
            return true;
        }
        let local_ms = group.run_ms();
        let remote_ms = (local_ms as f64 * self.tuning.remote_factor) as u64;
        let late_locally = now_ms + local_ms > group.objective_ms;
        let on_time_remotely = now_ms + remote_ms <= group.objective_ms;
        waited_ms >= LEAVE_RACK_MS && (late_locally || on_time_remotely)
    }

    /// Starts waiting tasks on the workers of the placements, and subtracts their
    /// resources from the candidates. Returns the number of tasks started.
    fn start_placements(
        &mut self,
        key: GroupKey,
        placements: &[Placement],
        candidates: &mut [CandidateWorker],
    ) -> Started {
        let group = &self.groups[&key];
        let mut waiting = (0u32..)
            .zip(&group.tasks)
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, _)| index)
            .collect::<Vec<_>>()
            .into_iter();
        let (resources, gang) = (group.resources, group.step.gang);
        let (fills, serves) = (group.step.fills, group.step.serves());
        let gang_run = gang.then(|| self.next_run(key, None));
        let suspected = self.has_waiting_suspect(key);
        let mut started = Started::default();
        for placement in placements {
            let candidate = &mut candidates[placement.candidate];
            for _ in 0..placement.count {
                let Some(index) = waiting.next() else {
                    return started;
                };
                candidate.free = candidate.free.minus(&resources);
                candidate.fills |= fills;
                candidate.serves |= serves;
                let run = gang_run.unwrap_or_else(|| self.next_run(key, Some(index)));
                if gang && let Some(group) = self.groups.get_mut(&key) {
                    group.gang_run = Some(run);
                    group.gang_ending = false;
                }
                self.start_run(candidate.worker, key, index, run);
                started.tasks += 1;
                started.urgent_on_time += u32::from(candidate.urgent_on_time);
            }
            if suspected && self.reserve_for_suspect(candidate.worker) {
                candidate.free = Resources::default();
            }
        }
        started
    }

    fn has_ticket(&self, group: &Group, key: WorkerKey) -> bool {
        let ticket = group.advice.tickets.get(&key);
        ticket.is_some_and(|ticket| self.now_ms + TICKET_MARGIN_MS < ticket.until_ms)
    }

    /// Whether a group may be placed now: its queue has no external placement policy, or
    /// at least one task fits on the workers that the policy has approved. Asks the policy
    /// about more workers if not all waiting tasks fit on the approved ones.
    fn has_advice(
        &mut self,
        key: GroupKey,
        queue: &QueueTerms,
        candidates: &[CandidateWorker],
    ) -> bool {
        if queue.advice.is_none() {
            return true;
        }
        let group = &self.groups[&key];
        let useful = |candidate: &&CandidateWorker| {
            let worker = self.worker(candidate.worker);
            worker.info.service == queue.service
                && worker.has_label(&group.step.required_label)
                && candidate.free.contains(&group.resources)
        };
        let approved_tasks = candidates
            .iter()
            .filter(useful)
            .filter(|candidate| self.has_ticket(group, candidate.worker))
            .map(|candidate| candidate.free.count_fitting(&group.resources))
            .fold(0u32, u32::saturating_add);
        if approved_tasks >= group.waiting {
            return true;
        }
        let workers: Vec<_> = candidates
            .iter()
            .filter(useful)
            .filter(|candidate| !group.advice.declined.contains(&candidate.worker))
            .filter(|candidate| !self.has_ticket(group, candidate.worker))
            .take(MAX_ADVISED_WORKERS)
            .map(|candidate| (candidate.worker, self.worker(candidate.worker).name()))
            .collect();
        let now_ms = self.now_ms;
        if let Some(group) = self.groups.get_mut(&key) {
            let may_ask = !group.advice.asking && now_ms >= group.advice.ask_at_ms;
            if may_ask && !workers.is_empty() {
                group.advice.asking = true;
                self.actions.push(Action::Advise { step: key, workers });
            }
        }
        approved_tasks > 0
    }

    /// Handles the answer of an external placement policy; `approved` is `None` if it did
    /// not answer.
    pub(super) fn handle_advice(
        &mut self,
        key: GroupKey,
        asked: &[WorkerKey],
        approved: Option<Vec<(String, std::sync::Arc<str>)>>,
    ) {
        /// Wait before the policy is asked again after a request without an answer.
        const ASK_AGAIN_MS: u64 = 200;
        let now_ms = self.now_ms;
        let validity_ms = self.jobs.get(&key.job).map_or(0, |job| {
            let advice = job.terms().and_then(|terms| terms.advice);
            advice.map_or(0, |advice| advice.validity_ms)
        });
        let index = &self.worker_index;
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        group.advice.asking = false;
        self.changed = true;
        let Some(approved) = approved else {
            group.advice.ask_at_ms = now_ms + ASK_AGAIN_MS;
            return;
        };
        for (name, ticket) in approved {
            // A ticket is valid only for the incarnation that the request named.
            let worker = index.get(&name).filter(|worker| asked.contains(worker));
            if let Some(&worker) = worker {
                let until_ms = now_ms.saturating_add(validity_ms);
                let ticket = super::group::Ticket { ticket, until_ms };
                group.advice.tickets.insert(worker, ticket);
            }
        }
        for worker in asked {
            if !group.advice.tickets.contains_key(worker) {
                group.advice.declined.push(*worker);
            }
        }
    }

    /// Whether runs of other jobs may be preempted for this group: groups are ordered by
    /// utility, and the group is guaranteed, or it is urgent and still on time.
    pub(super) fn may_preempt(&self, ranked: &Ranked) -> bool {
        let job = &self.jobs[&ranked.key.job];
        let group = &self.groups[&ranked.key];
        if self.tuning.order != OrderingPolicy::Utility {
            return false;
        }
        let on_time = self.now_ms + group.run_ms() <= group.objective_ms;
        ranked.tier == Tier::Guaranteed || (job.is_urgent() && on_time)
    }
}
