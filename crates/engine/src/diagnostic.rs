//! Diagnostic events: what was decided about which request, and the inputs to the decision.

use policy::RequestRate;
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
    /// The outcome of a request or of its run, without the response.
    pub enum OutcomeSummary {
        /// A complete response with this status.
        Completed(u16),
        /// It did not run.
        NotRun(Reason),
        /// It may have run.
        Unknown(Reason),
    }
}

plain! {
    /// The state of the controllers of this node's backend server at the time of the decision.
    pub struct ServerState {
        /// Runs in progress.
        pub running: u16,
        /// Queued jobs.
        pub queued: u32,
        /// The concurrency limit.
        pub limit: u16,
        /// The admission level; see [`proto::LoadReport`].
        pub level: u16,
        /// The rate limit that the server has named, if one is in force.
        pub rate_limit: Option<RequestRate>,
        /// The time until the rate limit permits a further start, behind all queued jobs.
        pub token_wait: Duration,
        /// Whether other instances of the service had capacity when their load was last known.
        pub siblings_have_room: bool,
    }
}

plain! {
    /// Number of nodes in each state.
    #[derive(Default)]
    pub struct PeerCounts {
        /// Nodes that answer.
        pub alive: u32,
        /// Nodes that did not answer a probe.
        pub suspect: u32,
        /// Nodes that are leaving.
        pub leaving: u32,
        /// Nodes that are considered dead.
        pub dead: u32,
    }
}

impl PeerCounts {
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

/// The inputs of a refusal for lack of a quota token, and the retry delay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// The id of the request.
    pub request: Arc<str>,
    /// The organisation that sent it.
    pub organisation: Arc<str>,
    /// Whether the operation is a lookup.
    pub is_lookup: bool,
    /// The priority of the request.
    pub priority: u8,
    /// Whether lenders count the request as urgent.
    pub is_urgent: bool,
    /// The time left until the end of the objective.
    pub objective_left: Duration,
    /// How long the request has waited for a token.
    pub waited: Duration,
    /// The tokens at this node, which are held for other callers.
    pub tokens: u32,
    /// The requests that were ahead.
    pub ahead: u32,
    /// The tokens promised to other callers that were ahead.
    pub promised: u32,
    /// The estimated rate of tokens at this node, in thousandths per second, if it was known.
    pub rate_millihertz: Option<u64>,
    /// The retry delay.
    pub retry_after: Duration,
    /// Whether the caller was promised a token.
    pub has_promise: bool,
}

impl fmt::Display for QuotaRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=quota_refused request={} organisation={} lookup={} priority={} urgent={} \
             objective_left_ms={} waited_ms={} tokens={} ahead={} promised={} retry_after_ms={} \
             promise={}",
            self.request,
            self.organisation,
            self.is_lookup,
            self.priority,
            self.is_urgent,
            self.objective_left.as_millis(),
            self.waited.as_millis(),
            self.tokens,
            self.ahead,
            self.promised,
            self.retry_after.as_millis(),
            self.has_promise,
        )?;
        match self.rate_millihertz {
            Some(rate) => write!(f, " rate_millihertz={rate}"),
            None => write!(f, " rate_millihertz=unknown"),
        }
    }
}

