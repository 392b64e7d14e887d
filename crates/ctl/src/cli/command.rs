//! Carries out one command and shows its result.

use std::io::Read;

use wagtail_config::Acceptance;

use super::args::{Command, Format, KeySource};
use super::{input, output, show};
use crate::{CtlError, Operator, Outcome};

const DONE: u8 = 0;
const NOT_YET_ACCEPTED: u8 = 3;

pub(crate) async fn run(
    command: Command,
    mut operator: Operator,
    format: Format,
    stdin: &mut (dyn Read + Send),
) -> Result<(String, u8), CtlError> {
    let outcome = match command {
        Command::Get { key } => {
            let view = operator.view().await?;
            let found = view.row(&key).filter(|row| row.body.is_some());
            let row =
                found.ok_or_else(|| CtlError::Missing(format!("there is no record {key}")))?;
            return Ok((show::record(row, format)?, DONE));
        }
        Command::List { kind } => {
            let view = operator.view().await?;
            return Ok((show::list(&view, kind.as_deref(), format), DONE));
        }
        Command::Status => {
            let status = operator.status().await?;
            return Ok((show::status(&status, format), DONE));
        }
        Command::Check { files } => {
            let records = input::all_records(&files, stdin)?;
            let view = input::check(&records).map_err(CtlError::Faulty)?;
            return Ok((show::checked(&view, format), DONE));
        }
        Command::Explain { request, files } => {
            return Ok((input::logs(&files, stdin)?.explain(&request)?, DONE));
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
        Command::Drain { spec, stop: false } => operator.drain(&spec).await?,
        Command::Drain { spec, stop: true } => operator.withdraw(key_of(spec.key())?).await?,
        Command::Move { spec, stop: false } => operator.shift(&spec).await?,
        Command::Move { spec, stop: true } => operator.withdraw(key_of(spec.key())?).await?,
    };
    Ok((output::outcome(&outcome, format), status(&outcome)))
}

fn key_of<T>(key: Result<T, wagtail_types::ParseError>) -> Result<T, CtlError> {
    key.map_err(|e| CtlError::Usage(e.to_string()))
}

fn status(outcome: &Outcome) -> u8 {
    match outcome.acceptance {
        Acceptance::Accepted => DONE,
        Acceptance::Committed { .. } => NOT_YET_ACCEPTED,
    }
}
