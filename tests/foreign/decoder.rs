//! Decoding of workers' entries: which are valid, and what they say.

use fuchsiaslip::platform::decode_worker;
use fuchsiaslip::scheduler::{
    Resources,
    WorkerInfo, //
};
use serde_json::{
    Value,
    json, //
};

const WORKER_NAME: &str = "i-7f3a91c2";

/// An entry as workers write it.
fn entry() -> Value {
    json!({
        "service": "huvo11a", "address": "10.128.0.9:8080", "zone": "zg-dubrava",
        "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
        "capacity": { "cpu": 16000, "mem_mb": 32768, "gpu": 0 },
        "labels": ["a", "r1-3"], "clock_ms": 482113, "sequence": 4,
    })
}

fn with(field: &str, value: Value) -> Value {
    let mut entry = entry();
    entry[field] = value;
    entry
}

fn without(field: &str) -> Value {
    let mut entry = entry();
    entry.as_object_mut().expect("an object").remove(field);
    entry
}

fn decode(entry: &Value) -> Option<WorkerInfo> {
    decode_bytes(entry.to_string().as_bytes())
}

fn decode_bytes(value: &[u8]) -> Option<WorkerInfo> {
    decode_worker(WORKER_NAME, value).ok()
}

#[test]
fn an_entry_as_workers_write_it_is_decoded() {
    let info = decode(&entry()).expect("it names a worker");

    let expected = WorkerInfo {
        worker_name: WORKER_NAME.to_owned(),
        address: "10.128.0.9:8080".to_owned(),
        service: "huvo11a".to_owned(),
        data_centre: "zg-dubrava".to_owned(),
        labels: vec!["a".to_owned(), "r1-3".to_owned()],
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mb: 32_768,
            accelerators: 0,
        },
        incarnation_start_ms: None,
        draining: false,
        remaining_ms: None,
    };
    assert_eq!(info, expected);
}

#[test]
fn optional_fields_have_defaults() {
    for field in [
        "version",
        "slots",
        "cold_remaining_ms",
        "clock_ms",
        "sequence",
    ] {
        assert!(decode(&without(field)).is_some(), "without {field}");
    }
    let no_accelerators = with("capacity", json!({ "cpu": 16000, "mem_mb": 32768 }));
    assert_eq!(decode(&no_accelerators), decode(&entry()));
    let more = with(
        "introduced_later",
        json!({ "by": ["a", "newer", "version"] }),
    );
    assert_eq!(decode(&more), decode(&entry()));
    let address = with("address", json!("[fd00::9]:8080"));
    assert!(decode(&address).is_some(), "an IPv6 address");
}

#[test]
fn a_draining_entry_says_how_long_its_worker_stays() {
    let mut draining = with("state", json!("draining"));
    assert_eq!(decode(&draining).and_then(|info| info.remaining_ms), None);
    draining["remaining_ms"] = json!(2_000.5);

    let info = decode(&draining).expect("it names a worker");

    assert!(info.draining);
    assert_eq!(info.remaining_ms, Some(2_000));
}

#[test]
fn an_entry_says_when_its_incarnation_started() {
    let info = decode(&with("born", json!(1_764_749_000_123_u64))).expect("it names a worker");

    assert_eq!(info.incarnation_start_ms, Some(1_764_749_000_123));
    for born in [
        json!(null),
        json!(1.5),
        json!(-1),
        json!("1"),
        json!(1u64 << 60),
    ] {
        assert_eq!(decode(&with("born", born.clone())), None, "{born}");
    }
}

#[test]
fn an_entry_that_lacks_a_field_is_invalid() {
    for field in ["service", "address", "zone", "state", "capacity", "labels"] {
        assert_eq!(decode(&without(field)), None, "without {field}");
    }
    for capacity in [json!({}), json!({ "cpu": 1000 }), json!({ "mem_mb": 1000 })] {
        assert_eq!(
            decode(&with("capacity", capacity.clone())),
            None,
            "{capacity}"
        );
    }
}

