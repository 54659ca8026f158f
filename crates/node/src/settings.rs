//! Settings, in INI.

use ini::Ini;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

/// A node's settings. What the operators decide is in the rules, not here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The service of the backend server that this node stands beside.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its region.
    pub region: String,
    /// Where callers and the own backend server reach this node, by HTTP.
    pub http_addr: SocketAddr,
    /// Where other nodes reach it, by TCP and UDP.
    pub peer_addr: SocketAddr,
    /// Where other nodes are told to reach it, if that is not `peer_addr`, because that one is a
    /// wildcard or behind a translation of addresses.
    pub advertised_addr: Option<SocketAddr>,
    /// Hints where other nodes may be.
    pub contacts: Vec<SocketAddr>,
    /// The backend server.
    pub backend_server_addr: SocketAddr,
    /// A response of the backend server with this header says that the work did not run.
    pub refusal_header: String,
    /// The header that names the caller.
    pub caller_header: String,
    /// The log service.
    pub log_addr: SocketAddr,
    /// The stream there.
    pub log_stream: String,
    /// The log level.
    pub log_level: log::LevelFilter,
    /// Where metrics go, by UDP.
    pub metrics_addr: Option<SocketAddr>,
    /// The largest body of a request or response, in bytes.
    pub max_body: usize,
}

/// What is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable(String),
    /// The file is not INI.
    Syntax(String),
    /// A key is missing.
    Missing {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
    },
    /// A value is not what the key takes.
    BadValue {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A section or key that there is none of.
    Unknown {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable(path) => write!(f, "{path} cannot be read"),
            SettingsError::Syntax(what) => write!(f, "not INI: {what}"),
            SettingsError::Missing { section, key } => write!(f, "[{section}] {key} is missing"),
            SettingsError::BadValue {
                section,
                key,
                value,
                allowed,
            } => {
                write!(f, "[{section}] {key} = {value}: takes {allowed}")
            }
            SettingsError::Unknown { section, key } => write!(f, "[{section}] {key}: unknown"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Every key there is.
const KNOWN: [(&str, &str); 15] = [
    ("node", "service"),
    ("node", "failure_domain"),
    ("node", "region"),
    ("node", "http_addr"),
    ("node", "peer_addr"),
    ("node", "advertised_addr"),
    ("node", "contacts"),
    ("node", "max_body"),
    ("node", "caller_header"),
    ("backend_server", "addr"),
    ("backend_server", "refusal_header"),
    ("log_service", "addr"),
    ("log_service", "stream"),
    ("logging", "level"),
    ("metrics", "addr"),
];

const ADDR: &str = "IP:PORT";
const WORD: &str = "1 to 64 letters, digits, `-`, `_` or `.`";

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with section, key, value and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let unreadable = |_| SettingsError::Unreadable(path.display().to_string());
        Self::parse(&std::fs::read_to_string(path).map_err(unreadable)?)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    ///
    /// As [`Settings::read`].
    ///
    /// # Examples
    ///
    /// ```
    /// let error = bilberry_node::Settings::parse("[node]\nservice = press").unwrap_err();
    /// assert_eq!(error.to_string(), "[node] failure_domain is missing");
    /// ```
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|e| SettingsError::Syntax(e.to_string()))?;
        refuse_unknown(&ini)?;
        let backend = "backend_server";
        Ok(Self {
            service: word(&ini, "node", "service")?,
            failure_domain: word(&ini, "node", "failure_domain")?,
            region: word(&ini, "node", "region")?,
            http_addr: required(&ini, "node", "http_addr", ADDR)?,
            peer_addr: required(&ini, "node", "peer_addr", ADDR)?,
            advertised_addr: optional(&ini, "node", "advertised_addr", ADDR)?,
            contacts: contacts(&ini)?,
            backend_server_addr: required(&ini, backend, "addr", ADDR)?,
            refusal_header: optional(&ini, backend, "refusal_header", "a header's name")?
                .unwrap_or_else(|| "x-not-run".to_owned()),
            caller_header: optional(&ini, "node", "caller_header", "a header's name")?
                .unwrap_or_else(|| "x-caller".to_owned()),
            log_addr: required(&ini, "log_service", "addr", ADDR)?,
            log_stream: optional(&ini, "log_service", "stream", WORD)?
                .unwrap_or_else(|| "bilberrycove".to_owned()),
            log_level: optional(
                &ini,
                "logging",
                "level",
                "off, error, warn, info, debug or trace",
            )?
            .unwrap_or(log::LevelFilter::Info),
            metrics_addr: optional(&ini, "metrics", "addr", ADDR)?,
            max_body: optional(&ini, "node", "max_body", "a number of bytes")?.unwrap_or(1 << 20),
        })
    }
}

fn refuse_unknown(ini: &Ini) -> Result<(), SettingsError> {
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or("");
        for (key, _) in properties.iter() {
            if !KNOWN.contains(&(section, key)) {
                let (section, key) = (section.to_owned(), key.to_owned());
                return Err(SettingsError::Unknown { section, key });
            }
        }
    }
    Ok(())
}

fn optional<T: std::str::FromStr>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    allowed: &'static str,
) -> Result<Option<T>, SettingsError> {
    let Some(value) = ini.get_from(Some(section), key) else {
        return Ok(None);
    };
    let bad = |_| SettingsError::BadValue {
        section,
        key,
        value: value.to_owned(),
        allowed,
    };
    value.parse().map(Some).map_err(bad)
}

fn required<T: std::str::FromStr>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    allowed: &'static str,
) -> Result<T, SettingsError> {
    optional(ini, section, key, allowed)?.ok_or(SettingsError::Missing { section, key })
}

fn word(ini: &Ini, section: &'static str, key: &'static str) -> Result<String, SettingsError> {
    let value: String = required(ini, section, key, WORD)?;
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() || value.len() > 64 || !value.chars().all(fits) {
        return Err(SettingsError::BadValue {
            section,
            key,
            value,
            allowed: WORD,
        });
    }
    Ok(value)
}

fn contacts(ini: &Ini) -> Result<Vec<SocketAddr>, SettingsError> {
    let text = ini.get_from(Some("node"), "contacts").unwrap_or("");
    let words = text
        .split(',')
        .map(str::trim)
        .filter(|word| !word.is_empty());
    let parse = |word: &str| {
        word.parse().map_err(|_| SettingsError::BadValue {
            section: "node",
            key: "contacts",
            value: word.to_owned(),
            allowed: "IP:PORT, several with commas between",
        })
    };
    words.map(parse).collect()
}
