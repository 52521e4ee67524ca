//! Fleets under drawn crashes, silences and changes of owner, with tasks that crash
//! their workers beside others.

use super::fleet::{
    Fleet,
    gang,
    record,
    step, //
};
use super::{
    MOST_STARTS,
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
/// Two crashes of a task may have it given up, whatever they came from.
const LEAST_CRASHES: usize = 2;
/// Once all is calm, everything has ended after this long.
const CALM_MS: u64 = 120_000;

/// What is drawn.
#[derive(Clone, Debug)]
enum Event {
    /// A caller submits a job; one of its tasks may crash its workers.
    Submit { kind: u8, crashes: bool },
    /// A worker crashes by itself.
    Crash(u8),
    /// A worker can't be reached, or can again.
    Silence(u8),
    /// Progress is stored at once, or waits.
    Hold(bool),
    /// Another daemon owns.
    ChangeOwner { earlier_owner_over: bool },
    /// Time passes.
    Pass(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (any::<u8>(), prop::bool::weighted(0.4))
            .prop_map(|(kind, crashes)| Event::Submit { kind, crashes }),
        2 => any::<u8>().prop_map(Event::Crash),
        1 => any::<u8>().prop_map(Event::Silence),
        1 => any::<bool>().prop_map(Event::Hold),
        2 => any::<bool>().prop_map(|earlier_owner_over| {
            Event::ChangeOwner { earlier_owner_over }
        }),
        8 => (10..4_000u16).prop_map(Event::Pass),
    ]
}

struct Story {
    fleet: Fleet,
    jobs: Vec<(JobId, JobRecord)>,
    began: HashMap<RunName, u64>,
    /// Crashes of which the store said nothing when their owner was followed.
    unknown: HashSet<RunName>,
    /// How jobs were shown to have ended; they are forgotten after a while.
    ended: HashMap<JobId, JobStatus>,
    epoch: u64,
}

impl Story {
    fn begin(crash_after_ms: u64) -> Self {
        let mut fleet = Fleet::with_workers(WORKERS);
        fleet.holds_progress = true;
        fleet.crash_after_ms = crash_after_ms;
        Self {
            fleet,
            jobs: Vec::new(),
            began: HashMap::new(),
            unknown: HashSet::new(),
            ended: HashMap::new(),
            epoch: 1,
        }
    }

    fn play(&mut self, events: &[Event]) {
        let mut holds = false;
        for event in events {
            match *event {
                Event::Submit { kind, crashes } => self.submit(kind, crashes),
                Event::Crash(which) => {
                    if let Some(name) = self.worker(which) {
                        self.fleet.crash(&name);
                    }
                }
                Event::Silence(which) => self.toggle_silence(which),
                Event::Hold(next) => holds = next,
                Event::ChangeOwner { earlier_owner_over } => self.follow(earlier_owner_over),
                Event::Pass(by_ms) => self.pass(u64::from(by_ms), holds),
            }
        }
    }

    fn submit(&mut self, kind: u8, crashes: bool) {
        let id = JobId(self.jobs.len() as u64 + 1);
        let steps = match kind % 4 {
            0 => vec![step(3, 1)],
            1 => vec![gang(2, 4)],
            2 => vec![gang(3, 2)],
            _ => vec![step(1, 2)],
        };
        let queue = ["urgent", "plain"][usize::from(kind / 4 % 2)];
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

    fn toggle_silence(&mut self, which: u8) {
        let Some(name) = self.worker(which) else {
            return;
        };
        let silent = &mut self.fleet.silent;
        match silent.iter().position(|other| *other == name) {
            Some(at) => drop(silent.remove(at)),
            None => silent.push(name),
        }
    }

    fn follow(&mut self, earlier_owner_over: bool) {
        let lost: Vec<RunName> = self
            .fleet
            .crashed
            .iter()
            .filter(|(name, worker, _)| !self.is_stored(*name, worker))
            .map(|(name, ..)| *name)
            .collect();
        self.unknown.extend(lost);
        self.epoch += 1;
        let forgotten = &self.fleet.forgotten;
        let jobs = self.jobs.iter().filter(|(id, _)| !forgotten.contains(id));
        let jobs: Vec<_> = jobs.cloned().collect();
        let mut next = self.fleet.next_owner(self.epoch, &jobs, earlier_owner_over);
        next.holds_progress = true;
        self.fleet = next;
    }

    /// Whether the next owner knows of a crash by what is stored.
    fn is_stored(&self, name: RunName, worker: &str) -> bool {
        let closed = self.fleet.closed.get(worker).cloned().flatten();
        let noted = closed.is_some_and(|closed| {
            let mut confirmed = closed.confirmed.iter();
            closed.runs.contains(&name) || confirmed.any(|confirmed| confirmed.name == name)
        });
        let stored = self.fleet.stored.get(&name.task.job);
        let counted = stored.is_some_and(|(_, record)| {
            let group = record.group(GroupKey::of(name.task));
            let mut rows = group.iter().flat_map(|group| &group.crashes);
            let own = rows.any(|row| row.index == name.task.index && row.runs.contains(&name.run));
            record.ended.is_some() || own
        });
        noted || counted
    }

    fn pass(&mut self, by_ms: u64, holds: bool) {
        for _ in 0..by_ms / STEP_MS {
            self.end_what_is_over();
            self.fleet.advance(STEP_MS);
            if !holds {
                let pending: Vec<JobId> = self.fleet.pending.keys().copied().collect();
                pending
                    .into_iter()
                    .for_each(|job| self.fleet.commit(job, true));
            }
            self.check();
        }
    }

    /// Runs end when their time or their worker's lease is over; a gang as a whole.
    fn end_what_is_over(&mut self) {
        let now_ms = self.fleet.now_ms;
        for (worker, name) in self.fleet.running() {
            let began_ms = *self.began.entry(name).or_insert(now_ms);
            let lapsed = self.fleet.workers[&worker].has_lapsed(now_ms);
            if lapsed {
                self.fleet.end_run(&worker, name, EndKind::LeaseExpired);
            } else if now_ms >= began_ms + RUN_MS && self.is_whole(name) {
                self.fleet.end_run(&worker, name, EndKind::Done);
            }
        }
    }

    /// Whether a run can end by itself: none of its gang crashes its worker.
    fn is_whole(&self, name: RunName) -> bool {
        let (_, job) = &self.jobs[name.task.job.0 as usize - 1];
        let step = &job.spec.steps[0];
        let crashing = &self.fleet.crashing;
        let gang_crashes = step.gang && crashing.contains(&super::task_of(name.task.job, 0));
        let running = self.fleet.running();
        let members = running.iter().filter(|(_, other)| {
            other.run == name.run && GroupKey::of(other.task) == GroupKey::of(name.task)
        });
        let missing = step.gang && members.count() < step.count as usize && !self.was_done(name);
        !crashing.contains(&name.task) && !gang_crashes && !missing
    }

    /// Whether a member of the same run has ended done already.
    fn was_done(&self, name: RunName) -> bool {
        let workers = self.fleet.workers.values();
        let mut ended = workers.flat_map(|worker| &worker.ended);
        ended.any(|row| {
            row.kind == EndKind::Done
                && row.name.run == name.run
                && GroupKey::of(row.name.task) == GroupKey::of(name.task)
        })
    }

    fn check(&mut self) {
        let running = self.fleet.running();
        let tasks: HashSet<TaskId> = running.iter().map(|(_, name)| name.task).collect();
        assert_eq!(tasks.len(), running.len(), "twice at a time: {running:?}");
        for &task in &self.fleet.crashing {
            let there = running.iter().filter(|(_, name)| name.task == task).count();
            let unknown = self.unknown.iter().filter(|name| name.task == task).count();
            let starts = self.crashes_under(task) + there;
            assert!(
                starts <= MOST_STARTS + unknown,
                "{task:?} was started {starts} times, {unknown} crashes are not stored"
            );
        }
        for (id, _) in &self.jobs {
            let view = self.fleet.scheduler.job_status(*id);
            if let Some(end @ (JobStatus::Completed | JobStatus::Failed)) = view {
                let before = self.ended.insert(*id, end);
                assert!(
                    before.is_none_or(|before| before == end),
                    "{id}: {before:?}, {end:?}"
                );
            }
            let failed = view == Some(JobStatus::Failed);
            assert!(
                !failed || self.may_be_given_up(*id),
                "{id} failed without a cause"
            );
        }
    }

    fn crashes_under(&self, task: TaskId) -> usize {
        let crashed = self.fleet.crashed.iter();
        crashed.filter(|(name, ..)| name.task == task).count()
    }

    fn may_be_given_up(&self, id: JobId) -> bool {
        let crashed = self.fleet.crashed.iter();
        let mut tasks = crashed
            .map(|(name, ..)| name.task)
            .filter(|task| task.job == id);
        tasks.any(|task| self.crashes_under(task) >= LEAST_CRASHES)
    }

    /// Mends everything; each job then comes to its end.
    fn calm_down(&mut self) {
        self.fleet.silent.clear();
        self.pass(CALM_MS, false);
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

    /// Whatever crashes, falls silent or changes hands, a task that crashes its workers
    /// is given up within its allowance, as far as the store knows of the crashes; no job
    /// fails that did not lose two workers under one task, nothing runs twice at a time,
    /// and every job comes to its end.
    #[test]
    fn drawn_crashes_end_in_the_right_jobs(
        crash_after_ms in prop_oneof![Just(10u64), 10..1_100u64],
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut story = Story::begin(crash_after_ms);

        story.play(&events);

        story.calm_down();
    }

    /// The same where crashed workers come back under the names that they had.
    #[test]
    fn drawn_crashes_of_workers_that_keep_their_names_end_in_the_right_jobs(
        crash_after_ms in prop_oneof![Just(10u64), 10..1_100u64],
        down_ms in prop_oneof![Just(3_100u64), 0..1_500u64],
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut story = Story::begin(crash_after_ms);
        story.fleet.keeps_names = true;
        story.fleet.down_ms = down_ms;

        story.play(&events);

        story.calm_down();
    }
}
