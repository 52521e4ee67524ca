//! Randomly generated and damaged entries, on the decoder and on a fleet.

use super::fleet::{
    Fleet,
    address_of,
    record,
    step,
    worker_info, //
};
use fuchsiaslip::core::JobId;
use fuchsiaslip::platform::decode_worker;
use fuchsiaslip::scheduler::{
    EndKind,
    Input,
    JobRecord,
    JobStatus,
    RunName,
    StepSpec,
    WorkerInfo, //
};
use proptest::prelude::*;
use serde_json::{
    Value,
    json, //
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

const SEED: u64 = 20_261_203;
const FIELDS: [&str; 14] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "capacity",
    "labels",
    "sequence",
    "remaining_ms",
    "clock_ms",
    "introduced_later",
    "",
];

/// A number from the environment variable `name`, or `default` if that is not set.
fn number_from_env(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.map_or(default, |text| text.parse().expect("a number"))
}

fn config(cases: u64) -> ProptestConfig {
    let cases = number_from_env("FOREIGN_CASES", cases);
    ProptestConfig {
        cases: u32::try_from(cases).expect("a number of cases"),
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(number_from_env("FOREIGN_SEED", SEED)),
        ..ProptestConfig::default()
    }
}

fn entry(at: usize) -> Value {
    json!({ "service": "s", "address": format!("10.0.0.{}:80", at + 1), "zone": "z",
        "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
        "capacity": { "cpu": 32000, "mem_mb": 131072, "gpu": 8 }, "labels": ["a", "r1"],
        "clock_ms": 1, "sequence": 1 })
}

fn random_text() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<String>(),
        "[0-9.:a-f]{0,24}",
        Just("ready".to_owned()),
        Just("draining".to_owned()),
        Just("NaN".to_owned()),
        Just("10.0.0.1:80".to_owned()),
    ]
}

fn random_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<u16>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        random_text().prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 24, 6, |inner| {
        let fields = prop::sample::select(vec!["cpu", "mem_mb", "gpu", "x"]);
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map(fields.prop_map(str::to_owned), inner, 0..4)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

/// A change to the bytes of an entry.
#[derive(Clone, Debug)]
enum Damage {
    Replace(usize, u8),
    Insert(usize, u8),
    Remove(usize),
    Truncate(usize),
    Duplicate(usize, usize),
}

fn damage() -> impl Strategy<Value = Damage> {
    let at = 0..400usize;
    prop_oneof![
        (at.clone(), any::<u8>()).prop_map(|(at, byte)| Damage::Replace(at, byte)),
        (at.clone(), any::<u8>()).prop_map(|(at, byte)| Damage::Insert(at, byte)),
        at.clone().prop_map(Damage::Remove),
        at.clone().prop_map(Damage::Truncate),
        (at.clone(), at).prop_map(|(from, to)| Damage::Duplicate(from, to)),
    ]
}

fn damaged(mut bytes: Vec<u8>, damages: &[Damage]) -> Vec<u8> {
    for damage in damages {
        let length = bytes.len();
        match *damage {
            Damage::Replace(at, byte) if at < length => bytes[at] = byte,
            Damage::Insert(at, byte) if at < length => bytes.insert(at, byte),
            Damage::Remove(at) if at < length => drop(bytes.remove(at)),
            Damage::Truncate(at) => bytes.truncate(at),
            Damage::Duplicate(from, to) if from < to && to < length => {
                let part = bytes[from..to].to_vec();
                bytes.splice(from..from, part);
            }
            _ => {}
        }
    }
    bytes
}

/// The bytes of an entry: some valid, some with a random field, some damaged, some
/// entirely random.
fn random_bytes() -> impl Strategy<Value = Vec<u8>> {
    let field = prop::sample::select(FIELDS.to_vec());
    let one_field = (field.clone(), random_value()).prop_map(|(field, value)| {
        let mut entry = entry(0);
        entry[field] = value;
        entry.to_string().into_bytes()
    });
    let capacity = (
        prop::sample::select(vec!["cpu", "mem_mb", "gpu"]),
        random_value(),
    );
    let one_resource = capacity.prop_map(|(part, value)| {
        let mut entry = entry(0);
        entry["capacity"][part] = value;
        entry.to_string().into_bytes()
    });
    let without_field = field.prop_map(|field| {
        let mut entry = entry(0);
        entry.as_object_mut().expect("an object").remove(field);
        entry.to_string().into_bytes()
    });
    let damages = prop::collection::vec(damage(), 0..5);
    let damaged = damages.prop_map(|damages| damaged(entry(0).to_string().into_bytes(), &damages));
    prop_oneof![
        4 => one_field,
        2 => one_resource,
        1 => without_field,
        4 => damaged,
        1 => random_value().prop_map(|value| value.to_string().into_bytes()),
        1 => prop::collection::vec(any::<u8>(), 0..300),
    ]
}

/// Asserts what the scheduler and the calls to workers rely on.
fn assert_usable(info: &WorkerInfo) {
    let address: SocketAddr = info.address.parse().expect("an address");
    assert!(address.port() > 0 && !address.ip().is_unspecified());
    for text in [&info.service, &info.data_centre]
        .into_iter()
        .chain(&info.labels)
    {
        assert!(!text.trim().is_empty() && text.len() <= 256, "{text:?}");
    }
    let capacity = &info.capacity;
    assert!((1..=10_000_000).contains(&capacity.cpu_millis));
    assert!((1..=1 << 27).contains(&capacity.memory_mb));
    assert!(capacity.accelerators <= 10_000);
    assert!(info.remaining_ms.unwrap_or(0) <= 1 << 53);
    assert!(!info.labels.is_empty());
}

const WORKERS: usize = 4;
const MAX_JOBS: usize = 12;

fn name(at: usize) -> String {
    format!("w{at}")
}

/// The value in the store under a worker's name.
#[derive(Clone, Debug)]
enum Entry {
    Good,
    Draining,
    OtherService,
    AddressOf(usize),
    Bytes(Vec<u8>),
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize, Entry),
    /// An entry under a name that no worker has.
    WriteStray(Vec<u8>),
    Unlist(usize),
    Submit {
        tasks: u32,
        gang: bool,
    },
    End(usize, EndKind),
    /// The worker does not answer for a time shorter than its lease.
    StopAnswering(usize),
    /// Another owner takes over, which cannot decode the values of some jobs.
    NewOwner {
        unreadable: u16,
        roster_readable: bool,
    },
    /// Somebody repairs the unreadable values.
    Repair,
    Advance(u16),
}

