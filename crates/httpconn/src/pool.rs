//! Idle connections to one server.

use crate::Connection;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How long before the other end closes an idle connection it is not used any more. A request sent
/// while the close is on its way is lost, and nobody can tell whether it ran.
const MARGIN: Duration = Duration::from_millis(1500);

/// How long a connection may be idle if the other end said nothing of it.
const DEFAULT_IDLE: Duration = Duration::from_secs(5);

/// Idle connections to one server, the last used first: so those that a burst left over fall idle
/// and go.
#[derive(Debug, Default)]
pub struct Pool {
    idle: VecDeque<Connection>,
}

impl Pool {
    /// Takes a connection that can be used.
    pub fn take(&mut self) -> Option<Connection> {
        self.drop_stale();
        while let Some(connection) = self.idle.pop_back() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection after a whole response.
    pub fn put(&mut self, connection: Connection) {
        self.idle.push_back(connection);
    }

    /// Drops all, because another server is at the address.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    fn drop_stale(&mut self) {
        let now = Instant::now();
        let is_stale = |connection: &Connection| {
            let timeout = connection.idle_timeout.unwrap_or(DEFAULT_IDLE + MARGIN);
            now.duration_since(connection.idle_since) + MARGIN >= timeout
        };
        while self.idle.front().is_some_and(is_stale) {
            self.idle.pop_front();
        }
        if self.idle.back().is_some_and(is_stale) {
            self.idle.clear();
        }
    }
}
