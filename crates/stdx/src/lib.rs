//! Small gaps in the standard library: a point in time that decision logic can be driven with, a
//! macro for the common sets of derives, and a bounded map that forgets its oldest entries.
//!
//! This package knows nothing about calls, nodes or I/O.

mod bounded;
mod derives;
mod time;

pub use bounded::BoundedMap;
pub use time::Time;
