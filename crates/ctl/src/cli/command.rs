//! Executes one command and formats its result.

use std::io::Read;

use wagtail_config::Acceptance;

use super::args::{Command, Format, KeySource};
use super::{input, output, show};
use crate::{CtlError, Operator, Outcome};

const EXIT_DONE: u8 = 0;
const EXIT_NOT_ACCEPTED: u8 = 3;

/// Executes a command and returns its output and exit status.
pub(crate) async fn run(
    command: Command,
    mut operator: Operator,
    format: Format,
    stdin: &mut (dyn Read + Send),
) -> Result<(String, u8), CtlError> {
    let outcome = match command {
        Command::Get { key } => {
            let view = operator.view().await?;
            let row = view.row(&key).filter(|row| row.body.is_some());
            let row = row.ok_or_else(|| CtlError::Missing(format!("there is no record {key}")))?;
            return Ok((show::record(row, format)?, EXIT_DONE));
        }
        Command::List { kind } => {
            let view = operator.view().await?;
            return Ok((show::list(&view, kind.as_deref(), format), EXIT_DONE));
        }
        Command::Status => {
            let status = operator.status().await?;
            return Ok((show::status(&status, format), EXIT_DONE));
        }
        Command::Check { files } => {
            let records = input::all_records(&files, stdin)?;
            let view = input::check(&records).map_err(CtlError::Faulty)?;
            return Ok((show::checked(&view, format), EXIT_DONE));
        }
        Command::Explain { request, files } => {
            return Ok((input::logs(&files, stdin)?.explain(&request)?, EXIT_DONE));
        }
        Command::Put { files } => {
            let records = input::all_records(&files, stdin)?;
            operator.put(records).await?
        }
        Command::Change { key, fields } => operator.change(&key, &fields).await?,
        Command::Withdraw { key } => operator.withdraw(key).await?,
        Command::Key {
            team,
            source,
            granted,
        } => {
            let digest = match source {
                KeySource::Digest(digest) => digest,
                KeySource::Stdin => input::key(stdin)?,
            };
            if granted {
                operator.grant(&team, digest).await?
            } else {
                operator.revoke(&team, digest).await?
            }
        }
        Command::Drain { spec, stop: false } => operator.start_drain(&spec).await?,
        Command::Drain { spec, stop: true } => operator.withdraw(valid_key(spec.key())?).await?,
        Command::Move { spec, stop: false } => operator.start_move(&spec).await?,
        Command::Move { spec, stop: true } => operator.withdraw(valid_key(spec.key())?).await?,
    };
    Ok((output::outcome(&outcome, format), exit_status(&outcome)))
}

fn valid_key<T>(key: Result<T, wagtail_types::ParseError>) -> Result<T, CtlError> {
    key.map_err(|e| CtlError::Usage(e.to_string()))
}

fn exit_status(outcome: &Outcome) -> u8 {
    match outcome.acceptance {
        Acceptance::Accepted => EXIT_DONE,
        Acceptance::Committed { .. } => EXIT_NOT_ACCEPTED,
    }
}
