//! The decision logic of a node as a state machine without I/O. Requests pass through a filter
//! chain; controllers hold the state.
//!
//! The *ingress node* of a request is the node that received it from a caller or from its own
//! backend server, which makes child calls. The *entry node* of an action is the ingress node of
//! its root call. So each child call has an ingress node of its own, and all calls of an action
//! have the same entry node. The *admission sample* of an action is its random value after scaling
//! to the band of its priority; [`policy::WorkItem::random_value`] holds it too.
//!
//! [`Engine::handle`] takes the current time and one [`Input`] and returns the resulting
//! [`Output`]s. The engine performs no I/O and uses no clock, no global state and no unseeded
//! random numbers, so production, tests and benchmarks run the same code, each with its own clock
//! and network.

mod admission;
mod answer_cache;
mod append_queue;
mod calls;
mod catch_up;
mod config;
mod counter;
mod diagnostic;
mod engine;
mod fetch;
mod freshness;
mod gauges;
mod hand_over;
mod hedge;
mod held_calls;
mod identity;
mod ingress;
mod io;
mod job;
mod key_refusals;
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
mod retries;
mod routing;
mod serve;
mod server_report;
mod slack;
mod timers;

pub use config::Config;
pub use config::KeylessCalls;
pub use config::TreeRetries;
pub use counter::Counter;
pub use counter::LinkEvent;
pub use counter::QuotaEvent;
pub use counter::RunOrigin;
pub use diagnostic::Diagnostic;
pub use diagnostic::OutcomeSummary;
pub use diagnostic::PeerCounts;
pub use diagnostic::QuotaRefusal;
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
pub use membership::StoreRole;
pub use policy::Switches;
pub use server_report::ReportError;
pub use server_report::ServerReport;
