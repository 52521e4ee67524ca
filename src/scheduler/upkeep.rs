//! Upkeep of machines in waves.
//!
//! Load pattern: operators ask that some machines have their upkeep within a
//! time, so many at once at most; an upkeep ends whatever runs on its machine.
//! So the machines that come next get no new starts, lasting tasks move off them
//! one by one within their bounds, and the upkeep begins when nothing is left to
//! lose, or when the rest of the wave would not be in time otherwise. Limits: no
//! more machines than the wave allows are down or in doubt at a time, a task
//! with a bound on its step is never ended beyond it, however late the wave is,
//! and a new owner gives no such order while the one before may still be
//! giving its last ones.

use super::action::{
    Action,
    Decision,
    StopReason, //
};
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

/// How often the list of machines is read while a wave is open.
const LIST_MS: u64 = 1_000;
/// Wait before an upkeep without an answer is ordered again: the same order
/// twice does no harm.
const ORDER_AGAIN_MS: u64 = 400;
/// Wait after the platform said that there are too many calls.
const LIMITED_MS: u64 = 1_000;
/// Time of one machine beyond its upkeep: a list has to show it back, and the
/// next one has to be chosen.
const ROUND_MARGIN_MS: u64 = 1_500;
/// Lists in a row without a machine after which it has left.
const ABSENT_LISTS: u32 = 2;

/// Where a machine stands, by the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// It works.
    Up,
    /// It has its upkeep.
    Upkeep,
    /// It is down, or moves to another pool.
    Away,
}

/// A machine by the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineInfo {
    /// Its name, which stays with it.
    pub machine: String,
    /// Where it stands.
    pub state: MachineState,
    /// The name of its worker, if it has one.
    pub worker_name: Option<String>,
}

/// What an operator asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveOrder {
    /// Its number.
    pub number: u64,
    /// The machines.
    pub machines: Vec<String>,
    /// The time for all of them.
    pub duration_ms: u64,
    /// Most machines that are down at a time.
    pub cap: u32,
}

/// What became of an order for an upkeep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpkeepOutcome {
    /// It has begun, now or earlier.
    Begun,
    /// The machine is not up; nothing was done.
    Busy,
    /// The machine is not of the wave, or there is no such machine.
    NotOfWave,
    /// Another owner has given a newer order.
    Fenced,
    /// Too many calls; nothing was done.
    Limited,
    /// No answer: it may have begun, or may begin later.
    NoAnswer,
}

impl UpkeepOutcome {
    /// The outcome as logs and counters name it.
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

/// Where a machine of a wave stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Turn {
    /// Its upkeep is to come.
    Waiting,
    /// It comes next: it gets no new starts.
    Chosen,
    /// Its upkeep is ordered, and may have begun.
    Ordered { in_flight: bool, again_ms: u64 },
    /// Its upkeep began before this time.
    Down { since_ms: u64 },
    /// It had its upkeep, or has left.
    Over,
}

#[derive(Clone, Debug)]
struct Wave {
    due_ms: u64,
    cap: usize,
    turns: BTreeMap<String, Turn>,
    absent: BTreeMap<String, u32>,
}

impl Wave {
    fn left(&self) -> usize {
        let left = |turn: &&Turn| **turn != Turn::Over;
        self.turns.values().filter(left).count()
    }

    /// Machines that are down or may be.
    fn down(&self) -> usize {
        let down = |turn: &&Turn| matches!(turn, Turn::Ordered { .. } | Turn::Down { .. });
        self.turns.values().filter(down).count()
    }

