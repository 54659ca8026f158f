//! Settings of a node, in an INI file.

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
use value::parse_advertised_addr;
use value::parse_byte_count;
use value::parse_contacts;
use value::parse_count;
use value::parse_duration;
use value::parse_header_name;
use value::parse_listen_addr;
use value::parse_log_level;
use value::parse_name;
use value::parse_number;
use value::parse_remote_addr;
use value::parse_service_name;
use value::Key;

/// A node's settings. Operators' policies are in the rules file instead.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The service of the backend server beside this node.
    pub service: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// The region of the instance.
    pub region: String,
    /// Listen address for HTTP from callers and the node's own backend server.
    pub http_addr: SocketAddr,
    /// Listen address for other nodes, TCP and UDP.
    pub peer_addr: SocketAddr,
    /// The address advertised to other nodes, if it differs from `peer_addr` because that is a
    /// wildcard or behind NAT.
    pub advertised_addr: Option<SocketAddr>,
    /// Addresses at which other nodes may be found.
    pub contacts: Vec<SocketAddr>,
    /// The address of the backend server.
    pub backend_server_addr: SocketAddr,
    /// A backend response with this header means that the request was not run.
    pub refusal_header: String,
    /// The request header that identifies the caller.
    pub caller_header: String,
    /// The address of the store, which holds durable state.
    pub store_addr: SocketAddr,
    /// The store stream that holds the log of rules and views. Unused on the users' platform, which
    /// has its own rules and no home nodes for keys.
    pub store_stream: String,
    /// Set if this node runs on the users' platform.
    pub platform: Option<PlatformSettings>,
    /// The log level.
    pub log_level: log::LevelFilter,
    /// The metrics service, by UDP.
    pub metrics_addr: Option<SocketAddr>,
    /// Listen address for the HTTP page of counters and latencies.
    pub metrics_http_addr: Option<SocketAddr>,
    /// Largest body of a request or response, in bytes.
    pub max_body: usize,
    /// Most bytes of all callers' bodies in flight together.
    pub max_bodies: usize,
    /// Most bytes of all bodies that are being read from the backend server.
    pub max_responses: usize,
    /// Most bytes held for callers' connections together: requests that are being received or
    /// served, and answers that their callers have not read.
    pub max_held: usize,
    /// Most connections of callers; by default a share of the descriptors.
    pub max_connections: Option<usize>,
    /// Descriptors that the process may open, if the system allows as many.
    pub max_descriptors: usize,
    /// How long a caller may take to send a body.
    pub body_timeout: Duration,
    /// Fleet-wide retry limits for each service.
    pub retry_limits: FleetRetryLimits,
    /// Time within which every node refuses a revoked key; unbounded if not set.
    pub revocation_bound: Option<Duration>,
    /// How far organisations may exceed their quotas.
    pub quota_tolerance: QuotaTolerance,
    /// Enabled mechanisms. There is no settings key: all are on unless disabled on the command line
    /// for an experiment.
    pub switches: Switches,
}

/// Listen addresses for the users' platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Serves the readiness probe.
    pub ready_addr: SocketAddr,
    /// Receives announcements from the node's own backend server.
    pub control_addr: SocketAddr,
}

/// Largest allowed `max_body`: a body travels in one frame together with its head.
const MAX_BODY_LIMIT: usize = 3 << 20;

const SERVICE: Key = Key::new("node", "service");
const FAILURE_DOMAIN: Key = Key::new("node", "failure_domain");
const REGION: Key = Key::new("node", "region");
const HTTP_ADDR: Key = Key::new("node", "http_addr");
const PEER_ADDR: Key = Key::new("node", "peer_addr");
const ADVERTISED_ADDR: Key = Key::new("node", "advertised_addr");
const CONTACTS: Key = Key::new("node", "contacts");
const MAX_BODY_KEY: Key = Key::new("node", "max_body");
const MAX_BODIES: Key = Key::new("node", "max_bodies");
const MAX_RESPONSES: Key = Key::new("node", "max_responses");
const MAX_HELD: Key = Key::new("node", "max_held");
const MAX_CONNECTIONS: Key = Key::new("node", "max_connections");
const MAX_DESCRIPTORS: Key = Key::new("node", "max_descriptors");
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

