//! Deterministic simulation of a whole system: many engines in one process, driven by a virtual
//! clock, one event queue and one random seed. The network, the store, the backend servers and the
//! callers are simulated.
//!
//! Engines are driven only through the interface that the node process uses:
//! [`engine::Engine::handle`], timers and public getters. An [`InvariantChecker`] checks the
//! system's guarantees at each step.
//!
//! The terms *action*, *run* and *class* are defined in the package `policy`, and the *home* of a
//! key in the package `once`.

mod caller;
mod checker;
mod cluster;
mod fault;
mod log;
mod network;
mod node;
mod plan;
mod process;
mod server;
mod server_reports;
mod trace;
mod world;

pub use caller::Action;
pub use caller::ActionOutcome;
pub use checker::InvariantChecker;
pub use cluster::ClusterConfig;
pub use cluster::Operation;
pub use cluster::Placement;
pub use fault::Fault;
pub use log::Log;
pub use network::Network;
pub use node::Node;
pub use plan::check_seed;
pub use plan::check_seed_with_restarts_in_outages;
pub use plan::check_seed_with_server_reports;
pub use plan::Plan;
pub use server::FakeBackendServer;
pub use trace::replay;
pub use trace::replay_with_world;
pub use trace::TraceError;
pub use world::World;
