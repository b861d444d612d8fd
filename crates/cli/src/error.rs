//! Typed failures of the commands, and their exit codes.

use std::io;
use std::path::PathBuf;

use lynxcleat_daemon::StartError;
use lynxcleat_load::LoadError;
use lynxcleat_settings::SettingsError;
use lynxcleat_standin::StandinError;
use lynxcleat_store::{AcceptError, PlatformError};
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// A file cannot be read or written.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// A file's settings are refused.
    #[error("{file}: {error}")]
    Settings {
        /// The file.
        file: PathBuf,
        /// The fault.
        error: SettingsError,
    },
    /// A path or value given on the command line is refused.
    #[error("{0}")]
    Edit(#[from] SettingsError),
    /// A file is no working file of `settings pull`.
    #[error("{file}: not a working file; `lynxcleat settings pull` writes one: {reason}")]
    NotWorking {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// No log has a line about the call.
    #[error("no line about call {0:?}; successes are sampled, and failures bounded a second")]
    NotLogged(String),
    /// Neither a daemon nor a log says where to look a call up.
    #[error("give --ops, or --log and a call: where is the call to be looked up?")]
    NoTrace,
    /// A request is not suspect at the daemon that was asked.
    #[error("{0} is not suspect here")]
    NotSuspect(String),
    /// Nothing says which tree is meant.
    #[error("give --file or --platform: which tree is to be shown?")]
    NoSource,
    /// The place or service is not in the tree.
    #[error("the tree has no {kind} {name:?}")]
    NoSuch {
        /// `place` or `service`.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The platform failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// The tree was not accepted.
    #[error("{0}")]
    Accept(#[from] AcceptError),
    /// The generation is not in force everywhere in time.
    #[error("generation {generation} is not in force at {missing} daemons after {seconds} s")]
    NotEverywhere {
        /// The generation.
        generation: u64,
        /// Daemons that lack it.
        missing: usize,
        /// Seconds waited.
        seconds: u64,
    },
    /// A change was not found.
    #[error("change {0} was not accepted")]
    NoSuchChange(String),
    /// A daemon's operators' endpoint cannot be asked.
    #[error("{address}: {reason}")]
    Ops {
        /// The endpoint.
        address: String,
        /// What failed.
        reason: String,
    },
    /// A stand-in cannot run.
    #[error("{0}")]
    Standin(#[from] StandinError),
    /// A daemon cannot start.
    #[error("{0}")]
    Start(#[from] StartError),
    /// An embedded daemon's configuration is refused.
    #[error("{0}")]
    Config(#[from] lynxcleat_daemon::ConfigFault),
    /// The load cannot run.
    #[error("{0}")]
    Load(#[from] LoadError),
    /// The runtime cannot start.
    #[error("cannot start: {0}")]
    Runtime(#[from] io::Error),
    /// Logging cannot be set up.
    #[error("{0}")]
    Logging(#[from] lynxcleat_daemon::logging::LoggingError),
    /// The embedded run answered nothing, or answered wrongly.
    #[error("{wrong} wrong answers, {answered} answered, {twice} operations run twice")]
    BadRun {
        /// Wrong answers.
        wrong: u64,
        /// Calls answered.
        answered: u64,
        /// Operations that ran more than once.
        twice: usize,
    },
}

impl Failure {
    /// Exit code: 1 failed, 2 input refused, 4 conflict, 5 outcome not known,
    /// 6 not in force everywhere in time.
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Settings { .. }
            | Failure::Edit(_)
            | Failure::NotWorking { .. }
            | Failure::NoSource
            | Failure::NoSuch { .. }
            | Failure::Config(_) => 2,
            Failure::Accept(AcceptError::Conflict(_)) => 4,
            Failure::Accept(AcceptError::OutcomeUnknown { .. }) => 5,
            Failure::NotEverywhere { .. } => 6,
            _ => 1,
        }
    }
}
