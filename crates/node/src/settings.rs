//! Settings, in INI.

mod error;
mod value;

pub use error::SettingsError;

use engine::Switches;
use ini::Ini;
use organisation::QuotaTolerance;
use policy::FleetRetryLimits;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use value::advertised;
use value::bound;
use value::bytes;
use value::contacts;
use value::duration;
use value::header;
use value::level;
use value::number;
use value::reachable;
use value::service;
use value::word;
use value::Key;

/// A node's settings. What the operators decide is in the rules, not here.
#[derive(Debug, Clone, PartialEq)]
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
    /// The store, where what must last is kept.
    pub store_addr: SocketAddr,
    /// The stream there that holds rules and views; unused where there is a platform, which has rules
    /// of its own and no homes.
    pub store_stream: String,
    /// The users' platform, if this node speaks to its servers and clients.
    pub platform: Option<PlatformSettings>,
    /// The log level.
    pub log_level: log::LevelFilter,
    /// Where metrics go, by UDP.
    pub metrics_addr: Option<SocketAddr>,
    /// Where counters and times are served, by HTTP.
    pub metrics_http_addr: Option<SocketAddr>,
    /// The largest body of a request or response, in bytes.
    pub max_body: usize,
    /// The most bytes of callers' bodies in flight together.
    pub max_bodies: usize,
    /// How long a caller may take for its body.
    pub body_timeout: Duration,
    /// What the whole fleet may try again at each service.
    pub retries: FleetRetryLimits,
    /// A revoked key is refused by every node within this time; unbounded without it.
    pub revocation: Option<Duration>,
    /// How strictly the quotas of organisations hold.
    pub quotas: QuotaTolerance,
    /// The mechanisms in force. No key sets this: all are on, but for experiments that ask otherwise
    /// on the command line.
    pub switches: Switches,
}

/// Where the users' platform is met.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Where it asks whether this node takes clients.
    pub ready_addr: SocketAddr,
    /// Where the own backend server announces itself.
    pub control_addr: SocketAddr,
}

/// The largest `max_body`: a body travels in one frame, with its head.
const MAX_BODY: usize = 3 << 20;

const SERVICE: Key = Key::new("node", "service");
const FAILURE_DOMAIN: Key = Key::new("node", "failure_domain");
const REGION: Key = Key::new("node", "region");
const HTTP_ADDR: Key = Key::new("node", "http_addr");
const PEER_ADDR: Key = Key::new("node", "peer_addr");
const ADVERTISED_ADDR: Key = Key::new("node", "advertised_addr");
const CONTACTS: Key = Key::new("node", "contacts");
const MAX_BODY_KEY: Key = Key::new("node", "max_body");
const MAX_BODIES: Key = Key::new("node", "max_bodies");
const BODY_TIMEOUT: Key = Key::new("node", "body_timeout");
const CALLER_HEADER: Key = Key::new("node", "caller_header");
const BACKEND_ADDR: Key = Key::new("backend_server", "addr");
const REFUSAL_HEADER: Key = Key::new("backend_server", "refusal_header");
const STORE_ADDR: Key = Key::new("store", "addr");
const STORE_STREAM: Key = Key::new("store", "stream");
const READY_ADDR: Key = Key::new("platform", "ready_addr");
const CONTROL_ADDR: Key = Key::new("platform", "control_addr");
const LOG_LEVEL: Key = Key::new("logging", "level");
const RETRY_RATIO: Key = Key::new("retries", "ratio");
const RETRY_SPARE: Key = Key::new("retries", "spare");
const RETRY_WINDOW: Key = Key::new("retries", "window_s");
const REVOCATION: Key = Key::new("organisations", "revocation_s");
const QUOTA_WINDOW: Key = Key::new("organisations", "quota_window_s");
const QUOTA_OVER: Key = Key::new("organisations", "quota_over");
const QUOTA_SLACK: Key = Key::new("organisations", "quota_slack");
const METRICS_HTTP_ADDR: Key = Key::new("metrics", "http_addr");
const METRICS_ADDR: Key = Key::new("metrics", "addr");

