//! Encodes calls to workers, and their answers, for one connection between the owner and a
//! carrier.
//!
//! Load pattern: thousands of workers are polled every second and answer nearly the same each
//! time, and a job starts dozens of tasks with the same payload. So a worker's address, a job's
//! payload and a worker's runs cross a connection once, and after that only what has changed.
//! Both ends apply every message in the order of the connection, so they remember the same. A
//! new connection begins with nothing on either side.

use super::carrier_frame::{
    AnswerMessage,
    CallBody,
    CallMessage,
    EndMessage,
    PollMessage,
    ReportMessage,
    RowChangeMessage,
    RowMessage,
    RunMessage,
    StartMessage,
    TargetMessage,
    ThrottleMessage, //
};
use super::worker_call::{
    AddressedCall,
    StartOrder,
    WorkerAnswer,
    WorkerCall, //
};
use crate::core::JobId;
use crate::scheduler::{
    CallOutcome,
    EndKind,
    EndedRow,
    PollReport,
    RunName,
    RunningRow,
    StartRefusal,
    TaskId, //
};
use std::collections::{
    HashMap,
    VecDeque, //
};
use std::sync::Arc;

/// Number of jobs whose payloads a connection remembers. With payloads of 4 KB they take half
/// a megabyte.
const MAX_PAYLOADS: usize = 128;
/// Number of workers, those that are gone included, after which a connection has to be replaced.
const MAX_WORKERS: usize = 8_192;

