//! A map that holds at most a set number of entries.

use indexmap::IndexMap;
use std::hash::Hash;

/// A map for soft state that may be forgotten: past its capacity the entry that was inserted first
/// goes. Never for records that must be kept.
///
/// # Examples
///
/// ```
/// let mut seen = bilberry_stdx::BoundedMap::new(2);
/// seen.insert("a", 1);
/// seen.insert("b", 2);
/// seen.insert("c", 3);
/// assert_eq!(seen.get(&"a"), None);
/// assert_eq!(seen.get(&"c"), Some(&3));
/// ```
#[derive(Debug, Clone)]
pub struct BoundedMap<K, V> {
    capacity: usize,
    entries: IndexMap<K, V>,
    order: std::collections::VecDeque<K>,
}

impl<K: Hash + Eq + Clone, V> BoundedMap<K, V> {
    /// An empty map for at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            entries: IndexMap::new(),
            order: std::collections::VecDeque::new(),
        }
    }

    /// Inserts an entry, and forgets the oldest one if there is no room.
    pub fn insert(&mut self, key: K, value: V) {
        if self.entries.insert(key.clone(), value).is_some() {
            return;
        }
        self.order.push_back(key);
        while self.entries.len() > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.entries.swap_remove(&oldest);
        }
    }

    /// The entry's value, if it has not been forgotten.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key)
    }

    /// The entry's value for change, if it has not been forgotten.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key)
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
