//! The connections of one listener: who gets a place, and who is told to go.

use super::connection::ConnectionHandle;
use super::connection_table::{
    ConnectionTable,
    Eviction,
    Phase, //
};
use super::{
    ConnectionKey,
    IntakeLimits, //
};
use crate::events;
use crate::timer::Timer;
use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::HashMap;
use std::future::Future;
use std::rc::{
    Rc,
    Weak, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::Notify;

/// How often a connection that arrives looks for a place.
const PLACE_CHECK_MS: u64 = 20;
/// Delay after the operating system had no descriptor for a connection.
const ACCEPT_RETRY_MS: u64 = 20;
/// How often bodies that pause are looked for.
const SWEEP_INTERVAL_MS: u64 = 5_000;
/// Shortest time between two log lines about connections that were given up.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The connections of a listener, used from one thread.
#[derive(Clone)]
pub struct Intake {
    shared: Rc<Shared>,
}

/// What the connections of a listener share.
pub(super) struct Shared {
    /// The listener, as counters name it.
    name: &'static str,
    timer: Timer,
    table: RefCell<ConnectionTable>,
    handles: RefCell<HashMap<ConnectionKey, ConnectionHandle>>,
    place_freed: Notify,
    /// Connections that wait for a place.
    waiting: Cell<usize>,
    /// Evictions since the last log line, and when that was written.
    unlogged: Cell<u64>,
    logged_ms: Cell<u64>,
}

impl Shared {
    /// Changes the table, and tells the connections that have to go.
    pub(super) fn change<R>(&self, change: impl FnOnce(&mut ConnectionTable, u64) -> R) -> R {
        let now_ms = self.timer.now_ms();
        let mut table = self.table.borrow_mut();
        let result = change(&mut table, now_ms);
        if table.has_evictions() {
            let evictions = table.take_evictions();
            drop(table);
            self.tell(&evictions, now_ms);
        }
        result
    }

    pub(super) fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        self.table.borrow().phase(key)
    }

    /// Whether connections wait for a place.
    pub(super) fn is_crowded(&self) -> bool {
        self.waiting.get() > 0
    }

    fn tell(&self, evictions: &[(ConnectionKey, Eviction)], now_ms: u64) {
        let handles = self.handles.borrow();
        for (key, reason) in evictions {
            metrics::counter!(
                "fuchsiaslip_evictions_total",
                "listener" => self.name,
                "reason" => reason.name()
            )
            .increment(1);
            if let Some(handle) = handles.get(key) {
                handle.evict(*reason);
            }
        }
        self.unlogged
            .set(self.unlogged.get() + evictions.len() as u64);
        self.log_evictions(now_ms);
    }

    fn log_evictions(&self, now_ms: u64) {
        if self.unlogged.get() == 0 || now_ms < self.logged_ms.get() + LOG_INTERVAL_MS {
            return;
        }
        let table = self.table.borrow();
        events::log(
            events::CONNECTIONS_EVICTED,
            format_args!(
                "listener {} evicted {} connections {} request_bytes {}",
                self.name,
                self.unlogged.replace(0),
                table.len(),
                table.charged_bytes()
            ),
        );
        self.logged_ms.set(now_ms);
    }

    fn record_size(&self) {
        let table = self.table.borrow();
        metrics::gauge!("fuchsiaslip_connections", "listener" => self.name).set(table.len() as f64);
    }
}

impl Intake {
    /// Creates the table of a listener and looks after its connections. `name` stands in
    /// counters and log lines.
    pub fn open(name: &'static str, limits: IntakeLimits, timer: &Timer) -> Self {
        let shared = Rc::new(Shared {
            name,
            timer: timer.clone(),
            table: RefCell::new(ConnectionTable::open(limits)),
            handles: RefCell::default(),
            place_freed: Notify::new(),
            waiting: Cell::default(),
            unlogged: Cell::default(),
            logged_ms: Cell::default(),
        });
        actix_rt::spawn(sweep(Rc::downgrade(&shared), timer.clone()));
        Self { shared }
    }

    /// Accepts a connection.
    pub async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Err(error) = stream.set_nodelay(true) {
                        log::debug!("cannot set TCP_NODELAY: {error}");
                    }
                    return stream;
                }
                Err(error) => {
                    // For example, out of file descriptors. Trying again at once would keep
                    // the processor from the open connections.
                    log::debug!("cannot accept a connection: {error}");
                    metrics::counter!(
                        "fuchsiaslip_accept_failures_total",
                        "listener" => self.shared.name
                    )
                    .increment(1);
                    self.shared.timer.sleep(ACCEPT_RETRY_MS).await;
                }
            }
        }
    }

    /// Waits for a place for a connection. Connections that make no progress are closed for it.
    pub async fn admit(&self) -> Admission {
        let shared = &self.shared;
        loop {
            if let Some(key) = shared.change(ConnectionTable::accept) {
                let handle = ConnectionHandle::open(key, shared.clone());
                shared.handles.borrow_mut().insert(key, handle.clone());
                shared.record_size();
                return Admission {
                    intake: shared.clone(),
                    key,
                    handle,
                };
            }
            shared.change(ConnectionTable::make_place);
            let _waiting = Waiting::begin(&shared.waiting);
            let freed = shared.place_freed.notified();
            // Either way, the table is asked again.
            shared.timer.timeout(PLACE_CHECK_MS, freed).await.ok();
        }
    }

    /// Refuses all requests whose bodies are incomplete, because the process is about to exit.
    pub fn refuse_bodies(&self) {
        self.shared
            .change(|table, _| table.refuse_bodies(Eviction::Draining));
    }
}

/// Counts a connection that waits for a place until it is dropped.
struct Waiting<'a> {
    waiting: &'a Cell<usize>,
}

impl<'a> Waiting<'a> {
    fn begin(waiting: &'a Cell<usize>) -> Self {
        waiting.update(|count| count + 1);
        Self { waiting }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.waiting.update(|count| count - 1);
    }
}

/// The place of a connection; it is free again when the value is dropped.
pub struct Admission {
    intake: Rc<Shared>,
    key: ConnectionKey,
    handle: ConnectionHandle,
}

impl Admission {
    /// The connection.
    pub fn connection(&self) -> &ConnectionHandle {
        &self.handle
    }

    /// Serves the connection with `serving` until that ends or the connection has to go; `None`
    /// in the latter case.
    pub async fn run<F: Future>(&self, serving: F) -> Option<F::Output> {
        self.handle.run(serving).await
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.intake.handles.borrow_mut().remove(&self.key);
        self.intake.change(|table, _| table.close(self.key));
        self.intake.record_size();
        self.intake.place_freed.notify_one();
    }
}

async fn sweep(intake: Weak<Shared>, timer: Timer) {
    let mut ticks = timer.interval(SWEEP_INTERVAL_MS);
    loop {
        let now_ms = ticks.next().await;
        let Some(intake) = intake.upgrade() else {
            return;
        };
        intake.change(ConnectionTable::sweep);
        intake.log_evictions(now_ms);
    }
}
