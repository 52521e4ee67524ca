//! Defines the declarations that operators write in TOML.

use crate::core::{
    Adjacency,
    Shape, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Completion time of jobs whose class is no longer declared: one day.
const WITHDRAWN_COMPLETION_MS: u64 = 24 * 3_600_000;

/// Weights of the two measures by which placements are compared.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of completion times, against the time agreed for each class.
    pub completion: f64,
    /// Weight of the fragmentation of free accelerators.
    pub fragmentation: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            completion: 0.5,
            fragmentation: 0.5,
        }
    }
}

/// A class of work with its agreed completion time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassDeclaration {
    /// Name by which jobs refer to the class.
    pub name: String,
    /// Agreed time from the acceptance of a job to its answer, in milliseconds.
    pub completion_ms: u64,
    /// Whether jobs start at once, preempting reclaimable work if necessary.
    #[serde(default)]
    pub urgent: bool,
    /// Whether jobs may reclaim the account's guaranteed shape where it is lent out.
    #[serde(default)]
    pub reclaims: bool,
    /// Whether jobs may run on lent capacity, where they may be preempted after a
    /// checkpoint.
    #[serde(default)]
    pub reclaimable: bool,
    /// Time that a preempted task has for its checkpoint before it is stopped, in
    /// milliseconds.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Number of preemptions after which a job runs only where nothing can preempt it.
    #[serde(default = "default_max_preemptions")]
    pub max_preemptions: u32,
    /// Whether a job that cannot meet its completion time is refused at submission.
    #[serde(default)]
    pub refuse_when_late: bool,
    /// Maximum number of jobs of the class that may wait in one data centre.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
}

fn default_grace_ms() -> u64 {
    10_000
}

fn default_max_preemptions() -> u32 {
    6
}

fn default_queue_limit() -> u32 {
    10_000
}

/// A shape that an account can always get back in one data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteeDeclaration {
    /// Data centre of the shape.
    pub data_centre: String,
    /// Accelerators on each worker.
    pub accelerators_per_worker: u16,
    /// Number of workers of the shape.
    #[serde(default = "one_worker")]
    pub workers: u16,
    /// How close together the workers must be.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Number of such shapes.
    #[serde(default = "one_shape")]
    pub count: u16,
}

fn one_worker() -> u16 {
    1
}

fn one_shape() -> u16 {
    1
}

impl ClassDeclaration {
    /// Returns the substitute for a class that is no longer declared while jobs of it
    /// still exist. Its jobs preempt nothing and are never preempted.
    pub fn withdrawn(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            completion_ms: WITHDRAWN_COMPLETION_MS,
            urgent: false,
            reclaims: false,
            reclaimable: false,
            grace_ms: default_grace_ms(),
            max_preemptions: default_max_preemptions(),
            refuse_when_late: false,
            queue_limit: 0,
        }
    }
}

impl AccountDeclaration {
    /// Returns the substitute for an account that is no longer declared while jobs of
    /// it still exist.
    pub fn withdrawn(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            token_sha256: String::new(),
            data_centres: Vec::new(),
            quota_accelerators: u32::MAX,
            queue_limit: 0,
            share: default_share(),
            retries_per_minute: default_retries_per_minute(),
            guarantees: Vec::new(),
        }
    }
}

impl GuaranteeDeclaration {
    /// Returns the guaranteed shape.
    pub fn shape(&self) -> Shape {
        Shape {
            accelerators_per_worker: self.accelerators_per_worker,
            workers: self.workers,
            adjacency: self.adjacency,
        }
    }
}

/// A client account with its limits and guarantees.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountDeclaration {
    /// Name of the account.
    pub name: String,
    /// SHA-256 of the account's bearer token, in hexadecimal.
    pub token_sha256: String,
    /// Data centres that hold the account's jobs. They cannot change once declared,
    /// since the home data centre of an idempotency key is computed from them.
    pub data_centres: Vec<String>,
    /// Maximum number of accelerators in use at a time in one data centre.
    pub quota_accelerators: u32,
    /// Maximum number of jobs that may wait in one data centre.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Weight by which the account shares the surplus with other accounts.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Maximum number of retries after failures per minute.
    #[serde(default = "default_retries_per_minute")]
    pub retries_per_minute: u32,
    /// Shapes that the account can always get back.
    #[serde(default)]
    pub guarantees: Vec<GuaranteeDeclaration>,
}

fn default_share() -> u32 {
    1
}

fn default_retries_per_minute() -> u32 {
    60
}

/// A person or program that may submit patches.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorDeclaration {
    /// Name that the history shows.
    pub name: String,
    /// SHA-256 of the operator's bearer token, in hexadecimal.
    pub token_sha256: String,
}

/// Everything that operators declare: the content of one numbered version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Weights of the two measures.
    #[serde(default)]
    pub weights: Weights,
    /// Operators, who may change the configuration.
    #[serde(default, rename = "operator")]
    pub operators: Vec<OperatorDeclaration>,
    /// Classes of work.
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassDeclaration>,
    /// Client accounts.
    #[serde(default, rename = "account")]
    pub accounts: Vec<AccountDeclaration>,
}

impl Declaration {
    /// Returns the account called `name`.
    pub fn account(&self, name: &str) -> Option<&AccountDeclaration> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// Returns the class called `name`.
    pub fn class(&self, name: &str) -> Option<&ClassDeclaration> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the guarantees in `data_centre`, each with its account.
    pub fn guarantees_in<'a>(
        &'a self,
        data_centre: &'a str,
    ) -> impl Iterator<Item = (&'a AccountDeclaration, &'a GuaranteeDeclaration)> {
        self.accounts.iter().flat_map(move |account| {
            account
                .guarantees
                .iter()
                .filter(move |guarantee| guarantee.data_centre == data_centre)
                .map(move |guarantee| (account, guarantee))
        })
    }
}
