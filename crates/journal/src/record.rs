//! The records of the topic and their keys.

use bytes::Bytes;
use proto::Incarnation;
use proto::Instance;
use std::sync::Arc;
use stdx::data;

/// The key of the rules in force.
const RULES_KEY: &str = "rules";

/// The key of the newest [`Record::Forget`].
const FORGOTTEN_KEY: &str = "forgotten";

data! {
    /// One record of the topic.
    ///
    /// A record is appended only if nothing was appended since its writer read the topic. Every
    /// record therefore adds information, and concurrent records cannot overtake each other.
    pub enum Record {
        /// An operator publishes a rules file.
        Publish {
            /// One more than the previous version.
            version: u64,
            /// Random id chosen by the operator's tool. If the answer of the store is lost, the
            /// tool reads the topic and can tell by the id whether the record was appended.
            publication: u128,
            /// The operator who publishes.
            operator: Arc<str>,
            /// The text of the file.
            file: Arc<str>,
        },
        /// A node joins.
        Join(Instance),
        /// A node leaves as planned. It has stopped starting runs for the keys that it is home to.
        Leave(Incarnation),
        /// A node is evicted by another one that considers it dead.
        Evict {
            /// The evicted node.
            incarnation: Incarnation,
            /// The node that evicts it.
            by: Incarnation,
        },
        /// The records of a node that departed long ago are deleted.
        Forget {
            /// The departed node.
            incarnation: Incarnation,
            /// The offset at which it departed.
            departed: u64,
        },
    }
}

/// A key of the topic and its new value. An empty value deletes the key.
pub type TopicEntry = (Arc<str>, Bytes);

impl Record {
    /// The entries to append atomically for this record.
    ///
    /// The topic keeps only the newest value of each key permanently, so the join and the departure
    /// of a node have separate keys. With a common key, the departure would replace the join, and a
    /// reader that starts later would compute other views than one that read all records.
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
                vec![(departed_key(*incarnation), value)]
            }
            Record::Forget { incarnation, .. } => vec![
                (join_key(*incarnation), Bytes::new()),
                (departed_key(*incarnation), Bytes::new()),
                (FORGOTTEN_KEY.into(), value),
            ],
        }
    }
}

fn join_key(incarnation: Incarnation) -> Arc<str> {
    format!("join/{incarnation}").into()
}

fn departed_key(incarnation: Incarnation) -> Arc<str> {
    format!("gone/{incarnation}").into()
}
