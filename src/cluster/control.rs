//! Runs the scheduler on the control thread, the only thread that accesses its state.
//!
//! A decision that panics ends the scheduler but not the thread: the traffic thread is told, so
//! that this daemon gives up the ownership, and the thread waits for the next command.

use super::pending_writes::RosterChange;
use super::records::{
    ClosedRecord,
    RosterRow, //
};
use crate::core::JobId;
use crate::panics::message;
use crate::scheduler::{
    Action,
    Input,
    JobStatus,
    Learned,
    ProgressRecord,
    Scheduler,
    Sizes,
    Tuning, //
};
use crate::timer::Timer;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::ops::ControlFlow;
use std::panic::{
    AssertUnwindSafe,
    catch_unwind, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::mpsc::{
    Receiver,
    RecvTimeoutError,
    Sender,
    channel, //
};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// Longest wait for a command while this daemon does not own.
const IDLE_WAIT_MS: u64 = 60_000;
/// How often the gauges of the scheduler's sizes are set.
const GAUGE_INTERVAL_MS: u64 = 1_000;
/// How often the workers in each data centre are counted.
const COUNT_INTERVAL_MS: u64 = 250;
/// Most commands handled before a decision, so that a burst of inputs costs one
/// scheduling pass.
const MAX_BATCH: usize = 256;

/// A command for the control thread.
pub enum Command {
    /// Begin to own under an epoch, with everything read from the store.
    Begin {
        /// The epoch.
        epoch: u64,
        /// The scheduler's parameters.
        tuning: Tuning,
        /// The inputs made from the stored values.
        stored: Vec<Input>,
    },
    /// An input for the scheduler of an epoch; dropped if that epoch is over.
    Input {
        /// The epoch.
        epoch: u64,
        /// The input.
        input: Input,
    },
    /// Asks for the status of a job. The answer is `None` when this daemon does not
    /// own, and `Some(None)` when the scheduler does not know the job.
    JobStatus {
        /// The job.
        job: JobId,
        /// Where the answer is sent.
        answer: oneshot::Sender<Option<Option<JobStatus>>>,
    },
    /// Asks how many jobs of a queue wait. The answer is `None` when this daemon does
    /// not own.
    Pending {
        /// The queue.
        queue: String,
        /// Where the answer is sent.
        answer: oneshot::Sender<Option<u64>>,
    },
    /// Asks what the scheduler has learned. The answer is `None` when this daemon does not own.
    Learned {
        /// Where the answer is sent.
        answer: oneshot::Sender<Option<Learned>>,
    },
    /// Stop owning and drop the scheduler.
    End,
}

/// The result of a decision, for the traffic thread.
pub struct Output {
    /// The epoch under which it was decided.
    pub epoch: u64,
    /// The actions to carry out.
    pub actions: Vec<Action>,
    /// Progress to store: the job, the number of its change, and its whole progress.
    pub records: Vec<(JobId, u64, ProgressRecord)>,
    /// The roster to store, if it changed.
    pub roster: Option<RosterChange>,
    /// Closed-worker records to store, by the worker's name: whether it gets no more
    /// starts, and the runs that it may have. `None` for a worker that is gone.
    pub closed: Vec<(String, Option<ClosedRecord>)>,
    /// Number of workers in each data centre, if it changed.
    pub worker_counts: Option<BTreeMap<String, usize>>,
    /// Memory that the jobs take, in bytes, if it changed.
    pub job_bytes: Option<u64>,
}

/// What the control thread tells the traffic thread.
pub enum Report {
    /// The result of a decision.
    Decided(Output),
    /// A panic ended the scheduler.
    Failed {
        /// The epoch of the scheduler; `None` if there was none.
        epoch: Option<u64>,
        /// The job that it was deciding about, if it was one.
        job: Option<JobId>,
        /// The message of the panic.
        message: String,
        /// The actions that it had decided on and that are not carried out.
        dropped: Vec<Action>,
    },
}

/// Makes a decision of a scheduler at a time in milliseconds: [`Scheduler::decide`], unless a
/// test passes another one.
pub type Decide = Box<dyn FnMut(&mut Scheduler, u64) -> Vec<Action> + Send>;

/// A handle to the control thread.
#[derive(Clone)]
pub struct Control {
    commands: Sender<Command>,
    rounds: Arc<AtomicU64>,
}

impl Control {
    /// Starts the thread, which makes its decisions with `decide`.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn spawn(
        timer: Timer,
        reports: UnboundedSender<Report>,
        decide: Decide,
    ) -> std::io::Result<Self> {
        let (commands, received) = channel();
        let rounds = Arc::new(AtomicU64::new(0));
        let thread = ControlThread {
            timer,
            commands: received,
            reports,
            decide,
            scheduler: None,
            next_gauges_ms: 0,
            reported_counts: ReportedCounts::default(),
            reported_job_bytes: None,
            rounds: rounds.clone(),
        };
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || thread.run())?;
        Ok(Self { commands, rounds })
    }

    /// Returns how often the thread has waited for commands and then handled them. An owner's
    /// thread does so many times a second.
    pub fn rounds(&self) -> u64 {
        self.rounds.load(Ordering::Relaxed)
    }

    /// Sends the thread a command. The command is dropped if the thread has ended, which happens
    /// only while the process exits.
    pub fn send(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("the control thread has ended");
        }
    }

    /// Sends an input to the scheduler of an epoch.
    pub fn send_input(&self, epoch: u64, input: Input) {
        self.send(Command::Input { epoch, input });
    }

    /// The status of a job, as in [`Command::JobStatus`].
    pub async fn job_status(&self, job: JobId) -> Option<Option<JobStatus>> {
        let (answer, answered) = oneshot::channel();
        self.send(Command::JobStatus { job, answer });
        answered.await.ok().flatten()
    }

    /// What the scheduler has learned; `None` when this daemon does not own.
    pub async fn learned(&self) -> Option<Learned> {
        let (answer, answered) = oneshot::channel();
        self.send(Command::Learned { answer });
        answered.await.ok().flatten()
    }

    /// How many jobs of a queue wait; `None` when this daemon does not own.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        let (answer, answered) = oneshot::channel();
        let queue = queue.to_owned();
        self.send(Command::Pending { queue, answer });
        answered.await.ok().flatten()
    }
}

