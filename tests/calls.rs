//! HTTP calls: the timeout bounds the time without progress, not the total time.

use awc::http::{
    Method,
    StatusCode, //
};
use bytes::Bytes;
use fuchsiaslip::network_bytes::BytePurpose;
use fuchsiaslip::platform::{
    CallFailure,
    HttpClient, //
};
use fuchsiaslip::timer::Timer;
use std::io::{
    Read,
    Write, //
};
use std::net::TcpListener;
use std::time::Duration;

const PIECES: usize = 12;
const PIECE: &[u8] = b"0123456789";
const PAUSE: Duration = Duration::from_millis(60);
/// Timeout of a call. The whole answer takes more than twice as long.
const TIMEOUT_MS: u64 = 300;

/// Starts a server that answers one call and returns its URL. The server announces
/// `PIECES` pieces and sends the first `sent` of them.
fn server(sent: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let read = stream.read(&mut request).expect("a request");
        assert!(read > 0, "the caller closed");
        let length = PIECES * PIECE.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the head is sent");
        for _ in 0..sent {
            std::thread::sleep(PAUSE);
            stream.write_all(PIECE).expect("a piece is sent");
        }
        // The connection stays open until the caller gives up.
        stream.read_to_end(&mut Vec::new()).ok();
    });
    format!("http://{address}/")
}

fn call(url: String) -> Option<(StatusCode, usize)> {
    answer_of(url)
        .ok()
        .map(|(status, body)| (status, body.len()))
}

fn failure_of(url: String) -> Option<CallFailure> {
    answer_of(url).err()
}

fn answer_of(url: String) -> Result<(StatusCode, Bytes), CallFailure> {
    let timer = Timer::spawn().expect("a timer");
    actix_rt::System::new().block_on(async move {
        let client = HttpClient::open(timer);
        let kind = BytePurpose::StoreRead;
        let call = client.call(kind, Method::GET, url, &[], None, TIMEOUT_MS);
        call.await
    })
}

/// Guards against treating such a call as never sent. The HTTP library reports a
/// connection that closes before the answer like one that was never opened. A job was
/// refused for that reason although the store had executed its write, and the job ran.
#[test]
fn a_call_whose_connection_closes_before_the_answer_may_have_been_carried_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).expect("a request") > 0);
    });

    let failure = failure_of(format!("http://{address}/"));

    assert_eq!(failure, Some(CallFailure::NoAnswer));
}

#[test]
fn a_call_that_found_no_listener_was_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);

    let failure = failure_of(format!("http://{address}/"));

    assert_eq!(failure, Some(CallFailure::NotSent));
}

/// Guards against a timeout on the whole call. On links of 10 Mbit/s the configuration,
/// half a megabyte, took longer than the timeout: daemons aborted and repeated the call forever,
/// and answered 404 for queues that existed.
#[test]
fn an_answer_that_keeps_arriving_may_take_longer_than_the_timeout() {
    let answer = call(server(PIECES));

    assert_eq!(answer, Some((StatusCode::OK, PIECES * PIECE.len())));
}

#[test]
fn an_answer_that_stops_arriving_is_given_up() {
    let answer = call(server(PIECES / 2));

    assert_eq!(answer, None);
}
