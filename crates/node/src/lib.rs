//! The shell around the engine: sockets, the clock, settings, logs and metrics.
//!
//! It takes no decisions: whatever happens becomes an `engine::Input`, and whatever the engine asks
//! for is done. One thread, one `actix-rt` system.

mod backend;
mod body;
mod caller;
mod clock;
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
