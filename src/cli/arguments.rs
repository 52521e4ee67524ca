//! Defines the arguments and subcommands of the command line.

use argh::FromArgs;
use std::path::PathBuf;

/// Submit jobs to fuchsiaslip and operate it. Exit codes: 0 done, 1 failed, 2
/// wrong usage, 3 refused and not run, 4 outcome unknown, 5 not found.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --daemon 127.0.0.1:7100 --token-file token submit --class urgent --key order-17 --accelerators 1 --run-ms 200 --payload '{{}}' --wait-ms 5000",
    example = "{command_name} --daemon 127.0.0.1:7100 --token-file token status --why zg-dubrava.0000000100000000",
    example = "{command_name} --daemon 127.0.0.1:7100 --token-file token apply patch.toml"
)]
pub struct Arguments {
    /// address of a daemon (default 127.0.0.1:7100)
    #[argh(option, default = "default_daemon()")]
    pub daemon: String,
    /// file that holds the bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

fn default_daemon() -> String {
    "127.0.0.1:7100".to_owned()
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Submit a job.
    Submit(SubmitCommand),
    /// Show a job.
    Status(StatusCommand),
    /// Fetch an answer.
    Answer(AnswerCommand),
    /// Cancel jobs.
    Cancel(CancelCommand),
    /// Show what a patch would change.
    Plan(PlanCommand),
    /// Submit a patch.
    Apply(ApplyCommand),
    /// Show the configuration.
    Configuration(ConfigurationCommand),
    /// Show the workers.
    Workers(WorkersCommand),
    /// Show the accounts.
    Accounts(AccountsCommand),
    /// Drain the daemon.
    Drain(DrainCommand),
    /// Inspect a ledger.
    Ledger(LedgerCommand),
    /// Make the digest of a token.
    Digest(DigestCommand),
    /// Show a fleet on an operator's platform.
    Fleet(FleetCommand),
}

/// submit a job under an idempotency key of your own
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitCommand {
    /// class of work
    #[argh(option)]
    pub class: String,
    /// idempotency key; the same key is the same job
    #[argh(option)]
    pub key: String,
    /// accelerators on each worker
    #[argh(option, default = "1")]
    pub accelerators: u16,
    /// workers of the gang
    #[argh(option, default = "1")]
    pub workers: u16,
    /// anywhere, neighbouring-racks or rack
    #[argh(option, default = "String::from(\"anywhere\")")]
    pub adjacency: String,
    /// the job may be started again after it may have begun
    #[argh(switch)]
    pub idempotent: bool,
    /// estimate of the run time
    #[argh(option)]
    pub run_ms: u64,
    /// what the task is given
    #[argh(option, default = "String::new()")]
    pub payload: String,
    /// how long to wait for the answer
    #[argh(option, default = "0")]
    pub wait_ms: u64,
}

/// show a job
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// also say why it waits, where it would go and what it waits for
    #[argh(switch)]
    pub why: bool,
    /// the job
    #[argh(positional)]
    pub job: String,
}

/// write a job's answer to standard output
#[derive(FromArgs)]
#[argh(subcommand, name = "answer")]
pub struct AnswerCommand {
    /// how long to wait for it
    #[argh(option, default = "0")]
    pub wait_ms: u64,
    /// the job
    #[argh(positional)]
    pub job: String,
}

/// cancel jobs
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct CancelCommand {
    /// the jobs
    #[argh(positional)]
    pub jobs: Vec<String>,
}

/// show what a patch would change, and whether it would be refused
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanCommand {
    /// the patch in TOML
    #[argh(positional)]
    pub patch: PathBuf,
}

/// submit a patch; submitting the same patch twice is safe
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyCommand {
    /// the patch in TOML
    #[argh(positional)]
    pub patch: PathBuf,
}

/// show the configuration in force and its history
#[derive(FromArgs)]
#[argh(subcommand, name = "configuration")]
pub struct ConfigurationCommand {}

/// show the workers of a data centre
#[derive(FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct WorkersCommand {
    /// the data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// show the accounts in a data centre: guarantee, use, lent, reclaimable
#[derive(FromArgs)]
#[argh(subcommand, name = "accounts")]
pub struct AccountsCommand {
    /// the data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// drain the daemon that is addressed
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainCommand {}

/// check or print the ledger of a data centre, straight from the store
#[derive(FromArgs)]
#[argh(subcommand, name = "ledger")]
pub struct LedgerCommand {
    /// address of the platform's key-value service
    #[argh(option)]
    pub platform: String,
    /// check or dump
    #[argh(positional)]
    pub action: String,
    /// the data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// print the digest of the token in the token file, for a declaration
#[derive(FromArgs)]
#[argh(subcommand, name = "digest")]
pub struct DigestCommand {}

/// show what an operators' platform stores of the fleet, or of one job; no
/// daemon is asked
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetCommand {
    /// address of the platform's store
    #[argh(option)]
    pub store: String,
    /// release the job, which was set aside after several owners failed on it
    #[argh(switch)]
    pub release: bool,
    /// the job, 16 hexadecimal digits
    #[argh(positional)]
    pub job: Option<String>,
}
