//! Organisations, with their API keys, quotas and priorities.

use crate::RuleOrigin;
use indexmap::IndexMap;
use proto::OrganisationId;
use sha2::Digest;
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;
use stdx::data;
use stdx::plain;

/// Prefix of the text form of a digest.
const DIGEST_PREFIX: &str = "sha256:";

/// The SHA-256 digest of an organisation's API key. The key itself is never stored, so that the
/// rules, the log and core dumps contain nothing that could be used in a request.
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
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses the text form, which is `sha256:` followed by 64 hexadecimal digits.
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
    /// The number of requests that an organisation may send to all nodes together.
    #[derive(Hash)]
    pub struct Quota {
        /// The sustained rate, in requests per 1,000 seconds.
        pub per_kilosecond: u64,
        /// The number of requests that may arrive at once in excess of the rate.
        pub burst: u32,
    }
}

impl Quota {
    /// Returns the sustained rate in requests per second.
    pub fn rate(self) -> f64 {
        self.per_kilosecond as f64 / 1000.0
    }
}

data! {
    /// An organisation.
    pub struct Organisation {
        /// The name, which is passed on to backend servers.
        pub name: Arc<str>,
        /// Overrides the priority of the operations it calls; 0 is the most urgent.
        pub priority: Option<u8>,
        /// The quota; unlimited if absent.
        pub quota: Option<Quota>,
        /// The origin of the rule.
        pub origin: RuleOrigin,
    }
}

/// Why an organisation could not be added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrganisationError {
    /// Another organisation has the same name.
    NameTaken {
        /// Line of the other organisation.
        earlier: u32,
    },
    /// Another organisation has one of the keys.
    KeyTaken {
        /// Line of the other organisation.
        earlier: u32,
    },
}

data! {
    /// The organisations that may send requests.
    #[derive(Default)]
    pub struct Organisations {
        by_id: IndexMap<OrganisationId, Organisation>,
        by_key: IndexMap<KeyDigest, OrganisationId>,
    }
}

impl Organisations {
    /// Adds an organisation with its keys.
    ///
    /// # Errors
    ///
    /// [`OrganisationError`], in which case nothing is added.
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
            return Err(OrganisationError::NameTaken { earlier });
        }
        if let Some(holder) = keys.iter().find_map(|key| self.by_key.get(key)) {
            let earlier = self.by_id[holder].origin.line;
            return Err(OrganisationError::KeyTaken { earlier });
        }
        self.by_key.extend(keys.iter().map(|key| (*key, id)));
        self.by_id.insert(id, organisation);
        Ok(())
    }

    /// Returns the organisation that has the key with this digest.
    pub fn find(&self, key: &KeyDigest) -> Option<(OrganisationId, &Organisation)> {
        let id = self.by_key.get(key)?;
        Some((*id, &self.by_id[id]))
    }

    /// Returns the organisation with this id.
    pub fn get(&self, id: OrganisationId) -> Option<&Organisation> {
        self.by_id.get(&id)
    }

    /// Iterates over all organisations.
    pub fn iter(&self) -> impl Iterator<Item = (OrganisationId, &Organisation)> {
        self.by_id
            .iter()
            .map(|(id, organisation)| (*id, organisation))
    }
}
