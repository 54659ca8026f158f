//! Identifiers. None of them is ever reused.

use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher13;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use stdx::plain;

plain! {
    /// One start of a node's process. A restart at the same address is another incarnation,
    /// because it has forgotten everything.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Incarnation(pub u64);
}

plain! {
    /// Stands for an organisation's name in messages and tables.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct OrganisationId(pub u64);
}

impl OrganisationId {
    /// The id that belongs to a name.
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
    /// A customer's action, shared by all calls of its call tree.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ActionId(pub u128);
}

plain! {
    /// One call from one node to another; `number` counts up within `from`.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct CallId {
        /// The node that made the call.
        pub from: Incarnation,
        /// The count of calls of that node.
        pub number: u64,
    }
}

plain! {
    /// One piece of work that a node handed to its own backend server.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct RunId {
        /// The node beside the backend server.
        pub at: Incarnation,
        /// The count of runs of that node.
        pub number: u64,
    }
}

impl RunId {
    /// Reads the text form that the context header carries.
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

/// A hash that is the same in every process and version: SipHash-1-3 with a fixed key.
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

/// As [`hash64`], with 128 bits, for values that must not collide.
pub(crate) fn hash128<T: Hash>(value: &T) -> u128 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish128().as_u128()
}
