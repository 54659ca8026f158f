//! Decisions about load: how much work a backend server takes, what waits, what is shed, whom a
//! call goes to, and who may retry.
//!
//! This package does no I/O and reads no clock. It knows nothing about frames, keys or views.

mod account;
mod choose;
mod server;

pub use account::Account;
pub use choose::Place;
pub use choose::Selector;
pub use choose::Standing;
pub use server::Offer;
pub use server::Server;
pub use server::Ticket;
