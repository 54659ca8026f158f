//! The state computed from the topic.

use crate::view::View;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use proto::SyncProgress;
use rules::Rules;
use std::sync::Arc;
use stdx::data;

/// The effect of applying a record or a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// No change.
    Unchanged,
    /// The input was skipped: it could not be decoded, exceeds a limit or would undo newer state.
    Invalid,
    /// A new rules file is in force.
    Rules,
    /// This service has a new view. Others may have one as well.
    View(Arc<str>),
    /// Rules, views or both were adopted from a peer.
    Restored,
    /// The offset or version is not newer than what was already applied.
    Stale,
    /// Records between [`State::next_offset`] and this offset are missing. Nothing was applied.
    Gap,
}

data! {
    /// The state after all records before `next_offset`.
    #[derive(Default)]
    pub struct State {
        /// The offset of the next record to apply.
        pub next_offset: u64,
        /// The version of the rules in force; 0 if there are none.
        pub rules_version: u64,
        /// The id of the publication that put these rules in force; see [`crate::Record::Publish`].
        pub publication: u128,
        /// The operator who published them.
        pub operator: Arc<str>,
        /// The text of the rules file in force.
        pub file: Arc<str>,
        /// The parsed form of `file`. Not serialised, but parsed again from `file`.
        #[serde(skip)]
        pub rules: Arc<Rules>,
        /// The current view of each service.
        pub views: IndexMap<Arc<str>, View>,
        /// Departed incarnations, oldest first, and the offset at which they departed. They never
        /// join again.
        pub departed: IndexMap<Incarnation, u64>,
        /// The offset of the newest departure whose records were deleted from the topic.
        pub last_forgotten: Option<u64>,
    }
}

impl State {
    /// How far this state has caught up.
    pub fn progress(&self) -> SyncProgress {
        SyncProgress {
            rules_version: self.rules_version,
            next_offset: self.next_offset,
        }
    }

    /// All instances in the current views of all services.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.views.values().flat_map(|view| &view.members)
    }

    /// Whether this incarnation is a member of a current view.
    pub fn is_listed(&self, incarnation: Incarnation) -> bool {
        self.instances()
            .any(|instance| instance.incarnation == incarnation)
    }

    /// The current view of a service.
    pub fn view(&self, service: &str) -> Option<&View> {
        self.views.get(service)
    }
}
