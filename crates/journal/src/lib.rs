//! The replicated state shared by all nodes: the rules in force and the views of each service. It
//! is computed by a fold over the records of one topic of the store, which other packages call the
//! log. Every reader computes the same state, whether it reads all records or starts from the
//! newest record of each key.
//!
//! This package does no I/O. It knows nothing about how records are transported, or about calls and
//! leases.

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
