//! Ending a daemon at once.

use std::sync::Arc;
use tokio::sync::watch;

/// The switch that ends every thread of a daemon.
#[derive(Clone, Debug)]
pub struct Kill {
    sender: Arc<watch::Sender<bool>>,
}

/// One thread's view of the switch.
#[derive(Clone, Debug)]
pub struct Killed {
    receiver: watch::Receiver<bool>,
}

impl Default for Kill {
    fn default() -> Self {
        Self {
            sender: Arc::new(watch::Sender::new(false)),
        }
    }
}

impl Kill {
    /// A view for one thread.
    pub fn killed(&self) -> Killed {
        Killed {
            receiver: self.sender.subscribe(),
        }
    }

    /// Throws the switch.
    pub fn kill(&self) {
        self.sender.send_replace(true);
    }
}

impl Killed {
    /// Runs `work` until it is done or the switch is thrown.
    pub async fn or(mut self, work: impl Future<Output = ()>) {
        tokio::select! {
            () = work => {}
            _ = self.receiver.wait_for(|killed| *killed) => {}
        }
    }
}
