//! Writes the log lines of the scheduler's decisions.

use super::log_lines::emit;
use crate::core::JobId;
use crate::events::{
    self,
    LogEvent, //
};
use crate::scheduler::{
    Decision,
    JobFailure,
    StepSpec, //
};
use serde_json::{
    Value,
    json, //
};

/// Thousandths of a core in a core.
const MILLICORES_PER_CORE: f64 = 1_000.0;
/// Largest number of workers that one line names; the line also has their number.
const MAX_NAMED_WORKERS: usize = 8;

/// Logs and counts a decision of the scheduler.
pub fn log_decision(epoch: u64, decision: &Decision) {
    let line = line_of(decision);
    metrics::counter!("fuchsiaslip_decisions_total", "kind" => line.kind, "reason" => line.reason)
        .increment(1);
    log_line(epoch, line, &[]);
}

/// Logs a decision that is not carried out, because its scheduler failed.
pub fn log_dropped_decision(epoch: u64, decision: &Decision) {
    log_line(epoch, line_of(decision), &[("dropped", true)]);
}

fn log_line(epoch: u64, line: DecisionLine, flags: &[(&str, bool)]) {
    let mut fields = line.fields;
    if let Value::Object(fields) = &mut fields {
        fields.insert("epoch".to_owned(), epoch.into());
        fields.insert("reason".to_owned(), line.reason.into());
        for &(name, flag) in flags {
            fields.insert(name.to_owned(), flag.into());
        }
    }
    emit(line.event, fields);
}

/// The line of a decision in the log.
struct DecisionLine {
    event: LogEvent,
    /// Its labels in `fuchsiaslip_decisions_total`.
    kind: &'static str,
    reason: &'static str,
    fields: Value,
}

