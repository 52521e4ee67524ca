//! Property test of the scheduler under drawn sequences of its inputs: graphs of steps, ends,
//! crashes, cancellations, configurations, repeated and late results, and changes of owner that
//! find some of the stored progress missing.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Fleet,
    configuration,
    record, //
};
use fuchsiaslip::core::{
    JobId,
    WorkerKey, //
};
use fuchsiaslip::scheduler::{
    Action,
    CallOutcome,
    CountedCrash,
    CrashedRun,
    Decision,
    EndKind,
    GroupKey,
    Input,
    JobRecord,
    Resources,
    RunName,
    Schedule,
    StartRefusal,
    StepSpec,
    TaskId, //
};
use proptest::prelude::*;
use std::collections::{
    BTreeSet,
    HashMap,
    HashSet, //
};
use std::sync::Arc;

const WORKERS: usize = 5;
const STEP_MS: u64 = 10;
/// Time without disturbances at the end of each case.
const CALM_MS: u64 = 2_000;
const QUEUES: [&str; 3] = ["urgent", "plain", "patient"];

/// A drawn event; numbers choose among what is there when it happens.
#[derive(Clone, Debug)]
enum Event {
    Submit(Vec<StepSpec>, usize, Option<Schedule>),
    Cancel(usize),
    End(usize, EndKind),
    Crash(usize),
    Restart(usize),
    ToggleReachable(usize),
    HoldProgress(bool),
    /// A configuration that allows so many attempts and has so many queues.
    Configure(u32, usize),
    /// The result of a call for a run that may be over, or that another owner started.
    Result(usize, usize, CallOutcome),
    CountCrash(usize, bool, bool),
    /// The entry of a worker is gone, or invalid.
    LoseEntry(usize, bool),
    Unreadable(usize, bool),
    /// Whether the earlier owner exited, and for which jobs no progress is found.
    ChangeOwner(bool, Vec<usize>),
    Advance(u64),
}

fn step_spec() -> impl Strategy<Value = StepSpec> {
    let shape = (1..7u32, 0..9u32, 1..20_000u32, any::<[bool; 7]>());
    (shape, any::<u8>(), 0..3u32).prop_map(
        |((count, accelerators, cpu_millis, flags), after, spread)| {
            let [
                gang,
                same_rack,
                checkpoints,
                fills,
                long_running,
                allow_duplicates,
                data,
            ] = flags;
            StepSpec {
                count,
                needs: Resources {
                    cpu_millis,
                    memory_mb: 1_000,
                    accelerators,
                },
                estimated_ms: 2_000,
                // Set to indexes of earlier steps once the job is known.
                after: (0..8).filter(|bit| after >> bit & 1 == 1).collect(),
                checkpoints,
                gang,
                same_rack: gang && same_rack,
                data_rack: if data { "r1".to_owned() } else { String::new() },
                max_per_worker: if gang { 0 } else { spread },
                allow_duplicates,
                long_running: long_running && !gang,
                fills: fills && !gang,
                ..StepSpec::default()
            }
        },
    )
}

fn job_steps() -> impl Strategy<Value = Vec<StepSpec>> {
    prop::collection::vec(step_spec(), 1..5).prop_map(|mut steps| {
        for (at, step) in (0u32..).zip(&mut steps) {
            step.after.retain(|&earlier| earlier < at);
        }
        steps
    })
}

fn schedule() -> impl Strategy<Value = Option<Schedule>> {
    prop::option::weighted(
        0.2,
        (1..4u32, 0..1_000u64, 1..800u64).prop_map(|(repetitions, start_ms, interval_ms)| {
            Schedule {
                repetitions,
                start_at_ms: fleet::BEGIN_MS + start_ms,
                interval_ms,
            }
        }),
    )
}

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        Just(CallOutcome::Done),
        Just(CallOutcome::NoAnswer),
        Just(CallOutcome::Refused(StartRefusal::NoCapacity)),
        Just(CallOutcome::Refused(StartRefusal::OldRun)),
        Just(CallOutcome::Refused(StartRefusal::Late)),
    ]
}

