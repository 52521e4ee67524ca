//! A stand-in for a worker.

use super::TaskSpec;
use crate::backend::{
    PollAnswer,
    TaskChange,
    TaskState,
    WorkerAnswer,
    WorkerCall,
    WorkerFailure,
    WorkerRefusal, //
};
use crate::core::{
    AcceleratorMask,
    AttemptId, //
};
use crate::ledger::AnswerRecord;
use bytes::Bytes;
use sha2::{
    Digest,
    Sha256, //
};
use std::collections::BTreeMap;

/// Answers up to this size travel with the news that the task finished.
const INLINE_ANSWER_BYTES: u64 = 4 << 10;
/// Ended attempts that are remembered.
const REMEMBERED_ATTEMPTS: usize = 4_096;
/// News entries that are kept for a poller.
const KEPT_NEWS: usize = 8_192;

/// What a worker can be told to do wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFaults {
    /// Nothing reaches it and nothing comes from it; tasks go on.
    pub unreachable: bool,
    /// Refuses every start.
    pub refuse_starts: bool,
    /// Fails every task right after its start.
    pub fail_tasks: bool,
    /// Carries out so many calls without answering.
    pub lose_answers: u32,
}

/// One run of a task, for checks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The attempt.
    pub attempt: AttemptId,
    /// When it began.
    pub began_ms: u64,
    /// When it ended.
    pub ended_ms: Option<u64>,
    /// Whether it finished with an answer.
    pub finished: bool,
    /// Its accelerators.
    pub mask: AcceleratorMask,
}

#[derive(Clone, Debug)]
enum Stage {
    Reserved {
        until_ms: u64,
    },
    Running {
        since_ms: u64,
        stop_at_ms: Option<u64>,
    },
    Over(TaskState),
}

#[derive(Clone, Debug)]
struct Task {
    mask: AcceleratorMask,
    stage: Stage,
    spec: TaskSpec,
    progress_ms: u64,
    payload: Bytes,
}

/// The state of a worker.
#[derive(Debug, Default)]
pub struct WorkerStandIn {
    /// Its name.
    pub name: String,
    incarnation: u64,
    epoch: u64,
    tasks: BTreeMap<AttemptId, Task>,
    over: Vec<AttemptId>,
    news: BTreeMap<u64, TaskChange>,
    cursor: u64,
    lease_until_ms: Option<u64>,
    leaving: bool,
    /// Its fault switches.
    pub faults: WorkerFaults,
    /// Every run so far, across restarts.
    pub runs: Vec<Run>,
    /// When the latest task began.
    pub last_start_ms: Option<u64>,
}

