//! At-most-once execution of keyed calls: which node is home to a key, whether that node may start
//! runs, and the records it keeps of them.
//!
//! The keys of a service are divided into slots. In each view, i.e. list of the service's members,
//! every slot has one member as its home. A home starts runs only under a lease that a quorum of
//! the view's members grants it. When a view changes the home of a slot, the old home transfers the
//! slot's records to the new one. If the old home is gone, the new one waits until all earlier
//! views are fenced, so that no other node can still start runs for the slot.
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
mod refused_keys;
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
