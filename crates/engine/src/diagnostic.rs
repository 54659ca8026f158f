//! What is written down of a decision: the request, what was decided, and the inputs that decided.

use proto::Class;
use proto::Incarnation;
use proto::Outcome;
use proto::PeerState;
use proto::Reason;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stdx::plain;

plain! {
    /// How a request or its run ended, without what it brought.
    pub enum OutcomeSummary {
        /// With a whole response of this status.
        Whole(u16),
        /// It did not run.
        NotRun(Reason),
        /// It may have run.
        Unknown(Reason),
    }
}

plain! {
    /// What the controllers of the own backend server held when they decided.
    pub struct ServerState {
        /// Runs in progress.
        pub running: u16,
        /// Work that waits.
        pub queued: u32,
        /// The concurrency limit.
        pub limit: u16,
        /// The admission level; see [`proto::LoadReport`].
        pub level: u16,
    }
}

plain! {
    /// Nodes by state.
    #[derive(Default)]
    pub struct PeerCounts {
        /// That answer.
        pub alive: u32,
        /// That did not answer.
        pub suspect: u32,
        /// That are leaving.
        pub leaving: u32,
        /// That are taken for gone.
        pub dead: u32,
    }
}

impl PeerCounts {
    /// One more of a state.
    pub(crate) fn add(&mut self, state: PeerState) {
        *match state {
            PeerState::Alive => &mut self.alive,
            PeerState::Suspect => &mut self.suspect,
            PeerState::Leaving => &mut self.leaving,
            PeerState::Dead => &mut self.dead,
        } += 1;
    }

    pub(crate) fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// One decision about a request. Its `Display` is a line of `key=value` pairs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Diagnostic {
    /// A request got its final answer at its entry.
    Answered {
        /// The request.
        request: Arc<str>,
        /// The service that it asked.
        service: Arc<str>,
        /// What it is for.
        class: Class,
        /// How many calls are above it.
        depth: u8,
        /// How it ended.
        outcome: OutcomeSummary,
        /// Instances that it was sent to.
        attempts: u16,
        /// The last of them.
        target: SocketAddr,
        /// Its admission value; a level above it sheds it.
        value: u16,
        /// The level that is known of the services below.
        level: u16,
        /// Milliseconds that it had left.
        left_ms: u64,
    },
    /// A request was refused before it was sent anywhere.
    Refused {
        /// The request.
        request: Arc<str>,
        /// The organisation that it is from; empty if none was found.
        organisation: Arc<str>,
        /// Why.
        reason: Reason,
        /// The version of the rules that decided.
        rules: u64,
    },
    /// Keys of organisations are trusted from now on, or not any more.
    Keys {
        /// Which of the two.
        trusted: bool,
        /// The version of the rules that holds the keys.
        rules: u64,
        /// The time since it was known to be the newest, if it ever was.
        age: Option<Duration>,
    },
    /// Another node is taken for something else than before.
    Peer {
        /// Which.
        incarnation: Incarnation,
        /// Where it is.
        addr: SocketAddr,
        /// Its state.
        state: PeerState,
        /// Whether its backend server takes new work.
        accepts_work: bool,
    },
    /// More nodes than are told one by one are taken for something else than before.
    Peers {
        /// How many, by what they are taken for now.
        changed: PeerCounts,
        /// All that are known, the same way.
        known: PeerCounts,
    },
    /// The own backend server opened or closed, or is another incarnation.
    OwnServer {
        /// The incarnation.
        id: Arc<str>,
        /// Whether it takes new work.
        accepts_work: bool,
        /// The heartbeat that decided, by its count.
        sequence: u64,
    },
    /// Work for the own backend server ended.
    Ran {
        /// The request.
        request: Arc<str>,
        /// What it is for.
        class: Class,
        /// How many calls are above it.
        depth: u8,
        /// How it ended.
        outcome: OutcomeSummary,
        /// Whether it was given to the server.
        started: bool,
        /// Milliseconds that it had left.
        left_ms: u64,
        /// What the controllers held.
        server: ServerState,
    },
}

impl OutcomeSummary {
    pub(crate) fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Completed(response) => OutcomeSummary::Whole(response.status),
            Outcome::NotRun(refusal) => OutcomeSummary::NotRun(refusal.reason),
            Outcome::Unknown(reason) => OutcomeSummary::Unknown(*reason),
        }
    }
}

impl fmt::Display for OutcomeSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OutcomeSummary::Whole(status) => write!(f, "outcome=whole status={status}"),
            OutcomeSummary::NotRun(reason) => write!(f, "outcome=not-run reason={}", reason.name()),
            OutcomeSummary::Unknown(reason) => {
                write!(f, "outcome=unknown reason={}", reason.name())
            }
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Diagnostic::Answered {
                request,
                service,
                class,
                depth,
                outcome,
                attempts,
                target,
                value,
                level,
                left_ms,
            } => write!(
                f,
                "event=answered request={request} {outcome} service={service} class={} \
                 depth={depth} attempts={attempts} target={target} value={value} level={level} \
                 left_ms={left_ms}",
                class.name()
            ),
            Diagnostic::Refused {
                request,
                organisation,
                reason,
                rules,
            } => {
                let reason = reason.name();
                write!(
                    f,
                    "event=refused request={request} reason={reason} rules={rules}"
                )?;
                match &**organisation {
                    "" => Ok(()),
                    organisation => write!(f, " organisation={organisation}"),
                }
            }
            Diagnostic::Keys {
                trusted,
                rules,
                age,
            } => {
                write!(f, "event=keys trusted={trusted} rules={rules}")?;
                match age {
                    Some(age) => write!(f, " age_ms={}", age.as_millis()),
                    None => Ok(()),
                }
            }
            Diagnostic::Peer {
                incarnation,
                addr,
                state,
                accepts_work,
            } => write!(
                f,
                "event=peer incarnation={incarnation} addr={addr} state={state:?} open={accepts_work}"
            ),
            Diagnostic::Peers { changed, known } => write!(
                f,
                "event=peers alive={} suspect={} leaving={} dead={} known_alive={} \
                 known_suspect={} known_leaving={} known_dead={}",
                changed.alive,
                changed.suspect,
                changed.leaving,
                changed.dead,
                known.alive,
                known.suspect,
                known.leaving,
                known.dead
            ),
            Diagnostic::OwnServer { id, accepts_work, sequence } => {
                write!(
                    f,
                    "event=own_server id={id} open={accepts_work} sequence={sequence}"
                )
            }
            Diagnostic::Ran {
                request,
                class,
                depth,
                outcome,
                started,
                left_ms,
                server,
            } => write!(
                f,
                "event=ran request={request} {outcome} class={} depth={depth} started={started} \
                 left_ms={left_ms} running={} queued={} limit={} level={}",
                class.name(),
                server.running,
                server.queued,
                server.limit,
                server.level
            ),
        }
    }
}
