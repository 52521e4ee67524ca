//! Decides which connections stay: the places and bytes that connections hold, and who has to
//! go when they run out.

use super::IntakeLimits;
use crate::core::{
    Arena,
    ArenaKey, //
};

/// Part of the connections whose requests may take bytes of the budget; the rest is left to
/// ordinary requests.
const LARGE_REQUEST_SHARE: usize = 2;
/// Bytes of a request that the budget does not count: a request of ordinary size needs no more,
/// so it is served whatever others hold.
pub const REQUEST_ALLOWANCE_BYTES: usize = 8 << 10;
/// A request that receives fewer bytes than this within `STALL_MS` makes no progress.
const PROGRESS_BYTES: usize = 1 << 10;
/// How long a request may make no progress before it is given up for others.
const STALL_MS: u64 = 500;
/// How long a request that makes progress may take to arrive before it is given up for others.
const SLOW_MS: u64 = 10_000;
/// How long a new connection may send nothing before it is closed for others.
const UNUSED_MS: u64 = 50;
/// The same for a connection on which requests were answered.
const IDLE_MS: u64 = 2_000;
/// How long a refused client has to read its answer.
pub(super) const LINGER_MS: u64 = 300;
/// How long nothing of a body may arrive when nobody else needs what it holds.
const BODY_PAUSE_MS: u64 = 30_000;

/// Key of a connection.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConnectionKey {
    index: u32,
    generation: u32,
}

impl ArenaKey for ConnectionKey {
    fn new(index: u32, generation: u32) -> Self {
        Self { index, generation }
    }

    fn index(self) -> u32 {
        self.index
    }

    fn generation(self) -> u32 {
        self.generation
    }
}

/// There are no bytes left for a request, and nobody to take them from.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the memory for requests is in use; try again later")]
pub struct Exhausted;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It waits for a request, or for the rest of a request's head.
    Head,
    /// It waits for the rest of a request's body.
    Body,
    /// Its request is being answered.
    Answer,
    /// It has an answer to a request that did not arrive whole, and is about to be closed.
    Closing,
}

/// Why a connection or its request is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eviction {
    /// Others need its place or its bytes.
    MadeNoProgress,
    /// Its body paused for too long.
    Paused,
    /// The process is about to exit.
    Draining,
}

impl Eviction {
    /// The reason as counters name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::MadeNoProgress => "made_no_progress",
            Self::Paused => "paused",
            Self::Draining => "draining",
        }
    }
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    phase_began_ms: u64,
    /// Bytes read that may still be in the buffer of the HTTP library.
    unparsed_bytes: usize,
    /// Bytes of them that were read since the last request began.
    head_bytes: usize,
    /// Bytes that the budget counts for the request.
    charged_bytes: usize,
    /// When it last made progress, and the bytes received since.
    progress_ms: u64,
    bytes_since_progress: usize,
    /// When bytes last arrived.
    received_ms: u64,
    /// Whether a request was answered on it.
    was_used: bool,
    /// Whether its request or itself is being given up.
    is_evicted: bool,
}

impl Connection {
    fn open(now_ms: u64) -> Self {
        Self {
            phase: Phase::Head,
            phase_began_ms: now_ms,
            unparsed_bytes: 0,
            head_bytes: 0,
            charged_bytes: 0,
            progress_ms: now_ms,
            bytes_since_progress: 0,
            received_ms: now_ms,
            was_used: false,
            is_evicted: false,
        }
    }

    fn enter(&mut self, phase: Phase, now_ms: u64) {
        self.phase = phase;
        self.phase_began_ms = now_ms;
        self.progress_ms = now_ms;
        self.bytes_since_progress = 0;
    }

    fn record_progress(&mut self, bytes: usize, now_ms: u64) {
        self.bytes_since_progress += bytes;
        if self.bytes_since_progress >= PROGRESS_BYTES {
            self.bytes_since_progress = 0;
            self.progress_ms = now_ms;
        }
    }

