//! What goes into an owner and what comes out.

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

/// Identity of a call under way; answers to any other are dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// What a caller, through an entry, wants of the owner.
#[derive(Clone, Debug)]
pub enum Request {
    /// Accept a job.
    Submit {
        /// The job.
        submission: Submission,
        /// When the entry got it from the caller; tells a late copy from a new
        /// try with the same key.
        asked_ms: u64,
    },
    /// Answer when the job has ended.
    Wait(JobId),
    /// Explain a job.
    Explain(JobId),
    /// Cancel jobs of one account.
    Cancel {
        /// The account whose jobs they have to be.
        account: String,
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Report the accounts.
    Accounts,
    /// Report the workers.
    Workers,
}

/// A job that has ended, with its answer.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The job.
    pub report: JobReport,
    /// Its answer, if it was served.
    pub answer: Option<AnswerRecord>,
    /// Address of the worker that keeps the answer.
    pub answer_address: Option<String>,
}

/// The owner's answer to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The job is accepted and will be accounted for.
    Accepted(JobId),
    /// The job did not run and will not run.
    Refused(Refusal),
    /// The job has ended.
    Ended(Box<Ended>),
    /// A job's state.
    Job(Box<JobReport>),
    /// No such job.
    NotFound,
    /// So many of the jobs were the account's and had not ended.
    Cancelled(u32),
    /// The accounts and the fragmentation.
    Accounts {
        /// One for each account.
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
    /// Ownership was lost before the request was durable: whether it took
    /// effect is for the next owner to say, by the same key.
    OutcomeUnknown,
}

/// A change that a worker monitor saw on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerUpdate {
    /// Tasks changed.
    Changes(Vec<TaskChange>),
    /// No renewal has reached it for so long.
    Silent {
        /// For how long.
        silent_ms: u64,
    },
    /// It answers.
    Seen {
        /// Changes whenever the worker restarts and has forgotten its tasks.
        incarnation: u64,
        /// Whether it says that it is leaving.
        leaving: bool,
    },
}

/// What can happen to an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request; the reply carries the token back.
    Request {
        /// The request's token.
        token: u64,
        /// What is wanted.
        request: Request,
    },
    /// The store answered, or did not.
    Store {
        /// Which call.
        call: CallId,
        /// How.
        result: Result<StoreAnswer, StoreFailure>,
    },
    /// A worker answered, or did not.
    Worker {
        /// Which call.
        call: CallId,
        /// How.
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
    /// The configuration version in force was confirmed to be the current one
    /// at this time.
    ConfigurationConfirmed {
        /// When the question was asked.
        asked_ms: u64,
    },
    /// The platform's list of this data centre's VMs.
    Members(Vec<VmRecord>),
    /// Whether this daemon is a candidate for an ownership that is vacant.
    Candidacy(bool),
    /// Take nothing new and hand the ownership over.
    Drain,
}

/// What an owner wants done.
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
        /// Its address.
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
