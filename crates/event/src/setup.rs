//! Initialization of the log.

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

/// An error while initializing the log.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file cannot be opened.
    #[error("cannot append to the log file {}: {source}; correct log.file", path.display())]
    OpenFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The log4rs configuration is invalid.
    #[error("cannot set up the log: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// The writer thread cannot be started.
    #[error("cannot start the thread that writes the log: {0}")]
    StartThread(io::Error),
    /// A logger is already set in this process.
    #[error("cannot set up the log: {0}")]
    AlreadyInitialized(#[from] log::SetLoggerError),
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

const fn level_filter(level: settings::Level) -> LevelFilter {
    match level {
        settings::Level::Error => LevelFilter::Error,
        settings::Level::Warn => LevelFilter::Warn,
        settings::Level::Info => LevelFilter::Info,
        settings::Level::Debug => LevelFilter::Debug,
    }
}

/// Initializes the log of this process from the settings.
///
/// Libraries are logged from level `Warn`, so that their details do not hide the events. Audit lines
/// are written at every level, because a missing line fails the verification of the audit log.
///
/// # Errors
///
/// Returns an error if the file cannot be opened or a logger is already set.
pub fn init(log: &settings::Log) -> Result<(), Error> {
    let level = level_filter(log.level);
    let encoder = encoder(log.format);
    let appender: Box<dyn Append> = match &log.file {
        Some(path) => Box::new(
            FileAppender::builder()
                .encoder(encoder)
                .build(path)
                .map_err(|source| Error::OpenFile {
                    path: path.clone(),
                    source,
                })?,
        ),
        None => Box::new(ConsoleAppender::builder().encoder(encoder).build()),
    };
    install(log, level, appender)
}

/// Initializes a log that never blocks the router, even if nobody reads standard output for a time.
///
/// A separate thread writes the lines to standard output. Their rate is limited in proportion to
/// `processor`, the CPU limit of the process in cores, and dropped lines are counted.
///
/// # Errors
///
/// Returns an error if the thread cannot be started or a logger is already set.
pub fn init_bounded(log: &settings::Log, processor: f64) -> Result<(), Error> {
    let appender = Bounded::new(encoder(log.format), processor).map_err(Error::StartThread)?;
    install(log, level_filter(log.level), Box::new(appender))
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
