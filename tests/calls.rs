//! Calls over HTTP: bounds on silence, not on size.

use awc::http::{
    Method,
    StatusCode, //
};
use bytes::Bytes;
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
/// Bound on the beginning of an answer; the whole takes more than twice that.
const LIMIT_MS: u64 = 300;

/// Answers one call with so many of the pieces that it announces.
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
        client.call(Method::GET, url, &[], None, LIMIT_MS).await
    })
}

/// A job that was refused ran all the same: the store had carried its writing
/// out, and the connection was closed before the answer. The library reports
/// that like a connection that was never opened.
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

/// Daemons on links of 10 Mbit/s answered 404 for queues that were there: the
/// configuration, half a megabyte, took longer than the bound of a call, was
/// cut and asked for anew for ever.
#[test]
fn an_answer_that_goes_on_coming_may_take_long() {
    let answer = call(server(PIECES));

    assert_eq!(answer, Some((StatusCode::OK, PIECES * PIECE.len())));
}

#[test]
fn an_answer_that_stands_still_is_given_up() {
    let answer = call(server(PIECES / 2));

    assert_eq!(answer, None);
}