    fn chosen(&self) -> impl Iterator<Item = &String> {
        let turns = self.turns.iter();
        let chosen = turns.filter(|(_, turn)| **turn == Turn::Chosen);
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
    /// Takes in a wave; one that is known stays as it is.
    pub(super) fn handle_wave(&mut self, order: WaveOrder) {
        let known = self.upkeep.waves.contains_key(&order.number)
            || self.upkeep.completed.contains(&order.number);
        if known {
            return;
        }
        // An owner that finds a wave does not know how long it is open.
        let left_ms = match self.stored_state_read {
            true => order.duration_ms,
            false => order.duration_ms / 2,
        };
        let turns = order.machines.into_iter();
        let wave = Wave {
            due_ms: self.now_ms + left_ms,
            cap: order.cap.max(1) as usize,
            turns: turns.map(|machine| (machine, Turn::Waiting)).collect(),
            absent: BTreeMap::new(),
        };
        self.upkeep.waves.insert(order.number, wave);
        self.actions.push(Action::StoreWaveState {
            wave: order.number,
            completed: false,
        });
    }

    /// Takes in the platform's list of machines, asked for at `sent_ms`; `None`
    /// if it did not come.
    pub(super) fn handle_machine_list(&mut self, sent_ms: u64, machines: Option<Vec<MachineInfo>>) {
        self.upkeep.list_in_flight = false;
        let Some(machines) = machines else {
            return;
        };
        let rows = machines.into_iter();
        self.upkeep.machines = rows.map(|row| (row.machine.clone(), row)).collect();
        self.upkeep.listed = true;
        for wave in self.upkeep.waves.values_mut() {
            for (name, turn) in &mut wave.turns {
                let row = self.upkeep.machines.get(name);
                let absent = wave.absent.entry(name.clone()).or_default();
                *absent = if row.is_some() { 0 } else { *absent + 1 };
                let state = row.map(|row| row.state);
                *turn = match (*turn, state) {
                    (_, None) if *absent >= ABSENT_LISTS => Turn::Over,
                    (Turn::Down { since_ms }, Some(MachineState::Up)) if sent_ms >= since_ms => {
                        Turn::Over
                    }
                    // Begun by an order of an earlier owner.
                    (Turn::Waiting | Turn::Chosen, Some(MachineState::Upkeep)) => Turn::Ordered {
                        in_flight: false,
                        again_ms: sent_ms,
                    },
                    (turn, _) => turn,
                };
            }
        }
    }

    /// Takes in what became of an order.
    pub(super) fn handle_upkeep_result(
        &mut self,
        number: u64,
        machine: &str,
        outcome: UpkeepOutcome,
    ) {
        let now_ms = self.now_ms;
        let turn = self.upkeep.waves.get_mut(&number);
        let Some(turn) = turn.and_then(|wave| wave.turns.get_mut(machine)) else {
            return;
        };
        *turn = match outcome {
            UpkeepOutcome::Begun => Turn::Down { since_ms: now_ms },
            UpkeepOutcome::Busy => {
                // Not to be chosen again before a list shows it up.
                self.upkeep.machines.remove(machine);
                Turn::Waiting
            }
            UpkeepOutcome::NotOfWave => Turn::Over,
            UpkeepOutcome::Fenced => {
                self.actions.push(Action::OwnershipLost);
                return;
            }
            UpkeepOutcome::Limited => Turn::Ordered {
                in_flight: false,
                again_ms: now_ms + LIMITED_MS,
            },
            UpkeepOutcome::NoAnswer => Turn::Ordered {
                in_flight: false,
                again_ms: now_ms + ORDER_AGAIN_MS,
            },
        };
        let decision = Decision::Upkeep {
            wave: number,
            machine: machine.into(),
            outcome,
        };
        self.decided(decision);
    }

    /// Moves the open waves on.
    pub(super) fn review_upkeep(&mut self) {
        if self.upkeep.waves.is_empty() || !self.has_authority() {
            return;
        }
        if !self.upkeep.list_in_flight && self.now_ms >= self.upkeep.list_at_ms {
            self.upkeep.list_in_flight = true;
            self.upkeep.list_at_ms = self.now_ms + LIST_MS;
            self.actions.push(Action::ListMachines);
        }
        let may_order = self.now_ms >= self.began_ms + self.tuning.holder_gap_ms;
        let numbers: Vec<u64> = self.upkeep.waves.keys().copied().collect();
        for number in numbers {
            if may_order && self.upkeep.listed {
                self.choose_next(number);
                self.begin_next(number);
            }
            if self.upkeep.waves[&number].left() == 0 {
                self.upkeep.waves.remove(&number);
                self.upkeep.completed.insert(number);
                self.actions.push(Action::StoreWaveState {
                    wave: number,
                    completed: true,
                });
            }
        }
        self.mark_closing();
    }

    /// Chooses as many machines as may be down, those first that lose least.
    fn choose_next(&mut self, number: u64) {
        let wave = &self.upkeep.waves[&number];
        let room = wave.cap.saturating_sub(wave.down() + wave.chosen().count());
        if room == 0 {
            return;
        }
        let waiting = wave.turns.iter();
        let mut waiting: Vec<(f64, String)> = waiting
            .filter(|(_, turn)| **turn == Turn::Waiting)
            .filter(|(machine, _)| self.is_up(machine))
            .map(|(machine, _)| (self.machine_loss(machine), machine.clone()))
            .collect();
        waiting.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, machine) in waiting.into_iter().take(room) {
            self.set_turn(number, &machine, Turn::Chosen);
        }
    }

