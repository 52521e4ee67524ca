//! Prints how long jobs take from stage to stage, from the logs of all daemons.
//!
//! `cargo run --release --example stages -- LOG [FROM_S UNTIL_S]`: each line of the file is
//! the time in seconds, the daemon's name and the log line. Only jobs that were first sent in
//! the given interval count.

use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{
    BufRead,
    BufReader, //
};

/// Events of the log that mark a stage; docs/EVENTS.md lists them.
const REQUEST_ANSWERED: u64 = 110;
const TASK_PLACED: u64 = 304;
const RUN_ENDED: u64 = 306;
const JOB_ENDED: u64 = 321;
const JOB_DUE: u64 = 322;
const JOB_END_SHOWN: u64 = 325;

/// The stages of a job, in order.
const STAGES: [&str; 7] = [
    "sent",
    "accepted",
    "known to the owner",
    "first task placed",
    "last task done",
    "ended",
    "shown",
];

/// When a job reached each stage, in milliseconds of the log.
type Times = [Option<f64>; STAGES.len()];

/// One line of the log.
struct Line {
    at_ms: f64,
    fields: Value,
}

impl Line {
    /// Parses a line; `None` for one of another form.
    fn parse(text: &str) -> Option<Self> {
        let (at_s, rest) = text.trim_start().split_once(' ')?;
        let (_, fields) = rest.split_once(' ')?;
        Some(Self {
            at_ms: at_s.parse::<f64>().ok()? * 1_000.0,
            fields: serde_json::from_str(fields).ok()?,
        })
    }

    /// The name of the job that the line is about.
    fn job(&self) -> Option<&str> {
        let named = self.fields["job"].as_str();
        let of_task = || self.fields["task"].as_str()?.split('.').next();
        named.or_else(of_task)
    }

    /// The stage that the line marks, and when it was reached.
    fn stage(&self) -> Option<(usize, f64)> {
        let is = |field: &str, value: &str| self.fields[field].as_str() == Some(value);
        let stage = match self.fields["event"].as_u64()? {
            REQUEST_ANSWERED if is("method", "POST") => {
                return Some((0, self.at_ms - self.fields["took_ms"].as_f64()?));
            }
            JOB_DUE => 2,
            TASK_PLACED => 3,
            RUN_ENDED if is("reason", "done") => 4,
            JOB_ENDED if is("reason", "completed") => 5,
            JOB_END_SHOWN if is("reason", "completed") => 6,
            _ => return None,
        };
        Some((stage, self.at_ms))
    }
}

/// Records the stage that a line marks. Repeated requests and starts count once, from the
/// first; of the ends of tasks the last one before the job ended counts.
fn record(times: &mut Times, line: &Line) {
    let Some((stage, at_ms)) = line.stage() else {
        return;
    };
    let is_accepted = line.fields["status"].as_u64() == Some(200);
    if stage == 0 && is_accepted && times[1].is_none() {
        times[1] = Some(line.at_ms);
    }
    let is_last = STAGES[stage] == "last task done" && times[5].is_none();
    if is_last || times[stage].is_none() {
        times[stage] = Some(at_ms);
    }
}

/// The value below which a share of the sorted values lies.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len() as f64 * share) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let path = arguments.next().ok_or("name a log file")?;
    let from_s: f64 = arguments.next().map_or(Ok(f64::MIN), |text| text.parse())?;
    let until_s: f64 = arguments.next().map_or(Ok(f64::MAX), |text| text.parse())?;
    let mut jobs: BTreeMap<String, Times> = BTreeMap::new();
    for text in BufReader::new(std::fs::File::open(path)?).lines() {
        let Some(line) = Line::parse(&text?) else {
            continue;
        };
        if let Some(job) = line.job() {
            record(jobs.entry(job.to_owned()).or_default(), &line);
        }
    }
    let is_counted = |times: &&Times| {
        times[0].is_some_and(|at_ms| (from_s * 1_000.0..until_s * 1_000.0).contains(&at_ms))
    };
    let counted: Vec<&Times> = jobs.values().filter(is_counted).collect();
    println!("{} jobs", counted.len());
    println!(
        "{:20} {:>6} {:>9} {:>9}",
        "stage", "jobs", "p50 ms", "p99 ms"
    );
    for stage in 1..STAGES.len() {
        let took = counted.iter().filter_map(|times| {
            let before = times[..stage].iter().rev().find_map(|at_ms| *at_ms);
            Some((times[stage]? - before?).max(0.0))
        });
        let mut took: Vec<f64> = took.collect();
        took.sort_by(f64::total_cmp);
        let (half, most) = (quantile(&took, 0.5), quantile(&took, 0.99));
        println!(
            "{:20} {:6} {half:9.0} {most:9.0}",
            STAGES[stage],
            took.len()
        );
    }
    Ok(())
}
