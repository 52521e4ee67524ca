//! Patches against a numbered version: whole, or refused with every reason.

use super::{
    AccountDeclaration,
    ClassDeclaration,
    Declaration,
    OperatorDeclaration,
    Weights, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::HashSet;

/// How many accepted patches a configuration value remembers.
const HISTORY_LENGTH: usize = 64;
const SHA256_HEX_LENGTH: usize = 64;

/// A change to the configuration as operators write it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The operator's own name for the patch; submitting it twice is safe.
    pub id: String,
    /// The version that the patch was written against.
    pub base_version: u64,
    /// New weights.
    #[serde(default)]
    pub weights: Option<Weights>,
    /// Operators to add or replace by name.
    #[serde(default, rename = "operator")]
    pub operators: Vec<OperatorDeclaration>,
    /// Operators to remove.
    #[serde(default)]
    pub remove_operators: Vec<String>,
    /// Classes to add or replace by name.
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassDeclaration>,
    /// Classes to remove.
    #[serde(default)]
    pub remove_classes: Vec<String>,
    /// Accounts to add or replace by name.
    #[serde(default, rename = "account")]
    pub accounts: Vec<AccountDeclaration>,
    /// Accounts to remove.
    #[serde(default)]
    pub remove_accounts: Vec<String>,
}

/// One accepted patch in the history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PatchSummary {
    /// The version that the patch made.
    pub version: u64,
    /// The patch's own name.
    pub id: String,
    /// The operator who submitted it.
    pub operator: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// What it changed, a line each.
    pub changes: Vec<String>,
}

/// The stored configuration: one numbered version with its recent history.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Number of this version; it only grows.
    pub version: u64,
    /// The declaration in force.
    pub declaration: Declaration,
    /// The latest accepted patches, oldest first.
    pub history: Vec<PatchSummary>,
}

/// Why a patch is refused; the message names the remedy.
#[derive(Clone, Debug, thiserror::Error, Eq, PartialEq)]
pub enum PatchProblem {
    /// Another operator's patch came first.
    #[error(
        "the patch is against version {base} but version {current} is in force; \
         changed since: {changed}; rebase the patch on version {current}"
    )]
    Conflict {
        /// Version that the patch names.
        base: u64,
        /// Version in force.
        current: u64,
        /// What the versions in between changed.
        changed: String,
    },
    /// The patch has no name of its own.
    #[error("the patch has no id; give it one, so that submitting it twice is safe")]
    NoId,
    /// Two entries carry one name.
    #[error("{kind} `{name}` is declared twice; keep one of them")]
    Duplicate {
        /// Kind of the entry.
        kind: &'static str,
        /// Name that stands twice.
        name: String,
    },
    /// An entry to remove is not there.
    #[error("{kind} `{name}` is not declared; take it out of the removals")]
    Unknown {
        /// Kind of the entry.
        kind: &'static str,
        /// Name that was not found.
        name: String,
    },
    /// A token digest is not a SHA-256 in hexadecimal.
    #[error("`{name}` has a token_sha256 that is not 64 hexadecimal digits; use `sha256sum`")]
    TokenDigest {
        /// Account or operator.
        name: String,
    },
    /// A field has a value that cannot work.
    #[error("{kind} `{name}`: {field} is out of range; {remedy}")]
    OutOfRange {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of the entry.
        name: String,
        /// Field with the value.
        field: &'static str,
        /// What to write instead.
        remedy: &'static str,
    },
    /// The account's home data centres were changed.
    #[error(
        "account `{account}`: data_centres is fixed once declared, because an idempotency key's \
         home is computed from it; declare a new account instead"
    )]
    DataCentresChanged {
        /// The account.
        account: String,
    },
    /// A guarantee stands outside the account's data centres.
    #[error(
        "account `{account}` has a guarantee in `{data_centre}`, which is not among its \
         data_centres; add it when the account is created"
    )]
    GuaranteeElsewhere {
        /// The account.
        account: String,
        /// Where the guarantee stands.
        data_centre: String,
    },
    /// No assignment of accelerators satisfies all guarantees together.
    #[error(
        "account `{account}`: {missing} of its guaranteed shapes cannot be had in \
         `{data_centre}` beside the other guarantees; lower a count or add workers"
    )]
    NoWitness {
        /// The account that cannot fit.
        account: String,
        /// Where it does not fit.
        data_centre: String,
        /// How many shapes lack a place.
        missing: u16,
    },
    /// The platform's list of the data centre's workers cannot be had.
    #[error(
        "the workers of `{data_centre}` are not known now, so its guarantees cannot be checked; \
         submit the patch again"
    )]
    FleetUnknown {
        /// The data centre.
        data_centre: String,
    },
    /// Nobody could change the configuration any more.
    #[error("the patch would leave no operator; keep at least one")]
    NoOperator,
}

