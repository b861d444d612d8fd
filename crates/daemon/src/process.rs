//! A daemon as a process: its runtime, its signals, its planned stop.

use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::config::Config;
use crate::daemon::{Daemon, Environment, StartError};
use crate::life::StopReport;

/// Why a process could not run its daemon.
#[derive(Debug, Error)]
pub enum RunError {
    /// No runtime, or no signals.
    #[error("the process: {0}")]
    Process(#[from] std::io::Error),
    /// The daemon cannot start.
    #[error("{0}")]
    Start(#[from] StartError),
}

/// The signals that a process heeds.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn listen() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits until the process is told to stop. Calls `reload` at every hang-up.
    async fn told_to_stop(&mut self, reload: &impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => reload(),
            }
        }
    }

    /// Waits until a process that stops is interrupted by hand. Whoever supervises processes may
    /// repeat its order to stop, which changes nothing.
    async fn interrupted(&mut self, reload: &impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => log::info!("stopping already"),
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => reload(),
            }
        }
    }
}

/// Runs a daemon until the process is told to stop, and stops it as planned. An
/// interrupt ends a stop that goes on. `attach` is called once the daemon has started;
/// `reload` whenever the settings file may have changed.
///
/// # Errors
/// No runtime, no signals, or an address that cannot be listened on.
pub fn run(
    config: Config,
    environment: Environment,
    attach: impl FnOnce(&Daemon),
    reload: impl Fn(),
) -> Result<StopReport, RunError> {
    let runtime = runtime(config.threads)?;
    let report = runtime.block_on(async {
        let mut signals = Signals::listen()?;
        let daemon = Daemon::start_in(config, environment).await?;
        attach(&daemon);
        signals.told_to_stop(&reload).await;
        let in_hand = daemon.in_hand();
        let report = tokio::select! {
            report = daemon.stop() => report,
            () = signals.interrupted(&reload) => in_hand.report(),
        };
        Ok::<_, RunError>(report)
    })?;
    runtime.shutdown_background();
    Ok(report)
}

/// A runtime of `threads` threads; one thread needs no scheduler between threads.
fn runtime(threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    let mut builder = match threads {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if threads > 1 {
        builder.worker_threads(threads);
    }
    builder.enable_all().build()
}
