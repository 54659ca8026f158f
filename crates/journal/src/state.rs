//! What the stream says, and the questions that it answers.

use crate::view::Departure;
use crate::view::View;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use rules::Rules;
use std::sync::Arc;
use stdx::data;
use stdx::plain;

data! {
    /// What became of a publication.
    pub struct Verdict {
        /// Who published.
        pub operator: Arc<str>,
        /// The offset of its record.
        pub offset: u64,
        /// The version it became, or why it was rejected.
        pub result: Result<u64, Rejection>,
    }
}

plain! {
    /// Why a publication was rejected.
    pub enum Rejection {
        /// Another publication came first; this version was in force by then.
        Overtaken(u64),
        /// The file has faults.
        BadFile,
    }
}

plain! {
    /// The newest snapshot in the stream.
    pub struct SnapshotMark {
        /// Where it stands.
        pub offset: u64,
        /// The first record that it does not cover; a reader needs the records from there on.
        pub base: u64,
    }
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Nothing,
    /// The record could not be read, or breaks a bound, and was passed over.
    Broken,
    /// A rules file is in force.
    Rules,
    /// A publication was rejected.
    Rejected,
    /// This service has a new view; perhaps others too.
    View(Arc<str>),
    /// The whole state was taken from a snapshot. Read on from [`State::read_from`].
    Restored,
    /// The offset was applied before.
    Old,
    /// Records between [`State::read_from`] and this offset are missing; nothing was applied.
    Gap,
}

plain! {
    /// The search for a snapshot, after records that the state lacks have expired.
    pub(crate) struct Scan {
        /// The oldest record that the log still has.
        pub(crate) start: u64,
        /// The next record to look at.
        pub(crate) next: u64,
    }
}

data! {
    /// What the stream says up to `next`.
    #[derive(Default)]
    pub struct State {
        /// The offset of the next record to fold.
        pub next: u64,
        /// The version of the rules in force; 0 if there are none.
        pub version: u64,
        /// The rules file in force.
        pub file: Arc<str>,
        /// Its parsed form; rebuilt from `file`.
        #[serde(skip)]
        pub rules: Arc<Rules>,
        /// Verdicts by publication, oldest first.
        pub verdicts: IndexMap<u128, Verdict>,
        /// The current view of each service.
        pub views: IndexMap<Arc<str>, View>,
        /// Incarnations that went, oldest first. They never come back.
        pub departed: IndexMap<Incarnation, Departure>,
        /// The newest snapshot.
        pub snapshot: Option<SnapshotMark>,
        #[serde(skip)]
        pub(crate) scan: Option<Scan>,
    }
}

impl State {
    /// The offset that the log has to be read from.
    pub fn read_from(&self) -> u64 {
        self.scan.map_or(self.next, |scan| scan.next)
    }

    /// Whether records that this state lacks have expired, and no snapshot was found yet that
    /// stands in for them.
    pub fn is_scanning(&self) -> bool {
        self.scan.is_some()
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

    /// Who published the rules of a version, if that is still known.
    pub fn winner(&self, version: u64) -> Option<&Verdict> {
        self.verdicts
            .values()
            .find(|verdict| verdict.result == Ok(version))
    }
}
