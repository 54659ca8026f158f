//! The records of keys that this node is home to.

use indexmap::IndexMap;
use proto::Fingerprint;
use proto::Incarnation;
use proto::Instance;
use proto::KeyHash;
use proto::LeaseMessage;
use proto::Reason;
use proto::Response;
use proto::SlotTransfer;
use std::time::Duration;
use stdx::Time;

/// Bounds and times.
#[derive(Debug, Clone)]
pub struct Config {
    /// The most bytes that records may take up.
    pub max_bytes: usize,
    /// How long a lease lasts after the round that won it was sent.
    pub lease: Duration,
    /// The least of the lease that must be left to start work.
    pub margin: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_bytes: 8 << 20,
            lease: Duration::from_secs(3),
            margin: Duration::from_millis(300),
        }
    }
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a lease message, as a datagram.
    Lease {
        /// To whom.
        to: Instance,
        /// What.
        message: LeaseMessage,
    },
    /// Send a slot's records to its next home.
    Transfer {
        /// To whom.
        to: Instance,
        /// What.
        transfer: SlotTransfer,
    },
    /// Tell the giver that a slot has arrived.
    TransferDone {
        /// To whom.
        to: Incarnation,
        /// The slot.
        slot: u16,
        /// The view that moved it.
        view: u64,
    },
    /// A slot has become ready here; calls that were held for it can go on.
    Ready(u16),
}

/// What a call with a key gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// No run with this key was ever started; the record now says that one is. Run it, then call
    /// [`Home::finish`].
    Start,
    /// A run is under way here; wait for its end.
    Attach,
    /// A run is under way at an earlier home; ask there.
    AttachAt(Incarnation),
    /// It ended with this response.
    Done(Response),
    /// The slot is on its way here; ask again on [`Effect::Ready`].
    Wait,
    /// It did not run, for this reason.
    NotRun(Reason),
    /// It may have run.
    Unknown,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// With a whole response.
    Done(Response),
    /// It certainly did not run, and the key may be used again.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

#[derive(Debug)]
struct Record {
    fingerprint: Fingerprint,
    state: State,
}

#[derive(Debug)]
enum State {
    Running,
    Done(Response),
    Unknown,
}

/// The records of keys that this node is home to, and its right to start work on them.
#[derive(Debug)]
pub struct Home {
    cfg: Config,
    me: Incarnation,
    members: Vec<Instance>,
    view: u64,
    records: IndexMap<KeyHash, Record>,
    bytes: usize,
}

impl Home {
    /// A home to nothing yet.
    pub fn new(cfg: Config, me: Incarnation) -> Self {
        Self {
            cfg,
            me,
            members: Vec::new(),
            view: 0,
            records: IndexMap::new(),
            bytes: 0,
        }
    }

    /// Takes the next view of this node's service from the log.
    pub fn on_view(&mut self, _now: Time, view: u64, members: &[Instance]) -> Vec<Effect> {
        self.view = view;
        self.members = members.to_vec();
        Vec::new()
    }

    /// The newest view that was taken.
    pub fn view(&self) -> u64 {
        self.view
    }

    /// Begins a call with a key.
    pub fn begin(&mut self, _now: Time, key: KeyHash, fingerprint: Fingerprint) -> Begin {
        let home = crate::owner(&self.members, key.slot());
        if home.is_none_or(|home| home.incarnation != self.me) {
            return Begin::NotRun(Reason::Moving);
        }
        if let Some(record) = self.records.get(&key) {
            if record.fingerprint != fingerprint {
                return Begin::NotRun(Reason::KeyMismatch);
            }
            return match &record.state {
                State::Running => Begin::Attach,
                State::Done(response) => Begin::Done(response.clone()),
                State::Unknown => Begin::Unknown,
            };
        }
        if self.bytes >= self.cfg.max_bytes {
            return Begin::NotRun(Reason::TableFull);
        }
        self.records.insert(
            key,
            Record {
                fingerprint,
                state: State::Running,
            },
        );
        Begin::Start
    }

    /// Ends the run of a key.
    pub fn finish(&mut self, _now: Time, key: KeyHash, end: End) {
        match end {
            End::NotRun => {
                self.records.swap_remove(&key);
            }
            End::Done(response) => {
                self.bytes += response.size();
                self.set(key, State::Done(response));
            }
            End::Unknown => self.set(key, State::Unknown),
        }
    }

    fn set(&mut self, key: KeyHash, state: State) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = state;
        }
    }
}
