//! Simulates a worker.
//!
//! A worker refuses calls of an epoch older than the latest one it has seen. All its
//! running tasks stop when its lease expires.

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

/// Largest answer that is sent with the update that the task has finished. Larger ones
/// are fetched by a separate call.
const MAX_INLINE_ANSWER_BYTES: u64 = 4 << 10;
/// Maximum number of ended attempts whose state the worker keeps.
const MAX_REMEMBERED_ATTEMPTS: usize = 4_096;
/// Maximum number of updates that are kept for polls.
const MAX_KEPT_UPDATES: usize = 8_192;

/// Faults of a worker that can be switched on.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFaults {
    /// Whether the worker is unreachable. Its tasks continue.
    pub unreachable: bool,
    /// Whether every start is refused.
    pub refuse_starts: bool,
    /// Whether every task fails right after its start.
    pub fail_tasks: bool,
    /// Number of upcoming calls, not counting polls, that take effect but get no answer.
    pub lose_answers: u32,
}

/// One run of a task, recorded for checks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// The attempt that the run belongs to.
    pub attempt: AttemptId,
    /// Time at which the run started, in milliseconds.
    pub started_ms: u64,
    /// Time at which the run ended, if it has.
    pub ended_ms: Option<u64>,
    /// Whether the run finished with an answer.
    pub finished: bool,
    /// Accelerators that the run used.
    pub mask: AcceleratorMask,
}

/// Lifecycle stage of an attempt on the worker.
#[derive(Clone, Debug)]
enum Stage {
    Reserved {
        until_ms: u64,
    },
    Running {
        since_ms: u64,
        stop_at_ms: Option<u64>,
    },
    Ended(TaskState),
}

#[derive(Clone, Debug)]
struct Task {
    mask: AcceleratorMask,
    stage: Stage,
    spec: TaskSpec,
    progress_ms: u64,
    payload: Bytes,
}

/// State of a worker and its tasks.
#[derive(Debug, Default)]
pub struct WorkerStandIn {
    /// Name of the worker.
    pub name: String,
    incarnation: u64,
    epoch: u64,
    tasks: BTreeMap<AttemptId, Task>,
    ended_attempts: Vec<AttemptId>,
    updates: BTreeMap<u64, TaskChange>,
    cursor: u64,
    lease_until_ms: Option<u64>,
    leaving: bool,
    /// Faults that are switched on.
    pub faults: WorkerFaults,
    /// All runs, including those before restarts.
    pub runs: Vec<Run>,
    /// Time of the latest task start, in milliseconds.
    pub last_start_ms: Option<u64>,
}

