//! Sets up the destination of log lines.

use std::{error::Error, path::Path};

use log::LevelFilter;
use log4rs::{
    append::{
        console::{ConsoleAppender, Target},
        file::FileAppender,
    },
    config::{Appender, Config, Logger, Root},
    encode::pattern::PatternEncoder,
};

/// The format of a line: UTC time, level, message.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S)(utc)} {l} {m}{n}";

/// Starts logging to `file`, or to standard error if there is none.
///
/// Lines of other libraries are logged from level `warn`, those of rilltrack
/// from `info`.
///
/// # Errors
///
/// If the file can't be opened or logging was started before.
pub fn start(file: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
    let appender: Box<dyn log4rs::append::Append> = match file {
        Some(path) => Box::new(FileAppender::builder().encoder(encoder).build(path)?),
        None => Box::new(
            ConsoleAppender::builder()
                .encoder(encoder)
                .target(Target::Stderr)
                .build(),
        ),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("main", appender))
        .logger(Logger::builder().build("rilltrack", LevelFilter::Info))
        .build(Root::builder().appender("main").build(LevelFilter::Warn))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Returns the messages of `error` and all its causes, joined by `: `.
pub fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
