//! Connections of HTTP calls: how many are open, which calls get them, and when they are closed.

use fuchsiaslip::network_bytes::BytePurpose;
use fuchsiaslip::platform::{
    CallFailure,
    ConnectionLimits,
    HttpClient,
    Priority, //
};
use fuchsiaslip::timer::Timer;
use futures_util::future::join_all;
use std::io::{
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;

const CONNECTIONS: usize = 3;
const BULK_CONNECTIONS: usize = 2;
const IDLE_MS: u64 = 600;
const TIMEOUT_MS: u64 = 300;
/// Longer than closing a connection takes.
const CLOSING_MS: u64 = 100;

/// What a server has seen.
#[derive(Debug, Default)]
struct Seen {
    open: usize,
    most_open: usize,
    /// The paths of the requests, in the order of their arrival.
    paths: Vec<String>,
}

struct Server {
    address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
}

impl Server {
    /// Starts a server that answers each request after `delay`.
    fn spawn(delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Seen::default()));
        let shared = seen.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, seen) = (stream.expect("a connection"), shared.clone());
                std::thread::spawn(move || {
                    seen.lock().unwrap().open_one();
                    let mut request = [0; 1_024];
                    while let Ok(length @ 1..) = stream.read(&mut request) {
                        let text = String::from_utf8_lossy(&request[..length]).into_owned();
                        let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
                        seen.lock().unwrap().paths.push(path);
                        std::thread::sleep(delay);
                        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                        stream.write_all(answer).ok();
                    }
                    seen.lock().unwrap().open -= 1;
                });
            }
        });
        Self { address, seen }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    fn open(&self) -> usize {
        self.seen.lock().unwrap().open
    }
}

impl Seen {
    fn open_one(&mut self) {
        self.open += 1;
        self.most_open = self.most_open.max(self.open);
    }
}

/// Runs `test` with a client of few connections.
fn with_client<T>(test: impl AsyncFnOnce(HttpClient, Timer) -> T) -> T {
    let limits = ConnectionLimits {
        connections: CONNECTIONS,
        bulk_connections: BULK_CONNECTIONS,
        idle_ms: IDLE_MS,
    };
    actix_rt::System::new().block_on(async move {
        let timer = Timer::spawn().expect("a timer");
        let client = HttpClient::open_with_limits(timer.clone(), limits);
        test(client, timer).await
    })
}

async fn call(client: &HttpClient, url: String, priority: Priority) -> Result<(), CallFailure> {
    let kind = BytePurpose::WorkerOrder;
    let call = client.post_with_priority(kind, url, &[], &(), TIMEOUT_MS, priority);
    call.await.map(|_| ())
}

/// Guards against a daemon that takes all connections of a worker: with a connection for each call
/// in flight, the starts of one job were enough.
#[test]
fn calls_beyond_the_connections_wait_and_are_made_in_order() {
    let server = Server::spawn(Duration::from_millis(2));
    let urls: Vec<String> = (0..100).map(|at| server.url(&at.to_string())).collect();

    let answers = with_client(async |client, _| {
        let calls = urls.iter().cloned();
        join_all(calls.map(|url| call(&client, url, Priority::Bulk))).await
    });

    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    let seen = server.seen.lock().unwrap();
    assert_eq!(seen.most_open, BULK_CONNECTIONS);
    let numbers = seen.paths.iter().map(|path| path[1..].parse().unwrap());
    for (at, number) in numbers.enumerate() {
        let number: usize = number;
        assert!(number.abs_diff(at) < BULK_CONNECTIONS, "{:?}", seen.paths);
    }
}

/// Guards against a stop that waits behind all starts to its worker.
#[test]
fn a_call_of_normal_priority_does_not_wait_behind_bulk_calls() {
    const BULK_CALLS: usize = 20;
    let server = Server::spawn(Duration::from_millis(20));

    with_client(async |client, _| {
        let starts = (0..BULK_CALLS).map(|_| call(&client, server.url("start"), Priority::Bulk));
        let stop = call(&client, server.url("stop"), Priority::Normal);
        let (starts, stop) = futures_util::join!(join_all(starts), stop);
        assert!(starts.iter().all(Result::is_ok), "{starts:?}");
        assert_eq!(stop, Ok(()));
    });

    let paths = &server.seen.lock().unwrap().paths;
    let position = paths.iter().position(|path| path == "/stop");
    assert!(position.is_some_and(|at| at < CONNECTIONS), "{paths:?}");
}

/// Guards against calls that wait for a server that answers nothing, and then count as possibly
/// carried out: their tasks can start elsewhere.
#[test]
fn a_call_that_got_no_connection_was_not_sent() {
    let server = Server::spawn(Duration::from_secs(10));

    let failures = with_client(async |client, _| {
        let calls = (0..2 * CONNECTIONS).map(|_| call(&client, server.url(""), Priority::Normal));
        join_all(calls).await
    });

    let failures: Vec<CallFailure> = failures.into_iter().filter_map(Result::err).collect();
    let (sent, unsent) = failures.split_at(CONNECTIONS);
    assert_eq!(sent, [CallFailure::NoAnswer; CONNECTIONS]);
    assert_eq!(unsent, [CallFailure::NoConnection; CONNECTIONS]);
}

/// Guards against connections that stay open because no further call is made to their server.
#[test]
fn idle_connections_are_closed_without_another_call() {
    let server = Server::spawn(Duration::from_millis(2));

    let (before, after) = with_client(async |client, timer| {
        let calls = (0..CONNECTIONS).map(|_| call(&client, server.url(""), Priority::Normal));
        join_all(calls).await;
        let before = server.open();
        timer.sleep(2 * IDLE_MS).await;
        (before, server.open())
    });

    assert_eq!((before, after), (CONNECTIONS, 0));
}

/// Guards against an owner that keeps its connections when another one owns.
#[test]
fn connections_are_closed_on_request_and_those_in_use_after_their_calls() {
    let server = Server::spawn(Duration::from_millis(50));

    let (during, after) = with_client(async |client, timer| {
        let idle = (0..CONNECTIONS).map(|_| call(&client, server.url(""), Priority::Normal));
        join_all(idle).await;
        let in_use = call(&client, server.url(""), Priority::Normal);
        let close = async {
            client.close_connections();
            timer.sleep(CLOSING_MS / 5).await;
            server.open()
        };
        let (answer, during) = futures_util::join!(in_use, close);
        assert_eq!(answer, Ok(()));
        timer.sleep(CLOSING_MS).await;
        (during, server.open())
    });

    assert!(during > 0, "the call goes on");
    assert_eq!(after, 0);
}
