//! Writes log lines as JSON objects, one for each decision.
//!
//! Logging never blocks the caller: the rate of lines is limited, and lines that a
//! slow reader does not take are dropped and counted.

use log4rs::append::Append;
use serde_json::{
    Map,
    Value,
    json, //
};
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::mpsc::{
    SyncSender,
    sync_channel, //
};
use std::time::Instant;

/// Lines queued for a slow reader; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;
/// Sustained rate of lines a second. A line takes some 20 us of CPU time on a daemon that
/// has a quarter of a core, so this rate takes about 1% of that.
const LINES_PER_S: f64 = 150.0;
/// Largest burst of lines.
const BURST_LINES: f64 = 600.0;

/// A log appender that writes lines on a thread of its own, at a limited rate.
#[derive(Debug)]
pub struct BoundedLines {
    lines: SyncSender<Vec<u8>>,
    budget: Mutex<Budget>,
    dropped: AtomicU64,
}

#[derive(Debug)]
struct Budget {
    left: f64,
    refilled: Instant,
}

impl Budget {
    /// Takes one line from the budget; returns whether one was left.
    fn take_line(&mut self, now: Instant) -> bool {
        let elapsed_s = now.duration_since(self.refilled).as_secs_f64();
        self.left = (self.left + elapsed_s * LINES_PER_S).min(BURST_LINES);
        self.refilled = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

impl BoundedLines {
    /// Starts the writing thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn spawn() -> std::io::Result<Self> {
        let (lines, received) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                let mut output = std::io::stdout();
                for line in received {
                    // The reader has closed the output.
                    if output.write_all(&line).is_err() {
                        return;
                    }
                }
            })?;
        Ok(Self {
            lines,
            budget: Mutex::new(Budget {
                left: BURST_LINES,
                refilled: Instant::now(),
            }),
            dropped: AtomicU64::new(0),
        })
    }

    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("fuchsiaslip_log_lines_dropped_total").increment(1);
    }
}

impl Append for BoundedLines {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let important = record.level() <= log::Level::Warn;
        let within_budget = match self.budget.lock() {
            Ok(mut budget) => budget.take_line(Instant::now()),
            Err(_) => false,
        };
        if !within_budget && !important {
            self.count_dropped();
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let text = record.args().to_string();
        let mut line = if text.starts_with('{') {
            text
        } else {
            json!({ "level": record.level().as_str(), "message": text }).to_string()
        };
        if dropped > 0 {
            line = format!("{{\"dropped_lines\":{dropped}}}\n{line}");
        }
        line.push('\n');
        if self.lines.try_send(line.into_bytes()).is_err() {
            self.count_dropped();
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// The fields of a client's request that are logged.
pub struct RequestLine<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path, which ends with the job's name.
    pub path: &'a str,
    /// The HTTP status of the answer.
    pub status: u16,
    /// `done`, or why the request was refused.
    pub reason: &'static str,
    /// Time until the answer was ready, in milliseconds.
    pub took_ms: u64,
    /// Version of the configuration in force.
    pub configuration_version: u64,
    /// Epoch of the known owner; 0 if none is known.
    pub epoch: u64,
    /// Whether the store answers this daemon.
    pub has_store: bool,
}

/// The fields of an invalid stored value that are logged.
pub struct InvalidValueLine<'a> {
    /// Its key.
    pub key: &'a str,
    /// Its revision.
    pub revision: u64,
    /// The kind of value that its key stands for.
    pub kind: &'static str,
    /// Why it is invalid, as counters name it.
    pub reason: &'static str,
    /// The reason in full; empty if the name says it all.
    pub problem: &'a str,
    /// How the daemon handles the value.
    pub done: &'static str,
}

/// Logs and counts a request's answer. Queries that were answered are only counted:
/// they are most of the requests and change nothing.
pub fn request(line: &RequestLine<'_>) {
    let labels = [
        ("method", line.method.to_owned()),
        ("status", line.status.to_string()),
        ("reason", line.reason.to_owned()),
    ];
    metrics::counter!("fuchsiaslip_requests_total", &labels).increment(1);
    metrics::histogram!("fuchsiaslip_request_ms").record(line.took_ms as f64);
    if line.method == "GET" && line.reason == "done" {
        return;
    }
    let job = line.path.rsplit('/').next().unwrap_or_default();
    emit(
        crate::events::REQUEST_ANSWERED,
        json!({
            "job": job, "method": line.method, "status": line.status, "reason": line.reason,
            "took_ms": line.took_ms, "configuration_version": line.configuration_version,
            "epoch": line.epoch, "has_store": line.has_store,
        }),
    );
}

/// Logs an invalid stored value.
pub fn invalid_value(line: &InvalidValueLine<'_>) {
    emit(
        crate::events::VALUE_INVALID,
        json!({
            "key": line.key, "revision": line.revision, "kind": line.kind,
            "reason": line.reason, "problem": line.problem, "done": line.done,
        }),
    );
}

pub(super) fn emit(event: crate::events::LogEvent, fields: Value) {
    if !log::log_enabled!(event.level) {
        return;
    }
    let mut line = Map::new();
    line.insert("event".to_owned(), event.number.into());
    line.insert("what".to_owned(), event.meaning.into());
    if let Value::Object(fields) = fields {
        line.extend(fields);
    }
    log::log!(event.level, "{}", Value::Object(line));
}