#[test]
fn a_field_of_another_type_is_invalid() {
    let texts = ["service", "address", "zone", "state", "version"];
    let others = [
        json!(null),
        json!(7),
        json!(true),
        json!([]),
        json!(["ready"]),
        json!({}),
    ];
    for field in texts {
        for value in &others {
            assert_eq!(
                decode(&with(field, value.clone())),
                None,
                "{field}: {value}"
            );
        }
    }
    let not_numbers = [
        json!(null),
        json!("8"),
        json!("NaN"),
        json!(true),
        json!([8]),
        json!({}),
        json!(-1),
        json!(1e300),
    ];
    for field in ["slots", "cold_remaining_ms", "sequence", "remaining_ms"] {
        for value in &not_numbers {
            assert_eq!(
                decode(&with(field, value.clone())),
                None,
                "{field}: {value}"
            );
        }
    }
    for field in ["cpu", "mem_mb", "gpu"] {
        for value in not_numbers.iter().chain(&[json!(1.5), json!(u32::MAX)]) {
            let mut entry = entry();
            entry["capacity"][field] = value.clone();
            assert_eq!(decode(&entry), None, "{field}: {value}");
        }
    }
    for value in [
        json!(null),
        json!(7),
        json!([16000, 32768, 0]),
        json!("all"),
    ] {
        assert_eq!(decode(&with("capacity", value.clone())), None, "{value}");
    }
    for value in [
        json!(null),
        json!("r1-3"),
        json!([1, 2]),
        json!(["a", null]),
        json!({}),
    ] {
        assert_eq!(decode(&with("labels", value.clone())), None, "{value}");
    }
}

#[test]
fn an_unknown_state_or_a_malformed_text_is_invalid() {
    for state in ["", "Ready", "READY", " ready", "ready ", "down", "failing"] {
        assert_eq!(decode(&with("state", json!(state))), None, "{state:?}");
    }
    for text in ["", " ", "a\u{0}b", "a\nb"] {
        assert_eq!(decode(&with("service", json!(text))), None, "{text:?}");
        assert_eq!(decode(&with("zone", json!(text))), None, "{text:?}");
    }
    assert_eq!(decode(&with("service", json!("s".repeat(5_000)))), None);
}

#[test]
fn an_address_that_cannot_be_called_is_invalid() {
    for address in [
        "",
        "10.128.0.9",
        "10.128.0.9:",
        "10.128.0.9:0",
        "10.128.0.9:65536",
        "10.128.0.9:99999",
        "10.128.0.9:99999999999",
        "10.128.0.9:8080:8080",
        "[fd00::9]",
        "[fd00::9]:",
        "[fd00::9]:0",
        "[fd00::9]:65536",
        "fd00::9:8080",
        "10.128.0.9:-1",
        "10.128.0.256:80",
        "0.0.0.0:8080",
        "[::]:8080",
        "255.255.255.255:8080",
        "224.0.0.1:8080",
        "[ff02::1]:8080",
        "worker.example:8080",
        "http://10.128.0.9:8080",
        "10.128.0.9:8080/-/run-start?",
        " 10.128.0.9:8080",
        "10.128.0.9:8080\r\nHost: x",
        "10.128.0.9:8080,10.128.0.10:8080",
    ] {
        assert_eq!(
            decode(&with("address", json!(address))),
            None,
            "{address:?}"
        );
    }
}

#[test]
fn bytes_that_are_no_entry_are_invalid() {
    let text = entry().to_string();
    for end in 0..text.len() {
        assert_eq!(decode_bytes(&text.as_bytes()[..end]), None, "cut at {end}");
    }
    let mut not_text = text.clone().into_bytes();
    let at = text.find("r1-3").expect("a label");
    not_text[at] = 0xff;
    assert_eq!(decode_bytes(&not_text), None);
    // The same in a field that is ignored.
    let with_ignored = text.replace("{\"address\"", "{\"x\":\"?\",\"address\"");
    let mut not_text = with_ignored.clone().into_bytes();
    not_text[with_ignored.find('?').expect("the mark")] = 0xff;
    assert_eq!(decode_bytes(&not_text), None);
    for value in [
        "",
        " ",
        "null",
        "0",
        "[]",
        "{}",
        "\"ready\"",
        "<xml/>",
        "\u{feff}{}",
        "[\"huvo11a\",\"10.128.0.9:8080\",\"zg-dubrava\",\"ready\",{\"cpu\":1,\"mem_mb\":1},[\"a\"]]",
    ] {
        assert_eq!(decode_bytes(value.as_bytes()), None, "{value}");
    }
    assert_eq!(decode_bytes(format!("{text}{text}").as_bytes()), None);
    for spelling in ["NaN", "nan", "Infinity", "-Infinity", "1e999", "0x10", "08"] {
        let entry = text.replace("\"slots\":8", &format!("\"slots\":{spelling}"));
        assert_eq!(decode_bytes(entry.as_bytes()), None, "{spelling}");
    }
}

#[test]
fn an_entry_with_a_duplicate_field_is_invalid() {
    let text = entry().to_string();
    for again in [
        "\"state\":\"ready\"",
        "\"state\":\"draining\"",
        "\"address\":\"10.128.0.9:8080\"",
        "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}",
    ] {
        let twice = format!("{{{again},{}", &text[1..]);
        assert_eq!(decode_bytes(twice.as_bytes()), None, "{again}");
    }
    let twice = text.replace("\"cpu\":16000", "\"cpu\":16000,\"cpu\":64000");
    assert_eq!(decode_bytes(twice.as_bytes()), None);
}

