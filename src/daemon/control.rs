//! The control thread: the only one that touches the owner's state.

use super::kill::Killed;
use super::status::Status;
use crate::core::{
    Refusal,
    RefusalReason, //
};
use crate::owner::{
    Action,
    Event,
    Owner,
    Reply,
    Request, //
};
use crate::timer::Timer;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// Messages that may wait for the control thread before callers are refused.
const QUEUE_LENGTH: usize = 8_192;
const TICK_MS: u64 = 100;
/// How often the cell is measured for the gauges.
const MEASURE_MS: u64 = 5_000;
const PERCENT: f64 = 100.0;
const OVERLOADED_RETRY_AFTER_MS: u64 = 1_000;

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// A request and where its reply goes.
    Request(Request, oneshot::Sender<Reply>),
    /// An event.
    Event(Event),
    /// An event whose sender wants to know that it was taken in, and whether
    /// by an owner.
    Acknowledged(Event, oneshot::Sender<bool>),
}

/// A handle to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    sender: mpsc::Sender<ControlMessage>,
}

impl Control {
    /// Starts the thread. Actions go to `actions`.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn spawn(
        owner: Owner,
        timer: Timer,
        status: Arc<Status>,
        actions: mpsc::UnboundedSender<Action>,
        killed: Killed,
    ) -> std::io::Result<Self> {
        let (sender, messages) = mpsc::channel(QUEUE_LENGTH);
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let mut thread = ControlThread {
                    owner,
                    timer,
                    status,
                    actions,
                    replies: HashMap::new(),
                    next_token: 0,
                    next_measure_ms: 0,
                };
                actix_rt::System::new().block_on(killed.or(thread.run(messages)));
            })?;
        Ok(Self { sender })
    }

    /// Sends an event; waits while the queue is full.
    pub async fn event(&self, event: Event) {
        // The thread ends only with the process.
        let _ = self.sender.send(ControlMessage::Event(event)).await;
    }

    /// Sends an event and waits until it was taken in; says whether this
    /// daemon was the owner then.
    pub async fn acknowledged(&self, event: Event) -> bool {
        let (taken, wait) = oneshot::channel();
        let message = ControlMessage::Acknowledged(event, taken);
        if self.sender.send(message).await.is_err() {
            return false;
        }
        wait.await.unwrap_or(false)
    }

    /// Sends a request and waits for its reply. A full queue refuses at once
    /// rather than letting callers pile up.
    pub async fn request(&self, request: Request) -> Reply {
        let (reply, wait) = oneshot::channel();
        let message = ControlMessage::Request(request, reply);
        if self.sender.try_send(message).is_err() {
            let reason = RefusalReason::Overloaded;
            metrics::counter!("fuchsiaslip_refusals_total", "reason" => reason.name()).increment(1);
            return Reply::Refused(Refusal {
                reason,
                not_run: false,
                retry_after_ms: OVERLOADED_RETRY_AFTER_MS,
            });
        }
        wait.await.unwrap_or(Reply::OutcomeUnknown)
    }
}

struct ControlThread {
    owner: Owner,
    timer: Timer,
    status: Arc<Status>,
    actions: mpsc::UnboundedSender<Action>,
    replies: HashMap<u64, oneshot::Sender<Reply>>,
    next_token: u64,
    next_measure_ms: u64,
}

impl ControlThread {
    async fn run(&mut self, mut messages: mpsc::Receiver<ControlMessage>) {
        let mut ticks = self.timer.interval(TICK_MS);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                now_ms = ticks.next() => {
                    self.handle(Event::Tick, now_ms);
                    self.measure(now_ms);
                }
            }
        }
    }

    fn measure(&mut self, now_ms: u64) {
        let Some(cell) = self.owner.cell().filter(|_| now_ms >= self.next_measure_ms) else {
            return;
        };
        self.next_measure_ms = now_ms + MEASURE_MS;
        let percent = PERCENT * cell.fragmentation();
        metrics::gauge!("fuchsiaslip_fragmentation_percent").set(percent);
        metrics::gauge!("fuchsiaslip_waiting_jobs").set(cell.waiting() as f64);
    }

    fn take(&mut self, message: ControlMessage) {
        let now_ms = self.timer.now_ms();
        match message {
            ControlMessage::Event(event) => self.handle(event, now_ms),
            ControlMessage::Acknowledged(event, taken) => {
                self.handle(event, now_ms);
                // Whoever asked may have given up waiting.
                let _ = taken.send(self.owner.is_owner());
            }
            ControlMessage::Request(request, reply) => {
                self.next_token += 1;
                self.replies.insert(self.next_token, reply);
                let token = self.next_token;
                self.handle(Event::Request { token, request }, now_ms);
            }
        }
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        for action in self.owner.handle(event, now_ms) {
            match action {
                Action::Reply { token, reply } => {
                    if let Some(waiting) = self.replies.remove(&token) {
                        // A caller that has gone away needs no reply.
                        let _ = waiting.send(reply);
                    }
                }
                other => {
                    // The traffic thread ends only with the process.
                    let _ = self.actions.send(other);
                }
            }
        }
        self.status.set_owner_epoch(self.owner.epoch().unwrap_or(0));
        self.status.set_handed_over(self.owner.has_handed_over());
        let epoch = self.owner.epoch().unwrap_or(0);
        metrics::gauge!("fuchsiaslip_owner_epoch").set(epoch as f64);
    }
}
