//! Formats reports as text for people and scripts.

use crate::cluster::FleetReport;
use crate::core::{
    AccountReport,
    JobReport,
    WorkerReport, //
};
use serde::Deserialize;

#[derive(Deserialize)]
struct AccountsBody {
    configuration_version: u64,
    fragmentation: f64,
    accounts: Vec<AccountReport>,
}

#[derive(Deserialize)]
struct WorkersBody {
    workers: Vec<WorkerReport>,
}

const PERCENT: f64 = 100.0;
const PERMILLE: f64 = 1_000.0;

/// Formats the report of a job, with the reason for its wait if `why` is set.
///
/// Returns `None` if `body` is not a job report.
pub fn job(body: &[u8], why: bool) -> Option<String> {
    let report: JobReport = serde_json::from_slice(body).ok()?;
    let mut text = format!(
        "{}\n  account {}, class {}\n  {}, outcome {}\n  attempt {}, preempted {} times\n",
        report.job,
        report.account,
        report.class,
        report.state,
        report.outcome,
        report.attempt,
        report.preemptions
    );
    if why {
        let wait = &report.wait;
        text += &format!("  waits for {}", wait.reason);
        if wait.count > 0 {
            text += &format!(" ({})", wait.count);
        }
        if wait.until_ms > 0 {
            text += &format!(", until about {} ms since the epoch", wait.until_ms);
        }
        text += "\n";
        if !report.workers.is_empty() {
            text += &format!("  its place: {}\n", report.workers.join(" "));
        }
    }
    Some(text)
}

/// Formats the report of a data centre's accounts as a table.
///
/// Returns `None` if `body` is not such a report.
pub fn accounts(body: &[u8]) -> Option<String> {
    let body: AccountsBody = serde_json::from_slice(body).ok()?;
    let mut text = format!(
        "configuration version {}, fragmentation {:.1}%\n{:<20} {:>10} {:>6} {:>6} {:>12} {:>12} {:>8}\n",
        body.configuration_version,
        body.fragmentation * PERCENT,
        "account",
        "guaranteed",
        "used",
        "lent",
        "reclaimable",
        "back in ms",
        "waiting"
    );
    for account in body.accounts {
        text += &format!(
            "{:<20} {:>10} {:>6} {:>6} {:>12} {:>12} {:>8}\n",
            account.account,
            account.guaranteed,
            account.used,
            account.lent,
            account.reclaimable,
            account.reclaim_ms,
            account.waiting_jobs
        );
    }
    Some(text)
}

/// Formats the report of a data centre's workers as a table.
///
/// Returns `None` if `body` is not such a report.
pub fn workers(body: &[u8]) -> Option<String> {
    let body: WorkersBody = serde_json::from_slice(body).ok()?;
    let mut text = format!(
        "{:<24} {:<12} {:>12} {:>6} {:>8}\n",
        "worker", "health", "accelerators", "free", "pledged"
    );
    for worker in body.workers {
        text += &format!(
            "{:<24} {:<12} {:>12} {:>6} {:>8}\n",
            worker.worker, worker.health, worker.accelerators, worker.free, worker.pledged
        );
    }
    Some(text)
}

/// Formats the report of a fleet that uses the store of an operators' platform.
pub fn fleet(report: &FleetReport) -> String {
    let mut text = format!(
        "owner {} at {}, epoch {}\n\
         jobs: {} open, {} completed, {} failed, {} cancelled\n\
         workers on the roster: {}\n",
        report.owner,
        report.owner_address,
        report.epoch,
        report.open_jobs,
        report.completed_jobs,
        report.failed_jobs,
        report.cancelled_jobs,
        report.workers
    );
    for (worker, runs) in &report.closed_workers {
        text += &format!("closed {worker}: {} runs may be there\n", runs.len());
        for (task, run) in runs {
            text += &format!("  {task} run {run}\n");
        }
    }
    for (job, failures) in &report.failures {
        text += &format!("job {job}: owners failed while they decided about it\n");
        for failure in failures {
            // The message may contain what a caller submitted, so it is escaped.
            text += &format!(
                "  epoch {}, {}: {:?}\n",
                failure.epoch, failure.daemon, failure.message
            );
        }
    }
    for (data_centre, order) in &report.emptied_data_centres {
        let known = match order.known_ms {
            Some(known_ms) => format!("known to owners for {known_ms} ms"),
            None => "not known to an owner yet".to_owned(),
        };
        text += &format!(
            "emptied {data_centre}: no new tasks, order of revision {}, {known}\n",
            order.revision
        );
    }
    if let Some(learned) = &report.learned {
        text += &format!(
            "learned: {} workers, {} queues, {} accounts, written {} to {} ms ago\n",
            learned.workers,
            learned.queues,
            learned.accounts,
            learned.youngest_ms,
            learned.oldest_ms
        );
        let factors = learned.slowness_permille.iter();
        let factors: Vec<String> = factors
            .map(|&permille| format!("{:.2}", permille as f64 / PERMILLE))
            .collect();
        text += &format!(
            "  run times by tenths of the workers, 1 is usual: {}\n",
            factors.join(" ")
        );
    }
    for (daemon, address) in &report.daemons {
        text += &format!("daemon {daemon} at {address}\n");
    }
    for value in &report.unused {
        // Other programs may have written the key, so its characters are escaped.
        text += &format!(
            "not used {:?}, revision {}: {} {}\n  {}\n",
            value.key, value.revision, value.reason, value.problem, value.done
        );
    }
    text
}
