//! Clients that send parts of requests and keep their connections open.

use super::daemons::path;
use std::io::{
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::time::Duration;

/// The largest body that the daemons accept by default.
pub const BODY_BYTES: usize = 256 << 10;
/// How far from its end a body stops.
const MISSING_BYTES: usize = 8;
const HEAD_BYTES: usize = 120 << 10;
const PIPELINED_QUERIES: usize = 2_000;
const PIECE_BYTES: usize = 16 << 10;
const THREADS: usize = 16;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A client that cannot send any more stays as it is.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
/// Chunks of a byte that a slow client sends between two pauses.
const CHUNKS_PER_PAUSE: usize = 16 << 10;
const PAUSE: Duration = Duration::from_millis(200);

/// Connections that stay open until the value is dropped.
pub struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `size` connections, spread over `addresses`, and sends `request(i)` on the `i`-th.
    pub fn send(
        addresses: &[SocketAddr],
        size: usize,
        request: &(impl Fn(usize) -> Vec<u8> + Sync),
    ) -> Self {
        Self::open(addresses, size, |connections| {
            for (at, stream) in connections {
                // A daemon may close the connection of such a client.
                stream.write_all(&request(*at)).ok();
            }
        })
    }

    /// Like [`Crowd::send`], but all clients send a piece in turn.
    pub fn send_in_pieces(
        addresses: &[SocketAddr],
        size: usize,
        request: &(impl Fn(usize) -> Vec<u8> + Sync),
    ) -> Self {
        Self::open(addresses, size, |connections| {
            for piece in 0..BODY_BYTES.div_ceil(PIECE_BYTES) + 1 {
                for (at, stream) in connections.iter_mut() {
                    if let Some(bytes) = request(*at).chunks(PIECE_BYTES).nth(piece) {
                        stream.write_all(bytes).ok();
                    }
                }
            }
        })
    }

    fn open(
        addresses: &[SocketAddr],
        size: usize,
        send: impl Fn(&mut [(usize, &mut TcpStream)]) + Sync,
    ) -> Self {
        let connect = |at: usize| {
            let address = addresses[at % addresses.len()];
            let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
            Some(stream)
        };
        let mut connections: Vec<TcpStream> = (0..size).filter_map(connect).collect();
        let mut numbered: Vec<_> = connections.iter_mut().enumerate().collect();
        let each = numbered.len().div_ceil(THREADS).max(1);
        std::thread::scope(|scope| {
            for part in numbered.chunks_mut(each) {
                scope.spawn(|| send(part));
            }
        });
        Self { connections }
    }

    /// The number of connections that were opened.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

fn head(at: usize, body: &str) -> String {
    format!(
        "POST {} HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\n\
         content-type: application/json\r\n{body}",
        path(1_000 + at as u64)
    )
}

/// A whole submission whose steps are given, each with a comma behind it.
pub fn submission(at: usize, steps: &str) -> Vec<u8> {
    let body = format!(r#"{{"steps":[{}]}}"#, steps.trim_end_matches(','));
    let length = format!("content-length: {}\r\n\r\n", body.len());
    (head(at, &length) + &body).into_bytes()
}

/// The largest submission, without its end.
pub fn submission_short_of_its_end(at: usize) -> Vec<u8> {
    let length = format!("content-length: {BODY_BYTES}\r\n\r\n");
    let body = " ".repeat(BODY_BYTES - MISSING_BYTES);
    (head(at, &length) + &body).into_bytes()
}

/// A submission with one chunk that does not end.
pub fn one_chunk_without_end(at: usize) -> Vec<u8> {
    let chunk = format!("transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n");
    let body = " ".repeat(BODY_BYTES - MISSING_BYTES);
    (head(at, &chunk) + &body).into_bytes()
}

/// A submission with many chunks of a byte, without the last chunk.
pub fn chunks_without_end(at: usize) -> Vec<u8> {
    let chunks = "1\r\n \r\n".repeat(100_000);
    (head(at, "transfer-encoding: chunked\r\n\r\n") + &chunks).into_bytes()
}

/// A head whose last field does not end.
pub fn head_without_end(at: usize) -> Vec<u8> {
    (head(at, "x-field: ") + &"x".repeat(HEAD_BYTES)).into_bytes()
}

/// Many queries, one after the other; their client does not read the answers.
pub fn query_without_reader(_at: usize) -> Vec<u8> {
    "GET /q/1 HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\n\r\n"
        .repeat(PIPELINED_QUERIES)
        .into_bytes()
}

/// Submits a job with a body of the largest size in chunks of a byte, with pauses, and returns
/// the answer.
pub fn send_largest_body_slowly(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon accepts");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a timeout is set");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Token key\r\nconnection: close\r\n\
         content-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("it is sent");
    let job = r#"{"spec":"100","steps":[{"count":1,"cpu":1000,"estimated_ms":100}]}"#;
    let body = job.to_owned() + &" ".repeat(BODY_BYTES - job.len());
    for bytes in body.as_bytes().chunks(CHUNKS_PER_PAUSE) {
        let chunks: Vec<u8> = bytes
            .iter()
            .flat_map(|&byte| [b'1', b'\r', b'\n', byte, b'\r', b'\n'])
            .collect();
        stream.write_all(&chunks).expect("it is sent");
        std::thread::sleep(PAUSE);
    }
    stream.write_all(b"0\r\n\r\n").expect("it is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}
