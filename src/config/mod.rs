//! Defines the operators' configuration and the patches that change it.
//!
//! A configuration declares operators, classes of work, client accounts with their
//! guarantees, and weights. Every accepted patch makes the next numbered version.

mod declaration;
mod patch;

pub use declaration::{
    AccountDeclaration,
    ClassDeclaration,
    Declaration,
    GuaranteeDeclaration,
    OperatorDeclaration,
    Weights, //
};
pub use patch::{
    Configuration,
    Patch,
    PatchProblem,
    PatchSummary, //
};
