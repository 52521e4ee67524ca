//! Bounds on what clients can make a process hold.

/// Part of a machine's memory that clients can take; the rest is left to the scheduler, whose
/// needs docs/CAPACITY.md has.
const CLIENT_SHARE: u64 = 2;
/// Part of that memory that connections can take; the rest is left to requests.
const CONNECTION_SHARE: u64 = 2;
/// What a connection takes at most: the buffers of the HTTP library and of the operating
/// system, and the part of a request that the budget does not count.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the sockets that clients can take; the rest is left to the process's own calls.
const SOCKET_SHARE: u64 = 4;
/// Fewest connections, however small the machine.
const MIN_CONNECTIONS: u64 = 16;
/// Connections of a listener that only the operators' tools use.
const TOOL_CONNECTIONS: usize = 32;
/// Most connections of peers where the descriptors are not bounded.
const MAX_PEERS: u64 = 16 << 10;

fn socket_share(descriptors: u64) -> u64 {
    descriptors.saturating_sub(FILE_DESCRIPTORS) / SOCKET_SHARE
}

/// Bounds on the connections of one listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Most connections at a time.
    pub connections: usize,
    /// Most bytes of requests, beyond the allowance of each connection.
    pub request_bytes: usize,
}

impl IntakeLimits {
    /// The bounds for the clients of a process on a machine with `memory_bytes` of memory, whose
    /// processes may open `descriptors`.
    pub fn of_machine(memory_bytes: u64, descriptors: u64) -> Self {
        let client_bytes = memory_bytes / CLIENT_SHARE;
        let connection_bytes = client_bytes / CONNECTION_SHARE;
        let by_memory = connection_bytes / CONNECTION_BYTES;
        let connections = by_memory.min(socket_share(descriptors));
        Self {
            connections: connections.max(MIN_CONNECTIONS) as usize,
            request_bytes: (client_bytes - connection_bytes) as usize,
        }
    }

    /// The bounds for the peers of a process that may open `descriptors`. A peer is not a client,
    /// so what it sends is bounded by its messages alone.
    pub fn for_peers(descriptors: u64) -> Self {
        let connections = socket_share(descriptors).clamp(MIN_CONNECTIONS, MAX_PEERS);
        Self {
            connections: connections as usize,
            request_bytes: 0,
        }
    }

    /// The bounds for a listener that only the operators' tools use, whose requests have no
    /// bodies.
    pub fn for_tools() -> Self {
        Self {
            connections: TOOL_CONNECTIONS,
            request_bytes: 0,
        }
    }

    /// The bounds for each of several threads that share a listener.
    pub fn divided_by(self, threads: usize) -> Self {
        Self {
            connections: (self.connections / threads).max(1),
            request_bytes: self.request_bytes / threads,
        }
    }
}