impl WorkerStandIn {
    /// A worker without tasks.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            incarnation: 1,
            ..Self::default()
        }
    }

    /// Carries one call; a poll answers what there is.
    ///
    /// # Errors
    ///
    /// A fault switch is on.
    pub fn handle(&mut self, call: WorkerCall, now_ms: u64) -> Result<WorkerAnswer, WorkerFailure> {
        self.tick(now_ms);
        if self.faults.unreachable {
            return Err(WorkerFailure::Silent);
        }
        let poll = matches!(call, WorkerCall::Poll { .. });
        let answer = self.carry_out(call, now_ms);
        if self.faults.lose_answers > 0 && !poll {
            self.faults.lose_answers -= 1;
            return Err(WorkerFailure::Silent);
        }
        Ok(answer)
    }

    fn carry_out(&mut self, call: WorkerCall, now_ms: u64) -> WorkerAnswer {
        if let Some(epoch) = epoch_of(&call) {
            if epoch < self.epoch {
                return WorkerAnswer::Refused(WorkerRefusal::StaleEpoch);
            }
            self.epoch = epoch;
        }
        match call {
            WorkerCall::Reserve {
                attempt,
                mask,
                expires_ms,
                ..
            } => self.reserve(attempt, mask, now_ms + expires_ms),
            WorkerCall::Start {
                attempt,
                progress_ms,
                payload,
                ..
            } => self.start(attempt, progress_ms, payload, now_ms),
            WorkerCall::Stop {
                attempt, grace_ms, ..
            } => self.stop(attempt, grace_ms, now_ms),
            WorkerCall::Inspect { attempt, .. } => self.inspect(attempt, now_ms),
            WorkerCall::Poll {
                cursor, lease_ms, ..
            } => self.poll(cursor, now_ms, lease_ms),
        }
    }

    fn reserve(
        &mut self,
        attempt: AttemptId,
        mask: AcceleratorMask,
        until_ms: u64,
    ) -> WorkerAnswer {
        if let Some(task) = self.tasks.get(&attempt) {
            return match &task.stage {
                Stage::Over(TaskState::Unknown | TaskState::NotBegun) => {
                    WorkerAnswer::Refused(WorkerRefusal::NotReserved)
                }
                Stage::Over(state) => WorkerAnswer::State(state.clone()),
                _ => WorkerAnswer::Done,
            };
        }
        if self.leaving {
            return WorkerAnswer::Refused(WorkerRefusal::Leaving);
        }
        let taken = self.tasks.values().fold(0, |taken, task| match task.stage {
            Stage::Over(_) => taken,
            _ => taken | task.mask,
        });
        if taken & mask != 0 {
            return WorkerAnswer::Refused(WorkerRefusal::Busy);
        }
        let task = Task {
            mask,
            stage: Stage::Reserved { until_ms },
            spec: TaskSpec::default(),
            progress_ms: 0,
            payload: Bytes::new(),
        };
        self.tasks.insert(attempt, task);
        WorkerAnswer::Done
    }

    fn start(
        &mut self,
        attempt: AttemptId,
        progress_ms: u64,
        payload: Bytes,
        now_ms: u64,
    ) -> WorkerAnswer {
        let refuse = self.faults.refuse_starts;
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return WorkerAnswer::Refused(WorkerRefusal::NotReserved);
        };
        match &task.stage {
            Stage::Over(TaskState::NotBegun | TaskState::Unknown) => {
                return WorkerAnswer::Refused(WorkerRefusal::NotReserved);
            }
            Stage::Over(state) => return WorkerAnswer::State(state.clone()),
            Stage::Running { .. } => return WorkerAnswer::Done,
            Stage::Reserved { .. } if refuse => {
                self.end(attempt, TaskState::NotBegun, now_ms);
                return WorkerAnswer::Refused(WorkerRefusal::CannotStart);
            }
            Stage::Reserved { .. } => {}
        }
        task.spec = TaskSpec::read(&payload);
        task.progress_ms = progress_ms;
        task.payload = payload;
        task.stage = Stage::Running {
            since_ms: now_ms,
            stop_at_ms: None,
        };
        self.runs.push(Run {
            attempt,
            began_ms: now_ms,
            ended_ms: None,
            finished: false,
            mask: task.mask,
        });
        self.last_start_ms = Some(now_ms);
        if self.faults.fail_tasks {
            self.end(attempt, TaskState::Failed, now_ms);
        } else {
            self.tick(now_ms);
        }
        WorkerAnswer::Done
    }

    fn stop(&mut self, attempt: AttemptId, grace_ms: u64, now_ms: u64) -> WorkerAnswer {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            // Remembered, so that a start that is still on its way is refused.
            // It is not said to be "not begun": a worker that has restarted
            // cannot know.
            let task = Task {
                mask: 0,
                stage: Stage::Over(TaskState::Unknown),
                spec: TaskSpec::default(),
                progress_ms: 0,
                payload: Bytes::new(),
            };
            self.tasks.insert(attempt, task);
            self.over.push(attempt);
            return WorkerAnswer::State(TaskState::Unknown);
        };
        match &mut task.stage {
            Stage::Over(state) => return WorkerAnswer::State(state.clone()),
            Stage::Reserved { .. } => self.end(attempt, TaskState::NotBegun, now_ms),
            Stage::Running { stop_at_ms, .. } if grace_ms > 0 => {
                // The stand-in's checkpoint takes half the grace it is given.
                let at_ms = now_ms + grace_ms / 2;
                *stop_at_ms = Some(stop_at_ms.map_or(at_ms, |earlier| earlier.min(at_ms)));
                return WorkerAnswer::Done;
            }
            Stage::Running { .. } => {
                let progress_ms = task.progress_ms;
                self.end(attempt, TaskState::Stopped { progress_ms }, now_ms);
            }
        }
        WorkerAnswer::State(self.state(attempt))
    }

    fn inspect(&mut self, attempt: AttemptId, now_ms: u64) -> WorkerAnswer {
        if let Some(Task {
            stage: Stage::Reserved { .. },
            ..
        }) = self.tasks.get(&attempt)
        {
            self.end(attempt, TaskState::NotBegun, now_ms);
        }
        WorkerAnswer::State(self.state(attempt))
    }

    fn state(&self, attempt: AttemptId) -> TaskState {
        match self.tasks.get(&attempt).map(|task| &task.stage) {
            None => TaskState::Unknown,
            Some(Stage::Reserved { .. }) => TaskState::NotBegun,
            Some(Stage::Running { .. }) => TaskState::Running,
            Some(Stage::Over(state)) => state.clone(),
        }
    }

    fn poll(&mut self, cursor: u64, now_ms: u64, lease_ms: u64) -> WorkerAnswer {
        self.lease_until_ms = Some(now_ms + lease_ms);
        let changes = self
            .news
            .range(cursor + 1..)
            .map(|(_, change)| change.clone());
        WorkerAnswer::Polled(PollAnswer {
            incarnation: self.incarnation,
            leaving: self.leaving,
            cursor: self.cursor,
            changes: changes.collect(),
        })
    }

    /// Whether a poll from `cursor` has something to say.
    pub fn has_news(&self, cursor: u64) -> bool {
        self.cursor > cursor
    }

    /// Says from now on that it is leaving, or no longer.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.cursor += 1;
    }

    /// Lets time pass: tasks finish, reservations and the lease run out.
    pub fn tick(&mut self, now_ms: u64) {
        let due: Vec<(u64, AttemptId, TaskState)> = self
            .tasks
            .iter()
            .filter_map(|(&attempt, task)| {
                let (at_ms, state) = self.next_change(attempt, task)?;
                (at_ms <= now_ms).then_some((at_ms, attempt, state))
            })
            .collect();
        for (at_ms, attempt, state) in due {
            self.end(attempt, state, at_ms);
        }
    }

    /// When the next task changes by itself.
    pub fn next_due_ms(&self) -> Option<u64> {
        let changes = self.tasks.iter();
        changes
            .filter_map(|(&attempt, task)| self.next_change(attempt, task))
            .map(|(at_ms, _)| at_ms)
            .min()
    }

    fn next_change(&self, attempt: AttemptId, task: &Task) -> Option<(u64, TaskState)> {
        match task.stage {
            Stage::Over(_) => None,
            Stage::Reserved { until_ms } => Some((until_ms, TaskState::NotBegun)),
            Stage::Running {
                since_ms,
                stop_at_ms,
            } => {
                let end_ms = since_ms + task.spec.run_ms.saturating_sub(task.progress_ms);
                let cut_ms = [stop_at_ms, self.lease_until_ms]
                    .into_iter()
                    .flatten()
                    .min();
                match cut_ms {
                    Some(cut_ms) if cut_ms < end_ms => {
                        let progress_ms = task.progress_ms + cut_ms.saturating_sub(since_ms);
                        Some((cut_ms, TaskState::Stopped { progress_ms }))
                    }
                    _ if task.spec.fail => Some((end_ms, TaskState::Failed)),
                    _ => Some((
                        end_ms,
                        TaskState::Finished(self.answer_record(attempt, task)),
                    )),
                }
            }
        }
    }

    fn answer_record(&self, attempt: AttemptId, task: &Task) -> AnswerRecord {
        let answer = TaskSpec::answer(attempt.job, &task.payload);
        let size_bytes = answer.len() as u64;
        AnswerRecord {
            worker: self.name.clone(),
            attempt: attempt.attempt,
            size_bytes,
            sha256: Bytes::copy_from_slice(&Sha256::digest(&answer)),
            inline: match size_bytes <= INLINE_ANSWER_BYTES {
                true => answer,
                false => Bytes::new(),
            },
        }
    }

    fn end(&mut self, attempt: AttemptId, state: TaskState, at_ms: u64) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        task.stage = Stage::Over(state.clone());
        let run = self
            .runs
            .iter_mut()
            .rev()
            .find(|run| run.attempt == attempt);
        if let Some(run) = run.filter(|run| run.ended_ms.is_none()) {
            run.ended_ms = Some(at_ms);
            run.finished = matches!(state, TaskState::Finished(_));
        }
        self.cursor += 1;
        self.news.insert(self.cursor, TaskChange { attempt, state });
        self.over.push(attempt);
        if self.news.len() > KEPT_NEWS {
            self.news.pop_first();
        }
        if self.over.len() > REMEMBERED_ATTEMPTS {
            self.tasks.remove(&self.over.remove(0));
        }
    }

    /// Where an attempt stands, as an inspection would say.
    pub fn task_state(&self, attempt: AttemptId) -> TaskState {
        self.state(attempt)
    }

    /// The whole answer of a finished attempt.
    pub fn answer(&self, attempt: AttemptId) -> Option<Bytes> {
        let task = self.tasks.get(&attempt)?;
        match task.stage {
            Stage::Over(TaskState::Finished(_)) => {
                Some(TaskSpec::answer(attempt.job, &task.payload))
            }
            _ => None,
        }
    }

    /// Dies and comes back empty.
    pub fn restart(&mut self, now_ms: u64) {
        for run in self.runs.iter_mut().filter(|run| run.ended_ms.is_none()) {
            run.ended_ms = Some(now_ms);
        }
        *self = Self {
            name: std::mem::take(&mut self.name),
            incarnation: self.incarnation + 1,
            runs: std::mem::take(&mut self.runs),
            faults: self.faults,
            last_start_ms: self.last_start_ms,
            ..Self::default()
        };
    }

    /// Tasks that began with a payload of `marker` and are remembered.
    pub fn runs_of(&self, marker: &str) -> usize {
        let marked = |task: &&Task| task.spec.marker == marker;
        self.tasks.values().filter(marked).count()
    }

    /// Number of tasks that run.
    pub fn running(&self) -> usize {
        let running = |task: &&Task| matches!(task.stage, Stage::Running { .. });
        self.tasks.values().filter(running).count()
    }
}

fn epoch_of(call: &WorkerCall) -> Option<u64> {
    match call {
        WorkerCall::Reserve { epoch, .. }
        | WorkerCall::Start { epoch, .. }
        | WorkerCall::Stop { epoch, .. }
        | WorkerCall::Inspect { epoch, .. } => Some(*epoch),
        WorkerCall::Poll { .. } => None,
    }
}
