//! Taking over a whole state: from a snapshot in the stream, or from a peer.

use crate::fold::MAX_DEPARTED;
use crate::fold::MAX_INSTANCES;
use crate::fold::MAX_SERVICES;
use crate::fold::MAX_VERDICTS;
use crate::state::Scan;
use crate::Change;
use crate::Record;
use crate::State;
use rules::Rules;
use std::sync::Arc;

/// Reads a rules file; `None` if it has faults.
pub type ParseRules = fn(&str) -> Option<Rules>;

impl State {
    /// Takes the log's word that it has no records before `first` any more. If this state lacks
    /// some of them, it goes on from the first snapshot that stands in for them.
    ///
    /// A snapshot is written some records after the state that it holds, so the records between
    /// are needed as well; one whose own base has expired is of no use.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut state = bilberry_journal::State::default();
    /// state.expired_before(7);
    /// assert!(state.is_scanning());
    /// assert_eq!(state.read_from(), 7);
    /// ```
    pub fn expired_before(&mut self, first: u64) {
        if first <= self.next {
            return;
        }
        match &mut self.scan {
            // What the search has passed may expire behind its back.
            Some(scan) => {
                scan.start = scan.start.max(first);
                scan.next = scan.next.max(first);
            }
            None => {
                self.scan = Some(Scan {
                    start: first,
                    next: first,
                });
            }
        }
    }

    /// Looks at a record in search of a snapshot.
    pub(crate) fn scan_record(&mut self, offset: u64, record: Option<Record>) -> Change {
        let Some(scan) = &mut self.scan else {
            return Change::Nothing;
        };
        scan.next = offset + 1;
        let start = scan.start;
        match record {
            Some(Record::Snapshot(snapshot))
                if start <= snapshot.next && snapshot.next <= offset =>
            {
                self.adopt(*snapshot)
            }
            Some(_) => Change::Nothing,
            None => Change::Broken,
        }
    }

    /// Takes over another reader's state, if it is newer and takes nothing back.
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
    /// assert_eq!(state.adopt(newer), Change::Old);
    /// ```
    pub fn adopt(&mut self, other: State) -> Change {
        self.adopt_with(other, |file| Rules::parse(file).ok())
    }

    /// The same where rules files are in another format.
    pub fn adopt_with(&mut self, other: State, parse: ParseRules) -> Change {
        if other.next <= self.next {
            return Change::Old;
        }
        if !other.is_bounded() || other.takes_back(self) {
            return Change::Broken;
        }
        let rules = match parse(&other.file) {
            Some(rules) => rules,
            None if other.version == 0 => Rules::default(),
            None => return Change::Broken,
        };
        *self = other;
        self.rules = Arc::new(rules);
        self.scan = None;
        Change::Restored
    }

    /// Takes a rules file that was given its version elsewhere, if that is newer. The version then
    /// counts as the offset too, so that peers can tell who is ahead.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_journal::{Change, State};
    ///
    /// let mut state = State::default();
    /// let parse = |_: &str| Some(rules::Rules::default());
    /// assert_eq!(state.take_version(7, "a file", parse), Change::Rules);
    /// assert_eq!(state.take_version(6, "an older file", parse), Change::Old);
    /// assert_eq!((state.version, state.next), (7, 7));
    /// ```
    pub fn take_version(&mut self, version: u64, file: &str, parse: ParseRules) -> Change {
        if version <= self.version {
            return Change::Old;
        }
        let Some(rules) = parse(file) else {
            return Change::Broken;
        };
        self.version = version;
        self.next = version;
        self.file = file.into();
        self.rules = Arc::new(rules);
        Change::Rules
    }

    /// A state without a past, for a stream whose records have all expired without a snapshot.
    ///
    /// # Examples
    ///
    /// ```
    /// let state = bilberry_journal::State::without_past(40, 7, "a rules file");
    /// assert_eq!((state.next, state.version), (40, 7));
    /// ```
    pub fn without_past(next: u64, version: u64, file: &str) -> Self {
        Self {
            next,
            version,
            file: file.into(),
            ..Self::default()
        }
    }

    /// Whether the state keeps the fold's own bounds, as every honest one does.
    fn is_bounded(&self) -> bool {
        self.instances().count() <= MAX_INSTANCES
            && self.views.len() <= MAX_SERVICES
            && self.verdicts.len() <= MAX_VERDICTS
            && self.departed.len() <= MAX_DEPARTED
            && self.views.values().all(|view| view.number < self.next)
    }

    /// Whether a version or a view would go back from what `earlier` has.
    fn takes_back(&self, earlier: &State) -> bool {
        let rules_back = self.version < earlier.version
            || (self.version == earlier.version && self.file != earlier.file);
        let views_back = earlier.views.iter().any(|(service, view)| {
            self.view(service)
                .is_none_or(|newer| newer.number < view.number)
        });
        rules_back || views_back
    }
}
