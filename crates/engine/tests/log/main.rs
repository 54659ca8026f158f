//! The log controller of one node.

mod appends;
mod driver;
mod outage;
mod snapshots;
mod spread;
