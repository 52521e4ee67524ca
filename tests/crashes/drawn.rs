//! Property tests with random crashes, unreachable workers and changes of owner, in which
//! some tasks crash their workers.

use super::fleet::{
    Fleet,
    gang,
    record,
    step, //
};
use super::{
    MAX_STARTS,
    STEP_MS, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::scheduler::{
    EndKind,
    GroupKey,
    JobRecord,
    JobStatus,
    RunName,
    TaskId, //
};
use proptest::prelude::*;
use std::collections::{
    BTreeSet,
    HashMap,
    HashSet, //
};

const WORKERS: usize = 5;
const RUN_MS: u64 = 1_200;
/// Fewest crashes after which a task may be given up, whatever caused them.
const MIN_CRASHES_TO_GIVE_UP: usize = 2;
/// Time without faults after which every job has ended.
const RECOVERY_MS: u64 = 120_000;

/// A random event.
#[derive(Clone, Debug)]
enum Event {
    /// A caller submits a job; one of its tasks may crash its workers.
    Submit { kind: u8, crashes: bool },
    /// A worker crashes by itself.
    Crash(u8),
    /// A worker becomes unreachable, or reachable again.
    ToggleReachable(u8),
    /// From now on the store holds back progress (`true`) or stores it at once.
    HoldProgress(bool),
    /// Another daemon becomes the owner.
    ChangeOwner { earlier_owner_exited: bool },
    /// This many milliseconds pass.
    Advance(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (any::<u8>(), prop::bool::weighted(0.4))
            .prop_map(|(kind, crashes)| Event::Submit { kind, crashes }),
        2 => any::<u8>().prop_map(Event::Crash),
        1 => any::<u8>().prop_map(Event::ToggleReachable),
        1 => any::<bool>().prop_map(Event::HoldProgress),
        2 => any::<bool>().prop_map(|earlier_owner_exited| {
            Event::ChangeOwner { earlier_owner_exited }
        }),
        8 => (10..4_000u16).prop_map(Event::Advance),
    ]
}

/// A fleet under random events, with what the test observed.
struct Scenario {
    fleet: Fleet,
    jobs: Vec<(JobId, JobRecord)>,
    /// When each run was first seen on its worker.
    first_seen_ms: HashMap<RunName, u64>,
    /// Runs that had crashed and of whose crashes nothing was stored when the owner changed.
    unrecorded: HashSet<RunName>,
    /// Runs of gangs of which a member is done; the others are done with it.
    done_gangs: HashSet<(GroupKey, u64)>,
    /// The final states of jobs as observed; the scheduler deletes jobs after a while.
    ended: HashMap<JobId, JobStatus>,
    epoch: u64,
}

impl Scenario {
    fn begin(crash_after_ms: u64) -> Self {
        let mut fleet = Fleet::with_workers(WORKERS);
        fleet.defers_progress = true;
        fleet.crash_after_ms = crash_after_ms;
        Self {
            fleet,
            jobs: Vec::new(),
            first_seen_ms: HashMap::new(),
            unrecorded: HashSet::new(),
            done_gangs: HashSet::new(),
            ended: HashMap::new(),
            epoch: 1,
        }
    }

    fn apply_events(&mut self, events: &[Event]) {
        let mut delays_progress = false;
        for event in events {
            match *event {
                Event::Submit { kind, crashes } => self.submit(kind, crashes),
                Event::Crash(which) => {
                    if let Some(name) = self.worker(which) {
                        self.fleet.crash(&name);
                    }
                }
                Event::ToggleReachable(which) => self.toggle_reachable(which),
                Event::HoldProgress(next) => delays_progress = next,
                Event::ChangeOwner {
                    earlier_owner_exited,
                } => self.change_owner(earlier_owner_exited),
                Event::Advance(by_ms) => self.advance_checked(u64::from(by_ms), delays_progress),
            }
        }
    }

    fn submit(&mut self, kind: u8, crashes: bool) {
        let id = JobId(self.jobs.len() as u64 + 1);
        let steps = match kind % 6 {
            0 => vec![step(3, 1)],
            1 => vec![gang(2, 4)],
            2 => vec![gang(3, 2)],
            3 => vec![step(1, 2)],
            4 => vec![gang(3, 8), gang(5, 8)],
            _ => vec![step(2, 4), gang(2, 4), step(3, 1)],
        };
        let queue = ["urgent", "plain"][usize::from(kind / 6 % 2)];
        let job = record(queue, steps);
        if crashes {
            self.fleet.crashing.insert(super::task_of(id, 0));
        }
        self.fleet.submit(id.0, job.clone());
        self.jobs.push((id, job));
    }

    fn worker(&self, which: u8) -> Option<String> {
        let names: BTreeSet<&String> = self.fleet.workers.keys().collect();
        let at = usize::from(which) % names.len().max(1);
        names.into_iter().nth(at).cloned()
    }

    fn toggle_reachable(&mut self, which: u8) {
        let Some(name) = self.worker(which) else {
            return;
        };
        let unresponsive = &mut self.fleet.unresponsive;
        match unresponsive.iter().position(|other| *other == name) {
            Some(at) => drop(unresponsive.remove(at)),
            None => unresponsive.push(name),
        }
    }

    fn change_owner(&mut self, earlier_owner_exited: bool) {
        let lost: Vec<RunName> = self
            .fleet
            .crashed
            .iter()
            .filter(|(name, worker, _)| !self.is_stored(*name, worker))
            .map(|(name, ..)| *name)
            .collect();
        self.unrecorded.extend(lost);
        self.epoch += 1;
        let deleted = &self.fleet.deleted_jobs;
        let jobs = self.jobs.iter().filter(|(id, _)| !deleted.contains(id));
        let jobs: Vec<_> = jobs.cloned().collect();
        let mut next = self
            .fleet
            .next_owner(self.epoch, &jobs, earlier_owner_exited);
        next.defers_progress = true;
        self.fleet = next;
    }

    /// Whether the next owner learns of a crash from the store.
    fn is_stored(&self, name: RunName, worker: &str) -> bool {
        let closed = self.fleet.closed.get(worker).cloned().flatten();
        let in_closed_record = closed.is_some_and(|closed| {
            let mut confirmed = closed.confirmed.iter();
            closed.runs.contains(&name) || confirmed.any(|confirmed| confirmed.name == name)
        });
        let stored = self.fleet.stored.get(&name.task.job);
        let in_progress_record = stored.is_some_and(|(_, record)| {
            let group = record.group(GroupKey::of(name.task));
            let mut rows = group.iter().flat_map(|group| &group.crashes);
            let own = rows.any(|row| row.index == name.task.index && row.runs.contains(&name.run));
            record.ended.is_some() || own
        });
        in_closed_record || in_progress_record
    }

    fn advance_checked(&mut self, by_ms: u64, delays_progress: bool) {
        for _ in 0..by_ms / STEP_MS {
            self.end_due_runs();
            self.fleet.advance(STEP_MS);
            if !delays_progress {
                let pending: Vec<JobId> = self.fleet.pending.keys().copied().collect();
                pending
                    .into_iter()
                    .for_each(|job| self.fleet.commit(job, true));
            }
            self.check();
        }
    }

    /// Ends runs whose time is over or whose lease has expired. Members of a gang are done
    /// together.
    fn end_due_runs(&mut self) {
        let now_ms = self.fleet.now_ms;
        for (worker, name) in self.fleet.running() {
            let started_ms = *self.first_seen_ms.entry(name).or_insert(now_ms);
            let lease_expired = self.fleet.workers[&worker].has_expired_lease(now_ms);
            if lease_expired {
                self.fleet.end_run(&worker, name, EndKind::LeaseExpired);
            } else if now_ms >= started_ms + RUN_MS && self.can_end(name) {
                self.fleet.end_run(&worker, name, EndKind::Done);
                self.done_gangs.insert((GroupKey::of(name.task), name.run));
            }
        }
    }

    /// Whether a run can be done: no task of its gang crashes its worker, and the gang is
    /// complete.
    fn can_end(&self, name: RunName) -> bool {
        let (_, job) = &self.jobs[name.task.job.0 as usize - 1];
        let key = GroupKey::of(name.task);
        let step = &job.spec.steps[key.step as usize];
        let crashing = &self.fleet.crashing;
        let gang_crashes = step.gang && crashing.contains(&key.task(0));
        let running = self.fleet.running();
        let members = running
            .iter()
            .filter(|(_, other)| other.run == name.run && GroupKey::of(other.task) == key);
        // The worker that listed its end may have forgotten it since.
        let has_done_member = self.done_gangs.contains(&(key, name.run));
        let has_missing_member =
            step.gang && members.count() < step.count as usize && !has_done_member;
        !crashing.contains(&name.task) && !gang_crashes && !has_missing_member
    }

    fn check(&mut self) {
        let running = self.fleet.running();
        let tasks: HashSet<TaskId> = running.iter().map(|(_, name)| name.task).collect();
        assert_eq!(
            tasks.len(),
            running.len(),
            "a task runs twice at the same time: {running:?}"
        );
        for &task in &self.fleet.crashing {
            let running_count = running.iter().filter(|(_, name)| name.task == task).count();
            let unrecorded = self
                .unrecorded
                .iter()
                .filter(|name| name.task == task)
                .count();
            let starts = self.crash_count(task) + running_count;
            assert!(
                starts <= MAX_STARTS + unrecorded,
                "{task:?} was started {starts} times, {unrecorded} crashes are not stored"
            );
        }
        for (id, _) in &self.jobs {
            let status = self.fleet.scheduler.job_status(*id);
            if let Some(end @ (JobStatus::Completed | JobStatus::Failed)) = status {
                let before = self.ended.insert(*id, end);
                assert!(
                    before.is_none_or(|before| before == end),
                    "{id} changed its final state from {before:?} to {end:?}"
                );
            }
            let failed = status == Some(JobStatus::Failed);
            assert!(
                !failed || self.may_be_given_up(*id),
                "{id} failed without enough crashes of a task"
            );
        }
    }

    fn crash_count(&self, task: TaskId) -> usize {
        let crashed = self.fleet.crashed.iter();
        crashed.filter(|(name, ..)| name.task == task).count()
    }

    fn may_be_given_up(&self, id: JobId) -> bool {
        let crashed = self.fleet.crashed.iter();
        let mut tasks = crashed
            .map(|(name, ..)| name.task)
            .filter(|task| task.job == id);
        tasks.any(|task| self.crash_count(task) >= MIN_CRASHES_TO_GIVE_UP)
    }

    /// Ends all faults, and checks that every job then reaches its final state.
    fn recover_and_finish(&mut self) {
        self.fleet.unresponsive.clear();
        self.advance_checked(RECOVERY_MS, false);
        for (id, _) in &self.jobs {
            let end = self.ended.get(id);
            let crashes = self.fleet.crashing.contains(&super::task_of(*id, 0));
            match crashes {
                true => assert_eq!(end, Some(&JobStatus::Failed), "{id}"),
                false => assert!(end.is_some(), "{id} has not ended"),
            }
        }
    }
}

fn cases() -> u32 {
    let given = std::env::var("CRASH_CASES").ok();
    given.map_or(48, |text| text.parse().expect("a number"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// With any crashes, unreachable workers and changes of owner: a task that crashes its
    /// workers is given up within the allowed number of starts, as far as its crashes are
    /// stored; no job fails unless one of its tasks lost two workers; no task runs twice at
    /// the same time; and every job reaches its final state.
    #[test]
    fn jobs_reach_the_right_final_state_under_random_crashes(
        crash_after_ms in prop_oneof![Just(10u64), 10..1_100u64],
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut scenario = Scenario::begin(crash_after_ms);

        scenario.apply_events(&events);

        scenario.recover_and_finish();
    }

    /// The same properties hold if crashed workers restart under the same names.
    #[test]
    fn jobs_reach_the_right_final_state_under_random_crashes_of_workers_that_keep_their_names(
        crash_after_ms in prop_oneof![Just(10u64), 10..1_100u64],
        down_ms in prop_oneof![Just(3_100u64), 0..1_500u64],
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut scenario = Scenario::begin(crash_after_ms);
        scenario.fleet.keeps_names = true;
        scenario.fleet.down_ms = down_ms;

        scenario.apply_events(&events);

        scenario.recover_and_finish();
    }
}