fn random_entry() -> impl Strategy<Value = Entry> {
    prop_oneof![
        3 => Just(Entry::Good),
        1 => Just(Entry::Draining),
        1 => Just(Entry::OtherService),
        2 => (0..WORKERS).prop_map(Entry::AddressOf),
        4 => random_bytes().prop_map(Entry::Bytes),
    ]
}

fn random_step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        4 => Just(EndKind::Done),
        1 => Just(EndKind::Failed),
        1 => Just(EndKind::Stopped),
    ];
    prop_oneof![
        6 => (0..WORKERS, random_entry()).prop_map(|(at, entry)| Step::Write(at, entry)),
        1 => random_bytes().prop_map(Step::WriteStray),
        1 => (0..WORKERS).prop_map(Step::Unlist),
        4 => (1..4u32, any::<bool>()).prop_map(|(tasks, gang)| Step::Submit { tasks, gang }),
        4 => (0..WORKERS, kind).prop_map(|(at, kind)| Step::End(at, kind)),
        1 => (0..WORKERS).prop_map(Step::StopAnswering),
        1 => (any::<u16>(), any::<bool>())
            .prop_map(|(unreadable, roster_readable)| Step::NewOwner {
                unreadable,
                roster_readable,
            }),
        1 => Just(Step::Repair),
        6 => (1..1_500u16).prop_map(Step::Advance),
    ]
}

/// A fleet whose store has another writer, with what the test knows of it.
struct Scenario {
    fleet: Fleet,
    epoch: u64,
    jobs: Vec<(JobId, JobRecord)>,
    entries: Vec<Option<Entry>>,
    unreadable: BTreeSet<JobId>,
    checked_starts: usize,
}

/// The input by which the owner learns of an entry.
fn input_from_entry(at: usize, entry: &Entry) -> Input {
    let good = worker_info(&name(at), "r1");
    let info = match entry {
        Entry::Good => good,
        Entry::Draining => WorkerInfo {
            draining: true,
            remaining_ms: Some(2_000),
            ..good
        },
        Entry::OtherService => WorkerInfo {
            service: "other".to_owned(),
            ..good
        },
        Entry::AddressOf(other) => WorkerInfo {
            address: address_of(&name(*other)),
            ..good
        },
        Entry::Bytes(bytes) => return input_from_bytes(&name(at), bytes),
    };
    Input::WorkerRegistered(info)
}

fn input_from_bytes(worker_name: &str, bytes: &[u8]) -> Input {
    match decode_worker(worker_name, bytes) {
        Ok(info) => Input::WorkerRegistered(info),
        Err(error) => Input::WorkerEntryInvalid {
            worker_name: worker_name.to_owned(),
            reason: error.reason(),
        },
    }
}

