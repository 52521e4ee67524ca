//! Carries out the upkeep of machines, which is planned maintenance, in waves.
//!
//! An operator orders the upkeep of some machines within a given time, with a cap on how
//! many of them are down at once. The upkeep of a machine ends whatever runs on it. So the
//! machines that are next get no new starts, and long-running tasks move off them one by
//! one, as far as the bounds of their steps allow. The upkeep of a machine begins when
//! nothing runs on it any more, or when the rest of the wave would be late otherwise.
//!
//! - No more machines than the cap are down, or may be down, at a time.
//! - The bound on unavailable tasks of a step holds even if the wave is late.
//! - A new owner orders no upkeep while the previous owner may still be sending its last
//!   orders.

use super::action::{
    Action,
    Decision,
    StopReason, //
};
use super::recovery::OWNERSHIP_LOSS_NOTICE_MS;
use super::state::Scheduler;
use super::worker::Contact;
use super::{
    GroupKey,
    RunName,
    TaskState, //
};
use crate::core::WorkerKey;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Interval between reads of the list of machines while a wave is open.
const LIST_INTERVAL_MS: u64 = 1_000;
/// Wait before an order for an upkeep that had no answer is sent again. Orders are
/// idempotent.
const REORDER_WAIT_MS: u64 = 400;
/// Wait after the platform answered that there are too many calls.
const RATE_LIMITED_WAIT_MS: u64 = 1_000;
/// Time that a machine takes beyond its upkeep: a list has to show that it is up again, and
/// the next machine has to be chosen.
const ROUND_MARGIN_MS: u64 = 1_500;
/// Number of lists in a row without a machine after which the machine counts as removed.
const ABSENT_LISTS: u32 = 2;

/// The state of a machine in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// It is in service.
    Up,
    /// Its upkeep is in progress.
    Upkeep,
    /// It is down, or is being moved to another pool.
    Away,
}

/// A machine in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineInfo {
    /// Its name, which does not change.
    pub machine: String,
    /// Its state.
    pub state: MachineState,
    /// The name of its worker, if it has one.
    pub worker_name: Option<String>,
}

/// An operator's order for the upkeep of some machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveOrder {
    /// The number of the wave.
    pub number: u64,
    /// The machines.
    pub machines: Vec<String>,
    /// The time within which all of them have to be done.
    pub duration_ms: u64,
    /// Most machines that may be down at a time.
    pub cap: u32,
}

/// The outcome of an order for the upkeep of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpkeepOutcome {
    /// It has begun, now or earlier.
    Begun,
    /// The machine is not up; nothing was done.
    Busy,
    /// The machine is not part of the wave, or does not exist.
    NotOfWave,
    /// An owner with a higher epoch has given an order.
    Fenced,
    /// Too many calls; nothing was done.
    Limited,
    /// No answer: it may have begun, or may begin later.
    NoAnswer,
}

impl UpkeepOutcome {
    /// Returns the name of the outcome in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Busy => "busy",
            Self::NotOfWave => "not_of_wave",
            Self::Fenced => "fenced",
            Self::Limited => "limited",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// The stage of a machine in a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MachineStage {
    /// Its upkeep has not been scheduled yet.
    Waiting,
    /// It is next: its worker gets no new starts.
    Chosen,
    /// Its upkeep is ordered, and may have begun.
    Ordered { in_flight: bool, retry_ms: u64 },
    /// Its upkeep had begun at this time.
    Down { since_ms: u64 },
    /// Its upkeep is done, or it was removed.
    Finished,
}

/// An open wave.
#[derive(Clone, Debug)]
struct Wave {
    due_ms: u64,
    cap: usize,
    stages: BTreeMap<String, MachineStage>,
    absent: BTreeMap<String, u32>,
}

impl Wave {
    /// Returns the number of machines whose upkeep is not done.
    fn unfinished(&self) -> usize {
        let unfinished = |stage: &&MachineStage| **stage != MachineStage::Finished;
        self.stages.values().filter(unfinished).count()
    }