impl WorkerStandIn {
    /// Creates a worker without tasks.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            incarnation: 1,
            ..Self::default()
        }
    }

    /// Executes one call. A poll does not wait, but returns the current updates.
    ///
    /// # Errors
    ///
    /// Returns an error if a fault prevents the call or its answer.
    pub fn handle(&mut self, call: WorkerCall, now_ms: u64) -> Result<WorkerAnswer, WorkerFailure> {
        self.tick(now_ms);
        if self.faults.unreachable {
            return Err(WorkerFailure::Unresponsive);
        }
        let is_poll = matches!(call, WorkerCall::Poll { .. });
        let answer = self.execute(call, now_ms);
        if self.faults.lose_answers > 0 && !is_poll {
            self.faults.lose_answers -= 1;
            return Err(WorkerFailure::Unresponsive);
        }
        Ok(answer)
    }

    fn execute(&mut self, call: WorkerCall, now_ms: u64) -> WorkerAnswer {
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
                Stage::Ended(TaskState::Unknown | TaskState::NotBegun) => {
                    WorkerAnswer::Refused(WorkerRefusal::NotReserved)
                }
                Stage::Ended(state) => WorkerAnswer::State(state.clone()),
                _ => WorkerAnswer::Done,
            };
        }
        if self.leaving {
            return WorkerAnswer::Refused(WorkerRefusal::Leaving);
        }
        let taken = self.tasks.values().fold(0, |taken, task| match task.stage {
            Stage::Ended(_) => taken,
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
        let refuse_start = self.faults.refuse_starts;
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return WorkerAnswer::Refused(WorkerRefusal::NotReserved);
        };
        match &task.stage {
            Stage::Ended(TaskState::NotBegun | TaskState::Unknown) => {
                return WorkerAnswer::Refused(WorkerRefusal::NotReserved);
            }
            Stage::Ended(state) => return WorkerAnswer::State(state.clone()),
            Stage::Running { .. } => return WorkerAnswer::Done,
            Stage::Reserved { .. } if refuse_start => {
                self.end(attempt, TaskState::NotBegun, now_ms);
                return WorkerAnswer::Refused(WorkerRefusal::CannotStart);
            }
            Stage::Reserved { .. } => {}
        }
        task.spec = TaskSpec::from_payload(&payload);
        task.progress_ms = progress_ms;
        task.payload = payload;
        task.stage = Stage::Running {
            since_ms: now_ms,
            stop_at_ms: None,
        };
        self.runs.push(Run {
            attempt,
            started_ms: now_ms,
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
            // The attempt is recorded as ended, so that a start that is still in flight
            // is refused. Its state is "unknown" and not "not begun", because the worker
            // may have restarted since the attempt began.
            let task = Task {
                mask: 0,
                stage: Stage::Ended(TaskState::Unknown),
                spec: TaskSpec::default(),
                progress_ms: 0,
                payload: Bytes::new(),
            };
            self.tasks.insert(attempt, task);
            self.ended_attempts.push(attempt);
            return WorkerAnswer::State(TaskState::Unknown);
        };
        match &mut task.stage {
            Stage::Ended(state) => return WorkerAnswer::State(state.clone()),
            Stage::Reserved { .. } => self.end(attempt, TaskState::NotBegun, now_ms),
            Stage::Running { stop_at_ms, .. } if grace_ms > 0 => {
                // The checkpoint takes half of the grace time.
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
            Some(Stage::Ended(state)) => state.clone(),
        }
    }

    fn poll(&mut self, cursor: u64, now_ms: u64, lease_ms: u64) -> WorkerAnswer {
        self.lease_until_ms = Some(now_ms + lease_ms);
        let changes = self
            .updates
            .range(cursor + 1..)
            .map(|(_, change)| change.clone());
        WorkerAnswer::Polled(PollAnswer {
            incarnation: self.incarnation,
            leaving: self.leaving,
            cursor: self.cursor,
            changes: changes.collect(),
        })
    }

    /// Returns whether a poll from `cursor` would return something new.
    pub fn has_updates(&self, cursor: u64) -> bool {
        self.cursor > cursor
    }

    /// Sets whether the worker reports that it is leaving. A leaving worker refuses
    /// reservations.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.cursor += 1;
    }

    /// Advances the worker to `now_ms`: tasks finish, and reservations and the lease
    /// expire.
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

    /// Returns the time of the next task state change that no call causes.
    pub fn next_change_ms(&self) -> Option<u64> {
        let changes = self.tasks.iter();
        changes
            .filter_map(|(&attempt, task)| self.next_change(attempt, task))
            .map(|(at_ms, _)| at_ms)
            .min()
    }

    /// Returns the time and the new state of a task's next change that no call causes.
    fn next_change(&self, attempt: AttemptId, task: &Task) -> Option<(u64, TaskState)> {
        match task.stage {
            Stage::Ended(_) => None,
            Stage::Reserved { until_ms } => Some((until_ms, TaskState::NotBegun)),
            Stage::Running {
                since_ms,
                stop_at_ms,
            } => {
                let end_ms = since_ms + task.spec.run_ms.saturating_sub(task.progress_ms);
                let forced_end_ms = [stop_at_ms, self.lease_until_ms]
                    .into_iter()
                    .flatten()
                    .min();
                match forced_end_ms {
                    Some(forced_end_ms) if forced_end_ms < end_ms => {
                        let progress_ms = task.progress_ms + forced_end_ms.saturating_sub(since_ms);
                        Some((forced_end_ms, TaskState::Stopped { progress_ms }))
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
            inline: match size_bytes <= MAX_INLINE_ANSWER_BYTES {
                true => answer,
                false => Bytes::new(),
            },
        }
    }

    /// Ends an attempt with `state` and records the update for polls.
    fn end(&mut self, attempt: AttemptId, state: TaskState, at_ms: u64) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        task.stage = Stage::Ended(state.clone());
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
        self.updates
            .insert(self.cursor, TaskChange { attempt, state });
        self.ended_attempts.push(attempt);
        if self.updates.len() > MAX_KEPT_UPDATES {
            self.updates.pop_first();
        }
        if self.ended_attempts.len() > MAX_REMEMBERED_ATTEMPTS {
            self.tasks.remove(&self.ended_attempts.remove(0));
        }
    }

    /// Returns the state of an attempt that an inspection would report. Unlike an
    /// inspection, this does not cancel a reservation.
    pub fn task_state(&self, attempt: AttemptId) -> TaskState {
        self.state(attempt)
    }

    /// Returns the complete answer of a finished attempt.
    pub fn answer(&self, attempt: AttemptId) -> Option<Bytes> {
        let task = self.tasks.get(&attempt)?;
        match task.stage {
            Stage::Ended(TaskState::Finished(_)) => {
                Some(TaskSpec::answer(attempt.job, &task.payload))
            }
            _ => None,
        }
    }

    /// Restarts the worker as its next incarnation, without tasks and updates.
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

    /// Returns the number of started tasks with this `marker` whose state is still kept.
    pub fn runs_of(&self, marker: &str) -> usize {
        let has_marker = |task: &&Task| task.spec.marker == marker;
        self.tasks.values().filter(has_marker).count()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        let is_running = |task: &&Task| matches!(task.stage, Stage::Running { .. });
        self.tasks.values().filter(is_running).count()
    }
}

/// Returns the epoch of the caller. Polls have none.
fn epoch_of(call: &WorkerCall) -> Option<u64> {
    match call {
        WorkerCall::Reserve { epoch, .. }
        | WorkerCall::Start { epoch, .. }
        | WorkerCall::Stop { epoch, .. }
        | WorkerCall::Inspect { epoch, .. } => Some(*epoch),
        WorkerCall::Poll { .. } => None,
    }
}