#[test]
fn an_entry_that_is_nested_too_deep_or_too_long_is_invalid() {
    for depth in [40, 200, 100_000] {
        let nested = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        for field in ["labels", "introduced_later"] {
            let text = without("labels").to_string();
            let text = format!("{{\"{field}\":{nested},{}", &text[1..]);
            assert_eq!(decode_bytes(text.as_bytes()), None, "{field}, {depth} deep");
        }
    }
    let long = with("introduced_later", json!("x".repeat(1 << 20)));
    assert_eq!(decode(&long), None);
    let brackets = with("introduced_later", json!("[{\"\\".repeat(500)));
    assert_eq!(
        decode(&brackets),
        decode(&entry()),
        "brackets in a string do not nest"
    );
}

/// Guards against a stack that overflows on entries nested as deep as their length allows, and
/// deeper, in any place.
#[test]
fn a_very_deep_entry_is_invalid_in_any_place() {
    const SMALL_STACK_BYTES: usize = 128 << 10;
    let text = entry().to_string();
    let places = [
        ("{\"address\"", "{\"introduced_later\":?,\"address\""),
        ("\"zone\":", "\"zone\":?,\"x\":"),
        ("\"labels\":[", "\"labels\":[?,"),
        ("\"cpu\":16000", "\"cpu\":?"),
        ("\"cpu\":16000", "\"cpu\":16000,\"introduced_later\":?"),
        ("\"sequence\":4", "\"sequence\":?"),
    ];
    let check = move || {
        for levels in [17, 5_000, 100_000, 5_000_000] {
            for (open, close) in [("[", "]"), ("{\"a\":", "}"), ("[", "")] {
                let nested = format!("{}0{}", open.repeat(levels), close.repeat(levels));
                assert_eq!(
                    decode_bytes(nested.as_bytes()),
                    None,
                    "{levels} levels alone"
                );
                for (from, to) in places {
                    assert!(text.contains(from), "{from}");
                    let deep = text.replace(from, &to.replace('?', &nested));
                    assert_eq!(decode_bytes(deep.as_bytes()), None, "{levels} levels, {to}");
                }
            }
        }
        let key = format!("{{\"{}\":1,{}", "[{".repeat(20_000), &text[1..]);
        assert_eq!(decode_bytes(key.as_bytes()), decode(&entry()), "in a key");
    };

    let thread = std::thread::Builder::new().stack_size(SMALL_STACK_BYTES);
    let checked = thread.spawn(check).expect("a thread").join();

    assert!(checked.is_ok());
}

#[test]
fn a_number_out_of_range_is_invalid_in_every_field() {
    let mut entry = entry();
    entry["remaining_ms"] = json!(5);
    entry["born"] = json!(6);
    let text = entry.to_string();
    assert!(decode_bytes(text.as_bytes()).is_some(), "{text}");
    let fields = [
        "\"cpu\":16000",
        "\"mem_mb\":32768",
        "\"gpu\":0",
        "\"slots\":8",
        "\"sequence\":4",
        "\"cold_remaining_ms\":0",
        "\"remaining_ms\":5",
        "\"born\":6",
    ];
    for field in fields {
        let (name, _) = field.split_once(':').expect("a field");
        for number in [
            "1e400",
            "-1e400",
            "1e308",
            "18446744073709551615",
            "18446744073709551616",
            "99999999999999999999999999",
            "-1",
            "-9223372036854775809",
        ] {
            assert!(text.contains(field), "{field} in {text}");
            let wrong = text.replace(field, &format!("{name}:{number}"));
            assert_eq!(decode_bytes(wrong.as_bytes()), None, "{name}: {number}");
        }
    }
    let ignored = text.replace("\"clock_ms\":482113", "\"clock_ms\":1e400");
    assert_eq!(decode_bytes(ignored.as_bytes()), decode(&entry));
}

#[test]
fn an_entry_under_an_invalid_name_is_invalid() {
    let value = entry().to_string();
    for name in [
        "",
        " ",
        "a b",
        "a/b",
        "a\nb",
        "a\r\nFencing-Token: 9",
        "a\u{0}",
        "ä",
        "a&after=z",
        "a#b",
        "a%2Fb",
        "a?b",
        "a\"b",
    ] {
        let decoded = decode_worker(name, value.as_bytes());
        assert!(decoded.is_err(), "{name:?}");
    }
    let long = "a".repeat(193);
    assert!(decode_worker(&long, value.as_bytes()).is_err());
    for name in ["i-7f3a91c2", "w0", "w0-3", "A.b_c:9~d@e"] {
        let decoded = decode_worker(name, value.as_bytes());
        assert!(decoded.is_ok(), "{name}");
    }
}