impl Configuration {
    /// Whether a patch of that id was accepted, and in which version.
    pub fn accepted(&self, patch_id: &str) -> Option<&PatchSummary> {
        self.history.iter().find(|summary| summary.id == patch_id)
    }

    /// The next version after `patch`.
    ///
    /// # Errors
    ///
    /// All reasons at once why the patch is refused; nothing of it is taken.
    pub fn apply(
        &self,
        patch: &Patch,
        operator: &str,
        accepted_ms: u64,
    ) -> Result<Configuration, Vec<PatchProblem>> {
        let mut problems = self.conflict(patch);
        problems.extend(self.unknown_removals(patch));
        problems.extend(duplicates(patch));
        problems.extend(self.moved_accounts(patch));
        let declaration = self.changed(patch);
        problems.extend(check(&declaration));
        if !problems.is_empty() {
            return Err(problems);
        }
        let version = self.version + 1;
        let mut history = self.history.clone();
        history.push(PatchSummary {
            version,
            id: patch.id.clone(),
            operator: operator.to_owned(),
            accepted_ms,
            changes: self.changes(patch),
        });
        let surplus = history.len().saturating_sub(HISTORY_LENGTH);
        history.drain(..surplus);
        Ok(Configuration {
            version,
            declaration,
            history,
        })
    }

    /// What `patch` would change, a line each.
    pub fn changes(&self, patch: &Patch) -> Vec<String> {
        let mut lines = Vec::new();
        if let Some(weights) = patch.weights {
            lines.push(format!(
                "weights: completion {} -> {}, fragmentation {} -> {}",
                self.declaration.weights.completion,
                weights.completion,
                self.declaration.weights.fragmentation,
                weights.fragmentation
            ));
        }
        describe(
            &mut lines,
            "operator",
            &self.declaration.operators,
            &patch.operators,
            |entry| &entry.name,
        );
        describe(
            &mut lines,
            "class",
            &self.declaration.classes,
            &patch.classes,
            |entry| &entry.name,
        );
        describe(
            &mut lines,
            "account",
            &self.declaration.accounts,
            &patch.accounts,
            |entry| &entry.name,
        );
        for (kind, names) in patch.removals() {
            lines.extend(names.iter().map(|name| format!("- {kind} {name}")));
        }
        lines
    }

    fn conflict(&self, patch: &Patch) -> Vec<PatchProblem> {
        let mut problems = Vec::new();
        if patch.id.is_empty() {
            problems.push(PatchProblem::NoId);
        }
        if patch.base_version != self.version {
            let since: Vec<String> = self
                .history
                .iter()
                .filter(|summary| summary.version > patch.base_version)
                .flat_map(|summary| summary.changes.iter().cloned())
                .collect();
            problems.push(PatchProblem::Conflict {
                base: patch.base_version,
                current: self.version,
                changed: since.join("; "),
            });
        }
        problems
    }

    fn unknown_removals(&self, patch: &Patch) -> Vec<PatchProblem> {
        let declared = |kind: &str, name: &String| match kind {
            "operator" => self.declaration.operators.iter().any(|o| o.name == *name),
            "class" => self.declaration.class(name).is_some(),
            _ => self.declaration.account(name).is_some(),
        };
        patch
            .removals()
            .into_iter()
            .flat_map(|(kind, names)| names.iter().map(move |name| (kind, name)))
            .filter(|(kind, name)| !declared(kind, name))
            .map(|(kind, name)| PatchProblem::Unknown {
                kind,
                name: name.clone(),
            })
            .collect()
    }

    fn moved_accounts(&self, patch: &Patch) -> Vec<PatchProblem> {
        patch
            .accounts
            .iter()
            .filter(|account| {
                self.declaration
                    .account(&account.name)
                    .is_some_and(|before| before.data_centres != account.data_centres)
            })
            .map(|account| PatchProblem::DataCentresChanged {
                account: account.name.clone(),
            })
            .collect()
    }

    fn changed(&self, patch: &Patch) -> Declaration {
        let before = &self.declaration;
        Declaration {
            weights: patch.weights.unwrap_or(before.weights),
            operators: merged(
                &before.operators,
                &patch.operators,
                &patch.remove_operators,
                |entry| &entry.name,
            ),
            classes: merged(
                &before.classes,
                &patch.classes,
                &patch.remove_classes,
                |entry| &entry.name,
            ),
            accounts: merged(
                &before.accounts,
                &patch.accounts,
                &patch.remove_accounts,
                |entry| &entry.name,
            ),
        }
    }
}

