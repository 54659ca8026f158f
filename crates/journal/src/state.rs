//! The fold.

use crate::Record;
use indexmap::IndexMap;
use proto::Incarnation;
use proto::Instance;
use rules::Rules;
use std::sync::Arc;
use stdx::data;
use stdx::plain;

/// How many verdicts on publications are kept for `bilberryctl`.
const MAX_VERDICTS: usize = 256;

data! {
    /// The order in which a service's instances came and went. The number only rises.
    pub struct View {
        /// The offset of the record that made this view.
        pub number: u64,
        /// The members, oldest first.
        pub members: Vec<Instance>,
        /// Who went with this view, and how.
        pub departed: Vec<(Incarnation, Departure)>,
    }
}

plain! {
    /// How a member went.
    pub enum Departure {
        /// As planned; it hands its records over.
        Left,
        /// Taken for dead.
        Evicted,
    }
}

data! {
    /// What became of a publication.
    pub struct Verdict {
        /// Who published.
        pub operator: Arc<str>,
        /// The offset of its record.
        pub offset: u64,
        /// The version it became, or why it was rejected.
        pub result: Result<u64, Rejection>,
    }
}

plain! {
    /// Why a publication was rejected.
    pub enum Rejection {
        /// Another publication came first; this version was in force by then.
        Overtaken(u64),
        /// The file has faults.
        BadFile,
    }
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Nothing,
    /// The record could not be read and was passed over.
    Broken,
    /// A rules file is in force.
    Rules,
    /// A publication was rejected.
    Rejected,
    /// This service has a new view.
    View(Arc<str>),
    /// The offset was applied before.
    Old,
    /// Records between the state and this offset are missing.
    Gap,
}

data! {
    /// What the stream says up to `next`.
    #[derive(Default)]
    pub struct State {
        /// The offset of the next record to fold.
        pub next: u64,
        /// The version of the rules in force; 0 if there are none.
        pub version: u64,
        /// The rules file in force.
        pub file: Arc<str>,
        /// Its parsed form; rebuilt from `file`.
        #[serde(skip)]
        pub rules: Arc<Rules>,
        /// Verdicts by publication, oldest first.
        pub verdicts: IndexMap<u128, Verdict>,
        /// The current view of each service.
        pub views: IndexMap<Arc<str>, View>,
    }
}

impl State {
    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: u64, bytes: &[u8]) -> Change {
        if offset < self.next {
            return Change::Old;
        }
        let record = proto::decode::<Record>(bytes);
        if offset > self.next {
            return self.bridge(record.ok());
        }
        self.next = offset + 1;
        match record {
            Ok(Record::Publish {
                expected,
                publication,
                operator,
                file,
            }) => self.publish(offset, expected, publication, operator, file),
            Ok(Record::Join(instance)) => self.join(offset, instance),
            Ok(Record::Leave(incarnation)) => self.depart(offset, incarnation, Departure::Left),
            Ok(Record::Evict { incarnation, .. }) => {
                self.depart(offset, incarnation, Departure::Evicted)
            }
            Ok(Record::Snapshot(_)) => Change::Nothing,
            Err(_) => Change::Broken,
        }
    }

    /// Every instance of every service, as the views have them.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.views.values().flat_map(|view| &view.members)
    }

    /// Whether a view names this incarnation.
    pub fn is_listed(&self, incarnation: Incarnation) -> bool {
        self.instances()
            .any(|instance| instance.incarnation == incarnation)
    }

    /// The current view of a service.
    pub fn view(&self, service: &str) -> Option<&View> {
        self.views.get(service)
    }

    /// Parses the file again after the state itself was decoded.
    pub fn restore(&mut self) {
        self.rules = Arc::new(Rules::parse(&self.file).unwrap_or_default());
    }

    fn bridge(&mut self, record: Option<Record>) -> Change {
        match record {
            Some(Record::Snapshot(snapshot)) if snapshot.next >= self.next => {
                *self = *snapshot;
                self.restore();
                Change::Rules
            }
            _ => Change::Gap,
        }
    }

    fn publish(
        &mut self,
        offset: u64,
        expected: u64,
        publication: u128,
        operator: Arc<str>,
        file: Arc<str>,
    ) -> Change {
        // An operator's tool that lost the answer may append again; the first record counts.
        if self.verdicts.contains_key(&publication) {
            return Change::Nothing;
        }
        let parsed = Rules::parse(&file);
        let result = match &parsed {
            Ok(_) if expected == self.version => Ok(self.version + 1),
            Ok(_) => Err(Rejection::Overtaken(self.version)),
            Err(_) => Err(Rejection::BadFile),
        };
        if self.verdicts.len() == MAX_VERDICTS {
            self.verdicts.shift_remove_index(0);
        }
        self.verdicts.insert(
            publication,
            Verdict {
                operator,
                offset,
                result,
            },
        );
        match (result, parsed) {
            (Ok(version), Ok(rules)) => {
                self.version = version;
                self.file = file;
                self.rules = Arc::new(rules);
                Change::Rules
            }
            _ => Change::Rejected,
        }
    }

    fn join(&mut self, offset: u64, instance: Instance) -> Change {
        let service = instance.service.clone();
        let view = self.views.entry(service.clone()).or_insert_with(|| View {
            number: offset,
            members: Vec::new(),
            departed: Vec::new(),
        });
        if view
            .members
            .iter()
            .any(|member| member.incarnation == instance.incarnation)
        {
            return Change::Nothing;
        }
        view.number = offset;
        view.departed.clear();
        // A newcomer at a member's address proves that the member's process has ended.
        let (gone, stay) = view
            .members
            .drain(..)
            .partition(|member| member.addr == instance.addr);
        view.members = stay;
        let gone: Vec<Instance> = gone;
        view.departed
            .extend(gone.iter().map(|old| (old.incarnation, Departure::Evicted)));
        view.members.push(instance);
        Change::View(service)
    }

    fn depart(&mut self, offset: u64, incarnation: Incarnation, how: Departure) -> Change {
        for (service, view) in &mut self.views {
            let before = view.members.len();
            view.members
                .retain(|member| member.incarnation != incarnation);
            if view.members.len() < before {
                view.number = offset;
                view.departed = vec![(incarnation, how)];
                return Change::View(service.clone());
            }
        }
        Change::Nothing
    }
}
