//! The wire format of load reports. What is learned from servers that report how long work takes on
//! their machines is left out where they do not.

use crate::LoadReport;
use crate::ServerSpeed;
use serde::Deserialize;
use serde::Serialize;

/// The encoding of a [`LoadReport`].
#[derive(Serialize, Deserialize)]
pub(crate) struct WireLoad {
    utilisation: u16,
    penalty: u16,
    level: u16,
    limit: u16,
    /// The slowdown in percent and the speed, if the server reports the former.
    speed: Option<(u16, ServerSpeed)>,
    draining: bool,
}

impl From<LoadReport> for WireLoad {
    fn from(load: LoadReport) -> Self {
        let percent = load.slowdown_percent;
        Self {
            utilisation: load.utilisation,
            penalty: load.penalty,
            level: load.level,
            limit: load.limit,
            speed: (percent > 0).then_some((percent, load.speed)),
            draining: load.draining,
        }
    }
}

impl From<WireLoad> for LoadReport {
    fn from(wire: WireLoad) -> Self {
        let (slowdown_percent, speed) = wire.speed.unwrap_or_default();
        Self {
            utilisation: wire.utilisation,
            penalty: wire.penalty,
            level: wire.level,
            limit: wire.limit,
            slowdown_percent,
            speed,
            draining: wire.draining,
        }
    }
}

#[cfg(test)]
mod tests;
