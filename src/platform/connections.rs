//! Connections of an HTTP client, by origin: how many there are, who gets the next one, and when
//! idle ones are closed.
//!
//! A server takes few connections and shares them among all daemons. One that is cut off or
//! paused cannot close its own, so each daemon opens only a small part of them, and closes what
//! it does not use. The HTTP library closes an idle connection only when another one to the same
//! origin is requested. Each origin therefore has a client of its own, which closes its idle
//! connections when it is dropped.

use crate::timer::Timer;
use awc::Client;
use std::cell::{
    Cell,
    RefCell, //
};
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::{
    Semaphore,
    SemaphorePermit, //
};

/// Longest wait for a connection, unless calls to the origin are being answered meanwhile.
const MAX_STALL_MS: u64 = 200;
/// Longest wait for a connection in any case: less than the time in which a worker accepts a
/// start.
const MAX_WAIT_MS: u64 = 1_000;
/// Idle connections are looked for this many times in the time after which they are closed.
const CHECKS_PER_IDLE_TIME: u64 = 3;

/// Bounds of the connections to one origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Most connections.
    pub connections: usize,
    /// How many of them calls of [`Priority::Bulk`] may take.
    pub bulk_connections: usize,
    /// The connections to an origin are closed this long after its last call.
    pub idle_ms: u64,
}

/// Which connections a call may take. Calls of one priority get them in the order in which they
/// were made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Priority {
    /// Any.
    Normal,
    /// Only [`ConnectionLimits::bulk_connections`], so that calls that are made by the hundred
    /// do not delay others.
    Bulk,
}

/// No connection became free in time; nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoConnection;

struct Origin {
    client: Client,
    connections: Semaphore,
    bulk_connections: Semaphore,
    last_answer_ms: Cell<u64>,
    idle_since_ms: Cell<u64>,
    /// It is closed with its last call.
    is_closing: Cell<bool>,
}

/// The origins that a client has called lately. It stays on one thread.
pub struct Origins {
    limits: ConnectionLimits,
    timer: Timer,
    origins: RefCell<HashMap<String, Rc<Origin>>>,
}

/// A call that has not ended; it holds a place among the connections to its origin.
pub struct CallInProgress<'a> {
    origins: &'a Origins,
    authority: &'a str,
    origin: Rc<Origin>,
}

/// A place for one connection.
pub struct ConnectionPermit<'a> {
    _connection: SemaphorePermit<'a>,
    _bulk_connection: Option<SemaphorePermit<'a>>,
}

impl ConnectionLimits {
    /// Any number of connections.
    pub const UNLIMITED: Self = Self {
        connections: Semaphore::MAX_PERMITS,
        bulk_connections: Semaphore::MAX_PERMITS,
        idle_ms: 15_000,
    };
}

impl Origins {
    /// Creates an empty set and starts the task that closes idle connections, which ends when the
    /// set is dropped.
    pub fn open(timer: Timer, limits: ConnectionLimits) -> Rc<Self> {
        let origins = Rc::new(Self {
            limits,
            timer: timer.clone(),
            origins: RefCell::default(),
        });
        let known = Rc::downgrade(&origins);
        actix_rt::spawn(async move {
            loop {
                let now_ms = timer.sleep(limits.idle_ms / CHECKS_PER_IDLE_TIME).await;
                let Some(origins) = known.upgrade() else {
                    return;
                };
                origins.close_idle_since(now_ms.saturating_sub(limits.idle_ms));
            }
        });
        origins
    }

    /// Begins a call to the origin of an `http` URL.
    pub fn begin<'a>(&'a self, url: &'a str) -> CallInProgress<'a> {
        let authority = authority_of(url);
        let known = self.origins.borrow().get(authority).cloned();
        let origin = known.unwrap_or_else(|| {
            let origin = Rc::new(self.open_origin());
            let mut origins = self.origins.borrow_mut();
            origins.insert(authority.to_owned(), origin.clone());
            origin
        });
        origin.is_closing.set(false);
        CallInProgress {
            origins: self,
            authority,
            origin,
        }
    }

    /// Closes all idle connections now, and the others when their calls have ended.
    pub fn close(&self) {
        let mut origins = self.origins.borrow_mut();
        origins.retain(|_, origin| {
            origin.is_closing.set(true);
            Rc::strong_count(origin) > 1
        });
    }

    fn open_origin(&self) -> Origin {
        // The number of connections is bounded by `connections` instead, since the library does
        // not tell whether a call that timed out was waiting for one.
        let connector = awc::Connector::new().limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Origin {
            client,
            connections: Semaphore::new(self.limits.connections),
            bulk_connections: Semaphore::new(self.limits.bulk_connections),
            last_answer_ms: Cell::new(0),
            idle_since_ms: Cell::new(0),
            is_closing: Cell::new(false),
        }
    }

    fn close_idle_since(&self, idle_since_ms: u64) {
        let is_used = |origin: &Rc<Origin>| {
            Rc::strong_count(origin) > 1 || origin.idle_since_ms.get() > idle_since_ms
        };
        let mut origins = self.origins.borrow_mut();
        origins.retain(|_, origin| is_used(origin));
    }
}

impl CallInProgress<'_> {
    /// Waits for a place among the connections.
    ///
    /// # Errors
    ///
    /// No connection became free in time.
    pub async fn permit(&self, priority: Priority) -> Result<ConnectionPermit<'_>, NoConnection> {
        let timer = &self.origins.timer;
        let origin = &*self.origin;
        let mut acquired = pin!(origin.acquire(priority));
        let began_ms = timer.now_ms();
        loop {
            if let Ok(permit) = timer.timeout(MAX_STALL_MS, &mut acquired).await {
                return permit;
            }
            let now_ms = timer.now_ms();
            let progress_ms = origin.last_answer_ms.get().max(began_ms);
            if now_ms >= progress_ms + MAX_STALL_MS || now_ms >= began_ms + MAX_WAIT_MS {
                return Err(NoConnection);
            }
        }
    }

    /// The client that makes the call.
    pub fn client(&self) -> &Client {
        &self.origin.client
    }

    /// Records that the origin has answered.
    pub fn record_answer(&self) {
        let now_ms = self.origins.timer.now_ms();
        self.origin.last_answer_ms.set(now_ms);
    }
}

impl Drop for CallInProgress<'_> {
    fn drop(&mut self) {
        let now_ms = self.origins.timer.now_ms();
        self.origin.idle_since_ms.set(now_ms);
        // The set and this call are the last that refer to it.
        let is_last = Rc::strong_count(&self.origin) == 2;
        if is_last && self.origin.is_closing.get() {
            self.origins.origins.borrow_mut().remove(self.authority);
        }
    }
}

impl Origin {
    async fn acquire(&self, priority: Priority) -> Result<ConnectionPermit<'_>, NoConnection> {
        let bulk_connection = match priority {
            Priority::Normal => None,
            Priority::Bulk => Some(self.bulk_connections.acquire().await),
        };
        // Neither semaphore is ever closed.
        Ok(ConnectionPermit {
            _bulk_connection: bulk_connection.transpose().map_err(|_| NoConnection)?,
            _connection: self.connections.acquire().await.map_err(|_| NoConnection)?,
        })
    }
}

/// The host and port of an `http` URL.
fn authority_of(url: &str) -> &str {
    const SCHEME: &str = "http://";
    let rest = url.strip_prefix(SCHEME).unwrap_or(url);
    rest.split('/').next().unwrap_or(rest)
}
