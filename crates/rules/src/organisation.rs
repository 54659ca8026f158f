//! Organisations: by which keys their callers are known, how much they may send, how urgent it is.

use crate::RuleOrigin;
use indexmap::IndexMap;
use proto::OrganisationId;
use sha2::Digest;
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;
use stdx::data;
use stdx::plain;

/// What the text form of a digest begins with.
const DIGEST_PREFIX: &str = "sha256:";

/// The SHA-256 digest of an organisation's key. A key itself is kept nowhere: whoever reads the rules, the
/// log or a core file finds nothing that could be sent in a request.
///
/// # Examples
///
/// ```
/// use bilberry_rules::KeyDigest;
///
/// let digest = KeyDigest::of("a long random key");
/// assert_eq!(KeyDigest::parse(&digest.to_string()), Some(digest));
/// assert_eq!(KeyDigest::parse("a long random key"), None);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads the text form: `sha256:` and 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(DIGEST_PREFIX)?;
        if digits.len() != 64 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let mut digest = [0; 32];
        for (byte, at) in digest.iter_mut().zip((0..64).step_by(2)) {
            *byte = u8::from_str_radix(&digits[at..at + 2], 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(DIGEST_PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

plain! {
    /// How many requests an organisation may send, to all nodes together.
    #[derive(Hash)]
    pub struct Quota {
        /// The sustained rate, in requests per thousand seconds.
        pub per_kilosecond: u64,
        /// How many requests may come at once beyond the rate.
        pub burst: u32,
    }
}

impl Quota {
    /// The sustained rate, in requests per second.
    pub fn rate(self) -> f64 {
        self.per_kilosecond as f64 / 1000.0
    }
}

data! {
    /// One organisation.
    pub struct Organisation {
        /// Its name, which backend servers are told.
        pub name: Arc<str>,
        /// How urgent its requests are, in place of their operations' priority; 0 is the most urgent.
        pub priority: Option<u8>,
        /// What it may send; without one, any number.
        pub quota: Option<Quota>,
        /// Where this rule stands.
        pub origin: RuleOrigin,
    }
}

/// Why an organisation was not entered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrganisationError {
    /// An organisation of this name was entered before.
    NameTwice {
        /// Where.
        earlier: u32,
    },
    /// A key of it was entered before.
    KeyTwice {
        /// Where.
        earlier: u32,
    },
}

data! {
    /// All organisations that may send requests.
    #[derive(Default)]
    pub struct Organisations {
        by_id: IndexMap<OrganisationId, Organisation>,
        by_key: IndexMap<KeyDigest, OrganisationId>,
    }
}

impl Organisations {
    /// Enters an organisation with its keys.
    ///
    /// # Errors
    ///
    /// [`OrganisationError`]; nothing is entered then.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_rules::{RuleOrigin, KeyDigest, Organisation, Organisations};
    ///
    /// let anna = Organisation {
    ///     name: "anna".into(),
    ///     priority: None,
    ///     quota: None,
    ///     origin: RuleOrigin { line: 1, requested_by: "Giulia".into() },
    /// };
    /// let mut organisations = Organisations::default();
    /// organisations.insert(anna.clone(), &[KeyDigest::of("k")]).unwrap();
    /// assert_eq!(organisations.find(&KeyDigest::of("k")).unwrap().1.name, anna.name);
    /// assert!(organisations.insert(anna, &[]).is_err());
    /// ```
    pub fn insert(
        &mut self,
        organisation: Organisation,
        keys: &[KeyDigest],
    ) -> Result<(), OrganisationError> {
        let id = OrganisationId::of(&organisation.name);
        if let Some(earlier) = self.by_id.get(&id) {
            let earlier = earlier.origin.line;
            return Err(OrganisationError::NameTwice { earlier });
        }
        if let Some(holder) = keys.iter().find_map(|key| self.by_key.get(key)) {
            let earlier = self.by_id[holder].origin.line;
            return Err(OrganisationError::KeyTwice { earlier });
        }
        self.by_key.extend(keys.iter().map(|key| (*key, id)));
        self.by_id.insert(id, organisation);
        Ok(())
    }

    /// The organisation that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<(OrganisationId, &Organisation)> {
        let id = self.by_key.get(key)?;
        Some((*id, &self.by_id[id]))
    }

    /// The organisation of this id.
    pub fn get(&self, id: OrganisationId) -> Option<&Organisation> {
        self.by_id.get(&id)
    }

    /// Every organisation.
    pub fn iter(&self) -> impl Iterator<Item = (OrganisationId, &Organisation)> {
        self.by_id
            .iter()
            .map(|(id, organisation)| (*id, organisation))
    }
}