impl Scenario {
    fn begin() -> Self {
        Self {
            fleet: Fleet::with_workers(WORKERS),
            epoch: 1,
            jobs: Vec::new(),
            entries: vec![Some(Entry::Good); WORKERS],
            unreadable: BTreeSet::new(),
            checked_starts: 0,
        }
    }

    /// Whether a worker's entry says that tasks may be started there.
    fn may_start(&self, at: usize) -> bool {
        match &self.entries[at] {
            Some(Entry::Good) => true,
            Some(Entry::AddressOf(other)) => *other == at,
            // Generated bytes name no address of the fleet, and the other entries allow
            // no starts.
            _ => false,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Write(at, entry) => {
                self.fleet.send_input(input_from_entry(at, &entry));
                self.entries[at] = Some(entry);
            }
            Step::WriteStray(bytes) => self
                .fleet
                .send_input(input_from_bytes("stray name", &bytes)),
            Step::Unlist(at) => {
                self.entries[at] = None;
                self.fleet.send_input(Input::WorkerUnlisted(name(at)));
            }
            Step::Submit { tasks, gang } => self.submit(tasks, gang),
            Step::End(at, kind) => self.end_one(at, kind),
            Step::StopAnswering(at) => {
                self.fleet.unresponsive.push(name(at));
                self.advance(2_000);
                self.fleet.unresponsive.clear();
            }
            Step::NewOwner {
                unreadable,
                roster_readable,
            } => self.change_owner(unreadable, roster_readable),
            Step::Repair => self.repair_jobs(),
            Step::Advance(by_ms) => self.advance(by_ms.into()),
        }
        self.check();
    }

    fn submit(&mut self, tasks: u32, gang: bool) {
        if self.jobs.len() == MAX_JOBS {
            return;
        }
        let spec = StepSpec {
            gang,
            ..step(tasks, 2)
        };
        let record = record("plain", vec![spec]);
        let id = self
            .fleet
            .submit(self.jobs.len() as u64 + 1, record.clone());
        self.jobs.push((id, record));
    }

    fn end_one(&mut self, at: usize, kind: EndKind) {
        let worker = self.fleet.workers.get_mut(&name(at)).expect("a worker");
        let Some(&run) = worker.running.keys().next() else {
            return;
        };
        worker.end(run, kind);
        let gang = self
            .jobs
            .iter()
            .any(|(id, record)| *id == run.task.job && record.spec.steps[0].gang);
        if gang {
            self.end_members(run, kind);
        }
    }

    fn end_members(&mut self, run: RunName, kind: EndKind) {
        let member_kind = match kind {
            EndKind::Done => EndKind::Done,
            _ => EndKind::GangEnded,
        };
        for worker in self.fleet.workers.values_mut() {
            let names: Vec<RunName> = worker.running.keys().copied().collect();
            let members = names
                .into_iter()
                .filter(|name| (name.task.job, name.run) == (run.task.job, run.run));
            for member in members {
                worker.end(member, member_kind);
            }
        }
    }

    fn change_owner(&mut self, unreadable: u16, roster_readable: bool) {
        self.epoch += 1;
        let (before, jobs) = (&self.fleet, &self.jobs);
        // Unreadable values stay unreadable until somebody repairs them.
        for (at, (id, _)) in jobs.iter().enumerate() {
            if unreadable >> at & 1 == 1 {
                self.unreadable.insert(*id);
            }
        }
        let (entries, unreadable) = (&self.entries, &self.unreadable);
        let mut next = before.next_owner_with_inputs(self.epoch, false, |next| {
            if !roster_readable {
                next.send_input(Input::RosterUnreadable);
            }
            for (at, entry) in entries.iter().enumerate() {
                if roster_readable {
                    next.send_input(Input::RosterWorker {
                        worker_name: name(at),
                        address: address_of(&name(at)),
                        closed_runs: before.closed.get(&name(at)).cloned().flatten(),
                    });
                } else if let Some(Some(runs)) = before.closed.get(&name(at)) {
                    next.send_input(Input::ClosedWorker {
                        worker_name: name(at),
                        runs: runs.clone(),
                    });
                }
                if let Some(entry) = entry {
                    next.send_input(input_from_entry(at, entry));
                }
            }
            for (id, record) in jobs {
                next.send_input(match unreadable.contains(id) {
                    true => Input::JobUnreadable(*id),
                    false => Input::JobStored {
                        id: *id,
                        record: Arc::new(record.clone()),
                        progress: before.stored.get(id).map(|(_, progress)| progress.clone()),
                    },
                });
            }
        });
        next.starts.clone_from(&before.starts);
        self.fleet = next;
    }

