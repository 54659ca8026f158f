//! The fold: one record after another. Every reader must come to the same state, so it depends on
//! nothing but the records and their offsets.

use crate::Change;
use crate::Departure;
use crate::Record;
use crate::State;
use proto::Incarnation;
use proto::Instance;
use rules::Rules;
use std::sync::Arc;

/// The largest record that is read, in bytes. Larger ones are passed over by every reader.
pub const MAX_RECORD_LEN: usize = 2 << 20;

/// The longest name of a service, failure domain, region or operator, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// The most instances in all views together.
pub const MAX_INSTANCES: usize = 4096;

/// The most services that ever had a view.
pub const MAX_SERVICES: usize = 256;

/// How many departed incarnations the topic has records of before the oldest are forgotten: two
/// records of some 100 bytes each, so that a start reads 200 KB of them at most.
pub const MAX_DEPARTED: usize = 1024;

impl State {
    /// Folds the value of the record at `offset`.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_journal::Change;
    /// use bilberry_journal::State;
    ///
    /// let mut state = State::default();
    /// assert_eq!(state.apply(0, b"\xff no record"), Change::Invalid);
    /// assert_eq!(state.apply(0, b"again"), Change::Stale);
    /// assert_eq!(state.apply(2, b"too early"), Change::Gap);
    /// assert_eq!(state.next_offset, 1);
    /// ```
    pub fn apply(&mut self, offset: u64, value: &[u8]) -> Change {
        if offset < self.next_offset {
            return Change::Stale;
        }
        if offset > self.next_offset {
            return Change::Gap;
        }
        self.next_offset = offset + 1;
        // The value of a key that is dropped. `Record::Forget` beside it says what that means.
        if value.is_empty() {
            return Change::Unchanged;
        }
        let record = match value.len() {
            0..=MAX_RECORD_LEN => proto::decode::<Record>(value).ok(),
            _ => None,
        };
        match record {
            Some(record) => self.fold(offset, record),
            None => Change::Invalid,
        }
    }

    /// Goes on at a later offset. What stood in between was replaced or dropped.
    pub fn skip_to(&mut self, next: u64) {
        self.next_offset = self.next_offset.max(next);
    }

    fn fold(&mut self, offset: u64, record: Record) -> Change {
        match record {
            Record::Publish {
                version,
                publication,
                operator,
                file,
            } => self.publish(version, publication, operator, file),
            Record::Join(instance) => self.join(offset, instance),
            Record::Leave(incarnation) => self.leave(offset, incarnation),
            Record::Evict { incarnation, by } => self.evict(offset, incarnation, by),
            Record::Forget {
                incarnation,
                departed,
            } => {
                self.departed.shift_remove(&incarnation);
                self.last_forgotten = self.last_forgotten.max(Some(departed));
                Change::Unchanged
            }
        }
    }

    fn publish(
        &mut self,
        version: u64,
        publication: u128,
        operator: Arc<str>,
        file: Arc<str>,
    ) -> Change {
        if operator.len() > MAX_NAME_LEN {
            return Change::Invalid;
        }
        if version <= self.version {
            return Change::Stale;
        }
        let Ok(rules) = Rules::parse(&file) else {
            return Change::Invalid;
        };
        self.version = version;
        self.publication = publication;
        self.operator = operator;
        self.file = file;
        self.rules = Arc::new(rules);
        Change::Rules
    }

    fn join(&mut self, offset: u64, instance: Instance) -> Change {
        let incarnation = instance.incarnation;
        if self.is_listed(incarnation) || self.departed.contains_key(&incarnation) {
            return Change::Unchanged;
        }
        if !self.can_join(&instance) {
            return Change::Invalid;
        }
        let service = instance.service.clone();
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
        // One that never joined, and may have asked to, does not any more.
        self.remember_departed(offset, incarnation);
        change
    }

    /// Only a member evicts: of two that take each other for dead, the first one to reach the
    /// stream stays, and not neither.
    fn evict(&mut self, offset: u64, incarnation: Incarnation, by: Incarnation) -> Change {
        if by == incarnation || !self.is_listed(by) {
            return Change::Unchanged;
        }
        self.depart(offset, incarnation, Departure::Evicted)
    }

    fn depart(&mut self, offset: u64, incarnation: Incarnation, how: Departure) -> Change {
        for (service, view) in &mut self.views {
            if view.depart(offset, incarnation, how) {
                let service = service.clone();
                self.remember_departed(offset, incarnation);
                return Change::View(service);
            }
        }
        Change::Unchanged
    }

    fn remember_departed(&mut self, offset: u64, incarnation: Incarnation) {
        self.departed.entry(incarnation).or_insert(offset);
    }

    /// Which departure is to be forgotten next, if there are too many. They go in their order, so
    /// what one record needs of an earlier one, an eviction of its author's `Join` for example, is
    /// never dropped first.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bilberry_journal::State::default().next_forget_record(), None);
    /// ```
    pub fn next_forget_record(&self) -> Option<Record> {
        let (incarnation, departed) = self.departed.first()?;
        let many = self.departed.len() > MAX_DEPARTED;
        many.then_some(Record::Forget {
            incarnation: *incarnation,
            departed: *departed,
        })
    }

    /// Whether a `Join` of this instance would be taken. One that is not must not be appended: a
    /// reader that begins later, after others were forgotten, could find room for it.
    pub fn can_join(&self, instance: &Instance) -> bool {
        let known = self.views.contains_key(&instance.service);
        is_bounded(instance)
            && self.instances().count() < MAX_INSTANCES
            && (known || self.views.len() < MAX_SERVICES)
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
        .all(|name| !name.is_empty() && name.len() <= MAX_NAME_LEN)
}
