//! Taking over what others know: the topic's newest records, and a peer's state.

use crate::fold::MAX_INSTANCES;
use crate::fold::MAX_SERVICES;
use crate::Change;
use crate::State;
use crate::View;
use bytes::Bytes;
use rules::Rules;
use std::sync::Arc;

/// Reads a rules file; `None` if it has faults.
pub type ParseRules = fn(&str) -> Option<Rules>;

/// How many departures a peer's state may hold: those that are not forgotten yet may pile up while
/// the store is away.
const MAX_PEER_DEPARTED: usize = 8 * crate::fold::MAX_DEPARTED;

/// The newest values of all keys in the order of their offsets, without what came after `end`, while
/// pages were read: that is read again from `end` on, in its order.
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
    /// The state by the newest value of each key, [`sorted_before`]. `end` is where to read on.
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

    /// Whether going on from `next` with this state's newest records leaves no view out.
    pub fn is_complete_since(&self, next: u64) -> bool {
        self.last_forgotten.is_none_or(|departed| departed < next)
    }

    /// Takes over another reader's state as far as it is newer, if it takes nothing back.
    ///
    /// Without the check a stale copy would put an older version in force, or let an older view
    /// decide who is home to a key.
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

    /// The same where rules files are in another format.
    pub fn adopt_with_parser(&mut self, other: State, parse: ParseRules) -> Change {
        let (rules_newer, views_newer) = (
            other.version > self.version,
            other.next_offset > self.next_offset,
        );
        if !rules_newer && !views_newer {
            return Change::Stale;
        }
        if !other.is_bounded() || (views_newer && other.takes_back(self)) {
            return Change::Invalid;
        }
        if rules_newer {
            let Some(rules) = parse(&other.file) else {
                return Change::Invalid;
            };
            self.version = other.version;
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

    /// Takes a rules file that was given its version elsewhere, if that is newer.
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
    /// assert_eq!((state.version, state.next_offset), (7, 0));
    /// ```
    pub fn apply_external_rules(&mut self, version: u64, file: &str, parse: ParseRules) -> Change {
        if version <= self.version {
            return Change::Stale;
        }
        let Some(rules) = parse(file) else {
            return Change::Invalid;
        };
        self.version = version;
        self.file = file.into();
        self.rules = Arc::new(rules);
        Change::Rules
    }

    /// Whether the state keeps the fold's own bounds, as every honest one does.
    fn is_bounded(&self) -> bool {
        self.instances().count() <= MAX_INSTANCES
            && self.views.len() <= MAX_SERVICES
            && self.departed.len() <= MAX_PEER_DEPARTED
            && self
                .views
                .values()
                .all(|view| view.number < self.next_offset)
    }

    /// Whether a version or a view would go back from what `earlier` has. Versions and views of one
    /// topic come in one order, so who is ahead in the one is not behind in the other.
    fn takes_back(&self, earlier: &State) -> bool {
        let rules_back = self.version < earlier.version
            || (self.version == earlier.version && self.file != earlier.file);
        // A reader that began late does not know views that were made by forgotten departures.
        let known = |view: &View| {
            self.last_forgotten
                .is_none_or(|departed| departed < view.number)
        };
        let mut views = earlier.views.iter().filter(|(_, view)| known(view));
        let views_back = views.any(|(service, view)| {
            self.view(service)
                .is_none_or(|newer| newer.number < view.number)
        });
        rules_back || views_back
    }
}
