//! The one thread that touches the scheduler's state.

use super::records::{
    ClosedRecord,
    RosterRow, //
};
use crate::core::JobId;
use crate::scheduler::{
    Action,
    Input,
    JobStatus,
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
use std::sync::mpsc::{
    Receiver,
    RecvTimeoutError,
    Sender,
    channel, //
};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// Wait of a thread that owns nothing.
const IDLE_MS: u64 = 60_000;
/// How often the gauges of what is kept are set.
const GAUGES_MS: u64 = 1_000;
/// Commands taken in before a decision, so that news in a burst cost one pass.
const MAX_BATCH: usize = 256;

/// Something for the control thread.
pub enum Command {
    /// Begin to own under an epoch, with all that was stored.
    Begin {
        /// The epoch.
        epoch: u64,
        /// Bounds.
        tuning: Tuning,
        /// What was stored.
        stored: Vec<Input>,
    },
    /// An input for the scheduler of an epoch.
    Input {
        /// The epoch.
        epoch: u64,
        /// The input.
        input: Input,
    },
    /// The status of a job; `None` when this daemon does not own, inside it `None`
    /// when the job is not known.
    JobStatus {
        /// The job.
        job: JobId,
        /// Where the answer goes.
        answer: oneshot::Sender<Option<Option<JobStatus>>>,
    },
    /// Jobs of a queue that wait; `None` when this daemon does not own.
    Pending {
        /// The queue.
        queue: String,
        /// Where the answer goes.
        answer: oneshot::Sender<Option<u64>>,
    },
    /// Own no longer.
    End,
}

/// A decision's result, for the traffic thread.
pub struct Output {
    /// The epoch under which it was decided.
    pub epoch: u64,
    /// What to carry out.
    pub actions: Vec<Action>,
    /// Progress to store: job, number of its change, and all that is noted.
    pub records: Vec<(JobId, u64, ProgressRecord)>,
    /// The roster to store.
    pub roster: Option<Vec<RosterRow>>,
    /// Workers with whether they get no more starts and what may run there;
    /// `None` for workers that are gone.
    pub closed: Vec<(String, Option<ClosedRecord>)>,
}

/// A handle to the control thread.
#[derive(Clone)]
pub struct Control {
    commands: Sender<Command>,
}

impl Control {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn spawn(timer: Timer, outputs: UnboundedSender<Output>) -> std::io::Result<Self> {
        let (commands, received) = channel();
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || run(&timer, &received, &outputs))?;
        Ok(Self { commands })
    }

    /// Gives the thread a command. A thread that has ended takes none: the
    /// process is ending then.
    pub fn send(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("the control thread has ended");
        }
    }

    /// Passes an input to the scheduler of an epoch.
    pub fn send_input(&self, epoch: u64, input: Input) {
        self.send(Command::Input { epoch, input });
    }

    /// The status of a job.
    pub async fn job_status(&self, job: JobId) -> Option<Option<JobStatus>> {
        let (answer, answered) = oneshot::channel();
        self.send(Command::JobStatus { job, answer });
        answered.await.ok().flatten()
    }

    /// How many jobs of a queue wait.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        let (answer, answered) = oneshot::channel();
        let queue = queue.to_owned();
        self.send(Command::Pending { queue, answer });
        answered.await.ok().flatten()
    }
}

fn run(timer: &Timer, commands: &Receiver<Command>, outputs: &UnboundedSender<Output>) {
    let mut scheduler: Option<Scheduler> = None;
    let mut gauges_at_ms = 0;
    loop {
        let now_ms = timer.now_ms();
        let wake_ms = scheduler
            .as_ref()
            .map_or(now_ms + IDLE_MS, Scheduler::wake_at_ms);
        let wait = Duration::from_millis(wake_ms.saturating_sub(now_ms));
        match commands.recv_timeout(wait) {
            Ok(command) => apply(&mut scheduler, command, timer),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for command in commands.try_iter().take(MAX_BATCH) {
            apply(&mut scheduler, command, timer);
        }
        let Some(scheduler) = &mut scheduler else {
            continue;
        };
        if now_ms >= gauges_at_ms {
            gauges_at_ms = now_ms + GAUGES_MS;
            show_sizes(&scheduler.sizes());
            show_kept("unnoted_ends", scheduler.unacknowledged_end_count());
        }
        let output = decide(scheduler, timer.now_ms());
        if !output.actions.is_empty() && outputs.send(output).is_err() {
            return;
        }
    }
}

fn show_sizes(sizes: &Sizes) {
    let kept = [
        ("jobs", sizes.jobs),
        ("groups", sizes.groups),
        ("workers", sizes.workers),
        ("leaving_jobs", sizes.deleting_jobs),
        ("queues", sizes.queues),
        ("unread_jobs", sizes.unreadable_jobs),
    ];
    for (what, count) in kept {
        show_kept(what, count);
    }
}

fn show_kept(what: &'static str, count: usize) {
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
            let mut begun = Scheduler::new(epoch, tuning, now_ms);
            for input in stored {
                begun.handle(input, now_ms);
            }
            *scheduler = Some(begun);
        }
        Command::Input { epoch, input } => {
            let own = scheduler.as_mut().filter(|own| own.epoch() == epoch);
            if let Some(scheduler) = own {
                scheduler.handle(input, now_ms);
            }
        }
        // A caller that has left needs no answer.
        Command::JobStatus { job, answer } => {
            let job_status = scheduler.as_ref().map(|own| own.job_status(job));
            answer.send(job_status).ok();
        }
        Command::Pending { queue, answer } => {
            let pending = scheduler.as_ref().map(|own| own.pending(&queue) as u64);
            answer.send(pending).ok();
        }
        Command::End => *scheduler = None,
    }
}

fn roster_rows(scheduler: &Scheduler) -> Vec<RosterRow> {
    let rows = scheduler.roster().into_iter();
    rows.map(|(worker_name, address)| RosterRow {
        worker_name,
        address,
    })
    .collect()
}

/// Decides, and takes along what the decision asks to have stored.
fn decide(scheduler: &mut Scheduler, now_ms: u64) -> Output {
    let actions = scheduler.decide(now_ms);
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
                let row = scheduler.closed_record(*worker);
                let row = row.map(|(closed, runs)| ClosedRecord::of(closed, &runs));
                let info = &scheduler.workers()[worker.index()].info;
                closed.insert(info.worker_name.clone(), row);
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
        roster: roster.then(|| roster_rows(scheduler)),
        closed: closed.into_iter().collect(),
        actions,
    }
}
