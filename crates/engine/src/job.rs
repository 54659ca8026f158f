//! Work for the own backend server: what a job is, and what its run tells.

use crate::operation_key::OperationKey;
use crate::RequestToken;
use crate::RunEnd;
use indexmap::IndexMap;
use policy::Account;
use policy::Ended;
use proto::ActionId;
use proto::Below;
use proto::CallId;
use proto::Class;
use proto::Fingerprint;
use proto::KeyHash;
use proto::Request;
use rules::Operation;
use std::sync::Arc;
use std::time::Duration;
use stdx::Time;

/// Work for the own backend server, queued or running.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) owner: JobOwner,
    pub(crate) action_id: ActionId,
    pub(crate) admission_sample: u16,
    pub(crate) depth: u8,
    pub(crate) deadline: Time,
    pub(crate) retry_allowance: Account,
    /// Each child call counts as a retry.
    pub(crate) possible_repeat: bool,
    pub(crate) operation: Option<OperationKey>,
    pub(crate) fingerprint: Fingerprint,
    /// It has a key, whose record outlives the caller.
    pub(crate) keyed: bool,
    /// The backend server was asked to stop it, so a connection that breaks is no crash.
    pub(crate) idempotent: bool,
    /// When its run takes longer than others.
    pub(crate) late_at: Option<Time>,
    pub(crate) cancelled: bool,
    /// The calls below, as far as answers told.
    pub(crate) calls_below: u16,
    /// The levels that its child calls met last, by operation. The highest that any met would be as
    /// old as the run.
    pub(crate) child_levels: IndexMap<OperationKey, u16>,
    /// Stands for the place in the call tree, as the scope of child keys.
    pub(crate) child_key_scope: Arc<str>,
    /// Child calls of each kind so far.
    pub(crate) child_counts: IndexMap<(Arc<str>, Fingerprint), u32>,
    /// What the whole action is for.
    pub(crate) class: Class,
    pub(crate) priority: u8,
    /// The admission level that the action passed at its first hop.
    pub(crate) passed_level: u16,
    pub(crate) started: Option<Time>,
    /// The incarnation of the server that it was given to.
    pub(crate) expected_server: Option<Arc<str>>,
    /// Child calls in flight, since when there are any, and how long there were some.
    pub(crate) pending_children: Vec<RequestToken>,
    pub(crate) children_pending_since: Time,
    pub(crate) child_wait: Duration,
    pub(crate) request: Request,
}

/// Who gets the result of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOwner {
    /// An inbound call.
    Call(CallId),
    /// All that wait for a key.
    Key(KeyHash),
}

impl Job {
    /// What a child call is for, and how urgent: a lookup that an order makes is part of the order.
    pub(crate) fn child_class_and_priority(&self, own: &Operation) -> (Class, u8) {
        if own.class.is_protected() {
            (own.class, own.priority)
        } else {
            (self.class, self.priority)
        }
    }

    pub(crate) fn on_child_started(&mut self, now: Time, child: RequestToken) {
        if self.pending_children.is_empty() {
            self.children_pending_since = now;
        }
        self.pending_children.push(child);
        self.calls_below = self.calls_below.saturating_add(1);
    }

    /// What the run has met so far in the calls that it made.
    pub(crate) fn downstream(&self) -> Below {
        Below {
            level: self.child_levels.values().copied().max().unwrap_or(0),
            calls: self.calls_below,
        }
    }

    pub(crate) fn on_child_ended(&mut self, now: Time, child: RequestToken) {
        self.pending_children.retain(|pending| *pending != child);
        if self.pending_children.is_empty() {
            self.child_wait += now.since(self.children_pending_since);
        }
    }

    /// What the end of the run says about the backend server. The time of an answer that reports a
    /// failure is left out: it is often quick, and would make the limit rise.
    pub(crate) fn ended(&self, now: Time, end: &RunEnd) -> Ended {
        let took = self.started.map_or(Duration::ZERO, |at| now.since(at));
        match end {
            RunEnd::Response(response) if response.status >= 500 => Ended::Failed,
            RunEnd::Response(_) => Ended::Whole {
                took,
                own: took.saturating_sub(self.child_wait),
            },
            RunEnd::Refused { .. } => Ended::Refused,
            RunEnd::NeverSent => Ended::NeverSent,
            RunEnd::TimedOut if self.pending_children.is_empty() => Ended::GivenUp {
                took,
                own: took.saturating_sub(self.child_wait),
            },
            RunEnd::Misdirected | RunEnd::TimedOut => Ended::Failed,
            RunEnd::Lost => Ended::Lost,
        }
    }
}
