//! The configuration: a JSON file named by `ROUTER_CONFIG`.

use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::path::Path;

use leadmast::settings::{self, ParsedSettings};
use leadmast::Micros;
use serde_json::Value;

use gradeshunt_placement::Placement;
use gradeshunt_sites::proxy::Sites;

use crate::routing::{rules, Rules};
use crate::transient::is_transient;

/// Default silence. An idle watch delivers a line every 2 s: one that is silent for longer has broken, even
/// if its connection is open.
const DEFAULT_SILENCE: Micros = 3_000_000;

/// The configuration that the proxy starts with.
pub struct Config {
    /// The proxy's name, the same after a restart.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Descriptor of the clients' socket, if the platform holds it.
    pub listen_fd: Option<i32>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address for operators' HTTP calls, if there is one.
    pub control: Option<SocketAddr>,
    /// Seed for random numbers.
    pub seed: u64,
    /// File descriptors that the proxy may use.
    pub sockets: usize,
    /// Memory that the proxy may use, in bytes.
    pub memory_bytes: usize,
    /// How long discovery may be silent before a call to it counts as broken.
    pub watch_silence: Micros,
    /// The list of db hosts that this proxy last had, in discovery's format; null if there is none.
    pub known_list: Value,
    /// The settings, as read by the decision library.
    pub facts: ParsedSettings,
    /// Routes of plain statements, if operators give a file for them.
    pub rules: Option<Rules>,
    /// Handling of a site's loss, if operators give a file for it.
    pub sites: Option<Sites>,
    /// Placement of sets on proxies, if operators give a file for it.
    pub placement: Option<Placement>,
}

/// Why a configuration can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The reason, in one line.
    pub why: String,
    /// Whether a file can't be read now and may be readable later.
    pub is_transient: bool,
}

impl Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.why)
    }
}

impl From<String> for ConfigError {
    fn from(why: String) -> Self {
        ConfigError { why, is_transient: false }
    }
}

impl From<ConfigError> for String {
    fn from(e: ConfigError) -> Self {
        e.why
    }
}

/// Reads one of the operators' files.
fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|e| ConfigError {
        why: format!("cannot read {}: {e}", path.display()),
        is_transient: is_transient(&e),
    })
}

impl Config {
    /// Reads the given file, or the one that the environment names.
    ///
    /// # Errors
    /// If a file can't be read, or its contents are invalid.
    pub fn load(named: Option<&Path>) -> Result<Config, ConfigError> {
        let path = match named {
            Some(path) => path.to_owned(),
            None => std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set".to_owned())?.into(),
        };
        let text = read_file(&path)?;
        Config::parse(&text).map_err(|e| ConfigError { why: format!("{}: {e}", path.display()), ..e })
    }

    /// Returns the tenants' names for the metrics: those in the settings and, if there are any, a last one
    /// for requests without a tenant's name.
    pub(crate) fn tenants(&self) -> Vec<String> {
        let mut tenants = self.facts.names.tenants.clone();
        tenants.extend((!tenants.is_empty()).then(|| "?".to_owned()));
        tenants
    }

    /// Describes the configuration in one line, for `gradeshunt check`.
    pub fn summary(&self) -> String {
        let classes = self.facts.names.classes.join(", ");
        let routes = self.rules.as_ref().map_or(0, |r| r.routes.len());
        let Config { name, listen, discovery, .. } = self;
        let sites = self.sites.as_ref().map(|s| format!(", {}", s.summary())).unwrap_or_default();
        let placement =
            self.placement.as_ref().map(|p| format!(", in group {}", p.group())).unwrap_or_default();
        format!("{name}: listens at {listen}, discovery at {discovery}, classes {classes}, {routes} routes{sites}{placement}")
    }

