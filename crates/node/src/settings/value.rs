//! Values of settings: how each kind is read, and what is allowed.

use crate::SettingsError;
use actix_http::header::HeaderName;
use ini::Ini;
use std::net::SocketAddr;
use std::time::Duration;

/// A section and a key in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Key<'a> {
    section: &'a str,
    key: &'a str,
}

/// A value, or what would have been allowed.
type Value<T> = Result<T, &'static str>;

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
        read: impl Fn(&str) -> Value<T>,
    ) -> Result<Option<T>, SettingsError> {
        let Some(value) = ini.get_from(Some(self.section), self.key) else {
            return Ok(None);
        };
        let bad = |allowed| SettingsError::BadValue {
            section: self.section,
            key: self.key,
            value: value.to_owned(),
            allowed,
        };
        read(value).map(Some).map_err(bad)
    }

    pub(super) fn or<T>(
        self,
        ini: &Ini,
        default: T,
        read: impl Fn(&str) -> Value<T>,
    ) -> Result<T, SettingsError> {
        Ok(self.optional(ini, read)?.unwrap_or(default))
    }

    pub(super) fn required<T>(
        self,
        ini: &Ini,
        read: impl Fn(&str) -> Value<T>,
    ) -> Result<T, SettingsError> {
        self.optional(ini, read)?.ok_or(SettingsError::Missing {
            section: self.section,
            key: self.key,
        })
    }
}

/// The name of a failure domain, region or stream.
pub(super) fn word(value: &str) -> Value<String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if value.is_empty() || value.len() > journal::MAX_NAME_LEN || !value.chars().all(fits) {
        return Err("1 to 64 letters, digits, `-`, `_` or `.`");
    }
    Ok(value.to_owned())
}

/// The name of a service. It is the first part of a path, where `-` is the node itself.
pub(super) fn service(value: &str) -> Value<String> {
    let allowed = "1 to 64 letters, digits, `-`, `_` or `.`, but not `-`, `.` or `..` alone";
    match value {
        "-" | "." | ".." => Err(allowed),
        _ => word(value).map_err(|_| allowed),
    }
}

/// An address to listen at.
pub(super) fn bound(value: &str) -> Value<SocketAddr> {
    value.parse().map_err(|_| "IP:PORT")
}

/// An address to listen at and to tell others. Told an unspecified one, they would connect to
/// themselves, and the node would be in the views but never reached.
pub(super) fn advertised(value: &str) -> Value<SocketAddr> {
    let allowed = "IP:PORT that other nodes can reach: not 0.0.0.0, [::], multicast or broadcast";
    value.parse().ok().filter(is_one_host).ok_or(allowed)
}

/// An address to connect to.
pub(super) fn reachable(value: &str) -> Value<SocketAddr> {
    let addr: Option<SocketAddr> = value.parse().ok();
    addr.filter(|addr| is_one_host(addr) && addr.port() != 0)
        .ok_or("IP:PORT of one host, with a port above 0")
}

fn is_one_host(addr: &SocketAddr) -> bool {
    let ip = addr.ip();
    !ip.is_unspecified() && !ip.is_multicast() && ip != std::net::Ipv4Addr::BROADCAST
}

pub(super) fn contacts(value: &str) -> Value<Vec<SocketAddr>> {
    const MAX_CONTACTS: usize = 32;
    let words = value.split(',').map(str::trim);
    let addrs = words.filter(|word| !word.is_empty()).map(reachable);
    match addrs.collect::<Result<Vec<_>, _>>() {
        Ok(addrs) if addrs.len() <= MAX_CONTACTS => Ok(addrs),
        _ => Err("up to 32 times IP:PORT, with commas between"),
    }
}

pub(super) fn header(value: &str) -> Value<String> {
    let name = HeaderName::from_bytes(value.as_bytes());
    name.map(|name| name.as_str().to_owned())
        .map_err(|_| "the name of an HTTP header")
}

pub(super) fn level(value: &str) -> Value<log::LevelFilter> {
    value
        .parse()
        .map_err(|_| "off, error, warn, info, debug or trace")
}

/// A number of bytes in a range. The bounds are in docs/CONFIGURATION.md.
pub(super) fn bytes(min: usize, max: usize) -> impl Fn(&str) -> Value<usize> {
    move |value| {
        let number = value.parse().ok();
        number.filter(|number| (min..=max).contains(number)).ok_or(
            "a number of bytes: max_body up to 3145728, max_bodies from max_body to 1073741824",
        )
    }
}

/// A number in a range; the bounds are in docs/CONFIGURATION.md.
pub(super) fn number(min: f64, max: f64) -> impl Fn(&str) -> Value<f64> {
    move |value| {
        let number: Option<f64> = value.parse().ok();
        number
            .filter(|number| (min..=max).contains(number))
            .ok_or("a number: ratio 0 to 1, spare 0 to 1000000, window_s 1 to 300")
    }
}

/// A duration in a range.
pub(super) fn duration((min, max): (Duration, Duration)) -> impl Fn(&str) -> Value<Duration> {
    move |value| {
        rules::parse_duration(value)
            .filter(|time| (min..=max).contains(time))
            .ok_or("a number with ms, s, m or h: body_timeout 1ms to 300s, retention 10m to 8760h")
    }
}
