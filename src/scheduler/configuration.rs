//! The operators' configuration, in the form that is stored and shared by the daemons.

use crate::scheduler::spec::Schedule;
use serde::{
    Deserialize,
    Serialize, //
};
use std::sync::Arc;

/// The external placement policy of a queue, which decides where steps may run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct AdviceTerms {
    /// Time that the policy takes for one request.
    pub decision_ms: u64,
    /// Additional time for each worker in the request.
    pub per_worker_ms: u64,
    /// How long an approval is valid.
    pub validity_ms: u64,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host of requests to it.
    pub host: String,
    /// The prefix of the paths of requests to it.
    pub path_prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Priority of its jobs: 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Number of failures of one task at which the job fails.
    pub max_attempts: u32,
    /// Factor from the length of a job's critical path to the time until it is late.
    pub stretch_factor: f64,
    /// Added to the stretched critical path.
    pub target_latency_ms: u64,
    /// Whether requests need no key.
    pub public: bool,
    /// The external placement policy, if there is one.
    pub advice: Option<AdviceTerms>,
}

/// The terms of a queue that apply to its jobs, without those that only route requests.
/// They are stored with each accepted job, so that every owner knows them, whatever
/// version of the configuration it has read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QueueTerms {
    /// The service whose workers run the tasks.
    pub service: String,
    /// Priority of the jobs: 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Number of failures of one task at which the job fails; at least 1.
    pub max_attempts: u32,
    /// Factor from the length of a job's critical path to the time until it is late.
    pub stretch_factor: f64,
    /// Added to the stretched critical path.
    pub target_latency_ms: u64,
    /// The external placement policy, if there is one.
    pub advice: Option<AdviceTerms>,
}

impl Queue {
    /// Returns its terms, labelled with the version of the configuration that has them.
    /// Fewer than one attempt count as one.
    pub fn terms_in(&self, configuration_version: u64) -> VersionedTerms {
        let terms = QueueTerms {
            service: self.service.clone(),
            priority: self.priority,
            max_attempts: self.max_attempts.max(1),
            stretch_factor: self.stretch_factor,
            target_latency_ms: self.target_latency_ms,
            advice: self.advice,
        };
        VersionedTerms {
            configuration_version,
            terms: Arc::new(terms),
        }
    }
}

/// The terms of a queue in one version of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionedTerms {
    /// The version.
    pub configuration_version: u64,
    /// The terms.
    pub terms: Arc<QueueTerms>,
}

/// A client account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AccountDeclaration {
    /// Its name.
    pub name: String,
    /// Keys with which its callers authenticate.
    pub keys: Vec<String>,
    /// Accelerators that are guaranteed to its urgent work.
    pub guaranteed_accelerators: u32,
}

/// Bounds on requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Largest head of a request.
    pub max_header_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Time within which the head of a request has to arrive.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration; version numbers only increase.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClusterConfiguration {
    /// Its number; 0 while none is known.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The client accounts.
    pub accounts: Vec<AccountDeclaration>,
    /// Services whose machines are switched off.
    pub standby_services: Vec<String>,
    /// Services whose workers start every run they are ordered to, without checking their
    /// free capacity.
    #[serde(default)]
    pub unguarded_services: Vec<String>,
    /// Bounds on requests.
    pub limits: RequestLimits,
}

impl ClusterConfiguration {
    /// Returns the queue of a request: of the queues on its host, the one with the longest
    /// matching path prefix.
    pub fn queue_of(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the account to which `key` belongs.
    pub fn account_of(&self, key: &str) -> Option<&AccountDeclaration> {
        self.accounts
            .iter()
            .find(|account| account.keys.iter().any(|own| own == key))
    }
}

impl Schedule {
    /// Returns when an occurrence is due, since the Unix epoch; `u64::MAX`, which is never,
    /// if that time cannot be represented.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let offset_ms = u64::from(occurrence).saturating_mul(self.interval_ms);
        self.start_at_ms.saturating_add(offset_ms)
    }
}
