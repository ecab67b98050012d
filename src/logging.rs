//! Where log lines go.

use std::{error::Error, path::Path};

use log::LevelFilter;
use log4rs::{
    append::{
        Append,
        console::{ConsoleAppender, Target},
        file::FileAppender,
    },
    config::{Appender, Config, Logger, Root},
    encode::pattern::PatternEncoder,
};

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S)(utc)} {l} {m}{n}";

/// Sends log lines to `file`, or to standard error.
///
/// Libraries' own lines are kept from warnings up.
///
/// # Errors
///
/// If the file can't be written or logging was started before.
pub fn start(file: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let appender: Box<dyn Append> = match file {
        Some(path) => Box::new(FileAppender::builder().encoder(encoder()).build(path)?),
        None => console(Target::Stderr),
    };
    install(appender)
}

/// Sends log lines to standard output.
///
/// # Errors
///
/// If logging was started before.
pub fn start_on_stdout() -> Result<(), Box<dyn Error>> {
    install(console(Target::Stdout))
}

fn encoder() -> Box<PatternEncoder> {
    Box::new(PatternEncoder::new(PATTERN))
}

fn console(target: Target) -> Box<dyn Append> {
    let console = ConsoleAppender::builder().encoder(encoder());
    Box::new(console.target(target).build())
}

fn install(appender: Box<dyn Append>) -> Result<(), Box<dyn Error>> {
    let config = Config::builder()
        .appender(Appender::builder().build("main", appender))
        .logger(Logger::builder().build("rilltrack", LevelFilter::Info))
        .build(Root::builder().appender("main").build(LevelFilter::Warn))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Returns an error with all its causes, as one line.
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