    /// Returns the number of machines that are down or may be down.
    fn down(&self) -> usize {
        let down = |stage: &&MachineStage| {
            matches!(
                stage,
                MachineStage::Ordered { .. } | MachineStage::Down { .. }
            )
        };
        self.stages.values().filter(down).count()
    }

    /// Returns the machines that are next.
    fn chosen(&self) -> impl Iterator<Item = &String> {
        let stages = self.stages.iter();
        let chosen = stages.filter(|(_, stage)| **stage == MachineStage::Chosen);
        chosen.map(|(machine, _)| machine)
    }
}

/// The open waves and the machines.
#[derive(Clone, Debug, Default)]
pub(super) struct Upkeep {
    waves: BTreeMap<u64, Wave>,
    completed: BTreeSet<u64>,
    machines: BTreeMap<String, MachineInfo>,
    listed: bool,
    list_in_flight: bool,
    list_at_ms: u64,
}

impl Scheduler {
    /// Handles an order for a wave. A known wave is not changed.
    pub(super) fn handle_wave(&mut self, order: WaveOrder) {
        let known = self.upkeep.waves.contains_key(&order.number)
            || self.upkeep.completed.contains(&order.number);
        if known {
            return;
        }
        // An owner that reads a stored wave does not know how long it has been open.
        let left_ms = match self.stored_state_read {
            true => order.duration_ms,
            false => order.duration_ms / 2,
        };
        let stages = order.machines.into_iter();
        let wave = Wave {
            due_ms: self.now_ms + left_ms,
            cap: order.cap.max(1) as usize,
            stages: stages
                .map(|machine| (machine, MachineStage::Waiting))
                .collect(),
            absent: BTreeMap::new(),
        };
        self.upkeep.waves.insert(order.number, wave);
        self.actions.push(Action::StoreWaveState {
            wave: order.number,
            completed: false,
        });
    }

    /// Handles the platform's list of machines, requested at `sent_ms`; `None` if the
    /// request failed.
    pub(super) fn handle_machine_list(&mut self, sent_ms: u64, machines: Option<Vec<MachineInfo>>) {
        self.upkeep.list_in_flight = false;
        let Some(machines) = machines else {
            return;
        };
        let rows = machines.into_iter();
        self.upkeep.machines = rows.map(|row| (row.machine.clone(), row)).collect();
        self.upkeep.listed = true;
        for wave in self.upkeep.waves.values_mut() {
            for (name, stage) in &mut wave.stages {
                let row = self.upkeep.machines.get(name);
                let absent = wave.absent.entry(name.clone()).or_default();
                *absent = if row.is_some() { 0 } else { *absent + 1 };
                let state = row.map(|row| row.state);
                *stage = match (*stage, state) {
                    (_, None) if *absent >= ABSENT_LISTS => MachineStage::Finished,
                    (MachineStage::Down { since_ms }, Some(MachineState::Up))
                        if sent_ms >= since_ms =>
                    {
                        MachineStage::Finished
                    }
                    // An earlier owner ordered this upkeep.
                    (MachineStage::Waiting | MachineStage::Chosen, Some(MachineState::Upkeep)) => {
                        MachineStage::Ordered {
                            in_flight: false,
                            retry_ms: sent_ms,
                        }
                    }
                    (stage, _) => stage,
                };
            }
        }
    }

    /// Handles the outcome of an order.
    pub(super) fn handle_upkeep_result(
        &mut self,
        number: u64,
        machine: &str,
        outcome: UpkeepOutcome,
    ) {
        let now_ms = self.now_ms;
        let stage = self.upkeep.waves.get_mut(&number);
        let Some(stage) = stage.and_then(|wave| wave.stages.get_mut(machine)) else {
            return;
        };
        *stage = match outcome {
            UpkeepOutcome::Begun => MachineStage::Down { since_ms: now_ms },
            UpkeepOutcome::Busy => {
                // The machine is chosen again only after a list shows it up.
                self.upkeep.machines.remove(machine);
                MachineStage::Waiting
            }
            UpkeepOutcome::NotOfWave => MachineStage::Finished,
            UpkeepOutcome::Fenced => {
                self.actions.push(Action::OwnershipLost);
                return;
            }
            UpkeepOutcome::Limited => MachineStage::Ordered {
                in_flight: false,
                retry_ms: now_ms + RATE_LIMITED_WAIT_MS,
            },
            UpkeepOutcome::NoAnswer => MachineStage::Ordered {
                in_flight: false,
                retry_ms: now_ms + REORDER_WAIT_MS,
            },
        };
        let decision = Decision::Upkeep {
            wave: number,
            machine: machine.into(),
            outcome,
        };
        self.decided(decision);
    }

