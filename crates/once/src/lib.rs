//! At most once: who is home to a key, whether the home may start work, and what it remembers.
//!
//! This package does no I/O and reads no clock. It knows nothing about load, HTTP or how a run is
//! done. docs/AT_MOST_ONCE.md has the design.

mod config;
mod effect;
mod fence;
mod home;
mod lease;
mod moved;
mod owner;
mod records;
mod runs;
mod slot;
mod transfers;
mod view;
mod votes;

pub use config::Config;
pub use effect::BeginResult;
pub use effect::Effect;
pub use effect::InvariantViolation;
pub use effect::RunOutcome;
pub use home::Home;
pub use owner::slot_owner;
pub use view::is_quorum;
