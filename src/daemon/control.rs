//! The control thread, the only thread that accesses the owner's state.
//!
//! Other threads send it requests and events. It sends the resulting actions to the
//! traffic thread.

use super::kill::{
    ShutdownSignal,
    spawn_thread, //
};
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

/// Messages that may wait for the control thread. While the queue is full, requests
/// are refused and senders of events wait.
const QUEUE_LENGTH: usize = 8_192;
/// Interval of the owner's ticks.
const TICK_MS: u64 = 100;
/// Interval at which the gauges of the cell are updated.
const GAUGE_INTERVAL_MS: u64 = 5_000;
const PERCENT: f64 = 100.0;
const OVERLOADED_RETRY_AFTER_MS: u64 = 1_000;

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// A request and the channel for its reply.
    Request(Request, oneshot::Sender<Reply>),
    /// An event.
    Event(Event),
    /// An event whose sender waits until it is handled. The channel then receives
    /// whether this daemon is the owner.
    Acknowledged(Event, oneshot::Sender<bool>),
}

/// Handles an event of an owner at a time in milliseconds: [`Owner::handle`], unless a test
/// passes another one.
pub type HandleEvent = Box<dyn FnMut(&mut Owner, Event, u64) -> Vec<Action> + Send>;

/// A handle to the control thread.
#[derive(Clone, Debug)]
pub struct Control {
    sender: mpsc::Sender<ControlMessage>,
}

impl Control {
    /// Starts the thread, which sends actions to `actions`.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn spawn(
        owner: Owner,
        handle_event: HandleEvent,
        timer: Timer,
        status: Arc<Status>,
        actions: mpsc::UnboundedSender<Action>,
        shutdown: &ShutdownSignal,
    ) -> std::io::Result<Self> {
        let (sender, messages) = mpsc::channel(QUEUE_LENGTH);
        let until_shutdown = shutdown.subscribe();
        spawn_thread("control", shutdown, move || {
            let mut thread = ControlThread {
                owner,
                handle_event,
                timer,
                status,
                actions,
                replies: HashMap::new(),
                next_token: 0,
                next_gauges_ms: 0,
            };
            let running = until_shutdown.run_until(thread.run(messages));
            actix_rt::System::new().block_on(running);
        })?;
        Ok(Self { sender })
    }

    /// Sends an event; waits while the queue is full.
    pub async fn send_event(&self, event: Event) {
        // The control thread ends only when the daemon stops.
        let _ = self.sender.send(ControlMessage::Event(event)).await;
    }

    /// Sends an event, waits until it is handled and returns whether this daemon was
    /// the owner then.
    pub async fn send_event_acknowledged(&self, event: Event) -> bool {
        let (acknowledgement, receiver) = oneshot::channel();
        let message = ControlMessage::Acknowledged(event, acknowledgement);
        if self.sender.send(message).await.is_err() {
            return false;
        }
        receiver.await.unwrap_or(false)
    }

    /// Sends a request and waits for its reply. If the queue is full, the request is
    /// refused at once so that callers do not accumulate.
    pub async fn request(&self, request: Request) -> Reply {
        let (reply, receiver) = oneshot::channel();
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
        receiver.await.unwrap_or(Reply::OutcomeUnknown)
    }
}

struct ControlThread {
    owner: Owner,
    handle_event: HandleEvent,
    timer: Timer,
    status: Arc<Status>,
    actions: mpsc::UnboundedSender<Action>,
    replies: HashMap<u64, oneshot::Sender<Reply>>,
    next_token: u64,
    next_gauges_ms: u64,
}

impl ControlThread {
    async fn run(&mut self, mut messages: mpsc::Receiver<ControlMessage>) {
        let mut ticks = self.timer.interval(TICK_MS);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                now_ms = ticks.next() => {
                    self.handle_event(Event::Tick, now_ms);
                    self.update_gauges(now_ms);
                }
            }
        }
    }

    fn update_gauges(&mut self, now_ms: u64) {
        let Some(cell) = self.owner.cell().filter(|_| now_ms >= self.next_gauges_ms) else {
            return;
        };
        self.next_gauges_ms = now_ms + GAUGE_INTERVAL_MS;
        let percent = PERCENT * cell.fragmentation();
        metrics::gauge!("fuchsiaslip_fragmentation_percent").set(percent);
        metrics::gauge!("fuchsiaslip_waiting_jobs").set(cell.waiting() as f64);
    }

    fn handle_message(&mut self, message: ControlMessage) {
        let now_ms = self.timer.now_ms();
        match message {
            ControlMessage::Event(event) => self.handle_event(event, now_ms),
            ControlMessage::Acknowledged(event, acknowledgement) => {
                self.handle_event(event, now_ms);
                // The sender may have stopped waiting.
                let _ = acknowledgement.send(self.owner.is_owner());
            }
            ControlMessage::Request(request, reply) => {
                self.next_token += 1;
                self.replies.insert(self.next_token, reply);
                let token = self.next_token;
                self.handle_event(Event::Request { token, request }, now_ms);
            }
        }
    }

    fn handle_event(&mut self, event: Event, now_ms: u64) {
        for action in (self.handle_event)(&mut self.owner, event, now_ms) {
            match action {
                Action::Reply { token, reply } => {
                    if let Some(sender) = self.replies.remove(&token) {
                        // The caller may have stopped waiting.
                        let _ = sender.send(reply);
                    }
                }
                other => {
                    // The traffic thread ends only when the daemon stops.
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