    /// Advances the open waves.
    pub(super) fn review_upkeep(&mut self) {
        if self.upkeep.waves.is_empty() || !self.has_authority() {
            return;
        }
        if !self.upkeep.list_in_flight && self.now_ms >= self.upkeep.list_at_ms {
            self.upkeep.list_in_flight = true;
            self.upkeep.list_at_ms = self.now_ms + LIST_INTERVAL_MS;
            self.actions.push(Action::ListMachines);
        }
        // An earlier owner that cannot confirm its epoch stops well before the next one orders.
        let confirmed_since_ms = (self.now_ms + 1).saturating_sub(OWNERSHIP_LOSS_NOTICE_MS);
        let may_order = self.now_ms >= self.started_ms + self.tuning.holder_gap_ms
            && self.is_confirmed_since(confirmed_since_ms);
        let numbers: Vec<u64> = self.upkeep.waves.keys().copied().collect();
        for number in numbers {
            if may_order && self.upkeep.listed {
                self.choose_machines(number);
                self.order_upkeep(number);
            }
            if self.upkeep.waves[&number].unfinished() == 0 {
                self.upkeep.waves.remove(&number);
                self.upkeep.completed.insert(number);
                self.actions.push(Action::StoreWaveState {
                    wave: number,
                    completed: true,
                });
            }
        }
        self.mark_upkeep_next();
    }

