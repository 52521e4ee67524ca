//! The command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    fuchsiaslip::cli::run()
}