fn line_of(decision: &Decision) -> DecisionLine {
    let (event, kind, reason, fields) = match decision {
        Decision::Placed {
            name,
            worker,
            view_age_ms,
            priority,
            waited_ms,
        } => (
            events::TASK_PLACED,
            "placed",
            "room",
            json!({ "task": name.task.to_string(), "run": name.run, "worker": &**worker,
                "view_age_ms": view_age_ms, "priority": priority, "waited_ms": waited_ms }),
        ),
        Decision::Stopped {
            name,
            worker,
            reason,
            priority,
            lost_core_s,
        } => (
            events::TASK_STOPPED,
            "stopped",
            reason.name(),
            json!({ "task": name.task.to_string(), "run": name.run, "worker": &**worker,
                "priority": priority, "lost_core_s": lost_core_s.round() }),
        ),
        Decision::Ended {
            name,
            worker,
            kind,
            number,
        } => (
            events::TASK_ENDED,
            "ended",
            *kind,
            json!({ "task": name.task.to_string(), "run": name.run, "worker": &**worker,
                "number": number }),
        ),
        Decision::WorkerRestarted {
            worker,
            incarnation_start_ms,
            earlier_incarnation_start_ms,
            last_seen,
            runs,
        } => (
            events::WORKER_RESTARTED,
            "worker_restarted",
            "same_name",
            json!({ "worker": &**worker, "incarnation_start_ms": incarnation_start_ms, "earlier_incarnation_start_ms": earlier_incarnation_start_ms,
                "last_seen": last_seen, "runs": runs }),
        ),
        Decision::EndReleased {
            name,
            worker,
            reason,
        } => (
            events::END_RELEASED,
            "end_released",
            *reason,
            json!({ "task": name.task.to_string(), "run": name.run, "worker": &**worker }),
        ),
        Decision::Retried {
            name,
            worker,
            reason,
        } => (
            events::TASK_RETRIED,
            "retried",
            *reason,
            json!({ "task": name.task.to_string(), "run": name.run, "worker": &**worker }),
        ),
        Decision::JobOpened {
            job,
            occurrence,
            record,
            priority,
            age_ms,
            objective_ms,
            max_attempts,
            configuration_version,
        } => (
            events::JOB_READY,
            "job_opened",
            "due",
            json!({ "job": job.to_string(), "occurrence": occurrence, "queue": record.queue,
                "account": record.account, "priority": priority, "age_ms": age_ms,
                "objective_ms": objective_ms, "max_attempts": max_attempts,
                "configuration_version": configuration_version,
                "steps": record.spec.steps.iter().map(step_text).collect::<Vec<_>>() }),
        ),
        Decision::OccurrenceWaits {
            job,
            occurrence,
            reason,
            open,
            needed_bytes,
            used_bytes,
            limit_bytes,
        } => (
            events::OCCURRENCE_WAITS,
            "occurrence_waits",
            *reason,
            json!({ "job": job.to_string(), "occurrence": occurrence, "open": open,
                "needed_bytes": needed_bytes, "used_bytes": used_bytes,
                "limit_bytes": limit_bytes }),
        ),
        Decision::TermsUnknown {
            job,
            record,
            configuration_version,
        } => (
            events::TERMS_UNKNOWN,
            "terms_unknown",
            match configuration_version {
                0 => "no_configuration",
                _ => "no_such_queue",
            },
            json!({ "job": job.to_string(), "queue": record.queue,
                "configuration_version": configuration_version }),
        ),
        Decision::JobEnded {
            job,
            state,
            failure,
        } => (
            events::JOB_ENDED,
            "job_ended",
            *state,
            job_ended_fields(*job, failure.as_ref()),
        ),
        Decision::JobEndShown {
            job,
            state,
            wait_ms,
        } => (
            events::JOB_END_SHOWN,
            "job_end_shown",
            *state,
            json!({ "job": job.to_string(), "wait_ms": wait_ms }),
        ),
        Decision::ShareChanged(change) => (
            events::SHARE_CHANGED,
            "share_changed",
            match change.is_beyond {
                true => "beyond",
                false => "within",
            },
            json!({
                "account": &*change.account,
                "used_cores": change.used / MILLICORES_PER_CORE,
                // No number while there is enough for all.
                "share_cores": change.share.is_finite().then_some(change.share / MILLICORES_PER_CORE),
            }),
        ),
        Decision::EndsUnlisted { worker, listed } => (
            events::ENDS_UNLISTED,
            "ends_unlisted",
            "full_list",
            json!({ "worker": &**worker, "listed": listed }),
        ),
        Decision::RecoveryOver {
            waited_ms,
            groups,
            unresponsive,
            confirmed_ago_ms,
        } => {
            metrics::histogram!("fuchsiaslip_recovery_ms").record(*waited_ms as f64);
            (
                events::RECOVERY_FINISHED,
                "recovery_over",
                match unresponsive.is_empty() {
                    true => "all_answered",
                    false => "leases_over",
                },
                json!({ "waited_ms": waited_ms, "groups": groups, "unheard": unresponsive.len(),
                    "confirmed_ago_ms": confirmed_ago_ms,
                    "workers": unresponsive.iter().take(MAX_NAMED_WORKERS).map(|name| &**name).collect::<Vec<_>>() }),
            )
        }
        Decision::Quarantined {
            worker,
            for_ms,
            reason,
        } => (
            events::WORKER_QUARANTINED,
            "quarantined",
            *reason,
            json!({ "worker": &**worker, "for_ms": for_ms }),
        ),
        Decision::Upkeep {
            wave,
            machine,
            outcome,
        } => (
            events::UPKEEP_ORDERED,
            "upkeep",
            outcome.name(),
            json!({ "wave": wave, "machine": &**machine }),
        ),
        Decision::SpeedsLearned {
            deviation,
            known,
            likeness,
        } => {
            metrics::gauge!("fuchsiaslip_speed_deviation").set(*deviation);
            metrics::gauge!("fuchsiaslip_workers_of_known_speed").set(*known as f64);
            (
                events::SPEEDS_LEARNED,
                "speeds_learned",
                "runs_compared",
                json!({ "deviation": deviation, "workers_known": known, "likeness": likeness }),
            )
        }
        Decision::TooSlowForUrgent {
            limit,
            workers,
            too_slow,
            headroom,
        } => {
            metrics::gauge!("fuchsiaslip_workers_too_slow_for_urgent").set(*too_slow as f64);
            metrics::gauge!("fuchsiaslip_headroom_accelerators").set(f64::from(*headroom));
            (
                events::TOO_SLOW_FOR_URGENT,
                "too_slow_for_urgent",
                "speeds_learned",
                json!({ "limit": limit, "workers": workers, "too_slow": too_slow,
                    "headroom": headroom }),
            )
        }
        Decision::SpeedChanged { worker, change } => (
            events::SPEED_CHANGED,
            "speed_changed",
            "lasting",
            json!({ "worker": &**worker, "from": change.from, "to": change.to,
                "observations": change.observations, "lasted_ms": change.lasted_ms }),
        ),
        Decision::EntryInvalid {
            worker,
            reason,
            runs,
        } => (
            events::ENTRY_INVALID,
            "entry_unusable",
            *reason,
            json!({ "worker": &**worker, "runs": runs }),
        ),
        Decision::EntryValid { worker, runs } => (
            events::ENTRY_VALID,
            "entry_usable",
            "readable",
            json!({ "worker": &**worker, "runs": runs }),
        ),
        Decision::DataCentreEmptied {
            data_centre,
            revision,
            workers,
            runs,
            last_start_ago_ms,
            accelerators_left,
            guaranteed_accelerators,
        } => (
            events::DATA_CENTRE_EMPTIED,
            "data_centre_emptied",
            match (*workers, *accelerators_left) {
                (0, _) => "no_such_data_centre",
                (_, 0) => "nothing_left",
                (_, left) if left < *guaranteed_accelerators => "guarantees_short",
                _ => "room_left",
            },
            json!({ "data_centre": &**data_centre, "revision": revision, "workers": workers,
                "runs": runs, "last_start_ago_ms": last_start_ago_ms,
                "accelerators_left": accelerators_left,
                "guaranteed_accelerators": guaranteed_accelerators }),
        ),
        Decision::EmptyingWithdrawn {
            data_centre,
            revision,
            emptied_ms,
            workers,
            runs,
        } => (
            events::DATA_CENTRE_RESTORED,
            "data_centre_back",
            "taken_back",
            json!({ "data_centre": &**data_centre, "revision": revision, "workers": workers,
                "runs": runs, "emptied_ms": emptied_ms }),
        ),
        Decision::FirstStartAfterEmptying {
            data_centre,
            after_ms,
        } => (
            events::FIRST_START_AFTER_EMPTYING,
            "data_centre_used",
            "taken_back",
            json!({ "data_centre": &**data_centre, "after_ms": after_ms }),
        ),
        Decision::OrdersStale { known_ago_ms } => (
            events::ORDERS_STALE,
            "orders_unread",
            "store_silent",
            json!({ "known_ago_ms": known_ago_ms }),
        ),
        Decision::RunLost {
            name,
            worker,
            ordered_ago_ms,
            responded_after_ms,
            exited_within_ms,
            percent,
            confirmed_ago_ms,
            reason,
        } => (
            events::RUN_LOST,
            "run_lost",
            *reason,
            json!({ "task": name.task.to_string(), "run": name.run, "worker": &**worker,
                "ordered_ago_ms": ordered_ago_ms, "heard_after_ms": responded_after_ms,
                "exited_within_ms": exited_within_ms, "percent": percent,
                "confirmed_ago_ms": confirmed_ago_ms }),
        ),
        Decision::EndedRunListed { name, worker } => (
            events::ENDED_RUN_LISTED,
            "ended_run_listed",
            "running",
            json!({ "task": name.task.to_string(), "run": name.run, "worker": &**worker }),
        ),
        Decision::CrashCounted {
            crash,
            worker,
            crashes,
            crashes_at_start,
        } => (
            events::CRASH_COUNTED,
            "crash_counted",
            if crash.crash.at_start {
                "at_start"
            } else {
                "later"
            },
            json!({ "task": crash.name.task.to_string(), "run": crash.name.run,
                "worker": worker.as_deref(), "uncertain": crash.crash.uncertain,
                "alone": crash.only_suspect, "crashes": crashes,
                "crashes_at_start": crashes_at_start }),
        ),
        Decision::TaskGivenUp {
            name,
            crashes,
            crashes_at_start,
            reason,
        } => (
            events::TASK_CRASHES_WORKERS,
            "task_given_up",
            *reason,
            json!({ "task": name.task.to_string(), "run": name.run,
                "crashes": crashes, "crashes_at_start": crashes_at_start }),
        ),
        Decision::EntriesStale { known_ago_ms } => (
            events::ENTRIES_STALE,
            "entries_unread",
            "store_silent",
            json!({ "known_ago_ms": known_ago_ms }),
        ),
        Decision::WorkerLost {
            worker,
            runs,
            reason,
        } => (
            events::WORKER_LOST,
            "worker_lost",
            *reason,
            json!({ "worker": &**worker, "runs": runs }),
        ),
    };
    DecisionLine {
        event,
        kind,
        reason,
        fields,
    }
}

