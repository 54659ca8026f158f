//! Restoring the state from the newest records of the topic, or from the state of a peer.

use crate::fold::MAX_INSTANCES;
use crate::fold::MAX_SERVICES;
use crate::Change;
use crate::State;
use crate::View;
use bytes::Bytes;
use rules::Rules;
use std::sync::Arc;

/// Parses a rules file; returns `None` if it is invalid.
pub type ParseRules = fn(&str) -> Option<Rules>;

/// Maximum number of departures in the state of a peer. It is larger than
/// [`crate::fold::MAX_DEPARTED`] because departures accumulate while the store is unavailable and
/// none can be forgotten.
const MAX_PEER_DEPARTED: usize = 8 * crate::fold::MAX_DEPARTED;

/// Sorts the newest values of all keys by offset, and drops those at or after `end`. They were
/// appended while the values were read page by page, and are read again in order from `end` on.
///
/// # Examples
///
/// ```
/// let values = vec![(7, "b".into()), (9, "c".into()), (2, "a".into())];
/// let ordered = bilberry_journal::sorted_before(values, 9);
/// assert_eq!(ordered, [(2, "a".into()), (7, "b".into())]);
/// ```
pub fn sorted_before(mut values: Vec<(u64, Bytes)>, end: u64) -> Vec<(u64, Bytes)> {
    values.retain(|(offset, _)| *offset < end);
    values.sort_by_key(|(offset, _)| *offset);
    values
}

impl State {
    /// The state computed from the newest value of each key, sorted by [`sorted_before`]. Reading
    /// continues at `end`.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_journal::{Record, State};
    ///
    /// let left = Record::Leave(proto::Incarnation(7));
    /// let values = [(5, proto::encode(&left).into())];
    /// let state = State::from_newest(&values, 9);
    /// assert_eq!((state.next_offset, state.departed.len()), (9, 1));
    /// ```
    pub fn from_newest(values: &[(u64, Bytes)], end: u64) -> Self {
        let mut state = Self::default();
        for (offset, value) in values {
            state.skip_to(*offset);
            state.apply(*offset, value);
        }
        state.skip_to(end);
        state
    }

    /// Whether this state, built from the newest records, contains all departures since `offset`.
    /// If it does not, a reader that has read up to `offset` must not continue with it, because it
    /// would miss a view.
    pub fn is_complete_since(&self, offset: u64) -> bool {
        self.last_forgotten.is_none_or(|departed| departed < offset)
    }

    /// Adopts the parts of another reader's state that are newer, unless any part is older than
    /// here.
    ///
    /// Without this check a stale copy could put older rules in force, or an older view could
    /// determine which instance is home to a key.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_journal::Change;
    /// use bilberry_journal::State;
    ///
    /// let mut newer = State::default();
    /// newer.apply(0, b"a broken record");
    ///
    /// let mut state = State::default();
    /// assert_eq!(state.adopt(newer.clone()), Change::Restored);
    /// assert_eq!(state.adopt(newer), Change::Stale);
    /// ```
    pub fn adopt(&mut self, other: State) -> Change {
        self.adopt_with_parser(other, |file| Rules::parse(file).ok())
    }

    /// Like [`State::adopt`], for rules files in another format.
    pub fn adopt_with_parser(&mut self, other: State, parse: ParseRules) -> Change {
        let (rules_newer, views_newer) = (
            other.rules_version > self.rules_version,
            other.next_offset > self.next_offset,
        );
        if !rules_newer && !views_newer {
            return Change::Stale;
        }
        if !other.is_within_limits() || (views_newer && other.regresses_from(self)) {
            return Change::Invalid;
        }
        if rules_newer {
            let Some(rules) = parse(&other.file) else {
                return Change::Invalid;
            };
            self.rules_version = other.rules_version;
            self.publication = other.publication;
            self.operator = other.operator;
            self.file = other.file;
            self.rules = Arc::new(rules);
        }
        if views_newer {
            self.next_offset = other.next_offset;
            self.views = other.views;
            self.departed = other.departed;
            self.last_forgotten = other.last_forgotten;
        }
        Change::Restored
    }

    /// Puts a rules file in force whose version was assigned outside the topic, if that version is
    /// newer.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_journal::{Change, State};
    ///
    /// let mut state = State::default();
    /// let parse = |_: &str| Some(rules::Rules::default());
    /// assert_eq!(state.apply_external_rules(7, "a file", parse), Change::Rules);
    /// assert_eq!(state.apply_external_rules(6, "an older file", parse), Change::Stale);
    /// assert_eq!((state.rules_version, state.next_offset), (7, 0));
    /// ```
    pub fn apply_external_rules(&mut self, version: u64, file: &str, parse: ParseRules) -> Change {
        if version <= self.rules_version {
            return Change::Stale;
        }
        let Some(rules) = parse(file) else {
            return Change::Invalid;
        };
        self.rules_version = version;
        self.file = file.into();
        self.rules = Arc::new(rules);
        Change::Rules
    }

    /// Whether the state is within the limits that the fold enforces, as every valid state is.
    fn is_within_limits(&self) -> bool {
        self.instances().count() <= MAX_INSTANCES
            && self.views.len() <= MAX_SERVICES
            && self.departed.len() <= MAX_PEER_DEPARTED
            && self
                .views
                .values()
                .all(|view| view.number < self.next_offset)
    }

    /// Whether the rules or a view are older than those of `earlier`. Versions and views of one
    /// topic are totally ordered, so a state that is ahead in one cannot be behind in the other.
    fn regresses_from(&self, earlier: &State) -> bool {
        let rules_older = self.rules_version < earlier.rules_version
            || (self.rules_version == earlier.rules_version && self.file != earlier.file);
        // A reader that started late does not know views created by forgotten departures.
        let is_known = |view: &View| {
            self.last_forgotten
                .is_none_or(|departed| departed < view.number)
        };
        let mut views = earlier.views.iter().filter(|(_, view)| is_known(view));
        let views_older = views.any(|(service, view)| {
            self.view(service)
                .is_none_or(|newer| newer.number < view.number)
        });
        rules_older || views_older
    }
}
