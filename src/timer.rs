//! The timer service: reads the clock and sleeps on behalf of the whole process.
//!
//! The wall clock is read only here. Other modules ask this service for the time,
//! subscribe to ticks, or wait until a given time.

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

/// How long the service sleeps while there are no registrations.
const IDLE_MS: u64 = 60_000;

/// The timeout expired before the future was ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the timeout expired; try again")]
pub struct Elapsed;

/// The time at which a registration is due, and the registration's id, which orders
/// registrations that are due at the same time. Reversed, as the heap returns the
/// largest entry first.
type Deadline = Reverse<(u64, u64)>;

/// A request to be woken at `at_ms`.
struct Registration {
    at_ms: u64,
    wake: oneshot::Sender<u64>,
}

/// A handle to the running timer service.
#[derive(Clone)]
pub struct Timer {
    base_ms: u64,
    started_ms: u64,
    register: mpsc::Sender<Registration>,
}

impl Timer {
    /// Starts the service on its own thread, which ends when the last handle is
    /// dropped.
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

    /// Returns the milliseconds since the Unix epoch; the value never decreases.
    pub fn now_ms(&self) -> u64 {
        now_ms(self.base_ms, self.started_ms)
    }

    /// Waits for `delay_ms` and returns the time of the wake-up.
    pub async fn sleep(&self, delay_ms: u64) -> u64 {
        self.sleep_until(self.now_ms() + delay_ms).await
    }

    /// Waits until `at_ms` and returns the time of the wake-up.
    pub async fn sleep_until(&self, at_ms: u64) -> u64 {
        let (wake, woken) = oneshot::channel();
        let registered = self.register.send(Registration { at_ms, wake });
        match registered {
            Ok(()) => woken.await.unwrap_or(at_ms),
            Err(_) => at_ms,
        }
    }

    /// Waits for `future`, but no longer than `timeout_ms`.
    ///
    /// # Errors
    ///
    /// The timeout expired first.
    pub async fn timeout<F: Future>(
        &self,
        timeout_ms: u64,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            _ = self.sleep(timeout_ms) => Err(Elapsed),
        }
    }

    /// Returns ticks every `period_ms`, starting one period from now. A subscriber
    /// that is more than one period late gets a single tick in place of those that it
    /// missed, and later ticks are counted from that one.
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

/// Returns the milliseconds since the machine started, including the time that it was
/// suspended. A daemon on a VM that was suspended must see that its leases are old,
/// and the monotonic clock excludes that time.
fn since_boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Runs the service until the last handle is dropped.
fn run(base_ms: u64, started_ms: u64, registrations: &mpsc::Receiver<Registration>) {
    let mut deadlines: BinaryHeap<Deadline> = BinaryHeap::new();
    let mut wakes: std::collections::HashMap<u64, oneshot::Sender<u64>> = Default::default();
    let mut last_id = 0;
    loop {
        let now = now_ms(base_ms, started_ms);
        while let Some(&Reverse((at_ms, id))) = deadlines.peek() {
            if at_ms > now {
                break;
            }
            deadlines.pop();
            if let Some(wake) = wakes.remove(&id) {
                // Sending fails if the subscriber has stopped waiting.
                let _ = wake.send(now);
            }
        }
        let wait_ms = deadlines
            .peek()
            .map_or(IDLE_MS, |&Reverse((at_ms, _))| at_ms.saturating_sub(now));
        match registrations.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(registration) => {
                last_id += 1;
                deadlines.push(Reverse((registration.at_ms, last_id)));
                wakes.insert(last_id, registration.wake);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