    fn parse(text: &str) -> Result<Config, ConfigError> {
        let value: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let text =
            |key: &str| value.get(key).and_then(Value::as_str).ok_or_else(|| format!("{key} is missing"));
        let addr = |key: &str| {
            let text = text(key)?;
            text.parse().map_err(|_| format!("{key} is not an address: {text:?}"))
        };
        // During an upgrade the processes may read one file, and differ in this address only by their
        // environment.
        let named = std::env::var("ROUTER_CONTROL").ok().filter(|a| !a.is_empty());
        let control = match named {
            Some(a) => Some(a.parse().map_err(|_| format!("ROUTER_CONTROL is not an address: {a:?}"))?),
            None if value.get("control").is_none_or(Value::is_null) => None,
            None => Some(addr("control")?),
        };
        let fd = std::env::var("ROUTER_LISTEN_FD").ok().filter(|fd| !fd.is_empty());
        let fd = fd.map(|fd| fd.parse().map_err(|_| format!("ROUTER_LISTEN_FD is not a descriptor: {fd:?}")));
        // Operators' files are named by the environment or by the configuration.
        let file = |variable: &str, key: &str| {
            let named = std::env::var(variable).ok().filter(|f| !f.is_empty());
            named.or_else(|| value.get(key).and_then(Value::as_str).map(str::to_owned))
        };
        let (rules, sites) = (file("ROUTER_RULES", "rules"), file("ROUTER_SITES", "sites"));
        let placement = file("ROUTER_PLACEMENT", "placement");
        let facts = settings::read(value.get("settings").ok_or("settings is missing".to_owned())?);
        let facts = facts.map_err(|e| format!("settings: {e}"));
        let seed = text("seed")?;
        let limit = |key: &str, default| {
            let v = value.pointer(&format!("/limits/{key}")).filter(|v| !v.is_null());
            let n = v.map(|v| v.as_u64().ok_or_else(|| format!("limits.{key} is not a whole number: {v}")));
            n.transpose().map(|n| n.unwrap_or(default))
        };
        let sockets = limit("sockets", 1024)?;
        if sockets < 64 {
            return Err(format!("limits.sockets is too small: {sockets}").into());
        }
        let memory_mb = limit("memory_mb", 192)?;
        let silence = value.get("watch_silence_ms").filter(|v| !v.is_null()).map(|v| {
            let silence = settings::time(v).filter(|t| *t > 0);
            silence.ok_or_else(|| format!("watch_silence_ms is not a time above 0: {v}"))
        });
        let (name, listen, discovery) = (text("name")?.to_owned(), addr("listen")?, addr("discovery")?);
        let facts = facts?;
        let rules = rules.map(|file| read_rules(&file, &facts)).transpose()?;
        let sites = sites.map(|file| read_sites(&file, &facts)).transpose()?;
        let placement = placement.map(|file| read_placement(&file, &name)).transpose()?;
        Ok(Config {
            name,
            listen,
            listen_fd: fd.transpose()?,
            discovery,
            control,
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed is not hex: {seed:?}"))?,
            sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
            memory_bytes: usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20),
            watch_silence: silence.transpose()?.unwrap_or(DEFAULT_SILENCE),
            known_list: value.get("known").cloned().unwrap_or(Value::Null),
            facts,
            rules,
            sites,
            placement,
        })
    }
}

/// Reads the operators' file on plain statements.
fn read_rules(file: &str, facts: &ParsedSettings) -> Result<Rules, ConfigError> {
    Ok(rules::parse(&read_file(Path::new(file))?, facts).map_err(|e| format!("{file}:{e}"))?)
}

/// Reads the operators' file on placement.
fn read_placement(file: &str, own_name: &str) -> Result<Placement, ConfigError> {
    let text = read_file(Path::new(file))?;
    let placement = Placement::parse(file, &text, own_name).map_err(|e| e.to_string())?;
    let own = placement.proxy(placement.own());
    if own.is_none_or(|proxy| proxy.address.is_none()) {
        return Err(
            format!("{file}: proxy {own_name:?} is this one and has no address for other proxies").into()
        );
    }
    Ok(placement)
}

/// Reads the operators' file on sites. The plans are computed here, outside the event loop.
fn read_sites(file: &str, facts: &ParsedSettings) -> Result<Sites, ConfigError> {
    let text = read_file(Path::new(file))?;
    Ok(Sites::new(&text, facts, 0).map_err(|e| format!("{file}:{e}"))?)
}
