//! Tracks which instances are alive, as soft state, with SWIM-style failure detection.
//!
//! Each node probes one peer per period, directly and then through others, piggybacks state changes
//! on the messages that it sends anyway, and compares digests so that lost updates are recovered
//! (Das, Gupta and Motivala, "SWIM", DSN 2002). See docs/MEMBERSHIP.md for the reasons.
//!
//! This crate does no I/O and reads no clock. It knows nothing about calls, keys or the log. The
//! members of all current views in the log are passed to it as a roster, and a peer on it is called
//! listed.

mod apply_updates;
mod config;
mod digest;
mod domain;
mod evict;
mod loads;
mod members;
mod peer;
mod pick;
mod probe;
mod roster;
mod suspects;
mod update_queue;

pub use config::Config;
pub use domain::StoreRole;
pub use members::Effect;
pub use members::Membership;
pub use peer::Peer;
