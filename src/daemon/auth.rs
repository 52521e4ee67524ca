//! Authenticates callers by bearer token.

use crate::config::Configuration;
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;

/// The identity that a token belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// A client account.
    Account(String),
    /// An operator.
    Operator(String),
}

/// Name of the bootstrap operator in the history of the configuration.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// Returns the SHA-256 of a token in lowercase hexadecimal, the form in which
/// declarations contain it.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Returns the caller that `token` belongs to. The bootstrap token is accepted only
/// while the configuration names no operator.
///
/// Every digest is compared, each in constant time, so that the time taken reveals
/// nothing about a partial match.
pub fn authenticate(
    configuration: Option<&Configuration>,
    bootstrap_sha256: Option<&str>,
    token: &str,
) -> Option<Caller> {
    let digest = token_digest(token);
    let is_same = |declared: &str| bool::from(digest.as_bytes().ct_eq(declared.as_bytes()));
    let mut found = None;
    let declaration = configuration.map(|c| &c.declaration);
    for account in declaration.iter().flat_map(|d| &d.accounts) {
        if is_same(&account.token_sha256) {
            found = Some(Caller::Account(account.name.clone()));
        }
    }
    for operator in declaration.iter().flat_map(|d| &d.operators) {
        if is_same(&operator.token_sha256) {
            found = Some(Caller::Operator(operator.name.clone()));
        }
    }
    let no_operator = declaration.is_none_or(|d| d.operators.is_empty());
    if no_operator && bootstrap_sha256.is_some_and(is_same) {
        found = Some(Caller::Operator(BOOTSTRAP_OPERATOR.to_owned()));
    }
    found
}
