//! Numbered log events; docs/EVENTS.md is their catalogue.

use std::fmt;

/// One kind of event in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogEvent {
    /// Its number, which stays the same for ever.
    pub number: u16,
    /// Its level.
    pub level: log::Level,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator does about it.
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
    /// The daemon serves.
    DAEMON_STARTED = 100, Info, "the daemon serves callers and peers", "none";
    /// The daemon begins to drain.
    DRAIN_STARTED = 101, Info, "the daemon takes no new work and hands over what it has", "wait for 102";
    /// The daemon has drained.
    DRAIN_FINISHED = 102, Info, "everything is handed over; the process ends", "none";
    /// A second signal during the drain.
    DRAIN_HURRIED = 103, Warn, "a second signal came while requests were in progress", "wait, or accept that the callers named will see a cut connection";
    /// The settings were read again.
    SETTINGS_RELOADED = 104, Info, "the settings file was read again", "restart the daemon if it says that changes wait";
    /// The settings file is wrong; the daemon goes on with the old ones.
    SETTINGS_REFUSED = 105, Warn, "the settings file is wrong; the daemon goes on with the ones before", "mend the file and send SIGHUP again";
    /// A client's request was answered.
    REQUEST_ANSWERED = 110, Info, "a request was answered", "docs/OPERATIONS.md follows a refused one to its cause";
    /// This daemon became owner.
    OWNER_STARTED = 200, Info, "this daemon owns the data centre's ledger", "none, unless it repeats: the line ends with why it took over";
    /// This daemon is no longer owner.
    OWNER_FENCED = 201, Warn, "another owner has written the ledger; this one stepped down", "none, unless it repeats: then look for paused VMs";
    /// This daemon gave the ownership up.
    OWNER_RESIGNED = 202, Info, "this daemon handed the ownership over", "none";
    /// The lease could not be renewed in time.
    LEASE_UNCERTAIN = 203, Warn, "the owner's lease could not be renewed; nothing new starts until it is", "look at the key-value service";
    /// A ledger value cannot be read.
    LEDGER_DAMAGED = 204, Error, "a ledger value cannot be read; no owner starts", "run `fuchsiaslip ledger check` and restore the value named there";
    /// A stored value cannot be read.
    RECORD_UNREADABLE = 205, Warn, "a value in the store cannot be used, and the line says what was done; the others hold", "look at the key named: another writer or another version wrote it; docs/OPERATIONS.md says what each kind needs";
    /// A new owner knows what runs.
    RECOVERY_OVER = 206, Info, "this owner knows what earlier owners' orders left running; stored work starts", "if it waited for seconds, look at the workers that did not answer";
    /// A daemon took the next epoch but could not start as owner.
    TAKEOVER_INCOMPLETE = 207, Warn, "this daemon took the next epoch but could not start as owner; unless another daemon takes over first, it retries after the owner silence timeout", "check the key-value service and the network between it and this daemon's VM";
    /// The store answers again.
    STORE_BACK = 210, Info, "the key-value service answers again", "none";
    /// The store does not answer.
    STORE_SILENT = 211, Warn, "the key-value service does not answer; nothing new is accepted, running work goes on", "look at the key-value service";
    /// A worker lost.
    WORKER_LOST = 300, Warn, "a worker's lease has ended without contact; its gangs are ended", "replace the worker";
    /// A worker answers again.
    WORKER_BACK = 301, Info, "a lost worker answers again", "none";
    /// A worker leaving.
    WORKER_LEAVING = 302, Info, "a worker is leaving and receives no new work", "none";
    /// A worker quarantined.
    WORKER_QUARANTINED = 303, Warn, "several different jobs failed on the worker in a row; it gets no work until probation", "inspect the worker";
    /// A task was given to a worker.
    TASK_PLACED = 304, Info, "a task was given to a worker", "none";
    /// A task was stopped.
    TASK_STOPPED = 305, Info, "a task's run is stopped for the reason named", "none";
    /// A run ended.
    TASK_ENDED = 306, Info, "a worker listed the end of a run", "none, unless one worker lists failures only";
    /// An order was refused or not answered.
    TASK_RETRIED = 307, Info, "an order to a worker was refused or not answered", "none, unless it repeats on one worker";
    /// The end of a job that is not stored.
    END_RELEASED = 308, Info, "a worker may forget the end of a run of which nothing is stored, for the reason named", "none, unless E205 names the job: then it is stored and does not read";
    /// A run ended with its worker.
    RUN_LOST = 309, Info, "a run was lost with its worker", "none, unless one task is named again and again on different workers, each last heard just after the start: then the task crashes them";
    /// A guarantee falls short.
    GUARANTEE_SHORT = 310, Error, "an account's guaranteed shapes cannot all be had back now", "add workers or lower a guarantee";
    /// The entry of a known worker cannot be used.
    ENTRY_UNUSABLE = 311, Warn, "the entry of a worker in use names no worker to use; it gets no new work, what runs there goes on", "look for the E205 of its key: who writes there besides the worker?";
    /// The entry can be used again.
    ENTRY_USABLE = 312, Info, "the entry of a worker can be used again", "none";
    /// A worker crashed under a run.
    CRASH_COUNTED = 313, Info, "a worker crashed under a run; at_start if it did not respond after the start", "none, unless one task is named again and again: E324 follows";
    /// The workers' entries are not known.
    ENTRIES_UNREAD = 314, Warn, "the workers' entries could not be read for too long; workers that start whatever they are told to get nothing new until they are", "look at the key-value service and the owner's way to it";
    /// Another incarnation answers under a worker's name.
    WORKER_RESTARTED = 315, Info, "a worker restarted under the name that it had; what ran there is over", "none, unless one worker is named again and again";
    /// A job cannot run anywhere.
    JOB_UNABLE = 320, Warn, "a job failed on several healthy workers and is given up", "tell the account";
    /// A job ended.
    JOB_ENDED = 321, Info, "a job ended", "none";
    /// An occurrence of a job opened.
    JOB_OPENED = 322, Info, "the tasks of a job may start from now on", "none";
    /// The queue of a job is not known.
    TERMS_UNKNOWN = 323, Info, "a job waits, since this owner knows neither its queue nor the terms under which it was accepted", "declare the queue again, and look why the owner has no newer configuration";
    /// A task crashes its workers.
    TASK_CRASHES = 324, Warn, "a task crashes the workers that start it and is given up; its job fails", "tell the account; the E313 of the task name the workers";
    /// A machine's upkeep was ordered.
    UPKEEP_ORDERED = 330, Info, "the upkeep of a machine was ordered, and answered as told", "none, unless it repeats: then look at the platform's interface for machines";
    /// A data centre gets no new tasks.
    DATA_CENTRE_EMPTIED = 331, Warn, "the operators ask that a data centre gets no new tasks; what runs there ends by itself", "take the order back when the work there is over; if its reason is guarantees_short or nothing_left, sooner";
    /// A data centre was given back.
    DATA_CENTRE_BACK = 332, Warn, "the operators took the order back: the data centre gets tasks again", "none";
    /// Its first start since.
    DATA_CENTRE_USED = 333, Warn, "a data centre that was given back got its first task", "none";
    /// The operators' orders are not known.
    ORDERS_UNREAD = 334, Warn, "the operators' orders could not be read for too long; nothing new starts until they are", "look at the key-value service and the owner's way to it";
    /// A patch accepted.
    PATCH_ACCEPTED = 400, Info, "a configuration patch was accepted", "none";
    /// A patch refused.
    PATCH_REFUSED = 401, Warn, "a configuration patch was refused", "see the reasons in the answer";
    /// A version in force.
    CONFIGURATION_IN_FORCE = 402, Info, "a configuration version is in force on this daemon", "none";
    /// The version cannot be confirmed.
    CONFIGURATION_STALE = 403, Warn, "this daemon cannot confirm that its configuration is current; it starts nothing new", "look at the key-value service and the network";
    /// An order to empty a data centre is known.
    EMPTYING_ORDERED = 404, Warn, "this daemon knows of the operators' order that a data centre gets no new tasks", "none; E331 of the owner says what it met";
    /// It was taken back.
    EMPTYING_TAKEN_BACK = 405, Warn, "this daemon knows that such an order was taken back", "none; E332 of the owner follows";
    /// A peer was refused.
    PEER_REFUSED = 500, Warn, "a connection from a peer was refused", "check peer_token in both settings files";
    /// A broken frame.
    FRAME_BROKEN = 501, Warn, "a peer sent a frame that does not decode; the connection was closed", "check that all daemons run compatible versions";
}

/// Writes one event with its detail.
pub fn log(event: LogEvent, detail: fmt::Arguments<'_>) {
    log::log!(
        event.level,
        "E{:03} {}: {}",
        event.number,
        event.meaning,
        detail
    );
}
