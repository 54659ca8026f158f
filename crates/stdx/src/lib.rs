//! Small additions to the standard library: a point in time for code that does not read a clock,
//! macros for common sets of derives, and a bounded map that evicts its oldest entries.
//!
//! This package knows nothing about calls, nodes or I/O.

mod bounded_map;
mod derives;
mod time;

pub use bounded_map::BoundedMap;
pub use time::Time;
