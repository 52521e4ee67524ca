//! The worker monitor: renews the leases of a share of the workers and tells the owner
//! what changed there.

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

const REVIEW_MS: u64 = 1_000;
const RETRY_MS: u64 = 1_000;
const DELIVERY_RETRY_MS: u64 = 200;
/// Failed polls before the owner is told.
const SILENT_AFTER: u32 = 2;

/// Polls a share of the workers; lives on the traffic thread.
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
    kept: RefCell<HashSet<String>>,
}

/// What the monitor knows of one worker.
#[derive(Default)]
struct Watched {
    cursor: u64,
    incarnation: Option<u64>,
    leaving: bool,
    /// Epoch of the owner that was told of the worker.
    told_epoch: u64,
    failures: u32,
    seen_ms: u64,
}

impl WorkerMonitor {
    /// A monitor without any workers yet.
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
                kept: RefCell::default(),
            }),
        }
    }

    /// Keeps this daemon's share of the workers until the process ends.
    pub async fn run(self) {
        loop {
            let now_ms = self.shared.timer.now_ms();
            let draining = self.shared.status.is_draining();
            let share = self.shared.directory.kept_workers(now_ms, draining);
            let names: HashSet<String> = share.iter().map(|vm| vm.name.clone()).collect();
            let before = self.shared.kept.replace(names);
            for vm in share {
                if !before.contains(&vm.name) {
                    actix_rt::spawn(self.clone().keep(vm));
                }
            }
            self.shared.timer.sleep(REVIEW_MS).await;
        }
    }

    fn keeps(&self, worker: &str) -> bool {
        self.shared.kept.borrow().contains(worker)
    }

    async fn keep(self, vm: VmRecord) {
        let mut watched = Watched {
            seen_ms: self.shared.timer.now_ms(),
            ..Watched::default()
        };
        while self.keeps(&vm.name) {
            let poll = WorkerCall::Poll {
                cursor: watched.cursor,
                wait_ms: match watched.incarnation {
                    Some(_) => self.shared.poll_ms,
                    None => 0,
                },
                lease_ms: self.shared.lease_ms,
            };
            let sent_ms = self.shared.timer.now_ms();
            match self.shared.workers.call(vm.address.clone(), poll).await {
                Ok(WorkerAnswer::Polled(answer)) => {
                    watched.seen_ms = self.shared.timer.now_ms();
                    watched.failures = 0;
                    self.take(&vm.name, &mut watched, answer).await;
                }
                _ => self.failed(&vm.name, &mut watched, sent_ms).await,
            }
        }
    }

    /// Tells the owner; the cursor moves on only when an owner has taken the
    /// news in, so that the death of either loses none.
    async fn take(&self, worker: &str, watched: &mut Watched, answer: PollAnswer) {
        let restarted = watched.incarnation != Some(answer.incarnation);
        let epoch = self.owner_epoch();
        let tell = restarted || watched.leaving != answer.leaving || watched.told_epoch != epoch;
        if tell {
            let seen = WorkerUpdate::Seen {
                incarnation: answer.incarnation,
                leaving: answer.leaving,
            };
            if !self.deliver(worker, seen).await {
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
        watched.incarnation = Some(answer.incarnation);
        watched.leaving = answer.leaving;
        watched.told_epoch = epoch;
        watched.cursor = answer.cursor;
    }

    fn owner_epoch(&self) -> u64 {
        let own = self.shared.status.owner_epoch();
        let now_ms = self.shared.timer.now_ms();
        let other = self.shared.directory.owner(now_ms);
        own.max(other.map_or(0, |(_, heartbeat, _)| heartbeat.owner_epoch))
    }

    async fn failed(&self, worker: &str, watched: &mut Watched, sent_ms: u64) {
        watched.failures += 1;
        metrics::counter!("fuchsiaslip_retries_total", "reason" => "poll_silent").increment(1);
        if watched.failures >= SILENT_AFTER {
            let silent_ms = sent_ms.saturating_sub(watched.seen_ms);
            self.deliver(worker, WorkerUpdate::Silent { silent_ms })
                .await;
            // The worker is announced again when it answers.
            watched.told_epoch = 0;
            watched.incarnation = None;
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
