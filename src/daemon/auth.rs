//! Who a caller is, by bearer token.

use crate::config::Configuration;
use sha2::{
    Digest,
    Sha256, //
};
use subtle::ConstantTimeEq;

/// Whom a token belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// A client account.
    Account(String),
    /// An operator.
    Operator(String),
}

/// Name under which the bootstrap operator stands in the history.
const BOOTSTRAP_OPERATOR: &str = "bootstrap";

/// SHA-256 of a token in hexadecimal, as declarations hold it.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Finds the owner of `token`. Every digest is compared, each in constant
/// time, so that the time taken tells nothing about a near miss.
pub fn authenticate(
    configuration: Option<&Configuration>,
    bootstrap_sha256: Option<&str>,
    token: &str,
) -> Option<Caller> {
    let digest = token_digest(token);
    let same = |declared: &str| bool::from(digest.as_bytes().ct_eq(declared.as_bytes()));
    let mut found = None;
    let declaration = configuration.map(|c| &c.declaration);
    for account in declaration.iter().flat_map(|d| &d.accounts) {
        if same(&account.token_sha256) {
            found = Some(Caller::Account(account.name.clone()));
        }
    }
    for operator in declaration.iter().flat_map(|d| &d.operators) {
        if same(&operator.token_sha256) {
            found = Some(Caller::Operator(operator.name.clone()));
        }
    }
    let no_operator = declaration.is_none_or(|d| d.operators.is_empty());
    if no_operator && bootstrap_sha256.is_some_and(same) {
        found = Some(Caller::Operator(BOOTSTRAP_OPERATOR.to_owned()));
    }
    found
}
