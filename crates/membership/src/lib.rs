//! Which instances are there, as far as this one can tell: soft state, by SWIM-style probes.
//!
//! This package does no I/O and reads no clock. It knows nothing about calls, keys or the log; the
//! log's views reach it as a roster.

mod members;

pub use members::Config;
pub use members::Effect;
pub use members::Membership;
pub use members::Peer;
