//! Detection of requests that crash backend servers.
//!
//! Every request in flight when a server crashes becomes a suspect, whether or not it caused the
//! crash. A server runs only one suspect at a time, so a second crash identifies the cause: no
//! other request in flight was a suspect. A request that is answered completely is cleared, and a
//! request that was answered completely shortly before a crash does not become a suspect.

use proto::Incarnation;
use std::hash::Hash;
use std::time::Duration;
use stdx::plain;
use stdx::BoundedMap;
use stdx::Time;

/// Number of crashes after which a request is refused.
const MAX_CRASHES: u32 = 2;

/// How long a request remains suspect or refused after its last crash.
const EXPIRY: Duration = Duration::from_secs(300);

/// How long a complete answer protects a request from becoming a suspect.
const CLEARED_FOR: Duration = Duration::from_secs(10);

/// Capacity of the table of suspects and of the table of completed requests.
const CAPACITY: usize = 2048;

plain! {
    /// Whether a request may run.
    pub enum Verdict {
        /// It may run.
        Clear,
        /// It was in flight during a crash. It may run, but not together with another suspect.
        Suspect,
        /// It must not run before this much time has passed.
        Refused(Duration),
    }
}

/// Requests that were in flight during crashes, by fingerprint.
///
/// # Examples
///
/// ```
/// use bilberry_policy::{Quarantine, Verdict};
/// use proto::Incarnation;
/// use stdx::Time;
///
/// let mut quarantine = Quarantine::new();
/// let now = Time::from_micros(60_000_000);
/// quarantine.record_crash(now, 7, Incarnation(1));
/// assert_eq!(quarantine.verdict(now, &7), Verdict::Suspect);
/// quarantine.record_crash(now, 7, Incarnation(2));
/// assert!(matches!(quarantine.verdict(now, &7), Verdict::Refused(_)));
/// ```
#[derive(Debug)]
pub struct Quarantine<K> {
    suspects: BoundedMap<K, Suspect>,
    /// When each request was last answered completely.
    completed: BoundedMap<K, Time>,
}

#[derive(Debug)]
struct Suspect {
    /// Crashes by node. Each node counts its own.
    crashes: Vec<(Incarnation, u32)>,
    /// When the last crash was recorded.
    last_crash: Time,
}

impl Suspect {
    fn total(&self) -> u32 {
        self.crashes.iter().map(|(_, count)| count).sum()
    }
}

impl<K: Hash + Eq + Clone> Quarantine<K> {
    /// Whether no request is suspected, so that [`Self::verdict`] need not be called.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// An empty quarantine.
    pub fn new() -> Self {
        Self {
            suspects: BoundedMap::new(CAPACITY),
            completed: BoundedMap::new(CAPACITY),
        }
    }

    /// Records that the server of `node` crashed with the request in flight. Returns the number of
    /// crashes at that node, to be sent to the other nodes; `None` if the request was recently
    /// answered completely and is not suspected.
    pub fn record_crash(&mut self, now: Time, request: K, node: Incarnation) -> Option<u32> {
        let completed = self.completed.get(&request);
        if completed.is_some_and(|at| now.since(*at) < CLEARED_FOR) {
            return None;
        }
        let before = self.suspect(now, &request).map_or(0, |suspect| {
            let known = suspect.crashes.iter().find(|(other, _)| *other == node);
            known.map_or(0, |(_, count)| *count)
        });
        self.record_remote_crashes(now, request, node, before + 1);
        Some(before + 1)
    }

    /// Records how often the server of another node has crashed with the request in flight.
    pub fn record_remote_crashes(&mut self, now: Time, request: K, node: Incarnation, count: u32) {
        if self.suspect(now, &request).is_none() {
            let suspect = Suspect {
                crashes: Vec::new(),
                last_crash: now,
            };
            self.suspects.insert(request.clone(), suspect);
        }
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        suspect.last_crash = now;
        let known = suspect.crashes.iter_mut().find(|(other, _)| *other == node);
        if let Some((_, known)) = known {
            *known = count.max(*known);
        } else if suspect.crashes.len() < MAX_CRASHES as usize {
            // This many nodes suffice to refuse the request; more need not be stored.
            suspect.crashes.push((node, count));
        }
    }

    /// Records that this node answered the request completely.
    pub fn record_completed(&mut self, now: Time, request: K) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            if suspect.total() < MAX_CRASHES {
                suspect.crashes.clear();
            }
        }
        self.completed.insert(request, now);
    }

    /// Whether the request may run.
    pub fn verdict(&self, now: Time, request: &K) -> Verdict {
        match self.suspect(now, request) {
            Some(suspect) if suspect.total() >= MAX_CRASHES => {
                Verdict::Refused(now.until(suspect.last_crash + EXPIRY))
            }
            Some(suspect) if suspect.total() > 0 => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    fn suspect(&self, now: Time, request: &K) -> Option<&Suspect> {
        let suspect = self.suspects.get(request);
        suspect.filter(|suspect| now.since(suspect.last_crash) < EXPIRY)
    }
}

impl<K: Hash + Eq + Clone> Default for Quarantine<K> {
    fn default() -> Self {
        Self::new()
    }
}
