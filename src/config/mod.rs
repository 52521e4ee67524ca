//! The operators' declarations: classes, client accounts and weights.

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