impl Patch {
    fn removals(&self) -> [(&'static str, &Vec<String>); 3] {
        [
            ("operator", &self.remove_operators),
            ("class", &self.remove_classes),
            ("account", &self.remove_accounts),
        ]
    }
}

fn merged<T: Clone>(
    before: &[T],
    upserts: &[T],
    removals: &[String],
    name: impl Fn(&T) -> &String,
) -> Vec<T> {
    let replaced = |entry: &&T| {
        !removals.contains(name(entry)) && !upserts.iter().any(|new| name(new) == name(entry))
    };
    let kept = before.iter().filter(replaced).cloned();
    kept.chain(upserts.iter().cloned()).collect()
}

fn describe<T: PartialEq>(
    lines: &mut Vec<String>,
    kind: &str,
    before: &[T],
    upserts: &[T],
    name: impl Fn(&T) -> &String,
) {
    for entry in upserts {
        match before.iter().find(|old| name(old) == name(entry)) {
            None => lines.push(format!("+ {kind} {}", name(entry))),
            Some(old) if old != entry => lines.push(format!("~ {kind} {}", name(entry))),
            Some(_) => {}
        }
    }
}

fn duplicates(patch: &Patch) -> Vec<PatchProblem> {
    fn twice<'a>(kind: &'static str, names: impl Iterator<Item = &'a String>) -> Vec<PatchProblem> {
        let mut seen = HashSet::new();
        names
            .filter(|name| !seen.insert(name.as_str()))
            .map(|name| PatchProblem::Duplicate {
                kind,
                name: name.clone(),
            })
            .collect()
    }
    let mut problems = twice("operator", patch.operators.iter().map(|e| &e.name));
    problems.extend(twice("class", patch.classes.iter().map(|e| &e.name)));
    problems.extend(twice("account", patch.accounts.iter().map(|e| &e.name)));
    problems
}

fn check(declaration: &Declaration) -> Vec<PatchProblem> {
    let mut problems = Vec::new();
    if declaration.operators.is_empty() {
        problems.push(PatchProblem::NoOperator);
    }
    for operator in &declaration.operators {
        check_digest(&mut problems, &operator.name, &operator.token_sha256);
    }
    for class in &declaration.classes {
        check_class(&mut problems, class);
    }
    for account in &declaration.accounts {
        check_account(&mut problems, account);
    }
    let weights = declaration.weights;
    if !(weights.completion >= 0.0 && weights.fragmentation >= 0.0) {
        problems.push(PatchProblem::OutOfRange {
            kind: "weights",
            name: String::new(),
            field: "completion, fragmentation",
            remedy: "write numbers of at least 0",
        });
    }
    problems
}

fn check_digest(problems: &mut Vec<PatchProblem>, name: &str, digest: &str) {
    let hexadecimal = digest.chars().all(|c| c.is_ascii_hexdigit());
    if digest.len() != SHA256_HEX_LENGTH || !hexadecimal {
        problems.push(PatchProblem::TokenDigest {
            name: name.to_owned(),
        });
    }
}

fn check_class(problems: &mut Vec<PatchProblem>, class: &ClassDeclaration) {
    if class.completion_ms == 0 {
        problems.push(PatchProblem::OutOfRange {
            kind: "class",
            name: class.name.clone(),
            field: "completion_ms",
            remedy: "write a time above 0",
        });
    }
    if class.reclaimable && class.urgent {
        problems.push(PatchProblem::OutOfRange {
            kind: "class",
            name: class.name.clone(),
            field: "urgent, reclaimable",
            remedy: "choose one of them: urgent work cannot be preempted",
        });
    }
}

fn check_account(problems: &mut Vec<PatchProblem>, account: &AccountDeclaration) {
    check_digest(problems, &account.name, &account.token_sha256);
    if account.data_centres.is_empty() {
        problems.push(PatchProblem::OutOfRange {
            kind: "account",
            name: account.name.clone(),
            field: "data_centres",
            remedy: "name at least one data centre",
        });
    }
    for guarantee in &account.guarantees {
        if !account.data_centres.contains(&guarantee.data_centre) {
            problems.push(PatchProblem::GuaranteeElsewhere {
                account: account.name.clone(),
                data_centre: guarantee.data_centre.clone(),
            });
        }
        if guarantee.accelerators_per_worker == 0 || guarantee.workers == 0 {
            problems.push(PatchProblem::OutOfRange {
                kind: "account",
                name: account.name.clone(),
                field: "guarantees",
                remedy: "a shape has at least one accelerator on one worker",
            });
        }
    }
}
