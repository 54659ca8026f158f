//! Entries of the peer table.

use proto::Instance;
use proto::LoadReport;
use proto::PeerState;
use proto::PeerUpdate;
use stdx::Time;

/// What is known of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The peer.
    pub instance: Instance,
    /// Its state.
    pub state: PeerState,
    /// The load it last reported.
    pub load: LoadReport,
    /// Whether its backend server accepts new work.
    pub accepts_work: bool,
}

/// An entry of the peer table.
#[derive(Debug)]
pub(crate) struct PeerEntry {
    pub(crate) peer: Peer,
    pub(crate) revision: u32,
    /// Whether the views in the log contain the peer.
    pub(crate) listed: bool,
    /// Whether the peer announced that it was leaving before it was considered dead.
    pub(crate) was_leaving: bool,
    /// Whether the peer will not come back: the log removed it, or another incarnation answered at
    /// its address. Only a new listing can reinstate it.
    pub(crate) retired: bool,
    /// When the peer entered its current state.
    pub(crate) state_since: Time,
    /// When this node last received a message from the peer itself.
    pub(crate) last_heard: Option<Time>,
    /// When the peer, a suspect, is considered dead unless it refutes the suspicion.
    pub(crate) suspicion_deadline: Option<Time>,
    /// When this node last requested the eviction of the peer.
    pub(crate) eviction_requested_at: Option<Time>,
}

impl PeerEntry {
    pub(crate) fn new(now: Time, update: PeerUpdate) -> Self {
        let state = update.state;
        Self {
            peer: Peer {
                instance: update.instance,
                state: update.state,
                load: LoadReport::default(),
                accepts_work: update.accepts_work,
            },
            revision: update.revision,
            was_leaving: state == PeerState::Leaving,
            listed: false,
            retired: false,
            state_since: now,
            last_heard: None,
            suspicion_deadline: None,
            eviction_requested_at: None,
        }
    }

    /// Whether the peer announced that it was leaving and is now considered dead.
    pub(crate) fn has_left(&self) -> bool {
        self.was_leaving && self.is_dead()
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.peer.state == PeerState::Dead
    }

    /// Whether an update is newer than this entry.
    pub(crate) fn is_newer(&self, update: &PeerUpdate) -> bool {
        if self.retired {
            return update.state == PeerState::Dead && !self.is_dead();
        }
        (update.revision, update.state) > (self.revision, self.peer.state)
    }

    pub(crate) fn to_update(&self) -> PeerUpdate {
        PeerUpdate {
            instance: self.peer.instance.clone(),
            state: self.peer.state,
            revision: self.revision,
            accepts_work: self.peer.accepts_work,
        }
    }
}
