//! Shares of the process's file descriptors. Callers' connections must not use up those that the
//! node needs for its peers, its backend server, the store and the probes.

use nix::sys::resource::getrlimit;
use nix::sys::resource::Resource;

/// Descriptors for files, listeners, the runtime and probes.
const RESERVED: usize = 64;

/// Most connections of callers by default, however many descriptors there are.
const DEFAULT_MAX_CONNECTIONS: usize = 4096;

/// Connections to the listeners for operators, probes and the server's heartbeats.
pub(crate) const MAX_OPERATOR_CONNECTIONS: usize = 32;

/// How many descriptors each purpose may use. Links, the store and health checks have the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DescriptorShares {
    /// Connections of callers.
    pub(crate) callers: usize,
    /// Connections to the own backend server that serve runs.
    pub(crate) backend: usize,
}

impl DescriptorShares {
    /// Shares of `limit` descriptors: a half for callers, a quarter for the backend server.
    pub(crate) fn new(limit: usize) -> Self {
        let sockets = limit.saturating_sub(RESERVED);
        Self {
            callers: (sockets / 2).clamp(1, DEFAULT_MAX_CONNECTIONS),
            backend: (sockets / 4).max(1),
        }
    }
}

/// The number of descriptors that the system lets this process open.
pub(crate) fn system_limit() -> usize {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX),
        Err(e) => {
            log::warn!("event=no_descriptor_limit error=\"{e}\"");
            usize::MAX
        }
    }
}
