//! Counts the bytes that a daemon sends and receives, by what they are for.

/// What bytes on the network are for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BytePurpose {
    /// Reads of single values and of ranges of the store.
    StoreRead,
    /// Watches of the store.
    StoreWatch,
    /// Transactions and leases of the store.
    StoreWrite,
    /// Polls of workers.
    WorkerPoll,
    /// Orders to workers: starts, stops and throttle orders.
    WorkerOrder,
    /// Calls to the platform's machine list and to the external placement policy.
    Other,
    /// Heartbeats between daemons.
    Heartbeat,
    /// Requests and responses between daemons.
    Peer,
    /// Requests of clients.
    Client,
}

/// Whether bytes were sent or received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// Sent by this daemon.
    Out,
    /// Received by this daemon.
    In,
}

/// The line and headers of an HTTP message that the callers do not know, in bytes.
pub const HTTP_HEAD_BYTES: usize = 120;

impl BytePurpose {
    /// Returns its name, which is a label value of metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::StoreRead => "store_read",
            Self::StoreWatch => "store_watch",
            Self::StoreWrite => "store_write",
            Self::WorkerPoll => "worker_poll",
            Self::WorkerOrder => "worker_order",
            Self::Other => "other",
            Self::Heartbeat => "heartbeat",
            Self::Peer => "peer",
            Self::Client => "client",
        }
    }
}

impl Direction {
    fn name(self) -> &'static str {
        match self {
            Self::Out => "out",
            Self::In => "in",
        }
    }
}

/// Counts bytes in `fuchsiaslip_bytes_total`.
pub fn record_bytes(kind: BytePurpose, direction: Direction, bytes: usize) {
    metrics::counter!(
        "fuchsiaslip_bytes_total", "kind" => kind.name(), "direction" => direction.name()
    )
    .increment(bytes as u64);
}
