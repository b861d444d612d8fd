//! The command line, as it is typed.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser, construct, long, short};

/// How a command reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Lines for people
    #[default]
    Text,
    /// One JSON object
    Json,
}

impl std::str::FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Self, UnknownFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(UnknownFormat),
        }
    }
}

/// A format that is not known.
#[derive(Debug, thiserror::Error)]
#[error("expected text or json")]
pub struct UnknownFormat;

/// The operators' program of lynxcleat.
///
/// Operators edit a tree of settings and accept it; within it the daemons decide,
/// call by call. This program works on the platform's table and object store
/// directly, and asks daemons only at their operators' endpoints.
///
/// Exit codes: 0 done, 1 failed, 2 input refused, 4 the edit conflicts with one
/// accepted meanwhile, 5 it is not known whether a change was accepted, 6 a
/// generation is not in force everywhere in time.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Look at, edit and accept the tree of settings
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_action))] SettingsAction),
    /// Show who changed what, when, or operations left unsettled
    #[bpaf(command)]
    Audit(#[bpaf(external(audit_args))] AuditArgs),
    /// Tell why a call went where it went
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_args))] ExplainArgs),
    /// Show requests under which targets ended, or let one run again
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine_action))] QuarantineAction),
    /// Show what targets say of themselves: rate limits, and that they leave
    #[bpaf(command)]
    Targets(#[bpaf(external(targets_args))] TargetsArgs),
    /// Run platform, targets and daemons embedded in this process
    #[bpaf(command)]
    Dev(#[bpaf(external(dev_args))] DevArgs),
}

/// What to do with the tree.
#[derive(Bpaf, Clone, Debug)]
pub enum SettingsAction {
    /// List every field with its unit, range, default and meaning
    #[bpaf(command)]
    Fields,
    /// Check a tree or a working file
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Write the tree in force into a working file, to be edited
    #[bpaf(command)]
    Pull {
        #[bpaf(external(platform))]
        platform: String,
        /// The working file to write
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show a tree, or the values in force for a service at a place
    #[bpaf(command)]
    Show(#[bpaf(external(show_args))] ShowArgs),
    /// Set one field in a working file
    #[bpaf(command)]
    Set {
        /// The working file
        #[bpaf(argument("FILE"))]
        file: PathBuf,
        /// Path of the field, such as places.howrah.services.godown.slots
        #[bpaf(positional("PATH"))]
        path: String,
        /// Its value; a number or a word
        #[bpaf(positional("VALUE"))]
        value: String,
    },
    /// Remove one override from a working file, so that the field is inherited
    #[bpaf(command)]
    Unset {
        /// The working file
        #[bpaf(argument("FILE"))]
        file: PathBuf,
        /// Path of the field
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Show what a working file would change
    #[bpaf(command)]
    Diff {
        #[bpaf(external(platform))]
        platform: String,
        /// The working file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Put a working file's tree in force
    #[bpaf(command)]
    Accept(#[bpaf(external(accept_args))] AcceptArgs),
    /// Show which daemon has which generation in force
    #[bpaf(command)]
    Status {
        #[bpaf(external(platform))]
        platform: String,
        /// Only say whether this change was accepted
        #[bpaf(argument("ID"))]
        change: Option<String>,
        #[bpaf(external(format))]
        format: Format,
    },
    /// List the accepted generations
    #[bpaf(command)]
    History {
        #[bpaf(external(platform))]
        platform: String,
        #[bpaf(external(paging))]
        paging: Paging,
        #[bpaf(external(format))]
        format: Format,
    },
}

/// Which tree to show, and how.
#[derive(Bpaf, Clone, Debug)]
pub struct ShowArgs {
    /// A tree or a working file, instead of the tree in force
    #[bpaf(argument("FILE"))]
    pub file: Option<PathBuf>,
    #[bpaf(external(platform), optional)]
    pub platform: Option<String>,
    /// Place whose values are shown
    #[bpaf(argument("PLACE"))]
    pub place: Option<String>,
    /// Service whose values are shown
    #[bpaf(argument("SERVICE"))]
    pub service: Option<String>,
    /// Show the level that each value comes from
    pub origin: bool,
    #[bpaf(external(format))]
    pub format: Format,
}

/// How to accept.
#[derive(Bpaf, Clone, Debug)]
pub struct AcceptArgs {
    #[bpaf(external(platform))]
    pub platform: String,
    /// The operator, for the audit trail
    #[bpaf(argument("NAME"))]
    pub who: String,
    /// Why, for the audit trail
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    pub note: String,
    /// Id of the change; accepting twice with one id changes nothing the second
    /// time
    #[bpaf(argument("ID"))]
    pub change: Option<String>,
    /// Wait up to this many seconds until every daemon has it in force
    #[bpaf(argument("SECONDS"))]
    pub wait: Option<u64>,
    /// The working file
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Which part of the audit trail.
#[derive(Bpaf, Clone, Debug)]
pub struct AuditArgs {
    #[bpaf(external(platform))]
    pub platform: String,
    /// Operations whose outcome could not be settled, instead of changes
    pub unsettled: bool,
    #[bpaf(external(paging))]
    pub paging: Paging,
    #[bpaf(external(format))]
    pub format: Format,
}

/// Which call.
#[derive(Bpaf, Clone, Debug)]
pub struct ExplainArgs {
    /// Operators' endpoint of the daemon that took the call
    #[bpaf(argument("IP:PORT"))]
    pub ops: Option<String>,
    /// Log of a daemon to look the call up in, instead of asking a daemon; may be given
    /// for several daemons
    #[bpaf(argument("FILE"))]
    pub log: Vec<PathBuf>,
    #[bpaf(external(format))]
    pub format: Format,
    /// Name of the call, from its answer's lynxcleat-call; the newest calls
    /// where none is given
    #[bpaf(positional("CALL"))]
    pub call: Option<String>,
}

/// What to do with suspect requests.
#[derive(Bpaf, Clone, Debug)]
pub enum QuarantineAction {
    /// List suspect requests, those that are refused first
    #[bpaf(command)]
    List(#[bpaf(external(suspects_args))] SuspectsArgs),
    /// Let a request run again, at every daemon
    #[bpaf(command)]
    Lift(#[bpaf(external(lift_args))] LiftArgs),
}

/// Which daemon to ask for suspects.
#[derive(Bpaf, Clone, Debug)]
pub struct SuspectsArgs {
    /// Operators' endpoint of any daemon
    #[bpaf(argument("IP:PORT"))]
    pub ops: String,
    #[bpaf(external(format))]
    pub format: Format,
}

/// Which request may run again.
#[derive(Bpaf, Clone, Debug)]
pub struct LiftArgs {
    /// Operators' endpoint of any daemon
    #[bpaf(argument("IP:PORT"))]
    pub ops: String,
    /// The operator, for the audit trail
    #[bpaf(argument("NAME"))]
    pub who: String,
    /// Fingerprint of the request, as `list` and the logs show it
    #[bpaf(positional("REQUEST"))]
    pub request: String,
}

/// Whose targets to show.
#[derive(Bpaf, Clone, Debug)]
pub struct TargetsArgs {
    #[bpaf(external(format))]
    pub format: Format,
    /// Operators' endpoints of the daemons
    #[bpaf(positional("IP:PORT"), some("name at least one daemon"))]
    pub ops: Vec<String>,
}

/// Options of the embedded run.
#[derive(Bpaf, Clone, Debug)]
pub struct DevArgs {
    /// Tree to run under; its places and services get daemons and targets
    #[bpaf(argument("FILE"))]
    pub tree: Option<PathBuf>,
    /// Drive calls for this many seconds, report, and exit; otherwise run until
    /// interrupted
    #[bpaf(argument("S"))]
    pub seconds: Option<u64>,
    /// Calls a second
    #[bpaf(argument("N"), fallback(400.0), display_fallback)]
    pub rate: f64,
    /// Service time of the targets in microseconds
    #[bpaf(argument("US"), fallback(2000), display_fallback)]
    pub service_us: u64,
    /// Share of calls that must run once, in percent
    #[bpaf(argument("P"), fallback(10), display_fallback)]
    pub once_percent: u32,
    /// Seed of the schedule
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    #[bpaf(external(report))]
    pub report: Format,
    /// Log to the standard error stream at this level
    #[bpaf(argument("LEVEL"), fallback(log::LevelFilter::Warn), display_fallback)]
    pub log: log::LevelFilter,
}

/// Which entries.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct Paging {
    /// Only generations after this one
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub after: u64,
    /// Entries at most
    #[bpaf(argument("N"), fallback(100), display_fallback)]
    pub limit: usize,
}

/// URL of the platform.
pub fn platform() -> impl Parser<String> {
    long("platform")
        .env("LYNXCLEAT_PLATFORM")
        .help("URL of the platform")
        .argument("URL")
}

fn format() -> impl Parser<Format> {
    let format = long("format").help("text or json").argument("FORMAT");
    construct!(format).fallback(Format::Text)
}

fn report() -> impl Parser<Format> {
    let report = short('r')
        .long("report")
        .help("text or json")
        .argument("FORMAT");
    construct!(report).fallback(Format::Text)
}