const KNOWN_KEYS: [Key; 31] = [
    SERVICE,
    FAILURE_DOMAIN,
    REGION,
    HTTP_ADDR,
    PEER_ADDR,
    ADVERTISED_ADDR,
    CONTACTS,
    MAX_BODY_KEY,
    MAX_BODIES,
    MAX_RESPONSES,
    MAX_HELD,
    MAX_CONNECTIONS,
    MAX_DESCRIPTORS,
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The first problem found, with section, key, value and the allowed values.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let unreadable = |_| SettingsError::Unreadable(path.display().to_string());
        Self::parse(&std::fs::read_to_string(path).map_err(unreadable)?)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Same as [`Settings::read`].
    ///
    /// # Examples
    ///
    /// ```
    /// let error = bilberry_node::Settings::parse("[node]\nservice = press").unwrap_err();
    /// assert_eq!(error.to_string(), "[node] failure_domain is missing");
    /// ```
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|e| SettingsError::Syntax(e.to_string()))?;
        reject_unknown_keys(&ini)?;
        let has_advertised_addr = ADVERTISED_ADDR.is_set(&ini);
        let max_body =
            MAX_BODY_KEY.or_default(&ini, 1 << 20, parse_byte_count(1, MAX_BODY_LIMIT))?;
        let max_bodies = MAX_BODIES.or_default(
            &ini,
            DEFAULT_MAX_BODIES.max(max_body),
            parse_byte_count(max_body, MAX_BODIES_LIMIT),
        )?;
        Ok(Self {
            service: SERVICE.required(&ini, parse_service_name)?,
            failure_domain: FAILURE_DOMAIN.required(&ini, parse_name)?,
            region: REGION.required(&ini, parse_name)?,
            http_addr: HTTP_ADDR.required(&ini, parse_listen_addr)?,
            peer_addr: PEER_ADDR.required(
                &ini,
                if has_advertised_addr {
                    parse_listen_addr
                } else {
                    parse_advertised_addr
                },
            )?,
            advertised_addr: ADVERTISED_ADDR.optional(&ini, parse_remote_addr)?,
            contacts: CONTACTS.or_default(&ini, Vec::new(), parse_contacts)?,
            backend_server_addr: BACKEND_ADDR.required(&ini, parse_remote_addr)?,
            refusal_header: REFUSAL_HEADER.or_default(
                &ini,
                "x-not-run".to_owned(),
                parse_header_name,
            )?,
            caller_header: CALLER_HEADER.or_default(
                &ini,
                "x-caller".to_owned(),
                parse_header_name,
            )?,
            store_addr: STORE_ADDR.required(&ini, parse_remote_addr)?,
            store_stream: STORE_STREAM.or_default(&ini, "bilberrycove".to_owned(), parse_name)?,
            platform: parse_platform_settings(&ini)?,
            log_level: LOG_LEVEL.or_default(&ini, log::LevelFilter::Info, parse_log_level)?,
            metrics_addr: METRICS_ADDR.optional(&ini, parse_remote_addr)?,
            metrics_http_addr: METRICS_HTTP_ADDR.optional(&ini, parse_listen_addr)?,
            max_body,
            max_bodies,
            max_responses: MAX_RESPONSES.or_default(
                &ini,
                DEFAULT_MAX_RESPONSES.max(max_body),
                parse_byte_count(max_body, MAX_BODIES_LIMIT),
            )?,
            max_held: MAX_HELD.or_default(
                &ini,
                DEFAULT_MAX_HELD.max(max_bodies + max_body),
                parse_byte_count(max_bodies + max_body, MAX_HELD_LIMIT),
            )?,
            max_connections: MAX_CONNECTIONS.optional(&ini, parse_count(CONNECTION_RANGE))?,
            max_descriptors: MAX_DESCRIPTORS.or_default(
                &ini,
                usize::MAX,
                parse_count(DESCRIPTOR_RANGE),
            )?,
            body_timeout: BODY_TIMEOUT.or_default(
                &ini,
                Duration::from_secs(10),
                parse_duration(BODY_TIMEOUT_RANGE),
            )?,
            retry_limits: parse_retry_limits(&ini)?,
            revocation_bound: REVOCATION
                .optional(&ini, parse_number(1.0, 3600.0))?
                .map(Duration::from_secs_f64),
            quota_tolerance: parse_quota_tolerance(&ini)?,
            switches: Switches::ALL,
        })
    }
}

