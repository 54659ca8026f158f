//! Load experiments on the overload policy, on the real engines with a virtual clock and the
//! simulated network, store and backend servers of the trial package. Each experiment compares the
//! policy with baselines and with variants that have one mechanism switched off.

pub mod graph;
pub mod load;
pub mod measure;
pub mod report;
pub mod scenario;
pub mod trigger;
pub mod variant;
