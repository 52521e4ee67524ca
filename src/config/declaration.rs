//! What operators declare, as it stands in TOML under version control.

use crate::core::{
    Adjacency,
    Shape, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Completion time of work whose class was withdrawn.
const WITHDRAWN_COMPLETION_MS: u64 = 24 * 3_600_000;

/// How much each of the users' two measures counts when placements compete.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of completion time against class.
    pub completion: f64,
    /// Weight of fragmentation.
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
    /// Agreed time from acceptance to answer.
    pub completion_ms: u64,
    /// Starts at once, taking accelerators from reclaimable work if need be.
    #[serde(default)]
    pub urgent: bool,
    /// May call the account's guaranteed shape back from lent capacity.
    #[serde(default)]
    pub reclaims: bool,
    /// May run on lent capacity and be preempted after a checkpoint.
    #[serde(default)]
    pub reclaimable: bool,
    /// Time a preempted task has for its checkpoint before it is stopped.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Preemptions after which a job runs only where nothing can preempt it.
    #[serde(default = "default_max_preemptions")]
    pub max_preemptions: u32,
    /// Refuse at submission what cannot make its completion time.
    #[serde(default)]
    pub refuse_when_late: bool,
    /// Most jobs of the class that may wait in one data centre.
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

/// A shape that an account can always have back in one data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteeDeclaration {
    /// Where the shape stands.
    pub data_centre: String,
    /// Accelerators on each worker.
    pub accelerators_per_worker: u16,
    /// Workers of the shape.
    #[serde(default = "one_worker")]
    pub workers: u16,
    /// How close the workers are.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// How many of the shape.
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
    /// What stands in for a class that was withdrawn while jobs of it live:
    /// nothing is preempted for it and it is never preempted.
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
    /// What stands in for an account that was withdrawn while its jobs live.
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
    /// The guaranteed shape.
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
    /// Data centres that hold the account's jobs; fixed once declared, since
    /// the home of an idempotency key is computed from it.
    pub data_centres: Vec<String>,
    /// Most accelerators in use at a time in one data centre.
    pub quota_accelerators: u32,
    /// Most jobs that may wait in one data centre.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Weight of the account's share of the surplus.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Retries after failures that the account may draw in a minute.
    #[serde(default = "default_retries_per_minute")]
    pub retries_per_minute: u32,
    /// Shapes that the account can always have back.
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
    /// Name that history shows.
    pub name: String,
    /// SHA-256 of the operator's bearer token, in hexadecimal.
    pub token_sha256: String,
}

/// The whole declaration, the content of one numbered version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Weights of the two measures.
    #[serde(default)]
    pub weights: Weights,
    /// Who may change the configuration.
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
    /// The account of `name`.
    pub fn account(&self, name: &str) -> Option<&AccountDeclaration> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// The class of `name`.
    pub fn class(&self, name: &str) -> Option<&ClassDeclaration> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Guarantees that stand in `data_centre`, with their account.
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