fn end_kind() -> impl Strategy<Value = EndKind> {
    prop_oneof![
        3 => Just(EndKind::Done),
        2 => Just(EndKind::Failed),
        1 => Just(EndKind::Stopped),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let any_index = || 0..64usize;
    prop_oneof![
        5 => (job_steps(), 0..QUEUES.len(), schedule())
            .prop_map(|(steps, queue, schedule)| Event::Submit(steps, queue, schedule)),
        1 => any_index().prop_map(Event::Cancel),
        9 => (any_index(), end_kind()).prop_map(|(run, kind)| Event::End(run, kind)),
        3 => any_index().prop_map(Event::Crash),
        1 => any_index().prop_map(Event::Restart),
        2 => any_index().prop_map(Event::ToggleReachable),
        1 => any::<bool>().prop_map(Event::HoldProgress),
        1 => (1..4u32, 1..=QUEUES.len()).prop_map(|(attempts, queues)| Event::Configure(attempts, queues)),
        2 => (any_index(), any_index(), outcome())
            .prop_map(|(run, worker, outcome)| Event::Result(run, worker, outcome)),
        2 => (any_index(), any::<bool>(), any::<bool>())
            .prop_map(|(run, uncertain, alone)| Event::CountCrash(run, uncertain, alone)),
        1 => (any_index(), any::<bool>()).prop_map(|(worker, gone)| Event::LoseEntry(worker, gone)),
        1 => (any_index(), any::<bool>()).prop_map(|(job, readable)| Event::Unreadable(job, readable)),
        2 => (any::<bool>(), prop::collection::vec(any_index(), 0..2))
            .prop_map(|(exited, lost)| Event::ChangeOwner(exited, lost)),
        12 => (1..150u64).prop_map(|steps| Event::Advance(steps * STEP_MS)),
    ]
}

/// A fleet under drawn events, with what the test observed.
struct Scenario {
    fleet: Fleet,
    jobs: Vec<(JobId, JobRecord)>,
    holds_progress: bool,
    version: u64,
    epoch: u64,
    /// All runs that were ever started, and where.
    started: Vec<(RunName, String)>,
    done: HashSet<TaskId>,
}

impl Scenario {
    fn begin(keeps_names: bool, down_ms: u64) -> Self {
        let mut fleet = Fleet::with_workers(WORKERS);
        fleet.keeps_names = keeps_names;
        fleet.down_ms = down_ms;
        fleet.defers_progress = true;
        Self {
            fleet,
            jobs: Vec::new(),
            holds_progress: false,
            version: 1,
            epoch: 1,
            started: Vec::new(),
            done: HashSet::new(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match event.clone() {
            Event::Submit(steps, queue, schedule) => self.submit(steps, QUEUES[queue], schedule),
            Event::Cancel(at) => {
                if let Some(id) = self.job(at) {
                    self.fleet.send_input(Input::JobCancelled(id));
                }
            }
            Event::End(at, kind) => self.end_run(at, kind),
            Event::Crash(at) => self.with_worker(at, |fleet, name| fleet.crash(name)),
            Event::Restart(at) => self.with_worker(at, |fleet, name| fleet.restart(name)),
            Event::ToggleReachable(at) => self.with_worker(at, |fleet, name| {
                match fleet.unresponsive.iter().position(|other| other == name) {
                    Some(at) => drop(fleet.unresponsive.remove(at)),
                    None => fleet.unresponsive.push(name.to_owned()),
                }
            }),
            Event::HoldProgress(holds) => self.holds_progress = holds,
            Event::Configure(attempts, queues) => self.configure(attempts, queues),
            Event::Result(run, worker, outcome) => self.send_result(run, worker, outcome),
            Event::CountCrash(run, uncertain, only_suspect) => {
                if let Some(name) = self.earlier_run(run) {
                    let at_start = true;
                    let run = name.run;
                    self.fleet.send_input(Input::CrashCounted(CountedCrash {
                        name,
                        crash: CrashedRun {
                            run,
                            at_start,
                            uncertain,
                        },
                        only_suspect,
                    }));
                }
            }
            Event::LoseEntry(at, gone) => self.with_worker(at, |fleet, name| {
                let worker_name = name.to_owned();
                fleet.send_input(match gone {
                    true => Input::WorkerUnlisted(worker_name),
                    false => Input::WorkerEntryInvalid {
                        worker_name,
                        reason: "not_json",
                    },
                });
            }),
            Event::Unreadable(at, readable) => self.set_readable(at, readable),
            Event::ChangeOwner(exited, lost) => self.change_owner(exited, &lost),
            Event::Advance(by_ms) => self.advance(by_ms),
        }
    }

    fn submit(&mut self, steps: Vec<StepSpec>, queue: &str, schedule: Option<Schedule>) {
        let id = JobId(self.jobs.len() as u64 + 1);
        let mut job = record(queue, steps);
        job.received_ms = self.fleet.now_ms;
        job.spec.schedule = schedule;
        self.fleet.submit(id.0, job.clone());
        self.jobs.push((id, job));
    }

    fn job(&self, at: usize) -> Option<JobId> {
        let count = self.jobs.len();
        (count > 0).then(|| self.jobs[at % count].0)
    }

    fn step_of(&self, task: TaskId) -> &StepSpec {
        let (_, job) = &self.jobs[task.job.0 as usize - 1];
        &job.spec.steps[GroupKey::of(task).step as usize]
    }

    fn earlier_run(&self, at: usize) -> Option<RunName> {
        let count = self.started.len();
        (count > 0).then(|| self.started[at % count].0)
    }

    fn with_worker(&mut self, at: usize, change: impl FnOnce(&mut Fleet, &str)) {
        let names: BTreeSet<String> = self.fleet.workers.keys().cloned().collect();
        let count = names.len();
        if let Some(name) = names.iter().nth(at % count.max(1)) {
            change(&mut self.fleet, name);
        }
    }

    /// Ends a run; the members of its gang end with it.
    fn end_run(&mut self, at: usize, kind: EndKind) {
        let running = self.fleet.running();
        let Some((_, chosen)) = running.get(at % running.len().max(1)).cloned() else {
            return;
        };
        let is_gang = self.step_of(chosen.task).gang;
        let key = GroupKey::of(chosen.task);
        for (worker, name) in running {
            let is_member = is_gang && GroupKey::of(name.task) == key && name.run == chosen.run;
            let own_kind = match (name == chosen, is_member, kind) {
                (true, ..) | (_, true, EndKind::Done) => kind,
                (_, true, _) => EndKind::GangEnded,
                _ => continue,
            };
            self.fleet.end_run(&worker, name, own_kind);
            if own_kind == EndKind::Done {
                self.done.insert(name.task);
            }
        }
        // A gang that is done has no member that is not.
        if is_gang && kind == EndKind::Done {
            let count = self.step_of(chosen.task).count;
            self.done.extend((0..count).map(|index| key.task(index)));
        }
    }

    fn configure(&mut self, attempts: u32, queues: usize) {
        self.version += 1;
        let mut next = configuration(8 * attempts);
        next.version = self.version;
        next.queues.truncate(queues);
        for queue in &mut next.queues {
            queue.max_attempts = attempts;
        }
        self.fleet.send_input(Input::Configure(Arc::new(next)));
    }

    fn send_result(&mut self, run: usize, worker: usize, outcome: CallOutcome) {
        let Some(name) = self.earlier_run(run) else {
            return;
        };
        let count = self.fleet.scheduler.workers().len();
        let worker = WorkerKey((worker % count) as u32);
        self.fleet.send_input(Input::StopResult {
            worker,
            name,
            outcome,
        });
        self.fleet.send_input(Input::ThrottleResult {
            worker,
            name,
            outcome,
        });
        if outcome != CallOutcome::Done {
            self.fleet.send_input(Input::PollFailed {
                worker,
                outcome: CallOutcome::NoAnswer,
            });
        }
    }

    fn set_readable(&mut self, at: usize, readable: bool) {
        let Some((id, record)) = self
            .job(at)
            .map(|id| (id, self.jobs[id.0 as usize - 1].1.clone()))
        else {
            return;
        };
        let stored = self.fleet.stored.get(&id);
        let progress = stored.map(|(_, progress)| progress.clone());
        self.fleet.send_input(match readable {
            true => Input::JobReadable {
                id,
                record: Arc::new(record),
                progress,
            },
            false => Input::JobUnreadable(id),
        });
    }

    fn change_owner(&mut self, earlier_owner_exited: bool, lost: &[usize]) {
        self.epoch += 1;
        for at in lost {
            if let Some(id) = self.job(*at) {
                self.fleet.stored.remove(&id);
            }
        }
        let deleted = &self.fleet.deleted_jobs;
        let jobs = self.jobs.iter().filter(|(id, _)| !deleted.contains(id));
        let jobs: Vec<_> = jobs.cloned().collect();
        let mut next = self
            .fleet
            .next_owner(self.epoch, &jobs, earlier_owner_exited);
        next.defers_progress = true;
        self.fleet = next;
    }

    fn advance(&mut self, by_ms: u64) {
        for _ in 0..by_ms / STEP_MS {
            self.end_expired_runs();
            self.fleet.advance(STEP_MS);
            if !self.holds_progress {
                let pending: Vec<JobId> = self.fleet.pending.keys().copied().collect();
                pending
                    .into_iter()
                    .for_each(|job| self.fleet.commit(job, true));
            }
            self.check_starts();
            self.check_capacity();
        }
    }

    fn end_expired_runs(&mut self) {
        let now_ms = self.fleet.now_ms;
        for (worker, name) in self.fleet.running() {
            if self.fleet.workers[&worker].has_expired_lease(now_ms) {
                self.fleet.end_run(&worker, name, EndKind::LeaseExpired);
            }
        }
    }

    /// Checks the starts since the last call.
    fn check_starts(&mut self) {
        let mut gangs: HashMap<(GroupKey, u64), u32> = HashMap::new();
        for action in std::mem::take(&mut self.fleet.actions) {
            let Action::Decided(Decision::Placed { name, .. }) = action else {
                continue;
            };
            let key = GroupKey::of(name.task);
            let (_, job) = &self.jobs[name.task.job.0 as usize - 1];
            for &earlier in &job.spec.steps[key.step as usize].after {
                let before = GroupKey {
                    step: earlier,
                    ..key
                };
                let count = job.spec.steps[earlier as usize].count;
                let is_done = (0..count).all(|index| self.done.contains(&before.task(index)));
                assert!(is_done, "{name:?} started before step {earlier} was done");
            }
            if self.step_of(name.task).gang {
                *gangs.entry((key, name.run)).or_default() += 1;
            }
        }
        for ((key, run), members) in gangs {
            let count = self.step_of(key.task(0)).count;
            assert_eq!(members, count, "members of {key:?} placed for run {run}");
        }
        let starts = std::mem::take(&mut self.fleet.starts);
        self.started
            .extend(starts.into_iter().map(|(name, worker, _)| (name, worker)));
        let twice = std::mem::take(&mut self.fleet.overlaps);
        assert_eq!(twice, [], "two runs of a task at the same time");
    }

    fn check_capacity(&self) {
        for (worker, fake) in &self.fleet.workers {
            let used = fake.running.keys().fold(Resources::default(), |sum, name| {
                sum.plus(&self.step_of(name.task).resources())
            });
            let capacity = fleet::worker_info(worker, "r1").capacity;
            assert!(
                capacity.contains(&used),
                "{worker} is over its capacity: {used:?}"
            );
        }
    }
}

/// A number from the environment variable `name`, or `default` if that is not set.
fn number_from_env(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.map_or(default, |text| text.parse().expect("a number"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: number_from_env("INPUT_CASES", 48) as u32,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(number_from_env("INPUT_SEED", 20_261_204)),
        ..ProptestConfig::default()
    })]

    /// Guards against owners that panic: whatever the inputs and their order, each decision
    /// ends, no step starts before those that it depends on, no gang in part, no task twice at
    /// the same time, and no worker gets more than its capacity.
    #[test]
    fn no_sequence_of_inputs_ends_the_owner(
        keeps_names in any::<bool>(),
        down_ms in 0..4_000u64,
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut scenario = Scenario::begin(keeps_names, down_ms);

        for event in &events {
            scenario.apply(event);
        }

        scenario.fleet.unresponsive.clear();
        scenario.advance(CALM_MS);
    }
}
