//! The shutdown signal, which stops every thread of a daemon at once and without a
//! drain. A thread that panics sends it: without that thread, the others would go on to accept
//! work that nothing schedules.

use std::panic::{
    AssertUnwindSafe,
    catch_unwind, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use tokio::sync::watch;

/// Sends the shutdown signal to every thread of a daemon.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    sender: Arc<watch::Sender<bool>>,
    /// Whether a thread that panicked sent it.
    has_failed: Arc<AtomicBool>,
}

/// Receives the shutdown signal in one thread.
#[derive(Clone, Debug)]
pub struct ShutdownReceiver {
    receiver: watch::Receiver<bool>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self {
            sender: Arc::new(watch::Sender::new(false)),
            has_failed: Arc::default(),
        }
    }
}

impl ShutdownSignal {
    /// Returns a receiver for one thread.
    pub fn subscribe(&self) -> ShutdownReceiver {
        ShutdownReceiver {
            receiver: self.sender.subscribe(),
        }
    }

    /// Sends the signal.
    pub fn send(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether a thread of the daemon has panicked.
    pub fn has_failed(&self) -> bool {
        self.has_failed.load(Ordering::Relaxed)
    }
}

/// Starts a thread of a daemon. If it panics, all threads of the daemon stop.
///
/// # Errors
///
/// The thread cannot be started.
pub fn spawn_thread(
    name: &str,
    shutdown: &ShutdownSignal,
    work: impl FnOnce() + Send + 'static,
) -> std::io::Result<()> {
    let shutdown = shutdown.clone();
    let supervised = move || {
        // The state of the work is dropped.
        if catch_unwind(AssertUnwindSafe(work)).is_err() {
            shutdown.has_failed.store(true, Ordering::Relaxed);
            shutdown.send();
        }
    };
    let thread = std::thread::Builder::new().name(name.to_owned());
    thread.spawn(supervised).map(|_| ())
}

impl ShutdownReceiver {
    /// Runs `work` until it completes or the signal is sent.
    pub async fn run_until(mut self, work: impl Future<Output = ()>) {
        tokio::select! {
            () = work => {}
            _ = self.receiver.wait_for(|is_sent| *is_sent) => {}
        }
    }
}
