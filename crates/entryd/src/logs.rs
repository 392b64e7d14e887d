//! Set-up of the logger. Only changes of state are logged.

use slog::{Drain, Logger, o};

use crate::settings::LogFormat;

/// Creates a logger that writes to standard error without blocking the caller.
pub(crate) fn to_stderr(format: LogFormat) -> Logger {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            async_logger(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => async_logger(slog_json::Json::default(std::io::stderr()).fuse()),
    }
}

fn async_logger<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(drain, o!())
}
