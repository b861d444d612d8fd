//! `lynxcleatd`: runs one daemon until it is told to stop.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use lynxcleat_daemon::{Config, Environment, StopReport, logging};

/// Exit code for a settings file or a command line that is refused.
const EXIT_USAGE: u8 = 2;
/// Exit code for a stop that cut something off.
const EXIT_CUT: u8 = 3;

/// The lynxcleat daemon: one beside each target.
///
/// It takes callers' calls for any service and forwards each to the daemon of the
/// target that it picks; and it admits, holds or refuses calls for its own target.
///
/// SIGTERM or SIGINT starts a planned stop: the target leaves, callers are asked
/// to reconnect elsewhere, and what is in hand is finished. During a stop, SIGINT ends
/// the daemon at once and says what was cut off; a further SIGTERM changes nothing.
///
/// Exit codes: 0 stopped as planned, 1 could not run, 2 the settings file or the
/// command line is refused, 3 a stop cut something off.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Args {
    /// Settings file of this process, in JSON: its addresses, place and zone
    #[bpaf(argument("FILE"))]
    config: PathBuf,
    /// Check the settings file, say whether it is good, and exit
    check: bool,
}

fn main() -> ExitCode {
    let args = args().run();
    let config = match Config::load(&args.config) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("lynxcleatd: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        println!("{}: good", args.config.display());
        return ExitCode::SUCCESS;
    }
    match run(config) {
        Ok(report) if report == StopReport::default() => ExitCode::SUCCESS,
        Ok(report) => {
            eprintln!(
                "lynxcleatd: cut off {} calls of callers and {} calls at the target",
                report.calls_cut, report.target_calls_cut
            );
            ExitCode::from(EXIT_CUT)
        }
        Err(error) => {
            eprintln!("lynxcleatd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: Config) -> anyhow::Result<StopReport> {
    let logging = logging::install(config.log_level)?;
    let report = lynxcleat_daemon::run(config, Environment::default(), |_| {}, || {})?;
    logging.finish();
    Ok(report)
}
