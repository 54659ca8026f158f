//! Many engines in one process, on a virtual clock, between small fakes of what surrounds them:
//! the network, the store, backend servers and callers. One queue of events, one seed.
//!
//! It sees engines only as a shell does: [`engine::Engine::handle`], timers and public getters.
//! A [`Judge`] watches what must always hold.

mod caller;
mod fault;
mod judge;
mod layout;
mod log;
mod net;
mod node;
mod plan;
mod process;
mod server;
mod trace;
mod world;

pub use caller::Action;
pub use caller::End;
pub use fault::Fault;
pub use judge::Judge;
pub use layout::Layout;
pub use layout::Operation;
pub use layout::Place;
pub use log::Log;
pub use net::Net;
pub use node::Node;
pub use plan::check_seed;
pub use plan::Plan;
pub use server::Server;
pub use trace::replay;
pub use trace::replay_all;
pub use trace::TraceError;
pub use world::World;
