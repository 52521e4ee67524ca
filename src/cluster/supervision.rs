//! Detects failures of this daemon's own threads and tasks, and ends its ownership then.
//!
//! The control thread decides, and tasks of the traffic thread store, send and receive. If one
//! of them panics or stops, the others go on: heartbeats and confirmations of the epoch would
//! keep up an ownership under which nothing is scheduled. So each failure ends the ownership at
//! once, heartbeats tell the other daemons, and this one does not own again for a while, since
//! what it failed on may be in the store. A task that lasts as long as the daemon is started
//! again.

use super::control::Command;
use super::node::Node;
use crate::events;
use futures_util::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

/// How long a daemon does not own after a failure, unless the others have failed as well.
const FAILURE_PAUSE_MS: u64 = 10_000;
/// Wait before a task that failed is started again.
const RESTART_DELAY_MS: u64 = 500;
/// How often it is checked whether the control thread goes on.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Checks in a row without progress of an owner's control thread after which it counts as
/// stalled. Checks are counted instead of time, since both threads stand still while the VM is
/// paused.
const MAX_CHECKS_WITHOUT_PROGRESS: u32 = 10;

/// A part of this daemon that failed; the name is a label value of
/// `fuchsiaslip_failures_total`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part(pub &'static str);

/// The last failure of a part of this daemon.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    at_ms: u64,
    /// How far the control thread had come.
    rounds: u64,
}

impl Node {
    /// Records that a part of this daemon failed while it owned under `epoch`, and gives up that
    /// ownership. Only counted if the epoch is over.
    pub fn record_failure(&self, part: Part, epoch: u64) {
        metrics::counter!("fuchsiaslip_failures_total", "part" => part.0).increment(1);
        if epoch != self.epoch() {
            return;
        }
        self.failure.set(Some(Failure {
            at_ms: self.now_ms(),
            rounds: self.control.rounds(),
        }));
        if self.owns() {
            events::log(
                events::OWNER_FAILED,
                format_args!("epoch {epoch}, part {}", part.0),
            );
            self.end_ownership("failed");
        }
        // Its next round shows that the control thread works.
        self.control.send(Command::End);
        self.request_heartbeat();
    }

    /// Whether the control thread has handled commands since the last failure.
    pub fn is_responding(&self) -> bool {
        let failure = self.failure.get();
        failure.is_none_or(|failure| self.control.rounds() > failure.rounds)
    }

    /// Whether a failure keeps this daemon from owning.
    pub fn has_failed(&self) -> bool {
        let failure = self.failure.get();
        let is_recent =
            failure.is_some_and(|failure| self.now_ms() < failure.at_ms + FAILURE_PAUSE_MS);
        is_recent || !self.is_responding()
    }
}

/// Starts a task of this daemon's ownership under `epoch`. If it panics, the ownership ends.
pub fn spawn_for_epoch(
    node: &Rc<Node>,
    epoch: u64,
    part: Part,
    task: impl Future<Output = ()> + 'static,
) {
    let node = node.clone();
    actix_rt::spawn(async move {
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            node.record_failure(part, epoch);
        }
    });
}

/// Starts a task that lasts as long as the daemon. If it panics or ends, the ownership ends and
/// the task is started again.
pub fn spawn_lasting<F>(node: &Rc<Node>, part: Part, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let node = node.clone();
    actix_rt::spawn(async move {
        loop {
            // The task ended by itself or by a panic, which is logged where it happens.
            AssertUnwindSafe(start()).catch_unwind().await.ok();
            node.record_failure(part, node.epoch());
            node.timer.sleep(RESTART_DELAY_MS).await;
        }
    });
}

/// Ends the ownership if the control thread stops deciding; never returns.
pub async fn watch_control(node: Rc<Node>) {
    let (mut last_rounds, mut checks) = (0, 0);
    loop {
        node.timer.sleep(CHECK_INTERVAL_MS).await;
        let rounds = node.control.rounds();
        checks = match node.owns() && rounds == last_rounds {
            true => checks + 1,
            false => 0,
        };
        last_rounds = rounds;
        if checks >= MAX_CHECKS_WITHOUT_PROGRESS {
            node.record_failure(Part("control_stalled"), node.epoch());
        }
    }
}
