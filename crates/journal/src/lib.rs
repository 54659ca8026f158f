//! What nodes keep on the store: the topic's records, and the fold by which every reader comes to the
//! same state, whether it saw all records or begins with the newest of each key.
//!
//! This package does no I/O. It knows nothing about how records reach it, about calls or leases.

mod fold;
mod record;
mod restore;
mod state;
mod view;

pub use fold::MAX_DEPARTED;
pub use fold::MAX_NAME_LEN;
pub use fold::MAX_RECORD_LEN;
pub use record::Record;
pub use record::TopicEntry;
pub use restore::sorted_before;
pub use restore::ParseRules;
pub use state::Change;
pub use state::State;
pub use view::Departure;
pub use view::View;
pub use view::ViewChange;