    /// Chooses as many machines as may be down, in ascending order of the work that their
    /// upkeep would lose.
    fn choose_machines(&mut self, number: u64) {
        let wave = &self.upkeep.waves[&number];
        let free_slots = wave.cap.saturating_sub(wave.down() + wave.chosen().count());
        if free_slots == 0 {
            return;
        }
        let waiting = wave.stages.iter();
        let mut waiting: Vec<(f64, String)> = waiting
            .filter(|(_, stage)| **stage == MachineStage::Waiting)
            .filter(|(machine, _)| self.is_up(machine))
            .map(|(machine, _)| (self.machine_loss(machine), machine.clone()))
            .collect();
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, machine) in waiting.into_iter().take(free_slots) {
            self.set_stage(number, &machine, MachineStage::Chosen);
        }
    }

    fn set_stage(&mut self, number: u64, machine: &str, stage: MachineStage) {
        let wave = self.upkeep.waves.get_mut(&number);
        if let Some(own) = wave.and_then(|wave| wave.stages.get_mut(machine)) {
            *own = stage;
        }
    }

    fn is_up(&self, machine: &str) -> bool {
        let row = self.upkeep.machines.get(machine);
        row.is_some_and(|row| row.state == MachineState::Up)
    }

    /// Returns the worker on a machine.
    fn worker_on(&self, machine: &str) -> Option<WorkerKey> {
        let row = self.upkeep.machines.get(machine)?;
        let worker_name = row.worker_name.as_ref()?;
        self.worker_index.get(worker_name).copied()
    }

    /// Returns the core-seconds of work that the upkeep of a machine would lose now.
    fn machine_loss(&self, machine: &str) -> f64 {
        let Some(key) = self.worker_on(machine) else {
            return 0.0;
        };
        let runs = self.worker(key).runs.keys();
        runs.map(|&name| self.lost_core_s(key, name)).sum()
    }

    /// Orders the upkeep of chosen machines that are empty or cannot wait longer, and
    /// repeats orders without an answer.
    fn order_upkeep(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let wave = &self.upkeep.waves[&number];
        let rounds = wave.unfinished().div_ceil(wave.cap) as u64;
        let need_ms = rounds * (self.tuning.upkeep_ms + ROUND_MARGIN_MS);
        let is_urgent = now_ms + need_ms >= wave.due_ms;
        let stages: Vec<(String, MachineStage)> = wave
            .stages
            .iter()
            .map(|(machine, stage)| (machine.clone(), *stage))
            .collect();
        for (machine, stage) in stages {
            let ready = match stage {
                MachineStage::Chosen => self.may_begin(&machine, is_urgent),
                MachineStage::Ordered {
                    in_flight,
                    retry_ms,
                } => !in_flight && now_ms >= retry_ms,
                _ => false,
            };
            if ready {
                let ordered = MachineStage::Ordered {
                    in_flight: true,
                    retry_ms: now_ms,
                };
                self.set_stage(number, &machine, ordered);
                self.actions.push(Action::BeginUpkeep {
                    wave: number,
                    machine,
                });
            }
        }
    }

    /// Whether the upkeep of a chosen machine may begin now. Long-running tasks on it are
    /// stopped if they can move to another worker.
    fn may_begin(&mut self, machine: &str, is_urgent: bool) -> bool {
        let Some(key) = self.worker_on(machine).filter(|_| self.is_up(machine)) else {
            return self.is_up(machine);
        };
        if self.worker(key).contact == Contact::Unfenced {
            // It is not known what runs there.
            return false;
        }
        let names: Vec<RunName> = self.worker(key).runs.keys().copied().collect();
        for &name in &names {
            let is_long_running = self
                .worker(key)
                .runs
                .get(&name)
                .is_some_and(|run| run.long_running);
            if is_long_running && self.may_move(key, name) {
                self.stop_run(key, name, StopReason::Upkeep);
            }
        }
        names.is_empty() || (is_urgent && names.iter().all(|&name| self.may_end(key, name)))
    }

    /// Whether a run may be ended together with all others on its worker.
    fn may_end(&self, key: WorkerKey, name: RunName) -> bool {
        let Some(group) = self.groups.get(&GroupKey::of(name.task)) else {
            return true;
        };
        let Some(bound) = group.step.max_unavailable else {
            return true;
        };
        let placed_here = group.on_worker(key);
        self.away(group, Some(key)) + placed_here <= bound
    }

    /// Returns the number of tasks of a group that are unavailable, without those placed on
    /// `except`. A task is available while its run is at work on a worker that answers.
    pub(super) fn away(&self, group: &super::Group, except: Option<WorkerKey>) -> u32 {
        let tasks = (0u32..).zip(&group.tasks);
        let away = tasks.filter(|(index, task)| match task.state {
            TaskState::Placed { worker, .. } if Some(worker) == except => false,
            TaskState::Placed { worker, run } => {
                let task = group.key.task(*index);
                let worker = self.worker(worker);
                let placed_run = worker.runs.get(&RunName { task, run });
                let at_work = placed_run.is_some_and(super::Run::is_at_work);
                worker.contact != Contact::Answering || !at_work
            }
            TaskState::Waiting | TaskState::Done => true,
        });
        away.count() as u32
    }

    /// Marks the workers of machines that are next for upkeep, which get no new starts.
    fn mark_upkeep_next(&mut self) {
        for worker in &mut self.workers {
            worker.upkeep_next = false;
        }
        let waves = self.upkeep.waves.values();
        let next: Vec<String> = waves
            .flat_map(|wave| {
                let stages = wave.stages.iter();
                let next = |stage: &MachineStage| {
                    matches!(stage, MachineStage::Chosen | MachineStage::Ordered { .. })
                };
                stages
                    .filter(move |(_, stage)| next(stage))
                    .map(|(machine, _)| machine.clone())
            })
            .collect();
        for machine in next {
            if let Some(key) = self.worker_on(&machine) {
                self.worker_mut(key).upkeep_next = true;
            }
        }
    }
}
