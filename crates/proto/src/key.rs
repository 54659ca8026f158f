//! Idempotency keys of non-idempotent calls.

use crate::ids::hash128;
use crate::ActionId;
use crate::Request;
use std::sync::Arc;
use stdx::data;
use stdx::plain;

/// How many slots a service's key space is cut into. Ownership moves by whole slots.
pub const SLOT_COUNT: u16 = 256;

data! {
    /// A key in its scope: the same text from another caller or for another service is another key.
    #[derive(Hash)]
    pub struct IdempotencyKey {
        /// Who sent the key. Children of an action use the action's id.
        pub caller: Arc<str>,
        /// The service that the key is for.
        pub service: Arc<str>,
        /// The text of the `Idempotency-Key` header, or of the node's own making.
        pub text: Arc<str>,
    }
}

plain! {
    /// The hash of a scoped key: 128 bits, so that keys do not collide.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct KeyHash(pub u128);
}

plain! {
    /// The hash of what is asked: method, path and body. The same key with another fingerprint is
    /// a mistake of the caller's.
    #[derive(Hash)]
    pub struct Fingerprint(pub u128);
}

impl IdempotencyKey {
    /// The hash that stands for this key between nodes.
    pub fn hash(&self) -> KeyHash {
        KeyHash(hash128(self))
    }

    /// The action that a root call with this key belongs to: the same for each re-send, so that
    /// the keys of its child calls are the same as well.
    pub fn action_id(&self) -> ActionId {
        ActionId(hash128(&("action", self)))
    }
}

impl KeyHash {
    /// The slot that the key falls into.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::{KeyHash, SLOT_COUNT};
    ///
    /// assert!(KeyHash(u128::MAX).slot() < SLOT_COUNT);
    /// ```
    pub fn slot(self) -> u16 {
        (self.0 % u128::from(SLOT_COUNT)) as u16
    }
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(req: &Request) -> Self {
        Fingerprint(hash128(&(&req.method, &req.path, &req.body)))
    }
}
