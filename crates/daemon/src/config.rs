//! A process's own settings file: its addresses, place and zone.
//!
//! The file is read raw, then resolved into one checked [`Config`]. What governs
//! calls is not here but in the accepted tree.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lynxcleat_settings::is_valid_name;
use lynxcleat_wire::SharedKey;
use serde::Deserialize;
use thiserror::Error;

const DEFAULT_THREADS: usize = 2;
const THREADS_LIMIT: usize = 64;
const DEFAULT_CONNECTIONS: usize = 4_096;
const DEFAULT_SETTINGS_IN_FORCE_MS: usize = 2_000;
const SETTINGS_IN_FORCE_LIMIT_MS: usize = 60_000;

/// The file as it stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of this host, unique in the deployment.
    pub host: String,
    /// Place of this host.
    pub place: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Region of this host; the deployment has one unnamed region where it is left out.
    #[serde(default)]
    pub region: String,
    /// Service of the target on this host.
    pub service: String,
    /// Address for callers.
    pub callers: String,
    /// Address for other daemons.
    pub mesh: String,
    /// Address for operators.
    pub ops: String,
    /// Address of the target.
    pub target: String,
    /// Address of the target's health endpoint, if it has one.
    pub target_health: Option<String>,
    /// URL of the platform, such as `http://127.0.0.1:6000`.
    pub platform: String,
    /// File that holds the deployment's shared key.
    pub shared_key_file: Option<PathBuf>,
    /// The shared key itself, for tests.
    pub shared_key: Option<String>,
    /// Mesh addresses of daemons to ask when the platform is down at the start.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Threads that serve calls.
    pub threads: Option<usize>,
    /// Connections of callers taken at once.
    pub caller_connections: Option<usize>,
    /// Least level that is logged: error, warn, info, debug or trace.
    pub log_level: Option<String>,
    /// Whether the whole deployment starts for the first time, so that nobody waits for
    /// this daemon yet and its peers write their rows at the same moment.
    #[serde(default)]
    pub first_start: bool,
    /// Time within which an accepted change of the settings is in force at every daemon, in
    /// milliseconds.
    pub settings_in_force_ms: Option<usize>,
}

/// A checked configuration.
#[derive(Clone)]
#[allow(missing_docs)]
pub struct Config {
    pub deployment: String,
    pub host: String,
    pub place: String,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub callers: SocketAddr,
    pub mesh: SocketAddr,
    pub ops: SocketAddr,
    pub target: SocketAddr,
    pub target_health: Option<SocketAddr>,
    pub platform: String,
    pub shared_key: Option<SharedKey>,
    pub seeds: Vec<String>,
    pub threads: usize,
    pub caller_connections: usize,
    pub log_level: log::LevelFilter,
    pub first_start: bool,
    pub settings_in_force: Duration,
}

/// What is wrong with a settings file.
#[derive(Debug, Error)]
pub enum ConfigFault {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(std::io::Error),
    /// It is not JSON of the expected form.
    #[error("{path}: {reason}")]
    Form {
        /// Path within the file; `.` for the whole.
        path: String,
        /// What is wrong there.
        reason: String,
    },
    /// A value does not fit its key.
    #[error("{key}: {reason}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong with its value.
        reason: String,
    },
}

/// A settings file that is refused.
#[derive(Debug, Error)]
#[error("{file}: {fault}")]
pub struct ConfigError {
    /// The file.
    pub file: String,
    /// What is wrong with it.
    pub fault: ConfigFault,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first fault, with file and path.
    pub fn load(file: &Path) -> Result<Config, ConfigError> {
        let named = |fault| ConfigError {
            file: file.display().to_string(),
            fault,
        };
        let text = fs::read_to_string(file).map_err(|e| named(ConfigFault::Unreadable(e)))?;
        let raw = parse(&text).map_err(named)?;
        let folder = file.parent().unwrap_or(Path::new("."));
        Config::resolve(raw, folder).map_err(named)
    }

    /// Checks a raw configuration. A relative key file is looked up in `folder`.
    ///
    /// # Errors
    /// The first fault.
    pub fn resolve(raw: RawConfig, folder: &Path) -> Result<Config, ConfigFault> {
        let shared_key = shared_key(&raw, folder)?;
        Config::resolve_with(raw, Some(shared_key))
    }

    /// Checks a raw configuration of a daemon that gets its key from a directory.
    ///
    /// # Errors
    /// The first fault.
    pub fn resolve_without_key(raw: RawConfig) -> Result<Config, ConfigFault> {
        Config::resolve_with(raw, None)
    }

