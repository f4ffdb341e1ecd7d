//! The node's configuration, read from the file that the command line or `RELAY_CONFIG` names, and checked before
//! anything starts.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hallpin_balancer::Settings;
use rustix::process::{getrlimit, Resource};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

/// Descriptors reserved for everything but clients and cache servers: connections of operators, listeners, calls to
/// discovery, a takeover, the control plane between nodes, and the runtime.
pub const RESERVED_DESCRIPTORS: usize = 32;

/// Most cache servers in a list, however much memory there is: it bounds a discovery that adds servers forever.
pub const MAX_SERVERS: usize = 1 << 14;
/// Longest list of cache servers in bytes, however much memory there is.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// Memory of the node for each server that it allows in a list, so that servers take half of it at most.
const BYTES_PER_SERVER: usize = 8 * 1024;
/// Length of a server's entry in a list, with indentation.
const MAX_ENTRY_BYTES: usize = 512;
/// Memory of a remembered key location.
const KEY_LOCATION_BYTES: usize = 64;

/// The node's configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for operators; `RELAY_OPERATOR` is used without it.
    operator: Option<SocketAddr>,
    /// Address of service discovery.
    pub discovery: SocketAddr,
    /// Seed of the node's random numbers, in hexadecimal.
    seed: String,
    #[serde(default)]
    pub limits: Limits,
    /// The last list of cache servers that was known, in discovery's form.
    pub known: Option<Box<RawValue>>,
    /// Address for datagrams from other nodes; used only with a control plane.
    #[serde(default)]
    pub peer_listen: Value,
    /// Addresses of all nodes, this one included, by node number; used only with a control plane.
    #[serde(default)]
    pub peers: Value,
    /// Settings of the balancer.
    pub settings: Value,
    /// Description of the file in error messages.
    #[serde(skip)]
    source: String,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory of the process, in MB; a quarter of it may hold commands and answers.
    pub memory_mb: usize,
    /// Maximum number of open descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

impl Limits {
    /// Most cache servers in a list: each takes some KiB for its entry, its points on the hash ring and its statistics.
    pub fn max_servers(&self) -> usize {
        ((self.memory_mb << 20) / BYTES_PER_SERVER).min(MAX_SERVERS)
    }

    /// Longest list of cache servers, in bytes.
    pub fn max_list_bytes(&self) -> usize {
        (self.max_servers() * MAX_ENTRY_BYTES).min(MAX_LIST_BYTES)
    }

    /// Most keys whose locations are remembered: an eighth of the memory.
    pub fn max_key_locations(&self) -> usize {
        (self.memory_mb << 20) / 8 / KEY_LOCATION_BYTES
    }

    /// These limits, with `sockets` capped by the process's limit on open files (RLIMIT_NOFILE).
    pub fn within_system_limits(&self) -> Self {
        let allowed = getrlimit(Resource::Nofile).current.and_then(|allowed| usize::try_from(allowed).ok());
        Limits { sockets: allowed.unwrap_or(usize::MAX).min(self.sockets), ..*self }
    }
}

/// An error in the options or the configuration, as one line that names the place.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct NodeConfigError(pub String);

/// Converts an error into a configuration error about `subject`.
pub fn config_error<E: std::fmt::Display>(subject: &str) -> impl FnOnce(E) -> NodeConfigError + '_ {
    move |error| NodeConfigError(format!("{subject}: {error}"))
}

impl Config {
    /// Path of the file: the command line's option, or else `RELAY_CONFIG`.
    pub fn path(option: Option<PathBuf>) -> Result<PathBuf, NodeConfigError> {
        option.map_or_else(
            || std::env::var("RELAY_CONFIG").map(Into::into).map_err(config_error("RELAY_CONFIG")),
            Ok,
        )
    }

    /// Reads and checks the file. The settings are checked separately by [`Config::settings`].
    pub fn read(path: &Path) -> Result<Self, NodeConfigError> {
        let source = format!("configuration {}", path.display());
        let text = std::fs::read(path).map_err(config_error(&source))?;
        let config = Self::parse(&text).map_err(config_error(&source))?;
        Ok(Config { source, ..config })
    }

