//! Answers of the platform and of workers that are nested very deep or have numbers out of range.

use fuchsiaslip::cluster::{
    AddressedCall,
    WatchResult,
    WorkerAnswer,
    WorkerCall, //
};
use fuchsiaslip::platform::{
    HttpClient,
    MachineClient,
    StoreClient,
    WorkerClient, //
};
use fuchsiaslip::scheduler::CallOutcome;
use fuchsiaslip::timer::Timer;
use std::io::{
    Read,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};

/// Levels that a stack of some megabytes does not hold.
const LEVELS: usize = 500_000;

/// Starts a server that answers one call with `body`.
fn server(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 4_096];
        assert!(stream.read(&mut request).expect("a request") > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).expect("the head is sent");
        stream.write_all(body.as_bytes()).ok();
    });
    address
}

/// What a call returns that is answered with `body`.
fn answered<T>(body: &str, call: impl AsyncFnOnce(HttpClient, String) -> T) -> T {
    let address = server(body.to_owned()).to_string();
    actix_rt::System::new().block_on(async move {
        let timer = Timer::spawn().expect("a timer");
        call(HttpClient::open(timer), address).await
    })
}

/// Whether the range, the watch, the list of machines and the poll whose answers have `field` with
/// `value` beside the usual fields can be decoded.
fn decoded_with(field: &str, value: &str) -> [bool; 4] {
    let with = |usual: &str| format!("{{\"{field}\":{value},{usual}}}");
    let range = answered(
        &with("\"current_rev\":7,\"has_more\":false"),
        async |http, address| {
            StoreClient::new(http, &address)
                .range("servers/", true)
                .await
        },
    );
    let watch = answered(&with("\"current_rev\":7"), async |http, address| {
        StoreClient::new(http, &address)
            .watch("servers/", 6, 0)
            .await
    });
    let machines = answered(&with("\"state\":0"), async |http, address| {
        MachineClient::new(http, &address, "d0").list().await
    });
    let poll = answered(&with("\"clock_ms\":7"), async |_, address| {
        let timer = Timer::spawn().expect("a timer");
        let call = AddressedCall {
            epoch: 1,
            address: address.into(),
            worker_name: "w0".into(),
            call: WorkerCall::Poll {
                last_seen: 0,
                lease_end_ms: None,
                wait_ms: 0,
            },
        };
        WorkerClient::open(timer).call(&call).await
    });
    let watched = matches!(watch, Ok(WatchResult::Changes { .. }));
    let polled = match poll {
        WorkerAnswer::Report(_) => true,
        WorkerAnswer::Outcome(outcome) => {
            assert_eq!(outcome, CallOutcome::NoAnswer);
            false
        }
    };
    [range.is_ok(), watched, machines.is_ok(), polled]
}

fn deep_values() -> [String; 3] {
    [("[", "]"), ("{\"a\":", "}"), ("[{\"a\":", "}]")]
        .map(|(open, close)| format!("{}0{}", open.repeat(LEVELS / 2), close.repeat(LEVELS / 2)))
}

/// Guards against a stack that overflows on an answer, which ends the process.
#[test]
fn a_very_deep_field_that_is_ignored_changes_nothing() {
    for value in deep_values() {
        assert_eq!(decoded_with("introduced_later", &value), [true; 4]);
    }
}

/// Guards against the same in fields that are used: the answer counts as none.
#[test]
fn an_answer_with_a_very_deep_field_is_refused() {
    for value in deep_values() {
        for (at, field) in [(0, "items"), (1, "events"), (2, "machines"), (3, "running")] {
            assert!(!decoded_with(field, &value)[at], "{field}");
        }
        assert!(!decoded_with("next_page_token", &value)[2]);
        assert!(!decoded_with("finished", &value)[3]);
    }
}

#[test]
fn an_ignored_number_out_of_range_changes_nothing() {
    for number in ["1e400", "-1e400", "18446744073709551616", "-1"] {
        assert_eq!(decoded_with("introduced_later", number), [true; 4]);
    }
}
