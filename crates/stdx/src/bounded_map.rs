//! A map with a maximum number of entries.

use indexmap::IndexMap;
use std::hash::Hash;

/// A map that evicts the entry inserted first when it exceeds its capacity. Use it only for soft
/// state that may be lost.
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
    /// The keys in the order of insertion.
    insertion_order: std::collections::VecDeque<K>,
}

impl<K: Hash + Eq + Clone, V> BoundedMap<K, V> {
    /// An empty map that holds at most `capacity` entries, and at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            entries: IndexMap::new(),
            insertion_order: std::collections::VecDeque::new(),
        }
    }

    /// Inserts an entry, and evicts the oldest one if the capacity is exceeded. Replacing the value
    /// of a key does not change its age.
    pub fn insert(&mut self, key: K, value: V) {
        if self.entries.insert(key.clone(), value).is_some() {
            return;
        }
        self.insertion_order.push_back(key);
        while self.entries.len() > self.capacity {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.entries.swap_remove(&oldest);
        }
    }

    /// The value of a key, unless it has been evicted.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key)
    }

    /// A mutable reference to the value of a key, unless it has been evicted.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key)
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