    /// In which order the connection is given up for others, the lowest first; `None` if it is
    /// not given up.
    fn eviction_rank(&self, now_ms: u64) -> Option<(u8, u64)> {
        let has_waited = |since_ms: u64, wait_ms: u64| now_ms >= since_ms + wait_ms;
        match self.phase {
            Phase::Closing if has_waited(self.phase_began_ms, LINGER_MS) => {
                Some((0, self.phase_began_ms))
            }
            _ if self.is_evicted => None,
            Phase::Answer | Phase::Closing => None,
            Phase::Head if self.head_bytes == 0 && self.was_used => {
                has_waited(self.phase_began_ms, IDLE_MS).then_some((4, self.phase_began_ms))
            }
            Phase::Head if self.head_bytes == 0 => {
                has_waited(self.phase_began_ms, UNUSED_MS).then_some((2, self.phase_began_ms))
            }
            Phase::Head | Phase::Body if has_waited(self.progress_ms, STALL_MS) => {
                Some((1, self.progress_ms))
            }
            Phase::Head | Phase::Body => {
                has_waited(self.phase_began_ms, SLOW_MS).then_some((3, self.phase_began_ms))
            }
        }
    }
}

/// The connections of one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: IntakeLimits,
    connections: Arena<Connection, ConnectionKey>,
    charged_bytes: usize,
    /// Evictions that are to be carried out.
    evictions: Vec<(ConnectionKey, Eviction)>,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn open(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: Arena::default(),
            charged_bytes: 0,
            evictions: Vec::new(),
        }
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Bytes that the budget counts for all requests.
    pub fn charged_bytes(&self) -> usize {
        self.charged_bytes
    }

    /// What the connection does; `None` if it was closed.
    pub fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        self.connections.get(key).map(|connection| connection.phase)
    }

    /// Whether evictions were decided on since the last call of [`Self::take_evictions`].
    pub fn has_evictions(&self) -> bool {
        !self.evictions.is_empty()
    }

    /// The evictions that were decided on since the last call.
    pub fn take_evictions(&mut self) -> Vec<(ConnectionKey, Eviction)> {
        std::mem::take(&mut self.evictions)
    }

    /// Adds a connection; `None` if there is no place.
    pub fn accept(&mut self, now_ms: u64) -> Option<ConnectionKey> {
        let has_place = self.connections.len() < self.limits.connections;
        has_place.then(|| self.connections.insert(Connection::open(now_ms)))
    }

    /// Gives up the connection that makes least progress, unless one is about to be closed.
    pub fn make_place(&mut self, now_ms: u64) {
        let all = self.connections.iter();
        let leaving = all
            .filter(|(_, connection)| connection.is_evicted || connection.phase == Phase::Closing);
        let staying = self.connections.len() - leaving.count();
        let overdue = self.victim(now_ms, |connection| connection.phase == Phase::Closing);
        let victim = match overdue {
            None if staying >= self.limits.connections => self.victim(now_ms, |_| true),
            overdue => overdue,
        };
        if let Some(victim) = victim {
            self.evict(victim, Eviction::MadeNoProgress);
        }
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.charged_bytes -= connection.charged_bytes;
        }
    }

    /// Records that bytes were read from a connection.
    ///
    /// # Errors
    ///
    /// They are of a head, and there are no bytes left for it.
    pub fn record_read(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now_ms: u64,
    ) -> Result<(), Exhausted> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        connection.received_ms = now_ms;
        if connection.phase != Phase::Head {
            return Ok(());
        }
        if connection.head_bytes == 0 {
            connection.enter(Phase::Head, now_ms);
        }
        connection.record_progress(bytes, now_ms);
        connection.head_bytes += bytes;
        connection.unparsed_bytes += bytes;
        self.hold(key, 0, now_ms)
    }

    /// Records that all bytes of a connection were read. If it waits for a head, all earlier
    /// requests were parsed.
    pub fn record_all_read(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.phase == Phase::Head
        {
            connection.unparsed_bytes = connection.head_bytes;
        }
    }

    /// Records that a request's head is whole.
    pub fn begin_request(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.head_bytes = 0;
            connection.enter(Phase::Answer, now_ms);
        }
    }

    /// Records that a request's body is being read.
    pub fn begin_body(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.enter(Phase::Body, now_ms);
        }
    }

    /// Records that bytes of a body arrived.
    pub fn record_body(&mut self, key: ConnectionKey, bytes: usize, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.record_progress(bytes, now_ms);
        }
    }

    /// Records that a request's body is whole.
    pub fn end_body(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.enter(Phase::Answer, now_ms);
        }
    }

    /// Records that a request was answered. A connection with an unread body is closed, since
    /// what follows on it cannot be told from the body.
    pub fn end_request(&mut self, key: ConnectionKey, has_unread_body: bool, now_ms: u64) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        self.charged_bytes -= connection.charged_bytes;
        connection.charged_bytes = 0;
        connection.was_used = true;
        connection.is_evicted = has_unread_body && connection.is_evicted;
        let next = match has_unread_body {
            true => Phase::Closing,
            false => Phase::Head,
        };
        connection.enter(next, now_ms);
    }

    /// Gives up all requests whose bodies are incomplete.
    pub fn refuse_bodies(&mut self, reason: Eviction) {
        let reading = self.keys_where(|connection| connection.phase == Phase::Body);
        for key in reading {
            self.evict(key, reason);
        }
    }

    /// Gives up requests whose bodies paused for too long, and closes connections whose refused
    /// clients have had the time to read their answers.
    pub fn sweep(&mut self, now_ms: u64) {
        let paused = self.keys_where(|connection| {
            connection.phase == Phase::Body && now_ms >= connection.received_ms + BODY_PAUSE_MS
        });
        for key in paused {
            self.evict(key, Eviction::Paused);
        }
        let overdue = self.keys_where(|connection| {
            let is_closing = connection.phase == Phase::Closing;
            is_closing && connection.eviction_rank(now_ms).is_some()
        });
        for key in overdue {
            self.evict(key, Eviction::MadeNoProgress);
        }
    }

    fn keys_where(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<ConnectionKey> {
        let all = self.connections.iter();
        all.filter(|(_, connection)| !connection.is_evicted || connection.phase == Phase::Closing)
            .filter(|(_, connection)| predicate(connection))
            .map(|(key, _)| key)
            .collect()
    }

    /// Sets how many bytes are held for a connection's request, beside its head.
    ///
    /// # Errors
    ///
    /// There are not that many bytes left. Nothing is changed then.
    pub fn hold(&mut self, key: ConnectionKey, bytes: usize, now_ms: u64) -> Result<(), Exhausted> {
        loop {
            let Some(connection) = self.connections.get(key) else {
                return Ok(());
            };
            if connection.is_evicted {
                return Err(Exhausted);
            }
            let held_bytes = connection.unparsed_bytes + bytes;
            let charged_bytes = held_bytes.saturating_sub(REQUEST_ALLOWANCE_BYTES);
            let charged_before = connection.charged_bytes;
            let others = self.charged_bytes - charged_before;
            let has_place = charged_before > 0 || self.has_place_for_large_request();
            if charged_bytes <= charged_before
                || (has_place && others + charged_bytes <= self.limits.request_bytes)
            {
                self.charged_bytes = others + charged_bytes;
                if let Some(connection) = self.connections.get_mut(key) {
                    connection.charged_bytes = charged_bytes;
                }
                return Ok(());
            }
            let victim = self.victim(now_ms, |other| other.charged_bytes > 0);
            match victim {
                Some(victim) if victim != key => self.evict(victim, Eviction::MadeNoProgress),
                _ => return Err(Exhausted),
            }
        }
    }

    fn has_place_for_large_request(&self) -> bool {
        let all = self.connections.iter();
        let large = all.filter(|(_, connection)| connection.charged_bytes > 0);
        large.count() < self.limits.connections.div_ceil(LARGE_REQUEST_SHARE)
    }

    fn victim(
        &self,
        now_ms: u64,
        predicate: impl Fn(&Connection) -> bool,
    ) -> Option<ConnectionKey> {
        let candidates = self.connections.iter();
        let candidates = candidates.filter(|(_, connection)| predicate(connection));
        let ranked = candidates.filter_map(|(key, connection)| {
            let rank = connection.eviction_rank(now_ms)?;
            Some((rank, key))
        });
        ranked.min_by_key(|(rank, _)| *rank).map(|(_, key)| key)
    }

    /// The bytes are given back at once: the buffer is dropped as soon as its reader runs.
    fn evict(&mut self, key: ConnectionKey, reason: Eviction) {
        if let Some(connection) = self.connections.get_mut(key) {
            self.charged_bytes -= connection.charged_bytes;
            connection.charged_bytes = 0;
            connection.is_evicted = true;
            self.evictions.push((key, reason));
        }
    }
}
