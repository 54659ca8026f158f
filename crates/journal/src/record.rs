//! What the stream holds.

use crate::State;
use proto::Incarnation;
use proto::Instance;
use std::sync::Arc;
use stdx::data;

data! {
    /// One record of the stream.
    pub enum Record {
        /// An operator publishes a rules file.
        Publish {
            /// The version that the operator saw; the file is accepted only on top of it.
            expected: u64,
            /// Chosen by the operator's tool, so that a lost answer can be settled by reading.
            publication: u128,
            /// Who publishes.
            operator: Arc<str>,
            /// The whole file.
            file: Arc<str>,
        },
        /// A node announces itself.
        Join(Instance),
        /// A node leaves as planned; it has stopped starting work that it is home to.
        Leave(Incarnation),
        /// A node is taken for dead by another.
        Evict {
            /// Whom.
            incarnation: Incarnation,
            /// By whom.
            by: Incarnation,
        },
        /// The state before `state.next`, written again before older records expire.
        Snapshot(Box<State>),
    }
}