struct ControlThread {
    timer: Timer,
    commands: Receiver<Command>,
    reports: UnboundedSender<Report>,
    decide: Decide,
    scheduler: Option<Scheduler>,
    next_gauges_ms: u64,
    reported_counts: ReportedCounts,
    /// The memory of the jobs that was reported last, and under which epoch.
    reported_job_bytes: Option<(u64, u64)>,
    rounds: Arc<AtomicU64>,
}

impl ControlThread {
    fn run(mut self) {
        loop {
            // After a panic nothing of the scheduler is used but the actions, which are logged.
            let round = catch_unwind(AssertUnwindSafe(|| self.run_round()));
            let round = round.unwrap_or_else(|panic| self.report_failure(message(&*panic)));
            if round.is_break() {
                return;
            }
            self.rounds.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until there are commands or a decision is due, and handles both. Breaks once the
    /// traffic thread has ended.
    fn run_round(&mut self) -> ControlFlow<()> {
        let now_ms = self.timer.now_ms();
        let wake_ms = self
            .scheduler
            .as_ref()
            .map_or(now_ms + IDLE_WAIT_MS, Scheduler::wake_at_ms);
        let wait = Duration::from_millis(wake_ms.saturating_sub(now_ms));
        match self.commands.recv_timeout(wait) {
            Ok(command) => apply(&mut self.scheduler, command, &self.timer),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return ControlFlow::Break(()),
        }
        for command in self.commands.try_iter().take(MAX_BATCH) {
            apply(&mut self.scheduler, command, &self.timer);
        }
        let Some(scheduler) = &mut self.scheduler else {
            return ControlFlow::Continue(());
        };
        if now_ms >= self.next_gauges_ms {
            self.next_gauges_ms = now_ms + GAUGE_INTERVAL_MS;
            set_size_gauges(&scheduler.sizes());
            set_kept_gauge("unnoted_ends", scheduler.unacknowledged_end_count());
            metrics::counter!("fuchsiaslip_passes_total").absolute(scheduler.pass_count());
        }
        let actions = (self.decide)(scheduler, self.timer.now_ms());
        let mut output = collect_output(scheduler, actions);
        output.worker_counts = self.reported_counts.changed(scheduler, now_ms);
        let job_bytes = scheduler.job_bytes();
        if self.reported_job_bytes != Some((scheduler.epoch(), job_bytes)) {
            self.reported_job_bytes = Some((scheduler.epoch(), job_bytes));
            output.job_bytes = Some(job_bytes);
        }
        let is_empty = output.actions.is_empty()
            && output.worker_counts.is_none()
            && output.job_bytes.is_none();
        if !is_empty && self.reports.send(Report::Decided(output)).is_err() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Drops the scheduler, whose state may be inconsistent, and reports that. Breaks once the
    /// traffic thread has ended.
    fn report_failure(&mut self, message: &str) -> ControlFlow<()> {
        let failed = self.scheduler.take();
        let epoch = failed.as_ref().map(Scheduler::epoch);
        let report = Report::Failed {
            epoch,
            job: failed.as_ref().and_then(Scheduler::deciding),
            message: message.to_owned(),
            dropped: failed.map(Scheduler::into_actions).unwrap_or_default(),
        };
        match self.reports.send(report) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }
}

/// The numbers of workers that were reported last, and under which epoch.
#[derive(Default)]
struct ReportedCounts {
    epoch: u64,
    counts: BTreeMap<String, usize>,
    next_ms: u64,
}

impl ReportedCounts {
    /// Counts the workers if that is due. Returns the numbers if they have changed, or if none
    /// were reported under this epoch: each owner begins without them.
    fn changed(&mut self, scheduler: &Scheduler, now_ms: u64) -> Option<BTreeMap<String, usize>> {
        if self.epoch != scheduler.epoch() {
            *self = Self {
                epoch: scheduler.epoch(),
                ..Self::default()
            };
        }
        if now_ms < self.next_ms {
            return None;
        }
        self.next_ms = now_ms + COUNT_INTERVAL_MS;
        let counted = scheduler.worker_counts();
        if counted == self.counts {
            return None;
        }
        self.counts.clone_from(&counted);
        Some(counted)
    }
}

fn set_size_gauges(sizes: &Sizes) {
    let kept = [
        ("jobs", sizes.jobs),
        ("groups", sizes.groups),
        ("workers", sizes.workers),
        ("leaving_jobs", sizes.deleting_jobs),
        ("queues", sizes.queues),
        ("unread_jobs", sizes.unreadable_jobs),
        ("accounts_beyond_share", sizes.accounts_beyond_share),
        ("waiting_occurrences", sizes.waiting_occurrences),
    ];
    for (what, count) in kept {
        set_kept_gauge(what, count);
    }
}

fn set_kept_gauge(what: &'static str, count: usize) {
    metrics::gauge!("fuchsiaslip_kept", "what" => what).set(count as f64);
}

fn apply(scheduler: &mut Option<Scheduler>, command: Command, timer: &Timer) {
    let now_ms = timer.now_ms();
    match command {
        Command::Begin {
            epoch,
            tuning,
            stored,
        } => {
            // Set first: a panic is reported under the epoch of the scheduler.
            let started = scheduler.insert(Scheduler::new(epoch, tuning, now_ms));
            for input in stored {
                started.handle(input, now_ms);
            }
        }
        Command::Input { epoch, input } => {
            let matching = scheduler
                .as_mut()
                .filter(|current| current.epoch() == epoch);
            if let Some(scheduler) = matching {
                scheduler.handle(input, now_ms);
            }
        }
        // A failed send means that the caller has given up.
        Command::JobStatus { job, answer } => {
            let job_status = scheduler.as_ref().map(|current| current.job_status(job));
            answer.send(job_status).ok();
        }
        Command::Pending { queue, answer } => {
            let pending = scheduler
                .as_ref()
                .map(|current| current.pending(&queue) as u64);
            answer.send(pending).ok();
        }
        Command::Learned { answer } => {
            answer.send(scheduler.as_ref().map(Scheduler::learned)).ok();
        }
        Command::End => *scheduler = None,
    }
}

fn roster_change(scheduler: &Scheduler) -> RosterChange {
    let rows = scheduler.roster().into_iter();
    let rows = rows.map(|(worker_name, address)| RosterRow {
        worker_name,
        address,
    });
    RosterChange {
        rows: rows.collect(),
        unconfirmed: scheduler.unconfirmed_workers(),
    }
}

/// Collects the state that the actions of a decision ask to have stored.
fn collect_output(scheduler: &Scheduler, actions: Vec<Action>) -> Output {
    let mut changed = BTreeSet::new();
    let mut roster = false;
    let mut closed = BTreeMap::new();
    for action in &actions {
        match action {
            Action::StoreProgress { job } => {
                changed.insert(*job);
            }
            Action::StoreRoster => roster = true,
            Action::StoreClosedWorker { worker } => {
                let record = scheduler.closed_record(*worker);
                let record = record.map(|(closed, runs)| ClosedRecord::new(closed, &runs));
                let info = &scheduler.workers()[worker.index()].info;
                closed.insert(info.worker_name.clone(), record);
            }
            _ => {}
        }
    }
    let records = changed.into_iter().filter_map(|job| {
        let (change, record) = scheduler.progress(job)?;
        Some((job, change, record))
    });
    Output {
        epoch: scheduler.epoch(),
        records: records.collect(),
        roster: roster.then(|| roster_change(scheduler)),
        closed: closed.into_iter().collect(),
        worker_counts: None,
        job_bytes: None,
        actions,
    }
}
