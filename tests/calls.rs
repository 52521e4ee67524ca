//! Calls over HTTP: bounds on silence, not on size.

use awc::http::{
    Method,
    StatusCode, //
};
use fuchsiaslip::platform::HttpClient;
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
    let timer = Timer::spawn().expect("a timer");
    actix_rt::System::new().block_on(async move {
        let client = HttpClient::open(timer);
        let answer = client.call(Method::GET, url, &[], None, LIMIT_MS).await;
        answer.ok().map(|(status, body)| (status, body.len()))
    })
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
