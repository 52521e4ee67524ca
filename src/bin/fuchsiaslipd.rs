//! The daemon `fuchsiaslipd`.

use std::process::ExitCode;

fn main() -> ExitCode {
    match fuchsiaslip::daemon::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