    fn repair_jobs(&mut self) {
        for id in std::mem::take(&mut self.unreadable) {
            let (_, record) = self.jobs.iter().find(|(own, _)| *own == id).expect("a job");
            let stored = self.fleet.stored.get(&id);
            let progress = stored.map(|(_, progress)| progress.clone());
            self.fleet.send_input(Input::JobReadable {
                id,
                record: Arc::new(record.clone()),
                progress,
            });
        }
    }

    /// Lets time pass in which runs make progress and leases expire.
    fn advance(&mut self, by_ms: u64) {
        const PIECE_MS: u64 = 100;
        let mut left_ms = by_ms;
        while left_ms > 0 {
            let piece_ms = left_ms.min(PIECE_MS);
            left_ms -= piece_ms;
            for worker in self.fleet.workers.values_mut() {
                for percent in worker.running.values_mut() {
                    *percent = (*percent + 1) % 90;
                }
                if worker.lease_end_ms > 0 && worker.has_expired_lease(self.fleet.now_ms) {
                    let names: Vec<RunName> = worker.running.keys().copied().collect();
                    for name in names {
                        worker.end(name, EndKind::LeaseExpired);
                    }
                }
            }
            self.fleet.advance(piece_ms);
            self.check();
        }
    }

    fn check(&mut self) {
        let running = self.fleet.running();
        let mut tasks = BTreeSet::new();
        for (worker, run) in &running {
            assert!(
                tasks.insert(run.task),
                "runs twice: {worker} {run:?} {running:?}"
            );
        }
        for at in self.checked_starts..self.fleet.starts.len() {
            let (run, worker, _) = &self.fleet.starts[at];
            let worker_at = (0..WORKERS).find(|&at| name(at) == *worker);
            let worker_at = worker_at.expect("a worker of the fleet");
            assert!(
                self.may_start(worker_at),
                "{run:?} on {worker}: {:?}",
                self.entries
            );
            assert!(
                !self.unreadable.contains(&run.task.job),
                "{run:?} is of an unreadable job"
            );
        }
        self.checked_starts = self.fleet.starts.len();
    }

    /// Repairs all values, and asserts that every job then ends.
    fn finish(&mut self) {
        const ROUNDS: u32 = 90;
        self.repair_jobs();
        for at in 0..WORKERS {
            self.entries[at] = Some(Entry::Good);
            self.fleet.send_input(input_from_entry(at, &Entry::Good));
        }
        let mut left = Vec::new();
        for _ in 0..ROUNDS {
            self.advance(1_000);
            for at in 0..WORKERS {
                self.end_one(at, EndKind::Done);
            }
            let has_ended = |id: &JobId| {
                let status = self.fleet.scheduler.job_status(*id);
                matches!(status, Some(JobStatus::Completed | JobStatus::Failed))
            };
            let open = self.jobs.iter().map(|(id, _)| *id);
            left = open.filter(|id| !has_ended(id)).collect();
            if left.is_empty() {
                return;
            }
        }
        panic!("not ended: {left:?}");
    }
}

proptest! {
    #![proptest_config(config(4_000))]

    /// Whatever its bytes, an entry names either a worker that can be used or none.
    #[test]
    fn random_bytes_name_a_usable_worker_or_none(
        worker_name in prop_oneof![3 => Just("i-1".to_owned()), 1 => any::<String>()],
        bytes in random_bytes(),
    ) {
        if let Ok(info) = decode_worker(&worker_name, &bytes) {
            assert_usable(&info);
            let header = worker_name.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
            prop_assert!(header && !worker_name.is_empty());
        }
    }

    /// An unknown field changes nothing, whatever its value.
    #[test]
    fn random_unknown_fields_change_nothing(value in random_value()) {
        let mut more = entry(0);
        more["introduced_later"] = value;

        let read = decode_worker("i-1", more.to_string().as_bytes());

        prop_assert_eq!(read, decode_worker("i-1", entry(0).to_string().as_bytes()));
    }
}

proptest! {
    #![proptest_config(config(150))]

    /// No task runs twice at a time, none starts on a worker whose entry does not allow
    /// it, none of an unreadable job starts, and in the end every job has ended.
    #[test]
    fn random_scenarios_lose_no_job_and_run_no_task_twice(
        steps in prop::collection::vec(random_step(), 1..60),
    ) {
        let mut scenario = Scenario::begin();
        for step in steps {
            scenario.apply(step);
        }
        scenario.finish();
    }
}
