//! What the topic says, and the questions that it answers.

use crate::view::View;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use proto::SyncProgress;
use rules::Rules;
use std::sync::Arc;
use stdx::data;

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Unchanged,
    /// The record could not be read, or breaks a bound, and was passed over.
    Invalid,
    /// A rules file is in force.
    Rules,
    /// This service has a new view; perhaps others too.
    View(Arc<str>),
    /// Rules, views or both were taken from a peer.
    Restored,
    /// The offset or version was applied before.
    Stale,
    /// Records between [`State::next_offset`] and this offset are missing; nothing was applied.
    Gap,
}

data! {
    /// What the topic says up to `next_offset`.
    #[derive(Default)]
    pub struct State {
        /// The offset of the next record to fold.
        pub next_offset: u64,
        /// The version of the rules in force; 0 if there are none.
        pub version: u64,
        /// The id of their publication.
        pub publication: u128,
        /// Who published them.
        pub operator: Arc<str>,
        /// The rules file in force.
        pub file: Arc<str>,
        /// Its parsed form; rebuilt from `file`.
        #[serde(skip)]
        pub rules: Arc<Rules>,
        /// The current view of each service.
        pub views: IndexMap<Arc<str>, View>,
        /// Incarnations that went, oldest first, and the offset at which they did. They never come
        /// back.
        pub departed: IndexMap<Incarnation, u64>,
        /// The newest departure of which the topic has no record any more.
        pub last_forgotten: Option<u64>,
    }
}

impl State {
    /// How much of what nodes share this state has.
    pub fn progress(&self) -> SyncProgress {
        SyncProgress {
            rules_version: self.version,
            next_offset: self.next_offset,
        }
    }

    /// Every instance of every service, as the views have them.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.views.values().flat_map(|view| &view.members)
    }

    /// Whether a view names this incarnation.
    pub fn is_listed(&self, incarnation: Incarnation) -> bool {
        self.instances()
            .any(|instance| instance.incarnation == incarnation)
    }

    /// The current view of a service.
    pub fn view(&self, service: &str) -> Option<&View> {
        self.views.get(service)
    }
}
