//! Implements the command line program `fuchsiaslip`.

mod arguments;
mod output;
mod run;

pub use run::{
    Error,
    run, //
};
