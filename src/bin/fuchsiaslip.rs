//! The command-line program `fuchsiaslip`.

use std::process::ExitCode;

fn main() -> ExitCode {
    fuchsiaslip::cli::run()
}
