//! Requests that crash backend servers.
//!
//! What was in flight when a server crashed is a suspect, the innocent with the guilty. Suspects run
//! one at a time on a server, so a second crash tells which one it was: the others that were in
//! flight then were no suspects. What was answered whole is cleared, and so is what has lately been
//! answered whole when a server crashes.

use proto::Incarnation;
use std::hash::Hash;
use std::time::Duration;
use stdx::plain;
use stdx::BoundedMap;
use stdx::Time;

/// Crashes after which a request is refused.
const CRASHES: u32 = 2;

/// How long a request is suspected or refused after its last crash.
const EXPIRY: Duration = Duration::from_secs(300);

/// How long a whole answer speaks for a request.
const INNOCENT: Duration = Duration::from_secs(10);

/// Requests that are remembered, suspects and others.
const KEPT: usize = 2048;

plain! {
    /// What is known of a request.
    pub enum Verdict {
        /// Nothing.
        Clear,
        /// It was in flight at one crash; it may run alone among suspects.
        Suspect,
        /// It may not run for this much longer.
        Refused(Duration),
    }
}

/// What is known of requests that were in flight at crashes, by fingerprint.
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
    whole: BoundedMap<K, Time>,
}

#[derive(Debug)]
struct Suspect {
    /// Crashes by node, as each node counts its own.
    crashes: Vec<(Incarnation, u32)>,
    /// The last crash.
    at: Time,
}

impl Suspect {
    fn total(&self) -> u32 {
        self.crashes.iter().map(|(_, count)| count).sum()
    }
}

impl<K: Hash + Eq + Clone> Quarantine<K> {
    /// Whether no request is suspected, so that nothing need be looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Nothing is known.
    pub fn new() -> Self {
        Self {
            suspects: BoundedMap::new(KEPT),
            whole: BoundedMap::new(KEPT),
        }
    }

    /// The server of `node` crashed with the request in flight. Gives the crashes at that node, for
    /// the others; `None` if the request is above suspicion.
    pub fn record_crash(&mut self, now: Time, request: K, node: Incarnation) -> Option<u32> {
        let whole = self.whole.get(&request);
        if whole.is_some_and(|at| now.since(*at) < INNOCENT) {
            return None;
        }
        let before = self.suspect(now, &request).map_or(0, |suspect| {
            let own = suspect.crashes.iter().find(|(at, _)| *at == node);
            own.map_or(0, |(_, count)| *count)
        });
        self.record_remote_crashes(now, request, node, before + 1);
        Some(before + 1)
    }

    /// Another node tells how often its server crashed with the request in flight.
    pub fn record_remote_crashes(&mut self, now: Time, request: K, node: Incarnation, count: u32) {
        if self.suspect(now, &request).is_none() {
            let fresh = Suspect {
                crashes: Vec::new(),
                at: now,
            };
            self.suspects.insert(request.clone(), fresh);
        }
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        suspect.at = now;
        let known = suspect.crashes.iter_mut().find(|(at, _)| *at == node);
        if let Some((_, known)) = known {
            *known = count.max(*known);
        } else if suspect.crashes.len() < CRASHES as usize {
            // As many nodes are enough to refuse it; more need not be kept.
            suspect.crashes.push((node, count));
        }
    }

    /// The request was answered whole here.
    pub fn record_completed(&mut self, now: Time, request: K) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            if suspect.total() < CRASHES {
                suspect.crashes.clear();
            }
        }
        self.whole.insert(request, now);
    }

    /// Whether the request may run.
    pub fn verdict(&self, now: Time, request: &K) -> Verdict {
        match self.suspect(now, request) {
            Some(suspect) if suspect.total() >= CRASHES => {
                Verdict::Refused(now.until(suspect.at + EXPIRY))
            }
            Some(suspect) if suspect.total() > 0 => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    fn suspect(&self, now: Time, request: &K) -> Option<&Suspect> {
        let suspect = self.suspects.get(request);
        suspect.filter(|suspect| now.since(suspect.at) < EXPIRY)
    }
}

impl<K: Hash + Eq + Clone> Default for Quarantine<K> {
    fn default() -> Self {
        Self::new()
    }
}
