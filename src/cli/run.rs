//! Runs the commands of the command line and returns their exit codes.

use super::arguments::{
    Arguments,
    Command,
    FleetCommand,
    LedgerCommand,
    SubmitCommand, //
};
use super::output;
use crate::backend::{
    HttpBackend,
    Store,
    StoreAnswer,
    StoreCall,
    StoreFailure, //
};
use crate::client::{
    Client,
    ClientError,
    Response,
    Submit, //
};
use crate::cluster::{
    StoreError,
    has_tombstone,
    inspect_fleet,
    inspect_job,
    job_id,
    release_job, //
};
use crate::core::Adjacency;
use crate::daemon::token_digest;
use crate::ledger;
use crate::timer::Timer;
use bytes::Bytes;
use std::io::Write;
use std::path::{
    Path,
    PathBuf, //
};
use std::process::ExitCode;

const EXIT_USAGE: u8 = 2;
const EXIT_NOT_RUN: u8 = 3;
const EXIT_OUTCOME_UNKNOWN: u8 = 4;
const EXIT_NOT_FOUND: u8 = 5;

/// Errors that end a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{path} cannot be read: {source}; name a readable file", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An argument has an invalid value.
    #[error("{argument} cannot be `{value}`; use {choices}")]
    Argument {
        /// The argument.
        argument: &'static str,
        /// The invalid value.
        value: String,
        /// Description of the valid values.
        choices: &'static str,
    },
    /// The timer's thread cannot be started, or standard output cannot be written.
    #[error("cannot start the timer or write the output: {0}")]
    System(#[from] std::io::Error),
    /// The daemon returned no complete response.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The platform's key-value service, which holds the ledger, did not answer.
    #[error(transparent)]
    Store(#[from] StoreFailure),
    /// The store of the operators' platform did not answer.
    #[error(transparent)]
    Fleet(#[from] StoreError),
    /// A ledger value cannot be decoded.
    #[error("{key}: {source}")]
    Ledger {
        /// Key of the value.
        key: String,
        /// Reason from the decoder.
        source: ledger::EnvelopeError,
    },
    /// A ledger value is missing.
    #[error("{key} is missing; no daemon has owned the data centre, or its name is wrong")]
    Missing {
        /// Key of the value.
        key: String,
    },
}

impl Error {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Argument { .. } | Self::File { .. } => ExitCode::from(EXIT_USAGE),
            Self::Client(_) => ExitCode::from(EXIT_OUTCOME_UNKNOWN),
            Self::Missing { .. } => ExitCode::from(EXIT_NOT_FOUND),
            _ => ExitCode::FAILURE,
        }
    }
}

/// Runs the command that the process's arguments ask for and returns its exit code.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match actix_rt::System::new().block_on(execute(&arguments)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

async fn execute(arguments: &Arguments) -> Result<ExitCode, Error> {
    let timer = Timer::spawn()?;
    let token = match &arguments.token_file {
        Some(path) => read_file(path)?.trim().to_owned(),
        None => String::new(),
    };
    let client = Client::open(&arguments.daemon, &token, timer.clone());
    let response = match &arguments.command {
        Command::Submit(command) => submit(&client, command).await?,
        Command::Status(command) => client.status(&command.job).await?,
        Command::Answer(command) => client.answer(&command.job, command.wait_ms).await?,
        Command::Cancel(command) => client.cancel(&command.jobs).await?,
        Command::Plan(command) => client.plan(&read_file(&command.patch)?).await?,
        Command::Apply(command) => client.apply(&read_file(&command.patch)?).await?,
        Command::Configuration(_) => client.get("v1/configuration", 0).await?,
        Command::Workers(command) => {
            client
                .get(&format!("v1/workers/{}", command.data_centre), 0)
                .await?
        }
        Command::Accounts(command) => {
            client
                .get(&format!("v1/accounts/{}", command.data_centre), 0)
                .await?
        }
        Command::Drain(_) => client.drain().await?,
        Command::Fleet(command) => return show_fleet(command, timer).await,
        Command::Ledger(command) => return inspect_ledger(command, timer).await,
        Command::Digest(_) => {
            println!("{}", token_digest(&token));
            return Ok(ExitCode::SUCCESS);
        }
    };
    print_response(arguments, &response)
}

fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}

async fn submit(client: &Client, command: &SubmitCommand) -> Result<Response, Error> {
    let adjacency = match command.adjacency.as_str() {
        "anywhere" => Adjacency::Anywhere,
        "neighbouring-racks" => Adjacency::NeighbouringRacks,
        "rack" => Adjacency::Rack,
        other => {
            return Err(Error::Argument {
                argument: "--adjacency",
                value: other.to_owned(),
                choices: "anywhere, neighbouring-racks or rack",
            });
        }
    };
    let submit = Submit {
        class: command.class.clone(),
        accelerators_per_worker: command.accelerators,
        workers: command.workers,
        adjacency,
        idempotent: command.idempotent,
        declared_run_ms: command.run_ms,
        payload: command.payload.clone(),
    };
    Ok(client
        .submit(&command.key, &submit, command.wait_ms)
        .await?)
}

