//! A node's decisions, whole: requests pass a filter chain, controllers keep the state.
//!
//! [`Engine::handle`] takes the time and one typed [`Input`] and gives typed [`Output`]s. It does no
//! I/O and reads no clock, global or unseeded random number, so production, tests and benches run
//! the same code, each with a clock and a network of its own.

mod admission;
mod answer_cache;
mod append_queue;
mod calls;
mod config;
mod counter;
mod diagnostic;
mod engine;
mod fetch;
mod freshness;
mod gauges;
mod hedge;
mod identity;
mod ingress;
mod io;
mod job;
mod keyed_calls;
mod log;
mod members;
mod operation_key;
mod outgoing;
mod own_server;
mod peer_diagnostics;
mod quarantine;
mod quota;
mod reattach;
mod refusal;
mod request;
mod resends;
mod routing;
mod serve;
mod timers;

pub use config::Config;
pub use config::KeylessCalls;
pub use config::TreeRetries;
pub use counter::Counter;
pub use counter::LinkEvent;
pub use diagnostic::Diagnostic;
pub use diagnostic::OutcomeSummary;
pub use diagnostic::PeerCounts;
pub use diagnostic::ServerState;
pub use engine::Engine;
pub use engine::TableSizes;
pub use gauges::Gauge;
pub use io::Announcement;
pub use io::Heartbeat;
pub use io::Input;
pub use io::Output;
pub use io::RequestToken;
pub use io::RunEnd;
pub use policy::Switches;
