//! The fold: one record after another. Every reader must come to the same state, so it depends on
//! nothing but the records and their offsets.

use crate::Change;
use crate::Departure;
use crate::Record;
use crate::Rejection;
use crate::SnapshotMark;
use crate::State;
use crate::Verdict;
use proto::Incarnation;
use proto::Instance;
use rules::Rules;
use std::sync::Arc;

/// The largest record that is read, in bytes. Larger ones are passed over by every reader.
pub const MAX_RECORD: usize = 2 << 20;

/// The longest name of a service, failure domain, region or operator, in bytes.
pub const MAX_NAME: usize = 64;

/// The most instances in all views together.
pub const MAX_INSTANCES: usize = 4096;

/// The most services that ever had a view.
pub const MAX_SERVICES: usize = 256;

/// How many verdicts on publications are kept for `bilberryctl`.
pub const MAX_VERDICTS: usize = 256;

/// How many departed incarnations are remembered. A `Join` can be overtaken by the departure of
/// its sender only for as long as an append may be under way.
pub const MAX_DEPARTED: usize = 1024;

impl State {
    /// Folds the record at `offset`.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_journal::Change;
    /// use bilberry_journal::State;
    ///
    /// let mut state = State::default();
    /// assert_eq!(state.apply(0, b"\xff no record"), Change::Broken);
    /// assert_eq!(state.apply(0, b"again"), Change::Old);
    /// assert_eq!(state.apply(2, b"too early"), Change::Gap);
    /// assert_eq!(state.next, 1);
    /// ```
    pub fn apply(&mut self, offset: u64, bytes: &[u8]) -> Change {
        let expected = self.read_from();
        if offset < expected {
            return Change::Old;
        }
        if offset > expected {
            return Change::Gap;
        }
        let record = match bytes.len() {
            0..=MAX_RECORD => proto::decode::<Record>(bytes).ok(),
            _ => None,
        };
        if self.scan.is_some() {
            return self.scan_record(offset, record);
        }
        self.next = offset + 1;
        match record {
            Some(record) => self.fold(offset, record),
            None => Change::Broken,
        }
    }

    fn fold(&mut self, offset: u64, record: Record) -> Change {
        match record {
            Record::Publish {
                expected,
                publication,
                operator,
                file,
            } => self.publish(offset, expected, publication, operator, file),
            Record::Join(instance) => self.join(offset, instance),
            Record::Leave(incarnation) => self.leave(offset, incarnation),
            Record::Evict { incarnation, by } => self.evict(offset, incarnation, by),
            Record::Snapshot(snapshot) => self.mark_snapshot(offset, &snapshot),
        }
    }

    fn publish(
        &mut self,
        offset: u64,
        expected: u64,
        publication: u128,
        operator: Arc<str>,
        file: Arc<str>,
    ) -> Change {
        if operator.len() > MAX_NAME {
            return Change::Broken;
        }
        // An operator's tool that lost the answer may append again; the first record counts. A
        // record whose verdict is forgotten by now cannot be accepted: versions only rise.
        if self.verdicts.contains_key(&publication) {
            return Change::Nothing;
        }
        let parsed = Rules::parse(&file);
        let result = match &parsed {
            Ok(_) if expected == self.version => Ok(self.version + 1),
            Ok(_) => Err(Rejection::Overtaken(self.version)),
            Err(_) => Err(Rejection::BadFile),
        };
        if self.verdicts.len() == MAX_VERDICTS {
            self.verdicts.shift_remove_index(0);
        }
        self.verdicts.insert(
            publication,
            Verdict {
                operator,
                offset,
                result,
            },
        );
        match (result, parsed) {
            (Ok(version), Ok(rules)) => {
                self.version = version;
                self.file = file;
                self.rules = Arc::new(rules);
                Change::Rules
            }
            _ => Change::Rejected,
        }
    }

    fn join(&mut self, offset: u64, instance: Instance) -> Change {
        let incarnation = instance.incarnation;
        // The record came twice, or its sender went before the record arrived. Taking it all the
        // same would list a process that has ended.
        if self.is_listed(incarnation) || self.departed.contains_key(&incarnation) {
            return Change::Nothing;
        }
        let service = instance.service.clone();
        let known = self.views.contains_key(&service);
        if !is_bounded(&instance)
            || self.instances().count() >= MAX_INSTANCES
            || (!known && self.views.len() >= MAX_SERVICES)
        {
            return Change::Broken;
        }
        self.replace_at_address(offset, &instance);
        let view = self.views.entry(service.clone()).or_default();
        view.join(offset, instance);
        Change::View(service)
    }

    /// A newcomer at a member's address proves that the member's process has ended.
    fn replace_at_address(&mut self, offset: u64, newcomer: &Instance) {
        let old = self.instances().find(|old| old.addr == newcomer.addr);
        if let Some(old) = old.map(|old| old.incarnation) {
            self.depart(offset, old, Departure::Evicted);
        }
    }

    fn leave(&mut self, offset: u64, incarnation: Incarnation) -> Change {
        let change = self.depart(offset, incarnation, Departure::Left);
        // Its `Join` may still be under way, and must not count any more when it arrives.
        self.remember_departed(incarnation, Departure::Left);
        change
    }

    /// Only a member evicts: of two that take each other for dead, the first one to reach the
    /// stream stays, and not neither.
    fn evict(&mut self, offset: u64, incarnation: Incarnation, by: Incarnation) -> Change {
        if by == incarnation || !self.is_listed(by) {
            return Change::Nothing;
        }
        self.depart(offset, incarnation, Departure::Evicted)
    }

    fn depart(&mut self, offset: u64, incarnation: Incarnation, how: Departure) -> Change {
        for (service, view) in &mut self.views {
            if view.depart(offset, incarnation, how) {
                let service = service.clone();
                self.remember_departed(incarnation, how);
                return Change::View(service);
            }
        }
        Change::Nothing
    }

    fn remember_departed(&mut self, incarnation: Incarnation, how: Departure) {
        if self.departed.contains_key(&incarnation) {
            return;
        }
        if self.departed.len() == MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
        self.departed.insert(incarnation, how);
    }

    fn mark_snapshot(&mut self, offset: u64, snapshot: &State) -> Change {
        let base = snapshot.next;
        let newer = self.snapshot.is_none_or(|mark| mark.base < base);
        if base <= offset && newer && snapshot.version <= self.version {
            self.snapshot = Some(SnapshotMark { offset, base });
        }
        Change::Nothing
    }
}

fn is_bounded(instance: &Instance) -> bool {
    let names = [
        &instance.service,
        &instance.failure_domain,
        &instance.region,
    ];
    names
        .iter()
        .all(|name| !name.is_empty() && name.len() <= MAX_NAME)
}