/// Prints the response and returns the exit code for its status.
fn print_response(arguments: &Arguments, response: &Response) -> Result<ExitCode, Error> {
    if !response.status.is_success() {
        let error = response.error();
        match arguments.json || error.error.is_empty() {
            true => eprintln!("{}", String::from_utf8_lossy(&response.body)),
            false => eprintln!("{}: {}", error.error, error.message),
        }
        return Ok(match (error.not_run, response.status.as_u16()) {
            (true, _) => ExitCode::from(EXIT_NOT_RUN),
            (_, 404) => ExitCode::from(EXIT_NOT_FOUND),
            (_, 504) => ExitCode::from(EXIT_OUTCOME_UNKNOWN),
            _ => ExitCode::FAILURE,
        });
    }
    let text = match &arguments.command {
        _ if arguments.json => None,
        Command::Status(command) => output::job(&response.body, command.why),
        Command::Accounts(_) => output::accounts(&response.body),
        Command::Workers(_) => output::workers(&response.body),
        _ => None,
    };
    let mut stdout = std::io::stdout();
    match text {
        Some(text) => stdout.write_all(text.as_bytes())?,
        None => {
            stdout.write_all(&response.body)?;
            if response.job.is_none() {
                stdout.write_all(b"\n")?;
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Decodes the ledger of a data centre from the store and prints a summary, and its jobs
/// and changes too if the action is `dump`.
async fn inspect_ledger(command: &LedgerCommand, timer: Timer) -> Result<ExitCode, Error> {
    let dump = match command.action.as_str() {
        "check" => false,
        "dump" => true,
        other => {
            return Err(Error::Argument {
                argument: "ledger",
                value: other.to_owned(),
                choices: "check or dump",
            });
        }
    };
    let store = HttpBackend::open(&command.platform, timer).store();
    let key = ledger::root_key(&command.data_centre);
    let value = fetch_value(&store, &key).await?;
    let root = ledger::decode_root(value).map_err(|source| Error::Ledger { key, source })?;
    println!(
        "epoch {}, commit {}, owner {}, configuration version {}, {} pages, {} changes since",
        root.epoch,
        root.sequence,
        root.owner,
        root.configuration_version,
        root.pages.len(),
        root.tail.len()
    );
    for reference in &root.pages {
        let key = ledger::page_key(&command.data_centre, reference.number, reference.slot);
        let value = fetch_value(&store, &key).await?;
        let page = ledger::decode_page(value, reference);
        let page = page.map_err(|source| Error::Ledger { key, source })?;
        println!("page {}: {} jobs", reference.number, page.jobs.len());
        if dump {
            page.jobs.iter().for_each(|job| println!("{job:#?}"));
        }
    }
    if dump {
        root.tail.iter().for_each(|change| println!("{change:#?}"));
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the state of the fleet, or of one job, from the store of an operators'
/// platform.
async fn show_fleet(command: &FleetCommand, timer: Timer) -> Result<ExitCode, Error> {
    let Some(name) = &command.job else {
        let report = inspect_fleet(&command.store, timer).await?;
        print!("{}", output::fleet(&report));
        return Ok(ExitCode::SUCCESS);
    };
    let job = job_id(name).ok_or_else(|| Error::Argument {
        argument: "job",
        value: name.clone(),
        choices: "16 hexadecimal digits",
    })?;
    if command.release {
        let removed = release_job(&command.store, timer, job).await?;
        println!("{name}: {removed} marks of failed owners removed");
        return Ok(ExitCode::SUCCESS);
    }
    match inspect_job(&command.store, timer.clone(), job).await? {
        Some(stored) => {
            println!("{stored:#?}");
            Ok(ExitCode::SUCCESS)
        }
        None if has_tombstone(&command.store, timer, job).await? => {
            eprintln!("{name}: it was cancelled before it was stored, and never runs");
            Ok(ExitCode::from(EXIT_NOT_FOUND))
        }
        None => {
            eprintln!("{name}: nothing is stored; it was never accepted, or ended long ago");
            Ok(ExitCode::from(EXIT_NOT_FOUND))
        }
    }
}

async fn fetch_value(store: &Store, key: &str) -> Result<Bytes, Error> {
    let key = key.to_owned();
    match store.call(StoreCall::Get { key: key.clone() }).await? {
        StoreAnswer::Value { value, .. } => Ok(value),
        _ => Err(Error::Missing { key }),
    }
}
