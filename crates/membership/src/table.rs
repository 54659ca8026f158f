//! An entry of the table of peers.

use proto::Instance;
use proto::LoadReport;
use proto::PeerState;
use proto::PeerUpdate;
use stdx::Time;

/// What is known of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Who it is.
    pub instance: Instance,
    /// Its state.
    pub state: PeerState,
    /// What it last said of its load.
    pub load: LoadReport,
    /// Whether its backend server takes new work.
    pub accepts_work: bool,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) peer: Peer,
    pub(crate) beat: u32,
    /// The log's views name it.
    pub(crate) listed: bool,
    /// It said that it was leaving before it was taken for dead.
    pub(crate) left: bool,
    /// It never comes back: the log dropped it, or another incarnation answered at its address.
    pub(crate) gone: bool,
    /// Since when it is in its state.
    pub(crate) since: Time,
    /// When it was last heard itself.
    pub(crate) heard: Option<Time>,
    /// When it counts as dead, unless it refutes.
    pub(crate) dead_at: Option<Time>,
    /// When this node last asked for its eviction.
    pub(crate) evicted_at: Option<Time>,
}

impl Entry {
    pub(crate) fn new(now: Time, rumour: PeerUpdate) -> Self {
        let rumour_state = rumour.state;
        Self {
            peer: Peer {
                instance: rumour.instance,
                state: rumour.state,
                load: LoadReport::default(),
                accepts_work: rumour.accepts_work,
            },
            beat: rumour.revision,
            left: rumour_state == PeerState::Leaving,
            listed: false,
            gone: false,
            since: now,
            heard: None,
            dead_at: None,
            evicted_at: None,
        }
    }

    /// Whether its process has ended, because it said so.
    pub(crate) fn has_left(&self) -> bool {
        self.left && self.is_dead()
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.peer.state == PeerState::Dead
    }

    /// Whether a rumour says something newer than this entry.
    pub(crate) fn is_news(&self, rumour: &PeerUpdate) -> bool {
        if self.gone {
            return rumour.state == PeerState::Dead && !self.is_dead();
        }
        (rumour.revision, rumour.state) > (self.beat, self.peer.state)
    }

    pub(crate) fn rumour(&self) -> PeerUpdate {
        PeerUpdate {
            instance: self.peer.instance.clone(),
            state: self.peer.state,
            revision: self.beat,
            accepts_work: self.peer.accepts_work,
        }
    }
}