/// The fields of a job's end; for a failed job with the run that made it fail.
fn job_ended_fields(job: JobId, failure: Option<&JobFailure>) -> Value {
    let Some(failure) = failure else {
        return json!({ "job": job.to_string() });
    };
    json!({ "job": job.to_string(), "task": failure.name.task.to_string(),
        "run": failure.name.run, "failures": failure.failures,
        "max_attempts": failure.max_attempts,
        "terms_version": failure.terms_version, "crashes": failure.crashes })
}

/// Summary of a step: the number of its tasks, the resources and estimated run time of
/// each, and the constraints on them.
fn step_text(step: &StepSpec) -> String {
    let constraints = [
        (step.gang, "gang"),
        (step.same_rack, "one_rack"),
        (!step.data_rack.is_empty(), "data_rack"),
        (!step.required_label.is_empty(), "label"),
        (step.checkpoints, "checkpoints"),
        (step.max_per_worker > 0, "spread"),
        (step.long_running, "lasts"),
        (step.fills, "fills"),
    ];
    let needs = &step.needs;
    let mut text = format!(
        "{} x {} milli-cores, {} MB, {} accelerators, {} ms",
        step.count, needs.cpu_millis, needs.memory_mb, needs.accelerators, step.estimated_ms
    );
    for (_, constraint) in constraints.iter().filter(|(applies, _)| *applies) {
        text.push_str(", ");
        text.push_str(constraint);
    }
    text
}