fn parse_platform_settings(ini: &Ini) -> Result<Option<PlatformSettings>, SettingsError> {
    if !READY_ADDR.is_set(ini) && !CONTROL_ADDR.is_set(ini) {
        return Ok(None);
    }
    Ok(Some(PlatformSettings {
        ready_addr: READY_ADDR.required(ini, parse_listen_addr)?,
        control_addr: CONTROL_ADDR.required(ini, parse_listen_addr)?,
    }))
}

fn parse_retry_limits(ini: &Ini) -> Result<FleetRetryLimits, SettingsError> {
    let default = FleetRetryLimits::default();
    let window = default.window.as_secs_f64();
    let window = RETRY_WINDOW.or_default(ini, window, parse_number(1.0, 300.0))?;
    Ok(FleetRetryLimits {
        ratio: RETRY_RATIO.or_default(ini, default.ratio, parse_number(0.0, 1.0))?,
        spare: RETRY_SPARE.or_default(ini, default.spare, parse_number(0.0, 1e6))?,
        window: Duration::from_secs_f64(window),
    })
}

fn parse_quota_tolerance(ini: &Ini) -> Result<QuotaTolerance, SettingsError> {
    let default = QuotaTolerance::default();
    let window = default.window.as_secs_f64();
    let window = QUOTA_WINDOW.or_default(ini, window, parse_number(1.0, 300.0))?;
    let over = f64::from(default.over_permille) / 1000.0;
    let over = QUOTA_OVER.or_default(ini, over, parse_number(0.0, 1.0))?;
    let slack = QUOTA_SLACK.or_default(ini, default.slack.into(), parse_number(0.0, 1e6))?;
    Ok(QuotaTolerance {
        window: Duration::from_secs_f64(window),
        over_permille: (over * 1000.0) as u32,
        slack: slack as u32,
    })
}

/// Allowed range of `node.body_timeout`.
const BODY_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(1), Duration::from_secs(300));

/// Default of `node.max_bodies`, unless `node.max_body` is larger.
const DEFAULT_MAX_BODIES: usize = 8 << 20;

/// Default of `node.max_responses`, unless `node.max_body` is larger.
const DEFAULT_MAX_RESPONSES: usize = 8 << 20;

/// Default of `node.max_held`, unless `node.max_bodies` and `node.max_body` are larger together.
const DEFAULT_MAX_HELD: usize = 48 << 20;

/// Largest allowed `node.max_held`.
const MAX_HELD_LIMIT: usize = 2 << 30;

/// Allowed range of `node.max_connections`.
const CONNECTION_RANGE: (usize, usize) = (1, 1_000_000);

/// Allowed range of `node.max_descriptors`.
const DESCRIPTOR_RANGE: (usize, usize) = (128, 1_000_000);

/// Largest allowed `node.max_bodies` and `node.max_responses`.
const MAX_BODIES_LIMIT: usize = 1 << 30;

fn reject_unknown_keys(ini: &Ini) -> Result<(), SettingsError> {
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or("");
        let mut seen = Vec::new();
        for (key, _) in properties.iter() {
            let names = || (section.to_owned(), key.to_owned());
            if !KNOWN_KEYS.contains(&Key::new(section, key)) {
                let (section, key) = names();
                return Err(SettingsError::Unknown { section, key });
            }
            if seen.contains(&key) {
                let (section, key) = names();
                return Err(SettingsError::Duplicate { section, key });
            }
            seen.push(key);
        }
    }
    Ok(())
}
