//! Command line for operators; see `carobwick --help`.

mod client;
mod command;
mod options;
mod text;

use std::process::ExitCode;

use crate::client::Client;
use crate::client::Failure;
use crate::options::Options;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = Options::read();
    let client = Client::open(&options.operators);
    match command::run(&client, &options.command).await {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("carobwick: {failure}");
            failure.exit_code()
        }
    }
}

impl Failure {
    fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_) => 2,
            Self::Refused(_) => 3,
            Self::Conflict(_) => 4,
            Self::Unreachable(_) => 5,
            Self::Unknown(_) => 6,
            Self::Pending(_) => 7,
        })
    }
}
