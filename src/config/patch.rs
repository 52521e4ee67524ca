//! Applies operators' patches to the configuration.
//!
//! A patch names the version that it was written against. It is applied as a whole,
//! or refused with every reason at once.

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

/// Number of accepted patches that a configuration keeps in its history.
const HISTORY_LENGTH: usize = 64;
const SHA256_HEX_LENGTH: usize = 64;

/// A change to the configuration as operators write it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id that the operator chooses. A patch whose id is in the history is not applied
    /// again, so that a submission can be retried safely.
    pub id: String,
    /// The version that the patch was written against.
    pub base_version: u64,
    /// Weights to replace the present ones; `None` keeps them.
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
    /// The version that the patch created.
    pub version: u64,
    /// The id that the operator chose for the patch.
    pub id: String,
    /// The operator who submitted it.
    pub operator: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Descriptions of the changes, one line each.
    pub changes: Vec<String>,
}

/// The stored configuration: one numbered version and the latest patches up to it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Configuration {
    /// Number of this version. Each accepted patch increases it by one.
    pub version: u64,
    /// The declaration in force.
    pub declaration: Declaration,
    /// The most recently accepted patches, oldest first.
    pub history: Vec<PatchSummary>,
}

/// Reasons to refuse a patch. Each message names the remedy.
#[derive(Clone, Debug, thiserror::Error, Eq, PartialEq)]
pub enum PatchProblem {
    /// The patch was written against another version than the one in force.
    #[error(
        "the patch is against version {base} but version {current} is in force; \
         changed since: {changed}; rebase the patch on version {current}"
    )]
    Conflict {
        /// Version that the patch names.
        base: u64,
        /// Version in force.
        current: u64,
        /// Changes of the versions after `base`, separated by `; `.
        changed: String,
    },
    /// The patch has no id.
    #[error("the patch has no id; give it one, so that submitting it twice is safe")]
    NoId,
    /// Two entries of one kind have the same name.
    #[error("{kind} `{name}` is declared twice; keep one of them")]
    Duplicate {
        /// Kind of the entry.
        kind: &'static str,
        /// The duplicate name.
        name: String,
    },
    /// An entry to remove is not declared.
    #[error("{kind} `{name}` is not declared; delete it from the list of entries to remove")]
    Unknown {
        /// Kind of the entry.
        kind: &'static str,
        /// The undeclared name.
        name: String,
    },
    /// A token digest is not a SHA-256 in hexadecimal.
    #[error("`{name}` has a token_sha256 that is not 64 hexadecimal digits; use `sha256sum`")]
    TokenDigest {
        /// Name of the account or operator.
        name: String,
    },
    /// A field has an invalid value.
    #[error("{kind} `{name}`: {field} is out of range; {remedy}")]
    OutOfRange {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of the entry.
        name: String,
        /// The field, or the fields that contradict each other.
        field: &'static str,
        /// What to write instead.
        remedy: &'static str,
    },
    /// The data centres of an account were changed.
    #[error(
        "account `{account}`: data_centres is fixed once declared, because an idempotency key's \
         home is computed from it; declare a new account instead"
    )]
    DataCentresChanged {
        /// The account.
        account: String,
    },
    /// A guarantee is in a data centre that is not one of the account's.
    #[error(
        "account `{account}` has a guarantee in `{data_centre}`, which is not among its \
         data_centres; add it when the account is created"
    )]
    GuaranteeOutsideAccount {
        /// The account.
        account: String,
        /// Data centre of the guarantee.
        data_centre: String,
    },
    /// No assignment of accelerators satisfies all guarantees of a data centre at once.
    #[error(
        "account `{account}`: {missing} of its guaranteed shapes do not fit in \
         `{data_centre}` together with the other guarantees; lower a count or add workers"
    )]
    GuaranteesUnmet {
        /// The account whose guarantees are not all satisfied.
        account: String,
        /// The data centre that is too small.
        data_centre: String,
        /// Number of guaranteed shapes that do not fit.
        missing: u16,
    },
    /// The platform did not return the list of the data centre's workers.
    #[error(
        "the workers of `{data_centre}` are currently unknown, so its guarantees cannot be checked; \
         submit the patch again"
    )]
    FleetUnknown {
        /// The data centre.
        data_centre: String,
    },
    /// The patch leaves no operator, so that nobody could change the configuration
    /// afterwards.
    #[error("the patch would leave no operator; keep at least one")]
    NoOperator,
}

impl Configuration {
    /// Returns the summary of the accepted patch with the id `patch_id`, if the history
    /// still contains it.
    pub fn accepted(&self, patch_id: &str) -> Option<&PatchSummary> {
        self.history.iter().find(|summary| summary.id == patch_id)
    }

