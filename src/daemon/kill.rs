//! The shutdown signal, which stops every thread of a daemon at once and without a
//! drain.

use std::sync::Arc;
use tokio::sync::watch;

/// Sends the shutdown signal to every thread of a daemon.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    sender: Arc<watch::Sender<bool>>,
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
