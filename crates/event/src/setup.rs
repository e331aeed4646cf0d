//! Set-up of the log.

use std::{
    io,
    path::PathBuf,
    sync::atomic::{AtomicBool, Ordering},
};

use log::LevelFilter;
use log4rs::{
    append::{console::ConsoleAppender, file::FileAppender, Append},
    config::{Appender, Config, Logger, Root},
    encode::{json::JsonEncoder, pattern::PatternEncoder, Encode},
};
use tsw_config::settings;

use crate::{bounded::Bounded, catalogue};

static JSON: AtomicBool = AtomicBool::new(false);

/// Why the log cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be opened.
    #[error("cannot append to the log file {}: {source}; correct log.file", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The appenders do not form a valid log.
    #[error("cannot set up the log: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// The thread that writes cannot be started.
    #[error("cannot start the thread that writes the log: {0}")]
    Thread(io::Error),
    /// Another log is set up already.
    #[error("cannot set up the log: {0}")]
    Taken(#[from] log::SetLoggerError),
}

pub(crate) fn is_json() -> bool {
    JSON.load(Ordering::Relaxed)
}

fn encoder(format: settings::Format) -> Box<dyn Encode> {
    match format {
        settings::Format::Json => Box::new(JsonEncoder::new()),
        settings::Format::Text => Box::new(PatternEncoder::new(
            "{d(%Y-%m-%dT%H:%M:%S%.6fZ)(utc)} {l} {m}{n}",
        )),
    }
}

const fn level(level: settings::Level) -> LevelFilter {
    match level {
        settings::Level::Error => LevelFilter::Error,
        settings::Level::Warn => LevelFilter::Warn,
        settings::Level::Info => LevelFilter::Info,
        settings::Level::Debug => LevelFilter::Debug,
    }
}

/// Sets up the log of this process as the settings say.
///
/// Libraries are logged from level `Warn`, so that their details do not hide the events. Lines of
/// the audit log are written at every level: a missing line makes the log fail its verification.
///
/// # Errors
///
/// Returns an error if the file cannot be opened or a log is set up already.
pub fn init(log: &settings::Log) -> Result<(), Error> {
    let level = level(log.level);
    let encoder = encoder(log.format);
    let appender: Box<dyn Append> = match &log.file {
        Some(path) => Box::new(
            FileAppender::builder()
                .encoder(encoder)
                .build(path)
                .map_err(|source| Error::File {
                    path: path.clone(),
                    source,
                })?,
        ),
        None => Box::new(ConsoleAppender::builder().encoder(encoder).build()),
    };
    install(log, level, appender)
}

/// Sets up the log of a router whose log may not be read for a time: lines go to standard output
/// on a thread of their own, their number is bounded by the part of a core that the process may use,
/// and those dropped are counted.
///
/// # Errors
///
/// Returns an error if the thread cannot be started or a log is set up already.
pub fn init_bounded(log: &settings::Log, processor: f64) -> Result<(), Error> {
    let appender = Bounded::new(encoder(log.format), processor).map_err(Error::Thread)?;
    install(log, level(log.level), Box::new(appender))
}

fn install(
    log: &settings::Log,
    level: LevelFilter,
    appender: Box<dyn Append>,
) -> Result<(), Error> {
    let config = Config::builder()
        .appender(Appender::builder().build("out", appender))
        .logger(Logger::builder().build(catalogue::TARGET, level))
        .logger(Logger::builder().build(catalogue::AUDIT_TARGET, LevelFilter::Info))
        .build(
            Root::builder()
                .appender("out")
                .build(level.min(LevelFilter::Warn)),
        )?;
    log4rs::init_config(config)?;
    JSON.store(log.format == settings::Format::Json, Ordering::Relaxed);
    Ok(())
}
