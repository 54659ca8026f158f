//! At most once: who is home to a key, whether the home may start work, and what it remembers.
//!
//! This package does no I/O and reads no clock. It knows nothing about load, HTTP or how a run is
//! done.

mod home;
mod owner;

pub use home::Begin;
pub use home::Config;
pub use home::Effect;
pub use home::End;
pub use home::Home;
pub use owner::owner;