/// Why a message cannot be decoded. The connection is of no use then.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SessionError {
    /// It refers to something that this side does not remember.
    #[error("a message of a peer refers to {0} that was not sent on this connection")]
    Unknown(&'static str),
    /// It lacks a part.
    #[error("a message of a peer lacks {0}")]
    Missing(&'static str),
}

/// A worker as a connection numbers it.
type WorkerNumber = u32;

/// The payloads that both ends of a connection remember, oldest first.
#[derive(Debug, Default)]
struct Payloads {
    payloads: VecDeque<(JobId, Arc<str>)>,
}

impl Payloads {
    fn get(&self, job: JobId) -> Option<&Arc<str>> {
        let mut payloads = self.payloads.iter();
        payloads
            .find(|(known, _)| *known == job)
            .map(|(_, payload)| payload)
    }

    fn insert(&mut self, job: JobId, payload: Arc<str>) {
        self.payloads.retain(|(known, _)| *known != job);
        if self.payloads.len() >= MAX_PAYLOADS {
            self.payloads.pop_front();
        }
        self.payloads.push_back((job, payload));
    }
}

/// What a worker listed last on a connection.
#[derive(Clone, Debug, Default)]
struct Listed {
    /// Its runs, in the order of their names.
    running: Vec<RunningRow>,
    /// Its ends, by ascending number.
    ended: Vec<EndedRow>,
}

/// The owner's end of a connection: encodes calls and decodes answers.
#[derive(Debug, Default)]
pub struct OwnerSession {
    workers: HashMap<(Arc<str>, Arc<str>), WorkerNumber>,
    payloads: Payloads,
    listed: HashMap<WorkerNumber, Listed>,
}

/// A carrier's end of a connection: decodes calls and encodes answers.
#[derive(Debug, Default)]
pub struct CarrierSession {
    workers: Vec<(Arc<str>, Arc<str>)>,
    payloads: Payloads,
    listed: HashMap<WorkerNumber, Listed>,
}

impl OwnerSession {
    /// Whether the connection has to be replaced before a call to another worker.
    pub fn is_full(&self) -> bool {
        self.workers.len() >= MAX_WORKERS
    }

    /// Encodes a call. The messages have to be sent in the order in which they are encoded.
    pub fn encode(&mut self, call: &AddressedCall) -> CallMessage {
        let next = self.workers.len() as WorkerNumber;
        let target = (call.address.clone(), call.worker_name.clone());
        let worker = *self.workers.entry(target).or_insert(next);
        let target = (worker == next).then(|| TargetMessage {
            address: call.address.to_string(),
            worker_name: call.worker_name.to_string(),
        });
        let body = match &call.call {
            &WorkerCall::Poll {
                last_seen,
                lease_end_ms,
                wait_ms,
            } => CallBody::Poll(PollMessage {
                last_seen,
                lease_end_ms,
                wait_ms,
            }),
            WorkerCall::Start(order) => CallBody::Start(self.encode_start(order)),
            WorkerCall::Stop(name) => CallBody::Stop(encode_run(*name)),
            &WorkerCall::Throttle { name, percent } => CallBody::Throttle(ThrottleMessage {
                name: encode_run(name),
                percent,
            }),
        };
        CallMessage {
            epoch: call.epoch,
            worker,
            target,
            body: Some(body),
        }
    }

    fn encode_start(&mut self, order: &StartOrder) -> StartMessage {
        let job = order.name.task.job;
        let is_known = self.payloads.get(job) == Some(&order.payload);
        if !is_known {
            self.payloads.insert(job, order.payload.clone());
        }
        StartMessage {
            name: encode_run(order.name),
            payload: (!is_known).then(|| order.payload.to_string()),
            lease_end_ms: order.lease_end_ms,
            checkpoint: order.checkpoint.as_deref().map(str::to_owned),
            ticket: order.ticket.as_deref().map(str::to_owned),
        }
    }

    /// Decodes an answer. Each one has to be decoded, in the order of the connection, even if
    /// nobody waits for it any more.
    ///
    /// # Errors
    ///
    /// The answer does not continue what was decoded before.
    pub fn decode(&mut self, answer: AnswerMessage) -> Result<WorkerAnswer, SessionError> {
        let Some(report) = answer.report else {
            return Ok(WorkerAnswer::Outcome(outcome_of_code(answer.outcome)));
        };
        let listed = self.listed.entry(answer.worker).or_default();
        listed.apply(&report)?;
        Ok(WorkerAnswer::Report(PollReport {
            clock_ms: report.clock_ms,
            incarnation_start_ms: report.incarnation_start_ms,
            running: listed.running.clone(),
            ended: listed.ended.clone(),
        }))
    }
}

impl CarrierSession {
    /// Decodes a call. Returns it with the worker's number, which its answer has to name.
    ///
    /// # Errors
    ///
    /// The call does not continue what was decoded before.
    pub fn decode(
        &mut self,
        message: CallMessage,
    ) -> Result<(WorkerNumber, AddressedCall), SessionError> {
        if let Some(target) = message.target {
            if message.worker as usize != self.workers.len() {
                return Err(SessionError::Unknown("a worker"));
            }
            let target = (target.address.into(), target.worker_name.into());
            self.workers.push(target);
        }
        let target = self.workers.get(message.worker as usize);
        let (address, worker_name) = target.cloned().ok_or(SessionError::Unknown("a worker"))?;
        let call = match message.body.ok_or(SessionError::Missing("its call"))? {
            CallBody::Poll(poll) => WorkerCall::Poll {
                last_seen: poll.last_seen,
                lease_end_ms: poll.lease_end_ms,
                wait_ms: poll.wait_ms,
            },
            CallBody::Start(start) => WorkerCall::Start(self.decode_start(start)?),
            CallBody::Stop(name) => WorkerCall::Stop(decode_run(&name)),
            CallBody::Throttle(throttle) => WorkerCall::Throttle {
                name: decode_run(&throttle.name),
                percent: throttle.percent,
            },
        };
        let call = AddressedCall {
            epoch: message.epoch,
            address,
            worker_name,
            call,
        };
        Ok((message.worker, call))
    }

    fn decode_start(&mut self, start: StartMessage) -> Result<StartOrder, SessionError> {
        let name = decode_run(&start.name);
        let job = name.task.job;
        if let Some(payload) = start.payload {
            self.payloads.insert(job, payload.into());
        }
        let payload = self.payloads.get(job).cloned();
        Ok(StartOrder {
            name,
            payload: payload.ok_or(SessionError::Unknown("a payload"))?,
            lease_end_ms: start.lease_end_ms,
            checkpoint: start.checkpoint.map(Into::into),
            ticket: start.ticket.map(Into::into),
        })
    }

    /// Encodes an answer. The messages have to be sent in the order in which they are encoded.
    pub fn encode(&mut self, worker: WorkerNumber, answer: WorkerAnswer) -> AnswerMessage {
        match answer {
            WorkerAnswer::Outcome(outcome) => AnswerMessage {
                worker,
                outcome: outcome_code(outcome),
                report: None,
            },
            WorkerAnswer::Report(report) => AnswerMessage {
                worker,
                outcome: 0,
                report: Some(self.listed.entry(worker).or_default().replace(report)),
            },
        }
    }
}

impl Listed {
    /// Replaces the lists by those of a report, and returns the difference.
    fn replace(&mut self, report: PollReport) -> ReportMessage {
        let PollReport {
            clock_ms,
            incarnation_start_ms,
            mut running,
            mut ended,
        } = report;
        running.sort_by_key(|row| row.name);
        ended.sort_by_key(|row| row.number);
        let mut message = ReportMessage {
            clock_ms,
            incarnation_start_ms,
            first_end: ended.first().map_or(0, |row| row.number),
            ..ReportMessage::default()
        };
        // Ends are numbered from 1 again after a restart under the same name.
        let last_sent = self.ended.last().map_or(0, |row| row.number);
        let sent = self
            .ended
            .iter()
            .filter(|row| row.number >= message.first_end);
        let sent_again = ended.iter().filter(|row| row.number <= last_sent);
        let is_continued = ended.is_empty() || sent.eq(sent_again);
        if !is_continued {
            message.complete = true;
            *self = Self::default();
        }
        let last_sent = self.ended.last().map_or(0, |row| row.number);
        let new_ends = ended.iter().filter(|row| row.number > last_sent);
        message.ended = new_ends.map(encode_end).collect();

        let is_listed = |rows: &[RunningRow], name: RunName| {
            rows.binary_search_by_key(&name, |row| row.name).is_ok()
        };
        let removed = (0u32..)
            .zip(&self.running)
            .filter(|(_, row)| !is_listed(&running, row.name));
        message.removed = removed.map(|(position, _)| position).collect();
        for (position, row) in (0u32..).zip(&running) {
            let before = self.running.binary_search_by_key(&row.name, |row| row.name);
            match before.map(|at| &self.running[at]) {
                Err(_) => message.added.push(encode_row(row)),
                Ok(before) if before == row => {}
                Ok(before) => message.changed.push(RowChangeMessage {
                    position,
                    checkpoint: (before.checkpoint != row.checkpoint)
                        .then(|| row.checkpoint.to_string()),
                    percent: row.percent,
                    usage: row.usage,
                }),
            }
        }
        *self = Self { running, ended };
        message
    }

    /// Applies the difference that the other end computed.
    fn apply(&mut self, report: &ReportMessage) -> Result<(), SessionError> {
        if report.complete {
            *self = Self::default();
        }
        for &position in report.removed.iter().rev() {
            if position as usize >= self.running.len() {
                return Err(SessionError::Unknown("a run"));
            }
            self.running.remove(position as usize);
        }
        self.running.extend(report.added.iter().map(decode_row));
        self.running.sort_by_key(|row| row.name);
        for change in &report.changed {
            let row = self.running.get_mut(change.position as usize);
            let row = row.ok_or(SessionError::Unknown("a run"))?;
            if let Some(checkpoint) = &change.checkpoint {
                row.checkpoint = checkpoint.as_str().into();
            }
            row.percent = change.percent;
            row.usage = change.usage;
        }
        let first_end = match report.first_end {
            0 => u64::MAX,
            first_end => first_end,
        };
        self.ended.extend(report.ended.iter().map(decode_end));
        self.ended.retain(|row| row.number >= first_end);
        Ok(())
    }
}

fn encode_run(name: RunName) -> RunMessage {
    RunMessage {
        job: name.task.job.0,
        occurrence: name.task.occurrence,
        step: name.task.step,
        index: name.task.index,
        run: name.run,
    }
}

fn decode_run(message: &RunMessage) -> RunName {
    RunName {
        task: TaskId {
            job: JobId(message.job),
            occurrence: message.occurrence,
            step: message.step,
            index: message.index,
        },
        run: message.run,
    }
}

fn encode_row(row: &RunningRow) -> RowMessage {
    RowMessage {
        name: encode_run(row.name),
        checkpoint: row.checkpoint.to_string(),
        percent: row.percent,
        usage: row.usage,
    }
}

fn decode_row(message: &RowMessage) -> RunningRow {
    RunningRow {
        name: decode_run(&message.name),
        checkpoint: message.checkpoint.as_str().into(),
        percent: message.percent,
        usage: message.usage,
    }
}

fn encode_end(row: &EndedRow) -> EndMessage {
    EndMessage {
        number: row.number,
        name: encode_run(row.name),
        kind: end_code(row.kind),
        checkpoint: row.checkpoint.to_string(),
    }
}

fn decode_end(message: &EndMessage) -> EndedRow {
    EndedRow {
        number: message.number,
        name: decode_run(&message.name),
        kind: end_of_code(message.kind),
        checkpoint: message.checkpoint.as_str().into(),
    }
}

/// The kinds of ends, by their numbers in messages.
const END_KINDS: [EndKind; 6] = [
    EndKind::Failed,
    EndKind::Done,
    EndKind::Stopped,
    EndKind::LeaseExpired,
    EndKind::GangEnded,
    EndKind::GangIncomplete,
];

fn end_code(kind: EndKind) -> u32 {
    let position = END_KINDS.iter().position(|&known| known == kind);
    position.unwrap_or_default() as u32
}

/// The kind with this number. One of a later version counts as a failure.
fn end_of_code(code: u32) -> EndKind {
    let kind = END_KINDS.get(code as usize);
    kind.copied().unwrap_or(EndKind::Failed)
}

/// The outcomes of calls, by their numbers in messages.
const OUTCOMES: [CallOutcome; 11] = [
    CallOutcome::NoAnswer,
    CallOutcome::Done,
    CallOutcome::OtherIncarnation,
    CallOutcome::Refused(StartRefusal::Fenced),
    CallOutcome::Refused(StartRefusal::OldRun),
    CallOutcome::Refused(StartRefusal::Late),
    CallOutcome::Refused(StartRefusal::NoCapacity),
    CallOutcome::Refused(StartRefusal::NoTicket),
    CallOutcome::Refused(StartRefusal::Malformed),
    CallOutcome::Refused(StartRefusal::Unhealthy),
    CallOutcome::NotSent,
];

fn outcome_code(outcome: CallOutcome) -> u32 {
    let position = OUTCOMES.iter().position(|&known| known == outcome);
    position.unwrap_or_default() as u32
}

/// The outcome with this number. Of one of a later version nothing is known.
fn outcome_of_code(code: u32) -> CallOutcome {
    let outcome = OUTCOMES.get(code as usize);
    outcome.copied().unwrap_or(CallOutcome::NoAnswer)
}