    fn resolve_with(raw: RawConfig, shared_key: Option<SharedKey>) -> Result<Config, ConfigFault> {
        for (key, value) in [("place", &raw.place), ("service", &raw.service)] {
            check_name(key, value)?;
        }
        for (key, value) in [
            ("deployment", &raw.deployment),
            ("host", &raw.host),
            ("zone", &raw.zone),
        ] {
            check_filled(key, value)?;
        }
        for seed in &raw.seeds {
            address("seeds", seed)?;
        }
        Ok(Config {
            callers: address("callers", &raw.callers)?,
            mesh: address("mesh", &raw.mesh)?,
            ops: address("ops", &raw.ops)?,
            target: address("target", &raw.target)?,
            target_health: raw
                .target_health
                .as_deref()
                .map(|text| address("target_health", text))
                .transpose()?,
            platform: platform_url(&raw.platform)?,
            threads: within("threads", raw.threads, DEFAULT_THREADS, THREADS_LIMIT)?,
            caller_connections: within(
                "caller_connections",
                raw.caller_connections,
                DEFAULT_CONNECTIONS,
                1 << 20,
            )?,
            log_level: log_level(raw.log_level.as_deref())?,
            shared_key,
            deployment: raw.deployment,
            host: raw.host,
            place: raw.place,
            zone: raw.zone,
            region: raw.region,
            service: raw.service,
            seeds: raw.seeds,
            first_start: raw.first_start,
            settings_in_force: settings_in_force(raw.settings_in_force_ms)?,
        })
    }
}

fn parse(text: &str) -> Result<RawConfig, ConfigFault> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let raw = serde_path_to_error::deserialize(&mut reader).map_err(|error| ConfigFault::Form {
        path: error.path().to_string(),
        reason: error.inner().to_string(),
    })?;
    reader.end().map_err(|error| ConfigFault::Form {
        path: ".".to_owned(),
        reason: error.to_string(),
    })?;
    Ok(raw)
}

fn shared_key(raw: &RawConfig, folder: &Path) -> Result<SharedKey, ConfigFault> {
    let bad = |key, reason: String| ConfigFault::Value { key, reason };
    let (key, secret) = match (&raw.shared_key, &raw.shared_key_file) {
        (Some(text), None) => ("shared_key", text.clone()),
        (None, Some(file)) => {
            let text = fs::read_to_string(folder.join(file))
                .map_err(|error| bad("shared_key_file", error.to_string()))?;
            ("shared_key_file", text.trim().to_owned())
        }
        _ => {
            let reason = "give either shared_key_file or shared_key".to_owned();
            return Err(bad("shared_key_file", reason));
        }
    };
    SharedKey::new(secret.as_bytes()).map_err(|error| bad(key, error.to_string()))
}

fn check_name(key: &'static str, value: &str) -> Result<(), ConfigFault> {
    if is_valid_name(value) {
        return Ok(());
    }
    Err(ConfigFault::Value {
        key,
        reason: format!("{value:?} is not a name of a-z, 0-9 and '-' that starts with a letter"),
    })
}

fn check_filled(key: &'static str, value: &str) -> Result<(), ConfigFault> {
    if value.is_empty() {
        let reason = "must not be empty".to_owned();
        return Err(ConfigFault::Value { key, reason });
    }
    Ok(())
}

fn address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigFault> {
    text.parse().map_err(|_| ConfigFault::Value {
        key,
        reason: format!("{text:?} is not an IP number and port, such as 127.0.0.1:7000"),
    })
}

fn platform_url(text: &str) -> Result<String, ConfigFault> {
    let rest = text.strip_prefix("http://").unwrap_or_default();
    address("platform", rest).map_err(|_| ConfigFault::Value {
        key: "platform",
        reason: format!("{text:?} is not http://IP:PORT"),
    })?;
    Ok(text.to_owned())
}

fn within(
    key: &'static str,
    value: Option<usize>,
    default: usize,
    max: usize,
) -> Result<usize, ConfigFault> {
    let value = value.unwrap_or(default);
    if (1..=max).contains(&value) {
        return Ok(value);
    }
    Err(ConfigFault::Value {
        key,
        reason: format!("{value} is outside 1..={max}"),
    })
}

fn settings_in_force(ms: Option<usize>) -> Result<Duration, ConfigFault> {
    let ms = within(
        "settings_in_force_ms",
        ms,
        DEFAULT_SETTINGS_IN_FORCE_MS,
        SETTINGS_IN_FORCE_LIMIT_MS,
    )?;
    Ok(Duration::from_millis(ms as u64))
}

fn log_level(text: Option<&str>) -> Result<log::LevelFilter, ConfigFault> {
    let text = text.unwrap_or("info");
    text.parse().map_err(|_| ConfigFault::Value {
        key: "log_level",
        reason: format!("{text:?} is not one of error, warn, info, debug, trace"),
    })
}
