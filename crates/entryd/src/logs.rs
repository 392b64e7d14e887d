//! Log lines, for changes of state only.

use slog::{Drain, Logger, o};

use crate::settings::LogFormat;

/// A logger that writes to standard error without holding up the caller.
pub(crate) fn to_stderr(format: LogFormat) -> Logger {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            spread(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => spread(slog_json::Json::default(std::io::stderr()).fuse()),
    }
}

fn spread<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(drain, o!())
}
