//! Runs a case of the review: `review-standins CASE FOLDER`. Ends with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod config;
mod host;
mod http;
mod json;
mod quota;
mod record;
mod site;
mod store;
mod upstream;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use crate::site::Site;

/// The longest time that a case may take.
const TIME_MAX: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &*arguments else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    host::limit_time(TIME_MAX);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    match run(case, Path::new(folder), trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

/// Runs a case and writes its record. Returns whether the rule was broken.
fn run(case: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    let site = Site::new()?;
    let broken = match case {
        "uploads" => cases::uploads::run(&site, trouble),
        "leave" => cases::leave::run(&site, trouble),
        "withdraw" => cases::withdraw::run(&site, trouble),
        "names" => cases::names::run(&site, trouble),
        _ => return Err(io::Error::other("no such case")),
    }?;
    site.record_traffic();
    let verdict = if broken { "broken" } else { "held" };
    site.record.say(format!("the rule was {verdict}"));
    site.record.write(&folder.join("record.txt"))?;
    Ok(broken)
}
