//! Parsers for settings values.

use crate::SettingsError;
use actix_http::header::HeaderName;
use ini::Ini;
use std::net::SocketAddr;
use std::time::Duration;

/// A settings key and its section.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Key<'a> {
    section: &'a str,
    key: &'a str,
}

/// A value, or a description of the allowed values.
type ParseResult<T> = Result<T, &'static str>;

impl<'a> Key<'a> {
    pub(super) const fn new(section: &'a str, key: &'a str) -> Self {
        Self { section, key }
    }
}

impl Key<'static> {
    pub(super) fn is_set(self, ini: &Ini) -> bool {
        ini.get_from(Some(self.section), self.key).is_some()
    }

    pub(super) fn optional<T>(
        self,
        ini: &Ini,
        parse: impl Fn(&str) -> ParseResult<T>,
    ) -> Result<Option<T>, SettingsError> {
        let Some(value) = ini.get_from(Some(self.section), self.key) else {
            return Ok(None);
        };
        let invalid = |allowed| SettingsError::InvalidValue {
            section: self.section,
            key: self.key,
            value: value.to_owned(),
            allowed,
        };
        parse(value).map(Some).map_err(invalid)
    }

    pub(super) fn or_default<T>(
        self,
        ini: &Ini,
        default: T,
        parse: impl Fn(&str) -> ParseResult<T>,
    ) -> Result<T, SettingsError> {
        Ok(self.optional(ini, parse)?.unwrap_or(default))
    }

    pub(super) fn required<T>(
        self,
        ini: &Ini,
        parse: impl Fn(&str) -> ParseResult<T>,
    ) -> Result<T, SettingsError> {
        self.optional(ini, parse)?.ok_or(SettingsError::Missing {
            section: self.section,
            key: self.key,
        })
    }
}

/// The name of a failure domain, region or stream.
pub(super) fn parse_name(value: &str) -> ParseResult<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() || value.len() > journal::MAX_NAME_LEN || !value.chars().all(is_allowed) {
        return Err("1 to 64 letters, digits, `-`, `_` or `.`");
    }
    Ok(value.to_owned())
}

/// A service name. It is the first segment of request paths, where `-` refers to the node itself.
pub(super) fn parse_service_name(value: &str) -> ParseResult<String> {
    let allowed = "1 to 64 letters, digits, `-`, `_` or `.`, but not `-`, `.` or `..` alone";
    match value {
        "-" | "." | ".." => Err(allowed),
        _ => parse_name(value).map_err(|_| allowed),
    }
}

/// An address to listen on.
pub(super) fn parse_listen_addr(value: &str) -> ParseResult<SocketAddr> {
    value.parse().map_err(|_| "IP:PORT")
}

/// An address to listen on and to advertise. Other nodes would connect to themselves at an
/// unspecified address, and this node would be listed in the views but never reached.
pub(super) fn parse_advertised_addr(value: &str) -> ParseResult<SocketAddr> {
    let allowed = "IP:PORT that other nodes can reach: not 0.0.0.0, [::], multicast or broadcast";
    value.parse().ok().filter(is_unicast).ok_or(allowed)
}

/// An address to connect to.
pub(super) fn parse_remote_addr(value: &str) -> ParseResult<SocketAddr> {
    let addr: Option<SocketAddr> = value.parse().ok();
    addr.filter(|addr| is_unicast(addr) && addr.port() != 0)
        .ok_or("IP:PORT of one host, with a port above 0")
}

fn is_unicast(addr: &SocketAddr) -> bool {
    let ip = addr.ip();
    !ip.is_unspecified() && !ip.is_multicast() && ip != std::net::Ipv4Addr::BROADCAST
}

pub(super) fn parse_contacts(value: &str) -> ParseResult<Vec<SocketAddr>> {
    const MAX_CONTACTS: usize = 32;
    let entries = value.split(',').map(str::trim);
    let addrs = entries
        .filter(|entry| !entry.is_empty())
        .map(parse_remote_addr);
    match addrs.collect::<Result<Vec<_>, _>>() {
        Ok(addrs) if addrs.len() <= MAX_CONTACTS => Ok(addrs),
        _ => Err("up to 32 addresses IP:PORT, separated by commas"),
    }
}

pub(super) fn parse_header_name(value: &str) -> ParseResult<String> {
    let name = HeaderName::from_bytes(value.as_bytes());
    name.map(|name| name.as_str().to_owned())
        .map_err(|_| "an HTTP header name")
}

pub(super) fn parse_log_level(value: &str) -> ParseResult<log::LevelFilter> {
    value
        .parse()
        .map_err(|_| "off, error, warn, info, debug or trace")
}

/// A number of bytes within a range. The error text lists the ranges of all settings of this type,
/// as does docs/CONFIGURATION.md.
pub(super) fn parse_byte_count(min: usize, max: usize) -> impl Fn(&str) -> ParseResult<usize> {
    move |value| {
        let number = value.parse().ok();
        number.filter(|number| (min..=max).contains(number)).ok_or(
            "a number of bytes: max_body up to 3145728, max_bodies and max_responses from max_body to \
             1073741824, max_held from max_bodies and max_body together to 2147483648",
        )
    }
}

/// A count within a range. The error text lists the ranges of all settings of this type.
pub(super) fn parse_count((min, max): (usize, usize)) -> impl Fn(&str) -> ParseResult<usize> {
    move |value| {
        let number = value.parse().ok();
        number
            .filter(|number| (min..=max).contains(number))
            .ok_or("a whole number: max_connections 1 to 1000000, max_descriptors 128 to 1000000")
    }
}

/// A number within a range. The error text lists the ranges of all settings of this type, as does
/// docs/CONFIGURATION.md.
pub(super) fn parse_number(min: f64, max: f64) -> impl Fn(&str) -> ParseResult<f64> {
    move |value| {
        let number: Option<f64> = value.parse().ok();
        number.filter(|number| (min..=max).contains(number)).ok_or(
            "a number: ratio and quota_over 0 to 1, spare and quota_slack 0 to 1000000, \
                 window_s and quota_window_s 1 to 300, revocation_s 1 to 3600",
        )
    }
}

/// A duration within a range. The error text names the only setting of this type.
pub(super) fn parse_duration(
    (min, max): (Duration, Duration),
) -> impl Fn(&str) -> ParseResult<Duration> {
    move |value| {
        rules::parse_duration(value)
            .filter(|duration| (min..=max).contains(duration))
            .ok_or("a number with ms, s, m or h: body_timeout 1ms to 300s")
    }
}
