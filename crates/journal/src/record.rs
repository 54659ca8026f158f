//! What the topic holds.

use bytes::Bytes;
use proto::Incarnation;
use proto::Instance;
use std::sync::Arc;
use stdx::data;

/// The key under which the rules in force stand.
const RULES_KEY: &str = "rules";

/// The key of the last record that says what was dropped.
const FORGOTTEN_KEY: &str = "forgotten";

data! {
    /// One record of the topic.
    ///
    /// A record is appended only if nothing was appended since its writer read the topic. So each one
    /// says something new, and none of them can be overtaken by another.
    pub enum Record {
        /// An operator publishes a rules file.
        Publish {
            /// One more than the version before.
            version: u64,
            /// Chosen by the operator's tool, so that a lost answer can be settled by reading.
            publication: u128,
            /// Who publishes.
            operator: Arc<str>,
            /// The whole file.
            file: Arc<str>,
        },
        /// A node announces itself.
        Join(Instance),
        /// A node leaves as planned; it has stopped starting work that it is home to.
        Leave(Incarnation),
        /// A node is taken for dead by another.
        Evict {
            /// Whom.
            incarnation: Incarnation,
            /// By whom.
            by: Incarnation,
        },
        /// What the topic said of a node that departed long ago is dropped.
        Forget {
            /// Which node.
            incarnation: Incarnation,
            /// The offset at which it departed.
            departed: u64,
        },
    }
}

/// A key of the topic and its new value; an empty value drops the key.
pub type TopicEntry = (Arc<str>, Bytes);

impl Record {
    /// What has to be appended, all or nothing.
    ///
    /// The topic keeps the newest value of each key for good. Each fact about a node has a key of
    /// its own: under a common one the last fact would hide the ones before it, and a reader that
    /// begins late would come to other views than one that saw them all.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_journal::Record;
    /// use proto::Incarnation;
    ///
    /// let keys = |record: Record| -> Vec<String> {
    ///     let entries = record.entries().into_iter();
    ///     entries.map(|(key, _)| key.to_string()).collect()
    /// };
    /// assert_eq!(keys(Record::Leave(Incarnation(7))), ["gone/0000000000000007"]);
    /// let forget = Record::Forget { incarnation: Incarnation(7), departed: 3 };
    /// assert_eq!(
    ///     keys(forget),
    ///     ["join/0000000000000007", "gone/0000000000000007", "forgotten"]
    /// );
    /// ```
    pub fn entries(&self) -> Vec<TopicEntry> {
        let value = Bytes::from(proto::encode(self));
        match self {
            Record::Publish { .. } => vec![(RULES_KEY.into(), value)],
            Record::Join(instance) => vec![(join_key(instance.incarnation), value)],
            Record::Leave(incarnation) | Record::Evict { incarnation, .. } => {
                vec![(gone_key(*incarnation), value)]
            }
            Record::Forget { incarnation, .. } => vec![
                (join_key(*incarnation), Bytes::new()),
                (gone_key(*incarnation), Bytes::new()),
                (FORGOTTEN_KEY.into(), value),
            ],
        }
    }
}

fn join_key(incarnation: Incarnation) -> Arc<str> {
    format!("join/{incarnation}").into()
}

fn gone_key(incarnation: Incarnation) -> Arc<str> {
    format!("gone/{incarnation}").into()
}
