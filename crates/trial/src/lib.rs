//! Many engines in one process, on a virtual clock, between small fakes of what surrounds them:
//! the network, the store, backend servers and callers. One queue of events, one seed.
//!
//! It sees engines only as a shell does: [`engine::Engine::handle`], timers and public getters.
//! A [`InvariantChecker`] watches what must always hold.

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
pub use plan::Plan;
pub use server::Server;
pub use trace::replay;
pub use trace::replay_all;
pub use trace::TraceError;
pub use world::World;