    fn set_turn(&mut self, number: u64, machine: &str, turn: Turn) {
        let wave = self.upkeep.waves.get_mut(&number);
        if let Some(own) = wave.and_then(|wave| wave.turns.get_mut(machine)) {
            *own = turn;
        }
    }

    fn is_up(&self, machine: &str) -> bool {
        let row = self.upkeep.machines.get(machine);
        row.is_some_and(|row| row.state == MachineState::Up)
    }

    /// The worker on a machine.
    fn worker_on(&self, machine: &str) -> Option<WorkerKey> {
        let row = self.upkeep.machines.get(machine)?;
        let worker_name = row.worker_name.as_ref()?;
        self.worker_index.get(worker_name).copied()
    }

    /// Core-seconds that an upkeep would throw away now.
    fn machine_loss(&self, machine: &str) -> f64 {
        let Some(key) = self.worker_on(machine) else {
            return 0.0;
        };
        let runs = self.worker(key).runs.keys();
        runs.map(|&name| self.lost_core_s(key, name)).sum()
    }

    /// Orders the upkeep of chosen machines that are empty or have to go now,
    /// and repeats orders without an answer.
    fn begin_next(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let wave = &self.upkeep.waves[&number];
        let rounds = wave.left().div_ceil(wave.cap) as u64;
        let need_ms = rounds * (self.tuning.upkeep_ms + ROUND_MARGIN_MS);
        let hurry = now_ms + need_ms >= wave.due_ms;
        let turns: Vec<(String, Turn)> = wave
            .turns
            .iter()
            .map(|(machine, turn)| (machine.clone(), *turn))
            .collect();
        for (machine, turn) in turns {
            let ready = match turn {
                Turn::Chosen => self.may_begin(&machine, hurry),
                Turn::Ordered {
                    in_flight,
                    again_ms,
                } => !in_flight && now_ms >= again_ms,
                _ => false,
            };
            if ready {
                let ordered = Turn::Ordered {
                    in_flight: true,
                    again_ms: now_ms,
                };
                self.set_turn(number, &machine, ordered);
                self.actions.push(Action::BeginUpkeep {
                    wave: number,
                    machine,
                });
            }
        }
    }

    /// Whether a chosen machine may go down now; lasting tasks are moved off.
    fn may_begin(&mut self, machine: &str, hurry: bool) -> bool {
        let Some(key) = self.worker_on(machine).filter(|_| self.is_up(machine)) else {
            return self.is_up(machine);
        };
        if self.worker(key).contact == Contact::Unfenced {
            // What runs there is not known.
            return false;
        }
        let names: Vec<RunName> = self.worker(key).runs.keys().copied().collect();
        for &name in &names {
            let lasting = self
                .worker(key)
                .runs
                .get(&name)
                .is_some_and(|run| run.long_running);
            if lasting && self.may_move(key, name) {
                self.stop_run(key, name, StopReason::Upkeep);
            }
        }
        names.is_empty() || (hurry && names.iter().all(|&name| self.may_lose(key, name)))
    }

    /// Whether a run may be ended with all others on its worker.
    fn may_lose(&self, key: WorkerKey, name: RunName) -> bool {
        let Some(group) = self.groups.get(&GroupKey::of(name.task)) else {
            return true;
        };
        let Some(bound) = group.step.max_unavailable else {
            return true;
        };
        let here = group.on_worker(key);
        self.away(group, Some(key)) + here <= bound
    }

    /// Tasks of a step that are not at work, on workers other than `but`.
    pub(super) fn away(&self, group: &super::Group, but: Option<WorkerKey>) -> u32 {
        let tasks = (0u32..).zip(&group.tasks);
        let away = tasks.filter(|(index, task)| match task.state {
            TaskState::Placed { worker, .. } if Some(worker) == but => false,
            TaskState::Placed { worker, run } => {
                let task = group.key.task(*index);
                let worker = self.worker(worker);
                let there = worker.runs.get(&RunName { task, run });
                let at_work = there.is_some_and(super::Run::is_at_work);
                worker.contact != Contact::Answering || !at_work
            }
            TaskState::Waiting | TaskState::Done => true,
        });
        away.count() as u32
    }

    /// Workers of the machines that come next get no new starts.
    fn mark_closing(&mut self) {
        for worker in &mut self.workers {
            worker.upkeep_next = false;
        }
        let waves = self.upkeep.waves.values();
        let next: Vec<String> = waves
            .flat_map(|wave| {
                let turns = wave.turns.iter();
                let next = |turn: &Turn| matches!(turn, Turn::Chosen | Turn::Ordered { .. });
                turns
                    .filter(move |(_, turn)| next(turn))
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
