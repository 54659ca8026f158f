//! Pool of idle connections to one server.

use crate::Connection;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How long before the server's idle timeout a connection is no longer used. A request sent while
/// the server is closing the connection is lost, and the client cannot tell whether it ran.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Idle time after which a connection is dropped if the server announced no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle connections to one server. The most recently used one is taken first, so that surplus
/// connections left by a burst reach their idle timeout and are dropped.
#[derive(Debug, Default)]
pub struct Pool {
    idle: VecDeque<Connection>,
}

impl Pool {
    /// Takes a reusable connection, if there is one.
    pub fn take(&mut self) -> Option<Connection> {
        self.drop_stale();
        while let Some(connection) = self.idle.pop_back() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put(&mut self, connection: Connection) {
        self.idle.push_back(connection);
    }

    /// Drops all connections; used when another server has taken over the address.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    fn drop_stale(&mut self) {
        let now = Instant::now();
        let is_stale = |connection: &Connection| {
            let timeout = connection
                .idle_timeout
                .unwrap_or(DEFAULT_IDLE_TIMEOUT + IDLE_MARGIN);
            now.duration_since(connection.idle_since) + IDLE_MARGIN >= timeout
        };
        while self.idle.front().is_some_and(is_stale) {
            self.idle.pop_front();
        }
        if self.idle.back().is_some_and(is_stale) {
            self.idle.clear();
        }
    }
}