    /// Returns the next version, which is this one with `patch` applied.
    ///
    /// # Errors
    ///
    /// Returns every reason for which the patch is refused. No part of it is applied then.
    pub fn apply(
        &self,
        patch: &Patch,
        operator: &str,
        accepted_ms: u64,
    ) -> Result<Configuration, Vec<PatchProblem>> {
        let mut problems = self.check_id_and_version(patch);
        problems.extend(self.unknown_removals(patch));
        problems.extend(duplicate_names(patch));
        problems.extend(self.changed_data_centres(patch));
        let declaration = self.patched_declaration(patch);
        problems.extend(check_declaration(&declaration));
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
        let excess = history.len().saturating_sub(HISTORY_LENGTH);
        history.drain(..excess);
        Ok(Configuration {
            version,
            declaration,
            history,
        })
    }

    /// Describes what `patch` would change, one line per change.
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
        describe_upserts(
            &mut lines,
            "operator",
            &self.declaration.operators,
            &patch.operators,
            |entry| &entry.name,
        );
        describe_upserts(
            &mut lines,
            "class",
            &self.declaration.classes,
            &patch.classes,
            |entry| &entry.name,
        );
        describe_upserts(
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

    fn check_id_and_version(&self, patch: &Patch) -> Vec<PatchProblem> {
        let mut problems = Vec::new();
        if patch.id.is_empty() {
            problems.push(PatchProblem::NoId);
        }
        if patch.base_version != self.version {
            let later_changes: Vec<String> = self
                .history
                .iter()
                .filter(|summary| summary.version > patch.base_version)
                .flat_map(|summary| summary.changes.iter().cloned())
                .collect();
            problems.push(PatchProblem::Conflict {
                base: patch.base_version,
                current: self.version,
                changed: later_changes.join("; "),
            });
        }
        problems
    }

    fn unknown_removals(&self, patch: &Patch) -> Vec<PatchProblem> {
        let is_declared = |kind: &str, name: &String| match kind {
            "operator" => self.declaration.operators.iter().any(|o| o.name == *name),
            "class" => self.declaration.class(name).is_some(),
            _ => self.declaration.account(name).is_some(),
        };
        patch
            .removals()
            .into_iter()
            .flat_map(|(kind, names)| names.iter().map(move |name| (kind, name)))
            .filter(|(kind, name)| !is_declared(kind, name))
            .map(|(kind, name)| PatchProblem::Unknown {
                kind,
                name: name.clone(),
            })
            .collect()
    }

    fn changed_data_centres(&self, patch: &Patch) -> Vec<PatchProblem> {
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

    /// Returns the declaration with the changes of `patch`, unchecked.
    fn patched_declaration(&self, patch: &Patch) -> Declaration {
        let before = &self.declaration;
        Declaration {
            weights: patch.weights.unwrap_or(before.weights),
            operators: merge_entries(
                &before.operators,
                &patch.operators,
                &patch.remove_operators,
                |entry| &entry.name,
            ),
            classes: merge_entries(
                &before.classes,
                &patch.classes,
                &patch.remove_classes,
                |entry| &entry.name,
            ),
            accounts: merge_entries(
                &before.accounts,
                &patch.accounts,
                &patch.remove_accounts,
                |entry| &entry.name,
            ),
        }
    }
}

impl Patch {
    /// Returns the names of the entries to remove, by kind.
    fn removals(&self) -> [(&'static str, &Vec<String>); 3] {
        [
            ("operator", &self.remove_operators),
            ("class", &self.remove_classes),
            ("account", &self.remove_accounts),
        ]
    }
}

/// Returns `before` without the removed and replaced entries, followed by `upserts`.
fn merge_entries<T: Clone>(
    before: &[T],
    upserts: &[T],
    removals: &[String],
    name: impl Fn(&T) -> &String,
) -> Vec<T> {
    let is_kept = |entry: &&T| {
        !removals.contains(name(entry)) && !upserts.iter().any(|new| name(new) == name(entry))
    };
    let unchanged = before.iter().filter(is_kept).cloned();
    unchanged.chain(upserts.iter().cloned()).collect()
}

/// Adds a line to `lines` for each entry that `upserts` adds (`+`) or changes (`~`).
fn describe_upserts<T: PartialEq>(
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

fn duplicate_names(patch: &Patch) -> Vec<PatchProblem> {
    fn duplicates_of<'a>(
        kind: &'static str,
        names: impl Iterator<Item = &'a String>,
    ) -> Vec<PatchProblem> {
        let mut seen = HashSet::new();
        names
            .filter(|name| !seen.insert(name.as_str()))
            .map(|name| PatchProblem::Duplicate {
                kind,
                name: name.clone(),
            })
            .collect()
    }
    let mut problems = duplicates_of("operator", patch.operators.iter().map(|e| &e.name));
    problems.extend(duplicates_of(
        "class",
        patch.classes.iter().map(|e| &e.name),
    ));
    problems.extend(duplicates_of(
        "account",
        patch.accounts.iter().map(|e| &e.name),
    ));
    problems
}

fn check_declaration(declaration: &Declaration) -> Vec<PatchProblem> {
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
    let is_hexadecimal = digest.chars().all(|c| c.is_ascii_hexdigit());
    if digest.len() != SHA256_HEX_LENGTH || !is_hexadecimal {
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
            problems.push(PatchProblem::GuaranteeOutsideAccount {
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
