//! The timer service: the only part that reads the clock or sleeps.
//!
//! Other parts ask it for the time, subscribe to ticks, or wait for a moment.

use rustix::time::{
    ClockId,
    clock_gettime, //
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::Future;
use std::sync::mpsc::{
    self,
    RecvTimeoutError, //
};
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};
use tokio::sync::oneshot;

/// How long the service sleeps when nothing is due.
const IDLE_MS: u64 = 60_000;

/// The time was up before the future was ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the time was up; try again")]
pub struct Elapsed;

/// One subscriber's next moment; the rank only breaks ties.
type Entry = Reverse<(u64, u64)>;

struct Waiting {
    at_ms: u64,
    wake: oneshot::Sender<u64>,
}

/// A handle to the running timer service.
#[derive(Clone)]
pub struct Timer {
    base_ms: u64,
    started_ms: u64,
    register: mpsc::Sender<Waiting>,
}

impl Timer {
    /// Starts the service on a thread of its own; it ends when the last handle
    /// is dropped.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn spawn() -> std::io::Result<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let base_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64);
        let started_ms = since_boot_ms();
        let (register, registrations) = mpsc::channel();
        std::thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || run(base_ms, started_ms, &registrations))?;
        Ok(Self {
            base_ms,
            started_ms,
            register,
        })
    }

    /// Milliseconds since the Unix epoch; never goes back.
    pub fn now_ms(&self) -> u64 {
        now_ms(self.base_ms, self.started_ms)
    }

    /// Waits for `delay_ms` and returns the time then.
    pub async fn sleep(&self, delay_ms: u64) -> u64 {
        self.sleep_until(self.now_ms() + delay_ms).await
    }

    /// Waits until `at_ms`.
    pub async fn sleep_until(&self, at_ms: u64) -> u64 {
        let (wake, woken) = oneshot::channel();
        let registered = self.register.send(Waiting { at_ms, wake });
        match registered {
            Ok(()) => woken.await.unwrap_or(at_ms),
            Err(_) => at_ms,
        }
    }

    /// Waits for `future`, but no longer than `limit_ms`.
    ///
    /// # Errors
    ///
    /// The time was up first.
    pub async fn timeout<F: Future>(&self, limit_ms: u64, future: F) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            _ = self.sleep(limit_ms) => Err(Elapsed),
        }
    }

    /// Ticks every `period_ms`; a subscriber that is late skips ticks.
    pub fn interval(&self, period_ms: u64) -> Ticks {
        Ticks {
            timer: self.clone(),
            period_ms,
            next_ms: self.now_ms() + period_ms,
        }
    }
}

/// A subscription to periodic ticks.
pub struct Ticks {
    timer: Timer,
    period_ms: u64,
    next_ms: u64,
}

impl Ticks {
    /// Waits for the next tick and returns its time.
    pub async fn next(&mut self) -> u64 {
        let now_ms = self.timer.sleep_until(self.next_ms).await;
        self.next_ms = (self.next_ms + self.period_ms).max(now_ms + 1);
        now_ms
    }
}

fn now_ms(base_ms: u64, started_ms: u64) -> u64 {
    base_ms + since_boot_ms() - started_ms
}

/// Time since the machine started, suspensions included: a daemon on a VM that
/// was suspended must see that its leases are old, which the monotonic clock
/// does not show.
fn since_boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

fn run(base_ms: u64, started_ms: u64, registrations: &mpsc::Receiver<Waiting>) {
    let mut due: BinaryHeap<Entry> = BinaryHeap::new();
    let mut wakes: std::collections::HashMap<u64, oneshot::Sender<u64>> = Default::default();
    let mut rank = 0;
    loop {
        let now = now_ms(base_ms, started_ms);
        while let Some(&Reverse((at_ms, at))) = due.peek() {
            if at_ms > now {
                break;
            }
            due.pop();
            if let Some(wake) = wakes.remove(&at) {
                // The subscriber may have stopped waiting.
                let _ = wake.send(now);
            }
        }
        let wait_ms = due
            .peek()
            .map_or(IDLE_MS, |&Reverse((at_ms, _))| at_ms.saturating_sub(now));
        match registrations.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(waiting) => {
                rank += 1;
                due.push(Reverse((waiting.at_ms, rank)));
                wakes.insert(rank, waiting.wake);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
