//! The log controller, on single nodes and in simulated fleets.

mod appends;
mod driver;
mod outage;
mod propagation;
mod shared_reads;
mod topic_snapshot;
