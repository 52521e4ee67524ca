//! Measures reading the entries of a large fleet's workers: a list of valid entries against
//! one with a tenth of invalid entries, alternately in one run.
//!
//! `cargo bench --bench entries` prints lines `figure NAME VALUE`: for decoding with the
//! reports of invalid entries, and for reading over HTTP, the median time of each list and
//! the median of the paired ratios.

#[expect(dead_code, reason = "tests use the rest")]
#[path = "../tests/support/operator.rs"]
mod operator;

use fuchsiaslip::cluster::{
    InvalidValueReporter, //
    StoredItem,
    StoredKind,
};
use fuchsiaslip::platform::{
    HttpClient,
    StoreClient,
    WORKERS_PREFIX,
    decode_worker, //
};
use fuchsiaslip::scheduler::{
    Input,
    Scheduler,
    Tuning, //
};
use fuchsiaslip::timer::Timer;
use operator::Operator;
use serde_json::{
    Value,
    json, //
};
use std::time::Instant;

const WORKERS: usize = 7_300;
/// One entry in this many is invalid in the second list.
const BAD_ONE_IN: usize = 10;
const DECODED_PAIRS: usize = 150;
const READ_PAIRS: usize = 40;
const NOW_MS: u64 = 1_000_000;

fn entry(at: usize) -> Value {
    let (third, last) = (at / 250, at % 250 + 1);
    json!({ "service": "s", "address": format!("10.1.{third}.{last}:8080"), "zone": "z",
        "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
        "capacity": { "cpu": 32000, "mem_mb": 131072, "gpu": 8 },
        "labels": ["a", format!("r{third}")], "clock_ms": 482113, "sequence": 4 })
}

/// Returns an invalid entry of about the usual length.
fn bad_entry(at: usize) -> Vec<u8> {
    let mut bad = entry(at);
    match at / BAD_ONE_IN % 8 {
        0 => bad["state"] = json!("down"),
        1 => bad["address"] = json!("nowhere"),
        2 => bad["capacity"]["cpu"] = json!("NaN"),
        3 => bad["labels"] = json!(null),
        4 => bad["service"] = json!(7),
        5 => drop(bad.as_object_mut().map(|fields| fields.remove("zone"))),
        6 => return bad.to_string().into_bytes().into_iter().rev().collect(),
        _ => return vec![0xff; bad.to_string().len()],
    }
    bad.to_string().into_bytes()
}

fn items(bad: bool) -> Vec<StoredItem> {
    let item = |at: usize| {
        let value = match bad && at.is_multiple_of(BAD_ONE_IN) {
            true => bad_entry(at),
            false => entry(at).to_string().into_bytes(),
        };
        StoredItem {
            key: format!("{WORKERS_PREFIX}w{at}"),
            value: value.into(),
            revision: at as u64 + 1,
        }
    };
    (0..WORKERS).map(item).collect()
}

fn elapsed_ms(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1_000.0
}

/// Handles a list as a new owner does: each entry is decoded, invalid ones are reported, and
/// the scheduler handles the result. Returns the time in milliseconds.
fn decode(items: &[StoredItem]) -> f64 {
    let mut scheduler = Scheduler::new(1, Tuning::default(), NOW_MS);
    let mut reporter = InvalidValueReporter::default();
    let start = Instant::now();
    for item in items {
        let worker_name = item.key.strip_prefix(WORKERS_PREFIX).unwrap_or_default();
        let input = match decode_worker(worker_name, &item.value) {
            Ok(info) => Input::WorkerRegistered(info),
            Err(error) => {
                let reason = error.reason();
                reporter.record(StoredKind::Worker, item, &error.into(), NOW_MS);
                Input::WorkerEntryInvalid {
                    worker_name: worker_name.to_owned(),
                    reason,
                }
            }
        };
        scheduler.handle(input, NOW_MS);
    }
    elapsed_ms(start)
}

/// Reads a list from a store and decodes it. Returns the time in milliseconds.
async fn read(store: &StoreClient, prefix: &str) -> f64 {
    let start = Instant::now();
    let range = store.range(prefix, true).await;
    let range = range.expect("the stand-in answers");
    assert_eq!(range.items.len(), WORKERS);
    let mut valid = 0;
    for item in &range.items {
        valid += usize::from(decode_worker("w", &item.value).is_ok());
    }
    let read_ms = elapsed_ms(start);
    assert!(valid >= WORKERS - WORKERS / BAD_ONE_IN);
    read_ms
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn print_figures(name: &str, pairs: &[(f64, f64)]) {
    let clean = median(pairs.iter().map(|(clean, _)| *clean).collect());
    let bad = median(pairs.iter().map(|(_, bad)| *bad).collect());
    let ratio = median(pairs.iter().map(|(clean, bad)| bad / clean).collect());
    println!("figure {name}_clean_ms {clean:.3}");
    println!("figure {name}_tenth_bad_ms {bad:.3}");
    println!("figure {name}_paired_ratio {ratio:.3}");
}

/// Measures both lists `count` times; which one goes first alternates.
fn measure_pairs(count: usize, mut measure: impl FnMut(bool) -> f64) -> Vec<(f64, f64)> {
    let mut pair = |at: usize| match at.is_multiple_of(2) {
        true => {
            let clean = measure(false);
            (clean, measure(true))
        }
        false => {
            let bad = measure(true);
            (measure(false), bad)
        }
    };
    // The first pairs warm up and are dropped.
    let warm_up = count / 10;
    let all = (0..count + warm_up).map(&mut pair);
    all.skip(warm_up).collect()
}

fn main() {
    let (clean, bad) = (items(false), items(true));
    let pairs = measure_pairs(DECODED_PAIRS, |is_bad| {
        decode(if is_bad { &bad } else { &clean })
    });
    print_figures("decoded", &pairs);

    let operator = Operator::spawn(0);
    for (prefix, items) in [("clean/", &clean), ("tenth/", &bad)] {
        for item in items {
            let name = item.key.strip_prefix(WORKERS_PREFIX).unwrap_or_default();
            let mut world = operator.world();
            world.put_bytes(&format!("{prefix}{name}"), &item.value);
        }
    }
    let system = actix_rt::System::new();
    let address = operator.store.to_string();
    let store = system.block_on(async move {
        let timer = Timer::spawn().expect("a timer");
        StoreClient::new(HttpClient::open(timer), &address)
    });
    let pairs = measure_pairs(READ_PAIRS, |is_bad| {
        let prefix = if is_bad { "tenth/" } else { "clean/" };
        system.block_on(read(&store, prefix))
    });
    print_figures("read", &pairs);
}
