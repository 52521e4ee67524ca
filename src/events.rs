//! Defines the numbered log events that operators watch; docs/EVENTS.md lists them all.
//! The number of an event never changes and is never used for another event.

use std::fmt;

/// One kind of event in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogEvent {
    /// Its number, which never changes.
    pub number: u16,
    /// Its level.
    pub level: log::Level,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator should do about it.
    pub remedy: &'static str,
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $meaning:literal, $remedy:literal;)*) => {
        $($(#[$doc])* pub const $name: LogEvent = LogEvent {
            number: $number,
            level: log::Level::$level,
            meaning: $meaning,
            remedy: $remedy,
        };)*

        /// All events, in the order of their numbers.
        pub const ALL: &[LogEvent] = &[$($name),*];
    };
}

events! {
    /// The daemon accepts requests.
    DAEMON_STARTED = 100, Info, "the daemon serves callers and peers", "none";
    /// The daemon starts to drain.
    DRAIN_STARTED = 101, Info, "the daemon accepts no new work and hands over what it has", "wait for E102";
    /// The daemon has drained.
    DRAIN_FINISHED = 102, Info, "everything is handed over; the process ends", "none";
    /// A second signal during the drain.
    DRAIN_SIGNAL_REPEATED = 103, Warn, "a second signal arrived while requests were in progress", "wait, or accept that the callers of these requests will see a closed connection";
    /// The settings file was read again.
    SETTINGS_RELOADED = 104, Info, "the settings file was read again", "restart the daemon if the line says that changes need a restart";
    /// The settings file is invalid.
    SETTINGS_REFUSED = 105, Warn, "the settings file is invalid; the daemon keeps the previous settings", "fix the file and send SIGHUP again";
    /// A thread or a task of the daemon panicked.
    THREAD_PANICKED = 106, Error, "a thread or a task of this daemon panicked at the place named", "report the line, and those with dropped true after it; an owner that failed is followed by E208";
    /// A client's request was answered.
    REQUEST_ANSWERED = 110, Info, "a request was answered", "docs/OPERATIONS.md explains how to find the cause of a refusal";
    /// Connections were closed, or their requests refused, for others.
    CONNECTIONS_EVICTED = 111, Warn, "connections that made no progress were closed, or their requests refused, for others or because they paused", "none, unless it repeats: then find out who opens so many connections or sends so many large requests";
    /// This daemon became the owner.
    OWNER_STARTED = 200, Info, "this daemon owns the data centre's ledger", "none, unless it repeats: the end of the line says why the daemon took over";
    /// Another owner has fenced this daemon.
    OWNER_FENCED = 201, Warn, "another owner has written the ledger; this daemon is no longer the owner", "none, unless it repeats: then check for paused VMs";
    /// This daemon gave up the ownership.
    OWNER_RESIGNED = 202, Info, "this daemon handed the ownership over", "none";
    /// The owner's lease could not be renewed in time.
    LEASE_UNCERTAIN = 203, Warn, "the owner's lease could not be renewed; nothing new starts until it is renewed", "check the key-value service";
    /// A ledger value cannot be read.
    LEDGER_DAMAGED = 204, Error, "a ledger value cannot be read; no owner starts", "run `fuchsiaslip ledger check` and restore the value named there";
    /// A stored value is invalid.
    VALUE_INVALID = 205, Warn, "a value in the store is invalid, and the line says how it is handled; the other values remain in use", "check the key named: another writer or another version wrote it; docs/OPERATIONS.md says what each kind of value needs";
    /// A new owner has found out what runs.
    RECOVERY_FINISHED = 206, Info, "this owner knows which runs earlier owners started; stored work starts", "if it waited for seconds, check the workers that did not answer";
    /// A daemon took the next epoch but could not start as owner.
    TAKEOVER_INCOMPLETE = 207, Warn, "this daemon took the next epoch but could not start as owner; unless another daemon takes over first, it retries after the timeout for an unresponsive owner", "check the key-value service and the network between it and this daemon's VM";
    /// This daemon gave up the ownership after a failure of its own.
    OWNER_FAILED = 208, Error, "a part of this daemon failed; it gave up the ownership, and another daemon takes over", "report the E106 before it; if the owners after it fail as well, compare the places and the last lines of each";
    /// The store answers again.
    STORE_BACK = 210, Info, "the key-value service answers again", "none";
    /// The store does not answer.
    STORE_SILENT = 211, Warn, "the key-value service does not answer; nothing new is accepted, running work continues", "check the key-value service";
    /// A carrier does not respond.
    CARRIER_LOST = 212, Warn, "a daemon that made calls to workers for the owner does not respond; other daemons make them", "none, unless one daemon is named repeatedly: then check its VM and the network between it and the owner";
    /// Other daemons make the owner's calls to workers.
    CARRIERS_CHANGED = 213, Info, "the daemons that make calls to workers for the owner have changed", "none";
    /// A new owner goes on with what earlier owners learned.
    LEARNED_RESTORED = 214, Info, "this owner goes on with what earlier owners learned of workers, queues and accounts", "none; with a large oldest_ms, check whether the successors got messages and the store took writes (fuchsiaslip_learned_messages_total, fuchsiaslip_learned_writes_total)";
    /// A worker was lost.
    WORKER_LOST = 300, Warn, "a worker's lease has expired without contact; its gangs are ended", "replace the worker";
    /// A worker answers again.
    WORKER_RETURNED = 301, Info, "a lost worker answers again", "none";
    /// A worker is leaving.
    WORKER_LEAVING = 302, Info, "a worker is leaving and receives no new work", "none";
    /// A worker was quarantined.
    WORKER_QUARANTINED = 303, Warn, "several different jobs failed on the worker in a row; it gets no work until its probation", "inspect the worker";
    /// A task was given to a worker.
    TASK_PLACED = 304, Info, "a task was given to a worker", "none";
    /// A run is being stopped.
    TASK_STOPPED = 305, Info, "a run is being stopped for the reason named", "none";
    /// A run ended.
    TASK_ENDED = 306, Info, "a worker reported the end of a run", "none, unless one worker reports only failures";
    /// An order was refused or not answered.
    TASK_RETRIED = 307, Info, "an order to a worker was refused or not answered", "none, unless it repeats on one worker";
    /// The end of a run whose job is not stored was acknowledged.
    END_RELEASED = 308, Info, "the end of a run whose job is not stored was acknowledged to its worker, for the reason named", "none, unless E205 names the job: then the job is stored but cannot be decoded";
    /// A run was lost with its worker.
    RUN_LOST = 309, Info, "a run was lost with its worker", "none, unless one task is named repeatedly on different workers that last responded just after the start: then the task crashes them";
    /// A guarantee cannot be met.
    GUARANTEE_SHORT = 310, Error, "the shapes guaranteed to an account cannot all be reclaimed now", "add workers or lower a guarantee";
    /// The entry of a known worker is invalid.
    ENTRY_INVALID = 311, Warn, "the entry of a known worker is invalid; the worker gets no new work, its runs go on", "find the E205 of the entry's key and who writes it besides the worker";
    /// The entry is valid again.
    ENTRY_VALID = 312, Info, "the entry of a worker is valid again", "none";
    /// A crash of a worker was counted for one of its runs.
    CRASH_COUNTED = 313, Info, "a worker crashed while it had a run; at_start means that it did not respond after the start", "none, unless one task is named repeatedly: then E324 follows";
    /// The workers' entries are stale.
    ENTRIES_STALE = 314, Warn, "the workers' entries could not be read for too long; until they are read, workers that do not check their own capacity get nothing new", "check the key-value service and the network between it and the owner";
    /// Another incarnation of a worker answers under the worker's name.
    WORKER_RESTARTED = 315, Info, "a worker restarted under the same name; its earlier runs have ended", "none, unless one worker is named repeatedly";
    /// The number of workers on which urgent work would be late has changed.
    TOO_SLOW_FOR_URGENT = 317, Info, "the number of workers that are too slow for most urgent work has changed", "none, unless too_slow is near workers: then urgent work is late wherever it runs";
    /// The estimate of how far the workers differ in speed has changed.
    SPEEDS_LEARNED = 318, Info, "the estimate of how far the workers differ in speed has changed", "none";
    /// The speed of a worker has changed.
    SPEED_CHANGED = 319, Info, "runs on a worker take longer or shorter than before, and not only for a moment", "none, unless to is far above 1: then inspect the worker";
    /// A job cannot run anywhere.
    JOB_UNABLE_TO_RUN = 320, Warn, "a job failed on several healthy workers and is given up", "inform the account";
    /// A job ended.
    JOB_ENDED = 321, Info, "a job ended", "none";
    /// The tasks of a job may start.
    JOB_READY = 322, Info, "the tasks of a job may start from now on", "none";
    /// The terms of a job are unknown.
    TERMS_UNKNOWN = 323, Info, "a job waits because this owner knows neither its queue nor the terms under which it was accepted", "declare the queue again, and find out why the owner has no newer configuration";
    /// A task crashes its workers.
    TASK_CRASHES_WORKERS = 324, Warn, "a task crashes the workers that start it and is given up; its job fails", "inform the account; the E313 lines of the task name the workers";
    /// The end of a job is durable, so callers see it.
    JOB_END_SHOWN = 325, Info, "the end of a job is stored and shown to its caller", "none, unless wait_ms is long: then the store was slow or answered nobody, see E211";
    /// A job was set aside.
    JOB_SET_ASIDE = 326, Error, "a job is set aside, since several owners failed while they decided about it; nothing of it starts", "report the E106 of these owners; release the job with `fuchsiaslip fleet --release` once the cause is gone";
    /// A client account began or ceased to have waiting work beyond its share.
    SHARE_CHANGED = 327, Info, "accounts want more than the fleet has, and waiting work of one is beyond its share and ordered behind that of others; or it is within its share again", "none; docs/OPERATIONS.md says how shares are computed";
    /// A worker lists a run as running that its owner had counted as ended.
    ENDED_RUN_LISTED = 328, Warn, "a worker lists a run as running that this owner had counted as ended", "report the line with the E309 and E307 of the run: its task may have run twice";
    /// An occurrence of a job waits for memory.
    OCCURRENCE_WAITS = 329, Info, "an occurrence of a job is due and waits until the owner has memory for it, or until earlier occurrences of the job are done", "none, unless it repeats for many jobs: then use VMs with more memory, or split the job";
    /// The upkeep of a machine was ordered.
    UPKEEP_ORDERED = 330, Info, "the upkeep of a machine was ordered, with the outcome named", "none, unless it repeats: then check the platform's interface for machines";
    /// A data centre gets no new tasks.
    DATA_CENTRE_EMPTIED = 331, Warn, "an operators' order is in force: a data centre gets no new tasks, and its runs end by themselves", "withdraw the order when the work there has ended, or sooner if the reason is guarantees_short or nothing_left";
    /// An order to empty a data centre was withdrawn.
    DATA_CENTRE_RESTORED = 332, Warn, "the operators withdrew the order: the data centre gets tasks again", "none";
    /// The first task started in the data centre after the order was withdrawn.
    FIRST_START_AFTER_EMPTYING = 333, Warn, "a data centre got its first task after the order to empty it was withdrawn", "none";
    /// The operators' orders are stale.
    ORDERS_STALE = 334, Warn, "the operators' orders could not be read for too long; nothing new starts until they are read", "check the key-value service and the network between it and the owner";
    /// A worker listed only part of its ends.
    ENDS_UNLISTED = 335, Info, "a worker has more ends than it lists in one answer; tasks that earlier owners may have started wait until it has listed all of them", "none, unless no E206 follows: then check that the store takes writes, and cancel jobs that cannot be read";
    /// A configuration patch was accepted.
    PATCH_ACCEPTED = 400, Info, "a configuration patch was accepted", "none";
    /// A configuration patch was refused.
    PATCH_REFUSED = 401, Warn, "a configuration patch was refused", "see the reasons in the answer";
    /// A configuration version is in force.
    CONFIGURATION_IN_FORCE = 402, Info, "a configuration version is in force on this daemon", "none";
    /// The configuration version cannot be confirmed.
    CONFIGURATION_STALE = 403, Warn, "this daemon cannot confirm that its configuration is current; it starts nothing new", "check the key-value service and the network";
    /// This daemon learned of an order to empty a data centre.
    EMPTYING_ORDERED = 404, Warn, "this daemon has learned of the operators' order that a data centre gets no new tasks", "none; the owner's E331 reports what the order affects";
    /// This daemon learned that such an order was withdrawn.
    EMPTYING_WITHDRAWN = 405, Warn, "this daemon has learned that the operators withdrew an order to empty a data centre", "none; the owner's E332 follows";
    /// A peer was refused.
    PEER_REFUSED = 500, Warn, "a connection from a peer was refused", "check peer_token in both settings files";
    /// A peer sent a malformed frame.
    FRAME_BROKEN = 501, Warn, "a peer sent a frame that cannot be decoded; the connection was closed", "check that all daemons run compatible versions";
}

/// Logs one event with its detail.
pub fn log(event: LogEvent, detail: fmt::Arguments<'_>) {
    log::log!(
        event.level,
        "E{:03} {}: {}",
        event.number,
        event.meaning,
        detail
    );
}
