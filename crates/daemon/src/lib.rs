//! The daemon beside each target: router half and target half.
//!
//! One process holds both halves. The router half takes calls from callers,
//! picks a target and forwards to that target's daemon; the target half admits,
//! holds or refuses, fences once-only operations and delivers to its target. All
//! decisions are made by the pure crates; what is here feeds them from sockets.

mod answer_memory;
mod callers;
mod clock;
mod config;
mod control;
mod core;
mod daemon;
mod dialect;
mod directory;
mod dispatch;
mod explain;
mod half;
mod headers;
mod homes;
mod host_table;
pub mod http1;
mod kept;
mod life;
pub mod logging;
mod mesh;
mod metrics;
mod once;
mod ops;
mod process;
mod quarantine;
mod quota;
mod rollout;
mod route;
mod settings;
mod suspension;
mod sync;

pub use clock::{Clock, ReadTime, since_boot};
pub use config::{Config, ConfigError, ConfigFault, RawConfig};
pub use core::Identity;
pub use daemon::{Daemon, Environment, InHand, Side, StartError};
pub use dialect::{AnswerKind, Dialect, LoadHeader, NotARate, NotColdTime, TargetLoad};
pub use directory::{
    Acknowledgement, AdjustedValue, Directory, OperatorRow, OperatorRowError, ReadOperatorRow,
    SettingsRow, StatusRows, TranslateError, TranslatedTree, WantedRollout,
};
pub use explain::{AttemptTrace, ScoredHost, Trace};
pub use half::TargetBelief;
pub use life::StopReport;
pub use mesh::{connect_soon, prepare_connection};
pub use ops::{Lift, Lifted, Status};
pub use process::{RunError, run};
pub use quarantine::SuspectState;
pub use rollout::RolloutState;
