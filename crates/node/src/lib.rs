//! I/O layer around the sans-I/O `engine`: sockets, the clock, settings, logs and metrics.
//!
//! It makes no decisions: every event becomes an `engine::Input`, and every `engine::Output` is
//! executed as given. Everything runs on one thread, in one `actix-rt` system; only log lines are
//! written by a second thread.

mod backend;
mod body;
mod caller;
mod clock;
mod connections;
mod descriptors;
mod dialect;
mod events;
mod fetch;
mod framing;
mod link;
mod log_queue;
mod metrics;
mod peers;
mod pipeline;
mod platform_mode;
mod settings;
mod shell;
mod status;
mod store_reader;
mod udp;

pub use log_queue::LogQueue;
pub use platform_mode::PlatformAddrs;
pub use settings::Settings;
pub use settings::SettingsError;
pub use shell::start;
pub use shell::Node;
pub use shell::StartError;