/// A diagnostic event. Its `Display` implementation writes a line of `key=value` pairs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Diagnostic {
    /// The ingress node gave a request its final answer.
    Answered {
        /// The id of the request.
        request: Arc<str>,
        /// The service that was called.
        service: Arc<str>,
        /// The class of the action.
        class: Class,
        /// The number of calls above it.
        depth: u8,
        /// The final outcome.
        outcome: OutcomeSummary,
        /// The number of attempts that were sent.
        attempts: u16,
        /// The target of the last attempt.
        target: SocketAddr,
        /// The admission value of the request. A level above it sheds the request.
        value: u16,
        /// The highest known admission level, at the target or below it.
        level: u16,
        /// The time left until the deadline, in milliseconds.
        left_ms: u64,
    },
    /// A request was refused before it was sent to any node.
    Refused {
        /// The id of the request.
        request: Arc<str>,
        /// The organisation that sent it; empty if none was found.
        organisation: Arc<str>,
        /// The reason for the refusal.
        reason: Reason,
        /// The version of the rules that applied.
        rules: u64,
    },
    /// A request was refused for lack of a quota token while the rules schedule by slack.
    QuotaRefused(QuotaRefusal),
    /// This node began or ceased to trust the API keys of organisations.
    Keys {
        /// Whether keys are trusted now.
        trusted: bool,
        /// The version of the rules that hold the keys.
        rules: u64,
        /// The time since this version was last confirmed to be the newest, if it ever was.
        age: Option<Duration>,
    },
    /// This node adopted the rules and views of a peer, which were newer than its own.
    StateAdopted {
        /// The peer.
        from: SocketAddr,
        /// The version of the rules now held.
        rules: u64,
        /// Offset of the next record to read from the log.
        next_offset: u64,
        /// Whether this node's rules had been in force before.
        was_synced: bool,
    },
    /// The progress of a node that has adopted the rules of a peer while the store does not answer,
    /// and waits until no other node may hold newer ones.
    CatchUp {
        /// The version of the rules now held.
        rules: u64,
        /// The newest version that any node has announced.
        announced: u64,
        /// Nodes that have not reported a version, or have reported a newer one.
        unconfirmed: usize,
    },
    /// The state of another node changed.
    Peer {
        /// The node.
        incarnation: Incarnation,
        /// The node's address.
        addr: SocketAddr,
        /// The node's new state.
        state: PeerState,
        /// Whether the node's backend server accepts new work.
        accepts_work: bool,
    },
    /// More nodes changed their state than are reported one by one.
    Peers {
        /// The nodes that changed, by their new state.
        changed: PeerCounts,
        /// All known nodes, by their state.
        known: PeerCounts,
    },
    /// This node's backend server began or ceased to accept new work, or was replaced by another
    /// incarnation.
    OwnServer {
        /// The server's incarnation.
        id: Arc<str>,
        /// Whether it accepts new work.
        accepts_work: bool,
        /// The sequence number of its last heartbeat.
        sequence: u64,
    },
    /// This node's backend server named another rate limit than before, or none any more.
    ServerLimit {
        /// The server's incarnation.
        id: Arc<str>,
        /// The rate limit now in force.
        limit: Option<RequestRate>,
        /// The rate limit that was in force before.
        previous: Option<RequestRate>,
        /// The time since the previous limit was last named.
        age: Option<Duration>,
    },
    /// A job that had not started was refused, because the backend server has become slow and
    /// another instance can run it sooner.
    HandedOver {
        /// The id of the request.
        request: Arc<str>,
        /// How long work takes on the server's machine, in percent of the usual.
        slowdown_percent: u16,
        /// The time since the server reported that.
        age: Duration,
        /// Runs in progress.
        running: u16,
        /// Queued jobs.
        queued: u32,
        /// The time left until the job should have ended, in milliseconds.
        due_ms: u64,
    },
    /// This node's backend server said for the first time that it is about to stop.
    ServerLeaving {
        /// The server's incarnation.
        id: Arc<str>,
    },
    /// A job for this node's backend server ended, whether or not its run was started.
    JobEnded {
        /// The id of the request.
        request: Arc<str>,
        /// The class of the action.
        class: Class,
        /// The number of calls above it.
        depth: u8,
        /// The outcome of the job.
        outcome: OutcomeSummary,
        /// Whether the job was passed to the server.
        started: bool,
        /// The time left until the deadline, in milliseconds.
        left_ms: u64,
        /// The time from the start, or from the refusal, to the latest start that still met the
        /// objective, in milliseconds; negative if it was too late. `None` unless the job was
        /// scheduled by slack.
        slack_ms: Option<i64>,
        /// The state of the server's controllers.
        server: ServerState,
    },
}

impl OutcomeSummary {
    pub(crate) fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Completed(response) => OutcomeSummary::Completed(response.status),
            Outcome::NotRun(refusal) => OutcomeSummary::NotRun(refusal.reason),
            Outcome::Unknown(reason) => OutcomeSummary::Unknown(*reason),
        }
    }
}

impl fmt::Display for OutcomeSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OutcomeSummary::Completed(status) => write!(f, "outcome=whole status={status}"),
            OutcomeSummary::NotRun(reason) => write!(f, "outcome=not-run reason={}", reason.name()),
            OutcomeSummary::Unknown(reason) => {
                write!(f, "outcome=unknown reason={}", reason.name())
            }
        }
    }
}

fn write_rate(f: &mut fmt::Formatter<'_>, key: &str, rate: Option<RequestRate>) -> fmt::Result {
    match rate {
        Some(rate) => write!(f, " {key}={rate}"),
        None => write!(f, " {key}=none"),
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
            Diagnostic::QuotaRefused(refusal) => refusal.fmt(f),
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
            Diagnostic::StateAdopted {
                from,
                rules,
                next_offset,
                was_synced,
            } => write!(
                f,
                "event=state_adopted from={from} rules={rules} next_offset={next_offset} \
                 was_synced={was_synced}"
            ),
            Diagnostic::CatchUp {
                rules,
                announced,
                unconfirmed,
            } => write!(
                f,
                "event=catch_up rules={rules} announced={announced} unconfirmed={unconfirmed}"
            ),
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
            Diagnostic::ServerLimit {
                id,
                limit,
                previous,
                age,
            } => {
                write!(f, "event=server_limit id={id}")?;
                write_rate(f, "limit", *limit)?;
                write_rate(f, "previous", *previous)?;
                match age {
                    Some(age) => write!(f, " age_ms={}", age.as_millis()),
                    None => Ok(()),
                }
            }
            Diagnostic::HandedOver {
                request,
                slowdown_percent,
                age,
                running,
                queued,
                due_ms,
            } => write!(
                f,
                "event=handed_over request={request} slowdown_percent={slowdown_percent} \
                 age_ms={} running={running} queued={queued} due_ms={due_ms}",
                age.as_millis()
            ),
            Diagnostic::ServerLeaving { id } => write!(f, "event=server_leaving id={id}"),
            Diagnostic::JobEnded {
                request,
                class,
                depth,
                outcome,
                started,
                left_ms,
                slack_ms,
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
            )
            .and_then(|()| match server.rate_limit {
                Some(_) => write_rate(f, "rate_limit", server.rate_limit).and_then(|()| {
                    write!(
                        f,
                        " token_wait_ms={} siblings_have_room={}",
                        server.token_wait.as_millis(),
                        server.siblings_have_room
                    )
                }),
                None => Ok(()),
            })
            .and_then(|()| match slack_ms {
                Some(slack_ms) => write!(f, " slack_ms={slack_ms}"),
                None => Ok(()),
            }),
        }
    }
}
