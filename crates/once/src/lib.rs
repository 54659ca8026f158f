//! At-most-once execution of keyed calls: which node is home to a key, whether that node may start
//! runs, and the records it keeps of them.
//!
//! This crate does no I/O and reads no clock. It knows nothing about load, HTTP or how a run is
//! executed. See docs/AT_MOST_ONCE.md for the design.

mod config;
mod effect;
mod fence;
mod home;
mod lease;
mod lease_rounds;
mod moved_run;
mod quorum;
mod records;
mod runs;
mod slot;
mod slot_home;
mod transfers;

pub use config::Config;
pub use effect::BeginResult;
pub use effect::Effect;
pub use effect::InvariantViolation;
pub use effect::RunOutcome;
pub use home::Home;
pub use quorum::is_quorum;
pub use slot_home::slot_home;
