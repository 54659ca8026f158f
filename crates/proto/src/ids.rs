//! Identifiers. An incarnation, and thus every call and run id, is never reused; the ids of actions
//! and organisations are hashes of what they identify.

use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher13;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use stdx::plain;

plain! {
    /// One start of a node process. A restart at the same address is a new incarnation, because the
    /// process has lost all its state.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Incarnation(pub u64);
}

plain! {
    /// Hash of an organisation's name, used instead of the name in messages and tables.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct OrganisationId(pub u64);
}

impl OrganisationId {
    /// Computes the id from the organisation's name.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::OrganisationId;
    ///
    /// assert_ne!(OrganisationId::of("anna"), OrganisationId::of("marco"));
    /// ```
    pub fn of(name: &str) -> Self {
        Self(hash64(&name))
    }
}

plain! {
    /// A customer action, shared by all calls of its call tree.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ActionId(pub u128);
}

plain! {
    /// One call from a node to another.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct CallId {
        /// The calling node.
        pub from: Incarnation,
        /// Sequence number among the calls of that node.
        pub number: u64,
    }
}

plain! {
    /// One execution of a request by the backend server beside a node.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct RunId {
        /// The node beside the backend server.
        pub at: Incarnation,
        /// Sequence number among the runs of that node.
        pub number: u64,
    }
}

impl RunId {
    /// Parses the text form used in the context header.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::{Incarnation, RunId};
    ///
    /// let run = RunId { at: Incarnation(7), number: 9 };
    /// assert_eq!(RunId::parse(&run.to_string()), Some(run));
    /// assert_eq!(RunId::parse("x-y"), None);
    /// ```
    pub fn parse(text: &str) -> Option<RunId> {
        let (at, number) = text.split_once('-')?;
        Some(RunId {
            at: Incarnation(u64::from_str_radix(at, 16).ok()?),
            number: u64::from_str_radix(number, 16).ok()?,
        })
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for ActionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.from.0, self.number)
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.at.0, self.number)
    }
}

/// Hashes a value with SipHash-1-3 and a fixed key, so that the result is the same in every process
/// and version.
///
/// # Examples
///
/// ```
/// assert_eq!(bilberry_proto::hash64(&("press", 3)), bilberry_proto::hash64(&("press", 3)));
/// ```
pub fn hash64<T: Hash>(value: &T) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Like [`hash64`] but with 128 bits, for values that must not collide.
pub(crate) fn hash128<T: Hash>(value: &T) -> u128 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish128().as_u128()
}
