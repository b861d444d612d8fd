//! Structured logs: one JSON object a line on the standard error stream. Hosts
//! have no disks, so nothing is written to files.

use log::LevelFilter;
use log4rs::Handle;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use thiserror::Error;

const APPENDER: &str = "stderr";

/// Why logging cannot be set up.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The configuration was refused.
    #[error("logging: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is already installed.
    #[error("logging: {0}")]
    Installed(#[from] log::SetLoggerError),
}

/// Installs the process's logger.
///
/// # Errors
/// A logger that is already installed.
pub fn install(level: LevelFilter) -> Result<Handle, LoggingError> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(level))?;
    Ok(log4rs::init_config(config)?)
}
