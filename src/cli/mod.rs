//! The command line.

mod arguments;
mod output;
mod run;

pub use run::{
    Error,
    run, //
};