/// Every key there is.
const KNOWN: [Key; 27] = [
    SERVICE,
    FAILURE_DOMAIN,
    REGION,
    HTTP_ADDR,
    PEER_ADDR,
    ADVERTISED_ADDR,
    CONTACTS,
    MAX_BODY_KEY,
    MAX_BODIES,
    BODY_TIMEOUT,
    CALLER_HEADER,
    BACKEND_ADDR,
    REFUSAL_HEADER,
    STORE_ADDR,
    STORE_STREAM,
    READY_ADDR,
    CONTROL_ADDR,
    LOG_LEVEL,
    RETRY_RATIO,
    RETRY_SPARE,
    RETRY_WINDOW,
    REVOCATION,
    QUOTA_WINDOW,
    QUOTA_OVER,
    QUOTA_SLACK,
    METRICS_HTTP_ADDR,
    METRICS_ADDR,
];

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
        let told = ADVERTISED_ADDR.is_set(&ini);
        let max_body = MAX_BODY_KEY.or(&ini, 1 << 20, bytes(1, MAX_BODY))?;
        Ok(Self {
            service: SERVICE.required(&ini, service)?,
            failure_domain: FAILURE_DOMAIN.required(&ini, word)?,
            region: REGION.required(&ini, word)?,
            http_addr: HTTP_ADDR.required(&ini, bound)?,
            peer_addr: PEER_ADDR.required(&ini, if told { bound } else { advertised })?,
            advertised_addr: ADVERTISED_ADDR.optional(&ini, reachable)?,
            contacts: CONTACTS.or(&ini, Vec::new(), contacts)?,
            backend_server_addr: BACKEND_ADDR.required(&ini, reachable)?,
            refusal_header: REFUSAL_HEADER.or(&ini, "x-not-run".to_owned(), header)?,
            caller_header: CALLER_HEADER.or(&ini, "x-caller".to_owned(), header)?,
            store_addr: STORE_ADDR.required(&ini, reachable)?,
            store_stream: STORE_STREAM.or(&ini, "bilberrycove".to_owned(), word)?,
            platform: platform_settings(&ini)?,
            log_level: LOG_LEVEL.or(&ini, log::LevelFilter::Info, level)?,
            metrics_addr: METRICS_ADDR.optional(&ini, reachable)?,
            metrics_http_addr: METRICS_HTTP_ADDR.optional(&ini, bound)?,
            max_body,
            max_bodies: MAX_BODIES.or(
                &ini,
                DEFAULT_BODIES.max(max_body),
                bytes(max_body, MAX_BUDGET),
            )?,
            body_timeout: BODY_TIMEOUT.or(&ini, Duration::from_secs(10), duration(BODY_TIMES))?,
            retries: fleet_retries(&ini)?,
            revocation: REVOCATION
                .optional(&ini, number(1.0, 3600.0))?
                .map(Duration::from_secs_f64),
            quotas: quota_bounds(&ini)?,
            switches: Switches::ALL,
        })
    }
}

fn platform_settings(ini: &Ini) -> Result<Option<PlatformSettings>, SettingsError> {
    if !READY_ADDR.is_set(ini) && !CONTROL_ADDR.is_set(ini) {
        return Ok(None);
    }
    Ok(Some(PlatformSettings {
        ready_addr: READY_ADDR.required(ini, bound)?,
        control_addr: CONTROL_ADDR.required(ini, bound)?,
    }))
}

fn fleet_retries(ini: &Ini) -> Result<FleetRetryLimits, SettingsError> {
    let default = FleetRetryLimits::default();
    let window = default.window.as_secs_f64();
    let window = RETRY_WINDOW.or(ini, window, number(1.0, 300.0))?;
    Ok(FleetRetryLimits {
        ratio: RETRY_RATIO.or(ini, default.ratio, number(0.0, 1.0))?,
        spare: RETRY_SPARE.or(ini, default.spare, number(0.0, 1e6))?,
        window: Duration::from_secs_f64(window),
    })
}

fn quota_bounds(ini: &Ini) -> Result<QuotaTolerance, SettingsError> {
    let default = QuotaTolerance::default();
    let window = default.window.as_secs_f64();
    let window = QUOTA_WINDOW.or(ini, window, number(1.0, 300.0))?;
    let over = f64::from(default.over_permille) / 1000.0;
    let over = QUOTA_OVER.or(ini, over, number(0.0, 1.0))?;
    let slack = QUOTA_SLACK.or(ini, default.slack.into(), number(0.0, 1e6))?;
    Ok(QuotaTolerance {
        window: Duration::from_secs_f64(window),
        over_permille: (over * 1000.0) as u32,
        slack: slack as u32,
    })
}

/// What `node.body_timeout` may be.
const BODY_TIMES: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(300));

/// `node.max_bodies`, unless one body may be larger.
const DEFAULT_BODIES: usize = 8 << 20;

/// The largest `node.max_bodies`.
const MAX_BUDGET: usize = 1 << 30;

fn refuse_unknown(ini: &Ini) -> Result<(), SettingsError> {
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or("");
        let mut seen = Vec::new();
        for (key, _) in properties.iter() {
            let names = || (section.to_owned(), key.to_owned());
            if !KNOWN.contains(&Key::new(section, key)) {
                let (section, key) = names();
                return Err(SettingsError::Unknown { section, key });
            }
            if seen.contains(&key) {
                let (section, key) = names();
                return Err(SettingsError::Repeated { section, key });
            }
            seen.push(key);
        }
    }
    Ok(())
}
