//! The events that an owner handles and the actions that it requests.

use crate::backend::{
    StoreAnswer,
    StoreCall,
    StoreFailure,
    TaskChange,
    VmRecord,
    WorkerAnswer,
    WorkerCall,
    WorkerFailure, //
};
use crate::config::Configuration;
use crate::core::{
    AccountReport,
    JobId,
    JobReport,
    Refusal,
    Submission,
    WorkerReport, //
};
use crate::ledger::AnswerRecord;
use std::sync::Arc;

/// Identifies a call in flight. Answers to any other call are dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A caller's request, forwarded to the owner by an API front end.
#[derive(Clone, Debug)]
pub enum Request {
    /// Accept a job.
    Submit {
        /// The job.
        submission: Submission,
        /// When the front end received it from the caller, which distinguishes
        /// a delayed copy from a retry with the same key.
        received_ms: u64,
    },
    /// Reply when the job has ended.
    Wait(JobId),
    /// Report the state of a job and why it is in that state.
    Explain(JobId),
    /// Cancel jobs of one client account.
    Cancel {
        /// The account; jobs of other accounts are left alone.
        account: String,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Report the accounts and the fragmentation of the data centre.
    Accounts,
    /// Report all workers.
    Workers,
}

/// A job that has ended, with its answer.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The job's final state.
    pub report: JobReport,
    /// The job's answer, if it was served.
    pub answer: Option<AnswerRecord>,
    /// Address of the worker that stores the answer.
    pub answer_address: Option<String>,
}

/// The owner's reply to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The job is accepted: its acceptance is durable.
    Accepted(JobId),
    /// The submission is refused. Only if [`Refusal::not_run`] is set is it
    /// certain that the job did not and will not run.
    Refused(Refusal),
    /// The job has ended.
    Ended(Box<Ended>),
    /// The state of a job.
    Job(Box<JobReport>),
    /// The owner knows no such job.
    NotFound,
    /// The number of jobs that are being cancelled: those that belong to the
    /// account and had not ended.
    Cancelled(u32),
    /// The accounts and the fragmentation.
    Accounts {
        /// One report for each account.
        accounts: Vec<AccountReport>,
        /// Fragmentation from 0 to 1.
        fragmentation: f64,
        /// Version of the configuration in force.
        configuration_version: u64,
    },
    /// The workers.
    Workers(Vec<WorkerReport>),
    /// This daemon does not own the data centre; nothing was done.
    NotOwner,
    /// It is not known whether the request took effect, for example because
    /// ownership was lost before the request was durable. A retry of a submission
    /// with the same idempotency key finds out.
    OutcomeUnknown,
}

/// What a worker monitor observed on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerUpdate {
    /// Tasks changed their states.
    Changes(Vec<TaskChange>),
    /// The worker does not respond.
    Unresponsive {
        /// Time since its lease was last renewed.
        unresponsive_ms: u64,
    },
    /// The worker responded.
    Responded {
        /// Changes with each restart, in which the worker loses its tasks.
        incarnation: u64,
        /// Whether the worker reports that it is leaving.
        leaving: bool,
    },
}

/// An input of an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request; its reply carries the same token.
    Request {
        /// The request's token.
        token: u64,
        /// The request.
        request: Request,
    },
    /// A call to the store was answered or failed.
    Store {
        /// The call.
        call: CallId,
        /// The answer or the failure.
        result: Result<StoreAnswer, StoreFailure>,
    },
    /// A call to a worker was answered or failed.
    Worker {
        /// The call.
        call: CallId,
        /// The answer or the failure.
        result: Result<WorkerAnswer, WorkerFailure>,
    },
    /// A worker monitor reports a change on a worker.
    WorkerUpdate {
        /// The worker's name.
        worker: String,
        /// The change.
        update: WorkerUpdate,
    },
    /// A version of the configuration.
    Configuration(Arc<Configuration>),
    /// The configuration version in force was confirmed to be the current one.
    ConfigurationConfirmed {
        /// When the confirmation was requested; the version was current then.
        requested_ms: u64,
    },
    /// The platform's list of VMs in this data centre.
    Members(Vec<VmRecord>),
    /// Whether this daemon is a candidate for a vacant ownership.
    Candidacy(bool),
    /// Accept no more submissions and release the ownership.
    Drain,
}

/// An action that the caller of [`Owner::handle`](super::Owner::handle) executes.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call the store.
    Store {
        /// Identity of the call.
        call: CallId,
        /// The call.
        request: StoreCall,
    },
    /// Call a worker.
    Worker {
        /// Identity of the call.
        call: CallId,
        /// The worker's name.
        worker: String,
        /// The worker's address; empty if unknown.
        address: String,
        /// The call.
        request: WorkerCall,
    },
    /// Reply to a request.
    Reply {
        /// The request's token.
        token: u64,
        /// The reply.
        reply: Reply,
    },
}
