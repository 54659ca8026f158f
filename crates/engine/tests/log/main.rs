//! The log controller of one node.

mod appends;
mod driver;
mod outage;
mod propagation;
mod shared_reads;
mod topic_snapshot;
