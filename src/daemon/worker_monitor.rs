//! Polls a share of the workers, which renews their leases, and reports their changes to
//! the owner.

use super::directory::Directory;
use super::peer::Peers;
use super::status::Status;
use crate::backend::{
    PollAnswer,
    VmRecord,
    WorkerAnswer,
    WorkerCall,
    Workers, //
};
use crate::owner::WorkerUpdate;
use crate::timer::Timer;
use crate::wire::WorkerUpdateBody;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

/// How often this daemon determines its share of the workers.
const SHARE_INTERVAL_MS: u64 = 1_000;
const RETRY_MS: u64 = 1_000;
const DELIVERY_RETRY_MS: u64 = 200;
/// Failed polls in a row after which a worker is reported as unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;

/// Polls a share of the workers; used only on the traffic thread.
#[derive(Clone)]
pub struct WorkerMonitor {
    shared: Rc<Shared>,
}

struct Shared {
    workers: Workers,
    timer: Timer,
    status: Arc<Status>,
    directory: Arc<Directory>,
    peers: Peers,
    poll_ms: u64,
    lease_ms: u64,
    /// Names of the workers in this daemon's share.
    monitored: RefCell<HashSet<String>>,
}

/// What the monitor knows of one worker.
#[derive(Default)]
struct WorkerState {
    cursor: u64,
    incarnation: Option<u64>,
    leaving: bool,
    /// Epoch of the owner to which the worker was last reported; 0 for none.
    reported_epoch: u64,
    /// Failed polls since the last answer.
    failures: u32,
    /// When the worker last answered, or when monitoring began.
    last_answer_ms: u64,
}

impl WorkerMonitor {
    /// Creates a monitor without workers.
    pub fn open(
        workers: Workers,
        timer: Timer,
        status: Arc<Status>,
        directory: Arc<Directory>,
        peers: Peers,
        poll_ms: u64,
        lease_ms: u64,
    ) -> Self {
        Self {
            shared: Rc::new(Shared {
                workers,
                timer,
                status,
                directory,
                peers,
                poll_ms,
                lease_ms,
                monitored: RefCell::default(),
            }),
        }
    }

    /// Monitors this daemon's share of the workers. Does not return.
    pub async fn run(self) {
        loop {
            let now_ms = self.shared.timer.now_ms();
            let draining = self.shared.status.is_draining();
            let share = self.shared.directory.monitored_workers(now_ms, draining);
            let names: HashSet<String> = share.iter().map(|vm| vm.name.clone()).collect();
            let before = self.shared.monitored.replace(names);
            for vm in share {
                if !before.contains(&vm.name) {
                    actix_rt::spawn(self.clone().monitor(vm));
                }
            }
            self.shared.timer.sleep(SHARE_INTERVAL_MS).await;
        }
    }

    fn is_monitored(&self, worker: &str) -> bool {
        self.shared.monitored.borrow().contains(worker)
    }

    /// Polls one worker until it leaves this daemon's share.
    async fn monitor(self, vm: VmRecord) {
        let mut state = WorkerState {
            last_answer_ms: self.shared.timer.now_ms(),
            ..WorkerState::default()
        };
        while self.is_monitored(&vm.name) {
            let poll = WorkerCall::Poll {
                cursor: state.cursor,
                wait_ms: match state.incarnation {
                    Some(_) => self.shared.poll_ms,
                    None => 0,
                },
                lease_ms: self.shared.lease_ms,
            };
            let sent_ms = self.shared.timer.now_ms();
            match self.shared.workers.call(vm.address.clone(), poll).await {
                Ok(WorkerAnswer::Polled(answer)) => {
                    state.last_answer_ms = self.shared.timer.now_ms();
                    state.failures = 0;
                    self.handle_answer(&vm.name, &mut state, answer).await;
                }
                _ => self.handle_failure(&vm.name, &mut state, sent_ms).await,
            }
        }
    }

    /// Reports a worker's answer to the owner. The cursor advances only once an owner has
    /// handled the changes, so that a crash of this daemon or of the owner loses none.
    async fn handle_answer(&self, worker: &str, state: &mut WorkerState, answer: PollAnswer) {
        let restarted = state.incarnation != Some(answer.incarnation);
        let epoch = self.owner_epoch();
        let should_report =
            restarted || state.leaving != answer.leaving || state.reported_epoch != epoch;
        if should_report {
            let responded = WorkerUpdate::Responded {
                incarnation: answer.incarnation,
                leaving: answer.leaving,
            };
            if !self.deliver(worker, responded).await {
                self.shared.timer.sleep(DELIVERY_RETRY_MS).await;
                return;
            }
        }
        if !answer.changes.is_empty() {
            let changes = WorkerUpdate::Changes(answer.changes);
            if !self.deliver(worker, changes).await {
                self.shared.timer.sleep(DELIVERY_RETRY_MS).await;
                return;
            }
        }
        state.incarnation = Some(answer.incarnation);
        state.leaving = answer.leaving;
        state.reported_epoch = epoch;
        state.cursor = answer.cursor;
    }

    /// Returns the epoch of the owner that this daemon knows, or 0.
    fn owner_epoch(&self) -> u64 {
        let own = self.shared.status.owner_epoch();
        let now_ms = self.shared.timer.now_ms();
        let other = self.shared.directory.owner(now_ms);
        own.max(other.map_or(0, |(_, heartbeat, _)| heartbeat.owner_epoch))
    }

    async fn handle_failure(&self, worker: &str, state: &mut WorkerState, sent_ms: u64) {
        state.failures += 1;
        metrics::counter!("fuchsiaslip_retries_total", "reason" => "poll_silent").increment(1);
        if state.failures >= UNRESPONSIVE_AFTER {
            let unresponsive_ms = sent_ms.saturating_sub(state.last_answer_ms);
            self.deliver(worker, WorkerUpdate::Unresponsive { unresponsive_ms })
                .await;
            // The worker is reported again when it next answers.
            state.reported_epoch = 0;
            state.incarnation = None;
        }
        self.shared.timer.sleep(RETRY_MS).await;
    }

    async fn deliver(&self, worker: &str, update: WorkerUpdate) -> bool {
        self.shared
            .peers
            .deliver(WorkerUpdateBody::new(worker, &update))
            .await
    }
}