    /// Converts an error into a configuration error about a field of this file.
    pub fn config_error<'a, E: std::fmt::Display>(
        &'a self,
        field: &'a str,
    ) -> impl FnOnce(E) -> NodeConfigError + 'a {
        move |error| NodeConfigError(format!("{}: {field}: {error}", self.source))
    }

    /// Converts a time of the settings.
    ///
    /// # Errors
    /// If the time is negative, not finite or too long for a [`Duration`].
    pub fn seconds(&self, name: &str, value: f64) -> Result<Duration, NodeConfigError> {
        Duration::try_from_secs_f64(value).map_err(self.config_error(&format!("settings: {name}")))
    }

    fn parse(text: &[u8]) -> Result<Self, String> {
        let json = &mut serde_json::Deserializer::from_slice(text);
        let config: Config = serde_path_to_error::deserialize(json).map_err(|error| error.to_string())?;
        let Limits { memory_mb, sockets } = config.limits;
        if memory_mb == 0 || memory_mb > usize::MAX >> 20 {
            return Err(format!("limits.memory_mb: a size in MB expected, got {memory_mb}"));
        }
        if sockets <= RESERVED_DESCRIPTORS {
            return Err(format!("limits.sockets: more than {RESERVED_DESCRIPTORS} expected, got {sockets}"));
        }
        Ok(config)
    }

    /// Reads and checks the balancer's settings.
    pub fn settings(&self) -> Result<Settings, NodeConfigError> {
        let settings = Settings::from_json(&self.settings).map_err(self.config_error("settings"))?;
        settings.validate().map_err(self.config_error("settings"))?;
        check_usable(&settings).map_err(self.config_error("settings"))?;
        Ok(settings)
    }

    /// Reads the seed.
    pub fn seed(&self) -> Result<u64, NodeConfigError> {
        let invalid = |_| format!("up to 16 hexadecimal digits expected, got {:?}", self.seed);
        u64::from_str_radix(&self.seed, 16).map_err(invalid).map_err(self.config_error("seed"))
    }

    /// Address for operators: from the file, or else from `RELAY_OPERATOR`; `None` if neither has it.
    pub fn operator(&self) -> Result<Option<SocketAddr>, NodeConfigError> {
        match (self.operator, std::env::var("RELAY_OPERATOR")) {
            (Some(address), _) => Ok(Some(address)),
            (None, Ok(text)) => text.parse().map(Some).map_err(config_error("RELAY_OPERATOR")),
            (None, Err(std::env::VarError::NotPresent)) => Ok(None),
            (None, Err(error)) => Err(config_error("RELAY_OPERATOR")(error)),
        }
    }

    /// Time after which cache servers close an idle connection. The balancer does not use this setting, so it is read
    /// here.
    pub fn idle_close(&self) -> Result<Duration, NodeConfigError> {
        const NAME: &str = "limits.idle-close-s";
        let number = |value: &Value| value.as_f64().ok_or_else(|| format!("a number expected, got {value}"));
        let seconds = match &self.settings["limits"]["idle-close-s"] {
            Value::Null => 60.0,
            value => number(value).map_err(self.config_error(&format!("settings: setting {NAME}")))?,
        };
        self.seconds(NAME, seconds)
    }
}

/// Checks for settings that are valid for the balancer but with which a node could serve nothing.
fn check_usable(settings: &Settings) -> Result<(), String> {
    let limits = &settings.limits;
    if limits.connect_timeout <= 0.0 {
        let got = limits.connect_timeout;
        return Err(format!("setting limits.dial-timeout-s: a time above 0 expected, got {got}"));
    }
    if limits.max_attempts == 0 {
        return Err("setting limits.max-attempts: at least 1 expected, got 0".into());
    }
    check_unique("grades", settings.classes.iter().map(|class| &*class.name))?;
    check_unique("tenants", settings.tenants.iter().map(|tenant| &*tenant.name))
}

/// Checks that no name occurs twice, as names are used to look entries up.
fn check_unique<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), String> {
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(format!("setting {list}.name: each once expected, got {name:?} twice"));
        }
    }
    Ok(())
}
