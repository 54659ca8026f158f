//! The fold of records into the state. Every reader must compute the same state, so it depends on
//! nothing but the records and their offsets.

use crate::Change;
use crate::Departure;
use crate::Record;
use crate::State;
use proto::Incarnation;
use proto::Instance;
use rules::Rules;
use std::sync::Arc;

/// Maximum length of a record, in bytes. Every reader skips longer ones.
pub const MAX_RECORD_LEN: usize = 2 << 20;

/// Maximum length of the name of a service, failure domain, region or operator, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Maximum number of instances in all views together.
pub const MAX_INSTANCES: usize = 4096;

/// Maximum number of services that ever had a view.
pub const MAX_SERVICES: usize = 256;

/// Maximum number of departed incarnations whose records stay in the topic; beyond it the oldest
/// are deleted. Each has two records of about 100 bytes, so a starting node reads at most 200 KB of
/// them.
pub const MAX_DEPARTED: usize = 1024;

impl State {
    /// Applies the record at `offset`, given its encoded value.
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
        // An empty value deletes a key. The `Record::Forget` appended with it describes the change.
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

    /// Continues at a later offset, because the records in between were superseded or deleted.
    pub fn skip_to(&mut self, next_offset: u64) {
        self.next_offset = self.next_offset.max(next_offset);
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
        if version <= self.rules_version {
            return Change::Stale;
        }
        let Ok(rules) = Rules::parse(&file) else {
            return Change::Invalid;
        };
        self.rules_version = version;
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
        self.evict_at_address(offset, &instance);
        let view = self.views.entry(service.clone()).or_default();
        view.add(offset, instance);
        Change::View(service)
    }

    /// Evicts the member at the address of a joining instance. The join proves that the member's
    /// process has ended.
    fn evict_at_address(&mut self, offset: u64, joining: &Instance) {
        let old = self.instances().find(|old| old.addr == joining.addr);
        if let Some(old) = old.map(|old| old.incarnation) {
            self.depart(offset, old, Departure::Evicted);
        }
    }

    fn leave(&mut self, offset: u64, incarnation: Incarnation) -> Change {
        let change = self.depart(offset, incarnation, Departure::Left);
        // The `Leave` may precede the `Join` of its incarnation, which is then ignored.
        self.remember_departed(offset, incarnation);
        change
    }

    /// Only a member can evict. If two members consider each other dead, the one whose record comes
    /// first in the topic stays; otherwise neither would.
    fn evict(&mut self, offset: u64, incarnation: Incarnation, by: Incarnation) -> Change {
        if by == incarnation || !self.is_listed(by) {
            return Change::Unchanged;
        }
        self.depart(offset, incarnation, Departure::Evicted)
    }

    fn depart(&mut self, offset: u64, incarnation: Incarnation, departure: Departure) -> Change {
        for (service, view) in &mut self.views {
            if view.remove(offset, incarnation, departure) {
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

    /// The record that forgets the oldest departure, if there are more than [`MAX_DEPARTED`].
    /// Departures are forgotten in order, so that a record is never deleted before the later ones
    /// that depend on it, for example the `Join` of a member before an eviction by that member.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bilberry_journal::State::default().next_forget_record(), None);
    /// ```
    pub fn next_forget_record(&self) -> Option<Record> {
        let (incarnation, departed) = self.departed.first()?;
        let is_full = self.departed.len() > MAX_DEPARTED;
        is_full.then_some(Record::Forget {
            incarnation: *incarnation,
            departed: *departed,
        })
    }

    /// Whether a `Join` of this instance is within the limits. Otherwise it must not be appended,
    /// because a reader that starts after other instances were forgotten could accept it.
    pub fn can_join(&self, instance: &Instance) -> bool {
        let has_view = self.views.contains_key(&instance.service);
        has_valid_names(instance)
            && self.instances().count() < MAX_INSTANCES
            && (has_view || self.views.len() < MAX_SERVICES)
    }
}

fn has_valid_names(instance: &Instance) -> bool {
    let names = [
        &instance.service,
        &instance.failure_domain,
        &instance.region,
    ];
    names
        .iter()
        .all(|name| !name.is_empty() && name.len() <= MAX_NAME_LEN)
}
